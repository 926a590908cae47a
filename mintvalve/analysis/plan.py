"""One generation of a numbering plan, and the analysis that decides where a call goes.

A plan is immutable: a call keeps the plan under which it arrived. State that changes (the list of exchanges,
the usage of caps) is not part of the plan; the analysis gets it through arguments. The route is chosen before
the call is handed to the decision module, which decides as for any other call; its refusal is final.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

from mintvalve.analysis.index import PrefixIndex
from mintvalve.analysis.timetables import Timetable

MAX_CHAINED_ROUTES = 8  # routes in a row that timetables may lead through; the table's reader refuses more
REMOVE_SEPARATORS = str.maketrans("", "", " -.()/")  # as people write them in numbers
DECIMAL_TO_HEX = str.maketrans("*#", "ab")  # telephone keys * and #; the index holds hex digits only


class Outcome(Enum):
    """Result of the analysis of a number."""

    ROUTED = "routed"
    BARRED = "barred"
    INCOMPLETE = "incomplete"  # further digits may lead to a route
    UNKNOWN = "unknown"


class Alphabet(Enum):
    """The digits that numbers and prefixes of a plan consist of."""

    DECIMAL = "decimal"  # 0 to 9, * and #
    HEX = "hex"  # 0 to 9 and a to f

    def encode(self, text: str) -> str | None:
        """Return a number or prefix in the index's hex digits; None if it has characters of no digit."""
        allowed = "0123456789*#" if self is Alphabet.DECIMAL else "0123456789abcdef"
        if any(character not in allowed for character in text):
            return None
        return text.translate(DECIMAL_TO_HEX) if self is Alphabet.DECIMAL else text


@dataclass(frozen=True, slots=True)
class Rewrite:
    """Rule that turns a dialled number into a number of the plan.

    It applies to numbers that begin with `begins` and have `least` to `most` digits: `strip` leading digits
    are removed and `add` is put in front.
    """

    begins: str
    strip: int
    add: str
    least: int = 0
    most: int = 10_000

    def matches(self, number: str) -> bool:
        return number.startswith(self.begins) and self.least <= len(number) <= self.most


@dataclass(frozen=True, slots=True)
class CallerGroup:
    """Callers whose dialled numbers follow the same rewrites."""

    name: str
    rewrites: tuple[Rewrite, ...] = ()

    def normalise(self, number: str) -> tuple[str, Rewrite | None]:
        """Return the number after the first rewrite that matches, and this rewrite (None: no match)."""
        for rewrite in self.rewrites:
            if rewrite.matches(number):
                return rewrite.add + number[rewrite.strip :], rewrite
        return number, None


@dataclass(frozen=True, slots=True)
class Choice:
    """One exchange of a rank, by its number, with its weight relative to the others of the rank."""

    to: int
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Route:
    """Where calls go: to an exchange of the ranks, or to another route by the rule of a timetable.

    Ranks are tried in order; among the exchanges of one rank the weights decide. `by_rule` maps each rule of
    `timetable` to the name of a route. `caps` are names of caps.
    """

    name: str
    ranks: tuple[tuple[Choice, ...], ...] = ()
    timetable: str = ""
    by_rule: Mapping[str, str] = field(default_factory=dict)
    caps: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Cap:
    """Limit on the concurrent calls and on the calls per second of all routes and prefixes that name it.

    0 stands for no limit of that kind. `burst` is the number of calls that the rate admits at once.
    """

    name: str
    calls: int = 0
    a_second: float = 0.0
    burst: int = 1


