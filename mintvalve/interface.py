"""What a host and a call controller say to each other: settings, events, actions, outcomes.

The host (a signalling proxy) owns one `mintvalve.controller.Controller` per proxy. It hands in one event
at a time with the clock, and carries out the returned actions in order.

Who owes what to whom:
* For every `CallOffered` the controller owes exactly one final answer by `deadline_ms`: `Refuse`, `Fail`,
  or a set-up whose outcome arrives with `ended` set. A call without an action is being held.
* For every `SetUp` the host owes exactly one `AttemptEnded`, also after the call itself has ended.
* A timer can't be revoked: the host rings each `SetTimer` once, the controller ignores those it outgrew.
* A kill discards the controller with all its calls, timers and attempts; the host drops the instance and
  builds a new one, which starts from the cached list alone.

All times are milliseconds, on a clock that starts anywhere and never runs backwards.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class ExchangeState(Enum):
    """What the server list says of an exchange's processor."""

    READY = "ready"
    DRAINING = "draining"  # finishes its work; wants nothing new
    GONE = "gone"


class Outcome(Enum):
    """How an attempt ended. NOT_SET_UP, UNREACHABLE and NOT_SENT prove that it never ran."""

    ENDED = "ended"  # the call stood and is over
    LINE_BUSY = "line busy"  # every line of the number busy, or a fault in signalling
    NOT_SET_UP = "not set up"  # turned back, or a processor or pool was full
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"  # cut
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # no circuit, own processor down, call over, or attempts used up


class ClearingCause(IntEnum):
    """Why an attempt was not set up, where the outcome says so."""

    NONE = 0
    NO_CIRCUIT = 1
    TURNED_BACK = 2
    PROCESSOR_FULL = 3
    NUMBER_BUSY = 4
    TURNED_BACK_BEYOND_FULL = 18  # the processor beyond the tandem was full


class RetryPolicy(Enum):
    """When a class of call may be tried again."""

    ALWAYS = "always"
    WITHIN_GROUP = "within group"  # repeats are discarded by the exchanges of a group, for a while
    NEVER_AFTER_RUN = "never after run"  # only where every earlier attempt provably never ran


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of call: full worth if it stands within `aim_ms`, `late_worth` of it until `deadline_ms`."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    width: int = 1  # circuits it takes on each group
    holding_ms: float = 10_000.0  # mean length of a call
    repeat: RetryPolicy = RetryPolicy.ALWAYS
    repeat_group: str = "all"  # all, zone or cell
    repeat_window_ms: float = 0.0
    pools: tuple[int, ...] = ()  # pools it may go to (pool topology)


@dataclass(frozen=True, slots=True)
class Settings:
    """What a controller is told at its start."""

    proxies: int  # signalling proxies in the tier
    home: int  # number of the own exchange, -1 with pools
    classes: tuple[CallClass, ...]
    me: int = 0  # this proxy's number among them
    zone: str = ""
    pools: bool = False  # pools of agents in place of a mesh of exchanges
    subscribe: bool = False  # the list must be asked for
    max_attempts: int = 6
    may_probe: bool = False
    may_cancel: bool = False
    may_tell: bool = False
    tells_wait: bool = False  # a full processor names a wait
    advice: bool = False  # calls carry a centre's advice
    report_fields: tuple[str, ...] = ()
    reports_in_answers: bool = False
    release_wait_ms: float = 0.0
    drain_grace_ms: float = 0.0
    answer_slack_ms: float = 0.0
    cold_capacity: float = 1.0  # share of its capacity with which a processor starts at the least
    cold_ms: float = 0.0  # warm after this
    fall_multiple: float = 1.0  # a cold processor sent more than this times its capacity ...
    fall_ms: float = 0.0  # ... for this long falls over
    resend_ms: float = 0.0  # waiting set-ups are sent again by the network after this; 0: never
    step_ms: float = 1.0  # the shortest gap between two events' clocks
    longest_away_ms: float = 2000.0  # callers respect no longer wait
    probe_price: float = 0.0  # points off the result for one probe a call


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Figures of the trunk group to an exchange (true now) and of its processor (late); None: not told."""

    free: int | None = None
    circuits: int | None = None
    active: float | None = None  # messages in work
    waiting: float | None = None  # messages waiting
    utilisation: float | None = None  # share of the processor busy
    wait_ms: float | None = None  # wait at the processor
    capacity: float | None = None  # new set-ups a second it can take from all senders
    hold_back: float | None = None  # share of new set-ups it asks each sender to hold back


@dataclass(frozen=True, slots=True)
class Exchange:
    """One entry of the server list."""

    address: str
    cell: int
    state: ExchangeState
    zone: str = ""
    born_ms: float = 0.0  # last start, 0: long ago


class ListUpdateKind(Enum):
    """Changes to the list held, the whole list, the list as it was held last, or a failed request for it."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ExchangeListUpdate:
    """The server list's news for this proxy."""

    kind: ListUpdateKind
    exchanges: tuple[Exchange, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call, taken by this proxy."""

    call: int
    call_class: str
    number: str
    deadline_ms: float
    destination: int
    width: int = 1
    tandem: int = -1  # the centre's advice; in transit: where the call comes from
    in_transit: bool = False
    redialled: bool = False
    was_cut: bool = False


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """An attempt succeeded: the call stands."""

    call: int
    attempt: int
    address: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over; `ended` tells whether the call is too."""

    call: int
    attempt: int
    address: str
    outcome: Outcome
    elapsed_ms: float
    ended: bool
    clearing: int = 0
    wait_ms: float = 0.0  # how long a full processor asks to stay away
    report: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class LoadReported:
    """The answer to a probe, or (`answered` unset) unasked news of the own group to an exchange."""

    address: str
    ok: bool
    answered: bool
    report: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another proxy."""

    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller left; nothing more is owed for the call."""

    call: int


@dataclass(frozen=True, slots=True)
class Started:
    """The first event of every instance."""


Event = (
    Started
    | ExchangeListUpdate
    | CallOffered
    | CallAnswered
    | AttemptEnded
    | LoadReported
    | PeerMessageReceived
    | TimerExpired
    | CallerLeft
)


@dataclass(frozen=True, slots=True)
class SetUp:
    """Send a set-up to an exchange: the destination (direct) or a tandem."""

    call: int
    address: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away; the caller is asked to stay away so long."""

    call: int
    stay_away_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up."""

    call: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    call: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ring after so long; can't be revoked."""

    after_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask an exchange for its load."""

    address: str


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to another proxy, or to all (peer -1)."""

    peer: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask the server list for changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operator."""

    text: str


Action = SetUp | Refuse | Fail | Cancel | SetTimer | Probe | SendPeerMessage | Subscribe | Log
