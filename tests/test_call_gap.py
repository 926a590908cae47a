"""The formulas of the paper, with figures worked by hand."""

import pytest

from mintvalve import controller as controller_module
from mintvalve.controller import CallGap


def engaged(t0: float = 100.0) -> CallGap:
    gap = CallGap()
    gap.engage(1000.0, t0)
    return gap


def test_off_until_engaged() -> None:
    gap = CallGap()
    gap.take(5.0)
    assert gap.passes(5.0, 0.0)


def test_a_set_up_moves_the_release_time_by_t() -> None:
    gap = engaged()
    assert gap.passes(1000.0, 0.0)
    gap.take(1000.0)
    assert not gap.passes(1099.9, 0.0)
    assert gap.passes(1100.0, 0.0)


def test_ratio_formula() -> None:
    gap = engaged()
    gap.by_ratio(1000.0, 1.02)  # 100 x 1.02 / 0.85
    assert gap.t == pytest.approx(120.0)
    gap.by_ratio(1000.0, 0.1)  # the floor is T0
    assert gap.t == 100.0


def test_ratio_is_bounded_in_one_cycle() -> None:
    gap = engaged()
    gap.by_ratio(1000.0, 50.0)
    assert gap.t == pytest.approx(100.0 * controller_module.RHO_MAX / controller_module.RHO_T)


def test_rate_formula() -> None:
    gap = engaged(500.0)  # 2 a second
    gap.by_rate(1000.0, controller_module.OMEGA_T + 1, 2000.0)  # one busy too many in 2 s: 1.5 a second
    assert gap.t == pytest.approx(1000.0 / 1.5)
    gap.by_rate(1000.0, controller_module.OMEGA_T - 1, 2000.0)
    assert gap.t == pytest.approx(500.0)


def test_rate_never_falls_to_nothing() -> None:
    gap = engaged(500.0)
    gap.by_rate(1000.0, 100.0, 1000.0)
    assert gap.t <= 1000.0 / controller_module.RATE_MIN


def test_a_new_gap_rescales_the_pending_release() -> None:
    gap = engaged()
    gap.take(1000.0)  # release 1100
    gap.retune(1050.0, 200.0)  # 1050 + 50 x 2
    assert gap.release == pytest.approx(1150.0)


def test_credit_runs_ahead_and_is_paid_back() -> None:
    gap = engaged()
    gap.take(1000.0)
    assert gap.passes(1000.0, 1.0) and not gap.passes(1000.0, 0.0)
    gap.take(1000.0)
    assert not gap.passes(1150.0, 0.0) and gap.passes(1200.0, 0.0)
