"""The life of every call: taken from a front, tried at exchanges as the desk decides, answered once, ended.

The switchboard owns all calls and attempts. Fronts and the exchanges' side only carry words to and from it.
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
from mintvalve.core.rules import MARGIN_MS, MUST_WAIT, SetUpRules
from mintvalve.interface import Exchange, ListUpdateKind, Outcome, LoadReport, Settings, ExchangeState

log = logging.getLogger("mintvalve.calls")


class SetUpRejected(Exception):
    """A set-up that can't be taken; `name` is the error's name."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(detail)
        self.name = name


class CallManager:
    """All calls of this controller."""

    def __init__(self, settings: Settings, timers: Timers) -> None:
        self.timers, self.rules = timers, SetUpRules.of(settings)
        self.decision_module: DecisionModule
        self.exchange_connections: ExchangeConnections
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.calls: dict[int, Call] = {}  # by own number: those not over
        self.by_identity: dict[int, Call] = {}  # the same by identity
        self.exchanges: dict[str, Exchange] = {}
        self.serial = 0
        self.unanswered_calls = 0  # calls taken that are owed a final answer
        self.idle: Callable[[], None] | None = None  # told when no answer is owed any more
        self.pending_commands: deque[Command] = deque()
        self.busy = False
        self.ending = False  # the program ends: what comes now is refused at once
        self.counts: dict[str, int] = {}

    # From the fronts.

    def offer_call(self, request: CallRequest, caller: Caller) -> Call:
        """A set-up: taken, or `Unacceptable`."""
        if request.identity in self.by_identity:
            raise SetUpRejected("duplicate_id", "a call of this id is open")
        if request.call_class not in self.kinds:
            raise SetUpRejected("unknown_class", f"no class is named {request.call_class[:40]}")
        if request.wait_ms <= 0:
            raise SetUpRejected("no_time", "the caller's wait is over")
        if fault := self.rules.out_of_range(request):
            raise SetUpRejected("bad_field", fault)
        now = self.timers.now()
        self.serial += 1
        call = Call(self.serial, request, caller, now, now + max(request.wait_ms - MARGIN_MS, 1.0))
        if self.ending:
            call.state = CallState.OVER
            self.count("refused at the end")
            caller.on_refused(call, 0.0)
            return call
        call.deadline_timer = self.timers.call_later(call.deadline_at - now, lambda: self.overdue(call))
        self.calls[call.number] = self.by_identity[request.identity] = call
        self.unanswered_calls += 1
        self.count("taken")
        caller.on_accepted(call)
        self.obey(self.decision_module.pick(call))
        return call

    def on_caller_left(self, call: Call) -> None:
        """The caller gave its set-up up, or its connection is gone; a call that stands goes on."""
        if call.state in (CallState.HELD, CallState.TRYING):
            self.count("left")
            self.drop(call)
            call.caller.on_withdrawn(call)

    def on_caller_release(self, call: Call) -> None:
        """The caller ends its call: a standing one is released, one being set up is given up."""
        if call.state is not CallState.STANDING:
            self.on_caller_left(call)
            return
        attempt = call.attempt
        assert attempt is not None
        self.close(call)
        self.exchange_connections.release(attempt)
        self.tell(AttemptEnded(attempt, Outcome.CANCELLED, self.timers.now() - attempt.sent_at, ended=True))

    # From the exchanges' side.

    def on_progress(self, attempt: Attempt) -> None:
        if attempt.call.attempt is attempt and attempt.call.state is CallState.TRYING:
            attempt.call.caller.on_progress(attempt.call)

    def on_answer(self, attempt: Attempt, description: bytes | None) -> None:
        """An exchange answered."""
        call = attempt.call
        if call.attempt is not attempt or call.state is not CallState.TRYING:
            return
        call.state = CallState.STANDING
        self.settle(call, attempt)
        self.count("stood")
        call.caller.on_answered(call, description)
        self.tell(AttemptAnswered(attempt, self.timers.now() - attempt.sent_at))

    def on_attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        clearing: int = 0,
        pause_ms: float = 0.0,
        report: LoadReport | None = None,
    ) -> None:
        """An attempt, or the call that stood by it, is over."""
        call = attempt.call
        if call.attempt is not attempt or call.state is CallState.OVER:
            return
        now = self.timers.now()
        standing = call.state is CallState.STANDING
        if standing:
            self.close(call)
            self.count("ended" if outcome is Outcome.ENDED else "cut")
            call.caller.on_released(call, outcome is not Outcome.ENDED)
        else:
            self.count(f"attempt {outcome.value}")
            self.leave(call, attempt)
            if outcome in MUST_WAIT:
                call.not_before = now + self.rules.release_wait_ms
        self.tell(
            AttemptEnded(
                attempt, outcome, now - attempt.sent_at, standing, clearing, pause_ms, report or LoadReport()
            )
        )

    def on_group_state(self, exchange: str, report: LoadReport) -> None:
        """The state of a trunk group."""
        if exchange in self.exchanges:
            self.tell(GroupStateChanged(exchange, report))

    def cut_calls(self, exchange: str, before: float) -> None:
        """An exchange's process died, or is out of reach for long: what stood by it since before is over. The
        callers are told so, and the exchange, should it still be there."""
        for call in [each for each in self.calls.values() if each.state is CallState.STANDING]:
            attempt = call.attempt
            if attempt is not None and attempt.exchange == exchange and attempt.sent_at < before:
                self.exchange_connections.release(attempt)
                self.on_attempt_ended(attempt, Outcome.RESET)

    # From the name service, the clock and the program.

    def on_exchange_list(
        self, exchanges: Iterable[Exchange], kind: ListUpdateKind = ListUpdateKind.FULL
    ) -> None:
        """The list of exchanges; processes that are gone or were started again have lost their calls. What
        stands by the new process was set up since its start, which the list tells late, and stays."""
        told = tuple(exchanges)
        before = self.exchanges
        fresh = {each.address: each for each in told}
        self.exchanges = {**before, **fresh} if kind is ListUpdateKind.CHANGES else fresh
        self.tell(ExchangeListChanged(kind, told))
        for name, was in before.items():
            now = self.exchanges.get(name)
            if now is None or now.state is ExchangeState.GONE:
                self.cut_calls(name, math.inf)
            elif now.up_since_ms != was.up_since_ms:
                self.cut_calls(name, now.up_since_ms)

    def on_timer(self, token: int) -> None:
        """A timer of the desk."""
        self.obey(self.decision_module.tick(token))

    def refuse_open_calls(self) -> None:
        """The program ends: whatever is owed an answer gets it now, and so does what still comes. Guards
        against set-ups taken in the last moments, which ended without an answer on a day with restarts."""
        self.ending = True
        for call in list(self.calls.values()):
            if call.state in (CallState.HELD, CallState.TRYING):
                self.refuse(call, 0.0)

    # The inside.

    def overdue(self, call: Call) -> None:
        """The deadline came first. Guards against a desk that fell silent: its callers are answered."""
        if call.state in (CallState.HELD, CallState.TRYING):
            self.refuse(call, 0.0)

    def refuse(self, call: Call, retry_after_ms: float) -> None:
        """Refused past the desk."""
        self.count("refused past the desk")
        self.drop(call)
        call.caller.on_refused(call, retry_after_ms)

    def drop(self, call: Call) -> None:
        """No answer is owed by the desk any more; what is out is given up."""
        attempt = call.attempt
        self.close(call)
        self.tell(CallWithdrawn(call))
        if attempt is not None:
            self.exchange_connections.cancel_set_up(attempt)
            self.tell(
                AttemptEnded(attempt, Outcome.CANCELLED, self.timers.now() - attempt.sent_at, ended=True)
            )

    def tell(self, news: CallEvent) -> None:
        self.obey(self.decision_module.report(news))

    def obey(self, orders: list[Command]) -> None:
        """Carry orders out one by one; those that arise meanwhile wait for their turn."""
        self.pending_commands.extend(orders)
        if self.busy:
            return
        self.busy = True
        try:
            while self.pending_commands:
                self.carry_out(self.pending_commands.popleft())
        finally:
            self.busy = False

    def carry_out(self, order: Command) -> None:
        call = self.calls.get(order.call)
        if call is None:
            return
        match order:
            case SendSetUp():
                self.send(call, order)
            case CancelAttempt():
                attempt = call.attempt
                if attempt is not None and attempt.index == order.attempt and call.state is CallState.TRYING:
                    self.exchange_connections.cancel_set_up(attempt)
                    self.on_attempt_ended(attempt, Outcome.CANCELLED)
            case RefuseCall() | FailCall():
                if call.state is CallState.TRYING and call.attempt is not None:
                    self.exchange_connections.cancel_set_up(call.attempt)
                if call.state is CallState.STANDING:
                    log.error("the desk answered a call that stands", extra={"call": call.number})
                    return
                self.close(call)
                if isinstance(order, RefuseCall):
                    self.count("refused")
                    call.caller.on_refused(call, order.retry_after_ms)
                else:
                    self.count("failed")
                    call.caller.on_failed(call)

    def send(self, call: Call, order: SendSetUp) -> None:
        """The only place an attempt begins."""
        now = self.timers.now()
        broken = self.rules.broken_by(call, self.exchanges.get(order.exchange), now)
        attempt = Attempt(
            call, call.attempts, order.exchange, now, min(order.wait_ms, call.deadline_at - now)
        )
        call.attempts += 1
        if broken:
            log.error("a set-up was held back", extra={"call": call.number, "rule": broken})
            self.tell(AttemptEnded(attempt, Outcome.NOT_SENT, 0.0, ended=call.state is CallState.OVER))
            return
        call.attempt, call.state = attempt, CallState.TRYING
        attempt.timer = self.timers.call_later(attempt.wait_ms, lambda: self.timed_out(attempt))
        self.count("sent")
        self.exchange_connections.set_up(attempt)

    def timed_out(self, attempt: Attempt) -> None:
        if attempt.call.attempt is attempt and attempt.call.state is CallState.TRYING:
            self.exchange_connections.cancel_set_up(attempt)
            self.on_attempt_ended(attempt, Outcome.TIMED_OUT)

    def leave(self, call: Call, attempt: Attempt) -> None:
        """The attempt is over, the call is held again."""
        call.attempt, call.state = None, CallState.HELD
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None

    def settle(self, call: Call, attempt: Attempt | None) -> None:
        """No answer is owed any more. A call and its timers know each other, and so do it and its attempt:
        the ties are cut as they end, else each call would be memory that only a collection over everything
        finds."""
        for timer in (call.deadline_timer, attempt.timer if attempt is not None else None):
            if timer is not None:
                timer.cancel()
        call.deadline_timer = None
        if attempt is not None:
            attempt.timer = None
        self.unanswered_calls -= 1
        if self.unanswered_calls == 0 and self.idle is not None:
            self.idle()

    def close(self, call: Call) -> None:
        """The call is over for good."""
        if call.state is not CallState.STANDING:
            self.settle(call, call.attempt)
        call.state, call.attempt = CallState.OVER, None
        self.calls.pop(call.number, None)
        self.by_identity.pop(call.request.identity, None)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
