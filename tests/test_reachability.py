"""The belief whether an exchange can be reached: what proves it, what does not, and from when time counts."""

import pytest
from hypothesis import given, settings, strategies as st

from mintvalve.core.reachability import LOST_MS, QUIET_MS, TALK_MS, Reachability, ReachabilityState

TOLD_BY_MS = 8000.0  # ms; callers must hear by then (PROTOCOL, the rules on sockets)
ON_THE_WAY_MS = 100.0 + 300.0  # ms; the look that sees it, and what the word to the caller may take


def test_words_within_a_talk_prove_and_a_lone_one_does_not() -> None:
    reach = Reachability(0.0)
    for now in (400.0, 800.0, 1200.0):
        reach.word(now)
    assert reach.state(1200.0 + QUIET_MS) is ReachabilityState.TALKING
    reach.word(1200.0 + TALK_MS + 1.0)
    assert reach.state(1200.0 + QUIET_MS + 1.0) is ReachabilityState.ASKING


def test_an_answer_proves_the_moment_at_which_its_set_up_left() -> None:
    # A late answer says nothing of now: the way may have been cut since.
    reach = Reachability(0.0)
    reach.answered(3000.0, 5000.0)
    assert reach.proven_at == 3000.0
    assert reach.state(3000.0 + LOST_MS) is ReachabilityState.ASKING
    assert reach.state(3000.0 + LOST_MS + 1.0) is ReachabilityState.LOST


def test_an_answer_within_a_talk_proves_now_and_an_older_one_takes_nothing_back() -> None:
    reach = Reachability(1000.0)
    reach.answered(1200.0, 1300.0)
    assert reach.proven_at == 1300.0
    reach.answered(100.0, 9000.0)
    assert reach.proven_at == 1300.0


@pytest.mark.parametrize(
    ("connected", "after"), [(True, ReachabilityState.TALKING), (False, ReachabilityState.LOST)]
)
def test_a_refused_dial_shows_the_machine_only_where_a_connection_is_left(
    connected: bool, after: ReachabilityState
) -> None:
    # Without one nobody could tell of an end there, so its calls are not held to stand.
    reach = Reachability(0.0)
    assert not reach.refused(LOST_MS + 5.0, connected)
    assert reach.state(LOST_MS + 5.0) is after


def test_a_reset_and_then_a_refusal_is_a_death_and_each_alone_is_none() -> None:
    reach = Reachability(0.0)
    assert not reach.refused(10.0, True)
    reach.reset()
    assert reach.must_dial(11.0)
    reach.came_up(12.0)
    assert not reach.refused(13.0, True)
    reach.reset()
    assert reach.refused(14.0, True)
    assert not reach.refused(15.0, True)


@given(st.lists(st.floats(TALK_MS + 1.0, 6000.0), max_size=8), st.floats(0.0, TALK_MS))
@settings(derandomize=True, deadline=None)
def test_however_strays_come_a_cut_way_is_given_up_in_time(gaps: list[float], first: float) -> None:
    # The day that broke the rule: two strays in a cut of 9.5 s, and callers heard after 9 s.
    reach = Reachability(0.0)
    now = first  # the last word of the talk may come up to TALK_MS after the cut
    reach.word(now)
    for gap in gaps:
        now += gap
        reach.word(now)
    assert reach.state(TOLD_BY_MS - ON_THE_WAY_MS) is ReachabilityState.LOST


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["word", "answered", "up", "refused", "reset"]),
            st.floats(0.0, 3000.0),
            st.floats(0.0, 9000.0),
        ),
        max_size=40,
    )
)
@settings(derandomize=True, deadline=None)
def test_proof_never_goes_back_nor_lies_ahead(steps: list[tuple[str, float, float]]) -> None:
    reach, now = Reachability(0.0), 0.0
    for what, gap, age in steps:
        now += gap
        before = reach.proven_at
        match what:
            case "word":
                reach.word(now)
            case "answered":
                reach.answered(now - age, now)
            case "up":
                reach.came_up(now)
            case "refused":
                reach.refused(now, age > 4500.0)
            case "reset":
                reach.reset()
        assert before <= reach.proven_at <= now
