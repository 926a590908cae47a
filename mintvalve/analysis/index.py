"""Longest-prefix match over a table of number prefixes, made for a million of them in little memory.

A prefix of up to `LONGEST` digits is one 64-bit key: its digits, four bits each, from the top, and its
length in the lowest four bits. Sorted so, a prefix stands before all that it begins, and the greatest key
not above a number's own is either its longest match or lies beside it under a shorter one; `parents` names
the next shorter prefix that the table holds, so the way up is a step or two. Three flat arrays hold it all:
16 bytes a prefix.

Ways weighed, with figures: docs/analysis.md.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Generator, Iterable, Iterator
from typing import Protocol, TypeVar

T = TypeVar("T")

LONGEST = 15  # digits of a prefix (ITU-T E.164, 6: a number has 15 at the most)
SHIFTS = tuple(4 * (LONGEST + 1 - length) for length in range(LONGEST + 1))  # bits below a prefix's digits
BELOW = tuple((1 << shift) - 1 for shift in SHIFTS)  # all that may differ below them
FIRST = 52  # bits below the first three digits
NONE = 0xFFFF_FFFF  # no parent
SLICE = 1024  # prefixes handled between two pauses of a build
SPLIT = 4096  # prefixes of one bucket that are sorted at once; more are split by the next digit


class Duplicate(ValueError):
    """A prefix that the table holds already; `value` is what it leads to there."""

    def __init__(self, prefix: str, value: int) -> None:
        super().__init__(f"{prefix} is there already")
        self.prefix, self.value = prefix, value


class Matcher(Protocol):
    """Anything that finds the longest prefix of a number."""

    def match(self, number: str) -> tuple[int, int] | None:
        """Length of the longest prefix that the number begins with, and its value; None where there is
        none."""
        ...


def key_of(prefix: str) -> int:
    """The key of a prefix of hex digits; ValueError where it has others or too many."""
    length = len(prefix)
    if length > LONGEST:
        raise ValueError(f"a prefix has {LONGEST} digits at the most")
    if not length:
        return 0
    return (int(prefix, 16) << SHIFTS[length]) | length


def prefix_of(key: int) -> str:
    """The digits of a key."""
    length = key & 15
    return f"{key >> SHIFTS[length]:0{length}x}" if length else ""


def finished(steps: Generator[None, None, T]) -> T:
    """The value of work done in slices, all at once."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            value: T = done.value
            return value


class Index:
    """A table that is built once and only read from then on."""

    __slots__ = ("keys", "parents", "starts", "values")

    def __init__(self, keys: array[int], parents: array[int], values: array[int], starts: array[int]) -> None:
        self.keys, self.parents, self.values = keys, parents, values
        self.starts = starts  # where the keys of each three first digits begin, and where all end

    def __len__(self) -> int:
        return len(self.keys)

    def __iter__(self) -> Iterator[tuple[str, int]]:
        """Every prefix with its value, in the order of their digits."""
        return ((prefix_of(key), value) for key, value in zip(self.keys, self.values, strict=True))

    def match(self, number: str) -> tuple[int, int] | None:
        """Length of the longest prefix that the number (hex digits) begins with, and its value."""
        length = len(number)
        if length > LONGEST:
            number, length = number[:LONGEST], LONGEST
        target = int(number, 16) << SHIFTS[length] if length else 0
        keys, starts, first = self.keys, self.starts, target >> FIRST
        place = bisect_right(keys, target | length, starts[first], starts[first + 1]) - 1
        while place >= 0:
            key = keys[place]
            own = key & 15
            if own <= length and (key ^ target) <= BELOW[own]:
                return own, self.values[place]
            place = self.parents[place]
            if place == NONE:
                return None
        return None

    def begins(self, digits: str) -> bool:
        """Whether some prefix of the table is longer than these digits and begins with them: a number that
        ends here may only not be whole yet."""
        if len(digits) >= LONGEST:
            return False
        own = key_of(digits)
        place = bisect_right(self.keys, own)
        return place < len(self.keys) and (self.keys[place] ^ own) <= BELOW[len(digits)]


class Builder:
    """Gathers prefixes in any order; `build` makes the index of them in slices."""

    def __init__(self) -> None:
        self.buckets: dict[int, dict[int, int]] = {}  # by the first two digits
        self.size = 0

    def add(self, prefix: str, value: int) -> None:
        """ValueError where it is no prefix, `Duplicate` where it is there."""
        key = key_of(prefix)
        bucket = self.buckets.setdefault(key >> 56, {})
        if key in bucket:
            raise Duplicate(prefix, bucket[key])
        bucket[key] = value
        self.size += 1

    def build(self) -> Index:
        """All at once."""
        return finished(self.steps())

    def steps(self) -> Generator[None, None, Index]:
        """Pauses after bounded work, so that a loop can do other things in between; the index is its value.
        The builder is empty afterwards."""
        keys, values, parents = array("Q"), array("I"), array("I")
        open_at: list[int] = []  # places of the prefixes that enclose the latest one, the shortest first
        done = 0
        for first in sorted(self.buckets):
            for part in parts(self.buckets.pop(first), 56):
                if part is None:
                    yield
                    continue
                for key in sorted(part):
                    while open_at:
                        outer = keys[open_at[-1]]
                        if (outer ^ key) <= BELOW[outer & 15]:
                            break
                        open_at.pop()
                    parents.append(open_at[-1] if open_at else NONE)
                    open_at.append(len(keys))
                    keys.append(key)
                    values.append(part[key])
                    done += 1
                    if done % SLICE == 0:
                        yield
        self.size = 0
        starts = array("I")
        for first in range(1 << (64 - FIRST)):
            starts.append(bisect_left(keys, first << FIRST))
            if first % 512 == 0:
                yield
        starts.append(len(keys))
        return Index(keys, parents, values, starts)


def parts(bucket: dict[int, int], shift: int) -> Iterator[dict[int, int] | None]:
    """A bucket in pieces small enough to sort at once, in the order of their keys; None where a pause is due.
    All keys of the bucket agree above `shift` bits."""
    if len(bucket) <= SPLIT or shift == 0:
        yield bucket
        return
    shift -= 4
    pieces: dict[int, dict[int, int]] = {}
    for count, (key, value) in enumerate(bucket.items(), 1):
        pieces.setdefault(key >> shift, {})[key] = value
        if count % SLICE == 0:
            yield None
    bucket.clear()
    for digit in sorted(pieces):
        yield from parts(pieces.pop(digit), shift)


class Plain:
    """The baseline: one dict for each length, tried from the longest on."""

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


class Trie:
    """The second way weighed: one row of sixteen children for each digit."""

    def __init__(self, entries: Iterable[tuple[str, int]]) -> None:
        self.children = array("I", [0] * 16)
        self.values = array("I", [NONE])
        for prefix, value in entries:
            node = 0
            for digit in prefix:
                place = node * 16 + int(digit, 16)
                if not self.children[place]:
                    self.children[place] = len(self.values)
                    self.values.append(NONE)
                    self.children.extend(EMPTY_ROW)
                node = self.children[place]
            self.values[node] = value

    def match(self, number: str) -> tuple[int, int] | None:
        children, values, node = self.children, self.values, 0
        best = (0, values[0]) if values[0] != NONE else None
        for length, digit in enumerate(number.encode(), 1):
            node = children[node * 16 + DIGITS[digit]]
            if not node:
                break
            if values[node] != NONE:
                best = (length, values[node])
        return best


EMPTY_ROW = array("I", [0] * 16)
DIGITS = bytes(int(chr(each), 16) if chr(each) in "0123456789abcdef" else 0 for each in range(256))
