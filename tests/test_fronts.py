"""The same scripted calls over binary signalling and over WebSocket get the same answers."""

import gc
from collections.abc import Callable, Iterator

import pytest

from mintvalve.core.calls import Call, AttemptEnded
from mintvalve.interface import Outcome
from mintvalve.net.codec import ReleaseCause, ParameterCode, MessageType, Message
from mintvalve.net.connection import Connection, ConnectionState, Listener
from tests.rig import (
    BinaryClient,
    CallingClient,
    ScriptedDecisions,
    Rig,
    FakeExchange,
    Client,
    WebSocketClient,
)

FRONTS: list[type[CallingClient]] = [BinaryClient, WebSocketClient]
TEMPORARY, NORMAL = int(ReleaseCause.TEMPORARY), int(ReleaseCause.NORMAL)


@pytest.fixture
def rig() -> Iterator[Rig]:
    rig = Rig(decisions=ScriptedDecisions(max_attempts=2))
    yield rig
    rig.close()


def by_number(stand_in: FakeExchange, message: Message) -> None:
    """What a stand-in depot switch does is told by the number called."""
    call = message.call
    match message.text(ParameterCode.CALLED):
        case "free":
            stand_in.send(MessageType.PROGRESS, call)
            stand_in.answer(call, b"room\0\xfe")
        case "full":
            stand_in.release(call, ReleaseCause.NO_CIRCUIT, "group_full")
        case "busy":
            stand_in.release(call, ReleaseCause.BUSY, "user_busy")
        case "moot":
            stand_in.release(call, ReleaseCause.MOOT)
        case "cut":
            stand_in.answer(call)
            stand_in.release(call, ReleaseCause.TEMPORARY)
        case "short":
            stand_in.answer(call)
            stand_in.release(call, ReleaseCause.NORMAL)


SCRIPT: dict[str, list[tuple[object, ...]]] = {
    "free": [("progress",), ("answer", b"room\0\xfe")],
    "full": [("refused",)],
    "busy": [("refused",)],
    "moot": [("refused",)],
    "cut": [("answer", b"here"), ("release", TEMPORARY)],
    "short": [("answer", b"here"), ("release", NORMAL)],
    "silent": [("refused",)],
}


def play(rig: Rig, caller: CallingClient, first_id: int) -> dict[str, list[tuple[object, ...]]]:
    """All calls of the script at once; what was heard of each, without its id."""
    ids = {number: first_id + place for place, number in enumerate(SCRIPT)}
    for number, call in ids.items():
        caller.set_up(call, called=number, wait_ms=1500)
    rig.run_pending()
    rig.advance(1600)
    names = {f"{call:016x}": number for number, call in ids.items()}
    heard: dict[str, list[tuple[object, ...]]] = {number: [] for number in SCRIPT}
    for kind, name, *more in caller.received:
        heard[names[str(name)]].append((kind, *more))
    return heard


def test_scripted_calls_get_the_same_answers_over_both_fronts(rig: Rig) -> None:
    rig.exchange().on_set_up = by_number
    played = [play(rig, front(rig), 100 * (place + 1)) for place, front in enumerate(FRONTS)]
    assert played[0] == played[1] == SCRIPT
    heard = [each for each in rig.exchange().received if each.kind == MessageType.SET_UP]
    sent = [
        sorted(
            (
                each.text(ParameterCode.CLASS),
                each.text(ParameterCode.CALLED),
                each.parameters[ParameterCode.DESCRIPTION],
            )
            for each in heard
            if each.call // 100 == place
        )
        for place in (1, 2)
    ]
    assert sent[0] == sent[1]


