"""Failure detection for one exchange: whether it is reachable. Uses neither sockets nor a clock.

What proves that the exchange is reachable, and for which moment:

- a dial that succeeded, or one that was refused while another connection is open: for the present, since the
  remote machine took part;
- a set-up that was answered, or refused for a reason that only the remote processor can know: for the moment
  at which the set-up was sent. The machine was reachable then; how long the answer was in transit is unknown;
- the release of a standing call by the exchange (weak evidence): for the present, but only within
  `WEAK_EVIDENCE_WINDOW_MS` of the last proof. A single release may have been in transit or buffered since
  before a network partition.

Nothing else is proof. Malformed or unusable set-ups are rejected with faults by whatever reads them, and a
full trunk group is known on this side. While an exchange's region is partitioned, such faults keep arriving
within 1 ms over connections opened earlier. Counted as proof, in a partition of 9.5 s, they made 32 calls
there seem to stand, and callers were told of their ends after 9 s instead of 8 s.

Callers must be told within 8 s of the end of a call that nobody can report any more (PROTOCOL, the rules on
sockets). The end may directly follow the last proof, so the time counts from there.
"""

from __future__ import annotations

from enum import Enum

WEAK_EVIDENCE_WINDOW_MS = 500.0
SUSPECT_AFTER_MS = 1500.0  # without proof; from then on a dial is needed
# Without proof. Of the 8 s, stray releases may have used up WEAK_EVIDENCE_WINDOW_MS, and the periodic check
# and the message to the caller need the rest.
UNREACHABLE_AFTER_MS = 6800.0


class ReachabilityState(Enum):
    """What is assumed of an exchange."""

    REACHABLE = "reachable"
    SUSPECT = "suspect"  # without proof for a while: a dial is to find out
    UNREACHABLE = "unreachable"  # without proof for so long that its standing calls count as ended


class Reachability:
    """The reachability of one exchange. All times are Unix milliseconds that never run backwards."""

    __slots__ = ("connection_was_reset", "last_proof_at")

    def __init__(self, now: float) -> None:
        self.last_proof_at = now  # the latest moment for which reachability is proven
        self.connection_was_reset = False  # and no dial has shown since whether the process is alive

    def state(self, now: float) -> ReachabilityState:
        since_proof_ms = now - self.last_proof_at
        if since_proof_ms > UNREACHABLE_AFTER_MS:
            return ReachabilityState.UNREACHABLE
        return ReachabilityState.SUSPECT if since_proof_ms > SUSPECT_AFTER_MS else ReachabilityState.REACHABLE

    def must_dial(self, now: float) -> bool:
        """Whether only a new dial can show if the exchange is reachable."""
        return self.connection_was_reset or self.state(now) is not ReachabilityState.REACHABLE

    def on_dial_succeeded(self, now: float) -> None:
        self.last_proof_at, self.connection_was_reset = max(self.last_proof_at, now), False

    def on_dial_refused(self, now: float, other_connection_open: bool) -> bool:
        """Record a refused dial; return whether it means that the exchange's process died.

        It does after a connection reset. A refusal alone means that the machine is up and accepts no new
        connections, as while it drains. It is no proof without another open connection, since then nobody
        could report the end of a call.
        """
        if self.connection_was_reset:
            self.connection_was_reset = False
            return True
        if other_connection_open:
            self.last_proof_at = max(self.last_proof_at, now)
        return False

    def on_connection_reset(self) -> None:
        """Record a reset. It alone does not show that the process died: live connections break, too."""
        self.connection_was_reset = True

    def on_set_up_answered(self, sent_at: float, now: float) -> None:
        """Record an answer, or a refusal by the remote processor, to a set-up that was sent at `sent_at`.
        Close enough to the last proof it also proves the present."""
        self.last_proof_at = max(self.last_proof_at, min(sent_at, now))
        self.on_call_released(now)

    def on_call_released(self, now: float) -> None:
        """Record that the exchange released a standing call, on any connection (weak evidence)."""
        if now - self.last_proof_at <= WEAK_EVIDENCE_WINDOW_MS:
            self.last_proof_at = max(self.last_proof_at, now)
