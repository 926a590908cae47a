"""The binary codec: every message survives any cutting of its bytes; other bytes are named, never a crash."""

import pytest
from hypothesis import given, settings, strategies as st

from mintvalve.net.codec import (
    FROM_CALLERS,
    FROM_EXCHANGES,
    MOST,
    ProtocolError,
    ParameterCode,
    Decoder,
    MessageType,
    Message,
    encode,
    release,
)

MESSAGES = st.builds(
    Message,
    st.sampled_from(MessageType),
    st.integers(0, 2**64 - 1),
    st.dictionaries(st.integers(0, 255), st.binary(max_size=60), max_size=5),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(MESSAGES, max_size=5), st.lists(st.integers(1, 40), min_size=1, max_size=20))
def test_messages_survive_any_cutting(messages: list[Message], cuts: list[int]) -> None:
    data, decoder, heard = b"".join(map(encode, messages)), Decoder(), list[Message]()
    place = 0
    while data:
        size = cuts[place % len(cuts)]
        heard += decoder.feed(data[:size])
        data, place = data[size:], place + 1
    assert heard == messages


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_messages_or_bad_bytes(data: bytes) -> None:
    try:
        for message in Decoder().feed(data):
            (
                message.text(ParameterCode.CLASS),
                message.whole(ParameterCode.WAIT, 0),
                message.fields(ParameterCode.FIGURES),
            )
    except ProtocolError:
        pass


def test_the_bytes_are_those_of_the_protocol() -> None:
    assert release(0x7F3A9C21E0B4D655, 16).hex() == "000d0c7f3a9c21e0b4d6553d000110"


@pytest.mark.parametrize(
    "data",
    [
        b"\0\x08",
        b"\0\0",
        b"\xff\xff",
        (MOST - 1).to_bytes(2, "big"),  # lengths that no message has
        b"\0\x0b\x01" + bytes(8) + b"\x21\0",  # half a parameter
        b"\0\x0c\x01" + bytes(8) + b"\x21\0\x05",  # one longer than its message
    ],
)
def test_what_is_no_message_is_bad(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        list(Decoder().feed(data))


def test_a_kind_that_is_never_sent_is_bad_before_its_message_is_whole() -> None:
    # Guards against noise that names a long message: all that follows would be waited for and swallowed.
    for kinds, kind in (
        (FROM_CALLERS, 123),
        (FROM_CALLERS, MessageType.ANSWER),
        (FROM_EXCHANGES, MessageType.SET_UP),
    ):
        with pytest.raises(ProtocolError):
            list(Decoder(kinds).feed(b"\x3f\0" + bytes([kind])))


@pytest.mark.parametrize("text", ["soon", "nan", "1e9", "٣", "9" * 23, "9" * 400, "+5", "- 5"])
def test_a_figure_that_means_nothing_is_bad(text: str) -> None:
    # 400 digits make a whole number that no float takes: the handler failed and its caller heard nothing.
    with pytest.raises(ProtocolError):
        Message(MessageType.SET_UP, 1, {ParameterCode.WAIT: text.encode()}).whole(ParameterCode.WAIT, 0)


def test_no_message_is_longer_than_the_protocol_allows() -> None:
    with pytest.raises(ValueError):
        encode(Message(MessageType.ANSWER, 1, {ParameterCode.DESCRIPTION: bytes(MOST)}))
