"""The front for clients that control calls over WebSocket, with JSON text messages.

A client sends set_up, release and follow; it receives progress, answer, refused, failed, release and error.
As on the binary front, a standing call is bound to no connection: a client that reconnects follows the call
by its id, and receives the release if the call has ended meanwhile.
"""

from __future__ import annotations

import base64
import json
import logging
import math
import socket
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from wsproto import ConnectionType, WSConnection
from wsproto import events as ws
from wsproto.utilities import LocalProtocolError, RemoteProtocolError

from mintvalve.core.calls import Call, CallState
from mintvalve.core.call_manager import CallManager, SetUpRejected
from mintvalve.core.rate_limit import MAX_UNKNOWN_RELEASES_AT_ONCE, UNKNOWN_RELEASES_PER_S, RateLimit
from mintvalve.core.unknown_call_followers import UnknownCallFollowers
from mintvalve.net.codec import ReleaseCause
from mintvalve.net.connection import Connection
from mintvalve.net.listener import Listener
from mintvalve.net.message_turns import MessageTurns
from mintvalve.net.release_scheduler import ReleaseScheduler
from mintvalve.net.websocket_messages import (
    CALL_ID_PATTERN,
    MessageRejected,
    may_end_with_close_frame,
    parse_call_id,
    parse_message,
    parse_set_up,
)
from mintvalve.net.websocket_options import WebSocketOptions
from mintvalve.net.websocket_handshake import (
    BAD_REQUEST,
    HEAD_TOO_LARGE,
    HandshakeLimits,
    HandshakeTooLarge,
    error_response,
)
from mintvalve.net.loop import Loop

log = logging.getLogger("mintvalve.front.websocket")

RELEASE_RETENTION_MS = 60_000.0  # of a release that is undelivered, for a client that reconnects
MAX_PENDING_RELEASES = 4096
MAX_UNANSWERED_PINGS = 64  # that ask for the confirmation of releases
CLOSE_GOING_AWAY = 1001
CLOSE_POLICY_VIOLATION = 1008
CLOSE_MESSAGE_TOO_BIG = 1009
CLOSE_TRY_AGAIN_LATER = 1013
MESSAGE_ABORT_FACTOR = 8  # times `message_bytes`; a longer message closes its connection


@dataclass(slots=True, eq=False)
class WebSocketSession:
    """One client's connection. Releases are sent on it as on any `ReleaseConnection`."""

    connection: Connection
    unknown_release_limit: RateLimit
    websocket: WSConnection = field(default_factory=lambda: WSConnection(ConnectionType.SERVER))
    handshake_limits: HandshakeLimits = field(default_factory=HandshakeLimits)
    handshake_accepted: bool = False
    has_left: bool = False  # the client has closed the connection
    decoded_events: deque[ws.Event] = field(default_factory=deque)  # ahead of those in `websocket`
    unanswered_calls: dict[int, Call] = field(default_factory=dict)  # by `Call.local_id`
    message_in_progress: bool = False  # a message has begun and not ended
    message_text: bytearray = field(default_factory=bytearray)  # what is kept of it, in UTF-8
    message_length: int = 0  # characters or bytes received of it
    message_is_text: bool = True  # false once a binary frame of it has come
    pong_received: bool = True  # since the last ping of `ping_clients`
    host: str = ""  # empty: only the client that set a call up, or follows it, may receive its release
    is_trusted: bool = False
    acknowledges: bool = True  # by pongs
    last_data_at: float = -math.inf
    # Ids of calls whose release was sent, before and after the next ping that asks for confirmation.
    unconfirmed_releases: dict[int, None] = field(default_factory=dict)
    releases_by_ping: dict[int, dict[int, None]] = field(default_factory=dict)  # by ping number
    last_ping_number: int = 0  # of the pings that ask for confirmation

    @property
    def is_open(self) -> bool:
        return self.handshake_accepted and self.connection.is_open

    def events(self) -> Iterator[ws.Event]:
        """The events received and not handled yet; those that are not asked for stay."""
        while self.decoded_events:
            yield self.decoded_events.popleft()
        yield from self.websocket.events()


