"""The front for callers that use the platform's binary protocol.

It translates between messages and the call manager, which owns all calls.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from mintvalve.core.calls import Call, CallState, CallRequest
from mintvalve.core.call_manager import CallManager, SetUpRejected
from mintvalve.core.rate_limit import MAX_UNKNOWN_RELEASES_AT_ONCE, UNKNOWN_RELEASES_PER_S, RateLimit
from mintvalve.net.codec import (
    CALLER_MESSAGE_TYPES,
    ProtocolError,
    ReleaseCause,
    ParameterCode,
    Decoder,
    MessageType,
    Message,
    encode,
    encode_release,
    parse_integer,
)
from mintvalve.net.connection import Connection
from mintvalve.net.listener import Listener
from mintvalve.net.message_turns import MessageTurns
from mintvalve.net.release_scheduler import BroadcastScheduler, ReleaseScheduler
from mintvalve.net.loop import Loop

log = logging.getLogger("mintvalve.front.binary")
MAX_OUTBOUND_BYTES = 65_536  # buffered for one caller; beyond that its connection is closed
MAX_REJECTED_SET_UPS = 8  # in a row on one connection; then it is closed
RELEASE_RETENTION_MS = 30_000.0  # a release not acknowledged by then is discarded
MAX_PENDING_RELEASES = 4096
MAX_UNWRITTEN_FOR_COPIES_BYTES = MAX_OUTBOUND_BYTES // 4  # the rest is kept for answers


@dataclass(slots=True, eq=False)
class BinarySession:
    """One caller's connection. Releases are sent on it as on any `ReleaseConnection`."""

    connection: Connection
    host: str
    unknown_release_limit: RateLimit
    decoder: Decoder = field(default_factory=lambda: Decoder(CALLER_MESSAGE_TYPES))
    unanswered_calls: dict[int, Call] = field(default_factory=dict)  # by `Call.local_id`
    standing_calls: int = 0  # standing calls that were set up on it
    has_answered_call: bool = False  # a call set up on it has been answered
    acknowledges: bool = False  # it has acknowledged a release
    last_data_at: float = -math.inf
    has_left: bool = False  # the caller has closed the connection
    rejected_set_ups: int = 0  # in a row, since the last accepted one

    @property
    def is_open(self) -> bool:
        return self.connection.is_open

    @property
    def is_trusted(self) -> bool:
        """Whether the caller is known to handle calls.

        Guards against sending a release to a client that opens connections without placing calls; bad
        clients can hold most of the connections.
        """
        return self.has_answered_call or self.acknowledges

    def send(self, data: bytes) -> bool:
        """Sends bytes; False if the connection is closed.

        A full buffer closes it, since a caller that misses messages would have a wrong view of its calls.
        """
        if self.connection.is_open and not self.connection.send(data):
            self.connection.close_now("outbound buffer full")
        return self.connection.is_open


def parse_set_up(message: Message) -> CallRequest:
    """Converts a SET_UP message to a request; raises ProtocolError if it is malformed."""
    if (
        not message.call_id
        or not message.text(ParameterCode.CALL_CLASS)
        or not message.text(ParameterCode.CALLED_NUMBER).isprintable()
    ):
        raise ProtocolError(
            f"set-up {message.call_id:016x} needs a call id other than 0, a call class and a printable number"
        )
    routing = message.key_values(ParameterCode.ROUTING)
    destination, width, tandem = (
        parse_integer(routing.get(name, default), name)
        for name, default in (("dest", ""), ("width", "1"), ("via", "-1"))
    )
    return CallRequest(
        identity=message.call_id,
        call_class=message.text(ParameterCode.CALL_CLASS),
        called_number=message.text(ParameterCode.CALLED_NUMBER),
        wait_ms=float(message.integer(ParameterCode.WAIT_MS, 0)),
        destination=destination,
        width=width,
        tandem=tandem,
        in_transit=routing.get("transit", "0") == "1",
        was_cut=routing.get("again", "0") == "1",
        description=message.parameters.get(ParameterCode.DESCRIPTION),
    )