@dataclass(frozen=True, slots=True)
class PrefixTarget:
    """What a prefix leads to; prefixes with equal entries share one object."""

    route: str  # empty: barred
    min_digits: int = 0  # of a complete number
    max_digits: int = 10_000
    caps: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AnalysisResult:
    """Where one call goes, and the reasons in the order in which they applied.

    `destination` is the number of an exchange; -1 where the call is not routed.
    """

    outcome: Outcome
    generation: str
    normalised_number: str
    matched_prefix: str = ""
    destination: int = -1
    route: str = ""
    caps: tuple[str, ...] = ()
    reasons: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Plan:
    """One generation of a numbering plan. The values of `index` are positions in `targets`."""

    name: str
    generation: str
    alphabet: Alphabet
    groups: Mapping[str, CallerGroup]
    default_group: str
    routes: Mapping[str, Route]
    caps: Mapping[str, Cap]
    timetables: Mapping[str, Timetable]
    targets: tuple[PrefixTarget, ...]
    index: PrefixIndex

    def analyse(
        self,
        number: str,
        call_id: int,
        time_s: float,
        is_listed: Callable[[int], bool],
        group_name: str = "",
    ) -> AnalysisResult:
        """Decide where a call to a dialled number goes at a Unix time in seconds.

        `is_listed` tells whether an exchange of a given number is in the list of exchanges. An unknown
        `group_name` stands for the plan's default group. The choice among alternatives is a hash of
        `call_id`, not random, so that it can be repeated.
        """
        dialled = number.translate(REMOVE_SEPARATORS)
        group = self.groups[group_name if group_name in self.groups else self.default_group]
        normalised, rewrite = group.normalise(dialled)
        reasons = [
            f"group {group.name}" + (f" turns {rewrite.begins}… into {rewrite.add}…" if rewrite else "")
        ]

        def unrouted(outcome: Outcome, reason: str, matched: str = "", route: str = "") -> AnalysisResult:
            return AnalysisResult(
                outcome, self.generation, normalised, matched, route=route, reasons=(*reasons, reason)
            )

        encoded = self.alphabet.encode(normalised)
        if encoded is None:
            return unrouted(Outcome.UNKNOWN, f"it has characters that are no {self.alphabet.value} digits")
        match = self.index.match(encoded)
        if match is None:
            if self.index.has_longer_prefix(encoded):
                return unrouted(Outcome.INCOMPLETE, "longer numbers begin so")
            return unrouted(Outcome.UNKNOWN, "no prefix begins it")
        target = self.targets[match[1]]
        matched = normalised[: match[0]]
        if len(normalised) < target.min_digits or (
            len(normalised) == match[0] < target.max_digits
            and not target.min_digits
            and self.index.has_longer_prefix(encoded)
        ):
            return unrouted(
                Outcome.INCOMPLETE, f"numbers under {matched} have more digits", matched, target.route
            )
        if len(normalised) > target.max_digits:
            return unrouted(
                Outcome.UNKNOWN,
                f"numbers under {matched} have {target.max_digits} digits at the most",
                matched,
                target.route,
            )
        if not target.route:
            return unrouted(Outcome.BARRED, f"{matched} is barred", matched)
        reasons.append(f"prefix {matched} leads to {target.route}")
        route, caps = self.routes[target.route], list(target.caps)
        for _ in range(MAX_CHAINED_ROUTES):
            caps += [cap for cap in route.caps if cap not in caps]
            if not route.timetable:
                break
            rule = self.timetables[route.timetable].rule_at(time_s)
            reasons.append(f"{route.timetable} says {rule}: {route.by_rule[rule]}")
            route = self.routes[route.by_rule[rule]]
        choice, reason = self.choose_exchange(route, call_id, is_listed)
        return AnalysisResult(
            Outcome.ROUTED,
            self.generation,
            normalised,
            matched,
            choice.to,
            route.name,
            tuple(caps),
            (*reasons, reason),
        )

    @staticmethod
    def choose_exchange(route: Route, call_id: int, is_listed: Callable[[int], bool]) -> tuple[Choice, str]:
        """Choose by weight from the first rank that has listed exchanges; also return the reason as text.

        Where no rank has any, the choice is made from the first rank regardless: the decision module handles
        an unlisted destination.
        """
        for rank_number, rank in enumerate(route.ranks, 1):
            listed = [choice for choice in rank if is_listed(choice.to)]
            if listed:
                best = max(listed, key=lambda choice: rendezvous_score(call_id, route.name, choice))
                return (
                    best,
                    f"rank {rank_number} of {route.name}, {len(listed)} of {len(rank)} there: {best.to}",
                )
        best = max(route.ranks[0], key=lambda choice: rendezvous_score(call_id, route.name, choice))
        return best, f"no exchange of {route.name} is there: {best.to}"


def rendezvous_score(call_id: int, route_name: str, choice: Choice) -> float:
    """Score an alternative of a route for a call; the alternative with the highest score is chosen.

    Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights after Schindelhauer and Schomaker 2005):
    an alternative that is removed or added moves only its own share of the calls.
    """
    data = b"%016x %d %s" % (call_id, choice.to, route_name.encode())
    unit_hash = (int.from_bytes(blake2b(data, digest_size=8).digest(), "big") + 0.5) / 2.0**64
    return -choice.weight / math.log(unit_hash)
