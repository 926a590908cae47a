"""The way to the exchanges: one link each, kept open; it holds connections and words.

What is believed of an exchange is in `core/reachability.py`, its attempts and calls are in `core/attempts.py`, and
releases on their way to it in `core/release_delivery.py`.

A link holds a connection from the start on, since the state of a trunk group comes only on open ones. A
connection that says nothing though it was spoken to is replaced by a new one as soon as one comes up: a
machine that vanished or was cut off leaves the old one open and silent.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from mintvalve.core.calls import Attempt
from mintvalve.core.attempts import OutstandingAttempt, AttemptTable, EndedCalls
from mintvalve.core.reachability import Reachability, ReachabilityState
from mintvalve.core.call_manager import CallManager
from mintvalve.interface import ClearingCause, Outcome, LoadReport
from mintvalve.net.codec import (
    FROM_EXCHANGES,
    ProtocolError,
    ReleaseCause,
    ParameterCode,
    Decoder,
    MessageType,
    Message,
    encode,
    release,
)
from mintvalve.net.connection import Connection
from mintvalve.net.release_scheduler import ReleaseScheduler
from mintvalve.net.loop import Loop
from mintvalve.settings import parse_load_report

log = logging.getLogger("mintvalve.exchanges")

FIRST_PAUSE_MS, LONGEST_PAUSE_MS = 50.0, 1000.0  # ms; back-off between dials
SILENT_MS = 300.0  # ms; a connection that was spoken to and said nothing for so long is doubted
LOOK_MS = 100.0  # ms between looks at that
APART_MS = 400.0  # ms between dials for doubt alone
HALF_MS = 250.0  # ms; a message that is not whole by then is spoilt, and its connection done with
MOST_LINES = 3  # connections to one exchange; it tells group states on at most four
STRANGERS_MOST = 256  # releases that wait for a connection, beyond which none of unknown calls is added
RELEASES_MOST = 1024  # releases on their way to one exchange
KEEP_MS = 10_000.0  # ms; a release that the exchange has not heard by then is dropped
CAUSES: dict[int, Outcome] = {
    ReleaseCause.NO_CIRCUIT: Outcome.NOT_SET_UP,
    ReleaseCause.BUSY: Outcome.LINE_BUSY,
    ReleaseCause.FAULT: Outcome.LINE_BUSY,
    ReleaseCause.MOOT: Outcome.NOT_SENT,
}
CAUSES_KNOWN = {*CAUSES, ReleaseCause.NORMAL, ReleaseCause.TEMPORARY, ReleaseCause.CONGESTION}
NOTES = {
    "group_full": ClearingCause.NO_CIRCUIT,
    "tandem_refused": ClearingCause.TURNED_BACK,
    "destination_full": ClearingCause.TURNED_BACK_BEYOND_FULL,
    "processor_full": ClearingCause.PROCESSOR_FULL,
    "user_busy": ClearingCause.NUMBER_BUSY,
}
# What only a processor beyond the way can have said. A fault (cause 47) comes from whatever reads the
# message; a full group and a moot attempt are known on this side. Seen in a region cut off for 9.5 s: what
# bad clients sent was answered with faults within 1 ms while all else timed out.
NOTES_OF_FAR_ENDS = frozenset(NOTES) - {"group_full"}


@dataclass(slots=True, eq=False)
class ExchangeConnection:
    """One connection of a link."""

    connection: Connection
    host: str  # the exchange
    decoder: Decoder = field(default_factory=lambda: Decoder(FROM_EXCHANGES))
    asked_at: float | None = None  # when it was first spoken to since it last said something
    last_data_at: float = -math.inf  # when it last said something
    reads: int = 0  # times that something came
    acknowledges: bool = False
    is_trusted: bool = True

    @property
    def is_open(self) -> bool:
        return self.connection.is_open

    def send(self, data: bytes, now: float) -> bool:
        sent = self.connection.send(data)
        if sent and self.asked_at is None:
            self.asked_at = now
        return sent


class ExchangeLink:
    """All that concerns one exchange."""

    def __init__(self, side: ExchangeLinks, name: str, address: tuple[str, int]) -> None:
        self.exchange_links, self.loop, self.name, self.address = side, side.loop, name, address
        self.connections: dict[Connection, ExchangeConnection] = {}
        self.current: ExchangeConnection | None = None
        self.dialling: Connection | None = None
        self.attempts: AttemptTable[ExchangeConnection] = AttemptTable()
        self.releases: ReleaseScheduler[ExchangeConnection] = ReleaseScheduler(
            self.loop, self, KEEP_MS, RELEASES_MOST
        )
        self.reach = Reachability(self.loop.now())
        self.pause = 0.0
        self.dial_at = 0.0
        self.gone = False
        self.told = False  # the state of the own group has come
        self.dial()
        self.loop.call_later(LOOK_MS, self.look)

    # Connections.

    def dial(self) -> None:
        if self.gone or self.dialling is not None or len(self.connections) >= MOST_LINES:
            return
        if (wait := self.dial_at - self.loop.now()) > 0:
            self.loop.call_later(wait, self.dial_if_needed)
            return
        self.pause = min(max(self.pause * 2, FIRST_PAUSE_MS), LONGEST_PAUSE_MS)
        self.dial_at = self.loop.now() + self.pause
        try:
            self.dialling = Connection.dial(self.loop, *self.address, self, self.exchange_links.dial_ms)
        except OSError as fault:  # out of descriptors: a set-up that waits is unreachable in its time
            log.warning("can't dial", extra={"exchange": self.name, "reason": str(fault)})
            self.loop.call_later(LONGEST_PAUSE_MS, self.dial_if_needed)

    def dial_if_needed(self) -> None:
        now = self.loop.now()
        fresh = self.current is not None and now - self.current.connection.created_at < APART_MS
        asks = self.reach.was_reset or (not fresh and (self.reach.must_dial(now) or self.doubted()))
        if self.current is None or asks:
            self.dial()

    def doubted(self) -> bool:
        """The connection in use was spoken to and is silent since."""
        asked = self.current.asked_at if self.current is not None else None
        return asked is not None and self.loop.now() - asked > SILENT_MS

    def look(self) -> None:
        """Now and then: replace a silent connection, close what nothing needs any more, and give up what
        stands by an exchange that is out of reach for long."""
        if self.gone:
            return
        self.loop.call_later(LOOK_MS, self.look)
        self.dial_if_needed()
        if self.reach.state(self.loop.now()) is ReachabilityState.LOST:
            self.exchange_links.switchboard.cut_calls(self.name, math.inf)
        crowded = len(self.connections) >= MOST_LINES
        for line in list(self.connections.values()):
            if line is not self.current and not self.attempts.needs(line, crowded):
                line.connection.close_after_flush()

    def on_opened(self, connection: Connection) -> None:
        now = self.loop.now()
        self.dialling, self.pause = None, 0.0
        self.reach.came_up(now)
        line = self.connections[connection] = ExchangeConnection(connection, self.name)
        self.current = line
        self.releases.on_connection_opened(line)
        for flight in self.attempts.waiting():
            self.write(flight, line)

    def on_closed(self, connection: Connection, reason: str) -> None:
        if connection is self.dialling:
            self.dialling = None
            log.debug("no connection", extra={"exchange": self.name, "reason": reason})
            if connection.refused and self.reach.refused(self.loop.now(), self.current is not None):
                self.died()
            if self.current is None:
                self.lose(self.attempts.waiting(), None)
        line = self.connections.pop(connection, None)
        if line is not None:
            level = logging.DEBUG if reason == "finished" else logging.INFO
            log.log(level, "connection closed", extra={"exchange": self.name, "reason": reason})
            if line is self.current:
                self.current = next((each for each in self.connections.values() if each.is_open), None)
            self.lose(self.attempts.lost_with(line), line)
            self.releases.on_connection_closed(line)
            if connection.reset and not self.gone:
                self.reach.reset()
        self.dial_if_needed()

    def lose(
        self, flights: Iterable[OutstandingAttempt[ExchangeConnection]], line: ExchangeConnection | None
    ) -> None:
        """Set-ups that were open on a connection are over; a call that stands is bound to none. The exchange
        may have answered one, and hold circuits for it: it is told that nobody has the call."""
        for flight in flights:
            identity = flight.identity
            self.attempts.pop(identity)
            left = line is not None and line.connection.bytes_written > flight.start
            if left and not self.gone:
                self.exchange_links.ended_calls.add(identity)
                self.release(identity, None)
            self.exchange_links.switchboard.on_attempt_ended(
                flight.attempt, Outcome.RESET if left else Outcome.UNREACHABLE
            )

    def died(self) -> None:
        """A connection was reset and the next one refused: the process died, and with it what stood; what a
        newer connection carries is of a newer process. Seen on days with bad clients, where a reset alone
        counted: some 340 good calls were released so."""
        for flight in self.attempts.grounded():
            self.attempts.pop(flight.identity)
            self.exchange_links.switchboard.on_attempt_ended(flight.attempt, Outcome.RESET)

    def close(self) -> None:
        """The exchange is gone from the list."""
        self.gone = True
        self.releases.retire()
        for connection in [*self.connections, *([self.dialling] if self.dialling else [])]:
            connection.close_now("the exchange is gone")

    # Set-ups and releases.

    def set_up(self, attempt: Attempt) -> None:
        """On the line in use, or, where an answer to an earlier attempt of the call may still come on it, on
        another one."""
        flight = self.attempts.begin(attempt)
        fit = self.attempts.fit(flight.identity, [each for each in self.connections.values() if each.is_open])
        if self.current is not None and self.current in fit:
            self.write(flight, self.current)
        elif fit:
            self.write(flight, fit[-1])
        elif len(self.connections) >= MOST_LINES:
            self.loop.call_soon(lambda: self.unwritten(flight))
        else:
            self.loop.call_later(self.exchange_links.dial_ms, lambda: self.unreachable(flight))
            self.dial()

    def unreachable(self, flight: OutstandingAttempt[ExchangeConnection]) -> None:
        """No connection came up in time. One that came up since may have carried it, and be gone again."""
        if self.attempts.all.get(flight.identity) is flight and flight.way is None and flight.trying:
            self.lose([flight], None)

    def write(self, flight: OutstandingAttempt[ExchangeConnection], line: ExchangeConnection) -> None:
        attempt, ask = flight.attempt, flight.attempt.call.request
        left = attempt.sent_at + attempt.wait_ms - self.loop.now()
        message = Message(
            MessageType.SET_UP,
            ask.identity,
            {
                ParameterCode.CLASS: ask.call_class.encode(),
                ParameterCode.WAIT: str(max(1, int(left))).encode(),
                ParameterCode.CALLED: ask.called.encode(),
            },
        )
        if ask.description is not None:
            message.parameters[ParameterCode.DESCRIPTION] = ask.description
        self.releases.discard(ask.identity)  # of an earlier attempt: said again, it would end this one
        self.attempts.leaves(flight, line, line.connection.bytes_queued, line.reads)
        if not line.send(encode(message), self.loop.now()):
            self.loop.call_soon(lambda: self.unwritten(flight))

    def unwritten(self, flight: OutstandingAttempt[ExchangeConnection]) -> None:
        """The connection was full or had just ended."""
        if self.attempts.all.get(flight.identity) is flight and flight.trying:
            self.lose([flight], None)

    def end(self, attempt: Attempt, standing: bool) -> None:
        """Give a set-up up, or release a call that stands: the same message. A set-up that never left is
        nobody's business; one that did may have been answered meanwhile, and then holds circuits there."""
        identity = attempt.call.request.identity
        flight = self.attempts.pop(identity)
        if flight is None:
            return
        self.exchange_links.ended_calls.add(identity)
        if not standing and flight.way is None:
            return
        if not standing and flight.way is not None:
            self.attempts.taint(identity, flight.way)
        self.release(identity, flight.way)

    def release(self, identity: int, line: ExchangeConnection | None) -> None:
        """Tell the exchange that a call is over, until it has heard."""
        self.releases.enqueue_release(identity, ReleaseCause.NORMAL, line, self.name)

    def say_once(self, call: int) -> bool:
        """For a call that is most likely another exchange's, or nobody's: bad clients end many of those."""
        return any(
            line.send(release(call, ReleaseCause.NORMAL), self.loop.now())
            for line in self.connections.values()
        )

    def write_release(self, way: ExchangeConnection, call: int, cause: int) -> bool:
        return way.send(release(call, cause), self.loop.now())

    # What the exchange says.

    def on_data(self, connection: Connection, data: bytes) -> None:
        now, line = self.loop.now(), self.connections[connection]
        line.asked_at, line.last_data_at = None, now
        line.reads += 1
        whole = 0
        try:
            for message in line.decoder.feed(data):
                self.take(line, message)
                whole += 1
        except ProtocolError as fault:
            log.info("unreadable", extra={"exchange": self.name, "fault": str(fault)})
            connection.close_now("unreadable")
        connection.on_messages_decoded(whole, bool(line.decoder.rest))
        if (since := connection.partial_since) is not None and since == now:
            self.loop.call_later(HALF_MS, lambda: self.half(connection, since))

    def half(self, connection: Connection, since: float) -> None:
        """Guards against an answer that stops short: what comes next would be read as the rest of it, and all
        that is open on the connection would wait in vain."""
        if connection.partial_since == since:
            connection.close_now("half a message")

    def take(self, line: ExchangeConnection, message: Message) -> None:
        board = self.exchange_links.switchboard
        flight, stale = self.attempts.meant(message.call, line, line.reads)
        if stale and message.kind == MessageType.RELEASE:
            return
        match message.kind:
            case MessageType.ANSWER if ParameterCode.DESCRIPTION not in message.parameters:
                raise ProtocolError("an answer without a description")
            case MessageType.RELEASE if message.cause not in CAUSES_KNOWN:
                raise ProtocolError(f"a release with cause {message.cause}")
            case MessageType.ANSWER if flight is not None:
                self.reach.answered(flight.attempt.sent_at, self.loop.now())
                board.on_answer(flight.attempt, message.parameters[ParameterCode.DESCRIPTION])
            case MessageType.RELEASE:
                self.released(line, message, flight)
            case MessageType.PROGRESS if flight is not None:
                board.on_progress(flight.attempt)
            case MessageType.GROUP_STATE:
                self.told = True
                board.on_group_state(self.name, self.report(message))
            case MessageType.RELEASE_HEARD:
                line.acknowledges = True
                self.releases.on_acknowledged(message.call)
            case MessageType.TEST:
                line.send(
                    encode(Message(MessageType.TESTED, message.call, {ParameterCode.CAUSE: b"\1"})),
                    self.loop.now(),
                )
            case _:
                pass

    def report(self, message: Message) -> LoadReport:
        try:
            return parse_load_report(message.text(ParameterCode.REPORT) or "-", ";")
        except ValueError as fault:
            raise ProtocolError(f"a report that can't be read: {fault}") from fault

    def released(
        self,
        line: ExchangeConnection,
        message: Message,
        flight: OutstandingAttempt[ExchangeConnection] | None,
    ) -> None:
        """A refusal, a reset, or the end of a call that stood."""
        if flight is None:
            line.connection.send(encode(Message(MessageType.RELEASE_HEARD, message.call)))
            self.exchange_links.stranger(message.call, message.cause)
            return
        report, note = self.report(message), message.text(ParameterCode.NOTE)
        pause = float(max(message.whole(ParameterCode.PAUSE, 0), 0))
        self.attempts.pop(message.call)  # all of it has been read: from here on nothing is unreadable
        self.exchange_links.ended_calls.add(message.call)
        if flight.standing:
            self.reach.word(self.loop.now())
            line.connection.send(encode(Message(MessageType.RELEASE_HEARD, message.call)))
            outcome = Outcome.ENDED if message.cause == ReleaseCause.NORMAL else Outcome.RESET
        else:
            outcome = CAUSES.get(message.cause, Outcome.RESET)
            if note in NOTES_OF_FAR_ENDS:
                self.reach.answered(flight.attempt.sent_at, self.loop.now())
            if outcome is Outcome.RESET:
                self.attempts.taint(message.call, line)  # what it ended may be answered yet
        self.exchange_links.switchboard.on_attempt_ended(
            flight.attempt,
            outcome,
            NOTES.get(note, ClearingCause.NONE),
            pause,
            report,
        )


