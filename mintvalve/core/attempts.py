"""The attempts and standing calls at one exchange, by the connection that each lies on.

A way is whatever its owner sends words by; here it is only compared. Nothing here knows a wire or a clock.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from mintvalve.core.calls import Attempt, CallState
from mintvalve.core.nested_tables import remove_nested

W = TypeVar("W", bound=Hashable)

TAINTED_MOST = 512  # attempts given up at an exchange of which is kept where they went
OVER_MOST = 4096  # calls that ended, of which is kept that they did


@dataclass(slots=True, eq=False)
class OutstandingAttempt(Generic[W]):
    """An attempt, from its set-up to the end of the call that it led to."""

    attempt: Attempt
    way: W | None = None  # None: waits for a connection, or outlived its own
    start: int = 0  # bytes queued on the connection before the set-up
    reads: int = 0  # what came with this read or before was said before the set-up left

    @property
    def identity(self) -> int:
        return self.attempt.call.request.identity

    @property
    def standing(self) -> bool:
        return self.attempt.call.state is CallState.STANDING

    @property
    def trying(self) -> bool:
        return self.attempt.call.state is CallState.TRYING


class AttemptTable(Generic[W]):
    """All at one exchange. An entry ends with its call or attempt (`pop`), or with its way (`lost_with`);
    there are no more than calls open here."""

    def __init__(self) -> None:
        self.all: dict[int, OutstandingAttempt[W]] = {}
        self.by_way: dict[W, dict[int, OutstandingAttempt[W]]] = {}
        self.tainted: dict[int, set[W]] = {}  # call -> ways on which an earlier attempt may be answered yet

    def __len__(self) -> int:
        return len(self.all)

    def begin(self, attempt: Attempt) -> OutstandingAttempt[W]:
        """A set-up is about to leave."""
        identity = attempt.call.request.identity
        self.pop(identity)
        flight = self.all[identity] = OutstandingAttempt(attempt)
        return flight

    def leaves(self, flight: OutstandingAttempt[W], way: W, start: int, reads: int) -> None:
        """Its set-up goes by this way."""
        self.ground(flight)
        flight.way, flight.start, flight.reads = way, start, reads
        self.by_way.setdefault(way, {})[flight.identity] = flight

    def ground(self, flight: OutstandingAttempt[W]) -> None:
        """It is bound to no way any more."""
        if flight.way is not None:
            remove_nested(self.by_way, flight.way, flight.identity)
        flight.way = None

    def pop(self, identity: int) -> OutstandingAttempt[W] | None:
        """The attempt, or its call, is over; the flight keeps its way for whoever asks where it went."""
        flight = self.all.pop(identity, None)
        if flight is not None and flight.way is not None:
            remove_nested(self.by_way, flight.way, identity)
        return flight

    def waiting(self) -> list[OutstandingAttempt[W]]:
        """Set-ups without a connection yet."""
        return [each for each in self.all.values() if each.way is None and each.trying]

    def grounded(self) -> list[OutstandingAttempt[W]]:
        """Calls that stand and outlived their connection."""
        return [each for each in self.all.values() if each.way is None and each.standing]

    def needs(self, way: W, crowded: bool) -> bool:
        """Something is open on it; where connections are few, calls that stand do without one of their
        own."""
        there = self.by_way.get(way, {}).values()
        return any(each.trying for each in there) if crowded else bool(there)

    # Whose an answer is.

    def taint(self, identity: int, way: W) -> None:
        """An attempt is over here, and an answer to it may still come by this way."""
        self.tainted.setdefault(identity, set()).add(way)
        if len(self.tainted) > TAINTED_MOST:
            del self.tainted[next(iter(self.tainted))]

    def fit(self, identity: int, ways: Iterable[W]) -> list[W]:
        """The ways on which no answer to an earlier attempt of the call can come. Guards against taking that
        answer for this attempt's: one that came late, for a call that was over, was passed on as good."""
        used = self.tainted.get(identity, ())
        return [each for each in ways if each not in used]

    def meant(self, identity: int, way: W, reads: int) -> tuple[OutstandingAttempt[W] | None, bool]:
        """The flight that a word which came by this way, with this read, belongs to; and whether it is one
        of an earlier attempt of a call that is tried again: it came by another way, or before this set-up
        left."""
        flight = self.all.get(identity)
        if flight is not None and flight.trying and (flight.way is not way or reads <= flight.reads):
            return None, True
        return flight, False

    def lost_with(self, way: W) -> list[OutstandingAttempt[W]]:
        """A way is gone, and with it the set-ups open on it, which are returned; calls that stand go on."""
        over = []
        for flight in list(self.by_way.get(way, {}).values()):
            if flight.standing:
                self.ground(flight)
            else:
                over.append(flight)
        for identity, ways in list(self.tainted.items()):
            ways.discard(way)
            if not ways:
                del self.tainted[identity]
        return over


class EndedCalls:
    """Calls that ended here, the latest ones: whoever still speaks of one is late, not of an earlier life."""

    def __init__(self, most: int = OVER_MOST) -> None:
        self.most = most
        self.calls: dict[int, None] = {}

    def __contains__(self, call: int) -> bool:
        return call in self.calls

    def add(self, call: int) -> None:
        self.calls[call] = None
        if len(self.calls) > self.most:
            del self.calls[next(iter(self.calls))]
