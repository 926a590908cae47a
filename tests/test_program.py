"""The program itself, started as the platform starts it, spoken to over sockets."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import dns.flags
import dns.message
import dns.rrset
import pytest
import yaml
from wsproto import ConnectionType, WSConnection
from wsproto import events as ws

from mintvalve.net.codec import (
    ReleaseCause,
    ParameterCode,
    Decoder,
    MessageType,
    Message,
    encode,
    encode_release,
)

ROOT = Path(__file__).parent.parent
PATIENCE_S = 30.0  # s; only a test that fails waits so long
SETTINGS = yaml.safe_load((ROOT / "docs" / "examples" / "settings.yaml").read_text())
SETTINGS |= {"Balancers": 2, "Me": 0, "Zone": "central-belt"}
SETTINGS["Specifics"]["HomeNo"] = 0
SETTINGS["Limits"]["SendCap"] = 5


class Exchange:
    """A stand-in exchange on blocking sockets: it serves one connection, the controller's."""

    def __init__(self) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(PATIENCE_S)
        self.port: int = self.server.getsockname()[1]

    def meet(self, free: int = 9) -> Peer:
        sock, _ = self.server.accept()
        peer = Peer(sock)
        peer.send(MessageType.GROUP_STATE, 0, {ParameterCode.LOAD_REPORT: f"x0:{free};x1:9".encode()})
        return peer


class Peer:
    """One blocking connection, by messages."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.decoder, self.ready = sock, Decoder(), list[Message]()
        sock.settimeout(PATIENCE_S)

    def send(self, kind: int, call: int, parameters: dict[int, bytes] | None = None) -> None:
        self.sock.sendall(encode(Message(kind, call, parameters or {})))

    def next(self, *kinds: int) -> Message:
        """The next message of these types; others are passed over."""
        while True:
            for message in self.ready:
                if message.message_type in kinds:
                    self.ready.remove(message)
                    return message
            data = self.sock.recv(65536)
            assert data, "the connection ended"
            self.ready += self.decoder.feed(data)


class NameServer:
    """Answers the one question that the controller asks, with this list."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.settimeout(PATIENCE_S)
        self.port: int = self.sock.getsockname()[1]

    def answer(self, serial: int, members: dict[str, tuple[int, int, int]]) -> None:
        """One query; members are id: (cell, port, priority)."""
        data, sender = self.sock.recvfrom(8192)
        query = dns.message.from_wire(data)
        reply = dns.message.make_response(query)
        name = str(query.question[0].name)
        soa = f"ns.svc.local. host.svc.local. {serial} 1 1 1 1"
        reply.authority.append(dns.rrset.from_text("svc.local.", 1, "IN", "SOA", soa))
        for host, (cell, port, priority) in members.items():
            target = f"{host}.central-belt.hosts."
            service = f"{priority} 40 {port} {target}"
            reply.answer.append(dns.rrset.from_text(name, 1, "IN", "SRV", service))
            reply.additional.append(dns.rrset.from_text(target, 1, "IN", "A", "127.0.0.1"))
            facts = f'"kind=std" "cell={cell}" "started=0"'
            reply.additional.append(dns.rrset.from_text(target, 1, "IN", "TXT", facts))
        self.sock.sendto(reply.to_wire(), sender)


class Program:
    """A started controller and all that it talks to."""

    def __init__(self, folder: Path, websocket: bool = False) -> None:
        self.exchange, self.names = Exchange(), NameServer()
        home = {"id": "s-0", "host_port": "127.0.0.1:9", "cell": 0}
        west = {"id": "s-1", "host_port": f"127.0.0.1:{self.exchange.port}", "cell": 1}
        members: list[dict[str, Any]] = [
            {**each, "locality": "central-belt", "phase": "SERVING"} for each in (home, west)
        ]
        known = {"seq": 1, "results": [{"seq": 1, "fleet": {"complete": True, "members": members}}]}
        config = self.config = folder / "config.json"
        self.facts: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "seed": "8c1f",
            "known": known,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "nameserver": f"127.0.0.1:{self.names.port}",
            "settings": SETTINGS,
        }
        config.write_text(json.dumps(self.facts))
        command = [sys.executable, "-m", "mintvalve"]
        if websocket:
            web = folder / "websocket.toml"
            web.write_text('listen = "127.0.0.1:0"\norigins = ["http://desk.example"]\n')
            command += ["--websocket", str(web)]
        environment = {**os.environ, "PROXY_CONFIG": str(config), "PROXY_LISTEN": "127.0.0.1:0"}
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True)
        self.peer = self.exchange.meet()
        assert self.process.stderr is not None
        self.ports: dict[str, int] = {}  # by front, as the program logs them
        while "BinaryFront" not in self.ports or (websocket and "WebSocketFront" not in self.ports):
            line = self.logged("event=listening")
            facts = dict(part.split("=", 1) for part in line.split() if "=" in part)
            self.ports[facts["front"]] = int(facts["port"])

    def logged(self, text: str) -> str:
        """The next line of the log that has this in it."""
        assert self.process.stderr is not None
        while line := self.process.stderr.readline():
            if text in line:
                return line
        raise AssertionError(f"the program ended and never logged {text}")

    def dial(self, front: str = "BinaryFront") -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.ports[front]), timeout=PATIENCE_S)

    def caller(self) -> Peer:
        return Peer(self.dial())

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        if self.process.stderr is not None:
            self.process.stderr.close()


