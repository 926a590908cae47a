"""Stand-ins for the cases 6 to 10: exchanges, callers, name server and platform, all on loopback addresses.

The stand-ins follow the protocol page and share no code with the program. They run in one asyncio loop; the
program runs as a process of its own, started with `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import dns.message
import dns.rrset

ROOT = Path(__file__).resolve().parents[2]
SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, GROUP_STATE, TEST, TESTED = 1, 6, 9, 12, 16, 43, 52, 53
CLASS, WAIT, NUMBER, FIGURES, NOTE, REPORT, CAUSE, DESCRIPTION = 33, 35, 41, 43, 47, 51, 61, 63
REFUSED_CAUSES = {34, 42, 102}  # a release with one of these: refused, trying again is harmless
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt: what was sent, answered and run, with milliseconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.time()

    def write(self, text: str) -> None:
        self.file.write(f"{(time.time() - self.started_at) * 1000:9.1f} ms  {text}\n")
        self.file.flush()


def encode(message_type: int, call: int, parameters: dict[int, bytes] | None = None) -> bytes:
    """Encode one message of the binary protocol."""
    body = struct.pack(">BQ", message_type, call)
    for code, value in (parameters or {}).items():
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def decode(body: bytes) -> tuple[int, int, dict[int, bytes]]:
    """Decode the bytes after a message's length field: type, call and parameters."""
    message_type, call = struct.unpack_from(">BQ", body)
    parameters, offset = {}, 9
    while offset < len(body):
        code, length = struct.unpack_from(">BH", body, offset)
        parameters[code] = body[offset + 3 : offset + 3 + length]
        offset += 3 + length
    return message_type, call, parameters


class Wire(asyncio.Protocol):
    """One TCP connection that carries messages of the binary protocol."""

    def __init__(
        self,
        on_message: Callable[[Wire, int, int, dict[int, bytes]], None],
        on_opened: Callable[[Wire], None] | None = None,
        on_closed: Callable[[Wire], None] | None = None,
    ) -> None:
        self.on_message, self.on_opened, self.on_closed = on_message, on_opened, on_closed
        self.buffer = b""
        self.is_open = False
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport, self.is_open = transport, True
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.on_opened is not None:
            self.on_opened(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= 2:
            length = int.from_bytes(self.buffer[:2], "big")
            if len(self.buffer) < 2 + length:
                return
            body, self.buffer = self.buffer[2 : 2 + length], self.buffer[2 + length :]
            self.on_message(self, *decode(body))

    def connection_lost(self, _: Exception | None) -> None:
        self.is_open = False
        if self.on_closed is not None:
            self.on_closed(self)

    def send(self, message_type: int, call: int, parameters: dict[int, bytes] | None = None) -> None:
        if self.is_open:
            self.transport.write(encode(message_type, call, parameters))


class Exchange:
    """An exchange: answers each set-up after `answer_after_s`, and keeps what stands until it ends.

    A release is sent on the connection of the call's set-up, else on any open one, and again on the next
    connection that is opened, as the protocol page says.
    """

    def __init__(self, record: Record, name: str, cell: int, answer_after_s: float = 0.02) -> None:
        self.record, self.name, self.cell, self.answer_after_s = record, name, cell, answer_after_s
        self.host, self.port = "127.0.0.1", 0
        self.wires: list[Wire] = []
        self.open_set_ups: dict[int, tuple[Wire, asyncio.TimerHandle]] = {}
        self.standing: dict[int, Wire] = {}  # call -> connection of its set-up
        self.arrivals: list[tuple[float, int, dict[int, bytes]]] = []  # time, call, parameters
        self.released_by_controller: dict[int, float] = {}
        self.release_again: list[tuple[int, int]] = []

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: Wire(self.on_message, self.on_opened, self.on_closed), self.host, 0
        )
        self.port = server.sockets[0].getsockname()[1]

    def on_opened(self, wire: Wire) -> None:
        self.wires.append(wire)
        wire.send(GROUP_STATE, 0, {REPORT: b"x0:120;x1:120;eps:0"})
        for call, cause in self.release_again:
            self.record.write(f"{self.name} sends release of {call:016x} again, cause {cause}")
            wire.send(RELEASE, call, {CAUSE: bytes([cause])})
        self.release_again = []

    def on_closed(self, wire: Wire) -> None:
        self.wires.remove(wire)
        for call, (its_wire, timer) in list(self.open_set_ups.items()):
            if its_wire is wire:
                timer.cancel()
                del self.open_set_ups[call]
                self.record.write(f"{self.name}: set-up {call:016x} is given up by the close")

    def on_message(self, wire: Wire, message_type: int, call: int, parameters: dict[int, bytes]) -> None:
        if message_type == SET_UP:
            number = parameters.get(NUMBER, b"").decode()
            self.record.write(f"{self.name} runs set-up {call:016x}, number {number}")
            self.arrivals.append((time.time(), call, parameters))
            timer = asyncio.get_running_loop().call_later(self.answer_after_s, self.answer, call)
            self.open_set_ups[call] = (wire, timer)
        elif message_type == RELEASE:
            self.record.write(f"{self.name} gets release of {call:016x}")
            self.released_by_controller.setdefault(call, time.time())
            if call in self.open_set_ups:
                self.open_set_ups.pop(call)[1].cancel()
            self.standing.pop(call, None)
            wire.send(HEARD, call)
        elif message_type == TEST:
            wire.send(TESTED, call, {CAUSE: b"\1"})

    def answer(self, call: int) -> None:
        wire, _ = self.open_set_ups.pop(call)
        self.standing[call] = wire
        self.record.write(f"{self.name} answers {call:016x}")
        wire.send(ANSWER, call, {DESCRIPTION: self.description(call)})

    def description(self, call: int) -> bytes:
        """The description that this exchange gives a call."""
        return f"{self.name} {call:016x}".encode()

    def end_call(self, call: int, cause: int = 16) -> None:
        """End a standing call and release it towards the controller."""
        its_wire = self.standing.pop(call)
        wire = its_wire if its_wire.is_open else next(iter(self.wires), None)
        self.record.write(f"{self.name} ends {call:016x} and sends its release, cause {cause}")
        if wire is not None:
            wire.send(RELEASE, call, {CAUSE: bytes([cause])})
        self.release_again.append((call, cause))


