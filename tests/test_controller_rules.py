"""The rules that hold for all set-ups and answers of a controller, at their limits.

One final answer by the deadline, one attempt at a time, no set-ups to draining, gone or overloaded cold
exchanges, the release wait, the limit of attempts, and no repeat that could run a call twice.
"""

from dataclasses import replace

from mintvalve.interface import (
    AttemptEnded,
    CallerLeft,
    Fail,
    ListUpdateKind,
    Outcome,
    Refuse,
    RetryPolicy,
    SetUp,
    ExchangeState,
    TimerExpired,
)
from tests.controller_harness import PLAIN, SETTINGS, ControllerHarness, set_up_addresses


def refused_or_failed_calls(harness: ControllerHarness) -> list[int]:
    return [action.call for action in harness.actions if isinstance(action, Refuse | Fail)]


def poll_until(harness: ControllerHarness, end_at: float) -> None:
    while harness.now < end_at:
        harness.now += 5
        harness.handle(TimerExpired(1))  # the poll timer


def test_a_held_call_gets_one_final_answer_before_its_deadline() -> None:
    harness = ControllerHarness(free_circuits=0)
    harness.offer_call(time_left_ms=500.0)
    deadline = harness.now + 500.0
    poll_until(harness, deadline - 5)
    assert refused_or_failed_calls(harness) == [harness.last_call_id]
    poll_until(harness, deadline + 100)
    assert refused_or_failed_calls(harness) == [harness.last_call_id]


def test_a_time_out_at_the_deadline_gets_a_final_answer() -> None:
    harness = ControllerHarness()
    assert set_up_addresses(harness.offer_call(time_left_ms=500.0)) == ["x1"]
    harness.now += 500
    harness.end_attempt(Outcome.TIMED_OUT)
    assert refused_or_failed_calls(harness) == [harness.last_call_id]


def test_nothing_is_sent_for_a_caller_who_left() -> None:
    harness = ControllerHarness(free_circuits=0)
    harness.offer_call()
    harness.handle(CallerLeft(harness.last_call_id))
    harness.report_group(1, 20)
    poll_until(harness, harness.now + 4000)
    assert refused_or_failed_calls(harness) == [] and set_up_addresses(harness.actions) == []


def test_one_attempt_at_a_time() -> None:
    harness = ControllerHarness()
    harness.offer_call()
    poll_until(harness, harness.now + 1000)
    harness.report_group(1, 20)
    assert set_up_addresses(harness.actions) == ["x1"]


def test_outcomes_of_unknown_attempts_are_ignored() -> None:
    harness = ControllerHarness()
    harness.offer_call()
    assert harness.handle(AttemptEnded(harness.last_call_id, 0, "x9", Outcome.RESET, 1.0, False)) == []
    assert harness.handle(AttemptEnded(99999, 0, "x1", Outcome.RESET, 1.0, False)) == []


def test_nothing_new_to_a_draining_or_gone_exchange() -> None:
    for state in (ExchangeState.DRAINING, ExchangeState.GONE):
        harness = ControllerHarness()
        harness.update_exchanges(ListUpdateKind.CHANGES, ControllerHarness.exchange_entry(1, state))
        harness.now += SETTINGS.drain_grace_ms + 1
        harness.offer_call()
        assert "x1" not in set_up_addresses(harness.actions)
    harness = ControllerHarness()
    harness.update_exchanges(
        ListUpdateKind.FULL, ControllerHarness.exchange_entry(0), ControllerHarness.exchange_entry(2)
    )
    harness.now += SETTINGS.drain_grace_ms + 1
    harness.offer_call()
    assert "x1" not in set_up_addresses(harness.actions)


def test_cold_budget_counts_over_every_window() -> None:
    harness = ControllerHarness(free_circuits=500)
    harness.update_exchanges(
        ListUpdateKind.CHANGES, ControllerHarness.exchange_entry(1, up_since_ms=harness.now)
    )
    count = 0
    for _ in range(50):
        harness.now += 10
        count += len(set_up_addresses(harness.offer_call(time_left_ms=300.0)))
    assert 1 <= count <= 5
    harness = ControllerHarness(free_circuits=500)
    assert sum(len(set_up_addresses(harness.offer_call(time_left_ms=300.0))) for _ in range(50)) == 50


def test_retry_waits_for_the_release_time() -> None:
    for outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
        harness = ControllerHarness()
        harness.offer_call()
        offered_at = harness.now
        harness.now += 100
        harness.end_attempt(outcome)
        poll_until(harness, offered_at + 100 + SETTINGS.release_wait_ms - 5)
        assert set_up_addresses(harness.actions) == ["x1"]
        poll_until(harness, offered_at + 100 + SETTINGS.release_wait_ms + 30)
        assert set_up_addresses(harness.actions) == ["x1", "x1"]


def test_attempts_are_limited() -> None:
    harness = ControllerHarness(replace(SETTINGS, max_attempts=2, release_wait_ms=0))
    harness.offer_call()
    harness.end_attempt(Outcome.RESET)
    poll_until(harness, harness.now + 100)
    harness.end_attempt(Outcome.RESET, attempt=1)
    poll_until(harness, harness.now + 3000)
    assert len(set_up_addresses(harness.actions)) == 2 and refused_or_failed_calls(harness) == [
        harness.last_call_id
    ]


def test_transit_call_is_routed_directly_or_refused() -> None:
    harness = ControllerHarness()
    assert set_up_addresses(harness.offer_call(destination=2, in_transit=True, tandem=1)) == ["x2"]
    harness = ControllerHarness(free_circuits=0)
    assert isinstance(harness.offer_call(destination=2, in_transit=True, tandem=1)[0], Refuse)


def test_at_most_once_is_not_repeated_after_it_may_have_run() -> None:
    harness = ControllerHarness(
        replace(SETTINGS, classes=(replace(PLAIN, retry_policy=RetryPolicy.NEVER_AFTER_RUN),))
    )
    harness.offer_call()
    harness.now += 10
    harness.end_attempt(Outcome.RESET)
    poll_until(harness, harness.now + 4000)
    assert len(set_up_addresses(harness.actions)) == 1
    assert [type(action) for action in harness.actions if isinstance(action, Refuse | Fail)] == [Fail]
    harness = ControllerHarness(
        replace(SETTINGS, classes=(replace(PLAIN, retry_policy=RetryPolicy.NEVER_AFTER_RUN),))
    )
    harness.offer_call()
    harness.now += 10
    harness.end_attempt(Outcome.NOT_SET_UP, clearing_cause=1)
    poll_until(harness, harness.now + 100)
    assert len([action for action in harness.actions if isinstance(action, SetUp)]) == 2
