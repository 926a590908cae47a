"""Delivery of releases: sent, acknowledged, sent again on another connection, given up at last.

A call that ended must be released towards the party concerned, its owner (a caller, or an exchange). A
release written to a connection is not delivered yet: the connection may be closing, or silent for good. This
module tracks every release until it is delivered, towards callers and exchanges alike. It uses no socket and
no clock: `ReleaseConnection` gives the state of a connection, and `ReleaseWriter` writes to it.

A release is `QUEUED` until it is sent, then `SENT`. Its delivery ends, and is counted, as

- heard: the other side acknowledged it, on any connection;
- sure (implicit acknowledgement): `IMPLICIT_ACK_MS` after it was sent to its owner, on a connection whose
  side does not acknowledge but that is still open and has received data since, so that it works;
- late: not sent by the age of `max_age_ms`, or unsure: sent by then, without an acknowledgement;
- crowded out: evicted as the oldest of more than `max_pending`;
- replaced: a later release of the same call took its place;
- any other reason given to `end_delivery`.

A release is sent again when its connection closes before that; when no acknowledgement comes within
`ACK_TIMEOUT_MS`, although the connection's side acknowledges or the connection is silent, and another
connection is suitable; and, if it was sent to another host for lack of a better connection, as soon as one of
its owner's host opens, or the first trusted one where it was sent to untrusted ones only. It is sent
`MAX_SENDS_PER_RELEASE` times at most, counted anew when a better connection than any before gets it. Guards
against releases that are lost in connections which are just closing, or sent to another caller or to clients
that handle no calls, but taken to be delivered.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Generic, Protocol, TypeVar

from mintvalve.core.nested_tables import remove_nested

ACK_TIMEOUT_MS = 300.0
IMPLICIT_ACK_MS = 1000.0
ANY_CONNECTION_AFTER_MS = 500.0  # then untrusted connections do as well: callers must be told within 1 s
CHECK_INTERVAL_MS = 50.0  # between calls of `process_timeouts` while releases are pending
MAX_SENDS_PER_RELEASE = 4
MAX_SENDS_PER_PASS = 128  # the rest waits for the next pass, so that the event loop is not blocked


class ReleaseConnection(Protocol):
    """A connection that can carry releases; compared by identity."""

    @property
    def host(self) -> str:
        """The remote host; empty if releases must not be matched by host."""
        ...

    @property
    def is_open(self) -> bool: ...

    @property
    def is_trusted(self) -> bool:
        """Whether the remote side has proven to handle calls: one of its calls stood, or it acknowledged a
        release."""
        ...

    @property
    def acknowledges(self) -> bool:
        """Whether the remote side has acknowledged a release before."""
        ...

    @property
    def last_data_at(self) -> float:
        """When data was last received, in Unix milliseconds."""
        ...


ConnectionT = TypeVar("ConnectionT", bound=ReleaseConnection)
ConnectionT_contra = TypeVar("ConnectionT_contra", bound=ReleaseConnection, contravariant=True)


class ReleaseWriter(Protocol[ConnectionT_contra]):
    """Writes releases to connections."""

    def write_release(self, connection: ConnectionT_contra, call: int, cause: int) -> bool:
        """Write a release; False if the connection is not open or its buffer is full."""
        ...


class ConnectionMatch(IntEnum):
    """How suitable a connection is for a release; the lower, the better."""

    OWNER_CONNECTION = 0  # the one that carried the set-up, or on which the owner came back
    OWNER_HOST = 1  # another one of the owner's host
    TRUSTED = 2  # a trusted one of another host
    ANY = 3
    NONE = 4  # not suitable, or tried already


class ReleaseStage(Enum):
    """Whether a release is still to be sent (again)."""

    QUEUED = "queued"
    SENT = "sent"


@dataclass(slots=True, eq=False)
class PendingRelease(Generic[ConnectionT]):
    """The release of one call that is not delivered yet. Times are Unix milliseconds."""

    call: int
    cause: int
    owner_connection: ConnectionT | None
    owner_host: str  # empty: not known
    enqueued_at: float
    stage: ReleaseStage = ReleaseStage.QUEUED
    send_count: int = 0  # since a connection as suitable as `best_match` got it first
    sent_at: float = 0.0
    sent_on: ConnectionT | None = None  # the connection on which it was sent last
    best_match: ConnectionMatch = ConnectionMatch.NONE  # of all sends since the last one that was lost
    was_sent: bool = False  # at least once
    connections_tried: tuple[ConnectionT, ...] = ()

    @property
    def reached_untrusted_only(self) -> bool:
        """Whether it was sent, and only to connections that are not known to handle calls."""
        return self.best_match is ConnectionMatch.ANY

    def may_be_sent(self, match: ConnectionMatch) -> bool:
        """Whether the limit of sends allows another one, on a connection that is as suitable as `match`."""
        return match is not ConnectionMatch.NONE and (
            self.send_count < MAX_SENDS_PER_RELEASE or match < self.best_match
        )

    @property
    def reached_owner(self) -> bool:
        """Whether it was sent to its owner; if that is not known, to a trusted connection."""
        return self.best_match in (ConnectionMatch.OWNER_CONNECTION, ConnectionMatch.OWNER_HOST) or (
            not self.owner_host and self.best_match is ConnectionMatch.TRUSTED
        )


class ReleaseDelivery(Generic[ConnectionT]):
    """All pending releases towards the callers of a front, or towards one exchange.

    A release is kept for `max_age_ms`, and at most `max_pending` are. Without `allow_other_hosts` a release
    is sent only on its owner's connection and to its owner's host. `end_counts` counts the ends of deliveries
    by their reason. `now` is in Unix milliseconds in all methods.
    """

    def __init__(
        self,
        writer: ReleaseWriter[ConnectionT],
        max_age_ms: float,
        max_pending: int,
        allow_other_hosts: bool = True,
    ) -> None:
        self.writer, self.max_age_ms, self.max_pending, self.allow_other_hosts = (
            writer,
            max_age_ms,
            max_pending,
            allow_other_hosts,
        )
        self.by_call: dict[int, PendingRelease[ConnectionT]] = {}  # the oldest first
        self.queued: dict[int, PendingRelease[ConnectionT]] = {}  # by call
        self.sent: dict[int, PendingRelease[ConnectionT]] = {}  # by call, in the order of sending
        self.by_owner_host: dict[str, dict[int, PendingRelease[ConnectionT]]] = {}
        # By the connection on which they were sent last.
        self.by_connection: dict[ConnectionT, dict[int, PendingRelease[ConnectionT]]] = {}
        self.connections: dict[ConnectionT, None] = {}  # the open ones, in the order of opening
        self.connections_by_host: dict[str, dict[ConnectionT, None]] = {}  # the same by host
        self.trusted_connections: dict[ConnectionT, None] = {}  # the trusted among them
        self.end_counts: dict[str, int] = {}
        self.sends_left = 0  # in this pass

    def __len__(self) -> int:
        return len(self.by_call)

    def __contains__(self, call: int) -> bool:
        return call in self.by_call

    # Events.

    def enqueue_release(
        self, call: int, cause: int, owner_connection: ConnectionT | None, owner_host: str, now: float
    ) -> None:
        """Add the release of a call that ended and try to send it; replaces a pending one of the same call.
        Beyond `max_pending` the oldest release is evicted."""
        self.end_delivery(call, "replaced")
        release = PendingRelease(call, cause, owner_connection, owner_host, now)
        self.by_call[call] = self.queued[call] = release
        self.by_owner_host.setdefault(owner_host, {})[call] = release
        while len(self.by_call) > self.max_pending:
            self.end_delivery(next(iter(self.by_call)), "crowded out")
        self.sends_left = 1
        if call in self.by_call:
            self.send(release, now)

    def on_connection_opened(self, connection: ConnectionT, now: float) -> None:
        """Add a connection and send the pending releases of its host on it."""
        self.connections[connection] = None
        self.connections_by_host.setdefault(connection.host, {})[connection] = None
        self.sends_left = MAX_SENDS_PER_PASS
        for release in list(self.by_owner_host.get(connection.host, {}).values()) if connection.host else []:
            # One that was sent is sent again if its acknowledgement is overdue, or only another host got it.
            if (
                release.stage is ReleaseStage.QUEUED
                or not release.reached_owner
                or self.is_ack_overdue(release, now)
            ):
                self.send_on(release, connection, now)
        if connection.is_trusted:
            self.on_connection_trusted(connection, now)

    def redirect(self, call: int, connection: ConnectionT, now: float) -> bool:
        """Send a call's release on the connection on which its owner came back; False if none is pending."""
        release = self.by_call.get(call)
        if release is None:
            return False
        release.owner_connection, release.connections_tried, release.send_count, self.sends_left = (
            connection,
            (),
            0,
            MAX_SENDS_PER_PASS,
        )
        self.send_on(release, connection, now)
        return True

    def on_connection_trusted(self, connection: ConnectionT, now: float) -> None:
        """Record that a connection is trusted now, and send on it the releases that are queued or reached
        untrusted connections only."""
        self.trusted_connections[connection] = None
        self.sends_left = MAX_SENDS_PER_PASS
        waiting = [release for release in self.sent.values() if release.reached_untrusted_only]
        for release in [*self.queued.values(), *waiting]:
            if not self.sends_left:
                break
            self.send_on(release, connection, now)

    def on_acknowledged(self, call: int) -> bool:
        """A release was acknowledged; returns False if none of this call was sent."""
        release = self.by_call.get(call)
        if release is None or not release.was_sent:
            return False
        if release.reached_owner or not release.owner_host:
            self.end_delivery(call, "heard")
        else:  # by another host; the owner's host gets it as well once it connects
            self.remove_from_stage(release)
            release.stage, release.sent_on = ReleaseStage.SENT, None
        return True

    def on_connection_closed(self, connection: ConnectionT, now: float) -> None:
        """Remove a connection. Releases that were sent on it last may be lost, and are queued again."""
        self.connections.pop(connection, None)
        self.trusted_connections.pop(connection, None)
        remove_nested(self.connections_by_host, connection.host, connection)
        unconfirmed = self.by_connection.pop(connection, {})
        self.sends_left = MAX_SENDS_PER_PASS
        for release in list(unconfirmed.values()):
            self.sent.pop(release.call, None)
            release.stage, release.sent_on, release.best_match = (
                ReleaseStage.QUEUED,
                None,
                ConnectionMatch.NONE,
            )
            release.send_count -= 1  # a lost send does not count towards the limit
            release.connections_tried = tuple(
                tried for tried in release.connections_tried if tried is not connection
            )
            self.queued[release.call] = release
            self.send(release, now)

    def process_timeouts(self, now: float) -> None:
        """End releases that are too old or implicitly acknowledged, and send the queued and overdue ones. To
        be called every `CHECK_INTERVAL_MS` while releases are pending."""
        while self.by_call:
            release = next(iter(self.by_call.values()))
            if now - release.enqueued_at < self.max_age_ms:
                break
            self.end_delivery(release.call, "late" if release.stage is ReleaseStage.QUEUED else "unsure")
        self.sends_left = MAX_SENDS_PER_PASS
        for release in list(self.sent.values()):
            if now - release.sent_at < ACK_TIMEOUT_MS or not self.sends_left:
                break
            connection = release.sent_on
            is_alive = (
                connection is not None and connection.is_open and connection.last_data_at > release.sent_at
            )
            if (
                is_alive
                and connection is not None
                and not connection.acknowledges
                and release.reached_owner
                and now - release.sent_at >= IMPLICIT_ACK_MS
            ):
                self.end_delivery(release.call, "sure")
            elif self.is_ack_overdue(release, now):
                self.send(release, now)
        for release in list(self.queued.values()) if self.connections else ():
            if not self.sends_left:
                break
            self.send(release, now)

    # Internal.

    def is_ack_overdue(self, release: PendingRelease[ConnectionT], now: float) -> bool:
        """Whether the release was sent `ACK_TIMEOUT_MS` ago without a sign of its arrival: an acknowledgement
        or, from a side that never acknowledges, data on the open connection. Data of a client that is not
        known to handle calls is no such sign."""
        connection = release.sent_on
        if (
            release.stage is not ReleaseStage.SENT
            or connection is None
            or now - release.sent_at < ACK_TIMEOUT_MS
        ):
            return False
        return (
            connection.acknowledges
            or release.reached_untrusted_only
            or not connection.is_open
            or connection.last_data_at <= release.sent_at
        )

    def match_connection(
        self, release: PendingRelease[ConnectionT], connection: ConnectionT, now: float
    ) -> ConnectionMatch:
        """How suitable the connection is for the release now."""
        if connection in release.connections_tried or not connection.is_open:
            return ConnectionMatch.NONE
        if connection is release.owner_connection:
            return ConnectionMatch.OWNER_CONNECTION
        if release.owner_host and connection.host == release.owner_host:
            return ConnectionMatch.OWNER_HOST
        if not self.allow_other_hosts:
            return ConnectionMatch.NONE
        if connection.is_trusted:
            return ConnectionMatch.TRUSTED
        return (
            ConnectionMatch.ANY
            if now - release.enqueued_at >= ANY_CONNECTION_AFTER_MS
            else ConnectionMatch.NONE
        )

    def send(self, release: PendingRelease[ConnectionT], now: float) -> None:
        """Send the release on the most suitable connection, if there is any. One that was sent to its owner
        is repeated to its owner only."""
        if release.send_count >= MAX_SENDS_PER_RELEASE or not self.sends_left:
            return
        owner_only = release.stage is ReleaseStage.SENT and release.reached_owner
        failed_writes = 0
        for connection in self.candidates(release, now, owner_only):
            if self.match_connection(release, connection, now) is not ConnectionMatch.NONE:
                if self.send_on(release, connection, now):
                    return
                failed_writes += 1  # the connection is full, or has just closed
                if failed_writes >= MAX_SENDS_PER_RELEASE:
                    return

    def candidates(
        self, release: PendingRelease[ConnectionT], now: float, owner_only: bool
    ) -> Iterator[ConnectionT]:
        """Connections in the order of their suitability, the newest of each kind first; with `owner_only`
        those of the owner alone."""
        if release.owner_connection is not None:
            yield release.owner_connection
        if release.owner_host:
            yield from reversed(self.connections_by_host.get(release.owner_host, {}))
        if not owner_only and self.allow_other_hosts:
            yield from reversed(self.trusted_connections)
            if now - release.enqueued_at >= ANY_CONNECTION_AFTER_MS:
                yield from reversed(self.connections)

    def send_on(self, release: PendingRelease[ConnectionT], connection: ConnectionT, now: float) -> bool:
        """Send the release on this connection; False if it is unsuitable, a limit is reached or the write
        fails."""
        match = self.match_connection(release, connection, now)
        if not self.sends_left or not release.may_be_sent(match):
            return False
        if not self.writer.write_release(connection, release.call, release.cause):
            return False
        self.sends_left -= 1
        self.remove_from_stage(release)
        release.send_count = 1 if match < release.best_match else release.send_count + 1
        release.stage, release.sent_at, release.sent_on, release.was_sent = (
            ReleaseStage.SENT,
            now,
            connection,
            True,
        )
        release.best_match = min(match, release.best_match)
        release.connections_tried = (*release.connections_tried, connection)
        self.sent[release.call] = release
        self.by_connection.setdefault(connection, {})[release.call] = release
        return True

    def remove_from_stage(self, release: PendingRelease[ConnectionT]) -> None:
        """Remove the release from the tables of its stage and of its connection."""
        self.queued.pop(release.call, None)
        self.sent.pop(release.call, None)
        if release.sent_on is not None:
            remove_nested(self.by_connection, release.sent_on, release.call)

    def end_delivery(self, call: int, reason: str) -> None:
        """Remove and count the pending release of a call, if there is one; `reason` is the counter's name."""
        release = self.by_call.pop(call, None)
        if release is None:
            return
        self.end_counts[reason] = self.end_counts.get(reason, 0) + 1
        self.remove_from_stage(release)
        remove_nested(self.by_owner_host, release.owner_host, call)

    def has_deliverable(self) -> bool:
        """Whether a release can still be sent, or an acknowledgement may still arrive."""
        awaiting_ack = (release.sent_on for release in self.sent.values())
        return bool(self.queued and self.connections) or any(
            connection and connection.is_open and connection.acknowledges for connection in awaiting_ack
        )
