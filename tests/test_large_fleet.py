"""Failures found at full size; each test fails without its fix. The unit under test is the module alone."""

from dataclasses import replace

import pytest

from mintvalve import controller as controller_module
from mintvalve.controller import Controller
from mintvalve.interface import (
    CallOffered,
    CallAnswered,
    Cancel,
    ClearingCause,
    Event,
    Exchange,
    ListUpdateKind,
    ExchangeListUpdate,
    Outcome,
    PeerMessageReceived,
    Probe,
    Refuse,
    LoadReport,
    LoadReported,
    Started,
    ExchangeState,
    SendPeerMessage,
    TimerExpired,
)
from tests.controller_harness import SETTINGS, ControllerHarness, sends

TELLING = replace(SETTINGS, may_tell=True)
PROBING = replace(SETTINGS, may_probe=True, reports_in_answers=False)


def flood(proxies: int, restart_at: float = -1.0) -> list[float]:
    """When set-ups left for one cold exchange while calls for it wait at every proxy, some restarted."""
    settings = replace(SETTINGS, proxies=proxies, may_cancel=False)
    born = 1000.0
    entries = tuple(ControllerHarness.entry(cell) for cell in range(3))

    def start(me: int, now: float) -> Controller:
        one = Controller(replace(settings, me=me), me)
        known = (entries[0], replace(entries[1], born_ms=born), entries[2])
        events: list[Event] = [Started(), ExchangeListUpdate(ListUpdateKind.CACHED, known)]
        events += [LoadReported("x1", True, False, LoadReport(free=500, circuits=500))]
        for event in events:
            one.handle(now, event)
        return one

    fleet = [start(me, born) for me in range(proxies)]
    times: list[float] = []
    for tick in range(2000):
        now = born + 5.0 * tick
        for me in range(proxies):
            if now == restart_at and me % 2:
                fleet[me] = start(me, now)
            if (tick + me) % 20 == 0:
                call = 1 + tick * proxies + me
                offer = CallOffered(call, "plain", f"n{call}", now + 90, 1)
                times += [now] * len(sends(fleet[me].handle(now, offer)))
    return times


@pytest.mark.parametrize(("proxies", "restart_at"), [(5, -1.0), (70, -1.0), (70, 3505.0), (140, -1.0)])
def test_all_proxies_together_keep_the_cold_budget(proxies: int, restart_at: float) -> None:
    times = flood(proxies, restart_at)
    assert times
    capacity = (
        controller_module.OWN_TIMES
    )  # what an instance without reports or calls of its own takes it to be
    for first in range(len(times)):
        end = times[first] + SETTINGS.fall_ms
        count = sum(times[first] <= at < end for at in times)
        age = min(1.0, (end - 1000.0) / SETTINGS.cold_ms)
        share = SETTINGS.cold_capacity + (1 - SETTINGS.cold_capacity) * age
        # instances measure their own rate, ten calls a second here, hence the wider figure
        assert count <= max(proxies if proxies < 6 else 0, SETTINGS.fall_multiple * share * 10 * capacity)


def test_a_pressed_end_is_not_jammed_by_probes_of_all_proxies() -> None:
    asked = 0
    for me in range(60):
        world = ControllerHarness(replace(PROBING, proxies=60, me=me), seed=me)
        for _ in range(20):
            world.offer_call()
            world.advance(1000)
            asked += sum(
                isinstance(a, Probe) for a in world.handle(TimerExpired(controller_module.RING_CYCLE))
            )
    assert 0 < asked / 20 <= 2 * controller_module.ASK_RATE


def test_the_tandem_that_stood_last_goes_before_the_freest() -> None:
    world = ControllerHarness()
    world.report_group(1, 0)
    world.report_group(2, 15)
    world.report_group(3, 19)
    world.offer_call(tandem=2)
    world.handle(CallAnswered(world.serial, 0, "x2", 50.0))
    assert sends(world.offer_call()) == ["x2"]
    world.end_attempt(Outcome.NOT_SET_UP, at=2, clearing=ClearingCause.TURNED_BACK)
    assert sends(world.offer_call()) == ["x3"]


def test_a_tandem_that_keeps_turning_back_is_passed_over_longer() -> None:
    world = ControllerHarness(cells=3)
    world.report_group(1, 0)
    for _ in range(3):
        assert sends(world.offer_call()) == ["x2"]
        world.end_attempt(Outcome.NOT_SET_UP, at=2, clearing=ClearingCause.TURNED_BACK)
        wait = world.controller.fars["x2"].back[1][0] - world.now
        world.advance(wait + 1)
    assert wait == 4 * controller_module.BACK_MS


def test_a_peer_without_room_is_no_tandem_and_odd_words_are_passed_over() -> None:
    world = ControllerHarness(TELLING)
    world.report_group(1, 0)
    for sender, content in ((99, b"ncxx"), (2, b""), (2, b"zz"), (-1, b"nc"), (3, b"\xff" * 300)):
        assert world.handle(PeerMessageReceived(sender, content)) == []
    world.handle(PeerMessageReceived(2, controller_module.TELL_TAG + b"\x00"))
    world.handle(PeerMessageReceived(3, controller_module.TELL_TAG + b"\x02"))
    world.handle(PeerMessageReceived(3, controller_module.TELL_TAG + b"\x02"))
    assert sends(world.offer_call(tandem=2)) == ["x3"]


