"""Links to the exchanges: connections, set-ups, releases and the messages received, one link per exchange.

Whether an exchange counts as reachable is decided in `core/reachability.py`; its attempts and calls are kept
in `core/attempts.py`, and pending releases in `core/release_delivery.py`.

A link keeps a connection open from the start, because exchanges report the state of trunk groups only on open
connections. A connection that stays unanswered is replaced as soon as a new one is established: a machine
that vanished or was cut off leaves its old connection open and silent.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable, Mapping
from enum import Enum

from mintvalve.core.calls import Attempt
from mintvalve.core.attempts import AttemptTable, OutstandingAttempt
from mintvalve.core.recent_calls import EndedCalls, ReleasesByCallers
from mintvalve.core.rate_limit import MAX_UNKNOWN_RELEASES_AT_ONCE, UNKNOWN_RELEASES_PER_S, RateLimit
from mintvalve.core.reachability import Reachability, ReachabilityState
from mintvalve.core.call_manager import CallManager
from mintvalve.interface import ClearingCause, Outcome, LoadReport
from mintvalve.net.codec import (
    ProtocolError,
    ReleaseCause,
    ParameterCode,
    MessageType,
    Message,
    encode,
    encode_release,
)
from mintvalve.net.connection import Connection
from mintvalve.net.exchange_connection import (
    CLEARING_CAUSE_BY_NOTE,
    KNOWN_CAUSES,
    NOTES_PROVING_REACHABILITY,
    OUTCOME_BY_CAUSE,
    ExchangeConnection,
)
from mintvalve.net.message_turns import MessageTurns
from mintvalve.net.release_scheduler import ReleaseScheduler
from mintvalve.net.loop import Loop
from mintvalve.settings import parse_load_report

log = logging.getLogger("mintvalve.exchanges")

MIN_DIAL_BACK_OFF_MS = 50.0
MAX_DIAL_BACK_OFF_MS = 1000.0
UNRESPONSIVE_AFTER_MS = 300.0  # without any data after a message was sent
CHECK_INTERVAL_MS = 100.0
MIN_REPLACEMENT_INTERVAL_MS = 400.0  # minimum age of a connection that is replaced as unresponsive
PARTIAL_MESSAGE_TIMEOUT_MS = 250.0
# After a process has died, another one may listen at its address. The name server tells of that within this
# time; without news it is the same exchange.
REPLACEMENT_TOLD_WITHIN_MS = 1500.0
MAX_CONNECTIONS_PER_EXCHANGE = 3  # an exchange reports group states on at most four
MAX_QUEUE_FOR_UNKNOWN_CALLS = 256  # with so many releases pending, none is added for an unknown call
MAX_PENDING_RELEASES = 1024  # per exchange
RELEASE_MAX_AGE_MS = 10_000.0


class UnknownRelease(Enum):
    """What became of an exchange's release of a call not known here; the values are logged and counted."""

    REPORTED = "reported"  # its callers are notified
    REPEATED = "repeated"  # a copy of one that was reported, or about a call that ended here
    OPEN_ELSEWHERE = "open elsewhere"  # the call is open here, at another exchange


