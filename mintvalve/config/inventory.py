"""Reads inventories of applications: CSV tables, or YAML groups with hosts and inherited vars.

Both give one record for each application, with its fields and their rows in the file. The values of the
fields are checked in `mintvalve.config.applications`.
"""

from __future__ import annotations

import csv
import io
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from mintvalve.config.faults import Fault, ConfigurationError

SETTINGS_FIELD = "settings"
GROUP_KEYS = {"vars", "hosts", "children"}


@dataclass(slots=True)
class InventoryRecord:
    """The unchecked fields of one application, with the rows that they were read from.

    `field_rows` has the rows of single fields where they differ from `row`, the record's own.
    """

    name: str
    row: int
    fields: dict[str, Any] = field(default_factory=dict)
    field_rows: dict[str, int] = field(default_factory=dict)

    def row_of(self, field_name: str) -> int:
        """Return the row of a field, or of the field that holds a dotted path."""
        return self.field_rows.get(field_name.partition(".")[0], self.row)


def read_text(path: Path) -> str:
    """Return a file's text without a byte order mark.

    Raises ConfigurationError where the file can't be read or is not UTF-8.
    """
    try:
        return path.read_bytes().decode("utf-8-sig")
    except OSError as error:
        raise ConfigurationError([Fault(str(path), 0, "", error.strerror or str(error))]) from None
    except UnicodeDecodeError as error:
        raise ConfigurationError([Fault(str(path), 0, "", f"not UTF-8 at byte {error.start}")]) from None


def read_inventory(path: Path, faults: list[Fault]) -> list[InventoryRecord]:
    """Return the records of an inventory, in the format that its file name ends with.

    Faults of its form are added to `faults`; raises ConfigurationError where no records can be read.
    """
    text = read_text(path)
    if path.suffix == ".csv":
        return read_csv(str(path), text, faults)
    if path.suffix in (".yaml", ".yml"):
        return read_yaml(str(path), text, faults)
    raise ConfigurationError([Fault(str(path), 0, "", "an inventory ends in .csv, .yaml or .yml")])


