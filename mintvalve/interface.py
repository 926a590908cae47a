"""Interface between a host and a call controller: settings, events, actions and outcomes.

The host (a signalling proxy) owns one `mintvalve.controller.Controller`. It passes in one event at a time
with the clock, and carries out the returned actions in order.

Obligations:
* For each `CallOffered` the controller gives exactly one final answer by `deadline_ms`: `Refuse`, `Fail`, or
  a set-up whose outcome arrives with `ended` set. A call without an action is held.
* For each `SetUp` the host delivers exactly one `AttemptEnded`, also after the call itself has ended.
* A timer can't be revoked: the host delivers one `TimerExpired` for each `SetTimer`, and the controller
  ignores those that it no longer needs.
* When a proxy is killed, its controller is discarded with all calls, timers and attempts. The host then
  builds a new one, which starts from the cached exchange list alone.

All times are in milliseconds, on a clock that starts anywhere and never runs backwards.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class ExchangeState(Enum):
    """State of an exchange's processor in the exchange list."""

    READY = "ready"
    DRAINING = "draining"  # finishes its calls and accepts no new ones
    GONE = "gone"


class Outcome(Enum):
    """How an attempt ended. NOT_SET_UP, UNREACHABLE and NOT_SENT prove that no exchange carried it out."""

    ENDED = "ended"  # the call was answered and has been released
    LINE_BUSY = "line busy"  # all lines of the number are busy, or a signalling fault
    NOT_SET_UP = "not set up"  # refused by a tandem, or a processor or pool was full
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"  # the connection was cut
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # no circuit, own processor down, call ended, or no attempt left


class ClearingCause(IntEnum):
    """Why an attempt was not set up; `Outcome` tells whether it was. The numbers are the simulator's."""

    NONE = 0
    NO_CIRCUIT = 1
    TANDEM_REFUSED = 2  # it had no circuit to the destination
    PROCESSOR_FULL = 3
    NUMBER_BUSY = 4
    DESTINATION_FULL = 18  # the processor of the destination, beyond a tandem


