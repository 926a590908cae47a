"""Delivery of releases: a model of callers whose connections close at any moment, on either side."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mintvalve.core.release_delivery import ACK_MS, MEANT_MS, MOST_SAYS, SLICE, SURE_MS, ReleaseDelivery

KEEP_MS = 30_000.0


@dataclass(eq=False)
class Pipe:
    """A connection: what is written waits in it until its side reads; a close loses that."""

    host: str
    acknowledges: bool = False
    is_trusted: bool = False
    is_open: bool = True
    last_data_at: float = -math.inf
    unread: list[int] = field(default_factory=list)


class Town:
    """Hosts with their pipes; keeps who read what."""

    def __init__(self, keep_ms: float = KEEP_MS, most: int = 100, strangers: bool = True) -> None:
        self.now = 0.0
        self.releases: ReleaseDelivery[Pipe] = ReleaseDelivery(self, keep_ms, most, strangers)
        self.read: dict[int, list[str]] = {}
        self.full: set[Pipe] = set()
        self.ends = 0

    def write_release(self, way: Pipe, call: int, cause: int) -> bool:
        if not way.is_open or way in self.full:
            return False
        way.unread.append(call)
        return True

    def pipe(self, host: str, acknowledges: bool = False, proven: bool = False) -> Pipe:
        way = Pipe(host, acknowledges, proven)
        self.releases.on_connection_opened(way, self.now)
        return way

    def owe(self, call: int, home: Pipe | None, host: str = "") -> None:
        self.releases.enqueue_release(call, 16, home, home.host if home else host, self.now)

    def hear(self, way: Pipe, acknowledge: bool = True) -> list[int]:
        """Its side reads all that waits."""
        heard, way.unread = way.unread, []
        if heard:
            way.last_data_at = self.now
        for call in heard:
            self.read.setdefault(call, []).append(way.host)
            if acknowledge and way.acknowledges:
                self.releases.on_acknowledged(call)
        return heard

    def close(self, way: Pipe) -> None:
        way.is_open, way.unread = False, []
        self.releases.on_connection_closed(way, self.now)

    def later(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + 50.0)
            self.releases.look(self.now)

    def empty(self) -> bool:
        held = self.releases
        return not (held.all or held.owed or held.said or held.by_host or held.by_way)


def test_a_release_that_crosses_a_close_is_said_again() -> None:
    # Guards against taking a write for a hearing: the caller closed before it read.
    town = Town()
    home = town.pipe("a", acknowledges=True)
    town.owe(1, home)
    town.close(home)
    assert town.read == {}
    again = town.pipe("a", acknowledges=True)
    assert town.hear(again) == [1] and town.empty()


def test_a_side_that_acknowledges_and_does_not_is_told_by_another_way() -> None:
    town = Town()
    home, other = town.pipe("a", acknowledges=True), town.pipe("a", acknowledges=True)
    town.owe(1, home)
    town.later(ACK_MS - 50.0)
    assert other.unread == []
    town.later(100.0)
    assert home.unread == other.unread == [1]


def test_one_that_never_acknowledges_has_heard_once_its_way_spoke_and_lasted() -> None:
    town = Town()
    home = town.pipe("a")
    town.owe(1, home)
    town.later(50.0)
    home.last_data_at = town.now
    town.later(SURE_MS - 100.0)
    assert 1 in town.releases
    town.later(100.0)
    assert town.empty() and town.releases.ends == {"sure": 1}


def test_a_way_that_is_silent_since_is_not_sure() -> None:
    # A machine that was cut off leaves its connections open: nothing shows that the word came through.
    town = Town()
    home = town.pipe("a")
    town.owe(1, home)
    town.later(5 * SURE_MS)
    assert 1 in town.releases
    assert town.hear(town.pipe("a")) == [1]


def test_another_host_hears_only_where_nobody_better_is_and_the_right_one_hears_too() -> None:
    town = Town()
    home, stranger = town.pipe("a"), town.pipe("b")
    town.close(home)
    town.releases.enqueue_release(1, 16, home, "a", town.now)
    town.later(MEANT_MS - 50.0)
    assert stranger.unread == []
    known = town.pipe("c", acknowledges=True, proven=True)
    assert town.hear(known) == [1] and stranger.unread == []
    assert town.hear(town.pipe("a", acknowledges=True)) == [1] and town.empty()


def test_without_strangers_a_release_waits_for_whoever_comes_back() -> None:
    town = Town(strangers=False)
    home, other = town.pipe("", acknowledges=True), town.pipe("", acknowledges=True, proven=True)
    town.owe(1, home)
    town.close(home)
    town.later(3 * MEANT_MS)
    assert other.unread == []
    assert town.releases.redirect(1, other, town.now) and not town.releases.redirect(2, other, town.now)
    assert town.hear(other) == [1] and town.empty()


def test_a_full_way_is_passed_over_and_the_oldest_gives_way_where_all_places_are_taken() -> None:
    town = Town(most=3)
    home = town.pipe("a")
    town.full.add(home)
    for call in range(1, 6):
        town.owe(call, home)
    assert list(town.releases.all) == [3, 4, 5] and town.releases.ends == {"crowded out": 2}
    town.full.clear()
    town.later(50.0)
    assert home.unread == [3, 4, 5]


def test_many_at_once_go_out_in_slices() -> None:
    # Guards against holding the loop while thousands are owed and one caller comes back.
    town = Town(most=10 * SLICE)
    for call in range(3 * SLICE):
        town.owe(call, None, "a")
    home = town.pipe("a", acknowledges=True)
    assert len(home.unread) == SLICE
    town.later(100.0)
    assert len(home.unread) == 3 * SLICE


@pytest.mark.parametrize("said", [True, False])
def test_what_nobody_hears_ends_with_its_time(said: bool) -> None:
    town = Town()
    home = town.pipe("a")
    if not said:
        town.close(home)
    town.owe(1, home)
    town.later(KEEP_MS)
    assert town.empty() and town.releases.ends == {"unsure" if said else "late": 1}


class Model(RuleBasedStateMachine):
    """Two hosts that acknowledge and one that does not; all that is owed to one is read there in the end."""

    def __init__(self) -> None:
        super().__init__()
        self.town = Town()
        self.pipes: list[Pipe] = []
        self.owed: dict[int, str] = {}

    def pick(self, number: int) -> Pipe | None:
        alive = [each for each in self.pipes if each.is_open]
        return alive[number % len(alive)] if alive else None

    @rule(host=st.sampled_from("abc"))
    def connect(self, host: str) -> None:
        self.pipes.append(self.town.pipe(host, acknowledges=host != "c"))

    @rule(number=st.integers(0, 9))
    def end_call(self, number: int) -> None:
        if (way := self.pick(number)) is not None:
            call = len(self.owed)
            self.owed[call] = way.host
            self.town.owe(call, way)

    @rule(number=st.integers(0, 9))
    def end_call_of_a_gone_caller(self, number: int) -> None:
        if self.pipes:
            way = self.pipes[number % len(self.pipes)]
            call = len(self.owed)
            self.owed[call] = way.host
            self.town.owe(call, way)

    @rule(number=st.integers(0, 9), proven=st.booleans())
    def read(self, number: int, proven: bool) -> None:
        if (way := self.pick(number)) is not None:
            self.town.hear(way)
            if proven and not way.is_trusted:
                way.is_trusted = True
                self.town.releases.on_connection_trusted(way, self.town.now)

    @rule(number=st.integers(0, 9))
    def read_and_close_before_the_acknowledgement_arrives(self, number: int) -> None:
        if (way := self.pick(number)) is not None:
            self.town.hear(way, acknowledge=False)
            self.town.close(way)

    @rule(number=st.integers(0, 9))
    def close(self, number: int) -> None:
        if (way := self.pick(number)) is not None:
            self.town.close(way)

    @rule(ms=st.sampled_from([50.0, 200.0, 350.0]))
    def later(self, ms: float) -> None:
        self.town.later(ms)

    @invariant()
    def the_tables_agree(self) -> None:
        held = self.town.releases
        assert not held.owed.keys() & held.said.keys()
        assert held.owed.keys() | held.said.keys() <= held.all.keys()
        assert sorted(held.all) == sorted(call for there in held.by_host.values() for call in there)
        assert all(way.is_open for way in held.by_way) and all(way.is_open for way in held.ways)
        assert all(release.says <= MOST_SAYS for release in held.all.values())
        lost = [call for call in self.owed if call not in held and call not in self.town.read]
        sure = [call for call in lost if self.owed[call] == "c"]
        assert lost == sure, "ended, and nobody has read it"
        unread = {call for each in self.pipes if each.is_open for call in each.unread}
        assert set(sure) <= unread, "taken for sure, and not even in a connection that is open"

    def teardown(self) -> None:
        """Everybody comes back once, stays, and reads."""
        for each in self.pipes:
            if each.is_open:
                self.town.hear(each)
        back = [self.town.pipe(host, acknowledges=True) for host in "abc"]
        for _ in range(20):
            self.town.later(100.0)
            for each in [*self.pipes, *back]:
                if each.is_open:
                    each.last_data_at = self.town.now
                    self.town.hear(each)
        for call, host in self.owed.items():
            assert host in self.town.read.get(call, []), f"{host} never heard of call {call}"
        assert self.town.empty() or all(not each.met for each in self.town.releases.all.values())
        self.town.later(KEEP_MS)
        assert self.town.empty()


Model.TestCase.settings = settings(derandomize=True, deadline=None, max_examples=150, stateful_step_count=30)
TestDeliveryModel = Model.TestCase
