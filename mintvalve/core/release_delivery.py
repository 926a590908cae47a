"""Releases on their way to the other side: said, heard, said again by the next way that fits, given up.

A call that is over must be told to whom it concerns, and a word written to a connection is not heard: it
may be closing, or silent for good. This is the small protocol that tells the two apart, for callers and for
exchanges alike. It is free of wires and clocks; a way is a connection, of which only the facts of `Way` are
asked, and `Mouth` writes to it.

A release is `OWED` until it has been said, then `SAID`. It ends

- heard: the other side acknowledged it, on any way;
- sure: it was said by a way of whom it is meant for, whose side does not acknowledge, the way is open
  still, and has spoken since (so it works), `SURE_MS` after;
- late: after `keep_ms`, or as the oldest of more than `most`.

It is said again when the way by which it was said ends before that, when no acknowledgement comes within
`ACK_MS` though that side sends them and another way fits, and, if it was said to another host for want of a
better one, as soon as one of the right host opens: at most `MOST_SAYS` times. Seen on days of bad clients:
releases were written to connections that were just closing, or to another caller's, and were taken for
told.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Generic, Protocol, TypeVar

from mintvalve.core.nested_tables import remove_nested

ACK_MS = 300.0  # ms; a side that acknowledges does so by then, else another way is tried
SURE_MS = 1000.0  # ms; so long a way must have lasted after a release to a side that never acknowledges
MEANT_MS = 500.0  # ms; then any way will do where no better one has come: callers must hear within 1 s
LOOK_MS = 50.0  # ms between looks at these times, while anything is owed
MOST_SAYS = 4  # times; then it waits for its end
SLICE = 128  # releases said in one go; the rest waits for the next look, and the loop is not held


class ReleaseConnection(Protocol):
    """A connection, as far as releases are concerned; compared by identity."""

    @property
    def host(self) -> str: ...  # whose it is

    @property
    def is_open(self) -> bool: ...

    @property
    def is_trusted(self) -> bool: ...  # somebody who means it is there: its call stood, or it acknowledged

    @property
    def acknowledges(self) -> bool: ...  # it has done so before

    @property
    def last_data_at(self) -> float: ...  # Unix ms, of the last bytes that came


W = TypeVar("W", bound=ReleaseConnection)
W_say = TypeVar("W_say", bound=ReleaseConnection, contravariant=True)


class ReleaseWriter(Protocol[W_say]):
    """Whoever writes."""

    def write_release(self, way: W_say, call: int, cause: int) -> bool:
        """Write a release; False where the way is no longer open, or full."""
        ...


class ConnectionMatch(IntEnum):
    """How well a way fits a release, the best first."""

    HOME = 0  # the way of its set-up
    HOST = 1  # of the same host
    PROVEN = 2  # of another one, that knows calls
    ANY = 3
    NONE = 4


class ReleaseStage(Enum):
    OWED = "owed"
    SAID = "said"


@dataclass(slots=True, eq=False)
class PendingRelease(Generic[W]):
    """One call's release."""

    call: int
    cause: int
    home: W | None
    host: str  # empty: nobody knows whose it is
    since: float
    stage: ReleaseStage = ReleaseStage.OWED
    says: int = 0
    said_at: float = 0.0
    by: W | None = None  # the way by which it was said last
    fit: ConnectionMatch = (
        ConnectionMatch.NONE
    )  # of the best way by which it was said and that did not end since
    ever: bool = False  # it was said
    used: tuple[W, ...] = ()

    @property
    def met(self) -> bool:
        """Said to whom it is meant for, as far as that is known."""
        return self.fit in (ConnectionMatch.HOME, ConnectionMatch.HOST) or (
            not self.host and self.fit is ConnectionMatch.PROVEN
        )


