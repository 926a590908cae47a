"""`python -m mintvalve.config`: the commands `write INVENTORY --out FOLDER` and `check PATH ...`."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

import yaml

from mintvalve.config import files
from mintvalve.config.applications import Application, build_applications
from mintvalve.config.faults import Fault, ConfigurationError
from mintvalve.config.inventory import read_inventory, read_text

INVENTORY_SUFFIXES = (".csv", ".yaml", ".yml")


def read_shared_settings(path: Path | None) -> dict[str, Any]:
    """Return the settings that all applications share, from a YAML or JSON file; none without a path.

    JSON needs no parser of its own because YAML includes it. Raises ConfigurationError where the file can't
    be read or is no mapping.
    """
    if path is None:
        return {}
    try:
        value = yaml.safe_load(read_text(path))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        row = mark.line + 1 if mark else 0
        raise ConfigurationError([Fault(str(path), row, "", "neither YAML nor JSON")]) from None
    if not isinstance(value, dict):
        raise ConfigurationError([Fault(str(path), 0, "", "must be a mapping")])
    return value


def load_applications(inventory_path: Path, settings_path: Path | None) -> list[Application]:
    """Return the applications of an inventory; raises ConfigurationError with every fault it has."""
    faults: list[Fault] = []
    records = read_inventory(inventory_path, faults)
    applications = build_applications(
        str(inventory_path), records, read_shared_settings(settings_path), faults
    )
    if faults:
        raise ConfigurationError(faults)
    return applications


def write(inventory_path: Path, settings_path: Path | None, out_folder: Path) -> None:
    """Write the files of every application, or none at all where the inventory has a fault."""
    rendered = files.render_files(load_applications(inventory_path, settings_path))
    for name, text in rendered.items():
        print(
            f"{'wrote' if files.write_if_changed(out_folder / name, text) else 'as it was'}"
            f": {out_folder / name}"
        )
    for path in files.find_unlisted_files(out_folder, rendered):
        print(f"not in the inventory, left alone: {path}")


def check(paths: list[Path], settings_path: Path | None) -> None:
    """Check inventories, written files, and all written files below folders.

    Raises ConfigurationError with the faults of all of them.
    """
    faults: list[Fault] = []
    file_count = 0
    for path in paths:
        candidates = [path]
        if path.is_dir():
            candidates = sorted(
                candidate
                for name in (files.CONFIG_FILE, files.WEBSOCKET_FILE)
                for candidate in path.rglob(name)
            )
            if not candidates:
                faults.append(Fault(str(path), 0, "", "holds no file of this tool"))
        for candidate in candidates:
            file_count += 1
            try:
                if candidate.suffix in INVENTORY_SUFFIXES:
                    load_applications(candidate, settings_path)
                else:
                    faults += files.check_file(candidate)
            except ConfigurationError as error:
                faults += error.faults
    if faults:
        raise ConfigurationError(faults)
    print(f"no fault in {file_count} file{'' if file_count == 1 else 's'}")


def main(arguments: list[str] | None = None) -> int:
    """Run one command; the exit code is 0, 1 where a file has faults, or 2 where one can't be written."""
    parser = argparse.ArgumentParser(prog="mintvalve.config", description="Writes and checks configurations.")
    parser.add_argument("--settings", type=Path, help="JSON or YAML: settings that all applications share")
    subparsers = parser.add_subparsers(dest="command", required=True)
    write_parser = subparsers.add_parser("write", help="write each application's files from an inventory")
    write_parser.add_argument("inventory", type=Path)
    write_parser.add_argument("--out", type=Path, required=True, help="gets a folder for each application")
    check_parser = subparsers.add_parser(
        "check", help="report every fault of inventories, written files or folders"
    )
    check_parser.add_argument("paths", type=Path, nargs="+")
    for subparser in (write_parser, check_parser):
        subparser.add_argument("--settings", type=Path, default=argparse.SUPPRESS, help=argparse.SUPPRESS)
    options = parser.parse_args(arguments)
    try:
        if options.command == "write":
            write(options.inventory, options.settings, options.out)
        else:
            check(options.paths, options.settings)
    except ConfigurationError as error:
        for fault in sorted(set(error.faults)):
            print(fault, file=sys.stderr)
        print(f"{len(set(error.faults))} faults", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"{error.filename or options.command}: {error.strerror}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
