"""The platform's binary protocol towards callers: thin, the switchboard does the work."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from mintvalve.core.calls import Call, CallState, Request
from mintvalve.core.switchboard import Switchboard, Unacceptable
from mintvalve.net.codec import (
    FROM_CALLERS, BadBytes, Cause, Code, Decoder, Kind, Message, encode, release, whole,
)
from mintvalve.net.connection import Connection, Listener
from mintvalve.net.loop import Loop

log = logging.getLogger("mintvalve.front.binary")
MOST_UNREAD = 65_536  # bytes; a caller that leaves more unread is cut off
MOST_FAULTS = 8  # set-ups that can't be taken; then their connection is closed
TURN = 32  # messages of one caller in a turn; then the others have theirs
MEANT_MS = 500.0  # ms; so long it waits for one that was served; callers must hear within 1 s
OWED_MS = 10_000.0  # ms; a release that finds no connection waits so long for the next one


@dataclass(slots=True, eq=False)
class Talk:
    """One caller's connection."""

    connection: Connection
    host: str
    decoder: Decoder = field(default_factory=lambda: Decoder(FROM_CALLERS))
    calls: dict[int, Call] = field(default_factory=dict)  # by own number: taken, not answered
    standing: int = 0  # calls set up on it that stand
    served: bool = False  # a call that it brought stood
    faults: int = 0  # set-ups in a row that could not be taken

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
    dest, width, via = (whole(figures.get(name, default), name) for name, default in
                        (("dest", ""), ("width", "1"), ("via", "-1")))
    return Request(
        identity=message.call, kind=message.text(Code.CLASS), called=message.text(Code.CALLED),
        wait_ms=float(message.whole(Code.WAIT, 0)), destination=dest, width=width, tandem=via,
        in_transit=figures.get("transit", "0") == "1", was_cut=figures.get("again", "0") == "1",
        description=message.parameters.get(Code.DESCRIPTION),
    )


class BinaryFront:
    """Callers by the binary protocol."""

    def __init__(
        self, loop: Loop, switchboard: Switchboard, address: tuple[str, int], room: int,
        unknown: Callable[[int], None],
    ) -> None:
        self.loop, self.switchboard, self.unknown = loop, switchboard, unknown
        self.talks: dict[Connection, Talk] = {}
        self.owed: dict[int, tuple[str, bytes]] = {}  # releases that found no connection, and for which host
        self.serving = True
        self.listener = Listener(loop, *address, self, room, MOST_UNREAD)

    # Connections.

    def opened(self, connection: Connection) -> None:
        try:
            host = connection.sock.getpeername()[0]
        except OSError:
            host = ""
        talk = self.talks[connection] = Talk(connection, host)
        self.pay(talk)

    def closed(self, connection: Connection, reason: str) -> None:
        self.listener.forget(connection)
        talk = self.talks.pop(connection)
        log.debug("caller's connection closed", extra={"reason": reason, "calls": len(talk.calls)})
        for call in list(talk.calls.values()):
            self.switchboard.caller_left(call)

    def rank(self, connection: Connection) -> int:
        """A connection with open set-ups can't be spared; where calls stand, their callers listen on it."""
        talk = self.talks[connection]
        return -1 if talk.calls else talk.standing

    def turn_out(self, connection: Connection) -> None:
        connection.end("its place is needed")

    def received(self, connection: Connection, data: bytes) -> None:
        """Some messages a turn. Guards against one caller's burst holding up all the others."""
        talk, whole = self.talks[connection], 0
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
        """A set-up given up, or the end of a call that stands; it may come on any connection."""
        call = self.switchboard.known.get(message.call)
        if call is None:
            self.unknown(message.call)
        elif call.state is CallState.STANDING:
            if isinstance(call.caller, Side):
                call.caller.talk.standing -= 1
            self.switchboard.caller_released(call)
        else:
            self.switchboard.caller_left(call)
        talk.send(encode(Message(Kind.RELEASE_HEARD, message.call)))

    # What callers hear.

    def release_to(self, talk: Talk | None, identity: int, cause: int) -> None:
        """On the connection of its set-up, else on one of the same caller, else on one of a caller that was
        served, else on the next such, or, if none comes, on any. Guards against telling it to a client that
        means nothing by its connection: on a rude day most connections are of that kind."""
        message = release(identity, cause)
        if talk is not None and talk.send(message):
            return
        host = talk.host if talk is not None else ""
        known = [each for each in self.talks.values() if each.host == host or each.served]
        if not any(each.send(message) for each in sorted(known, key=lambda each: each.host != host)):
            self.owed[identity] = host, message
            self.loop.after(MEANT_MS, lambda: self.pay_any(identity))
            self.loop.after(OWED_MS, lambda: self.forget_owed(identity))

    def pay_any(self, identity: int) -> None:
        """No such caller has come in time."""
        if identity in self.owed and any(each.send(self.owed[identity][1]) for each in self.talks.values()):
            del self.owed[identity]

    def pay(self, talk: Talk) -> None:
        """What is owed to this caller, or to any."""
        for identity, (host, message) in list(self.owed.items()):
            if (talk.served or host == talk.host) and talk.send(message):
                del self.owed[identity]

    def forget_owed(self, identity: int) -> None:
        self.owed.pop(identity, None)

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
        self.talk.served = True
        parameters: dict[int, bytes] = {} if description is None else {Code.DESCRIPTION: description}
        self.talk.send(encode(Message(Kind.ANSWER, call.request.identity, parameters)))
        if self.front.owed:
            self.front.pay(self.talk)

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
        self.front.release_to(self.talk, call.request.identity, cause)
