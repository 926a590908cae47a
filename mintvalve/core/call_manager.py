"""Call processing: every call from its set-up by a front to its final answer and its release.

The call manager owns all calls and attempts, sends set-ups as the decision module decides, and gives each
call exactly one final answer. Fronts and exchange connections only pass messages to and from it.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable, Iterable

from mintvalve.core.calls import (
    Attempt,
    Call,
    CancelAttempt,
    CallState,
    AttemptEnded,
    FailCall,
    CallWithdrawn,
    ExchangeListChanged,
    CallEvent,
    Command,
    CallRequest,
    GroupStateChanged,
    SendSetUp,
    AttemptAnswered,
    RefuseCall,
)
from mintvalve.core.ports import Caller, DecisionModule, ExchangeConnections, Timers
from mintvalve.core.recent_calls import EndedCalls
from mintvalve.core.rules import (
    ANSWER_MARGIN_MS,
    NEVER_RUN_OUTCOMES,
    RELEASE_WAIT_OUTCOMES,
    SetUpRules,
)
from mintvalve.interface import Exchange, ListUpdateKind, Outcome, LoadReport, Settings, ExchangeState

log = logging.getLogger("mintvalve.calls")


class SetUpRejected(Exception):
    """A caller's set-up was rejected; `error_name` is the code that clients see, the text the details."""

    def __init__(self, error_name: str, detail: str) -> None:
        super().__init__(detail)
        self.error_name = error_name