@pytest.mark.parametrize("front", FRONTS)
class TestEachFront:
    """One rule at a time, over each front."""

    def test_a_refusal_comes_at_once_and_only_once(self, rig: Rig, front: type[CallingClient]) -> None:
        rig.exchange().on_set_up = by_number
        caller = front(rig)
        caller.set_up(5, called="full", wait_ms=3000)
        rig.run_until(lambda: caller.received)  # the clock stands still: nothing waited for a deadline
        rig.advance(4000)
        assert caller.received == [("refused", f"{5:016x}")]

    def test_a_silent_exchange_is_answered_for_before_the_caller_gives_up(
        self, rig: Rig, front: type[CallingClient]
    ) -> None:
        caller = front(rig)
        caller.set_up(5, wait_ms=1000)
        rig.run_until(lambda: rig.exchange().connection_by_call)
        rig.advance(995, step_ms=5.0)
        assert caller.received == [("refused", f"{5:016x}")]
        assert rig.exchange().types_and_causes(5)[-1] == (MessageType.RELEASE, ReleaseCause.NORMAL)

    def test_after_a_reset_the_next_attempt_waits(self, rig: Rig, front: type[CallingClient]) -> None:
        """A desk that sends again at once is held back by the core, whichever front the call came by."""
        caller = front(rig)
        caller.set_up(5)
        rig.run_until(lambda: rig.exchange().connection_by_call)
        rig.exchange().release(5, ReleaseCause.TEMPORARY)
        rig.run_until(lambda: caller.received)
        assert [each.outcome for each in rig.decisions.events if isinstance(each, AttemptEnded)] == [
            Outcome.RESET,
            Outcome.NOT_SENT,
        ]
        assert [kind for kind, _ in rig.exchange().types_and_causes(5)] == [MessageType.SET_UP]

    def test_a_caller_that_leaves_mid_attempt_cancels_it(self, rig: Rig, front: type[CallingClient]) -> None:
        caller = front(rig)
        caller.set_up(5)
        rig.run_until(lambda: rig.exchange().connection_by_call)
        caller.disconnect()
        rig.run_until(lambda: (MessageType.RELEASE, NORMAL) in rig.exchange().types_and_causes(5))
        assert not rig.call_manager.calls and rig.call_manager.unanswered_calls == 0
        ended = [each for each in rig.decisions.events if isinstance(each, AttemptEnded)]
        assert [(each.outcome, each.ended) for each in ended] == [(Outcome.CANCELLED, True)]

    def test_a_standing_call_outlives_its_connection(self, rig: Rig, front: type[CallingClient]) -> None:
        caller = front(rig)
        rig.exchange().on_set_up = by_number
        caller.set_up(5, called="free")
        rig.run_until(lambda: len(caller.received) == 2)
        caller.disconnect()
        rig.run_pending()
        assert len(rig.call_manager.calls) == 1 and (
            MessageType.RELEASE,
            NORMAL,
        ) not in rig.exchange().types_and_causes(5)

    def test_a_set_up_given_up_is_answered_no_more(self, rig: Rig, front: type[CallingClient]) -> None:
        caller = front(rig)
        caller.set_up(5)
        rig.run_until(lambda: rig.exchange().connection_by_call)
        caller.release(5)
        rig.run_until(lambda: (MessageType.RELEASE, NORMAL) in rig.exchange().types_and_causes(5))
        rig.exchange().answer(5)
        rig.advance(3000)
        assert caller.received == []

    def test_a_duplicate_id_from_another_caller_leaves_the_first_call_alone(
        self, rig: Rig, front: type[CallingClient]
    ) -> None:
        caller, other = front(rig), front(rig)
        caller.set_up(5)
        rig.run_until(lambda: rig.exchange().connection_by_call)
        other.set_up(5, called="another")
        rig.run_until(lambda: other.received or (isinstance(other, WebSocketClient) and other.errors))
        rig.exchange().answer(5)
        rig.run_until(lambda: caller.received)
        assert caller.received == [("answer", f"{5:016x}", b"here")]
        assert [kind for kind, _ in rig.exchange().types_and_causes(5)] == [MessageType.SET_UP]

    def test_what_no_call_can_ask_for_is_an_error_and_goes_no_further(
        self, rig: Rig, front: type[CallingClient]
    ) -> None:
        # Seen on a rude day: set-ups with id 0 went on, and exchanges closed the connection with all on it.
        for call, to, wait in ((0, 1, 3000), (6, 99, 3000), (7, 1, 10**9 - 1), (8, -3, 3000)):
            caller = front(rig)
            caller.set_up(call, to, wait)
            rig.run_until(
                lambda: (
                    caller.received  # noqa: B023
                    or caller.is_closed  # noqa: B023
                    or (isinstance(caller, WebSocketClient) and caller.errors)  # noqa: B023
                )
            )
            assert [each[0] for each in caller.received] in ([], ["failed"])
        assert not rig.exchange().connection_by_call and not rig.call_manager.calls

    def test_a_set_up_that_comes_as_the_program_ends_is_refused_at_once(
        self, rig: Rig, front: type[CallingClient]
    ) -> None:
        # Seen on a day with restarts: taken between the last answers and the exit, and lost with it.
        caller = front(rig)
        caller.set_up(5)
        rig.run_until(lambda: rig.exchange().connection_by_call)
        rig.call_manager.refuse_open_calls()
        caller.set_up(6)
        rig.run_until(lambda: len(caller.received) == 2)
        assert caller.received == [("refused", f"{5:016x}"), ("refused", f"{6:016x}")]
        assert (
            not rig.call_manager.calls
            and rig.call_manager.unanswered_calls == 0
            and 6 not in rig.exchange().connection_by_call
        )

    def test_a_desk_that_falls_silent_or_fails_does_not_cost_the_answer(
        self, rig: Rig, front: type[CallingClient]
    ) -> None:
        pick: Callable[..., list[object]] = lambda call: []  # noqa: E731
        rig.decisions.pick = pick  # type: ignore[assignment, method-assign]
        caller = front(rig)
        caller.set_up(5, wait_ms=1000)
        rig.run_pending()
        rig.advance(990, step_ms=5.0)
        assert caller.received == [("refused", f"{5:016x}")]


