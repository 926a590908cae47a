"""The decision facade: calls over sockets are decided by the controller, and its faults are contained."""

import logging

import pytest

from mintvalve.core.calls import ExchangeListChanged
from mintvalve.facade import TIMER_RETRY_MS, DecisionFacade
from mintvalve.interface import CallOffered, ListUpdateKind, TimerExpired
from tests.rig import RIG_SETTINGS, BinaryClient, Rig


class FailingController:
    """Replaces the controller of a facade: raises an exception on events of one type, else passes them on."""

    def __init__(self, facade: DecisionFacade, event_type: type) -> None:
        self.controller, self.event_type = facade.controller, event_type
        facade.controller = self  # type: ignore[assignment]

    def handle(self, now: float, event: object) -> list[object]:
        if isinstance(event, self.event_type):
            raise ArithmeticError("fault injected by the test")
        return list(self.controller.handle(now, event))  # type: ignore[arg-type]


def rig_with_decision_facade() -> tuple[Rig, DecisionFacade]:
    """Returns a rig that decides through a real `DecisionFacade`, which has the rig's list of exchanges."""
    rig = Rig()

    def schedule_timer(delay_ms: float, token: int) -> None:
        rig.loop.call_later(delay_ms, lambda: rig.call_manager.on_timer(token))

    facade = DecisionFacade(RIG_SETTINGS, 3, rig.loop.now, schedule_timer)
    rig.call_manager.decision_module = facade
    facade.report(ExchangeListChanged(ListUpdateKind.FULL, tuple(rig.call_manager.exchanges.values())))
    return rig, facade


def test_call_over_sockets_is_answered_through_the_decision_module() -> None:
    """Guards against events or commands that get lost between the core and the controller.

    The set-up goes to the exchange that the controller names, and its answer goes back to the caller.
    """
    rig, _ = rig_with_decision_facade()
    caller = BinaryClient(rig)
    caller.set_up(5)
    rig.run_until(lambda: rig.exchange().connection_by_call)
    rig.exchange().answer(5)
    rig.run_until(lambda: caller.received)
    assert caller.received == [("answer", f"{5:016x}", b"here")]
    rig.close()


def test_exception_in_the_decision_module_does_not_leave_the_call_unanswered(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a call that is never answered because the controller raised an exception on it.

    The call fails at once, the exception is logged, and the program goes on.
    """
    rig, facade = rig_with_decision_facade()
    FailingController(facade, CallOffered)
    caller = BinaryClient(rig)
    with caplog.at_level(logging.ERROR):
        caller.set_up(5)
        rig.run_until(lambda: caller.received)
    assert caller.received == [("failed", f"{5:016x}")]
    assert "the decision module failed" in caplog.text and "ArithmeticError" in caplog.text
    rig.close()


def test_exception_in_the_decision_module_does_not_lose_its_timer() -> None:
    """Guards against call gaps that are never adjusted again after one exception in the periodic cycle.

    The controller sets its next timer while it handles the expiry of the last one, so the facade has to
    schedule the timer again if this fails.
    """
    scheduled_timers: list[tuple[float, int]] = []
    facade = DecisionFacade(
        RIG_SETTINGS, 3, lambda: 1000.0, lambda delay_ms, token: scheduled_timers.append((delay_ms, token))
    )
    FailingController(facade, TimerExpired)
    scheduled_timers.clear()
    assert facade.tick(0) == [] and scheduled_timers == [(TIMER_RETRY_MS, 0)]
