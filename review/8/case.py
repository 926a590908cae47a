"""A controller is killed and comes back: callers are not told of the ends of their standing calls."""

import asyncio
import signal
import sys
import time
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
    small_settings,
    start_world,
    wait_answered,
)

CALLS_EACH = 5
BACK_AFTER_S = 2.0  # the pages: 1.6 to 6.6 s
CALL_LENGTH_S = 8.0
LIMIT_S = 8.05  # to the release to the client; where it could be sent, the page even says 1 s


async def keep_calling(caller: Caller, stop_at: float) -> None:
    """Place a call every 0.5 s, as a caller in service does; connect again where the connection has ended."""
    while time.time() < stop_at:
        assert caller.wire is not None
        if not caller.wire.is_open:
            await caller.connect()
        caller.set_up(1)
        await asyncio.sleep(0.5)


async def case(record: Record, controllers: list[Controller]) -> bool:
    exchange = Exchange(record, "s-1", 1)
    controller, _ = await start_world(record, [exchange], small_settings())
    controllers.append(controller)
    controller.start()
    callers = [Caller(record, f"caller-{n}", f"127.0.0.{n}", controller.port) for n in (11, 12, 13)]
    calls: list[tuple[Caller, Call]] = []
    for caller in callers:
        await caller.connect()
        calls += [(caller, caller.set_up(1)) for _ in range(CALLS_EACH)]
    await wait_answered([call for _, call in calls], 5)
    stood_at = time.time()
    if TROUBLE:
        controller.send_signal(signal.SIGKILL)
        await controller.wait_for_exit(2)
        await asyncio.sleep(BACK_AFTER_S)
        controller.start()
    traffic = [asyncio.create_task(keep_calling(each, stood_at + CALL_LENGTH_S + 9)) for each in callers]
    await asyncio.sleep(stood_at + CALL_LENGTH_S - time.time())
    for _, call in calls:
        exchange.end_call(call.identity)
        await asyncio.sleep(0.05)
    await asyncio.sleep(LIMIT_S)
    for task in traffic:
        task.cancel()
    untold = [(caller, call) for caller, call in calls if not call.released_at]
    for caller, call in untold:
        record.write(f"{caller.name} was never told of the end of {call.identity:016x}")
    record.write(f"{len(untold)} of {len(calls)} calls are left standing at their callers")
    return not untold


run_case(FOLDER, case)
