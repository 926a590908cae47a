"""A TCP connection on the loop: partial reads and writes, bounded buffers, one end."""

from __future__ import annotations

import errno
import logging
import socket
from enum import Enum
from typing import Protocol

from mintvalve.net.loop import READ, WRITE, Loop

CHUNK = 16384  # bytes read at a time; more would hold up the others
BUFFER = 1 << 20  # bytes; the most that may wait to be written
LINGER_MS = 2000.0  # ms; a finished connection may take so long to write what waits
UNSPOKEN_MS = 2000.0  # ms; a connection that brought no whole message by then is closed,
HALF_MS = 1500.0  # ms; and so is one whose message is not whole by then
YOUNG_MS = 250.0  # ms; where all are needed, a connection keeps its place so long after its last message
LOOK_MS = 250.0  # ms between looks at these times
FULL_MS = 20.0  # ms; so long no connection is accepted where none could be closed for it
AT_ONCE = 32  # connections accepted in one turn

log = logging.getLogger("mintvalve.connection")


class ConnectionState(Enum):
    """From the dial to the end."""

    CONNECTING = "connecting"
    OPEN = "open"
    FINISHING = "finishing"  # writes what waits, then closes; reads no more
    CLOSED = "closed"


class ConnectionOwner(Protocol):
    """Whoever speaks over a connection."""

    def on_opened(self, connection: Connection) -> None: ...

    def on_data(self, connection: Connection, data: bytes) -> None: ...

    def on_closed(self, connection: Connection, reason: str) -> None: ...


class Connection:
    """One connection; its owner hears of its end exactly once, never from within a call of its own."""

    def __init__(self, loop: Loop, sock: socket.socket, owner: ConnectionOwner, most: int = BUFFER) -> None:
        self.loop, self.sock, self.owner, self.most = loop, sock, owner, most
        self.state = ConnectionState.OPEN
        self.waiting = bytearray()
        self.bytes_queued = self.bytes_written = 0  # bytes, over the connection's life
        self.reset = self.refused = False  # by the other side
        self.reading = True  # what comes is taken
        self.created_at = loop.now()
        self.last_message_at: float | None = None  # the last whole message
        self.partial_since: float | None = None  # since when a message is there in part
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    def accepted(
        cls, loop: Loop, sock: socket.socket, owner: ConnectionOwner, most: int = BUFFER
    ) -> Connection:
        connection = cls(loop, sock, owner, most)
        loop.watch(sock, READ, connection.ready)
        return connection

    @classmethod
    def dial(cls, loop: Loop, host: str, port: int, owner: ConnectionOwner, timeout_ms: float) -> Connection:
        """Connect; `opened` or `closed` follows, within the time-out."""
        connection = cls(loop, socket.socket(socket.AF_INET, socket.SOCK_STREAM), owner)
        connection.state = ConnectionState.CONNECTING
        error = connection.sock.connect_ex((host, port))
        if error not in (0, errno.EINPROGRESS):
            connection.fail(error)
        else:
            loop.watch(connection.sock, WRITE, connection.ready)
            loop.call_later(timeout_ms, connection.dial_overdue)
        return connection

    def dial_overdue(self) -> None:
        if self.state is ConnectionState.CONNECTING:
            self.close_now("no connection in time")

    @property
    def is_open(self) -> bool:
        return self.state is ConnectionState.OPEN

    def send(self, data: bytes) -> bool:
        """Write, or keep what can't be written yet; False where the connection is no longer open or full."""
        if self.state is not ConnectionState.OPEN or len(self.waiting) + len(data) > self.most:
            return False
        self.bytes_queued += len(data)
        idle = not self.waiting
        self.waiting += data
        if idle:
            self.flush()
        return True

    def on_messages_decoded(self, whole: int, rest: bool) -> None:
        """What the owner made of the bytes: so many whole messages, and whether a part of one is left."""
        now = self.loop.now()
        self.last_message_at = now if whole else self.last_message_at
        self.partial_since = (
            None if not rest else now if whole or self.partial_since is None else self.partial_since
        )

    def pause(self) -> None:
        """Take nothing more for now: the owner has enough to do, and others wait."""
        self.reading = False
        self.watch()

    def resume(self) -> None:
        self.reading = True
        self.watch()

    def watch(self) -> None:
        if self.state in (ConnectionState.OPEN, ConnectionState.FINISHING):
            reads = READ if self.reading and self.state is ConnectionState.OPEN else 0
            self.loop.watch(self.sock, reads | (WRITE if self.waiting else 0), self.ready)

    def close_after_flush(self, last: bytes = b"") -> None:
        """Write what waits and these last bytes, whatever their number, then close."""
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.FINISHING
            self.bytes_queued += len(last)
            self.waiting += last
            self.loop.call_later(LINGER_MS, lambda: self.close_now("finished, not all written"))
            self.flush()
        elif self.state is ConnectionState.CONNECTING:
            self.close_now("finished before it was up")

    def close_now(self, reason: str) -> None:
        """Close at once; the owner hears of it in the next turn."""
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        self.loop.watch(self.sock, 0, self.ready)
        self.sock.close()
        self.loop.call_soon(lambda: self.owner.on_closed(self, reason))

    def fail(self, error: int) -> None:
        self.reset, self.refused = error == errno.ECONNRESET, error == errno.ECONNREFUSED
        self.close_now(errno.errorcode.get(error, str(error)))

    def ready(self, events: int) -> None:
        if self.state is ConnectionState.CONNECTING:
            self.connected()
            return
        if events & WRITE:
            self.flush()
        if events & READ and self.state is ConnectionState.OPEN:
            self.read()

    def connected(self) -> None:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.fail(error)
            return
        self.state = ConnectionState.OPEN
        self.loop.watch(self.sock, READ, self.ready)
        self.owner.on_opened(self)

    def read(self) -> None:
        try:
            data = self.sock.recv(CHUNK)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as fault:
            self.fail(fault.errno or 0)
            return
        if not data:
            self.close_now("closed by the other side")
            return
        self.owner.on_data(self, data)

    def flush(self) -> None:
        """Write as much as goes; watch for room while something waits."""
        try:
            while self.waiting:
                count = self.sock.send(self.waiting)
                del self.waiting[:count]
                self.bytes_written += count
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as fault:
            self.fail(fault.errno or 0)
            return
        if not self.waiting and self.state is ConnectionState.FINISHING:
            self.close_now("finished")
            return
        self.watch()