class NameServer(asyncio.DatagramProtocol):
    """Answers every query with the whole list: exchange, state and serial."""

    def __init__(self, record: Record, exchanges: list[Exchange]) -> None:
        self.record, self.exchanges = record, exchanges
        self.serial, self.draining = 1, set[str]()
        self.port = 0
        self.told: dict[int, float] = {}  # serial -> when the first answer holding it was sent
        self.transport: Any = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        self.port = transport.get_extra_info("sockname")[1]

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender: Any) -> None:
        query = dns.message.from_wire(data)
        reply = dns.message.make_response(query)
        service = query.question[0].name.to_text()
        soa = f"ns.svc.local. host.svc.local. {self.serial} 1 1 1 1"
        reply.authority.append(dns.rrset.from_text("svc.local.", 1, "IN", "SOA", soa))
        srv = []
        for exchange in self.exchanges:
            target = f"{exchange.name}.central-belt.hosts."
            priority = 1 if exchange.name in self.draining else 0
            srv.append(f"{priority} 10 {exchange.port} {target}")
            reply.additional.append(dns.rrset.from_text(target, 1, "IN", "A", exchange.host))
            text = f'"kind=std" "cell={exchange.cell}" "started=0"'
            reply.additional.append(dns.rrset.from_text(target, 1, "IN", "TXT", text))
        reply.answer.append(dns.rrset.from_text_list(service, 1, "IN", "SRV", srv))
        if self.serial not in self.told:
            self.told[self.serial] = time.time()
            self.record.write(f"name server tells list {self.serial}, draining: {sorted(self.draining)}")
        self.transport.sendto(reply.to_wire(), sender)


class Call:
    """What a caller knows of one of its calls. Times are Unix seconds."""

    def __init__(self, identity: int, number: str, call_class: str) -> None:
        self.identity, self.number, self.call_class = identity, number, call_class
        self.final: str | None = None  # answered, refused, failed or lost
        self.final_at = self.released_at = 0.0
        self.finals = 0
        self.ended = asyncio.Event()
        self.wire: Wire | None = None  # the connection of its set-up


