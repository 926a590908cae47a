"""Non-blocking TCP connections on the event loop, with bounded write buffers."""

from __future__ import annotations

import errno
import logging
import math
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from mintvalve.net.loop import READ, WRITE, Loop

READ_CHUNK_BYTES = 16384  # bounds how long one connection delays the others
DEFAULT_WRITE_BUFFER_BYTES = 1 << 20
FLUSH_TIMEOUT_MS = 2000.0
# Unwritten, or a quarter of the buffer; then no more of the peer's messages are handled.
CONGESTED_ABOVE_BYTES = 8192

# Values of `tcpi_state` (Linux, tcp.h).
TCP_ESTABLISHED, TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING = 1, 7, 8, 9, 11
# The peer has reset the connection, or closed its side of it.
STATES_AFTER_PEER_LEFT = frozenset({TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING})

log = logging.getLogger("mintvalve.connection")


class ConnectionState(Enum):
    """State of a connection, from dialling to closed."""

    CONNECTING = "connecting"
    OPEN = "open"
    FINISHING = "finishing"  # writes the rest of its buffer, then closes; no longer reads
    CLOSED = "closed"


class ConnectionOwner(Protocol):
    """Handler of the events of a connection."""

    def on_opened(self, connection: Connection) -> None:
        """The connection has been established."""
        ...

    def on_data(self, connection: Connection, data: bytes) -> None:
        """Bytes have been received; they may end within a message."""
        ...

    def on_closed(self, connection: Connection, reason: str) -> None:
        """The connection has been closed; `reason` is a text for logs."""
        ...