class Silent(Client):
    """Connects and says nothing."""

    def on_data(self, connection: Connection, data: bytes) -> None:
        raise AssertionError("nothing was asked")


@pytest.mark.parametrize("front", FRONTS)
class TestPlaces:
    """Connections are bounded in number and time, and callers get in all the same."""

    @staticmethod
    def listener(rig: Rig, front: type[CallingClient]) -> Listener:
        return rig.binary_front.listener if front is BinaryClient else rig.websocket_front.listener

    def test_callers_that_keep_their_connection_for_good_make_room(
        self, rig: Rig, front: type[CallingClient]
    ) -> None:
        # Seen on a churn day: 128 callers had asked once and stayed, and nobody else came in.
        listener = self.listener(rig, front)
        listener.max_connections = 3
        rig.exchange().on_set_up = by_number
        for call in range(1, 9):
            caller = front(rig)
            caller.set_up(call, called="free")
            rig.run_until(lambda: len(caller.received) == 2)  # noqa: B023
            rig.advance(300)
        assert len(listener.connections) <= 3 and not caller.is_closed

    def test_a_caller_that_waits_for_its_answer_is_not_turned_out(
        self, rig: Rig, front: type[CallingClient]
    ) -> None:
        self.listener(rig, front).max_connections = 2
        first = front(rig)
        first.set_up(5, called="nobody answers")
        rig.run_until(lambda: rig.exchange().connection_by_call)
        rig.advance(300)
        for _ in range(3):
            Silent(rig, self.listener(rig, front).address)
            rig.advance(300)
        rig.exchange().answer(5)
        rig.run_until(lambda: first.received)
        assert not first.is_closed

    def test_silent_connections_go_in_time_and_make_room_before(
        self, rig: Rig, front: type[CallingClient]
    ) -> None:
        listener = self.listener(rig, front)
        listener.max_connections = 4
        silent = [Silent(rig, listener.address) for _ in range(8)]  # the last ones wait in the queue
        rig.advance(600)
        caller = front(rig)
        rig.exchange().on_set_up = by_number
        caller.set_up(5, called="free")
        rig.run_until(lambda: caller.received)
        rig.advance(2600)
        assert all(each.is_closed for each in silent) and not caller.is_closed

    def test_what_is_never_whole_is_closed(self, rig: Rig, front: type[CallingClient]) -> None:
        # A message in part, and each second another byte of it.
        caller = front(rig)
        caller.connection.send(b"\0\x40\1" if front is BinaryClient else b"\x01\x81\0\0\0\0x")
        for _ in range(3):
            rig.advance(1000)
            caller.connection.send(b"\0" if front is BinaryClient else b"\x00\x81\0\0\0\0x")
        rig.run_until(lambda: caller.is_closed or caller.connection.state is ConnectionState.CLOSED)


