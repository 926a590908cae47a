"""`routes`: check number tables, explain a number, compare two tables, measure the index."""

from __future__ import annotations

import dataclasses
import json
import sys
import time
from collections.abc import Callable, Mapping
from datetime import datetime, UTC
from pathlib import Path
from typing import Any, TypeVar

import click

from mintvalve.analysis.plan import Analysed, Plan
from mintvalve.config.faults import Unusable
from mintvalve.config.number_tables import read

T = TypeVar("T")
MASTER = click.Path(path_type=Path, dir_okay=False)


def guarded(action: Callable[[], T]) -> T:
    """Exit code 1 with every fault, 2 where a file can't be had."""
    try:
        return action()
    except Unusable as fault:
        for each in sorted(set(fault.faults)):
            click.echo(each, err=True)
        click.echo(f"{len(set(fault.faults))} fault{'s' if len(set(fault.faults)) > 1 else ''}", err=True)
        sys.exit(1)
    except OSError as fault:
        click.echo(f"{fault.filename}: {fault.strerror}", err=True)
        sys.exit(2)


@click.group()
def routes() -> None:
    """Number tables: which exchange a dialled number means."""


@routes.command()
@click.argument("master", type=MASTER)
def check(master: Path) -> None:
    """Report every fault of a master file and the prefixes it names."""
    plan = guarded(lambda: read(master))
    click.echo(
        f"no fault: {plan.name}, generation {plan.generation}, {len(plan.index)} prefixes, "
        f"{len(plan.routes)} routes"
    )


def instant(text: str | None) -> float:
    """An ISO time as Unix seconds; without a zone it is UTC."""
    if text is None:
        return time.time()
    try:
        when = datetime.fromisoformat(text)
    except ValueError:
        raise click.BadParameter(f"{text!r} is no ISO time", param_hint="--at") from None
    return (when if when.tzinfo else when.replace(tzinfo=UTC)).timestamp()


def words(found: Analysed) -> dict[str, object]:
    """A decision as the JSON of `explain`."""
    return {
        "generation": found.generation,
        "outcome": found.verdict.value,
        "normalised": found.normalised,
        "matched": found.matched or None,
        "destination": found.destination if found.destination >= 0 else None,
        "route": found.route or None,
        "caps": list(found.caps),
        "because": list(found.because),
    }


@routes.command()
@click.argument("master", type=MASTER)
@click.option("--number", required=True, help="As it is dialled.")
@click.option("--at", metavar="ISO_TIME", help="Default: now.")
@click.option("--call", "call", default="0", metavar="HEX", help="The call's id: it decides among weights.")
@click.option("--group", default="", metavar="NAME", help="The caller group; default: the plan's.")
@click.option("--gone", multiple=True, type=int, metavar="EXCHANGE", help="Not in the list; may be repeated.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def explain(
    master: Path, number: str, at: str | None, call: str, group: str, gone: tuple[int, ...], as_json: bool
) -> None:
    """Say where a number leads, and why."""
    when = instant(at)
    try:
        identity = int(call, 16)
    except ValueError:
        raise click.BadParameter(f"{call!r} is no hex number", param_hint="--call") from None
    plan = guarded(lambda: read(master))
    if group and group not in plan.groups:
        raise click.BadParameter(f"the plan has no group {group}", param_hint="--group")
    found = words(plan.analyse(number, identity, when, lambda to: to not in gone, group))
    if as_json:
        click.echo(json.dumps(found))
        return
    for name, value in found.items():
        for each in value if isinstance(value, list) else [value]:
            if each is not None:
                click.echo(f"{name:11} {each}")


def contents(plan: Plan) -> dict[tuple[str, str], str]:
    """What a plan says, part by part."""
    found: dict[tuple[str, str], str] = {}
    for prefix, value in plan.index:
        part = plan.ranges[value]
        found["prefix", prefix] = (
            f"{part.route or 'barred'} {part.least}..{part.most} {' '.join(part.caps)}".strip()
        )
    tables: dict[str, Mapping[str, Any]] = {
        "route": plan.routes,
        "cap": plan.caps,
        "group": plan.groups,
        "timetable": plan.timetables,
    }
    for kind, table in tables.items():
        for name, value in table.items():
            fields = {each.name: getattr(value, each.name) for each in dataclasses.fields(value)}
            found[kind, name] = " ".join(f"{field}={one}" for field, one in fields.items() if field != "name")
    return found


@routes.command()
@click.argument("old", type=MASTER)
@click.argument("new", type=MASTER)
def diff(old: Path, new: Path) -> None:
    """Say what changes from one table to another: - gone, + new, ~ changed."""
    before, after = (contents(guarded(lambda path=path: read(path))) for path in (old, new))  # type: ignore[misc]
    for kind, name in sorted(before.keys() | after.keys()):
        was, now = before.get((kind, name)), after.get((kind, name))
        if was is None:
            click.echo(f"+ {kind} {name}: {now}")
        elif now is None:
            click.echo(f"- {kind} {name}: {was}")
        elif was != now:
            click.echo(f"~ {kind} {name}: {was} -> {now}")


@routes.command()
@click.option("--prefixes", default=1_000_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def bench(prefixes: int, seed: int) -> None:
    """Measure the index against plain dicts and a trie of rows, on made-up prefixes."""
    from mintvalve.cli.bench import measured

    click.echo(measured(prefixes, seed))
