"""A planned restart while an exchange hangs: what is a caller told whose call may have run?"""

from __future__ import annotations

import asyncio
import copy
import signal
from pathlib import Path

from standins import (
    ANSWER,
    DESCRIPTION,
    RELEASE,
    SETTINGS,
    TROUBLE,
    Caller,
    CannotRun,
    Message,
    NameServer,
    Peer,
    Platform,
    Record,
    run_case,
    start_exchanges,
)

WAIT_MS = 3600  # 40% of the class's 9 s
AFTER_SIGTERM_S = 0.3  # when the set-up comes; the pages: up to 0.4 to 0.6 s on open connections
CLASS_NAME = "pallet-transfer"
ORDER = "pallet 17"
HARMLESS = (34, 42, 102)  # "refused: trying again is harmless"


async def case(record: Record, platform: Platform) -> bool:
    settings = copy.deepcopy(SETTINGS)
    settings["Services"][1]["Effect"] = "at_most_once"
    exchanges = await start_exchanges(record)
    far = exchanges[1]
    runs: dict[str, int] = {}

    async def carry_out(peer: Peer, message: Message) -> None:
        """Carry the set-up out after 20 ms and answer it; but at the order's first run the exchange hangs."""
        order = message.parameters[DESCRIPTION].decode()
        await asyncio.sleep(0.02)
        runs[order] = runs.get(order, 0) + 1
        record.write(far.name, f"carries out {order!r} for call {message.call:016x}: run {runs[order]}")
        if order == ORDER and runs[order] == 1:
            far.hangs = True
            record.write(far.name, "hangs from now on")
        elif far.trying.get(message.call) is peer:
            far.answer(peer, message.call)

    far.on_set_up = carry_out
    name_server = NameServer(record)
    await name_server.start()
    platform.write_config(exchanges, name_server, settings)
    controller = platform.start()
    caller = Caller(record, "caller", platform.listen_port)
    await caller.connect()
    caller.set_up(0xC0, far.cell, WAIT_MS, call_class=CLASS_NAME, description=b"pallet 16")
    if await caller.wait_for(ANSWER, 0xC0, 5.0) is None:
        raise CannotRun("the first call was not set up")
    await asyncio.sleep(1.0)
    if TROUBLE:
        platform.signal(controller, signal.SIGTERM)
    await asyncio.sleep(AFTER_SIGTERM_S)
    caller.set_up(0xC1, far.cell, WAIT_MS, call_class=CLASS_NAME, description=ORDER.encode())
    final = await caller.wait_for(RELEASE, 0xC1, 5.0)
    if final is None:
        raise CannotRun("the set-up got no final answer")  # another rule
    far.hangs = False
    record.write(far.name, "works again")
    if TROUBLE:
        if not await platform.wait_ended(controller, 3.0):
            raise CannotRun("the controller didn't end")
        platform.start()
        await caller.connect()
    record.write(
        "verdict",
        f"the set-up was carried out {runs.get(ORDER, 0)} times and got cause {final[1]},"
        f" {'refused: trying again is harmless' if final[1] in HARMLESS else 'failed'}",
    )
    promise_broken = final[1] in HARMLESS and runs.get(ORDER, 0) > 0
    if final[1] in HARMLESS:  # the caller dials again, as it may
        caller.set_up(0xC2, far.cell, WAIT_MS, call_class=CLASS_NAME, description=ORDER.encode())
        await caller.wait_for(ANSWER, 0xC2, 5.0)
    record.write("verdict", f"{ORDER!r} was carried out {runs.get(ORDER, 0)} times")
    return not promise_broken and runs.get(ORDER, 0) <= 1


run_case(str(Path(__file__).resolve().parent), case)
