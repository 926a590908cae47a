"""`python -m mintvalve.config`: `write INVENTORY --out FOLDER` and `check PATH ...`."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

import yaml

from mintvalve.config import files
from mintvalve.config.applications import Application, applications
from mintvalve.config.faults import Fault, Unusable
from mintvalve.config.inventory import read, text_of

INVENTORIES = (".csv", ".yaml", ".yml")


def common_settings(path: Path | None) -> dict[str, Any]:
    """Settings that all applications share, from JSON or YAML (which holds JSON)."""
    if path is None:
        return {}
    try:
        value = yaml.safe_load(text_of(path))
    except (yaml.YAMLError, ValueError, RecursionError) as fault:
        mark = getattr(fault, "problem_mark", None)
        row = mark.line + 1 if mark else 0
        raise Unusable([Fault(str(path), row, "", "neither YAML nor JSON")]) from None
    if not isinstance(value, dict):
        raise Unusable([Fault(str(path), 0, "", "must be a mapping")])
    return value


def inventory(path: Path, settings: Path | None) -> list[Application]:
    """The applications of a sound inventory, else Unusable with every fault."""
    faults: list[Fault] = []
    records = read(path, faults)
    found = applications(str(path), records, common_settings(settings), faults)
    if faults:
        raise Unusable(faults)
    return found


def write(path: Path, settings: Path | None, out: Path) -> None:
    """Write every application's files, after all of them were made and found sound."""
    made = files.made(inventory(path, settings))
    for name, text in made.items():
        print(f"{'wrote' if files.put(out / name, text) else 'as it was'}: {out / name}")
    for stranger in files.strangers(out, made):
        print(f"not in the inventory, left alone: {stranger}")


def check(paths: list[Path], settings: Path | None) -> None:
    """Look at inventories, written files, or whole folders of these."""
    faults: list[Fault] = []
    count = 0
    for path in paths:
        found = [path]
        if path.is_dir():
            found = sorted(each for name in (files.CONFIG, files.WEBSOCKET) for each in path.rglob(name))
            if not found:
                faults.append(Fault(str(path), 0, "", "holds no file of this tool"))
        for each in found:
            count += 1
            try:
                if each.suffix in INVENTORIES:
                    inventory(each, settings)
                else:
                    faults += files.check_written(each)
            except Unusable as fault:
                faults += fault.faults
    if faults:
        raise Unusable(faults)
    print(f"no fault in {count} file{'' if count == 1 else 's'}")


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="mintvalve.config", description="Writes and checks configurations.")
    parser.add_argument("--settings", type=Path, help="JSON or YAML: settings that all applications share")
    commands = parser.add_subparsers(dest="command", required=True)
    writer = commands.add_parser("write", help="write each application's files from an inventory")
    writer.add_argument("inventory", type=Path)
    writer.add_argument("--out", type=Path, required=True, help="gets a folder for each application")
    checker = commands.add_parser("check", help="report every fault of inventories, written files or folders")
    checker.add_argument("paths", type=Path, nargs="+")
    for command in (writer, checker):
        command.add_argument("--settings", type=Path, default=argparse.SUPPRESS, help=argparse.SUPPRESS)
    chosen = parser.parse_args(arguments)
    try:
        if chosen.command == "write":
            write(chosen.inventory, chosen.settings, chosen.out)
        else:
            check(chosen.paths, chosen.settings)
    except Unusable as fault:
        for each in sorted(set(fault.faults)):
            print(each, file=sys.stderr)
        print(f"{len(set(fault.faults))} faults", file=sys.stderr)
        return 1
    except OSError as fault:
        print(f"{fault.filename or chosen.command}: {fault.strerror}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
