"""Adapter to the simulator: `python -m mintvalve.simulator_adapter`, a line protocol on stdin and stdout.

The input comes in batches: a `TURN` line with the time in milliseconds and the batch number, event lines, and
`OVER_TO_YOU`. The reply is a line for each action of the controllers and an `ACK` with the batch number. The
adapter converts lines to events and actions to lines, and makes no decisions of its own.
"""

from __future__ import annotations

import sys
from typing import TextIO

from mintvalve import interface
from mintvalve.controller import Controller
from mintvalve.settings import parse_number, parse_load_report, parse_settings, parse_integer

EXCHANGE_STATES = {
    0: interface.ExchangeState.GONE,
    1: interface.ExchangeState.READY,
    2: interface.ExchangeState.DRAINING,
}
LIST_UPDATE_KINDS = {
    0: interface.ListUpdateKind.CHANGES,
    1: interface.ListUpdateKind.FULL,
    2: interface.ListUpdateKind.CACHED,
    3: interface.ListUpdateKind.FAILED,
}
OUTCOMES = {
    0: interface.Outcome.LINE_BUSY,
    1: interface.Outcome.ENDED,
    2: interface.Outcome.NOT_SET_UP,
    3: interface.Outcome.TIMED_OUT,
    4: interface.Outcome.UNREACHABLE,
    5: interface.Outcome.RESET,
    6: interface.Outcome.CANCELLED,
    7: interface.Outcome.NOT_SENT,
}
CLEAR_CODE_WAIT_FACTOR = 16  # a clear code is the wait in ms times this, plus the clearing cause
# Bits of the flags field of `DEMAND`.
DEMAND_FLAG_REDIAL = 2
DEMAND_FLAG_TRANSIT = 8
DEMAND_FLAG_CUT = 16


class WireError(Exception):
    """A line that can't be parsed or is not allowed at its place in the input."""


def parse_exchange(fields: list[str]) -> interface.Exchange:
    """Parses a `ROW` line, one exchange of a list; its start time is 0 if absent."""
    started_at = fields[7] if len(fields) > 7 else "-"
    return interface.Exchange(
        address=fields[1],
        cell=parse_integer(fields[4]),
        state=EXCHANGE_STATES[parse_integer(fields[5])],
        zone=fields[2],
        up_since_ms=parse_number(started_at),
    )


def format_action(instance_name: str, action: interface.Action) -> str:
    """Formats an action of the named instance as a line of the protocol; times are in milliseconds."""
    match action:
        case interface.SetUp():
            return f"ISSUE {instance_name} {action.call} {action.address} {action.timeout_ms:.3f}"
        case interface.Refuse():
            return f"DECLINE {instance_name} {action.call} {action.retry_after_ms:.3f}"
        case interface.Fail():
            return f"FINISH_ERROR {instance_name} {action.call}"
        case interface.Cancel():
            return f"CALL_OFF {instance_name} {action.call} {action.attempt}"
        case interface.SetTimer():
            return f"SCHEDULE {instance_name} {action.after_ms:.3f} {action.token}"
        case interface.Probe():
            return f"TEST {instance_name} {action.address}"
        case interface.SendPeerMessage():
            return f"TELL {instance_name} {action.peer} {action.content.hex() or '-'}"
        case interface.Subscribe():
            return f"WATCH {instance_name} 1"
        case interface.Log():
            return f"DEBUG {instance_name} {action.text}"


