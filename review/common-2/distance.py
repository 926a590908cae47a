"""A stand-in for the way to another region: a TCP forwarder that delays both directions alike.

It keeps the order and loses nothing. A close or a reset on one side reaches the other after the same delay.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any


class Side(asyncio.Protocol):
    """One side of a forwarded connection; `target` is dialled for an accepted one."""

    def __init__(self, delay_s: float, target: tuple[str, int] | None = None) -> None:
        self.delay_s, self.target = delay_s, target
        self.other: Side | None = None
        self.transport: Any = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.target is not None:
            self.dialling = asyncio.get_running_loop().create_task(self.dial(self.target))

    async def dial(self, target: tuple[str, int]) -> None:
        try:
            _, other = await asyncio.get_running_loop().create_connection(lambda: Side(self.delay_s), *target)
        except OSError:
            self.transport.abort()
            return
        self.other, other.other = other, self
        for data in self.waiting:
            self.forward(data)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.waiting.append(data)
        else:
            self.forward(data)

    def forward(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(self.delay_s, self.deliver, data)

    def deliver(self, data: bytes) -> None:
        other = self.other
        if other is not None and not other.transport.is_closing():
            other.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        asyncio.get_running_loop().call_later(self.delay_s, self.end_other, error is not None)

    def end_other(self, is_reset: bool) -> None:
        other = self.other
        if other is None or other.transport.is_closing():
            return
        if is_reset:
            sock = other.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            other.transport.abort()
        else:
            other.transport.close()


async def start_distance(host: str, port: int, delay_s: float) -> int:
    """Forward connections to an address with a delay; return the port to connect to."""
    server = await asyncio.get_running_loop().create_server(lambda: Side(delay_s, (host, port)), host, 0)
    return int(server.sockets[0].getsockname()[1])
