"""The settings of the WebSocket front, as websocket.toml holds them."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, fields
from typing import Any


@dataclass(frozen=True, slots=True)
class WebSocketOptions:
    """The settings of websocket.toml; the fields are its keys.

    `connections` limits open connections, `message_bytes` the characters of a received message and
    `outbound_bytes` the bytes buffered for one client, here and again in the kernel; `ping_ms` is the time
    between pings.
    """

    listen: str
    origins: tuple[str, ...]
    path: str = "/calls"
    connections: int = 128
    message_bytes: int = 32_768
    outbound_bytes: int = 262_144
    ping_ms: int = 20_000

    @classmethod
    def find_faults(cls, table: dict[str, Any]) -> list[tuple[str, str]]:
        """Checks a parsed file; returns the key and text of every fault."""
        known_keys = {each.name for each in fields(cls)}
        faults = [(name, "no such key") for name in sorted(set(table) - known_keys)]
        faults += [(name, "is missing") for name in ("listen", "origins") if name not in table]
        for name in ("connections", "message_bytes", "outbound_bytes", "ping_ms"):
            if type(table.get(name, 1)) is not int or table.get(name, 1) < 1:
                faults.append((name, "must be a whole number from 1 on"))
        if not isinstance(table.get("listen", ""), str):
            faults.append(("listen", "must be a text"))
        origins = table.get("origins", [])
        if not isinstance(origins, list) or not all(isinstance(each, str) for each in origins):
            faults.append(("origins", "must be a list of texts"))
        if not str(table.get("path", "/")).startswith("/"):
            faults.append(("path", "must begin with /"))
        return faults

    @classmethod
    def parse(cls, text: str) -> WebSocketOptions:
        """Parses a file; raises ValueError with every fault if it is invalid."""
        table = tomllib.loads(text)
        if faults := cls.find_faults(table):
            raise ValueError("; ".join(f"{name} {fault}" for name, fault in faults))
        return cls(**{**table, "origins": tuple(table["origins"])})