class SimulatorAdapter:
    """Hosts the controllers, by instance name, and the exchange lists, by list number.

    `pending_list` is the list being defined: its number, the number of rows announced and the rows so far.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Controller] = {}
        self.exchange_lists: dict[int, tuple[interface.Exchange, ...]] = {}
        self.pending_list: tuple[int, int, list[interface.Exchange]] | None = None

    def handle_line(self, line: str, now: float) -> list[str]:
        """Handles one line within a batch at time `now` (ms) and returns the lines of the resulting actions.

        Raises WireError, ValueError, KeyError or IndexError if the line is malformed or not allowed here.
        """
        fields = line.split(" ")
        message_type = fields[0]
        if message_type == "ROW":
            self.add_row(fields)
            return []
        if self.pending_list is not None:
            raise WireError("a list ended early")
        if message_type == "DEFINE_LIST":
            self.pending_list = (parse_integer(fields[1]), parse_integer(fields[2]), [])
            self.store_list_if_complete()
            return []
        instance_name = fields[1]
        if message_type == "UP":
            return self.start_instance(line, instance_name, now)
        if message_type == "DESTROY":
            self.instances.pop(instance_name, None)
            return []
        event = self.parse_event(message_type, fields)
        if instance_name not in self.instances:
            raise WireError(f"{instance_name} has not been started")
        return self.dispatch_event(instance_name, event, now)

    def dispatch_event(self, instance_name: str, event: interface.Event, now: float) -> list[str]:
        """Hands an event to an instance; returns its action lines, or a `FAULT` line if it raises."""
        try:
            return [
                format_action(instance_name, action)
                for action in self.instances[instance_name].handle(now, event)
            ]
        except Exception as error:
            return [f"FAULT {instance_name} {type(error).__name__}: {' '.join(str(error).split())}"]

    def start_instance(self, line: str, instance_name: str, now: float) -> list[str]:
        """Handles `UP`: starts an instance, which replaces an older one of that name with all its state."""
        fields = line.split(" ", 3)
        settings = parse_settings(fields[3] if len(fields) > 3 else "")
        self.instances[instance_name] = Controller(settings, parse_integer(fields[2]))
        return self.dispatch_event(instance_name, interface.Started(), now)

    def add_row(self, fields: list[str]) -> None:
        """Adds a `ROW` to the list being defined; raises WireError if there is none."""
        if self.pending_list is None:
            raise WireError("a ROW outside a list")
        self.pending_list[2].append(parse_exchange(fields))
        self.store_list_if_complete()

    def store_list_if_complete(self) -> None:
        """Stores the list being defined under its number once it has all announced rows."""
        if self.pending_list is not None and len(self.pending_list[2]) >= self.pending_list[1]:
            self.exchange_lists[self.pending_list[0]] = tuple(self.pending_list[2])
            self.pending_list = None

    def parse_event(self, message_type: str, fields: list[str]) -> interface.Event:
        """Converts the fields of a line to an event; raises WireError for an unknown message type."""
        match message_type:
            case "UPDATE":
                update_kind = LIST_UPDATE_KINDS[parse_integer(fields[2])]
                return interface.ExchangeListUpdate(
                    update_kind,
                    ()
                    if update_kind is interface.ListUpdateKind.FAILED
                    else self.exchange_lists[parse_integer(fields[4])],
                )
            case "DEMAND":
                flags = parse_integer(fields[11]) if len(fields) > 11 else 0
                return interface.CallOffered(
                    call=int(fields[2]),
                    call_class=fields[3],
                    number=fields[5],
                    deadline_ms=parse_number(fields[6]),
                    destination=int(parse_number(fields[8])),
                    width=int(parse_number(fields[9])) or 1,
                    tandem=-1 if fields[10] == "-" else int(parse_number(fields[10])),
                    in_transit=bool(flags & DEMAND_FLAG_TRANSIT),
                    redialled=bool(flags & DEMAND_FLAG_REDIAL),
                    was_cut=bool(flags & DEMAND_FLAG_CUT),
                )
            case "STREAMING":
                return interface.CallAnswered(
                    int(fields[2]), int(fields[3]), fields[4], parse_number(fields[5])
                )
            case "COMPLETED":
                clear_code = parse_integer(fields[8])
                # This clear code is a cause of its own, above the factor, and carries no wait.
                full_beyond_tandem = clear_code == interface.ClearingCause.DESTINATION_FULL
                return interface.AttemptEnded(
                    call=int(fields[2]),
                    attempt=int(fields[3]),
                    address=fields[4],
                    outcome=OUTCOMES[int(fields[5])],
                    elapsed_ms=parse_number(fields[6]),
                    ended=fields[7] == "1",
                    clearing_cause=clear_code if full_beyond_tandem else clear_code % CLEAR_CODE_WAIT_FACTOR,
                    wait_ms=0.0 if full_beyond_tandem else float(clear_code // CLEAR_CODE_WAIT_FACTOR),
                    report=parse_load_report(fields[9]),
                )
            case "SAMPLED":
                return interface.LoadReported(
                    address=fields[3],
                    ok=fields[4] == "1",
                    answered=parse_number(fields[2]) > 0 or fields[4] != "1",
                    report=parse_load_report(fields[5]),
                )
            case "HEARD":
                return interface.PeerMessageReceived(
                    int(fields[2]), b"" if fields[3] == "-" else bytes.fromhex(fields[3])
                )
            case "BELL":
                return interface.TimerExpired(int(fields[2]))
            case "CLIENT_GONE":
                return interface.CallerLeft(int(fields[2]))
        raise WireError(f"unknown message {message_type}")


def run(input_stream: TextIO, output_stream: TextIO) -> None:
    """Reads batches and writes the replies, each flushed at once, until the input ends.

    Raises WireError with the line number at the first malformed line, and if the input ends within a batch.
    Blank lines are skipped.
    """
    adapter = SimulatorAdapter()
    batch_number, now = "", 0.0
    in_batch = False
    replies: list[str] = []
    for line_number, raw_line in enumerate(input_stream, 1):
        line = raw_line.rstrip("\r\n")
        if not line:
            continue
        try:
            message_type = line.split(" ", 1)[0]
            if message_type == "TURN":
                if in_batch:
                    raise WireError("a batch began inside a batch")
                fields = line.split(" ")
                now, batch_number, in_batch, replies = parse_number(fields[1]), str(int(fields[2])), True, []
            elif not in_batch:
                raise WireError("an event outside a batch")
            elif message_type == "OVER_TO_YOU":
                if adapter.pending_list is not None:
                    raise WireError("a list ended early")
                output_stream.write("\n".join([*replies, f"ACK {batch_number}"]) + "\n")
                output_stream.flush()
                in_batch = False
            else:
                replies += adapter.handle_line(line, now)
        except (WireError, ValueError, KeyError, IndexError) as error:
            raise WireError(f"line {line_number}: {line[:200]}: {type(error).__name__}: {error}") from error
    if in_batch:
        raise WireError("the input ended inside a batch")


def main() -> int:
    """Runs the adapter on stdin and stdout; returns 2 after malformed input, else 0."""
    try:
        run(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"mintvalve.simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
