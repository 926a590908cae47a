"""Whether an exchange can be reached: the belief about one exchange, free of wires and of a clock of its own.

What proves it, and for which moment:

- a dial that came up, and one that was refused while a connection is open: for now. The other machine took
  part;
- a set-up that was answered, or refused for a reason that only a processor there can know: for the moment at
  which the set-up left. Its machine was there then; how long the answer was under way is not known;
- the end of a call that stood: for now, but only within `TALK_MS` of a moment already proven, as part of a
  talk. Alone it may have been under way, or held somewhere, since before the way was cut.

Nothing else does: a set-up that can't be read or used is turned away by whatever reads it, and a full group
is known on this side. Seen on a day of bad clients and bad peers: a region was cut off for 9.5 s; what bad
clients sent there went on being answered with faults within 1 ms, by connections open since before. Each of
those answers vouched for 32 calls that stood there, and callers heard of ends after 9 s in place of 8.

Callers must hear within 8 s of an end that nobody can tell of (PROTOCOL, the rules on sockets). The end may
have come right after the last proof, so the time counts from there.
"""

from __future__ import annotations

from enum import Enum

TALK_MS = 500.0  # ms; a word so long after the last proof is no part of a talk any more
QUIET_MS = 1500.0  # ms; without a proof for so long, a dial is to find out
LOST_MS = 6800.0  # ms; without a proof for so long, what stands there is over: of the 8 s, TALK_MS may have
# passed in a talk with strays, and the look and the way to the caller need the rest


class ReachabilityState(Enum):
    """What is believed of an exchange."""

    TALKING = "talking"  # proven of late
    ASKING = "asking"  # a dial is to find out
    LOST = "lost"  # out of reach for so long that nothing there is held to stand any more


class Reachability:
    """One exchange's. Every method takes the time in Unix milliseconds; it never runs backwards."""

    __slots__ = ("proven_at", "was_reset")

    def __init__(self, now: float) -> None:
        self.proven_at = now
        self.was_reset = False  # a connection was, and whether the process is there is not known yet

    def state(self, now: float) -> ReachabilityState:
        silence = now - self.proven_at
        if silence > LOST_MS:
            return ReachabilityState.LOST
        return ReachabilityState.ASKING if silence > QUIET_MS else ReachabilityState.TALKING

    def must_dial(self, now: float) -> bool:
        """Only a dial can tell."""
        return self.was_reset or self.state(now) is not ReachabilityState.TALKING

    def came_up(self, now: float) -> None:
        """A dial came up."""
        self.proven_at, self.was_reset = max(self.proven_at, now), False

    def refused(self, now: float, connected: bool) -> bool:
        """A dial was refused; `connected` where another connection is open. True: the process died. A reset
        followed by a refusal says so; a refusal alone says that its machine is there and takes no new
        connections, as while it drains, and without any connection nobody could tell of an end."""
        if self.was_reset:
            self.was_reset = False
            return True
        if connected:
            self.proven_at = max(self.proven_at, now)
        return False

    def reset(self) -> None:
        """A connection was reset. That alone proves nothing: connections break under a process that lives."""
        self.was_reset = True

    def answered(self, sent_at: float, now: float) -> None:
        """A set-up that left at `sent_at` was answered."""
        self.proven_at = max(self.proven_at, min(sent_at, now))
        self.word(now)

    def word(self, now: float) -> None:
        """A call that stood was ended from there, on any connection."""
        if now - self.proven_at <= TALK_MS:
            self.proven_at = max(self.proven_at, now)
