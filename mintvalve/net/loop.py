"""The one loop: it waits for sockets and deadlines, and hands each turn to whoever asked for it."""

from __future__ import annotations

import logging
import selectors
import socket
import time
from collections.abc import Callable

from mintvalve.net.deadlines import Deadline, Deadlines

log = logging.getLogger("mintvalve.loop")
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
IDLE_S = 1.0  # s; the longest sleep without a deadline
Handler = Callable[[int], None]


def unix_ms() -> float:
    """The system's clock in milliseconds."""
    return time.time() * 1000.0


class Loop:
    """Sockets by selectors, time by one sorted structure of deadlines."""

    def __init__(self, clock: Callable[[], float] = unix_ms) -> None:
        self.selector = selectors.DefaultSelector()
        self.deadlines = Deadlines()
        self.clock, self.last = clock, 0.0
        self.running = False

    def now(self) -> float:
        """Unix milliseconds that never run backwards, even where the system's clock is set back."""
        self.last = max(self.last, self.clock())
        return self.last

    def call_later(self, ms: float, action: Callable[[], None]) -> Deadline:
        return self.deadlines.at(self.now() + ms, action)

    def call_soon(self, action: Callable[[], None]) -> Deadline:
        """In the next turn, when no caller of ours is in the middle of something."""
        return self.call_later(0.0, action)

    def watch(self, sock: socket.socket, events: int, handler: Handler) -> None:
        """Call `handler` when the socket is ready for `events`; 0 watches it no more. A closed one is ready
        for nothing."""
        if sock.fileno() < 0:
            return
        known = sock.fileno() in self.selector.get_map()
        if not events:
            if known:
                self.selector.unregister(sock)
        elif known:
            self.selector.modify(sock, events, handler)
        else:
            self.selector.register(sock, events, handler)

    def turn(self, most_ms: float = IDLE_S * 1000.0) -> None:
        """One turn: wait, serve what is ready, sweep the deadlines."""
        due = self.deadlines.next_at()
        wait = most_ms if due is None else min(max(due - self.now(), 0.0), most_ms)
        for key, events in self.selector.select(wait / 1000.0):
            kept = self.selector.get_map().get(key.fd)  # by number: a closed socket can't be asked for
            if kept is None or kept.fileobj is not key.fileobj:
                continue  # forgotten earlier in this turn, and its number may serve another one already
            self.guarded(lambda key=key, events=events: key.data(events))  # type: ignore[misc]
        self.guarded(lambda: self.deadlines.sweep(self.now()))

    def guarded(self, action: Callable[[], None]) -> None:
        """A fault in one handler is logged; the others and the program go on."""
        try:
            action()
        except Exception:
            log.exception("a handler failed")

    def run(self) -> None:
        self.running = True
        while self.running:
            self.turn()

    def stop(self) -> None:
        self.running = False

    def close(self) -> None:
        self.selector.close()
