"""What the core needs of the world: a desk that decides, callers, the exchanges' side, and deadlines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from mintvalve.core.calls import Attempt, Call, News, Order


class Timer(Protocol):
    """A deadline that may be dropped."""

    def drop(self) -> None: ...


class Timers(Protocol):
    """The clock (Unix milliseconds, never backwards) and all deadlines."""

    def now(self) -> float: ...

    def after(self, ms: float, action: Callable[[], None]) -> Timer: ...


class Desk(Protocol):
    """The decisions."""

    def pick(self, call: Call) -> list[Order]: ...

    def report(self, news: News) -> list[Order]: ...

    def tick(self, token: int) -> list[Order]: ...


class Caller(Protocol):
    """A front, for one call: taken, then exactly one of answered, refused, failed and left; after an answer,
    released once."""

    def taken(self, call: Call) -> None: ...

    def left(self, call: Call) -> None: ...

    def progress(self, call: Call) -> None: ...

    def answered(self, call: Call, description: bytes | None) -> None: ...

    def refused(self, call: Call, retry_after_ms: float) -> None: ...

    def failed(self, call: Call) -> None: ...

    def released(self, call: Call, cut: bool) -> None: ...


class ExchangeSide(Protocol):
    """The way to the exchanges."""

    def set_up(self, attempt: Attempt) -> None: ...

    def give_up(self, attempt: Attempt) -> None: ...

    def release(self, attempt: Attempt) -> None: ...
