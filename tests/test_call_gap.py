"""The equations of the call gap (the paper's (1) to (4)) against values calculated by hand."""

import pytest

from mintvalve import controller as controller_module
from mintvalve.controller import CallGap


def engaged_gap(initial_ms: float = 100.0) -> CallGap:
    gap = CallGap()
    gap.engage(1000.0, initial_ms)
    return gap


def test_off_until_engaged() -> None:
    gap = CallGap()
    gap.record_set_up(5.0)
    assert gap.allows_set_up(5.0, 0.0)


def test_a_set_up_delays_the_next_one_by_the_interval() -> None:
    gap = engaged_gap()
    assert gap.allows_set_up(1000.0, 0.0)
    gap.record_set_up(1000.0)
    assert not gap.allows_set_up(1099.9, 0.0)
    assert gap.allows_set_up(1100.0, 0.0)


def test_the_interval_follows_the_utilisation() -> None:
    gap = engaged_gap()
    gap.retune_to_utilisation(1000.0, 1.02)  # 100 ms x 1.02 / 0.85
    assert gap.interval_ms == pytest.approx(120.0)
    gap.retune_to_utilisation(1000.0, 0.1)  # T0 is the shortest interval
    assert gap.interval_ms == 100.0


def test_utilisation_counted_in_one_cycle_is_limited() -> None:
    gap = engaged_gap()
    gap.retune_to_utilisation(1000.0, 50.0)
    assert gap.interval_ms == pytest.approx(
        100.0 * controller_module.MAX_UTILISATION / controller_module.TARGET_UTILISATION
    )


def test_the_interval_follows_the_busy_calls() -> None:
    gap = engaged_gap(500.0)  # 2 a second
    # One busy outcome over the target in 2 s: 1.5 calls a second.
    gap.retune_to_busy_calls(1000.0, controller_module.TARGET_BUSY_PER_CYCLE + 1, 2000.0)
    assert gap.interval_ms == pytest.approx(1000.0 / 1.5)
    gap.retune_to_busy_calls(1000.0, controller_module.TARGET_BUSY_PER_CYCLE - 1, 2000.0)
    assert gap.interval_ms == pytest.approx(500.0)


def test_a_gapped_number_is_still_called_at_the_minimum_rate() -> None:
    gap = engaged_gap(500.0)
    gap.retune_to_busy_calls(1000.0, 100.0, 1000.0)
    assert gap.interval_ms <= 1000.0 / controller_module.MIN_CALLS_PER_S


def test_a_new_interval_rescales_the_pending_wait() -> None:
    gap = engaged_gap()
    gap.record_set_up(1000.0)  # the next set-up is allowed at 1100
    gap.set_interval(1050.0, 200.0)  # now at 1050 + 50 x 2
    assert gap.next_set_up_at == pytest.approx(1150.0)


def test_credit_is_repaid_by_a_longer_wait() -> None:
    gap = engaged_gap()
    gap.record_set_up(1000.0)
    assert gap.allows_set_up(1000.0, 1.0) and not gap.allows_set_up(1000.0, 0.0)
    gap.record_set_up(1000.0)
    assert not gap.allows_set_up(1150.0, 0.0) and gap.allows_set_up(1200.0, 0.0)
