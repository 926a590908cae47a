"""Stand-ins for the platform, the name server, the exchanges and the callers, for the cases of the review.

Only the standard library is used. Everything listens on loopback addresses and free ports. The controller
is started with the command `run` of the deploy file, as a process of its own. All stand-ins run in the
process of the case, on one asyncio loop and the real clock. They follow the protocol page; what a case
changes is a parameter or a method in the case itself.
"""

from __future__ import annotations

import asyncio
import contextlib
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

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit codes of a case. `run.sh` turns BROKEN into 1, so that a failure of the case itself isn't taken for it.
HELD, CANNOT_RUN, BROKEN = 0, 2, 3

SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, GROUP_STATE, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 43, 52, 53
TYPE_NAMES = {
    SET_UP: "set-up",
    PROGRESS: "progress",
    ANSWER: "answer",
    RELEASE: "release",
    RELEASE_HEARD: "release heard",
    GROUP_STATE: "state of a group",
    TEST: "test",
    TEST_RESULT: "test result",
}
NORMAL_END = 16  # the cause of a release
CLASS, WAIT, NUMBER, FIGURES, REPORT, CAUSE, DESCRIPTION = 33, 35, 41, 43, 51, 61, 63

# The settings of the wire page's example, for a deployment of five exchanges with a controller each.
EXCHANGES = 5
SETTINGS: dict[str, Any] = {
    "Balancers": EXCHANGES,
    "Me": 0,
    "Zone": "highlands",
    "Zones": ["central-belt", "highlands"],
    "Discovery": "automatic",
    "HostTypes": ["single-core"],
    "Limits": {
        "Cancelling": True,
        "DialTimeoutMs": 500.0,
        "KeepaliveMs": 600000.0,
        "MaxOpen": 20000,
        "MaxRetryAfterMs": 2000.0,
        "ParallelTries": False,
        "Peers": False,
        "Probes": False,
        "RetryAfter": False,
        "SendCap": 5,
    },
    "Safety": {
        "AnswerSlackMs": 20.0,
        "AskWithinMs": 10000.0,
        "ColdMs": 15000.0,
        "DrainGraceMs": 500.0,
        "FallMultiple": 2.0,
        "StartCapacity": 0.3,
        "TipAfterMs": 3000.0,
    },
    "Services": [
        {
            "Name": name,
            "Effect": "idempotent",
            "Group": "all",
            "GoalTimeMs": aim,
            "HardLimitMs": limit,
            "LateValue": late,
            "Stream": True,
            "WindowMs": 5000.0,
            "Worth": worth,
        }
        for name, aim, limit, late, worth in (
            ("stock-check", 1500.0, 9000.0, 0.1, 1.0),
            ("pallet-transfer", 2000.0, 9000.0, 0.1, 2.0),
            ("emergency-parcel", 1000.0, 6000.0, 0.25, 6.0),
        )
    ],
    "Specifics": {
        "Advice": True,
        "CircuitsByClass": [1, 2, 1],
        "ClassCells": "",
        "ClearWaitMs": 200.0,
        "HoldingMs": [10500.0, 13600.0, 5200.0],
        "HomeNo": 0,
        "RemoteLoad": "inline",
        "RetryHint": True,
        "T1Ms": 400.0,
        "Topology": "network",
    },
    "StepMs": 5.0,
    "Telemetry": {"Fields": ["idle", "circuits", "reduce"], "Via": "inline"},
    "WeightKind": "off",
}


class CannotRun(Exception):
    """The case couldn't be carried out; nothing is said of the rule."""


def now_ms() -> float:
    """Time of the system's clock in Unix milliseconds."""
    return time.time() * 1000.0