def test_words_to_peers_go_by_need_and_seldom() -> None:
    world = ControllerHarness(replace(TELLING, proxies=60))
    told = []
    for _ in range(20):
        world.offer_call(to=2, in_transit=True, tandem=1)
        world.report_group(2, 0)
        world.advance(1000)
        told += [
            a
            for a in world.handle(TimerExpired(controller_module.RING_CYCLE))
            if isinstance(a, SendPeerMessage)
        ]
    assert 1 <= len(told) <= 3 and all(len(tell.content) < 256 for tell in told)


def test_some_full_ends_among_many_good_ones_do_not_close_the_own_processor() -> None:
    world = ControllerHarness(replace(SETTINGS, proxies=8), cells=8)
    for cell in range(4, 8):
        world.offer_call(to=cell)
        world.handle(CallAnswered(world.serial, 0, f"x{cell}", 50.0))
    for cell in (1, 2):
        world.offer_call(to=cell)
        world.end_attempt(Outcome.NOT_SET_UP, at=cell, clearing=ClearingCause.PROCESSOR_FULL)
    assert sends(world.offer_call(to=3)) == ["x3"]


def test_delays_over_an_own_standstill_press_nobody() -> None:
    world = ControllerHarness()
    world.offer_call()
    first = world.serial
    world.advance(100)
    world.now += 2000  # no timer rang meanwhile
    far = world.controller.fars["x1"]
    world.handle(CallAnswered(first, 0, "x1", 2100.0))
    assert far.lag(world.now, controller_module.CYCLE_MS) == 0.0 and not far.silent(world.now)
    world.offer_call()
    world.advance(10)
    assert far.lag(world.now, controller_module.CYCLE_MS) == 10.0


def test_calls_that_waited_through_a_standstill_are_as_old_as_they_are() -> None:
    world = ControllerHarness()
    world.offer_call(due=3000.0)
    world.advance(100)
    world.now += 2000
    world.report_group(1, 1)
    assert (
        sends(world.offer_call(number="old", due=1500.0)) == []
    )  # came 1.5 s ago: late, leaves the last circuit
    assert sends(world.offer_call(number="new", due=3000.0)) == ["x1"]


def losing_world() -> ControllerHarness:
    world = ControllerHarness()
    for _ in range(4):
        world.offer_call()
        lost = world.serial
        world.advance(5)
        world.offer_call()
        world.handle(CallAnswered(world.serial, 0, "x1", 40.0))
        assert lost not in world.controller.fars["x1"].out
    assert world.controller.lost > controller_module.LOST_ON
    return world


def test_a_lost_answer_is_called_off_and_the_call_tried_again() -> None:
    world = losing_world()
    world.advance(50)
    assert sends(world.offer_call(to=2)) == ["x2"]
    call = world.serial
    world.advance(500)
    actions = world.handle(TimerExpired(controller_module.RING_POLL))
    assert Cancel(call, 0) in actions
    assert sends(world.end_attempt(Outcome.CANCELLED, at=2, call=call)) == []  # the release is awaited
    world.advance(SETTINGS.release_wait_ms + SETTINGS.step_ms)
    assert sends(world.handle(TimerExpired(controller_module.RING_POLL))) == ["x2"]


def test_nothing_is_called_off_while_no_answers_are_lost() -> None:
    world = ControllerHarness()
    world.offer_call()
    world.advance(500)
    assert not any(
        isinstance(action, Cancel) for action in world.handle(TimerExpired(controller_module.RING_POLL))
    )


def test_a_rare_sender_is_restrained_by_a_gap_at_once() -> None:
    world = ControllerHarness(replace(SETTINGS, proxies=60), cells=60)
    controller = world.controller
    for _ in range(60):  # a call every five seconds to this end
        world.advance(1000)
        controller.fars["x1"].sent = 1 if _ % 5 == 0 else 0
        world.handle(TimerExpired(controller_module.RING_CYCLE))
    far = controller.fars["x1"]
    far.hear(world.now, LoadReport(hold_back=0.9, capacity=40.0))
    controller.tune(far, 0.0)
    assert far.gap.t > 1000.0


def test_events_for_departed_exchanges_and_repeated_entries_are_passed_over() -> None:
    world = ControllerHarness()
    world.offer_call()
    call = world.serial
    gone = Exchange("x1", 1, ExchangeState.GONE)
    moved = Exchange("x9", 1, ExchangeState.READY)
    world.update_exchanges(ListUpdateKind.CHANGES, gone, gone, moved, moved)
    assert world.handle(CallAnswered(call, 0, "x1", 5.0)) == []
    assert world.end_attempt(Outcome.RESET, at=1, call=call, ended=True) == []
    assert world.handle(LoadReported("nowhere", True, True, LoadReport(free=1))) == []
    assert sends(world.offer_call(number="other")) == ["x9"]
    assert not any(isinstance(action, Refuse) and action.call == call for action in world.actions)


