"""`python -m mintvalve`: one call controller on sockets. This file only joins the parts."""

from __future__ import annotations

import argparse
import gc
import json
import os
import secrets
import sys
from pathlib import Path
from typing import Any

from mintvalve.core.rules import SLACK_MS
from mintvalve.core.switchboard import Switchboard
from mintvalve.facade import ModuleDesk
from mintvalve.interface import ListKind
from mintvalve.lifecycle import Front, Lifecycle
from mintvalve.net import logs
from mintvalve.net.binary_front import BinaryFront
from mintvalve.net.exchanges import Exchanges
from mintvalve.net.loop import Loop
from mintvalve.net.websocket_front import Options, WebSocketFront
from mintvalve.net.names import Entry, Names, host_port, known_events, merged
from mintvalve.settings import flatten, on_sockets, settings_of

DIAL_MS = 500.0  # ms; where the settings name no other
SPARE_DESCRIPTORS = 72  # for links (at most four sockets an exchange), the name server, files
FEWEST = 16  # connections of callers at the least


def build(config: dict[str, Any], websocket: Options | None = None) -> Lifecycle:
    """All parts, from a configuration."""
    pairs = flatten(config["settings"])
    settings = on_sockets(settings_of(pairs), SLACK_MS)
    loop = Loop()
    board = Switchboard(settings, loop)
    seed = int(str(config["seed"]), 16) if "seed" in config else secrets.randbits(64)

    def remind(ms: float, token: int) -> None:
        loop.after(ms, lambda: board.ring(token))

    board.desk = ModuleDesk(settings, seed, loop.now, remind)
    dial_ms = float(pairs.get("Limits.DialTimeoutMs", DIAL_MS))
    exchanges = Exchanges(loop, board, dial_ms, settings.home)
    board.far = exchanges

    def tell(held: dict[str, Entry], kind: ListKind = ListKind.FULL) -> None:
        exchanges.listed({name: entry.address for name, entry in held.items()
                          if entry.exchange.cell != settings.home})
        board.listed([entry.exchange for entry in held.values()], kind)

    known = config.get("known", {})
    tell(merged(known_events(known)), ListKind.CACHED)
    Names(loop, host_port(config["nameserver"]), int(known.get("seq", 0)), tell)
    listen = host_port(os.environ.get("PROXY_LISTEN") or config["listen"])
    sockets = int(config.get("limits", {}).get("sockets", 1024)) - SPARE_DESCRIPTORS
    room = max(FEWEST, sockets - (websocket.connections if websocket else 0))

    def fronts() -> list[Front]:
        binary = BinaryFront(loop, board, listen, room, exchanges.release_everywhere)
        opened: list[Front] = [binary]
        if websocket is not None:
            opened.append(WebSocketFront(loop, board, websocket, host_port(websocket.listen)))
        exchanges.strange = lambda call, cause: binary.release_to(None, call, cause)
        return opened

    return Lifecycle(loop, board, exchanges.joined, fronts)


def main() -> int:
    parser = argparse.ArgumentParser(prog="mintvalve", description="One call controller on sockets.")
    parser.add_argument("--config", default=os.environ.get("PROXY_CONFIG"), help="default: $PROXY_CONFIG")
    parser.add_argument("--websocket", metavar="FILE", help="open the WebSocket front that FILE describes")
    chosen = parser.parse_args()
    logs.start(os.environ.get("MINTVALVE_LOG", "info"))
    if not chosen.config:
        parser.error("no configuration: give --config or set PROXY_CONFIG")
    try:
        websocket = Options.parse(Path(chosen.websocket).read_text()) if chosen.websocket else None
        lifecycle = build(json.loads(Path(chosen.config).read_text()), websocket)
    except (OSError, ValueError, KeyError) as fault:
        print(f"mintvalve: the configuration can't be used: {type(fault).__name__}: {fault}", file=sys.stderr)
        return 2
    gc.freeze()
    lifecycle.run()
    return 1 if lifecycle.failed else 0


if __name__ == "__main__":
    sys.exit(main())
