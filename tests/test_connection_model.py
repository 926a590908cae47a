"""A model of a connection's states, against which random steps on a real one are checked."""

import socket

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mintvalve.net.connection import Connection, ConnectionState
from mintvalve.net.loop import Loop
from tests.rig import Clock

MOST = 4096
OPEN, FINISHING, CLOSED = ConnectionState.OPEN, ConnectionState.FINISHING, ConnectionState.CLOSED


class Model(RuleBasedStateMachine):
    """A connection is open until a side ends it; what it took to send arrives in order, and what it heard."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = Loop(Clock())
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        tcp.connect(listener.getsockname())
        self.peer, _ = listener.accept()
        listener.close()
        self.peer.setblocking(False)
        self.peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection = Connection.accepted(self.loop, tcp, self, MOST)
        self.state = OPEN
        self.took, self.arrived = b"", b""  # by the connection, at the peer
        self.said, self.heard = b"", b""  # by the peer, by the owner
        self.ends: list[str] = []
        self.peer_open = True

    # The owner's side.

    def on_opened(self, connection: Connection) -> None:
        raise AssertionError("it was open from the start")

    def on_data(self, connection: Connection, data: bytes) -> None:
        assert self.state is OPEN
        self.heard += data

    def on_closed(self, connection: Connection, reason: str) -> None:
        self.ends.append(reason)

    # The steps.

    @rule(data=st.binary(min_size=1, max_size=MOST + 1))
    def send(self, data: bytes) -> None:
        room = len(self.connection.waiting) + len(data) <= MOST
        took = self.connection.send(data)
        assert took == (self.state is OPEN and room)
        self.took += data if took else b""
        self.follow()

    @rule(data=st.binary(max_size=64))
    def finish(self, data: bytes) -> None:
        self.took += data if self.state is OPEN else b""
        self.connection.close_after_flush(data)
        self.state = FINISHING if self.state is OPEN else self.state
        self.follow()

    @rule()
    def end(self) -> None:
        self.connection.close_now("here")
        self.state = CLOSED

    @precondition(lambda self: self.peer_open)
    @rule(data=st.binary(min_size=1, max_size=512))
    def peer_says(self, data: bytes) -> None:
        try:
            self.peer.sendall(data)
        except OSError:
            assert self.state is CLOSED
            return
        self.said += data if self.state is OPEN else b""

    @precondition(lambda self: self.peer_open)
    @rule()
    def peer_reads(self) -> None:
        self.read()

    @precondition(lambda self: self.peer_open)
    @rule()
    def peer_leaves(self) -> None:
        self.read()
        self.peer.close()
        self.peer_open = False

    @rule()
    def turn(self) -> None:
        for _ in range(3):
            self.loop.turn(1.0)
        self.follow()
        if not self.peer_open and self.state is OPEN:
            assert self.connection.state is CLOSED
            self.state = CLOSED

    def follow(self) -> None:
        """Two ends come by themselves: all is written after a finish, or the peer is found to have left."""
        if self.connection.state is CLOSED and (self.state is FINISHING or not self.peer_open):
            self.state = CLOSED

    def read(self) -> None:
        try:
            while data := self.peer.recv(65536):
                self.arrived += data
        except OSError:
            pass

    # What always holds.

    @invariant()
    def states_agree(self) -> None:
        assert self.connection.state is self.state
        assert self.took.startswith(self.arrived) and self.said.startswith(self.heard)
        assert self.connection.bytes_queued - self.connection.bytes_written == len(self.connection.waiting)
        assert len(self.ends) <= 1 and (self.state is CLOSED or not self.ends)

    def teardown(self) -> None:
        if self.state is OPEN and self.peer_open:
            for _ in range(3):
                self.read()
                self.turn()
            self.read()
            assert (self.heard, self.arrived) == (self.said, self.took)
        self.connection.close_now("over")
        for _ in range(2):
            self.loop.turn(1.0)
        assert len(self.ends) == 1
        self.peer.close()
        self.loop.close()


Model.TestCase.settings = settings(derandomize=True, deadline=None, max_examples=40, stateful_step_count=25)
TestConnectionModel = Model.TestCase