class CallManager:
    """All calls of this controller and their attempts.

    `decision_module` and `exchange_connections` must be set before the first call. Runs on one thread.
    `counts` holds the counters that are logged at the end of the program, by name.
    """

    def __init__(self, settings: Settings, timers: Timers) -> None:
        self.timers, self.rules = timers, SetUpRules.from_settings(settings)
        self.decision_module: DecisionModule
        self.exchange_connections: ExchangeConnections
        self.call_classes = {call_class.name: call_class for call_class in settings.classes}
        self.calls: dict[int, Call] = {}  # calls that have not ended, by `local_id`
        self.by_identity: dict[int, Call] = {}  # the same calls by identity
        # Every set-up has a new id, so one with the id of an ended call comes a second time.
        self.ended_calls = EndedCalls()
        self.exchanges: dict[str, Exchange] = {}  # by address
        self.last_local_id = 0
        self.unanswered_calls = 0  # accepted calls without a final answer
        # Called when `unanswered_calls` gets to 0.
        self.on_all_calls_answered: Callable[[], None] | None = None
        self.pending_commands: deque[Command] = deque()
        self.is_executing = False
        self.shutting_down = False  # new calls are refused at once
        self.counts: dict[str, int] = {}

    # Called by the fronts.

    def offer_call(self, request: CallRequest, caller: Caller) -> Call:
        """Accept a caller's set-up and ask the decision module for its commands.

        Returns the call, which is already refused while the program shuts down. Raises SetUpRejected if the
        request is a duplicate, names an unknown class, leaves no time or is out of range.
        """
        if request.identity in self.by_identity:
            raise SetUpRejected("duplicate_id", "a call with this id is already open")
        if self.ended_calls.may_have_run(request.identity):
            raise SetUpRejected("duplicate_id", "a call with this id has ended, and may have run")
        if request.call_class not in self.call_classes:
            raise SetUpRejected("unknown_class", f"no call class is named {request.call_class[:40]}")
        if request.wait_ms <= 0:
            raise SetUpRejected("no_time", f"wait must be above 0 ms, got {request.wait_ms:.0f} ms")
        if fault := self.rules.find_request_fault(request):
            raise SetUpRejected("bad_field", fault)
        now = self.timers.now()
        self.last_local_id += 1
        call = Call(
            self.last_local_id, request, caller, now, now + max(request.wait_ms - ANSWER_MARGIN_MS, 1.0)
        )
        if self.shutting_down:
            call.state = CallState.ENDED
            self.increment_counter("refused at the end")
            caller.on_refused(call, 0.0)
            return call
        call.deadline_timer = self.timers.call_later(call.deadline_at - now, lambda: self.on_deadline(call))
        self.calls[call.local_id] = self.by_identity[request.identity] = call
        self.unanswered_calls += 1
        self.increment_counter("taken")
        caller.on_accepted(call)
        self.execute_commands(self.decision_module.pick(call))
        return call

    def on_caller_left(self, call: Call) -> None:
        """The caller cancelled its set-up, or its connection closed. A standing call goes on."""
        if call.state in (CallState.HELD, CallState.TRYING):
            self.increment_counter("left")
            self.withdraw(call)
            call.caller.on_withdrawn(call)

    def on_caller_release(self, call: Call) -> None:
        """The caller released its call: a standing call is released, a set-up is cancelled."""
        if call.state is not CallState.STANDING:
            self.on_caller_left(call)
            return
        attempt = call.attempt
        assert attempt is not None
        self.end_call(call)
        self.exchange_connections.release(attempt)
        self.report_event(
            AttemptEnded(attempt, Outcome.CANCELLED, self.timers.now() - attempt.sent_at, call_ended=True)
        )

    # Called by the exchange connections.

    def on_progress(self, attempt: Attempt) -> None:
        """The exchange reported progress; passed on to the caller unless the attempt has ended."""
        if attempt.call.attempt is attempt and attempt.call.state is CallState.TRYING:
            attempt.call.caller.on_progress(attempt.call)

    def on_answer(self, attempt: Attempt, description: bytes | None) -> None:
        """The exchange answered: the call stands. Ignored if the attempt has ended."""
        call = attempt.call
        if call.attempt is not attempt or call.state is not CallState.TRYING:
            return
        call.state = CallState.STANDING
        self.finish_set_up(call, attempt)
        self.increment_counter("stood")
        call.caller.on_answered(call, description)
        self.report_event(AttemptAnswered(attempt, self.timers.now() - attempt.sent_at))

    def on_attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        clearing_cause: int = 0,
        back_off_ms: float = 0.0,
        report: LoadReport | None = None,
    ) -> None:
        """The attempt ended, or the standing call that it led to. A call whose attempt failed is held again
        until the decision module decides on it. Ignored if the attempt has ended already.

        `clearing_cause` and `back_off_ms` are those of `AttemptEnded`.
        """
        call = attempt.call
        if call.attempt is not attempt or call.state is CallState.ENDED:
            return
        now = self.timers.now()
        standing = call.state is CallState.STANDING
        if standing:
            self.end_call(call)
            self.increment_counter("ended" if outcome is Outcome.ENDED else "cut")
            call.caller.on_released(call, outcome is not Outcome.ENDED)
        else:
            self.increment_counter(f"attempt {outcome.value}")
            self.return_to_held(call, attempt)
            call.ended_attempt_may_have_run |= outcome not in NEVER_RUN_OUTCOMES
            if outcome in RELEASE_WAIT_OUTCOMES:
                call.retry_allowed_at = now + self.rules.release_wait_ms
        self.report_event(
            AttemptEnded(
                attempt,
                outcome,
                now - attempt.sent_at,
                standing,
                clearing_cause,
                back_off_ms,
                report or LoadReport(),
            )
        )

    def on_group_state(self, exchange: str, report: LoadReport) -> None:
        """An exchange reported the state of its trunk group; ignored if it is not on the list."""
        if exchange in self.exchanges:
            self.report_event(GroupStateChanged(exchange, report))

    def cut_calls(self, exchange: str, set_up_before: float) -> None:
        """An exchange's process died or has been unreachable for long: end the standing calls at it whose
        set-ups were written before `set_up_before` (Unix milliseconds). Their callers get a release, and so
        does the exchange, in case it is still there."""
        for call in [call for call in self.calls.values() if call.state is CallState.STANDING]:
            attempt = call.attempt
            if attempt is not None and attempt.exchange == exchange and attempt.written_at < set_up_before:
                self.exchange_connections.release(attempt)
                self.on_attempt_ended(attempt, Outcome.RESET)

    # Called by the name server client, the timers and the lifecycle of the program.

    def on_exchange_list(
        self, exchanges: Iterable[Exchange], kind: ListUpdateKind = ListUpdateKind.FULL
    ) -> None:
        """The list of exchanges changed. Processes that are gone or were restarted have lost their calls,
        which are cut. Calls set up since a restart are kept: the list reports it late, so they may stand at
        the new process."""
        listed = tuple(exchanges)
        previous = self.exchanges
        listed_by_name = {exchange.address: exchange for exchange in listed}
        self.exchanges = {**previous, **listed_by_name} if kind is ListUpdateKind.CHANGES else listed_by_name
        self.report_event(ExchangeListChanged(kind, listed))
        for name, old in previous.items():
            new = self.exchanges.get(name)
            if new is None or new.state is ExchangeState.GONE:
                self.cut_calls(name, math.inf)
            elif new.up_since_ms != old.up_since_ms:
                self.cut_calls(name, new.up_since_ms)

    def on_timer(self, token: int) -> None:
        """A timer of the decision module expired."""
        self.execute_commands(self.decision_module.tick(token))

    def refuse_open_calls(self) -> None:
        """Refuse or fail all calls without a final answer, and refuse from now on every new call: the program
        ends. Guards against set-ups that arrive just before a restart and would end without an answer."""
        self.shutting_down = True
        for call in list(self.calls.values()):
            if call.state in (CallState.HELD, CallState.TRYING):
                self.refuse_or_fail_without_decision(call)

    # Internal.

    def on_deadline(self, call: Call) -> None:
        """Refuse or fail the call if it has no final answer. Guards against a decision module that stays
        silent."""
        if call.state in (CallState.HELD, CallState.TRYING):
            self.refuse_or_fail_without_decision(call)

    def refuse_or_fail_without_decision(self, call: Call) -> None:
        """Give the call its final answer on the core's own account, not on a command of the decision module.

        A refusal tells the caller that dialling again is harmless. A call that may have run fails instead,
        unless its class may be repeated: dialled again, it would run twice.
        """
        may_be_refused = self.may_be_refused(call)
        self.withdraw(call)
        if may_be_refused:
            self.increment_counter("refused past the desk")
            call.caller.on_refused(call, 0.0)
        else:
            self.increment_counter("failed without a decision")
            call.caller.on_failed(call)

    def may_be_refused(self, call: Call) -> bool:
        """Whether the call may be refused: its class may be repeated, or no attempt of it can have run."""
        return self.call_classes[call.request.call_class].may_be_refused(call.may_have_run)

    def withdraw(self, call: Call) -> None:
        """End a call without a final answer: notify the decision module and cancel the attempt in
        progress."""
        attempt = call.attempt
        self.end_call(call)
        self.report_event(CallWithdrawn(call))
        if attempt is not None:
            self.exchange_connections.cancel_set_up(attempt)
            self.report_event(
                AttemptEnded(attempt, Outcome.CANCELLED, self.timers.now() - attempt.sent_at, call_ended=True)
            )

    def report_event(self, event: CallEvent) -> None:
        """Report an event to the decision module and execute the commands that it returns."""
        self.execute_commands(self.decision_module.report(event))

    def execute_commands(self, commands: list[Command]) -> None:
        """Execute commands in order. Those that arise from events during the execution are queued behind."""
        self.pending_commands.extend(commands)
        if self.is_executing:
            return
        self.is_executing = True
        try:
            while self.pending_commands:
                self.execute_command(self.pending_commands.popleft())
        finally:
            self.is_executing = False

    def execute_command(self, command: Command) -> None:
        """Execute one command; ignored if its call has ended, or is not in the state for it."""
        call = self.calls.get(command.call)
        if call is None:
            return
        match command:
            case SendSetUp():
                self.start_attempt(call, command)
            case CancelAttempt():
                attempt = call.attempt
                if (
                    attempt is not None
                    and attempt.index == command.attempt
                    and call.state is CallState.TRYING
                ):
                    self.exchange_connections.cancel_set_up(attempt)
                    self.on_attempt_ended(attempt, Outcome.CANCELLED)
            case RefuseCall() | FailCall():
                self.execute_final_answer(call, command)

    def execute_final_answer(self, call: Call, command: RefuseCall | FailCall) -> None:
        """Refuse or fail a call as the decision module decides; ignored if the call already stands.

        A refusal that would let the caller repeat a call that may have run becomes a failure.
        """
        if call.state is CallState.STANDING:
            log.error(
                "ignored a refusal or failure by the decision module: the call already stands",
                extra={"call": call.local_id},
            )
            return
        may_be_refused = self.may_be_refused(call)
        if call.state is CallState.TRYING and call.attempt is not None:
            self.exchange_connections.cancel_set_up(call.attempt)
        self.end_call(call)
        if isinstance(command, RefuseCall) and may_be_refused:
            self.increment_counter("refused")
            call.caller.on_refused(call, command.retry_after_ms)
            return
        if isinstance(command, RefuseCall):
            log.error("failed a call in place of a refusal: it may have run", extra={"call": call.local_id})
        self.increment_counter("failed")
        call.caller.on_failed(call)

    def start_attempt(self, call: Call, command: SendSetUp) -> None:
        """Send a set-up, or report it as not sent if it would break a rule. Every attempt starts here."""
        now = self.timers.now()
        violation = self.rules.find_violation(call, self.exchanges.get(command.exchange), now)
        attempt = Attempt(
            call, call.attempt_count, command.exchange, now, min(command.wait_ms, call.deadline_at - now)
        )
        attempt.written_at = now
        call.attempt_count += 1
        if violation:
            log.error(
                f"set-up to exchange {command.exchange} not sent, since it would break a rule",
                extra={"call": call.local_id, "rule": violation},
            )
            self.report_event(
                AttemptEnded(attempt, Outcome.NOT_SENT, 0.0, call_ended=call.state is CallState.ENDED)
            )
            return
        call.attempt, call.state = attempt, CallState.TRYING
        attempt.timer = self.timers.call_later(attempt.wait_ms, lambda: self.on_attempt_timeout(attempt))
        self.increment_counter("sent")
        self.exchange_connections.set_up(attempt)

    def on_attempt_timeout(self, attempt: Attempt) -> None:
        if attempt.call.attempt is attempt and attempt.call.state is CallState.TRYING:
            self.exchange_connections.cancel_set_up(attempt)
            self.on_attempt_ended(attempt, Outcome.TIMED_OUT)

    def return_to_held(self, call: Call, attempt: Attempt) -> None:
        """Detach an attempt that ended without an answer from its call, which is held again."""
        call.attempt, call.state = None, CallState.HELD
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None

    def finish_set_up(self, call: Call, attempt: Attempt | None) -> None:
        """Stop the timers of a call that got its final answer, and count it as answered.

        The references to the timers are cleared, since a call, its attempt and their timers refer to each
        other: without that only a full garbage collection would free the memory of ended calls.
        """
        for timer in (call.deadline_timer, attempt.timer if attempt is not None else None):
            if timer is not None:
                timer.cancel()
        call.deadline_timer = None
        if attempt is not None:
            attempt.timer = None
        self.unanswered_calls -= 1
        if self.unanswered_calls == 0 and self.on_all_calls_answered is not None:
            self.on_all_calls_answered()

    def end_call(self, call: Call) -> None:
        """Mark the call as ended and forget it."""
        self.ended_calls.add(call.request.identity, call.may_have_run)
        if call.state is not CallState.STANDING:
            self.finish_set_up(call, call.attempt)
        call.state, call.attempt = CallState.ENDED, None
        self.calls.pop(call.local_id, None)
        self.by_identity.pop(call.request.identity, None)

    def increment_counter(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
