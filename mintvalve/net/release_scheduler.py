"""Runs `core/release_delivery.py` and `core/release_broadcast.py` with the loop's clock and deadlines."""

from __future__ import annotations

from typing import Generic, TypeVar

from mintvalve.core.release_broadcast import CopyWriter, ReleaseBroadcast
from mintvalve.core.release_delivery import (
    CHECK_INTERVAL_MS,
    ReleaseDelivery,
    ReleaseWriter,
    ReleaseConnection,
)
from mintvalve.net.loop import Loop

ConnectionT = TypeVar("ConnectionT", bound=ReleaseConnection)


class ReleaseScheduler(Generic[ConnectionT]):
    """Pending releases towards all callers of a front, or towards one exchange.

    Forwards events to a `ReleaseDelivery` with the current time, and runs its time-outs every
    CHECK_INTERVAL_MS while releases are pending. The parameters `writer`, `max_age_ms`, `max_pending` and
    `allow_other_hosts` are those of `ReleaseDelivery`.
    """

    def __init__(
        self,
        loop: Loop,
        writer: ReleaseWriter[ConnectionT],
        max_age_ms: float,
        max_pending: int,
        allow_other_hosts: bool = True,
    ) -> None:
        self.loop = loop
        self.delivery: ReleaseDelivery[ConnectionT] = ReleaseDelivery(
            writer, max_age_ms, max_pending, allow_other_hosts
        )
        self.is_scheduled = False
        self.is_stopped = False

    def __len__(self) -> int:
        return len(self.delivery)

    def __contains__(self, call: int) -> bool:
        return call in self.delivery

    def enqueue_release(
        self, call: int, cause: int, owner_connection: ConnectionT | None, owner_host: str
    ) -> None:
        """Send the release of a call with a cause, and repeat it until it counts as delivered or expires.

        It goes to `owner_connection`, the connection of the call's set-up, or to another one, preferably of
        `owner_host`; empty where the host is not known.
        """
        self.delivery.enqueue_release(call, cause, owner_connection, owner_host, self.loop.now())
        self.schedule_timeouts()

    def on_connection_opened(self, connection: ConnectionT) -> None:
        """A connection has been established: send the releases that wait for its host."""
        self.delivery.on_connection_opened(connection, self.loop.now())

    def on_connection_trusted(self, connection: ConnectionT) -> None:
        """A connection has become trusted: send the releases that no better connection can carry."""
        self.delivery.on_connection_trusted(connection, self.loop.now())

    def on_connection_closed(self, connection: ConnectionT) -> None:
        """A connection has been closed: send the unconfirmed releases written to it on other connections."""
        self.delivery.on_connection_closed(connection, self.loop.now())

    def on_acknowledged(self, call: int) -> bool:
        """The peer acknowledged a call's release; False where none was sent."""
        return self.delivery.on_acknowledged(call)

    def redirect(self, call: int, connection: ConnectionT) -> bool:
        """Send a call's pending release on the connection on which its owner has returned; False for none."""
        return self.delivery.redirect(call, connection, self.loop.now())

    def discard(self, call: int) -> None:
        """Drop the pending release of a call, because the peer has released it too or sets it up again."""
        self.delivery.end_delivery(call, "crossed")

    def has_deliverable(self) -> bool:
        """Whether a release is still unsent or unacknowledged and a connection could still carry it."""
        return self.delivery.has_deliverable()

    def stop(self) -> None:
        """Run no further time-outs: the peer is gone for good."""
        self.is_stopped = True

    def schedule_timeouts(self) -> None:
        """Run the time-outs after CHECK_INTERVAL_MS, unless that is scheduled already."""
        if not self.is_scheduled and not self.is_stopped:
            self.is_scheduled = True
            self.loop.call_later(CHECK_INTERVAL_MS, self.process_timeouts)

    def process_timeouts(self) -> None:
        """Run the time-outs of the delivery, and schedule the next run while releases are pending."""
        self.is_scheduled = False
        if not self.is_stopped:
            self.delivery.process_timeouts(self.loop.now())
            if self.delivery:
                self.schedule_timeouts()


class BroadcastScheduler(Generic[ConnectionT]):
    """Releases whose caller is not known, towards all callers of a front.

    Forwards events to a `ReleaseBroadcast` with the current time. Copies are sent in the next iteration of
    the loop, and then every CHECK_INTERVAL_MS while releases are kept. The parameters are those of
    `ReleaseBroadcast`.
    """

    def __init__(
        self, loop: Loop, writer: CopyWriter[ConnectionT], max_age_ms: float, max_releases: int
    ) -> None:
        self.loop = loop
        self.broadcast: ReleaseBroadcast[ConnectionT] = ReleaseBroadcast(writer, max_age_ms, max_releases)
        self.is_running = False
        self.is_wanted_soon = False

    def __len__(self) -> int:
        return len(self.broadcast)

    def add(self, call: int, cause: int) -> None:
        """Send the release of a call to all callers, also to those that connect later."""
        self.broadcast.add(call, cause, self.loop.now())
        self.send_soon()

    def discard(self, call: int) -> None:
        """Drop the release of a call, because its caller has released it too."""
        self.broadcast.discard(call)

    def on_connection_opened(self, connection: ConnectionT) -> None:
        """A connection has been established; it gets all releases that are kept."""
        self.broadcast.on_connection_opened(connection)
        self.send_soon()

    def on_connection_trusted(self) -> None:
        """A connection has become trusted, so it need not wait for its copies any more."""
        self.send_soon()

    def on_connection_closed(self, connection: ConnectionT) -> None:
        """A connection has been closed."""
        self.broadcast.on_connection_closed(connection)

    def on_acknowledged(self, connection: ConnectionT, call: int) -> bool:
        """A connection acknowledged the release of a call; False where it was not sent one."""
        return self.broadcast.on_acknowledged(connection, call)

    def has_deliverable(self) -> bool:
        """Whether a release can still be sent, or an acknowledgement may still arrive."""
        return self.broadcast.has_deliverable(self.loop.now())

    def send_soon(self) -> None:
        """Send copies in the next iteration of the loop, if there are any releases."""
        if self.broadcast and not self.is_wanted_soon:
            self.is_wanted_soon = True
            self.loop.call_soon(self.send_now)

    def send_now(self) -> None:
        """Send copies once, and keep on sending them periodically."""
        self.is_wanted_soon = False
        self.broadcast.send_copies(self.loop.now())
        if self.broadcast and not self.is_running:
            self.is_running = True
            self.loop.call_later(CHECK_INTERVAL_MS, self.run_periodically)

    def run_periodically(self) -> None:
        """Send copies every CHECK_INTERVAL_MS until no release is kept."""
        self.is_running = False
        self.send_now()
