"""Soak test: checks that tables empty and memory stays level over many calls through one process.

    python -m benchmarks.soak [--calls 200000] [--seed 1] [--out docs/measurements/soak.md]

Runs the program's parts with the real decision module on loopback sockets, against the fake exchanges and
clients of the tests, on a clock that the run advances (100 calls per second of it). Throughout the run
callers' connections close while releases are pending; exchanges close connections, drop answers, send
malformed bytes, and are replaced by new ones with new ids, some at the old address.

The output has, for each quarter of the calls, the resident memory after a garbage collection and the largest
size of each table, and the size of each table at the end, when all calls are over and a minute has passed.
Exit code 1 if a table that should be empty then is not, or if no caller got the release of a call that its
exchange ended.
"""

from __future__ import annotations

import gc
import sys
import time
from collections import Counter
from pathlib import Path
from random import Random

import click

from mintvalve.cli.bench import resident_bytes
from mintvalve.facade import DecisionFacade
from mintvalve.interface import Exchange, ExchangeState
from mintvalve.net.codec import ReleaseCause, ParameterCode, MessageType, Message, encode
from mintvalve.net.name_server_client import ListedExchange
from tests.rig import RIG_SETTINGS, BinaryClient, Rig, FakeExchange

QUARTERS = 4
CALLS_PER_BATCH = 20
BATCH_MS = 200.0  # on the run's clock
LOOP_ITERATIONS_PER_BATCH = 10
EXCHANGE_COUNT = 3
CIRCUITS_PER_GROUP = 400
MAX_HOLDING_BATCHES = 60


