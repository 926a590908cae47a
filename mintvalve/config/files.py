"""The files of each application: made, written and checked."""

from __future__ import annotations

import json
import os
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from mintvalve.config.applications import Application, Wrong, address, derived, settings_faults
from mintvalve.config.faults import Fault, Unusable
from mintvalve.config.inventory import merge, text_of
from mintvalve.net.name_server_client import parse_known_events
from mintvalve.net.websocket_front import WebSocketOptions

CONFIG, WEBSOCKET = "config.json", "websocket.toml"


def host_port(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def config_of(app: Application, everyone: list[Application]) -> dict[str, Any]:
    """config.json: the program draws its seed itself at each start."""
    members = [
        {
            "id": each.exchange_id,
            "host_port": each.exchange_address,
            "locality": each.region,
            "flavor": "std",
            "cell": each.exchange,
            "phase": "SERVING",
            "size": 1,
            "up_since_ms": 0,
        }
        for each in sorted(everyone, key=lambda each: each.exchange)
    ]
    fleet = {"revision": 1, "complete": True, "members": members}
    return {
        "name": app.name,
        "listen": app.listen,
        "nameserver": app.nameserver,
        "limits": {"cores": app.cores, "memory_mb": app.memory_mb, "sockets": app.sockets},
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]},
        "settings": merge(app.settings, derived(app, everyone)),
    }


def made(everyone: list[Application]) -> dict[str, str]:
    """All files by their path below the output folder; the same inventory always makes the same bytes."""
    files: dict[str, str] = {}
    for app in sorted(everyone, key=lambda each: each.name):
        text = json.dumps(config_of(app, everyone), indent=2, sort_keys=True, ensure_ascii=False)
        files[f"{app.name}/{CONFIG}"] = text + "\n"
        if app.websocket is not None:
            listed = ", ".join(json.dumps(each) for each in app.origins)
            files[f"{app.name}/{WEBSOCKET}"] = f"listen = {json.dumps(app.websocket)}\norigins = [{listed}]\n"
    return files


def put(path: Path, text: str) -> bool:
    """Replace a file at once, or leave it where it is as it should be."""
    if path.exists() and path.read_bytes() == text.encode():
        return False
    path.parent.mkdir(parents=True, exist_ok=True)
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "wb") as out:
            out.write(text.encode())
            out.flush()
            os.fsync(out.fileno())
        os.chmod(name, 0o644)
        os.replace(name, path)
    except BaseException:
        os.unlink(name)
        raise
    return True


def strangers(folder: Path, files: dict[str, str]) -> list[Path]:
    """Files of ours that this inventory does not make: of applications it no longer has."""
    found = [path for name in (CONFIG, WEBSOCKET) for path in folder.glob(f"*/{name}")]
    return sorted(path for path in found if path.relative_to(folder).as_posix() not in files)


def check_config(file: str, text: str) -> list[Fault]:
    """Every fault of a config.json."""
    try:
        config = json.loads(text)
    except json.JSONDecodeError as bad:
        return [Fault(file, bad.lineno, "", f"not JSON: {bad.msg}")]
    except RecursionError:
        return [Fault(file, 0, "", "not JSON: too deep")]
    if not isinstance(config, dict):
        return [Fault(file, 0, "", "must be an object")]
    lines = text.splitlines()

    def row(field: str) -> int:
        """The row where the field's last part stands as a key, if that is clear."""
        key = f'"{field.split(".")[-1]}":'
        rows = [number for number, line in enumerate(lines, 1) if key in line]
        return rows[0] if len(rows) == 1 else 0

    found: list[Fault] = []

    def fault(field: str, wrong: str) -> None:
        found.append(Fault(file, row(field), field, wrong))

    for name in ("listen", "nameserver"):
        try:
            address(config.get(name))
        except Wrong as wrong:
            fault(name, str(wrong))
    limits = config.get("limits", {})
    for name in ("cores", "memory_mb", "sockets"):
        value = limits.get(name, 1) if isinstance(limits, dict) else None
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            fault(f"limits.{name}", "must be a number above 0")
    known = config.get("known")
    try:
        if not isinstance(known, dict):
            raise ValueError("must be an object")
        int(known["seq"])
        members = [entry for _, _, entries in parse_known_events(known) for entry in entries]
        if not members:
            raise ValueError("names no exchange")
    except (KeyError, TypeError, ValueError, AttributeError) as wrong:
        fault("known", f"can't be read: {type(wrong).__name__}: {wrong}")
    settings = config.get("settings")
    if not isinstance(settings, dict):
        fault("settings", "must be an object")
    else:
        for path, wrong_text in settings_faults(settings):
            fault(f"settings.{path}".rstrip("."), wrong_text)
    if "seed" in config:
        try:
            int(str(config["seed"]), 16)
        except ValueError:
            fault("seed", "must be hex digits")
    return found


def check_websocket(file: str, text: str) -> list[Fault]:
    """Every fault of a websocket.toml."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as wrong:
        return [Fault(file, 0, "", f"not TOML: {wrong}")]
    lines = text.splitlines()

    def row(key: str) -> int:
        return next((n for n, line in enumerate(lines, 1) if line.partition("=")[0].strip() == key), 0)

    found = [Fault(file, row(key), key, wrong) for key, wrong in WebSocketOptions.find_faults(table)]
    if isinstance(table.get("listen"), str):
        try:
            address(table["listen"])
        except Wrong as wrong_address:
            found.append(Fault(file, row("listen"), "listen", str(wrong_address)))
    return found


def check_written(path: Path) -> list[Fault]:
    """Every fault of a written file."""
    check = {".json": check_config, ".toml": check_websocket}.get(path.suffix)
    if check is None:
        raise Unusable([Fault(str(path), 0, "", "neither an inventory nor a file of this tool")])
    return check(str(path), text_of(path))
