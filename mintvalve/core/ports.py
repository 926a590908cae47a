"""Interfaces that the core depends on: decision module, callers, connections to exchanges, timers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from mintvalve.core.calls import Attempt, Call, CallEvent, Command


class Timer(Protocol):
    """A timer that was started."""

    def cancel(self) -> None:
        """Stop the timer; has no effect once it has expired."""
        ...


class Timers(Protocol):
    """The clock and all timers."""

    def now(self) -> float:
        """The time in Unix milliseconds; it never runs backwards."""
        ...

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> Timer:
        """Start a timer that calls `action` once after `delay_ms`."""
        ...


class DecisionModule(Protocol):
    """Decides where calls are set up and which are refused; each method returns the commands to execute."""

    def pick(self, call: Call) -> list[Command]:
        """Decide on a call that was just accepted; without a command the call is held."""
        ...

    def report(self, event: CallEvent) -> list[Command]:
        """React to an event of the core."""
        ...

    def tick(self, token: int) -> list[Command]:
        """React to the expiry of the timer that the module set under `token`."""
        ...


class Caller(Protocol):
    """The caller of one call, as a front represents it.

    First comes `on_accepted`, then exactly one of `on_answered`, `on_refused`, `on_failed` and
    `on_withdrawn`, with any number of `on_progress` between them. While the program shuts down, a new call
    gets `on_refused` alone. After `on_answered`, `on_released` comes at most once: not if the caller itself
    releases the call.
    """

    def on_accepted(self, call: Call) -> None: ...

    def on_withdrawn(self, call: Call) -> None:
        """The caller gave the set-up up or its connection closed."""
        ...

    def on_progress(self, call: Call) -> None: ...

    def on_answered(self, call: Call, description: bytes | None) -> None: ...

    def on_refused(self, call: Call, retry_after_ms: float) -> None: ...

    def on_failed(self, call: Call) -> None: ...

    def on_released(self, call: Call, cut: bool) -> None:
        """A standing call ended; `cut` where it did not end by a normal release."""
        ...


class ExchangeConnections(Protocol):
    """Sends the set-ups and releases of attempts to their exchanges."""

    def set_up(self, attempt: Attempt) -> None:
        """Send the attempt's set-up."""
        ...

    def cancel_set_up(self, attempt: Attempt) -> None:
        """Release an attempt that has not been answered."""
        ...

    def release(self, attempt: Attempt) -> None:
        """Release a standing call."""
        ...
