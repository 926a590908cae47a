"""All deadlines of the program, in one sorted structure that the loop checks in each iteration."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from sortedcontainers import SortedDict


class Deadline:
    """An action that runs at a given time unless cancelled."""

    __slots__ = ("action", "deadlines", "key")

    def __init__(self, deadlines: Deadlines, key: tuple[float, int], action: Callable[[], None]) -> None:
        self.deadlines, self.key, self.action = deadlines, key, action

    def cancel(self) -> None:
        """Prevent the action from running; no effect once it has run."""
        self.deadlines.entries.pop(self.key, None)


class Deadlines:
    """Deadlines ordered by time; those of the same time run in the order in which they were scheduled.

    Times are milliseconds of the clock that the caller uses.
    """

    def __init__(self) -> None:
        self.entries: SortedDict[tuple[float, int], Deadline] = SortedDict()
        self.sequence_numbers = count()

    def schedule(self, due_at: float, action: Callable[[], None]) -> Deadline:
        """Run `action` at the first `run_due` call at or after `due_at`."""
        deadline = Deadline(self, (due_at, next(self.sequence_numbers)), action)
        self.entries[deadline.key] = deadline
        return deadline

    def next_due_at(self) -> float | None:
        """The time of the earliest deadline, None where there is none."""
        return self.entries.peekitem(0)[0][0] if self.entries else None

    def run_due(self, now: float) -> None:
        """Run all actions due by `now`; those scheduled meanwhile wait for the next call."""
        for key in list(self.entries.irange(maximum=(now, next(self.sequence_numbers)))):
            deadline = self.entries.pop(key, None)  # None: cancelled by an earlier action of this call
            if deadline is not None:
                deadline.action()
