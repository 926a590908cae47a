"""The list of exchanges: first from the events in the configuration, then by polling DNS over UDP.

Both number the states of the list alike: `seq` of an event and the SOA serial of a response.
"""

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

SERVICE_NAME = "_api._tcp.svc.local."
QUERY_INTERVAL_MS = 400.0  # a change counts as known 1.5 s after it at the latest
QUERY_TIMEOUT_MS = 150.0  # without a usable response by then, the next query is sent
MAX_QUERY_IDS = 8  # latest queries to which a response is accepted
MAX_RESPONSE_BYTES = 8192
MAX_DATAGRAMS_PER_TURN = 16  # read in one iteration of the loop
MAX_PARSED_RESPONSES = 4  # to one query; a further one is ignored
STATES_BY_PHASE = {
    "SERVING": ExchangeState.READY,
    "DRAINING": ExchangeState.DRAINING,
    "DELETED": ExchangeState.GONE,
}


@dataclass(frozen=True, slots=True)
class ListedExchange:
    """An exchange and the host and port on which it listens."""

    exchange: Exchange
    address: tuple[str, int]


def parse_host_port(text: str) -> tuple[str, int]:
    """Splits "host:port"; raises ValueError on any other form."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def parse_known_events(known: dict[str, Any]) -> list[tuple[int, ListUpdateKind, list[ListedExchange]]]:
    """Parses `known` of the configuration: the number, kind and exchanges of each event, by number.

    Raises KeyError, TypeError, ValueError or AttributeError if it is malformed.
    """
    events: list[tuple[int, ListUpdateKind, list[ListedExchange]]] = []
    for event in known.get("results", []):
        fleet = event["fleet"]
        entries = [
            ListedExchange(
                Exchange(
                    member["id"],
                    int(member.get("cell", -1)),
                    STATES_BY_PHASE[member.get("phase", "SERVING")],
                    member.get("locality", ""),
                    float(member.get("up_since_ms") or 0),
                ),
                parse_host_port(member["host_port"]),
            )
            for member in fleet.get("members", [])
        ]
        kind = ListUpdateKind.FULL if fleet.get("complete") or not events else ListUpdateKind.CHANGES
        events.append((int(event["seq"]), kind, entries))
    return sorted(events, key=lambda event: event[0])


def merge_events(events: list[tuple[int, ListUpdateKind, list[ListedExchange]]]) -> dict[str, ListedExchange]:
    """Applies events in their order; returns the resulting list by exchange, without those that are gone."""
    exchanges: dict[str, ListedExchange] = {}
    for _, kind, entries in events:
        exchanges = {} if kind is ListUpdateKind.FULL else exchanges
        exchanges |= {entry.exchange.address: entry for entry in entries}
    return {
        name: entry for name, entry in exchanges.items() if entry.exchange.state is not ExchangeState.GONE
    }


def parse_response(response: dns.message.Message) -> tuple[int, dict[str, ListedExchange]]:
    """Returns the serial and the full list of exchanges of a response.

    Each exchange has an SRV record, with a priority other than 0 if it is draining. The first two labels of
    the target are the exchange and its zone; the target has an A record, and may have a TXT record with
    `cell` and `started` (Unix ms). Raises ValueError or IndexError if the response does not have this form.
    """
    serial: int | None = None
    for rrset in response.authority:
        for record in rrset:
            if record.rdtype == dns.rdatatype.SOA:
                serial = record.serial
    if serial is None:
        raise ValueError("no SOA record in the authority section")
    addresses: dict[str, str] = {}
    txt_values: dict[str, dict[str, str]] = {}
    srv_records: list[Any] = []
    rrsets: list[dns.rrset.RRset] = [*response.answer, *response.additional]
    for rrset in rrsets:
        owner = rrset.name.to_text().lower()
        for record in rrset:
            if record.rdtype == dns.rdatatype.SRV:
                srv_records.append(record)
            elif record.rdtype == dns.rdatatype.A:
                addresses[owner] = record.address
            elif record.rdtype == dns.rdatatype.TXT:
                pairs = (part.decode(errors="replace").partition("=") for part in record.strings)
                txt_values[owner] = {name: value for name, _, value in pairs}
    exchanges: dict[str, ListedExchange] = {}
    for record in srv_records:
        target = record.target.to_text()
        labels, exchange_values = target.split("."), txt_values.get(target.lower(), {})
        if target.lower() not in addresses:
            raise ValueError(f"no A record for SRV target {target}")
        state = ExchangeState.READY if record.priority == 0 else ExchangeState.DRAINING
        exchange = Exchange(
            labels[0],
            int(exchange_values.get("cell", -1)),
            state,
            labels[1],
            float(exchange_values.get("started", 0) or 0),
        )
        exchanges[labels[0]] = ListedExchange(exchange, (addresses[target.lower()], record.port))
    return serial, exchanges


class NameServerClient:
    """Polls the name server and passes every newer list of exchanges to `on_change`.

    `serial` is the number of the list that is already known.
    """

    def __init__(
        self,
        loop: Loop,
        server: tuple[str, int],
        serial: int,
        on_change: Callable[[dict[str, ListedExchange]], None],
    ) -> None:
        self.loop, self.server, self.serial, self.on_change = loop, server, serial, on_change
        self.sock = self.open_socket()
        self.query_ids: dict[int, int] = {}  # and how many responses to each may still be parsed
        self.query_answered = False  # a usable response has come since the latest query
        self.last_response = b""  # the last usable one, without its query id
        self.poll()

    def open_socket(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        self.loop.watch(sock, READ, self.on_readable)
        return sock

    def reconfigure(
        self, server: tuple[str, int], events: list[tuple[int, ListUpdateKind, list[ListedExchange]]]
    ) -> None:
        """Applies a new configuration: reports its list if that is newer, and queries another server at once.

        Serials are compared across servers: a list older than the known one stays ignored.
        """
        if events and events[-1][0] > self.serial:
            self.serial = events[-1][0]
            self.on_change(merge_events(events))
        if server != self.server:
            log.info("switching to another name server", extra={"host": server[0], "port": server[1]})
            self.close()
            self.server, self.sock, self.query_ids, self.last_response = server, self.open_socket(), {}, b""
            self.send_query()

    def poll(self) -> None:
        """Sends a query; the next follows after QUERY_INTERVAL_MS, or QUERY_TIMEOUT_MS if unanswered."""
        if self.sock.fileno() >= 0:
            self.send_query()
            self.loop.call_later(QUERY_TIMEOUT_MS, self.on_query_timeout)

    def on_query_timeout(self) -> None:
        if self.query_answered:
            self.loop.call_later(QUERY_INTERVAL_MS - QUERY_TIMEOUT_MS, self.poll)
        else:
            self.poll()

    def send_query(self) -> None:
        query = dns.message.make_query(SERVICE_NAME, dns.rdatatype.SRV)
        query.flags &= ~dns.flags.RD
        self.query_ids[query.id], self.query_answered = MAX_PARSED_RESPONSES, False
        if len(self.query_ids) > MAX_QUERY_IDS:
            del self.query_ids[next(iter(self.query_ids))]
        try:
            self.sock.sendto(query.to_wire(), self.server)
        except OSError as error:
            log.debug("cannot send a query to the name server", extra={"fault": str(error)})

    def on_readable(self, _: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, sender = self.sock.recvfrom(MAX_RESPONSE_BYTES)
            except OSError:
                return  # nothing left to read, or an ICMP "port unreachable" from the server's host
            if sender == self.server:
                self.on_response(data)

    def on_response(self, data: bytes) -> None:
        """Handles a datagram from the server; ignores what is not a complete response to a recent query.

        Guards against a server that responds to a query many times: parsing a response takes milliseconds,
        and every newer list ends the links of exchanges that it lacks. A usable response is the last one to
        its query, and few unusable ones are parsed.
        """
        query_id = int.from_bytes(data[:2], "big")
        if query_id not in self.query_ids:
            return
        if data[2:] == self.last_response:
            self.query_answered = True
            return
        if not self.query_ids[query_id]:
            return
        self.query_ids[query_id] -= 1
        try:
            response = dns.message.from_wire(data, ignore_trailing=True)
            if response.rcode() != dns.rcode.NOERROR:
                raise ValueError(f"response code {dns.rcode.to_text(response.rcode())}, expected NOERROR")
            if response.flags & dns.flags.TC:
                raise ValueError("response truncated (TC flag set)")
            serial, exchanges = parse_response(response)
            if not exchanges:
                raise ValueError(f"no SRV records in list {serial}")
        except (dns.exception.DNSException, ValueError, IndexError) as error:
            log.info("ignoring an unusable name server response", extra={"fault": str(error)})
            return
        if serial < self.serial:
            return  # an older list leaves the query unanswered
        self.last_response, self.query_answered, self.query_ids[query_id] = data[2:], True, 0
        if serial > self.serial:
            self.serial = serial
            self.on_change(exchanges)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.watch(self.sock, 0, self.on_readable)
            self.sock.close()
