"""How many messages of each peer are handled in one iteration of the loop."""

from __future__ import annotations

from collections.abc import Callable

from mintvalve.net.connection import Connection
from mintvalve.net.loop import Loop

MESSAGES_PER_TURN = 32  # of one connection
MESSAGES_PER_ITERATION = 512  # of all connections of one owner; as many again of those in the queue


class MessageTurns:
    """Shares the iterations of the loop among the connections of one owner.

    A connection whose messages are not all handled in its turn is queued for another one, and is not read
    from until then. The longer the queue, the fewer messages are handled in a turn. Guards against a burst of
    one peer, or of hundreds, delaying everybody else.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        # What handles the rest of the messages, by connection, in the order of the turns.
        self.queue: dict[Connection, Callable[[], None]] = {}
        self.handled_in_iteration = 0  # outside the queue
        self.is_running = self.is_scheduled = False

    @property
    def message_limit(self) -> int:
        """How many messages of a connection may be handled in its turn; 0 if it has to wait for one."""
        if self.handled_in_iteration >= MESSAGES_PER_ITERATION and not self.is_running:
            return 0
        return max(1, min(MESSAGES_PER_TURN, MESSAGES_PER_ITERATION // (1 + len(self.queue))))

    def end(
        self,
        connection: Connection,
        message_count: int,
        message_limit: int,
        handle_rest: Callable[[], None],
    ) -> bool:
        """End a turn of at most `message_limit` messages, in which `message_count` were handled.

        A connection that may have more is queued, and `handle_rest` is called in its next turn; while its
        peer does not read what it is sent, the connection waits for that first. Returns whether it waits.
        """
        self.count(message_count)
        if connection.is_congested:
            connection.wait_until_uncongested(handle_rest)
            return True
        if message_count < message_limit or not connection.is_open:
            return False
        connection.pause_reading()
        self.queue[connection] = handle_rest
        self.schedule()
        return True

    def count(self, message_count: int) -> None:
        """Count messages that were handled; the count starts anew with the next iteration of the loop."""
        if self.is_running or not message_count:
            return
        if not self.handled_in_iteration:
            self.loop.call_soon(self.begin_iteration)
        self.handled_in_iteration += message_count

    def begin_iteration(self) -> None:
        self.handled_in_iteration = 0

    def schedule(self) -> None:
        if self.queue and not self.is_scheduled and not self.is_running:
            self.is_scheduled = True
            self.loop.call_soon(self.run)

    def run(self) -> None:
        """Give the connections at the front of the queue a turn each."""
        self.is_scheduled, self.is_running = False, True
        turn_count = MESSAGES_PER_ITERATION // self.message_limit
        try:
            for connection in list(self.queue)[:turn_count]:
                if (handle_rest := self.queue.pop(connection, None)) is not None:
                    self.run_turn(connection, handle_rest)
        finally:
            self.is_running = False
            self.schedule()

    def run_turn(self, connection: Connection, handle_rest: Callable[[], None]) -> None:
        """Let a connection's owner handle its messages; read from it again once it is not queued any more."""
        if not connection.is_open:
            return
        handle_rest()
        if connection not in self.queue and connection.on_uncongested is None:
            connection.resume_reading()

    def is_waiting(self, connection: Connection) -> bool:
        """Whether messages of a connection may wait for its turn."""
        return connection in self.queue or connection.on_uncongested is not None

    def on_closed(self, connection: Connection) -> None:
        """Forget a connection that has been closed."""
        self.queue.pop(connection, None)
