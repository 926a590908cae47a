"""Regression tests of the controller, one per failure found in simulation. Each fails without its fix."""

from dataclasses import replace

from mintvalve import controller as controller_module
from mintvalve.interface import (
    CallAnswered,
    ClearingCause,
    ListUpdateKind,
    Outcome,
    Refuse,
    LoadReport,
    SetUp,
    TimerExpired,
)
from tests.controller_harness import SETTINGS, ControllerHarness, set_up_addresses


def run_poll_timer_for(harness: ControllerHarness, duration_ms: float) -> None:
    """Advances the clock in steps of 5 ms and lets the controller's poll timer (token 1) expire at each."""
    end_ms = harness.now + duration_ms
    while harness.now < end_ms:
        harness.now += 5
        harness.handle(TimerExpired(1))


def test_zero_answer_delays_do_not_overflow_the_set_up_window() -> None:
    """Guards against a controller that fails every call once exchanges have answered in 0 ms for long.

    The mean delay fell below 1e-160 ms after many such answers (seen within 200,000 calls to fake exchanges),
    and the square of a ratio to it overflowed.
    """
    harness = ControllerHarness(free_circuits=100_000)
    for _ in range(6000):
        actions = harness.offer_call()
        assert set_up_addresses(actions) == ["x1"]
        harness.handle(CallAnswered(harness.last_call_id, 0, "x1", 0.0))
        harness.end_attempt(Outcome.ENDED, ended=True)
        harness.now += 100
        if harness.last_call_id % 10 == 0:
            harness.handle(TimerExpired(0))


def refusal_count(harness: ControllerHarness) -> int:
    """Returns how many calls the controller has refused so far."""
    return sum(isinstance(action, Refuse) for action in harness.actions)


def test_blocked_call_is_not_held_beyond_a_fifth_of_its_target_time() -> None:
    """Guards against a caller kept waiting for a circuit until a redial can no longer succeed in time.

    No circuit is free. The call is held for a fifth of its class's target time and then refused.
    """
    harness = ControllerHarness(free_circuits=0)
    harness.offer_call()
    run_poll_timer_for(harness, controller_module.MAX_HOLD_SHARE_OF_AIM * 1000 - 50)
    assert refusal_count(harness) == 0
    run_poll_timer_for(harness, 100)
    assert refusal_count(harness) == 1


def test_redial_does_not_start_a_new_target_time() -> None:
    """Guards against a redial that takes a circuit ahead of calls which can still be answered in time.

    The target time runs from the first set-up for the number. The redial after 1.1 s is past it, so it must
    leave the last circuit to calls in time; a new call for another number takes it.
    """
    harness = ControllerHarness(free_circuits=0)
    harness.offer_call(number="same")
    run_poll_timer_for(harness, 1100)
    harness.report_group(1, 1)  # within the circuits that a late call leaves free
    assert set_up_addresses(harness.offer_call(number="same")) == []
    assert set_up_addresses(harness.offer_call(number="other")) == ["x1"]


def test_older_held_call_is_not_sent_before_the_newest() -> None:
    """Guards against a free circuit spent on the held call with the least of its target time left.

    Two calls are held 20 ms apart. When one circuit becomes free, the newer one is sent.
    """
    harness = ControllerHarness(free_circuits=0)
    harness.offer_call()
    harness.now += 20
    harness.offer_call()
    newest_call = harness.last_call_id
    harness.now += 5
    actions = harness.report_group(1, 1)
    assert [a.call for a in actions if isinstance(a, SetUp)] == [newest_call]


def test_tandem_is_not_retried_soon_after_it_turned_a_call_back() -> None:
    """Guards against set-ups sent again and again over a tandem that has no circuit to the destination.

    The tandem is skipped for this destination for a pause after it turned a call back, and used after that.
    """
    harness = ControllerHarness(exchange_count=3)
    harness.report_group(1, 0)
    assert set_up_addresses(harness.offer_call()) == ["x2"]
    harness.end_attempt(Outcome.NOT_SET_UP, cell=2, clearing_cause=ClearingCause.TANDEM_REFUSED)
    assert set_up_addresses(harness.offer_call()) == []
    harness.now += controller_module.TANDEM_BACK_OFF_MS + 1
    assert set_up_addresses(harness.offer_call()) == ["x2"]


