"""Number tables from files: what sound ones decide, and the fault line of every broken one."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from click.testing import CliRunner

from mintvalve.analysis.caps import Caps
from mintvalve.analysis.plan import Analysed, Cap, Choice, Plan, Route, Verdict
from mintvalve.cli.commands import cli
from mintvalve.config.faults import Unusable
from mintvalve.config.number_tables import read

EXAMPLES = Path(__file__).parent.parent / "docs" / "examples"
MASTER, PREFIXES = ((EXAMPLES / name).read_text() for name in ("numbers.toml", "prefixes.csv"))
NOON, NIGHT, CHRISTMAS = (
    1_783_335_600.0,
    1_783_371_600.0,
    1_798_200_000.0,
)  # 6 July, its evening; 25 December 2026


def put(folder: Path, master: str = MASTER, prefixes: str | bytes = PREFIXES) -> Path:
    (folder / "prefixes.csv").write_bytes(prefixes if isinstance(prefixes, bytes) else prefixes.encode())
    (folder / "numbers.toml").write_text(master)
    return folder / "numbers.toml"


@pytest.fixture(scope="module")
def plan() -> Plan:
    return read(EXAMPLES / "numbers.toml")


def asked(plan: Plan, number: str, when: float = NOON, call: int = 7, gone: tuple[int, ...] = ()) -> Analysed:
    return plan.analyse(number, call, when, lambda to: to not in gone)


@pytest.mark.parametrize(
    ("number", "verdict", "normalised", "matched", "destination"),
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
def test_what_a_number_means(
    plan: Plan, number: str, verdict: str, normalised: str, matched: str, destination: int
) -> None:
    found = asked(plan, number, gone=(2,))
    assert (found.verdict.value, found.normalised, found.matched, found.destination) == (
        verdict,
        normalised,
        matched,
        destination,
    )


def test_lines_go_elsewhere_after_the_evening_shift_and_on_a_day_off(plan: Plan) -> None:
    assert [asked(plan, "01415550123", when).route for when in (NOON, NIGHT, CHRISTMAS)] == [
        "glasgow-depot",
        "night-desk",
        "night-desk",
    ]
    assert asked(plan, "01415550123").caps == ("glasgow-lines",)


def test_weights_go_by_the_call_and_a_rank_that_is_gone_is_passed_over(plan: Plan) -> None:
    calls = range(1, 4001)
    first = [asked(plan, "01415550123", call=call).destination for call in calls]
    assert first == [asked(plan, "01415550123", call=call).destination for call in calls]
    assert 0.72 < first.count(1) / len(first) < 0.78 and set(first) == {1, 2}
    without = [asked(plan, "01415550123", call=call, gone=(2,)).destination for call in calls]
    assert set(without) == {1}
    assert asked(plan, "01415550123", gone=(1, 2)).destination == 3
    nowhere = asked(plan, "01415550123", gone=(1, 2, 3))
    assert nowhere.verdict is Verdict.ROUTED and nowhere.destination in (1, 2)


def test_an_alternative_that_goes_moves_its_own_calls_only() -> None:
    route = Route("r", (tuple(Choice(to, to) for to in range(1, 6)),))
    for call in range(2000):
        before = Plan.choose(route, call, lambda to: True)[0].to
        after = Plan.choose(route, call, lambda to: to != 3)[0].to
        assert after == before or before == 3


def test_caps_count_calls_and_rates_across_tables() -> None:
    caps = Caps()
    caps.swap({"lines": Cap("lines", calls=2), "rate": Cap("rate", a_second=10.0, burst=3)})
    held = [caps.take(("lines",), 0.0) for _ in range(3)]
    assert [each.full for each in held] == ["", "", "lines"]
    caps.swap({"lines": Cap("lines", calls=3)})  # another table: the two that stand count under it, too
    third = caps.take(("lines", "unheard-of"), 0.0)
    assert third.taken == ("lines",) and caps.take(("lines",), 0.0).full == "lines"
    for each in held:
        caps.give(each)  # the one that was refused holds nothing
    assert caps.counts["lines"].calls == 1
    caps.swap({"rate": Cap("rate", a_second=10.0, burst=3)})
    assert [caps.take(("rate",), 1000.0).full for _ in range(4)] == ["", "", "", "rate"]
    refused = caps.take(("rate",), 1040.0)
    assert refused.wait_ms == pytest.approx(60.0) and not caps.take(("rate",), 1100.0).full
    caps.give(third)
    caps.sweep(1e9)
    assert caps.counts.keys() == {"rate"}  # whose calls still stand


def test_a_call_that_one_cap_refuses_takes_no_place_under_another() -> None:
    caps = Caps()
    caps.swap({"a": Cap("a", calls=5), "b": Cap("b", calls=1)})
    assert not caps.take(("a", "b"), 0.0).full
    assert caps.take(("a", "b"), 0.0).full == "b"
    assert caps.counts["a"].calls == 1


def edit(old: str, new: str, count: int = 1) -> tuple[str, str, int]:
    return old, new, count


M, P = "numbers.toml", "prefixes.csv"
BROKEN: list[tuple[str, tuple[str, str, int], list[str]]] = [
    (M, edit('name = "scot-stock"', ""), [f"{M}:3: plan.name: is missing"]),
    (
        M,
        edit('name = "scot-stock"', 'name = ""'),
        [f"{M}:4: plan.name: '': string should have at least 1 character"],
    ),
    (M, edit('name = "scot-stock"', "name = 7"), [f"{M}:4: plan.name: must be a text"]),
    (
        M,
        edit('digits = "decimal"', 'digits = "octal"'),
        [f"{M}:5: plan.digits: 'octal': input should be 'decimal' or 'hex'"],
    ),
    (M, edit('digits = "decimal"', 'digit = "decimal"'), [f"{M}:5: plan.digit: no such key"]),
    (
        M,
        edit('prefixes = ["prefixes.csv"]', "prefixes = []"),
        [f"{M}:6: plan.prefixes: []: list should have at least 1 item after validation, not 0"],
    ),
    (
        M,
        edit('prefixes = ["prefixes.csv"]', 'prefixes = "prefixes.csv"'),
        [f"{M}:6: plan.prefixes: must be a list"],
    ),
    (
        M,
        edit('["prefixes.csv"]', '["prefixes.csv", "more.csv"]'),
        [f"{M}:6: plan.prefixes.2: no file is named more.csv"],
    ),
    (M, edit('group = "desks"', 'group = "desk"'), [f"{M}:7: plan.group: no group is named desk"]),
    (M, edit("[plan]", "[plam]"), [f"{M}: plan: is missing", f"{M}:3: plam: no such key"]),
    (M, edit("[plan]", "[plan"), [f"{M}:3: not TOML: Expected ']' at the end of a table declaration"]),
    (
        M,
        edit('name = "desks"', 'name = "desks"\nname = "desk"'),
        [f"{M}:12: not TOML: Cannot overwrite a value"],
    ),
    (
        M,
        edit("strip = 2", "strip = 3"),
        [f"{M}:15: group.1.rewrite.1.strip: takes 3 digits off, 2 are known"],
    ),
    (
        M,
        edit("strip = 2", "strip = -1"),
        [f"{M}:15: group.1.rewrite.1.strip: -1: input should be greater than or equal to 0"],
    ),
    (M, edit("strip = 2", 'strip = "2"'), [f"{M}:15: group.1.rewrite.1.strip: must be a whole number"]),
    (M, edit("strip = 2", "strip = 2.5"), [f"{M}:15: group.1.rewrite.1.strip: must be a whole number"]),
    (
        M,
        edit('add = "44"', 'add = "+44"'),
        [f"{M}:24: group.1.rewrite.3.add: '+44' has characters that are no decimal digits"],
    ),
    (M, edit("least = 10", "least = 99"), [f"{M}:25: group.1.rewrite.3.least: 99 is more than most, 64"]),
    (
        M,
        edit("most = 3", "most = 0"),
        [f"{M}:31: group.1.rewrite.4.most: 0: input should be greater than or equal to 1"],
    ),
    (
        M,
        edit('name = "inverness"', 'name = "glasgow"'),
        [
            f"{M}:44: route.3.name: glasgow is the name of another one, in row 34",
            f"{P}:4: route: no route is named 'inverness'",
        ],
    ),
    (
        M,
        edit('name = "inverness"', 'name = "barred"'),
        [
            f"{M}:44: route.3.name: barred is what the prefixes call a number nobody may dial",
            f"{P}:4: route: no route is named 'inverness'",
        ],
    ),
    (
        M,
        edit('name = "inverness"', 'name = "in verness"'),
        [f"{M}:44: route.3.name: 'in verness': string should match pattern '^[\\w.-]+$'"],
    ),
    (
        M,
        edit("ranks = [[{ to = 3 }]]", ""),
        [f"{M}:43: route.3: inverness needs either ranks or a timetable"],
    ),
    (
        M,
        edit("ranks = [[{ to = 3 }]]", 'ranks = [[{ to = 3 }]]\ntimetable = "depots"'),
        [
            f"{M}:43: route.3: inverness needs either ranks or a timetable",
            f"{M}:43: route.3.when: does not say where calls go while closed holds",
            f"{M}:43: route.3.when: does not say where calls go while day holds",
            f"{M}:43: route.3.when: does not say where calls go while evening holds",
        ],
    ),
    (
        M,
        edit("ranks = [[{ to = 3 }]]", "ranks = [[]]"),
        [f"{M}:45: route.3.ranks: rank 1 of inverness is empty"],
    ),
    (
        M,
        edit("ranks = [[{ to = 3 }]]", "ranks = [[{ to = 3 }, { to = 3 }]]"),
        [f"{M}:45: route.3.ranks: rank 1 names exchange 3 twice"],
    ),
    (
        M,
        edit("ranks = [[{ to = 3 }]]", "ranks = [[{ to = -3 }]]"),
        [f"{M}:45: route.3.ranks.1.1.to: -3: input should be greater than or equal to 0"],
    ),
    (
        M,
        edit("ranks = [[{ to = 3 }]]", "ranks = [[{ weight = 3 }]]"),
        [f"{M}:45: route.3.ranks.1.1.to: is missing"],
    ),
    (
        M,
        edit("ranks = [[{ to = 3 }]]", "ranks = [[{ to = 3, weight = 0 }]]"),
        [f"{M}:45: route.3.ranks.1.1.weight: 0: input should be greater than or equal to 1"],
    ),
    (M, edit("ranks = [[{ to = 3 }]]", "ranks = [{ to = 3 }]"), [f"{M}:45: route.3.ranks.1: must be a list"]),
    (
        M,
        edit("ranks = [[{ to = 3 }]]", "ranks = [[{ to = 3, wait = 1 }]]"),
        [f"{M}:45: route.3.ranks.1.1.wait: no such key"],
    ),
    (
        M,
        edit("ranks = [[{ to = 3 }]]", 'ranks = [[{ to = 3 }]]\nwhen = { day = "glasgow" }'),
        [f"{M}:46: route.3.when: is of use with a timetable only"],
    ),
    (
        M,
        edit('caps = ["glasgow-lines"]', 'caps = ["glasgow-line"]'),
        [f"{M}:41: route.2.caps: no cap is named glasgow-line"],
    ),
    (
        M,
        edit('timetable = "depots"', 'timetable = "depot"'),
        [f"{M}:35: route.1.timetable: no timetable is named depot"],
    ),
    (
        M,
        edit(', closed = "night-desk" }', " }"),
        [f"{M}:36: route.1.when: does not say where calls go while closed holds"],
    ),
    (
        M,
        edit('closed = "night-desk" }', 'closed = "night-desk", noon = "inverness" }'),
        [f"{M}:36: route.1.when: depots has no rule noon"],
    ),
    (
        M,
        edit('closed = "night-desk" }', 'closed = "night-deck" }'),
        [f"{M}:36: route.1.when: no route is named night-deck, to which closed leads"],
    ),
    (
        M,
        edit('closed = "night-desk" }', 'closed = "glasgow" }'),
        [f"{M}:36: route.1.when: leads in a circle: glasgow - glasgow"],
    ),
    (
        M,
        edit("calls = 40", "calls = -40"),
        [f"{M}:53: cap.1.calls: -40: input should be greater than or equal to 0"],
    ),
    (M, edit("a_second = 5.0", 'a_second = "5"'), [f"{M}:54: cap.1.a_second: must be a number"]),
    (
        M,
        edit("burst = 10", "burst = 0"),
        [f"{M}:55: cap.1.burst: 0: input should be greater than or equal to 1"],
    ),
    (
        M,
        edit("burst = 10", 'burst = 10\n\n[[cap]]\nname = "glasgow-lines"'),
        [f"{M}:58: cap.2.name: glasgow-lines is the name of another one, in row 52"],
    ),
    (
        M,
        edit("Europe/London", "Europe/Londn"),
        [f"{M}:59: timetable.1.zone: no zone is named 'Europe/Londn'"],
    ),
    (M, edit("Europe/London", "../London"), [f"{M}:59: timetable.1.zone: no zone is named '../London'"]),
    (M, edit('usual = "day"', ""), [f"{M}:57: timetable.1.usual: is missing"]),
    (
        M,
        edit('"mon", "tue"', '"mon", "tues"'),
        [
            f"{M}:64: timetable.1.rule.1.days.2: 'tues': input should be 'mon', 'tue', 'wed', 'thu', 'fri', "
            "'sat' or 'sun'"
        ],
    ),
    (
        M,
        edit("18:00-06:00", "18:00-25:00"),
        [f"{M}:65: timetable.1.rule.1.spans: '18:00-25:00' is no span of times like 18:00-06:00"],
    ),
    (
        M,
        edit("18:00-06:00", "24:00-06:00"),
        [f"{M}:65: timetable.1.rule.1.spans: '24:00-06:00' is no span of times like 18:00-06:00"],
    ),
    (
        M,
        edit("18:00-06:00", "18-06"),
        [f"{M}:65: timetable.1.rule.1.spans: '18-06' is no span of times like 18:00-06:00"],
    ),
    (
        M,
        edit("18:00-06:00", "18:00-18:00"),
        [f"{M}:65: timetable.1.rule.1.spans: '18:00-18:00' is empty; a whole day is 00:00-24:00"],
    ),
    (
        M,
        edit('["18:00-06:00"]', '["18:00-06:00", "17:00-19:00"]'),
        [
            f"{M}:62: timetable.1.rule.1: evening and evening hold at once on {day}"
            for day in ("fri", "mon", "thu", "tue", "wed")
        ],
    ),
    (
        M,
        edit("date = 2026-12-25", 'date = "2026-12-25"'),
        [f"{M}:68: timetable.1.date.1.date: must be a date"],
    ),
    (
        M,
        edit("date = 2026-12-25", "date = 2026-12-25T10:00:00"),
        [f"{M}:68: timetable.1.date.1.date: must be a date"],
    ),
    (
        M,
        edit('name = "closed"\n', ""),
        [
            f"{M}:36: route.1.when: depots has no rule closed",
            f"{M}:67: timetable.1.date.1.name: is missing: which rule holds in these spans",
        ],
    ),
    (
        M,
        edit('["00:00-24:00"]', '["00:00-24:00"]\n\n[[timetable.date]]\ndate = 2026-12-25'),
        [f"{M}:73: timetable.1.date.2.date: 2026-12-25 is there twice"],
    ),
    (
        M,
        edit('["00:00-24:00"]', '["00:00-12:00", "11:59-24:00"]'),
        [f"{M}:70: timetable.1.date.1.spans: closed and closed hold at once"],
    ),
    (
        P,
        edit("prefix,route", "number,route"),
        [f"{P}:1: number: no such column", f"{P}:1: prefix: column is missing"],
    ),
    (P, edit("prefix,route,least", "prefix,route,route"), [f"{P}:1: route: column is there twice"]),
    (P, edit("44141,", "44 141,"), [f"{P}:2: prefix: '44 141' has characters that are no decimal digits"]),
    (P, edit("44141,", ","), [f"{P}:2: prefix: is empty"]),
    (
        P,
        edit("44141,", "4414155501234567,"),
        [f"{P}:2: prefix: has 16 digits, 15 are the most", f"{P}:2: most: 12 is less than the prefix has"],
    ),
    (P, edit("4490,", "44141,"), [f"{P}:5: prefix: 44141 is there already"]),
    (P, edit("inverness", "invernes"), [f"{P}:4: route: no route is named 'invernes'"]),
    (P, edit("4490,barred", "4490,"), [f"{P}:5: route: is empty"]),
    (P, edit("11,12,", "12,11,"), [f"{P}:2: least: 12 is more than most, 11"]),
    (P, edit("11,12,", "11,3,"), [f"{P}:2: least: 11 is more than most, 3"]),
    (P, edit("999,night-desk,3,3,", "999,night-desk,,2,"), [f"{P}:6: most: 2 is less than the prefix has"]),
    (P, edit("11,12,", "eleven,12,"), [f"{P}:2: least: 'eleven' is no number of digits"]),
    (P, edit("11,12,", "11,12,few"), [f"{P}:2: caps: no cap is named few"]),
    (P, edit("11,12,", "11,12"), [f"{P}:2: has 4 cells, the header 5"]),
    (P, edit("44141,glasgow", '"44141,glasgow'), [f"{P}:6: not CSV: unexpected end of data"]),
    (P, edit(PREFIXES, ""), [f"{P}:1: prefix: column is missing", f"{P}:1: route: column is missing"]),
    (P, edit(PREFIXES, "prefix,route\n"), [f"{M}:6: plan.prefixes: no prefix in any of these files"]),
]


@pytest.mark.parametrize(("file", "change", "lines"), BROKEN, ids=range(len(BROKEN)))
def test_a_broken_table_is_refused_with_its_own_fault(
    tmp_path: Path, file: str, change: tuple[str, str, int], lines: list[str]
) -> None:
    texts = {M: MASTER, P: PREFIXES}
    assert change[0] in texts[file]
    texts[file] = texts[file].replace(*change)
    path = put(tmp_path, texts[M], texts[P])
    with pytest.raises(Unusable) as refused:
        read(path)
    assert sorted(str(each).replace(f"{tmp_path}{os.sep}", "") for each in refused.value.faults) == sorted(
        lines
    )


def test_there_are_sixty_of_them_and_more() -> None:
    assert len(BROKEN) >= 60 and len({tuple(lines) for _, _, lines in BROKEN}) >= 55


def test_text_in_another_code_is_told_with_its_row(tmp_path: Path) -> None:
    path = put(tmp_path, prefixes=PREFIXES.encode() + "4477,barred,,,é\n".encode("cp1252"))
    with pytest.raises(Unusable) as refused:
        read(path)
    assert [each.row for each in refused.value.faults] == [7]


def test_the_generation_is_named_by_the_content(tmp_path: Path, plan: Plan) -> None:
    assert read(put(tmp_path)).generation == plan.generation
    assert read(put(tmp_path, prefixes=PREFIXES + "4477,barred,,,\n")).generation != plan.generation


def test_explain_says_one_object(tmp_path: Path) -> None:
    path = str(put(tmp_path))
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
    said = json.loads(result.output)
    assert said.pop("because")
    assert said == {
        "generation": read(Path(path)).generation,
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
    put(tmp_path)
    (tmp_path / "broken.toml").write_text("[plan]")
    monkeypatch.chdir(tmp_path)
    assert CliRunner().invoke(cli, ["routes", *arguments]).exit_code == code


def test_diff_names_what_changes(tmp_path: Path) -> None:
    old, new = (tmp_path / name for name in ("old", "new"))
    for folder in (old, new):
        folder.mkdir()
    put(old)
    put(new, MASTER.replace("calls = 40", "calls = 50"), PREFIXES.replace("4490", "4491"))
    result = CliRunner().invoke(cli, ["routes", "diff", str(old / M), str(new / M)])
    assert [line.partition(":")[0] for line in result.output.splitlines()] == [
        "~ cap glasgow-lines",
        "- prefix 4490",
        "+ prefix 4491",
    ]
