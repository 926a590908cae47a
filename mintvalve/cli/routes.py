"""Command `routes`: checks number tables, explains a number, compares two tables, measures the index."""

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

from mintvalve.analysis.plan import AnalysisResult, Plan
from mintvalve.config.faults import ConfigurationError
from mintvalve.config.number_tables import read_plan

T = TypeVar("T")
MASTER_PATH = click.Path(path_type=Path, dir_okay=False)


def exit_on_error(action: Callable[[], T]) -> T:
    """Return the action's result; on errors print them and exit: 1 for faulty tables, 2 for file errors."""
    try:
        return action()
    except ConfigurationError as error:
        for fault in sorted(set(error.faults)):
            click.echo(fault, err=True)
        click.echo(f"{len(set(error.faults))} fault{'s' if len(set(error.faults)) > 1 else ''}", err=True)
        sys.exit(1)
    except OSError as error:
        click.echo(f"{error.filename}: {error.strerror}", err=True)
        sys.exit(2)


@click.group()
def routes() -> None:
    """Number tables: which exchange a dialled number means."""


@routes.command()
@click.argument("master", type=MASTER_PATH)
def check(master: Path) -> None:
    """Report every fault of a master file and the prefixes it names."""
    plan = exit_on_error(lambda: read_plan(master))
    click.echo(
        f"no fault: {plan.name}, generation {plan.generation}, {len(plan.index)} prefixes, "
        f"{len(plan.routes)} routes"
    )


def parse_time(text: str | None) -> float:
    """Return an ISO time as Unix seconds, UTC where it has no zone; the current time for None."""
    if text is None:
        return time.time()
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        raise click.BadParameter(f"{text!r} is no ISO time", param_hint="--at") from None
    return (moment if moment.tzinfo else moment.replace(tzinfo=UTC)).timestamp()


def result_fields(result: AnalysisResult) -> dict[str, object]:
    """Return the fields that `explain` prints, in their order."""
    return {
        "generation": result.generation,
        "outcome": result.outcome.value,
        "normalised": result.normalised_number,
        "matched": result.matched_prefix or None,
        "destination": result.destination if result.destination >= 0 else None,
        "route": result.route or None,
        "caps": list(result.caps),
        "because": list(result.reasons),
    }


@routes.command()
@click.argument("master", type=MASTER_PATH)
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
    time_s = parse_time(at)
    try:
        call_id = int(call, 16)
    except ValueError:
        raise click.BadParameter(f"{call!r} is no hex number", param_hint="--call") from None
    plan = exit_on_error(lambda: read_plan(master))
    if group and group not in plan.groups:
        raise click.BadParameter(f"the plan has no group {group}", param_hint="--group")
    fields = result_fields(plan.analyse(number, call_id, time_s, lambda to: to not in gone, group))
    if as_json:
        click.echo(json.dumps(fields))
        return
    for name, value in fields.items():
        for item in value if isinstance(value, list) else [value]:
            if item is not None:
                click.echo(f"{name:11} {item}")


def plan_entries(plan: Plan) -> dict[tuple[str, str], str]:
    """Describe a plan as one line of text for each (kind, name) of its entries, for `diff`."""
    entries: dict[tuple[str, str], str] = {}
    for prefix, value in plan.index:
        target = plan.targets[value]
        entries["prefix", prefix] = (
            f"{target.route or 'barred'} {target.min_digits}..{target.max_digits} "
            f"{' '.join(target.caps)}".strip()
        )
    tables: dict[str, Mapping[str, Any]] = {
        "route": plan.routes,
        "cap": plan.caps,
        "group": plan.groups,
        "timetable": plan.timetables,
    }
    for kind, table in tables.items():
        for name, value in table.items():
            fields = {
                attribute.name: getattr(value, attribute.name) for attribute in dataclasses.fields(value)
            }
            entries[kind, name] = " ".join(
                f"{field}={content}" for field, content in fields.items() if field != "name"
            )
    return entries


@routes.command()
@click.argument("old", type=MASTER_PATH)
@click.argument("new", type=MASTER_PATH)
def diff(old: Path, new: Path) -> None:
    """Say what changes from one table to another: - gone, + new, ~ changed."""
    before, after = (plan_entries(exit_on_error(lambda path=path: read_plan(path))) for path in (old, new))  # type: ignore[misc]
    for kind, name in sorted(before.keys() | after.keys()):
        old_entry, new_entry = before.get((kind, name)), after.get((kind, name))
        if old_entry is None:
            click.echo(f"+ {kind} {name}: {new_entry}")
        elif new_entry is None:
            click.echo(f"- {kind} {name}: {old_entry}")
        elif old_entry != new_entry:
            click.echo(f"~ {kind} {name}: {old_entry} -> {new_entry}")


@routes.command()
@click.option("--prefixes", default=1_000_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def bench(prefixes: int, seed: int) -> None:
    """Measure the index against plain dicts and a trie of rows, on made-up prefixes."""
    from mintvalve.cli.bench import comparison_table

    click.echo(comparison_table(prefixes, seed))
