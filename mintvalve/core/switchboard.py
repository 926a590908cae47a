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
    CallOff,
    CallState,
    Ended,
    GiveUp,
    Left,
    Listed,
    News,
    Order,
    Request,
    Room,
    Send,
    Stood,
    TurnAway,
)
from mintvalve.core.ports import Caller, Desk, ExchangeSide, Timers
from mintvalve.core.rules import MARGIN_MS, MUST_WAIT, Rules
from mintvalve.interface import Exchange, ListKind, Outcome, Report, Settings, State

log = logging.getLogger("mintvalve.calls")


class Unacceptable(Exception):
    """A set-up that can't be taken; `name` is the error's name."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(detail)
        self.name = name


class Switchboard:
    """All calls of this controller."""

    def __init__(self, settings: Settings, timers: Timers) -> None:
        self.timers, self.rules = timers, Rules.of(settings)
        self.desk: Desk
        self.far: ExchangeSide
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.calls: dict[int, Call] = {}  # by own number: those not over
        self.known: dict[int, Call] = {}  # the same by identity
        self.exchanges: dict[str, Exchange] = {}
        self.serial = 0
        self.open = 0  # calls taken that are owed a final answer
        self.idle: Callable[[], None] | None = None  # told when no answer is owed any more
        self.todo: deque[Order] = deque()
        self.busy = False
        self.ending = False  # the program ends: what comes now is refused at once
        self.counts: dict[str, int] = {}

    # From the fronts.

    def offer(self, request: Request, caller: Caller) -> Call:
        """A set-up: taken, or `Unacceptable`."""
        if request.identity in self.known:
            raise Unacceptable("duplicate_id", "a call of this id is open")
        if request.kind not in self.kinds:
            raise Unacceptable("unknown_class", f"no class is named {request.kind[:40]}")
        if request.wait_ms <= 0:
            raise Unacceptable("no_time", "the caller's wait is over")
        if fault := self.rules.out_of_range(request):
            raise Unacceptable("bad_field", fault)
        now = self.timers.now()
        self.serial += 1
        call = Call(self.serial, request, caller, now, now + max(request.wait_ms - MARGIN_MS, 1.0))
        if self.ending:
            call.state = CallState.OVER
            self.count("refused at the end")
            caller.refused(call, 0.0)
            return call
        call.guard = self.timers.after(call.deadline - now, lambda: self.overdue(call))
        self.calls[call.number] = self.known[request.identity] = call
        self.open += 1
        self.count("taken")
        caller.taken(call)
        self.obey(self.desk.pick(call))
        return call

    def caller_left(self, call: Call) -> None:
        """The caller gave its set-up up, or its connection is gone; a call that stands goes on."""
        if call.state in (CallState.HELD, CallState.TRYING):
            self.count("left")
            self.drop(call)
            call.caller.left(call)

    def caller_released(self, call: Call) -> None:
        """The caller ends its call: a standing one is released, one being set up is given up."""
        if call.state is not CallState.STANDING:
            self.caller_left(call)
            return
        attempt = call.attempt
        assert attempt is not None
        self.close(call)
        self.far.release(attempt)
        self.tell(Ended(attempt, Outcome.CANCELLED, self.timers.now() - attempt.sent_at, ended=True))

    # From the exchanges' side.

    def progress(self, attempt: Attempt) -> None:
        if attempt.call.attempt is attempt and attempt.call.state is CallState.TRYING:
            attempt.call.caller.progress(attempt.call)

    def stood(self, attempt: Attempt, description: bytes | None) -> None:
        """An exchange answered."""
        call = attempt.call
        if call.attempt is not attempt or call.state is not CallState.TRYING:
            return
        call.state = CallState.STANDING
        self.settle(call, attempt)
        self.count("stood")
        call.caller.answered(call, description)
        self.tell(Stood(attempt, self.timers.now() - attempt.sent_at))

    def ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        clearing: int = 0,
        pause_ms: float = 0.0,
        report: Report | None = None,
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
            call.caller.released(call, outcome is not Outcome.ENDED)
        else:
            self.count(f"attempt {outcome.value}")
            self.leave(call, attempt)
            if outcome in MUST_WAIT:
                call.not_before = now + self.rules.release_wait_ms
        self.tell(
            Ended(attempt, outcome, now - attempt.sent_at, standing, clearing, pause_ms, report or Report())
        )

    def room(self, exchange: str, report: Report) -> None:
        """The state of a trunk group."""
        if exchange in self.exchanges:
            self.tell(Room(exchange, report))

    def cut(self, exchange: str, before: float) -> None:
        """An exchange's process died, or is out of reach for long: what stood by it since before is over. The
        callers are told so, and the exchange, should it still be there."""
        for call in [each for each in self.calls.values() if each.state is CallState.STANDING]:
            attempt = call.attempt
            if attempt is not None and attempt.exchange == exchange and attempt.sent_at < before:
                self.far.release(attempt)
                self.ended(attempt, Outcome.RESET)

    # From the name service, the clock and the program.

    def listed(self, exchanges: Iterable[Exchange], kind: ListKind = ListKind.FULL) -> None:
        """The list of exchanges; processes that are gone or were started again have lost their calls. What
        stands by the new process was set up since its start, which the list tells late, and stays."""
        told = tuple(exchanges)
        before = self.exchanges
        fresh = {each.address: each for each in told}
        self.exchanges = {**before, **fresh} if kind is ListKind.CHANGES else fresh
        self.tell(Listed(kind, told))
        for name, was in before.items():
            now = self.exchanges.get(name)
            if now is None or now.state is State.GONE:
                self.cut(name, math.inf)
            elif now.born_ms != was.born_ms:
                self.cut(name, now.born_ms)

    def ring(self, token: int) -> None:
        """A timer of the desk."""
        self.obey(self.desk.tick(token))

    def turn_all_away(self) -> None:
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
        call.caller.refused(call, retry_after_ms)

    def drop(self, call: Call) -> None:
        """No answer is owed by the desk any more; what is out is given up."""
        attempt = call.attempt
        self.close(call)
        self.tell(Left(call))
        if attempt is not None:
            self.far.give_up(attempt)
            self.tell(Ended(attempt, Outcome.CANCELLED, self.timers.now() - attempt.sent_at, ended=True))

    def tell(self, news: News) -> None:
        self.obey(self.desk.report(news))

    def obey(self, orders: list[Order]) -> None:
        """Carry orders out one by one; those that arise meanwhile wait for their turn."""
        self.todo.extend(orders)
        if self.busy:
            return
        self.busy = True
        try:
            while self.todo:
                self.carry_out(self.todo.popleft())
        finally:
            self.busy = False

    def carry_out(self, order: Order) -> None:
        call = self.calls.get(order.call)
        if call is None:
            return
        match order:
            case Send():
                self.send(call, order)
            case CallOff():
                attempt = call.attempt
                if attempt is not None and attempt.index == order.attempt and call.state is CallState.TRYING:
                    self.far.give_up(attempt)
                    self.ended(attempt, Outcome.CANCELLED)
            case TurnAway() | GiveUp():
                if call.state is CallState.TRYING and call.attempt is not None:
                    self.far.give_up(call.attempt)
                if call.state is CallState.STANDING:
                    log.error("the desk answered a call that stands", extra={"call": call.number})
                    return
                self.close(call)
                if isinstance(order, TurnAway):
                    self.count("refused")
                    call.caller.refused(call, order.retry_after_ms)
                else:
                    self.count("failed")
                    call.caller.failed(call)

    def send(self, call: Call, order: Send) -> None:
        """The only place an attempt begins."""
        now = self.timers.now()
        broken = self.rules.broken_by(call, self.exchanges.get(order.exchange), now)
        attempt = Attempt(call, call.attempts, order.exchange, now, min(order.wait_ms, call.deadline - now))
        call.attempts += 1
        if broken:
            log.error("a set-up was held back", extra={"call": call.number, "rule": broken})
            self.tell(Ended(attempt, Outcome.NOT_SENT, 0.0, ended=call.state is CallState.OVER))
            return
        call.attempt, call.state = attempt, CallState.TRYING
        attempt.timer = self.timers.after(attempt.wait_ms, lambda: self.timed_out(attempt))
        self.count("sent")
        self.far.set_up(attempt)

    def timed_out(self, attempt: Attempt) -> None:
        if attempt.call.attempt is attempt and attempt.call.state is CallState.TRYING:
            self.far.give_up(attempt)
            self.ended(attempt, Outcome.TIMED_OUT)

    def leave(self, call: Call, attempt: Attempt) -> None:
        """The attempt is over, the call is held again."""
        call.attempt, call.state = None, CallState.HELD
        if attempt.timer is not None:
            attempt.timer.drop()
            attempt.timer = None

    def settle(self, call: Call, attempt: Attempt | None) -> None:
        """No answer is owed any more. A call and its timers know each other, and so do it and its attempt:
        the ties are cut as they end, else each call would be memory that only a collection over everything
        finds."""
        for timer in (call.guard, attempt.timer if attempt is not None else None):
            if timer is not None:
                timer.drop()
        call.guard = None
        if attempt is not None:
            attempt.timer = None
        self.open -= 1
        if self.open == 0 and self.idle is not None:
            self.idle()

    def close(self, call: Call) -> None:
        """The call is over for good."""
        if call.state is not CallState.STANDING:
            self.settle(call, call.attempt)
        call.state, call.attempt = CallState.OVER, None
        self.calls.pop(call.number, None)
        self.known.pop(call.request.identity, None)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
