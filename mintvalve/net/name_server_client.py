"""The list of exchanges: the events of the start from the configuration, later ones by DNS over UDP."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import dns.exception
import dns.flags
import dns.message
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from mintvalve.interface import Exchange, ListUpdateKind, ExchangeState
from mintvalve.net.loop import READ, Loop

log = logging.getLogger("mintvalve.names")

SERVICE = "_api._tcp.svc.local."
ASK_MS = 400.0  # ms between queries; what happened counts as told after 1.5 s at the latest
LOST_MS = 150.0  # ms; a query that brought no good answer by then is followed by the next one
KEPT = 8  # queries whose answer may still come
MOST = 8192  # bytes of an answer
STATES = {"SERVING": ExchangeState.READY, "DRAINING": ExchangeState.DRAINING, "DELETED": ExchangeState.GONE}


@dataclass(frozen=True, slots=True)
class ListedExchange:
    """An exchange and where it listens."""

    exchange: Exchange
    address: tuple[str, int]


def host_port(text: str) -> tuple[str, int]:
    """An address of the form host:port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def known_events(known: dict[str, Any]) -> list[tuple[int, ListUpdateKind, list[ListedExchange]]]:
    """The events of the configuration's `known`, oldest first."""
    events: list[tuple[int, ListUpdateKind, list[ListedExchange]]] = []
    for event in known.get("results", []):
        fleet = event["fleet"]
        entries = [
            ListedExchange(
                Exchange(
                    member["id"],
                    int(member.get("cell", -1)),
                    STATES[member.get("phase", "SERVING")],
                    member.get("locality", ""),
                    float(member.get("up_since_ms") or 0),
                ),
                host_port(member["host_port"]),
            )
            for member in fleet.get("members", [])
        ]
        kind = ListUpdateKind.FULL if fleet.get("complete") or not events else ListUpdateKind.CHANGES
        events.append((int(event["seq"]), kind, entries))
    return sorted(events, key=lambda event: event[0])


def merged(events: list[tuple[int, ListUpdateKind, list[ListedExchange]]]) -> dict[str, ListedExchange]:
    """The list that results from events."""
    held: dict[str, ListedExchange] = {}
    for _, kind, entries in events:
        held = {} if kind is ListUpdateKind.FULL else held
        held |= {entry.exchange.address: entry for entry in entries}
    return {name: entry for name, entry in held.items() if entry.exchange.state is not ExchangeState.GONE}


def from_answer(answer: dns.message.Message) -> tuple[int, dict[str, ListedExchange]]:
    """The serial and the whole list of an answer; ValueError where it can't be used."""
    serial: int | None = None
    for rrset in answer.authority:
        for item in rrset:
            if item.rdtype == dns.rdatatype.SOA:
                serial = item.serial
    if serial is None:
        raise ValueError("no serial")
    hosts: dict[str, str] = {}
    texts: dict[str, dict[str, str]] = {}
    services: list[Any] = []
    rrsets: list[dns.rrset.RRset] = [*answer.answer, *answer.additional]
    for rrset in rrsets:
        owner = rrset.name.to_text().lower()
        for item in rrset:
            if item.rdtype == dns.rdatatype.SRV:
                services.append(item)
            elif item.rdtype == dns.rdatatype.A:
                hosts[owner] = item.address
            elif item.rdtype == dns.rdatatype.TXT:
                pairs = (part.decode(errors="replace").partition("=") for part in item.strings)
                texts[owner] = {name: value for name, _, value in pairs}
    held: dict[str, ListedExchange] = {}
    for item in services:
        target = item.target.to_text()
        labels, facts = target.split("."), texts.get(target.lower(), {})
        if target.lower() not in hosts:
            raise ValueError(f"no address for {target}")
        state = ExchangeState.READY if item.priority == 0 else ExchangeState.DRAINING
        exchange = Exchange(
            labels[0], int(facts.get("cell", -1)), state, labels[1], float(facts.get("started", 0) or 0)
        )
        held[labels[0]] = ListedExchange(exchange, (hosts[target.lower()], item.port))
    return serial, held


class NameServerClient:
    """Asks the name server now and then, and tells of every change."""

    def __init__(
        self, loop: Loop, server: tuple[str, int], seq: int, tell: Callable[[dict[str, ListedExchange]], None]
    ) -> None:
        self.loop, self.server, self.seq, self.tell = loop, server, seq, tell
        self.sock = self.open()
        self.asked: list[int] = []
        self.answered = False  # the latest query was
        self.last = b""
        self.ask()

    def open(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        self.loop.watch(sock, READ, self.ready)
        return sock

    def move(
        self, server: tuple[str, int], events: list[tuple[int, ListUpdateKind, list[ListedExchange]]]
    ) -> None:
        """Another name server from now on, and the list that came with it, should it be a newer one. The
        numbers of the events go on."""
        if events and events[-1][0] > self.seq:
            self.seq = events[-1][0]
            self.tell(merged(events))
        if server != self.server:
            log.info("another name server", extra={"host": server[0], "port": server[1]})
            self.close()
            self.server, self.sock, self.asked, self.last = server, self.open(), [], b""
            self.query()

    def ask(self) -> None:
        """Now and then; sooner where an answer got lost, failed or was of no use."""
        if self.sock.fileno() >= 0:
            self.query()
            self.loop.call_later(LOST_MS, self.ask_again)

    def ask_again(self) -> None:
        if self.answered:
            self.loop.call_later(ASK_MS - LOST_MS, self.ask)
        else:
            self.ask()

    def query(self) -> None:
        query = dns.message.make_query(SERVICE, dns.rdatatype.SRV)
        query.flags &= ~dns.flags.RD
        self.asked, self.answered = [*self.asked[1 - KEPT :], query.id], False
        try:
            self.sock.sendto(query.to_wire(), self.server)
        except OSError as fault:
            log.debug("the name server can't be asked", extra={"fault": str(fault)})

    def ready(self, _: int) -> None:
        while True:
            try:
                data, sender = self.sock.recvfrom(MOST)
            except OSError:
                return  # nothing more, or the server's machine says that nobody listens
            if sender == self.server:
                self.take(data)

    def take(self, data: bytes) -> None:
        """One answer; anything that is no whole one is passed over, the next query brings another."""
        if int.from_bytes(data[:2], "big") not in self.asked:
            return
        if data[2:] == self.last:
            self.answered = True
            return
        try:
            answer = dns.message.from_wire(data, ignore_trailing=True)
            if answer.rcode() != dns.rcode.NOERROR:
                raise ValueError(f"it failed with {dns.rcode.to_text(answer.rcode())}")
            if answer.flags & dns.flags.TC:
                raise ValueError("cut short")
            serial, held = from_answer(answer)
            if not held:
                raise ValueError("a list without exchanges")
        except (dns.exception.DNSException, ValueError, IndexError) as fault:
            log.info("an answer of the name server is of no use", extra={"fault": str(fault)})
            return
        if serial < self.seq:
            return  # an older list
        self.last, self.answered = data[2:], True
        if serial > self.seq:
            self.seq = serial
            self.tell(held)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock, 0, self.ready)
            self.sock.close()
