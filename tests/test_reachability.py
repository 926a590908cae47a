"""Reachability of an exchange: what proves it, what does not, and for which moment."""

import pytest
from hypothesis import given, settings, strategies as st

from mintvalve.core.reachability import (
    UNREACHABLE_AFTER_MS,
    SUSPECT_AFTER_MS,
    WEAK_EVIDENCE_WINDOW_MS,
    Reachability,
    ReachabilityState,
)

CALLER_NOTIFICATION_LIMIT_MS = 8000.0  # see PROTOCOL, the rules on sockets
NOTIFICATION_DELAY_MS = (
    100.0 + 300.0
)  # interval of the check that detects it, and time of the message to the caller


def test_releases_prove_reachability_only_soon_after_the_last_proof() -> None:
    reachability = Reachability(0.0)
    for now in (400.0, 800.0, 1200.0):
        reachability.on_call_released(now)
    assert reachability.state(1200.0 + SUSPECT_AFTER_MS) is ReachabilityState.REACHABLE
    reachability.on_call_released(1200.0 + WEAK_EVIDENCE_WINDOW_MS + 1.0)
    assert reachability.state(1200.0 + SUSPECT_AFTER_MS + 1.0) is ReachabilityState.SUSPECT


def test_a_late_answer_proves_reachability_only_for_when_its_set_up_was_sent() -> None:
    # After a late answer the exchange may have been partitioned since.
    reachability = Reachability(0.0)
    reachability.on_set_up_answered(3000.0, 5000.0)
    assert reachability.last_proof_at == 3000.0
    assert reachability.state(3000.0 + UNREACHABLE_AFTER_MS) is ReachabilityState.SUSPECT
    assert reachability.state(3000.0 + UNREACHABLE_AFTER_MS + 1.0) is ReachabilityState.UNREACHABLE


def test_a_prompt_answer_proves_reachability_now_and_an_older_one_revokes_nothing() -> None:
    reachability = Reachability(1000.0)
    reachability.on_set_up_answered(1200.0, 1300.0)
    assert reachability.last_proof_at == 1300.0
    reachability.on_set_up_answered(100.0, 9000.0)
    assert reachability.last_proof_at == 1300.0


@pytest.mark.parametrize(
    ("other_connection_open", "expected"),
    [(True, ReachabilityState.REACHABLE), (False, ReachabilityState.UNREACHABLE)],
)
def test_a_refused_dial_proves_reachability_only_with_another_connection_open(
    other_connection_open: bool, expected: ReachabilityState
) -> None:
    # Without one nobody could report the end of a call, so its calls must not count as standing.
    reachability = Reachability(0.0)
    assert not reachability.on_dial_refused(UNREACHABLE_AFTER_MS + 5.0, other_connection_open)
    assert reachability.state(UNREACHABLE_AFTER_MS + 5.0) is expected


def test_only_a_reset_followed_by_a_refusal_means_that_the_process_died() -> None:
    reachability = Reachability(0.0)
    assert not reachability.on_dial_refused(10.0, True)
    reachability.on_connection_reset()
    assert reachability.must_dial(11.0)
    reachability.on_dial_succeeded(12.0)
    assert not reachability.on_dial_refused(13.0, True)
    reachability.on_connection_reset()
    assert reachability.on_dial_refused(14.0, True)
    assert not reachability.on_dial_refused(15.0, True)


@given(
    st.lists(st.floats(WEAK_EVIDENCE_WINDOW_MS + 1.0, 6000.0), max_size=8),
    st.floats(0.0, WEAK_EVIDENCE_WINDOW_MS),
)
@settings(derandomize=True, deadline=None)
def test_stray_releases_do_not_delay_the_loss_of_a_partitioned_exchange(
    gaps: list[float], first: float
) -> None:
    # Guards against two stray releases in a partition of 9.5 s, which delayed the release of callers to 9 s.
    reachability = Reachability(0.0)
    now = first  # up to WEAK_EVIDENCE_WINDOW_MS after the partition a release still counts as proof
    reachability.on_call_released(now)
    for gap in gaps:
        now += gap
        reachability.on_call_released(now)
    assert (
        reachability.state(CALLER_NOTIFICATION_LIMIT_MS - NOTIFICATION_DELAY_MS)
        is ReachabilityState.UNREACHABLE
    )


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["released", "answered", "succeeded", "refused", "reset"]),
            st.floats(0.0, 3000.0),
            st.floats(0.0, 9000.0),
        ),
        max_size=40,
    )
)
@settings(derandomize=True, deadline=None)
def test_the_last_proof_never_moves_back_or_into_the_future(steps: list[tuple[str, float, float]]) -> None:
    reachability, now = Reachability(0.0), 0.0
    for event, elapsed_ms, age_ms in steps:
        now += elapsed_ms
        before = reachability.last_proof_at
        match event:
            case "released":
                reachability.on_call_released(now)
            case "answered":
                reachability.on_set_up_answered(now - age_ms, now)
            case "succeeded":
                reachability.on_dial_succeeded(now)
            case "refused":
                reachability.on_dial_refused(now, age_ms > 4500.0)
            case "reset":
                reachability.on_connection_reset()
        assert before <= reachability.last_proof_at <= now
