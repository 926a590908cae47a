"""The messages of WebSocket clients: JSON texts, parsed to requests of the core."""

from __future__ import annotations

import base64
import binascii
import json
import re
from typing import Any

from mintvalve.core.calls import CallRequest

CALL_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
MAX_WAIT_MS = 600_000
MAX_DESCRIPTION_BYTES = 12_288  # leaves room for the other parameters in the message to the exchange
MAX_NUMBER_BYTES = 64  # in UTF-8
CLOSE_FRAME_FIRST_BYTE, MASK_BIT = 0x88, 0x80
MASKED_HEADER_BYTES = 6
MAX_CLOSE_PAYLOAD_BYTES = 125


def may_end_with_close_frame(data: bytes) -> bool:
    """Whether the last bytes have the form of a close frame, as other bytes may have too.

    It is the last frame of a client (RFC 6455, 5.5.1): opcode 8, a masked payload of at most 125 bytes.
    """
    for payload_length in range(min(MAX_CLOSE_PAYLOAD_BYTES, len(data) - MASKED_HEADER_BYTES) + 1):
        start = len(data) - MASKED_HEADER_BYTES - payload_length
        if data[start] == CLOSE_FRAME_FIRST_BYTE and data[start + 1] == MASK_BIT | payload_length:
            return True
    return False


class MessageRejected(Exception):
    """A message that is answered with an error; `error_name` and the text become its `error` and `detail`."""

    def __init__(self, error_name: str, detail: str) -> None:
        super().__init__(detail)
        self.error_name = error_name


def integer_field(
    message: dict[str, Any], name: str, minimum: int, maximum: int, default: int | None = None
) -> int:
    """Returns a field that must be an integer within bounds; raises MessageRejected otherwise."""
    value = message.get(name, default)
    if type(value) is not int or not minimum <= value <= maximum:
        raise MessageRejected("bad_field", f"{name} must be a whole number from {minimum} to {maximum}")
    return value


def parse_call_id(message: dict[str, Any]) -> int:
    """Returns the `id` field as an integer; raises MessageRejected if it is malformed."""
    value = message.get("id")
    if not isinstance(value, str) or not CALL_ID_PATTERN.fullmatch(value):
        raise MessageRejected("bad_field", "id must be 16 lower-case hex digits")
    return int(value, 16)


def parse_set_up(message: dict[str, Any]) -> CallRequest:
    """Converts a set_up message to a request; raises MessageRejected if a field is invalid."""
    call_class, called = message.get("class"), message.get("number")
    if not isinstance(call_class, str):
        raise MessageRejected("bad_field", "class must be a string")
    if (
        not isinstance(called, str)
        or not 0 < len(called.encode(errors="replace")) <= MAX_NUMBER_BYTES
        or not called.isprintable()
    ):
        raise MessageRejected(
            "bad_field", f"number must be a printable string of 1 to {MAX_NUMBER_BYTES} UTF-8 bytes"
        )
    was_cut = message.get("again", False)
    if not isinstance(was_cut, bool):
        raise MessageRejected("bad_field", "again must be true or false")
    encoded_description = message.get("description")
    description: bytes | None = None
    if encoded_description is not None:
        try:
            description = base64.b64decode(encoded_description, validate=True)
        except (TypeError, ValueError, binascii.Error):
            raise MessageRejected("bad_field", "description must be base64") from None
        if len(description) > MAX_DESCRIPTION_BYTES:
            raise MessageRejected(
                "bad_field", f"description has {len(description)} bytes, the limit is {MAX_DESCRIPTION_BYTES}"
            )
    return CallRequest(
        identity=parse_call_id(message),
        call_class=call_class,
        called_number=called,
        wait_ms=float(integer_field(message, "wait_ms", 1, MAX_WAIT_MS)),
        destination=integer_field(message, "destination", 0, 1_000_000),
        width=integer_field(message, "width", 1, 1024, 1),
        tandem=integer_field(message, "tandem", -1, 1_000_000, -1),
        was_cut=was_cut,
        description=description,
    )


def parse_message(text: str) -> dict[str, Any]:
    """Parses a JSON object; raises MessageRejected on any other text."""
    try:
        message = json.loads(text)
    except (ValueError, RecursionError):
        raise MessageRejected("malformed", "not JSON") from None
    if not isinstance(message, dict):
        raise MessageRejected("malformed", "a message must be a JSON object")
    return message