class Record:
    """The file `record.txt` of a case: a line for each event, with the milliseconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = now_ms()

    def write(self, who: str, text: str) -> float:
        """Write a line; returns the time of the event in milliseconds since the start."""
        at = now_ms() - self.started_at
        self.file.write(f"{at:10.1f} ms  {who:<14} {text}\n")
        self.file.flush()
        return at


def encode(kind: int, call: int, parameters: dict[int, bytes] | None = None) -> bytes:
    """Encode a message of the binary protocol."""
    body = b"".join(
        struct.pack(">BH", code, len(value)) + value for code, value in (parameters or {}).items()
    )
    return struct.pack(">HBQ", 9 + len(body), kind, call) + body


def encode_set_up(
    call: int,
    destination: int,
    wait_ms: int,
    call_class: str = "stock-check",
    number: str = "7f3a9c21e0b4d655",
    description: bytes = b"",
) -> bytes:
    """Encode the set-up of a subscriber's call."""
    return encode(
        SET_UP,
        call,
        {
            CLASS: call_class.encode(),
            WAIT: str(wait_ms).encode(),
            NUMBER: number.encode(),
            FIGURES: f"dest:{destination};width:1;via:-1".encode(),
            DESCRIPTION: description or b"call %016x" % call,
        },
    )


class Message:
    """One message received: its type, call and parameters."""

    def __init__(self, body: bytes) -> None:
        self.kind, self.call = struct.unpack_from(">BQ", body)
        self.parameters: dict[int, bytes] = {}
        offset = 9
        while offset < len(body):
            code, length = struct.unpack_from(">BH", body, offset)
            self.parameters[code] = body[offset + 3 : offset + 3 + length]
            offset += 3 + length

    @property
    def cause(self) -> int:
        value = self.parameters.get(CAUSE, b"")
        return value[0] if value else -1

    def __str__(self) -> str:
        cause = f" cause {self.cause}" if CAUSE in self.parameters else ""
        return f"{TYPE_NAMES.get(self.kind, self.kind)} {self.call:016x}{cause}"


