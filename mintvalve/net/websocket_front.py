"""Call control over WebSocket: JSON text messages, the same switchboard, the same rules.

The words are the core's: a client sends set_up, release and follow; it hears progress, answer, refused,
failed, release and error. A call that stands is bound to no connection, as on the binary front: a client that
comes back follows it by its id, and hears of an end that it missed.
"""

from __future__ import annotations

import base64
import binascii
import json
import logging
import math
import re
import socket
import tomllib
from dataclasses import dataclass, field, fields
from typing import Any

from wsproto import ConnectionType, WSConnection
from wsproto import events as ws
from wsproto.utilities import LocalProtocolError, RemoteProtocolError

from mintvalve.core.calls import Call, CallState, CallRequest
from mintvalve.core.call_manager import CallManager, SetUpRejected
from mintvalve.net.codec import ReleaseCause
from mintvalve.net.connection import Connection, Listener
from mintvalve.net.release_scheduler import ReleaseScheduler
from mintvalve.net.loop import Loop

log = logging.getLogger("mintvalve.front.websocket")

IDENTITY = re.compile(r"[0-9a-f]{16}")
LONGEST_WAIT_MS = 600_000  # ms
MOST_DESCRIPTION = 12_288  # bytes; it must fit an exchange's message with the rest
MOST_NUMBER = 64  # characters
KEPT_MS = 60_000.0  # ms; the end of a call that no client heard of is kept for one that follows it
KEPT_MOST = 4096  # such ends
GOING_AWAY, POLICY, TOO_BIG, AGAIN_LATER = 1001, 1008, 1009, 1013
ENDLESS = 8  # times the longest message; whoever sends more of one is closed


@dataclass(frozen=True, slots=True)
class Options:
    """What deploy/websocket.toml says."""

    listen: str
    origins: tuple[str, ...]
    path: str = "/calls"
    connections: int = 128
    message_bytes: int = 32_768
    outbound_bytes: int = 262_144
    ping_ms: int = 20_000

    @classmethod
    def faults(cls, table: dict[str, Any]) -> list[tuple[str, str]]:
        """Every fault of a file's table, with its key."""
        known = {each.name for each in fields(cls)}
        found = [(name, "no such key") for name in sorted(set(table) - known)]
        found += [(name, "is missing") for name in ("listen", "origins") if name not in table]
        for name in ("connections", "message_bytes", "outbound_bytes", "ping_ms"):
            if type(table.get(name, 1)) is not int or table.get(name, 1) < 1:
                found.append((name, "must be a whole number from 1 on"))
        if not isinstance(table.get("listen", ""), str):
            found.append(("listen", "must be a text"))
        origins = table.get("origins", [])
        if not isinstance(origins, list) or not all(isinstance(each, str) for each in origins):
            found.append(("origins", "must be a list of texts"))
        if not str(table.get("path", "/")).startswith("/"):
            found.append(("path", "must begin with /"))
        return found

    @classmethod
    def parse(cls, text: str) -> Options:
        """ValueError, naming every fault, where the text is not to be used."""
        table = tomllib.loads(text)
        if found := cls.faults(table):
            raise ValueError("; ".join(f"{name} {what}" for name, what in found))
        return cls(**{**table, "origins": tuple(table["origins"])})


