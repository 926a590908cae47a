"""Builds the parts of one call controller from its configuration and connects them to each other."""

from __future__ import annotations

import logging
import os
import secrets
from collections.abc import Callable, Mapping
from typing import Any

from mintvalve.core.call_manager import CallManager
from mintvalve.core.rules import TIME_LIMIT_SLACK_MS
from mintvalve.facade import DecisionFacade
from mintvalve.interface import ListUpdateKind, Settings
from mintvalve.lifecycle import Front, Lifecycle
from mintvalve.net.binary_front import BinaryFront
from mintvalve.net.exchange_links import ExchangeLinks
from mintvalve.net.loop import Loop
from mintvalve.net.name_server_client import (
    ListedExchange,
    NameServerClient,
    merge_events,
    parse_host_port,
    parse_known_events,
)
from mintvalve.net.websocket_front import WebSocketFront
from mintvalve.net.websocket_options import WebSocketOptions
from mintvalve.settings import FlatSettings, build_settings, extend_time_limits, flatten_settings

log = logging.getLogger("mintvalve")
DEFAULT_DIAL_TIMEOUT_MS = 500.0  # where the settings have no Limits.DialTimeoutMs
DEFAULT_SOCKETS = 1024  # where the configuration has no limits.sockets
RESERVED_DESCRIPTORS = 72  # for exchange links (at most four sockets an exchange), the name server and files
MIN_CALLER_CONNECTIONS = 16  # allowed even where limits.sockets leaves fewer descriptors


class CallControl:
    """A call manager with its fronts and its links to exchanges, connected to each other.

    All parts exist before the first dial, since an exchange may send releases as soon as it is connected. The
    fronts accept callers from their `start_accepting` on. `call_manager.decision_module` must be set before
    the first list of exchanges. `websocket` holds the options of the WebSocket front, None leaves it out.
    """

    def __init__(
        self,
        loop: Loop,
        settings: Settings,
        dial_timeout_ms: float,
        listen_address: tuple[str, int],
        max_connections: int,
        websocket: WebSocketOptions | None,
    ) -> None:
        self.loop, self.home_cell = loop, settings.home
        self.call_manager = CallManager(settings, loop)
        self.exchange_links = ExchangeLinks(
            loop, self.call_manager, dial_timeout_ms, self.release_unknown_call
        )
        self.call_manager.exchange_connections = self.exchange_links
        self.binary_front = BinaryFront(
            loop,
            self.call_manager,
            listen_address,
            max_connections,
            self.exchange_links.release_everywhere,
        )
        self.websocket_front: WebSocketFront | None = None
        if websocket is not None:
            address = parse_host_port(websocket.listen)
            self.websocket_front = WebSocketFront(
                loop, self.call_manager, websocket, address, self.exchange_links.release_everywhere
            )

    @property
    def fronts(self) -> list[Front]:
        """The fronts that are in use."""
        optional_fronts = [] if self.websocket_front is None else [self.websocket_front]
        return [self.binary_front, *optional_fronts]

    def schedule_timer(self, delay_ms: float, token: int) -> None:
        """Start a timer for the decision module, which gets the token back when it expires."""
        self.loop.call_later(delay_ms, lambda: self.call_manager.on_timer(token))

    def release_unknown_call(self, call: int, cause: int) -> None:
        """Notify callers that an exchange has released a call of an earlier process."""
        self.binary_front.release_unknown_call(call, cause)
        if self.websocket_front is not None:
            self.websocket_front.release_unknown_call(call, cause)

    def update_exchange_list(
        self, listed_exchanges: Mapping[str, ListedExchange], kind: ListUpdateKind = ListUpdateKind.FULL
    ) -> None:
        """Pass a new list of exchanges, by name, to the links and the call manager.

        The own exchange gets no link.
        """
        remote_exchanges = {
            name: entry for name, entry in listed_exchanges.items() if entry.exchange.cell != self.home_cell
        }
        self.exchange_links.update_addresses(
            {name: entry.address for name, entry in remote_exchanges.items()},
            {name: entry.exchange.up_since_ms for name, entry in remote_exchanges.items()},
        )
        self.call_manager.on_exchange_list([entry.exchange for entry in listed_exchanges.values()], kind)


class ConfigReloader:
    """Applies a changed configuration file to the running parts.

    `read_config` returns the configuration as it is then; `flat_settings` are those of the start.
    """

    def __init__(
        self,
        call_control: CallControl,
        name_server_client: NameServerClient,
        websocket: WebSocketOptions | None,
        flat_settings: FlatSettings,
        read_config: Callable[[], dict[str, Any]],
    ) -> None:
        self.call_control, self.name_server_client = call_control, name_server_client
        self.websocket, self.flat_settings, self.read_config = websocket, flat_settings, read_config

    def reload(self) -> None:
        """Apply the name server, the list of exchanges and the limit of connections.

        The whole file is checked before any of it is applied, so an invalid one changes nothing; it raises
        OSError, ValueError, KeyError, TypeError or AttributeError. Changed settings are only logged: they
        take effect at the next start.
        """
        config = self.read_config()
        name_server_address = parse_host_port(config["nameserver"])
        max_connections = max_caller_connections(config, self.websocket)
        list_events = parse_known_events(config.get("known", {}))
        flat_settings = flatten_settings(config["settings"])
        build_settings(flat_settings)
        self.name_server_client.reconfigure(name_server_address, list_events)
        self.call_control.binary_front.listener.max_connections = max_connections
        self.log_changed_settings(flat_settings)

    def log_changed_settings(self, flat_settings: FlatSettings) -> None:
        """Name the settings that differ from those of the start."""
        changed_paths = sorted({path for path, _ in self.flat_settings.items() ^ flat_settings.items()})
        if changed_paths:
            log.warning(
                "changed settings take effect only after a restart", extra={"names": ",".join(changed_paths)}
            )


def max_caller_connections(config: dict[str, Any], websocket: WebSocketOptions | None) -> int:
    """Return how many connections the binary front may accept within the limit of descriptors."""
    sockets = int(config.get("limits", {}).get("sockets", DEFAULT_SOCKETS)) - RESERVED_DESCRIPTORS
    return max(MIN_CALLER_CONNECTIONS, sockets - (websocket.connections if websocket else 0))


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
    call_control = CallControl(
        loop,
        settings,
        float(flat_settings.get("Limits.DialTimeoutMs", DEFAULT_DIAL_TIMEOUT_MS)),
        parse_host_port(os.environ.get("PROXY_LISTEN") or config["listen"]),
        max_caller_connections(config, websocket),
        websocket,
    )
    seed = int(str(config["seed"]), 16) if "seed" in config else secrets.randbits(64)
    call_control.call_manager.decision_module = DecisionFacade(
        settings, seed, loop.now, call_control.schedule_timer
    )
    known = config.get("known", {})
    call_control.update_exchange_list(merge_events(parse_known_events(known)), ListUpdateKind.CACHED)
    name_server_client = NameServerClient(
        loop,
        parse_host_port(config["nameserver"]),
        int(known.get("seq", 0)),
        call_control.update_exchange_list,
    )
    reloader = ConfigReloader(call_control, name_server_client, websocket, flat_settings, read_config)
    return Lifecycle(
        loop,
        call_control.call_manager,
        call_control.exchange_links.all_groups_reported,
        call_control.fronts,
        reloader.reload,
    )
