"""Which rule of a weekly timetable is in force in a time zone, and when that changes next.

A rule holds at an instant if the wall clock of the zone shows a time within one of its spans. Therefore an
hour that occurs twice when clocks go back belongs to its span both times, and a span that begins in the hour
skipped when clocks go forward begins at the change. A span may cross midnight and belongs to the day on which
it begins. A dated exception replaces all that would hold on its date, including spans that continue from the
day before; its own last span may continue into a day without an exception. Two spans of one day that overlap
are a fault of the table (`overlapping_rules`).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import date, datetime, time, timedelta, tzinfo
from itertools import pairwise

MINUTES_PER_DAY = 24 * 60
LOOKAHEAD_DAYS = 9  # covers every change of a weekly timetable, also where a clock change ends the week


@dataclass(frozen=True, slots=True)
class Span:
    """Times from `start` to before `end`, in minutes since midnight of the wall clock.

    An end at or before the start is on the next day.
    """

    start: int
    end: int

    @property
    def next_day_minutes(self) -> int:
        """Length in minutes of the part after midnight; 0 for a span within one day."""
        return self.end if self.end <= self.start else 0

    @property
    def own_day_end(self) -> int:
        """End in minutes on the day of the start; midnight for a span that crosses it."""
        return MINUTES_PER_DAY if self.end <= self.start else self.end


@dataclass(frozen=True, slots=True)
class Timetable:
    """Spans with their rules, by day of the week (0: Monday) and by date; `usual` holds outside of them."""

    zone: tzinfo
    usual: str
    weekly: tuple[tuple[tuple[Span, str], ...], ...]
    dated: dict[date, tuple[tuple[Span, str], ...]] = field(default_factory=dict)

    def spans_starting_on(self, day: date) -> tuple[tuple[Span, str], ...]:
        """Return the spans that begin on a day, with their rules."""
        return self.dated[day] if day in self.dated else self.weekly[day.weekday()]

    def rule_at(self, time_s: float) -> str:
        """Return the rule in force at a Unix time in seconds."""
        wall_time = datetime.fromtimestamp(time_s, self.zone)
        day, minute = wall_time.date(), wall_time.hour * 60 + wall_time.minute
        for span, rule in self.spans_starting_on(day):
            if span.start <= minute < span.own_day_end:
                return rule
        if day not in self.dated:
            for span, rule in self.spans_starting_on(day - timedelta(days=1)):
                if minute < span.next_day_minutes:
                    return rule
        return self.usual

    def next_change(self, time_s: float) -> float | None:
        """Return the first instant after `time_s` (both Unix seconds) at which another rule is in force.

        None where the timetable has no further change.
        """
        current_rule = self.rule_at(time_s)
        for instant_s in self.possible_changes(time_s):
            if self.rule_at(instant_s) != current_rule:
                return instant_s
        return None

    def possible_changes(self, time_s: float) -> Iterator[float]:
        """Yield the instants after `time_s` (Unix seconds) at which the rule may change, in order.

        Those of the next days come first; those around later dated exceptions are computed only after them.
        """
        first_day = datetime.fromtimestamp(time_s, self.zone).date()
        near_days = {first_day + timedelta(days=offset_days) for offset_days in range(-1, LOOKAHEAD_DAYS)}
        exception_days = {
            day + timedelta(days=offset_days)
            for day in self.dated
            if day >= first_day
            for offset_days in range(-1, LOOKAHEAD_DAYS)
        }
        for days in (near_days, exception_days - near_days):
            instants_s = {instant_s for day in days for instant_s in self.possible_changes_on(day)}
            yield from sorted(instant_s for instant_s in instants_s if instant_s > time_s)

    def possible_changes_on(self, day: date) -> Iterator[float]:
        """Yield the instants (Unix seconds) on a day at which the rule may change, in no order."""
        minutes = {0, MINUTES_PER_DAY}
        for span, _ in self.spans_starting_on(day):
            minutes |= {span.start, span.own_day_end}
        for span, _ in self.spans_starting_on(day - timedelta(days=1)):
            minutes.add(span.next_day_minutes)
        for minute in minutes:
            yield from self.instants_showing(day, minute)
        yield from self.clock_changes_on(day)

    def instants_showing(self, day: date, minute: int) -> Iterator[float]:
        """Yield the two instants (Unix seconds) at which the wall clock shows a time of a day.

        They differ only where clocks change: for a repeated time, and for a skipped one, which stands for
        instants around the change.
        """
        wall_time = datetime.combine(day, time()) + timedelta(minutes=minute)
        for fold in (0, 1):
            yield wall_time.replace(tzinfo=self.zone, fold=fold).timestamp()

    def clock_changes_on(self, day: date) -> Iterator[float]:
        """Yield the instant (Unix seconds) at which clocks are changed on a day, if they are."""
        low_s = datetime.combine(day, time(), self.zone).timestamp()
        high_s = datetime.combine(day + timedelta(days=1), time(), self.zone).timestamp()
        if self.utc_offset(low_s) == self.utc_offset(high_s):
            return
        while high_s - low_s > 1.0:
            middle_s = (low_s + high_s) // 2
            if self.utc_offset(middle_s) == self.utc_offset(low_s):
                low_s = middle_s
            else:
                high_s = middle_s
        yield high_s

    def utc_offset(self, time_s: float) -> timedelta | None:
        return datetime.fromtimestamp(time_s, self.zone).utcoffset()


def overlapping_rules(
    day_spans: tuple[tuple[Span, str], ...], previous_day_spans: tuple[tuple[Span, str], ...] = ()
) -> list[tuple[str, str]]:
    """Return pairs of rules that hold at the same time on a day.

    Spans of the previous day count as far as they continue after midnight.
    """
    intervals = sorted(
        [(span.start, span.own_day_end, rule) for span, rule in day_spans]
        + [(0, span.next_day_minutes, rule) for span, rule in previous_day_spans if span.next_day_minutes]
    )
    return [(rule, next_rule) for (_, end, rule), (start, _, next_rule) in pairwise(intervals) if start < end]


@dataclass(slots=True)
class CachedTimetable:
    """Timetable that keeps the rule last looked up, with the Unix seconds between which it is valid.

    The rule is looked up again once it may have changed, or if the clock was set back to before the last
    look-up.
    """

    timetable: Timetable
    rule: str = ""
    valid_from_s: float = float("inf")
    valid_until_s: float = float("-inf")

    def rule_at(self, time_s: float) -> str:
        """Return the rule in force at a Unix time in seconds."""
        if not self.valid_from_s <= time_s < self.valid_until_s:
            self.rule = self.timetable.rule_at(time_s)
            change_s = self.timetable.next_change(time_s)
            self.valid_from_s, self.valid_until_s = time_s, float("inf") if change_s is None else change_s
        return self.rule
