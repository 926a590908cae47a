"""The shared helper of the socket tests: the program's own parts on loopback, stand-in exchanges and callers.

All of it turns on one loop in one thread. The clock stands still until a test moves it, so nothing depends on
how fast the machine is; a wait is for a condition, and fails after many turns without it.
"""

from __future__ import annotations

import base64
import json
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from wsproto import ConnectionType, WSConnection
from wsproto import events as ws

from mintvalve.core.calls import (
    Call,
    CancelAttempt,
    AttemptEnded,
    CallWithdrawn,
    ExchangeListChanged,
    CallEvent,
    Command,
    GroupStateChanged,
    SendSetUp,
    AttemptAnswered,
    RefuseCall,
)
from mintvalve.core.call_manager import CallManager
from mintvalve.interface import Exchange, Settings, ExchangeState
from mintvalve.net.binary_front import BinaryFront
from mintvalve.net.codec import ReleaseCause, ParameterCode, Decoder, MessageType, Message, encode, release
from mintvalve.net.connection import Connection, Listener
from mintvalve.net.exchange_links import ExchangeLinks
from mintvalve.net.loop import Loop
from mintvalve.net.websocket_front import Options, WebSocketFront
from tests.controller_harness import SETTINGS

RULES: Settings = replace(SETTINGS, release_wait_ms=250.0)
ORIGIN = "http://desk.example"
PATIENCE_S = 20.0  # s of real time; only a test that fails waits so long


class Clock:
    """Unix milliseconds that move when told."""

    def __init__(self) -> None:
        self.ms = 1_700_000_000_000.0

    def __call__(self) -> float:
        return self.ms


class ScriptedDecisions:
    """Decides without cleverness: direct while attempts last, else refused with a hint."""

    def __init__(self, tries: int = 1, wait_ms: float = 60_000.0) -> None:
        self.tries, self.wait_ms = tries, wait_ms
        self.news: list[CallEvent] = []
        self.pause = 0.0  # ms before another attempt
        self.remind: Callable[[float, int], object] = lambda ms, call: None
        self.later: dict[int, Call] = {}

    def pick(self, call: Call) -> list[Command]:
        return [SendSetUp(call.number, f"x{call.request.destination}", self.wait_ms)]

    def report(self, news: CallEvent) -> list[Command]:
        self.news.append(news)
        if isinstance(news, AttemptEnded) and not news.ended:
            call = news.attempt.call
            if call.attempts < self.tries and self.pause:
                self.later[call.number] = call
                self.remind(self.pause, call.number)
                return []
            return self.pick(call) if call.attempts < self.tries else [RefuseCall(call.number, 750.0)]
        return []

    def tick(self, token: int) -> list[Command]:
        if (call := self.later.pop(token, None)) is not None:
            return self.pick(call)
        return [CancelAttempt(token, 0)]

    def heard(
        self,
        kind: type[AttemptAnswered]
        | type[AttemptEnded]
        | type[CallWithdrawn]
        | type[ExchangeListChanged]
        | type[GroupStateChanged],
    ) -> list[CallEvent]:
        return [each for each in self.news if isinstance(each, kind)]


class FakeExchange:
    """An exchange of the tests: keeps what it is told and says what the test wants."""

    def __init__(self, loop: Loop, room: int = 20) -> None:
        self.free = room
        self.heard: list[Message] = []
        self.decoders: dict[Connection, Decoder] = {}
        self.by_call: dict[int, Connection] = {}
        self.again: list[bytes] = []  # releases that also go out on the next connection
        self.answering: Callable[[FakeExchange, Message], None] | None = None
        self.listener = Listener(loop, "127.0.0.1", 0, self, 64)

    @property
    def address(self) -> tuple[str, int]:
        return self.listener.address

    def on_opened(self, connection: Connection) -> None:
        self.decoders[connection] = Decoder()
        connection.on_messages_decoded(1, False)  # an exchange lets those wait that say nothing
        report = f"x0:{self.free};x1:20".encode()
        connection.send(encode(Message(MessageType.GROUP_STATE, 0, {ParameterCode.REPORT: report})))
        for data in self.again:
            connection.send(data)
        self.again.clear()

    def on_data(self, connection: Connection, data: bytes) -> None:
        for message in self.decoders[connection].feed(data):
            self.heard.append(message)
            if message.kind == MessageType.SET_UP:
                self.by_call[message.call] = connection
                if self.answering is not None:
                    self.answering(self, message)

    def on_closed(self, connection: Connection, reason: str) -> None:
        self.decoders.pop(connection, None)
        self.listener.forget(connection)

    def eviction_cost(self, connection: Connection) -> int:
        return -1

    def evict(self, connection: Connection) -> None:
        raise AssertionError("no connection can be spared here")

    def say(self, kind: MessageType, call: int, parameters: dict[int, bytes] | None = None) -> None:
        self.by_call[call].send(encode(Message(kind, call, parameters or {})))

    def answer(self, call: int, description: bytes = b"here") -> None:
        self.say(MessageType.ANSWER, call, {ParameterCode.DESCRIPTION: description})

    def release(self, call: int, cause: ReleaseCause, note: str = "") -> None:
        more: dict[int, bytes] = {ParameterCode.NOTE: note.encode()} if note else {}
        self.say(MessageType.RELEASE, call, {ParameterCode.CAUSE: bytes([cause]), **more})

    def end_call(self, call: int, cause: ReleaseCause) -> None:
        """The end of a call that stands, as an exchange tells it: on the connection of its set-up or any open
        one, and again on the next that is opened."""
        data = release(call, cause)
        own = [self.by_call[call]] if call in self.by_call else []
        for each in [*own, *self.decoders]:
            if each.is_open and each.send(data):
                break
        self.again.append(data)

    def kinds(self, call: int) -> list[tuple[int, int]]:
        """Types and causes of what came for a call."""
        return [(each.kind, each.cause) for each in self.heard if each.call == call]


