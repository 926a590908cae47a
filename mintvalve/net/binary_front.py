"""The platform's binary protocol towards callers: thin, the switchboard does the work."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from mintvalve.core.calls import Call, CallState, Request
from mintvalve.core.switchboard import Switchboard, Unacceptable
from mintvalve.net.codec import (
    FROM_CALLERS,
    BadBytes,
    Cause,
    Code,
    Decoder,
    Kind,
    Message,
    encode,
    release,
    whole,
)
from mintvalve.net.connection import Connection, Listener
from mintvalve.net.courier import Courier
from mintvalve.net.loop import Loop

log = logging.getLogger("mintvalve.front.binary")
MOST_UNREAD = 65_536  # bytes; a caller that leaves more unread is cut off
MOST_FAULTS = 8  # set-ups that can't be taken; then their connection is closed
TURN = 32  # messages of one caller in a turn; then the others have theirs
KEEP_MS = 30_000.0  # ms; a release that its caller has not heard by then is dropped
RELEASES_MOST = 4096  # releases on their way to callers


@dataclass(slots=True, eq=False)
class Talk:
    """One caller's connection."""

    connection: Connection
    host: str
    decoder: Decoder = field(default_factory=lambda: Decoder(FROM_CALLERS))
    calls: dict[int, Call] = field(default_factory=dict)  # by own number: taken, not answered
    standing: int = 0  # calls set up on it that stand
    served: bool = False  # a call that it brought stood
    acknowledges: bool = False  # it has acknowledged a release
    spoke_at: float = -math.inf
    faults: int = 0  # set-ups in a row that could not be taken

    @property
    def open(self) -> bool:
        return self.connection.open

    @property
    def proven(self) -> bool:
        """Guards against telling a release to a client that means nothing by its connection: on a day of bad
        clients most connections are of that kind."""
        return self.served or self.acknowledges

    def send(self, data: bytes) -> bool:
        """A caller that leaves a whole buffer unread is cut off: with a gap it would hear nothing true."""
        if self.connection.open and not self.connection.send(data):
            self.connection.end("the caller does not read")
        return self.connection.open


def request_from(message: Message) -> Request:
    """A set-up as a request; BadBytes where it can't be read."""
    if not message.call or not message.text(Code.CLASS) or not message.text(Code.CALLED).isprintable():
        raise BadBytes("a set-up without an id, a class or a number that can be read")
    figures = message.fields(Code.FIGURES)
    dest, width, via = (
        whole(figures.get(name, default), name)
        for name, default in (("dest", ""), ("width", "1"), ("via", "-1"))
    )
    return Request(
        identity=message.call,
        kind=message.text(Code.CLASS),
        called=message.text(Code.CALLED),
        wait_ms=float(message.whole(Code.WAIT, 0)),
        destination=dest,
        width=width,
        tandem=via,
        in_transit=figures.get("transit", "0") == "1",
        was_cut=figures.get("again", "0") == "1",
        description=message.parameters.get(Code.DESCRIPTION),
    )


