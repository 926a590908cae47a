"""Releases on the loop: the machine of `core/release_delivery.py` with the program's clock and deadlines."""

from __future__ import annotations

from typing import Generic, TypeVar

from mintvalve.core.release_delivery import LOOK_MS, ReleaseDelivery, ReleaseWriter, ReleaseConnection
from mintvalve.net.loop import Loop

W = TypeVar("W", bound=ReleaseConnection)


class ReleaseScheduler(Generic[W]):
    """All releases owed to one side; looks at them while there are any, and sleeps while there are none."""

    def __init__(
        self, loop: Loop, mouth: ReleaseWriter[W], keep_ms: float, most: int, strangers: bool = True
    ) -> None:
        self.loop = loop
        self.releases: ReleaseDelivery[W] = ReleaseDelivery(mouth, keep_ms, most, strangers)
        self.awake = False
        self.retired = False

    def __len__(self) -> int:
        return len(self.releases)

    def __contains__(self, call: int) -> bool:
        return call in self.releases

    def enqueue_release(self, call: int, cause: int, home: W | None, host: str) -> None:
        """A call is over, and its side is to hear so."""
        self.releases.enqueue_release(call, cause, home, host, self.loop.now())
        self.wake()

    def on_connection_opened(self, way: W) -> None:
        self.releases.on_connection_opened(way, self.loop.now())

    def on_connection_trusted(self, way: W) -> None:
        self.releases.on_connection_trusted(way, self.loop.now())

    def on_connection_closed(self, way: W) -> None:
        self.releases.on_connection_closed(way, self.loop.now())

    def on_acknowledged(self, call: int) -> bool:
        return self.releases.on_acknowledged(call)

    def redirect(self, call: int, way: W) -> bool:
        return self.releases.redirect(call, way, self.loop.now())

    def discard(self, call: int) -> None:
        """Its own side has ended the call meanwhile and needs no word of it."""
        self.releases.end(call, "crossed")

    def has_deliverable(self) -> bool:
        """Somebody has not heard yet, and still can."""
        return self.releases.has_deliverable()

    def retire(self) -> None:
        """Nobody is there any more who could be told."""
        self.retired = True

    def wake(self) -> None:
        if not self.awake and not self.retired:
            self.awake = True
            self.loop.call_later(LOOK_MS, self.look)

    def look(self) -> None:
        self.awake = False
        if not self.retired:
            self.releases.look(self.loop.now())
            if self.releases:
                self.wake()
