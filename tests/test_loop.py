"""The loop and its deadlines."""

import socket

from hypothesis import given, settings, strategies as st

from mintvalve.net.deadlines import Deadlines
from mintvalve.net.loop import READ, Loop
from tests.rig import ManualClock


def test_socket_closed_by_another_handler_in_the_same_iteration_is_skipped() -> None:
    # Two sockets are ready, and the handler of the first closes the second. Guards against the end of the
    # program: looking up a closed socket in the selector raises, outside the loop's exception handling.
    loop = Loop(ManualClock())
    pairs = [socket.socketpair() for _ in range(3)]
    served: list[int] = []

    def handler(index: int) -> None:
        served.append(index)
        for other, (local, _) in enumerate(pairs):
            if other != index and local.fileno() >= 0:
                loop.watch(local, 0, lambda _: None)
                local.close()

    for index, (local, remote) in enumerate(pairs):
        loop.watch(local, READ, lambda _, index=index: handler(index))  # type: ignore[misc]
        remote.send(b"x")
    loop.run_once(1.0)
    assert len(served) == 1
    closed = next(local for local, _ in pairs if local.fileno() < 0)
    loop.watch(closed, READ, lambda _: None)  # a closed socket is ignored
    for pair in pairs:
        for sock in pair:
            sock.close()
    loop.close()


def test_failing_handler_does_not_stop_the_loop() -> None:
    clock = ManualClock()
    loop = Loop(clock)
    completed: list[str] = []

    def fail() -> None:
        raise RuntimeError("raised by the test")

    loop.call_soon(fail)
    loop.call_soon(lambda: completed.append("next"))
    loop.run_once(1.0)
    loop.run_once(1.0)
    assert completed == ["next"]
    loop.close()


def test_loop_time_never_goes_backwards() -> None:
    clock = ManualClock()
    loop = Loop(clock)
    before = loop.now()
    clock.ms -= 60_000
    assert loop.now() == before
    loop.close()


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 20), st.booleans(), st.booleans()), max_size=30))
def test_deadlines_run_in_order_and_cancelled_ones_never(plan: list[tuple[int, bool, bool]]) -> None:
    """Each deadline may be cancelled, and may schedule another one for the same time when it runs."""
    deadlines, completed = Deadlines(), list[tuple[int, int]]()

    def run(due: int, index: int, nested: bool) -> None:
        completed.append((due, index))
        if nested:
            deadlines.schedule(float(due), lambda: completed.append((due, -1)))

    for index, (due, cancelled, nested) in enumerate(plan):
        deadline = deadlines.schedule(
            float(due),
            lambda due=due, index=index, nested=nested: run(due, index, nested),  # type: ignore[misc]
        )
        if cancelled:
            deadline.cancel()
    deadlines.run_due(20.0)
    expected = [(due, index) for index, (due, cancelled, _) in enumerate(plan) if not cancelled]
    assert completed == sorted(expected)  # those scheduled by an action wait for the next call
    deadlines.run_due(20.0)
    assert len(completed) == len(expected) + sum(nested and not cancelled for _, cancelled, nested in plan)
    assert deadlines.next_due_at() is None