def set_up(caller: Peer, call: int, wait: int = 9000) -> None:
    caller.send(
        MessageType.SET_UP,
        call,
        {
            ParameterCode.CALL_CLASS: b"stock-check",
            ParameterCode.WAIT_MS: str(wait).encode(),
            ParameterCode.CALLED_NUMBER: b"7f3a",
            ParameterCode.ROUTING: b"dest:1;width:1;via:-1",
            ParameterCode.DESCRIPTION: b"what the caller says",
        },
    )


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    program = Program(tmp_path)
    yield program
    program.close()


def test_a_call_from_its_test_to_its_release(program: Program) -> None:
    caller = program.caller()
    caller.send(MessageType.TEST, 1, {ParameterCode.CAUSE: b"\0"})
    assert caller.next(MessageType.TEST_RESULT).cause == 1
    set_up(caller, 0x7F3A9C21E0B4D655)
    heard = program.peer.next(MessageType.SET_UP)
    assert heard.call_id == 0x7F3A9C21E0B4D655
    assert heard.parameters[ParameterCode.DESCRIPTION] == b"what the caller says"
    assert (heard.text(ParameterCode.CALL_CLASS), heard.text(ParameterCode.CALLED_NUMBER)) == (
        "stock-check",
        "7f3a",
    )
    assert 0 < heard.integer(ParameterCode.WAIT_MS, 0) < 9000
    program.peer.send(MessageType.ANSWER, heard.call_id, {ParameterCode.DESCRIPTION: b"\0as it is\xff"})
    assert caller.next(MessageType.ANSWER).parameters == {ParameterCode.DESCRIPTION: b"\0as it is\xff"}
    other = program.caller()  # a release may come on any connection
    other.sock.sendall(encode_release(heard.call_id, ReleaseCause.NORMAL_CLEARING))
    assert program.peer.next(MessageType.RELEASE).cause == ReleaseCause.NORMAL_CLEARING


def test_bad_bytes_end_their_connection_and_nothing_else(program: Program) -> None:
    good, bad = program.caller(), program.caller()
    bad.sock.sendall(b"\0\0GET / HTTP/1.1\r\n\r\n")
    assert bad.sock.recv(100) == b""
    good.send(MessageType.TEST, 1, {ParameterCode.CAUSE: b"\0"})
    assert good.next(MessageType.TEST_RESULT).cause == 1


def test_the_name_server_is_heard_and_a_draining_exchange_gets_nothing_new(program: Program) -> None:
    caller = program.caller()
    for _ in range(2):  # the second query shows that the first answer has come
        program.names.answer(2, {"s-0": (0, 1, 0), "s-1": (1, program.exchange.port, 1)})
    set_up(caller, 5, wait=1000)
    assert caller.next(MessageType.RELEASE, MessageType.ANSWER).cause in (
        ReleaseCause.CONGESTION,
        ReleaseCause.NO_CIRCUIT,
        ReleaseCause.TIMER_EXPIRED,
    )
    set_up(caller, 6, wait=1000)
    assert caller.next(MessageType.RELEASE, MessageType.ANSWER).call_id == 6
    assert not [each for each in program.peer.ready if each.message_type == MessageType.SET_UP]


def test_after_sigterm_what_was_taken_is_answered_and_the_program_ends(program: Program) -> None:
    caller = program.caller()
    set_up(caller, 5)
    program.peer.next(MessageType.SET_UP)
    program.process.send_signal(signal.SIGTERM)
    late = program.caller()  # callers may still come for a while
    set_up(late, 6)
    assert program.peer.next(MessageType.SET_UP).call_id == 6
    for call, connection in ((5, caller), (6, late)):
        program.peer.send(MessageType.ANSWER, call, {ParameterCode.DESCRIPTION: b"d"})
        assert connection.next(MessageType.ANSWER).call_id == call
        program.peer.sock.sendall(encode_release(call, ReleaseCause.NORMAL_CLEARING))
        assert connection.next(MessageType.RELEASE).cause == ReleaseCause.NORMAL_CLEARING
    assert program.process.wait(PATIENCE_S) == 0
    log = program.process.communicate()[1]
    phases = [line.split("phase=")[1].split()[0] for line in log.splitlines() if "event=phase" in line]
    assert phases == ["serving", "draining", "lingering", "closing", "ended"]


