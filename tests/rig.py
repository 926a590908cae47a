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

from mintvalve.core.calls import Call, CallOff, Ended, Left, Listed, News, Order, Room, Send, Stood, TurnAway
from mintvalve.core.switchboard import Switchboard
from mintvalve.interface import Exchange, Settings, State
from mintvalve.net.binary_front import BinaryFront
from mintvalve.net.codec import Cause, Code, Decoder, Kind, Message, encode, release
from mintvalve.net.connection import Connection, Listener
from mintvalve.net.exchanges import Exchanges
from mintvalve.net.loop import Loop
from mintvalve.net.websocket_front import Options, WebSocketFront
from tests.world import SETTINGS

RULES: Settings = replace(SETTINGS, release_wait_ms=250.0)
ORIGIN = "http://desk.example"
PATIENCE_S = 20.0  # s of real time; only a test that fails waits so long


class Clock:
    """Unix milliseconds that move when told."""

    def __init__(self) -> None:
        self.ms = 1_700_000_000_000.0

    def __call__(self) -> float:
        return self.ms


class PlainDesk:
    """Decides without cleverness: direct while attempts last, else refused with a hint."""

    def __init__(self, tries: int = 1, wait_ms: float = 60_000.0) -> None:
        self.tries, self.wait_ms = tries, wait_ms
        self.news: list[News] = []
        self.pause = 0.0  # ms before another attempt
        self.remind: Callable[[float, int], object] = lambda ms, call: None
        self.later: dict[int, Call] = {}

    def pick(self, call: Call) -> list[Order]:
        return [Send(call.number, f"x{call.request.destination}", self.wait_ms)]

    def report(self, news: News) -> list[Order]:
        self.news.append(news)
        if isinstance(news, Ended) and not news.ended:
            call = news.attempt.call
            if call.attempts < self.tries and self.pause:
                self.later[call.number] = call
                self.remind(self.pause, call.number)
                return []
            return self.pick(call) if call.attempts < self.tries else [TurnAway(call.number, 750.0)]
        return []

    def tick(self, token: int) -> list[Order]:
        if (call := self.later.pop(token, None)) is not None:
            return self.pick(call)
        return [CallOff(token, 0)]

    def heard(self, kind: type[Stood] | type[Ended] | type[Left] | type[Listed] | type[Room]) -> list[News]:
        return [each for each in self.news if isinstance(each, kind)]


class StandIn:
    """An exchange of the tests: keeps what it is told and says what the test wants."""

    def __init__(self, loop: Loop, room: int = 20) -> None:
        self.free = room
        self.heard: list[Message] = []
        self.decoders: dict[Connection, Decoder] = {}
        self.by_call: dict[int, Connection] = {}
        self.again: list[bytes] = []  # releases that also go out on the next connection
        self.answering: Callable[[StandIn, Message], None] | None = None
        self.listener = Listener(loop, "127.0.0.1", 0, self, 64)

    @property
    def address(self) -> tuple[str, int]:
        return self.listener.address

    def opened(self, connection: Connection) -> None:
        self.decoders[connection] = Decoder()
        connection.heard(1, False)  # an exchange lets those wait that say nothing
        report = f"x0:{self.free};x1:20".encode()
        connection.send(encode(Message(Kind.GROUP_STATE, 0, {Code.REPORT: report})))
        for data in self.again:
            connection.send(data)
        self.again.clear()

    def received(self, connection: Connection, data: bytes) -> None:
        for message in self.decoders[connection].feed(data):
            self.heard.append(message)
            if message.kind == Kind.SET_UP:
                self.by_call[message.call] = connection
                if self.answering is not None:
                    self.answering(self, message)

    def closed(self, connection: Connection, reason: str) -> None:
        self.decoders.pop(connection, None)
        self.listener.forget(connection)

    def rank(self, connection: Connection) -> int:
        return -1

    def turn_out(self, connection: Connection) -> None:
        raise AssertionError("no connection can be spared here")

    def say(self, kind: Kind, call: int, parameters: dict[int, bytes] | None = None) -> None:
        self.by_call[call].send(encode(Message(kind, call, parameters or {})))

    def answer(self, call: int, description: bytes = b"here") -> None:
        self.say(Kind.ANSWER, call, {Code.DESCRIPTION: description})

    def release(self, call: int, cause: Cause, note: str = "") -> None:
        more: dict[int, bytes] = {Code.NOTE: note.encode()} if note else {}
        self.say(Kind.RELEASE, call, {Code.CAUSE: bytes([cause]), **more})

    def end_call(self, call: int, cause: Cause) -> None:
        """The end of a call that stands, as an exchange tells it: on the connection of its set-up or any open
        one, and again on the next that is opened."""
        data = release(call, cause)
        own = [self.by_call[call]] if call in self.by_call else []
        for each in [*own, *self.decoders]:
            if each.open and each.send(data):
                break
        self.again.append(data)

    def kinds(self, call: int) -> list[tuple[int, int]]:
        """Types and causes of what came for a call."""
        return [(each.kind, each.cause) for each in self.heard if each.call == call]


