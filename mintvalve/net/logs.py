"""Log lines of key=value pairs on standard error."""

from __future__ import annotations

import json
import logging
import sys

STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


def quoted(value: object) -> str:
    """A value as it stands, or in quotes where it would not read as one word."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    plain = text and not any(char.isspace() or char in '="' or not char.isprintable() for char in text)
    return text if plain else json.dumps(text)


class KeyValue(logging.Formatter):
    """time=… level=… where=… event=… and whatever `extra` brought."""

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "where": record.name,
            "event": record.getMessage(),
        }
        pairs |= {name: value for name, value in vars(record).items() if name not in STANDARD}
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={quoted(value)}" for name, value in pairs.items())


def start(level: str) -> None:
    """Log from this level on; an unknown level is `info`."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    known = logging.getLevelNamesMapping().get(level.upper(), logging.INFO)
    logging.basicConfig(level=known, handlers=[handler], force=True)