def test_advised_tandem_is_not_used_while_a_direct_circuit_is_free() -> None:
    """Guards against calls that use the circuits of two groups where one direct circuit would do."""
    harness = ControllerHarness()
    harness.report_group(1, 1)
    assert set_up_addresses(harness.offer_call(tandem=2)) == ["x1"]


def test_advised_tandem_is_not_skipped_for_the_one_with_most_free_circuits() -> None:
    """Guards against advice that is ignored: exchange 2 has more free circuits than the advised exchange 3.

    Without advice, the call goes over the tandem with the most free circuits.
    """
    harness = ControllerHarness()
    harness.report_group(1, 0)
    harness.report_group(2, 19)
    harness.report_group(3, 15)
    assert set_up_addresses(harness.offer_call(tandem=3)) == ["x3"]
    assert set_up_addresses(harness.offer_call()) == ["x2"]


def test_transit_call_does_not_take_circuits_kept_for_direct_calls() -> None:
    """Guards against transit calls that crowd out direct ones in a full group.

    One circuit is free: it is kept for the direct call, and the transit call is turned back.
    """
    harness = ControllerHarness()
    harness.report_group(2, 1)
    assert set_up_addresses(harness.offer_call(destination=2, in_transit=True, tandem=1)) == []
    assert set_up_addresses(harness.offer_call(destination=2)) == ["x2"]


def test_processor_full_at_several_unloaded_exchanges_pauses_the_own_processor() -> None:
    """Guards against blaming remote processors when the own one is full and turns all set-ups back.

    Two exchanges that report no overload both end a set-up with `processor full` in one cycle.
    """
    harness = ControllerHarness()
    for cell in (1, 2):
        harness.offer_call(destination=cell)
        unloaded = LoadReport(hold_back=0.0)
        harness.end_attempt(
            Outcome.NOT_SET_UP, cell=cell, clearing_cause=ClearingCause.PROCESSOR_FULL, report=unloaded
        )
    assert harness.controller.own_processor.pause_until > harness.now
    assert set_up_addresses(harness.offer_call(destination=3)) == []


def test_silent_exchange_gets_no_second_set_up_while_one_is_unanswered() -> None:
    """Guards against calls lost in numbers to a hung exchange that the list still shows as ready.

    A set-up to exchange 1 stays unanswered for so long that it counts as silent, while exchange 2 answers.
    Calls to exchange 1 are held until the outstanding set-up is answered.
    """
    harness = ControllerHarness()
    harness.offer_call(time_left_ms=3000.0)
    first_call = harness.last_call_id
    harness.advance(controller_module.UNRESPONSIVE_MS + 100)
    harness.offer_call(destination=2)
    harness.handle(CallAnswered(harness.last_call_id, 0, "x2", 50.0))  # so the own processor is not the cause
    assert set_up_addresses(harness.offer_call()) == []
    harness.advance(10)
    harness.handle(CallAnswered(first_call, 0, "x1", 1700.0))
    harness.advance(2000)
    assert set_up_addresses(harness.offer_call()) == ["x1"]


def test_exchange_stays_silent_after_time_outs_without_outstanding_set_ups() -> None:
    """Guards against a hung exchange that gets full traffic again as soon as its set-ups have timed out.

    After a series of time-outs nothing is outstanding there. The exchange stays silent: one trial call at a
    time is sent, and its answer ends the silence.
    """
    harness = ControllerHarness(replace(SETTINGS, release_wait_ms=0))
    for _ in range(controller_module.UNRESPONSIVE_TIMEOUTS):
        harness.offer_call(time_left_ms=1000.0)
        harness.advance(990)
        harness.end_attempt(Outcome.TIMED_OUT)
    remote = harness.controller.exchanges["x1"]
    assert not remote.outstanding_set_ups and remote.is_unresponsive(harness.now)
    harness.advance(controller_module.UNRESPONSIVE_MS + 1)
    harness.offer_call()
    trial_call = harness.last_call_id
    assert set_up_addresses(harness.offer_call()) == []
    harness.handle(CallAnswered(trial_call, 0, "x1", 20.0))
    assert not remote.is_unresponsive(harness.now)