class Connection:
    """One TCP connection.

    `on_closed` of the owner is called exactly once, in a later iteration of the loop, never from within a
    call that the owner makes. `max_buffered_bytes` bounds the data that waits to be written.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: ConnectionOwner,
        max_buffered_bytes: int = DEFAULT_WRITE_BUFFER_BYTES,
    ) -> None:
        self.loop, self.sock, self.owner, self.max_buffered_bytes = loop, sock, owner, max_buffered_bytes
        self.state = ConnectionState.OPEN
        self.write_buffer = bytearray()
        self.bytes_queued = self.bytes_written = 0  # over the connection's lifetime
        self.was_reset = self.was_refused = False  # by the peer
        self.congested_above_bytes: float = min(CONGESTED_ABOVE_BYTES, max_buffered_bytes // 4)
        self.reads_after_write_error = False  # what the peer wrote before it left still counts
        self.peer_has_left = False  # known to have closed or reset the connection
        self.can_read_tcp_state = False  # the system has shown that it reports the states of connections
        self.is_reading = True
        self.on_uncongested: Callable[[], None] | None = None  # waits until the peer has read
        self.created_at = loop.now()
        self.last_message_at: float | None = None  # Unix ms, of the last complete message
        self.partial_since: float | None = None  # Unix ms, since when an incomplete message is buffered
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    def from_socket(
        cls,
        loop: Loop,
        sock: socket.socket,
        owner: ConnectionOwner,
        max_buffered_bytes: int = DEFAULT_WRITE_BUFFER_BYTES,
    ) -> Connection:
        """Wrap a socket that is connected already, such as an accepted one."""
        connection = cls(loop, sock, owner, max_buffered_bytes)
        loop.watch(sock, READ, connection.on_ready)
        return connection

    @classmethod
    def dial(cls, loop: Loop, host: str, port: int, owner: ConnectionOwner, timeout_ms: float) -> Connection:
        """Connect to an address; `on_opened` or `on_closed` follows within `timeout_ms`.

        Raises OSError where no socket can be created.
        """
        connection = cls(loop, socket.socket(socket.AF_INET, socket.SOCK_STREAM), owner)
        connection.state = ConnectionState.CONNECTING
        connection.congested_above_bytes = math.inf  # answers must be heard whatever is still to be written
        error_code = connection.sock.connect_ex((host, port))
        if error_code not in (0, errno.EINPROGRESS):
            connection.close_with_error(error_code)
        else:
            loop.watch(connection.sock, WRITE, connection.on_ready)
            loop.call_later(timeout_ms, connection.on_dial_timeout)
        return connection

    def on_dial_timeout(self) -> None:
        if self.state is ConnectionState.CONNECTING:
            self.close_now("connection not established within the dial time-out")

    @property
    def is_open(self) -> bool:
        return self.state is ConnectionState.OPEN

    @property
    def unwritten_bytes(self) -> int:
        """How much data waits to be written."""
        return len(self.write_buffer)

    @property
    def is_congested(self) -> bool:
        """Whether the peer of an open connection leaves more unread than an owner should add to."""
        return self.is_open and len(self.write_buffer) > self.congested_above_bytes

    def send(self, data: bytes) -> bool:
        """Write data, or buffer what can't be written yet.

        Returns False, and drops the data, where the connection is not open or the buffer has no space. Data
        for a peer that has left is dropped as well.
        """
        if self.peer_has_left and self.state is ConnectionState.OPEN:
            return True
        if (
            self.state is not ConnectionState.OPEN
            or len(self.write_buffer) + len(data) > self.max_buffered_bytes
        ):
            return False
        self.bytes_queued += len(data)
        was_empty = not self.write_buffer
        self.write_buffer += data
        if was_empty:
            self.flush()
        return True

    def withdraw_unwritten(self, first_byte: int, size: int) -> bool:
        """Drop data of which nothing has been written yet; False where some has, or it is there no more.

        `first_byte` is what `bytes_queued` was before the data. What was queued behind it moves up.
        """
        offset = first_byte - self.bytes_written
        if not self.is_open or offset < 0 or offset + size > len(self.write_buffer):
            return False
        del self.write_buffer[offset : offset + size]
        self.bytes_queued -= size
        return True

    def on_messages_decoded(self, message_count: int, has_partial: bool) -> None:
        """Record what the owner decoded: complete messages, and whether an incomplete one is buffered.

        The message time-outs and the eviction of the listener are based on it.
        """
        now = self.loop.now()
        self.last_message_at = now if message_count else self.last_message_at
        self.partial_since = (
            None
            if not has_partial
            else now
            if message_count or self.partial_since is None
            else self.partial_since
        )

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading`, while the owner handles what it has received."""
        self.is_reading = False
        self.update_watched_events()

    def resume_reading(self) -> None:
        """Read again after `pause_reading`."""
        self.is_reading = True
        self.update_watched_events()

    def wait_until_uncongested(self, handle_rest: Callable[[], None]) -> None:
        """Stop reading until the peer has read most of what it was sent; then call `handle_rest`.

        Guards against a peer that sends what is answered and does not read the answers.
        """
        self.pause_reading()
        self.on_uncongested = handle_rest

    def end_congestion(self, handle_rest: Callable[[], None]) -> None:
        """Read again and handle the rest, unless the connection has been closed meanwhile."""
        if self.is_open:
            self.resume_reading()
            handle_rest()

    def update_watched_events(self) -> None:
        """Watch the socket for reading unless paused, and for writing while data is buffered."""
        if self.state in (ConnectionState.OPEN, ConnectionState.FINISHING):
            read_event = READ if self.is_reading and self.state is ConnectionState.OPEN else 0
            self.loop.watch(self.sock, read_event | (WRITE if self.write_buffer else 0), self.on_ready)

    def close_after_flush(self, final_data: bytes = b"") -> None:
        """Write the buffered data and `final_data`, then close, after FLUSH_TIMEOUT_MS at the latest.

        `final_data` is buffered whatever its size.
        """
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.FINISHING
            self.bytes_queued += len(final_data)
            self.write_buffer += final_data
            self.loop.call_later(
                FLUSH_TIMEOUT_MS,
                lambda: self.close_now(f"flush timed out with {len(self.write_buffer)} bytes unwritten"),
            )
            self.flush()
        elif self.state is ConnectionState.CONNECTING:
            self.close_now("closed before the connection was established")

    def close_now(self, reason: str) -> None:
        """Close at once, dropping buffered data; the owner is notified in the next iteration of the loop."""
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        self.loop.watch(self.sock, 0, self.on_ready)
        self.sock.close()
        self.loop.call_soon(lambda: self.owner.on_closed(self, reason))

    def close_with_error(self, error_code: int) -> None:
        """Close after a socket error; the reason is the name of the errno value."""
        self.was_reset, self.was_refused = error_code == errno.ECONNRESET, error_code == errno.ECONNREFUSED
        self.close_now(errno.errorcode.get(error_code, str(error_code)))

    def on_ready(self, events: int) -> None:
        """Handle readiness of the socket; `events` are READ, WRITE or both."""
        if self.state is ConnectionState.CONNECTING:
            self.on_connect_finished()
            return
        if events & WRITE:
            self.flush()
        if events & READ and self.state is ConnectionState.OPEN:
            self.read()

    def on_connect_finished(self) -> None:
        """Open the connection, or close it where the dial failed."""
        error_code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code:
            self.close_with_error(error_code)
            return
        self.state = ConnectionState.OPEN
        self.loop.watch(self.sock, READ, self.on_ready)
        self.owner.on_opened(self)

    def read(self) -> None:
        """Read one chunk and hand it to the owner."""
        try:
            data = self.sock.recv(READ_CHUNK_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.close_with_error(error.errno or 0)
            return
        if not data:
            self.close_now("closed by the peer")
            return
        self.owner.on_data(self, data)

    def flush(self) -> None:
        """Write as much as the socket takes; watch for writability while data remains."""
        try:
            while self.write_buffer:
                bytes_sent = self.sock.send(self.write_buffer)
                del self.write_buffer[:bytes_sent]
                self.bytes_written += bytes_sent
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            self.on_write_error(error.errno or 0)
            return
        if not self.write_buffer and self.state is ConnectionState.FINISHING:
            self.close_now("closed after flush")
            return
        self.resume_if_uncongested()
        self.update_watched_events()

    def on_write_error(self, error_code: int) -> None:
        """Close the connection, or read it to its end where its owner still needs what the peer wrote."""
        if not self.reads_after_write_error or self.state is not ConnectionState.OPEN:
            self.close_with_error(error_code)
            return
        self.peer_has_left = True
        self.bytes_queued -= len(self.write_buffer)
        self.write_buffer.clear()
        self.resume_if_uncongested()
        self.update_watched_events()

    def resume_if_uncongested(self) -> None:
        """Let an owner that waits for the peer to read go on."""
        if self.on_uncongested is not None and not self.is_congested:
            handle_rest, self.on_uncongested = self.on_uncongested, None
            self.loop.call_soon(lambda: self.end_congestion(handle_rest))

    def check_peer_left(self) -> bool:
        """Whether the peer has closed or reset the connection, though data of it may still be unread.

        The end of a connection is read only behind all data. False unless `can_read_tcp_state`.
        """
        if not self.peer_has_left and self.is_open and self.can_read_tcp_state:
            self.peer_has_left = self.read_tcp_state() in STATES_AFTER_PEER_LEFT
        return self.peer_has_left

    def read_tcp_state(self) -> int | None:
        """The state of the TCP connection (`tcpi_state`), None where the system does not tell."""
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except (AttributeError, OSError, IndexError):
            return None
