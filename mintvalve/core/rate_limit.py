"""A limit on how often something may happen, with room for bursts."""

from __future__ import annotations

# Of calls not known here, by one peer on one connection or link. After a restart all standing calls of a peer
# may end at once; beyond that each release of a call that never was would reach all peers of the other side.
MAX_UNKNOWN_RELEASES_AT_ONCE = 1024
UNKNOWN_RELEASES_PER_S = 256.0


class RateLimit:
    """A token bucket: `burst` events at once, and `per_second` more in each second.

    Times are in milliseconds.
    """

    __slots__ = ("burst", "per_second", "refilled_at", "tokens")

    def __init__(self, per_second: float, burst: int, now: float) -> None:
        self.per_second, self.burst = per_second, burst
        self.tokens, self.refilled_at = float(burst), now

    def allow(self, now: float) -> bool:
        """Take a token if there is one; returns whether the event may happen."""
        elapsed_s = (now - self.refilled_at) / 1000.0
        self.tokens = min(float(self.burst), self.tokens + elapsed_s * self.per_second)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
