"""Renders, writes and checks the configuration files of each application."""

from __future__ import annotations

import json
import os
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from mintvalve.config.applications import (
    Application,
    InvalidValue,
    parse_address,
    derive_settings,
    find_settings_faults,
)
from mintvalve.config.faults import Fault, ConfigurationError
from mintvalve.config.inventory import deep_merge, read_text
from mintvalve.net.name_server_client import parse_known_events
from mintvalve.net.websocket_options import WebSocketOptions

CONFIG_FILE = "config.json"
WEBSOCKET_FILE = "websocket.toml"


def host_port(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def build_config(application: Application, applications: list[Application]) -> dict[str, Any]:
    """Return the content of an application's config.json.

    The list of known exchanges names those of all applications. There is no seed: the program draws one at
    each start.
    """
    members = [
        {
            "id": member.exchange_id,
            "host_port": member.exchange_address,
            "locality": member.region,
            "flavor": "std",
            "cell": member.exchange,
            "phase": "SERVING",
            "size": 1,
            "up_since_ms": 0,
        }
        for member in sorted(applications, key=lambda member: member.exchange)
    ]
    fleet = {"revision": 1, "complete": True, "members": members}
    return {
        "name": application.name,
        "listen": application.listen,
        "nameserver": application.nameserver,
        "limits": {
            "cores": application.cores,
            "memory_mb": application.memory_mb,
            "sockets": application.sockets,
        },
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]},
        "settings": deep_merge(application.settings, derive_settings(application, applications)),
    }


def render_files(applications: list[Application]) -> dict[str, str]:
    """Return the text of every application's files by their path below the output folder.

    The same applications always give the same bytes.
    """
    files: dict[str, str] = {}
    for application in sorted(applications, key=lambda each: each.name):
        text = json.dumps(
            build_config(application, applications), indent=2, sort_keys=True, ensure_ascii=False
        )
        files[f"{application.name}/{CONFIG_FILE}"] = text + "\n"
        if application.websocket is not None:
            origins = ", ".join(json.dumps(origin) for origin in application.origins)
            files[f"{application.name}/{WEBSOCKET_FILE}"] = (
                f"listen = {json.dumps(application.websocket)}\norigins = [{origins}]\n"
            )
    return files


def write_if_changed(path: Path, text: str) -> bool:
    """Write a file atomically unless it has this text already; return whether it was written.

    An error leaves the old file unchanged and is raised.
    """
    if path.exists() and path.read_bytes() == text.encode():
        return False
    path.parent.mkdir(parents=True, exist_ok=True)
    descriptor, temporary_path = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(descriptor, "wb") as temporary_file:
            temporary_file.write(text.encode())
            temporary_file.flush()
            os.fsync(temporary_file.fileno())
        os.chmod(temporary_path, 0o644)
        os.replace(temporary_path, path)
    except BaseException:
        os.unlink(temporary_path)
        raise
    return True


def find_unlisted_files(folder: Path, rendered: dict[str, str]) -> list[Path]:
    """Return the files of this tool in `folder` that are not among the rendered ones.

    They belong to applications that are no longer in the inventory.
    """
    found = [path for name in (CONFIG_FILE, WEBSOCKET_FILE) for path in folder.glob(f"*/{name}")]
    return sorted(path for path in found if path.relative_to(folder).as_posix() not in rendered)


def check_config(file: str, text: str) -> list[Fault]:
    """Return every fault of the text of a config.json."""
    try:
        config = json.loads(text)
    except json.JSONDecodeError as decode_error:
        return [Fault(file, decode_error.lineno, "", f"not JSON: {decode_error.msg}")]
    except RecursionError:
        return [Fault(file, 0, "", "not JSON: too deep")]
    if not isinstance(config, dict):
        return [Fault(file, 0, "", "must be an object")]
    lines = text.splitlines()

    def row_of(field: str) -> int:
        """Return the row that has the last part of a field as its key, 0 unless there is exactly one."""
        key = f'"{field.split(".")[-1]}":'
        rows = [number for number, line in enumerate(lines, 1) if key in line]
        return rows[0] if len(rows) == 1 else 0

    faults: list[Fault] = []

    def add_fault(field: str, problem: str) -> None:
        faults.append(Fault(file, row_of(field), field, problem))

    for name in ("listen", "nameserver"):
        try:
            parse_address(config.get(name))
        except InvalidValue as error:
            add_fault(name, str(error))
    limits = config.get("limits", {})
    for name in ("cores", "memory_mb", "sockets"):
        value = limits.get(name, 1) if isinstance(limits, dict) else None
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            add_fault(f"limits.{name}", "must be a number above 0")
    known = config.get("known")
    try:
        if not isinstance(known, dict):
            raise ValueError("must be an object")
        int(known["seq"])
        members = [entry for _, _, entries in parse_known_events(known) for entry in entries]
        if not members:
            raise ValueError("names no exchange")
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        add_fault("known", f"can't be read: {type(error).__name__}: {error}")
    settings = config.get("settings")
    if not isinstance(settings, dict):
        add_fault("settings", "must be an object")
    else:
        for setting_path, problem in find_settings_faults(settings):
            add_fault(f"settings.{setting_path}".rstrip("."), problem)
    if "seed" in config:
        try:
            int(str(config["seed"]), 16)
        except ValueError:
            add_fault("seed", "must be hex digits")
    return faults


def check_websocket(file: str, text: str) -> list[Fault]:
    """Return every fault of the text of a websocket.toml."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as problem:
        return [Fault(file, 0, "", f"not TOML: {problem}")]
    lines = text.splitlines()

    def row_of(key: str) -> int:
        """Return the first row that sets a key, 0 if there is none."""
        return next(
            (number for number, line in enumerate(lines, 1) if line.partition("=")[0].strip() == key), 0
        )

    faults = [Fault(file, row_of(key), key, problem) for key, problem in WebSocketOptions.find_faults(table)]
    if isinstance(table.get("listen"), str):
        try:
            parse_address(table["listen"])
        except InvalidValue as error:
            faults.append(Fault(file, row_of("listen"), "listen", str(error)))
    return faults


def check_file(path: Path) -> list[Fault]:
    """Return every fault of a config.json or websocket.toml.

    Raises ConfigurationError where the file can't be read or its name ends otherwise.
    """
    checker = {".json": check_config, ".toml": check_websocket}.get(path.suffix)
    if checker is None:
        raise ConfigurationError([Fault(str(path), 0, "", "neither an inventory nor a file of this tool")])
    return checker(str(path), read_text(path))
