"""Decision module of the call controller: which calls are set up, on which route, held or refused.

A `Controller` serves one signalling proxy. Its method `handle` takes one event and returns the actions to
carry out; mintvalve/interface.py defines both. Time comes with the events and randomness from a seed, so
that equal events lead to equal actions.

Overload control is Langlois's call gapping (docs/design.md): set-ups towards an overloaded processor, or to a
called number with all lines busy, keep a minimum interval (the call gap), which is retuned once a control
cycle. Comments give the paper's symbols: T (interval of a gap), T0 (its initial value), rho (utilisation of a
processor), omega (busy outcomes of a number in a cycle), an index T for a target; numbers in parentheses are
the paper's equations. Calls are routed to the destination's own group first, then over the advised tandem,
then over the tandem with the most free circuits on the first leg; trunk reservation (the protective
allowance) keeps circuits for direct calls.

Unless a name says otherwise, times are instants and durations in milliseconds (`_at`: instant on the clock of
the events, `_ms`: duration), shares run from 0 to 1, and utilisation 1 is a fully used processor.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from mintvalve.interface import (
    Action,
    AttemptEnded,
    CallAnswered,
    CallClass,
    CallerLeft,
    CallOffered,
    Cancel,
    ClearingCause,
    Event,
    Exchange,
    ExchangeListUpdate,
    ExchangeState,
    Fail,
    ListUpdateKind,
    LoadReport,
    LoadReported,
    Log,
    Outcome,
    PeerMessageReceived,
    Probe,
    Refuse,
    RetryPolicy,
    SendPeerMessage,
    SetTimer,
    Settings,
    SetUp,
    Started,
    Subscribe,
    TimerExpired,
)

# Overloads last about ten seconds, so that the design's cycle of 2 s would react too slowly.
CYCLE_MS = 1000.0
POLL_INTERVAL_MS = 25.0  # of held calls and of set-ups whose answer may be overdue

TARGET_UTILISATION = 0.85  # rho_T of a remote processor (paper, 3.3)
GAP_ON_UTILISATION = 1.15  # a gap is turned on at this utilisation or above
GAP_OFF_UTILISATION = 0.6  # and off below this one
# Lets a cycle double a gap at most: resent set-ups keep the utilisation up, and would stretch it without end.
MAX_UTILISATION = 2 * TARGET_UTILISATION
# Share of set-ups refused as 'processor full' that stands for the target where no load is reported (design).
TARGET_FULL_SHARE = 0.05
# Wait at a processor that stands for the target utilisation, as a share of the shortest aim of all classes.
TARGET_WAIT_SHARE_OF_AIM = 0.2
# Longest gap in initial gaps: a sender still gets about a third of its normal flow through.
MAX_GAP_MULTIPLE = 10.0
# Weight of a cycle in the rates and delays of normal operation, which so span some twenty cycles.
BASELINE_WEIGHT = 0.05
# Share of the target utilisation assumed after a cycle without report and set-up: the gap shrinks by it.
NO_REPORT_LOAD_FACTOR = 0.6
# Share of the target utilisation assumed of a processor without any wait: low, so that its gap shrinks fast.
ZERO_WAIT_LOAD_SHARE = 0.25

GAP_ON_BUSY_PER_CYCLE = 2  # busy outcomes in a cycle at which the gap of a number is turned on
# omega_T, the target of busy outcomes of a gapped number: its lines stay nearly all in use.
TARGET_BUSY_PER_CYCLE = 1.0
MIN_CALLS_PER_S = 0.25  # a gapped number is still called this often, to notice that it is free again
# Without a reported capacity, T0 is 1 / (this many times the own recent rate towards the target) (design).
INITIAL_GAP_RATE_MULTIPLE = 3.0

# An answer is overdue this many mean deviations after the mean delay (as TCP's retransmission time-out).
OVERDUE_DEVIATIONS = 4.0
MIN_OVERDUE_MS = 150.0  # no answer is overdue sooner
LOST_SHARE_WEIGHT = 0.04  # weight of one set-up in the share of lost set-ups
# Up to this share of lost set-ups, an overdue answer is taken to be slow; above it, to be lost.
MIN_LOST_SHARE = 0.03
FIRST_UNCANCELLED_ATTEMPT = 3  # the answer to this attempt of a call, and to later ones, is waited for

# A call of a class worth far more than the least one may be sent so many gaps ahead of its time.
MAX_CREDIT_GAPS = 5.0

# Circuits that a group keeps for direct calls against tandem calls, per square root of the group's size.
TRUNK_RESERVATION_FACTOR = 0.45
MIN_STALL_MS = 100.0  # the own timers are this late only if this proxy itself was halted
MAX_FIGURE_AGE_MS = 3000.0  # older load figures are not used
CYCLE_WEIGHT = 0.25  # weight of one cycle in a smoothed rate or share
MIN_HOLD_BACK_SHARE = 0.02  # an exchange that asks to hold back less reports noise
DELAY_WEIGHT = 0.2  # weight of a new set-up delay in the smoothed one

# An exchange is unresponsive if it left a set-up unanswered this long and sent nothing since.
UNRESPONSIVE_MS = 1500.0
UNRESPONSIVE_TIMEOUTS = 3  # also if so many set-ups in a row timed out without any response in between
# Raises UNRESPONSIVE_MS to this many smoothed delays: an exchange that is only slow is not unresponsive.
UNRESPONSIVE_DELAY_MULTIPLE = 4.0
MIN_FULL_PAUSE_MS = 200.0  # no set-up goes to a processor for this long after it refused one as full
DEADLINE_MARGIN_MS = 40.0  # a held call is refused or failed this long before its deadline

# Capacity of a processor where none is reported, in times the calls offered to this proxy.
ASSUMED_CAPACITY_MULTIPLE = 2.0
USED_SHARE_OF_COLD_BUDGET = 0.8  # the capacity that the budget rests on is an estimate
# A blocked call waits this share of its aim for a circuit or a gap; then the caller is to redial.
MAX_HOLD_SHARE_OF_AIM = 0.2
MIN_RETRY_AFTER_MS = 250.0  # shortest wait that a refused caller is asked for

TANDEM_BACK_OFF_MS = 2000.0  # a tandem that refused a call is not used for that destination this long
# Each further refusal doubles the back-off up to this multiple: the tandem may have no group there at all.
MAX_TANDEM_BACK_OFF_MULTIPLE = 16.0
# With less than this share of a group free, no call goes out on it to come back on the same group.
MIN_FREE_SHARE_FOR_HAIRPIN = 0.5
# For one blocked call, from a start that moves on: bounds the work in a large fleet.
MAX_TANDEMS_EXAMINED = 12
# Probes to one processor from all proxies together; peer messages to one proxy are limited alike.
MAX_PROBES_PER_S = 4.0
PEER_MESSAGE_TAG = b"nc"  # first bytes of a message between proxies; messages without it are ignored

CYCLE_TIMER_TOKEN = 0
POLL_TIMER_TOKEN = 1
LIST_TIMER_TOKEN = 2
MAX_LOG_LINES = 200  # in the life of a controller


class CallGap:
    """A minimum interval (T) between the set-ups to one target, a processor or a number; off at 0."""

    def __init__(self) -> None:
        self.interval_ms = self.min_interval_ms = self.next_set_up_at = 0.0
        self.max_interval_ms = math.inf

    def engage(self, now: float, initial_ms: float, max_multiple: float = math.inf) -> None:
        """Turn the gap on with T0 (1), which is 1 ms or more.

        T0 is also the shortest interval; the longest is `max_multiple` times T0.
        """
        self.interval_ms = self.min_interval_ms = max(initial_ms, 1.0)
        self.max_interval_ms = max_multiple * self.min_interval_ms
        self.next_set_up_at = now

    def allows_set_up(self, now: float, credit_gaps: float) -> bool:
        """Whether a set-up may be sent now, or ahead of its time by up to `credit_gaps` intervals."""
        return self.interval_ms == 0.0 or now >= self.next_set_up_at - credit_gaps * self.interval_ms

    def record_set_up(self, now: float) -> None:
        """Move the next set-up on by T. One sent ahead of its time is so made up for by a longer wait."""
        if self.interval_ms:
            self.next_set_up_at = max(now, self.next_set_up_at) + self.interval_ms

    def set_interval(self, now: float, interval_ms: float) -> None:
        """Change T within its limits, and the wait for the next set-up in the same ratio (4)."""
        interval_ms = min(max(interval_ms, self.min_interval_ms), self.max_interval_ms)
        self.next_set_up_at = now + max(0.0, self.next_set_up_at - now) * interval_ms / self.interval_ms
        self.interval_ms = interval_ms

    def retune_to_utilisation(self, now: float, utilisation: float) -> None:
        """Change the gap of a processor by the ratio of its utilisation (rho) to the target (2)."""
        self.set_interval(now, self.interval_ms * min(utilisation, MAX_UTILISATION) / TARGET_UTILISATION)

    def retune_to_busy_calls(self, now: float, busy_calls: float, cycle_ms: float) -> None:
        """Change the gap of a called number by its busy outcomes (omega) in a cycle (3).

        The rate falls by one call a cycle for each busy outcome over the target, but stays at
        MIN_CALLS_PER_S or above. The paper's factor z is 1 (design).
        """
        set_ups_per_ms = 1.0 / self.interval_ms + (TARGET_BUSY_PER_CYCLE - busy_calls) / cycle_ms
        self.set_interval(now, 1.0 / max(set_ups_per_ms, MIN_CALLS_PER_S / 1000.0))


class RemoteExchange:
    """State kept of one exchange: its processor, the own group towards it and the set-ups sent there.

    The own processor is kept in the same form, under an empty address.
    """

    def __init__(self, entry: Exchange) -> None:
        self.address, self.cell, self.zone = entry.address, entry.cell, entry.zone
        self.display_name = f"exchange {entry.cell}" if entry.address else "own processor"
        self.state, self.up_since = ExchangeState.READY, entry.up_since_ms
        self.free_circuits = math.inf  # of the own group; unlimited until reported
        self.free_circuits_at = -math.inf  # time of the report
        self.circuits = 0  # size of the own group; 0 until reported
        self.gap = CallGap()
        self.report, self.report_at = LoadReport(), -math.inf
        self.delay_ms, self.delay_at = 0.0, -math.inf
        # Set-ups sent and 'processor full' refusals of this cycle; time-outs since the last response.
        self.set_ups_sent = self.full_refusals = self.consecutive_timeouts = 0
        # Smoothed over cycles; the rate only without a gap.
        self.set_ups_per_s = self.full_refusal_share = 0.0
        # Call to the time its set-up was sent, oldest first; cancelled ones may still be answered.
        self.outstanding_set_ups: dict[int, float] = {}
        self.cancelled_set_ups: dict[int, float] = {}
        self.last_response_at = self.last_set_up_at = self.pause_until = self.last_probe_at = -math.inf
        # As a tandem: destination to the end and the duration of the back-off.
        self.back_off_by_destination: dict[int, tuple[float, float]] = {}
        self.cold_set_up_times: deque[float] = deque()  # within the last window while the processor is cold
        # Told by the proxy of this exchange: bit n is set if it has circuits to spare towards exchange n.
        self.spare_cell_bits, self.spare_cell_bits_at = 0, -math.inf

    def record_report(self, now: float, report: LoadReport) -> None:
        """Keep the figures of the group, which are current, and of the processor, which come late.

        Figures that the report lacks stay as they are.
        """
        if report.free is not None:
            self.free_circuits, self.free_circuits_at = report.free, now
        self.circuits = self.circuits if report.circuits is None else report.circuits
        if (report.utilisation, report.wait_ms, report.capacity, report.hold_back) != (None,) * 4:
            self.report, self.report_at = report, now

    def record_delay(self, now: float, elapsed_ms: float) -> None:
        """Smooth the delay of a set-up that this exchange itself answered; an old average is replaced."""
        fresh = now - self.delay_at < MAX_FIGURE_AGE_MS
        self.delay_ms = self.delay_ms + DELAY_WEIGHT * (elapsed_ms - self.delay_ms) if fresh else elapsed_ms
        self.delay_at = now

    def expected_delay_ms(self, now: float, max_age_ms: float) -> float:
        """Expected delay of a set-up: the smoothed one up to `max_age_ms` old, or the longest wait so far.

        The age of the oldest unanswered set-up shows a slowdown before its answer does.
        """
        oldest_wait_ms = now - next(iter(self.outstanding_set_ups.values()), now)
        return max(oldest_wait_ms, self.delay_ms if now - self.delay_at < max_age_ms else 0.0)

    def record_response(self, now: float, call: int = -1) -> list[int]:
        """Note a response of this processor to the set-up of `call`, and return the calls it overtook.

        A processor works on set-ups in order of arrival. Older ones that are still outstanding are lost, or
        stuck at a processor beyond this one, so they are no longer counted here. Guards against delays read
        from lost set-ups, from tandem calls to an exchange that hangs, and, for the own processor, from one
        exchange that hangs. Drawback: hides a class of calls that alone waits at the processor.
        """
        self.last_response_at, self.consecutive_timeouts = now, 0
        sent_at = self.outstanding_set_ups.pop(call, -math.inf)
        overtaken_calls = [
            other_call
            for sent_times in (self.cancelled_set_ups, self.outstanding_set_ups)
            for other_call, other_sent_at in sent_times.items()
            if other_sent_at < sent_at
        ]
        for other_call in overtaken_calls:
            self.cancelled_set_ups.pop(other_call, None)
            self.outstanding_set_ups.pop(other_call, None)
        return overtaken_calls

    def is_unresponsive(self, now: float) -> bool:
        """Whether set-ups are unanswered for long, or timed out in a row, without a response since.

        Guards against exchanges that hang, crashed or are cut off, which the exchange list shows late or
        never. The count of time-outs keeps the state once the first set-ups have timed out and none is
        outstanding. Drawback: an exchange that is only very slow may count as unresponsive.
        """
        if self.consecutive_timeouts >= UNRESPONSIVE_TIMEOUTS or not self.outstanding_set_ups:
            return self.consecutive_timeouts >= UNRESPONSIVE_TIMEOUTS
        waiting_since = max(next(iter(self.outstanding_set_ups.values())), self.last_response_at)
        return now - waiting_since > max(UNRESPONSIVE_MS, UNRESPONSIVE_DELAY_MULTIPLE * self.delay_ms)

    def estimate_utilisation(self, now: float, shared_delay_ms: float, target_wait_ms: float) -> float:
        """Estimate the processor's utilisation (rho) in the last cycle.

        In this order: the reported utilisation; the share of set-ups it asks to hold back, or more if the
        wait shows more; the wait (reported, else from the reported capacity, else from the set-up delay
        beyond `shared_delay_ms`) relative to `target_wait_ms`; the share of set-ups refused as full.
        """
        if self.is_unresponsive(now):
            return TARGET_UTILISATION  # keeps the gap; single set-ups test the exchange meanwhile
        # A report is used in one cycle only. Used again each cycle, one high figure would stretch the gap to
        # its maximum, and behind a long gap no new report comes. Drawback: where reports are rare, the gap
        # shrinks between them and is lengthened again.
        report = self.report if now - self.report_at < CYCLE_MS else LoadReport()
        if report.utilisation is not None:
            return report.utilisation
        delay_ms = self.expected_delay_ms(now, CYCLE_MS)
        wait_ms = max(0.0, delay_ms - shared_delay_ms) if delay_ms else None
        if report.capacity:
            wait_ms = 1000.0 / report.capacity  # time to the next set-up it can take: its backlog
        wait_ms = wait_ms if report.wait_ms is None else report.wait_ms
        utilisation_by_wait = (
            0.0
            if wait_ms is None
            else TARGET_UTILISATION
            * (ZERO_WAIT_LOAD_SHARE + (1 - ZERO_WAIT_LOAD_SHARE) * wait_ms / target_wait_ms)
        )
        if report.hold_back is not None:  # comes late: a 0 does not outweigh a wait that is seen
            accepted_share = max(1.0 - report.hold_back, TARGET_UTILISATION / MAX_UTILISATION)
            return max(
                TARGET_UTILISATION / accepted_share
                if report.hold_back > MIN_HOLD_BACK_SHARE
                else TARGET_UTILISATION / 2,
                utilisation_by_wait,
            )
        if wait_ms is not None:
            return utilisation_by_wait
        return TARGET_UTILISATION * (
            self.full_refusal_share / TARGET_FULL_SHARE if self.set_ups_sent else NO_REPORT_LOAD_FACTOR
        )


class CalledNumber:
    """A called number: its offered calls and busy outcomes (omega) in this cycle, and its gap."""

    def __init__(self) -> None:
        self.busy_calls = self.offered_calls = 0
        self.gap = CallGap()


class CallRecord:
    """A call from its offer until it ends or gets its one final answer.

    `first_tried_at` is the caller's first try, from which the aim counts; a redial has an earlier one than
    `offered_at`. No set-up is sent before `not_before`. An attempt is its time and the exchange it went to.
    """

    def __init__(self, offer: CallOffered, call_class: CallClass, first_tried_at: float, now: float) -> None:
        self.offer, self.call_class, self.first_tried_at, self.offered_at = (
            offer,
            call_class,
            first_tried_at,
            now,
        )
        self.attempts, self.standing, self.not_before = 0, False, now
        self.excluded_tandems: set[str] = set()  # addresses not to be tried as a tandem any more
        self.outstanding_address: str | None = None  # where the attempt that has not ended went
        self.last_attempt: tuple[float, RemoteExchange] | None = None
        # The first attempt that an exchange may have carried out; None if provably none was.
        self.possible_run: tuple[float, RemoteExchange] | None = None


class Controller:
    """The decisions of one signalling proxy. Raises ValueError for settings that are out of range."""

    def __init__(self, settings: Settings, seed: int) -> None:
        times_ms = (settings.release_wait_ms, settings.drain_grace_ms, settings.cold_ms, settings.overload_ms)
        counts = (settings.proxies, len(settings.classes), settings.max_attempts)
        if min(times_ms) < 0 or min(counts) < 1 or settings.step_ms <= 0:
            raise ValueError("settings: negative time, no step, or no proxy, class or attempt")
        self.settings = settings
        self.random = Random(seed)
        self.classes_by_name = {call_class.name: call_class for call_class in settings.classes}
        self.exchanges: dict[str, RemoteExchange] = {}  # by address
        self.exchanges_by_cell: dict[int, RemoteExchange] = {}
        self.last_tandem_addresses: dict[int, str] = {}  # by destination: tandem of the last call answered
        self.tandems: list[RemoteExchange] = []  # one exchange for each cell but the own one
        # Between two probes to one exchange, and between two peer messages.
        self.probe_interval_ms = 1000.0 * settings.proxies / MAX_PROBES_PER_S - CYCLE_MS / 2
        # Calls in transit refused since the last peer message. Starts at 1, so that a first message is sent;
        # pools of agents have no calls in transit.
        self.refused_transit_calls = int(not settings.pool_topology)
        # The own processor reports no load; it is judged by the delay that all set-ups share.
        self.own_processor = RemoteExchange(Exchange("", settings.home, ExchangeState.READY))
        # Exchanges that refused a set-up as full in this cycle, and those that set a call up.
        self.full_addresses: set[str] = set()
        self.answering_addresses: set[str] = set()
        self.calls: dict[int, CallRecord] = {}
        self.held_calls: dict[int, CallRecord] = {}
        self.called_numbers: dict[str, CalledNumber] = {}
        # First try of refused calls by number, to recognise redials; oldest refusal first.
        self.first_try_times: dict[str, float] = {}
        self.longest_deadline_ms = max(call_class.deadline_ms for call_class in settings.classes)
        self.actions: list[Action] = []
        self.now = -math.inf
        self.started = self.poll_timer_running = False
        self.started_at = self.resumed_at = self.last_peer_message_at = -math.inf
        # Last time that a call was set up within the baseline delay and the target wait.
        self.last_prompt_answer_at = -math.inf
        self.next_cycle_at = math.inf
        # By class: the longest time to the deadline with which a call of it was offered.
        self.max_time_left_ms: dict[str, float] = {}
        self.warm_capacity_per_s = ASSUMED_CAPACITY_MULTIPLE  # of one processor, in set-ups
        self.log_lines = self.offered_calls = self.tandem_index = 0
        # Calls offered by callers; share of set-ups that were lost although their exchange responds.
        self.offered_calls_per_s = self.lost_share = 0.0
        # Set-up delays of all exchanges: mean while the own processor has no gap, mean, mean deviation.
        self.baseline_delay_ms = 0.0
        self.mean_delay_ms, self.delay_deviation_ms = MIN_OVERDUE_MS, MIN_OVERDUE_MS / 2
        # Call to the time its set-up was sent, oldest first, while it may still be cancelled as overdue.
        self.cancellable_set_ups: dict[int, float] = {}
        self.handlers: dict[type, Callable[[Any], None]] = {
            Started: self.on_started,
            ExchangeListUpdate: self.on_list_update,
            CallOffered: self.on_call_offered,
            CallAnswered: self.on_call_answered,
            AttemptEnded: self.on_attempt_ended,
            LoadReported: self.on_load_reported,
            TimerExpired: self.on_timer_expired,
            PeerMessageReceived: self.on_peer_message,
            CallerLeft: lambda event: self.forget_call(event.call),
        }
        self.target_wait_ms = TARGET_WAIT_SHARE_OF_AIM * min(
            (call_class.aim_ms for call_class in settings.classes if call_class.aim_ms > 0), default=1e3
        )
        self.min_worth = min(call_class.worth for call_class in settings.classes)
        self.min_worth_density = min(self.worth_density(call_class) for call_class in settings.classes)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event at time `now`; return the actions, to be carried out in order.

        Raises ValueError if the clock runs backwards or the first event is not `Started`. Events of a type
        without a handler are ignored.
        """
        if now < self.now:
            raise ValueError(f"clock ran backwards: event at {now} ms after one at {self.now} ms")
        if not (self.started or isinstance(event, Started)):
            raise ValueError(f"the first event must be Started, got {type(event).__name__}")
        if now > self.next_cycle_at + MIN_STALL_MS:
            # This proxy was halted, for whatever reason. Ages and delays that span the halt say nothing of
            # the exchanges, so outstanding set-ups count from now on; calls offered meanwhile have waited
            # (see on_call_offered). Drawback: hides a slow answer that arrives just at the end of the halt.
            self.resumed_at = now
            for exchange in [*self.exchanges.values(), self.own_processor]:
                exchange.outstanding_set_ups = dict.fromkeys(exchange.outstanding_set_ups, now)
            self.cancellable_set_ups = dict.fromkeys(self.cancellable_set_ups, now)
        self.now, self.actions = now, []
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        return self.actions

    def on_started(self, _: Started) -> None:
        """Start the control cycle and subscribe to the exchange list where that is needed.

        The first cycle and the first peer message have random delays, so that not all proxies send at once.
        """
        self.started, self.started_at = True, self.now
        self.schedule_cycle(CYCLE_MS * (0.5 + self.random.random()))
        self.last_peer_message_at = self.now - self.probe_interval_ms * self.random.random()
        if self.settings.subscribe:
            self.actions.append(Subscribe())

    def schedule_cycle(self, wait_ms: float) -> None:
        """Set the timer of the next control cycle."""
        self.actions.append(SetTimer(wait_ms, CYCLE_TIMER_TOKEN))
        self.next_cycle_at = self.now + wait_ms

    def on_list_update(self, update: ExchangeListUpdate) -> None:
        """Bring the exchanges up to date; after a failed request, set a timer for the next one.

        Exchanges that are missing from a full or cached list count as gone. A gone exchange is kept until an
        update finds no set-up to it outstanding.
        """
        if update.kind is ListUpdateKind.FAILED:
            self.actions.append(SetTimer(CYCLE_MS * (1 + self.random.random()), LIST_TIMER_TOKEN))
            return
        listed_addresses = {entry.address for entry in update.exchanges}
        for entry in update.exchanges:
            exchange = self.exchanges.setdefault(entry.address, RemoteExchange(entry))
            # The exchange was restarted: what is known of its earlier process no longer applies.
            if entry.up_since_ms != exchange.up_since:
                exchange.record_response(self.now)
                exchange.gap, exchange.delay_at, exchange.report_at, exchange.pause_until = (
                    CallGap(),
                    -math.inf,
                    -math.inf,
                    -math.inf,
                )
                exchange.full_refusal_share = 0.0
            exchange.state, exchange.up_since, exchange.cell, exchange.zone = (
                entry.state,
                entry.up_since_ms,
                entry.cell,
                entry.zone,
            )
        if update.kind is not ListUpdateKind.CHANGES:
            for address, exchange in self.exchanges.items():
                if address not in listed_addresses and exchange.state is ExchangeState.READY:
                    exchange.state = ExchangeState.GONE
        self.exchanges = {
            known_address: exchange
            for known_address, exchange in self.exchanges.items()
            if exchange.state is not ExchangeState.GONE or exchange.outstanding_set_ups
        }
        self.exchanges_by_cell = {}
        for exchange in self.exchanges.values():
            if exchange.state is ExchangeState.READY or exchange.cell not in self.exchanges_by_cell:
                self.exchanges_by_cell[exchange.cell] = exchange
        self.tandems = [
            exchange for exchange in self.exchanges_by_cell.values() if exchange.cell != self.settings.home
        ]

    def on_call_offered(self, offer: CallOffered) -> None:
        """Register an offered call, with the caller's first try, and decide on it.

        An unknown class counts as the first one of the settings.
        """
        call_class = self.classes_by_name.get(offer.call_class) or self.settings.classes[0]
        first_tried_at = self.now
        if not offer.in_transit and not offer.was_cut:
            # A redial's aim counts from the caller's first try. It is recognised by the number of a refused
            # call, whether it is marked as a redial or not.
            first_tried_at = self.first_try_times.get(offer.number, self.now)
            if offer.redialled and first_tried_at == self.now:
                # The first try is unknown, as it was refused before this controller started.
                first_tried_at -= call_class.aim_ms / 2
        time_left_ms = offer.deadline_ms - self.now
        longest_left_ms = self.max_time_left_ms[call_class.name] = max(
            time_left_ms, self.max_time_left_ms.get(call_class.name, time_left_ms)
        )
        # After a stall of this proxy, the time to the deadline shows how long the call has waited.
        first_tried_at = (
            min(first_tried_at, self.now - longest_left_ms + time_left_ms)
            if self.now == self.resumed_at
            else first_tried_at
        )
        call = self.calls[offer.call] = CallRecord(offer, call_class, first_tried_at, self.now)
        self.called_numbers.setdefault(offer.number, CalledNumber()).offered_calls += 1
        self.offered_calls += not offer.in_transit
        self.decide(call)

    def on_call_answered(self, event: CallAnswered) -> None:
        """Mark a call as standing and record the delay of its set-up.

        Only direct calls count in the delays, and none answered at the instant when this proxy resumes after
        a stall. A tandem that set a call up is preferred for the next one to that destination, and its
        back-off ends.
        """
        exchange, call = self.exchanges.get(event.address), self.calls.get(event.call)
        if exchange is not None:
            self.record_response(exchange, event.call)
            self.answering_addresses.add(event.address)
            if event.elapsed_ms < self.baseline_delay_ms + self.target_wait_ms:
                self.last_prompt_answer_at = self.now
            if call is not None and exchange.cell == call.offer.destination and self.now > self.resumed_at:
                exchange.record_delay(self.now, event.elapsed_ms)
                self.delay_deviation_ms += (
                    DELAY_WEIGHT / 2 * (abs(event.elapsed_ms - self.mean_delay_ms) - self.delay_deviation_ms)
                )
                self.mean_delay_ms += DELAY_WEIGHT / 2 * (event.elapsed_ms - self.mean_delay_ms)
        self.cancellable_set_ups.pop(event.call, None)
        if call is not None:
            call.standing = True
            if exchange is not None and exchange.cell != call.offer.destination:
                self.last_tandem_addresses[call.offer.destination] = exchange.address
                exchange.back_off_by_destination.pop(call.offer.destination, None)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Record what an ended attempt shows of the exchange, then retry, end, refuse or fail its call.

        Attempts of calls that have ended, and those whose address is not the call's outstanding one, count
        for the exchange only. A retry after a time-out, reset or cancellation waits for the release.
        """
        exchange, call = self.exchanges.get(event.address), self.calls.get(event.call)
        outcome, clearing_cause = event.outcome, event.clearing_cause
        if exchange is not None:
            exchange.record_report(self.now, event.report)
            if outcome in (Outcome.ENDED, Outcome.LINE_BUSY, Outcome.NOT_SET_UP):
                self.record_response(exchange, event.call)
            sent_at = exchange.outstanding_set_ups.pop(event.call, self.now)
            self.own_processor.outstanding_set_ups.pop(event.call, None)
            is_direct = call is not None and exchange.cell == call.offer.destination
            if is_direct and outcome is Outcome.CANCELLED:
                exchange.cancelled_set_ups[event.call] = sent_at
            if is_direct and outcome is Outcome.TIMED_OUT and exchange.last_response_at > sent_at:
                # Lost, as the exchange has responded since it was sent.
                self.lost_share += LOST_SHARE_WEIGHT * (1.0 - self.lost_share)
            if (
                is_direct
                and outcome in (Outcome.TIMED_OUT, Outcome.UNREACHABLE)
                and self.now > self.resumed_at
            ):
                # The time-out counts for processors that have sent nothing since the set-up was sent.
                for processor in (exchange, self.own_processor):
                    processor.consecutive_timeouts += processor.last_response_at < self.now - event.elapsed_ms
            if is_direct and outcome is Outcome.RESET and call is not None and call.standing:
                # A standing call was cut: redials arrive before the exchange list shows the failure.
                exchange.consecutive_timeouts = UNRESPONSIVE_TIMEOUTS
            if outcome is Outcome.NOT_SENT and clearing_cause == ClearingCause.PROCESSOR_FULL:
                # The own processor is down.
                self.own_processor.consecutive_timeouts = UNRESPONSIVE_TIMEOUTS
            if clearing_cause == ClearingCause.DESTINATION_FULL and call is not None:
                self.on_processor_full(
                    self.exchanges_by_cell.get(call.offer.destination, exchange), event.wait_ms
                )
            elif clearing_cause == ClearingCause.PROCESSOR_FULL and outcome is Outcome.NOT_SET_UP:
                self.on_processor_full(exchange, event.wait_ms)
        if call is None or call.outstanding_address != event.address:
            return
        call.outstanding_address = None
        if (
            outcome is Outcome.UNREACHABLE
            and exchange is not None
            and exchange.free_circuits_at < self.now - event.elapsed_ms
        ):
            # The set-up seized no circuits, and no report of the group will correct the count.
            exchange.free_circuits += call.offer.width
        self.cancellable_set_ups.pop(event.call, None)
        if outcome is Outcome.LINE_BUSY and clearing_cause == ClearingCause.NUMBER_BUSY and not event.ended:
            self.called_numbers.setdefault(call.offer.number, CalledNumber()).busy_calls += 1
            self.refuse_or_fail(call)
            return
        if event.ended or call.standing:
            self.forget_call(event.call)
            return
        if outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            call.not_before = self.now + self.settings.release_wait_ms + self.settings.step_ms
        if (
            outcome in (Outcome.NOT_SET_UP, Outcome.UNREACHABLE, Outcome.NOT_SENT)
            and call.possible_run == call.last_attempt
        ):
            call.possible_run = None  # this attempt provably did not run, and it was the first to count
        if exchange is not None and (
            exchange.cell != call.offer.destination or outcome is Outcome.UNREACHABLE
        ):
            call.excluded_tandems.add(event.address)
            if self.last_tandem_addresses.get(call.offer.destination) == event.address:
                del self.last_tandem_addresses[call.offer.destination]
            if clearing_cause == ClearingCause.TANDEM_REFUSED:
                self.back_off_tandem(exchange, call.offer.destination)
        if outcome is Outcome.NOT_SENT:
            call.not_before = max(call.not_before, self.now + POLL_INTERVAL_MS)
        if call.offer.in_transit:
            self.refuse_or_fail(call)
            return
        self.decide(call)

    def record_response(self, exchange: RemoteExchange, call: int) -> None:
        """Note that an exchange, and so the own processor, responded to the set-up of `call`.

        Updates the share of lost set-ups, over all exchanges: direct set-ups that the response overtook count
        as lost; without any, one set-up counts as not lost.
        """
        self.own_processor.record_response(self.now, call)
        overtaken_calls = [
            self.calls[overtaken]
            for overtaken in exchange.record_response(self.now, call)
            if overtaken in self.calls
        ]
        for loss_sample in [
            1.0 for overtaken in overtaken_calls if overtaken.offer.destination == exchange.cell
        ] or [0.0]:
            self.lost_share += LOST_SHARE_WEIGHT * (loss_sample - self.lost_share)

    def back_off_tandem(self, tandem: RemoteExchange, destination: int) -> None:
        """Do not use a tandem for a destination to which it had no circuit, each time for twice as long.

        With each further refusal it is more likely that it has no group to that destination at all.
        """
        wait_ms = tandem.back_off_by_destination.get(destination, (0.0, TANDEM_BACK_OFF_MS / 2))[1] * 2
        tandem.back_off_by_destination[destination] = (
            self.now + min(wait_ms, TANDEM_BACK_OFF_MS * MAX_TANDEM_BACK_OFF_MULTIPLE),
            min(wait_ms, TANDEM_BACK_OFF_MS * MAX_TANDEM_BACK_OFF_MULTIPLE),
        )

    def on_processor_full(self, exchange: RemoteExchange, wait_ms: float) -> None:
        """Pause set-ups to a processor that refused one as full: the exchange's, or the own one.

        A full own processor refuses the set-ups to all exchanges alike. It is taken to be the full one if in
        this cycle at least two exchanges refused as full, more than set a call up, and no call was set up
        promptly for a cycle, as a full processor does nothing promptly. In a large fleet some exchanges are
        always full; without these conditions, repeated tries of slow exchanges would pause the own processor,
        and too few calls would be sent to end that state. Drawback: an own processor that stops abruptly is
        recognised one cycle late.
        """
        self.full_addresses.add(exchange.address)
        if (
            1 < len(self.full_addresses) > len(self.answering_addresses)
            and self.now - self.last_prompt_answer_at > CYCLE_MS
        ):
            exchange, wait_ms = self.own_processor, 0.0
        exchange.full_refusals += 1
        exchange.pause_until = max(
            exchange.pause_until, self.now + max(MIN_FULL_PAUSE_MS, min(wait_ms, CYCLE_MS))
        )

    def on_load_reported(self, event: LoadReported) -> None:
        """Record a load report, and decide again on held calls if it shows more free circuits."""
        exchange = self.exchanges.get(event.address)
        if exchange is not None:
            free_before = exchange.free_circuits
            exchange.record_report(self.now, event.report)
            if exchange.free_circuits > free_before and self.held_calls:
                self.decide_held_calls()

    def send_spare_cells(self) -> None:
        """Tell all peers towards which exchanges the own one has circuits to spare for calls in transit.

        The message is a tag and an integer, little-endian, with bit n set for exchange n.
        """
        spare = [
            exchange
            for exchange in self.tandems
            if exchange.free_circuits > self.reserved_circuits(exchange)
            and not exchange.is_unresponsive(self.now)
        ]
        spare_cell_bits = sum(1 << exchange.cell for exchange in spare)
        self.actions.append(
            SendPeerMessage(
                -1,
                PEER_MESSAGE_TAG + spare_cell_bits.to_bytes(spare_cell_bits.bit_length() // 8 + 1, "little"),
            )
        )
        self.refused_transit_calls, self.last_peer_message_at = 0, self.now

    def on_peer_message(self, event: PeerMessageReceived) -> None:
        """Keep towards which exchanges a peer's exchange has spare circuits; ignore other messages."""
        exchange = self.exchanges_by_cell.get(event.sender)
        if exchange is not None and event.content.startswith(PEER_MESSAGE_TAG):
            exchange.spare_cell_bits = int.from_bytes(event.content[len(PEER_MESSAGE_TAG) :], "little")
            exchange.spare_cell_bits_at = self.now

    def on_timer_expired(self, event: TimerExpired) -> None:
        """Run the control cycle, poll held calls and overdue set-ups, or ask for the list again."""
        if event.token == CYCLE_TIMER_TOKEN:
            self.run_cycle()
            self.schedule_cycle(CYCLE_MS)
        elif event.token == POLL_TIMER_TOKEN:
            self.poll_timer_running = False
            self.cancel_overdue_set_ups()
            self.decide_held_calls()
            self.ensure_polling()
        elif event.token == LIST_TIMER_TOKEN and self.settings.subscribe:
            self.actions.append(Subscribe())

    def ensure_polling(self) -> None:
        """Set the poll timer if it is not running and there is a call to poll for."""
        if not self.poll_timer_running and (
            self.held_calls or (self.cancellable_set_ups and self.lost_share > MIN_LOST_SHARE)
        ):
            self.poll_timer_running = True
            self.actions.append(SetTimer(POLL_INTERVAL_MS, POLL_TIMER_TOKEN))

    def cancel_overdue_set_ups(self) -> None:
        """Cancel set-ups whose answer is overdue, once each, if a retry can still meet the aim.

        Guards against set-ups and answers lost on the way, and against a tandem that hangs. Done only while
        set-ups to exchanges that respond are being lost, and not towards gapped or unresponsive processors,
        to which a retry is only more work.
        """
        overdue_sent_at = self.now - max(
            MIN_OVERDUE_MS, self.mean_delay_ms + OVERDUE_DEVIATIONS * self.delay_deviation_ms
        )
        retry_time_ms = self.settings.release_wait_ms + self.settings.step_ms + self.mean_delay_ms
        while (
            self.cancellable_set_ups
            and next(iter(self.cancellable_set_ups.values())) <= overdue_sent_at
            and self.lost_share > MIN_LOST_SHARE
        ):
            call_id = next(iter(self.cancellable_set_ups))
            del self.cancellable_set_ups[call_id]
            call = self.calls.get(call_id)
            if call is None or call.last_attempt is None or call.attempts >= FIRST_UNCANCELLED_ATTEMPT:
                continue
            processors = (
                call.last_attempt[1],
                self.exchanges_by_cell.get(call.offer.destination, self.own_processor),
                self.own_processor,
            )
            is_overloaded = any(
                processor.gap.interval_ms or processor.is_unresponsive(self.now) for processor in processors
            )
            if not is_overloaded and self.now + retry_time_ms - call.first_tried_at < call.call_class.aim_ms:
                self.actions.append(Cancel(call_id, call.attempts - 1))

    def estimate_shared_delay_ms(self) -> float:
        """Part of the set-up delays that all exchanges share: the own processor's and the transmission's.

        The smallest fresh delay; 0 if fewer than two exchanges have one.
        """
        fresh_delays_ms = [
            exchange.delay_ms
            for exchange in self.exchanges.values()
            if self.now - exchange.delay_at < CYCLE_MS
        ]
        return min(fresh_delays_ms) if len(fresh_delays_ms) > 1 else 0.0

    def run_cycle(self) -> None:
        """Update the smoothed rates and delays, retune all gaps, and send probes and the peer message."""
        shared_delay_ms = self.estimate_shared_delay_ms()
        cycle_s = CYCLE_MS / 1000.0
        self.offered_calls_per_s += (CYCLE_WEIGHT if self.offered_calls_per_s else 1.0) * (
            self.offered_calls / cycle_s - self.offered_calls_per_s
        )
        self.offered_calls = 0
        self.own_processor.delay_ms, self.own_processor.delay_at = shared_delay_ms, self.now
        if not self.own_processor.gap.interval_ms:  # keeps delays under overload out of the baseline
            self.baseline_delay_ms += (BASELINE_WEIGHT if self.baseline_delay_ms else 1.0) * (
                self.mean_delay_ms - self.baseline_delay_ms
            )
        self.full_addresses, self.answering_addresses = set(), set()
        reported_capacities = [
            capacity
            for exchange in self.exchanges.values()
            if (capacity := exchange.report.capacity) and not self.is_cold(exchange)
        ]
        self.warm_capacity_per_s = (
            sum(reported_capacities) / len(reported_capacities)
            if reported_capacities
            else ASSUMED_CAPACITY_MULTIPLE * max(self.offered_calls_per_s, 1.0)
        )
        for exchange in [*self.exchanges.values(), self.own_processor]:
            if not exchange.gap.interval_ms:
                exchange.set_ups_per_s += BASELINE_WEIGHT * (
                    exchange.set_ups_sent / cycle_s - exchange.set_ups_per_s
                )
            refusal_share = (
                min(1.0, exchange.full_refusals / exchange.set_ups_sent) if exchange.set_ups_sent else 0.0
            )
            exchange.full_refusal_share += CYCLE_WEIGHT * (refusal_share - exchange.full_refusal_share)
            if exchange is self.own_processor:
                self.tune_gap(exchange, self.baseline_delay_ms)
            elif exchange.cell != self.settings.home and exchange.state is ExchangeState.READY:
                self.tune_gap(exchange, shared_delay_ms)
                has_report = self.settings.reports_in_answers and self.now - exchange.report_at < CYCLE_MS
                needs_report = exchange.gap.interval_ms or (
                    exchange.set_ups_sent and not self.settings.reports_in_answers
                )
                # Probes are work for a processor: one a cycle from each proxy of a large fleet overloads it.
                if (
                    self.settings.may_probe
                    and needs_report
                    and not has_report
                    and self.now - exchange.last_probe_at >= self.probe_interval_ms
                ):
                    exchange.last_probe_at = self.now
                    self.actions.append(Probe(exchange.address))
            exchange.set_ups_sent = exchange.full_refusals = 0
        if (
            self.settings.may_message_peers
            and self.refused_transit_calls
            and self.now - self.last_peer_message_at >= self.probe_interval_ms
        ):
            self.send_spare_cells()
        while (
            self.first_try_times
            and next(iter(self.first_try_times.values())) < self.now - self.longest_deadline_ms
        ):
            del self.first_try_times[next(iter(self.first_try_times))]
        for number_text in list(self.called_numbers):
            number = self.called_numbers[number_text]
            gap = number.gap
            if gap.interval_ms:
                if (
                    number.busy_calls == 0
                    and gap.interval_ms <= gap.min_interval_ms
                    and number.offered_calls <= 1
                ):
                    gap.interval_ms = 0.0
                else:
                    gap.retune_to_busy_calls(self.now, number.busy_calls, CYCLE_MS)
            elif number.busy_calls >= GAP_ON_BUSY_PER_CYCLE:
                gap.engage(self.now, CYCLE_MS / (INITIAL_GAP_RATE_MULTIPLE * max(number.offered_calls, 1)))
                self.log(f"crowded number: gap on, {number.offered_calls} offered, {number.busy_calls} busy")
            number.busy_calls = number.offered_calls = 0
            if not gap.interval_ms:
                del self.called_numbers[number_text]

    def tune_gap(self, exchange: RemoteExchange, shared_delay_ms: float) -> None:
        """Turn the gap of one processor on or off, or retune it, by its estimated utilisation.

        T0 allows INITIAL_GAP_RATE_MULTIPLE times the own rate towards the processor (its baseline, but at
        least half of an even share of the offered calls, or of the minimum rate), or a lower reported
        capacity.
        """
        utilisation = exchange.estimate_utilisation(self.now, shared_delay_ms, self.target_wait_ms)
        if exchange.gap.interval_ms:
            if utilisation < GAP_OFF_UTILISATION and exchange.gap.interval_ms <= exchange.gap.min_interval_ms:
                exchange.gap.interval_ms = 0.0
                self.log(f"{exchange.display_name}: gap off")
            else:
                exchange.gap.retune_to_utilisation(self.now, utilisation)
        elif utilisation >= GAP_ON_UTILISATION:
            even_share_per_s = self.offered_calls_per_s / (
                1 if exchange is self.own_processor else max(len(self.tandems), 1)
            )
            initial_rate_per_s = INITIAL_GAP_RATE_MULTIPLE * max(
                exchange.set_ups_per_s,
                even_share_per_s / 2,
                MIN_CALLS_PER_S / len(self.exchanges or "1"),
            )
            exchange.gap.engage(
                self.now,
                1000.0 / min(initial_rate_per_s, exchange.report.capacity or initial_rate_per_s),
                MAX_GAP_MULTIPLE,
            )
            self.log(f"{exchange.display_name}: gap on, load {utilisation:.2f}")

    def worth_density(self, call_class: CallClass) -> float:
        """Worth of a call for each circuit and millisecond that it holds."""
        return call_class.worth / (max(call_class.width, 1) * max(call_class.holding_ms, 1.0))

    def misses_aim(self, call: CallRecord) -> bool:
        """Whether a call set up now would be answered after its aim, counted from the caller's first try.

        The destination's expected set-up delay is added.
        """
        exchange = self.exchanges_by_cell.get(call.offer.destination)
        delay_ms = exchange.expected_delay_ms(self.now, MAX_FIGURE_AGE_MS) if exchange is not None else 0.0
        return self.now + delay_ms - call.first_tried_at > call.call_class.aim_ms

    def path_is_gapped(self, call: CallRecord) -> bool:
        """Whether the destination's processor or the own one has a gap, so that late calls are not sent."""
        return bool(
            self.own_processor.gap.interval_ms
            or self.exchanges_by_cell.get(call.offer.destination, self.own_processor).gap.interval_ms
        )

    def reserved_circuits(self, exchange: RemoteExchange, call_class: CallClass | None = None) -> int:
        """Trunk reservation: circuits of a group that a call has to leave free for direct calls.

        It grows with the square root of the group's size, and is smaller for a class of more worth for each
        circuit and time held. Without a class, that of the least worth counts.
        """
        density_ratio = self.worth_density(call_class) / self.min_worth_density if call_class else 1.0
        return round(TRUNK_RESERVATION_FACTOR * math.sqrt(max(exchange.circuits, 1)) / density_ratio) + 1

    def processor_admits(self, call: CallRecord, exchange: RemoteExchange) -> bool:
        """Whether this processor may get a set-up of the call now.

        Not during a pause after a refusal as full, nor before the gap's next time, which a class of higher
        worth may precede by a credit. An unresponsive processor gets single set-ups as tests, UNRESPONSIVE_MS
        apart. The own processor also limits the outstanding set-ups.
        """
        if self.now < exchange.pause_until:
            return False
        if exchange.is_unresponsive(self.now) and (
            exchange.outstanding_set_ups or self.now - exchange.last_set_up_at < UNRESPONSIVE_MS
        ):
            return False
        credit_gaps = (
            MAX_CREDIT_GAPS * (1.0 - self.min_worth / call.call_class.worth)
            if call.call_class.worth > 0
            else 0.0
        )
        if exchange is self.own_processor:
            counted_since = self.now - UNRESPONSIVE_MS
            if (
                sum(sent_at > counted_since for sent_at in exchange.outstanding_set_ups.values())
                >= self.max_outstanding_set_ups() + credit_gaps
            ):
                return False
        return exchange.gap.allows_set_up(self.now, credit_gaps)

    def max_outstanding_set_ups(self) -> float:
        """Largest number of unanswered set-ups that this proxy may have outstanding at once.

        It is what the normal rate sends in the target delay (baseline delay and target wait); while the mean
        delay exceeds the target, it shrinks by the square of their ratio. Within a cycle, set-ups are so
        paced by answers. Guards against a slowdown of all processors or of the own one, a surge of calls, and
        a first gap that lets too many through. Set-ups overtaken by a later one's answer, or outstanding for
        UNRESPONSIVE_MS, do not count, so that exchanges that hang or are cut off do not block the others.
        Drawback: after a jump of the rate, held calls wait for an answer.
        """
        set_ups_per_s, target_delay_ms = (
            max(self.own_processor.set_ups_per_s, self.offered_calls_per_s),
            self.baseline_delay_ms + self.target_wait_ms,
        )
        delay_factor = min(1.0, target_delay_ms / max(self.mean_delay_ms, 1.0)) ** 2
        return (
            max(1.0, set_ups_per_s * target_delay_ms / 1000.0 * delay_factor) if set_ups_per_s else math.inf
        )

    def choose_route(self, call: CallRecord) -> RemoteExchange | None:
        """Choose the exchange that the next set-up of a call goes to; None if there is none at present.

        In this order: the destination itself, the advised tandem, the tandem of the last answered call to
        that destination, and the one with the most free circuits among those examined. The processors of the
        destination, of this proxy and of the tandem, and the gap of the number, have to admit the call. Calls
        in transit and late calls go to their destination only, and have to leave the reserved circuits free.
        """
        offer = call.offer
        direct = self.exchanges_by_cell.get(offer.destination)
        if (
            direct is None
            or not self.processor_admits(call, direct)
            or not self.processor_admits(call, self.own_processor)
        ):
            return None
        number = self.called_numbers.get(offer.number)
        if number is not None and not number.gap.allows_set_up(self.now, 0.0):
            return None
        if offer.in_transit:
            return (
                direct
                if direct.free_circuits >= call.offer.width + self.reserved_circuits(direct, call.call_class)
                else None
            )
        misses_aim = self.misses_aim(call)
        if misses_aim and self.path_is_gapped(call):
            return None  # the quarter of its worth left does not justify work of an overloaded processor
        reserved_circuits = self.reserved_circuits(direct, call.call_class) if misses_aim else 0
        if direct.free_circuits >= call.offer.width + reserved_circuits and self.may_send(call, direct):
            return direct
        if misses_aim or direct.is_unresponsive(self.now):
            return None
        advised = self.exchanges_by_cell.get(offer.tandem)
        for candidate in (advised, self.exchanges.get(self.last_tandem_addresses.get(offer.destination, ""))):
            if candidate is not None and self.may_use_as_tandem(call, candidate):
                return candidate
        best: RemoteExchange | None = None
        for _ in range(min(MAX_TANDEMS_EXAMINED, len(self.tandems))):
            self.tandem_index = (self.tandem_index + 1) % len(self.tandems)
            exchange = self.tandems[self.tandem_index]
            if (best is None or exchange.free_circuits > best.free_circuits) and self.may_use_as_tandem(
                call, exchange
            ):
                best = exchange
        return best

    def may_use_as_tandem(self, call: CallRecord, tandem: RemoteExchange) -> bool:
        """Whether a call may be sent over this tandem, or, with pools, to this pool of second choice.

        Excluded are tandems that the call has tried, that backed off for the destination, that are gapped,
        cold or unresponsive, or whose own proxy reported no spare circuit towards the destination.
        """
        destination = call.offer.destination
        is_foreign_pool = self.settings.pool_topology and tandem.cell not in call.call_class.pools
        if tandem.cell == destination or tandem.address in call.excluded_tandems or is_foreign_pool:
            return False
        if (
            self.now < tandem.back_off_by_destination.get(destination, (-math.inf, 0.0))[0]
            or tandem.gap.interval_ms
            or self.is_cold(tandem)
        ):
            return False
        # A call for the own exchange comes from a caller whose proxy is down. It can only go out to a tandem
        # and back on the same group, and so takes the circuits and work of two calls: allowed only where much
        # of the group is free.
        if destination == self.settings.home and tandem.free_circuits < max(
            MIN_FREE_SHARE_FOR_HAIRPIN * tandem.circuits, 2 * call.offer.width
        ):
            return False
        if (
            self.now - tandem.spare_cell_bits_at < self.probe_interval_ms + MAX_FIGURE_AGE_MS
            and not tandem.spare_cell_bits >> destination & 1
        ):
            return False
        return (
            tandem.free_circuits >= call.offer.width + self.reserved_circuits(tandem, call.call_class)
            and self.processor_admits(call, tandem)
            and not tandem.is_unresponsive(self.now)
            and self.may_send(call, tandem)
        )

    def decide(self, call: CallRecord) -> None:
        """Send a set-up for a call, hold the call, or give the final answer (refuse or fail)."""
        if self.now >= call.offer.deadline_ms - DEADLINE_MARGIN_MS:
            self.refuse_or_fail(call)
            return
        exchange = self.choose_route(call) if self.now >= call.not_before else None
        if exchange is not None and self.send_set_up(call, exchange):
            return
        # A call without prospects is refused or failed at once: no set-up can be sent before its deadline, or
        # it will be late after the release wait, and the gapped processors of its path get no late calls.
        earliest_at = max(self.now, call.not_before)
        no_attempt_left = (
            call.attempts >= self.settings.max_attempts
            or earliest_at >= call.offer.deadline_ms - DEADLINE_MARGIN_MS
        )
        misses_aim = self.misses_aim(call) or earliest_at - call.first_tried_at > call.call_class.aim_ms
        has_waited = earliest_at == self.now and (
            misses_aim or self.now - call.offered_at > MAX_HOLD_SHARE_OF_AIM * call.call_class.aim_ms
        )
        # A call for the own exchange (see may_use_as_tandem) is not held.
        is_for_home = call.offer.destination == self.settings.home
        if (
            is_for_home
            or call.offer.in_transit
            or no_attempt_left
            or has_waited
            or (misses_aim and self.path_is_gapped(call))
        ):
            self.refuse_or_fail(call)
            return
        self.held_calls[call.offer.call] = call
        self.ensure_polling()

    def decide_held_calls(self) -> None:
        """Decide on all held calls: late ones last, then by worth density, then newest first."""
        calls_in_order = sorted(
            self.held_calls.values(),
            key=lambda held_call: (
                self.misses_aim(held_call),
                -self.worth_density(held_call.call_class),
                -held_call.first_tried_at,
            ),
        )
        self.held_calls = {}
        for call in calls_in_order:
            self.decide(call)

    def refuse_or_fail(self, call: CallRecord) -> None:
        """Give a call its one final answer and forget it: a refusal if a redial is harmless, else a failure.

        The first try of the call is kept, to recognise its redial.
        """
        self.refused_transit_calls += call.offer.in_transit
        if not call.offer.in_transit and not call.offer.was_cut:
            self.first_try_times.setdefault(call.offer.number, call.first_tried_at)
        may_refuse = call.call_class.may_be_refused(call.possible_run is not None)
        call_id = call.offer.call
        self.actions.append(Refuse(call_id, self.retry_after_ms(call)) if may_refuse else Fail(call_id))
        self.forget_call(call.offer.call)

    def retry_after_ms(self, call: CallRecord) -> float:
        """Wait after which a redial has better prospects; sent to callers where their protocol carries it.

        By then the gaps and pauses of the destination and of the own processor are over, an unresponsive
        destination may be tested again, and, if no circuit was free, one is on average, by the mean length of
        calls. Limited to MIN_RETRY_AFTER_MS and the longest wait that callers respect.
        """
        exchange = self.exchanges_by_cell.get(call.offer.destination, self.own_processor)
        waits_ms = [
            max(processor.gap.next_set_up_at if processor.gap.interval_ms else 0.0, processor.pause_until)
            - self.now
            for processor in (exchange, self.own_processor)
        ]
        if exchange.is_unresponsive(self.now):
            waits_ms.append(UNRESPONSIVE_MS)
        if exchange.free_circuits < call.offer.width:
            waits_ms.append(call.call_class.holding_ms * call.offer.width / max(exchange.circuits, 1))
        return min(max(MIN_RETRY_AFTER_MS, *waits_ms), self.settings.max_retry_after_ms)

    def forget_call(self, call_id: int) -> None:
        """Remove a call; its outstanding attempt remains with the exchange until it ends."""
        self.calls.pop(call_id, None)
        self.held_calls.pop(call_id, None)
        self.cancellable_set_ups.pop(call_id, None)

    def is_cold(self, exchange: RemoteExchange) -> bool:
        """Whether the processor started so recently that it has not reached its full capacity."""
        return exchange.up_since > 0 and self.now < exchange.up_since + self.settings.cold_ms

    def within_cold_budget(self, exchange: RemoteExchange) -> bool:
        """Whether this proxy's part of a cold processor's budget of set-ups allows one more.

        A cold processor fails if it gets more than `overload_multiple` times its present capacity for
        `overload_ms`, the window. The budget for a window is divided evenly, so that all proxies together
        keep it even if each has a call waiting. A part of one set-up or more is counted over the sliding
        window. A smaller one is used in turns: the time since the start is divided into slots of one window,
        given to the proxies in rotation, one set-up a turn; a sliding window overlaps two slots, so a round
        has twice as many. A restarted proxy does not know what it sent, and waits for a window or the next
        slot. Drawback: few calls arrive in a turn.
        """
        if not self.is_cold(exchange):
            exchange.cold_set_up_times.clear()
            return True
        window_ms = max(self.settings.overload_ms, self.settings.step_ms)
        while exchange.cold_set_up_times and exchange.cold_set_up_times[0] <= self.now - window_ms:
            exchange.cold_set_up_times.popleft()
        slot_index = max(0.0, self.now - exchange.up_since) // window_ms
        warm_up = slot_index * window_ms / self.settings.cold_ms
        capacity_share = self.settings.cold_capacity + (1.0 - self.settings.cold_capacity) * warm_up * warm_up
        total_budget = (
            self.settings.overload_multiple * capacity_share * self.warm_capacity_per_s * window_ms / 1000.0
        )
        own_budget = USED_SHARE_OF_COLD_BUDGET * total_budget / self.settings.proxies
        if own_budget < 1.0:
            turns_per_round = math.ceil(2.0 / max(own_budget, 0.001))
            if (
                int(slot_index) % turns_per_round != self.settings.proxy_index % turns_per_round
                or self.started_at > exchange.up_since + slot_index * window_ms > exchange.up_since
            ):
                return False
        history_is_lost = (
            own_budget >= 1.0
            and self.started_at > exchange.up_since
            and self.now < self.started_at + window_ms
        )
        return not history_is_lost and len(exchange.cold_set_up_times) < max(1, int(own_budget))

    def may_send(self, call: CallRecord, exchange: RemoteExchange) -> bool:
        """Whether all rules allow a set-up of this call to this exchange; `send_set_up` checks it always.

        The call is known, has no outstanding attempt, is not answered, is past its release wait, before its
        deadline and within its attempts. The exchange is not the own one and, in transit, is the destination.
        It and the destination are ready and within their cold budgets. After an attempt that may have run,
        the class's retry policy has to allow another.
        """
        offer, call_class, possible_run = call.offer, call.call_class, call.possible_run
        if offer.call not in self.calls or call.outstanding_address is not None or call.standing:
            return False
        if not call.not_before <= self.now < offer.deadline_ms or call.attempts >= self.settings.max_attempts:
            return False
        if exchange.cell == self.settings.home or (offer.in_transit and exchange.cell != offer.destination):
            return False
        # A tandem call is work for the destination as well.
        for processor in (exchange, self.exchanges_by_cell.get(offer.destination, exchange)):
            if processor.state is not ExchangeState.READY or not self.within_cold_budget(processor):
                return False
        if possible_run is None or call_class.retry_policy is RetryPolicy.ALWAYS:
            return True
        same_cell = exchange.cell == possible_run[1].cell
        in_retry_group = {"all": True, "zone": exchange.zone == possible_run[1].zone}.get(
            call_class.retry_group, same_cell
        )
        return (
            call_class.retry_policy is RetryPolicy.WITHIN_GROUP
            and in_retry_group
            and self.now - possible_run[0] < call_class.retry_window_ms
        )

    def send_set_up(self, call: CallRecord, exchange: RemoteExchange) -> bool:
        """Send a set-up if `may_send` allows it, and count it; the only place that sends one.

        It counts for the gaps and cold budgets of the exchange, the destination and the own processor, and
        for the gap of the number. Returns whether it was sent.
        """
        if not self.may_send(call, exchange):
            return False
        offer = call.offer
        call.outstanding_address = exchange.address
        call.attempts += 1
        call.last_attempt = (self.now, exchange)
        if self.settings.may_cancel and not offer.in_transit:
            self.cancellable_set_ups[offer.call] = self.now
            self.ensure_polling()
        call.possible_run = call.possible_run or call.last_attempt
        destination_exchange = self.exchanges_by_cell[offer.destination]
        for processor in {
            exchange.address: exchange,
            destination_exchange.address: destination_exchange,
            "": self.own_processor,
        }.values():
            processor.gap.record_set_up(self.now)
            processor.set_ups_sent += 1
            if self.is_cold(processor):
                processor.cold_set_up_times.append(self.now)
        number = self.called_numbers.get(offer.number)
        if number is not None:
            number.gap.record_set_up(self.now)
        exchange.outstanding_set_ups[offer.call] = self.own_processor.outstanding_set_ups[offer.call] = (
            exchange.last_set_up_at
        ) = self.own_processor.last_set_up_at = self.now
        exchange.free_circuits -= offer.width
        timeout_ms = max(offer.deadline_ms - self.now - self.settings.step_ms, self.settings.step_ms)
        self.actions.append(SetUp(offer.call, exchange.address, timeout_ms))
        return True

    def log(self, text: str) -> None:
        """Log a line for the operator, up to MAX_LOG_LINES in the life of this controller."""
        if self.log_lines < MAX_LOG_LINES:
            self.log_lines += 1
            self.actions.append(Log(text))