class ExchangeLink:
    """One exchange's connections, outstanding attempts, standing calls and pending releases."""

    def __init__(self, exchange_links: ExchangeLinks, name: str, address: tuple[str, int]) -> None:
        self.exchange_links, self.loop, self.name, self.address = (
            exchange_links,
            exchange_links.loop,
            name,
            address,
        )
        self.connections: dict[Connection, ExchangeConnection] = {}
        self.current_connection: ExchangeConnection | None = None
        self.dialling_connection: Connection | None = None
        self.attempts: AttemptTable[ExchangeConnection] = AttemptTable()
        self.releases: ReleaseScheduler[ExchangeConnection] = ReleaseScheduler(
            self.loop, self, RELEASE_MAX_AGE_MS, MAX_PENDING_RELEASES
        )
        self.reachability = Reachability(self.loop.now())
        self.unknown_release_limit = RateLimit(
            UNKNOWN_RELEASES_PER_S, MAX_UNKNOWN_RELEASES_AT_ONCE, self.loop.now()
        )
        self.dial_back_off_ms = 0.0
        self.next_dial_at = 0.0
        self.is_closed = False
        self.listed_start_ms: float | None = None  # when the process started, as the list of exchanges tells
        self.process_died = False  # and no connection has been established since
        self.unconfirmed_until = 0.0  # Unix ms; until then a process of another exchange may be connected
        self.unconfirmed_report: LoadReport | None = None  # of the group's state, the last one until then
        self.group_state_received = False
        self.dial()
        self.loop.call_later(CHECK_INTERVAL_MS, self.run_periodic_check)

    # Connections.

    def dial(self) -> None:
        """Open another connection, at once or when the back-off is over.

        Does nothing while a dial is under way, at the connection limit, and once the link is closed.
        """
        if (
            self.is_closed
            or self.dialling_connection is not None
            or len(self.connections) >= MAX_CONNECTIONS_PER_EXCHANGE
        ):
            return
        if (wait_ms := self.next_dial_at - self.loop.now()) > 0:
            self.loop.call_later(wait_ms, self.dial_if_needed)
            return
        self.dial_back_off_ms = min(
            max(self.dial_back_off_ms * 2, MIN_DIAL_BACK_OFF_MS), MAX_DIAL_BACK_OFF_MS
        )
        self.next_dial_at = self.loop.now() + self.dial_back_off_ms
        try:
            self.dialling_connection = Connection.dial(
                self.loop, *self.address, self, self.exchange_links.dial_timeout_ms
            )
        except OSError as error:  # out of file descriptors; waiting set-ups end by their connect time-out
            log.warning(
                f"can't create a socket to dial the exchange; retrying in {MAX_DIAL_BACK_OFF_MS:.0f} ms",
                extra={"exchange": self.name, "reason": str(error)},
            )
            self.loop.call_later(MAX_DIAL_BACK_OFF_MS, self.dial_if_needed)

    def dial_if_needed(self) -> None:
        """Dial where no connection is in use, or where the one in use may no longer reach the exchange."""
        now = self.loop.now()
        is_recent = (
            self.current_connection is not None
            and now - self.current_connection.connection.created_at < MIN_REPLACEMENT_INTERVAL_MS
        )
        must_replace = self.reachability.connection_was_reset or (
            not is_recent and (self.reachability.must_dial(now) or self.is_current_unresponsive())
        )
        if self.current_connection is None or must_replace:
            self.dial()

    def is_current_unresponsive(self) -> bool:
        """Whether the connection in use has been sent messages and returned no data since."""
        waiting_since = (
            self.current_connection.unanswered_since if self.current_connection is not None else None
        )
        return waiting_since is not None and self.loop.now() - waiting_since > UNRESPONSIVE_AFTER_MS

    def run_periodic_check(self) -> None:
        """Replace an unresponsive connection, close connections no longer needed, and cut the calls of an
        exchange that has been out of reach for too long; runs every CHECK_INTERVAL_MS."""
        if self.is_closed:
            return
        self.loop.call_later(CHECK_INTERVAL_MS, self.run_periodic_check)
        self.dial_if_needed()
        if self.reachability.state(self.loop.now()) is ReachabilityState.UNREACHABLE:
            self.exchange_links.call_manager.cut_calls(self.name, math.inf)
        at_connection_limit = len(self.connections) >= MAX_CONNECTIONS_PER_EXCHANGE
        for exchange_connection in list(self.connections.values()):
            if exchange_connection is not self.current_connection and not self.attempts.is_needed(
                exchange_connection, at_connection_limit
            ):
                exchange_connection.connection.close_after_flush()

    def on_opened(self, connection: Connection) -> None:
        """A dial succeeded: use the new connection, and send the set-ups and releases that wait."""
        now = self.loop.now()
        self.dialling_connection, self.dial_back_off_ms = None, 0.0
        self.reachability.on_dial_succeeded(now)
        exchange_connection = self.connections[connection] = ExchangeConnection(connection, self.name)
        self.current_connection = exchange_connection
        self.releases.on_connection_opened(exchange_connection)
        if self.process_died:
            self.process_died, self.unconfirmed_until = False, now + REPLACEMENT_TOLD_WITHIN_MS
            self.loop.call_later(REPLACEMENT_TOLD_WITHIN_MS, self.report_unconfirmed_group)
        for outstanding in self.attempts.set_ups_without_connection():
            if self.is_confirmed():
                self.write_set_up(outstanding, exchange_connection)
            else:
                self.on_set_up_not_written(outstanding)

    def on_closed(self, connection: Connection, reason: str) -> None:
        """A dial failed or a connection was closed: end what was lost with it, and dial again if needed."""
        if connection is self.dialling_connection:
            self.dialling_connection = None
            log.debug("dial to exchange failed", extra={"exchange": self.name, "reason": reason})
            if connection.was_refused and self.reachability.on_dial_refused(
                self.loop.now(), self.current_connection is not None
            ):
                self.on_exchange_process_died()
            if self.current_connection is None:
                self.end_lost_attempts(self.attempts.set_ups_without_connection(), None)
        self.exchange_links.turns.on_closed(connection)
        exchange_connection = self.connections.pop(connection, None)
        if exchange_connection is not None:
            level = logging.DEBUG if reason == "closed after flush" else logging.INFO
            log.log(level, "connection to exchange closed", extra={"exchange": self.name, "reason": reason})
            if exchange_connection is self.current_connection:
                self.current_connection = next(
                    (candidate for candidate in self.connections.values() if candidate.is_open), None
                )
            self.handle_up_to(math.inf, exchange_connection)  # what arrived before the end still counts
            self.end_lost_attempts(self.attempts.remove_connection(exchange_connection), exchange_connection)
            self.releases.on_connection_closed(exchange_connection)
            if connection.was_reset and not self.is_closed:
                self.reachability.on_connection_reset()
        self.dial_if_needed()

    def end_lost_attempts(
        self,
        lost_attempts: Iterable[OutstandingAttempt[ExchangeConnection]],
        exchange_connection: ExchangeConnection | None,
    ) -> None:
        """End attempts whose set-ups were lost with a connection, or could not be sent on any.

        Where the set-up was written at least in part, the exchange may have answered it and hold circuits for
        the call, so it is sent a release and the outcome is RESET; else the outcome is UNREACHABLE.
        """
        for outstanding in lost_attempts:
            identity = outstanding.identity
            self.attempts.pop(identity)
            was_sent = (
                exchange_connection is not None
                and exchange_connection.connection.bytes_written > outstanding.bytes_queued_before
            )
            if was_sent and not self.is_closed:
                self.exchange_links.ended_calls.add(identity)
                self.enqueue_release(identity, None)
            self.exchange_links.call_manager.on_attempt_ended(
                outstanding.attempt, Outcome.RESET if was_sent else Outcome.UNREACHABLE
            )

    def on_exchange_process_died(self) -> None:
        """End the standing calls that have outlived their connection.

        A reset followed by a refused dial shows that the exchange's process died, and its calls with it;
        calls on newer connections belong to a newer process and are kept. A reset alone proves nothing: when
        it counted, some 340 live calls were released.
        """
        self.process_died = True
        for outstanding in self.attempts.standing_without_connection():
            self.attempts.pop(outstanding.identity)
            self.exchange_links.call_manager.on_attempt_ended(outstanding.attempt, Outcome.RESET)

    # A process that another one has replaced at its address.

    def is_confirmed(self) -> bool:
        """Whether the connected process may be taken for the exchange's.

        Guards against set-ups that go to another exchange: one may come up at the address of one that has
        gone, and this link dials it before the name server tells of the change.
        """
        return self.loop.now() >= self.unconfirmed_until

    def on_listed(self, start_ms: float) -> None:
        """The list of exchanges names this exchange at the link's address, with the start of its process."""
        if self.listed_start_ms not in (None, start_ms):
            self.unconfirmed_until = 0.0
            self.report_unconfirmed_group()
        self.listed_start_ms = start_ms

    def report_unconfirmed_group(self) -> None:
        """Report the group's state that was received before the process could be taken for the exchange's."""
        report = self.unconfirmed_report
        if report is not None and self.is_confirmed() and not self.is_closed:
            self.unconfirmed_report = None
            self.exchange_links.call_manager.on_group_state(self.name, report)

    def close(self) -> None:
        """Close all connections and stop sending: the exchange has left the list or has a new address."""
        self.is_closed = True
        self.releases.stop()
        for connection in [
            *self.connections,
            *([self.dialling_connection] if self.dialling_connection else []),
        ]:
            connection.close_now("exchange removed from the list or moved to another address")

    # Set-ups and releases.

    def set_up(self, attempt: Attempt) -> None:
        """Send a set-up on the connection in use, or wait for a new connection where there is none.

        A connection on which an answer to an earlier attempt of the call may still arrive is not used.
        """
        outstanding = self.attempts.add(attempt)
        if not self.is_confirmed():
            self.loop.call_soon(lambda: self.on_set_up_not_written(outstanding))
            return
        usable_connections = self.attempts.without_late_answers(
            outstanding.identity, [candidate for candidate in self.connections.values() if candidate.is_open]
        )
        if self.current_connection is not None and self.current_connection in usable_connections:
            self.write_set_up(outstanding, self.current_connection)
        elif usable_connections:
            self.write_set_up(outstanding, usable_connections[-1])
        elif len(self.connections) >= MAX_CONNECTIONS_PER_EXCHANGE:
            self.loop.call_soon(lambda: self.on_set_up_not_written(outstanding))
        else:
            self.loop.call_later(
                self.exchange_links.dial_timeout_ms, lambda: self.on_connect_timeout(outstanding)
            )
            self.dial()

    def on_connect_timeout(self, outstanding: OutstandingAttempt[ExchangeConnection]) -> None:
        """End a set-up for which no connection was established in time.

        Standing calls are kept: one whose connection was established and closed meanwhile has none either.
        """
        if (
            self.attempts.by_identity.get(outstanding.identity) is outstanding
            and outstanding.connection is None
            and outstanding.is_trying
        ):
            self.end_lost_attempts([outstanding], None)

    def write_set_up(
        self, outstanding: OutstandingAttempt[ExchangeConnection], exchange_connection: ExchangeConnection
    ) -> None:
        """Send a set-up with the remaining wait; where that fails, the attempt ends from the loop."""
        attempt, request = outstanding.attempt, outstanding.attempt.call.request
        attempt.written_at = self.loop.now()
        remaining_ms = attempt.sent_at + attempt.wait_ms - self.loop.now()
        message = Message(
            MessageType.SET_UP,
            request.identity,
            {
                ParameterCode.CALL_CLASS: request.call_class.encode(),
                ParameterCode.WAIT_MS: str(max(1, int(remaining_ms))).encode(),
                ParameterCode.CALLED_NUMBER: request.called_number.encode(),
            },
        )
        if request.description is not None:
            message.parameters[ParameterCode.DESCRIPTION] = request.description
        self.releases.discard(request.identity)  # a repeated release of an earlier attempt would end this one
        self.attempts.bind(
            outstanding,
            exchange_connection,
            exchange_connection.connection.bytes_queued,
            exchange_connection.read_count,
        )
        data = encode(message)
        if exchange_connection.send(data, self.loop.now()):
            outstanding.set_up_bytes = len(data)
        else:
            self.loop.call_soon(lambda: self.on_set_up_not_written(outstanding))

    def on_set_up_not_written(self, outstanding: OutstandingAttempt[ExchangeConnection]) -> None:
        """End a set-up that no connection could take: full, just closed, or all of them excluded."""
        if self.attempts.by_identity.get(outstanding.identity) is outstanding and outstanding.is_trying:
            self.end_lost_attempts([outstanding], None)

    def end_attempt(self, attempt: Attempt, is_standing: bool) -> None:
        """Cancel a set-up, or release a standing call; both send a release.

        A set-up that has not been sent needs none. One that has been sent may have been answered meanwhile,
        and then the exchange holds circuits for it.
        """
        identity = attempt.call.request.identity
        outstanding = self.attempts.pop(identity)
        if outstanding is None:
            return
        self.exchange_links.ended_calls.add(identity)
        if not is_standing and (outstanding.connection is None or self.withdraw_set_up(outstanding)):
            return
        if not is_standing and outstanding.connection is not None:
            self.attempts.expect_late_answer(identity, outstanding.connection)
        self.enqueue_release(identity, outstanding.connection)

    def withdraw_set_up(self, outstanding: OutstandingAttempt[ExchangeConnection]) -> bool:
        """Take back a set-up of which nothing has been written yet; False where the exchange may get it.

        Guards against set-ups of callers that have left, which an exchange that hangs gets once it reads.
        """
        exchange_connection = outstanding.connection
        if exchange_connection is None or not exchange_connection.connection.withdraw_unwritten(
            outstanding.bytes_queued_before, outstanding.set_up_bytes
        ):
            return False
        self.attempts.on_set_up_withdrawn(outstanding)
        return True

    def enqueue_release(self, identity: int, exchange_connection: ExchangeConnection | None) -> None:
        """Release a call at the exchange; repeated until delivered, first on the given connection."""
        self.releases.enqueue_release(identity, ReleaseCause.NORMAL_CLEARING, exchange_connection, self.name)

    def release_unknown_call(self, call: int) -> None:
        """Release a call that may be one of this exchange, but of which nothing is known here.

        Most likely another exchange has it, or none: faulty clients release many calls that do not exist. So
        only a limited number is repeated until delivered, and one beyond that is written once.
        """
        if len(self.releases) < MAX_QUEUE_FOR_UNKNOWN_CALLS:
            self.enqueue_release(call, None)
            return
        for exchange_connection in self.connections.values():
            if self.write_release(exchange_connection, call, ReleaseCause.NORMAL_CLEARING):
                return

    def write_release(self, exchange_connection: ExchangeConnection, call: int, cause: int) -> bool:
        """Write a release for the release scheduler; False where the connection is closed or full."""
        return exchange_connection.send(encode_release(call, cause), self.loop.now())

    # Messages from the exchange.

    def on_data(self, connection: Connection, data: bytes) -> None:
        """Add received bytes to those of the connection, and handle the messages in them."""
        exchange_connection = self.connections[connection]
        exchange_connection.unanswered_since, exchange_connection.last_data_at = None, self.loop.now()
        exchange_connection.read_count += 1
        exchange_connection.decoder.add(data)
        self.handle_messages(exchange_connection)

    def handle_messages(self, exchange_connection: ExchangeConnection) -> None:
        """Handle the messages of one turn, the rest in later turns; a malformed one closes the connection."""
        connection, turns = exchange_connection.connection, self.exchange_links.turns
        limit = turns.message_limit
        message_count = self.handle_up_to(limit, exchange_connection)
        has_more = turns.end(
            connection, message_count, limit, lambda: self.handle_messages(exchange_connection)
        )
        now = self.loop.now()
        connection.on_messages_decoded(
            message_count, bool(exchange_connection.decoder.buffer) and not has_more
        )
        if (first_byte_at := connection.partial_since) is not None and first_byte_at == now:
            self.loop.call_later(
                PARTIAL_MESSAGE_TIMEOUT_MS, lambda: self.on_partial_message_timeout(connection, first_byte_at)
            )

    def handle_up_to(self, limit: float, exchange_connection: ExchangeConnection) -> int:
        """Handle complete messages up to a number, and return how many; a malformed one drops the rest."""
        message_count = 0
        try:
            for message in exchange_connection.decoder.messages() if limit else ():
                message_count += 1
                self.on_message(exchange_connection, message)
                if message_count >= limit:
                    break
        except ProtocolError as error:
            log.info(
                "malformed message from exchange; closing the connection",
                extra={"exchange": self.name, "fault": str(error)},
            )
            exchange_connection.decoder.buffer.clear()
            exchange_connection.connection.close_now("malformed message")
        return message_count

    def on_partial_message_timeout(self, connection: Connection, first_byte_at: float) -> None:
        """Close the connection if the message begun at `first_byte_at` is still incomplete.

        Guards against a truncated answer: the next message would be read as the rest of it, and the attempts
        on the connection would wait until their time-outs.
        """
        if connection.partial_since == first_byte_at:
            connection.close_now(f"message incomplete after {PARTIAL_MESSAGE_TIMEOUT_MS:.0f} ms")

    def on_message(self, exchange_connection: ExchangeConnection, message: Message) -> None:
        """Handle one message; raises ProtocolError where it is malformed.

        Messages that belong to an earlier attempt of a call that is being set up are ignored.
        """
        call_manager = self.exchange_links.call_manager
        outstanding, is_stale = self.attempts.match_message(
            message.call_id, exchange_connection, exchange_connection.read_count
        )
        if is_stale and message.message_type == MessageType.RELEASE:
            return
        match message.message_type:
            case MessageType.ANSWER if ParameterCode.DESCRIPTION not in message.parameters:
                raise ProtocolError(f"answer to call {message.call_id:016x} has no description")
            case MessageType.RELEASE if message.cause not in KNOWN_CAUSES:
                raise ProtocolError(
                    f"release of call {message.call_id:016x} has unknown cause {message.cause}"
                )
            case MessageType.ANSWER if outstanding is not None:
                self.reachability.on_set_up_answered(outstanding.attempt.sent_at, self.loop.now())
                call_manager.on_answer(outstanding.attempt, message.parameters[ParameterCode.DESCRIPTION])
            case MessageType.RELEASE:
                self.on_release(exchange_connection, message, outstanding)
            case MessageType.PROGRESS if outstanding is not None:
                call_manager.on_progress(outstanding.attempt)
            case MessageType.GROUP_STATE:
                self.on_group_state(self.load_report(message))
            case MessageType.RELEASE_COMPLETE:
                exchange_connection.acknowledges = True
                self.releases.on_acknowledged(message.call_id)
            case MessageType.TEST:
                exchange_connection.send(
                    encode(Message(MessageType.TEST_RESULT, message.call_id, {ParameterCode.CAUSE: b"\1"})),
                    self.loop.now(),
                )
            case _:
                pass

    def on_group_state(self, report: LoadReport) -> None:
        """Report the state of the trunk group, or keep it until the process is known to be the exchange's."""
        self.group_state_received = True
        if self.is_confirmed():
            self.exchange_links.call_manager.on_group_state(self.name, report)
        else:
            self.unconfirmed_report = report

    def load_report(self, message: Message) -> LoadReport:
        """The load report in a message, empty where it has none; ProtocolError where it is malformed."""
        try:
            return parse_load_report(message.text(ParameterCode.LOAD_REPORT) or "-", ";")
        except ValueError as error:
            raise ProtocolError(
                f"load report of call {message.call_id:016x} can't be parsed: {error}"
            ) from error

    def on_release(
        self,
        exchange_connection: ExchangeConnection,
        message: Message,
        outstanding: OutstandingAttempt[ExchangeConnection] | None,
    ) -> None:
        """Handle a release: a refusal of a set-up, its reset, or the end of a standing call.

        The release of a call not known here is reported to the callers and then acknowledged: the exchange
        need not send it again after that. Guards against an exchange that releases ever new calls, each of
        which would be told to all callers: beyond a rate they are neither reported nor acknowledged.
        """
        if outstanding is None:
            if not self.unknown_release_limit.allow(self.loop.now()):
                self.exchange_links.call_manager.increment_counter("unknown release not taken")
                return
            self.exchange_links.report_unknown_release(self.name, message.call_id, message.cause)
            exchange_connection.connection.send(
                encode(Message(MessageType.RELEASE_COMPLETE, message.call_id))
            )
            return
        report, note = self.load_report(message), message.text(ParameterCode.REFUSAL_REASON)
        back_off_ms = float(max(message.integer(ParameterCode.PAUSE_MS, 0), 0))
        self.attempts.pop(message.call_id)  # the message has been parsed; nothing below raises ProtocolError
        self.exchange_links.ended_calls.add(message.call_id)
        if outstanding.is_standing:
            self.reachability.on_call_released(self.loop.now())
            exchange_connection.connection.send(
                encode(Message(MessageType.RELEASE_COMPLETE, message.call_id))
            )
            outcome = Outcome.ENDED if message.cause == ReleaseCause.NORMAL_CLEARING else Outcome.RESET
        else:
            outcome = OUTCOME_BY_CAUSE.get(message.cause, Outcome.RESET)
            if note in NOTES_PROVING_REACHABILITY:
                self.reachability.on_set_up_answered(outstanding.attempt.sent_at, self.loop.now())
            if outcome is Outcome.RESET:
                self.attempts.expect_late_answer(
                    message.call_id, exchange_connection
                )  # a late answer may still follow
        self.exchange_links.call_manager.on_attempt_ended(
            outstanding.attempt,
            outcome,
            CLEARING_CAUSE_BY_NOTE.get(note, ClearingCause.NONE),
            back_off_ms,
            report,
        )


