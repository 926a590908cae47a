"""A numbering plan as one generation holds it, and the decision where a call goes.

All of it is fixed once built: a call keeps the plan under which it came. What changes meanwhile (the list of
exchanges, the counts of caps) is asked for through arguments. The route is chosen before the call goes to the
decision module, which then decides as ever; its refusal is final.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

from mintvalve.analysis.index import Index
from mintvalve.analysis.timetables import Timetable

HOPS = 8  # routes that lead on to others by the time of day; more in a row are refused as a plan is read
SEPARATORS = str.maketrans("", "", " -.()/")  # that people put into numbers
DECIMAL = str.maketrans("*#", "ab")  # the two further keys of a telephone; the index knows hex digits


class Verdict(Enum):
    """What a number is."""

    ROUTED = "routed"
    BARRED = "barred"
    INCOMPLETE = "incomplete"  # more digits would make it a number
    UNKNOWN = "unknown"


class Alphabet(Enum):
    """The digits of a plan."""

    DECIMAL = "decimal"  # 0 to 9, * and #
    HEX = "hex"  # 0 to 9 and a to f

    def coded(self, text: str) -> str | None:
        """The hex digits by which the index knows a number or prefix; None where it has other characters."""
        known = "0123456789*#" if self is Alphabet.DECIMAL else "0123456789abcdef"
        if any(each not in known for each in text):
            return None
        return text.translate(DECIMAL) if self is Alphabet.DECIMAL else text


@dataclass(frozen=True, slots=True)
class Rewrite:
    """How a caller group dials: numbers that begin so, of such a length, lose digits and gain others."""

    begins: str
    strip: int
    add: str
    least: int = 0
    most: int = 10_000

    def fits(self, number: str) -> bool:
        return number.startswith(self.begins) and self.least <= len(number) <= self.most


@dataclass(frozen=True, slots=True)
class Group:
    """Callers who dial alike. The first rewrite that fits is the one."""

    name: str
    rewrites: tuple[Rewrite, ...] = ()

    def normalised(self, number: str) -> tuple[str, Rewrite | None]:
        for rewrite in self.rewrites:
            if rewrite.fits(number):
                return rewrite.add + number[rewrite.strip :], rewrite
        return number, None


@dataclass(frozen=True, slots=True)
class Choice:
    """One exchange of a rank, by its number, and its weight against the others."""

    to: int
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Route:
    """Where calls go: ranks in their order, alternatives by weight within one; or, by the rule of a
    timetable, another route."""

    name: str
    ranks: tuple[tuple[Choice, ...], ...] = ()
    timetable: str = ""
    by_rule: Mapping[str, str] = field(default_factory=dict)
    caps: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Cap:
    """So many calls at once, or so many a second, for all that name it; 0: no limit of that kind."""

    name: str
    calls: int = 0
    a_second: float = 0.0
    burst: int = 1


@dataclass(frozen=True, slots=True)
class Range:
    """What prefixes lead to; those that lead to the same share one."""

    route: str  # empty: barred
    least: int = 0  # digits of a whole number
    most: int = 10_000
    caps: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Analysed:
    """The decision about one call, and how it came about."""

    verdict: Verdict
    generation: str
    normalised: str
    matched: str = ""
    destination: int = -1
    route: str = ""
    caps: tuple[str, ...] = ()
    because: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Plan:
    """One generation. `ranges` are what the values of `index` stand for."""

    name: str
    generation: str
    alphabet: Alphabet
    groups: Mapping[str, Group]
    usual_group: str
    routes: Mapping[str, Route]
    caps: Mapping[str, Cap]
    timetables: Mapping[str, Timetable]
    ranges: tuple[Range, ...]
    index: Index

    def analyse(
        self,
        number: str,
        call: int,
        when: float,
        there: Callable[[int], bool],
        group: str = "",
    ) -> Analysed:
        """What a dialled number means at a Unix time (seconds). `there` tells whether the list holds an
        exchange of that number; the choice among alternatives is made by the call's id, so it can be
        repeated."""
        dialled = number.translate(SEPARATORS)
        rules = self.groups[group if group in self.groups else self.usual_group]
        whole, rewrite = rules.normalised(dialled)
        because = [
            f"group {rules.name}" + (f" turns {rewrite.begins}… into {rewrite.add}…" if rewrite else "")
        ]

        def end(verdict: Verdict, text: str, matched: str = "", route: str = "") -> Analysed:
            return Analysed(verdict, self.generation, whole, matched, route=route, because=(*because, text))

        coded = self.alphabet.coded(whole)
        if coded is None:
            return end(Verdict.UNKNOWN, f"it has characters that are no {self.alphabet.value} digits")
        found = self.index.match(coded)
        if found is None:
            if self.index.begins(coded):
                return end(Verdict.INCOMPLETE, "longer numbers begin so")
            return end(Verdict.UNKNOWN, "no prefix begins it")
        part = self.ranges[found[1]]
        matched = whole[: found[0]]
        if len(whole) < part.least or (
            len(whole) == found[0] < part.most and not part.least and self.index.begins(coded)
        ):
            return end(Verdict.INCOMPLETE, f"numbers under {matched} have more digits", matched, part.route)
        if len(whole) > part.most:
            return end(
                Verdict.UNKNOWN,
                f"numbers under {matched} have {part.most} digits at the most",
                matched,
                part.route,
            )
        if not part.route:
            return end(Verdict.BARRED, f"{matched} is barred", matched)
        because.append(f"prefix {matched} leads to {part.route}")
        route, caps = self.routes[part.route], list(part.caps)
        for _ in range(HOPS):
            caps += [each for each in route.caps if each not in caps]
            if not route.timetable:
                break
            rule = self.timetables[route.timetable].at(when)
            because.append(f"{route.timetable} says {rule}: {route.by_rule[rule]}")
            route = self.routes[route.by_rule[rule]]
        choice, text = self.choose(route, call, there)
        return Analysed(
            Verdict.ROUTED,
            self.generation,
            whole,
            matched,
            choice.to,
            route.name,
            tuple(caps),
            (*because, text),
        )

    @staticmethod
    def choose(route: Route, call: int, there: Callable[[int], bool]) -> tuple[Choice, str]:
        """The first rank that has an exchange in the list; within it by weight. Where none is, the first
        choice all the same: the decision module knows best what to do with it."""
        for place, rank in enumerate(route.ranks, 1):
            fit = [each for each in rank if there(each.to)]
            if fit:
                best = max(fit, key=lambda each: score(call, route.name, each))
                return best, f"rank {place} of {route.name}, {len(fit)} of {len(rank)} there: {best.to}"
        best = max(route.ranks[0], key=lambda each: score(call, route.name, each))
        return best, f"no exchange of {route.name} is there: {best.to}"


def score(call: int, route: str, choice: Choice) -> float:
    """Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights as Schindelhauer and Schomaker 2005):
    the highest score wins. An alternative that goes or comes moves only its own share of the calls."""
    data = b"%016x %d %s" % (call, choice.to, route.encode())
    part = (int.from_bytes(blake2b(data, digest_size=8).digest(), "big") + 0.5) / 2.0**64
    return -choice.weight / math.log(part)