class ReleaseDelivery(Generic[W]):
    """All releases owed to one side. `ends` counts how they ended. Without `strangers` a release goes to
    nobody but its home and its own host."""

    def __init__(self, mouth: ReleaseWriter[W], keep_ms: float, most: int, strangers: bool = True) -> None:
        self.mouth, self.keep_ms, self.most, self.strangers = mouth, keep_ms, most, strangers
        self.all: dict[int, PendingRelease[W]] = {}  # by call, the oldest first
        self.owed: dict[int, PendingRelease[W]] = {}  # those not said
        self.said: dict[int, PendingRelease[W]] = {}  # the others, in the order in which they were
        self.by_host: dict[str, dict[int, PendingRelease[W]]] = {}
        self.by_way: dict[W, dict[int, PendingRelease[W]]] = {}  # said by it last
        self.ways: dict[W, None] = {}  # open, in the order in which they opened
        self.ways_of: dict[str, dict[W, None]] = {}  # the same by host
        self.good: dict[W, None] = {}  # those of them that are proven
        self.ends: dict[str, int] = {}
        self.left = 0  # that may still be said in this go

    def __len__(self) -> int:
        return len(self.all)

    def __contains__(self, call: int) -> bool:
        return call in self.all

    # What happens.

    def enqueue_release(self, call: int, cause: int, home: W | None, host: str, now: float) -> None:
        """A call is over. What was owed for it before is replaced."""
        self.end(call, "replaced")
        release = PendingRelease(call, cause, home, host, now)
        self.all[call] = self.owed[call] = release
        self.by_host.setdefault(host, {})[call] = release
        while len(self.all) > self.most:
            self.end(next(iter(self.all)), "crowded out")
        self.left = 1
        if call in self.all:
            self.tell(release, now)

    def on_connection_opened(self, way: W, now: float) -> None:
        """A connection came up: what is owed to its host goes out by it."""
        self.ways[way] = None
        self.ways_of.setdefault(way.host, {})[way] = None
        self.left = SLICE
        for release in list(self.by_host.get(way.host, {}).values()) if way.host else []:
            # One said before is said again where it was not heard, or only by another host.
            if release.stage is ReleaseStage.OWED or not release.met or self.unheard(release, now):
                self.by(release, way, now)
        if way.is_trusted:
            self.on_connection_trusted(way, now)

    def redirect(self, call: int, way: W, now: float) -> bool:
        """Whom it is meant for has come back by this way; False where nothing is owed for the call."""
        release = self.all.get(call)
        if release is None:
            return False
        release.home, release.used, release.says, self.left = way, (), 0, SLICE
        self.by(release, way, now)
        return True

    def on_connection_trusted(self, way: W, now: float) -> None:
        """Somebody who means it is there: what found no other way may go by this one."""
        self.good[way] = None
        self.left = SLICE
        for release in list(self.owed.values()):
            if not self.left:
                break
            self.by(release, way, now)

    def on_acknowledged(self, call: int) -> bool:
        """The other side acknowledged it; False where nothing was said."""
        release = self.all.get(call)
        if release is None or not release.ever:
            return False
        if release.met or not release.host:
            self.end(call, "heard")
        else:  # by another host; its own is told, too, should it come
            self.unplace(release)
            release.stage, release.by = ReleaseStage.SAID, None
        return True

    def on_connection_closed(self, way: W, now: float) -> None:
        """A connection is gone, and what was said by it may not have been heard."""
        self.ways.pop(way, None)
        self.good.pop(way, None)
        remove_nested(self.ways_of, way.host, way)
        lost = self.by_way.pop(way, {})
        self.left = SLICE
        for release in list(lost.values()):
            self.said.pop(release.call, None)
            release.stage, release.by, release.fit = ReleaseStage.OWED, None, ConnectionMatch.NONE
            release.says -= 1  # in vain: that is no reason to say it less often to others
            release.used = tuple(each for each in release.used if each is not way)
            self.owed[release.call] = release
            self.tell(release, now)

    def look(self, now: float) -> None:
        """What time brings: the end of a wait for an acknowledgement, of doubt, and of patience."""
        while self.all:
            release = next(iter(self.all.values()))
            if now - release.since < self.keep_ms:
                break
            self.end(release.call, "late" if release.stage is ReleaseStage.OWED else "unsure")
        self.left = SLICE
        for release in list(self.said.values()):
            if now - release.said_at < ACK_MS or not self.left:
                break
            way = release.by
            works = way is not None and way.is_open and way.last_data_at > release.said_at
            if (
                works
                and way is not None
                and not way.acknowledges
                and release.met
                and now - release.said_at >= SURE_MS
            ):
                self.end(release.call, "sure")
            elif self.unheard(release, now):
                self.tell(release, now)
        for release in list(self.owed.values()) if self.ways else ():
            if not self.left:
                break
            self.tell(release, now)

    # What is done.

    def unheard(self, release: PendingRelease[W], now: float) -> bool:
        """It was said some time ago, and nothing shows that it came through."""
        way = release.by
        if release.stage is not ReleaseStage.SAID or way is None or now - release.said_at < ACK_MS:
            return False
        return way.acknowledges or not way.is_open or way.last_data_at <= release.said_at

    def fits(self, release: PendingRelease[W], way: W, now: float) -> ConnectionMatch:
        if way in release.used or not way.is_open:
            return ConnectionMatch.NONE
        if way is release.home:
            return ConnectionMatch.HOME
        if release.host and way.host == release.host:
            return ConnectionMatch.HOST
        if not self.strangers:
            return ConnectionMatch.NONE
        if way.is_trusted:
            return ConnectionMatch.PROVEN
        return ConnectionMatch.ANY if now - release.since >= MEANT_MS else ConnectionMatch.NONE

    def tell(self, release: PendingRelease[W], now: float) -> None:
        """By the way that fits best, if any; one said to whom it is meant for only to the same again."""
        if release.says >= MOST_SAYS or not self.left:
            return
        again = release.stage is ReleaseStage.SAID and release.met
        tries = 0
        for way in self.candidates(release, now, again):
            if self.fits(release, way, now) is not ConnectionMatch.NONE:
                if self.by(release, way, now):
                    return
                tries += 1  # it is full, or has just ended
                if tries >= MOST_SAYS:
                    return

    def candidates(self, release: PendingRelease[W], now: float, near: bool) -> Iterator[W]:
        """Ways, those that fit best first, the newest of a kind first; with `near` those of its own host."""
        if release.home is not None:
            yield release.home
        if release.host:
            yield from reversed(self.ways_of.get(release.host, {}))
        if not near and self.strangers:
            yield from reversed(self.good)
            if now - release.since >= MEANT_MS:
                yield from reversed(self.ways)

    def by(self, release: PendingRelease[W], way: W, now: float) -> bool:
        """Say it by this way, if it fits."""
        fit = self.fits(release, way, now)
        if fit is ConnectionMatch.NONE or release.says >= MOST_SAYS or not self.left:
            return False
        if not self.mouth.write_release(way, release.call, release.cause):
            return False
        self.left -= 1
        self.unplace(release)
        release.says += 1
        release.stage, release.said_at, release.by, release.ever = ReleaseStage.SAID, now, way, True
        release.fit = min(fit, release.fit)
        release.used = (*release.used, way)
        self.said[release.call] = release
        self.by_way.setdefault(way, {})[release.call] = release
        return True

    def unplace(self, release: PendingRelease[W]) -> None:
        self.owed.pop(release.call, None)
        self.said.pop(release.call, None)
        if release.by is not None:
            remove_nested(self.by_way, release.by, release.call)

    def end(self, call: int, how: str) -> None:
        release = self.all.pop(call, None)
        if release is None:
            return
        self.ends[how] = self.ends.get(how, 0) + 1
        self.unplace(release)
        remove_nested(self.by_host, release.host, call)

    def has_deliverable(self) -> bool:
        """Something was said and its acknowledgement may be under way, or may still be said."""
        waits = (each.by for each in self.said.values())
        return bool(self.owed and self.ways) or any(by and by.is_open and by.acknowledges for by in waits)
