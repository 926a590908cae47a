"""Releases of calls whose caller is not known, told to every caller.

A controller that was restarted knows none of its earlier calls. When an exchange releases one of them, any of
the callers may be the one concerned, so each connection gets a copy. A caller that does not know the call
ignores it.

The releases form a log in the order of their arrival, and each connection has a position in it. One that
opens later starts at the oldest release: a copy that was lost with a connection reaches its caller on the
next one, without a record of who has got what. Uses neither sockets nor a clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from mintvalve.core.release_delivery import ANY_CONNECTION_AFTER_MS, IMPLICIT_ACK_MS, ReleaseConnection

MAX_COPIES_PER_PASS = 512  # the rest waits for the next pass, so that the event loop is not blocked

ConnectionT = TypeVar("ConnectionT", bound=ReleaseConnection)
ConnectionT_contra = TypeVar("ConnectionT_contra", bound=ReleaseConnection, contravariant=True)


class CopyWriter(Protocol[ConnectionT_contra]):
    """Writes copies of releases to connections."""

    def write_copy(self, connection: ConnectionT_contra, call: int, cause: int) -> bool:
        """Write a release; False, without an effect, where the connection can't take it now."""
        ...


@dataclass(frozen=True, slots=True)
class BroadcastRelease:
    """One release of the log; `added_at` is in Unix milliseconds."""

    call: int
    cause: int
    added_at: float


@dataclass(slots=True, eq=False)
class Recipient:
    """What one connection has got: all releases with a sequence number below `next_sequence`."""

    next_sequence: int = 0
    unacknowledged: int = 0
    last_sent_at: float = 0.0


class ReleaseBroadcast(Generic[ConnectionT]):
    """The log of releases, and the position of each connection in it.

    A release is kept for `max_age_ms`, and at most `max_releases` are: beyond that the oldest is dropped.
    There is one recipient for each open connection. `now` is in Unix milliseconds in all methods.
    """

    def __init__(self, writer: CopyWriter[ConnectionT], max_age_ms: float, max_releases: int) -> None:
        self.writer, self.max_age_ms, self.max_releases = writer, max_age_ms, max_releases
        self.log: dict[int, BroadcastRelease] = {}  # by sequence number, the oldest first
        self.sequence_by_call: dict[int, int] = {}
        self.next_sequence = 0
        self.recipients: dict[ConnectionT, Recipient] = {}

    def __len__(self) -> int:
        return len(self.log)

    def add(self, call: int, cause: int, now: float) -> None:
        """Add the release of a call; `send_copies` sends it. One that is in the log already is kept."""
        if call in self.sequence_by_call:
            return
        self.log[self.next_sequence] = BroadcastRelease(call, cause, now)
        self.sequence_by_call[call] = self.next_sequence
        self.next_sequence += 1
        if len(self.log) > self.max_releases:
            self.remove(next(iter(self.log)))

    def discard(self, call: int) -> None:
        """Remove the release of a call, because its caller has released it too."""
        if (sequence := self.sequence_by_call.get(call)) is not None:
            self.remove(sequence)

    def on_connection_opened(self, connection: ConnectionT) -> None:
        """Add a recipient, which gets all releases of the log."""
        self.recipients[connection] = Recipient()

    def on_connection_closed(self, connection: ConnectionT) -> None:
        """Remove a recipient; its caller gets the releases again on its next connection."""
        self.recipients.pop(connection, None)

    def on_acknowledged(self, connection: ConnectionT, call: int) -> bool:
        """A recipient acknowledged the release of a call; False where it was not sent one."""
        recipient, sequence = self.recipients.get(connection), self.sequence_by_call.get(call)
        if recipient is None or sequence is None or sequence >= recipient.next_sequence:
            return False
        recipient.unacknowledged = max(0, recipient.unacknowledged - 1)
        return True

    def send_copies(self, now: float) -> None:
        """Drop the releases that are too old, and send the others to the connections that lack them."""
        self.remove_expired(now)
        copies_left = MAX_COPIES_PER_PASS
        for connection in self.connections_behind():
            copies_left -= self.send_to(connection, now, copies_left)
            if not copies_left:
                return

    def has_deliverable(self, now: float) -> bool:
        """Whether a release can still be sent, or an acknowledgement may still arrive."""
        return any(
            self.is_behind(connection)
            or (
                connection.acknowledges
                and recipient.unacknowledged > 0
                and now - recipient.last_sent_at < IMPLICIT_ACK_MS
            )
            for connection, recipient in self.recipients.items()
            if connection.is_open
        )

    # Internal.

    def connections_behind(self) -> list[ConnectionT]:
        """The connections that lack a release, in the order in which they are served.

        Those that are known to handle calls come first, and among them one of each host: a host with many
        connections must not keep the others waiting.
        """
        connections_before: dict[str, int] = {}
        ranked: list[tuple[bool, int, ConnectionT]] = []
        for connection in reversed(self.recipients):
            if connection.is_open and self.is_behind(connection):
                rank = connections_before.get(connection.host, 0)
                connections_before[connection.host] = rank + 1
                ranked.append((not connection.is_trusted, rank, connection))
        return [connection for *_, connection in sorted(ranked, key=lambda entry: entry[:2])]

    def is_behind(self, connection: ConnectionT) -> bool:
        return bool(self.log) and self.recipients[connection].next_sequence < self.next_sequence

    def send_to(self, connection: ConnectionT, now: float, max_copies: int) -> int:
        """Send a connection the releases that it lacks; returns how many were sent.

        One that is not known to handle calls gets a release only after `ANY_CONNECTION_AFTER_MS`.
        """
        recipient, copies = self.recipients[connection], 0
        first = max(recipient.next_sequence, next(iter(self.log)))
        for sequence in range(first, self.next_sequence):
            release = self.log.get(sequence)
            if release is not None:
                is_early = now - release.added_at < ANY_CONNECTION_AFTER_MS
                if copies >= max_copies or (is_early and not connection.is_trusted):
                    break
                if not self.writer.write_copy(connection, release.call, release.cause):
                    break
                copies += 1
                recipient.unacknowledged += 1
                recipient.last_sent_at = now
            recipient.next_sequence = sequence + 1
        return copies

    def remove_expired(self, now: float) -> None:
        while self.log:
            sequence, release = next(iter(self.log.items()))
            if now - release.added_at < self.max_age_ms:
                return
            self.remove(sequence)

    def remove(self, sequence: int) -> None:
        del self.sequence_by_call[self.log.pop(sequence).call]