class SoakRun:
    """One run: the program's parts, the fake exchanges and callers around them, and what it has counted."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.rig = rig = Rig(exchanges=EXCHANGE_COUNT)
        decisions = DecisionFacade(
            RIG_SETTINGS,
            seed,
            rig.loop.now,
            lambda delay_ms, token: rig.loop.call_later(delay_ms, lambda: rig.call_manager.on_timer(token)),
        )
        rig.call_manager.decision_module = decisions
        self.controller = decisions.controller
        self.callers: list[BinaryClient] = []
        self.exchange_names = [f"x{cell}" for cell in range(1, EXCHANGE_COUNT + 1)]
        self.last_call, self.replacement_count = 0, 0
        self.end_batches: dict[int, int] = {}  # by answered call: the batch after which it ends
        self.answering_exchanges: dict[int, FakeExchange] = {}  # by call
        # Calls ended by their exchange whose release no caller has got.
        self.unreported_ends: set[int] = set()
        self.counts: Counter[str] = Counter()
        self.largest_sizes: Counter[str] = Counter()
        self.update_exchange_list()

    def update_exchange_list(self) -> None:
        """Pass the present exchanges to the program as the name server client does."""
        self.rig.call_control.update_exchange_list(
            {
                name: ListedExchange(Exchange(name, cell, ExchangeState.READY, "z"), exchange.address)
                for cell, (name, exchange) in enumerate(
                    zip(self.exchange_names, self.rig.exchanges, strict=True), 1
                )
            }
        )
        for exchange in self.rig.exchanges:
            exchange.on_set_up = self.answer_set_up

    def answer_set_up(self, exchange: FakeExchange, message: Message) -> None:
        """Answer a set-up as an exchange; a few are left unanswered, broken off or refused at random."""
        draw = self.rng.random()
        if draw < 0.01:
            return  # the answer is lost
        if draw < 0.015:
            exchange.connection_by_call[message.call_id].send(b"\xff" * 24)
        elif draw < 0.02:
            exchange.connection_by_call[message.call_id].close_now("connection dropped by the exchange")
        elif draw < 0.05:
            exchange.release(message.call_id, ReleaseCause.NO_CIRCUIT, "processor_full")
        else:
            exchange.answer(message.call_id)
            self.answering_exchanges[message.call_id] = exchange

    def run_batch(self, batch_number: int) -> None:
        """Set up a batch of calls, end those that are due, and inject faults."""
        rig, rng = self.rig, self.rng
        while len(self.callers) < 6:
            self.callers.append(BinaryClient(rig, acknowledges=rng.random() < 0.8))
        for _ in range(CALLS_PER_BATCH):
            self.last_call += 1
            caller = rng.choice(self.callers)
            caller.set_up(
                self.last_call,
                destination=rng.randint(1, EXCHANGE_COUNT),
                wait_ms=3000,
                call_class=rng.choice(("plain", "dear")),
                called=f"n{self.last_call % 5000}",
            )
        for _ in range(LOOP_ITERATIONS_PER_BATCH):
            rig.clock.ms += BATCH_MS / LOOP_ITERATIONS_PER_BATCH
            rig.loop.run_once(1.0)
        for caller in self.callers:
            self.read_messages(caller, batch_number)
        for call in [call for call, end_batch in self.end_batches.items() if end_batch <= batch_number]:
            del self.end_batches[call]
            if rng.random() < 0.5:
                rng.choice(self.callers).release(call)
                self.counts["calls ended by callers"] += 1
            else:
                self.end_by_exchange(call)
        self.inject_faults(batch_number)
        if batch_number % 10 == 0:
            self.record_sizes()
            self.report_groups()

    def end_by_exchange(self, call: int) -> None:
        """Let the exchange that answered a call end it, if both still exist."""
        exchange = self.answering_exchanges.pop(call, None)
        if (
            exchange is not None
            and call in self.rig.call_manager.by_identity
            and exchange in self.rig.exchanges
        ):
            exchange.end_call(call, ReleaseCause.NORMAL_CLEARING)
            self.unreported_ends.add(call)
            self.counts["calls ended by exchanges"] += 1

    def read_messages(self, caller: BinaryClient, batch_number: int) -> None:
        """Handle a caller's answers and releases: set when answered calls end, and forget those released."""
        for message in caller.messages:
            if message.message_type == MessageType.ANSWER:
                self.counts["calls answered"] += 1
                self.end_batches[message.call_id] = batch_number + self.rng.randint(1, MAX_HOLDING_BATCHES)
            elif message.message_type == MessageType.RELEASE:
                self.unreported_ends.discard(message.call_id)
                self.end_batches.pop(message.call_id, None)
        caller.messages.clear()
        caller.received.clear()

    def inject_faults(self, batch_number: int) -> None:
        """Close callers' and exchanges' connections at random, and replace an exchange every 50 batches."""
        rng = self.rng
        if rng.random() < 0.1:
            self.callers.pop(rng.randrange(len(self.callers))).disconnect()
            self.counts["callers disconnected"] += 1
        if rng.random() < 0.02:
            for connection in list(rng.choice(self.rig.exchanges).decoders):
                connection.close_now("connection closed by the exchange")
            self.counts["connections closed by exchanges"] += 1
        if batch_number % 50 == 49:
            self.replace_exchange(rng.randrange(EXCHANGE_COUNT), rng.random() < 0.5)

    def replace_exchange(self, index: int, same_address: bool) -> None:
        """Replace an exchange by a new one with a new id, at the same address or another."""
        self.replacement_count += 1
        self.counts["exchanges replaced"] += 1
        if not same_address:
            old_exchange = self.rig.exchanges[index]
            old_exchange.listener.close()
            self.rig.exchanges[index] = FakeExchange(self.rig.loop, CIRCUITS_PER_GROUP)
            for connection in list(old_exchange.decoders):
                connection.close_now("exchange replaced")
        self.exchange_names[index] = f"y{self.replacement_count}"
        self.update_exchange_list()

    def report_groups(self) -> None:
        """Report all circuits of every exchange as free, and drop the fakes' state of calls that are over."""
        for exchange in self.rig.exchanges:
            exchange.received.clear()
            open_connections = {
                call: call_connection
                for call, call_connection in exchange.connection_by_call.items()
                if call_connection.is_open and call in self.answering_exchanges
            }
            exchange.connection_by_call = open_connections
            report = f"x0:{CIRCUITS_PER_GROUP};x1:{CIRCUITS_PER_GROUP}".encode()
            for connection in list(exchange.decoders):
                connection.send(
                    encode(Message(MessageType.GROUP_STATE, 0, {ParameterCode.LOAD_REPORT: report}))
                )
        self.answering_exchanges = {
            call: exchange
            for call, exchange in self.answering_exchanges.items()
            if call in self.rig.call_manager.by_identity
        }

    def table_sizes(self) -> dict[str, int]:
        """Return the sizes of the tables that must be empty once all calls are over."""
        rig, controller = self.rig, self.controller
        links = list(rig.exchange_links.links.values())
        remote_exchanges = [*controller.exchanges.values(), controller.own_processor]
        return {
            "calls": len(rig.call_manager.calls),
            "calls by identity": len(rig.call_manager.by_identity),
            "pending commands": len(rig.call_manager.pending_commands),
            "outstanding attempts": sum(len(each.attempts) for each in links),
            "outstanding attempts by connection": sum(len(each.attempts.by_connection) for each in links),
            "connections that may answer late": sum(
                len(each.attempts.late_answer_connections) for each in links
            ),
            "releases to exchanges": sum(len(each.releases) for each in links),
            "releases to callers": len(rig.binary_front.releases),
            "releases of unknown calls to callers": len(rig.binary_front.broadcast),
            "callers in the queue for their turn": len(rig.binary_front.turns.queue),
            "exchange connections in the queue for their turn": len(rig.exchange_links.turns.queue),
            "callers' open set-ups": sum(
                len(each.unanswered_calls) for each in rig.binary_front.sessions.values()
            ),
            "controller: calls": len(controller.calls),
            "controller: held calls": len(controller.held_calls),
            "controller: outstanding set-ups": sum(
                len(each.outstanding_set_ups) for each in remote_exchanges
            ),
            "controller: cancellable set-ups": len(controller.cancellable_set_ups),
            "controller: called numbers": len(controller.called_numbers),
            "controller: first try times": len(controller.first_try_times),
        }

    def bounded_table_sizes(self) -> dict[str, int]:
        """Return the sizes of the tables that need not empty because they are bounded otherwise."""
        return {
            "exchanges": len(self.rig.call_manager.exchanges),
            "links": len(self.rig.exchange_links.links),
            "controller: exchanges": len(self.controller.exchanges),
            "deadlines": len(self.rig.loop.deadlines.entries),
            "calls that ended lately": len(self.rig.call_manager.ended_calls.calls),
            "releases by callers of unknown calls": len(
                self.rig.exchange_links.released_by_callers.released_at
            ),
            "ended calls": len(self.rig.exchange_links.ended_calls.calls),
            "controller: cancelled set-ups": sum(
                len(each.cancelled_set_ups) for each in self.controller.exchanges.values()
            ),
        }

    def record_sizes(self) -> None:
        """Raise the recorded largest size of each table to its present size."""
        for name, size in {**self.table_sizes(), **self.bounded_table_sizes()}.items():
            self.largest_sizes[name] = max(self.largest_sizes[name], size)

    def finish(self, batch_number: int) -> None:
        """End all calls, then let a minute pass on the run's clock."""
        for call in list(self.end_batches):
            self.end_by_exchange(call)
        for _ in range(80):
            self.rig.advance(1000.0, step_ms=500.0)
            for caller in self.callers:
                self.read_messages(caller, batch_number)
        for call in list(self.rig.call_manager.by_identity):
            self.callers[0].release(call)
        self.rig.advance(40_000.0, step_ms=500.0)
        for caller in self.callers:
            self.read_messages(caller, batch_number)
        self.record_sizes()