class BinaryFront:
    """Callers by the binary protocol."""

    def __init__(
        self,
        loop: Loop,
        switchboard: Switchboard,
        address: tuple[str, int],
        room: int,
        unknown: Callable[[int], None],
    ) -> None:
        self.loop, self.switchboard, self.unknown = loop, switchboard, unknown
        self.talks: dict[Connection, Talk] = {}
        self.releases: Courier[Talk] = Courier(loop, self, KEEP_MS, RELEASES_MOST)
        self.serving = True
        self.listener = Listener(loop, *address, self, room, MOST_UNREAD)

    # Connections.

    def opened(self, connection: Connection) -> None:
        try:
            host = connection.sock.getpeername()[0]
        except OSError:
            host = ""
        talk = self.talks[connection] = Talk(connection, host)
        self.releases.opened(talk)

    def closed(self, connection: Connection, reason: str) -> None:
        self.listener.forget(connection)
        talk = self.talks.pop(connection)
        log.debug("caller's connection closed", extra={"reason": reason, "calls": len(talk.calls)})
        for call in list(talk.calls.values()):
            self.switchboard.caller_left(call)
        self.releases.closed(talk)

    def rank(self, connection: Connection) -> int:
        """A connection with open set-ups can't be spared; where calls stand, their callers listen on it."""
        talk = self.talks[connection]
        return -1 if talk.calls else talk.standing

    def turn_out(self, connection: Connection) -> None:
        connection.end("its place is needed")

    def received(self, connection: Connection, data: bytes) -> None:
        """Some messages a turn. Guards against one caller's burst holding up all the others."""
        talk, whole = self.talks[connection], 0
        if data:
            talk.spoke_at = self.loop.now()
        try:
            for message in talk.decoder.feed(data):
                whole += 1
                self.take(talk, message)
                if whole >= TURN:
                    connection.pause()
                    self.loop.soon(lambda: self.go_on(connection))
                    break
        except BadBytes as fault:
            log.info("unreadable", extra={"caller": talk.host, "fault": str(fault)})
            connection.end("unreadable")
        connection.heard(whole, bool(talk.decoder.rest))

    def go_on(self, connection: Connection) -> None:
        """The rest of what a caller said at once."""
        if connection.open:
            connection.resume()
            self.received(connection, b"")

    def take(self, talk: Talk, message: Message) -> None:
        match message.kind:
            case Kind.SET_UP:
                self.set_up(talk, message)
            case Kind.RELEASE:
                self.release(talk, message)
            case Kind.RELEASE_HEARD:
                if self.releases.heard(message.call) and not talk.acknowledges:
                    talk.acknowledges = True
                    self.releases.proved(talk)
            case Kind.TEST:
                passed = b"\1" if self.serving else b"\0"
                talk.send(encode(Message(Kind.TESTED, message.call, {Code.CAUSE: passed})))
            case _:
                pass

    def set_up(self, talk: Talk, message: Message) -> None:
        """Take it or say why not. The id of a call that is open here can't be told apart from it by any
        answer, so a second set-up under it ends the connection, and so do many in a row that can't be
        taken: a caller that comes again as soon as it is turned away gets a cheap answer."""
        request = request_from(message)
        known = self.switchboard.known.get(request.identity)
        if known is not None and isinstance(known.caller, Side) and known.caller.talk is talk:
            raise BadBytes("a second set-up under the id of an open call")
        try:
            self.switchboard.offer(request, Side(self, talk))
        except Unacceptable as fault:
            talk.faults += 1
            log.debug("set-up not taken", extra={"error": fault.name, "detail": str(fault)})
            talk.send(release(message.call, Cause.FAULT))
            if talk.faults >= MOST_FAULTS and not talk.calls:
                raise BadBytes(f"{talk.faults} set-ups that can't be taken") from fault
        else:
            talk.faults = 0

    def release(self, talk: Talk, message: Message) -> None:
        """A set-up given up, or the end of a call that stands; it may come on any connection, and cross the
        release of the same call, which its caller then needs no more."""
        call = self.switchboard.known.get(message.call)
        if call is None:
            self.releases.crossed(message.call)
            self.unknown(message.call)
        elif call.state is CallState.STANDING:
            if isinstance(call.caller, Side):
                call.caller.talk.standing -= 1
            self.switchboard.caller_released(call)
        else:
            self.switchboard.caller_left(call)
        talk.send(encode(Message(Kind.RELEASE_HEARD, message.call)))

    # What callers hear.

    def say(self, way: Talk, call: int, cause: int) -> bool:
        return way.send(release(call, cause))

    def strange(self, call: int, cause: int) -> None:
        """A call of an earlier life is over: whose it was is not known."""
        self.releases.owe(call, cause, None, "")

    def owes(self) -> bool:
        """Some caller has not heard yet, and still can."""
        return self.releases.pending()

    def close(self) -> None:
        """Take no new connections."""
        self.listener.close()

    def shut(self) -> None:
        """The program ends; callers see it as their connections close."""


class Side:
    """One call's caller on this front."""

    __slots__ = ("front", "talk")

    def __init__(self, front: BinaryFront, talk: Talk) -> None:
        self.front, self.talk = front, talk

    def taken(self, call: Call) -> None:
        self.talk.calls[call.number] = call

    def left(self, call: Call) -> None:
        self.talk.calls.pop(call.number, None)

    def progress(self, call: Call) -> None:
        self.talk.send(encode(Message(Kind.PROGRESS, call.request.identity)))

    def answered(self, call: Call, description: bytes | None) -> None:
        self.talk.calls.pop(call.number, None)
        self.talk.standing += 1
        proven, self.talk.served = self.talk.proven, True
        parameters: dict[int, bytes] = {} if description is None else {Code.DESCRIPTION: description}
        self.talk.send(encode(Message(Kind.ANSWER, call.request.identity, parameters)))
        if not proven and self.talk.open:
            self.front.releases.proved(self.talk)

    def refused(self, call: Call, retry_after_ms: float) -> None:
        """The protocol has no field for when to come back."""
        self.final(call, Cause.CONGESTION)

    def failed(self, call: Call) -> None:
        self.final(call, Cause.TEMPORARY)

    def final(self, call: Call, cause: int) -> None:
        self.talk.calls.pop(call.number, None)
        self.talk.send(release(call.request.identity, cause))

    def released(self, call: Call, cut: bool) -> None:
        self.talk.standing -= 1
        cause = Cause.TEMPORARY if cut else Cause.NORMAL
        self.front.releases.owe(call.request.identity, cause, self.talk, self.talk.host)
