"""Links to exchanges: what became of standing calls when their exchange fell silent, died or came back."""

from collections.abc import Iterator

import pytest

from mintvalve.interface import Outcome
from mintvalve.core.calls import CancelAttempt, AttemptEnded, CallEvent, Command, SendSetUp
from mintvalve.net.connection import Connection
from mintvalve.net.codec import ReleaseCause, ParameterCode, MessageType, Message, encode, release
from tests.rig import BinaryClient, ScriptedDecisions, Rig


@pytest.fixture
def rig() -> Iterator[Rig]:
    rig = Rig()
    yield rig
    rig.close()


class Patient(ScriptedDecisions):
    """Leaves all to the test."""

    def report(self, news: CallEvent) -> list[Command]:
        return []


def standing(rig: Rig, call: int, to: int = 1) -> BinaryClient:
    """A call that stands by an exchange, and its caller."""
    caller = BinaryClient(rig)
    caller.set_up(call, to)
    rig.run_until(lambda: call in rig.exchange(to).by_call)
    rig.exchange(to).answer(call)
    rig.run_until(lambda: ("answer", f"{call:016x}", b"here") in caller.heard)
    return caller


def test_a_set_up_passes_on_unchanged_but_for_the_wait_left(rig: Rig) -> None:
    caller = BinaryClient(rig)
    caller.set_up(7, wait=3000, called="7f3a")
    rig.run_until(lambda: rig.exchange().by_call)
    message = rig.exchange().heard[-1]
    assert (message.call, message.text(ParameterCode.CLASS), message.text(ParameterCode.CALLED)) == (
        7,
        "plain",
        "7f3a",
    )
    assert message.parameters[ParameterCode.DESCRIPTION] == b"offer\0\xff"
    assert 0 < message.whole(ParameterCode.WAIT, 0) <= 3000


def hang_up(rig: Rig, to: int = 1) -> None:
    """An exchange closes every connection."""
    for connection in list(rig.exchange(to).decoders):
        connection.close_now("closed")


def answered_once(rig: Rig, caller: BinaryClient, call: int) -> None:
    """Nothing has come of the call yet; the exchange answers, and that is all its caller hears."""
    rig.settle()
    assert caller.heard == []
    rig.exchange().answer(call)
    rig.run_until(lambda: caller.heard)
    assert caller.heard == [("answer", f"{call:016x}", b"here")]


def vanish(rig: Rig, to: int = 1) -> None:
    """The machine gives no sign any more: nothing is read, nothing new comes up."""
    stand_in = rig.exchange(to)
    for connection in list(stand_in.decoders):
        rig.loop.watch(connection.sock, 0, connection.ready)
    rig.exchange_links.links[f"x{to}"].address = rig.nowhere()


def test_callers_hear_in_time_of_calls_by_an_exchange_that_vanished(rig: Rig) -> None:
    # Guards against calls left standing: a vanished machine sends no release, and the list tells of it only
    # once it is back. Seen on a fleet day: over at 8.8 s, still standing at 16.8 s.
    caller = standing(rig, 7)
    vanish(rig)
    rig.advance(7900)
    assert ("release", f"{7:016x}", ReleaseCause.TEMPORARY) in caller.heard


def test_stray_words_by_an_old_connection_vouch_for_no_call(rig: Rig) -> None:
    # The rule that broke on days of bad peers: in a cut of 9.5 s a late word about one call came by the old
    # connection after 2.8 s, and another 3.4 s later; each kept all other calls by that exchange standing.
    caller = standing(rig, 7)
    for call in (8, 9):
        standing(rig, call)
    vanish(rig)
    rig.advance(2800)
    rig.exchange().release(8, ReleaseCause.FAULT)
    rig.advance(3400)
    rig.exchange().release(9, ReleaseCause.FAULT)
    rig.advance(1500)
    assert ("release", f"{7:016x}", ReleaseCause.TEMPORARY) in caller.heard and not rig.call_manager.calls


