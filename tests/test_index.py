"""Tests of the prefix index and its alternatives against a linear scan of all prefixes."""

from __future__ import annotations

import pytest
from hypothesis import given, settings, strategies as st

from mintvalve.analysis import index as index_module
from mintvalve.analysis.index import (
    MAX_PREFIX_DIGITS,
    DuplicatePrefixError,
    LengthTableMatcher,
    PrefixIndexBuilder,
    PrefixMatcher,
    TrieMatcher,
    decode_prefix,
    encode_key,
)

HEX_DIGITS = st.text("0123456789abcdef", max_size=MAX_PREFIX_DIGITS)
BINARY_DIGITS = st.text(
    "01", max_size=6
)  # short and of two digits, so that many prefixes begin with one another
TABLES = st.dictionaries(st.one_of(BINARY_DIGITS, HEX_DIGITS), st.integers(0, 1000), max_size=60)


def linear_scan(table: dict[str, int], number: str) -> tuple[int, int] | None:
    """Find the longest prefix by trying every prefix of the table."""
    best: tuple[int, int] | None = None
    for prefix, value in table.items():
        if number.startswith(prefix) and (best is None or len(prefix) > best[0]):
            best = (len(prefix), value)
    return best


def build_index(table: dict[str, int]) -> index_module.PrefixIndex:
    builder = PrefixIndexBuilder()
    for prefix, value in table.items():
        builder.add(prefix, value)
    return builder.build()


@given(
    TABLES,
    st.lists(st.one_of(BINARY_DIGITS, HEX_DIGITS, st.text("0123456789abcdef", max_size=20)), max_size=30),
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_all_matchers_agree_with_a_linear_scan(table: dict[str, int], numbers: list[str]) -> None:
    index = build_index(table)
    matchers: list[PrefixMatcher] = [index, LengthTableMatcher(table.items()), TrieMatcher(table.items())]
    for number in [*numbers, *table, *(prefix + "0" for prefix in table), *(prefix[:-1] for prefix in table)]:
        for matcher in matchers:
            assert matcher.match(number) == linear_scan(table, number), (matcher, number)
        longer = any(prefix != number and prefix.startswith(number) for prefix in table)
        assert index.has_longer_prefix(number) == longer, number
    assert dict(iter(index)) == table and len(index) == len(table)


@given(HEX_DIGITS)
@settings(derandomize=True, deadline=None)
def test_keys_round_trip_and_keep_prefix_order(prefix: str) -> None:
    assert decode_prefix(encode_key(prefix)) == prefix
    if len(prefix) < MAX_PREFIX_DIGITS:
        assert encode_key(prefix) < encode_key(prefix + "0") < encode_key(prefix + "f") < 1 << 64


def test_builder_refuses_invalid_and_duplicate_prefixes() -> None:
    builder = PrefixIndexBuilder()
    builder.add("12", 7)
    with pytest.raises(DuplicatePrefixError) as duplicate:
        builder.add("12", 8)
    assert (duplicate.value.prefix, duplicate.value.value) == ("12", 7)
    for invalid in ("0" * 16, "12x", "1 2"):
        with pytest.raises(ValueError):
            builder.add(invalid, 1)
    assert builder.prefix_count == 1


def test_build_pauses_after_bounded_work_with_a_common_prefix(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against blocking the event loop: all prefixes share their first digits, so the buckets by first
    # digits do not divide the work.
    monkeypatch.setattr(index_module, "PREFIXES_PER_STEP", 16)
    monkeypatch.setattr(index_module, "MAX_PREFIXES_PER_SORT", 32)
    builder = PrefixIndexBuilder()
    table = {f"44{number:05d}": number for number in range(0, 40_000, 37)}
    for prefix, value in table.items():
        builder.add(prefix, value)
    steps, pauses = builder.build_steps(), 0
    while True:
        try:
            next(steps)
        except StopIteration as done:
            assert dict(iter(done.value)) == table
            break
        pauses += 1
    assert pauses > 2 * len(table) // 16  # while splitting the bucket and while writing the arrays
    assert not builder.prefix_count and not builder.buckets