@click.command()
@click.option("--calls", default=200_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="A Markdown file for the tables.")
def main(calls: int, seed: int, out: Path | None) -> None:
    run = SoakRun(seed)
    rows = []
    started_at, batch_number = time.monotonic(), 0
    for quarter in range(1, QUARTERS + 1):
        run.largest_sizes.clear()
        while run.last_call < calls * quarter // QUARTERS:
            batch_number += 1
            run.run_batch(batch_number)
        gc.collect()
        rows.append((quarter, run.last_call, resident_bytes() / 1e6, Counter(run.largest_sizes)))
        click.echo(
            f"quarter {quarter}: {run.last_call} calls, {rows[-1][2]:.1f} MB, "
            f"{time.monotonic() - started_at:.0f} s",
            err=True,
        )
    run.largest_sizes.clear()
    run.finish(batch_number)
    remaining, bounded = run.table_sizes(), run.bounded_table_sizes()
    unreported = run.unreported_ends
    command = f"python -m benchmarks.soak --calls {calls} --seed {seed}"
    events = ", ".join(f"{count} {name}" for name, count in sorted(run.counts.items()))
    lines = [
        f"# {calls:,} calls through one process",
        "",
        f"`{command}`, {time.monotonic() - started_at:.0f} s.",
        "",
        f"Events: {events}; {len(unreported)} releases that reached no caller.",
        "",
        "| quarter | calls | resident, MB |",
        "| --- | --- | --- |",
        *(f"| {quarter} | {last_call} | {resident_mb:.1f} |" for quarter, last_call, resident_mb, _ in rows),
        "",
        "| table | largest size, by quarter | size at the end |",
        "| --- | --- | --- |",
        *(
            f"| {name} | {', '.join(str(sizes[name]) for *_, sizes in rows)} | {size} |"
            for name, size in {**remaining, **bounded}.items()
        ),
    ]
    text = "\n".join(lines) + "\n"
    click.echo(text)
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(text)
    if any(remaining.values()) or unreported:
        click.echo(
            f"tables not empty at the end, or releases that reached no caller: {sorted(unreported)[:5]}",
            err=True,
        )
        sys.exit(1)


if __name__ == "__main__":
    main()