class RetryPolicy(Enum):
    """When a call of a class may be attempted again."""

    ALWAYS = "always"
    WITHIN_GROUP = "within group"  # the exchanges of a group discard repeats for a time
    NEVER_AFTER_RUN = "never after run"  # only if provably no exchange carried out an earlier attempt


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls: full worth if answered within `aim_ms`, `late_worth` of it until `deadline_ms`."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth after `aim_ms`
    width: int = 1  # circuits of a call on each group
    holding_ms: float = 10_000.0  # mean duration of a call
    retry_policy: RetryPolicy = RetryPolicy.ALWAYS
    retry_group: str = "all"  # exchanges that discard repeats together: all, or those of a zone or cell
    retry_window_ms: float = 0.0  # for how long they do
    pools: tuple[int, ...] = ()  # pools that may serve it, where the topology is pools of agents

    def may_be_refused(self, may_have_run: bool) -> bool:
        """Whether a caller may be told that dialling again is harmless.

        It is if the class may always be repeated, if provably no attempt of the call has run, or if all
        exchanges discard repeats. Else the call fails.
        """
        return (
            not may_have_run
            or self.retry_policy is RetryPolicy.ALWAYS
            or (self.retry_policy is RetryPolicy.WITHIN_GROUP and self.retry_group == "all")
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a controller, fixed for its life."""

    proxies: int  # number of signalling proxies
    home: int  # cell of the own exchange, -1 with pools of agents
    classes: tuple[CallClass, ...]
    proxy_index: int = 0  # of this proxy among all, from 0
    zone: str = ""
    pool_topology: bool = False  # pools of agents in place of a mesh of exchanges
    subscribe: bool = False  # changes of the exchange list have to be subscribed to
    max_attempts: int = 6  # for a call
    may_probe: bool = False
    may_cancel: bool = False
    may_message_peers: bool = False
    sends_retry_hint: bool = False  # a full processor reports how long it wants no set-ups
    has_tandem_advice: bool = False  # calls carry the tandem that a network management centre advises
    report_fields: tuple[str, ...] = ()  # fields of `LoadReport` that exchanges report
    reports_in_answers: bool = False  # load reports come with the end of attempts
    release_wait_ms: float = 0.0  # after an attempt that may have run, until the next one of the call
    drain_grace_ms: float = 0.0  # after a change of the list, until set-ups to a draining exchange are faults
    answer_slack_ms: float = 0.0  # by which a final answer may miss its deadline
    cold_capacity: float = 1.0  # least share of its capacity that a processor has when it starts
    cold_ms: float = 0.0  # time from its start until it has its full capacity
    overload_multiple: float = 1.0  # a cold processor fails under more than this multiple of its capacity ...
    overload_ms: float = 0.0  # ... over this time
    resend_ms: float = 0.0  # the network sends waiting set-ups again after this; 0: never
    step_ms: float = 1.0  # shortest time between the clocks of two events
    max_retry_after_ms: float = 2000.0  # longest wait that refused callers respect
    probe_price: float = 0.0  # points off the score for one probe per call


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Figures of the own trunk group to an exchange, which are current, and of its processor, which are late.

    None: not reported.
    """

    free: int | None = None  # circuits free in the group
    circuits: int | None = None  # size of the group
    active: float | None = None  # messages that the processor works on
    waiting: float | None = None  # messages that wait for it
    utilisation: float | None = None  # share of the time that it is busy
    wait_ms: float | None = None  # of a message
    capacity: float | None = None  # new set-ups a second that it can handle from all senders
    hold_back: float | None = None  # share of new set-ups that each sender is asked to hold back


@dataclass(frozen=True, slots=True)
class Exchange:
    """One entry of the exchange list."""

    address: str
    cell: int
    state: ExchangeState
    zone: str = ""
    up_since_ms: float = 0.0  # last start; 0: long ago


class ListUpdateKind(Enum):
    """What an update of the exchange list holds."""

    CHANGES = "changes"  # entries that are new or changed
    FULL = "full"  # all entries
    CACHED = "cached"  # all entries as last known, at the start
    FAILED = "failed"  # none: the request failed


@dataclass(frozen=True, slots=True)
class ExchangeListUpdate:
    """The exchange list, or changes to it, came to this proxy."""

    kind: ListUpdateKind
    exchanges: tuple[Exchange, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call was offered to this proxy, by a caller or, in transit, by another exchange."""

    call: int
    call_class: str
    number: str
    deadline_ms: float
    destination: int
    width: int = 1
    tandem: int = -1  # cell of the advised tandem; in transit, of the exchange that the call comes from
    in_transit: bool = False
    redialled: bool = False  # the caller was refused before
    was_cut: bool = False  # the caller offers the call again after it was cut


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """An attempt succeeded, and the call is answered."""

    call: int
    attempt: int
    address: str
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; `ended` tells whether the call has ended with it."""

    call: int
    attempt: int
    address: str
    outcome: Outcome
    elapsed_ms: float
    ended: bool
    clearing_cause: int = 0  # a `ClearingCause`, or another number from the host
    wait_ms: float = 0.0  # for how long a full processor asks for no set-ups
    report: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class LoadReported:
    """The answer to a probe (`answered`), or an unsolicited report of the own group to an exchange."""

    address: str
    ok: bool
    answered: bool
    report: LoadReport = field(default_factory=LoadReport)


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message came from another proxy; `sender` is the cell of its exchange."""

    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The timer set with this token expired."""

    token: int


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller gave up; the call needs no final answer any more."""

    call: int


@dataclass(frozen=True, slots=True)
class Started:
    """The first event of each controller."""


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
    """Final answer: the call is refused, and the caller asked not to redial for `retry_after_ms`."""

    call: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the call failed, and a redial could set it up twice."""

    call: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an outstanding attempt."""

    call: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver `TimerExpired` with this token after `after_ms`; can't be revoked."""

    after_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a load report from an exchange."""

    address: str


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to the proxy of the exchange with cell `peer`, or to all proxies (-1)."""

    peer: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the exchange list."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the operator's log."""

    text: str


Action = SetUp | Refuse | Fail | Cancel | SetTimer | Probe | SendPeerMessage | Subscribe | Log
