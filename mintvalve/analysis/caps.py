"""Limits on concurrent calls and on calls per second, counted across generations of the plan.

A cap is identified by its name: a call admitted under an old generation counts under the new one, too, with
the new one's limits. Rates follow the generic cell rate algorithm (ITU-T I.371, annex A), which stores one
time for each cap and needs no bucket to be refilled. Usage entries without active calls whose rate no longer
restricts a call are evicted once more than `EVICTION_THRESHOLD_CAPS` entries exist.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mintvalve.analysis.plan import Cap

EVICTION_THRESHOLD_CAPS = 1024  # with more usage entries than this, idle ones are evicted


@dataclass(slots=True)
class CapUsage:
    """Calls and rate that one cap currently accounts for."""

    active_calls: int = 0
    theoretical_arrival_ms: float = float(
        "-inf"
    )  # from here on the next call conforms without using the burst


@dataclass(frozen=True, slots=True)
class CapGrant:
    """The caps in which a call is counted; or the one that refused it.

    `retry_after_ms` is the time after which the refusing cap's rate admits a call; 0 where the limit on
    concurrent calls refused it, since the end of those calls is not known.
    """

    cap_names: tuple[str, ...] = ()
    full_cap: str = ""
    retry_after_ms: float = 0.0


class CapCounters:
    """Usage of all caps of one controller. Times are Unix milliseconds."""

    def __init__(self) -> None:
        self.usage_by_cap: dict[str, CapUsage] = {}
        self.caps: Mapping[str, Cap] = {}

    def __len__(self) -> int:
        return len(self.usage_by_cap)

    def replace_caps(self, caps: Mapping[str, Cap]) -> None:
        """Apply other limits from now on; calls already counted stay counted."""
        self.caps = caps

    def acquire(self, cap_names: Iterable[str], now_ms: float) -> CapGrant:
        """Count a call in every one of the named caps, or in none where one of them refuses it.

        Names without a cap are ignored.
        """
        requested = [self.caps[name] for name in cap_names if name in self.caps]
        for cap in requested:
            usage = self.usage_by_cap.get(cap.name)
            if usage is None:
                continue
            if cap.calls and usage.active_calls >= cap.calls:
                return CapGrant(full_cap=cap.name)
            if (
                cap.a_second
                and (early_ms := usage.theoretical_arrival_ms - now_ms - self.burst_tolerance_ms(cap)) > 0.0
            ):
                return CapGrant(full_cap=cap.name, retry_after_ms=early_ms)
        for cap in requested:
            usage = self.usage_by_cap.setdefault(cap.name, CapUsage())
            usage.active_calls += 1
            if cap.a_second:
                usage.theoretical_arrival_ms = (
                    max(usage.theoretical_arrival_ms, now_ms) + 1000.0 / cap.a_second
                )
        if len(self.usage_by_cap) > EVICTION_THRESHOLD_CAPS:
            self.evict_idle(now_ms)
        return CapGrant(tuple(cap.name for cap in requested))

    @staticmethod
    def burst_tolerance_ms(cap: Cap) -> float:
        """How far the calls of a cap may run ahead of its rate, in milliseconds."""
        return (cap.burst - 1) * 1000.0 / cap.a_second

    def release(self, grant: CapGrant) -> None:
        """Stop counting a call that has ended. Must be called once only for each grant."""
        for name in grant.cap_names:
            self.usage_by_cap[name].active_calls -= 1

    def evict_idle(self, now_ms: float) -> None:
        """Drop the usage entries without active calls whose rate no longer restricts a call."""
        self.usage_by_cap = {
            name: usage
            for name, usage in self.usage_by_cap.items()
            if usage.active_calls or usage.theoretical_arrival_ms > now_ms
        }