class Talker:
    """A caller's side of one connection: connects, keeps what it heard."""

    def __init__(self, rig: Rig, address: tuple[str, int]) -> None:
        self.rig, self.up, self.ended = rig, False, False
        self.connection = Connection.dial(rig.loop, *address, self, 5000.0)
        rig.until(lambda: self.up)

    def opened(self, connection: Connection) -> None:
        self.up = True

    def received(self, connection: Connection, data: bytes) -> None:
        raise NotImplementedError

    def closed(self, connection: Connection, reason: str) -> None:
        self.ended = True

    def hang_up(self) -> None:
        self.connection.end("the caller is gone")


class Caller(Talker):
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


class BinaryCaller(Caller):
    """A caller by the platform's protocol."""

    def __init__(self, rig: Rig, acknowledges: bool = False) -> None:
        self.decoder, self.messages = Decoder(), list[Message]()
        self.acknowledges = acknowledges
        self.begin(rig, rig.front.listener.address)

    def received(self, connection: Connection, data: bytes) -> None:
        for message in self.decoder.feed(data):
            self.messages.append(message)
            name = f"{message.call:016x}"
            answered = any(each[:2] == ("answer", name) for each in self.heard)
            match message.kind:
                case Kind.ANSWER:
                    self.heard.append(("answer", name, message.parameters.get(Code.DESCRIPTION)))
                case Kind.RELEASE if answered:
                    self.heard.append(("release", name, message.cause))
                    if self.acknowledges:
                        self.send(Kind.RELEASE_HEARD, message.call)
                case Kind.RELEASE:
                    refused = message.cause in (Cause.NO_CIRCUIT, Cause.CONGESTION, Cause.MOOT)
                    self.heard.append(("refused" if refused else "failed", name))
                case Kind.PROGRESS:
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
            Kind.SET_UP,
            call,
            {
                Code.CLASS: kind.encode(),
                Code.WAIT: str(wait).encode(),
                Code.CALLED: called.encode(),
                Code.FIGURES: figures,
                Code.DESCRIPTION: b"offer\0\xff",
            },
        )

    def release(self, call: int) -> None:
        self.connection.send(release(call, Cause.NORMAL))


class WebCaller(Caller):
    """A client of the WebSocket front, in the same words."""

    def __init__(self, rig: Rig, origin: str = ORIGIN, path: str = "/calls") -> None:
        self.wire = WSConnection(ConnectionType.CLIENT)
        self.errors: list[str] = []
        self.parts = ""
        self.raw: list[dict[str, Any]] = []
        self.accepted, self.status, self.code = False, 0, 0
        self.begin(rig, rig.web.listener.address)
        request = ws.Request(host="here", target=path, extra_headers=[(b"origin", origin.encode())])
        self.connection.send(self.wire.send(request))
        rig.until(lambda: self.accepted or self.status)

    def received(self, connection: Connection, data: bytes) -> None:
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

    def __init__(self, exchanges: int = 2, desk: PlainDesk | None = None) -> None:
        self.clock = Clock()
        self.loop = Loop(self.clock)
        self.desk = desk or PlainDesk()
        self.board = Switchboard(RULES, self.loop)
        self.board.desk = self.desk
        self.desk.remind = lambda ms, call: self.loop.after(ms, lambda: self.board.ring(call))
        self.far = self.board.far = Exchanges(self.loop, self.board, 500.0, RULES.home)
        self.stand_ins = [StandIn(self.loop) for _ in range(exchanges)]
        self.listed(*[self.entry(cell) for cell in range(1, exchanges + 1)])
        self.front = BinaryFront(self.loop, self.board, ("127.0.0.1", 0), 64, self.far.release_everywhere)
        options = Options("127.0.0.1:0", (ORIGIN,), outbound_bytes=8192)
        self.web = WebSocketFront(self.loop, self.board, options, ("127.0.0.1", 0))
        self.far.strange = self.front.strange
        self.kept: list[socket.socket] = []
        self.until(self.far.joined)

    @staticmethod
    def entry(cell: int, state: State = State.READY, born: float = 0.0) -> Exchange:
        return Exchange(f"x{cell}", cell, state, "z", born)

    def listed(self, *entries: Exchange) -> None:
        self.board.listed(entries)
        self.far.listed({each.address: self.stand_ins[each.cell - 1].address for each in entries})

    def exchange(self, cell: int = 1) -> StandIn:
        return self.stand_ins[cell - 1]

    def until(self, done: Callable[[], object]) -> None:
        """Turn until the condition holds."""
        end = time.monotonic() + PATIENCE_S
        while not done():
            assert time.monotonic() < end, "the condition never came true"
            self.loop.turn(1.0)

    def settle(self) -> None:
        """Turn until nothing is on its way any more."""
        for _ in range(5):
            self.loop.turn(1.0)

    def later(self, ms: float, step: float = 50.0) -> None:
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
        self.front.close()
        self.web.close()
        for each in self.stand_ins:
            each.listener.close()
        for key in list(self.loop.selector.get_map().values()):
            watched = key.fileobj
            self.loop.selector.unregister(watched)
            if not isinstance(watched, int):
                watched.close()  # type: ignore[attr-defined]
        self.loop.close()