def test_faults_on_what_bad_clients_send_vouch_for_no_call(rig: Rig) -> None:
    # The same cut: set-ups that no exchange can use were turned away within 1 ms all the while.
    caller, bad = standing(rig, 7), BinaryClient(rig)
    vanish(rig)
    for call in range(100, 126):
        rig.advance(250)
        bad.set_up(call)
        rig.run_until(lambda call=call: call in rig.call_manager.by_identity)  # type: ignore[misc]
        rig.exchange().by_call[call] = rig.exchange().by_call[7]
        rig.exchange().release(call, ReleaseCause.FAULT)
    rig.advance(1300)
    assert ("release", f"{7:016x}", ReleaseCause.TEMPORARY) in caller.heard


def test_a_release_of_a_lost_attempt_never_ends_the_next_one() -> None:
    # Seen on a day of bad peers, with releases said until heard: 7 good calls were cut so, and nobody told
    # their callers. The exchange was told that nobody has the call when its answer was lost, then told once
    # more by the next connection, when the second attempt stood.
    rig = Rig(desk=ScriptedDecisions(tries=2))
    caller = BinaryClient(rig)
    rig.decisions.pause = 300.0
    caller.set_up(7)
    rig.run_until(lambda: 7 in rig.exchange().by_call)
    hang_up(rig)
    rig.advance(250)
    rig.run_until(lambda: (MessageType.RELEASE, ReleaseCause.NORMAL) in rig.exchange().kinds(7))
    rig.advance(300)
    rig.run_until(lambda: rig.exchange().kinds(7)[-1][0] == MessageType.SET_UP)
    rig.exchange().answer(7)
    rig.run_until(lambda: ("answer", f"{7:016x}", b"here") in caller.heard)
    hang_up(rig)
    rig.advance(2000)
    assert rig.exchange().kinds(7)[-1][0] == MessageType.SET_UP and 7 in rig.call_manager.by_identity
    rig.close()


def test_a_call_that_outlived_its_connection_is_no_set_up_that_found_none(rig: Rig) -> None:
    # Found by the model of releases: the time limit of the dial that a set-up waited for cut the call that
    # had come of it, where its connection was gone again by then.
    caller = BinaryClient(rig)
    hang_up(rig)
    rig.run_until(lambda: rig.exchange_links.links["x1"].current is None)
    caller.set_up(7)
    rig.run_until(lambda: 7 in rig.call_manager.by_identity)
    rig.advance(100)
    rig.run_until(lambda: 7 in rig.exchange().by_call)
    rig.exchange().answer(7)
    rig.run_until(lambda: ("answer", f"{7:016x}", b"here") in caller.heard)
    hang_up(rig)
    rig.advance(1000)
    assert (
        7 in rig.call_manager.by_identity
        and ("release", f"{7:016x}", ReleaseCause.TEMPORARY) not in caller.heard
    )


def test_a_late_answer_shows_an_exchange_as_of_when_its_set_up_left(rig: Rig) -> None:
    # Its set-up left before the way was cut; the answer was held up, and says nothing of now.
    caller = standing(rig, 7)
    caller.set_up(8, wait=9000)
    rig.run_until(lambda: 8 in rig.exchange().by_call)
    vanish(rig)
    rig.advance(5000)
    rig.exchange().answer(8)
    rig.advance(2500)
    assert ("release", f"{7:016x}", ReleaseCause.TEMPORARY) in caller.heard


def test_a_release_said_to_a_connection_that_was_closing_is_said_by_the_next(rig: Rig) -> None:
    # Guards against circuits that stay taken: the write went through, and nobody read it.
    caller = standing(rig, 7)
    for connection in list(rig.exchange().decoders):
        rig.loop.watch(connection.sock, 0, connection.ready)
    caller.release(7)
    rig.run_until(lambda: not rig.call_manager.calls)
    hang_up(rig)
    rig.advance(200)
    rig.run_until(lambda: (MessageType.RELEASE, ReleaseCause.NORMAL) in rig.exchange().kinds(7))


