"""The decision module in blocking style: `pick` a way for a call, `report` news, `tick` a timer.

Each of them returns the orders that follow. Only this file knows the module's events and actions.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from mintvalve import interface as io
from mintvalve.choice import Controller
from mintvalve.core.calls import (
    Call,
    CallOff,
    Ended,
    GiveUp,
    Left,
    Listed,
    News,
    Order,
    Room,
    Send,
    Stood,
    TurnAway,
)

log = logging.getLogger("mintvalve.desk")
REARM_MS = 1000.0  # ms; a timer on whose ring the module failed rings again after this


class ModuleDesk:
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
        self.hand(io.Started())

    def pick(self, call: Call) -> list[Order]:
        """What to do with a call that was just taken; no order means that it is held."""
        ask = call.request
        return self.hand(
            io.CallOffered(
                call.number,
                ask.kind,
                ask.called,
                call.deadline,
                ask.destination,
                ask.width,
                ask.tandem,
                ask.in_transit,
                was_cut=ask.was_cut,
            ),
            call.number,
        )

    def report(self, news: News) -> list[Order]:
        """What follows from news."""
        match news:
            case Stood(attempt, elapsed):
                number = attempt.call.number
                return self.hand(io.CallStands(number, attempt.index, attempt.exchange, elapsed))
            case Ended(attempt, outcome, elapsed, ended, clearing, pause, report):
                number = attempt.call.number
                return self.hand(
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
            case Left(call):
                return self.hand(io.CallerGone(call.number))
            case Room(exchange, report):
                return self.hand(io.ReportHeard(exchange, True, False, report))
            case Listed(kind, exchanges):
                return self.hand(io.ListNews(kind, exchanges))

    def tick(self, token: int) -> list[Order]:
        """A timer of the module came due."""
        return self.hand(io.TimerRang(token), token=token)

    def hand(self, event: io.Event, call: int | None = None, token: int | None = None) -> list[Order]:
        """One event; if the module fails on it, its call is given up and its timer goes on."""
        try:
            actions = self.controller.handle(self.now(), event)
        except Exception:
            log.exception("the decision module failed", extra={"event": type(event).__name__})
            if token is not None:
                self.remind(REARM_MS, token)
            return [] if call is None else [GiveUp(call)]
        orders: list[Order] = []
        for action in actions:
            match action:
                case io.SetUp(number, exchange, wait):
                    orders.append(Send(number, exchange, wait))
                case io.Refuse(number, stay_away):
                    orders.append(TurnAway(number, stay_away))
                case io.Fail(number):
                    orders.append(GiveUp(number))
                case io.Cancel(number, attempt):
                    orders.append(CallOff(number, attempt))
                case io.SetTimer(after, name):
                    self.remind(after, name)
                case io.Log(text):
                    log.info(text)
                case _:
                    log.debug("not to be had here", extra={"action": type(action).__name__})
        return orders
