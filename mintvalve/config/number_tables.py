"""Reads number tables: a master file in TOML and the CSV files of prefixes that it names.

Every fault is reported with its file, row and field, and no part of a table with faults is used. Reading
yields after a bounded amount of work, so that an event loop can run other tasks in between.
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

from mintvalve.analysis.index import (
    MAX_PREFIX_DIGITS,
    PREFIXES_PER_STEP,
    DuplicatePrefixError,
    PrefixIndexBuilder,
    run_to_completion,
)
from mintvalve.analysis.plan import (
    MAX_CHAINED_ROUTES,
    Alphabet,
    CallerGroup,
    Cap,
    Choice,
    Plan,
    PrefixTarget,
    Rewrite,
    Route,
)
from mintvalve.analysis.timetables import MINUTES_PER_DAY, Span, Timetable, overlapping_rules
from mintvalve.config.faults import Fault, ConfigurationError

WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
CLOCK_TIME_PATTERN = re.compile(r"([01]\d|2[0-4]):([0-5]\d)")
TABLE_HEADER_PATTERN = re.compile(r"\s*\[\[?\s*([\w.-]+)\s*\]\]?")
KEY_PATTERN = re.compile(r"\s*([\w-]+)\s*=")
CSV_COLUMNS = ("prefix", "route", "least", "most", "caps")
BARRED_ROUTE = "barred"  # marks barred prefixes in the CSV column "route"
MAX_FAULTS_PER_FILE = 1000  # reading a CSV file stops there; the first faults are enough to start from
FAULT_TEXTS = {  # by pydantic error type
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


class StrictTable(BaseModel):
    """A table of the master file; unknown keys and values of another type are faults."""

    model_config = ConfigDict(extra="forbid", strict=True)


class PlanTable(StrictTable):
    """The table `[plan]`: the name of the plan, its CSV files, digits and default caller group."""

    name: Name
    prefixes: list[str] = Field(min_length=1)
    digits: Literal["decimal", "hex"] = "decimal"
    group: Name = "usual"


class RewriteTable(StrictTable):
    """A table `[[group.rewrite]]`; see `Rewrite`."""

    begins: str = ""
    strip: int = Field(0, ge=0, le=MAX_PREFIX_DIGITS)
    add: str = ""
    least: int = Field(0, ge=0)
    most: int = Field(64, ge=1)


class GroupTable(StrictTable):
    """A table `[[group]]`; see `CallerGroup`."""

    name: Name
    rewrite: list[RewriteTable] = []


class ChoiceTable(StrictTable):
    """An entry of a rank: an exchange number and its weight; see `Choice`."""

    to: int = Field(ge=0)
    weight: int = Field(1, ge=1, le=1_000_000)


class RouteTable(StrictTable):
    """A table `[[route]]`; `when` maps the rules of its timetable to routes. See `Route`."""

    name: Name
    ranks: list[list[ChoiceTable]] = []
    timetable: str = ""
    when: dict[str, str] = {}
    caps: list[str] = []


class CapTable(StrictTable):
    """A table `[[cap]]`; see `Cap`."""

    name: Name
    calls: int = Field(0, ge=0)
    a_second: float = Field(0.0, ge=0.0)
    burst: int = Field(1, ge=1)


class RuleTable(StrictTable):
    """A table `[[timetable.rule]]`: a rule, its days of the week and its spans as text."""

    name: Name
    days: list[Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]] = Field(min_length=1)
    spans: list[str] = Field(min_length=1)


class DateTable(StrictTable):
    """A table `[[timetable.date]]`: the rule and spans that replace all others on a date."""

    date: date
    name: str = ""
    spans: list[str] = []


class TimetableTable(StrictTable):
    """A table `[[timetable]]`; see `Timetable`."""

    name: Name
    zone: str
    usual: Name
    rule: list[RuleTable] = []
    date: list[DateTable] = []


class MasterTable(StrictTable):
    """The whole master file."""

    plan: PlanTable
    group: list[GroupTable] = []
    route: list[RouteTable] = Field(min_length=1)
    cap: list[CapTable] = []
    timetable: list[TimetableTable] = []


class TomlRows:
    """Row numbers of the tables and keys of a TOML text, which `tomllib` does not report."""

    def __init__(self, text: str) -> None:
        self.rows: dict[tuple[str | int, ...], int] = {}
        last_indexes: dict[tuple[str | int, ...], int] = {}
        path: tuple[str | int, ...] = ()
        for row, line in enumerate(text.splitlines(), 1):
            if line.lstrip().startswith("[") and (header := TABLE_HEADER_PATTERN.match(line)):
                path = ()
                names = header[1].split(".")
                for depth, name in enumerate(names, 1):
                    path = (*path, name)
                    if line.lstrip().startswith("[["):
                        if depth == len(names):
                            last_indexes[path] = last_indexes.get(path, -1) + 1
                        if path in last_indexes:
                            path = (*path, last_indexes[path])
                self.rows[path] = row
            elif key := KEY_PATTERN.match(line):
                self.rows.setdefault((*path, key[1]), row)

    def row_of(self, path: tuple[str | int, ...]) -> int:
        """Return the row of a key or, if that is unknown, of the innermost table around it; 0 if none is."""
        while path and path not in self.rows:
            path = path[:-1]
        return self.rows.get(path, 0)


class NumberTableReader:
    """Reads one master file and the CSV files that it names into a `Plan`, and collects the faults."""

    def __init__(self, master_path: Path) -> None:
        self.master_path = master_path
        self.faults: list[Fault] = []
        self.content_hash = hashlib.blake2b(digest_size=8)
        self.master_rows = TomlRows("")

    def add_fault(self, location: tuple[str | int, ...], text: str) -> None:
        """Record a fault of the master file; `location` is a path of keys and list positions (from 0)."""
        keys = [str(key + 1) if isinstance(key, int) else key for key in location]
        self.faults.append(
            Fault(str(self.master_path), self.master_rows.row_of(location), ".".join(keys), text)
        )

    def read_steps(self) -> Generator[None, None, Plan]:
        """Read all files in steps; the generator's result is the plan.

        Yields after a bounded amount of work. Raises ConfigurationError with every fault, and OSError
        where a file can't be read.
        """
        master = self.parse_master()
        yield
        alphabet = Alphabet(master.plan.digits)
        caps = {
            entry.name: Cap(entry.name, entry.calls, entry.a_second, entry.burst)
            for entry in self.check_unique_names("cap", master.cap)
        }
        timetables = {
            entry.name: table
            for position, entry in enumerate(master.timetable)
            if (table := self.build_timetable(position, entry)) is not None
        }
        self.check_unique_names("timetable", master.timetable)
        groups = {
            entry.name: self.build_group(position, entry, alphabet)
            for position, entry in enumerate(master.group)
        }
        self.check_unique_names("group", master.group)
        groups.setdefault("usual", CallerGroup("usual"))
        if master.plan.group not in groups:
            self.add_fault(("plan", "group"), f"no group is named {master.plan.group}")
        routes = self.build_routes(master, caps)
        target_indexes: dict[PrefixTarget, int] = {}
        builder = PrefixIndexBuilder()
        for position, name in enumerate(master.plan.prefixes):
            csv_path = self.master_path.parent / name
            if not csv_path.is_file():
                self.add_fault(("plan", "prefixes", position), f"no file is named {name}")
                continue
            yield from self.read_prefixes(csv_path, alphabet, routes, caps, target_indexes, builder)
        if not builder.prefix_count and not self.faults:
            self.add_fault(("plan", "prefixes"), "no prefix in any of these files")
        if self.faults:
            raise ConfigurationError(self.faults)
        index = yield from builder.build_steps()
        return Plan(
            master.plan.name,
            self.content_hash.hexdigest(),
            alphabet,
            groups,
            master.plan.group,
            routes,
            caps,
            timetables,
            tuple(target_indexes),
            index,
        )

    def read_text(self, path: Path) -> str:
        """Read a file and add its size, name and content to the hash that identifies the generation.

        Raises ConfigurationError where the content is not UTF-8.
        """
        data = path.read_bytes()
        self.content_hash.update(b"%d %s\n" % (len(data), path.name.encode()))
        self.content_hash.update(data)
        try:
            return data.decode("utf-8-sig")
        except UnicodeDecodeError as error:
            row = data.count(b"\n", 0, error.start) + 1
            raise ConfigurationError([Fault(str(path), row, "", "not UTF-8 text")]) from None

    def parse_master(self) -> MasterTable:
        """Read and validate the master file; raises ConfigurationError with every fault."""
        text = self.read_text(self.master_path)
        self.master_rows = TomlRows(text)
        try:
            return MasterTable.model_validate(tomllib.loads(text))
        except tomllib.TOMLDecodeError as error:
            row = re.search(r"line (\d+)", str(error))
            problem = str(error).partition(" (at ")[0]
            raise ConfigurationError(
                [Fault(str(self.master_path), int(row[1]) if row else 0, "", f"not TOML: {problem}")]
            ) from None
        except ValidationError as error:
            for detail in error.errors(include_url=False, include_context=False, include_input=True):
                text = FAULT_TEXTS.get(detail["type"], "")
                if not text:
                    shown_input = repr(detail["input"])[:40]
                    text = f"{shown_input}: {detail['msg'][0].lower()}{detail['msg'][1:]}"
                self.add_fault(tuple(detail["loc"]), text)
            raise ConfigurationError(self.faults) from None

    def check_unique_names(self, kind: str, tables: list[Any]) -> list[Any]:
        """Report each table whose name an earlier one of its kind has; return the tables as they are."""
        first_positions: dict[str, int] = {}
        for position, table in enumerate(tables):
            if table.name in first_positions:
                self.add_fault(
                    (kind, position, "name"),
                    f"{table.name} is the name of another one, in row "
                    f"{self.master_rows.row_of((kind, first_positions[table.name], 'name'))}",
                )
            first_positions.setdefault(table.name, position)
        return tables

    # Building the parts of the plan from the master file.

    def build_group(self, position: int, table: GroupTable, alphabet: Alphabet) -> CallerGroup:
        """Build a caller group from the master's group at `position` and report its faults."""
        for rewrite_position, rewrite in enumerate(table.rewrite):
            location = ("group", position, "rewrite", rewrite_position)
            if rewrite.strip > len(rewrite.begins):
                self.add_fault(
                    (*location, "strip"), f"takes {rewrite.strip} digits off, {len(rewrite.begins)} are known"
                )
            if rewrite.least > rewrite.most:
                self.add_fault((*location, "least"), f"{rewrite.least} is more than most, {rewrite.most}")
            if alphabet.encode(rewrite.add) is None:
                self.add_fault(
                    (*location, "add"), f"{rewrite.add!r} has characters that are no {alphabet.value} digits"
                )
        return CallerGroup(
            table.name,
            tuple(
                Rewrite(rewrite.begins, rewrite.strip, rewrite.add, rewrite.least, rewrite.most)
                for rewrite in table.rewrite
            ),
        )

    def parse_span(self, location: tuple[str | int, ...], text: str) -> Span | None:
        """Parse a span such as 18:00-06:00; report a fault and return None if it is malformed or empty."""
        start, _, end = text.partition("-")
        matches = [CLOCK_TIME_PATTERN.fullmatch(each.strip()) for each in (start, end)]
        minutes = [int(each[1]) * 60 + int(each[2]) for each in matches if each]
        if len(minutes) < 2 or minutes[0] >= MINUTES_PER_DAY or minutes[1] > MINUTES_PER_DAY:
            self.add_fault(location, f"{text!r} is no span of times like 18:00-06:00")
            return None
        if minutes[0] == minutes[1]:
            self.add_fault(location, f"{text!r} is empty; a whole day is 00:00-24:00")
            return None
        return Span(minutes[0], minutes[1])

    def build_timetable(self, position: int, table: TimetableTable) -> Timetable | None:
        """Build a timetable from the master's timetable at `position` and report its faults.

        None where its time zone is unknown.
        """
        weekly: list[list[tuple[Span, str]]] = [[] for _ in WEEKDAYS]
        dated: dict[date, tuple[tuple[Span, str], ...]] = {}
        location: tuple[str | int, ...] = ("timetable", position)
        for item_position, rule in enumerate(table.rule):
            spans = [
                span
                for text in rule.spans
                if (span := self.parse_span((*location, "rule", item_position, "spans"), text)) is not None
            ]
            for day in dict.fromkeys(rule.days):
                weekly[WEEKDAYS.index(day)] += [(span, rule.name) for span in spans]
        for item_position, exception in enumerate(table.date):
            exception_location = (*location, "date", item_position)
            spans = [
                span
                for text in exception.spans
                if (span := self.parse_span((*exception_location, "spans"), text)) is not None
            ]
            if spans and not exception.name:
                self.add_fault((*exception_location, "name"), "is missing: which rule holds in these spans")
            if exception.date in dated:
                self.add_fault((*exception_location, "date"), f"{exception.date} is there twice")
            dated[exception.date] = tuple((span, exception.name) for span in spans)
            for rule_name, other_rule_name in overlapping_rules(dated[exception.date]):
                self.add_fault(
                    (*exception_location, "spans"), f"{rule_name} and {other_rule_name} hold at once"
                )
        for exception_date, exception_spans in dated.items():
            next_date = exception_date + timedelta(days=1)
            if next_date in dated or not any(span.next_day_minutes for span, _ in exception_spans):
                continue
            for rule_name, other_rule_name in overlapping_rules(
                tuple(weekly[next_date.weekday()]), exception_spans
            ):
                self.add_fault(
                    (*location, "date"), f"{rule_name} and {other_rule_name} hold at once on {next_date}"
                )
        for item_position, weekday in enumerate(WEEKDAYS):
            for rule_name, other_rule_name in overlapping_rules(
                tuple(weekly[item_position]), tuple(weekly[item_position - 1])
            ):
                rule_position = next(
                    position
                    for position, rule_table in enumerate(table.rule)
                    if rule_table.name == other_rule_name
                )
                self.add_fault(
                    (*location, "rule", rule_position),
                    f"{rule_name} and {other_rule_name} hold at once on {weekday}",
                )
        try:
            zone = ZoneInfo(table.zone)
        except (ZoneInfoNotFoundError, ValueError, OSError):
            self.add_fault((*location, "zone"), f"no zone is named {table.zone!r}")
            return None
        return Timetable(zone, table.usual, tuple(map(tuple, weekly)), dated)

    def build_routes(self, master: MasterTable, caps: dict[str, Cap]) -> dict[str, Route]:
        """Build all routes, by their names, and report their faults."""
        routes: dict[str, Route] = {}
        route_names = {table.name for table in self.check_unique_names("route", master.route)}
        for position, table in enumerate(master.route):
            location: tuple[str | int, ...] = ("route", position)
            if table.name == BARRED_ROUTE:
                self.add_fault(
                    (*location, "name"), f"{BARRED_ROUTE} is what the prefixes call a number nobody may dial"
                )
            if bool(table.ranks) == bool(table.timetable):
                self.add_fault(location, f"{table.name} needs either ranks or a timetable")
            for rank_position, rank in enumerate(table.ranks):
                if not rank:
                    self.add_fault((*location, "ranks"), f"rank {rank_position + 1} of {table.name} is empty")
                repeated = [choice.to for choice in rank if [other.to for other in rank].count(choice.to) > 1]
                if repeated:
                    self.add_fault(
                        (*location, "ranks"), f"rank {rank_position + 1} names exchange {repeated[0]} twice"
                    )
            for cap in table.caps:
                if cap not in caps:
                    self.add_fault((*location, "caps"), f"no cap is named {cap}")
            if table.timetable:
                self.check_time_rules(location, table, route_names, master)
            elif table.when:
                self.add_fault((*location, "when"), "is of use with a timetable only")
            ranks = tuple(tuple(Choice(choice.to, choice.weight) for choice in rank) for rank in table.ranks)
            routes[table.name] = Route(table.name, ranks, table.timetable, table.when, tuple(table.caps))
        for position, table in enumerate(master.route):
            if (chain_fault := self.check_chain(routes, table.name)) is not None:
                self.add_fault(("route", position, "when"), chain_fault)
        return routes

    def check_time_rules(
        self,
        location: tuple[str | int, ...],
        route_table: RouteTable,
        route_names: set[str],
        master: MasterTable,
    ) -> None:
        """Report where a route's `when` does not match the rules of its timetable or names no route."""
        timetables = {entry.name: entry for entry in master.timetable}
        if route_table.timetable not in timetables:
            self.add_fault((*location, "timetable"), f"no timetable is named {route_table.timetable}")
            return
        timetable = timetables[route_table.timetable]
        rules = {
            timetable.usual,
            *(rule.name for rule in timetable.rule),
            *(entry.name for entry in timetable.date if entry.name),
        }
        for rule in sorted(rules - set(route_table.when)):
            self.add_fault((*location, "when"), f"does not say where calls go while {rule} holds")
        for rule in sorted(set(route_table.when) - rules):
            self.add_fault((*location, "when"), f"{route_table.timetable} has no rule {rule}")
        for rule, route in sorted(route_table.when.items()):
            if route not in route_names:
                self.add_fault((*location, "when"), f"no route is named {route}, to which {rule} leads")

    @staticmethod
    def check_chain(routes: dict[str, Route], name: str) -> str | None:
        """Return a fault text if timetables may lead from a route in a circle or through too many routes."""
        pending_chains: list[tuple[str, ...]] = [(name,)]
        while pending_chains:
            chain = pending_chains.pop()
            for next_name in set(routes[chain[-1]].by_rule.values()) & set(routes):
                if next_name in chain:
                    return f"leads in a circle: {' - '.join([*chain, next_name])}"
                if len(chain) >= MAX_CHAINED_ROUTES:
                    return (
                        f"leads on more than {MAX_CHAINED_ROUTES - 1} times: "
                        f"{' - '.join([*chain, next_name])}"
                    )
                pending_chains.append((*chain, next_name))
        return None

    # Reading the prefixes.

    def read_prefixes(
        self,
        csv_path: Path,
        alphabet: Alphabet,
        routes: dict[str, Route],
        caps: dict[str, Cap],
        target_indexes: dict[PrefixTarget, int],
        builder: PrefixIndexBuilder,
    ) -> Iterator[None]:
        """Add the prefixes of one CSV file to the builder and collect the faults of its rows.

        Yields after a bounded number of rows.
        """
        text, file_name = self.read_text(csv_path), str(csv_path)
        rows = csv.reader(io.StringIO(text, newline=""), strict=True)
        faults: list[Fault] = []
        column_positions: dict[str, int] = {}
        try:
            header = [cell.strip() for cell in next(rows, [])]
            column_positions = {name: position for position, name in enumerate(header)}
            faults += [
                Fault(file_name, 1, name or "header", "no such column")
                for name in header
                if name not in CSV_COLUMNS
            ]
            faults += [
                Fault(file_name, 1, name, "column is missing")
                for name in CSV_COLUMNS[:2]
                if name not in column_positions
            ]
            faults += [
                Fault(file_name, 1, name, "column is there twice")
                for name in CSV_COLUMNS
                if header.count(name) > 1
            ]
            if not faults:
                for count, cells in enumerate(rows, 1):
                    if cells:
                        self.add_prefix(
                            file_name,
                            rows.line_num,
                            cells,
                            column_positions,
                            alphabet,
                            routes,
                            caps,
                            target_indexes,
                            builder,
                            faults,
                        )
                    if len(faults) >= MAX_FAULTS_PER_FILE:
                        break
                    if count % PREFIXES_PER_STEP == 0:
                        yield
        except csv.Error as error:
            faults.append(Fault(file_name, rows.line_num, "", f"not CSV: {error}"))
        self.faults += faults

    def add_prefix(
        self,
        file_name: str,
        row: int,
        cells: list[str],
        column_positions: dict[str, int],
        alphabet: Alphabet,
        routes: dict[str, Route],
        caps: dict[str, Cap],
        target_indexes: dict[PrefixTarget, int],
        builder: PrefixIndexBuilder,
        faults: list[Fault],
    ) -> None:
        """Add the prefix of one row to the builder, or append the row's faults to `faults`."""
        faults_before = len(faults)
        if len(cells) != len(column_positions):
            faults.append(
                Fault(file_name, row, "", f"has {len(cells)} cells, the header {len(column_positions)}")
            )
            return
        cells_by_column = {name: cells[position].strip() for name, position in column_positions.items()}
        encoded = alphabet.encode(cells_by_column["prefix"])
        if encoded is None:
            faults.append(
                Fault(
                    file_name,
                    row,
                    "prefix",
                    f"{cells_by_column['prefix']!r} has characters that are no {alphabet.value} digits",
                )
            )
        elif not encoded:
            faults.append(Fault(file_name, row, "prefix", "is empty"))
        elif len(encoded) > MAX_PREFIX_DIGITS:
            faults.append(
                Fault(
                    file_name, row, "prefix", f"has {len(encoded)} digits, {MAX_PREFIX_DIGITS} are the most"
                )
            )
        route = cells_by_column["route"]
        if route != BARRED_ROUTE and route not in routes:
            faults.append(
                Fault(file_name, row, "route", f"no route is named {route!r}" if route else "is empty")
            )
        digit_limits = []
        for name, default in (("least", 0), ("most", 10_000)):
            cell = cells_by_column.get(name, "")
            if cell and not (cell.isascii() and cell.isdigit() and len(cell) < 4):
                faults.append(Fault(file_name, row, name, f"{cell!r} is no number of digits"))
                cell = ""
            digit_limits.append(int(cell) if cell else default)
        if digit_limits[0] > digit_limits[1]:
            faults.append(
                Fault(file_name, row, "least", f"{digit_limits[0]} is more than most, {digit_limits[1]}")
            )
        elif encoded and digit_limits[1] < len(encoded):
            faults.append(Fault(file_name, row, "most", f"{digit_limits[1]} is less than the prefix has"))
        cap_names = tuple(cells_by_column.get("caps", "").split())
        for cap in cap_names:
            if cap not in caps:
                faults.append(Fault(file_name, row, "caps", f"no cap is named {cap}"))
        if len(faults) > faults_before or encoded is None:
            return
        min_digits, max_digits = digit_limits
        target = PrefixTarget("" if route == BARRED_ROUTE else route, min_digits, max_digits, cap_names)
        target_index = target_indexes.setdefault(target, len(target_indexes))
        try:
            builder.add(encoded, target_index)
        except DuplicatePrefixError:
            faults.append(Fault(file_name, row, "prefix", f"{cells_by_column['prefix']} is there already"))


def read_plan(master_path: Path) -> Plan:
    """Read a plan from its master file without pausing.

    Raises ConfigurationError with every fault; OSError where a file cannot be read.
    """
    return run_to_completion(NumberTableReader(master_path).read_steps())
