"""The platform's binary protocol towards callers: thin, the switchboard does the work."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from mintvalve.core.calls import Call, CallState, CallRequest
from mintvalve.core.call_manager import CallManager, SetUpRejected
from mintvalve.net.codec import (
    FROM_CALLERS,
    ProtocolError,
    ReleaseCause,
    ParameterCode,
    Decoder,
    MessageType,
    Message,
    encode,
    release,
    whole,
)
from mintvalve.net.connection import Connection, Listener
from mintvalve.net.release_scheduler import ReleaseScheduler
from mintvalve.net.loop import Loop

log = logging.getLogger("mintvalve.front.binary")
MOST_UNREAD = 65_536  # bytes; a caller that leaves more unread is cut off
MOST_FAULTS = 8  # set-ups that can't be taken; then their connection is closed
TURN = 32  # messages of one caller in a turn; then the others have theirs
KEEP_MS = 30_000.0  # ms; a release that its caller has not heard by then is dropped
RELEASES_MOST = 4096  # releases on their way to callers


@dataclass(slots=True, eq=False)
class BinarySession:
    """One caller's connection."""

    connection: Connection
    host: str
    decoder: Decoder = field(default_factory=lambda: Decoder(FROM_CALLERS))
    calls: dict[int, Call] = field(default_factory=dict)  # by own number: taken, not answered
    standing: int = 0  # calls set up on it that stand
    served: bool = False  # a call that it brought stood
    acknowledges: bool = False  # it has acknowledged a release
    last_data_at: float = -math.inf
    faults: int = 0  # set-ups in a row that could not be taken

    @property
    def is_open(self) -> bool:
        return self.connection.is_open

    @property
    def is_trusted(self) -> bool:
        """Guards against telling a release to a client that means nothing by its connection: on a day of bad
        clients most connections are of that kind."""
        return self.served or self.acknowledges

    def send(self, data: bytes) -> bool:
        """A caller that leaves a whole buffer unread is cut off: with a gap it would hear nothing true."""
        if self.connection.is_open and not self.connection.send(data):
            self.connection.close_now("the caller does not read")
        return self.connection.is_open


def request_from(message: Message) -> CallRequest:
    """A set-up as a request; BadBytes where it can't be read."""
    if (
        not message.call
        or not message.text(ParameterCode.CLASS)
        or not message.text(ParameterCode.CALLED).isprintable()
    ):
        raise ProtocolError("a set-up without an id, a class or a number that can be read")
    figures = message.fields(ParameterCode.FIGURES)
    dest, width, via = (
        whole(figures.get(name, default), name)
        for name, default in (("dest", ""), ("width", "1"), ("via", "-1"))
    )
    return CallRequest(
        identity=message.call,
        call_class=message.text(ParameterCode.CLASS),
        called=message.text(ParameterCode.CALLED),
        wait_ms=float(message.whole(ParameterCode.WAIT, 0)),
        destination=dest,
        width=width,
        tandem=via,
        in_transit=figures.get("transit", "0") == "1",
        was_cut=figures.get("again", "0") == "1",
        description=message.parameters.get(ParameterCode.DESCRIPTION),
    )


