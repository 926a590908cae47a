"""The program's event loop: waits for sockets and deadlines and calls their handlers, in one thread."""

from __future__ import annotations

import logging
import selectors
import socket
import time
from collections.abc import Callable

from mintvalve.net.deadlines import Deadline, Deadlines

log = logging.getLogger("mintvalve.loop")
READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
MAX_WAIT_S = 1.0
ReadyHandler = Callable[[int], None]  # called with the events that occurred: READ, WRITE or both


def unix_ms() -> float:
    """Time of the system's clock in Unix milliseconds."""
    return time.time() * 1000.0


class Loop:
    """Calls the handlers of ready sockets and the actions of due deadlines.

    An exception in one of them is logged and stops neither the others nor the loop.
    """

    def __init__(self, clock: Callable[[], float] = unix_ms) -> None:
        self.selector = selectors.DefaultSelector()
        self.deadlines = Deadlines()
        self.clock, self.last_now_ms = clock, 0.0
        self.running = False

    def now(self) -> float:
        """Unix milliseconds that never go backwards, even where the system's clock is set back."""
        self.last_now_ms = max(self.last_now_ms, self.clock())
        return self.last_now_ms

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> Deadline:
        """Run `action` once, after `delay_ms`; the deadline returned can be cancelled."""
        return self.deadlines.schedule(self.now() + delay_ms, action)

    def call_soon(self, action: Callable[[], None]) -> Deadline:
        """Run `action` once, from the loop itself and not within the caller's own call."""
        return self.call_later(0.0, action)

    def watch(self, sock: socket.socket, events: int, handler: ReadyHandler) -> None:
        """Call `handler` whenever the socket is ready for `events`, in place of an earlier handler.

        With `events` 0 the socket is no longer watched. A closed socket is ignored.
        """
        if sock.fileno() < 0:
            return
        is_registered = sock.fileno() in self.selector.get_map()
        if not events:
            if is_registered:
                self.selector.unregister(sock)
        elif is_registered:
            self.selector.modify(sock, events, handler)
        else:
            self.selector.register(sock, events, handler)

    def run_once(self, max_wait_ms: float = MAX_WAIT_S * 1000.0) -> None:
        """Run one iteration: wait for sockets, the next deadline or `max_wait_ms`, then call what is ready
        and what is due."""
        due_at = self.deadlines.next_due_at()
        wait_ms = max_wait_ms if due_at is None else min(max(due_at - self.now(), 0.0), max_wait_ms)
        for key, events in self.selector.select(wait_ms / 1000.0):
            registered = self.selector.get_map().get(key.fd)  # a closed socket has no descriptor
            if registered is None or registered.fileobj is not key.fileobj:
                continue  # unregistered earlier in this iteration; its descriptor may already be reused
            self.call_guarded(lambda key=key, events=events: key.data(events))  # type: ignore[misc]
        self.call_guarded(lambda: self.deadlines.run_due(self.now()))

    def call_guarded(self, action: Callable[[], None]) -> None:
        """Call `action` and log an exception that it raises."""
        try:
            action()
        except Exception:
            log.exception("event handler failed; the loop continues")

    def run(self) -> None:
        """Run iterations until `stop` is called."""
        self.running = True
        while self.running:
            self.run_once()

    def stop(self) -> None:
        """Make `run` return after the current iteration."""
        self.running = False

    def close(self) -> None:
        """Release the selector; the loop can't be used afterwards."""
        self.selector.close()
