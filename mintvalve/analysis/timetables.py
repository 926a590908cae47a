"""Which rule of a weekly timetable is in force, in a named zone, and when that changes next.

A rule holds at an instant if the wall clock of the zone shows a time within one of its spans. So the hour
that occurs twice belongs to its span both times, and a span that begins in the hour that is missing begins
with the jump. A span may cross midnight and belongs to the day on which it begins. A dated exception takes
the place of all that would hold on its date, what spills over from the day before included; its own last
span may spill over into a day without one. Two spans of one day that overlap are a fault of the table
(`overlaps`).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import date, datetime, time, timedelta, tzinfo
from itertools import pairwise

DAY = 24 * 60  # minutes
AHEAD_DAYS = 9  # a week's timetable has shown all it can by then, a change of the clock at its end included


@dataclass(frozen=True, slots=True)
class Span:
    """From `start` on, until before `end`, in minutes of the wall clock's day; an end at or before the
    start is one of the next day."""

    start: int
    end: int

    @property
    def over(self) -> int:
        """Minutes of the next day that belong to it."""
        return self.end if self.end <= self.start else 0

    @property
    def until(self) -> int:
        """Its end on its own day."""
        return DAY if self.end <= self.start else self.end


@dataclass(frozen=True, slots=True)
class Timetable:
    """Rules by the day of the week (0: Monday) and by date; `usual` where none holds."""

    zone: tzinfo
    usual: str
    weekly: tuple[tuple[tuple[Span, str], ...], ...]
    dated: dict[date, tuple[tuple[Span, str], ...]] = field(default_factory=dict)

    def rules(self, day: date) -> tuple[tuple[Span, str], ...]:
        """What begins on a day."""
        return self.dated[day] if day in self.dated else self.weekly[day.weekday()]

    def at(self, when: float) -> str:
        """The rule in force at a Unix time in seconds."""
        wall = datetime.fromtimestamp(when, self.zone)
        day, minute = wall.date(), wall.hour * 60 + wall.minute
        for span, rule in self.rules(day):
            if span.start <= minute < span.until:
                return rule
        if day not in self.dated:
            for span, rule in self.rules(day - timedelta(days=1)):
                if minute < span.over:
                    return rule
        return self.usual

    def next_change(self, when: float) -> float | None:
        """The first instant after `when` (Unix seconds) at which another rule is in force; None if there is
        none as far as the timetable tells."""
        now = self.at(when)
        for instant in self.edges(when):
            if self.at(instant) != now:
                return instant
        return None

    def edges(self, when: float) -> Iterator[float]:
        """All instants after `when` at which something may change, in their order: those of the next days
        first, and, where nothing comes of them, those about dated exceptions that lie further ahead."""
        first = datetime.fromtimestamp(when, self.zone).date()
        near = {first + timedelta(days=ahead) for ahead in range(-1, AHEAD_DAYS)}
        far = {
            day + timedelta(days=ahead)
            for day in self.dated
            if day >= first
            for ahead in range(-1, AHEAD_DAYS)
        }
        for days in (near, far - near):
            found = {each for day in days for each in self.edges_of(day)}
            yield from sorted(each for each in found if each > when)

    def edges_of(self, day: date) -> Iterator[float]:
        minutes = {0, DAY}
        for span, _ in self.rules(day):
            minutes |= {span.start, span.until}
        for span, _ in self.rules(day - timedelta(days=1)):
            minutes.add(span.over)
        for minute in minutes:
            yield from self.instants(day, minute)
        yield from self.jumps(day)

    def instants(self, day: date, minute: int) -> Iterator[float]:
        """When the wall clock shows this: once, twice, or, in the missing hour, around the jump."""
        wall = datetime.combine(day, time()) + timedelta(minutes=minute)
        for fold in (0, 1):
            yield wall.replace(tzinfo=self.zone, fold=fold).timestamp()

    def jumps(self, day: date) -> Iterator[float]:
        """When the wall clock of this day is put forward or back."""
        low = datetime.combine(day, time(), self.zone).timestamp()
        high = datetime.combine(day + timedelta(days=1), time(), self.zone).timestamp()
        if self.offset(low) == self.offset(high):
            return
        while high - low > 1.0:
            middle = (low + high) // 2
            if self.offset(middle) == self.offset(low):
                low = middle
            else:
                high = middle
        yield high

    def offset(self, when: float) -> timedelta | None:
        return datetime.fromtimestamp(when, self.zone).utcoffset()


def overlaps(
    own: tuple[tuple[Span, str], ...], before: tuple[tuple[Span, str], ...] = ()
) -> list[tuple[str, str]]:
    """Pairs of rules that would hold at once on a day, with what spills over from the day before."""
    parts = sorted(
        [(span.start, span.until, rule) for span, rule in own]
        + [(0, span.over, rule) for span, rule in before if span.over]
    )
    return [(rule, other) for (_, end, rule), (start, _, other) in pairwise(parts) if start < end]


@dataclass(slots=True)
class Clocked:
    """A timetable as a service asks it: the rule is looked up again only once it may have changed, or once
    the clock was set back past the moment of the last look."""

    timetable: Timetable
    rule: str = ""
    since: float = float("inf")
    until: float = float("-inf")

    def at(self, when: float) -> str:
        if not self.since <= when < self.until:
            self.rule = self.timetable.at(when)
            change = self.timetable.next_change(when)
            self.since, self.until = when, float("inf") if change is None else change
        return self.rule
