"""The identities of calls that ended or were released lately, in tables of a limited size."""

from __future__ import annotations

MAX_ENDED_CALLS = 4096


class EndedCalls:
    """The identities of the calls that ended most recently. A message about one of them is late; one about
    any other unknown call may concern a call from before a restart of the program."""

    def __init__(self, max_calls: int = MAX_ENDED_CALLS) -> None:
        self.max_calls = max_calls
        self.calls: dict[int, bool] = {}  # whether an exchange may have carried the call out

    def __contains__(self, call: int) -> bool:
        return call in self.calls

    def add(self, call: int, may_have_run: bool = True) -> None:
        """Record that a call has ended."""
        self.calls[call] = may_have_run
        if len(self.calls) > self.max_calls:
            del self.calls[next(iter(self.calls))]

    def may_have_run(self, call: int) -> bool:
        """Whether it is a call that ended lately and that an exchange may have carried out."""
        return self.calls.get(call, False)


class ReleasesByCallers:
    """Calls not known here that callers released lately, by the time of the release in Unix milliseconds.

    An exchange that is listed only after a release needs it as well, since it may be the one that has the
    call. Entries end after `max_age_ms`, or as the oldest of more than `max_calls`.
    """

    def __init__(self, max_age_ms: float, max_calls: int) -> None:
        self.max_age_ms, self.max_calls = max_age_ms, max_calls
        self.released_at: dict[int, float] = {}

    def add(self, call: int, now: float) -> None:
        """Record the release of a call."""
        self.released_at.pop(call, None)
        self.released_at[call] = now
        if len(self.released_at) > self.max_calls:
            del self.released_at[next(iter(self.released_at))]

    def recent(self, now: float) -> list[int]:
        """The calls released within `max_age_ms`, the oldest first; older entries are removed."""
        for call, released_at in list(self.released_at.items()):
            if now - released_at < self.max_age_ms:
                break
            del self.released_at[call]
        return list(self.released_at)
