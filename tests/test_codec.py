"""Tests of the binary codec: messages survive any fragmentation; other bytes raise ProtocolError only."""

import pytest
from hypothesis import given, settings, strategies as st

from mintvalve.net.codec import (
    CALLER_MESSAGE_TYPES,
    EXCHANGE_MESSAGE_TYPES,
    MAX_MESSAGE_BYTES,
    ProtocolError,
    ParameterCode,
    Decoder,
    MessageType,
    Message,
    encode,
    encode_release,
)

MESSAGES = st.builds(
    Message,
    st.sampled_from(MessageType),
    st.integers(0, 2**64 - 1),
    st.dictionaries(st.integers(0, 255), st.binary(max_size=60), max_size=5),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(MESSAGES, max_size=5), st.lists(st.integers(1, 40), min_size=1, max_size=20))
def test_messages_survive_any_fragmentation(messages: list[Message], chunk_sizes: list[int]) -> None:
    data, decoder, decoded = b"".join(map(encode, messages)), Decoder(), list[Message]()
    chunk_index = 0
    while data:
        size = chunk_sizes[chunk_index % len(chunk_sizes)]
        decoded += decoder.feed(data[:size])
        data, chunk_index = data[size:], chunk_index + 1
    assert decoded == messages


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_protocol_error(data: bytes) -> None:
    try:
        for message in Decoder().feed(data):
            (
                message.text(ParameterCode.CALL_CLASS),
                message.integer(ParameterCode.WAIT_MS, 0),
                message.key_values(ParameterCode.ROUTING),
            )
    except ProtocolError:
        pass


def test_release_encoding_matches_the_protocol() -> None:
    assert encode_release(0x7F3A9C21E0B4D655, 16).hex() == "000d0c7f3a9c21e0b4d6553d000110"


@pytest.mark.parametrize(
    "data",
    [
        b"\0\x08",
        b"\0\0",
        b"\xff\xff",
        (MAX_MESSAGE_BYTES - 1).to_bytes(2, "big"),  # up to here: lengths out of range
        b"\0\x0b\x01" + bytes(8) + b"\x21\0",  # truncated parameter header
        b"\0\x0c\x01" + bytes(8) + b"\x21\0\x05",  # truncated parameter value
    ],
)
def test_malformed_message_raises_protocol_error(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        list(Decoder().feed(data))


def test_unexpected_message_type_is_rejected_before_the_message_is_complete() -> None:
    # Guards against noise that announces a long message: the decoder would swallow all that follows.
    for accepted_types, message_type in (
        (CALLER_MESSAGE_TYPES, 123),
        (CALLER_MESSAGE_TYPES, MessageType.ANSWER),
        (EXCHANGE_MESSAGE_TYPES, MessageType.SET_UP),
    ):
        with pytest.raises(ProtocolError):
            list(Decoder(accepted_types).feed(b"\x3f\0" + bytes([message_type])))


@pytest.mark.parametrize("text", ["soon", "nan", "1e9", "٣", "9" * 23, "9" * 400, "+5", "- 5"])
def test_invalid_integer_raises_protocol_error(text: str) -> None:
    # Guards against an integer of 400 digits, which no float holds: the handler failed and sent no answer.
    with pytest.raises(ProtocolError):
        Message(MessageType.SET_UP, 1, {ParameterCode.WAIT_MS: text.encode()}).integer(
            ParameterCode.WAIT_MS, 0
        )


def test_encoding_a_message_above_the_size_limit_fails() -> None:
    with pytest.raises(ValueError):
        encode(Message(MessageType.ANSWER, 1, {ParameterCode.DESCRIPTION: bytes(MAX_MESSAGE_BYTES)}))
