"""What is the WebSocket front's own: the handshake, named errors, slow and vanished clients, following."""

import json
from collections.abc import Iterator
from typing import Any

import pytest
from wsproto import events as ws

from mintvalve.net.codec import MessageType
from mintvalve.net.connection import Connection
from mintvalve.net.websocket_front import Options
from tests.rig import BinaryClient, Rig, Client, WebSocketClient

GOOD = {
    "type": "set_up",
    "id": f"{5:016x}",
    "class": "plain",
    "number": "n",
    "wait_ms": 1000,
    "destination": 1,
}


@pytest.fixture
def rig() -> Iterator[Rig]:
    rig = Rig()
    yield rig
    rig.close()


@pytest.mark.parametrize(
    ("more", "status"),
    [
        ({"origin": "http://elsewhere.example"}, 403),
        ({"origin": ""}, 403),
        ({"path": "/other"}, 404),
    ],
)
def test_other_pages_and_paths_are_turned_away(rig: Rig, more: dict[str, str], status: int) -> None:
    caller = WebSocketClient(rig, **more)
    assert caller.rejection_status == status and not caller.is_accepted
    rig.run_until(lambda: caller.is_closed)


class Plain(Client):
    """Speaks no WebSocket."""

    def on_data(self, connection: Connection, data: bytes) -> None:
        self.answer = getattr(self, "answer", b"") + data


@pytest.mark.parametrize(
    "text",
    [
        b"GET /calls HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\x16\x03\x01\x02\0\1\0\r\n\r\n",
    ],
)
def test_what_is_no_websocket_is_told_so(rig: Rig, text: bytes) -> None:
    talker = Plain(rig, rig.websocket_front.listener.address)
    talker.connection.send(text)
    rig.run_until(lambda: talker.is_closed)
    assert talker.answer.startswith(b"HTTP/1.1 4")


ODD: list[tuple[Any, str]] = [
    ("{", "malformed"),
    ("[]", "malformed"),
    ("[" * 5000, "malformed"),
    ("", "malformed"),
    ({"type": "dance"}, "unknown_type"),
    ({}, "unknown_type"),
    ({"type": ["set_up"]}, "unknown_type"),
    ({**GOOD, "class": "nobody"}, "unknown_class"),
    ({**GOOD, "class": 7}, "bad_field"),
    ({**GOOD, "id": "5"}, "bad_field"),
    ({**GOOD, "id": "F" * 16}, "bad_field"),
    ({**GOOD, "id": None}, "bad_field"),
    ({**GOOD, "wait_ms": 0}, "bad_field"),
    ({**GOOD, "wait_ms": True}, "bad_field"),
    ({**GOOD, "wait_ms": 1e400}, "bad_field"),
    ({**GOOD, "destination": "1"}, "bad_field"),
    ({**GOOD, "number": ""}, "bad_field"),
    ({**GOOD, "number": "\ud800"}, "bad_field"),
    ({**GOOD, "number": "n" * 65}, "bad_field"),
    ({**GOOD, "description": "?"}, "bad_field"),
    ({**GOOD, "description": 7}, "bad_field"),
    ({**GOOD, "description": "A" * 20000}, "bad_field"),
    ({**GOOD, "again": 1}, "bad_field"),
    ({**GOOD, "number": "n" * 40000}, "too_large"),
    ({"type": "release", "id": f"{9:016x}"}, "unknown_call"),
    ({"type": "release"}, "bad_field"),
    ({"type": "follow", "id": f"{9:016x}"}, "unknown_call"),
]


@pytest.mark.parametrize(("message", "error"), ODD)
def test_a_message_that_cant_be_served_gets_a_named_error(rig: Rig, message: Any, error: str) -> None:
    caller = WebSocketClient(rig)
    text = message if isinstance(message, str) else json.dumps(message)
    caller.connection.send(caller.websocket.send(ws.TextMessage(text)))
    rig.run_until(lambda: caller.errors)
    assert caller.errors == [error]
    caller.set_up(5)  # and the connection goes on
    rig.run_until(lambda: rig.exchange().connection_by_call)


def test_binary_frames_and_duplicate_ids_get_named_errors(rig: Rig) -> None:
    caller = WebSocketClient(rig)
    caller.connection.send(caller.websocket.send(ws.BytesMessage(b"{}")))
    caller.set_up(5)
    caller.set_up(5)
    rig.run_until(lambda: len(caller.errors) == 2)
    assert caller.errors == ["not_text", "duplicate_id"]