def test_a_release_on_a_connection_that_is_spoilt_right_after_counts(rig: Rig) -> None:
    # One whole word, then noise, in one read; and one word that the noise swallowed, which comes again.
    caller = standing(rig, 7)
    caller.set_up(8)
    rig.run_until(lambda: 8 in rig.exchange().by_call)
    rig.exchange().answer(8)
    rig.run_until(lambda: ("answer", f"{8:016x}", b"here") in caller.heard)
    rig.exchange().by_call[7].send(release(7, ReleaseCause.NORMAL) + b"\xff" * 40)
    rig.exchange().end_call(8, ReleaseCause.NORMAL)
    rig.advance(200)
    ends = {f"{7:016x}", f"{8:016x}"}
    rig.run_until(lambda: {each[1] for each in caller.heard if each[0] == "release"} == ends)


def test_a_quiet_exchange_that_is_there_keeps_its_calls(rig: Rig) -> None:
    # The counterpart: a quiet link is looked at by a dial, which an exchange that is there lets come up.
    caller = standing(rig, 7)
    rig.advance(9000, step=100.0)
    assert not [each for each in caller.heard if each[0] == "release"]


def test_a_late_word_of_a_new_start_spares_what_stands_by_the_new_process(rig: Rig) -> None:
    # Guards against cutting good calls: the list tells late of a start. On a fleet day 19 calls, set up
    # between the return of a machine and the news of it, were released while they stood.
    start = rig.clock.ms
    rig.clock.ms += 700
    caller = standing(rig, 7)
    rig.set_exchanges(Rig.entry(1, born=start), Rig.entry(2))
    rig.settle()
    assert not [each for each in caller.heard if each[0] == "release"]
    rig.clock.ms += 700
    rig.set_exchanges(Rig.entry(1, born=rig.clock.ms), Rig.entry(2))
    rig.run_until(lambda: ("release", f"{7:016x}", ReleaseCause.TEMPORARY) in caller.heard)


def reset(rig: Rig, to: int = 1) -> None:
    """Every connection of an exchange is reset."""
    for connection in list(rig.exchange(to).decoders):
        connection.sock.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # SO_LINGER 0: close resets
        connection.close_now("reset")


def test_a_process_that_died_ends_what_stood_and_what_was_tried_there(rig: Rig) -> None:
    # A process that dies resets its connections, and nobody listens any more: its calls are cut.
    caller = standing(rig, 7)
    caller.set_up(8)
    rig.run_until(lambda: 8 in rig.exchange().by_call)
    rig.exchange().listener.close()
    reset(rig)
    rig.advance(500)
    assert ("release", f"{7:016x}", ReleaseCause.TEMPORARY) in caller.heard
    ended = {
        each.attempt.call.request.identity: each.outcome
        for each in rig.decisions.news
        if isinstance(each, AttemptEnded)
    }
    assert ended[8] is Outcome.RESET


def test_a_reset_under_a_process_that_lives_on_spares_what_stands(rig: Rig) -> None:
    # Seen on days with bad clients and bad peers: hundreds of good calls were released at each reset.
    caller = standing(rig, 7)
    caller.set_up(8)
    rig.run_until(lambda: 8 in rig.exchange().by_call)
    reset(rig)
    rig.run_until(lambda: ("refused", f"{8:016x}") in caller.heard)
    rig.advance(3000)
    assert rig.exchange().decoders and not [each for each in caller.heard if each[0] == "release"]
    rig.exchange().by_call[7] = next(iter(rig.exchange().decoders))
    rig.exchange().release(7, ReleaseCause.NORMAL)
    rig.run_until(lambda: ("release", f"{7:016x}", ReleaseCause.NORMAL) in caller.heard)


