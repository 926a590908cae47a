"""One connection to an exchange, and what the messages on it mean."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from mintvalve.interface import ClearingCause, Outcome
from mintvalve.net.codec import EXCHANGE_MESSAGE_TYPES, Decoder, ReleaseCause
from mintvalve.net.connection import Connection

OUTCOME_BY_CAUSE: dict[int, Outcome] = {
    ReleaseCause.NO_CIRCUIT: Outcome.NOT_SET_UP,
    ReleaseCause.USER_BUSY: Outcome.LINE_BUSY,
    ReleaseCause.SIGNALLING_FAULT: Outcome.LINE_BUSY,
    ReleaseCause.TIMER_EXPIRED: Outcome.NOT_SENT,
}
KNOWN_CAUSES = {
    *OUTCOME_BY_CAUSE,
    ReleaseCause.NORMAL_CLEARING,
    ReleaseCause.TEMPORARY_FAILURE,
    ReleaseCause.CONGESTION,
}
CLEARING_CAUSE_BY_NOTE = {
    "group_full": ClearingCause.NO_CIRCUIT,
    "tandem_refused": ClearingCause.TANDEM_REFUSED,
    "destination_full": ClearingCause.DESTINATION_FULL,
    "processor_full": ClearingCause.PROCESSOR_FULL,
    "user_busy": ClearingCause.NUMBER_BUSY,
}
# Notes that only the remote processor can have given. A fault (cause 47) is sent by whatever reads the
# message, and a full group or a moot attempt is known on this side: while a region was cut off for 9.5 s,
# malformed set-ups were still refused with faults within 1 ms, and everything else timed out.
NOTES_PROVING_REACHABILITY = frozenset(CLEARING_CAUSE_BY_NOTE) - {"group_full"}


@dataclass(slots=True, eq=False)
class ExchangeConnection:
    """One connection of a link, with its decoder; times are Unix milliseconds."""

    connection: Connection
    host: str  # the exchange's name
    decoder: Decoder = field(default_factory=lambda: Decoder(EXCHANGE_MESSAGE_TYPES))
    unanswered_since: float | None = None  # the first message sent after the last data received
    last_data_at: float = -math.inf
    read_count: int = 0  # reads that returned data
    acknowledges: bool = False  # the exchange has acknowledged a release on it
    is_trusted: bool = True

    @property
    def is_open(self) -> bool:
        return self.connection.is_open

    def send(self, data: bytes, now: float) -> bool:
        """Send data; False where the connection is not open or its buffer is full."""
        sent = self.connection.send(data)
        if sent and self.unanswered_since is None:
            self.unanswered_since = now
        return sent
