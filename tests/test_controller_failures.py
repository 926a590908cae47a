"""One small test for each failure found on the bench; each fails without its fix."""

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
from tests.controller_harness import SETTINGS, ControllerHarness, sends


def wait(world: ControllerHarness, ms: float) -> None:
    end = world.now + ms
    while world.now < end:
        world.now += 5
        world.handle(TimerExpired(1))


def test_answers_within_no_time_at_all_are_borne() -> None:
    # Found by a run of 200,000 calls on stand-ins that answer at once: the mean delay fell under 1e-160 ms,
    # the square of a ratio with it overflowed, and every call failed from then on.
    world = ControllerHarness(free=100_000)
    for _ in range(6000):
        sent = world.offer_call()
        assert sends(sent) == ["x1"]
        world.handle(CallAnswered(world.serial, 0, "x1", 0.0))
        world.end_attempt(Outcome.ENDED, ended=True)
        world.now += 100
        if world.serial % 10 == 0:
            world.handle(TimerExpired(0))


def refused(world: ControllerHarness) -> int:
    return sum(isinstance(action, Refuse) for action in world.actions)


def test_a_blocked_call_is_refused_after_a_fifth_of_its_aim() -> None:
    world = ControllerHarness(free=0)
    world.offer_call()
    wait(world, controller_module.HOLD * 1000 - 50)
    assert refused(world) == 0
    wait(world, 100)
    assert refused(world) == 1


def test_a_redial_keeps_the_aim_of_its_first_try() -> None:
    world = ControllerHarness(free=0)
    world.offer_call(number="same")
    wait(world, 1100)
    world.report_group(1, 1)  # room, but inside the allowance that a late call leaves
    assert sends(world.offer_call(number="same")) == []
    assert sends(world.offer_call(number="other")) == ["x1"]


def test_the_newest_held_call_goes_first() -> None:
    world = ControllerHarness(free=0)
    world.offer_call()
    world.now += 20
    world.offer_call()
    newest = world.serial
    world.now += 5
    actions = world.report_group(1, 1)
    assert [a.call for a in actions if isinstance(a, SetUp)] == [newest]


def test_a_tandem_that_turned_back_is_passed_over_for_a_while() -> None:
    world = ControllerHarness(cells=3)
    world.report_group(1, 0)
    assert sends(world.offer_call()) == ["x2"]
    world.end_attempt(Outcome.NOT_SET_UP, at=2, clearing=ClearingCause.TURNED_BACK)
    assert sends(world.offer_call()) == []
    world.now += controller_module.BACK_MS + 1
    assert sends(world.offer_call()) == ["x2"]


def test_a_call_goes_direct_while_its_group_has_room() -> None:
    world = ControllerHarness()
    world.report_group(1, 1)
    assert sends(world.offer_call(tandem=2)) == ["x1"]


def test_the_advised_tandem_goes_before_the_freest() -> None:
    world = ControllerHarness()
    world.report_group(1, 0)
    world.report_group(2, 19)
    world.report_group(3, 15)
    assert sends(world.offer_call(tandem=3)) == ["x3"]
    assert sends(world.offer_call()) == ["x2"]


def test_transit_is_turned_back_inside_the_allowance() -> None:
    world = ControllerHarness()
    world.report_group(2, 1)
    assert sends(world.offer_call(to=2, in_transit=True, tandem=1)) == []
    assert sends(world.offer_call(to=2)) == ["x2"]


def test_full_at_several_calm_ends_is_the_own_processor() -> None:
    world = ControllerHarness()
    for cell in (1, 2):
        world.offer_call(to=cell)
        calm = LoadReport(hold_back=0.0)
        world.end_attempt(Outcome.NOT_SET_UP, at=cell, clearing=ClearingCause.PROCESSOR_FULL, report=calm)
    assert world.controller.own.pause_until > world.now
    assert sends(world.offer_call(to=3)) == []


def test_a_silent_end_is_tried_one_call_at_a_time() -> None:
    world = ControllerHarness()
    world.offer_call(due=3000.0)
    first = world.serial
    world.advance(controller_module.SILENT_MS + 100)
    world.offer_call(to=2)
    world.handle(CallAnswered(world.serial, 0, "x2", 50.0))  # the own processor answers
    assert sends(world.offer_call()) == []
    world.advance(10)
    world.handle(CallAnswered(first, 0, "x1", 1700.0))
    world.advance(2000)
    assert sends(world.offer_call()) == ["x1"]


def test_a_run_of_time_outs_stays_silent_with_nothing_out() -> None:
    world = ControllerHarness(replace(SETTINGS, release_wait_ms=0))
    for _ in range(controller_module.SILENT_RUN):
        world.offer_call(due=1000.0)
        world.advance(990)
        world.end_attempt(Outcome.TIMED_OUT)
    far = world.controller.fars["x1"]
    assert not far.out and far.silent(world.now)
    world.advance(controller_module.SILENT_MS + 1)
    world.offer_call()
    trial = world.serial
    assert sends(world.offer_call()) == []
    world.handle(CallAnswered(trial, 0, "x1", 20.0))
    assert not far.silent(world.now)


def test_a_cut_standing_call_makes_its_end_silent() -> None:
    world = ControllerHarness()
    world.offer_call()
    world.handle(CallAnswered(world.serial, 0, "x1", 50.0))
    world.now += 50
    world.end_attempt(Outcome.RESET, ended=True)
    assert world.controller.fars["x1"].silent(world.now)


