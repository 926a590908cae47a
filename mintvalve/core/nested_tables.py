"""Tables of tables that hold no empty ones."""

from __future__ import annotations

from typing import Any, TypeVar

K = TypeVar("K")
N = TypeVar("N")


def remove_nested(table: dict[K, dict[N, Any]], key: K, item: N) -> None:
    """Remove an item of `table[key]`, and that table with its last one; harmless where it is not there.
    Guards against one empty entry for every connection or host there ever was."""
    there = table.get(key)
    if there is not None:
        there.pop(item, None)
        if not there:
            del table[key]
