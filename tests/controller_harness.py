"""A host for tests of the controller: settings, an exchange list, a clock, and the events of calls."""

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
HIGH_WORTH = CallClass("dear", aim_ms=1000, deadline_ms=9000, worth=5.0, late_worth=0.25, holding_ms=10_000)
SETTINGS = Settings(
    proxies=4,
    home=0,
    classes=(PLAIN, HIGH_WORTH),
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
    overload_multiple=2,
    overload_ms=1000,
    step_ms=5,
)


class ControllerHarness:
    """One controller, its clock and the actions that it returned.

    Exchange `n` has address `xn`; exchange 0 is the own one. Events are handled at `now`; timers do not
    expire by themselves.
    """

    def __init__(
        self, settings: Settings = SETTINGS, seed: int = 1, exchange_count: int = 4, free_circuits: int = 20
    ) -> None:
        self.settings = settings
        self.controller = Controller(settings, seed)
        self.now = 1000.0
        self.last_call_id = 100
        self.actions: list[Action] = []
        self.handle(Started())
        self.update_exchanges(
            ListUpdateKind.CACHED, *[self.exchange_entry(cell) for cell in range(exchange_count)]
        )
        for cell in range(1, exchange_count):
            self.report_group(cell, free_circuits)

    @staticmethod
    def exchange_entry(
        cell: int, state: ExchangeState = ExchangeState.READY, up_since_ms: float = 0.0
    ) -> Exchange:
        return Exchange(f"x{cell}", cell, state, "z", up_since_ms)

    def handle(self, event: Event) -> list[Action]:
        actions = self.controller.handle(self.now, event)
        self.actions += actions
        return actions

    def advance(self, duration_ms: float) -> None:
        """Move the clock on without a stall: as if the timer of the control cycle had expired in time."""
        self.now += duration_ms
        self.controller.next_cycle_at = self.now + controller_module.CYCLE_MS

    def update_exchanges(self, kind: ListUpdateKind, *entries: Exchange) -> list[Action]:
        return self.handle(ExchangeListUpdate(kind, entries))

    def report_group(self, cell: int, free_circuits: int, circuits: int = 20) -> list[Action]:
        return self.handle(
            LoadReported(f"x{cell}", True, False, LoadReport(free=free_circuits, circuits=circuits))
        )

    def offer_call(
        self,
        destination: int = 1,
        call_class: str = "plain",
        number: str = "n",
        time_left_ms: float = 3000.0,
        **other_fields: object,
    ) -> list[Action]:
        """Offer a new call; `other_fields` are those of `CallOffered`."""
        self.last_call_id += 1
        offer = CallOffered(self.last_call_id, call_class, number, self.now + time_left_ms, destination)
        return self.handle(replace(offer, **other_fields))  # type: ignore[arg-type]

    def end_attempt(
        self,
        outcome: Outcome,
        cell: int = 1,
        call: int | None = None,
        ended: bool = False,
        clearing_cause: int = 0,
        report: LoadReport | None = None,
        attempt: int = 0,
    ) -> list[Action]:
        """End an attempt at the exchange of a cell, by default of the last call."""
        return self.handle(
            AttemptEnded(
                call or self.last_call_id,
                attempt,
                f"x{cell}",
                outcome,
                50.0,
                ended,
                clearing_cause,
                0.0,
                report or LoadReport(),
            )
        )


def set_up_addresses(actions: list[Action]) -> list[str]:
    """Addresses that set-ups were sent to, in order."""
    return [action.address for action in actions if isinstance(action, SetUp)]
