"""Delivery of releases over fake connections that either side may close at any time."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mintvalve.core.release_delivery import (
    ACK_TIMEOUT_MS,
    ANY_CONNECTION_AFTER_MS,
    MAX_SENDS_PER_RELEASE,
    MAX_SENDS_PER_PASS,
    IMPLICIT_ACK_MS,
    ReleaseDelivery,
)

MAX_AGE_MS = 30_000.0


@dataclass(eq=False)
class FakeConnection:
    """A connection that buffers the written releases until the remote side reads; a close discards them."""

    host: str
    acknowledges: bool = False
    is_trusted: bool = False
    is_open: bool = True
    last_data_at: float = -math.inf
    unread: list[int] = field(default_factory=list)


class FakeNetwork:
    """Hosts with their connections; records by call on which connections its release was read."""

    def __init__(
        self, max_age_ms: float = MAX_AGE_MS, max_pending: int = 100, allow_other_hosts: bool = True
    ) -> None:
        self.now = 0.0
        self.delivery: ReleaseDelivery[FakeConnection] = ReleaseDelivery(
            self, max_age_ms, max_pending, allow_other_hosts
        )
        self.readers: dict[int, list[FakeConnection]] = {}
        self.full_connections: set[FakeConnection] = set()
        self.ends = 0

    def write_release(self, connection: FakeConnection, call: int, cause: int) -> bool:
        if not connection.is_open or connection in self.full_connections:
            return False
        connection.unread.append(call)
        return True

    def connect(self, host: str, acknowledges: bool = False, is_trusted: bool = False) -> FakeConnection:
        connection = FakeConnection(host, acknowledges, is_trusted)
        self.delivery.on_connection_opened(connection, self.now)
        return connection

    def enqueue(self, call: int, owner_connection: FakeConnection | None, owner_host: str = "") -> None:
        self.delivery.enqueue_release(
            call, 16, owner_connection, owner_connection.host if owner_connection else owner_host, self.now
        )

    def read_all(self, connection: FakeConnection, acknowledge: bool = True) -> list[int]:
        """The remote side reads, and acknowledges, all releases in the buffer; returns their calls."""
        read, connection.unread = connection.unread, []
        if read:
            connection.last_data_at = self.now
        for call in read:
            self.readers.setdefault(call, []).append(connection)
            if acknowledge and connection.acknowledges:
                self.delivery.on_acknowledged(call)
        return read

    def close(self, connection: FakeConnection) -> None:
        connection.is_open, connection.unread = False, []
        self.delivery.on_connection_closed(connection, self.now)

    def advance(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + 50.0)
            self.delivery.process_timeouts(self.now)

    def was_read_by_host(self, call: int, host: str) -> bool:
        """Whether a connection of the host has read the release of a call."""
        return any(connection.host == host for connection in self.readers.get(call, []))

    def was_read_by_a_caller(self, call: int) -> bool:
        """Whether a connection that is known to handle calls has read the release of a call."""
        return any(
            connection.acknowledges or connection.is_trusted for connection in self.readers.get(call, [])
        )

    def is_empty(self) -> bool:
        delivery = self.delivery
        return not (
            delivery.by_call
            or delivery.queued
            or delivery.sent
            or delivery.by_owner_host
            or delivery.by_connection
        )


def test_a_release_lost_in_a_closing_connection_is_sent_again() -> None:
    # Guards against taking a write for a delivery: the caller closes before it reads.
    network = FakeNetwork()
    owner = network.connect("a", acknowledges=True)
    network.enqueue(1, owner)
    network.close(owner)
    assert network.readers == {}
    reconnected = network.connect("a", acknowledges=True)
    assert network.read_all(reconnected) == [1] and network.is_empty()


def test_an_overdue_acknowledgement_leads_to_a_retry_on_another_connection() -> None:
    network = FakeNetwork()
    owner, other = network.connect("a", acknowledges=True), network.connect("a", acknowledges=True)
    network.enqueue(1, owner)
    network.advance(ACK_TIMEOUT_MS - 50.0)
    assert other.unread == []
    network.advance(100.0)
    assert owner.unread == other.unread == [1]


def test_later_data_on_an_open_connection_counts_as_implicit_acknowledgement() -> None:
    network = FakeNetwork()
    owner = network.connect("a")
    network.enqueue(1, owner)
    network.advance(50.0)
    owner.last_data_at = network.now
    network.advance(IMPLICIT_ACK_MS - 100.0)
    assert 1 in network.delivery
    network.advance(100.0)
    assert network.is_empty() and network.delivery.end_counts == {"sure": 1}


def test_a_silent_connection_gives_no_implicit_acknowledgement() -> None:
    # A partitioned machine leaves its connections open: nothing shows that the release arrived.
    network = FakeNetwork()
    owner = network.connect("a")
    network.enqueue(1, owner)
    network.advance(5 * IMPLICIT_ACK_MS)
    assert 1 in network.delivery
    assert network.read_all(network.connect("a")) == [1]


def test_another_host_gets_a_release_only_without_the_owner_which_still_gets_it_on_return() -> None:
    network = FakeNetwork()
    owner, untrusted = network.connect("a"), network.connect("b")
    network.close(owner)
    network.delivery.enqueue_release(1, 16, owner, "a", network.now)
    network.advance(ANY_CONNECTION_AFTER_MS - 50.0)
    assert untrusted.unread == []
    trusted = network.connect("c", acknowledges=True, is_trusted=True)
    assert network.read_all(trusted) == [1] and untrusted.unread == []
    assert network.read_all(network.connect("a", acknowledges=True)) == [1] and network.is_empty()


@pytest.mark.parametrize("sends_data", [True, False])
def test_a_release_sent_to_untrusted_connections_only_goes_to_the_first_trusted_one(sends_data: bool) -> None:
    # Guards against clients that handle no calls and take all sends of a release whose owner is not known.
    network = FakeNetwork()
    untrusted = [network.connect("a") for _ in range(MAX_SENDS_PER_RELEASE + 1)]
    network.enqueue(1, None)
    for _ in range(2 * MAX_SENDS_PER_RELEASE):
        network.advance(ACK_TIMEOUT_MS)
        if sends_data:
            for connection in untrusted:
                connection.last_data_at = network.now
    assert sum(connection.unread == [1] for connection in untrusted) == MAX_SENDS_PER_RELEASE
    caller = network.connect("b", acknowledges=True)
    assert caller.unread == []
    caller.is_trusted = True
    network.delivery.on_connection_trusted(caller, network.now)
    assert network.read_all(caller) == [1] and network.is_empty()


def test_the_owner_still_gets_a_release_that_other_hosts_have_taken_all_sends_of() -> None:
    network = FakeNetwork()
    owner = network.connect("a")
    others = [network.connect("b") for _ in range(MAX_SENDS_PER_RELEASE + 1)]
    network.close(owner)
    network.enqueue(1, owner)
    network.advance(ANY_CONNECTION_AFTER_MS + 2 * MAX_SENDS_PER_RELEASE * ACK_TIMEOUT_MS)
    assert sum(connection.unread == [1] for connection in others) == MAX_SENDS_PER_RELEASE
    assert network.read_all(network.connect("a", acknowledges=True)) == [1] and network.is_empty()


def test_without_other_hosts_a_release_waits_for_its_owner_to_return() -> None:
    network = FakeNetwork(allow_other_hosts=False)
    owner, other = (
        network.connect("", acknowledges=True),
        network.connect("", acknowledges=True, is_trusted=True),
    )
    network.enqueue(1, owner)
    network.close(owner)
    network.advance(3 * ANY_CONNECTION_AFTER_MS)
    assert other.unread == []
    assert network.delivery.redirect(1, other, network.now) and not network.delivery.redirect(
        2, other, network.now
    )
    assert network.read_all(other) == [1] and network.is_empty()


def test_a_full_connection_is_skipped_and_the_oldest_release_is_evicted_at_the_limit() -> None:
    network = FakeNetwork(max_pending=3)
    owner = network.connect("a")
    network.full_connections.add(owner)
    for call in range(1, 6):
        network.enqueue(call, owner)
    assert list(network.delivery.by_call) == [3, 4, 5] and network.delivery.end_counts == {"crowded out": 2}
    network.full_connections.clear()
    network.advance(50.0)
    assert owner.unread == [3, 4, 5]


def test_a_pass_sends_no_more_than_the_limit() -> None:
    # Guards against blocking the event loop when a caller with thousands of pending releases reconnects.
    network = FakeNetwork(max_pending=10 * MAX_SENDS_PER_PASS)
    for call in range(3 * MAX_SENDS_PER_PASS):
        network.enqueue(call, None, "a")
    owner = network.connect("a", acknowledges=True)
    assert len(owner.unread) == MAX_SENDS_PER_PASS
    network.advance(100.0)
    assert len(owner.unread) == 3 * MAX_SENDS_PER_PASS


@pytest.mark.parametrize("is_sent", [True, False])
def test_an_unacknowledged_release_ends_at_its_maximum_age(is_sent: bool) -> None:
    network = FakeNetwork()
    owner = network.connect("a")
    if not is_sent:
        network.close(owner)
    network.enqueue(1, owner)
    network.advance(MAX_AGE_MS)
    assert network.is_empty() and network.delivery.end_counts == {"unsure" if is_sent else "late": 1}


class DeliveryModel(RuleBasedStateMachine):
    """Two hosts that acknowledge and one that does not; in the end each must have read all its releases.

    A release whose owner is not known must have been read on a connection that is known to handle calls.
    """

    def __init__(self) -> None:
        super().__init__()
        self.network = FakeNetwork()
        self.connections: list[FakeConnection] = []
        self.owner_hosts: dict[int, str] = {}  # by call; empty where the owner is not known

    def choose_open_connection(self, number: int) -> FakeConnection | None:
        open_connections = [connection for connection in self.connections if connection.is_open]
        return open_connections[number % len(open_connections)] if open_connections else None

    @rule(host=st.sampled_from("abc"))
    def connect(self, host: str) -> None:
        self.connections.append(self.network.connect(host, acknowledges=host != "c"))

    @rule()
    def connect_clients_that_handle_no_calls(self) -> None:
        for _ in range(MAX_SENDS_PER_RELEASE):
            self.network.connect("d")

    @rule(number=st.integers(0, 9))
    def end_call(self, number: int) -> None:
        if (connection := self.choose_open_connection(number)) is not None:
            call = len(self.owner_hosts)
            self.owner_hosts[call] = connection.host
            self.network.enqueue(call, connection)

    @rule(number=st.integers(0, 9))
    def end_call_of_any_caller(self, number: int) -> None:
        if self.connections:
            connection = self.connections[number % len(self.connections)]
            call = len(self.owner_hosts)
            self.owner_hosts[call] = connection.host
            self.network.enqueue(call, connection)

    @rule()
    def end_call_of_an_earlier_process(self) -> None:
        call = len(self.owner_hosts)
        self.owner_hosts[call] = ""
        self.network.enqueue(call, None)

    @rule(number=st.integers(0, 9), becomes_trusted=st.booleans())
    def read(self, number: int, becomes_trusted: bool) -> None:
        if (connection := self.choose_open_connection(number)) is not None:
            self.network.read_all(connection)
            if becomes_trusted and not connection.is_trusted:
                connection.is_trusted = True
                self.network.delivery.on_connection_trusted(connection, self.network.now)

    @rule(number=st.integers(0, 9))
    def read_and_close_before_the_acknowledgement_arrives(self, number: int) -> None:
        if (connection := self.choose_open_connection(number)) is not None:
            self.network.read_all(connection, acknowledge=False)
            self.network.close(connection)

    @rule(number=st.integers(0, 9))
    def close(self, number: int) -> None:
        if (connection := self.choose_open_connection(number)) is not None:
            self.network.close(connection)

    @rule(ms=st.sampled_from([50.0, 200.0, 350.0]))
    def advance(self, ms: float) -> None:
        self.network.advance(ms)

    @invariant()
    def tables_are_consistent(self) -> None:
        delivery = self.network.delivery
        assert not delivery.queued.keys() & delivery.sent.keys()
        assert delivery.queued.keys() | delivery.sent.keys() <= delivery.by_call.keys()
        assert sorted(delivery.by_call) == sorted(
            call for releases in delivery.by_owner_host.values() for call in releases
        )
        assert all(connection.is_open for connection in delivery.by_connection) and all(
            connection.is_open for connection in delivery.connections
        )
        assert all(release.send_count <= MAX_SENDS_PER_RELEASE for release in delivery.by_call.values())
        ended_unread = [
            call for call in self.owner_hosts if call not in delivery and call not in self.network.readers
        ]
        taken_as_delivered = [call for call in ended_unread if self.owner_hosts[call] in ("c", "")]
        assert ended_unread == taken_as_delivered, "delivery ended, but no host has read the release"
        unread = {call for connection in self.connections if connection.is_open for call in connection.unread}
        assert set(taken_as_delivered) <= unread, (
            "taken as delivered, but not in the buffer of an open connection"
        )

    def teardown(self) -> None:
        """Every host reconnects, stays connected and reads."""
        for connection in self.connections:
            if connection.is_open:
                self.network.read_all(connection)
        returning = [self.network.connect(host, acknowledges=True) for host in "abc"]
        returning[0].is_trusted = True
        self.network.delivery.on_connection_trusted(returning[0], self.network.now)
        for _ in range(20):
            self.network.advance(100.0)
            for connection in [*self.connections, *returning]:
                if connection.is_open:
                    connection.last_data_at = self.network.now
                    self.network.read_all(connection)
        for call, host in self.owner_hosts.items():
            if host:
                assert self.network.was_read_by_host(call, host), (
                    f"host {host} never read the release of call {call}"
                )
            else:
                assert self.network.was_read_by_a_caller(call), f"no caller read the release of call {call}"
        assert self.network.is_empty() or all(
            not release.reached_owner for release in self.network.delivery.by_call.values()
        )
        self.network.advance(MAX_AGE_MS)
        assert self.network.is_empty()


DeliveryModel.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)
TestDeliveryModel = DeliveryModel.TestCase
