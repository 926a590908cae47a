"""Listeners that accept connections up to a limit, and close those that nobody uses."""

from __future__ import annotations

import logging
import socket
from typing import Protocol

from mintvalve.net.connection import (
    DEFAULT_WRITE_BUFFER_BYTES,
    TCP_ESTABLISHED,
    Connection,
    ConnectionOwner,
)
from mintvalve.net.loop import READ, Loop

FIRST_MESSAGE_TIMEOUT_MS = 2000.0
PARTIAL_MESSAGE_TIMEOUT_MS = 1500.0
MIN_IDLE_BEFORE_EVICTION_MS = 250.0
TIMEOUT_CHECK_INTERVAL_MS = 250.0
ACCEPT_PAUSE_MS = 20.0  # wait before accepting again when no connection could be evicted
MAX_ACCEPTS_PER_ITERATION = 32
LISTEN_BACKLOG = 512  # connections that the kernel keeps until they are accepted

log = logging.getLogger("mintvalve.connection")


class ListenerOwner(ConnectionOwner, Protocol):
    """Handler of the events of accepted connections."""

    def eviction_cost(self, connection: Connection) -> int:
        """The cost of closing this connection: 0 for none; negative where it must not be evicted."""
        ...

    def evict(self, connection: Connection) -> None:
        """Close this connection to free its place for another one."""
        ...


class Listener:
    """Accepts up to `max_connections` connections on one address, from `open` to `close`.

    `address` has the port in use once the listener is open, where port 0 stands for any.

    Guards against clients that send nothing, that never complete a message, or that keep idle connections:
    128 such clients held all connections, and half of the calls were lost. Connections without a complete
    message are closed by time-out. At the limit, idle connections are evicted: those that never sent a
    message first, then those with the lowest eviction cost, then those idle for longest.
    """

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        owner: ListenerOwner,
        max_connections: int,
        max_buffered_bytes: int = DEFAULT_WRITE_BUFFER_BYTES,
    ) -> None:
        self.loop, self.owner, self.max_connections, self.max_buffered_bytes = (
            loop,
            owner,
            max_connections,
            max_buffered_bytes,
        )
        self.connections: set[Connection] = set()
        self.address = (host, port)
        # Set by the first connection that is reported as established. Guards against systems whose sockets
        # are no TCP connections of the kernel, and which would report all of them as closed.
        self.can_read_tcp_state = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def open(self) -> None:
        """Start to listen; raises OSError where the address can't be listened on."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(self.address)
        self.sock.listen(LISTEN_BACKLOG)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        log.info("listening", extra={"front": type(self.owner).__name__, "port": self.address[1]})
        self.loop.watch(self.sock, READ, self.on_ready)
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_MS, self.check_message_timeouts)

    def on_ready(self, _: int) -> None:
        """Accept pending connections up to the limits; the rest stays in the kernel's queue."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if len(self.connections) >= self.max_connections and not self.evict_idle_connections():
                break
            try:
                sock, _peer = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:  # out of file descriptors: handled as if the connection limit were reached
                self.evict_idle_connections()
                break
            connection = Connection.from_socket(self.loop, sock, self.owner, self.max_buffered_bytes)
            connection.reads_after_write_error = True
            self.can_read_tcp_state |= connection.read_tcp_state() == TCP_ESTABLISHED
            connection.can_read_tcp_state = self.can_read_tcp_state
            self.connections.add(connection)
            self.owner.on_opened(connection)
        else:
            return  # still readable: the next iteration of the loop accepts more
        self.loop.watch(self.sock, 0, self.on_ready)
        self.loop.call_later(ACCEPT_PAUSE_MS, self.resume_accepting)

    def evict_idle_connections(self) -> bool:
        """Evict the cheapest idle connections, at most 1 + max_connections // 16 of them.

        Returns whether another connection may be accepted now.
        """
        now = self.loop.now()
        candidates: list[tuple[bool, int, float, Connection]] = []
        for connection in self.connections:
            last_active_at = (
                connection.created_at if connection.last_message_at is None else connection.last_message_at
            )
            if (
                connection.is_open
                and now - last_active_at >= MIN_IDLE_BEFORE_EVICTION_MS
                and (cost := self.owner.eviction_cost(connection)) >= 0
            ):
                candidates.append((connection.last_message_at is not None, cost, last_active_at, connection))
        for *_, connection in sorted(candidates, key=lambda candidate: candidate[:3])[
            : 1 + self.max_connections // 16
        ]:
            self.owner.evict(connection)
            self.remove_connection(connection)
        return len(self.connections) < self.max_connections

    def check_message_timeouts(self) -> None:
        """Close connections whose first message, or the rest of an incomplete one, is overdue."""
        if self.sock.fileno() >= 0 or self.connections:
            self.loop.call_later(TIMEOUT_CHECK_INTERVAL_MS, self.check_message_timeouts)
        now = self.loop.now()
        for connection in list(self.connections):
            if connection.last_message_at is None and now - connection.created_at >= FIRST_MESSAGE_TIMEOUT_MS:
                connection.close_now(f"no complete message within {FIRST_MESSAGE_TIMEOUT_MS:.0f} ms")
            elif (
                connection.partial_since is not None
                and now - connection.partial_since >= PARTIAL_MESSAGE_TIMEOUT_MS
            ):
                connection.close_now(f"message incomplete after {PARTIAL_MESSAGE_TIMEOUT_MS:.0f} ms")

    def resume_accepting(self) -> None:
        """Accept again after ACCEPT_PAUSE_MS, unless the listener has been closed."""
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock, READ, self.on_ready)

    def remove_connection(self, connection: Connection) -> None:
        """Stop counting a connection towards the limit; it may have been removed before."""
        self.connections.discard(connection)

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock, 0, self.on_ready)
            self.sock.close()
