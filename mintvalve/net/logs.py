"""Logging of key=value pairs to standard error."""

from __future__ import annotations

import json
import logging
import sys

STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


def format_value(value: object) -> str:
    """Formats a value as one word: floats with three decimals, other text quoted as JSON where needed."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
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
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={format_value(value)}" for name, value in pairs.items())


def configure(level: str) -> None:
    """Sends all log records from `level` on to standard error; an unknown level stands for `info`."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    level_number = logging.getLevelNamesMapping().get(level.upper(), logging.INFO)
    logging.basicConfig(level=level_number, handlers=[handler], force=True)