def test_a_refusal_says_when_to_come_back(rig: Rig) -> None:
    caller = WebSocketClient(rig)
    rig.exchange().on_set_up = lambda at, message: at.release(message.call, 34)  # type: ignore[arg-type]
    caller.set_up(5)
    rig.run_until(lambda: caller.messages)
    assert caller.messages == [{"type": "refused", "id": f"{5:016x}", "retry_after_ms": 750}]


def test_a_slow_reader_is_closed_with_a_code_and_its_open_calls_given_up(rig: Rig) -> None:
    caller = WebSocketClient(rig)
    caller.set_up(5)
    rig.run_until(lambda: rig.exchange().connection_by_call)
    rig.loop.watch(caller.connection.sock, 0, caller.connection.on_ready)  # reads no more
    talk = next(iter(rig.websocket_front.sessions.values()))
    call = next(iter(rig.call_manager.calls.values()))
    while talk.connection.is_open:  # the machine's own buffers fill first
        call.caller.on_progress(call)
    assert len(talk.connection.write_buffer) <= 8192 + 200  # bounded, but for the close frame
    rig.run_until(lambda: (MessageType.RELEASE, 16) in rig.exchange().types_and_causes(5))
    assert not rig.call_manager.calls
    rig.loop.watch(caller.connection.sock, 1, caller.connection.on_ready)
    rig.run_until(lambda: caller.close_code)
    assert caller.close_code == 1008


def test_a_client_without_a_sign_of_life_is_taken_to_be_gone(rig: Rig) -> None:
    caller = WebSocketClient(rig)
    caller.set_up(5, wait_ms=60_000)
    rig.run_until(lambda: rig.exchange().connection_by_call)
    rig.loop.watch(caller.connection.sock, 0, caller.connection.on_ready)
    rig.advance(40_100, step_ms=500.0)
    rig.run_until(lambda: not rig.call_manager.calls)


def test_a_client_that_comes_back_follows_its_call_and_hears_of_an_end_it_missed(rig: Rig) -> None:
    first = WebSocketClient(rig)
    for call in (5, 6):
        first.set_up(call)
    rig.run_until(lambda: len(rig.exchange().connection_by_call) == 2)
    for call in (5, 6):
        rig.exchange().answer(call)
    rig.run_until(lambda: len(first.received) == 2)
    first.disconnect()
    rig.run_pending()
    rig.exchange().send(MessageType.RELEASE, 5, {61: b"\x10"})
    rig.run_until(lambda: len(rig.call_manager.calls) == 1)
    second = WebSocketClient(rig)
    second.send(type="follow", id=f"{5:016x}")
    second.send(type="follow", id=f"{6:016x}")
    rig.run_until(lambda: len(second.received) == 2)
    assert second.received == [("release", f"{5:016x}", 16), ("answer", f"{6:016x}", b"here")]
    second.release(6)
    rig.run_until(lambda: (MessageType.RELEASE, 16) in rig.exchange().types_and_causes(6))


def test_calls_of_the_binary_front_are_not_a_clients_to_release(rig: Rig) -> None:
    BinaryClient(rig).set_up(5)
    rig.run_until(lambda: rig.exchange().connection_by_call)
    client = WebSocketClient(rig)
    client.release(5)
    rig.run_until(lambda: client.errors)
    assert client.errors == ["unknown_call"] and len(rig.call_manager.calls) == 1


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("origins = []", "listen"),
        ('listen = "h:1"', "origins"),
        ('listen = "h:1"\norigins = "x"', "origins"),
        ('listen = "h:1"\norigins = []\nping_ms = 0', "ping_ms"),
        ('listen = "h:1"\norigins = []\nx = 0', "x no such key"),
    ],
)
def test_a_file_that_cant_be_used_is_refused_with_the_key(text: str, said: str) -> None:
    with pytest.raises(ValueError, match=said):
        Options.parse(text)


def test_a_client_has_a_whole_span_for_its_handshake_and_no_more(rig: Rig) -> None:
    # Guards against a client that connects just before a ping is due: it was cut off before it had spoken.
    rig.advance(19_900, step_ms=1000.0)
    talker = Plain(rig, rig.websocket_front.listener.address)
    rig.advance(1000)
    assert not talker.is_closed
    rig.advance(20_000, step_ms=1000.0)
    rig.run_until(lambda: talker.is_closed)
