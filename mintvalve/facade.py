"""The decision module in blocking style: `pick` a way for a call, `report` news, `tick` a timer.

Each of them returns the orders that follow. Only this file knows the module's events and actions.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from mintvalve import interface as io
from mintvalve.controller import Controller
from mintvalve.core.calls import (
    Call,
    CancelAttempt,
    AttemptEnded,
    FailCall,
    CallWithdrawn,
    ExchangeListChanged,
    CallEvent,
    Command,
    GroupStateChanged,
    SendSetUp,
    AttemptAnswered,
    RefuseCall,
)

log = logging.getLogger("mintvalve.desk")
REARM_MS = 1000.0  # ms; a timer on whose ring the module failed rings again after this


class DecisionFacade:
    """One controller of the decision module, its clock and its timers."""

    def __init__(
        self,
        settings: io.Settings,
        seed: int,
        now: Callable[[], float],
        remind: Callable[[float, int], object],
    ) -> None:
        self.controller = Controller(settings, seed)
        self.now, self.remind = now, remind
        self.dispatch(io.Started())

    def pick(self, call: Call) -> list[Command]:
        """What to do with a call that was just taken; no order means that it is held."""
        ask = call.request
        return self.dispatch(
            io.CallOffered(
                call.number,
                ask.call_class,
                ask.called,
                call.deadline_at,
                ask.destination,
                ask.width,
                ask.tandem,
                ask.in_transit,
                was_cut=ask.was_cut,
            ),
            call.number,
        )

    def report(self, news: CallEvent) -> list[Command]:
        """What follows from news."""
        match news:
            case AttemptAnswered(attempt, elapsed):
                number = attempt.call.number
                return self.dispatch(io.CallAnswered(number, attempt.index, attempt.exchange, elapsed))
            case AttemptEnded(attempt, outcome, elapsed, ended, clearing, pause, report):
                number = attempt.call.number
                return self.dispatch(
                    io.AttemptEnded(
                        number,
                        attempt.index,
                        attempt.exchange,
                        outcome,
                        elapsed,
                        ended,
                        clearing,
                        pause,
                        report,
                    ),
                    None if ended else number,
                )
            case CallWithdrawn(call):
                return self.dispatch(io.CallerLeft(call.number))
            case GroupStateChanged(exchange, report):
                return self.dispatch(io.LoadReported(exchange, True, False, report))
            case ExchangeListChanged(kind, exchanges):
                return self.dispatch(io.ExchangeListUpdate(kind, exchanges))

    def tick(self, token: int) -> list[Command]:
        """A timer of the module came due."""
        return self.dispatch(io.TimerExpired(token), token=token)

    def dispatch(self, event: io.Event, call: int | None = None, token: int | None = None) -> list[Command]:
        """One event; if the module fails on it, its call is given up and its timer goes on."""
        try:
            actions = self.controller.handle(self.now(), event)
        except Exception:
            log.exception("the decision module failed", extra={"event": type(event).__name__})
            if token is not None:
                self.remind(REARM_MS, token)
            return [] if call is None else [FailCall(call)]
        orders: list[Command] = []
        for action in actions:
            match action:
                case io.SetUp(number, exchange, wait):
                    orders.append(SendSetUp(number, exchange, wait))
                case io.Refuse(number, stay_away):
                    orders.append(RefuseCall(number, stay_away))
                case io.Fail(number):
                    orders.append(FailCall(number))
                case io.Cancel(number, attempt):
                    orders.append(CancelAttempt(number, attempt))
                case io.SetTimer(after, name):
                    self.remind(after, name)
                case io.Log(text):
                    log.info(text)
                case _:
                    log.debug("not to be had here", extra={"action": type(action).__name__})
        return orders
