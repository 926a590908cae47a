"""Encoding and decoding of the platform's binary signalling messages.

A message is a 2-byte length of what follows, a 1-byte type, the 8-byte call id, and parameters. A parameter
is a 1-byte code, a 2-byte length and its value. All integers are unsigned and big-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

MAX_MESSAGE_BYTES = 16 * 1024  # including the length field
MAX_INTEGER_DIGITS = 9
MESSAGE_HEADER = struct.Struct(">HBQ")  # length, type, call id
PARAMETER_HEADER = struct.Struct(">BH")  # code, length
HEADER_BYTES_AFTER_LENGTH = MESSAGE_HEADER.size - 2  # type and call id


class MessageType(IntEnum):
    """Message types. RELEASE_COMPLETE acknowledges a RELEASE, TEST_RESULT answers a TEST."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_COMPLETE = 16
    GROUP_STATE = 43
    TEST = 52
    TEST_RESULT = 53


CALLER_MESSAGE_TYPES = frozenset(
    {
        MessageType.SET_UP,
        MessageType.PROGRESS,
        MessageType.RELEASE,
        MessageType.RELEASE_COMPLETE,
        MessageType.TEST,
        MessageType.TEST_RESULT,
    }
)
EXCHANGE_MESSAGE_TYPES = frozenset(MessageType) - {MessageType.SET_UP}


class ParameterCode(IntEnum):
    """Parameter codes."""

    CALL_CLASS = 33
    WAIT_MS = 35
    CALLED_NUMBER = 41
    ROUTING = 43  # key-value pairs: dest, width, via, transit, again
    REFUSAL_REASON = 47
    PAUSE_MS = 49
    LOAD_REPORT = 51  # key-value pairs
    CAUSE = 61  # one byte
    DESCRIPTION = 63


class ReleaseCause(IntEnum):
    """Release causes, with the values of ITU-T Q.850."""

    NORMAL_CLEARING = 16
    USER_BUSY = 17
    NO_CIRCUIT = 34
    TEMPORARY_FAILURE = 41
    CONGESTION = 42
    SIGNALLING_FAULT = 47  # the set-up is malformed or cannot be accepted
    TIMER_EXPIRED = 102  # the set-up was not attempted


class ProtocolError(Exception):
    """The peer violated the protocol; the connection must be closed."""


@dataclass(slots=True)
class Message:
    """One message: its type, the id of its call (0 where it concerns none) and raw parameters by code."""

    message_type: int
    call_id: int
    parameters: dict[int, bytes] = field(default_factory=dict)

    def text(self, code: ParameterCode) -> str:
        """Returns a parameter as text, empty if absent; raises ProtocolError if it is not UTF-8."""
        try:
            return self.parameters.get(code, b"").decode()
        except UnicodeDecodeError as error:
            raise ProtocolError(f"parameter {code} is not UTF-8 text: {error}") from error

    def integer(self, code: ParameterCode, default: int) -> int:
        """Returns a parameter as an integer, `default` if absent or empty; raises as `parse_integer` does."""
        text = self.text(code)
        return parse_integer(text, f"parameter {code}") if text else default

    @property
    def cause(self) -> int:
        """The release cause; -1 if absent or not exactly one byte."""
        value = self.parameters.get(ParameterCode.CAUSE, b"")
        return value[0] if len(value) == 1 else -1

    def key_values(self, code: ParameterCode) -> dict[str, str]:
        """Returns a parameter like "a:1;b:2" as a dict; a part without a colon has an empty value."""
        parts = (part.partition(":") for part in self.text(code).split(";") if part)
        return {name: value for name, _, value in parts}


def parse_integer(text: str, name: str) -> int:
    """Parses a decimal integer of at most MAX_INTEGER_DIGITS digits; raises ProtocolError otherwise.

    `name` names the value in the error. The limit guards against values that a clock or a float cannot hold.
    """
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_INTEGER_DIGITS):
        raise ProtocolError(
            f"{name} must be an integer of at most {MAX_INTEGER_DIGITS} digits, got {text!r:.40}"
        )
    return int(text)


def encode(message: Message) -> bytes:
    """Encodes a message; raises ValueError if it exceeds MAX_MESSAGE_BYTES."""
    body = b"".join(
        PARAMETER_HEADER.pack(code, len(value)) + value for code, value in message.parameters.items()
    )
    data = (
        MESSAGE_HEADER.pack(HEADER_BYTES_AFTER_LENGTH + len(body), message.message_type, message.call_id)
        + body
    )
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"message has {len(data)} bytes, the limit is {MAX_MESSAGE_BYTES}")
    return data


def encode_release(call_id: int, cause: int) -> bytes:
    """Encodes a RELEASE. The same message refuses a set-up, withdraws one and ends a standing call."""
    return encode(Message(MessageType.RELEASE, call_id, {ParameterCode.CAUSE: bytes([cause])}))


def decode(body: bytes) -> Message:
    """Decodes a message from the bytes after its length field, at least HEADER_BYTES_AFTER_LENGTH of them.

    Raises ProtocolError if a parameter is truncated.
    """
    message_type, call_id = struct.unpack_from(">BQ", body)
    message = Message(message_type, call_id)
    offset = HEADER_BYTES_AFTER_LENGTH
    while offset < len(body):
        if offset + PARAMETER_HEADER.size > len(body):
            raise ProtocolError(
                f"parameter header truncated: {len(body) - offset} of {PARAMETER_HEADER.size} bytes present"
            )
        code, length = PARAMETER_HEADER.unpack_from(body, offset)
        offset += PARAMETER_HEADER.size
        if offset + length > len(body):
            raise ProtocolError(f"parameter {code} truncated: {len(body) - offset} of {length} bytes present")
        message.parameters[code] = bytes(body[offset : offset + length])
        offset += length
    return message


class Decoder:
    """Splits a byte stream into messages. `accepted_types` are those that the peer may send."""

    def __init__(self, accepted_types: frozenset[MessageType] = frozenset(MessageType)) -> None:
        self.buffer = bytearray()
        self.accepted_types = accepted_types

    def feed(self, data: bytes) -> Iterator[Message]:
        """Adds received bytes and yields every message that is complete by then, as `messages` does."""
        self.add(data)
        yield from self.messages()

    def add(self, data: bytes) -> None:
        """Adds received bytes."""
        self.buffer += data

    def messages(self) -> Iterator[Message]:
        """Yields every message that is complete.

        Raises ProtocolError on an invalid length or type as soon as those bytes are there, without waiting
        for the rest. Guards against noise that announces a long message, which would swallow what follows.
        """
        while len(self.buffer) >= 2:
            length = int.from_bytes(self.buffer[:2], "big")
            if not HEADER_BYTES_AFTER_LENGTH <= length <= MAX_MESSAGE_BYTES - 2:
                raise ProtocolError(
                    f"message length {length} not in {HEADER_BYTES_AFTER_LENGTH} to {MAX_MESSAGE_BYTES - 2}"
                )
            if len(self.buffer) > 2 and self.buffer[2] not in self.accepted_types:
                raise ProtocolError(f"message type {self.buffer[2]} is not one that this peer may send")
            if len(self.buffer) < 2 + length:
                return
            body = bytes(self.buffer[2 : 2 + length])
            del self.buffer[: 2 + length]
            yield decode(body)
