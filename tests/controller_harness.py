"""A small host for tests: settings, a list, calls, and a check of the rules on what comes back."""

from __future__ import annotations

from dataclasses import replace

from mintvalve import controller as controller_module
from mintvalve.controller import Controller
from mintvalve.interface import (
    Action,
    AttemptEnded,
    CallClass,
    CallOffered,
    Event,
    Exchange,
    ListUpdateKind,
    ExchangeListUpdate,
    Outcome,
    LoadReport,
    LoadReported,
    SetUp,
    Settings,
    Started,
    ExchangeState,
)

PLAIN = CallClass("plain", aim_ms=1000, deadline_ms=9000, worth=1.0, late_worth=0.25, holding_ms=10_000)
DEAR = CallClass("dear", aim_ms=1000, deadline_ms=9000, worth=5.0, late_worth=0.25, holding_ms=10_000)
SETTINGS = Settings(
    proxies=4,
    home=0,
    classes=(PLAIN, DEAR),
    max_attempts=6,
    may_probe=False,
    may_cancel=True,
    report_fields=("free", "circuits"),
    reports_in_answers=True,
    release_wait_ms=300,
    drain_grace_ms=1000,
    answer_slack_ms=20,
    cold_capacity=0.3,
    cold_ms=10_000,
    fall_multiple=2,
    fall_ms=1000,
    step_ms=5,
)


class ControllerHarness:
    """One controller, its clock and its actions."""

    def __init__(self, settings: Settings = SETTINGS, seed: int = 1, cells: int = 4, free: int = 20) -> None:
        self.settings = settings
        self.controller = Controller(settings, seed)
        self.now = 1000.0
        self.serial = 100
        self.actions: list[Action] = []
        self.handle(Started())
        self.update_exchanges(ListUpdateKind.CACHED, *[self.entry(cell) for cell in range(cells)])
        for cell in range(1, cells):
            self.report_group(cell, free)

    @staticmethod
    def entry(cell: int, state: ExchangeState = ExchangeState.READY, born: float = 0.0) -> Exchange:
        return Exchange(f"x{cell}", cell, state, "z", born)

    def handle(self, event: Event) -> list[Action]:
        actions = self.controller.handle(self.now, event)
        self.actions += actions
        return actions

    def advance(self, ms: float) -> None:
        """Time passes; the own timers rang in time meanwhile."""
        self.now += ms
        self.controller.due = self.now + controller_module.CYCLE_MS

    def update_exchanges(self, kind: ListUpdateKind, *entries: Exchange) -> list[Action]:
        return self.handle(ExchangeListUpdate(kind, entries))

    def report_group(self, cell: int, free: int, circuits: int = 20) -> list[Action]:
        return self.handle(LoadReported(f"x{cell}", True, False, LoadReport(free=free, circuits=circuits)))

    def offer_call(
        self, to: int = 1, kind: str = "plain", number: str = "n", due: float = 3000.0, **more: object
    ) -> list[Action]:
        self.serial += 1
        offer = CallOffered(self.serial, kind, number, self.now + due, to)
        return self.handle(replace(offer, **more))  # type: ignore[arg-type]

    def end_attempt(
        self,
        outcome: Outcome,
        at: int = 1,
        call: int | None = None,
        ended: bool = False,
        clearing: int = 0,
        report: LoadReport | None = None,
        attempt: int = 0,
    ) -> list[Action]:
        return self.handle(
            AttemptEnded(
                call or self.serial,
                attempt,
                f"x{at}",
                outcome,
                50.0,
                ended,
                clearing,
                0.0,
                report or LoadReport(),
            )
        )


def sends(actions: list[Action]) -> list[str]:
    """Where set-ups went."""
    return [action.address for action in actions if isinstance(action, SetUp)]
