"""Many calls through the whole program in one process: every table empties, and memory stays level.

    python -m benchmarks.soak [--calls 200000] [--seed 1] [--out docs/measurements/soak.md]

The program's parts with the real decision module on loopback sockets, against the tests' stand-ins, on a
clock that the run moves (100 calls a second of it). All day callers' connections close, with releases under
way; exchanges close connections, drop answers, spoil bytes, drain, and are replaced by new ones under new
ids, some at the old address. One row a quarter: resident memory after a collection, the largest size of
each table in the quarter, and what is left at the end, when all calls are over and a minute has passed.
Exit code 1 if a table that should be empty is not, or a call that stood and is over was told to nobody.
"""

from __future__ import annotations

import gc
import sys
import time
from collections import Counter
from pathlib import Path
from random import Random

import click

from mintvalve.cli.bench import resident
from mintvalve.facade import DecisionFacade
from mintvalve.interface import Exchange, ExchangeState
from mintvalve.net.codec import ReleaseCause, ParameterCode, MessageType, Message, encode
from tests.rig import RIG_SETTINGS, BinaryClient, Rig, FakeExchange

QUARTERS = 4
BATCH = 20  # calls between looks at the clock
STEP_MS = 200.0  # ms of the run's clock for a batch,
TURNS = 10  # in so many turns of the loop
CELLS = 3  # exchanges in service
ROOM = 400  # circuits of each group
HOLD = 60  # batches; a call ends within so many


