"""Longest-prefix match over a table of number prefixes, designed to hold a million of them in little memory.

A prefix of up to `MAX_PREFIX_DIGITS` digits is encoded as one 64-bit key: its digits, four bits each, from
the most significant bit down, and its length in the lowest four bits. In the order of the keys a prefix
precedes all longer ones that begin with it. The greatest key that is not above a number's own key is
therefore either the number's longest match or a longer prefix that begins with that match. `parents` holds
for each key the position of the next shorter prefix in the table, so the match is reached in a step or two.
Three flat arrays hold the table: 16 bytes per prefix.

The alternatives, with figures: docs/analysis.md.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Generator, Iterable, Iterator
from typing import Protocol, TypeVar

T = TypeVar("T")

MAX_PREFIX_DIGITS = 15  # ITU-T E.164, clause 6: a number has at most 15 digits
# By the length of a prefix: the bits of a key below its digits, and a mask of these bits.
PREFIX_SHIFTS_BITS = tuple(4 * (MAX_PREFIX_DIGITS + 1 - length) for length in range(MAX_PREFIX_DIGITS + 1))
SUFFIX_MASKS = tuple((1 << shift) - 1 for shift in PREFIX_SHIFTS_BITS)
LEADING_DIGITS_SHIFT_BITS = 52  # bits of a key below its first three digits
NO_ENTRY = 0xFFFF_FFFF  # no parent in the index, no value in a trie node
PREFIXES_PER_STEP = 1024  # or CSV rows, handled between two pauses of reading and building
MAX_PREFIXES_PER_SORT = 4096  # a bucket with more is split by the next digit before it is sorted


class DuplicatePrefixError(ValueError):
    """The prefix is in the table already; `value` is its value there."""

    def __init__(self, prefix: str, value: int) -> None:
        super().__init__(f"{prefix} is there already")
        self.prefix, self.value = prefix, value


class PrefixMatcher(Protocol):
    """Finds the longest prefix of a number."""

    def match(self, number: str) -> tuple[int, int] | None:
        """Return the length and the value of the longest prefix with which the number (hex digits) begins.

        None where no prefix matches.
        """
        ...


def encode_key(prefix: str) -> int:
    """Return the key of a prefix; ValueError if it has other characters than hex digits or too many."""
    length = len(prefix)
    if length > MAX_PREFIX_DIGITS:
        raise ValueError(f"prefix {prefix} has {length} digits, at most {MAX_PREFIX_DIGITS} are allowed")
    if not length:
        return 0
    return (int(prefix, 16) << PREFIX_SHIFTS_BITS[length]) | length


def decode_prefix(key: int) -> str:
    """Return the prefix (hex digits) that a key encodes."""
    length = key & 15
    return f"{key >> PREFIX_SHIFTS_BITS[length]:0{length}x}" if length else ""


def run_to_completion(steps: Generator[None, None, T]) -> T:
    """Run a generator to its end without pausing and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            value: T = done.value
            return value


class PrefixIndex:
    """Immutable table of prefixes with a value each, made by `PrefixIndexBuilder`."""

    __slots__ = ("bucket_starts", "keys", "parents", "values")

    def __init__(
        self, keys: array[int], parents: array[int], values: array[int], bucket_starts: array[int]
    ) -> None:
        self.keys, self.parents, self.values = keys, parents, values
        # By the first three digits: the position of their first key; at last the number of keys.
        self.bucket_starts = bucket_starts

    def __len__(self) -> int:
        return len(self.keys)

    def __iter__(self) -> Iterator[tuple[str, int]]:
        """Yield every prefix with its value, in the order of their digits."""
        return ((decode_prefix(key), value) for key, value in zip(self.keys, self.values, strict=True))

    def match(self, number: str) -> tuple[int, int] | None:
        """Return the length and the value of the number's longest prefix in the table, None without one.

        Digits after the first `MAX_PREFIX_DIGITS` are ignored.
        """
        length = len(number)
        if length > MAX_PREFIX_DIGITS:
            number, length = number[:MAX_PREFIX_DIGITS], MAX_PREFIX_DIGITS
        target = int(number, 16) << PREFIX_SHIFTS_BITS[length] if length else 0
        keys, bucket_starts, leading_digits = (
            self.keys,
            self.bucket_starts,
            target >> LEADING_DIGITS_SHIFT_BITS,
        )
        position = (
            bisect_right(
                keys, target | length, bucket_starts[leading_digits], bucket_starts[leading_digits + 1]
            )
            - 1
        )
        while position >= 0:
            key = keys[position]
            key_length = key & 15
            if key_length <= length and (key ^ target) <= SUFFIX_MASKS[key_length]:
                return key_length, self.values[position]
            position = self.parents[position]
            if position == NO_ENTRY:
                return None
        return None

    def has_longer_prefix(self, digits: str) -> bool:
        """Whether the table has a prefix that begins with these digits and is longer.

        A number that ends with these digits may be incomplete in this case.
        """
        if len(digits) >= MAX_PREFIX_DIGITS:
            return False
        digits_key = encode_key(digits)
        position = bisect_right(self.keys, digits_key)
        return position < len(self.keys) and (self.keys[position] ^ digits_key) <= SUFFIX_MASKS[len(digits)]