class WebSocketFront:
    """Listens for clients from `start_accepting` on, and handles their sessions.

    `on_unknown_release` is called with the id of each call that a client releases and that is not open here.
    """

    def __init__(
        self,
        loop: Loop,
        call_manager: CallManager,
        options: WebSocketOptions,
        address: tuple[str, int],
        on_unknown_release: Callable[[int], None],
    ) -> None:
        self.loop, self.call_manager, self.options = loop, call_manager, options
        self.on_unknown_release = on_unknown_release
        self.sessions: dict[Connection, WebSocketSession] = {}
        self.turns = MessageTurns(loop)
        self.callers: dict[int, WebSocketCaller] = {}  # by call id
        self.releases: ReleaseScheduler[WebSocketSession] = ReleaseScheduler(
            loop, self, RELEASE_RETENTION_MS, MAX_PENDING_RELEASES, allow_other_hosts=False
        )
        # Releases of calls of an earlier process, until a client asks for them. Kept apart, so that they
        # can't displace the releases of calls whose client is known.
        self.unclaimed_releases: ReleaseScheduler[WebSocketSession] = ReleaseScheduler(
            loop, self, RELEASE_RETENTION_MS, MAX_PENDING_RELEASES, allow_other_hosts=False
        )
        self.followers: UnknownCallFollowers[WebSocketSession] = UnknownCallFollowers()
        self.listener = Listener(loop, *address, self, options.connections, options.outbound_bytes)

    # Connection events.

    def on_opened(self, connection: Connection) -> None:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.options.outbound_bytes)
        limit = RateLimit(UNKNOWN_RELEASES_PER_S, MAX_UNKNOWN_RELEASES_AT_ONCE, self.loop.now())
        self.sessions[connection] = WebSocketSession(connection, limit)

    def on_closed(self, connection: Connection, reason: str) -> None:
        self.listener.remove_connection(connection)
        self.turns.on_closed(connection)
        session = self.sessions.pop(connection)
        log.debug(
            "client connection closed", extra={"reason": reason, "calls": len(session.unanswered_calls)}
        )
        self.withdraw_unanswered_calls(session)
        if session.handshake_accepted:
            session.has_left = True
            self.handle_up_to(math.inf, session)
        self.followers.remove_client(session)
        self.releases.on_connection_closed(session)
        self.unclaimed_releases.on_connection_closed(session)

    def eviction_cost(self, connection: Connection) -> int:
        """Number of standing calls whose client uses the connection.

        Negative with unanswered calls, or with frames that wait for their turn.
        """
        session = self.sessions[connection]
        if session.unanswered_calls or self.turns.is_waiting(connection):
            return -1
        return sum(caller.session is session for caller in self.callers.values())

    def evict(self, connection: Connection) -> None:
        self.close_session(self.sessions[connection], CLOSE_TRY_AGAIN_LATER, "its place is needed")

    def withdraw_unanswered_calls(self, session: WebSocketSession) -> None:
        """Withdraws calls whose answer nobody waits for any more; standing calls go on."""
        for call in list(session.unanswered_calls.values()):
            self.call_manager.on_caller_left(call)

    def ping_clients(self) -> None:
        """Closes connections without a pong or a handshake since the last ping, and pings the others.

        Detects clients that vanish without closing, such as a page on a machine that lost its network.
        """
        if self.listener.sock.fileno() >= 0:
            self.loop.call_later(self.options.ping_ms, self.ping_clients)
        for session in list(self.sessions.values()):
            if not session.pong_received:
                session.connection.close_now("no pong since the last ping")
                continue
            session.pong_received = False
            if session.handshake_accepted:
                self.send_event(session, ws.Ping())

    def start_accepting(self) -> None:
        """Opens the listening socket; raises OSError where the address can't be listened on."""
        self.listener.open()
        self.loop.call_later(self.options.ping_ms, self.ping_clients)

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections stay."""
        self.listener.close()

    def close_sessions(self) -> None:
        """Closes all connections since the process is about to exit."""
        for session in list(self.sessions.values()):
            self.close_session(session, CLOSE_GOING_AWAY, "going away")

    # Messages to clients.

    def send_event(self, session: WebSocketSession, event: ws.Event) -> None:
        """Sends one frame. A client whose buffer is full is disconnected, so that buffers stay bounded."""
        if not session.connection.is_open:
            return
        try:
            data = session.websocket.send(event)
        except LocalProtocolError:
            return  # the closing handshake has begun
        if not session.connection.send(data):
            self.close_session(session, CLOSE_POLICY_VIOLATION, "slow reader")

    def close_session(self, session: WebSocketSession, code: int, reason: str) -> None:
        """Sends buffered data and a close frame with this code, and closes the connection.

        Unanswered calls are withdrawn in the next turn of the loop.
        """
        if session.connection.is_open:
            log.info("closing client connection", extra={"code": code, "reason": reason})
            try:
                close_frame = (
                    session.websocket.send(ws.CloseConnection(code, reason))
                    if session.handshake_accepted
                    else b""
                )
            except LocalProtocolError:
                close_frame = b""
            session.connection.close_after_flush(close_frame)
            self.loop.call_soon(lambda: self.withdraw_unanswered_calls(session))

    def has_pending_releases(self) -> bool:
        """Whether a release that is not acknowledged yet can still be delivered."""
        return self.releases.has_deliverable() or self.unclaimed_releases.has_deliverable()

    def release_unknown_call(self, call_id: int, cause: int) -> None:
        """Releases a call set up before this process started: to the client that follows it, or to the first
        one that does so later."""
        session = self.followers.pop(call_id)
        if session is not None:
            self.releases.enqueue_release(call_id, cause, session, "")
        else:
            self.unclaimed_releases.enqueue_release(call_id, cause, None, "")

    def write_release(self, session: WebSocketSession, call_id: int, cause: int) -> bool:
        """Sends a release, and a ping whose pong acknowledges it; False if the connection is closed.

        Clients handle frames in order, so a pong confirms everything sent before its ping. One ping serves
        all releases of a turn, and a pong answers all earlier pings too (RFC 6455, 5.5.3).
        """
        if not self.send_message(session, "release", call_id, cause=cause):
            return False
        if not session.unconfirmed_releases:
            self.loop.call_soon(lambda: self.send_confirmation_ping(session))
        session.unconfirmed_releases[call_id] = None
        return True

    def send_confirmation_ping(self, session: WebSocketSession) -> None:
        """Sends a numbered ping for the releases written since the last one.

        Guards against a client that asks for releases again and again and answers no pings: the record of
        what each ping confirms would grow without end.
        """
        if len(session.releases_by_ping) >= MAX_UNANSWERED_PINGS:
            self.close_session(session, CLOSE_POLICY_VIOLATION, "no pongs")
            return
        session.last_ping_number += 1
        session.releases_by_ping[session.last_ping_number], session.unconfirmed_releases = (
            session.unconfirmed_releases,
            {},
        )
        self.send_event(session, ws.Ping(b"heard %d" % session.last_ping_number))

    def on_pong(self, session: WebSocketSession, payload: bytes) -> None:
        """Acknowledges the releases written before the ping that this pong answers."""
        session.pong_received = True
        prefix, _, number = payload.partition(b" ")
        if prefix != b"heard" or not number.isdigit() or int(number) not in session.releases_by_ping:
            return
        for ping in [earlier for earlier in session.releases_by_ping if earlier <= int(number)]:
            for call_id in session.releases_by_ping.pop(ping):
                self.releases.on_acknowledged(call_id)
                self.unclaimed_releases.on_acknowledged(call_id)

    def send_message(
        self,
        session: WebSocketSession | None,
        message_type: str,
        call_id: int | None = None,
        **message_fields: object,
    ) -> bool:
        """Sends one JSON message; False if the connection is closed."""
        if session is None or not session.connection.is_open:
            return False
        id_field = {} if call_id is None else {"id": f"{call_id:016x}"}
        self.send_event(
            session, ws.TextMessage(json.dumps({"type": message_type, **id_field, **message_fields}))
        )
        return session.connection.is_open

    # Messages from clients.

    def on_data(self, connection: Connection, data: bytes) -> None:
        session = self.sessions[connection]
        session.last_data_at = self.loop.now()
        try:
            session.handshake_limits.check(data)
            session.websocket.receive_data(data)
        except RemoteProtocolError as error:
            self.on_protocol_error(session, error)
        except (HandshakeTooLarge, UnicodeError) as error:
            log.info("rejecting a handshake", extra={"fault": str(error)})
            status = HEAD_TOO_LARGE if isinstance(error, HandshakeTooLarge) else BAD_REQUEST
            connection.close_after_flush(error_response(status))
        else:
            if may_end_with_close_frame(data):
                self.look_for_close_frame(session)
            self.handle_events(session)

    def look_for_close_frame(self, session: WebSocketSession) -> None:
        """Decodes all that was received, to see whether the client closes its connection behind it."""
        if not session.handshake_accepted or session.has_left:
            return
        session.decoded_events += session.websocket.events()
        if any(isinstance(event, ws.CloseConnection) for event in session.decoded_events):
            session.has_left = True
            self.withdraw_unanswered_calls(session)

    def handle_events(self, session: WebSocketSession) -> None:
        """Handles the events of one turn, the rest in later turns; a read may hold thousands of frames."""
        connection, limit = session.connection, self.turns.message_limit
        event_count, messages_decoded = self.handle_up_to(limit, session)
        has_more = self.turns.end(connection, event_count, limit, lambda: self.handle_events(session))
        connection.on_messages_decoded(messages_decoded, session.message_in_progress and not has_more)

    def handle_up_to(self, limit: float, session: WebSocketSession) -> tuple[int, int]:
        """Handles events up to a number; returns how many, and how many of them completed a message."""
        connection, event_count, messages_decoded = session.connection, 0, 0
        try:
            for event in session.events() if limit else ():
                event_count += 1
                self.on_event(session, event)
                messages_decoded += session.handshake_accepted and not session.message_in_progress
                is_over = not connection.is_open and not session.has_left
                if event_count >= limit or is_over or connection.is_congested:
                    break
        except RemoteProtocolError as error:
            self.on_protocol_error(session, error)
        return event_count, messages_decoded

    def check_client_left(self, session: WebSocketSession) -> bool:
        """Whether the client has closed its connection, though messages of it are still to be handled.

        Its releases still count. Guards against sending on the set-ups of a client that has left.
        """
        if not session.has_left and session.connection.check_peer_left():
            session.has_left = True
            self.withdraw_unanswered_calls(session)
        return session.has_left

    def on_protocol_error(self, session: WebSocketSession, error: RemoteProtocolError) -> None:
        """Closes a connection whose client violated the protocol."""
        log.info("closing client connection after a WebSocket protocol error", extra={"fault": str(error)})
        hint = error.event_hint
        if session.handshake_accepted:
            self.close_session(session, getattr(hint, "code", 1002), "protocol error")
        else:
            self.reject_handshake(session, getattr(hint, "status_code", None) or BAD_REQUEST)

    def on_event(self, session: WebSocketSession, event: ws.Event) -> None:
        match event:
            case ws.Request():
                self.on_handshake(session, event)
            case ws.TextMessage() | ws.BytesMessage():
                self.on_message_frame(session, event)
            case ws.Ping():
                self.send_event(session, event.response())
            case ws.Pong():
                self.on_pong(session, bytes(event.payload))
            case ws.CloseConnection():
                self.on_close_frame(session, event)

    def on_close_frame(self, session: WebSocketSession, event: ws.CloseConnection) -> None:
        """Answers the client's close frame, and closes the connection."""
        try:
            close_frame = session.websocket.send(event.response())
        except LocalProtocolError:
            close_frame = b""  # the closing handshake has ended
        session.connection.close_after_flush(close_frame)
        self.withdraw_unanswered_calls(session)

    def on_handshake(self, session: WebSocketSession, request: ws.Request) -> None:
        """Accepts a handshake to the configured path from a page of an allowed origin; rejects any other."""
        headers = {name.lower(): value for name, value in request.extra_headers}
        origin = headers.get(b"origin", b"").decode("latin-1")
        if request.target.partition("?")[0] != self.options.path:
            self.reject_handshake(session, 404)
        elif origin not in self.options.origins:
            log.warning("handshake rejected: origin not allowed", extra={"origin": origin})
            self.reject_handshake(session, 403)
        else:
            session.handshake_accepted = session.pong_received = True
            self.send_event(session, ws.AcceptConnection())

    def reject_handshake(self, session: WebSocketSession, status: int) -> None:
        try:
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            session.connection.close_after_flush(
                session.websocket.send(ws.RejectConnection(headers=headers, status_code=status))
            )
        except LocalProtocolError:  # the client did not send HTTP, so wsproto refuses to respond
            session.connection.close_after_flush(error_response(BAD_REQUEST))

    def on_message_frame(self, session: WebSocketSession, event: ws.TextMessage | ws.BytesMessage) -> None:
        """Collects the frames of a message and handles it when complete; answers faults with an error.

        At most `message_bytes` characters are kept, whatever frames they come in. A message of more than
        MESSAGE_ABORT_FACTOR times that closes the connection, complete or not.
        """
        session.message_in_progress = not event.message_finished
        session.message_length += len(event.data)
        session.message_is_text = session.message_is_text and isinstance(event, ws.TextMessage)
        if session.message_is_text and session.message_length <= self.options.message_bytes:
            session.message_text += str(event.data).encode()
        if session.message_length > MESSAGE_ABORT_FACTOR * self.options.message_bytes:
            self.close_session(session, CLOSE_MESSAGE_TOO_BIG, "a message without end")
            return
        if not event.message_finished:
            return
        text, length, is_text = (
            session.message_text.decode(),
            session.message_length,
            session.message_is_text,
        )
        session.message_text, session.message_length, session.message_is_text = bytearray(), 0, True
        message: dict[str, Any] = {}
        try:
            if not is_text:
                raise MessageRejected("not_text", "messages must be JSON in text frames, got a binary frame")
            if length > self.options.message_bytes:
                raise MessageRejected(
                    "too_large", f"message has {length} characters, the limit is {self.options.message_bytes}"
                )
            message = parse_message(text)
            self.on_message(session, message)
        except (MessageRejected, SetUpRejected) as error:
            call_id = message.get("id")
            id_field = (
                {"id": call_id} if isinstance(call_id, str) and CALL_ID_PATTERN.fullmatch(call_id) else {}
            )
            self.send_message(session, "error", None, error=error.error_name, detail=str(error), **id_field)

    def on_message(self, session: WebSocketSession, message: dict[str, Any]) -> None:
        match message.get("type"):
            case "set_up" if self.check_client_left(session):
                self.call_manager.increment_counter("set-up of a caller that left")
            case "set_up":
                self.call_manager.offer_call(parse_set_up(message), WebSocketCaller(self, session))
            case "release":
                self.on_release(session, message)
            case "follow":
                self.on_follow(session, message)
            case _:
                raise MessageRejected("unknown_type", "type must be set_up, release or follow")

    def on_release(self, session: WebSocketSession, message: dict[str, Any]) -> None:
        """Handles the withdrawal of a set-up or the release of a standing call, on any connection.

        If it crosses our release of the same call, that one need not be delivered any more. A call that is
        not known here may have been set up before a restart: its release is passed on to all exchanges.
        """
        call_id = parse_call_id(message)
        for releases in (self.releases, self.unclaimed_releases):
            if call_id in releases:
                releases.discard(call_id)
                return
        caller = self.callers.get(call_id)
        if caller is None or caller.call is None or caller.call.state is CallState.ENDED:
            if call_id in self.call_manager.by_identity or call_id in self.call_manager.ended_calls:
                raise MessageRejected("unknown_call", "no call with this id is open on this front")
            if not session.unknown_release_limit.allow(self.loop.now()):
                self.call_manager.increment_counter("unknown release not taken")
                raise MessageRejected("unknown_call", "no call with this id is known here")
            self.followers.pop(call_id)
            self.on_unknown_release(call_id)
            raise MessageRejected(
                "unknown_call",
                "no call with this id is known here; its release was passed on to the exchanges",
            )
        self.call_manager.on_caller_release(caller.call)
        self.remove_caller(caller)

    def on_follow(self, session: WebSocketSession, message: dict[str, Any]) -> None:
        """Binds a call to the session of a reconnected client; sends its answer, or the release it missed.

        A call that is not known here may have been set up before a restart: its release is sent to the client
        if an exchange sends one.
        """
        call_id = parse_call_id(message)
        if self.releases.redirect(call_id, session) or self.unclaimed_releases.redirect(call_id, session):
            return
        if call_id not in self.call_manager.by_identity:
            self.followers.add(call_id, session)
            raise MessageRejected(
                "unknown_call",
                "no call with this id is known here; its release is passed on if there is one",
            )
        caller = self.callers.get(call_id)
        if caller is None or caller.call is None or caller.call.state in (CallState.HELD, CallState.TRYING):
            raise MessageRejected("unknown_call", "no standing call with this id on this front")
        caller.session = session
        caller.send_answer()

    def remove_caller(self, caller: WebSocketCaller) -> None:
        """Removes a call that is over, and breaks the reference cycle between it and its caller."""
        if caller.call is not None and self.callers.get(caller.call.request.identity) is caller:
            del self.callers[caller.call.request.identity]
            caller.call = None