class Soak:
    """One run."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.rig = rig = Rig(exchanges=CELLS)
        desk = DecisionFacade(
            RIG_SETTINGS,
            seed,
            rig.loop.now,
            lambda ms, token: rig.loop.call_later(ms, lambda: rig.call_manager.on_timer(token)),
        )
        rig.call_manager.decision_module = desk
        self.module = desk.controller
        self.callers: list[BinaryClient] = []
        self.names = [f"x{cell}" for cell in range(1, CELLS + 1)]
        self.serial, self.renamed = 0, 0
        self.up: dict[int, int] = {}  # call -> batch in which it ends
        self.there: dict[int, FakeExchange] = {}
        self.untold: set[int] = set()  # ended by their exchange, and no caller has heard
        self.counts: Counter[str] = Counter()
        self.most: Counter[str] = Counter()
        self.relist()

    def relist(self) -> None:
        """The list of exchanges, as the name server would tell it."""
        entries = [Exchange(name, cell, ExchangeState.READY, "z") for cell, name in enumerate(self.names, 1)]
        self.rig.call_manager.on_exchange_list(entries)
        self.rig.exchange_links.update_addresses(
            {name: stand_in.address for name, stand_in in zip(self.names, self.rig.exchanges, strict=True)}
        )
        for stand_in in self.rig.exchanges:
            stand_in.on_set_up = self.answer

    def answer(self, stand_in: FakeExchange, message: Message) -> None:
        chance = self.random.random()
        if chance < 0.01:
            return  # the answer got lost
        if chance < 0.015:
            stand_in.connection_by_call[message.call_id].send(b"\xff" * 24)
        elif chance < 0.02:
            stand_in.connection_by_call[message.call_id].close_now("broken off")
        elif chance < 0.05:
            stand_in.release(message.call_id, ReleaseCause.NO_CIRCUIT, "processor_full")
        else:
            stand_in.answer(message.call_id)
            self.there[message.call_id] = stand_in

    def batch(self, number: int) -> None:
        """Some calls come, some end, and something breaks."""
        rig, chance = self.rig, self.random
        while len(self.callers) < 6:
            self.callers.append(BinaryClient(rig, acknowledges=chance.random() < 0.8))
        for _ in range(BATCH):
            self.serial += 1
            caller = chance.choice(self.callers)
            caller.set_up(
                self.serial,
                destination=chance.randint(1, CELLS),
                wait_ms=3000,
                call_class=chance.choice(("plain", "dear")),
                called=f"n{self.serial % 5000}",
            )
        for _ in range(TURNS):
            rig.clock.ms += STEP_MS / TURNS
            rig.loop.run_once(1.0)
        for caller in self.callers:
            self.hear(caller, number)
        for call in [call for call, due in self.up.items() if due <= number]:
            del self.up[call]
            if chance.random() < 0.5:
                chance.choice(self.callers).release(call)
                self.counts["ended by callers"] += 1
            else:
                self.end_by_exchange(call)
        self.trouble(number)
        if number % 10 == 0:
            self.census()
            self.tell_room()

    def end_by_exchange(self, call: int) -> None:
        stand_in = self.there.pop(call, None)
        if (
            stand_in is not None
            and call in self.rig.call_manager.by_identity
            and stand_in in self.rig.exchanges
        ):
            stand_in.end_call(call, ReleaseCause.NORMAL_CLEARING)
            self.untold.add(call)
            self.counts["ended by exchanges"] += 1

    def hear(self, caller: BinaryClient, number: int) -> None:
        for message in caller.messages:
            if message.message_type == MessageType.ANSWER:
                self.counts["stood"] += 1
                self.up[message.call_id] = number + self.random.randint(1, HOLD)
            elif message.message_type == MessageType.RELEASE:
                self.untold.discard(message.call_id)
                self.up.pop(message.call_id, None)
        caller.messages.clear()
        caller.received.clear()

    def trouble(self, number: int) -> None:
        chance = self.random
        if chance.random() < 0.1:
            self.callers.pop(chance.randrange(len(self.callers))).disconnect()
            self.counts["callers gone"] += 1
        if chance.random() < 0.02:
            for connection in list(chance.choice(self.rig.exchanges).decoders):
                connection.close_now("closed")
            self.counts["connections closed by exchanges"] += 1
        if number % 50 == 49:
            self.replace(chance.randrange(CELLS), chance.random() < 0.5)

    def replace(self, place: int, same_address: bool) -> None:
        """A new exchange in the place of another, with a new id."""
        self.renamed += 1
        self.counts["exchanges replaced"] += 1
        if not same_address:
            old = self.rig.exchanges[place]
            old.listener.close()
            self.rig.exchanges[place] = FakeExchange(self.rig.loop, ROOM)
            for connection in list(old.decoders):
                connection.close_now("gone")
        self.names[place] = f"y{self.renamed}"
        self.relist()

    def tell_room(self) -> None:
        for stand_in in self.rig.exchanges:
            stand_in.received.clear()
            kept = {
                call: line
                for call, line in stand_in.connection_by_call.items()
                if line.is_open and call in self.there
            }
            stand_in.connection_by_call = kept
            report = f"x0:{ROOM};x1:{ROOM}".encode()
            for connection in list(stand_in.decoders):
                connection.send(
                    encode(Message(MessageType.GROUP_STATE, 0, {ParameterCode.LOAD_REPORT: report}))
                )
        self.there = {
            call: where for call, where in self.there.items() if call in self.rig.call_manager.by_identity
        }

    def tables(self) -> dict[str, int]:
        """Sizes of everything that holds something for a call, an exchange or a connection."""
        rig, module = self.rig, self.module
        links = list(rig.exchange_links.links.values())
        ends = [*module.exchanges.values(), module.own_processor]
        return {
            "calls": len(rig.call_manager.calls),
            "ids": len(rig.call_manager.by_identity),
            "orders": len(rig.call_manager.pending_commands),
            "flights": sum(len(each.attempts) for each in links),
            "flights by line": sum(len(each.attempts.by_connection) for each in links),
            "lines that may answer late": sum(len(each.attempts.late_answer_connections) for each in links),
            "releases to exchanges": sum(len(each.releases) for each in links),
            "releases to callers": len(rig.binary_front.releases),
            "callers' open set-ups": sum(
                len(each.unanswered_calls) for each in rig.binary_front.sessions.values()
            ),
            "module: calls": len(module.calls),
            "module: held": len(module.held_calls),
            "module: out": sum(len(each.outstanding_set_ups) for each in ends),
            "module: flying": len(module.cancellable_set_ups),
            "module: numbers": len(module.called_numbers),
            "module: first tries": len(module.first_try_times),
        }

    def bounded(self) -> dict[str, int]:
        """Tables that never empty, with a bound of their own."""
        return {
            "exchanges": len(self.rig.call_manager.exchanges),
            "links": len(self.rig.exchange_links.links),
            "module: exchanges": len(self.module.exchanges),
            "deadlines": len(self.rig.loop.deadlines.entries),
            "calls known to be over": len(self.rig.exchange_links.ended_calls.calls),
            "module: overdue": sum(len(each.cancelled_set_ups) for each in self.module.exchanges.values()),
        }

    def census(self) -> None:
        for name, size in {**self.tables(), **self.bounded()}.items():
            self.most[name] = max(self.most[name], size)

    def finish(self, number: int) -> None:
        """All calls end, and a minute passes."""
        for call in list(self.up):
            self.end_by_exchange(call)
        for _ in range(80):
            self.rig.advance(1000.0, step_ms=500.0)
            for caller in self.callers:
                self.hear(caller, number)
        for call in list(self.rig.call_manager.by_identity):
            self.callers[0].release(call)
        self.rig.advance(40_000.0, step_ms=500.0)
        for caller in self.callers:
            self.hear(caller, number)
        self.census()


@click.command()
@click.option("--calls", default=200_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="A Markdown file for the tables.")
def main(calls: int, seed: int, out: Path | None) -> None:
    soak = Soak(seed)
    rows = []
    began, number = time.monotonic(), 0
    for quarter in range(1, QUARTERS + 1):
        soak.most.clear()
        while soak.serial < calls * quarter // QUARTERS:
            number += 1
            soak.batch(number)
        gc.collect()
        rows.append((quarter, soak.serial, resident() / 1e6, Counter(soak.most)))
        click.echo(
            f"quarter {quarter}: {soak.serial} calls, {rows[-1][2]:.1f} MB, {time.monotonic() - began:.0f} s",
            err=True,
        )
    soak.most.clear()
    soak.finish(number)
    left, bounds = soak.tables(), soak.bounded()
    untold = soak.untold
    command = f"python -m benchmarks.soak --calls {calls} --seed {seed}"
    happened = ", ".join(f"{count} {name}" for name, count in sorted(soak.counts.items()))
    lines = [
        f"# {calls:,} calls through one process",
        "",
        f"`{command}`, {time.monotonic() - began:.0f} s.",
        "",
        f"What happened: {happened}; {len(untold)} ends told to nobody.",
        "",
        "| quarter | calls | resident, MB |",
        "| --- | --- | --- |",
        *(f"| {quarter} | {serial} | {mb:.1f} |" for quarter, serial, mb, _ in rows),
        "",
        "| table | most, by quarter | left at the end |",
        "| --- | --- | --- |",
        *(
            f"| {name} | {', '.join(str(most[name]) for *_, most in rows)} | {size} |"
            for name, size in {**left, **bounds}.items()
        ),
    ]
    text = "\n".join(lines) + "\n"
    click.echo(text)
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(text)
    if any(left.values()) or untold:
        click.echo(f"not empty, or told to nobody: {sorted(untold)[:5]}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
