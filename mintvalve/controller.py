"""The decisions of mintvalve. Types, events and actions: mintvalve/interface.py.

The mechanism is Langlois's call gapping (docs/design.md): first set-ups towards a pressed processor or an
overflowing number keep a gap T, retuned each cycle. Routing is direct first, then the advised tandem, else
the freest first leg, under a protective allowance. One `Controller` serves one signalling proxy; event in,
list of actions out; time comes with the event and randomness from the seed. Times are in milliseconds.
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
    CallClass,
    CallerLeft,
    CallOffered,
    CallAnswered,
    Cancel,
    ClearingCause,
    Event,
    Exchange,
    Fail,
    ListUpdateKind,
    ExchangeListUpdate,
    Log,
    Outcome,
    PeerMessageReceived,
    Probe,
    Refuse,
    RetryPolicy,
    LoadReport,
    LoadReported,
    SetTimer,
    Settings,
    SetUp,
    Started,
    ExchangeState,
    Subscribe,
    SendPeerMessage,
    TimerExpired,
)

CYCLE_MS = 1000.0  # ms; feedback cycle: troubles last ten seconds or so, the design's 2 s is slow
POLL_MS = 25.0  # ms; held calls are looked at again this often while there are any
RHO_T = 0.85  # share; target utilisation of a far processor (paper, 3.3)
RHO_ENGAGE = 1.15  # share; a gap engages at or above this utilisation
RHO_RELEASE = 0.6  # share; and is taken off below this
RHO_MAX = 2 * RHO_T  # share; one cycle doubles T at most: resends hold the figure up, T would run away
FULL_T = 0.05  # share; target of set-ups ending 'processor full' where no load figure is to be had (design)
WAIT_T = 0.2  # share of the shortest aim; processor wait that stands for the target utilisation
T_SPAN = 10.0  # times; T stays under so many T0: a sender still gets through about a third of its calm flow
RATE_GAIN = 0.05  # share a cycle; weight of a new rate in the calm one, which holds for some twenty cycles
NO_NEWS = 0.6  # times; a gap whose target sent no news for a cycle shrinks so
FLAT = 0.25  # share of the target; an end without any wait is taken to be here, so that T falls fast
OMEGA_ENGAGE = 2  # calls a cycle; busy outcomes at which gapping of a number starts
OMEGA_T = 1.0  # calls a cycle; target of busy outcomes for a gapped number: its lines stay nearly all in use
RATE_MIN = 0.25  # calls a second; a gapped number is still tried this often, to see it free again
T0_RATES = 3.0  # T0 without a reported capacity is one over so many times the own recent rate there (design)
LOST_DELAYS = 4.0  # mean deviations over the usual delay; a later answer is overdue (as in TCP)
LOST_MS = 150.0  # ms; and no sooner
LOST_GAIN = 0.04  # share; weight of one more set-up in the share that is lost
LOST_ON = 0.03  # share; from here on an overdue answer is taken to be lost, below it to be slow
GIVE_UPS = 3  # attempts; later ones are waited for
CREDIT = 5.0  # gaps; how far a class worth much more than the least may run ahead of the release time
ALLOWANCE = 0.45  # times the root of a group's size: circuits kept for direct calls against tandem calls
STALL_MS = 100.0  # ms; the own timers ring so late only if this proxy stood still
STALE_MS = 3000.0  # ms; load figures older than this are not believed
CYCLE_GAIN = 0.25  # share; weight of a cycle's figure in a smoothed one
ASKED = 0.02  # share; a hold-back asked for that is smaller is noise
DELAY_GAIN = 0.2  # share; weight of a new set-up delay in the smoothed one
SILENT_MS = 1500.0  # ms; an end that left a set-up unanswered this long and said nothing since is silent
SILENT_RUN = 3  # set-ups; so many in a row timed out without any word in between make an end silent, too
SILENT_DELAYS = 4.0  # times the smoothed delay, if longer: a slow but living end is not silent
FULL_PAUSE_MS = 200.0  # ms; nothing new towards a processor for this long after it said 'full'
ANSWER_MS = 40.0  # ms; a held call is answered this long before its deadline
OWN_TIMES = 2.0  # times the own calls a second: capacity of a processor where none is reported
COLD_SAFETY = 0.8  # share of the cold budget that is used: capacity is judged, not known
HOLD = 0.2  # share of the aim; a blocked call waits so long for a circuit or a gap, then the caller redials
AWAY_MS = 250.0  # ms; a caller that is turned away is asked to stay away so long at the least
BACK_MS = 2000.0  # ms; a tandem that turned a call back is passed over for that destination this long, and
BACK_TIMES = 16.0  # times; doubled with each further one up to so many times: it may have no group there
HAIRPIN = 0.5  # share of a group's circuits; with less free no call goes out on it to come back
LOOKS = 12  # tandems; a blocked call looks at so many, from a moving start: bounded work in a large fleet
ASK_RATE = 4.0  # a second; probes, and likewise words of peers, to one processor from all proxies together
TELL_TAG = b"nc"  # first bytes of a message between proxies; others are passed over
RING_CYCLE, RING_POLL, RING_LIST = 0, 1, 2  # tokens of the own timers
KEEP_LINES = 200  # log lines over an instance's life


class CallGap:
    """A call gap: off while T is 0, else a minimum time between first set-ups to one target."""

    def __init__(self) -> None:
        self.t = self.floor = self.release = 0.0
        self.ceiling = math.inf

    def engage(self, now: float, t0: float, most: float = math.inf) -> None:
        """Start at T0 (1), which is also the floor; T stays under `most` times T0."""
        self.t = self.floor = max(t0, 1.0)
        self.ceiling = most * self.floor
        self.release = now

    def passes(self, now: float, credit: float) -> bool:
        """The release time has come, or is no more than `credit` gaps ahead."""
        return self.t == 0.0 or now >= self.release - credit * self.t

    def take(self, now: float) -> None:
        """A set-up was sent: the release time moves on by T; what ran ahead on credit is paid back."""
        if self.t:
            self.release = max(now, self.release) + self.t

    def retune(self, now: float, t_new: float) -> None:
        """A new gap, and (4): pending release times shrink or stretch with it."""
        t_new = min(max(t_new, self.floor), self.ceiling)
        self.release = now + max(0.0, self.release - now) * t_new / self.t
        self.t = t_new

    def by_ratio(self, now: float, rho: float) -> None:
        """(2), for processors."""
        self.retune(now, self.t * min(rho, RHO_MAX) / RHO_T)

    def by_rate(self, now: float, omega: float, cycle_ms: float) -> None:
        """(3), for lines."""
        rate = 1.0 / self.t + (OMEGA_T - omega) / cycle_ms  # z = 1 (design)
        self.retune(now, 1.0 / max(rate, RATE_MIN / 1000.0))


class RemoteExchange:
    """What this proxy knows of one exchange's processor and of the own group towards it."""

    def __init__(self, entry: Exchange) -> None:
        self.address, self.cell, self.zone = entry.address, entry.cell, entry.zone
        self.title = f"exchange {entry.cell}" if entry.address else "own processor"
        self.state, self.born = ExchangeState.READY, entry.born_ms
        self.free = math.inf  # until told
        self.free_at = -math.inf  # when it was
        self.circuits = 0
        self.gap = CallGap()
        self.report, self.report_at = LoadReport(), -math.inf
        self.delay, self.delay_at = 0.0, -math.inf
        self.sent = self.fulls = self.run = 0
        self.rate = self.full_share = 0.0
        self.out: dict[int, float] = {}  # call -> when its set-up went out
        self.overdue: dict[int, float] = {}  # the same of those that were called off unanswered
        self.heard = self.last_sent = self.pause_until = self.asked = -math.inf
        self.back: dict[int, tuple[float, float]] = {}  # destination -> passed over until, and for how long
        self.cold_log: deque[float] = deque()
        self.room_map, self.told_map_at = 0, -math.inf  # its proxy's word: bit n, room towards exchange n

    def hear(self, now: float, report: LoadReport) -> None:
        """Figures of the group (true now) and of the processor (late)."""
        if report.free is not None:
            self.free, self.free_at = report.free, now
        self.circuits = self.circuits if report.circuits is None else report.circuits
        if (report.utilisation, report.wait_ms, report.capacity, report.hold_back) != (None,) * 4:
            self.report, self.report_at = report, now

    def answered(self, now: float, elapsed: float) -> None:
        """A set-up delay of this exchange's own; old knowledge does not weigh on it."""
        fresh = now - self.delay_at < STALE_MS
        self.delay = self.delay + DELAY_GAIN * (elapsed - self.delay) if fresh else elapsed
        self.delay_at = now

    def lag(self, now: float, fresh_ms: float) -> float:
        """Set-up delay to expect: the smoothed one while fresh, or, speaking sooner, the oldest one's age."""
        age = now - next(iter(self.out.values()), now)
        return max(age, self.delay if now - self.delay_at < fresh_ms else 0.0)

    def alive(self, now: float, call: int = -1) -> list[int]:
        """A word from this end. Processors work in turn: older set-ups still out were overtaken, are lost or
        stuck beyond this processor, so they say nothing of it. Guards against lost set-ups, tandem calls to a
        hung end, and one hung end pressing the own processor; could hide a class of work that waits alone."""
        self.heard, self.run = now, 0
        sent = self.out.pop(call, -math.inf)
        passed = [each for known in (self.overdue, self.out) for each, since in known.items() if since < sent]
        for each in passed:
            self.overdue.pop(each, None)
            self.out.pop(each, None)
        return passed

    def silent(self, now: float) -> bool:
        """A set-up is out unanswered for long, or a run of them timed out, and nothing was heard since.
        Guards against hung, crashed and cut-off ends, which the list shows late or never; the run keeps the
        state up once the first batch has timed out. Could hurt a far end that is only very slow."""
        if self.run >= SILENT_RUN or not self.out:
            return self.run >= SILENT_RUN
        since = max(next(iter(self.out.values())), self.heard)
        return now - since > max(SILENT_MS, SILENT_DELAYS * self.delay)

    def rho(self, now: float, own_part: float, wait_t: float) -> float:
        """Utilisation: reported, else another figure, else the own set-up delay, else the full share."""
        if self.silent(now):
            return RHO_T  # its gap stays; trials are paced by their answers
        # One figure acts once: taken again each cycle, a bad one stretched T to its ceiling, and behind a
        # long T no new one came. Could hurt where figures come seldom: T then drifts down and is set again.
        fresh = self.report if now - self.report_at < CYCLE_MS else LoadReport()
        if fresh.utilisation is not None:
            return fresh.utilisation
        lag = self.lag(now, CYCLE_MS)
        wait = max(0.0, lag - own_part) if lag else None
        if fresh.capacity:
            wait = 1000.0 / fresh.capacity  # what it can take next says how far it is behind
        wait = wait if fresh.wait_ms is None else fresh.wait_ms
        by_wait = 0.0 if wait is None else RHO_T * (FLAT + (1 - FLAT) * wait / wait_t)
        if fresh.hold_back is not None:  # a late 0 does not deny the delay that is seen
            most = max(1.0 - fresh.hold_back, RHO_T / RHO_MAX)
            return max(RHO_T / most if fresh.hold_back > ASKED else RHO_T / 2, by_wait)
        if wait is not None:
            return by_wait
        return RHO_T * (self.full_share / FULL_T if self.sent else NO_NEWS)


