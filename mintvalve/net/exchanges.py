"""The way to the exchanges: one link each, kept open, with the set-ups and standing calls that it carries.

A link holds a connection from the start on, since the state of a trunk group comes only on open ones. A
connection that says nothing though it was spoken to is replaced by a new one as soon as one comes up: a
machine that vanished or was cut off leaves the old one open and silent.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from mintvalve.core.calls import Attempt, CallState
from mintvalve.core.switchboard import Switchboard
from mintvalve.interface import Clearing, Outcome, Report
from mintvalve.net.codec import (
    FROM_EXCHANGES, BadBytes, Cause, Code, Decoder, Kind, Message, encode, release,
)
from mintvalve.net.connection import Connection
from mintvalve.net.loop import Loop
from mintvalve.settings import report_from

log = logging.getLogger("mintvalve.exchanges")

FIRST_PAUSE_MS, LONGEST_PAUSE_MS = 50.0, 1000.0  # ms; back-off between dials
SILENT_MS = 300.0  # ms; a connection that was spoken to and said nothing for so long is doubted
LOOK_MS = 100.0  # ms between looks at that
APART_MS = 400.0  # ms between dials for doubt alone
LEFT_MOST = 512  # attempts given up on a link of which is kept where they went
QUIET_MS = 1500.0  # ms; by a dial it is found out whether an exchange is there that said nothing for so long
HALF_MS = 250.0  # ms; a message that is not whole by then is spoilt, and its connection done with
LOST_MS = 7000.0  # ms; calls by an exchange out of reach are over by then: callers must hear in 8 s
MOST_LINES = 3  # connections to one exchange; it tells group states on at most four
OWED_MS = 10_000.0  # ms; a release that finds no connection is kept so long
CAUSES: dict[int, Outcome] = {
    Cause.NO_CIRCUIT: Outcome.NOT_SET_UP,
    Cause.BUSY: Outcome.LINE_BUSY,
    Cause.FAULT: Outcome.LINE_BUSY,
    Cause.MOOT: Outcome.NOT_SENT,
}
CAUSES_KNOWN = {*CAUSES, Cause.NORMAL, Cause.TEMPORARY, Cause.CONGESTION}
NOTES = {
    "group_full": Clearing.NO_CIRCUIT,
    "tandem_refused": Clearing.TURNED_BACK,
    "destination_full": Clearing.TURNED_BACK_BEYOND_FULL,
    "processor_full": Clearing.PROCESSOR_FULL,
    "user_busy": Clearing.NUMBER_BUSY,
}


@dataclass(slots=True, eq=False)
class Line:
    """One connection of a link."""

    connection: Connection
    decoder: Decoder = field(default_factory=lambda: Decoder(FROM_EXCHANGES))
    asked_at: float | None = None  # when it was first spoken to since it last said something
    reads: int = 0  # times that something came

    def send(self, data: bytes, now: float) -> bool:
        sent = self.connection.send(data)
        if sent and self.asked_at is None:
            self.asked_at = now
        return sent


@dataclass(slots=True, eq=False)
class Flight:
    """An attempt on its line, from its set-up to the end of the call."""

    attempt: Attempt
    line: Line | None = None  # None: waits for a connection, or outlived its own
    start: int = 0  # bytes queued on the line before the set-up
    reads: int = 0  # what came with this read or before was said before the set-up was written


class Link:
    """All that concerns one exchange."""

    def __init__(self, side: Exchanges, name: str, address: tuple[str, int]) -> None:
        self.side, self.loop, self.name, self.address = side, side.loop, name, address
        self.lines: dict[Connection, Line] = {}
        self.current: Line | None = None
        self.dialling: Connection | None = None
        self.flights: dict[int, Flight] = {}
        self.owed: dict[int, bytes] = {}
        self.pause = 0.0
        self.dial_at = 0.0
        self.gone = False
        self.was_reset = False  # a connection was, and whether the process is there is not known yet
        self.left: dict[int, set[Line]] = {}  # call -> where attempts of it went that may be answered yet
        self.heard_at = self.loop.now()
        self.told = False  # the state of the own group has come
        self.dial()
        self.loop.after(LOOK_MS, self.look)

    # Connections.

    def dial(self) -> None:
        if self.gone or self.dialling is not None or len(self.lines) >= MOST_LINES:
            return
        if (wait := self.dial_at - self.loop.now()) > 0:
            self.loop.after(wait, self.dial_if_needed)
            return
        self.pause = min(max(self.pause * 2, FIRST_PAUSE_MS), LONGEST_PAUSE_MS)
        self.dial_at = self.loop.now() + self.pause
        try:
            self.dialling = Connection.dial(self.loop, *self.address, self, self.side.dial_ms)
        except OSError as fault:  # out of descriptors: a set-up that waits is unreachable in its time
            log.warning("can't dial", extra={"exchange": self.name, "reason": str(fault)})
            self.loop.after(LONGEST_PAUSE_MS, self.dial_if_needed)

    def dial_if_needed(self) -> None:
        quiet = self.loop.now() - self.heard_at > QUIET_MS
        fresh = self.current is not None and self.loop.now() - self.current.connection.since < APART_MS
        if self.current is None or self.was_reset or (not fresh and (quiet or self.doubted())):
            self.dial()

    def doubted(self) -> bool:
        """The connection in use was spoken to and is silent since."""
        asked = self.current.asked_at if self.current is not None else None
        return asked is not None and self.loop.now() - asked > SILENT_MS

    def look(self) -> None:
        """Now and then: replace a silent connection, close what nothing needs any more."""
        if self.gone:
            return
        self.loop.after(LOOK_MS, self.look)
        self.dial_if_needed()
        if self.loop.now() - self.heard_at > LOST_MS:
            self.side.switchboard.cut(self.name, math.inf)
        flights = list(self.flights.values())
        for line in list(self.lines.values()):
            calls = [each.attempt.call.state for each in flights if each.line is line]
            crowded = len(self.lines) >= MOST_LINES  # then standing calls do without their own connection
            if line is not self.current and CallState.TRYING not in calls and (crowded or not calls):
                line.connection.finish()

    def opened(self, connection: Connection) -> None:
        self.dialling, self.pause, self.was_reset = None, 0.0, False
        self.heard_at = self.loop.now()
        line = self.lines[connection] = Line(connection)
        self.current = line
        for message in self.owed.values():
            line.send(message, self.loop.now())
        self.owed.clear()
        for flight in self.flights.values():
            if flight.line is None and flight.attempt.call.state is CallState.TRYING:
                self.write(flight, line)

    def closed(self, connection: Connection, reason: str) -> None:
        if connection is self.dialling:
            self.dialling = None
            log.debug("no connection", extra={"exchange": self.name, "reason": reason})
            if self.was_reset and connection.refused:
                self.died()
            elif connection.refused and self.current is not None:
                self.heard_at = self.loop.now()  # its machine is there; it drains, and takes no new ones
            if self.current is None:
                self.lose([each for each in self.flights.values() if each.line is None], None)
        line = self.lines.pop(connection, None)
        if line is not None:
            level = logging.DEBUG if reason == "finished" else logging.INFO
            log.log(level, "connection closed", extra={"exchange": self.name, "reason": reason})
            if line is self.current:
                self.current = next((each for each in self.lines.values() if each.connection.open), None)
            self.lose([each for each in self.flights.values() if each.line is line], line)
            if connection.reset and not self.gone:
                self.was_reset = True
        self.dial_if_needed()

    def lose(self, flights: Iterable[Flight], line: Line | None) -> None:
        """Set-ups that were open on a connection are over; a call that stands is bound to none. The exchange
        may have answered one, and hold circuits for it: it is told that nobody has the call."""
        for flight in flights:
            if flight.attempt.call.state is CallState.STANDING:
                flight.line = None
                continue
            identity = flight.attempt.call.request.identity
            self.flights.pop(identity, None)
            left = line is not None and line.connection.written > flight.start
            if left and not self.gone:
                self.side.done(identity)
                message = release(identity, Cause.NORMAL)
                if not self.say(message):
                    self.owe(identity, message)
            self.side.switchboard.ended(flight.attempt, Outcome.RESET if left else Outcome.UNREACHABLE)

    def died(self) -> None:
        """A connection was reset and the next one refused: the process died, and with it what stood; what a
        newer connection carries is of a newer process. A reset alone proves nothing: connections break under
        a process that lives on. Seen on days with bad clients: some 340 good calls were released so."""
        self.was_reset = False
        for identity, flight in list(self.flights.items()):
            if flight.line is None and flight.attempt.call.state is CallState.STANDING:
                del self.flights[identity]
                self.side.switchboard.ended(flight.attempt, Outcome.RESET)

    def close(self) -> None:
        """The exchange is gone from the list."""
        self.gone = True
        for connection in [*self.lines, *([self.dialling] if self.dialling else [])]:
            connection.end("the exchange is gone")

    # Set-ups and releases.

    def set_up(self, attempt: Attempt) -> None:
        """On the line in use, or, where an answer to an earlier attempt of the call may still come on it, on
        another one. Guards against taking that answer for this attempt's: an answer that came late, for a
        call that was over by then, was passed on as good."""
        identity = attempt.call.request.identity
        flight = self.flights[identity] = Flight(attempt)
        used = self.left.get(identity, set())
        fit = [each for each in self.lines.values() if each.connection.open and each not in used]
        if self.current is not None and self.current in fit:
            self.write(flight, self.current)
        elif fit:
            self.write(flight, fit[-1])
        elif len(self.lines) >= MOST_LINES:
            self.loop.soon(lambda: self.unwritten(flight))
        else:
            self.loop.after(self.side.dial_ms, lambda: self.unreachable(flight))
            self.dial()

    def unreachable(self, flight: Flight) -> None:
        """No connection came up in time."""
        identity = flight.attempt.call.request.identity
        if self.flights.get(identity) is flight and flight.line is None:
            self.lose([flight], None)

    def write(self, flight: Flight, line: Line) -> None:
        attempt, ask = flight.attempt, flight.attempt.call.request
        left = attempt.sent_at + attempt.wait_ms - self.loop.now()
        message = Message(Kind.SET_UP, ask.identity, {
            Code.CLASS: ask.kind.encode(),
            Code.WAIT: str(max(1, int(left))).encode(),
            Code.CALLED: ask.called.encode(),
        })
        if ask.description is not None:
            message.parameters[Code.DESCRIPTION] = ask.description
        flight.line, flight.start, flight.reads = line, line.connection.queued, line.reads
        if not line.send(encode(message), self.loop.now()):
            self.loop.soon(lambda: self.unwritten(flight))

    def unwritten(self, flight: Flight) -> None:
        """The connection was full or had just ended."""
        if self.flights.get(flight.attempt.call.request.identity) is flight:
            self.lose([flight], None)

    def end(self, attempt: Attempt, standing: bool) -> None:
        """Give a set-up up, or release a call that stands: the same message."""
        identity = attempt.call.request.identity
        flight = self.flights.pop(identity, None)
        if flight is None:
            return
        self.side.done(identity)
        if not standing and flight.line is not None:
            self.leave(identity, flight.line)
        message = release(identity, Cause.NORMAL)
        if flight.line is not None and flight.line.send(message, self.loop.now()):
            return
        if standing and not self.say(message):
            self.owe(identity, message)

    def leave(self, identity: int, line: Line) -> None:
        """An attempt is over here, and an answer to it may still come on this line."""
        self.left.setdefault(identity, set()).add(line)
        if len(self.left) > LEFT_MOST:
            del self.left[next(iter(self.left))]

    def say(self, message: bytes) -> bool:
        """On any open connection."""
        return any(line.send(message, self.loop.now()) for line in self.lines.values())

    def owe(self, identity: int, message: bytes) -> None:
        self.owed[identity] = message
        self.loop.after(OWED_MS, lambda: self.forget_owed(identity))

    def forget_owed(self, identity: int) -> None:
        self.owed.pop(identity, None)

    # What the exchange says.

    def received(self, connection: Connection, data: bytes) -> None:
        line = self.lines[connection]
        line.asked_at = None
        line.reads += 1
        self.heard_at = self.loop.now()
        whole = 0
        try:
            for message in line.decoder.feed(data):
                self.take(line, message)
                whole += 1
        except BadBytes as fault:
            log.info("unreadable", extra={"exchange": self.name, "fault": str(fault)})
            connection.end("unreadable")
        connection.heard(whole, bool(line.decoder.rest))
        if (since := connection.half_at) is not None and since == self.heard_at:
            self.loop.after(HALF_MS, lambda: self.half(connection, since))

    def half(self, connection: Connection, since: float) -> None:
        """Guards against an answer that stops short: what comes next would be read as the rest of it, and all
        that is open on the connection would wait in vain."""
        if connection.half_at == since:
            connection.end("half a message")

    def take(self, line: Line, message: Message) -> None:
        board = self.side.switchboard
        flight = self.flights.get(message.call)
        if flight is not None and flight.attempt.call.state is CallState.TRYING and (
                flight.line is not line or line.reads <= flight.reads):
            # Of an earlier attempt: it came on another line, or before this one left (a second copy).
            flight = None
            if message.kind == Kind.RELEASE:
                return
        match message.kind:
            case Kind.ANSWER if Code.DESCRIPTION not in message.parameters:
                raise BadBytes("an answer without a description")
            case Kind.RELEASE if message.cause not in CAUSES_KNOWN:
                raise BadBytes(f"a release with cause {message.cause}")
            case Kind.ANSWER if flight is not None:
                board.stood(flight.attempt, message.parameters[Code.DESCRIPTION])
            case Kind.RELEASE:
                self.released(line, message, flight)
            case Kind.PROGRESS if flight is not None:
                board.progress(flight.attempt)
            case Kind.GROUP_STATE:
                self.told = True
                board.room(self.name, self.report(message))
            case Kind.TEST:
                line.send(encode(Message(Kind.TESTED, message.call, {Code.CAUSE: b"\1"})), self.loop.now())
            case _:
                pass

    def report(self, message: Message) -> Report:
        try:
            return report_from(message.text(Code.REPORT) or "-", ";")
        except ValueError as fault:
            raise BadBytes(f"a report that can't be read: {fault}") from fault

    def released(self, line: Line, message: Message, flight: Flight | None) -> None:
        """A refusal, a reset, or the end of a call that stood."""
        if flight is None:
            line.connection.send(encode(Message(Kind.RELEASE_HEARD, message.call)))
            self.side.stranger(message.call, message.cause)
            return
        report, note = self.report(message), message.text(Code.NOTE)
        pause = float(max(message.whole(Code.PAUSE, 0), 0))
        self.flights.pop(message.call)  # all of it has been read: from here on nothing is unreadable
        self.side.done(message.call)
        if flight.attempt.call.state is CallState.STANDING:
            line.connection.send(encode(Message(Kind.RELEASE_HEARD, message.call)))
            outcome = Outcome.ENDED if message.cause == Cause.NORMAL else Outcome.RESET
        else:
            outcome = CAUSES.get(message.cause, Outcome.RESET)
            if outcome is Outcome.RESET:
                self.leave(message.call, line)  # what it ended may have been answered, and that comes late
        self.side.switchboard.ended(
            flight.attempt, outcome, NOTES.get(note, Clearing.NONE), pause, report,
        )


class Exchanges:
    """All links, by the exchange's id."""

    def __init__(self, loop: Loop, switchboard: Switchboard, dial_ms: float, home: int) -> None:
        self.loop, self.switchboard, self.dial_ms, self.home = loop, switchboard, dial_ms, home
        self.links: dict[str, Link] = {}
        self.recent: dict[int, None] = {}  # calls that ended here, the latest ones
        self.strange: Callable[[int, int], None] | None = None

    def listed(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """Where the exchanges are now."""
        for name, link in list(self.links.items()):
            if addresses.get(name) != link.address:
                self.switchboard.cut(name, math.inf)
                del self.links[name]
                link.close()
        for name, address in addresses.items():
            if name not in self.links:
                self.links[name] = Link(self, name, address)

    def joined(self) -> bool:
        """Every exchange has told the state of the group to it."""
        return all(link.told for link in self.links.values())

    def set_up(self, attempt: Attempt) -> None:
        link = self.links.get(attempt.exchange)
        if link is None:
            self.loop.soon(lambda: self.switchboard.ended(attempt, Outcome.UNREACHABLE))
        else:
            link.set_up(attempt)

    def give_up(self, attempt: Attempt) -> None:
        if (link := self.links.get(attempt.exchange)) is not None:
            link.end(attempt, standing=False)

    def release(self, attempt: Attempt) -> None:
        if (link := self.links.get(attempt.exchange)) is not None:
            link.end(attempt, standing=True)

    def release_everywhere(self, call: int) -> None:
        """A caller ends a call that this life of the program has not set up: its exchange is not known."""
        if call in self.recent:
            return  # it is over already: both sides ended it at once
        for link in self.links.values():
            link.say(release(call, Cause.NORMAL))

    def done(self, call: int) -> None:
        self.recent[call] = None
        if len(self.recent) > 4096:
            del self.recent[next(iter(self.recent))]

    def stranger(self, call: int, cause: int) -> None:
        """The release of a call not known here: an earlier life may have set it up, so callers hear of it."""
        if call not in self.recent and self.strange is not None:
            self.done(call)
            self.strange(call, cause)
