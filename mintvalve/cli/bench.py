"""Compares the prefix index with alternative structures: build time, memory and look-up rate."""

from __future__ import annotations

import gc
import os
import resource
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

from mintvalve.analysis.index import (
    LengthTableMatcher,
    PrefixIndex,
    PrefixIndexBuilder,
    PrefixMatcher,
    TrieMatcher,
)

LOOKUP_COUNT = 200_000  # half of the numbers begin with a prefix of the table
ROUNDS = 3  # the fastest one is reported
PREFIX_LENGTHS = (3, 4, 5, 6, 7, 8, 9, 10)  # digits


def generate_entries(prefix_count: int, seed: int) -> tuple[list[tuple[str, int]], list[str]]:
    """Generate random decimal prefixes with values, and random numbers to look up."""
    rng = Random(seed)
    short_prefix_count = sum(10**length for length in PREFIX_LENGTHS[:2])

    def digits(length: int) -> str:
        return f"{rng.randrange(10**length):0{length}d}"

    values: dict[str, int] = {}
    while len(values) < prefix_count:
        length = rng.choice(PREFIX_LENGTHS if len(values) < short_prefix_count else PREFIX_LENGTHS[2:])
        values.setdefault(digits(length), len(values) % 1000)
    entries = list(values.items())
    numbers = [
        rng.choice(entries)[0] + digits(4) if position % 2 else digits(12) for position in range(LOOKUP_COUNT)
    ]
    return entries, numbers


def build_index(entries: list[tuple[str, int]]) -> tuple[PrefixIndex, float]:
    """Build the index; return it with the longest time between two pauses of the build in milliseconds."""
    builder, longest_step_ms = PrefixIndexBuilder(), 0.0
    for prefix, value in entries:
        builder.add(prefix, value)
    steps = builder.build_steps()
    while True:
        step_start_s = time.perf_counter()
        try:
            next(steps)
        except StopIteration as done:
            return done.value, longest_step_ms
        longest_step_ms = max(longest_step_ms, (time.perf_counter() - step_start_s) * 1000.0)


def lookups_per_second(matcher: PrefixMatcher, numbers: list[str]) -> float:
    """Return the look-ups per second of the fastest of `ROUNDS` rounds."""
    best_s = float("inf")
    for _ in range(ROUNDS):
        round_start_s = time.perf_counter()
        for number in numbers:
            matcher.match(number)
        best_s = min(best_s, time.perf_counter() - round_start_s)
    return len(numbers) / best_s


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()


def measure_memory_mb(build: Callable[[], object]) -> float:
    """Return the resident memory in MB that a structure adds to the entries from which it is built.

    Measured in a forked process, so that the allocator cannot reuse memory freed by earlier builds.
    """
    read_fd, write_fd = os.pipe()
    child_pid = os.fork()
    if not child_pid:
        bytes_before = resident_bytes()
        structure = build()
        gc.collect()
        os.write(write_fd, b"%d" % (resident_bytes() - bytes_before))
        del structure
        os._exit(0)
    os.close(write_fd)
    with os.fdopen(read_fd, "rb") as pipe:
        size_bytes = int(pipe.read())
    os.waitpid(child_pid, 0)
    return size_bytes / 1e6


def copy_entries(entries: list[tuple[str, int]]) -> list[tuple[str, int]]:
    """Return equal entries with separate string objects, as reading them from a file would create."""
    return [(prefix[:1] + prefix[1:], value) for prefix, value in entries]


def comparison_table(prefix_count: int, seed: int) -> str:
    """Run the comparison on generated prefixes and return a Markdown table with a summary line."""
    entries, numbers = generate_entries(prefix_count, seed)
    longest_step_ms = [0.0]

    def build_timed_index() -> PrefixIndex:
        index, longest_step_ms[0] = build_index(entries)
        return index

    builders: dict[str, Callable[[], PrefixMatcher]] = {
        "a dict for each length (baseline)": lambda: LengthTableMatcher(copy_entries(entries)),
        "a trie of rows of 16": lambda: TrieMatcher(entries),
        "sorted keys with parents (in use)": build_timed_index,
    }
    # Measured first: memory freed by builds in this process would be reused in the forked ones.
    memory_mb = {name: measure_memory_mb(build) for name, build in builders.items()}
    rows, lookup_rates = [], {}
    expected: list[tuple[int, int] | None] | None = None
    for name, build in builders.items():
        gc.collect()
        build_start_s = time.perf_counter()
        matcher = build()
        build_s = time.perf_counter() - build_start_s
        matches = [matcher.match(number) for number in numbers]
        if expected is not None and matches != expected:
            raise AssertionError(f"{name}: matches differ from those of the structure before it")
        expected = matches
        lookup_rates[name] = lookups_per_second(matcher, numbers)
        del matcher
        rows.append(f"| {name} | {build_s:.1f} | {memory_mb[name]:.1f} | {lookup_rates[name]:,.0f} |")
    baseline, in_use = next(iter(builders)), list(builders)[-1]
    return "\n".join(
        [
            f"{prefix_count:,} prefixes, {LOOKUP_COUNT:,} numbers, seed {seed}",
            "",
            "| way | build, s | memory, MB | look-ups a second |",
            "| --- | --- | --- | --- |",
            *rows,
            "",
            f"In use against the baseline: {lookup_rates[in_use] / lookup_rates[baseline]:.2f} times "
            f"the look-ups, {memory_mb[in_use] / memory_mb[baseline]:.2f} of the memory; "
            f"longest time between two pauses of its build {longest_step_ms[0]:.1f} ms; "
            f"most memory of this process "
            f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000:.0f} MB.",
        ]
    )
