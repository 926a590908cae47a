"""Inventories as configuration tools keep them: a CSV table, or YAML groups with hosts and inherited vars.

Either way an inventory is read into records, one for each application, of plain fields and the rows they
stand in. What the fields mean is not known here.
"""

from __future__ import annotations

import csv
import io
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from mintvalve.config.faults import Fault, Unusable

SETTINGS = "settings"
GROUP_KEYS = {"vars", "hosts", "children"}


@dataclass(slots=True)
class Record:
    """One application's fields, as they stand in the inventory."""

    name: str
    row: int
    fields: dict[str, Any] = field(default_factory=dict)
    rows: dict[str, int] = field(default_factory=dict)

    def row_of(self, name: str) -> int:
        return self.rows.get(name.partition(".")[0], self.row)


def text_of(path: Path) -> str:
    """A file's text; Unusable where there is none."""
    try:
        return path.read_bytes().decode("utf-8-sig")
    except OSError as fault:
        raise Unusable([Fault(str(path), 0, "", fault.strerror or str(fault))]) from None
    except UnicodeDecodeError as fault:
        raise Unusable([Fault(str(path), 0, "", f"not UTF-8 at byte {fault.start}")]) from None


def read(path: Path, faults: list[Fault]) -> list[Record]:
    """The records of an inventory; what is wrong with its form is added to `faults`."""
    text = text_of(path)
    if path.suffix == ".csv":
        return read_csv(str(path), text, faults)
    if path.suffix in (".yaml", ".yml"):
        return read_yaml(str(path), text, faults)
    raise Unusable([Fault(str(path), 0, "", "an inventory ends in .csv, .yaml or .yml")])


def scalar(text: str) -> Any:
    """A cell as JSON would read it, else as text."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def merge(base: Any, over: Any) -> Any:
    """Mappings are merged key by key, anything else is replaced."""
    if isinstance(base, dict) and isinstance(over, dict):
        return {**base, **{key: merge(base.get(key), value) for key, value in over.items()}}
    return over


def read_csv(file: str, text: str, faults: list[Fault]) -> list[Record]:
    """A table with a header; `settings.PATH` columns set single settings, semicolons part a list."""
    reader = csv.reader(io.StringIO(text), strict=True)
    records: list[Record] = []
    header: list[str] = []
    try:
        for cells in reader:
            row = reader.line_num
            if not any(cell.strip() for cell in cells):
                continue
            if not header:
                header = [cell.strip() for cell in cells]
                for name in sorted({name for name in header if header.count(name) > 1}):
                    faults.append(Fault(file, row, name or "(no name)", "the column stands twice"))
                if "application" not in header:
                    raise Unusable([*faults, Fault(file, row, "application", "the column is missing")])
                continue
            if len(cells) != len(header):
                text = f"{len(cells)} cells where the header has {len(header)}"
                faults.append(Fault(file, row, "", text))
                continue
            record = Record(dict(zip(header, cells, strict=True))["application"].strip(), row)
            for name, cell in zip(header, (cell.strip() for cell in cells), strict=True):
                path = name.split(".")
                if name == "application" or not cell:
                    continue
                if path[0] == SETTINGS and len(path) > 1:
                    value: Any = scalar(cell)
                    for part in reversed(path[1:]):
                        value = {part: value}
                    record.fields[SETTINGS] = merge(record.fields.get(SETTINGS, {}), value)
                elif name == "origins":
                    record.fields[name] = [part.strip() for part in cell.split(";") if part.strip()]
                else:
                    record.fields[name] = cell
            records.append(record)
    except csv.Error as fault:
        faults.append(Fault(file, reader.line_num, "", f"not CSV: {fault}"))
    if not header:
        faults.append(Fault(file, 0, "", "the table is empty"))
    return records


class Groups:
    """YAML groups: vars go from a group to its children and hosts; a host's own win."""

    def __init__(self, file: str, faults: list[Fault]) -> None:
        self.file, self.faults = file, faults
        self.records: dict[str, Record] = {}
        self.own: dict[str, Record] = {}  # what stands at the hosts themselves

    def fault(self, row: int, field: str, text: str) -> None:
        self.faults.append(Fault(self.file, row, field, text))

    def pairs(self, node: yaml.Node, what: str) -> dict[str, tuple[yaml.Node, int]]:
        """A mapping's keys with their values and rows; none where it is empty or no mapping."""
        if isinstance(node, yaml.ScalarNode) and node.tag == "tag:yaml.org,2002:null":
            return {}
        if not isinstance(node, yaml.MappingNode):
            self.fault(node.start_mark.line + 1, what, "must be a mapping")
            return {}
        found: dict[str, tuple[yaml.Node, int]] = {}
        for key, value in node.value:
            name, row = str(key.value), key.start_mark.line + 1
            if name in found:
                self.fault(row, name, f"stands twice, first in row {found[name][1]}")
            found[name] = value, row
        return found

    def value(self, node: yaml.Node) -> Any:
        """A node as safe_load gives it; keys that stand twice are faults at any depth."""
        if isinstance(node, yaml.MappingNode):
            return {name: self.value(each) for name, (each, _) in self.pairs(node, "").items()}
        if isinstance(node, yaml.SequenceNode):
            return [self.value(each) for each in node.value]
        return yaml.safe_load(yaml.serialize(node, Dumper=yaml.SafeDumper))

    def record(self, node: yaml.Node, name: str, row: int) -> Record:
        pairs = self.pairs(node, name)
        return Record(
            name,
            row,
            {key: self.value(each) for key, (each, _) in pairs.items()},
            {key: at for key, (_, at) in pairs.items()},
        )

    def group(self, name: str, node: yaml.Node, row: int, above: Record) -> None:
        parts = self.pairs(node, name)
        for key, (_, at) in parts.items():
            if key not in GROUP_KEYS:
                self.fault(at, key, f"a group has {', '.join(sorted(GROUP_KEYS))} and nothing else")
        here = above
        if "vars" in parts:
            here = self.joined(above, self.record(parts["vars"][0], name, parts["vars"][1]))
        inner = {each: self.pairs(parts[each][0], each) for each in ("children", "hosts") if each in parts}
        for key, (child, at) in inner.get("children", {}).items():
            self.group(key, child, at, here)
        for key, (host, at) in inner.get("hosts", {}).items():
            own = self.record(host, key, at)
            known = self.records.get(key, Record(key, at))
            self.own[key] = self.joined(self.own.get(key, Record(key, at)), own)
            self.records[key] = self.joined(self.joined(known, here), self.own[key])

    @staticmethod
    def joined(base: Record, over: Record) -> Record:
        return Record(over.name, over.row, merge(base.fields, over.fields), {**base.rows, **over.rows})


def read_yaml(file: str, text: str, faults: list[Fault]) -> list[Record]:
    """Groups with vars, hosts and children; each host is an application."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as fault:
        mark = getattr(fault, "problem_mark", None)
        row = mark.line + 1 if mark is not None else 0
        text = str(getattr(fault, "problem", None) or fault)
        raise Unusable([Fault(file, row, "", f"not YAML: {text}")]) from None
    groups = Groups(file, faults)
    if node is None:
        faults.append(Fault(file, 0, "", "the inventory is empty"))
        return []
    try:
        for name, (group, row) in groups.pairs(node, "inventory").items():
            groups.group(name, group, row, Record(name, row))
    except RecursionError:
        raise Unusable([*faults, Fault(file, 0, "", "an alias stands for something that holds it")]) from None
    return list(groups.records.values())
