"""Number tables from files: a master in TOML and prefixes in CSV, read in slices, checked whole, built whole.

Every fault is told with its file, row and field, and nothing of a table with faults is used. Reading pauses
after bounded work, so that a loop can do other things meanwhile.
"""

from __future__ import annotations

import csv
import hashlib
import io
import re
import tomllib
from collections.abc import Generator, Iterator
from datetime import date, timedelta
from pathlib import Path
from typing import Annotated, Any, Literal
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mintvalve.analysis.index import LONGEST, SLICE, Builder, Duplicate, finished
from mintvalve.analysis.plan import HOPS, Alphabet, Cap, Choice, Group, Plan, Range, Rewrite, Route
from mintvalve.analysis.timetables import DAY, Span, Timetable, overlaps
from mintvalve.config.faults import Fault, Unusable

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
CLOCK = re.compile(r"([01]\d|2[0-4]):([0-5]\d)")
HEADER = re.compile(r"\s*\[\[?\s*([\w.-]+)\s*\]\]?")
KEY = re.compile(r"\s*([\w-]+)\s*=")
COLUMNS = ("prefix", "route", "least", "most", "caps")
BARRED = "barred"  # in the column of routes
MOST_FAULTS = 1000  # of one file; whoever has more sees these first
PLAIN = {  # what the validation library calls it: what a person reads
    "extra_forbidden": "no such key",
    "missing": "is missing",
    "string_type": "must be a text",
    "int_type": "must be a whole number",
    "int_from_float": "must be a whole number",
    "float_type": "must be a number",
    "list_type": "must be a list",
    "dict_type": "must be a table",
    "model_type": "must be a table",
    "date_type": "must be a date",
    "bool_type": "must be true or false",
    "date_from_datetime_inexact": "must be a date",
    "model_attributes_type": "must be a table",
}

Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[\w.-]+$")]


class Strict(BaseModel):
    """A table of the master file."""

    model_config = ConfigDict(extra="forbid", strict=True)


class PlanTable(Strict):
    name: Name
    prefixes: list[str] = Field(min_length=1)
    digits: Literal["decimal", "hex"] = "decimal"
    group: Name = "usual"


class RewriteTable(Strict):
    begins: str = ""
    strip: int = Field(0, ge=0, le=LONGEST)
    add: str = ""
    least: int = Field(0, ge=0)
    most: int = Field(64, ge=1)


class GroupTable(Strict):
    name: Name
    rewrite: list[RewriteTable] = []


class ChoiceTable(Strict):
    to: int = Field(ge=0)
    weight: int = Field(1, ge=1, le=1_000_000)


class RouteTable(Strict):
    name: Name
    ranks: list[list[ChoiceTable]] = []
    timetable: str = ""
    when: dict[str, str] = {}
    caps: list[str] = []


class CapTable(Strict):
    name: Name
    calls: int = Field(0, ge=0)
    a_second: float = Field(0.0, ge=0.0)
    burst: int = Field(1, ge=1)


class RuleTable(Strict):
    name: Name
    days: list[Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]] = Field(min_length=1)
    spans: list[str] = Field(min_length=1)


class DateTable(Strict):
    date: date
    name: str = ""
    spans: list[str] = []


class TimetableTable(Strict):
    name: Name
    zone: str
    usual: Name
    rule: list[RuleTable] = []
    date: list[DateTable] = []


class Master(Strict):
    plan: PlanTable
    group: list[GroupTable] = []
    route: list[RouteTable] = Field(min_length=1)
    cap: list[CapTable] = []
    timetable: list[TimetableTable] = []


class Places:
    """Where tables and keys of a TOML text stand, as its parser does not tell."""

    def __init__(self, text: str) -> None:
        self.rows: dict[tuple[str | int, ...], int] = {}
        counts: dict[tuple[str | int, ...], int] = {}
        path: tuple[str | int, ...] = ()
        for row, line in enumerate(text.splitlines(), 1):
            if line.lstrip().startswith("[") and (header := HEADER.match(line)):
                path = ()
                names = header[1].split(".")
                for place, name in enumerate(names, 1):
                    path = (*path, name)
                    if line.lstrip().startswith("[["):
                        if place == len(names):
                            counts[path] = counts.get(path, -1) + 1
                        if path in counts:
                            path = (*path, counts[path])
                self.rows[path] = row
            elif key := KEY.match(line):
                self.rows.setdefault((*path, key[1]), row)

    def row(self, path: tuple[str | int, ...]) -> int:
        """The row of the nearest thing that has one; 0 for the file."""
        while path and path not in self.rows:
            path = path[:-1]
        return self.rows.get(path, 0)