class WebSocketCaller:
    """The client of one call on this front; implements the core's `Caller` port."""

    __slots__ = ("call", "description", "front", "session")

    def __init__(self, front: WebSocketFront, session: WebSocketSession) -> None:
        self.front, self.session = front, session
        self.call: Call | None = None
        self.description: bytes | None = None

    def on_accepted(self, call: Call) -> None:
        self.call = call
        self.session.unanswered_calls[call.local_id] = call
        self.front.callers[call.request.identity] = self

    def on_withdrawn(self, call: Call) -> None:
        self.discard_call(call)

    def discard_call(self, call: Call) -> None:
        self.session.unanswered_calls.pop(call.local_id, None)
        self.front.remove_caller(self)

    def on_progress(self, call: Call) -> None:
        self.front.send_message(self.session, "progress", call.request.identity)

    def on_answered(self, call: Call, description: bytes | None) -> None:
        self.session.unanswered_calls.pop(call.local_id, None)
        self.description = description
        self.send_answer()

    def send_answer(self) -> None:
        assert self.call is not None
        encoded_description = (
            None if self.description is None else base64.b64encode(self.description).decode()
        )
        self.front.send_message(
            self.session, "answer", self.call.request.identity, description=encoded_description
        )

    def on_refused(self, call: Call, retry_after_ms: float) -> None:
        self.discard_call(call)
        self.front.send_message(
            self.session, "refused", call.request.identity, retry_after_ms=round(retry_after_ms)
        )

    def on_failed(self, call: Call) -> None:
        self.discard_call(call)
        self.front.send_message(self.session, "failed", call.request.identity)

    def on_released(self, call: Call, cut: bool) -> None:
        cause = int(ReleaseCause.TEMPORARY_FAILURE if cut else ReleaseCause.NORMAL_CLEARING)
        self.front.remove_caller(self)
        self.front.releases.enqueue_release(call.request.identity, cause, self.session, "")
