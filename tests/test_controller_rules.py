"""Each of the five rules at its boundary."""

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
from tests.controller_harness import PLAIN, SETTINGS, ControllerHarness, sends


def answers(world: ControllerHarness) -> list[int]:
    return [action.call for action in world.actions if isinstance(action, Refuse | Fail)]


def poll_until(world: ControllerHarness, until: float) -> None:
    while world.now < until:
        world.now += 5
        world.handle(TimerExpired(1))


def test_a_held_call_is_answered_once_before_its_deadline() -> None:
    world = ControllerHarness(free=0)
    world.offer_call(due=500.0)
    due = world.now + 500.0
    poll_until(world, due - 5)
    assert answers(world) == [world.serial]
    poll_until(world, due + 100)
    assert answers(world) == [world.serial]


def test_time_out_at_the_deadline_is_answered() -> None:
    world = ControllerHarness()
    assert sends(world.offer_call(due=500.0)) == ["x1"]
    world.now += 500
    world.end_attempt(Outcome.TIMED_OUT)
    assert answers(world) == [world.serial]


def test_nothing_follows_a_vanished_caller() -> None:
    world = ControllerHarness(free=0)
    world.offer_call()
    world.handle(CallerLeft(world.serial))
    world.report_group(1, 20)
    poll_until(world, world.now + 4000)
    assert answers(world) == [] and sends(world.actions) == []


def test_one_attempt_at_a_time() -> None:
    world = ControllerHarness()
    world.offer_call()
    poll_until(world, world.now + 1000)
    world.report_group(1, 20)
    assert sends(world.actions) == ["x1"]


def test_stale_outcomes_are_passed_over() -> None:
    world = ControllerHarness()
    world.offer_call()
    assert world.handle(AttemptEnded(world.serial, 0, "x9", Outcome.RESET, 1.0, False)) == []
    assert world.handle(AttemptEnded(99999, 0, "x1", Outcome.RESET, 1.0, False)) == []


def test_nothing_new_to_a_draining_or_gone_exchange() -> None:
    for state in (ExchangeState.DRAINING, ExchangeState.GONE):
        world = ControllerHarness()
        world.update_exchanges(ListUpdateKind.CHANGES, ControllerHarness.entry(1, state))
        world.now += SETTINGS.drain_grace_ms + 1
        world.offer_call()
        assert "x1" not in sends(world.actions)
    world = ControllerHarness()
    world.update_exchanges(ListUpdateKind.FULL, ControllerHarness.entry(0), ControllerHarness.entry(2))
    world.now += SETTINGS.drain_grace_ms + 1
    world.offer_call()
    assert "x1" not in sends(world.actions)


def test_cold_budget_counts_over_every_window() -> None:
    world = ControllerHarness(free=500)
    world.update_exchanges(ListUpdateKind.CHANGES, ControllerHarness.entry(1, born=world.now))
    count = 0
    for _ in range(50):
        world.now += 10
        count += len(sends(world.offer_call(due=300.0)))
    assert 1 <= count <= 5
    world = ControllerHarness(free=500)
    assert sum(len(sends(world.offer_call(due=300.0))) for _ in range(50)) == 50


def test_release_is_awaited() -> None:
    for outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
        world = ControllerHarness()
        world.offer_call()
        start = world.now
        world.now += 100
        world.end_attempt(outcome)
        poll_until(world, start + 100 + SETTINGS.release_wait_ms - 5)
        assert sends(world.actions) == ["x1"]
        poll_until(world, start + 100 + SETTINGS.release_wait_ms + 30)
        assert sends(world.actions) == ["x1", "x1"]


def test_attempt_cap() -> None:
    world = ControllerHarness(replace(SETTINGS, max_attempts=2, release_wait_ms=0))
    world.offer_call()
    world.end_attempt(Outcome.RESET)
    poll_until(world, world.now + 100)
    world.end_attempt(Outcome.RESET, attempt=1)
    poll_until(world, world.now + 3000)
    assert len(sends(world.actions)) == 2 and answers(world) == [world.serial]


def test_transit_goes_on_or_back() -> None:
    world = ControllerHarness()
    assert sends(world.offer_call(to=2, in_transit=True, tandem=1)) == ["x2"]
    world = ControllerHarness(free=0)
    assert isinstance(world.offer_call(to=2, in_transit=True, tandem=1)[0], Refuse)


def test_at_most_once_is_not_repeated_after_it_may_have_run() -> None:
    world = ControllerHarness(
        replace(SETTINGS, classes=(replace(PLAIN, repeat=RetryPolicy.NEVER_AFTER_RUN),))
    )
    world.offer_call()
    world.now += 10
    world.end_attempt(Outcome.RESET)
    poll_until(world, world.now + 4000)
    assert len(sends(world.actions)) == 1
    assert [type(a) for a in world.actions if isinstance(a, Refuse | Fail)] == [Fail]
    world = ControllerHarness(
        replace(SETTINGS, classes=(replace(PLAIN, repeat=RetryPolicy.NEVER_AFTER_RUN),))
    )
    world.offer_call()
    world.now += 10
    world.end_attempt(Outcome.NOT_SET_UP, clearing=1)
    poll_until(world, world.now + 100)
    assert len([a for a in world.actions if isinstance(a, SetUp)]) == 2