class Fault(Exception):
    """A message that can't be served; `name` is the error's name."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(detail)
        self.name = name


def whole(message: dict[str, Any], name: str, low: int, high: int, default: int | None = None) -> int:
    """A field that is a whole number within bounds."""
    value = message.get(name, default)
    if type(value) is not int or not low <= value <= high:
        raise Fault("bad_field", f"{name} must be a whole number from {low} to {high}")
    return value


def identity_of(message: dict[str, Any]) -> int:
    value = message.get("id")
    if not isinstance(value, str) or not IDENTITY.fullmatch(value):
        raise Fault("bad_field", "id must be 16 lower-case hex digits")
    return int(value, 16)


def request_of(message: dict[str, Any]) -> CallRequest:
    """A set_up as a request."""
    kind, called = message.get("class"), message.get("number")
    if not isinstance(kind, str):
        raise Fault("bad_field", "class must be a text")
    if (
        not isinstance(called, str)
        or not 0 < len(called.encode(errors="replace")) <= MOST_NUMBER
        or not called.isprintable()
    ):
        raise Fault("bad_field", f"number must be a printable text of 1 to {MOST_NUMBER} bytes")
    again = message.get("again", False)
    if not isinstance(again, bool):
        raise Fault("bad_field", "again must be true or false")
    text = message.get("description")
    description: bytes | None = None
    if text is not None:
        try:
            description = base64.b64decode(text, validate=True)
        except (TypeError, ValueError, binascii.Error):
            raise Fault("bad_field", "description must be base64") from None
        if len(description) > MOST_DESCRIPTION:
            raise Fault("bad_field", f"description must have {MOST_DESCRIPTION} bytes at the most")
    return CallRequest(
        identity=identity_of(message),
        call_class=kind,
        called=called,
        wait_ms=float(whole(message, "wait_ms", 1, LONGEST_WAIT_MS)),
        destination=whole(message, "destination", 0, 1_000_000),
        width=whole(message, "width", 1, 1024, 1),
        tandem=whole(message, "tandem", -1, 1_000_000, -1),
        was_cut=again,
        description=description,
    )


@dataclass(slots=True, eq=False)
class WebSocketSession:
    """One client's connection."""

    connection: Connection
    wire: WSConnection = field(default_factory=lambda: WSConnection(ConnectionType.SERVER))
    accepted: bool = False
    calls: dict[int, Call] = field(default_factory=dict)  # taken on it and not answered yet
    parts: list[str] = field(default_factory=list)
    length: int = 0
    text: bool = True
    ponged: bool = True
    host: str = ""  # a release is nobody's business but his who set the call up, or follows it
    is_trusted: bool = False
    acknowledges: bool = True  # by pongs
    last_data_at: float = -math.inf
    unsure: list[int] = field(default_factory=list)  # calls whose release was said since the last such ping
    asked: dict[int, list[int]] = field(default_factory=dict)  # by that ping's number: what it is to show
    asks: int = 0

    @property
    def is_open(self) -> bool:
        return self.accepted and self.connection.is_open


