"""Calls and their attempts, events reported to the decision module, and commands returned by it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from mintvalve.interface import Exchange, ListUpdateKind, Outcome, LoadReport

if TYPE_CHECKING:
    from mintvalve.core.ports import Caller, Timer


class CallState(Enum):
    """Where a call is between its set-up and its end. The values appear in logs."""

    HELD = "held"  # accepted, no attempt in progress
    TRYING = "trying"  # one attempt in progress
    STANDING = "standing"  # answered and not released
    ENDED = "over"


@dataclass(frozen=True, slots=True)
class CallRequest:
    """What a caller asks for in its set-up.

    `identity` is the id under which callers and exchanges know the call, `wait_ms` how long the caller waits
    for an answer, `destination` the number of the destination exchange, `width` the circuits needed and
    `tandem` the advised tandem (-1: none) or, in transit, the exchange that the call comes from. `was_cut`
    marks the redial of a call that was cut. `description` is passed to the exchange unchanged.
    """

    identity: int
    call_class: str
    called_number: str
    wait_ms: float
    destination: int
    width: int = 1
    tandem: int = -1
    in_transit: bool = False
    was_cut: bool = False
    description: bytes | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One set-up of a call, sent to `exchange`.

    `index` counts the call's attempts from 0. `sent_at` and `written_at` are in Unix milliseconds: when it
    was decided on, and when its set-up was given to a connection. `wait_ms` is the time after which the
    attempt times out.
    """

    call: Call
    index: int
    exchange: str
    sent_at: float
    wait_ms: float
    timer: Timer | None = None
    written_at: float = 0.0


@dataclass(slots=True, eq=False)
class Call:
    """A call accepted by this controller.

    `local_id` is this controller's own id for it, from 1. Times are Unix milliseconds: a final answer is due
    by `deadline_at`, and no further attempt is allowed before `retry_allowed_at`. `attempt` is the attempt in
    progress, or the answered one of a standing call. `ended_attempt_may_have_run` tells whether an exchange
    may have carried out an attempt that has ended.
    """

    local_id: int
    request: CallRequest
    caller: Caller
    accepted_at: float
    deadline_at: float
    state: CallState = CallState.HELD
    attempt: Attempt | None = None
    attempt_count: int = 0
    retry_allowed_at: float = 0.0
    ended_attempt_may_have_run: bool = False
    deadline_timer: Timer | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an exchange may have carried out an attempt of this call, or may be doing so."""
        return self.attempt is not None or self.ended_attempt_may_have_run


# Events that the core reports to the decision module.


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An attempt was answered; its call stands."""

    attempt: Attempt
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; `call_ended` tells whether its call ended with it.

    `clearing_cause` is a `ClearingCause` (0: none), `back_off_ms` the time for which a full processor asks to
    get no set-ups, and `report` the load that the exchange reported with the release.
    """

    attempt: Attempt
    outcome: Outcome
    elapsed_ms: float
    call_ended: bool
    clearing_cause: int = 0
    back_off_ms: float = 0.0
    report: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class CallWithdrawn:
    """The caller left, or the core gave the final answer: the decision module need not give one any more."""

    call: Call


@dataclass(frozen=True, slots=True)
class GroupStateChanged:
    """An exchange reported the state of the trunk group between it and this controller's exchange."""

    exchange: str
    report: LoadReport


@dataclass(frozen=True, slots=True)
class ExchangeListChanged:
    """The name server's list of exchanges changed; `kind` tells whether `exchanges` holds all or some."""

    kind: ListUpdateKind
    exchanges: tuple[Exchange, ...]


CallEvent = AttemptAnswered | AttemptEnded | CallWithdrawn | GroupStateChanged | ExchangeListChanged


# Commands from the decision module to the core. `call` is the call's `local_id`.


@dataclass(frozen=True, slots=True)
class SendSetUp:
    """Send the call's set-up to an exchange; the attempt times out after `wait_ms`."""

    call: int
    exchange: str
    wait_ms: float


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Refuse the call (final answer); the caller is asked not to redial for `retry_after_ms`."""

    call: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class FailCall:
    """Fail the call (final answer)."""

    call: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel the call's attempt with the index `attempt`; the call is held again."""

    call: int
    attempt: int


Command = SendSetUp | RefuseCall | FailCall | CancelAttempt
