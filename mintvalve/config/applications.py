"""Checks the fields of inventory records and builds the applications that they describe."""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

from mintvalve.config.faults import Fault
from mintvalve.config.inventory import SETTINGS_FIELD, InventoryRecord, deep_merge
from mintvalve.interface import Settings
from mintvalve.settings import flatten_settings, build_settings

DNS_LABEL_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
# Paths of the settings that follow from the inventory and must not be given in it.
DERIVED_SETTINGS = ("Specifics.HomeNo", "Me", "Balancers", "Zone", "Zones")


class InvalidValue(Exception):
    """Raised with the fault's text where a field has a value that can't be used."""


def parse_label(value: Any) -> str:
    """Return a value that is a lower-case DNS label (RFC 1123); raises InvalidValue for any other."""
    if not isinstance(value, str) or not DNS_LABEL_PATTERN.fullmatch(value):
        raise InvalidValue("must be lower-case letters, digits and inner hyphens, 63 at the most")
    return value


def parse_address(value: Any) -> str:
    """Return an IPv4 address and port as `host:port`; raises InvalidValue for anything else."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise InvalidValue("must be an IPv4 address and port, as in 10.0.0.4:3868") from None
    if not colon or not re.fullmatch(r"[0-9]{1,5}", port) or not 0 < int(port) < 65536:
        raise InvalidValue("must end in a port from 1 to 65535")
    return f"{host}:{int(port)}"


def whole_number_parser(minimum: int) -> Callable[[Any], int]:
    """Return a parser of whole numbers from `minimum` on, given as such or, in tables, as text.

    The parser raises InvalidValue for anything else.
    """

    def parse(value: Any) -> int:
        if isinstance(value, str) and re.fullmatch(r"-?[0-9]{1,9}", value):
            value = int(value)
        if type(value) is not int or value < minimum:
            raise InvalidValue(f"must be a whole number from {minimum} on")
        return value

    return parse


def parse_positive_number(value: Any) -> float:
    """Return a finite number above 0, given as such or as text; raises InvalidValue for anything else."""
    try:
        number = float(value) if not isinstance(value, bool) else math.nan
    except (TypeError, ValueError):
        number = math.nan
    if not 0 < number < math.inf:
        raise InvalidValue("must be a number above 0")
    return number


def parse_origin(value: Any) -> str:
    """Return a web page's origin, `scheme://host[:port]`; raises InvalidValue for anything else.

    It must be written as browsers send it, because the WebSocket front compares the texts.
    """
    parts = urlsplit(value) if isinstance(value, str) else urlsplit("")
    try:
        port = f":{parts.port}" if parts.port else ""
    except ValueError:
        raise InvalidValue(f"{value!r} has a port that is none") from None
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise InvalidValue(f"{value!r} is no origin, as in https://desk.example:8443")
    canonical = f"{parts.scheme}://{parts.hostname}{port}"
    if value != canonical:
        raise InvalidValue(f"{value!r} is not written as a browser sends it: {canonical}")
    return canonical


def parse_origins(value: Any) -> tuple[str, ...]:
    """Return the origins of a list or of a single value; raises InvalidValue where one is none."""
    values = value if isinstance(value, list) else [value]
    return tuple(parse_origin(text) for text in values)


def parse_region(value: Any) -> str:
    """Return the name of a region; raises InvalidValue for anything else."""
    if not isinstance(value, str) or not re.fullmatch(r"[A-Za-z0-9_-]{1,63}", value):
        raise InvalidValue("must be letters, digits, hyphens and underscores")
    return value


def parse_mapping(value: Any) -> dict[str, Any]:
    """Return a mapping; raises InvalidValue for anything else."""
    if not isinstance(value, dict):
        raise InvalidValue("must be a mapping")
    return value


FIELD_PARSERS: dict[str, Callable[[Any], Any]] = {
    "listen": parse_address,
    "nameserver": parse_address,
    "region": parse_region,
    "exchange": whole_number_parser(0),
    "exchange_id": parse_label,
    "exchange_address": parse_address,
    "websocket": parse_address,
    "origins": parse_origins,
    "cores": parse_positive_number,
    "memory_mb": whole_number_parser(1),
    "sockets": whole_number_parser(64),
    SETTINGS_FIELD: parse_mapping,
}
REQUIRED_FIELDS = ("listen", "nameserver", "region", "exchange", "exchange_id", "exchange_address")
# No two applications may have the same value in one of these.
UNIQUE_FIELDS = ("listen", "exchange", "exchange_id", "exchange_address", "websocket")


@dataclass(frozen=True, slots=True)
class Application:
    """One application and the call controller that runs beside it.

    Addresses are `host:port`. `exchange` is the cell of the application's own exchange, `cores`, `memory_mb`
    and `sockets` (file descriptors) are the call controller's limits.
    """

    name: str
    listen: str
    nameserver: str
    region: str
    exchange: int
    exchange_id: str
    exchange_address: str
    websocket: str | None = None
    origins: tuple[str, ...] = ()
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024
    settings: dict[str, Any] = field(default_factory=dict)


def find_settings_faults(settings: dict[str, Any]) -> list[tuple[str, str]]:
    """Return the faults of nested settings as pairs of path and text; path "" stands for all of them."""
    try:
        parsed: Settings = build_settings(flatten_settings(settings))
    except (ValueError, OverflowError) as error:
        return [("", str(error))]
    faults: list[tuple[str, str]] = []
    if not parsed.classes:
        faults.append(("Services", "no class of call"))
    class_names = [call_class.name for call_class in parsed.classes]
    for index, call_class in enumerate(parsed.classes):
        setting_path = f"Services.{index}"
        checks = (
            (
                "Name",
                class_names.count(call_class.name) == 1 and call_class.name != str(index),
                "must be given, once only",
            ),
            ("HardLimitMs", call_class.deadline_ms > 0, "must be above 0"),
            (
                "GoalTimeMs",
                0 < call_class.aim_ms <= max(call_class.deadline_ms, 0),
                "must be above 0, up to HardLimitMs",
            ),
            ("Worth", call_class.worth > 0, "must be above 0"),
            ("LateValue", 0 <= call_class.late_worth <= 1, "must be a share, 0 to 1"),
        )
        faults += [(f"{setting_path}.{name}", text) for name, is_valid, text in checks if not is_valid]
        if call_class.width < 1 or call_class.holding_ms <= 0:
            faults.append(
                ("Specifics", f"{call_class.name} needs a width from 1 on and a holding time above 0")
            )
    if parsed.max_attempts < 1:
        faults.append(("Limits.SendCap", "must be from 1 on"))
    for setting_path, value in (
        ("Specifics.ClearWaitMs", parsed.release_wait_ms),
        ("Safety.ColdMs", parsed.cold_ms),
        ("Safety.DrainGraceMs", parsed.drain_grace_ms),
        ("Safety.TipAfterMs", parsed.overload_ms),
    ):
        if value < 0:
            faults.append((setting_path, "must not be negative"))
    if not 0 < parsed.cold_capacity <= 1:
        faults.append(("Safety.StartCapacity", "must be a share above 0"))
    return faults


def derive_settings(application: Application, applications: list[Application]) -> dict[str, Any]:
    """Return the settings of an application that follow from all applications of the inventory."""
    exchange_cells = sorted(each.exchange for each in applications)
    return {
        "Specifics": {"HomeNo": application.exchange},
        "Me": exchange_cells.index(application.exchange),
        "Balancers": len(applications),
        "Zone": application.region,
        "Zones": sorted({each.region for each in applications}),
    }


def build_applications(
    file: str, records: list[InventoryRecord], shared_settings: dict[str, Any], faults: list[Fault]
) -> list[Application]:
    """Return the applications of an inventory's records that have no fault.

    Every fault of every record is added to `faults`. `shared_settings` apply where a record has none of its
    own at a path.
    """
    applications: list[Application] = []
    first_uses: dict[tuple[str, Any], tuple[str, int]] = {}
    first_rows: dict[str, int] = {}
    for record in records:
        faults_before = len(faults)

        def add_fault(name: str, text: str, at_record: InventoryRecord = record) -> None:
            faults.append(Fault(file, at_record.row_of(name), name, text))

        try:
            parse_label(record.name)
        except InvalidValue as error:
            add_fault("application", str(error))
        if record.name in first_rows:
            add_fault("application", f"{record.name} stands twice, first in row {first_rows[record.name]}")
        first_rows.setdefault(record.name, record.row)
        values: dict[str, Any] = {}
        for name, value in record.fields.items():
            if name not in FIELD_PARSERS:
                add_fault(name, "no such field")
                continue
            try:
                values[name] = FIELD_PARSERS[name](value)
            except InvalidValue as error:
                add_fault(name, str(error))
        for name in REQUIRED_FIELDS:
            if name not in record.fields:
                add_fault(name, "is missing")
        if "websocket" in values and not values.get("origins") and "origins" not in record.fields:
            add_fault("origins", "must name the pages that may use the WebSocket front")
        if "origins" in values and "websocket" not in record.fields:
            add_fault("websocket", "is missing, though origins are given")
        for name in UNIQUE_FIELDS:
            if name in values:
                first_use = first_uses.setdefault((name, values[name]), (record.name, record.row_of(name)))
                if first_use[0] != record.name:
                    add_fault(name, f"{values[name]} is {first_use[0]}'s, in row {first_use[1]}")
        if "listen" in values and values["listen"] == values.get("websocket"):
            add_fault("websocket", "is the same as listen")
        values[SETTINGS_FIELD] = deep_merge(shared_settings, values.get(SETTINGS_FIELD, {}))
        for path in DERIVED_SETTINGS:
            if path in flatten_settings(values[SETTINGS_FIELD]):
                add_fault(SETTINGS_FIELD, f"{path} follows from the inventory and must not be given")
        # Settings without Balancers have a fault, and its value is derived once all records are read.
        checked_settings = deep_merge(values[SETTINGS_FIELD], {"Balancers": 1})
        for path, text in find_settings_faults(checked_settings):
            add_fault(f"{SETTINGS_FIELD}.{path}".rstrip("."), text, record)
        if len(faults) == faults_before:
            applications.append(Application(record.name, **values))
    if not records:
        faults.append(Fault(file, 0, "", "no application"))
    return applications
