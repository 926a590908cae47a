"""Random legal event sequences: the five rules, the attempt cap and bounded state hold on all of them."""

from dataclasses import replace
from random import Random

import pytest

from mintvalve import controller as controller_module
from mintvalve.interface import (
    Action,
    AttemptEnded,
    CallerLeft,
    CallOffered,
    CallAnswered,
    ClearingCause,
    Fail,
    ListUpdateKind,
    Outcome,
    Refuse,
    LoadReport,
    SetTimer,
    SetUp,
    ExchangeState,
    TimerExpired,
)
from tests.controller_harness import SETTINGS, ControllerHarness

BAD = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


class Referee:
    """Plays a random host and judges each action."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.timers: list[tuple[float, int]] = []
        self.open: dict[int, float] = {}
        self.transit: dict[int, int] = {}
        self.out: dict[int, tuple[str, float, int]] = {}
        self.sends: dict[int, int] = {}
        self.bad_at: dict[int, float] = {}
        self.told: dict[str, float] = {}
        self.trace: list[Action] = []
        self.world = ControllerHarness(replace(SETTINGS, tells_wait=True), seed)
        self.judge(self.world.actions)
        self.states = {cell: ExchangeState.READY for cell in range(1, 4)}

    def judge(self, actions: list[Action]) -> None:
        now = self.world.now
        self.trace += actions
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((now + action.after_ms, action.token))
            elif isinstance(action, Refuse | Fail):
                assert action.call in self.open and action.call not in self.out
                del self.open[action.call]
            elif isinstance(action, SetUp):
                call, cell = action.call, int(action.address[1:])
                assert call in self.open and call not in self.out and now < self.open[call]
                assert now - self.bad_at.get(call, -1e9) >= SETTINGS.release_wait_ms
                assert action.address not in self.told and cell != 0
                assert self.transit.get(call, cell) == cell
                self.sends[call] = self.sends.get(call, 0) + 1
                assert self.sends[call] <= SETTINGS.max_attempts
                self.out[call] = (action.address, now + action.timeout_ms, self.sends[call] - 1)

    def do(self, event: object) -> None:
        self.judge(self.world.handle(event))  # type: ignore[arg-type]

    def end(self, call: int, outcome: Outcome, clearing: int = 0, ended: bool = False) -> None:
        address, _, attempt = self.out.pop(call)
        if outcome in BAD:
            self.bad_at[call] = self.world.now
        if ended:
            self.open.pop(call, None)
        report = LoadReport(free=self.rng.randrange(0, 12), circuits=20)
        self.do(AttemptEnded(call, attempt, address, outcome, 30.0, ended, clearing, 0.0, report))

    def step(self) -> None:
        world, rng = self.world, self.rng
        world.now += 5 * rng.randrange(1, 12)
        for due in sorted(t for t in self.timers if t[0] <= world.now):
            self.timers.remove(due)
            self.do(TimerExpired(due[1]))
        for call, (_, expires, _) in list(self.out.items()):
            if expires <= world.now:
                self.end(call, Outcome.TIMED_OUT)
        for call, due_ms in self.open.items():
            assert world.now <= due_ms + SETTINGS.answer_slack_ms or call in self.out
        kind = rng.randrange(8)
        if kind < 3:
            world.serial += 1
            transit = rng.random() < 0.3
            until = world.now + rng.choice((200.0, 1500.0, 3000.0))
            self.open[world.serial] = until
            dest = rng.randrange(1, 4)
            if transit:
                self.transit[world.serial] = dest
            number = f"n{rng.randrange(500)}"
            self.do(
                CallOffered(
                    world.serial,
                    rng.choice(("plain", "dear")),
                    number,
                    until,
                    dest,
                    tandem=rng.randrange(1, 4),
                    in_transit=transit,
                )
            )
        elif kind == 3 and self.out:
            call = rng.choice(list(self.out))
            self.do(CallAnswered(call, self.out[call][2], self.out[call][0], 40.0))
            self.end(call, rng.choice((Outcome.ENDED, Outcome.RESET)), ended=True)
        elif kind == 4 and self.out:
            outcome, clearing = rng.choice(
                (
                    (Outcome.NOT_SET_UP, ClearingCause.TURNED_BACK),
                    (Outcome.NOT_SET_UP, ClearingCause.PROCESSOR_FULL),
                    (Outcome.NOT_SENT, ClearingCause.NO_CIRCUIT),
                    (Outcome.UNREACHABLE, 0),
                    (Outcome.RESET, 0),
                    (Outcome.LINE_BUSY, ClearingCause.NUMBER_BUSY),
                    (Outcome.LINE_BUSY, 0),
                    (Outcome.CANCELLED, 0),
                )
            )
            self.end(rng.choice(list(self.out)), outcome, clearing)
        elif kind == 5 and self.open:
            call = rng.choice(list(self.open))
            del self.open[call]
            self.do(CallerLeft(call))
        elif kind == 6:
            self.judge(world.report_group(rng.randrange(1, 4), rng.randrange(0, 12)))
        elif rng.random() < 0.2:
            cell = rng.randrange(1, 4)
            state = rng.choice(list(ExchangeState))
            if state is ExchangeState.READY:
                self.told.pop(f"x{cell}", None)
            else:
                self.told[f"x{cell}"] = world.now
            self.judge(world.update_exchanges(ListUpdateKind.CHANGES, ControllerHarness.entry(cell, state)))


@pytest.mark.parametrize("seed", range(12))
def test_rules_on_random_sequences(seed: int) -> None:
    referee = Referee(seed)
    for _ in range(2500):
        referee.step()
    controller = referee.world.controller
    assert any(isinstance(action, SetUp) for action in referee.trace)
    assert len(controller.calls) <= len(referee.open) + len(referee.out)
    assert len(controller.held) <= len(controller.calls)
    assert len(controller.numbers) <= 500 and len(controller.first_tries) <= 500
    assert sum(hasattr(action, "text") for action in referee.trace) <= controller_module.KEEP_LINES


def test_same_events_same_actions() -> None:
    first, second = Referee(3), Referee(3)
    for _ in range(1500):
        first.step()
        second.step()
    assert first.trace == second.trace
