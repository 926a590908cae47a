"""Tests of timetables against a check of every minute of a year in Europe/London."""

from __future__ import annotations

import functools
from datetime import date, datetime, timedelta, UTC
from itertools import pairwise
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given, settings, strategies as st

from mintvalve.analysis.timetables import MINUTES_PER_DAY, CachedTimetable, Span, Timetable, overlapping_rules

LONDON = ZoneInfo("Europe/London")
YEAR = 2026  # clocks go forward on 29 March and back on 25 October
YEAR_START_S = int(datetime(YEAR, 1, 1, tzinfo=UTC).timestamp())
EVENING = Span(18 * 60, 6 * 60)
WEEKLY = tuple(
    ((EVENING, "evening"),) if day < 4 else ((Span(12 * 60, 24 * 60), "weekend"),) for day in range(7)
)
DATED = {
    date(YEAR, 12, 25): ((Span(0, 24 * 60), "closed"),),
    date(YEAR, 6, 1): (),
    date(YEAR, 10, 25): ((Span(60, 90), "first half"), (Span(90, 120), "second half")),
    date(YEAR, 3, 29): ((Span(75, 180), "late"),),
}
TIMETABLE = Timetable(LONDON, "day", WEEKLY, DATED)


def rule_by_wall_clock(table: Timetable, time_s: float) -> str:
    """Find the rule by comparing the wall clock's text with every span of the day and of the day before."""
    wall_time = datetime.fromtimestamp(time_s, UTC).astimezone(table.zone)
    clock, found = wall_time.strftime("%H:%M"), []
    yesterday = wall_time.date() - timedelta(days=1)
    for day, is_yesterday in ((wall_time.date(), False), (yesterday, True)):
        if is_yesterday and wall_time.date() in table.dated:
            continue
        rules = table.dated.get(day, table.weekly[day.isoweekday() - 1])
        for span, rule in rules:
            start, end = (f"{minute // 60:02d}:{minute % 60:02d}" for minute in (span.start, span.end))
            crosses_midnight = end <= start
            holds = (
                crosses_midnight and clock < end
                if is_yesterday
                else start <= clock and (crosses_midnight or clock < end)
            )
            found += [rule] if holds else []
    assert len(found) <= 1
    return found[0] if found else table.usual


@functools.cache
def expected_rule_by_minute() -> list[str]:
    """Return the rule of each minute of the year, by `rule_by_wall_clock`."""
    return [
        rule_by_wall_clock(TIMETABLE, time_s)
        for time_s in range(YEAR_START_S, YEAR_START_S + 365 * 86_400, 60)
    ]


def test_rule_for_every_minute_of_a_year() -> None:
    assert [
        TIMETABLE.rule_at(time_s) for time_s in range(YEAR_START_S, YEAR_START_S + 365 * 86_400, 60)
    ] == expected_rule_by_minute()


def test_next_change_finds_every_change_of_a_year() -> None:
    changes_s = [
        YEAR_START_S + 60.0 * minute
        for minute, (before, now) in enumerate(pairwise(expected_rule_by_minute()), 1)
        if before != now
    ]
    found, change_s = [], TIMETABLE.next_change(YEAR_START_S)
    while change_s is not None and change_s < YEAR_START_S + 365 * 86_400:
        found.append(change_s)
        change_s = TIMETABLE.next_change(change_s)
    assert found == changes_s and len(found) > 600


@given(
    st.lists(
        st.tuples(st.integers(0, 6), st.integers(0, MINUTES_PER_DAY - 1), st.integers(1, MINUTES_PER_DAY)),
        max_size=4,
    ),
    st.integers(0, 365 * 1440),
)
@settings(derandomize=True, deadline=None, max_examples=100)
def test_random_timetables_at_random_instants(rules: list[tuple[int, int, int]], minute: int) -> None:
    week: list[list[tuple[Span, str]]] = [[] for _ in range(7)]
    for number, (day, start, end) in enumerate(rules):
        rule = (Span(start, end), f"rule {number}")
        week[day].append(rule)
        if start == end or any(
            overlapping_rules(tuple(week[each]), tuple(week[each - 1])) for each in range(7)
        ):
            week[day].remove(rule)  # refused when a file is read
    table = Timetable(LONDON, "usual", tuple(map(tuple, week)))
    time_s = YEAR_START_S + minute * 60
    assert table.rule_at(time_s) == rule_by_wall_clock(table, time_s)
    change_s = table.next_change(time_s)
    later_s = range(time_s, time_s + 8 * 86_400, 60)
    expected_s = next(
        (
            float(each)
            for each in later_s
            if rule_by_wall_clock(table, each) != rule_by_wall_clock(table, time_s)
        ),
        None,
    )
    assert (
        change_s == expected_s
        if expected_s is not None
        else change_s is None or change_s >= time_s + 8 * 86_400
    )


def unix_time_s(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()


def test_repeated_and_missing_hours_at_clock_changes() -> None:
    # 25 October: 01:00 to 02:00 occurs twice, first in summer time. 29 March: 02:00 follows 00:59.
    repeated_hour = [
        TIMETABLE.rule_at(unix_time_s(f"2026-10-25T{clock}+00:00"))
        for clock in ("00:15", "00:45", "01:15", "01:45")
    ]
    assert repeated_hour == ["first half", "second half", "first half", "second half"]
    assert TIMETABLE.rule_at(unix_time_s("2026-03-29T00:59:59+00:00")) == "day"
    # The span from 01:15 begins at the change, as 01:15 does not occur.
    assert TIMETABLE.rule_at(unix_time_s("2026-03-29T01:00+00:00")) == "late"
    assert TIMETABLE.next_change(unix_time_s("2026-03-29T00:30+00:00")) == unix_time_s(
        "2026-03-29T01:00+00:00"
    )


def test_cached_timetable_notices_a_clock_set_back() -> None:
    cached = CachedTimetable(TIMETABLE)
    evening, noon = unix_time_s("2026-07-06T20:00+01:00"), unix_time_s("2026-07-06T12:00+01:00")
    assert [cached.rule_at(time_s) for time_s in (evening, noon, evening)] == ["evening", "day", "evening"]


def test_cached_timetable_looks_up_only_at_possible_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    lookups: list[float] = []
    original = Timetable.rule_at

    def counting_rule_at(table: Timetable, time_s: float) -> str:
        lookups.append(time_s)
        return original(table, time_s)

    monkeypatch.setattr(Timetable, "rule_at", counting_rule_at)
    cached = CachedTimetable(TIMETABLE)
    first = unix_time_s("2026-07-06T12:00+01:00")
    cached.rule_at(first)
    lookups_at_first = len(lookups)
    assert {cached.rule_at(first + second) for second in range(0, 6 * 3600 - 1, 60)} == {"day"}
    assert len(lookups) == lookups_at_first
    assert cached.rule_at(first + 6 * 3600) == "evening" and len(lookups) > lookups_at_first


def test_overlapping_rules_are_reported_across_midnight() -> None:
    late = ((EVENING, "evening"),)
    early = ((Span(5 * 60, 7 * 60), "early"),)
    assert overlapping_rules(early) == [] and overlapping_rules(early, late) == [("evening", "early")]
    assert overlapping_rules((*late, (Span(0, 24 * 60), "always"))) == [("always", "evening")]
