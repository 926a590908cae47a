"""Synchronous interface of the core to the controller.

`pick` decides on a new call, `report` handles an event of the core, `tick` the expiry of a timer. They return
the commands that the core has to execute. This module alone converts between the core's events and commands
and the events and actions of `mintvalve.interface`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from mintvalve import interface
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
TIMER_RETRY_MS = 1000.0  # delay until a timer expires again after the controller failed to handle it


class DecisionFacade:
    """Decision module of the core: one `Controller` with its clock and its timers.

    `now` returns the time in Unix milliseconds. `schedule_timer` is called with a delay in milliseconds and
    a token; its owner calls `tick` with this token once the delay is over.
    """

    def __init__(
        self,
        settings: interface.Settings,
        seed: int,
        now: Callable[[], float],
        schedule_timer: Callable[[float, int], object],
    ) -> None:
        self.controller = Controller(settings, seed)
        self.now, self.schedule_timer = now, schedule_timer
        self.dispatch(interface.Started())

    def pick(self, call: Call) -> list[Command]:
        """Decides on a call that was just accepted; without a command for it, the call is held."""
        request = call.request
        return self.dispatch(
            interface.CallOffered(
                call.local_id,
                request.call_class,
                request.called_number,
                call.deadline_at,
                request.destination,
                request.width,
                request.tandem,
                request.in_transit,
                was_cut=request.was_cut,
            ),
            call.local_id,
        )

    def report(self, event: CallEvent) -> list[Command]:
        """Passes an event of the core to the controller.

        If the controller fails on the end of an attempt whose call goes on, that call fails.
        """
        match event:
            case AttemptAnswered(attempt, elapsed_ms):
                call_number = attempt.call.local_id
                return self.dispatch(
                    interface.CallAnswered(call_number, attempt.index, attempt.exchange, elapsed_ms)
                )
            case AttemptEnded(attempt, outcome, elapsed_ms, ended, clearing_cause, pause_ms, load_report):
                call_number = attempt.call.local_id
                return self.dispatch(
                    interface.AttemptEnded(
                        call_number,
                        attempt.index,
                        attempt.exchange,
                        outcome,
                        elapsed_ms,
                        ended,
                        clearing_cause,
                        pause_ms,
                        load_report,
                    ),
                    None if ended else call_number,
                )
            case CallWithdrawn(call):
                return self.dispatch(interface.CallerLeft(call.local_id))
            case GroupStateChanged(exchange, load_report):
                return self.dispatch(interface.LoadReported(exchange, True, False, load_report))
            case ExchangeListChanged(kind, exchanges):
                return self.dispatch(interface.ExchangeListUpdate(kind, exchanges))

    def tick(self, token: int) -> list[Command]:
        """Passes the expiry of the timer `token` to the controller."""
        return self.dispatch(interface.TimerExpired(token), token=token)

    def dispatch(
        self, event: interface.Event, call_number: int | None = None, token: int | None = None
    ) -> list[Command]:
        """Hands one event to the controller and converts its actions to commands.

        Timers and log lines among the actions are handled here. If the controller raises an exception, the
        call `call_number` fails and the timer `token` expires again after `TIMER_RETRY_MS`: one fault must
        neither leave a call without its answer nor stop a periodic timer for good.
        """
        try:
            actions = self.controller.handle(self.now(), event)
        except Exception:
            log.exception("the decision module failed", extra={"event": type(event).__name__})
            if token is not None:
                self.schedule_timer(TIMER_RETRY_MS, token)
            return [] if call_number is None else [FailCall(call_number)]
        commands: list[Command] = []
        for action in actions:
            match action:
                case interface.SetUp(action_call, exchange, timeout_ms):
                    commands.append(SendSetUp(action_call, exchange, timeout_ms))
                case interface.Refuse(action_call, retry_after_ms):
                    commands.append(RefuseCall(action_call, retry_after_ms))
                case interface.Fail(action_call):
                    commands.append(FailCall(action_call))
                case interface.Cancel(action_call, attempt_index):
                    commands.append(CancelAttempt(action_call, attempt_index))
                case interface.SetTimer(delay_ms, timer_token):
                    self.schedule_timer(delay_ms, timer_token)
                case interface.Log(text):
                    log.info(text)
                case _:
                    log.debug(
                        "the facade does not support this action; discarded",
                        extra={"action": type(action).__name__},
                    )
        return commands