class ExchangeLinks:
    """The links to all exchanges, by exchange name; implements the core's port to the exchanges.

    `dial_timeout_ms` bounds a dial, and the time that a set-up waits for a connection.
    `on_unknown_release` is called with the call and cause of a release of a call not known here, as soon as
    the loop runs: exchanges send the releases that an earlier process missed on the first connection.
    """

    def __init__(
        self,
        loop: Loop,
        call_manager: CallManager,
        dial_timeout_ms: float,
        on_unknown_release: Callable[[int, int], None],
    ) -> None:
        self.loop, self.call_manager, self.dial_timeout_ms = loop, call_manager, dial_timeout_ms
        self.on_unknown_release = on_unknown_release
        self.links: dict[str, ExchangeLink] = {}
        self.turns = MessageTurns(loop)
        self.ended_calls = EndedCalls()
        self.released_by_callers = ReleasesByCallers(RELEASE_MAX_AGE_MS, MAX_QUEUE_FOR_UNKNOWN_CALLS)

    def update_addresses(
        self, addresses: Mapping[str, tuple[str, int]], start_times: Mapping[str, float] | None = None
    ) -> None:
        """Open links to new exchanges; cut the calls and close the links of removed and moved ones.

        `start_times` has the starts of the exchanges' processes in Unix milliseconds, 0 for the first ones.
        """
        for name, link in list(self.links.items()):
            if addresses.get(name) != link.address:
                self.call_manager.cut_calls(name, math.inf)
                del self.links[name]
                link.close()
        for name, address in addresses.items():
            if name not in self.links:
                link = self.links[name] = ExchangeLink(self, name, address)
                for call in self.released_by_callers.recent(self.loop.now()):
                    link.release_unknown_call(call)
        for name, start_ms in (start_times or {}).items():
            if (listed_link := self.links.get(name)) is not None:
                listed_link.on_listed(start_ms)

    def all_groups_reported(self) -> bool:
        """Whether every exchange has reported the state of the trunk group to it."""
        return all(link.group_state_received for link in self.links.values())

    def set_up(self, attempt: Attempt) -> None:
        """Send an attempt's set-up to its exchange; without a link to it the attempt ends as unreachable."""
        link = self.links.get(attempt.exchange)
        if link is None:
            self.loop.call_soon(lambda: self.call_manager.on_attempt_ended(attempt, Outcome.UNREACHABLE))
        else:
            link.set_up(attempt)

    def cancel_set_up(self, attempt: Attempt) -> None:
        """Cancel an attempt's set-up at its exchange."""
        if (link := self.links.get(attempt.exchange)) is not None:
            link.end_attempt(attempt, is_standing=False)

    def release(self, attempt: Attempt) -> None:
        """Release a standing call at its exchange."""
        if (link := self.links.get(attempt.exchange)) is not None:
            link.end_attempt(attempt, is_standing=True)

    def release_everywhere(self, call: int) -> None:
        """Release at every exchange a call that was set up before the program's restart.

        Which exchange has the call is not known here, and it may not be listed yet.
        """
        if call in self.ended_calls:
            return  # released by both sides at the same time
        self.released_by_callers.add(call, self.loop.now())
        for link in self.links.values():
            link.release_unknown_call(call)

    def report_unknown_release(self, exchange: str, call: int, cause: int) -> None:
        """Report an exchange's release of a call not known here, once for each call.

        The call may have been set up before the program's restart, so its caller must be notified. Guards
        against an exchange that ends a call which stands at another one, in the eyes of its caller.
        """
        if call in self.ended_calls or call in self.released_by_callers.released_at:
            result = UnknownRelease.REPEATED
        elif call in self.call_manager.by_identity:
            result = UnknownRelease.OPEN_ELSEWHERE
        else:
            result = UnknownRelease.REPORTED
            self.ended_calls.add(call)
            self.on_unknown_release(call, cause)
        self.call_manager.increment_counter(f"unknown release {result.value}")
        log.debug(
            "release of a call not known here",
            extra={"exchange": exchange, "call": f"{call:016x}", "result": result.value},
        )