def test_departed_exchanges_are_forgotten_once_nothing_is_out_there() -> None:
    world = ControllerHarness()
    world.offer_call()
    world.update_exchanges(
        ListUpdateKind.CHANGES,
        ControllerHarness.entry(1, ExchangeState.GONE),
        ControllerHarness.entry(2, ExchangeState.GONE),
    )
    assert sorted(world.controller.fars) == ["x0", "x1", "x3"]
    world.end_attempt(Outcome.TIMED_OUT)
    world.update_exchanges(ListUpdateKind.CHANGES, ControllerHarness.entry(3))
    assert sorted(world.controller.fars) == ["x0", "x3"]
    assert sends(world.offer_call()) == []


def test_one_slightly_slow_answer_engages_no_gap() -> None:
    world = ControllerHarness()
    world.offer_call()
    wait = controller_module.WAIT_T * 1000.0 * 1.35  # a third over the target wait
    world.handle(CallAnswered(world.serial, 0, "x1", wait))
    world.advance(10)
    world.handle(TimerExpired(controller_module.RING_CYCLE))
    assert world.controller.fars["x1"].gap.t == 0.0


def test_a_word_of_a_peer_is_believed_until_its_next_one_may_come() -> None:
    world = ControllerHarness(replace(TELLING, proxies=60), cells=3)
    world.report_group(1, 0)
    world.handle(PeerMessageReceived(2, controller_module.TELL_TAG + b"\x00"))
    world.advance(1000.0 * 60 / controller_module.ASK_RATE)
    assert sends(world.offer_call()) == []
    world.advance(controller_module.STALE_MS)
    assert sends(world.offer_call(number="other")) == ["x2"]


def test_a_slowdown_of_all_is_met_before_the_next_cycle() -> None:
    """Twenty calls a second to sixty ends that all stop answering at once: one set-up each in seconds, so no
    end's own gap has news, and the next cycle is up to a second away."""
    world = ControllerHarness(replace(SETTINGS, proxies=60, may_cancel=False), cells=60)
    for to in range(1, 60):
        world.offer_call(to=to, number=f"n{to}")
        world.handle(CallAnswered(world.serial, 0, f"x{to}", 40.0))
        world.advance(50)
        if to % 20 == 0:
            world.handle(TimerExpired(controller_module.RING_CYCLE))
    slow = []
    for to in range(1, 18):
        slow += sends(world.offer_call(to=to, number=f"m{to}"))
        world.advance(50)
    assert 3 <= len(slow) <= 6
    assert sends(world.offer_call(to=20, kind="dear", number="d")) == ["x20"]  # worthier calls run ahead
    world.handle(CallAnswered(world.serial, 0, "x20", 400.0))  # overtakes all that went before it
    assert sends(world.handle(TimerExpired(controller_module.RING_POLL)))


def test_a_cut_off_zone_does_not_close_the_window() -> None:
    world = ControllerHarness(replace(SETTINGS, proxies=60, may_cancel=False), cells=60)
    for to in range(1, 40):
        world.offer_call(to=to, number=f"n{to}")
        world.handle(CallAnswered(world.serial, 0, f"x{to}", 40.0))
        world.advance(50)
    world.handle(TimerExpired(controller_module.RING_CYCLE))
    first = world.serial - 38
    for to in range(1, 30):
        world.offer_call(to=to, number=f"m{to}")
        world.end_attempt(Outcome.ENDED, at=to, call=first + to - 1, ended=True)
        world.advance(50)
    assert sends(world.offer_call(to=50, number="k")) == []
    world.advance(controller_module.SILENT_MS / 2)
    assert sends(world.offer_call(to=51, number="l")) == ["x51"]


def test_peers_do_not_all_speak_at_once() -> None:
    told = []
    for me in range(60):
        world = ControllerHarness(replace(TELLING, proxies=60, me=me), seed=me)
        for second in range(30):
            world.report_group(1, 0)
            world.offer_call(to=1, in_transit=True, tandem=2)
            world.advance(1000)
            told += [
                second
                for a in world.handle(TimerExpired(controller_module.RING_CYCLE))
                if isinstance(a, SendPeerMessage)
            ]
    assert max(told.count(second) for second in range(30)) <= 3 * controller_module.ASK_RATE


def test_full_ends_do_not_blame_the_own_processor_while_calls_stand_briskly() -> None:
    for delay, blamed in ((50.0, False), (2500.0, True)):
        world = ControllerHarness(cells=6)
        world.offer_call(to=4, number="ok")
        world.handle(CallAnswered(world.serial, 0, "x4", 50.0))
        world.advance(1000)
        world.handle(TimerExpired(controller_module.RING_CYCLE))
        world.offer_call(to=5, number="ok2")
        world.advance(delay)
        world.handle(CallAnswered(world.serial, 0, "x5", delay))
        for to in (1, 2, 3):
            world.offer_call(to=to, number=f"n{to}")
            world.end_attempt(Outcome.NOT_SET_UP, at=to, clearing=ClearingCause.PROCESSOR_FULL)
        assert (world.controller.own.pause_until > world.now) == blamed
