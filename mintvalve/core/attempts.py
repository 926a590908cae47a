"""The attempts and standing calls at one exchange, indexed by call and by the connection that each uses.

A connection is any hashable object; it is only compared. Uses neither sockets nor a clock.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from mintvalve.core.calls import Attempt, CallState
from mintvalve.core.nested_tables import remove_nested

ConnectionT = TypeVar("ConnectionT", bound=Hashable)

MAX_LATE_ANSWER_CALLS = 512  # calls for each exchange


@dataclass(slots=True, eq=False)
class OutstandingAttempt(Generic[ConnectionT]):
    """An attempt from its set-up until it fails or the call that it led to ends."""

    attempt: Attempt
    connection: ConnectionT | None = None  # None: waits for a connection, or its connection closed
    bytes_queued_before: int = 0  # queued on the connection in all, before the set-up
    set_up_bytes: int = 0
    reads_before: int = 0  # reads of the connection before the set-up was sent

    @property
    def identity(self) -> int:
        return self.attempt.call.request.identity

    @property
    def is_standing(self) -> bool:
        return self.attempt.call.state is CallState.STANDING

    @property
    def is_trying(self) -> bool:
        return self.attempt.call.state is CallState.TRYING


class AttemptTable(Generic[ConnectionT]):
    """All outstanding attempts at one exchange, by the identity of their calls.

    The owner removes an entry when its attempt or call ends (`pop`), also for those that `remove_connection`
    returns, so there are never more entries than open calls.
    """

    def __init__(self) -> None:
        self.by_identity: dict[int, OutstandingAttempt[ConnectionT]] = {}
        self.by_connection: dict[ConnectionT, dict[int, OutstandingAttempt[ConnectionT]]] = {}
        # By identity: the connections on which an answer to an earlier attempt of the call may still arrive.
        self.late_answer_connections: dict[int, set[ConnectionT]] = {}

    def __len__(self) -> int:
        return len(self.by_identity)

    def add(self, attempt: Attempt) -> OutstandingAttempt[ConnectionT]:
        """Add an attempt whose set-up has not been sent yet; replaces an earlier one of the same call."""
        identity = attempt.call.request.identity
        self.pop(identity)
        outstanding = self.by_identity[identity] = OutstandingAttempt(attempt)
        return outstanding

    def bind(
        self,
        outstanding: OutstandingAttempt[ConnectionT],
        connection: ConnectionT,
        bytes_queued_before: int,
        reads_before: int,
    ) -> None:
        """Record that the attempt's set-up is sent on this connection."""
        self.unbind(outstanding)
        outstanding.connection, outstanding.bytes_queued_before, outstanding.reads_before = (
            connection,
            bytes_queued_before,
            reads_before,
        )
        self.by_connection.setdefault(connection, {})[outstanding.identity] = outstanding

    def on_set_up_withdrawn(self, withdrawn: OutstandingAttempt[ConnectionT]) -> None:
        """Record that an attempt's set-up was taken out of what is still to be written on its connection."""
        if withdrawn.connection is None:
            return
        for outstanding in self.by_connection.get(withdrawn.connection, {}).values():
            if outstanding.bytes_queued_before > withdrawn.bytes_queued_before:
                outstanding.bytes_queued_before -= withdrawn.set_up_bytes

    def unbind(self, outstanding: OutstandingAttempt[ConnectionT]) -> None:
        """Detach the attempt from its connection, if it has one."""
        if outstanding.connection is not None:
            remove_nested(self.by_connection, outstanding.connection, outstanding.identity)
        outstanding.connection = None

    def pop(self, identity: int) -> OutstandingAttempt[ConnectionT] | None:
        """Remove an attempt that ended, or whose call ended; None if there is none. The returned attempt
        keeps its connection, so that the caller can see where its set-up was sent."""
        outstanding = self.by_identity.pop(identity, None)
        if outstanding is not None and outstanding.connection is not None:
            remove_nested(self.by_connection, outstanding.connection, identity)
        return outstanding

    def set_ups_without_connection(self) -> list[OutstandingAttempt[ConnectionT]]:
        """Attempts whose set-up waits for a connection."""
        return [
            attempt
            for attempt in self.by_identity.values()
            if attempt.connection is None and attempt.is_trying
        ]

    def standing_without_connection(self) -> list[OutstandingAttempt[ConnectionT]]:
        """Standing calls whose connection has closed."""
        return [
            attempt
            for attempt in self.by_identity.values()
            if attempt.connection is None and attempt.is_standing
        ]

    def is_needed(self, connection: ConnectionT, trying_only: bool) -> bool:
        """Whether anything is outstanding on this connection; with `trying_only` standing calls do not count,
        since they can do without their connection."""
        attempts = self.by_connection.get(connection, {}).values()
        return any(attempt.is_trying for attempt in attempts) if trying_only else bool(attempts)

    # Matching of messages to attempts.

    def expect_late_answer(self, identity: int, connection: ConnectionT) -> None:
        """Record that an attempt of the call ended, and that an answer to it may still arrive on this
        connection. Beyond `MAX_LATE_ANSWER_CALLS` the oldest record is evicted."""
        self.late_answer_connections.setdefault(identity, set()).add(connection)
        if len(self.late_answer_connections) > MAX_LATE_ANSWER_CALLS:
            del self.late_answer_connections[next(iter(self.late_answer_connections))]

    def without_late_answers(self, identity: int, connections: Iterable[ConnectionT]) -> list[ConnectionT]:
        """Those of `connections` on which no answer to an earlier attempt of the call can arrive. Guards
        against passing on a late answer to an ended attempt as the answer to the current one."""
        excluded = self.late_answer_connections.get(identity, ())
        return [connection for connection in connections if connection not in excluded]

    def match_message(
        self, identity: int, connection: ConnectionT, read_count: int
    ) -> tuple[OutstandingAttempt[ConnectionT] | None, bool]:
        """Find the attempt that a message belongs to, if any, and whether the message is stale.

        The message arrived on `connection` with its read number `read_count`. It is stale, and belongs to an
        earlier attempt of the call, if it came on another connection than the current attempt's, or before
        that one's set-up was sent.
        """
        outstanding = self.by_identity.get(identity)
        if (
            outstanding is not None
            and outstanding.is_trying
            and (outstanding.connection is not connection or read_count <= outstanding.reads_before)
        ):
            return None, True
        return outstanding, False

    def remove_connection(self, connection: ConnectionT) -> list[OutstandingAttempt[ConnectionT]]:
        """Handle the close of a connection: standing calls go on without one; attempts in progress on it are
        lost and returned, still to be removed with `pop`."""
        lost = []
        for outstanding in list(self.by_connection.get(connection, {}).values()):
            if outstanding.is_standing:
                self.unbind(outstanding)
            else:
                lost.append(outstanding)
        for identity, connections in list(self.late_answer_connections.items()):
            connections.discard(connection)
            if not connections:
                del self.late_answer_connections[identity]
        return lost
