"""The program's phases, from start to exit: the named states of one object."""

from __future__ import annotations

import logging
import signal
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from mintvalve.core.call_manager import CallManager
from mintvalve.net.loop import READ, Loop

log = logging.getLogger("mintvalve.lifecycle")

JOIN_MS = 600.0  # ms; so long the exchanges may take to tell their groups before callers are let in
LOOK_MS = 10.0  # ms between looks at that
GRACE_MS = 750.0  # ms after SIGTERM; callers may still come so long
LAST_MS = 3400.0  # ms after SIGTERM; what is owed an answer gets it now
EXIT_MS = 3550.0  # ms after SIGTERM; the kill may come from 3,700 ms on


class Phase(Enum):
    """Where the program is."""

    STARTING = "starting"  # reads its configuration and builds its parts
    JOINING = "joining"  # dials the exchanges and hears of its trunk groups
    SERVING = "serving"
    RELOADING = "reloading"  # reads its configuration again; calls and connections stay
    DRAINING = "draining"  # told to end: still accepts and answers
    LINGERING = "lingering"  # accepts no connections; answers, and passes releases on
    CLOSING = "closing"  # whatever is owed an answer gets it
    ENDED = "ended"


NEXT = {
    Phase.STARTING: {Phase.JOINING},
    Phase.JOINING: {Phase.SERVING, Phase.RELOADING, Phase.DRAINING, Phase.ENDED},
    Phase.SERVING: {Phase.RELOADING, Phase.DRAINING},
    Phase.RELOADING: {Phase.JOINING, Phase.SERVING},
    Phase.DRAINING: {Phase.LINGERING},
    Phase.LINGERING: {Phase.CLOSING},
    Phase.CLOSING: {Phase.ENDED},
    Phase.ENDED: set(),
}


class Front(Protocol):
    """What the lifecycle needs of a front."""

    def stop_accepting(self) -> None: ...

    def close_sessions(self) -> None: ...

    def has_pending_releases(self) -> bool: ...


class Lifecycle:
    """Moves from phase to phase, and owns what begins and ends with them."""

    def __init__(
        self,
        loop: Loop,
        switchboard: CallManager,
        joined: Callable[[], bool],
        open_fronts: Callable[[], list[Front]],
        read_again: Callable[[], None],
    ) -> None:
        self.loop, self.switchboard = loop, switchboard
        self.joined, self.open_fronts, self.read_again = joined, open_fronts, read_again
        self.phase = Phase.STARTING
        self.fronts: list[Front] = []
        self.join_until = 0.0
        self.failed = False

    def enter(self, phase: Phase) -> None:
        if phase not in NEXT[self.phase]:
            raise RuntimeError(f"no way from {self.phase.value} to {phase.value}")
        self.phase = phase
        log.info("phase", extra={"phase": phase.value, "open": self.switchboard.unanswered_calls})

    def run(self) -> None:
        """From start to exit."""
        self.catch(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        self.enter(Phase.JOINING)
        self.join_until = self.loop.now() + JOIN_MS
        self.loop.call_soon(self.join)
        self.loop.run()

    def catch(self, *signals: int) -> None:
        """Signals wake the loop through a socket and are served in its turn."""
        reader, writer = socket.socketpair()
        for end in (reader, writer):
            end.setblocking(False)
        for number in signals:
            signal.signal(number, lambda *_: None)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)

        def ready(_: int, kept: socket.socket = writer) -> None:
            came = set(reader.recv(64))  # one byte for each signal: its number
            if signal.SIGHUP in came:
                self.reload()
            if came - {signal.SIGHUP}:
                self.drain()

        self.loop.watch(reader, READ, ready)

    def join(self) -> None:
        if self.phase is not Phase.JOINING:
            return
        if self.joined() or self.loop.now() >= self.join_until:
            self.serve()
        else:
            self.loop.call_later(LOOK_MS, self.join)

    def serve(self) -> None:
        try:
            self.fronts = self.open_fronts()
        except OSError as fault:  # an address that is taken or not ours: nobody could ever call
            log.error("can't listen", extra={"reason": str(fault)})
            self.failed = True
            self.enter(Phase.ENDED)
            self.loop.stop()
            return
        self.enter(Phase.SERVING)

    def reload(self) -> None:
        """Told to read the configuration again. Whatever is wrong with it, the program goes on."""
        before = self.phase
        if Phase.RELOADING not in NEXT[before]:
            return
        self.enter(Phase.RELOADING)
        try:
            self.read_again()
        except Exception as fault:
            log.error(
                "the new configuration can't be used, the old one stays",
                extra={"fault": f"{type(fault).__name__}: {fault}"},
            )
        self.enter(before)

    def drain(self) -> None:
        """Told to end."""
        if self.phase is Phase.JOINING or self.phase is Phase.SERVING:
            self.enter(Phase.DRAINING)
            self.loop.call_later(GRACE_MS, self.linger)
            self.loop.call_later(LAST_MS, self.close)
            self.loop.call_later(EXIT_MS, self.end)

    def linger(self) -> None:
        self.enter(Phase.LINGERING)
        for front in self.fronts:
            front.stop_accepting()
        self.end_if_idle()

    def end_if_idle(self) -> None:
        """Nothing is owed, nothing stands, and every caller that can has heard: no need to wait."""
        if self.phase is Phase.LINGERING:
            if not self.switchboard.calls and not any(front.has_pending_releases() for front in self.fronts):
                self.close()
                self.loop.call_later(LOOK_MS, self.end)
            else:
                self.loop.call_later(LOOK_MS, self.end_if_idle)

    def close(self) -> None:
        if self.phase is Phase.LINGERING:
            self.enter(Phase.CLOSING)
            self.switchboard.refuse_open_calls()
            for front in self.fronts:
                front.close_sessions()

    def end(self) -> None:
        if self.phase is Phase.CLOSING:
            self.loop.run_once(0.0)  # what has come by now gets its answer, too
        if self.phase is Phase.CLOSING:
            log.info("counts", extra=dict(self.switchboard.counts))
            self.enter(Phase.ENDED)
            self.loop.stop()