class Peer:
    """One side of a connection of the binary protocol; `on_message` gets every message received."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_message: Callable[[Peer, Message], None],
        on_closed: Callable[[Peer], None],
    ) -> None:
        self.reader, self.writer, self.on_message, self.on_closed = reader, writer, on_message, on_closed
        self.is_open = True
        self.end = ""
        self.task = asyncio.create_task(self.read())

    async def read(self) -> None:
        """Read messages until the connection ends."""
        try:
            while True:
                length = struct.unpack(">H", await self.reader.readexactly(2))[0]
                self.on_message(self, Message(await self.reader.readexactly(length)))
        except asyncio.IncompleteReadError:
            self.end = "closed by the other side"
        except OSError as error:
            self.end = f"{type(error).__name__}"
        if self.is_open:
            self.is_open = False
            self.writer.close()
            self.on_closed(self)

    def send(self, data: bytes) -> None:
        if self.is_open:
            self.writer.write(data)


class Exchange:
    """A sound exchange: it reports its group's state before anything else on each new connection, and answers
    each set-up.

    `set_up_ms` is the time that a set-up takes. An attempt is out from its arrival until its end is written,
    it is given up, or its connection closes.
    """

    def __init__(self, record: Record, name: str, cell: int, set_up_ms: float = 5.0) -> None:
        self.record, self.name, self.cell, self.set_up_ms = record, name, cell, set_up_ms
        self.circuits = 20
        self.peers: list[Peer] = []
        self.trying: dict[int, Peer] = {}  # attempts that are out, by call
        self.standing: dict[int, Peer] = {}  # by call, with the connection of the set-up
        self.to_repeat: list[tuple[int, bytes]] = []  # releases to send on the next connection as well
        self.set_ups: list[tuple[float, int]] = []  # arrival (ms since the start) and call, of all set-ups
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.reported = ""

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.keep(asyncio.create_task(self.report_changes()))

    def keep(self, task: asyncio.Task[None]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def report_changes(self) -> None:
        """Send the state of the group on the open connections, four at most, as it changes."""
        while True:
            await asyncio.sleep(0.02)
            if self.report != self.reported:
                self.reported = self.report
                for peer in self.peers[:4]:
                    peer.send(encode(GROUP_STATE, 0, {REPORT: self.report.encode()}))

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    @property
    def free(self) -> int:
        """The free circuits of the group: each attempt that is out and each standing call holds one."""
        return self.circuits - len(self.trying) - len(self.standing)

    @property
    def report(self) -> str:
        return f"x0:{self.free};x1:{self.circuits}"

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer, self.on_message, self.on_closed)
        self.peers.append(peer)
        peer.send(encode(GROUP_STATE, 0, {REPORT: self.report.encode()}))
        for call, data in self.to_repeat:
            self.record.write(self.name, f"sends the release of {call:016x} on the connection just opened")
            peer.send(data)
        self.to_repeat.clear()

    def on_closed(self, peer: Peer) -> None:
        if peer in self.peers:
            self.peers.remove(peer)
        for call in [call for call, owner in self.trying.items() if owner is peer]:
            del self.trying[call]
            self.record.write(self.name, f"the set-up of {call:016x} is given up, as its connection closed")

    def on_message(self, peer: Peer, message: Message) -> None:
        if message.kind == TEST:
            peer.send(encode(TEST_RESULT, message.call, {CAUSE: b"\1"}))
        elif message.kind == SET_UP:
            at = self.record.write(
                self.name,
                f"gets {message} {message.parameters.get(DESCRIPTION, b'').decode(errors='replace')!r}",
            )
            self.set_ups.append((at, message.call))
            self.trying[message.call] = peer
            self.keep(asyncio.create_task(self.answer_set_up(peer, message)))
        elif message.kind == RELEASE:
            self.record.write(self.name, f"gets {message}")
            self.trying.pop(message.call, None)
            self.standing.pop(message.call, None)
            peer.send(encode(RELEASE_HEARD, message.call))
        elif message.kind == RELEASE_HEARD:
            self.record.write(self.name, f"gets {message}")

    async def answer_set_up(self, peer: Peer, message: Message) -> None:
        """Answer a set-up after `set_up_ms`, unless it was given up meanwhile."""
        await asyncio.sleep(self.set_up_ms / 1000.0)
        if self.trying.get(message.call) is peer:
            self.answer(peer, message.call)

    def answer(self, peer: Peer, call: int) -> None:
        self.trying.pop(call, None)
        self.standing[call] = peer
        self.record.write(self.name, f"sends the answer to {call:016x}: the call stands")
        peer.send(encode(ANSWER, call, {DESCRIPTION: f"{self.name} for {call:016x}".encode()}))

    def end_call(self, call: int) -> float:
        """End a standing call; returns when, in milliseconds since the start.

        Its release goes out on the connection of the set-up, otherwise on any open one, and also on the next
        one that is opened.
        """
        set_up_peer = self.standing.pop(call)
        data = encode(RELEASE, call, {CAUSE: bytes([NORMAL_END])})
        at = self.record.write(self.name, f"the call {call:016x} comes to its end")
        for peer in [set_up_peer, *self.peers]:
            if peer.is_open:
                self.record.write(self.name, f"sends the release of {call:016x}")
                peer.send(data)
                break
        self.to_repeat.append((call, data))
        return at


def dns_name(name: str) -> bytes:
    return b"".join(bytes([len(label)]) + label.encode() for label in name.rstrip(".").split(".")) + b"\0"


def dns_record(name: str, kind: int, data: bytes) -> bytes:
    return dns_name(name) + struct.pack(">HHIH", kind, 1, 0, len(data)) + data


class NameServer(asyncio.DatagramProtocol):
    """The name server. An answer holds the list at the moment at which it is sent.

    `told_at` holds, by the number of an event, when the first answer with it was sent.
    """

    def __init__(self, record: Record, name: str = "name server") -> None:
        self.record, self.name = record, name
        self.serial = 1
        self.members: dict[str, tuple[int, str, int, int]] = {}  # id: cell, host:port, priority, start
        self.told_at: dict[int, float] = {}
        self.transport: asyncio.DatagramTransport
        self.port = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def change(self, text: str) -> None:
        """Number the change of the list that was just made."""
        self.serial += 1
        self.record.write(self.name, f"event {self.serial}: {text}")

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.answer(data, addr)

    def answer(self, query: bytes, sender: Any) -> None:
        end = 12
        while query[end]:
            end += 1 + query[end]
        question = query[12 : end + 5]
        service = "_api._tcp.svc.local"
        answers = additional = b""
        count = len(self.members)
        for member, (cell, address, priority, started) in self.members.items():
            host, _, port = address.partition(":")
            target = f"{member}.highlands.hosts"
            answers += dns_record(
                service, 33, struct.pack(">HHH", priority, 40, int(port)) + dns_name(target)
            )
            additional += dns_record(target, 1, socket.inet_aton(host))
            texts = ("kind=std", f"cell={cell}", f"started={started}")
            additional += dns_record(
                target, 16, b"".join(bytes([len(text)]) + text.encode() for text in texts)
            )
        soa = (
            dns_name("ns.svc.local")
            + dns_name("host.svc.local")
            + struct.pack(">5I", self.serial, 1, 1, 1, 1)
        )
        header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, count, 1, 2 * count)
        reply = header + question + answers + dns_record("svc.local", 6, soa) + additional
        if self.serial not in self.told_at:
            self.told_at[self.serial] = self.record.write(
                self.name, f"sends the first answer that holds event {self.serial}"
            )
        if not self.transport.is_closing():
            self.transport.sendto(reply, sender)


class Caller:
    """A sound caller: one connection to the controller, which it opens again when told to.

    It hears every release. `received` holds the time, type, cause and call of every message.
    """

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record, self.name, self.port = record, name, port
        self.peer: Peer | None = None
        self.received: list[tuple[float, int, int, int]] = []
        self.closed_at: list[float] = []
        self.news = asyncio.Event()

    async def connect(self, timeout_s: float = 30.0) -> None:
        """Connect, trying again until the controller listens, and pass a test."""
        give_up_at = time.monotonic() + timeout_s
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                break
            except OSError:
                if time.monotonic() > give_up_at:
                    raise CannotRun("the controller doesn't listen") from None
                await asyncio.sleep(0.02)
        self.peer = Peer(reader, writer, self.on_message, self.on_closed)
        self.record.write(self.name, "connects")
        self.peer.send(encode(TEST, 1, {CAUSE: b"\0"}))
        if await self.wait_for(TEST_RESULT, 1, timeout_s) is None:
            raise CannotRun("the controller passes no test")

    def on_closed(self, peer: Peer) -> None:
        if peer is self.peer:
            self.closed_at.append(
                self.record.write(self.name, f"its connection ends: {peer.end or 'by itself'}")
            )
            self.news.set()

    def on_message(self, peer: Peer, message: Message) -> None:
        at = self.record.write(self.name, f"gets {message}")
        self.received.append((at, message.kind, message.cause, message.call))
        if message.kind == RELEASE:
            peer.send(encode(RELEASE_HEARD, message.call))
        self.news.set()

    def send(self, data: bytes, text: str) -> float:
        """Send bytes; returns the time of the last one in milliseconds since the start."""
        if self.peer is None or not self.peer.is_open:
            raise CannotRun(f"{self.name} has no connection")
        self.peer.send(data)
        return self.record.write(self.name, text)

    def set_up(self, call: int, destination: int, wait_ms: int, **fields: Any) -> float:
        return self.send(
            encode_set_up(call, destination, wait_ms, **fields),
            f"sends set-up {call:016x} to exchange {destination}, waits {wait_ms} ms",
        )

    def find(self, kind: int, call: int) -> tuple[float, int] | None:
        """Time and cause of the first message of this type for the call."""
        for at, other_kind, cause, other_call in self.received:
            if (other_kind, other_call) == (kind, call):
                return at, cause
        return None

    async def wait_for(self, kind: int, call: int, timeout_s: float) -> tuple[float, int] | None:
        """Wait for a message of this type for the call; None if it doesn't come."""
        give_up_at = time.monotonic() + timeout_s
        while (found := self.find(kind, call)) is None:
            left = give_up_at - time.monotonic()
            if left <= 0:
                return None
            self.news.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), left)
        return found


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Platform:
    """Starts and ends the controller as the deployment page says, with the `run` of the deploy file."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="mintvalve-review-"))
        self.run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.listen_port = free_port()
        self.config_path = self.folder / "config.json"
        self.processes: list[subprocess.Popen[bytes]] = []
        self.config: dict[str, Any] = {}

    def write_config(
        self, exchanges: list[Exchange], name_server: NameServer, settings: dict[str, Any] | None = None
    ) -> None:
        """Write the configuration; the list of the start has all exchanges, the own one among them."""
        members = [
            {
                "id": exchange.name,
                "host_port": exchange.address,
                "locality": "highlands",
                "flavor": "std",
                "cell": exchange.cell,
                "phase": "SERVING",
                "size": 4,
                "up_since_ms": 0,
            }
            for exchange in exchanges
        ]
        name_server.members = {
            exchange.name: (exchange.cell, exchange.address, 0, 0) for exchange in exchanges
        }
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.listen_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "nameserver": name_server.address,
            "known": {
                "seq": 1,
                "results": [{"seq": 1, "fleet": {"revision": 1, "complete": True, "members": members}}],
            },
            "settings": settings or SETTINGS,
        }
        self.save_config(self.config)

    def save_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file at once."""
        path = self.folder / "config.json.new"
        path.write_text(json.dumps(config))
        path.replace(self.config_path)

    def start(self, arguments: str = "") -> subprocess.Popen[bytes]:
        """Start a controller; it keeps its name and address."""
        temporary = Path(tempfile.mkdtemp(dir=self.folder))
        environment = {
            **os.environ,
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": f"127.0.0.1:{self.listen_port}",
            "PROXY_CONFIG": str(self.config_path),
            "TMPDIR": str(temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        environment.pop("PYTHONPATH", None)  # that of the case
        log_path = self.folder / f"controller-{len(self.processes)}.log"
        with log_path.open("w") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self.run + arguments], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record.write("platform", f"starts the controller, process {process.pid}")
        return process

    async def wait_ended(self, process: subprocess.Popen[bytes], timeout_s: float) -> bool:
        """Wait until the controller has ended; False if it hasn't by then."""
        give_up_at = time.monotonic() + timeout_s
        while process.poll() is None and time.monotonic() < give_up_at:
            await asyncio.sleep(0.005)
        return process.poll() is not None

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals) -> float:
        process.send_signal(number)
        return self.record.write("platform", f"sends {number.name} to the controller, process {process.pid}")

    def close(self) -> None:
        """End all processes that were started, add their logs to the record and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for path in sorted(self.folder.glob("controller-*.log")):
            self.record.file.write(f"--- {path.name}\n{path.read_text()}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    folder: str, case: Callable[[Record, Platform], Awaitable[bool]], limit_s: float = 100.0
) -> None:
    """Run a case and exit with its verdict: HELD if it returns True, BROKEN if False."""

    async def guarded(record: Record, platform: Platform) -> bool:
        return await asyncio.wait_for(case(record, platform), limit_s)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record = Record(Path(folder))
    record.write("case", f"TROUBLE={int(TROUBLE)}")
    platform = Platform(record)
    verdict = CANNOT_RUN
    try:
        verdict = HELD if asyncio.run(guarded(record, platform)) else BROKEN
    except Exception as error:
        record.write("case", f"couldn't run: {type(error).__name__}: {error}")
        print(f"couldn't run: {type(error).__name__}: {error}", file=sys.stderr)
    finally:
        platform.close()
    record.write("case", {HELD: "the rule held", BROKEN: "the rule was broken"}.get(verdict, "no verdict"))
    record.file.close()
    sys.exit(verdict)


async def start_exchanges(record: Record, count: int = EXCHANGES) -> list[Exchange]:
    """Start the exchanges s-0 (the own one) to s-4."""
    exchanges = [Exchange(record, f"s-{cell}", cell) for cell in range(count)]
    for exchange in exchanges:
        await exchange.start()
    return exchanges