class CalledNumber:
    """A number called: its busy outcomes and offers in this cycle, and its gap."""

    def __init__(self) -> None:
        self.busy = self.offers = 0
        self.gap = CallGap()


class CallRecord:
    """A call held or out, until its one final answer."""

    def __init__(self, offer: CallOffered, kind: CallClass, began: float, now: float) -> None:
        self.offer, self.kind, self.began, self.came = offer, kind, began, now
        self.attempts, self.standing, self.not_before = 0, False, now
        self.tried: set[str] = set()
        self.out: str | None = None
        self.sent: tuple[float, RemoteExchange] | None = None  # the latest attempt
        self.ran: tuple[float, RemoteExchange] | None = None  # the first that may have run


class Controller:
    """The call controller of one signalling proxy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        times = (settings.release_wait_ms, settings.drain_grace_ms, settings.cold_ms, settings.fall_ms)
        counts = (settings.proxies, len(settings.classes), settings.max_attempts)
        if min(times) < 0 or min(counts) < 1 or settings.step_ms <= 0:
            raise ValueError("settings: negative time, no step, or no proxy, class or attempt")
        self.set = settings
        self.random = Random(seed)
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.fars: dict[str, RemoteExchange] = {}
        self.by_cell: dict[int, RemoteExchange] = {}
        self.via: dict[int, str] = {}  # destination -> the tandem over which a call stood last
        self.tandems: list[RemoteExchange] = []
        self.turn_ms = 1000.0 * settings.proxies / ASK_RATE - CYCLE_MS / 2  # between probes, or words
        self.turned = int(not settings.pools)  # calls in transit turned back since the last word to the peers
        self.own = RemoteExchange(
            Exchange("", settings.home, ExchangeState.READY)
        )  # the own processor, seen through its delays
        self.full_ends: set[str] = set()  # far ends that said 'full' in this cycle,
        self.good_ends: set[str] = set()  # and those that set a call up
        self.calls: dict[int, CallRecord] = {}
        self.held: dict[int, CallRecord] = {}
        self.numbers: dict[str, CalledNumber] = {}
        self.first_tries: dict[str, float] = {}  # number -> first try of a call that was turned away
        self.longest = max(kind.deadline_ms for kind in settings.classes)
        self.actions: list[Action] = []
        self.now = -math.inf
        self.started = self.polling = False
        self.began = self.awake = self.told_at = -math.inf
        self.brisk_at = -math.inf  # when a call stood within the calm delay and the wait aimed at
        self.due = math.inf  # when the next cycle is to begin
        self.patience: dict[str, float] = {}  # class -> longest time that a caller of it was seen to leave us
        self.warm_capacity = OWN_TIMES
        self.lines = self.offered = self.look = 0
        self.own_rate = self.lost = 0.0  # own calls a second; share of set-ups lost though their end works
        self.calm = 0.0  # mean delay of all ends while the own gap is off
        self.usual, self.spread = LOST_MS, LOST_MS / 2  # delays of all ends: mean, mean deviation
        self.flying: dict[int, float] = {}  # call -> when its set-up went out, oldest first
        self.takers: dict[type, Callable[[Any], None]] = {
            Started: self.on_start,
            ExchangeListUpdate: self.on_list,
            CallOffered: self.on_call,
            CallAnswered: self.on_stands,
            AttemptEnded: self.on_ended,
            LoadReported: self.on_report,
            TimerExpired: self.on_timer,
            PeerMessageReceived: self.on_peer,
            CallerLeft: lambda gone: self.drop(gone.call),
        }
        self.wait_t = WAIT_T * min((kind.aim_ms for kind in settings.classes if kind.aim_ms > 0), default=1e3)
        self.least_worth = min(kind.worth for kind in settings.classes)
        self.least_density = min(self.density(kind) for kind in settings.classes)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event; the actions are to be carried out in order."""
        if now < self.now:
            raise ValueError(f"time ran backwards: {now} after {self.now}")
        if not (self.started or isinstance(event, Started)):
            raise ValueError("the first event of an instance must be Started")
        if now > self.due + STALL_MS:
            # The own proxy stood still: ages and delays that span it say nothing of far ends, and calls that
            # came meanwhile have waited. Covers any halt of the host; could hide one slow answer at its end.
            self.awake = now
            for far in [*self.fars.values(), self.own]:
                far.out = dict.fromkeys(far.out, now)
            self.flying = dict.fromkeys(self.flying, now)
        self.now, self.actions = now, []
        take = self.takers.get(type(event))
        if take is not None:
            take(event)
        return self.actions

    def on_start(self, _: Started) -> None:
        self.started, self.began = True, self.now
        self.next_cycle(CYCLE_MS * (0.5 + self.random.random()))
        self.told_at = self.now - self.turn_ms * self.random.random()  # not all at once
        if self.set.subscribe:
            self.actions.append(Subscribe())

    def next_cycle(self, wait: float) -> None:
        self.actions.append(SetTimer(wait, RING_CYCLE))
        self.due = self.now + wait

    def on_list(self, news: ExchangeListUpdate) -> None:
        if news.kind is ListUpdateKind.FAILED:
            self.actions.append(SetTimer(CYCLE_MS * (1 + self.random.random()), RING_LIST))
            return
        named = {entry.address for entry in news.exchanges}
        for entry in news.exchanges:
            far = self.fars.setdefault(entry.address, RemoteExchange(entry))
            if entry.born_ms != far.born:  # a new process: what was learnt of the old one is void
                far.alive(self.now)
                far.gap, far.delay_at, far.report_at, far.pause_until = (
                    CallGap(),
                    -math.inf,
                    -math.inf,
                    -math.inf,
                )
                far.full_share = 0.0
            far.state, far.born, far.cell, far.zone = entry.state, entry.born_ms, entry.cell, entry.zone
        if news.kind is not ListUpdateKind.CHANGES:
            for address, far in self.fars.items():
                if address not in named and far.state is ExchangeState.READY:
                    far.state = ExchangeState.GONE
        self.fars = {
            each: far for each, far in self.fars.items() if far.state is not ExchangeState.GONE or far.out
        }
        self.by_cell = {}
        for far in self.fars.values():
            if far.state is ExchangeState.READY or far.cell not in self.by_cell:
                self.by_cell[far.cell] = far
        self.tandems = [far for far in self.by_cell.values() if far.cell != self.set.home]

    def on_call(self, offer: CallOffered) -> None:
        kind = self.kinds.get(offer.call_class) or self.set.classes[0]
        began = self.now
        if not offer.in_transit and not offer.was_cut:
            # A redial is known by its number: its aim runs from the first try, and unmarked ones are met too.
            began = self.first_tries.get(offer.number, self.now)
            if offer.redialled and began == self.now:
                began -= kind.aim_ms / 2  # first try unknown: another proxy life
        left = offer.deadline_ms - self.now
        usual = self.patience[kind.name] = max(left, self.patience.get(kind.name, left))
        began = min(began, self.now - usual + left) if self.now == self.awake else began
        call = self.calls[offer.call] = CallRecord(offer, kind, began, self.now)
        self.numbers.setdefault(offer.number, CalledNumber()).offers += 1
        self.offered += not offer.in_transit
        self.decide(call)

    def on_stands(self, event: CallAnswered) -> None:
        far, call = self.fars.get(event.address), self.calls.get(event.call)
        if far is not None:
            self.word_from(far, event.call)
            self.good_ends.add(event.address)
            if event.elapsed_ms < self.calm + self.wait_t:
                self.brisk_at = self.now
            if call is not None and far.cell == call.offer.destination and self.now > self.awake:
                far.answered(self.now, event.elapsed_ms)
                self.spread += DELAY_GAIN / 2 * (abs(event.elapsed_ms - self.usual) - self.spread)
                self.usual += DELAY_GAIN / 2 * (event.elapsed_ms - self.usual)
        self.flying.pop(event.call, None)
        if call is not None:
            call.standing = True
            if far is not None and far.cell != call.offer.destination:
                self.via[call.offer.destination] = far.address
                far.back.pop(call.offer.destination, None)

    def on_ended(self, event: AttemptEnded) -> None:
        far, call = self.fars.get(event.address), self.calls.get(event.call)
        outcome, clearing = event.outcome, event.clearing
        if far is not None:
            far.hear(self.now, event.report)
            if outcome in (Outcome.ENDED, Outcome.LINE_BUSY, Outcome.NOT_SET_UP):
                self.word_from(far, event.call)
            sent = far.out.pop(event.call, self.now)
            self.own.out.pop(event.call, None)
            direct = call is not None and far.cell == call.offer.destination
            if direct and outcome is Outcome.CANCELLED:
                far.overdue[event.call] = sent
            if direct and outcome is Outcome.TIMED_OUT and far.heard > sent:
                self.lost += LOST_GAIN * (1.0 - self.lost)
            if direct and outcome in (Outcome.TIMED_OUT, Outcome.UNREACHABLE) and self.now > self.awake:
                for each in (far, self.own):  # it counts if nothing was heard since it went out
                    each.run += each.heard < self.now - event.elapsed_ms
            if direct and outcome is Outcome.RESET and call is not None and call.standing:
                far.run = SILENT_RUN  # a standing call was cut: redials come before any news
            if outcome is Outcome.NOT_SENT and clearing == ClearingCause.PROCESSOR_FULL:
                self.own.run = SILENT_RUN  # the own processor is down
            if clearing == ClearingCause.TURNED_BACK_BEYOND_FULL and call is not None:
                self.on_full(self.by_cell.get(call.offer.destination, far), event.wait_ms)
            elif clearing == ClearingCause.PROCESSOR_FULL and outcome is Outcome.NOT_SET_UP:
                self.on_full(far, event.wait_ms)
        if call is None or call.out != event.address:
            return
        call.out = None
        if outcome is Outcome.UNREACHABLE and far is not None and far.free_at < self.now - event.elapsed_ms:
            far.free += call.offer.width  # it took no circuits, and no news of the group will say so
        self.flying.pop(event.call, None)
        if outcome is Outcome.LINE_BUSY and clearing == ClearingCause.NUMBER_BUSY and not event.ended:
            self.numbers.setdefault(call.offer.number, CalledNumber()).busy += 1
            self.answer(call)
            return
        if event.ended or call.standing:
            self.drop(event.call)
            return
        if outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            call.not_before = self.now + self.set.release_wait_ms + self.set.step_ms
        if outcome in (Outcome.NOT_SET_UP, Outcome.UNREACHABLE, Outcome.NOT_SENT) and call.ran == call.sent:
            call.ran = None  # this attempt provably never ran, and none before it may have
        if far is not None and (far.cell != call.offer.destination or outcome is Outcome.UNREACHABLE):
            call.tried.add(event.address)
            if self.via.get(call.offer.destination) == event.address:
                del self.via[call.offer.destination]  # another tandem next time
            if clearing == ClearingCause.TURNED_BACK:
                self.turned_back(far, call.offer.destination)
        if outcome is Outcome.NOT_SENT:
            call.not_before = max(call.not_before, self.now + POLL_MS)
        if call.offer.in_transit:
            self.answer(call)
            return
        self.decide(call)

    def word_from(self, far: RemoteExchange, call: int) -> None:
        """A set-up was answered, and direct ones before it were found lost; the share is that of all ends."""
        self.own.alive(self.now, call)
        passed = [self.calls[each] for each in far.alive(self.now, call) if each in self.calls]
        for was in [1.0 for each in passed if each.offer.destination == far.cell] or [0.0]:
            self.lost += LOST_GAIN * (was - self.lost)

    def turned_back(self, far: RemoteExchange, to: int) -> None:
        """A tandem has no circuit to this destination: for now, or, with each time more likely, never."""
        wait = far.back.get(to, (0.0, BACK_MS / 2))[1] * 2
        far.back[to] = (self.now + min(wait, BACK_MS * BACK_TIMES), min(wait, BACK_MS * BACK_TIMES))

    def on_full(self, far: RemoteExchange, wait: float) -> None:
        """A processor was full: the far one, or the own one, which turns set-ups to every end away alike. The
        own one is meant when in one cycle more ends said 'full' than set a call up (some always are at
        size) and none stood briskly for a cycle: a full processor is quick with nothing. Else slow
        far ends tried again and again close the own gate, and too few calls go to clear it. Could hurt
        when an own processor stops from one moment to the next: it is then blamed a cycle later."""
        self.full_ends.add(far.address)
        if 1 < len(self.full_ends) > len(self.good_ends) and self.now - self.brisk_at > CYCLE_MS:
            far, wait = self.own, 0.0
        far.fulls += 1
        far.pause_until = max(far.pause_until, self.now + max(FULL_PAUSE_MS, min(wait, CYCLE_MS)))

    def on_report(self, event: LoadReported) -> None:
        far = self.fars.get(event.address)
        if far is not None:
            before = far.free
            far.hear(self.now, event.report)
            if far.free > before and self.held:
                self.serve_held()

    def tell_room(self) -> None:
        """Tell all peers towards which exchanges this one has circuits to spare for calls in transit."""
        spare = [far for far in self.tandems if far.free > self.allowance(far) and not far.silent(self.now)]
        room = sum(1 << far.cell for far in spare)
        self.actions.append(
            SendPeerMessage(-1, TELL_TAG + room.to_bytes(room.bit_length() // 8 + 1, "little"))
        )
        self.turned, self.told_at = 0, self.now

    def on_peer(self, event: PeerMessageReceived) -> None:
        """A peer's word on its own groups; messages of another form or sender are passed over."""
        far = self.by_cell.get(event.sender)
        if far is not None and event.content.startswith(TELL_TAG):
            far.room_map = int.from_bytes(event.content[len(TELL_TAG) :], "little")
            far.told_map_at = self.now

    def on_timer(self, event: TimerExpired) -> None:
        if event.token == RING_CYCLE:
            self.cycle()
            self.next_cycle(CYCLE_MS)
        elif event.token == RING_POLL:
            self.polling = False
            self.give_up()
            self.serve_held()
            self.keep_polling()
        elif event.token == RING_LIST and self.set.subscribe:
            self.actions.append(Subscribe())

    def keep_polling(self) -> None:
        if not self.polling and (self.held or (self.flying and self.lost > LOST_ON)):
            self.polling = True
            self.actions.append(SetTimer(POLL_MS, RING_POLL))

    def give_up(self) -> None:
        """Call off set-ups whose answer is overdue, once each, while another try can still make the aim.
        Guards against answers and set-ups lost on the way, and a tandem that stands still. Acts while set-ups
        are seen lost at working ends; not towards slow or silent ends, where it is only more work."""
        overdue = self.now - max(LOST_MS, self.usual + LOST_DELAYS * self.spread)
        wait = self.set.release_wait_ms + self.set.step_ms + self.usual
        while self.flying and next(iter(self.flying.values())) <= overdue and self.lost > LOST_ON:
            name = next(iter(self.flying))
            del self.flying[name]
            call = self.calls.get(name)
            if call is None or call.sent is None or call.attempts >= GIVE_UPS:
                continue
            ends = (call.sent[1], self.by_cell.get(call.offer.destination, self.own), self.own)
            pressed = any(far.gap.t or far.silent(self.now) for far in ends)
            if not pressed and self.now + wait - call.began < call.kind.aim_ms:
                self.actions.append(Cancel(name, call.attempts - 1))

    def own_part(self) -> float:
        """The part of set-up delays that every far end shows: the own processor and the way."""
        fresh = [far.delay for far in self.fars.values() if self.now - far.delay_at < CYCLE_MS]
        return min(fresh) if len(fresh) > 1 else 0.0

    def cycle(self) -> None:
        own = self.own_part()
        seconds = CYCLE_MS / 1000.0
        self.own_rate += (CYCLE_GAIN if self.own_rate else 1.0) * (self.offered / seconds - self.own_rate)
        self.offered = 0
        self.own.delay, self.own.delay_at = own, self.now
        if not self.own.gap.t:  # a slow day does not become the usual one
            self.calm += (RATE_GAIN if self.calm else 1.0) * (self.usual - self.calm)
        self.full_ends, self.good_ends = set(), set()
        told = [rate for far in self.fars.values() if (rate := far.report.capacity) and not self.cold(far)]
        self.warm_capacity = sum(told) / len(told) if told else OWN_TIMES * max(self.own_rate, 1.0)
        for far in [*self.fars.values(), self.own]:
            if not far.gap.t:
                far.rate += RATE_GAIN * (far.sent / seconds - far.rate)
            share = min(1.0, far.fulls / far.sent) if far.sent else 0.0
            far.full_share += CYCLE_GAIN * (share - far.full_share)
            if far is self.own:
                self.tune(far, self.calm)
            elif far.cell != self.set.home and far.state is ExchangeState.READY:
                self.tune(far, own)
                heard = self.set.reports_in_answers and self.now - far.report_at < CYCLE_MS
                wanted = far.gap.t or (far.sent and not self.set.reports_in_answers)
                # Each probe is work there: in a large fleet, one a cycle from every proxy jams the processor.
                if self.set.may_probe and wanted and not heard and self.now - far.asked >= self.turn_ms:
                    far.asked = self.now
                    self.actions.append(Probe(far.address))
            far.sent = far.fulls = 0
        if self.set.may_tell and self.turned and self.now - self.told_at >= self.turn_ms:
            self.tell_room()
        while self.first_tries and next(iter(self.first_tries.values())) < self.now - self.longest:
            del self.first_tries[next(iter(self.first_tries))]
        for name in list(self.numbers):
            number = self.numbers[name]
            gap = number.gap
            if gap.t:
                if number.busy == 0 and gap.t <= gap.floor and number.offers <= 1:
                    gap.t = 0.0
                else:
                    gap.by_rate(self.now, number.busy, CYCLE_MS)
            elif number.busy >= OMEGA_ENGAGE:
                gap.engage(self.now, CYCLE_MS / (T0_RATES * max(number.offers, 1)))
                self.log(f"crowded number: gap on, {number.offers} offered, {number.busy} busy")
            number.busy = number.offers = 0
            if not gap.t:
                del self.numbers[name]

    def tune(self, far: RemoteExchange, own: float) -> None:
        """Engage, retune or take off the gap of one processor."""
        rho = far.rho(self.now, own, self.wait_t)
        if far.gap.t:
            if rho < RHO_RELEASE and far.gap.t <= far.gap.floor:
                far.gap.t = 0.0
                self.log(f"{far.title}: gap off")
            else:
                far.gap.by_ratio(self.now, rho)
        elif rho >= RHO_ENGAGE:
            even = self.own_rate / (1 if far is self.own else max(len(self.tandems), 1))
            flow = T0_RATES * max(far.rate, even / 2, RATE_MIN / len(self.fars or "1"))
            far.gap.engage(self.now, 1000.0 / min(flow, far.report.capacity or flow), T_SPAN)
            self.log(f"{far.title}: gap on, load {rho:.2f}")

    def density(self, kind: CallClass) -> float:
        """Worth for each circuit and second held."""
        return kind.worth / (max(kind.width, 1) * max(kind.holding_ms, 1.0))

    def late(self, call: CallRecord) -> bool:
        """Can't stand in its aim any more, counted from the caller's first try, with the far end's delay."""
        far = self.by_cell.get(call.offer.destination)
        delay = far.lag(self.now, STALE_MS) if far is not None else 0.0
        return self.now + delay - call.began > call.kind.aim_ms

    def pressed(self, call: CallRecord) -> bool:
        """Its destination's processor or the own one is gapped: late calls keep off it."""
        return bool(self.own.gap.t or self.by_cell.get(call.offer.destination, self.own).gap.t)

    def allowance(self, far: RemoteExchange, kind: CallClass | None = None) -> int:
        """Circuits of a group kept for direct calls; a class of more worth per circuit leaves fewer."""
        ratio = self.density(kind) / self.least_density if kind else 1.0
        return round(ALLOWANCE * math.sqrt(max(far.circuits, 1)) / ratio) + 1

    def gate(self, call: CallRecord, far: RemoteExchange) -> bool:
        """May a first set-up go towards this processor now?"""
        if self.now < far.pause_until:
            return False
        if far.silent(self.now) and (far.out or self.now - far.last_sent < SILENT_MS):
            return False
        credit = CREDIT * (1.0 - self.least_worth / call.kind.worth) if call.kind.worth > 0 else 0.0
        if far is self.own:
            young = self.now - SILENT_MS
            if sum(at > young for at in far.out.values()) >= self.window() + credit:
                return False
        return far.gap.passes(self.now, credit)

    def window(self) -> float:
        """So many set-ups of this proxy may be out unanswered at once: what its rate sends in the calm delay
        and the wait aimed at, less by the square of what delays exceed that. Between cycles sends so go by
        answers: guards against a slowdown of all processors or of the own one, a surge, and a gap that starts
        too wide. Set-ups overtaken by a later one's answer, or out for SILENT_MS, do not count: hung or
        cut-off ends close nothing. Could hurt where the rate jumps: held calls then wait for an answer."""
        rate, most = max(self.own.rate, self.own_rate), self.calm + self.wait_t
        part = min(1.0, most / max(self.usual, 1.0)) ** 2
        return max(1.0, rate * most / 1000.0 * part) if rate else math.inf

    def route(self, call: CallRecord) -> RemoteExchange | None:
        """Direct, else the advised tandem, else the freest first leg; each processor's gate is passed."""
        offer = call.offer
        direct = self.by_cell.get(offer.destination)
        if direct is None or not self.gate(call, direct) or not self.gate(call, self.own):
            return None
        number = self.numbers.get(offer.number)
        if number is not None and not number.gap.passes(self.now, 0.0):
            return None
        if offer.in_transit:
            return direct if direct.free >= call.offer.width + self.allowance(direct, call.kind) else None
        late = self.late(call)
        if late and self.pressed(call):
            return None  # a quarter of the worth does not pay for work of a pressed processor
        keep = self.allowance(direct, call.kind) if late else 0
        if direct.free >= call.offer.width + keep and self.allowed(call, direct):
            return direct
        if late or direct.silent(self.now):
            return None
        advised = self.by_cell.get(offer.tandem)
        for known in (advised, self.fars.get(self.via.get(offer.destination, ""))):
            if known is not None and self.as_tandem(call, known):
                return known
        best: RemoteExchange | None = None
        for _ in range(min(LOOKS, len(self.tandems))):
            self.look = (self.look + 1) % len(self.tandems)
            far = self.tandems[self.look]
            if (best is None or far.free > best.free) and self.as_tandem(call, far):
                best = far
        return best

    def as_tandem(self, call: CallRecord, far: RemoteExchange) -> bool:
        """May this call try this tandem, or pool of second choice?"""
        to = call.offer.destination
        foreign = self.set.pools and far.cell not in call.kind.pools
        if far.cell == to or far.address in call.tried or foreign:
            return False
        if self.now < far.back.get(to, (-math.inf, 0.0))[0] or far.gap.t or self.cold(far):
            return False
        # A caller of a proxy that is down may come here with a call for the own exchange. It can only go
        # out over a tandem and back on the same group, on circuits and work of two calls: where much is free.
        if to == self.set.home and far.free < max(HAIRPIN * far.circuits, 2 * call.offer.width):
            return False
        if self.now - far.told_map_at < self.turn_ms + STALE_MS and not far.room_map >> to & 1:
            return False  # its own proxy says that it has no circuit to spare there
        return (
            far.free >= call.offer.width + self.allowance(far, call.kind)
            and self.gate(call, far)
            and not far.silent(self.now)
            and self.allowed(call, far)
        )

    def decide(self, call: CallRecord) -> None:
        """Send, hold or answer."""
        if self.now >= call.offer.deadline_ms - ANSWER_MS:
            self.answer(call)
            return
        far = self.route(call) if self.now >= call.not_before else None
        if far is not None and self.issue(call, far):
            return
        # Given up on, so answered at once whatever it waits for: no set-up can leave before its deadline, or
        # it will be late once its release is over while its ends keep late calls off.
        ready = max(self.now, call.not_before)
        over = call.attempts >= self.set.max_attempts or ready >= call.offer.deadline_ms - ANSWER_MS
        late = self.late(call) or ready - call.began > call.kind.aim_ms
        waited = ready == self.now and (late or self.now - call.came > HOLD * call.kind.aim_ms)
        # A call for the own exchange (see as_tandem) is not waited for.
        here = call.offer.destination == self.set.home
        if here or call.offer.in_transit or over or waited or (late and self.pressed(call)):
            self.answer(call)
            return
        self.held[call.offer.call] = call
        self.keep_polling()

    def serve_held(self) -> None:
        """Held calls, worthiest first, those in their aim before the late ones."""
        order = sorted(self.held.values(), key=lambda c: (self.late(c), -self.density(c.kind), -c.began))
        self.held = {}
        for call in order:
            self.decide(call)

    def answer(self, call: CallRecord) -> None:
        """The one final answer of this side: refused where that is allowed, else failed."""
        self.turned += call.offer.in_transit
        if not call.offer.in_transit and not call.offer.was_cut:
            self.first_tries.setdefault(call.offer.number, call.began)
        grouped = call.kind.repeat is RetryPolicy.WITHIN_GROUP and call.kind.repeat_group == "all"
        refusable = call.kind.repeat is RetryPolicy.ALWAYS or call.ran is None or grouped
        name = call.offer.call
        self.actions.append(Refuse(name, self.stay_away(call)) if refusable else Fail(name))
        self.drop(call.offer.call)

    def stay_away(self, call: CallRecord) -> float:
        """When another try may fare better: gaps and pauses on its way are over, and, where no circuit was
        free, one has come back by the calls' mean length. Told to callers where the protocol can say it."""
        far = self.by_cell.get(call.offer.destination, self.own)
        waits = [
            max(each.gap.release if each.gap.t else 0.0, each.pause_until) - self.now
            for each in (far, self.own)
        ]
        if far.silent(self.now):
            waits.append(SILENT_MS)
        if far.free < call.offer.width:
            waits.append(call.kind.holding_ms * call.offer.width / max(far.circuits, 1))
        return min(max(AWAY_MS, *waits), self.set.longest_away_ms)

    def drop(self, call_id: int) -> None:
        self.calls.pop(call_id, None)
        self.held.pop(call_id, None)
        self.flying.pop(call_id, None)

    def cold(self, far: RemoteExchange) -> bool:
        return far.born > 0 and self.now < far.born + self.set.cold_ms

    def cold_room(self, far: RemoteExchange) -> bool:
        """Own part of the cold budget: by count over the sliding window, or by turns where it is under one.
        In turns, slots of a window each go round by this proxy's number, one set-up a turn; a sliding window
        meets two slots, so a round has twice the slots. All proxies together keep the budget even if a call
        waits at each. A restarted proxy forgot what it sent and waits. Could hurt: few calls meet a turn."""
        if not self.cold(far):
            far.cold_log.clear()
            return True
        window = max(self.set.fall_ms, self.set.step_ms)
        while far.cold_log and far.cold_log[0] <= self.now - window:
            far.cold_log.popleft()
        slot = max(0.0, self.now - far.born) // window
        age = slot * window / self.set.cold_ms
        share = self.set.cold_capacity + (1.0 - self.set.cold_capacity) * age * age
        whole = self.set.fall_multiple * share * self.warm_capacity * window / 1000.0
        part = COLD_SAFETY * whole / self.set.proxies
        if part < 1.0:
            turns = math.ceil(2.0 / max(part, 0.001))
            if int(slot) % turns != self.set.me % turns or self.began > far.born + slot * window > far.born:
                return False
        forgot = part >= 1.0 and self.began > far.born and self.now < self.began + window
        return not forgot and len(far.cold_log) < max(1, int(part))

    def allowed(self, call: CallRecord, far: RemoteExchange) -> bool:
        """All guards of the rules, for one set-up; nothing is sent past them."""
        offer, kind, ran = call.offer, call.kind, call.ran
        if offer.call not in self.calls or call.out is not None or call.standing:
            return False
        if not call.not_before <= self.now < offer.deadline_ms or call.attempts >= self.set.max_attempts:
            return False
        if far.cell == self.set.home or (offer.in_transit and far.cell != offer.destination):
            return False
        for each in (far, self.by_cell.get(offer.destination, far)):  # a tandem call ends there too
            if each.state is not ExchangeState.READY or not self.cold_room(each):
                return False
        if ran is None or kind.repeat is RetryPolicy.ALWAYS:
            return True
        in_cell = far.cell == ran[1].cell
        same = {"all": True, "zone": far.zone == ran[1].zone}.get(kind.repeat_group, in_cell)
        return kind.repeat is RetryPolicy.WITHIN_GROUP and same and self.now - ran[0] < kind.repeat_window_ms

    def issue(self, call: CallRecord, far: RemoteExchange) -> bool:
        """The only place a set-up leaves from."""
        if not self.allowed(call, far):
            return False
        offer = call.offer
        call.out = far.address
        call.attempts += 1
        call.sent = (self.now, far)
        if self.set.may_cancel and not offer.in_transit:
            self.flying[offer.call] = self.now
            self.keep_polling()
        call.ran = call.ran or call.sent
        direct = self.by_cell[offer.destination]
        for each in {far.address: far, direct.address: direct, "": self.own}.values():
            each.gap.take(self.now)
            each.sent += 1
            if self.cold(each):
                each.cold_log.append(self.now)
        number = self.numbers.get(offer.number)
        if number is not None:
            number.gap.take(self.now)
        far.out[offer.call] = self.own.out[offer.call] = far.last_sent = self.own.last_sent = self.now
        far.free -= offer.width
        timeout = max(offer.deadline_ms - self.now - self.set.step_ms, self.set.step_ms)
        self.actions.append(SetUp(offer.call, far.address, timeout))
        return True

    def log(self, text: str) -> None:
        if self.lines < KEEP_LINES:
            self.lines += 1
            self.actions.append(Log(text))
