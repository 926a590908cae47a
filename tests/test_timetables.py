"""Timetables against a look at every minute, through a whole year of Europe/London."""

from __future__ import annotations

import functools
from datetime import date, datetime, timedelta, UTC
from itertools import pairwise
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given, settings, strategies as st

from mintvalve.analysis.timetables import DAY, Clocked, Span, Timetable, overlaps

LONDON = ZoneInfo("Europe/London")
YEAR = 2026  # clocks go forward on 29 March and back on 25 October
START = int(datetime(YEAR, 1, 1, tzinfo=UTC).timestamp())
EVENING = Span(18 * 60, 6 * 60)
WEEK = tuple(
    ((EVENING, "evening"),) if day < 4 else ((Span(12 * 60, 24 * 60), "weekend"),) for day in range(7)
)
DATED = {
    date(YEAR, 12, 25): ((Span(0, 24 * 60), "closed"),),
    date(YEAR, 6, 1): (),
    date(YEAR, 10, 25): ((Span(60, 90), "first half"), (Span(90, 120), "second half")),
    date(YEAR, 3, 29): ((Span(75, 180), "late"),),
}
TABLE = Timetable(LONDON, "day", WEEK, DATED)


def plainly(table: Timetable, when: float) -> str:
    """The oracle: the wall clock's own words, and every rule of today and yesterday."""
    wall = datetime.fromtimestamp(when, UTC).astimezone(table.zone)
    clock, found = wall.strftime("%H:%M"), []
    yesterday = wall.date() - timedelta(days=1)
    for day, ahead in ((wall.date(), False), (yesterday, True)):
        if ahead and wall.date() in table.dated:
            continue
        rules = table.dated.get(day, table.weekly[day.isoweekday() - 1])
        for span, rule in rules:
            start, end = (f"{minute // 60:02d}:{minute % 60:02d}" for minute in (span.start, span.end))
            across = end <= start
            held = across and clock < end if ahead else start <= clock and (across or clock < end)
            found += [rule] if held else []
    assert len(found) <= 1
    return found[0] if found else table.usual


@functools.cache
def minutes() -> list[str]:
    """What the oracle says for each minute of the year."""
    return [plainly(TABLE, when) for when in range(START, START + 365 * 86_400, 60)]


def test_every_minute_of_a_year() -> None:
    assert [TABLE.at(when) for when in range(START, START + 365 * 86_400, 60)] == minutes()


def test_the_changes_of_a_year_are_found_without_looking_at_its_minutes() -> None:
    by_minute = [
        START + 60.0 * place for place, (before, now) in enumerate(pairwise(minutes()), 1) if before != now
    ]
    found, at = [], TABLE.next_change(START)
    while at is not None and at < START + 365 * 86_400:
        found.append(at)
        at = TABLE.next_change(at)
    assert found == by_minute and len(found) > 600


@given(
    st.lists(st.tuples(st.integers(0, 6), st.integers(0, DAY - 1), st.integers(1, DAY)), max_size=4),
    st.integers(0, 365 * 1440),
)
@settings(derandomize=True, deadline=None, max_examples=100)
def test_random_timetables_at_random_instants(rules: list[tuple[int, int, int]], minute: int) -> None:
    week: list[list[tuple[Span, str]]] = [[] for _ in range(7)]
    for number, (day, start, end) in enumerate(rules):
        rule = (Span(start, end), f"rule {number}")
        week[day].append(rule)
        if start == end or any(overlaps(tuple(week[each]), tuple(week[each - 1])) for each in range(7)):
            week[day].remove(rule)  # a fault of the file
    table = Timetable(LONDON, "usual", tuple(map(tuple, week)))
    when = START + minute * 60
    assert table.at(when) == plainly(table, when)
    change = table.next_change(when)
    look = range(when, when + 8 * 86_400, 60)
    first = next((float(each) for each in look if plainly(table, each) != plainly(table, when)), None)
    assert change == first if first is not None else change is None or change >= when + 8 * 86_400


def instant(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()


def test_the_hour_that_occurs_twice_and_the_one_that_is_missing() -> None:
    # 25 October: 01:00 to 02:00 occurs in summer time, then again. 29 March: 02:00 follows 00:59.
    twice = [TABLE.at(instant(f"2026-10-25T{clock}+00:00")) for clock in ("00:15", "00:45", "01:15", "01:45")]
    assert twice == ["first half", "second half", "first half", "second half"]
    assert TABLE.at(instant("2026-03-29T00:59:59+00:00")) == "day"
    assert (
        TABLE.at(instant("2026-03-29T01:00+00:00")) == "late"
    )  # its 01:15 never comes; it begins with the jump
    assert TABLE.next_change(instant("2026-03-29T00:30+00:00")) == instant("2026-03-29T01:00+00:00")


def test_a_clock_set_back_is_seen() -> None:
    clocked = Clocked(TABLE)
    evening, noon = instant("2026-07-06T20:00+01:00"), instant("2026-07-06T12:00+01:00")
    assert [clocked.at(when) for when in (evening, noon, evening)] == ["evening", "day", "evening"]


def test_a_timetable_is_asked_only_when_it_may_have_changed(monkeypatch: pytest.MonkeyPatch) -> None:
    asked: list[float] = []
    real = Timetable.at

    def noted(table: Timetable, when: float) -> str:
        asked.append(when)
        return real(table, when)

    monkeypatch.setattr(Timetable, "at", noted)
    clocked = Clocked(TABLE)
    first = instant("2026-07-06T12:00+01:00")
    clocked.at(first)
    looks = len(asked)
    assert {clocked.at(first + second) for second in range(0, 6 * 3600 - 1, 60)} == {"day"}
    assert len(asked) == looks
    assert clocked.at(first + 6 * 3600) == "evening" and len(asked) > looks


def test_rules_that_hold_at_once_are_told_across_midnight_too() -> None:
    late = ((EVENING, "evening"),)
    early = ((Span(5 * 60, 7 * 60), "early"),)
    assert overlaps(early) == [] and overlaps(early, late) == [("evening", "early")]
    assert overlaps((*late, (Span(0, 24 * 60), "always"))) == [("always", "evening")]
