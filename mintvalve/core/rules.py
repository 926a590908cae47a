"""Rules that every call request and every set-up must satisfy, whatever the decision module decides."""

from __future__ import annotations

from dataclasses import dataclass

from mintvalve.core.calls import Call, CallState, CallRequest
from mintvalve.interface import Exchange, Outcome, Settings, ExchangeState

TIME_LIMIT_SLACK_MS = 50.0  # added to the configured time limits when the controller runs on sockets
# Final answers are sent this long before the caller gives up, since they take time to arrive.
ANSWER_MARGIN_MS = 15.0
MAX_WIDTH_CIRCUITS = 64
MAX_WAIT_MS = 600_000.0
# After these outcomes the exchange may still hold circuits for the attempt.
RELEASE_WAIT_OUTCOMES = frozenset({Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED})
# These outcomes prove that no exchange carried the attempt out.
NEVER_RUN_OUTCOMES = frozenset({Outcome.NOT_SET_UP, Outcome.UNREACHABLE, Outcome.NOT_SENT})


@dataclass(frozen=True, slots=True)
class SetUpRules:
    """The limits of the rules and the checks against them.

    `home_cell` is the number of the own exchange, and `release_wait_ms` the time for which a call must not be
    tried again after an outcome in `RELEASE_WAIT_OUTCOMES`.
    """

    home_cell: int
    max_attempts: int
    release_wait_ms: float
    cell_count: int = 0  # exchanges are numbered from 0 to below this; 0: not known

    @classmethod
    def from_settings(cls, settings: Settings) -> SetUpRules:
        cell_count = 0 if settings.pool_topology else settings.proxies
        return cls(settings.home, settings.max_attempts, settings.release_wait_ms, cell_count)

    def find_request_fault(self, request: CallRequest) -> str:
        """Describe the first value of the request that is out of range; empty if there is none. Guards the
        decision module and the exchanges against meaningless values: a width below 1 would even add to the
        circuits taken to be free."""
        if request.identity == 0:
            return "id must not be 0"
        if not 1 <= request.width <= MAX_WIDTH_CIRCUITS:
            return f"width must be 1 to {MAX_WIDTH_CIRCUITS} circuits, got {request.width}"
        if request.destination < 0 or 0 < self.cell_count <= request.destination:
            return f"no exchange has the number {request.destination}"
        if request.wait_ms > MAX_WAIT_MS:
            return f"wait must be at most {MAX_WAIT_MS:.0f} ms, got {request.wait_ms:.0f} ms"
        return ""

    def find_violation(self, call: Call, exchange: Exchange | None, now: float) -> str:
        """Describe the first rule that a set-up of this call to this exchange would break at `now` (Unix
        milliseconds); empty if there is none. `exchange` is None if it is not on the list."""
        if call.state is not CallState.HELD or call.attempt is not None:
            return f"the call is not held but {call.state.value}"
        if call.attempt_count >= self.max_attempts:
            return f"the call has used all its {self.max_attempts} attempts"
        if now < call.retry_allowed_at:
            return "circuits of the last attempt may not be released yet"
        if now >= call.deadline_at:
            return "the deadline of the call has passed"
        if exchange is None or exchange.state is not ExchangeState.READY:
            return "the exchange is draining or gone"
        if exchange.cell == self.home_cell:
            return "the exchange is the own one"
        if call.request.in_transit and exchange.cell != call.request.destination:
            return "a call in transit must go directly to its destination"
        return ""
