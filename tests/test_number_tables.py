"""Tests of number tables read from files: the analysis by valid ones, the faults of broken ones."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from click.testing import CliRunner

from mintvalve.analysis.caps import CapCounters
from mintvalve.analysis.plan import AnalysisResult, Cap, Choice, Outcome, Plan, Route
from mintvalve.cli.commands import cli
from mintvalve.config.faults import ConfigurationError
from mintvalve.config.number_tables import read_plan

EXAMPLES = Path(__file__).parent.parent / "docs" / "examples"
MASTER_TEXT, PREFIXES_TEXT = ((EXAMPLES / name).read_text() for name in ("numbers.toml", "prefixes.csv"))
NOON_S = 1_783_335_600.0  # 12:00 on 6 July 2026 in Europe/London
NIGHT_S = 1_783_371_600.0  # 22:00 on the same day
CHRISTMAS_S = 1_798_200_000.0  # 12:00 on 25 December 2026


def write_tables(folder: Path, master: str = MASTER_TEXT, prefixes: str | bytes = PREFIXES_TEXT) -> Path:
    (folder / "prefixes.csv").write_bytes(prefixes if isinstance(prefixes, bytes) else prefixes.encode())
    (folder / "numbers.toml").write_text(master)
    return folder / "numbers.toml"


@pytest.fixture(scope="module")
def plan() -> Plan:
    return read_plan(EXAMPLES / "numbers.toml")


def analyse(
    plan: Plan, number: str, time_s: float = NOON_S, call_id: int = 7, unlisted: tuple[int, ...] = ()
) -> AnalysisResult:
    return plan.analyse(number, call_id, time_s, lambda to: to not in unlisted)


@pytest.mark.parametrize(
    ("number", "outcome", "normalised", "matched", "destination"),
    [
        ("0141 555 0123", "routed", "441415550123", "44141", 1),
        ("+44 141 555 0123", "routed", "441415550123", "44141", 1),
        ("0044-141-5550123", "routed", "441415550123", "44141", 1),
        ("234", "routed", "44141555234", "44141", 1),
        ("01463 550123", "routed", "441463550123", "441463", 3),
        ("01463 55012", "incomplete", "44146355012", "441463", -1),
        ("01463 5501234", "unknown", "4414635501234", "441463", -1),
        ("0141 999 0123", "barred", "441419990123", "44141999", -1),
        ("999", "routed", "999", "999", 4),
        ("9990", "unknown", "9990", "999", -1),
        ("99", "incomplete", "99", "", -1),
        ("44", "incomplete", "44", "", -1),
        ("", "incomplete", "", "", -1),
        ("777", "unknown", "777", "", -1),
        ("44x", "unknown", "44x", "", -1),
    ],
)
def test_analysis_of_a_dialled_number(
    plan: Plan, number: str, outcome: str, normalised: str, matched: str, destination: int
) -> None:
    result = analyse(plan, number, unlisted=(2,))
    assert (result.outcome.value, result.normalised_number, result.matched_prefix, result.destination) == (
        outcome,
        normalised,
        matched,
        destination,
    )


def test_route_changes_in_the_evening_and_on_an_exception_date(plan: Plan) -> None:
    assert [analyse(plan, "01415550123", time_s).route for time_s in (NOON_S, NIGHT_S, CHRISTMAS_S)] == [
        "glasgow-depot",
        "night-desk",
        "night-desk",
    ]
    assert analyse(plan, "01415550123").caps == ("glasgow-lines",)


def test_weights_divide_calls_and_unlisted_ranks_are_skipped(plan: Plan) -> None:
    call_ids = range(1, 4001)
    all_listed = [analyse(plan, "01415550123", call_id=call_id).destination for call_id in call_ids]
    assert all_listed == [analyse(plan, "01415550123", call_id=call_id).destination for call_id in call_ids]
    assert 0.72 < all_listed.count(1) / len(all_listed) < 0.78 and set(all_listed) == {1, 2}
    without_2 = [
        analyse(plan, "01415550123", call_id=call_id, unlisted=(2,)).destination for call_id in call_ids
    ]
    assert set(without_2) == {1}
    assert analyse(plan, "01415550123", unlisted=(1, 2)).destination == 3
    none_listed = analyse(plan, "01415550123", unlisted=(1, 2, 3))
    assert none_listed.outcome is Outcome.ROUTED and none_listed.destination in (1, 2)


def test_removing_an_alternative_moves_only_its_own_calls() -> None:
    route = Route("r", (tuple(Choice(to, to) for to in range(1, 6)),))
    for call_id in range(2000):
        before = Plan.choose_exchange(route, call_id, lambda to: True)[0].to
        after = Plan.choose_exchange(route, call_id, lambda to: to != 3)[0].to
        assert after == before or before == 3


def test_caps_count_calls_and_rates_across_plans() -> None:
    caps = CapCounters()
    caps.replace_caps({"lines": Cap("lines", calls=2), "rate": Cap("rate", a_second=10.0, burst=3)})
    grants = [caps.acquire(("lines",), 0.0) for _ in range(3)]
    assert [grant.full_cap for grant in grants] == ["", "", "lines"]
    # Another plan: the two standing calls count under it, too.
    caps.replace_caps({"lines": Cap("lines", calls=3)})
    third = caps.acquire(("lines", "undefined"), 0.0)
    assert third.cap_names == ("lines",) and caps.acquire(("lines",), 0.0).full_cap == "lines"
    for grant in grants:
        caps.release(grant)  # the refused one is counted in no cap
    assert caps.usage_by_cap["lines"].active_calls == 1
    caps.replace_caps({"rate": Cap("rate", a_second=10.0, burst=3)})
    assert [caps.acquire(("rate",), 1000.0).full_cap for _ in range(4)] == ["", "", "", "rate"]
    refused = caps.acquire(("rate",), 1040.0)
    assert refused.retry_after_ms == pytest.approx(60.0) and not caps.acquire(("rate",), 1100.0).full_cap
    caps.release(third)
    caps.evict_idle(1e9)
    assert caps.usage_by_cap.keys() == {"rate"}  # which still has standing calls


def test_call_refused_by_one_cap_is_not_counted_under_another() -> None:
    caps = CapCounters()
    caps.replace_caps({"a": Cap("a", calls=5), "b": Cap("b", calls=1)})
    assert not caps.acquire(("a", "b"), 0.0).full_cap
    assert caps.acquire(("a", "b"), 0.0).full_cap == "b"
    assert caps.usage_by_cap["a"].active_calls == 1


def replacement(old: str, new: str, count: int = 1) -> tuple[str, str, int]:
    """Return arguments of `str.replace`; by default the first occurrence only is replaced."""
    return old, new, count


TOML = "numbers.toml"
CSV = "prefixes.csv"
# For each broken table: the file, the text replaced in it, and the faults reported.
BROKEN_TABLES: list[tuple[str, tuple[str, str, int], list[str]]] = [
    (TOML, replacement('name = "scot-stock"', ""), [f"{TOML}:3: plan.name: is missing"]),
    (
        TOML,
        replacement('name = "scot-stock"', 'name = ""'),
        [f"{TOML}:4: plan.name: '': string should have at least 1 character"],
    ),
    (TOML, replacement('name = "scot-stock"', "name = 7"), [f"{TOML}:4: plan.name: must be a text"]),
    (
        TOML,
        replacement('digits = "decimal"', 'digits = "octal"'),
        [f"{TOML}:5: plan.digits: 'octal': input should be 'decimal' or 'hex'"],
    ),
    (TOML, replacement('digits = "decimal"', 'digit = "decimal"'), [f"{TOML}:5: plan.digit: no such key"]),
    (
        TOML,
        replacement('prefixes = ["prefixes.csv"]', "prefixes = []"),
        [f"{TOML}:6: plan.prefixes: []: list should have at least 1 item after validation, not 0"],
    ),
    (
        TOML,
        replacement('prefixes = ["prefixes.csv"]', 'prefixes = "prefixes.csv"'),
        [f"{TOML}:6: plan.prefixes: must be a list"],
    ),
    (
        TOML,
        replacement('["prefixes.csv"]', '["prefixes.csv", "more.csv"]'),
        [f"{TOML}:6: plan.prefixes.2: no file is named more.csv"],
    ),
    (
        TOML,
        replacement('group = "desks"', 'group = "desk"'),
        [f"{TOML}:7: plan.group: no group is named desk"],
    ),
    (TOML, replacement("[plan]", "[plam]"), [f"{TOML}: plan: is missing", f"{TOML}:3: plam: no such key"]),
    (
        TOML,
        replacement("[plan]", "[plan"),
        [f"{TOML}:3: not TOML: Expected ']' at the end of a table declaration"],
    ),
    (
        TOML,
        replacement('name = "desks"', 'name = "desks"\nname = "desk"'),
        [f"{TOML}:12: not TOML: Cannot overwrite a value"],
    ),
    (
        TOML,
        replacement("strip = 2", "strip = 3"),
        [f"{TOML}:15: group.1.rewrite.1.strip: takes 3 digits off, 2 are known"],
    ),
    (
        TOML,
        replacement("strip = 2", "strip = -1"),
        [f"{TOML}:15: group.1.rewrite.1.strip: -1: input should be greater than or equal to 0"],
    ),
    (
        TOML,
        replacement("strip = 2", 'strip = "2"'),
        [f"{TOML}:15: group.1.rewrite.1.strip: must be a whole number"],
    ),
    (
        TOML,
        replacement("strip = 2", "strip = 2.5"),
        [f"{TOML}:15: group.1.rewrite.1.strip: must be a whole number"],
    ),
    (
        TOML,
        replacement('add = "44"', 'add = "+44"'),
        [f"{TOML}:24: group.1.rewrite.3.add: '+44' has characters that are no decimal digits"],
    ),
    (
        TOML,
        replacement("least = 10", "least = 99"),
        [f"{TOML}:25: group.1.rewrite.3.least: 99 is more than most, 64"],
    ),
    (
        TOML,
        replacement("most = 3", "most = 0"),
        [f"{TOML}:31: group.1.rewrite.4.most: 0: input should be greater than or equal to 1"],
    ),
    (
        TOML,
        replacement('name = "inverness"', 'name = "glasgow"'),
        [
            f"{TOML}:44: route.3.name: glasgow is the name of another one, in row 34",
            f"{CSV}:4: route: no route is named 'inverness'",
        ],
    ),
    (
        TOML,
        replacement('name = "inverness"', 'name = "barred"'),
        [
            f"{TOML}:44: route.3.name: barred is what the prefixes call a number nobody may dial",
            f"{CSV}:4: route: no route is named 'inverness'",
        ],
    ),
    (
        TOML,
        replacement('name = "inverness"', 'name = "in verness"'),
        [f"{TOML}:44: route.3.name: 'in verness': string should match pattern '^[\\w.-]+$'"],
    ),
    (
        TOML,
        replacement("ranks = [[{ to = 3 }]]", ""),
        [f"{TOML}:43: route.3: inverness needs either ranks or a timetable"],
    ),
    (
        TOML,
        replacement("ranks = [[{ to = 3 }]]", 'ranks = [[{ to = 3 }]]\ntimetable = "depots"'),
        [
            f"{TOML}:43: route.3: inverness needs either ranks or a timetable",
            f"{TOML}:43: route.3.when: does not say where calls go while closed holds",
            f"{TOML}:43: route.3.when: does not say where calls go while day holds",
            f"{TOML}:43: route.3.when: does not say where calls go while evening holds",
        ],
    ),
    (
        TOML,
        replacement("ranks = [[{ to = 3 }]]", "ranks = [[]]"),
        [f"{TOML}:45: route.3.ranks: rank 1 of inverness is empty"],
    ),
    (
        TOML,
        replacement("ranks = [[{ to = 3 }]]", "ranks = [[{ to = 3 }, { to = 3 }]]"),
        [f"{TOML}:45: route.3.ranks: rank 1 names exchange 3 twice"],
    ),
    (
        TOML,
        replacement("ranks = [[{ to = 3 }]]", "ranks = [[{ to = -3 }]]"),
        [f"{TOML}:45: route.3.ranks.1.1.to: -3: input should be greater than or equal to 0"],
    ),
    (
        TOML,
        replacement("ranks = [[{ to = 3 }]]", "ranks = [[{ weight = 3 }]]"),
        [f"{TOML}:45: route.3.ranks.1.1.to: is missing"],
    ),
    (
        TOML,
        replacement("ranks = [[{ to = 3 }]]", "ranks = [[{ to = 3, weight = 0 }]]"),
        [f"{TOML}:45: route.3.ranks.1.1.weight: 0: input should be greater than or equal to 1"],
    ),
    (
        TOML,
        replacement("ranks = [[{ to = 3 }]]", "ranks = [{ to = 3 }]"),
        [f"{TOML}:45: route.3.ranks.1: must be a list"],
    ),
    (
        TOML,
        replacement("ranks = [[{ to = 3 }]]", "ranks = [[{ to = 3, wait = 1 }]]"),
        [f"{TOML}:45: route.3.ranks.1.1.wait: no such key"],
    ),
    (
        TOML,
        replacement("ranks = [[{ to = 3 }]]", 'ranks = [[{ to = 3 }]]\nwhen = { day = "glasgow" }'),
        [f"{TOML}:46: route.3.when: is of use with a timetable only"],
    ),
    (
        TOML,
        replacement('caps = ["glasgow-lines"]', 'caps = ["glasgow-line"]'),
        [f"{TOML}:41: route.2.caps: no cap is named glasgow-line"],
    ),
    (
        TOML,
        replacement('timetable = "depots"', 'timetable = "depot"'),
        [f"{TOML}:35: route.1.timetable: no timetable is named depot"],
    ),
    (
        TOML,
        replacement(', closed = "night-desk" }', " }"),
        [f"{TOML}:36: route.1.when: does not say where calls go while closed holds"],
    ),
    (
        TOML,
        replacement('closed = "night-desk" }', 'closed = "night-desk", noon = "inverness" }'),
        [f"{TOML}:36: route.1.when: depots has no rule noon"],
    ),
    (
        TOML,
        replacement('closed = "night-desk" }', 'closed = "night-deck" }'),
        [f"{TOML}:36: route.1.when: no route is named night-deck, to which closed leads"],
    ),
    (
        TOML,
        replacement('closed = "night-desk" }', 'closed = "glasgow" }'),
        [f"{TOML}:36: route.1.when: leads in a circle: glasgow - glasgow"],
    ),
    (
        TOML,
        replacement("calls = 40", "calls = -40"),
        [f"{TOML}:53: cap.1.calls: -40: input should be greater than or equal to 0"],
    ),
    (TOML, replacement("a_second = 5.0", 'a_second = "5"'), [f"{TOML}:54: cap.1.a_second: must be a number"]),
    (
        TOML,
        replacement("burst = 10", "burst = 0"),
        [f"{TOML}:55: cap.1.burst: 0: input should be greater than or equal to 1"],
    ),
    (
        TOML,
        replacement("burst = 10", 'burst = 10\n\n[[cap]]\nname = "glasgow-lines"'),
        [f"{TOML}:58: cap.2.name: glasgow-lines is the name of another one, in row 52"],
    ),
    (
        TOML,
        replacement("Europe/London", "Europe/Londn"),
        [f"{TOML}:59: timetable.1.zone: no zone is named 'Europe/Londn'"],
    ),
    (
        TOML,
        replacement("Europe/London", "../London"),
        [f"{TOML}:59: timetable.1.zone: no zone is named '../London'"],
    ),
    (TOML, replacement('usual = "day"', ""), [f"{TOML}:57: timetable.1.usual: is missing"]),
    (
        TOML,
        replacement('"mon", "tue"', '"mon", "tues"'),
        [
            f"{TOML}:64: timetable.1.rule.1.days.2: 'tues': input should be 'mon', 'tue', 'wed', 'thu', "
            "'fri', 'sat' or 'sun'"
        ],
    ),
    (
        TOML,
        replacement("18:00-06:00", "18:00-25:00"),
        [f"{TOML}:65: timetable.1.rule.1.spans: '18:00-25:00' is no span of times like 18:00-06:00"],
    ),
    (
        TOML,
        replacement("18:00-06:00", "24:00-06:00"),
        [f"{TOML}:65: timetable.1.rule.1.spans: '24:00-06:00' is no span of times like 18:00-06:00"],
    ),
    (
        TOML,
        replacement("18:00-06:00", "18-06"),
        [f"{TOML}:65: timetable.1.rule.1.spans: '18-06' is no span of times like 18:00-06:00"],
    ),
    (
        TOML,
        replacement("18:00-06:00", "18:00-18:00"),
        [f"{TOML}:65: timetable.1.rule.1.spans: '18:00-18:00' is empty; a whole day is 00:00-24:00"],
    ),
    (
        TOML,
        replacement('["18:00-06:00"]', '["18:00-06:00", "17:00-19:00"]'),
        [
            f"{TOML}:62: timetable.1.rule.1: evening and evening hold at once on {day}"
            for day in ("fri", "mon", "thu", "tue", "wed")
        ],
    ),
    (
        TOML,
        replacement("date = 2026-12-25", 'date = "2026-12-25"'),
        [f"{TOML}:68: timetable.1.date.1.date: must be a date"],
    ),
    (
        TOML,
        replacement("date = 2026-12-25", "date = 2026-12-25T10:00:00"),
        [f"{TOML}:68: timetable.1.date.1.date: must be a date"],
    ),
    (
        TOML,
        replacement('name = "closed"\n', ""),
        [
            f"{TOML}:36: route.1.when: depots has no rule closed",
            f"{TOML}:67: timetable.1.date.1.name: is missing: which rule holds in these spans",
        ],
    ),
    (
        TOML,
        replacement('["00:00-24:00"]', '["00:00-24:00"]\n\n[[timetable.date]]\ndate = 2026-12-25'),
        [f"{TOML}:73: timetable.1.date.2.date: 2026-12-25 is there twice"],
    ),
    (
        TOML,
        replacement('["00:00-24:00"]', '["00:00-12:00", "11:59-24:00"]'),
        [f"{TOML}:70: timetable.1.date.1.spans: closed and closed hold at once"],
    ),
    (
        CSV,
        replacement("prefix,route", "number,route"),
        [f"{CSV}:1: number: no such column", f"{CSV}:1: prefix: column is missing"],
    ),
    (
        CSV,
        replacement("prefix,route,least", "prefix,route,route"),
        [f"{CSV}:1: route: column is there twice"],
    ),
    (
        CSV,
        replacement("44141,", "44 141,"),
        [f"{CSV}:2: prefix: '44 141' has characters that are no decimal digits"],
    ),
    (CSV, replacement("44141,", ","), [f"{CSV}:2: prefix: is empty"]),
    (
        CSV,
        replacement("44141,", "4414155501234567,"),
        [
            f"{CSV}:2: prefix: has 16 digits, 15 are the most",
            f"{CSV}:2: most: 12 is less than the prefix has",
        ],
    ),
    (CSV, replacement("4490,", "44141,"), [f"{CSV}:5: prefix: 44141 is there already"]),
    (CSV, replacement("inverness", "invernes"), [f"{CSV}:4: route: no route is named 'invernes'"]),
    (CSV, replacement("4490,barred", "4490,"), [f"{CSV}:5: route: is empty"]),
    (CSV, replacement("11,12,", "12,11,"), [f"{CSV}:2: least: 12 is more than most, 11"]),
    (CSV, replacement("11,12,", "11,3,"), [f"{CSV}:2: least: 11 is more than most, 3"]),
    (
        CSV,
        replacement("999,night-desk,3,3,", "999,night-desk,,2,"),
        [f"{CSV}:6: most: 2 is less than the prefix has"],
    ),
    (CSV, replacement("11,12,", "eleven,12,"), [f"{CSV}:2: least: 'eleven' is no number of digits"]),
    (CSV, replacement("11,12,", "11,12,few"), [f"{CSV}:2: caps: no cap is named few"]),
    (CSV, replacement("11,12,", "11,12"), [f"{CSV}:2: has 4 cells, the header 5"]),
    (CSV, replacement("44141,glasgow", '"44141,glasgow'), [f"{CSV}:6: not CSV: unexpected end of data"]),
    (
        CSV,
        replacement(PREFIXES_TEXT, ""),
        [f"{CSV}:1: prefix: column is missing", f"{CSV}:1: route: column is missing"],
    ),
    (
        CSV,
        replacement(PREFIXES_TEXT, "prefix,route\n"),
        [f"{TOML}:6: plan.prefixes: no prefix in any of these files"],
    ),
]


@pytest.mark.parametrize(("file", "change", "lines"), BROKEN_TABLES, ids=range(len(BROKEN_TABLES)))
def test_broken_table_is_refused_with_its_faults(
    tmp_path: Path, file: str, change: tuple[str, str, int], lines: list[str]
) -> None:
    texts = {TOML: MASTER_TEXT, CSV: PREFIXES_TEXT}
    assert change[0] in texts[file]
    texts[file] = texts[file].replace(*change)
    path = write_tables(tmp_path, texts[TOML], texts[CSV])
    with pytest.raises(ConfigurationError) as refused:
        read_plan(path)
    assert sorted(str(fault).replace(f"{tmp_path}{os.sep}", "") for fault in refused.value.faults) == sorted(
        lines
    )


def test_at_least_sixty_broken_tables_are_covered() -> None:
    assert len(BROKEN_TABLES) >= 60 and len({tuple(lines) for _, _, lines in BROKEN_TABLES}) >= 55


def test_text_that_is_not_utf8_is_reported_with_its_row(tmp_path: Path) -> None:
    path = write_tables(tmp_path, prefixes=PREFIXES_TEXT.encode() + "4477,barred,,,é\n".encode("cp1252"))
    with pytest.raises(ConfigurationError) as refused:
        read_plan(path)
    assert [fault.row for fault in refused.value.faults] == [7]


def test_generation_is_derived_from_the_content(tmp_path: Path, plan: Plan) -> None:
    assert read_plan(write_tables(tmp_path)).generation == plan.generation
    assert (
        read_plan(write_tables(tmp_path, prefixes=PREFIXES_TEXT + "4477,barred,,,\n")).generation
        != plan.generation
    )


def test_explain_prints_one_json_object(tmp_path: Path) -> None:
    path = str(write_tables(tmp_path))
    arguments = [
        "routes",
        "explain",
        path,
        "--number",
        "01415550123",
        "--at",
        "2026-07-06T20:00+01:00",
        "--call",
        "7f3a9c21e0b4d655",
        "--group",
        "desks",
        "--json",
    ]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 0
    explanation = json.loads(result.output)
    assert explanation.pop("because")
    assert explanation == {
        "generation": read_plan(Path(path)).generation,
        "outcome": "routed",
        "normalised": "441415550123",
        "matched": "44141",
        "destination": 4,
        "route": "night-desk",
        "caps": [],
    }
    assert "night-desk" in CliRunner().invoke(cli, arguments[:-1]).output


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["check", "numbers.toml"], 0),
        (["check", "absent.toml"], 2),
        (["check", "broken.toml"], 1),
        (["explain", "numbers.toml", "--number", "1", "--at", "noon"], 2),
        (["explain", "numbers.toml", "--number", "1", "--call", "x"], 2),
        (["explain", "numbers.toml", "--number", "1", "--group", "x"], 2),
        (["explain", "numbers.toml", "--number", "1"], 0),
    ],
)
def test_exit_codes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, arguments: list[str], code: int) -> None:
    write_tables(tmp_path)
    (tmp_path / "broken.toml").write_text("[plan]")
    monkeypatch.chdir(tmp_path)
    assert CliRunner().invoke(cli, ["routes", *arguments]).exit_code == code


def test_diff_lists_the_changes(tmp_path: Path) -> None:
    old, new = (tmp_path / name for name in ("old", "new"))
    for folder in (old, new):
        folder.mkdir()
    write_tables(old)
    write_tables(new, MASTER_TEXT.replace("calls = 40", "calls = 50"), PREFIXES_TEXT.replace("4490", "4491"))
    result = CliRunner().invoke(cli, ["routes", "diff", str(old / TOML), str(new / TOML)])
    assert [line.partition(":")[0] for line in result.output.splitlines()] == [
        "~ cap glasgow-lines",
        "- prefix 4490",
        "+ prefix 4491",
    ]
