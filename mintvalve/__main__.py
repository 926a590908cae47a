"""`python -m mintvalve`: builds and runs one call controller on sockets, or runs a command-line verb."""

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
DEFAULT_DIAL_TIMEOUT_MS = 500.0  # where the settings have no Limits.DialTimeoutMs
RESERVED_DESCRIPTORS = 72  # for exchange links (at most four sockets an exchange), the name server and files
MIN_CALLER_CONNECTIONS = 16  # allowed even where limits.sockets leaves fewer descriptors


def build_lifecycle(
    config: dict[str, Any], websocket: WebSocketOptions | None, read_config: Callable[[], dict[str, Any]]
) -> Lifecycle:
    """Build all parts of a call controller from its configuration.

    `websocket` holds the options of the WebSocket front, None leaves it out. `read_config` is called at each
    reload and returns the configuration as it is then. Raises ValueError, KeyError or TypeError where the
    configuration is invalid.
    """
    flat_settings = flatten_settings(config["settings"])
    settings = extend_time_limits(build_settings(flat_settings), TIME_LIMIT_SLACK_MS)
    loop = Loop()
    call_manager = CallManager(settings, loop)
    seed = int(str(config["seed"]), 16) if "seed" in config else secrets.randbits(64)

    def schedule_timer(delay_ms: float, token: int) -> None:
        """Start a timer for the decision module, which gets the token back when it expires."""
        loop.call_later(delay_ms, lambda: call_manager.on_timer(token))

    call_manager.decision_module = DecisionFacade(settings, seed, loop.now, schedule_timer)
    dial_timeout_ms = float(flat_settings.get("Limits.DialTimeoutMs", DEFAULT_DIAL_TIMEOUT_MS))
    exchange_links = ExchangeLinks(
        loop,
        call_manager,
        dial_timeout_ms,
        lambda call, cause: binary_front.release_unknown_call(call, cause),
    )
    call_manager.exchange_connections = exchange_links

    def max_caller_connections(config: dict[str, Any]) -> int:
        """Return how many connections the binary front may accept within the limit of descriptors."""
        sockets = int(config.get("limits", {}).get("sockets", 1024)) - RESERVED_DESCRIPTORS
        return max(MIN_CALLER_CONNECTIONS, sockets - (websocket.connections if websocket else 0))

    binary_front = BinaryFront(
        loop,
        call_manager,
        parse_host_port(os.environ.get("PROXY_LISTEN") or config["listen"]),
        max_caller_connections(config),
        exchange_links.release_everywhere,
    )
    fronts: list[Front] = [binary_front]
    if websocket is not None:
        fronts.append(WebSocketFront(loop, call_manager, websocket, parse_host_port(websocket.listen)))

    def update_exchange_list(
        listed_exchanges: dict[str, ListedExchange], kind: ListUpdateKind = ListUpdateKind.FULL
    ) -> None:
        """Pass a new list of exchanges, by name, to the links and the call manager.

        The own exchange gets no link.
        """
        exchange_links.update_addresses(
            {
                name: entry.address
                for name, entry in listed_exchanges.items()
                if entry.exchange.cell != settings.home
            }
        )
        call_manager.on_exchange_list([entry.exchange for entry in listed_exchanges.values()], kind)

    known = config.get("known", {})
    update_exchange_list(merge_events(parse_known_events(known)), ListUpdateKind.CACHED)
    name_server_client = NameServerClient(
        loop, parse_host_port(config["nameserver"]), int(known.get("seq", 0)), update_exchange_list
    )

    def reload_config() -> None:
        """Apply the name server, the list of exchanges and the limit of connections from a changed file.

        The whole file is checked before any of it is applied, so an invalid one changes nothing. Changed
        settings are only logged: they take effect at the next start.
        """
        new_config = read_config()
        new_known, name_server_address, max_connections = (
            new_config.get("known", {}),
            parse_host_port(new_config["nameserver"]),
            max_caller_connections(new_config),
        )
        list_events, new_flat_settings = (
            parse_known_events(new_known),
            flatten_settings(new_config["settings"]),
        )
        build_settings(new_flat_settings)
        name_server_client.reconfigure(name_server_address, list_events)
        binary_front.listener.max_connections = max_connections
        changed_paths = sorted({path for path, _ in flat_settings.items() ^ new_flat_settings.items()})
        if changed_paths:
            log.warning(
                "changed settings take effect only after a restart", extra={"names": ",".join(changed_paths)}
            )

    return Lifecycle(loop, call_manager, exchange_links.all_groups_reported, fronts, reload_config)


def read_config_file(path: Path) -> dict[str, Any]:
    """Read a config.json; raises OSError, or ValueError where it is not a JSON object."""
    config = json.loads(path.read_text())
    if not isinstance(config, dict):
        raise ValueError(f"{path} does not hold a JSON object")
    return config


def main() -> int:
    """Run the verb that is the first argument or, without one, the call controller; return the exit code.

    The platform starts the program without a verb and may give it no more than 32 MB of memory, so the
    libraries of the verbs are imported only for a verb.
    """
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        try:
            from mintvalve.cli.commands import cli
        except ModuleNotFoundError as error:
            print(f"mintvalve: the verbs need the extra 'tools': {error.name} is missing", file=sys.stderr)
            return 2
        cli()
    return serve(sys.argv[1:])


def serve(arguments: list[str]) -> int:
    """Run one call controller until a signal ends it; return the exit code.

    The code is 0 after a regular end, 1 if a listener could not be opened, and 2 if the command line or the
    configuration can't be used.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # by default it ends the process until the handler is set
    parser = argparse.ArgumentParser(prog="mintvalve", description="One call controller on sockets.")
    parser.add_argument("--config", default=os.environ.get("PROXY_CONFIG"), help="default: $PROXY_CONFIG")
    parser.add_argument("--websocket", metavar="FILE", help="open the WebSocket front that FILE describes")
    options = parser.parse_args(arguments)
    logs.configure(os.environ.get("MINTVALVE_LOG", "info"))
    if not options.config:
        parser.error("no configuration: give --config or set PROXY_CONFIG")
    try:
        websocket = WebSocketOptions.parse(Path(options.websocket).read_text()) if options.websocket else None
        path = Path(options.config)
        lifecycle = build_lifecycle(read_config_file(path), websocket, lambda: read_config_file(path))
    except (OSError, ValueError, KeyError, TypeError) as error:
        print(f"mintvalve: the configuration can't be used: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # the parts built so far live until the end and need not be scanned
    lifecycle.run()
    return 1 if lifecycle.listen_failed else 0


if __name__ == "__main__":
    sys.exit(main())
