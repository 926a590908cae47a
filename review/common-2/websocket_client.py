"""A stand-in for a client of call control over WebSocket, as the README's tables describe the messages."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from standins import Record
from wsproto import ConnectionType, WSConnection
from wsproto import events as ws

ORIGIN = b"http://desk.example"


class WebSocketClient:
    """One client; keeps every message that it receives."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record, self.name, self.port = record, name, port
        self.messages: list[dict[str, Any]] = []
        self.task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Connect and complete the handshake; retries while the front is not listening."""
        for _ in range(200):
            try:
                self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                break
            except OSError:
                await asyncio.sleep(0.05)
        else:
            raise RuntimeError("the WebSocket front does not listen")
        self.websocket = WSConnection(ConnectionType.CLIENT)
        request = ws.Request(
            host=f"127.0.0.1:{self.port}", target="/calls", extra_headers=[(b"origin", ORIGIN)]
        )
        self.writer.write(self.websocket.send(request))
        self.accepted = asyncio.Event()
        self.task = asyncio.create_task(self.read())
        await asyncio.wait_for(self.accepted.wait(), 5)

    async def read(self) -> None:
        while data := await self.reader.read(65536):
            self.websocket.receive_data(data)
            for event in self.websocket.events():
                if isinstance(event, ws.AcceptConnection):
                    self.accepted.set()
                elif isinstance(event, ws.Ping):
                    self.writer.write(self.websocket.send(event.response()))
                elif isinstance(event, ws.TextMessage):
                    self.record.write(f"{self.name} gets {event.data}")
                    self.messages.append(json.loads(event.data))
        self.record.write(f"{self.name}: connection closed by the controller")
        self.writer.close()

    async def close(self) -> None:
        """Close the connection and wait until nothing is read any more."""
        self.writer.close()
        assert self.task is not None
        await asyncio.gather(self.task, return_exceptions=True)

    def send(self, message: dict[str, Any]) -> None:
        self.record.write(f"{self.name} sends {json.dumps(message)}")
        self.writer.write(self.websocket.send(ws.TextMessage(json.dumps(message))))

    def of_call(self, call: int, kind: str) -> list[dict[str, Any]]:
        """The messages of one type that came for a call."""
        return [each for each in self.messages if each.get("id") == f"{call:016x}" and each["type"] == kind]

    async def wait_for(self, call: int, kind: str, timeout_s: float) -> bool:
        """Wait for a message of this type for a call; False where none comes in time."""
        for _ in range(int(timeout_s / 0.02)):
            if self.of_call(call, kind):
                return True
            await asyncio.sleep(0.02)
        return False
