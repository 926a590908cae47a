"""A refusal says when another try may fare better. Guards against redials that meet the same gap, or the same
full group, at once, and load the processors for nothing."""

import pytest

from mintvalve.interface import CallOffered, Outcome, Refuse
from tests.controller_harness import ControllerHarness


def refusal(world: ControllerHarness) -> float:
    """A call whose only try times out at its deadline, and what its refusal asks."""
    world.offer_call(due=60.0)
    world.advance(55.0)
    (answer,) = [each for each in world.end_attempt(Outcome.TIMED_OUT) if isinstance(each, Refuse)]
    return answer.stay_away_ms


def test_with_nothing_in_the_way_it_is_short() -> None:
    assert refusal(ControllerHarness()) == 250.0


@pytest.mark.parametrize(("gap_ms", "told"), [(100.0, 250.0), (1200.0, 1145.0), (5000.0, 2000.0)])
def test_a_gap_is_to_be_over_and_no_wait_is_longer_than_callers_respect(gap_ms: float, told: float) -> None:
    world = ControllerHarness()
    world.controller.by_cell[1].gap.engage(world.now, gap_ms)
    assert refusal(world) == told


def test_a_circuit_of_a_full_group_comes_back_by_the_mean_length() -> None:
    world = ControllerHarness()
    for cell in (1, 2, 3):
        world.report_group(cell, 0)
    offer = CallOffered(5, "plain", "n", world.now + 30.0, 1)
    assert [each.stay_away_ms for each in world.handle(offer) if isinstance(each, Refuse)] == [10_000 / 20]