class Reader:
    """One reading of a master file and all that it names."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.faults: list[Fault] = []
        self.hash = hashlib.blake2b(digest_size=8)
        self.places = Places("")

    def fault(self, where: tuple[str | int, ...], text: str) -> None:
        names = [str(each + 1) if isinstance(each, int) else each for each in where]
        self.faults.append(Fault(str(self.path), self.places.row(where), ".".join(names), text))

    def steps(self) -> Generator[None, None, Plan]:
        """Pauses after bounded work; the plan is its value. Unusable with every fault."""
        master = self.master()
        yield
        alphabet = Alphabet(master.plan.digits)
        caps = {
            each.name: Cap(each.name, each.calls, each.a_second, each.burst)
            for each in self.named("cap", master.cap)
        }
        timetables = {
            each.name: table
            for place, each in enumerate(master.timetable)
            if (table := self.timetable(place, each)) is not None
        }
        self.named("timetable", master.timetable)
        groups = {each.name: self.group(place, each, alphabet) for place, each in enumerate(master.group)}
        self.named("group", master.group)
        groups.setdefault("usual", Group("usual"))
        if master.plan.group not in groups:
            self.fault(("plan", "group"), f"no group is named {master.plan.group}")
        routes = self.routes(master, caps)
        ranges: dict[Range, int] = {}
        builder = Builder()
        for place, name in enumerate(master.plan.prefixes):
            file = self.path.parent / name
            if not file.is_file():
                self.fault(("plan", "prefixes", place), f"no file is named {name}")
                continue
            yield from self.prefixes(file, alphabet, routes, caps, ranges, builder)
        if not builder.size and not self.faults:
            self.fault(("plan", "prefixes"), "no prefix in any of these files")
        if self.faults:
            raise Unusable(self.faults)
        index = yield from builder.steps()
        return Plan(
            master.plan.name,
            self.hash.hexdigest(),
            alphabet,
            groups,
            master.plan.group,
            routes,
            caps,
            timetables,
            tuple(ranges),
            index,
        )

    def text(self, path: Path) -> str:
        data = path.read_bytes()
        self.hash.update(b"%d %s\n" % (len(data), path.name.encode()))
        self.hash.update(data)
        try:
            return data.decode("utf-8-sig")
        except UnicodeDecodeError as fault:
            row = data.count(b"\n", 0, fault.start) + 1
            raise Unusable([Fault(str(path), row, "", "not UTF-8 text")]) from None

    def master(self) -> Master:
        text = self.text(self.path)
        self.places = Places(text)
        try:
            return Master.model_validate(tomllib.loads(text))
        except tomllib.TOMLDecodeError as fault:
            row = re.search(r"line (\d+)", str(fault))
            what = str(fault).partition(" (at ")[0]
            raise Unusable(
                [Fault(str(self.path), int(row[1]) if row else 0, "", f"not TOML: {what}")]
            ) from None
        except ValidationError as fault:
            for each in fault.errors(include_url=False, include_context=False, include_input=True):
                text = PLAIN.get(each["type"], "")
                if not text:
                    shown = repr(each["input"])[:40]
                    text = f"{shown}: {each['msg'][0].lower()}{each['msg'][1:]}"
                self.fault(tuple(each["loc"]), text)
            raise Unusable(self.faults) from None

    def named(self, kind: str, tables: list[Any]) -> list[Any]:
        """Tables by their names; none may occur twice."""
        rows: dict[str, int] = {}
        for place, each in enumerate(tables):
            if each.name in rows:
                self.fault(
                    (kind, place, "name"),
                    f"{each.name} is the name of another one, in row "
                    f"{self.places.row((kind, rows[each.name], 'name'))}",
                )
            rows.setdefault(each.name, place)
        return tables

    # Parts of the master.

    def group(self, place: int, table: GroupTable, alphabet: Alphabet) -> Group:
        for number, each in enumerate(table.rewrite):
            where = ("group", place, "rewrite", number)
            if each.strip > len(each.begins):
                self.fault((*where, "strip"), f"takes {each.strip} digits off, {len(each.begins)} are known")
            if each.least > each.most:
                self.fault((*where, "least"), f"{each.least} is more than most, {each.most}")
            if alphabet.coded(each.add) is None:
                self.fault(
                    (*where, "add"), f"{each.add!r} has characters that are no {alphabet.value} digits"
                )
        return Group(
            table.name,
            tuple(
                Rewrite(each.begins, each.strip, each.add, each.least, each.most) for each in table.rewrite
            ),
        )

    def span(self, where: tuple[str | int, ...], text: str) -> Span | None:
        """18:00-06:00; an end at or before the start is one of the next day."""
        start, _, end = text.partition("-")
        found = [CLOCK.fullmatch(each.strip()) for each in (start, end)]
        minutes = [int(each[1]) * 60 + int(each[2]) for each in found if each]
        if len(minutes) < 2 or minutes[0] >= DAY or minutes[1] > DAY:
            self.fault(where, f"{text!r} is no span of times like 18:00-06:00")
            return None
        if minutes[0] == minutes[1]:
            self.fault(where, f"{text!r} is empty; a whole day is 00:00-24:00")
            return None
        return Span(minutes[0], minutes[1])

    def timetable(self, place: int, table: TimetableTable) -> Timetable | None:
        weekly: list[list[tuple[Span, str]]] = [[] for _ in DAYS]
        dated: dict[date, tuple[tuple[Span, str], ...]] = {}
        where: tuple[str | int, ...] = ("timetable", place)
        for number, rule in enumerate(table.rule):
            spans = [
                span
                for text in rule.spans
                if (span := self.span((*where, "rule", number, "spans"), text)) is not None
            ]
            for day in dict.fromkeys(rule.days):
                weekly[DAYS.index(day)] += [(span, rule.name) for span in spans]
        for number, special in enumerate(table.date):
            here = (*where, "date", number)
            spans = [
                span for text in special.spans if (span := self.span((*here, "spans"), text)) is not None
            ]
            if spans and not special.name:
                self.fault((*here, "name"), "is missing: which rule holds in these spans")
            if special.date in dated:
                self.fault((*here, "date"), f"{special.date} is there twice")
            dated[special.date] = tuple((span, special.name) for span in spans)
            for one, other in overlaps(dated[special.date]):
                self.fault((*here, "spans"), f"{one} and {other} hold at once")
        for special_day, spans_of in dated.items():
            following = special_day + timedelta(days=1)
            if following in dated or not any(span.over for span, _ in spans_of):
                continue
            for one, other in overlaps(tuple(weekly[following.weekday()]), spans_of):
                self.fault((*where, "date"), f"{one} and {other} hold at once on {following}")
        for number, name in enumerate(DAYS):
            for one, other in overlaps(tuple(weekly[number]), tuple(weekly[number - 1])):
                place_of = next(place for place, each in enumerate(table.rule) if each.name == other)
                self.fault((*where, "rule", place_of), f"{one} and {other} hold at once on {name}")
        try:
            zone = ZoneInfo(table.zone)
        except (ZoneInfoNotFoundError, ValueError, OSError):
            self.fault((*where, "zone"), f"no zone is named {table.zone!r}")
            return None
        return Timetable(zone, table.usual, tuple(map(tuple, weekly)), dated)

    def routes(self, master: Master, caps: dict[str, Cap]) -> dict[str, Route]:
        routes: dict[str, Route] = {}
        names = {each.name for each in self.named("route", master.route)}
        for place, each in enumerate(master.route):
            where: tuple[str | int, ...] = ("route", place)
            if each.name == BARRED:
                self.fault((*where, "name"), f"{BARRED} is what the prefixes call a number nobody may dial")
            if bool(each.ranks) == bool(each.timetable):
                self.fault(where, f"{each.name} needs either ranks or a timetable")
            for number, rank in enumerate(each.ranks):
                if not rank:
                    self.fault((*where, "ranks"), f"rank {number + 1} of {each.name} is empty")
                twice = [one.to for one in rank if [other.to for other in rank].count(one.to) > 1]
                if twice:
                    self.fault((*where, "ranks"), f"rank {number + 1} names exchange {twice[0]} twice")
            for cap in each.caps:
                if cap not in caps:
                    self.fault((*where, "caps"), f"no cap is named {cap}")
            if each.timetable:
                self.by_time(where, each, names, master)
            elif each.when:
                self.fault((*where, "when"), "is of use with a timetable only")
            ranks = tuple(tuple(Choice(one.to, one.weight) for one in rank) for rank in each.ranks)
            routes[each.name] = Route(each.name, ranks, each.timetable, each.when, tuple(each.caps))
        for place, each in enumerate(master.route):
            if (chain := self.chain(routes, each.name)) is not None:
                self.fault(("route", place, "when"), chain)
        return routes

    def by_time(
        self,
        where: tuple[str | int, ...],
        each: RouteTable,
        names: set[str],
        master: Master,
    ) -> None:
        tables = {one.name: one for one in master.timetable}
        if each.timetable not in tables:
            self.fault((*where, "timetable"), f"no timetable is named {each.timetable}")
            return
        table = tables[each.timetable]
        rules = {
            table.usual,
            *(rule.name for rule in table.rule),
            *(one.name for one in table.date if one.name),
        }
        for rule in sorted(rules - set(each.when)):
            self.fault((*where, "when"), f"does not say where calls go while {rule} holds")
        for rule in sorted(set(each.when) - rules):
            self.fault((*where, "when"), f"{each.timetable} has no rule {rule}")
        for rule, route in sorted(each.when.items()):
            if route not in names:
                self.fault((*where, "when"), f"no route is named {route}, to which {rule} leads")

    @staticmethod
    def chain(routes: dict[str, Route], name: str) -> str | None:
        """A way by the timetables that never ends, or is too long."""
        ways: list[tuple[str, ...]] = [(name,)]
        while ways:
            way = ways.pop()
            for follower in set(routes[way[-1]].by_rule.values()) & set(routes):
                if follower in way:
                    return f"leads in a circle: {' - '.join([*way, follower])}"
                if len(way) >= HOPS:
                    return f"leads on more than {HOPS - 1} times: {' - '.join([*way, follower])}"
                ways.append((*way, follower))
        return None

    # Prefixes.

    def prefixes(
        self,
        file: Path,
        alphabet: Alphabet,
        routes: dict[str, Route],
        caps: dict[str, Cap],
        ranges: dict[Range, int],
        builder: Builder,
    ) -> Iterator[None]:
        """One CSV file, in slices."""
        text, path = self.text(file), str(file)
        rows = csv.reader(io.StringIO(text, newline=""), strict=True)
        found: list[Fault] = []
        where: dict[str, int] = {}
        try:
            header = [each.strip() for each in next(rows, [])]
            where = {name: place for place, name in enumerate(header)}
            found += [
                Fault(path, 1, name or "header", "no such column") for name in header if name not in COLUMNS
            ]
            found += [Fault(path, 1, name, "column is missing") for name in COLUMNS[:2] if name not in where]
            found += [
                Fault(path, 1, name, "column is there twice") for name in COLUMNS if header.count(name) > 1
            ]
            if not found:
                for count, cells in enumerate(rows, 1):
                    if cells:
                        self.prefix(
                            path, rows.line_num, cells, where, alphabet, routes, caps, ranges, builder, found
                        )
                    if len(found) >= MOST_FAULTS:
                        break
                    if count % SLICE == 0:
                        yield
        except csv.Error as fault:
            found.append(Fault(path, rows.line_num, "", f"not CSV: {fault}"))
        self.faults += found

    def prefix(
        self,
        path: str,
        row: int,
        cells: list[str],
        where: dict[str, int],
        alphabet: Alphabet,
        routes: dict[str, Route],
        caps: dict[str, Cap],
        ranges: dict[Range, int],
        builder: Builder,
        found: list[Fault],
    ) -> None:
        before = len(found)
        if len(cells) != len(where):
            found.append(Fault(path, row, "", f"has {len(cells)} cells, the header {len(where)}"))
            return
        get = {name: cells[place].strip() for name, place in where.items()}
        coded = alphabet.coded(get["prefix"])
        if coded is None:
            found.append(
                Fault(
                    path,
                    row,
                    "prefix",
                    f"{get['prefix']!r} has characters that are no {alphabet.value} digits",
                )
            )
        elif not coded:
            found.append(Fault(path, row, "prefix", "is empty"))
        elif len(coded) > LONGEST:
            found.append(Fault(path, row, "prefix", f"has {len(coded)} digits, {LONGEST} are the most"))
        route = get["route"]
        if route != BARRED and route not in routes:
            found.append(Fault(path, row, "route", f"no route is named {route!r}" if route else "is empty"))
        lengths = []
        for name, usual in (("least", 0), ("most", 10_000)):
            cell = get.get(name, "")
            if cell and not (cell.isascii() and cell.isdigit() and len(cell) < 4):
                found.append(Fault(path, row, name, f"{cell!r} is no number of digits"))
                cell = ""
            lengths.append(int(cell) if cell else usual)
        if lengths[0] > lengths[1]:
            found.append(Fault(path, row, "least", f"{lengths[0]} is more than most, {lengths[1]}"))
        elif coded and lengths[1] < len(coded):
            found.append(Fault(path, row, "most", f"{lengths[1]} is less than the prefix has"))
        named = tuple(get.get("caps", "").split())
        for cap in named:
            if cap not in caps:
                found.append(Fault(path, row, "caps", f"no cap is named {cap}"))
        if len(found) > before or coded is None:
            return
        least, most = lengths
        part = Range("" if route == BARRED else route, least, most, named)
        value = ranges.setdefault(part, len(ranges))
        try:
            builder.add(coded, value)
        except Duplicate:
            found.append(Fault(path, row, "prefix", f"{get['prefix']} is there already"))


def read(path: Path) -> Plan:
    """A plan from its master file, all at once. Unusable with every fault; OSError where it can't be read."""
    return finished(Reader(path).steps())