def test_sighup_brings_another_name_server_and_keeps_calls_and_connections(program: Program) -> None:
    # Guards against an end by the signal's default, seen on a reload day; and against a bad new file.
    caller = program.caller()
    set_up(caller, 5)
    program.peer.next(MessageType.SET_UP)
    program.logged("phase=serving")
    for bad in ({}, {**program.facts, "nameserver": "nowhere"}, {"nameserver": "h:1"}):
        program.config.write_text(json.dumps(bad))
        program.process.send_signal(signal.SIGHUP)
        assert "can't be used" in program.logged("level=error")
    old, program.names = program.names, NameServer()
    program.config.write_text(json.dumps({**program.facts, "nameserver": f"127.0.0.1:{program.names.port}"}))
    program.process.send_signal(signal.SIGHUP)
    for _ in range(2):  # the second query shows that the first answer has come
        program.names.answer(2, {"s-0": (0, 1, 0), "s-1": (1, program.exchange.port, 1)})
    old.sock.close()
    program.peer.send(MessageType.ANSWER, 5, {ParameterCode.DESCRIPTION: b"d"})
    assert caller.next(MessageType.ANSWER).call_id == 5
    set_up(caller, 6, wait=1000)  # the new server said that the exchange drains
    assert caller.next(MessageType.RELEASE, MessageType.ANSWER).call_id == 6
    assert not [each for each in program.peer.ready if each.message_type == MessageType.SET_UP]


def test_what_no_exchange_answers_is_refused_before_the_program_ends(program: Program) -> None:
    caller = program.caller()
    set_up(caller, 5)
    program.peer.next(MessageType.SET_UP)
    program.process.send_signal(signal.SIGTERM)
    assert caller.next(MessageType.RELEASE).cause == ReleaseCause.CONGESTION
    assert program.process.wait(PATIENCE_S) == 0


def test_both_fronts_of_one_program(tmp_path: Path) -> None:
    program = Program(tmp_path, websocket=True)
    try:
        sock = program.dial("WebSocketFront")
        wire = WSConnection(ConnectionType.CLIENT)
        origin = [(b"origin", b"http://desk.example")]
        sock.sendall(wire.send(ws.Request(host="x", target="/calls", extra_headers=origin)))
        heard: list[dict[str, Any]] = []

        def hear(count: int) -> None:
            while len(heard) < count:
                wire.receive_data(sock.recv(65536))
                for event in wire.events():
                    if isinstance(event, ws.AcceptConnection):
                        sock.sendall(
                            wire.send(
                                ws.TextMessage(
                                    json.dumps(
                                        {
                                            "type": "set_up",
                                            "id": "00000000000000aa",
                                            "class": "stock-check",
                                            "number": "7",
                                            "wait_ms": 9000,
                                            "destination": 1,
                                        }
                                    )
                                )
                            )
                        )
                    elif isinstance(event, ws.TextMessage):
                        heard.append(json.loads(event.data))
                if not heard:
                    call = program.peer.next(MessageType.SET_UP).call_id
                    program.peer.send(MessageType.ANSWER, call, {ParameterCode.DESCRIPTION: b"d"})

        hear(1)
        assert heard == [{"type": "answer", "id": "00000000000000aa", "description": "ZA=="}]
        program.peer.sock.sendall(encode_release(0xAA, ReleaseCause.NORMAL_CLEARING))
        hear(2)
        assert heard[1] == {"type": "release", "id": "00000000000000aa", "cause": 16}
        caller = program.caller()
        set_up(caller, 5)
        assert program.peer.next(MessageType.SET_UP).call_id == 5
    finally:
        program.close()


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("{", "can't be used"),
        ("{}", "can't be used"),
        ('{"settings": {}}', "settings lack"),
        (None, "can't be used"),
    ],
)
def test_a_configuration_that_cant_be_used_is_said_in_one_line(
    tmp_path: Path, text: str | None, said: str
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "mintvalve", "--config", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and said in done.stderr and len(done.stderr.splitlines()) == 1


def test_an_address_that_is_taken_ends_the_program_with_its_reason(tmp_path: Path) -> None:
    # Guards against a program that runs and can't be called: it logged the fault and waited for ever.
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "config.json"
        listen = f"127.0.0.1:{taken.getsockname()[1]}"
        path.write_text(json.dumps({"nameserver": "127.0.0.1:9", "settings": SETTINGS}))
        environment = {**os.environ, "PROXY_LISTEN": listen}
        command = [sys.executable, "-m", "mintvalve", "--config", str(path)]
        done = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, check=False)
    assert done.returncode == 1 and "can't listen" in done.stderr and "in use" in done.stderr