class BinaryFront:
    """Callers by the binary protocol."""

    def __init__(
        self,
        loop: Loop,
        switchboard: CallManager,
        address: tuple[str, int],
        room: int,
        unknown: Callable[[int], None],
    ) -> None:
        self.loop, self.switchboard, self.unknown = loop, switchboard, unknown
        self.sessions: dict[Connection, BinarySession] = {}
        self.releases: ReleaseScheduler[BinarySession] = ReleaseScheduler(loop, self, KEEP_MS, RELEASES_MOST)
        self.serving = True
        self.listener = Listener(loop, *address, self, room, MOST_UNREAD)

    # Connections.

    def on_opened(self, connection: Connection) -> None:
        try:
            host = connection.sock.getpeername()[0]
        except OSError:
            host = ""
        talk = self.sessions[connection] = BinarySession(connection, host)
        self.releases.on_connection_opened(talk)

    def on_closed(self, connection: Connection, reason: str) -> None:
        self.listener.remove_connection(connection)
        talk = self.sessions.pop(connection)
        log.debug("caller's connection closed", extra={"reason": reason, "calls": len(talk.calls)})
        for call in list(talk.calls.values()):
            self.switchboard.on_caller_left(call)
        self.releases.on_connection_closed(talk)

    def eviction_cost(self, connection: Connection) -> int:
        """A connection with open set-ups can't be spared; where calls stand, their callers listen on it."""
        talk = self.sessions[connection]
        return -1 if talk.calls else talk.standing

    def evict(self, connection: Connection) -> None:
        connection.close_now("its place is needed")

    def on_data(self, connection: Connection, data: bytes) -> None:
        """Some messages a turn. Guards against one caller's burst holding up all the others."""
        talk, whole = self.sessions[connection], 0
        if data:
            talk.last_data_at = self.loop.now()
        try:
            for message in talk.decoder.feed(data):
                whole += 1
                self.take(talk, message)
                if whole >= TURN:
                    connection.pause_reading()
                    self.loop.call_soon(lambda: self.go_on(connection))
                    break
        except ProtocolError as fault:
            log.info("unreadable", extra={"caller": talk.host, "fault": str(fault)})
            connection.close_now("unreadable")
        connection.on_messages_decoded(whole, bool(talk.decoder.rest))

    def go_on(self, connection: Connection) -> None:
        """The rest of what a caller said at once."""
        if connection.is_open:
            connection.resume_reading()
            self.on_data(connection, b"")

    def take(self, talk: BinarySession, message: Message) -> None:
        match message.kind:
            case MessageType.SET_UP:
                self.set_up(talk, message)
            case MessageType.RELEASE:
                self.release(talk, message)
            case MessageType.RELEASE_HEARD:
                if self.releases.on_acknowledged(message.call) and not talk.acknowledges:
                    talk.acknowledges = True
                    self.releases.on_connection_trusted(talk)
            case MessageType.TEST:
                passed = b"\1" if self.serving else b"\0"
                talk.send(encode(Message(MessageType.TESTED, message.call, {ParameterCode.CAUSE: passed})))
            case _:
                pass

    def set_up(self, talk: BinarySession, message: Message) -> None:
        """Take it or say why not. The id of a call that is open here can't be told apart from it by any
        answer, so a second set-up under it ends the connection, and so do many in a row that can't be
        taken: a caller that comes again as soon as it is turned away gets a cheap answer."""
        request = request_from(message)
        known = self.switchboard.by_identity.get(request.identity)
        if known is not None and isinstance(known.caller, BinaryCaller) and known.caller.session is talk:
            raise ProtocolError("a second set-up under the id of an open call")
        try:
            self.switchboard.offer_call(request, BinaryCaller(self, talk))
        except SetUpRejected as fault:
            talk.faults += 1
            log.debug("set-up not taken", extra={"error": fault.name, "detail": str(fault)})
            talk.send(release(message.call, ReleaseCause.FAULT))
            if talk.faults >= MOST_FAULTS and not talk.calls:
                raise ProtocolError(f"{talk.faults} set-ups that can't be taken") from fault
        else:
            talk.faults = 0

    def release(self, talk: BinarySession, message: Message) -> None:
        """A set-up given up, or the end of a call that stands; it may come on any connection, and cross the
        release of the same call, which its caller then needs no more."""
        call = self.switchboard.by_identity.get(message.call)
        if call is None:
            self.releases.discard(message.call)
            self.unknown(message.call)
        elif call.state is CallState.STANDING:
            if isinstance(call.caller, BinaryCaller):
                call.caller.session.standing -= 1
            self.switchboard.on_caller_release(call)
        else:
            self.switchboard.on_caller_left(call)
        talk.send(encode(Message(MessageType.RELEASE_HEARD, message.call)))

    # What callers hear.

    def write_release(self, way: BinarySession, call: int, cause: int) -> bool:
        return way.send(release(call, cause))

    def release_unknown_call(self, call: int, cause: int) -> None:
        """A call of an earlier life is over: whose it was is not known."""
        self.releases.enqueue_release(call, cause, None, "")

    def has_pending_releases(self) -> bool:
        """Some caller has not heard yet, and still can."""
        return self.releases.has_deliverable()

    def stop_accepting(self) -> None:
        """Take no new connections."""
        self.listener.close()

    def close_sessions(self) -> None:
        """The program ends; callers see it as their connections close."""


class BinaryCaller:
    """One call's caller on this front."""

    __slots__ = ("front", "session")

    def __init__(self, front: BinaryFront, talk: BinarySession) -> None:
        self.front, self.session = front, talk

    def on_accepted(self, call: Call) -> None:
        self.session.calls[call.number] = call

    def on_withdrawn(self, call: Call) -> None:
        self.session.calls.pop(call.number, None)

    def on_progress(self, call: Call) -> None:
        self.session.send(encode(Message(MessageType.PROGRESS, call.request.identity)))

    def on_answered(self, call: Call, description: bytes | None) -> None:
        self.session.calls.pop(call.number, None)
        self.session.standing += 1
        proven, self.session.served = self.session.is_trusted, True
        parameters: dict[int, bytes] = {} if description is None else {ParameterCode.DESCRIPTION: description}
        self.session.send(encode(Message(MessageType.ANSWER, call.request.identity, parameters)))
        if not proven and self.session.is_open:
            self.front.releases.on_connection_trusted(self.session)

    def on_refused(self, call: Call, retry_after_ms: float) -> None:
        """The protocol has no field for when to come back."""
        self.final(call, ReleaseCause.CONGESTION)

    def on_failed(self, call: Call) -> None:
        self.final(call, ReleaseCause.TEMPORARY)

    def final(self, call: Call, cause: int) -> None:
        self.session.calls.pop(call.number, None)
        self.session.send(release(call.request.identity, cause))

    def on_released(self, call: Call, cut: bool) -> None:
        self.session.standing -= 1
        cause = ReleaseCause.TEMPORARY if cut else ReleaseCause.NORMAL
        self.front.releases.enqueue_release(call.request.identity, cause, self.session, self.session.host)
