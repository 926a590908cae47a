"""Command line of `python -m mintvalve VERB` with the verbs run, config and routes."""

from __future__ import annotations

import sys

import click

from mintvalve.cli.routes import routes


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """A call controller, and the tools around it. Without a verb: `run`."""


@cli.command(context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def run(arguments: tuple[str, ...]) -> None:
    """One call controller on sockets; `run --help` lists its options."""
    from mintvalve.__main__ import serve

    sys.exit(serve(list(arguments)))


@cli.command(context_settings={"ignore_unknown_options": True, "help_option_names": []})
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def config(arguments: tuple[str, ...]) -> None:
    """Write and check applications' configurations; `config --help` says more."""
    from mintvalve.config.__main__ import main

    sys.exit(main(list(arguments)))


cli.add_command(routes)
