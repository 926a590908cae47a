"""Stateful test of the call manager with the real decision module: random acts of callers and exchanges."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mintvalve.core.calls import Attempt, Call, CallState, CallRequest
from mintvalve.core.call_manager import CallManager
from mintvalve.facade import DecisionFacade
from mintvalve.interface import Exchange, ListUpdateKind, Outcome, LoadReport, ExchangeState
from mintvalve.net.loop import Loop
from tests.rig import RIG_SETTINGS, ManualClock

ATTEMPT_END_OUTCOMES = st.sampled_from(
    [Outcome.LINE_BUSY, Outcome.NOT_SET_UP, Outcome.UNREACHABLE, Outcome.RESET, Outcome.NOT_SENT]
)
FINAL_ANSWERS = {"answered", "refused", "failed", "withdrawn"}


class CallManagerModel(RuleBasedStateMachine):
    """Plays all callers and exchanges, records what they are told, and checks it against the rules."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.loop = Loop(self.clock)
        self.call_manager = CallManager(RIG_SETTINGS, self.loop)
        self.call_manager.decision_module = DecisionFacade(RIG_SETTINGS, 5, self.loop.now, self.set_timer)
        self.call_manager.exchange_connections = self
        self.calls: dict[int, Call] = {}
        self.notifications: dict[int, list[tuple[str, float]]] = {}
        self.outstanding: dict[int, Attempt] = {}  # by `local_id`
        # By `local_id`: when the call's last attempt that may still hold circuits ended.
        self.release_started_at: dict[int, float] = {}
        self.exchange_states = {f"x{cell}": ExchangeState.READY for cell in range(4)}
        self.send_exchange_list(ListUpdateKind.CACHED)
        for cell in range(1, 4):
            self.call_manager.on_group_state(f"x{cell}", LoadReport(free=9, circuits=9))

    def set_timer(self, delay_ms: float, token: int) -> None:
        self.loop.call_later(delay_ms, lambda: self.call_manager.on_timer(token))

    def send_exchange_list(self, kind: ListUpdateKind) -> None:
        listed = [Exchange(name, int(name[1:]), state, "z") for name, state in self.exchange_states.items()]
        self.call_manager.on_exchange_list(listed, kind)

    # The exchanges.

    def set_up(self, attempt: Attempt) -> None:
        local_id, now = attempt.call.local_id, self.clock.ms
        assert local_id not in self.outstanding, "a second attempt while one is outstanding"
        assert self.exchange_states[attempt.exchange] is ExchangeState.READY, (
            "a set-up to an exchange that is draining or gone"
        )
        assert now >= self.release_started_at.get(local_id, 0.0) + 250.0, (
            "a retry while the last attempt may still hold circuits"
        )
        assert not {"answered", "refused", "failed", "withdrawn"} & {
            name for name, _ in self.notifications[local_id]
        }
        self.outstanding[local_id] = attempt

    def cancel_set_up(self, attempt: Attempt) -> None:
        del self.outstanding[attempt.call.local_id]
        self.release_started_at[attempt.call.local_id] = self.clock.ms

    def release(self, attempt: Attempt) -> None:
        pass

    # The callers.

    def record(self, call: Call, notification: str) -> None:
        self.calls[call.local_id] = call
        self.notifications.setdefault(call.local_id, []).append((notification, self.clock.ms))

    def on_accepted(self, call: Call) -> None:
        self.record(call, "accepted")

    def on_withdrawn(self, call: Call) -> None:
        self.record(call, "withdrawn")

    def on_progress(self, call: Call) -> None:
        self.record(call, "progress")

    def on_answered(self, call: Call, description: bytes | None) -> None:
        self.record(call, "answered")

    def on_refused(self, call: Call, retry_after_ms: float) -> None:
        self.record(call, "refused")

    def on_failed(self, call: Call) -> None:
        self.record(call, "failed")

    def on_released(self, call: Call, cut: bool) -> None:
        self.record(call, "released")

    # The steps.

    @rule(
        destination=st.integers(1, 3),
        wait_ms=st.integers(20, 4000),
        dear=st.booleans(),
        in_transit=st.booleans(),
    )
    def offer_call(self, destination: int, wait_ms: int, dear: bool, in_transit: bool) -> None:
        call_class = "dear" if dear else "plain"
        self.call_manager.offer_call(
            CallRequest(
                len(self.calls) + 1,
                call_class,
                f"n{destination}",
                wait_ms,
                destination,
                tandem=2,
                in_transit=in_transit,
            ),
            self,
        )

    @rule(choice=st.integers(0, 99), keep_standing=st.booleans())
    def answer_attempt(self, choice: int, keep_standing: bool) -> None:
        if self.outstanding:
            attempt = self.outstanding.pop(sorted(self.outstanding)[choice % len(self.outstanding)])
            self.call_manager.on_answer(attempt, b"d")
            if not keep_standing:
                self.call_manager.on_attempt_ended(attempt, Outcome.ENDED)

    @rule(choice=st.integers(0, 99), outcome=ATTEMPT_END_OUTCOMES)
    def end_attempt(self, choice: int, outcome: Outcome) -> None:
        if self.outstanding:
            attempt = self.outstanding.pop(sorted(self.outstanding)[choice % len(self.outstanding)])
            if outcome is Outcome.RESET:
                self.release_started_at[attempt.call.local_id] = self.clock.ms
            self.call_manager.on_attempt_ended(attempt, outcome)

    @rule(choice=st.integers(0, 99))
    def release_by_caller(self, choice: int) -> None:
        call = self.calls.get(1 + choice % max(len(self.calls), 1))
        if call is not None:
            self.call_manager.on_caller_release(call)

    @rule(cell=st.integers(1, 3), state=st.sampled_from(ExchangeState))
    def change_exchange_state(self, cell: int, state: ExchangeState) -> None:
        self.exchange_states[f"x{cell}"] = state
        self.send_exchange_list(ListUpdateKind.FULL)

    @rule(ms=st.sampled_from([1.0, 25.0, 60.0, 300.0, 1500.0]))
    def advance(self, ms: float) -> None:
        end = self.clock.ms + ms
        while (next_deadline := self.loop.deadlines.next_due_at()) is not None and next_deadline <= end:
            self.clock.ms = max(self.clock.ms, next_deadline)
            self.loop.deadlines.run_due(self.clock.ms)
        self.clock.ms = end

    # Invariants.

    @invariant()
    def one_final_answer_in_time(self) -> None:
        for local_id, notifications in self.notifications.items():
            call = self.calls[local_id]
            final_answers_at = [at for name, at in notifications if name in FINAL_ANSWERS]
            assert len(final_answers_at) <= 1, notifications
            assert final_answers_at or self.clock.ms <= call.accepted_at + call.request.wait_ms, (
                "no final answer by the end of the caller's wait"
            )
            assert all(at <= call.accepted_at + call.request.wait_ms for at in final_answers_at)
            releases = [name for name, _ in notifications if name == "released"]
            assert len(releases) <= 1 and (
                not releases or ("answered" in [name for name, _ in notifications])
            )
            assert (call.state is CallState.TRYING) == (local_id in self.outstanding)
        unanswered = [
            call for call in self.calls.values() if call.state in (CallState.HELD, CallState.TRYING)
        ]
        assert self.call_manager.unanswered_calls == len(unanswered)


CallManagerModel.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=80, stateful_step_count=40
)
TestCallsModel = CallManagerModel.TestCase