class BinaryFront:
    """Listens for callers from `start_accepting` on, and handles their sessions.

    Releases can be passed to it before that; they are kept for the callers that connect.

    `on_unknown_release` is called with the id of each call that a caller releases and that is not open here.
    """

    def __init__(
        self,
        loop: Loop,
        call_manager: CallManager,
        address: tuple[str, int],
        max_connections: int,
        on_unknown_release: Callable[[int], None],
    ) -> None:
        self.loop, self.call_manager, self.on_unknown_release = loop, call_manager, on_unknown_release
        self.sessions: dict[Connection, BinarySession] = {}
        self.releases: ReleaseScheduler[BinarySession] = ReleaseScheduler(
            loop, self, RELEASE_RETENTION_MS, MAX_PENDING_RELEASES
        )
        self.broadcast: BroadcastScheduler[BinarySession] = BroadcastScheduler(
            loop, self, RELEASE_RETENTION_MS, MAX_PENDING_RELEASES
        )
        self.serving = True
        self.turns = MessageTurns(loop)
        self.listener = Listener(loop, *address, self, max_connections, MAX_OUTBOUND_BYTES)

    # Connection events.

    def on_opened(self, connection: Connection) -> None:
        try:
            host = connection.sock.getpeername()[0]
        except OSError:
            host = ""
        limit = RateLimit(UNKNOWN_RELEASES_PER_S, MAX_UNKNOWN_RELEASES_AT_ONCE, self.loop.now())
        session = self.sessions[connection] = BinarySession(connection, host, limit)
        self.releases.on_connection_opened(session)
        self.broadcast.on_connection_opened(session)

    def on_closed(self, connection: Connection, reason: str) -> None:
        self.listener.remove_connection(connection)
        self.turns.on_closed(connection)
        session = self.sessions.pop(connection)
        log.debug(
            "caller connection closed", extra={"reason": reason, "calls": len(session.unanswered_calls)}
        )
        self.withdraw_unanswered_calls(session)
        session.has_left = True
        self.handle_up_to(math.inf, session)
        self.releases.on_connection_closed(session)
        self.broadcast.on_connection_closed(session)

    def eviction_cost(self, connection: Connection) -> int:
        """Number of standing calls, whose releases are sent on the connection.

        Negative with unanswered calls, or with messages that wait for their turn.
        """
        session = self.sessions[connection]
        if session.unanswered_calls or self.turns.is_waiting(connection):
            return -1
        return session.standing_calls

    def evict(self, connection: Connection) -> None:
        connection.close_now("its place is needed")

    def on_data(self, connection: Connection, data: bytes) -> None:
        session = self.sessions[connection]
        session.last_data_at = self.loop.now()
        session.decoder.add(data)
        self.handle_messages(session)

    def handle_messages(self, session: BinarySession) -> None:
        """Handles the messages of one turn, the rest in later turns."""
        connection, limit = session.connection, self.turns.message_limit
        messages_decoded = self.handle_up_to(limit, session)
        has_more = self.turns.end(connection, messages_decoded, limit, lambda: self.handle_messages(session))
        connection.on_messages_decoded(messages_decoded, bool(session.decoder.buffer) and not has_more)

    def handle_up_to(self, limit: float, session: BinarySession) -> int:
        """Handles complete messages up to a number, and returns how many; a malformed one drops the rest."""
        messages_decoded = 0
        try:
            for message in session.decoder.messages() if limit else ():
                messages_decoded += 1
                self.on_message(session, message)
                if messages_decoded >= limit or session.connection.is_congested:
                    break
        except ProtocolError as error:
            log.info(
                "closing caller connection after a protocol error",
                extra={"caller": session.host, "fault": str(error)},
            )
            session.decoder.buffer.clear()
            session.connection.close_now("protocol error")
        return messages_decoded

    def withdraw_unanswered_calls(self, session: BinarySession) -> None:
        """Withdraws calls whose answer nobody waits for any more; standing calls go on."""
        for call in list(session.unanswered_calls.values()):
            self.call_manager.on_caller_left(call)

    def check_caller_left(self, session: BinarySession) -> bool:
        """Whether the caller has closed its connection, though messages of it are still to be handled.

        Its releases still count. Guards against sending on the set-ups of a caller that has left.
        """
        if not session.has_left and session.connection.check_peer_left():
            session.has_left = True
            self.withdraw_unanswered_calls(session)
        return session.has_left

    def on_message(self, session: BinarySession, message: Message) -> None:
        match message.message_type:
            case MessageType.SET_UP if self.check_caller_left(session):
                self.call_manager.increment_counter("set-up of a caller that left")
            case MessageType.SET_UP:
                self.on_set_up(session, message)
            case MessageType.RELEASE:
                self.on_release(session, message)
            case MessageType.RELEASE_COMPLETE:
                self.on_release_complete(session, message.call_id)
            case MessageType.TEST:
                result = b"\1" if self.serving else b"\0"
                session.send(
                    encode(Message(MessageType.TEST_RESULT, message.call_id, {ParameterCode.CAUSE: result}))
                )
            case _:
                pass

    def on_release_complete(self, session: BinarySession, call_id: int) -> None:
        """Handles the acknowledgement of a release; the first one makes its connection a trusted one."""
        is_known = self.broadcast.on_acknowledged(session, call_id)
        is_known = self.releases.on_acknowledged(call_id) or is_known
        if is_known and not session.acknowledges:
            session.acknowledges = True
            self.on_session_trusted(session)

    def on_session_trusted(self, session: BinarySession) -> None:
        """Sends a caller that is now known to handle calls the releases that wait for one."""
        self.releases.on_connection_trusted(session)
        self.broadcast.on_connection_trusted()

    def on_set_up(self, session: BinarySession, message: Message) -> None:
        """Offers a set-up to the call manager, and answers a rejected one with a release.

        Raises ProtocolError, which closes the connection, in two cases: on a second set-up with the id of a
        call that is open on it, since no answer could tell the two apart; and on MAX_REJECTED_SET_UPS
        rejections in a row, unless a call is unanswered: guards against a caller that retries without pause.
        """
        request = parse_set_up(message)
        open_call = self.call_manager.by_identity.get(request.identity)
        if (
            open_call is not None
            and isinstance(open_call.caller, BinaryCaller)
            and open_call.caller.session is session
        ):
            raise ProtocolError(f"duplicate set-up for open call {request.identity:016x}")
        try:
            self.call_manager.offer_call(request, BinaryCaller(self, session))
        except SetUpRejected as error:
            session.rejected_set_ups += 1
            log.debug("set-up rejected", extra={"error": error.error_name, "detail": str(error)})
            session.send(encode_release(message.call_id, ReleaseCause.SIGNALLING_FAULT))
            if session.rejected_set_ups >= MAX_REJECTED_SET_UPS and not session.unanswered_calls:
                raise ProtocolError(f"{session.rejected_set_ups} rejected set-ups in a row") from error
        else:
            session.rejected_set_ups = 0

    def on_release(self, session: BinarySession, message: Message) -> None:
        """Handles the withdrawal of a set-up or the release of a standing call, on any connection.

        If it crosses our release of the same call, that one need not be delivered any more. The release of a
        call that is not known here goes to all exchanges, at a limited rate: beyond it is not acknowledged.
        """
        call = self.call_manager.by_identity.get(message.call_id)
        if call is None:
            if not self.take_release_of_ended_call(session, message.call_id):
                return
        elif call.state is CallState.STANDING:
            if isinstance(call.caller, BinaryCaller):
                call.caller.session.standing_calls -= 1
            self.call_manager.on_caller_release(call)
        else:
            self.call_manager.on_caller_left(call)
        session.send(encode(Message(MessageType.RELEASE_COMPLETE, message.call_id)))

    def take_release_of_ended_call(self, session: BinarySession, call_id: int) -> bool:
        """Handles the release of a call that is not open; False where the limit does not allow it.

        One that ended here needs nothing more. Any other may have been set up before a restart.
        """
        if call_id not in self.call_manager.ended_calls:
            if not session.unknown_release_limit.allow(self.loop.now()):
                self.call_manager.increment_counter("unknown release not taken")
                return False
            self.broadcast.discard(call_id)
            self.on_unknown_release(call_id)
        self.releases.discard(call_id)
        return True

    # Messages to callers.

    def write_release(self, session: BinarySession, call_id: int, cause: int) -> bool:
        """Writes a release; False if the connection is closed."""
        return session.send(encode_release(call_id, cause))

    def write_copy(self, session: BinarySession, call_id: int, cause: int) -> bool:
        """Writes a copy of a release, unless the caller has left much unread."""
        if session.connection.unwritten_bytes > MAX_UNWRITTEN_FOR_COPIES_BYTES:
            return False
        return self.write_release(session, call_id, cause)

    def release_unknown_call(self, call_id: int, cause: int) -> None:
        """Sends all callers the release of a call set up before this process started."""
        self.broadcast.add(call_id, cause)

    def has_pending_releases(self) -> bool:
        """Whether a release that is not acknowledged yet can still be delivered."""
        return self.releases.has_deliverable() or self.broadcast.has_deliverable()

    def start_accepting(self) -> None:
        """Opens the listening socket; raises OSError where the address can't be listened on."""
        self.listener.open()

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections stay."""
        self.listener.close()

    def close_sessions(self) -> None:
        """Does nothing: the protocol has no closing message, and connections close as the process exits."""


class BinaryCaller:
    """The caller of one call on this front; implements the core's `Caller` port."""

    __slots__ = ("front", "session")

    def __init__(self, front: BinaryFront, session: BinarySession) -> None:
        self.front, self.session = front, session

    def on_accepted(self, call: Call) -> None:
        self.session.unanswered_calls[call.local_id] = call

    def on_withdrawn(self, call: Call) -> None:
        self.session.unanswered_calls.pop(call.local_id, None)

    def on_progress(self, call: Call) -> None:
        self.session.send(encode(Message(MessageType.PROGRESS, call.request.identity)))

    def on_answered(self, call: Call, description: bytes | None) -> None:
        self.session.unanswered_calls.pop(call.local_id, None)
        self.session.standing_calls += 1
        was_trusted, self.session.has_answered_call = self.session.is_trusted, True
        parameters: dict[int, bytes] = {} if description is None else {ParameterCode.DESCRIPTION: description}
        self.session.send(encode(Message(MessageType.ANSWER, call.request.identity, parameters)))
        if not was_trusted and self.session.is_open:
            self.front.on_session_trusted(self.session)

    def on_refused(self, call: Call, retry_after_ms: float) -> None:
        """Refuses the call. The protocol has no field for `retry_after_ms`."""
        self.end_set_up(call, ReleaseCause.CONGESTION)

    def on_failed(self, call: Call) -> None:
        self.end_set_up(call, ReleaseCause.TEMPORARY_FAILURE)

    def end_set_up(self, call: Call, cause: int) -> None:
        """Ends an unanswered call with a release."""
        self.session.unanswered_calls.pop(call.local_id, None)
        self.session.send(encode_release(call.request.identity, cause))

    def on_released(self, call: Call, cut: bool) -> None:
        self.session.standing_calls -= 1
        cause = ReleaseCause.TEMPORARY_FAILURE if cut else ReleaseCause.NORMAL_CLEARING
        self.front.releases.enqueue_release(call.request.identity, cause, self.session, self.session.host)
