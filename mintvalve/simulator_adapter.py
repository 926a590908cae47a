"""Wire adapter: `python -m mintvalve.simulator_adapter` speaks the bench's wire on standard input and output.

It parses, translates, hosts the instances, prints and flushes. It decides nothing.
"""

from __future__ import annotations

import sys
from typing import TextIO

from mintvalve import interface as io
from mintvalve.controller import Controller
from mintvalve.settings import number, report_from, settings_from, whole

STATES = {0: io.ExchangeState.GONE, 1: io.ExchangeState.READY, 2: io.ExchangeState.DRAINING}
LIST_KINDS = {
    0: io.ListUpdateKind.CHANGES,
    1: io.ListUpdateKind.FULL,
    2: io.ListUpdateKind.CACHED,
    3: io.ListUpdateKind.FAILED,
}
OUTCOMES = {
    0: io.Outcome.LINE_BUSY,
    1: io.Outcome.ENDED,
    2: io.Outcome.NOT_SET_UP,
    3: io.Outcome.TIMED_OUT,
    4: io.Outcome.UNREACHABLE,
    5: io.Outcome.RESET,
    6: io.Outcome.CANCELLED,
    7: io.Outcome.NOT_SENT,
}
WAIT_SHIFT = 16  # ClearCode carries a wait in milliseconds above its lowest four bits
BIT_REDIAL, BIT_TRANSIT, BIT_CUT = 2, 8, 16


class WireError(Exception):
    """A message that does not parse."""


def entry_from(parts: list[str]) -> io.Exchange:
    """One `ROW` of a list."""
    born = parts[7] if len(parts) > 7 else "-"
    return io.Exchange(
        address=parts[1],
        cell=whole(parts[4]),
        state=STATES[whole(parts[5])],
        zone=parts[2],
        born_ms=number(born),
    )


def action_line(name: str, action: io.Action) -> str:
    """One action as the wire words it."""
    match action:
        case io.SetUp():
            return f"ISSUE {name} {action.call} {action.address} {action.timeout_ms:.3f}"
        case io.Refuse():
            return f"DECLINE {name} {action.call} {action.stay_away_ms:.3f}"
        case io.Fail():
            return f"FINISH_ERROR {name} {action.call}"
        case io.Cancel():
            return f"CALL_OFF {name} {action.call} {action.attempt}"
        case io.SetTimer():
            return f"SCHEDULE {name} {action.after_ms:.3f} {action.token}"
        case io.Probe():
            return f"TEST {name} {action.address}"
        case io.SendPeerMessage():
            return f"TELL {name} {action.peer} {action.content.hex() or '-'}"
        case io.Subscribe():
            return f"WATCH {name} 1"
        case io.Log():
            return f"DEBUG {name} {action.text}"


