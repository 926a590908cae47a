"""Logging of key=value pairs to standard error."""

from __future__ import annotations

import json
import logging
import sys
import time

from mintvalve.core.rate_limit import RateLimit

STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}
MAX_VALUE_CHARACTERS = 400  # a peer may choose the value
MAX_TRACE_CHARACTERS = 8000
LINES_AT_ONCE = 40  # of one event
LINES_PER_S = 2.0  # of one event
MAX_LIMITED_EVENTS = 256
SUPPRESSED_KEY = "suppressed"  # how many lines of the event were left out before this one


def format_value(value: object, max_characters: int = MAX_VALUE_CHARACTERS) -> str:
    """Formats a value as one word: floats with three decimals, other text quoted as JSON where needed.

    A longer text than `max_characters` is cut, and ends with an ellipsis.
    """
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    text = text if len(text) <= max_characters else text[:max_characters] + "…"
    is_bare = text and not any(char.isspace() or char in '="' or not char.isprintable() for char in text)
    return text if is_bare else json.dumps(text)


class KeyValueFormatter(logging.Formatter):
    """Formats a record as time=… level=… where=… event=…, then its `extra` values and any traceback.

    `time` is in Unix seconds.
    """

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "where": record.name,
            "event": record.getMessage(),
        }
        pairs |= {name: value for name, value in vars(record).items() if name not in STANDARD_ATTRIBUTES}
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            return f"{self.format_pairs(pairs)} trace={format_value(trace, MAX_TRACE_CHARACTERS)}"
        return self.format_pairs(pairs)

    @staticmethod
    def format_pairs(pairs: dict[str, object]) -> str:
        return " ".join(f"{name}={format_value(value)}" for name, value in pairs.items())


class RepetitionFilter(logging.Filter):
    """Limits how often each event is logged, since a peer may cause it at any rate.

    The next line of an event that is logged after others were left out has their number as SUPPRESSED_KEY.
    Debug lines are not limited. The limits of the MAX_LIMITED_EVENTS latest events are kept.
    """

    def __init__(self) -> None:
        super().__init__()
        self.limits: dict[tuple[str, str], RateLimit] = {}
        self.suppressed: dict[tuple[str, str], int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether a record is logged."""
        if record.levelno <= logging.DEBUG:
            return True
        event, now = (record.name, str(record.msg)), time.monotonic() * 1000.0
        limit = self.limits.get(event)
        if limit is None:
            limit = self.add_event(event, now)
        if not limit.allow(now):
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
            return False
        if (count := self.suppressed.pop(event, 0)) > 0:
            setattr(record, SUPPRESSED_KEY, count)
        return True

    def add_event(self, event: tuple[str, str], now: float) -> RateLimit:
        """Begins to limit an event, and forgets the one that has been known for longest beyond the limit."""
        if len(self.limits) >= MAX_LIMITED_EVENTS:
            oldest = next(iter(self.limits))
            del self.limits[oldest]
            self.suppressed.pop(oldest, None)
        limit = self.limits[event] = RateLimit(LINES_PER_S, LINES_AT_ONCE, now)
        return limit


def configure(level: str) -> None:
    """Sends all log records from `level` on to standard error; an unknown level stands for `info`."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(RepetitionFilter())
    level_number = logging.getLevelNamesMapping().get(level.upper(), logging.INFO)
    logging.basicConfig(level=level_number, handlers=[handler], force=True)
