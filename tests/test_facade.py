"""The facade: the module decides over sockets, and one that fails costs no caller its answer."""

import logging

import pytest

from mintvalve.core.calls import ExchangeListChanged
from mintvalve.facade import REARM_MS, DecisionFacade
from mintvalve.interface import CallOffered, ListUpdateKind, TimerExpired
from tests.rig import RULES, BinaryClient, Rig


class Failing:
    """In place of the module: fails on events of one type."""

    def __init__(self, desk: DecisionFacade, kind: type) -> None:
        self.inner, self.kind = desk.controller, kind
        desk.controller = self  # type: ignore[assignment]

    def handle(self, now: float, event: object) -> list[object]:
        if isinstance(event, self.kind):
            raise ArithmeticError("a fault in the module")
        return list(self.inner.handle(now, event))  # type: ignore[arg-type]


def module_rig() -> tuple[Rig, DecisionFacade]:
    """A rig whose desk is the real module, which is then told of the exchanges."""
    rig = Rig()

    def remind(ms: float, token: int) -> None:
        rig.loop.call_later(ms, lambda: rig.call_manager.on_timer(token))

    desk = DecisionFacade(RULES, 3, rig.loop.now, remind)
    rig.call_manager.decision_module = desk
    desk.report(ExchangeListChanged(ListUpdateKind.FULL, tuple(rig.call_manager.exchanges.values())))
    return rig, desk


def test_the_module_decides_over_sockets() -> None:
    rig, _ = module_rig()
    caller = BinaryClient(rig)
    caller.set_up(5)
    rig.run_until(lambda: rig.exchange().by_call)
    rig.exchange().answer(5)
    rig.run_until(lambda: caller.heard)
    assert caller.heard == [("answer", f"{5:016x}", b"here")]
    rig.close()


def test_a_call_on_which_the_module_fails_is_answered_at_once(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a fault in the decisions that takes callers with it: the call fails, the program goes on.
    rig, desk = module_rig()
    Failing(desk, CallOffered)
    caller = BinaryClient(rig)
    with caplog.at_level(logging.ERROR):
        caller.set_up(5)
        rig.run_until(lambda: caller.heard)
    assert caller.heard == [("failed", f"{5:016x}")]
    assert "the decision module failed" in caplog.text and "ArithmeticError" in caplog.text
    rig.close()


def test_a_timer_on_which_the_module_fails_rings_again() -> None:
    # Guards against a module that never tunes its gaps again after one fault in a cycle.
    asked: list[tuple[float, int]] = []
    desk = DecisionFacade(RULES, 3, lambda: 1000.0, lambda ms, token: asked.append((ms, token)))
    Failing(desk, TimerExpired)
    asked.clear()
    assert desk.tick(0) == [] and asked == [(REARM_MS, 0)]
