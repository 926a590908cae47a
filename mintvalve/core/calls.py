"""A call, its attempts, and the words in which the core, the desk and the ports speak of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from mintvalve.interface import Exchange, ListUpdateKind, Outcome, LoadReport

if TYPE_CHECKING:
    from mintvalve.core.ports import Caller, Timer


class CallState(Enum):
    """Where a call is between its set-up and its end."""

    HELD = "held"  # taken, no attempt out
    TRYING = "trying"  # one attempt out
    STANDING = "standing"
    OVER = "over"


@dataclass(frozen=True, slots=True)
class CallRequest:
    """What a caller asks for. `identity` is the id by which callers and exchanges know the call."""

    identity: int
    call_class: str
    called: str
    wait_ms: float
    destination: int
    width: int = 1
    tandem: int = -1
    in_transit: bool = False
    was_cut: bool = False
    description: bytes | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One set-up sent for a call."""

    call: Call
    index: int
    exchange: str
    sent_at: float
    wait_ms: float
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class Call:
    """A call taken by this controller, under its own number."""

    number: int
    request: CallRequest
    caller: Caller
    accepted_at: float
    deadline_at: float
    state: CallState = CallState.HELD
    attempt: Attempt | None = None
    attempts: int = 0
    not_before: float = 0.0
    deadline_timer: Timer | None = None


# What the core tells the desk.


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An attempt was answered."""

    attempt: Attempt
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over; `ended` tells whether its call is too."""

    attempt: Attempt
    outcome: Outcome
    elapsed_ms: float
    ended: bool
    clearing: int = 0
    pause_ms: float = 0.0
    report: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class CallWithdrawn:
    """The caller is gone, or was answered without the desk."""

    call: Call


@dataclass(frozen=True, slots=True)
class GroupStateChanged:
    """The state of the own trunk group towards an exchange."""

    exchange: str
    report: LoadReport


@dataclass(frozen=True, slots=True)
class ExchangeListChanged:
    """The list of exchanges, whole or in part."""

    kind: ListUpdateKind
    exchanges: tuple[Exchange, ...]


CallEvent = AttemptAnswered | AttemptEnded | CallWithdrawn | GroupStateChanged | ExchangeListChanged


# What the desk wants done.


@dataclass(frozen=True, slots=True)
class SendSetUp:
    """Send the call's set-up to an exchange."""

    call: int
    exchange: str
    wait_ms: float


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Final answer: refused; the caller may come back after so long."""

    call: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class FailCall:
    """Final answer: failed."""

    call: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Wait no longer for an attempt."""

    call: int
    attempt: int


Command = SendSetUp | RefuseCall | FailCall | CancelAttempt