def test_the_oldest_unanswered_set_up_is_a_delay_at_once() -> None:
    world = ControllerHarness()
    world.offer_call()
    world.now += 700
    far = world.controller.fars["x1"]
    assert far.lag(world.now, controller_module.CYCLE_MS) == 700
    assert far.rho(world.now, 0.0, 300.0) > controller_module.RHO_ENGAGE


def test_an_old_figure_does_not_stretch_a_gap_again() -> None:
    world = ControllerHarness()
    far = world.controller.fars["x1"]
    far.gap.engage(world.now, 100.0)
    far.hear(world.now, LoadReport(hold_back=0.9))
    world.now += 100
    world.handle(TimerExpired(0))
    stretched = far.gap.t
    assert stretched > 100.0
    for _ in range(3):
        world.now += controller_module.CYCLE_MS + 1
        world.handle(TimerExpired(0))
    assert far.gap.t < stretched


def test_a_late_call_keeps_off_a_pressed_processor() -> None:
    world = ControllerHarness(free=0)
    world.offer_call(number="same")
    wait(world, 1100)
    world.report_group(1, 20)
    world.controller.fars["x1"].gap.engage(world.now, 1.0)
    assert sends(world.offer_call(number="same")) == []
    assert sends(world.offer_call(number="other")) == ["x1"]


def test_the_worthier_class_passes_a_gap_first() -> None:
    world = ControllerHarness()
    far = world.controller.fars["x1"]
    far.gap.engage(world.now, 500.0)
    far.gap.take(world.now)
    assert sends(world.offer_call(kind="plain")) == []
    assert sends(world.offer_call(kind="dear")) == ["x1"]


def test_a_crowded_number_is_gapped_at_the_source() -> None:
    world = ControllerHarness(free=20)
    for _ in range(6):
        world.offer_call(number="hot")
        world.end_attempt(Outcome.LINE_BUSY, clearing=ClearingCause.NUMBER_BUSY)
    world.now += 100
    world.handle(TimerExpired(0))
    sent = sum(len(sends(world.offer_call(number="hot"))) for _ in range(6))
    assert sent <= 1
    assert sends(world.offer_call(number="calm")) == ["x1"]


def test_a_new_birth_voids_what_was_learnt() -> None:
    world = ControllerHarness()
    far = world.controller.fars["x1"]
    far.run = controller_module.SILENT_RUN
    far.gap.engage(world.now, 100.0)
    world.update_exchanges(ListUpdateKind.CHANGES, ControllerHarness.entry(1, born=world.now - 1))
    assert not far.silent(world.now) and far.gap.t == 0.0


def test_one_hung_end_does_not_press_the_own_processor() -> None:
    world = ControllerHarness()
    world.offer_call()  # stays unanswered
    for _ in range(10):
        world.now += 200
        world.offer_call(to=2)
        world.handle(CallAnswered(world.serial, 0, "x2", 50.0))
    own = world.controller.own
    assert own.lag(world.now, controller_module.CYCLE_MS) < 200
    assert not own.silent(world.now)


def test_an_overtaken_set_up_says_nothing_of_the_processor() -> None:
    world = ControllerHarness()
    world.offer_call()  # lost on the way
    world.advance(10)
    world.offer_call()
    later = world.serial
    world.advance(3000)
    far = world.controller.fars["x1"]
    assert far.silent(world.now)
    world.handle(CallAnswered(later, 0, "x1", 3000.0))
    world.advance(3000)
    assert not far.silent(world.now) and far.lag(world.now, controller_module.CYCLE_MS) == 0.0


def test_a_call_given_up_on_is_answered_at_once() -> None:
    for due, gap, waits in ((2000.0, 0.0, True), (2000.0, 500.0, False), (300.0, 0.0, False)):
        world = ControllerHarness()
        world.offer_call(due=due)
        world.advance(800 if due > 1000 else 10)
        world.controller.fars["x1"].gap.t = gap
        actions = world.end_attempt(Outcome.RESET)  # sent again in 300 ms, past its aim
        assert any(isinstance(action, Refuse) for action in actions) != waits


def test_a_set_up_that_never_left_gives_its_circuits_back() -> None:
    # Where no connection came up, no circuit was taken, and no news of the group comes to say so.
    world = ControllerHarness(cells=2)
    world.report_group(1, 1)
    world.advance(10)
    assert sends(world.offer_call()) == ["x1"]
    world.advance(60)
    world.end_attempt(Outcome.UNREACHABLE, ended=True)
    assert sends(world.offer_call()) == ["x1"]


def test_a_call_for_the_own_exchange_is_sent_where_much_is_free_or_refused_at_once() -> None:
    # Seen on a day of restarts: callers of a proxy that was down came here with calls that end here. Sent out
    # and back over a tandem they take circuits and work of two calls each, and most were turned back there.
    world = ControllerHarness(cells=3)
    for cell in (1, 2):
        world.report_group(cell, 9)  # of 20
    actions = world.offer_call(to=0, tandem=2)
    assert not sends(actions) and [type(each) for each in actions] == [Refuse]
    world.report_group(2, 10)
    assert sends(world.offer_call(to=0, tandem=1)) == ["x2"]
