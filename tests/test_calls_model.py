"""The switchboard with the real decision module: random steps of callers, exchanges and time; rules hold."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mintvalve.core.calls import Attempt, Call, CallState, CallRequest
from mintvalve.core.call_manager import CallManager
from mintvalve.facade import DecisionFacade
from mintvalve.interface import Exchange, ListUpdateKind, Outcome, LoadReport, ExchangeState
from mintvalve.net.loop import Loop
from tests.rig import RIG_SETTINGS, ManualClock

ENDS = st.sampled_from(
    [Outcome.LINE_BUSY, Outcome.NOT_SET_UP, Outcome.UNREACHABLE, Outcome.RESET, Outcome.NOT_SENT]
)
ANSWERS = {"answered", "refused", "failed", "left"}


class Model(RuleBasedStateMachine):
    """It is the callers and the exchanges, and notes what it hears."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.loop = Loop(self.clock)
        self.board = CallManager(RIG_SETTINGS, self.loop)
        self.board.decision_module = DecisionFacade(RIG_SETTINGS, 5, self.loop.now, self.remind)
        self.board.exchange_connections = self
        self.calls: dict[int, Call] = {}
        self.heard: dict[int, list[tuple[str, float]]] = {}
        self.out: dict[int, Attempt] = {}  # by the call's own number
        self.paused: dict[int, float] = {}  # when a call's attempt timed out, was reset or cancelled
        self.state = {f"x{cell}": ExchangeState.READY for cell in range(4)}
        self.list(ListUpdateKind.CACHED)
        for cell in range(1, 4):
            self.board.on_group_state(f"x{cell}", LoadReport(free=9, circuits=9))

    def remind(self, ms: float, token: int) -> None:
        self.loop.call_later(ms, lambda: self.board.on_timer(token))

    def list(self, kind: ListUpdateKind) -> None:
        told = [Exchange(name, int(name[1:]), state, "z") for name, state in self.state.items()]
        self.board.on_exchange_list(told, kind)

    # The exchanges' side.

    def set_up(self, attempt: Attempt) -> None:
        number, now = attempt.call.number, self.clock.ms
        assert number not in self.out, "two attempts out"
        assert self.state[attempt.exchange] is ExchangeState.READY, "to an exchange that drains or is gone"
        assert now >= self.paused.get(number, 0.0) + 250.0, "too soon after what may still hold circuits"
        assert not {"answered", "refused", "failed", "left"} & {word for word, _ in self.heard[number]}
        self.out[number] = attempt

    def cancel_set_up(self, attempt: Attempt) -> None:
        del self.out[attempt.call.number]
        self.paused[attempt.call.number] = self.clock.ms

    def release(self, attempt: Attempt) -> None:
        pass

    # The callers' side.

    def note(self, call: Call, word: str) -> None:
        self.calls[call.number] = call
        self.heard.setdefault(call.number, []).append((word, self.clock.ms))

    def on_accepted(self, call: Call) -> None:
        self.note(call, "taken")

    def on_withdrawn(self, call: Call) -> None:
        self.note(call, "left")

    def on_progress(self, call: Call) -> None:
        self.note(call, "progress")

    def on_answered(self, call: Call, description: bytes | None) -> None:
        self.note(call, "answered")

    def on_refused(self, call: Call, retry_after_ms: float) -> None:
        self.note(call, "refused")

    def on_failed(self, call: Call) -> None:
        self.note(call, "failed")

    def on_released(self, call: Call, cut: bool) -> None:
        self.note(call, "released")

    # The steps.

    @rule(to=st.integers(1, 3), wait=st.integers(20, 4000), dear=st.booleans(), transit=st.booleans())
    def offer(self, to: int, wait: int, dear: bool, transit: bool) -> None:
        kind = "dear" if dear else "plain"
        self.board.offer_call(
            CallRequest(len(self.calls) + 1, kind, f"n{to}", wait, to, tandem=2, in_transit=transit), self
        )

    @rule(pick=st.integers(0, 99), stands=st.booleans())
    def answer(self, pick: int, stands: bool) -> None:
        if self.out:
            attempt = self.out.pop(sorted(self.out)[pick % len(self.out)])
            self.board.on_answer(attempt, b"d")
            if not stands:
                self.board.on_attempt_ended(attempt, Outcome.ENDED)

    @rule(pick=st.integers(0, 99), outcome=ENDS)
    def end(self, pick: int, outcome: Outcome) -> None:
        if self.out:
            attempt = self.out.pop(sorted(self.out)[pick % len(self.out)])
            if outcome is Outcome.RESET:
                self.paused[attempt.call.number] = self.clock.ms
            self.board.on_attempt_ended(attempt, outcome)

    @rule(pick=st.integers(0, 99))
    def leave(self, pick: int) -> None:
        call = self.calls.get(1 + pick % max(len(self.calls), 1))
        if call is not None:
            self.board.on_caller_release(call)

    @rule(cell=st.integers(1, 3), state=st.sampled_from(ExchangeState))
    def change(self, cell: int, state: ExchangeState) -> None:
        self.state[f"x{cell}"] = state
        self.list(ListUpdateKind.FULL)

    @rule(ms=st.sampled_from([1.0, 25.0, 60.0, 300.0, 1500.0]))
    def later(self, ms: float) -> None:
        end = self.clock.ms + ms
        while (due := self.loop.deadlines.next_due_at()) is not None and due <= end:
            self.clock.ms = max(self.clock.ms, due)
            self.loop.deadlines.run_due(self.clock.ms)
        self.clock.ms = end

    # What always holds.

    @invariant()
    def one_final_answer_in_time(self) -> None:
        for number, heard in self.heard.items():
            call = self.calls[number]
            finals = [at for word, at in heard if word in ANSWERS]
            assert len(finals) <= 1, heard
            assert finals or self.clock.ms <= call.accepted_at + call.request.wait_ms, "no answer in time"
            assert all(at <= call.accepted_at + call.request.wait_ms for at in finals)
            releases = [word for word, _ in heard if word == "released"]
            assert len(releases) <= 1 and (not releases or ("answered" in [word for word, _ in heard]))
            assert (call.state is CallState.TRYING) == (number in self.out)
        owed = [each for each in self.calls.values() if each.state in (CallState.HELD, CallState.TRYING)]
        assert self.board.unanswered_calls == len(owed)


Model.TestCase.settings = settings(derandomize=True, deadline=None, max_examples=80, stateful_step_count=40)
TestCallsModel = Model.TestCase
