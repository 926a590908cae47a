"""`python -m mintvalve`: one call controller on sockets, or a verb. This file only joins the parts."""

from __future__ import annotations

import argparse
import gc
import json
import logging
import os
import secrets
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mintvalve.core.rules import TIME_LIMIT_SLACK_MS
from mintvalve.core.call_manager import CallManager
from mintvalve.facade import DecisionFacade
from mintvalve.interface import ListUpdateKind
from mintvalve.lifecycle import Front, Lifecycle
from mintvalve.net import logs
from mintvalve.net.binary_front import BinaryFront
from mintvalve.net.exchange_links import ExchangeLinks
from mintvalve.net.loop import Loop
from mintvalve.net.websocket_front import WebSocketOptions, WebSocketFront
from mintvalve.net.name_server_client import (
    ListedExchange,
    NameServerClient,
    parse_host_port,
    parse_known_events,
    merge_events,
)
from mintvalve.settings import flatten_settings, extend_time_limits, build_settings

log = logging.getLogger("mintvalve")
DIAL_MS = 500.0  # ms; where the settings name no other
SPARE_DESCRIPTORS = 72  # for links (at most four sockets an exchange), the name server, files
FEWEST = 16  # connections of callers at the least


def build(
    config: dict[str, Any], websocket: WebSocketOptions | None, read: Callable[[], dict[str, Any]]
) -> Lifecycle:
    """All parts, from a configuration, which `read` reads again."""
    pairs = flatten_settings(config["settings"])
    settings = extend_time_limits(build_settings(pairs), TIME_LIMIT_SLACK_MS)
    loop = Loop()
    board = CallManager(settings, loop)
    seed = int(str(config["seed"]), 16) if "seed" in config else secrets.randbits(64)

    def remind(ms: float, token: int) -> None:
        loop.call_later(ms, lambda: board.on_timer(token))

    board.decision_module = DecisionFacade(settings, seed, loop.now, remind)
    dial_ms = float(pairs.get("Limits.DialTimeoutMs", DIAL_MS))
    exchanges = ExchangeLinks(loop, board, dial_ms, settings.home)
    board.exchange_connections = exchanges

    def tell(held: dict[str, ListedExchange], kind: ListUpdateKind = ListUpdateKind.FULL) -> None:
        exchanges.update_addresses(
            {name: entry.address for name, entry in held.items() if entry.exchange.cell != settings.home}
        )
        board.on_exchange_list([entry.exchange for entry in held.values()], kind)

    known = config.get("known", {})
    tell(merge_events(parse_known_events(known)), ListUpdateKind.CACHED)
    names = NameServerClient(loop, parse_host_port(config["nameserver"]), int(known.get("seq", 0)), tell)
    listen = parse_host_port(os.environ.get("PROXY_LISTEN") or config["listen"])

    def room(config: dict[str, Any]) -> int:
        sockets = int(config.get("limits", {}).get("sockets", 1024)) - SPARE_DESCRIPTORS
        return max(FEWEST, sockets - (websocket.connections if websocket else 0))

    binary: list[BinaryFront] = []

    def read_again() -> None:
        """What can change under way is taken up at once; all of the file is read before any of it is."""
        new = read()
        fresh, server, places = new.get("known", {}), parse_host_port(new["nameserver"]), room(new)
        events, again = parse_known_events(fresh), flatten_settings(new["settings"])
        build_settings(again)
        names.reconfigure(server, events)
        for front in binary:
            front.listener.max_connections = places
        changed = sorted({name for name, _ in pairs.items() ^ again.items()})
        if changed:
            log.warning("changed settings count from the next start on", extra={"names": ",".join(changed)})

    def fronts() -> list[Front]:
        binary[:] = [BinaryFront(loop, board, listen, room(config), exchanges.release_everywhere)]
        opened: list[Front] = [*binary]
        if websocket is not None:
            opened.append(WebSocketFront(loop, board, websocket, parse_host_port(websocket.listen)))
        exchanges.on_unknown_release = binary[0].release_unknown_call
        return opened

    return Lifecycle(loop, board, exchanges.all_groups_reported, fronts, read_again)


def read_file(path: Path) -> dict[str, Any]:
    config = json.loads(path.read_text())
    if not isinstance(config, dict):
        raise ValueError("not an object")
    return config


def main() -> int:
    """Without a verb, what the platform runs. The verbs' libraries are imported for a verb alone: there,
    32 MB may be all there is."""
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        try:
            from mintvalve.cli.commands import cli
        except ModuleNotFoundError as fault:
            print(f"mintvalve: the verbs need the extra 'tools': {fault.name} is missing", file=sys.stderr)
            return 2
        cli()
    return serve(sys.argv[1:])


def serve(arguments: list[str]) -> int:
    """One call controller, until it is told to end; its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the program can take it up
    parser = argparse.ArgumentParser(prog="mintvalve", description="One call controller on sockets.")
    parser.add_argument("--config", default=os.environ.get("PROXY_CONFIG"), help="default: $PROXY_CONFIG")
    parser.add_argument("--websocket", metavar="FILE", help="open the WebSocket front that FILE describes")
    chosen = parser.parse_args(arguments)
    logs.configure(os.environ.get("MINTVALVE_LOG", "info"))
    if not chosen.config:
        parser.error("no configuration: give --config or set PROXY_CONFIG")
    try:
        websocket = WebSocketOptions.parse(Path(chosen.websocket).read_text()) if chosen.websocket else None
        path = Path(chosen.config)
        lifecycle = build(read_file(path), websocket, lambda: read_file(path))
    except (OSError, ValueError, KeyError, TypeError) as fault:
        print(f"mintvalve: the configuration can't be used: {type(fault).__name__}: {fault}", file=sys.stderr)
        return 2
    gc.freeze()
    lifecycle.run()
    return 1 if lifecycle.failed else 0


if __name__ == "__main__":
    sys.exit(main())
