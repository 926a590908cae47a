"""A controller dies and comes back: are callers told of the calls that ended meanwhile?"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins import (
    ANSWER,
    RELEASE,
    TROUBLE,
    Caller,
    CannotRun,
    NameServer,
    Platform,
    Record,
    run_case,
    start_exchanges,
)

DOWN_S = 3.0  # the pages: 1.6 to 6.6 s
WAIT_MS = 3600  # 40% of the class's 9 s
RELEASED_WITHIN_MS = 1000.0 + 50.0  # of the release by the exchange
LAST_RELEASE_MS = 8000.0 + 50.0  # of the end of the call, if no release could be sent
CALLS = range(0xA1, 0xA9)
ENDED_WHILE_DOWN = CALLS[:4]
NEW_CALL = 0xB1


async def case(record: Record, platform: Platform) -> bool:
    exchanges = await start_exchanges(record)
    far = exchanges[1]
    name_server = NameServer(record)
    await name_server.start()
    platform.write_config(exchanges, name_server)
    controller = platform.start()
    caller = Caller(record, "caller", platform.listen_port)
    await caller.connect()
    for call in CALLS:
        caller.set_up(call, far.cell, WAIT_MS)
    for call in CALLS:
        if await caller.wait_for(ANSWER, call, 5.0) is None:
            raise CannotRun("a call was not set up")
    await asyncio.sleep(1.0)
    ended_at: dict[int, float] = {}
    if TROUBLE:
        platform.signal(controller, signal.SIGKILL)
    for call in ENDED_WHILE_DOWN:
        await asyncio.sleep(DOWN_S / 5)
        ended_at[call] = far.end_call(call)
    await asyncio.sleep(DOWN_S / 5)
    if TROUBLE:
        platform.start()
        await caller.connect()
    caller.set_up(NEW_CALL, far.cell, WAIT_MS)
    if await caller.wait_for(ANSWER, NEW_CALL, 5.0) is None:
        raise CannotRun("the new call was not set up")
    for call in CALLS:
        if call not in ended_at:
            await asyncio.sleep(0.1)
            ended_at[call] = far.end_call(call)
    await asyncio.sleep(LAST_RELEASE_MS / 1000.0 + 0.2)
    lost = 0
    for call in CALLS:
        limit = LAST_RELEASE_MS if TROUBLE and call in ENDED_WHILE_DOWN else RELEASED_WITHIN_MS
        released = caller.find(RELEASE, call)
        in_time = released is not None and released[0] - ended_at[call] <= limit
        lost += not in_time
        told = (
            f"was told {released[0] - ended_at[call]:.0f} ms after its end" if released else "was never told"
        )
        when = "while the controller was down" if TROUBLE and call in ENDED_WHILE_DOWN else "while one ran"
        record.write(
            "verdict", f"call {call:016x} ended {when}: its caller {told}, the limit is {limit:.0f} ms"
        )
    record.write("verdict", f"{lost} of {len(CALLS)} calls were left standing for their callers")
    return lost == 0


run_case(str(Path(__file__).resolve().parent), case)
