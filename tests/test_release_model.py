"""Ends of calls over real sockets, where connections of callers and exchanges close at any moment."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from mintvalve.net.codec import ReleaseCause, MessageType
from tests.rig import BinaryClient, CallingClient, Rig, WebSocketClient


class Model(RuleBasedStateMachine):
    """Calls stand, end from either side, and connections go; at the end each side has heard of every end."""

    web = False

    def __init__(self) -> None:
        super().__init__()
        self.rig = Rig(exchanges=1)
        self.callers: list[CallingClient] = []  # that read
        self.deaf: list[CallingClient] = []
        self.all: list[CallingClient] = []
        self.up: list[int] = []
        self.by_exchange: list[int] = []
        self.by_caller: list[int] = []
        self.last = 0
        self.connect()

    @rule()
    def connect(self) -> None:
        if len(self.callers) < 4:
            caller: CallingClient
            if self.web:
                caller = WebSocketClient(self.rig)
            else:
                caller = BinaryClient(self.rig, acknowledges=len(self.all) % 2 == 0)
            self.callers.append(caller)
            self.all.append(caller)

    @precondition(lambda self: self.callers)
    @rule(number=st.integers(0, 9))
    def call(self, number: int) -> None:
        caller, exchange = self.callers[number % len(self.callers)], self.rig.exchange()
        self.last += 1
        call, name = self.last, f"{self.last:016x}"
        exchange.on_set_up = lambda stand_in, message: stand_in.answer(message.call_id)
        caller.set_up(call)
        self.rig.run_until(lambda: call in self.rig.call_manager.by_identity)
        while not any(each[1] == name for each in caller.received if each[0] != "progress"):
            self.rig.advance(50.0)  # there may be no connection to the exchange for now
        if ("answer", name, b"here") in caller.received:
            self.up.append(call)

    @precondition(lambda self: self.up)
    @rule(number=st.integers(0, 9), settle=st.booleans())
    def end_by_exchange(self, number: int, settle: bool) -> None:
        call = self.up.pop(number % len(self.up))
        self.by_exchange.append(call)
        self.rig.exchange().end_call(call, ReleaseCause.NORMAL_CLEARING)
        if settle:
            self.rig.run_pending()

    @precondition(lambda self: self.up and self.callers)
    @rule(number=st.integers(0, 9), settle=st.booleans())
    def end_by_caller(self, number: int, settle: bool) -> None:
        call = self.up.pop(number % len(self.up))
        caller = self.callers[number % len(self.callers)]
        caller.release(call)
        self.rig.run_until(lambda: call not in self.rig.call_manager.by_identity)  # its word arrived
        self.by_caller.append(call)
        if settle:
            self.rig.run_pending()

    @precondition(lambda self: self.callers)
    @rule(number=st.integers(0, 9))
    def deafen(self, number: int) -> None:
        """It reads no more, and will close."""
        caller = self.callers.pop(number % len(self.callers))
        self.rig.loop.watch(caller.connection.sock, 0, caller.connection.on_ready)
        self.deaf.append(caller)

    @precondition(lambda self: self.callers or self.deaf)
    @rule(number=st.integers(0, 9))
    def hang_up(self, number: int) -> None:
        caller = (self.deaf or self.callers).pop(0)
        caller.disconnect()

    @rule(unread=st.booleans())
    def exchange_closes(self, unread: bool) -> None:
        for connection in list(self.rig.exchange().decoders):
            if unread:
                self.rig.loop.watch(connection.sock, 0, connection.on_ready)
                self.rig.run_pending()
            connection.close_now("the exchange closed it")

    @rule(ms=st.sampled_from([50.0, 400.0, 1100.0]))
    def later(self, ms: float) -> None:
        self.rig.advance(ms)

    def teardown(self) -> None:
        rig = self.rig
        for caller in self.deaf:
            caller.disconnect()
        rig.advance(1200.0, step_ms=100.0)  # the longest pause between dials
        rig.run_until(lambda: rig.exchange().decoders)
        last: CallingClient = WebSocketClient(rig) if self.web else BinaryClient(rig, acknowledges=True)
        self.all.append(last)
        rig.run_until(lambda: not any(call in rig.call_manager.by_identity for call in self.by_exchange))
        if isinstance(last, WebSocketClient):
            for call in self.by_exchange:  # a client that comes back asks
                last.send(type="follow", id=f"{call:016x}")
        rig.advance(1500.0, step_ms=100.0)
        for call in self.by_exchange:
            told = [each for caller in self.all for each in self.releases(caller) if each == call]
            assert told, f"nobody heard that call {call} is over"
        for call in self.by_caller:
            assert (MessageType.RELEASE, ReleaseCause.NORMAL_CLEARING) in rig.exchange().types_and_causes(
                call
            ), f"call {call} stands there"
        assert set(rig.call_manager.by_identity) == set(self.up)
        for call in self.up:
            rig.exchange().end_call(call, ReleaseCause.NORMAL_CLEARING)
        rig.advance(65_000.0, step_ms=5000.0)
        link = rig.exchange_links.links["x1"]
        assert (
            not rig.call_manager.calls
            and not rig.call_manager.by_identity
            and not rig.call_manager.unanswered_calls
        )
        assert not link.attempts.all and not link.attempts.by_way and not link.attempts.tainted
        assert not len(link.releases) and not len(rig.binary_front.releases)
        assert not rig.websocket_front.callers and not len(rig.websocket_front.releases)
        rig.close()

    @staticmethod
    def releases(caller: CallingClient) -> list[int]:
        if isinstance(caller, BinaryClient):
            return [each.call_id for each in caller.messages if each.message_type == MessageType.RELEASE]
        assert isinstance(caller, WebSocketClient)
        return [int(each["id"], 16) for each in caller.messages if each["type"] == "release"]


class WebModel(Model):
    """The same over WebSocket."""

    web = True


Model.TestCase.settings = settings(derandomize=True, deadline=None, max_examples=15, stateful_step_count=20)
WebModel.TestCase.settings = Model.TestCase.settings
TestBinaryReleases = Model.TestCase
TestWebReleases = WebModel.TestCase
