"""All deadlines of the program, in one sorted structure that the loop sweeps each turn."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from sortedcontainers import SortedDict


class Deadline:
    """An action that is due at a time."""

    __slots__ = ("action", "key", "owner")

    def __init__(self, owner: Deadlines, key: tuple[float, int], action: Callable[[], None]) -> None:
        self.owner, self.key, self.action = owner, key, action

    def cancel(self) -> None:
        """It never comes due; harmless once it has."""
        self.owner.entries.pop(self.key, None)


class Deadlines:
    """Deadlines in the order of their times, those of one time in the order in which they were set."""

    def __init__(self) -> None:
        self.entries: SortedDict[tuple[float, int], Deadline] = SortedDict()
        self.serial = count()

    def at(self, when: float, action: Callable[[], None]) -> Deadline:
        deadline = Deadline(self, (when, next(self.serial)), action)
        self.entries[deadline.key] = deadline
        return deadline

    def next_at(self) -> float | None:
        return self.entries.peekitem(0)[0][0] if self.entries else None

    def sweep(self, now: float) -> None:
        """Run what is due; what is set meanwhile waits for the next turn."""
        for key in list(self.entries.irange(maximum=(now, next(self.serial)))):
            deadline = self.entries.pop(key, None)  # none where an earlier one of this sweep dropped it
            if deadline is not None:
                deadline.action()