class Client:
    """A caller's side of one connection: connects, keeps what it heard."""

    def __init__(self, rig: Rig, address: tuple[str, int]) -> None:
        self.rig, self.up, self.ended = rig, False, False
        self.connection = Connection.dial(rig.loop, *address, self, 5000.0)
        rig.run_until(lambda: self.up)

    def on_opened(self, connection: Connection) -> None:
        self.up = True

    def on_data(self, connection: Connection, data: bytes) -> None:
        raise NotImplementedError

    def on_closed(self, connection: Connection, reason: str) -> None:
        self.ended = True

    def hang_up(self) -> None:
        self.connection.close_now("the caller is gone")


class CallingClient(Client):
    """A caller on either front; `heard` is in the words that both share."""

    def __init__(self, rig: Rig) -> None:
        raise NotImplementedError

    def begin(self, rig: Rig, address: tuple[str, int]) -> None:
        self.heard: list[tuple[object, ...]] = []
        super().__init__(rig, address)

    def set_up(
        self,
        call: int,
        to: int = 1,
        wait: int = 3000,
        kind: str = "plain",
        called: str = "n",
    ) -> None:
        raise NotImplementedError

    def release(self, call: int) -> None:
        raise NotImplementedError


class BinaryClient(CallingClient):
    """A caller by the platform's protocol."""

    def __init__(self, rig: Rig, acknowledges: bool = False) -> None:
        self.decoder, self.messages = Decoder(), list[Message]()
        self.acknowledges = acknowledges
        self.begin(rig, rig.binary_front.listener.address)

    def on_data(self, connection: Connection, data: bytes) -> None:
        for message in self.decoder.feed(data):
            self.messages.append(message)
            name = f"{message.call:016x}"
            answered = any(each[:2] == ("answer", name) for each in self.heard)
            match message.kind:
                case MessageType.ANSWER:
                    self.heard.append(("answer", name, message.parameters.get(ParameterCode.DESCRIPTION)))
                case MessageType.RELEASE if answered:
                    self.heard.append(("release", name, message.cause))
                    if self.acknowledges:
                        self.send(MessageType.RELEASE_HEARD, message.call)
                case MessageType.RELEASE:
                    refused = message.cause in (
                        ReleaseCause.NO_CIRCUIT,
                        ReleaseCause.CONGESTION,
                        ReleaseCause.MOOT,
                    )
                    self.heard.append(("refused" if refused else "failed", name))
                case MessageType.PROGRESS:
                    self.heard.append(("progress", name))

    def send(self, kind: int, call: int, parameters: dict[int, bytes] | None = None) -> None:
        self.connection.send(encode(Message(kind, call, parameters or {})))

    def set_up(
        self,
        call: int,
        to: int = 1,
        wait: int = 3000,
        kind: str = "plain",
        called: str = "n",
    ) -> None:
        figures = f"dest:{to};width:1;via:-1".encode()
        self.send(
            MessageType.SET_UP,
            call,
            {
                ParameterCode.CLASS: kind.encode(),
                ParameterCode.WAIT: str(wait).encode(),
                ParameterCode.CALLED: called.encode(),
                ParameterCode.FIGURES: figures,
                ParameterCode.DESCRIPTION: b"offer\0\xff",
            },
        )

    def release(self, call: int) -> None:
        self.connection.send(release(call, ReleaseCause.NORMAL))