class SimulatorAdapter:
    """Hosts the instances and turns batches into replies."""

    def __init__(self) -> None:
        self.instances: dict[str, Controller] = {}
        self.lists: dict[int, tuple[io.Exchange, ...]] = {}
        self.pending: tuple[int, int, list[io.Exchange]] | None = None

    def feed(self, line: str, now: float) -> list[str]:
        """One event line; the lines of its actions."""
        parts = line.split(" ")
        word = parts[0]
        if word == "ROW":
            self.take_row(parts)
            return []
        if self.pending is not None:
            raise WireError("a list ended early")
        if word == "DEFINE_LIST":
            self.pending = (whole(parts[1]), whole(parts[2]), [])
            self.close_list()
            return []
        name = parts[1]
        if word == "UP":
            return self.start(line, name, now)
        if word == "DESTROY":
            self.instances.pop(name, None)
            return []
        event = self.event_from(word, parts)
        if name not in self.instances:
            raise WireError(f"{name} has not been started")
        return self.act(name, event, now)

    def act(self, name: str, event: io.Event, now: float) -> list[str]:
        """Hand one event to an instance; an exception in the module is its `FAULT`."""
        try:
            return [action_line(name, action) for action in self.instances[name].handle(now, event)]
        except Exception as fault:
            return [f"FAULT {name} {type(fault).__name__}: {' '.join(str(fault).split())}"]

    def start(self, line: str, name: str, now: float) -> list[str]:
        """`UP`: a new instance in place of any older one."""
        parts = line.split(" ", 3)
        settings = settings_from(parts[3] if len(parts) > 3 else "")
        self.instances[name] = Controller(settings, whole(parts[2]))
        return self.act(name, io.Started(), now)

    def take_row(self, parts: list[str]) -> None:
        """One entry of the list being defined."""
        if self.pending is None:
            raise WireError("a ROW outside a list")
        self.pending[2].append(entry_from(parts))
        self.close_list()

    def close_list(self) -> None:
        """Keep the list once all its entries are in."""
        if self.pending is not None and len(self.pending[2]) >= self.pending[1]:
            self.lists[self.pending[0]] = tuple(self.pending[2])
            self.pending = None

    def event_from(self, word: str, p: list[str]) -> io.Event:
        """An event line as the library's event."""
        match word:
            case "UPDATE":
                kind = LIST_KINDS[whole(p[2])]
                return io.ExchangeListUpdate(
                    kind, () if kind is io.ListUpdateKind.FAILED else self.lists[whole(p[4])]
                )
            case "DEMAND":
                bits = whole(p[11]) if len(p) > 11 else 0
                return io.CallOffered(
                    call=int(p[2]),
                    call_class=p[3],
                    number=p[5],
                    deadline_ms=number(p[6]),
                    destination=int(number(p[8])),
                    width=int(number(p[9])) or 1,
                    tandem=-1 if p[10] == "-" else int(number(p[10])),
                    in_transit=bool(bits & BIT_TRANSIT),
                    redialled=bool(bits & BIT_REDIAL),
                    was_cut=bool(bits & BIT_CUT),
                )
            case "STREAMING":
                return io.CallAnswered(int(p[2]), int(p[3]), p[4], number(p[5]))
            case "COMPLETED":
                code = whole(p[8])
                beyond = code == io.ClearingCause.TURNED_BACK_BEYOND_FULL
                return io.AttemptEnded(
                    call=int(p[2]),
                    attempt=int(p[3]),
                    address=p[4],
                    outcome=OUTCOMES[int(p[5])],
                    elapsed_ms=number(p[6]),
                    ended=p[7] == "1",
                    clearing=code if beyond else code % WAIT_SHIFT,
                    wait_ms=0.0 if beyond else float(code // WAIT_SHIFT),
                    report=report_from(p[9]),
                )
            case "SAMPLED":
                return io.LoadReported(
                    address=p[3],
                    ok=p[4] == "1",
                    answered=number(p[2]) > 0 or p[4] != "1",
                    report=report_from(p[5]),
                )
            case "HEARD":
                return io.PeerMessageReceived(int(p[2]), b"" if p[3] == "-" else bytes.fromhex(p[3]))
            case "BELL":
                return io.TimerExpired(int(p[2]))
            case "CLIENT_GONE":
                return io.CallerLeft(int(p[2]))
        raise WireError(f"unknown message {word}")


def run(source: TextIO, sink: TextIO) -> None:
    """Batches in, replies out, until the input ends."""
    drill = SimulatorAdapter()
    batch, now = "", 0.0
    open_batch = False
    replies: list[str] = []
    for line_number, raw in enumerate(source, 1):
        line = raw.rstrip("\r\n")
        if not line:
            continue
        try:
            word = line.split(" ", 1)[0]
            if word == "TURN":
                if open_batch:
                    raise WireError("a batch began inside a batch")
                parts = line.split(" ")
                now, batch, open_batch, replies = number(parts[1]), str(int(parts[2])), True, []
            elif not open_batch:
                raise WireError("an event outside a batch")
            elif word == "OVER_TO_YOU":
                if drill.pending is not None:
                    raise WireError("a list ended early")
                sink.write("\n".join([*replies, f"ACK {batch}"]) + "\n")
                sink.flush()
                open_batch = False
            else:
                replies += drill.feed(line, now)
        except (WireError, ValueError, KeyError, IndexError) as fault:
            raise WireError(f"line {line_number}: {line[:200]}: {type(fault).__name__}: {fault}") from fault
    if open_batch:
        raise WireError("the input ended inside a batch")


def main() -> int:
    """Entry point."""
    try:
        run(sys.stdin, sys.stdout)
    except WireError as fault:
        print(f"mintvalve.simulator_adapter: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