class ListenerOwner(ConnectionOwner, Protocol):
    """Whoever lets connections in."""

    def eviction_cost(self, connection: Connection) -> int:
        """How much is lost with this connection, 0 for nothing; below 0: it can't be spared."""
        ...

    def evict(self, connection: Connection) -> None: ...


class Listener:
    """Accepts connections on one address, so many at a time. Guards against clients that connect and say
    nothing, or never end what they say, and against those that keep a connection for good: seen on a churn
    day, where 128 of them held all places and half of the calls never came in. Silent ones are closed in
    time; where all places are taken, those quiet for longest make room, first the ones that never spoke."""

    def __init__(
        self, loop: Loop, host: str, port: int, owner: ListenerOwner, room: int, most: int = BUFFER
    ) -> None:
        self.loop, self.owner, self.room, self.most = loop, owner, room, most
        self.connections: set[Connection] = set()
        loop.call_later(LOOK_MS, self.look)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, port))
        self.sock.listen(512)
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        log.info("listening", extra={"front": type(owner).__name__, "port": self.address[1]})
        loop.watch(self.sock, READ, self.ready)

    def ready(self, _: int) -> None:
        """Accept what has come while places and descriptors last; the rest waits in the queue."""
        for _ in range(AT_ONCE):
            if len(self.connections) >= self.room and not self.make_room():
                break
            try:
                sock, _peer = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:  # out of descriptors: as if all places were taken
                self.make_room()
                break
            connection = Connection.accepted(self.loop, sock, self.owner, self.most)
            self.connections.add(connection)
            self.owner.on_opened(connection)
        else:
            return  # the next turn has more
        self.loop.watch(self.sock, 0, self.ready)
        self.loop.call_later(FULL_MS, self.resume)

    def make_room(self) -> bool:
        """Close some of the connections that nobody misses; whether there is a place now."""
        now = self.loop.now()
        found: list[tuple[bool, int, float, Connection]] = []
        for each in self.connections:
            last = each.created_at if each.last_message_at is None else each.last_message_at
            if each.is_open and now - last >= YOUNG_MS and (rank := self.owner.eviction_cost(each)) >= 0:
                found.append((each.last_message_at is not None, rank, last, each))
        for *_, each in sorted(found, key=lambda entry: entry[:3])[: 1 + self.room // 16]:
            self.owner.evict(each)
            self.forget(each)
        return len(self.connections) < self.room

    def look(self) -> None:
        """Now and then: whoever is silent, or speaks without an end, is closed."""
        if self.sock.fileno() >= 0 or self.connections:
            self.loop.call_later(LOOK_MS, self.look)
        now = self.loop.now()
        for each in list(self.connections):
            if each.last_message_at is None and now - each.created_at >= UNSPOKEN_MS:
                each.close_now("said nothing")
            elif each.partial_since is not None and now - each.partial_since >= HALF_MS:
                each.close_now("half a message")

    def resume(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock, READ, self.ready)

    def forget(self, connection: Connection) -> None:
        self.connections.discard(connection)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock, 0, self.ready)
            self.sock.close()