def parse_cell(text: str) -> Any:
    """Return a cell's value as JSON, or its text where it is not JSON."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def deep_merge(base: Any, override: Any) -> Any:
    """Return `base` overridden by `override`: mappings are merged key by key, anything else is replaced."""
    if isinstance(base, dict) and isinstance(override, dict):
        return {**base, **{key: deep_merge(base.get(key), value) for key, value in override.items()}}
    return override


def read_csv(file: str, text: str, faults: list[Fault]) -> list[InventoryRecord]:
    """Return the records of a CSV table, one for each row below its header.

    A column `settings.PATH` gives a single setting, as JSON or text, and semicolons separate origins. Empty
    cells are left out. Raises ConfigurationError where the header has no column `application`.
    """
    reader = csv.reader(io.StringIO(text), strict=True)
    records: list[InventoryRecord] = []
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
                    raise ConfigurationError(
                        [*faults, Fault(file, row, "application", "the column is missing")]
                    )
                continue
            if len(cells) != len(header):
                text = f"{len(cells)} cells where the header has {len(header)}"
                faults.append(Fault(file, row, "", text))
                continue
            record = InventoryRecord(dict(zip(header, cells, strict=True))["application"].strip(), row)
            for name, cell in zip(header, (cell.strip() for cell in cells), strict=True):
                path_parts = name.split(".")
                if name == "application" or not cell:
                    continue
                if path_parts[0] == SETTINGS_FIELD and len(path_parts) > 1:
                    value: Any = parse_cell(cell)
                    for part in reversed(path_parts[1:]):
                        value = {part: value}
                    record.fields[SETTINGS_FIELD] = deep_merge(record.fields.get(SETTINGS_FIELD, {}), value)
                elif name == "origins":
                    record.fields[name] = [part.strip() for part in cell.split(";") if part.strip()]
                else:
                    record.fields[name] = cell
            records.append(record)
    except csv.Error as error:
        faults.append(Fault(file, reader.line_num, "", f"not CSV: {error}"))
    if not header:
        faults.append(Fault(file, 0, "", "the table is empty"))
    return records


class YamlGroupReader:
    """Reads nested YAML groups into a record for each host.

    A group's vars apply to its children and hosts. What a host has itself takes precedence over any group's
    vars, also where it is in several groups.
    """

    def __init__(self, file: str, faults: list[Fault]) -> None:
        self.file, self.faults = file, faults
        self.records: dict[str, InventoryRecord] = {}
        self.host_records: dict[str, InventoryRecord] = {}  # the hosts' own fields, without the groups' vars

    def add_fault(self, row: int, field: str, text: str) -> None:
        self.faults.append(Fault(self.file, row, field, text))

    def mapping_items(self, node: yaml.Node, field: str) -> dict[str, tuple[yaml.Node, int]]:
        """Return a mapping's keys with their values and rows.

        An empty node has no keys. A node that is no mapping is a fault of `field` and has none either. A
        duplicate key is a fault, and its last value counts.
        """
        if isinstance(node, yaml.ScalarNode) and node.tag == "tag:yaml.org,2002:null":
            return {}
        if not isinstance(node, yaml.MappingNode):
            self.add_fault(node.start_mark.line + 1, field, "must be a mapping")
            return {}
        items: dict[str, tuple[yaml.Node, int]] = {}
        for key, value in node.value:
            name, row = str(key.value), key.start_mark.line + 1
            if name in items:
                self.add_fault(row, name, f"stands twice, first in row {items[name][1]}")
            items[name] = value, row
        return items

    def load_value(self, node: yaml.Node) -> Any:
        """Return a node's value as yaml.safe_load does; duplicate keys are faults at any depth."""
        if isinstance(node, yaml.MappingNode):
            return {name: self.load_value(child) for name, (child, _) in self.mapping_items(node, "").items()}
        if isinstance(node, yaml.SequenceNode):
            return [self.load_value(child) for child in node.value]
        return yaml.safe_load(yaml.serialize(node, Dumper=yaml.SafeDumper))

    def load_record(self, node: yaml.Node, name: str, row: int) -> InventoryRecord:
        """Return the fields of a host or of a group's vars as a record."""
        items = self.mapping_items(node, name)
        return InventoryRecord(
            name,
            row,
            {key: self.load_value(child) for key, (child, _) in items.items()},
            {key: field_row for key, (_, field_row) in items.items()},
        )

    def read_group(self, name: str, node: yaml.Node, row: int, inherited: InventoryRecord) -> None:
        """Add the hosts of a group and of its children to the records, with the vars that they inherit."""
        items = self.mapping_items(node, name)
        for key, (_, key_row) in items.items():
            if key not in GROUP_KEYS:
                self.add_fault(key_row, key, f"a group has {', '.join(sorted(GROUP_KEYS))} and nothing else")
        group_vars = inherited
        if "vars" in items:
            group_vars = self.merge_records(
                inherited, self.load_record(items["vars"][0], name, items["vars"][1])
            )
        member_items = {
            group_key: self.mapping_items(items[group_key][0], group_key)
            for group_key in ("children", "hosts")
            if group_key in items
        }
        for key, (child, key_row) in member_items.get("children", {}).items():
            self.read_group(key, child, key_row, group_vars)
        for key, (host, key_row) in member_items.get("hosts", {}).items():
            host_record = self.load_record(host, key, key_row)
            known_record = self.records.get(key, InventoryRecord(key, key_row))
            self.host_records[key] = self.merge_records(
                self.host_records.get(key, InventoryRecord(key, key_row)), host_record
            )
            self.records[key] = self.merge_records(
                self.merge_records(known_record, group_vars), self.host_records[key]
            )

    @staticmethod
    def merge_records(base: InventoryRecord, override: InventoryRecord) -> InventoryRecord:
        """Return the fields of both records under the name of `override`, whose values take precedence."""
        return InventoryRecord(
            override.name,
            override.row,
            deep_merge(base.fields, override.fields),
            {**base.field_rows, **override.field_rows},
        )


def read_yaml(file: str, text: str, faults: list[Fault]) -> list[InventoryRecord]:
    """Return the records of YAML groups with vars, hosts and children; each host is an application.

    Raises ConfigurationError where the text is not YAML or an alias refers to a node that contains it.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        row = mark.line + 1 if mark is not None else 0
        text = str(getattr(error, "problem", None) or error)
        raise ConfigurationError([Fault(file, row, "", f"not YAML: {text}")]) from None
    reader = YamlGroupReader(file, faults)
    if node is None:
        faults.append(Fault(file, 0, "", "the inventory is empty"))
        return []
    try:
        for name, (group, row) in reader.mapping_items(node, "inventory").items():
            reader.read_group(name, group, row, InventoryRecord(name, row))
    except RecursionError:
        raise ConfigurationError(
            [*faults, Fault(file, 0, "", "an alias stands for something that holds it")]
        ) from None
    return list(reader.records.values())