class PrefixIndexBuilder:
    """Collects prefixes in any order and builds a `PrefixIndex` of them."""

    def __init__(self) -> None:
        self.buckets: dict[int, dict[int, int]] = {}  # values by key, by the first two digits
        self.prefix_count = 0

    def add(self, prefix: str, value: int) -> None:
        """Add a prefix; ValueError if it is malformed, `DuplicatePrefixError` if it was added before."""
        key = encode_key(prefix)
        bucket = self.buckets.setdefault(key >> 56, {})
        if key in bucket:
            raise DuplicatePrefixError(prefix, bucket[key])
        bucket[key] = value
        self.prefix_count += 1

    def build(self) -> PrefixIndex:
        """Build the index without pausing."""
        return run_to_completion(self.build_steps())

    def build_steps(self) -> Generator[None, None, PrefixIndex]:
        """Build the index in steps; the generator's result is the index, and the builder is empty afterwards.

        Yields after a bounded amount of work, so that an event loop can run other tasks in between.
        """
        keys, values, parents = array("Q"), array("I"), array("I")
        # Positions of the latest prefix and of all with which it begins, shortest first.
        ancestors: list[int] = []
        written = 0
        for leading_digits in sorted(self.buckets):
            for piece in split_bucket(self.buckets.pop(leading_digits), 56):
                if piece is None:
                    yield
                    continue
                for key in sorted(piece):
                    while ancestors:
                        ancestor_key = keys[ancestors[-1]]
                        if (ancestor_key ^ key) <= SUFFIX_MASKS[ancestor_key & 15]:
                            break
                        ancestors.pop()
                    parents.append(ancestors[-1] if ancestors else NO_ENTRY)
                    ancestors.append(len(keys))
                    keys.append(key)
                    values.append(piece[key])
                    written += 1
                    if written % PREFIXES_PER_STEP == 0:
                        yield
        self.prefix_count = 0
        bucket_starts = array("I")
        for leading_digits in range(1 << (64 - LEADING_DIGITS_SHIFT_BITS)):
            bucket_starts.append(bisect_left(keys, leading_digits << LEADING_DIGITS_SHIFT_BITS))
            if leading_digits % 512 == 0:
                yield
        bucket_starts.append(len(keys))
        return PrefixIndex(keys, parents, values, bucket_starts)


def split_bucket(bucket: dict[int, int], shift: int) -> Iterator[dict[int, int] | None]:
    """Yield the bucket in pieces of at most `MAX_PREFIXES_PER_SORT` keys, in key order, and None to pause.

    All keys of the bucket agree above their lowest `shift` bits.
    """
    if len(bucket) <= MAX_PREFIXES_PER_SORT or shift == 0:
        yield bucket
        return
    shift -= 4
    pieces: dict[int, dict[int, int]] = {}
    for count, (key, value) in enumerate(bucket.items(), 1):
        pieces.setdefault(key >> shift, {})[key] = value
        if count % PREFIXES_PER_STEP == 0:
            yield None
    bucket.clear()
    for digit in sorted(pieces):
        yield from split_bucket(pieces.pop(digit), shift)


class LengthTableMatcher:
    """Baseline of the benchmark: one dict for each prefix length, tried from the longest length down."""

    def __init__(self, entries: Iterable[tuple[str, int]]) -> None:
        self.tables: dict[int, dict[str, int]] = {}
        for prefix, value in entries:
            self.tables.setdefault(len(prefix), {})[prefix] = value
        self.lengths = sorted(self.tables, reverse=True)

    def match(self, number: str) -> tuple[int, int] | None:
        for length in self.lengths:
            if length <= len(number) and (value := self.tables[length].get(number[:length])) is not None:
                return length, value
        return None


class TrieMatcher:
    """Alternative in the benchmark: a trie, each node a row of sixteen children, one for each hex digit."""

    def __init__(self, entries: Iterable[tuple[str, int]]) -> None:
        self.children = array("I", [0] * 16)
        self.values = array("I", [NO_ENTRY])
        for prefix, value in entries:
            node = 0
            for digit in prefix:
                slot = node * 16 + int(digit, 16)
                if not self.children[slot]:
                    self.children[slot] = len(self.values)
                    self.values.append(NO_ENTRY)
                    self.children.extend(EMPTY_ROW)
                node = self.children[slot]
            self.values[node] = value

    def match(self, number: str) -> tuple[int, int] | None:
        children, values, node = self.children, self.values, 0
        longest = (0, values[0]) if values[0] != NO_ENTRY else None
        for length, digit in enumerate(number.encode(), 1):
            node = children[node * 16 + DIGIT_VALUES[digit]]
            if not node:
                break
            if values[node] != NO_ENTRY:
                longest = (length, values[node])
        return longest


EMPTY_ROW = array("I", [0] * 16)
DIGIT_VALUES = bytes(int(chr(code), 16) if chr(code) in "0123456789abcdef" else 0 for code in range(256))