def test_a_burst_of_one_caller_leaves_turns_to_the_others(rig: Rig) -> None:
    # Hundreds of set-ups at once: without turns, all of them go before the next caller's.
    many, one = BinaryClient(rig), BinaryClient(rig)
    for call in range(1, 201):
        many.set_up(call)
    one.set_up(999)
    rig.run_until(lambda: 999 in rig.exchange().connection_by_call)
    order = [each.call for each in rig.exchange().received if each.kind == MessageType.SET_UP]
    rig.run_until(lambda: len(rig.exchange().connection_by_call) == 201)
    assert order.index(999) < 150


def test_a_second_set_up_under_the_id_of_an_open_call_ends_its_connection(rig: Rig) -> None:
    # No answer could tell the two apart. Seen on a rude day: 200 of them at once, and no word to any.
    caller = BinaryClient(rig)
    caller.set_up(5)
    caller.set_up(5, called="another")
    rig.run_until(lambda: caller.is_closed)
    rig.run_until(lambda: not rig.call_manager.calls)


def test_a_caller_is_not_cut_off_with_an_open_set_up_however_many_others_fail(rig: Rig) -> None:
    # Seen on a day with restarts: callers of another controller came over with calls that end here, and
    # each eighth of those ended a connection with good set-ups open on it.
    caller = BinaryClient(rig)
    caller.set_up(500)
    for call in range(1, 20):
        caller.set_up(call, call_class="nothing")
    rig.run_until(lambda: len(caller.received) == 19)
    rig.exchange().answer(500)
    rig.run_until(lambda: ("answer", f"{500:016x}", b"here") in caller.received)


def test_a_release_waits_for_a_caller_that_means_it(rig: Rig) -> None:
    # Guards against telling the end of a call to a client that only holds a connection.
    caller = BinaryClient(rig)
    caller.set_up(5)
    rig.run_until(lambda: rig.exchange().connection_by_call)
    rig.exchange().answer(5)
    rig.run_until(lambda: caller.received)
    caller.disconnect()
    rig.run_until(lambda: not rig.binary_front.sessions)
    stranger = BinaryClient(rig)
    rig.run_until(lambda: rig.binary_front.sessions)
    next(iter(rig.binary_front.sessions.values())).host = "elsewhere"
    rig.exchange().release(5, ReleaseCause.NORMAL)
    rig.run_until(lambda: len(rig.binary_front.releases))
    again = BinaryClient(rig)
    rig.run_until(lambda: again.received)
    assert (
        again.received == [("failed", f"{5:016x}")] and not stranger.received
    )  # this caller knows no such call


def test_a_caller_that_comes_again_and_again_with_what_cant_be_taken_is_closed(rig: Rig) -> None:
    caller = BinaryClient(rig)
    for call in range(1, 400):
        caller.set_up(call, call_class="nothing")
    rig.run_until(lambda: caller.is_closed)
    assert 0 < len(caller.received) <= 8 and {each[0] for each in caller.received} == {"failed"}


@pytest.mark.parametrize("kind", [BinaryClient, WebSocketClient])
def test_a_call_that_is_over_leaves_nothing_to_collect(rig: Rig, kind: type[CallingClient]) -> None:
    # Guards against memory that only a collection over everything frees.
    caller = kind(rig)
    rig.exchange().on_set_up = lambda stand_in, message: stand_in.answer(message.call)
    gc.collect()
    gc.disable()
    try:
        for call in (5, 6, 7):
            caller.set_up(call)
            rig.run_until(lambda call=call: call in rig.call_manager.by_identity)  # type: ignore[misc]
            rig.run_until(lambda call=call: ("answer", f"{call:016x}", b"here") in caller.received)  # type: ignore[misc]
        rig.exchange().end_call(5, ReleaseCause.NORMAL)
        caller.release(6)
        rig.run_until(lambda: rig.call_manager.by_identity.keys() == {7})
        rig.exchange_links.update_addresses({})
        rig.run_until(lambda: not rig.call_manager.by_identity)
        rig.decisions.events.clear()
        rig.advance(2500, step_ms=250.0)
        assert [each for each in gc.get_objects() if isinstance(each, Call)] == []
    finally:
        gc.enable()