def test_a_quiet_exchange_that_takes_no_new_connections_keeps_its_calls(rig: Rig) -> None:
    # One that drains refuses dials, but its calls go on; a refusal shows that its machine is there.
    caller = standing(rig, 7)
    rig.exchange().listener.close()
    rig.advance(9000, step=100.0)
    assert not [each for each in caller.heard if each[0] == "release"]


def test_without_a_descriptor_for_a_dial_the_program_goes_on(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    caller = BinaryClient(rig)

    def no_socket(*_: object) -> Connection:
        raise OSError(24, "too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(Connection, "dial", no_socket)
        hang_up(rig)
        rig.run_until(lambda: rig.exchange_links.links["x1"].current is None)
        caller.set_up(7)
        rig.run_until(lambda: rig.call_manager.calls)
        rig.advance(600)
        assert caller.heard == [("refused", f"{7:016x}")]
    rig.advance(1100)
    caller.set_up(8)
    rig.run_until(lambda: 8 in rig.exchange().by_call)


def test_a_late_answer_to_an_earlier_attempt_is_not_taken_for_the_next_ones() -> None:
    # Seen on a day of late answers: one came for a call given up on, under the id that was out again at the
    # same exchange; it was passed on, though the call that it spoke of was over.
    rig = Rig(desk=Patient())
    caller = BinaryClient(rig)
    caller.set_up(7)
    rig.run_until(lambda: 7 in rig.exchange().by_call)
    first = rig.exchange().by_call[7]
    number = next(iter(rig.call_manager.calls))
    rig.call_manager.obey([CancelAttempt(number, 0)])
    rig.advance(300)
    rig.call_manager.obey([SendSetUp(number, "x1", 2000.0)])
    rig.advance(100)
    assert rig.exchange().kinds(7).count((MessageType.SET_UP, -1)) == 2
    assert rig.exchange().by_call[7] is not first
    first.send(encode(Message(MessageType.ANSWER, 7, {ParameterCode.DESCRIPTION: b"late"})))
    first.send(release(7, ReleaseCause.NORMAL))
    answered_once(rig, caller, 7)
    rig.close()


def test_a_silent_connection_is_soon_replaced_where_the_exchange_is_there(rig: Rig) -> None:
    # Seen on a day of silent connections: for a second all set-ups went where nobody read them.
    caller = BinaryClient(rig)
    silent = next(iter(rig.exchange().decoders))
    rig.loop.watch(silent.sock, 0, silent.ready)
    caller.set_up(7)
    rig.advance(600)
    caller.set_up(8)
    rig.run_until(lambda: 8 in rig.exchange().by_call)
    assert rig.exchange().by_call[8] is not silent


def test_half_an_answer_ends_its_connection_and_what_is_open_on_it(rig: Rig) -> None:
    # Guards against waiting for the rest until each caller's time is up; the next answer would be read as it.
    caller = BinaryClient(rig)
    for call in (7, 8):
        caller.set_up(call)
    rig.run_until(lambda: len(rig.exchange().by_call) == 2)
    rig.exchange().by_call[7].send(b"\0\x30\x09\0")
    rig.advance(400)
    ended = {
        each.attempt.call.request.identity: each.outcome
        for each in rig.decisions.news
        if isinstance(each, AttemptEnded)
    }
    assert ended == {7: Outcome.RESET, 8: Outcome.RESET}
    # The exchange takes a call for standing whose answer it sent, and keeps its circuits: it is told.
    rig.run_until(
        lambda: all(
            (MessageType.RELEASE, ReleaseCause.NORMAL) in rig.exchange().kinds(call) for call in (7, 8)
        )
    )


@pytest.mark.parametrize(
    "spoilt",
    [
        encode(Message(MessageType.ANSWER, 7)),  # with no description
        encode(Message(MessageType.RELEASE, 7)),
        encode(Message(MessageType.RELEASE, 7, {ParameterCode.CAUSE: b"\x99"})),
        encode(
            Message(MessageType.RELEASE, 7, {ParameterCode.CAUSE: b"\x22", ParameterCode.REPORT: b"x0:nan"})
        ),
        encode(
            Message(MessageType.RELEASE, 7, {ParameterCode.CAUSE: b"\x22", ParameterCode.PAUSE: b"9" * 400})
        ),
        encode(Message(MessageType.SET_UP, 7)),
    ],
)
def test_a_spoilt_answer_is_judged_before_any_of_it_is_passed_on(rig: Rig, spoilt: bytes) -> None:
    caller = BinaryClient(rig)
    caller.set_up(7)
    rig.run_until(lambda: 7 in rig.exchange().by_call)
    rig.exchange().by_call[7].send(spoilt)
    rig.run_until(lambda: caller.heard)
    ended = [each.outcome for each in rig.decisions.news if isinstance(each, AttemptEnded)]
    assert ended == [Outcome.RESET] and caller.heard == [("refused", f"{7:016x}")]


def test_a_second_copy_of_a_refusal_does_not_end_the_next_attempt() -> None:
    # The two come together; the next attempt leaves between them, and is out when the copy is read.
    rig = Rig(desk=ScriptedDecisions(tries=2))
    caller = BinaryClient(rig)
    caller.set_up(7)
    rig.run_until(lambda: 7 in rig.exchange().by_call)
    rig.exchange().by_call[7].send(2 * release(7, ReleaseCause.NO_CIRCUIT))
    rig.run_until(lambda: len(rig.exchange().kinds(7)) == 2)
    answered_once(rig, caller, 7)
    rig.close()


def test_a_release_may_come_on_any_connection_and_from_either_side(rig: Rig) -> None:
    first = standing(rig, 7)
    other = BinaryClient(rig)
    other.release(7)
    rig.run_until(lambda: (MessageType.RELEASE, ReleaseCause.NORMAL) in rig.exchange().kinds(7))
    assert not rig.call_manager.calls
    second = standing(rig, 8)
    second.hang_up()
    rig.settle()
    rig.exchange().release(8, ReleaseCause.NORMAL)
    rig.run_until(
        lambda: any(
            each.call == 8 and each.kind == MessageType.RELEASE for each in [*first.messages, *other.messages]
        )
    )


def test_the_end_of_a_call_of_an_earlier_life_reaches_the_callers(rig: Rig) -> None:
    # After a restart the program knows none of the calls that still stand; their ends concern callers.
    caller = BinaryClient(rig)
    rig.run_until(lambda: rig.exchange().decoders)
    rig.exchange().by_call[99] = next(iter(rig.exchange().decoders))
    rig.exchange().release(99, ReleaseCause.NORMAL)
    rig.run_until(lambda: len(rig.binary_front.releases))
    rig.advance(500)
    rig.run_until(lambda: any(each.call == 99 for each in caller.messages))


def test_an_exchange_at_a_new_address_takes_its_old_calls_with_it(rig: Rig) -> None:
    # Guards against calls that no link knows any more, and which would stand for ever. Found by reading.
    caller = standing(rig, 7)
    rig.exchange_links.update_addresses({"x1": rig.exchange(2).address, "x2": rig.exchange(2).address})
    rig.run_until(lambda: ("release", f"{7:016x}", ReleaseCause.TEMPORARY) in caller.heard)
    assert not rig.call_manager.calls


def test_a_release_of_a_call_that_is_over_goes_to_nobody(rig: Rig) -> None:
    # Both sides may end a call at once: the caller's word then crosses the exchange's.
    caller = standing(rig, 7)
    rig.exchange().release(7, ReleaseCause.NORMAL)
    rig.run_until(lambda: not rig.call_manager.calls)
    caller.release(7)
    caller.release(99)  # of an earlier life: its exchange is not known, so all are told
    rig.run_until(lambda: rig.exchange(2).kinds(99))
    assert MessageType.RELEASE not in [kind for each in rig.exchanges for kind, _ in each.kinds(7)]
