"""Clients that wait for the end of a call that is not known here, as after a restart of the program."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

MAX_FOLLOWED_CALLS = 256  # for each client; beyond that the oldest entry is dropped

ClientT = TypeVar("ClientT", bound=Hashable)


class UnknownCallFollowers(Generic[ClientT]):
    """The client that follows each unknown call: the last one that asked for it.

    A client's entries are removed when it leaves, so that there are at most MAX_FOLLOWED_CALLS for each.
    """

    def __init__(self) -> None:
        self.client_by_call: dict[int, ClientT] = {}
        self.calls_by_client: dict[ClientT, dict[int, None]] = {}

    def add(self, call: int, client: ClientT) -> None:
        """Record that a client waits for the end of a call, in place of an earlier one."""
        self.pop(call)
        calls = self.calls_by_client.setdefault(client, {})
        calls[call] = None
        self.client_by_call[call] = client
        if len(calls) > MAX_FOLLOWED_CALLS:
            self.pop(next(iter(calls)))

    def pop(self, call: int) -> ClientT | None:
        """Remove a call, and return the client that waits for its end, if there is one."""
        client = self.client_by_call.pop(call, None)
        if client is not None:
            calls = self.calls_by_client[client]
            del calls[call]
            if not calls:
                del self.calls_by_client[client]
        return client

    def remove_client(self, client: ClientT) -> None:
        """Remove all entries of a client that has left."""
        for call in self.calls_by_client.pop(client, {}):
            del self.client_by_call[call]
