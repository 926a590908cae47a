"""The platform's binary messages: bytes to messages and back, nothing else."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

MOST = 16 * 1024  # bytes; no message is longer
MOST_DIGITS = 9
HEAD = struct.Struct(">HBQ")
PARAMETER = struct.Struct(">BH")
AFTER_LENGTH = HEAD.size - 2  # bytes of type and call


class MessageType(IntEnum):
    """Types of messages."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_HEARD = 16
    GROUP_STATE = 43
    TEST = 52
    TESTED = 53


FROM_CALLERS = frozenset(
    {
        MessageType.SET_UP,
        MessageType.PROGRESS,
        MessageType.RELEASE,
        MessageType.RELEASE_HEARD,
        MessageType.TEST,
        MessageType.TESTED,
    }
)
FROM_EXCHANGES = frozenset(MessageType) - {MessageType.SET_UP}


class ParameterCode(IntEnum):
    """Codes of parameters."""

    CLASS = 33
    WAIT = 35
    CALLED = 41
    FIGURES = 43
    NOTE = 47
    PAUSE = 49
    REPORT = 51
    CAUSE = 61
    DESCRIPTION = 63


class ReleaseCause(IntEnum):
    """Release causes."""

    NORMAL = 16
    BUSY = 17
    NO_CIRCUIT = 34
    TEMPORARY = 41
    CONGESTION = 42
    FAULT = 47
    MOOT = 102


class ProtocolError(Exception):
    """Bytes that are no message; the connection can't go on."""


@dataclass(slots=True)
class Message:
    """One message; parameters by code."""

    kind: int
    call: int
    parameters: dict[int, bytes] = field(default_factory=dict)

    def text(self, code: ParameterCode) -> str:
        """A parameter as text, empty where absent."""
        try:
            return self.parameters.get(code, b"").decode()
        except UnicodeDecodeError as fault:
            raise ProtocolError(f"parameter {code} is not text") from fault

    def whole(self, code: ParameterCode, default: int) -> int:
        """A parameter as a whole number."""
        text = self.text(code)
        return whole(text, f"parameter {code}") if text else default

    @property
    def cause(self) -> int:
        value = self.parameters.get(ParameterCode.CAUSE, b"")
        return value[0] if len(value) == 1 else -1

    def fields(self, code: ParameterCode) -> dict[str, str]:
        """A parameter of the form a:1;b:2."""
        pairs = (part.partition(":") for part in self.text(code).split(";") if part)
        return {name: value for name, _, value in pairs}


def whole(text: str, name: str) -> int:
    """A whole number of a size that may occur. Guards against figures that no clock or float takes."""
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdigit() and len(digits) <= MOST_DIGITS):
        raise ProtocolError(f"{name} is no number")
    return int(text)


def encode(message: Message) -> bytes:
    """The bytes of a message."""
    body = b"".join(PARAMETER.pack(code, len(value)) + value for code, value in message.parameters.items())
    whole = HEAD.pack(AFTER_LENGTH + len(body), message.kind, message.call) + body
    if len(whole) > MOST:
        raise ValueError(f"a message of {len(whole)} bytes")
    return whole


def release(call: int, cause: int) -> bytes:
    """A release, refusal or give-up."""
    return encode(Message(MessageType.RELEASE, call, {ParameterCode.CAUSE: bytes([cause])}))


def decode(body: bytes) -> Message:
    """A message from what follows its length."""
    kind, call = struct.unpack_from(">BQ", body)
    message = Message(kind, call)
    place = AFTER_LENGTH
    while place < len(body):
        if place + PARAMETER.size > len(body):
            raise ProtocolError("half a parameter")
        code, length = PARAMETER.unpack_from(body, place)
        place += PARAMETER.size
        if place + length > len(body):
            raise ProtocolError(f"parameter {code} is longer than its message")
        message.parameters[code] = bytes(body[place : place + length])
        place += length
    return message


class Decoder:
    """Gathers bytes as they come and yields whole messages, of the kinds that this side may be sent."""

    def __init__(self, kinds: frozenset[MessageType] = frozenset(MessageType)) -> None:
        self.rest = bytearray()
        self.kinds = kinds

    def feed(self, data: bytes) -> Iterator[Message]:
        """What can't become a message is told as soon as its head is there."""
        self.rest += data
        while len(self.rest) >= 2:
            length = int.from_bytes(self.rest[:2], "big")
            if not AFTER_LENGTH <= length <= MOST - 2:
                raise ProtocolError(f"a length of {length}")
            if len(self.rest) > 2 and self.rest[2] not in self.kinds:
                raise ProtocolError(f"a message of type {self.rest[2]}")
            if len(self.rest) < 2 + length:
                return
            body = bytes(self.rest[2 : 2 + length])
            del self.rest[: 2 + length]
            yield decode(body)