class WebSocketClient(CallingClient):
    """A client of the WebSocket front, in the same words."""

    def __init__(self, rig: Rig, origin: str = ORIGIN, path: str = "/calls") -> None:
        self.wire = WSConnection(ConnectionType.CLIENT)
        self.errors: list[str] = []
        self.parts = ""
        self.raw: list[dict[str, Any]] = []
        self.accepted, self.status, self.code = False, 0, 0
        self.begin(rig, rig.websocket_front.listener.address)
        request = ws.Request(host="here", target=path, extra_headers=[(b"origin", origin.encode())])
        self.connection.send(self.wire.send(request))
        rig.run_until(lambda: self.accepted or self.status)

    def on_data(self, connection: Connection, data: bytes) -> None:
        self.wire.receive_data(data)
        for event in self.wire.events():
            match event:
                case ws.AcceptConnection():
                    self.accepted = True
                case ws.RejectConnection():
                    self.status = event.status_code
                case ws.CloseConnection():
                    self.code = event.code
                case ws.Ping():
                    connection.send(self.wire.send(event.response()))
                case ws.TextMessage():  # a read may end within a frame
                    self.parts += event.data
                    if event.message_finished:
                        text, self.parts = self.parts, ""
                        self.hear(json.loads(text))

    def hear(self, message: dict[str, Any]) -> None:
        self.raw.append(message)
        name = message.get("id")
        match message["type"]:
            case "answer":
                self.heard.append(("answer", name, base64.b64decode(message["description"])))
            case "release":
                self.heard.append(("release", name, message["cause"]))
            case "error":
                self.errors.append(message["error"])
            case kind:
                self.heard.append((kind, name))

    def send(self, **message: object) -> None:
        self.connection.send(self.wire.send(ws.TextMessage(json.dumps(message))))

    def set_up(
        self,
        call: int,
        to: int = 1,
        wait: int = 3000,
        kind: str = "plain",
        called: str = "n",
    ) -> None:
        self.send(
            type="set_up",
            id=f"{call:016x}",
            **{"class": kind},
            number=called,
            wait_ms=wait,
            destination=to,
            description=base64.b64encode(b"offer\0\xff").decode(),
        )

    def release(self, call: int) -> None:
        self.send(type="release", id=f"{call:016x}")


class Rig:
    """The controller's parts, joined as the program joins them, with a plain desk and stand-in exchanges."""

    def __init__(self, exchanges: int = 2, desk: ScriptedDecisions | None = None) -> None:
        self.clock = Clock()
        self.loop = Loop(self.clock)
        self.decisions = desk or ScriptedDecisions()
        self.call_manager = CallManager(RULES, self.loop)
        self.call_manager.decision_module = self.decisions
        self.decisions.remind = lambda ms, call: self.loop.call_later(
            ms, lambda: self.call_manager.on_timer(call)
        )
        self.exchange_links = self.call_manager.exchange_connections = ExchangeLinks(
            self.loop, self.call_manager, 500.0, RULES.home
        )
        self.exchanges = [FakeExchange(self.loop) for _ in range(exchanges)]
        self.set_exchanges(*[self.entry(cell) for cell in range(1, exchanges + 1)])
        self.binary_front = BinaryFront(
            self.loop, self.call_manager, ("127.0.0.1", 0), 64, self.exchange_links.release_everywhere
        )
        options = Options("127.0.0.1:0", (ORIGIN,), outbound_bytes=8192)
        self.websocket_front = WebSocketFront(self.loop, self.call_manager, options, ("127.0.0.1", 0))
        self.exchange_links.on_unknown_release = self.binary_front.release_unknown_call
        self.kept: list[socket.socket] = []
        self.run_until(self.exchange_links.all_groups_reported)

    @staticmethod
    def entry(cell: int, state: ExchangeState = ExchangeState.READY, born: float = 0.0) -> Exchange:
        return Exchange(f"x{cell}", cell, state, "z", born)

    def set_exchanges(self, *entries: Exchange) -> None:
        self.call_manager.on_exchange_list(entries)
        self.exchange_links.update_addresses(
            {each.address: self.exchanges[each.cell - 1].address for each in entries}
        )

    def exchange(self, cell: int = 1) -> FakeExchange:
        return self.exchanges[cell - 1]

    def run_until(self, done: Callable[[], object]) -> None:
        """Turn until the condition holds."""
        end = time.monotonic() + PATIENCE_S
        while not done():
            assert time.monotonic() < end, "the condition never came true"
            self.loop.turn(1.0)

    def settle(self) -> None:
        """Turn until nothing is on its way any more."""
        for _ in range(5):
            self.loop.turn(1.0)

    def advance(self, ms: float, step: float = 50.0) -> None:
        """Time passes in small steps, with turns in between."""
        end = self.clock.ms + ms
        while self.clock.ms < end:
            self.clock.ms = min(end, self.clock.ms + step)
            self.settle()

    def nowhere(self) -> tuple[str, int]:
        """An address where dials are neither taken nor refused: the queue of its machine is full."""
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        self.kept += [full, *(socket.socket() for _ in range(3))]
        for sock in self.kept[-3:]:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        address: tuple[str, int] = full.getsockname()
        return address

    def close(self) -> None:
        for sock in self.kept:
            sock.close()
        self.binary_front.stop_accepting()
        self.websocket_front.stop_accepting()
        for each in self.exchanges:
            each.listener.close()
        for key in list(self.loop.selector.get_map().values()):
            watched = key.fileobj
            self.loop.selector.unregister(watched)
            if not isinstance(watched, int):
                watched.close()  # type: ignore[attr-defined]
        self.loop.close()
