"""What the core needs of the world: a desk that decides, callers, the exchanges' side, and deadlines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from mintvalve.core.calls import Attempt, Call, CallEvent, Command


class Timer(Protocol):
    """A deadline that may be dropped."""

    def cancel(self) -> None: ...


class Timers(Protocol):
    """The clock (Unix milliseconds, never backwards) and all deadlines."""

    def now(self) -> float: ...

    def call_later(self, ms: float, action: Callable[[], None]) -> Timer: ...


class DecisionModule(Protocol):
    """The decisions."""

    def pick(self, call: Call) -> list[Command]: ...

    def report(self, news: CallEvent) -> list[Command]: ...

    def tick(self, token: int) -> list[Command]: ...


class Caller(Protocol):
    """A front, for one call: taken, then exactly one of answered, refused, failed and left; after an answer,
    released once."""

    def on_accepted(self, call: Call) -> None: ...

    def on_withdrawn(self, call: Call) -> None: ...

    def on_progress(self, call: Call) -> None: ...

    def on_answered(self, call: Call, description: bytes | None) -> None: ...

    def on_refused(self, call: Call, retry_after_ms: float) -> None: ...

    def on_failed(self, call: Call) -> None: ...

    def on_released(self, call: Call, cut: bool) -> None: ...


class ExchangeConnections(Protocol):
    """The way to the exchanges."""

    def set_up(self, attempt: Attempt) -> None: ...

    def cancel_set_up(self, attempt: Attempt) -> None: ...

    def release(self, attempt: Attempt) -> None: ...
