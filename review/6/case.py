"""A planned restart while an exchange hangs: a call that may run only once is refused and runs twice."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
from standins import (  # noqa: E402
    TROUBLE,
    Call,
    Caller,
    Controller,
    Exchange,
    Record,
    run_case,
    service,
    small_settings,
    start_world,
)

CALLS = 4
HANG_S = 4.5  # the exchange hangs through the whole of the shutdown, then goes on
REDIAL_AFTER_S = 1.0


def times_run(exchange: Exchange, number: str) -> int:
    """How often the exchange ran a set-up to this number."""
    return sum(parameters.get(41) == number.encode() for _, _, parameters in exchange.arrivals)


async def redial_if_refused(caller: Caller, call: Call) -> None:
    """Do as the protocol page allows a caller: a refused call is dialled again, under a new id."""
    await asyncio.wait_for(call.ended.wait(), 10)
    if call.final == "refused":
        await asyncio.sleep(REDIAL_AFTER_S)
        assert caller.wire is not None
        if not caller.wire.is_open:
            await caller.connect()
        again = caller.set_up(1, call.number, call.call_class)
        await asyncio.wait_for(again.ended.wait(), 10)


async def case(record: Record, controllers: list[Controller]) -> bool:
    services = [service("donation-order", "at_most_once", 5000, 9000, 1)]
    exchange = Exchange(record, "s-1", 1, answer_after_s=HANG_S)
    controller, _ = await start_world(record, [exchange], small_settings(Services=services))
    controllers.append(controller)
    controller.start()
    caller = Caller(record, "caller", "127.0.0.11", controller.port)
    await caller.connect()
    calls = [caller.set_up(1, f"b0{index}", "donation-order") for index in range(CALLS)]
    await asyncio.sleep(0.5)
    if len(exchange.arrivals) != CALLS:
        raise RuntimeError("the exchange did not get every set-up before the disruption")
    redials = [asyncio.create_task(redial_if_refused(caller, call)) for call in calls]
    if TROUBLE:
        controller.send_signal(signal.SIGTERM)
        if not await controller.wait_for_exit(9.7):
            raise RuntimeError("the controller did not end")
        exchange.answer_after_s = 0.02
        controller.start()
    await asyncio.gather(*redials)
    await asyncio.sleep(1.0)
    for call in calls:
        runs = times_run(exchange, call.number)
        record.write(f"number {call.number}: the first try was {call.final}; it was run {runs} times")
    return all(call.final != "refused" and times_run(exchange, call.number) == 1 for call in calls)


run_case(FOLDER, case)