class Caller:
    """A caller at a loopback address of its own; acknowledges every release (type 16)."""

    def __init__(self, record: Record, name: str, host: str, port: int) -> None:
        self.record, self.name, self.host, self.port = record, name, host, port
        self.calls: dict[int, Call] = {}
        self.wire: Wire | None = None
        self.foreign_releases: list[int] = []

    async def connect(self) -> Wire:
        """Open a connection to the controller; retries while it is not listening."""
        loop = asyncio.get_running_loop()
        for _ in range(200):
            try:
                _, wire = await loop.create_connection(
                    lambda: Wire(self.on_message, None, self.on_closed),
                    "127.0.0.1",
                    self.port,
                    local_addr=(self.host, 0),
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            self.wire = wire
            return wire
        raise RuntimeError("the controller does not listen")

    def set_up_message(self, call: Call, destination: int, wait_ms: int) -> bytes:
        return encode(
            SET_UP,
            call.identity,
            {
                CLASS: call.call_class.encode(),
                WAIT: str(wait_ms).encode(),
                NUMBER: call.number.encode(),
                FIGURES: f"dest:{destination};width:1;via:-1".encode(),
                DESCRIPTION: f"{self.name} {call.identity:016x}".encode(),
            },
        )

    def new_call(self, number: str = "", call_class: str = "stock-check") -> Call:
        identity = int.from_bytes(os.urandom(8), "big") | 1
        call = self.calls[identity] = Call(identity, number or f"{identity & 0xFFFFFFFF:08x}", call_class)
        return call

    def set_up(
        self, destination: int, number: str = "", call_class: str = "stock-check", wait_ms: int = 9000
    ) -> Call:
        call = self.new_call(number, call_class)
        assert self.wire is not None
        call.wire = self.wire
        self.record.write(f"{self.name} sends set-up {call.identity:016x}, number {call.number}")
        if self.wire.is_open:
            self.wire.transport.write(self.set_up_message(call, destination, wait_ms))
        return call

    def release(self, call: Call) -> None:
        self.record.write(f"{self.name} sends release of {call.identity:016x}")
        assert self.wire is not None
        self.wire.send(RELEASE, call.identity, {CAUSE: b"\x10"})

    def on_message(self, wire: Wire, message_type: int, identity: int, parameters: dict[int, bytes]) -> None:
        call = self.calls.get(identity)
        if message_type == ANSWER and call is not None:
            self.finish(call, "answered")
        elif message_type == RELEASE:
            wire.send(HEARD, identity)
            cause = parameters[CAUSE][0]
            if call is None:
                self.record.write(f"{self.name} gets release of {identity:016x}, which is not its call")
                self.foreign_releases.append(identity)
            elif call.final == "answered":
                self.record.write(f"{self.name} gets release of {identity:016x}, cause {cause}")
                call.released_at = call.released_at or time.time()
            else:
                self.finish(call, "refused" if cause in REFUSED_CAUSES else "failed")

    def on_closed(self, wire: Wire) -> None:
        self.record.write(f"{self.name}: connection closed by the controller")
        for call in self.calls.values():
            if call.final is None and call.wire is wire:
                self.finish(call, "lost")

    def finish(self, call: Call, final: str) -> None:
        self.record.write(f"{self.name}: call {call.identity:016x} {final}")
        call.finals += 1
        call.final, call.final_at = call.final or final, call.final_at or time.time()
        call.ended.set()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def small_settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, under the names of the wire page."""
    settings = {
        "Balancers": 2,
        "Me": 0,
        "Zone": "central-belt",
        "Zones": ["central-belt"],
        "Discovery": "automatic",
        "Limits": {"Cancelling": True, "DialTimeoutMs": 500, "KeepaliveMs": 600000, "SendCap": 5},
        "Safety": {
            "AnswerSlackMs": 20,
            "ColdMs": 15000,
            "DrainGraceMs": 500,
            "FallMultiple": 2,
            "StartCapacity": 0.3,
            "TipAfterMs": 3000,
        },
        "Services": [
            service("stock-check", "idempotent", 1500, 9000, 1),
            service("emergency-parcel", "idempotent", 1000, 6000, 6),
        ],
        "Specifics": {
            "Advice": True,
            "CircuitsByClass": [1, 1],
            "HoldingMs": [10500, 5200],
            "ClearWaitMs": 200,
            "HomeNo": 0,
            "RetryHint": True,
            "T1Ms": 400,
            "Topology": "network",
        },
        "StepMs": 5,
        "Telemetry": {"Fields": ["idle", "circuits", "reduce"], "Via": "inline"},
    }
    return {**settings, **changes}


def service(name: str, effect: str, aim_ms: int, deadline_ms: int, worth: int) -> dict[str, Any]:
    return {
        "Name": name,
        "Effect": effect,
        "Group": "all",
        "GoalTimeMs": aim_ms,
        "HardLimitMs": deadline_ms,
        "LateValue": 0.1,
        "Stream": True,
        "WindowMs": 5000,
        "Worth": worth,
    }


class Controller:
    """The program under review, started as the platform starts it; the folder is temporary."""

    def __init__(
        self, record: Record, exchanges: list[Exchange], name_server: NameServer, settings: dict[str, Any]
    ) -> None:
        self.record, self.port = record, free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        members = [self.member("s-home", 0, "127.0.0.1:9")]
        members += [self.member(each.name, each.cell, f"{each.host}:{each.port}") for each in exchanges]
        fleet = {"revision": 1, "complete": True, "members": members}
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "nameserver": f"127.0.0.1:{name_server.port}",
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": fleet}]},
            "settings": settings,
        }
        self.config_path = self.folder / "config.json"
        self.write_config(self.config)
        self.process: subprocess.Popen[bytes] | None = None
        self.extra_arguments = ""

    @staticmethod
    def member(name: str, cell: int, address: str) -> dict[str, Any]:
        return {
            "id": name,
            "host_port": address,
            "locality": "central-belt",
            "flavor": "std",
            "cell": cell,
            "phase": "SERVING",
            "size": 1,
            "up_since_ms": 0,
        }

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file in one step."""
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(config))
        new_path.replace(self.config_path)

    def start(self) -> None:
        """Run the deploy file's `run` from the root."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"] + self.extra_arguments
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "PROXY_NAME": "n0",
            "PROXY_CONFIG": str(self.config_path),
            "PROXY_LISTEN": self.config["listen"],
            "TMPDIR": str(temporary),
        }
        self.record.write("platform starts the controller")
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.write(f"platform sends {number.name}")
        self.process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        assert self.process is not None
        until = time.time() + timeout_s
        while self.process.poll() is None and time.time() < until:
            await asyncio.sleep(0.02)
        self.record.write(f"controller process: return code {self.process.returncode}")
        return self.process.returncode is not None

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


async def start_world(
    record: Record,
    exchanges: list[Exchange],
    settings: dict[str, Any],
    name_server_class: Callable[[Record, list[Exchange]], Any] = NameServer,
) -> tuple[Controller, Any]:
    """Start the exchanges and the name server, and prepare a controller for them."""
    for exchange in exchanges:
        await exchange.start()
    home = Exchange(record, "s-home", 0)
    home.port = 9
    name_server = name_server_class(record, [home, *exchanges])
    await name_server.start()
    return Controller(record, exchanges, name_server, settings), name_server


def run_case(folder: Path, case: Callable[[Record, list[Controller]], Awaitable[bool]]) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")
    controllers: list[Controller] = []
    code = COULD_NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(case(record, controllers), 110))
        code = HELD if held else BROKEN
    except Exception as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        for controller in controllers:
            controller.close()
            log = (controller.folder / "log").read_text(errors="replace")
            record.file.write("\nlog of the controller:\n" + log)
            shutil.rmtree(controller.folder, ignore_errors=True)
    result = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}[code]
    record.write(result)
    print(result)
    sys.exit(code)


async def wait_answered(calls: list[Call], timeout_s: float) -> None:
    """Wait until all calls are answered; raises RuntimeError where one is not."""
    await asyncio.wait_for(asyncio.gather(*(call.ended.wait() for call in calls)), timeout_s)
    if any(call.final != "answered" for call in calls):
        raise RuntimeError("a call was not answered before the disruption")