class WebSocketFront:
    """Callers by WebSocket."""

    def __init__(
        self, loop: Loop, switchboard: CallManager, options: Options, address: tuple[str, int]
    ) -> None:
        self.loop, self.switchboard, self.options = loop, switchboard, options
        self.sessions: dict[Connection, WebSocketSession] = {}
        self.sides: dict[int, WebSocketCaller] = {}  # by identity: calls of this front
        self.releases: ReleaseScheduler[WebSocketSession] = ReleaseScheduler(
            loop, self, KEPT_MS, KEPT_MOST, allow_other_hosts=False
        )
        self.listener = Listener(loop, *address, self, options.connections, options.outbound_bytes)
        loop.call_later(options.ping_ms, self.ping)

    # Connections.

    def on_opened(self, connection: Connection) -> None:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.options.outbound_bytes)
        self.sessions[connection] = WebSocketSession(connection)

    def on_closed(self, connection: Connection, reason: str) -> None:
        self.listener.remove_connection(connection)
        talk = self.sessions.pop(connection)
        log.debug("client gone", extra={"reason": reason, "calls": len(talk.calls)})
        self.abandon(talk)
        self.releases.on_connection_closed(talk)

    def eviction_cost(self, connection: Connection) -> int:
        """A client with open set-ups can't be spared; one that follows calls only if no other can."""
        talk = self.sessions[connection]
        return -1 if talk.calls else sum(side.session is talk for side in self.sides.values())

    def evict(self, connection: Connection) -> None:
        self.leave(self.sessions[connection], AGAIN_LATER, "its place is needed")

    def abandon(self, talk: WebSocketSession) -> None:
        """Nobody waits for these answers any more; calls that stand go on."""
        for call in list(talk.calls.values()):
            self.switchboard.on_caller_left(call)

    def ping(self) -> None:
        """A client that left without a word is found out: a tab on a machine that lost its network."""
        if self.listener.sock.fileno() >= 0:
            self.loop.call_later(self.options.ping_ms, self.ping)
        for talk in list(self.sessions.values()):
            if not talk.ponged:
                talk.connection.close_now("no sign of life")
                continue
            talk.ponged = False
            if talk.accepted:
                self.write(talk, ws.Ping())

    def stop_accepting(self) -> None:
        """Take no new connections."""
        self.listener.close()

    def close_sessions(self) -> None:
        """The program ends."""
        for talk in list(self.sessions.values()):
            self.leave(talk, GOING_AWAY, "going away")

    # Writing.

    def write(self, talk: WebSocketSession, event: ws.Event) -> None:
        """One frame; a client that does not read is closed rather than let its buffer grow."""
        if not talk.connection.is_open:
            return
        try:
            data = talk.wire.send(event)
        except LocalProtocolError:
            return  # the closing handshake has begun
        if not talk.connection.send(data):
            self.leave(talk, POLICY, "slow reader")

    def leave(self, talk: WebSocketSession, code: int, reason: str) -> None:
        """Close with a code, behind what waits; open calls are given up in the next turn."""
        if talk.connection.is_open:
            log.info("client closed", extra={"code": code, "reason": reason})
            try:
                last = talk.wire.send(ws.CloseConnection(code, reason)) if talk.accepted else b""
            except LocalProtocolError:
                last = b""
            talk.connection.close_after_flush(last)
            self.loop.call_soon(lambda: self.abandon(talk))

    def has_pending_releases(self) -> bool:
        """Some client has not heard of an end yet, and still can."""
        return self.releases.has_deliverable()

    def write_release(self, way: WebSocketSession, call: int, cause: int) -> bool:
        """A release, and a ping whose pong shows that it was read: a client answers in order (RFC 6455,
        5.5.3: a pong to the latest ping will do for those before it)."""
        if not self.tell(way, "release", call, cause=cause):
            return False
        if not way.unsure:
            self.loop.call_soon(lambda: self.ask(way))
        way.unsure.append(call)
        return True

    def ask(self, talk: WebSocketSession) -> None:
        talk.asks += 1
        talk.asked[talk.asks], talk.unsure = talk.unsure, []
        self.write(talk, ws.Ping(b"heard %d" % talk.asks))

    def ponged(self, talk: WebSocketSession, payload: bytes) -> None:
        talk.ponged = True
        word, _, number = payload.partition(b" ")
        if word != b"heard" or not number.isdigit() or int(number) not in talk.asked:
            return
        for each in [asked for asked in talk.asked if asked <= int(number)]:
            for call in talk.asked.pop(each):
                self.releases.on_acknowledged(call)

    def tell(self, talk: WebSocketSession | None, kind: str, call: int | None = None, **more: object) -> bool:
        """One message; False where the connection is gone."""
        if talk is None or not talk.connection.is_open:
            return False
        names = {} if call is None else {"id": f"{call:016x}"}
        self.write(talk, ws.TextMessage(json.dumps({"type": kind, **names, **more})))
        return talk.connection.is_open

    # Reading.

    def on_data(self, connection: Connection, data: bytes) -> None:
        talk = self.sessions[connection]
        talk.last_data_at = self.loop.now()
        try:
            talk.wire.receive_data(data)
            whole = 0
            for event in talk.wire.events():
                if connection.is_open:
                    self.take(talk, event)
                    whole += talk.accepted and talk.length == 0
            connection.on_messages_decoded(whole, talk.length > 0)
        except RemoteProtocolError as fault:
            log.info("not WebSocket", extra={"fault": str(fault)})
            hint = fault.event_hint
            if talk.accepted:
                self.leave(talk, getattr(hint, "code", 1002), "protocol error")
            else:
                self.turn_away(talk, getattr(hint, "status_code", None) or 400)

    def take(self, talk: WebSocketSession, event: ws.Event) -> None:
        match event:
            case ws.Request():
                self.admit(talk, event)
            case ws.TextMessage() | ws.BytesMessage():
                self.gather(talk, event)
            case ws.Ping():
                self.write(talk, event.response())
            case ws.Pong():
                self.ponged(talk, bytes(event.payload))
            case ws.CloseConnection():
                talk.connection.close_after_flush(talk.wire.send(event.response()))
                self.abandon(talk)

    def admit(self, talk: WebSocketSession, request: ws.Request) -> None:
        """The handshake: the path and the page's origin must be ours."""
        headers = {name.lower(): value for name, value in request.extra_headers}
        origin = headers.get(b"origin", b"").decode("latin-1")
        if request.target.partition("?")[0] != self.options.path:
            self.turn_away(talk, 404)
        elif origin not in self.options.origins:
            log.warning("origin not allowed", extra={"origin": origin})
            self.turn_away(talk, 403)
        else:
            talk.accepted = talk.ponged = True
            self.write(talk, ws.AcceptConnection())

    def turn_away(self, talk: WebSocketSession, status: int) -> None:
        try:
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            talk.connection.close_after_flush(
                talk.wire.send(ws.RejectConnection(headers=headers, status_code=status))
            )
        except LocalProtocolError:  # what came was not even HTTP
            talk.connection.close_after_flush(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")

    def gather(self, talk: WebSocketSession, event: ws.TextMessage | ws.BytesMessage) -> None:
        """A message may come in many frames; no more of it is kept than may be served."""
        talk.length += len(event.data)
        talk.text = talk.text and isinstance(event, ws.TextMessage)
        if talk.text and talk.length <= self.options.message_bytes:
            talk.parts.append(str(event.data))
        if talk.length > ENDLESS * self.options.message_bytes:
            self.leave(talk, TOO_BIG, "a message without end")
            return
        if not event.message_finished:
            return
        text, length, is_text = "".join(talk.parts), talk.length, talk.text
        talk.parts, talk.length, talk.text = [], 0, True
        message: dict[str, Any] = {}
        try:
            if not is_text:
                raise Fault("not_text", "messages are JSON texts")
            if length > self.options.message_bytes:
                raise Fault("too_large", f"a message has {self.options.message_bytes} characters at the most")
            message = self.parsed(text)
            self.serve(talk, message)
        except (Fault, SetUpRejected) as fault:
            named = message.get("id")
            more = {"id": named} if isinstance(named, str) and IDENTITY.fullmatch(named) else {}
            self.tell(talk, "error", None, error=fault.name, detail=str(fault), **more)

    @staticmethod
    def parsed(text: str) -> dict[str, Any]:
        try:
            message = json.loads(text)
        except (ValueError, RecursionError):
            raise Fault("malformed", "not JSON") from None
        if not isinstance(message, dict):
            raise Fault("malformed", "not an object")
        return message

    def serve(self, talk: WebSocketSession, message: dict[str, Any]) -> None:
        match message.get("type"):
            case "set_up":
                self.switchboard.offer_call(request_of(message), WebSocketCaller(self, talk))
            case "release":
                self.release(message)
            case "follow":
                self.follow(talk, message)
            case _:
                raise Fault("unknown_type", "type must be set_up, release or follow")

    def release(self, message: dict[str, Any]) -> None:
        """A set-up given up, or the end of a call that stands; it may come on any connection, and cross the
        release of the same call."""
        identity = identity_of(message)
        if identity in self.releases:
            self.releases.discard(identity)
            return
        side = self.sides.get(identity)
        if side is None or side.call is None or side.call.state is CallState.OVER:
            raise Fault("unknown_call", "no call of this id is open here")
        self.switchboard.on_caller_release(side.call)
        self.forget(side)

    def follow(self, talk: WebSocketSession, message: dict[str, Any]) -> None:
        """A client that came back wants to hear of a call that stands, or that ended meanwhile."""
        identity = identity_of(message)
        if self.releases.redirect(identity, talk):
            return
        side = self.sides.get(identity)
        if side is None or side.call is None or side.call.state in (CallState.HELD, CallState.TRYING):
            raise Fault("unknown_call", "no call of this id stands here")
        side.session = talk
        side.say_answer()

    def forget(self, side: WebSocketCaller) -> None:
        if side.call is not None and self.sides.get(side.call.request.identity) is side:
            del self.sides[side.call.request.identity]
            side.call = None  # the call knows its side, too


class WebSocketCaller:
    """One call's client on this front."""

    __slots__ = ("call", "description", "front", "session")

    def __init__(self, front: WebSocketFront, talk: WebSocketSession) -> None:
        self.front, self.session = front, talk
        self.call: Call | None = None
        self.description: bytes | None = None

    def on_accepted(self, call: Call) -> None:
        self.call = call
        self.session.calls[call.number] = call
        self.front.sides[call.request.identity] = self

    def on_withdrawn(self, call: Call) -> None:
        self.done(call)

    def done(self, call: Call) -> None:
        self.session.calls.pop(call.number, None)
        self.front.forget(self)

    def on_progress(self, call: Call) -> None:
        self.front.tell(self.session, "progress", call.request.identity)

    def on_answered(self, call: Call, description: bytes | None) -> None:
        self.session.calls.pop(call.number, None)
        self.description = description
        self.say_answer()

    def say_answer(self) -> None:
        assert self.call is not None
        text = None if self.description is None else base64.b64encode(self.description).decode()
        self.front.tell(self.session, "answer", self.call.request.identity, description=text)

    def on_refused(self, call: Call, retry_after_ms: float) -> None:
        self.done(call)
        self.front.tell(self.session, "refused", call.request.identity, retry_after_ms=round(retry_after_ms))

    def on_failed(self, call: Call) -> None:
        self.done(call)
        self.front.tell(self.session, "failed", call.request.identity)

    def on_released(self, call: Call, cut: bool) -> None:
        cause = int(ReleaseCause.TEMPORARY if cut else ReleaseCause.NORMAL)
        self.front.forget(self)
        self.front.releases.enqueue_release(call.request.identity, cause, self.session, "")