def test_reset_of_a_standing_call_makes_its_exchange_silent_at_once() -> None:
    """Guards against redials of reset calls that are all sent to a failed exchange before it is noticed.

    The redials arrive before any time-out or list update shows that the exchange is down.
    """
    harness = ControllerHarness()
    harness.offer_call()
    harness.handle(CallAnswered(harness.last_call_id, 0, "x1", 50.0))
    harness.now += 50
    harness.end_attempt(Outcome.RESET, ended=True)
    assert harness.controller.exchanges["x1"].is_unresponsive(harness.now)


def test_age_of_an_unanswered_set_up_counts_as_delay_before_its_answer() -> None:
    """Guards against a slow processor that is noticed only when its late answers arrive.

    A set-up unanswered for 700 ms counts as a delay of 700 ms, which is enough to engage a gap.
    """
    harness = ControllerHarness()
    harness.offer_call()
    harness.now += 700
    remote = harness.controller.exchanges["x1"]
    assert remote.expected_delay_ms(harness.now, controller_module.CYCLE_MS) == 700
    assert remote.estimate_utilisation(harness.now, 0.0, 300.0) > controller_module.GAP_ON_UTILISATION


def test_one_load_report_does_not_stretch_a_gap_in_every_cycle() -> None:
    """Guards against a gap that grows to its limit on one old report.

    Behind a long gap hardly any set-up is sent, so no newer report arrives to shorten it again.
    """
    harness = ControllerHarness()
    remote = harness.controller.exchanges["x1"]
    remote.gap.engage(harness.now, 100.0)
    remote.record_report(harness.now, LoadReport(hold_back=0.9))
    harness.now += 100
    harness.handle(TimerExpired(0))
    stretched_gap_ms = remote.gap.interval_ms
    assert stretched_gap_ms > 100.0
    for _ in range(3):
        harness.now += controller_module.CYCLE_MS + 1
        harness.handle(TimerExpired(0))
    assert remote.gap.interval_ms < stretched_gap_ms


def test_late_call_is_not_sent_to_a_gapped_processor() -> None:
    """Guards against an overloaded processor that works on calls of little worth.

    A redial past its target time is not sent while the gap is engaged; a new call is.
    """
    harness = ControllerHarness(free_circuits=0)
    harness.offer_call(number="same")
    run_poll_timer_for(harness, 1100)
    harness.report_group(1, 20)
    harness.controller.exchanges["x1"].gap.engage(harness.now, 1.0)
    assert set_up_addresses(harness.offer_call(number="same")) == []
    assert set_up_addresses(harness.offer_call(number="other")) == ["x1"]


def test_gap_does_not_hold_back_a_class_of_higher_worth() -> None:
    """Guards against a gap that delays calls of the worthier class as much as those of the other.

    After a set-up, the gap blocks the class of the least worth; the worthier class may send ahead of it.
    """
    harness = ControllerHarness()
    remote = harness.controller.exchanges["x1"]
    remote.gap.engage(harness.now, 500.0)
    remote.gap.record_set_up(harness.now)
    assert set_up_addresses(harness.offer_call(call_class="plain")) == []
    assert set_up_addresses(harness.offer_call(call_class="dear")) == ["x1"]


def test_busy_number_does_not_get_every_set_up_offered_to_it() -> None:
    """Guards against set-ups that all end in `busy` because many callers dial one number.

    After busy outcomes in one cycle, set-ups to this number are gapped; other numbers are not affected.
    """
    harness = ControllerHarness(free_circuits=20)
    for _ in range(6):
        harness.offer_call(number="hot")
        harness.end_attempt(Outcome.LINE_BUSY, clearing_cause=ClearingCause.NUMBER_BUSY)
    harness.now += 100
    harness.handle(TimerExpired(0))
    sent_count = sum(len(set_up_addresses(harness.offer_call(number="hot"))) for _ in range(6))
    assert sent_count <= 1
    assert set_up_addresses(harness.offer_call(number="calm")) == ["x1"]


