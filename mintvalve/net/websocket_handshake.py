"""Limits on the head of a WebSocket handshake, checked on the bytes before the library parses them.

The library parses a head of 16 KiB whatever it consists of, and keeps the parsed fields for as long as the
connection lasts. Thousands of fields of a few bytes take 25 ms to parse and a megabyte to keep.
"""

from __future__ import annotations

MAX_HEAD_BYTES = 16_384
MAX_HEAD_LINES = 100
MAX_HEAD_LIST_ITEMS = 200  # separated by commas, in all fields together
HEAD_END = b"\r\n\r\n"
BAD_REQUEST = 400
HEAD_TOO_LARGE = 431
STATUS_LINES = {
    BAD_REQUEST: "HTTP/1.1 400 Bad Request",
    HEAD_TOO_LARGE: "HTTP/1.1 431 Request Header Fields Too Large",
}


class HandshakeTooLarge(Exception):
    """The head is longer, or has more fields, than a client needs; the text says which."""


class HandshakeLimits:
    """Counts the bytes, lines and list items of one head as it arrives, in pieces of any size."""

    def __init__(self) -> None:
        self.byte_count = self.line_count = self.list_item_count = 0
        self.last_bytes = b""  # may be the beginning of HEAD_END
        self.is_complete = False

    def check(self, data: bytes) -> None:
        """Count the next bytes; raises HandshakeTooLarge beyond a limit. Bytes after the head don't count."""
        if self.is_complete:
            return
        joined = self.last_bytes + data
        end = joined.find(HEAD_END)
        self.is_complete = end >= 0
        head = data if end < 0 else data[: end + len(HEAD_END) - len(self.last_bytes)]
        self.last_bytes = joined[1 - len(HEAD_END) :]
        self.byte_count += len(head)
        self.line_count += head.count(b"\n")
        self.list_item_count += head.count(b",")
        for name, value, maximum in (
            ("bytes", self.byte_count, MAX_HEAD_BYTES),
            ("lines", self.line_count, MAX_HEAD_LINES),
            ("list items", self.list_item_count, MAX_HEAD_LIST_ITEMS),
        ):
            if value > maximum:
                raise HandshakeTooLarge(f"the head of the handshake has more than {maximum} {name}")


def error_response(status: int) -> bytes:
    """Encode an HTTP response without a body, for a head that was not parsed."""
    return f"{STATUS_LINES[status]}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode()