class ExchangeLinks:
    """All links, by the exchange's id."""

    def __init__(self, loop: Loop, switchboard: CallManager, dial_ms: float, home: int) -> None:
        self.loop, self.switchboard, self.dial_ms, self.home = loop, switchboard, dial_ms, home
        self.links: dict[str, ExchangeLink] = {}
        self.ended_calls = EndedCalls()
        self.on_unknown_release: Callable[[int, int], None] | None = None

    def update_addresses(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """Where the exchanges are now."""
        for name, link in list(self.links.items()):
            if addresses.get(name) != link.address:
                self.switchboard.cut_calls(name, math.inf)
                del self.links[name]
                link.close()
        for name, address in addresses.items():
            if name not in self.links:
                self.links[name] = ExchangeLink(self, name, address)

    def all_groups_reported(self) -> bool:
        """Every exchange has told the state of the group to it."""
        return all(link.told for link in self.links.values())

    def set_up(self, attempt: Attempt) -> None:
        link = self.links.get(attempt.exchange)
        if link is None:
            self.loop.call_soon(lambda: self.switchboard.on_attempt_ended(attempt, Outcome.UNREACHABLE))
        else:
            link.set_up(attempt)

    def cancel_set_up(self, attempt: Attempt) -> None:
        if (link := self.links.get(attempt.exchange)) is not None:
            link.end(attempt, standing=False)

    def release(self, attempt: Attempt) -> None:
        if (link := self.links.get(attempt.exchange)) is not None:
            link.end(attempt, standing=True)

    def release_everywhere(self, call: int) -> None:
        """A caller ends a call that this life of the program has not set up: its exchange is not known."""
        if call in self.ended_calls:
            return  # it is over already: both sides ended it at once
        for link in self.links.values():
            if not link.say_once(call) and len(link.releases) < STRANGERS_MOST:
                link.release(call, None)

    def stranger(self, call: int, cause: int) -> None:
        """The release of a call not known here: an earlier life may have set it up, so callers hear of it."""
        if call not in self.ended_calls and self.on_unknown_release is not None:
            self.ended_calls.add(call)
            self.on_unknown_release(call, cause)