def test_restarted_exchange_does_not_keep_the_gap_and_silence_of_its_last_run() -> None:
    """Guards against a restarted exchange that is avoided for the state of its former process.

    The list shows a new start time for it.
    """
    harness = ControllerHarness()
    remote = harness.controller.exchanges["x1"]
    remote.consecutive_timeouts = controller_module.UNRESPONSIVE_TIMEOUTS
    remote.gap.engage(harness.now, 100.0)
    harness.update_exchanges(
        ListUpdateKind.CHANGES, ControllerHarness.exchange_entry(1, up_since_ms=harness.now - 1)
    )
    assert not remote.is_unresponsive(harness.now) and remote.gap.interval_ms == 0.0


def test_one_hung_exchange_does_not_count_as_delay_of_the_own_processor() -> None:
    """Guards against one hung exchange that slows down or stops the calls to all others.

    A set-up to exchange 1 stays unanswered while exchange 2 answers ten in 50 ms each.
    """
    harness = ControllerHarness()
    harness.offer_call()  # remains unanswered
    for _ in range(10):
        harness.now += 200
        harness.offer_call(destination=2)
        harness.handle(CallAnswered(harness.last_call_id, 0, "x2", 50.0))
    own = harness.controller.own_processor
    assert own.expected_delay_ms(harness.now, controller_module.CYCLE_MS) < 200
    assert not own.is_unresponsive(harness.now)


def test_set_up_overtaken_by_a_later_answer_does_not_make_its_exchange_silent() -> None:
    """Guards against a lost set-up that makes a working exchange look silent for good.

    Processors work in order, so an answer to a later set-up shows that the older one is lost, not waiting.
    """
    harness = ControllerHarness()
    harness.offer_call()  # lost in transmission
    harness.advance(10)
    harness.offer_call()
    later_call = harness.last_call_id
    harness.advance(3000)
    remote = harness.controller.exchanges["x1"]
    assert remote.is_unresponsive(harness.now)
    harness.handle(CallAnswered(later_call, 0, "x1", 3000.0))
    harness.advance(3000)
    assert (
        not remote.is_unresponsive(harness.now)
        and remote.expected_delay_ms(harness.now, controller_module.CYCLE_MS) == 0.0
    )


def test_call_that_can_no_longer_be_sent_in_time_is_not_held() -> None:
    """Guards against callers that wait for an answer which can only be a refusal.

    After a reset, the next set-up has to wait for the release. With 2 s left the call is held. It is refused
    at once if the destination is gapped, since it is past its target time by then, or if its deadline is
    nearer than the end of the wait.
    """
    for time_left_ms, gap_ms, is_held in ((2000.0, 0.0, True), (2000.0, 500.0, False), (300.0, 0.0, False)):
        harness = ControllerHarness()
        harness.offer_call(time_left_ms=time_left_ms)
        harness.advance(800 if time_left_ms > 1000 else 10)
        harness.controller.exchanges["x1"].gap.interval_ms = gap_ms
        actions = harness.end_attempt(Outcome.RESET)  # next set-up in 300 ms, past the target time
        assert any(isinstance(action, Refuse) for action in actions) != is_held


def test_unreachable_set_up_does_not_keep_its_circuits() -> None:
    """Guards against a group that seems full because set-ups to it failed before they were sent.

    Without a connection no circuit was taken, and no group state arrives that would correct the count.
    """
    harness = ControllerHarness(exchange_count=2)
    harness.report_group(1, 1)
    harness.advance(10)
    assert set_up_addresses(harness.offer_call()) == ["x1"]
    harness.advance(60)
    harness.end_attempt(Outcome.UNREACHABLE, ended=True)
    assert set_up_addresses(harness.offer_call()) == ["x1"]


def test_call_for_the_own_exchange_does_not_use_a_group_with_few_free_circuits() -> None:
    """Guards against calls for the own exchange that use up the circuits to the tandems.

    Callers of a proxy that restarts come here with calls that end at this exchange. Sent out to a tandem and
    back, such a call takes circuits and processing of two calls, and most were turned back at the tandem. It
    is sent only over a group with half of its circuits free, and refused at once otherwise.
    """
    harness = ControllerHarness(exchange_count=3)
    for cell in (1, 2):
        harness.report_group(cell, 9)  # of 20
    actions = harness.offer_call(destination=0, tandem=2)
    assert not set_up_addresses(actions) and [type(action) for action in actions] == [Refuse]
    harness.report_group(2, 10)
    assert set_up_addresses(harness.offer_call(destination=0, tandem=1)) == ["x2"]
