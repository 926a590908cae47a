"""The rules that bind every set-up, whatever the desk decided: the last look before one leaves."""

from __future__ import annotations

from dataclasses import dataclass

from mintvalve.core.calls import Call, CallState, CallRequest
from mintvalve.interface import Exchange, Outcome, Settings, ExchangeState

SLACK_MS = 50.0  # ms; on sockets every time limit is that much longer
MARGIN_MS = 15.0  # ms; a call is answered so long before its caller gives up: the way back takes time, too
WIDEST = 64  # circuits; no call takes more
LONGEST_WAIT_MS = 600_000.0  # ms; no caller waits longer
MUST_WAIT = frozenset({Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED})


@dataclass(frozen=True, slots=True)
class SetUpRules:
    """The figures of the rules, and the checks."""

    home: int
    max_attempts: int
    release_wait_ms: float
    cells: int = 0  # exchanges are numbered below this; 0: not known

    @classmethod
    def of(cls, settings: Settings) -> SetUpRules:
        cells = 0 if settings.pool_topology else settings.proxies
        return cls(settings.home, settings.max_attempts, settings.release_wait_ms, cells)

    def out_of_range(self, request: CallRequest) -> str:
        """What no call can ask for; empty where all is well. Guards the desk and the exchanges against
        figures that mean nothing: a width below 1 would even add to the circuits believed free."""
        if request.identity == 0:
            return "a call needs an id"
        if not 1 <= request.width <= WIDEST:
            return f"a call takes 1 to {WIDEST} circuits"
        if request.destination < 0 or 0 < self.cells <= request.destination:
            return "no exchange has this number"
        if request.wait_ms > LONGEST_WAIT_MS:
            return "no caller waits so long"
        return ""

    def broken_by(self, call: Call, exchange: Exchange | None, now: float) -> str:
        """The rule that a set-up of this call to this exchange would break; empty where none."""
        if call.state is not CallState.HELD or call.attempt is not None:
            return f"the call is {call.state.value}"
        if call.attempts >= self.max_attempts:
            return "the call has had all its attempts"
        if now < call.not_before:
            return "what the last attempt held may still be taken"
        if now >= call.deadline_at:
            return "the caller has given up"
        if exchange is None or exchange.state is not ExchangeState.READY:
            return "the exchange drains or is gone"
        if exchange.cell == self.home:
            return "a call never goes to the own exchange"
        if call.request.in_transit and exchange.cell != call.request.destination:
            return "a call in transit goes to its destination only"
        return ""
