"""What an application's fields must be, and the application that they make."""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

from mintvalve.config.faults import Fault
from mintvalve.config.inventory import SETTINGS, Record, merge
from mintvalve.interface import Settings
from mintvalve.settings import flatten_settings, build_settings

LABEL = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
DERIVED = ("Specifics.HomeNo", "Me", "Balancers", "Zone", "Zones")  # settings that follow from the inventory


class Wrong(Exception):
    """A value that can't be used."""


def label(value: Any) -> str:
    if not isinstance(value, str) or not LABEL.fullmatch(value):
        raise Wrong("must be lower-case letters, digits and inner hyphens, 63 at the most")
    return value


def address(value: Any) -> str:
    """An IPv4 address and port."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise Wrong("must be an IPv4 address and port, as in 10.0.0.4:3868") from None
    if not colon or not re.fullmatch(r"[0-9]{1,5}", port) or not 0 < int(port) < 65536:
        raise Wrong("must end in a port from 1 to 65535")
    return f"{host}:{int(port)}"


def whole(low: int) -> Callable[[Any], int]:
    """A whole number from `low` on, which a table holds as text."""

    def check(value: Any) -> int:
        if isinstance(value, str) and re.fullmatch(r"-?[0-9]{1,9}", value):
            value = int(value)
        if type(value) is not int or value < low:
            raise Wrong(f"must be a whole number from {low} on")
        return value

    return check


def share(value: Any) -> float:
    """A positive number."""
    try:
        number = float(value) if not isinstance(value, bool) else math.nan
    except (TypeError, ValueError):
        number = math.nan
    if not 0 < number < math.inf:
        raise Wrong("must be a number above 0")
    return number


def origin(value: Any) -> str:
    parts = urlsplit(value) if isinstance(value, str) else urlsplit("")
    try:
        port = f":{parts.port}" if parts.port else ""
    except ValueError:
        raise Wrong(f"{value!r} has a port that is none") from None
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise Wrong(f"{value!r} is no origin, as in https://desk.example:8443")
    plain = f"{parts.scheme}://{parts.hostname}{port}"
    if value != plain:
        raise Wrong(f"{value!r} is not written as a browser sends it: {plain}")
    return plain


def origins(value: Any) -> tuple[str, ...]:
    values = value if isinstance(value, list) else [value]
    return tuple(origin(each) for each in values)


def region(value: Any) -> str:
    if not isinstance(value, str) or not re.fullmatch(r"[A-Za-z0-9_-]{1,63}", value):
        raise Wrong("must be letters, digits, hyphens and underscores")
    return value


def mapping(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise Wrong("must be a mapping")
    return value


CHECKS: dict[str, Callable[[Any], Any]] = {
    "listen": address,
    "nameserver": address,
    "region": region,
    "exchange": whole(0),
    "exchange_id": label,
    "exchange_address": address,
    "websocket": address,
    "origins": origins,
    "cores": share,
    "memory_mb": whole(1),
    "sockets": whole(64),
    SETTINGS: mapping,
}
REQUIRED = ("listen", "nameserver", "region", "exchange", "exchange_id", "exchange_address")
ALONE = ("listen", "exchange", "exchange_id", "exchange_address", "websocket")  # never shared


@dataclass(frozen=True, slots=True)
class Application:
    """One application and the call controller beside it."""

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


def settings_faults(settings: dict[str, Any]) -> list[tuple[str, str]]:
    """What is wrong with settings, by path."""
    try:
        read: Settings = build_settings(flatten_settings(settings))
    except (ValueError, OverflowError) as fault:
        return [("", str(fault))]
    found: list[tuple[str, str]] = []
    if not read.classes:
        found.append(("Services", "no class of call"))
    names = [kind.name for kind in read.classes]
    for index, kind in enumerate(read.classes):
        path = f"Services.{index}"
        checks = (
            ("Name", names.count(kind.name) == 1 and kind.name != str(index), "must be given, once only"),
            ("HardLimitMs", kind.deadline_ms > 0, "must be above 0"),
            ("GoalTimeMs", 0 < kind.aim_ms <= max(kind.deadline_ms, 0), "must be above 0, up to HardLimitMs"),
            ("Worth", kind.worth > 0, "must be above 0"),
            ("LateValue", 0 <= kind.late_worth <= 1, "must be a share, 0 to 1"),
        )
        found += [(f"{path}.{name}", text) for name, good, text in checks if not good]
        if kind.width < 1 or kind.holding_ms <= 0:
            found.append(("Specifics", f"{kind.name} needs a width from 1 on and a holding time above 0"))
    if read.max_attempts < 1:
        found.append(("Limits.SendCap", "must be from 1 on"))
    for path, value in (
        ("Specifics.ClearWaitMs", read.release_wait_ms),
        ("Safety.ColdMs", read.cold_ms),
        ("Safety.DrainGraceMs", read.drain_grace_ms),
        ("Safety.TipAfterMs", read.overload_ms),
    ):
        if value < 0:
            found.append((path, "must not be negative"))
    if not 0 < read.cold_capacity <= 1:
        found.append(("Safety.StartCapacity", "must be a share above 0"))
    return found


def derived(app: Application, everyone: list[Application]) -> dict[str, Any]:
    """The settings that follow from the inventory."""
    order = sorted(each.exchange for each in everyone)
    return {
        "Specifics": {"HomeNo": app.exchange},
        "Me": order.index(app.exchange),
        "Balancers": len(everyone),
        "Zone": app.region,
        "Zones": sorted({each.region for each in everyone}),
    }


def applications(
    file: str, records: list[Record], common: dict[str, Any], faults: list[Fault]
) -> list[Application]:
    """The applications of an inventory; every fault of every record is added to `faults`."""
    found: list[Application] = []
    first: dict[tuple[str, Any], tuple[str, int]] = {}
    names: dict[str, int] = {}
    for record in records:
        before = len(faults)

        def fault(name: str, text: str, at: Record = record) -> None:
            faults.append(Fault(file, at.row_of(name), name, text))

        try:
            label(record.name)
        except Wrong as wrong:
            fault("application", str(wrong))
        if record.name in names:
            fault("application", f"{record.name} stands twice, first in row {names[record.name]}")
        names.setdefault(record.name, record.row)
        values: dict[str, Any] = {}
        for name, value in record.fields.items():
            if name not in CHECKS:
                fault(name, "no such field")
                continue
            try:
                values[name] = CHECKS[name](value)
            except Wrong as wrong:
                fault(name, str(wrong))
        for name in REQUIRED:
            if name not in record.fields:
                fault(name, "is missing")
        if "websocket" in values and not values.get("origins") and "origins" not in record.fields:
            fault("origins", "must name the pages that may use the WebSocket front")
        if "origins" in values and "websocket" not in record.fields:
            fault("websocket", "is missing, though origins are given")
        for name in ALONE:
            if name in values:
                other = first.setdefault((name, values[name]), (record.name, record.row_of(name)))
                if other[0] != record.name:
                    fault(name, f"{values[name]} is {other[0]}'s, in row {other[1]}")
        if "listen" in values and values["listen"] == values.get("websocket"):
            fault("websocket", "is the same as listen")
        values[SETTINGS] = merge(common, values.get(SETTINGS, {}))
        for path in DERIVED:
            if path in flatten_settings(values[SETTINGS]):
                fault(SETTINGS, f"{path} follows from the inventory and must not be given")
        given = merge(values[SETTINGS], {"Balancers": 1})
        for path, text in settings_faults(given):
            fault(f"{SETTINGS}.{path}".rstrip("."), text, record)
        if len(faults) == before:
            found.append(Application(record.name, **values))
    if not records:
        faults.append(Fault(file, 0, "", "no application"))
    return found
