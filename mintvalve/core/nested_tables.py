"""Dictionaries of dictionaries without empty inner ones."""

from __future__ import annotations

from typing import Any, TypeVar

OuterKey = TypeVar("OuterKey")
InnerKey = TypeVar("InnerKey")


def remove_nested(
    table: dict[OuterKey, dict[InnerKey, Any]], outer_key: OuterKey, inner_key: InnerKey
) -> None:
    """Remove `table[outer_key][inner_key]`, and the inner dictionary once it is empty; a missing key has no
    effect. Guards against a leak of one empty dictionary for each connection or host ever seen."""
    inner = table.get(outer_key)
    if inner is not None:
        inner.pop(inner_key, None)
        if not inner:
            del table[outer_key]
