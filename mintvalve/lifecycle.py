"""The program's phases from start to exit, as a state machine driven by signals and deadlines."""

from __future__ import annotations

import logging
import signal
import socket
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from mintvalve.core.call_manager import CallManager
from mintvalve.net.loop import READ, Loop

log = logging.getLogger("mintvalve.lifecycle")

JOIN_TIMEOUT_MS = 600.0  # callers are admitted then even if an exchange has not reported its trunk groups
POLL_INTERVAL_MS = 10.0
# Counted from SIGTERM; the platform may kill the process from 3,700 ms on.
STOP_ACCEPTING_AFTER_MS = 750.0  # callers may still connect until then
CLOSE_AFTER_MS = 3400.0  # calls that are still unanswered are refused then
EXIT_AFTER_MS = 3550.0


class Phase(Enum):
    """A phase of the program; the values are logged."""

    STARTING = "starting"  # reads the configuration and builds the parts
    JOINING = "joining"  # connects to the exchanges and waits for the reports of their trunk groups
    SERVING = "serving"  # accepts callers and handles calls
    RELOADING = "reloading"  # reads the configuration again; calls and connections are kept
    DRAINING = "draining"  # after SIGTERM or SIGINT; still accepts connections and answers calls
    LINGERING = "lingering"  # accepts no connections; still answers calls and forwards releases
    CLOSING = "closing"  # refuses the calls that are still unanswered
    ENDED = "ended"  # the loop has been stopped


ALLOWED_TRANSITIONS = {
    Phase.STARTING: {Phase.JOINING},
    Phase.JOINING: {Phase.SERVING, Phase.RELOADING, Phase.ENDED},
    Phase.SERVING: {Phase.RELOADING, Phase.DRAINING},
    Phase.RELOADING: {Phase.JOINING, Phase.SERVING},
    Phase.DRAINING: {Phase.LINGERING},
    Phase.LINGERING: {Phase.CLOSING},
    Phase.CLOSING: {Phase.ENDED},
    Phase.ENDED: set(),
}


class Front(Protocol):
    """The interface of a front, which accepts callers, towards the lifecycle."""

    def start_accepting(self) -> None:
        """Open the listener; raises OSError where its address can't be listened on."""
        ...

    def stop_accepting(self) -> None:
        """Close the listener; open sessions stay."""
        ...

    def close_sessions(self) -> None:
        """Close the sessions of callers, on a front whose sessions do not just end with the process."""
        ...

    def has_pending_releases(self) -> bool:
        """Return whether a release is still to be delivered to a caller that can be reached."""
        ...


class Lifecycle:
    """Moves the program from phase to phase, and opens and closes the fronts.

    `has_joined` returns whether all exchanges have reported their trunk groups. `fronts` accept callers once
    the program has joined, but exist before: while it joins, exchanges release calls of an earlier process.
    `listen_failed` is True after a front could not listen. `reload_config` reads the configuration again and
    may raise any exception.
    """

    def __init__(
        self,
        loop: Loop,
        call_manager: CallManager,
        has_joined: Callable[[], bool],
        fronts: Sequence[Front],
        reload_config: Callable[[], None],
    ) -> None:
        self.loop, self.call_manager = loop, call_manager
        self.has_joined, self.fronts, self.reload_config = has_joined, fronts, reload_config
        self.phase = Phase.STARTING
        self.join_deadline_ms = 0.0
        self.listen_failed = False

    def enter_phase(self, phase: Phase) -> None:
        """Change to a phase and log it; raises RuntimeError where ALLOWED_TRANSITIONS has no such change."""
        if phase not in ALLOWED_TRANSITIONS[self.phase]:
            raise RuntimeError(f"phase {phase.value} must not follow {self.phase.value}")
        self.phase = phase
        log.info("phase", extra={"phase": phase.value, "open": self.call_manager.unanswered_calls})

    def run(self) -> None:
        """Run the program from the start of joining until it has ended."""
        self.install_signal_handlers(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        self.enter_phase(Phase.JOINING)
        self.join_deadline_ms = self.loop.now() + JOIN_TIMEOUT_MS
        self.loop.call_soon(self.serve_when_joined)
        self.loop.run()

    def install_signal_handlers(self, *signal_numbers: int) -> None:
        """Handle signals in the loop, which they wake through a socket pair: SIGHUP reloads, others drain."""
        reader, writer = socket.socketpair()
        for sock in (reader, writer):
            sock.setblocking(False)
        for signal_number in signal_numbers:
            signal.signal(signal_number, lambda *_: None)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)

        # The default value keeps the write end open as long as the handler is registered.
        def on_signals(_: int, kept_writer: socket.socket = writer) -> None:
            received = set(reader.recv(64))  # one byte, the signal's number, for each signal
            if signal.SIGHUP in received:
                self.reload()
            if received - {signal.SIGHUP}:
                self.enter_draining()

        self.loop.watch(reader, READ, on_signals)

    def serve_when_joined(self) -> None:
        """Enter SERVING once the exchanges have reported or the time-out is over; else check again later."""
        if self.phase is not Phase.JOINING:
            return
        if self.has_joined() or self.loop.now() >= self.join_deadline_ms:
            self.enter_serving()
        else:
            self.loop.call_later(POLL_INTERVAL_MS, self.serve_when_joined)

    def enter_serving(self) -> None:
        """Open the fronts; where that fails, log the reason and end the program.

        The address is in use or not of this host then, and without a listener no caller could ever connect.
        """
        try:
            for front in self.fronts:
                front.start_accepting()
        except OSError as error:
            log.error("can't listen", extra={"reason": str(error)})
            self.listen_failed = True
            self.enter_phase(Phase.ENDED)
            self.loop.stop()
            return
        self.enter_phase(Phase.SERVING)

    def reload(self) -> None:
        """Read the configuration again, while joining or serving; an invalid one is logged and ignored."""
        previous_phase = self.phase
        if Phase.RELOADING not in ALLOWED_TRANSITIONS[previous_phase]:
            return
        self.enter_phase(Phase.RELOADING)
        try:
            self.reload_config()
        except Exception as error:
            log.error(
                "the new configuration can't be used; the one in use is kept",
                extra={"fault": f"{type(error).__name__}: {error}"},
            )
        self.enter_phase(previous_phase)

    def enter_draining(self) -> None:
        """Begin the end of the program, while joining or serving, and schedule the phases that follow.

        One that has not joined accepts callers first: callers still connect for a while after SIGTERM, and
        releases of an earlier process's calls may wait for them.
        """
        if self.phase is Phase.JOINING:
            self.enter_serving()
        if self.phase is Phase.SERVING:
            self.enter_phase(Phase.DRAINING)
            self.loop.call_later(STOP_ACCEPTING_AFTER_MS, self.enter_lingering)
            self.loop.call_later(CLOSE_AFTER_MS, self.enter_closing)
            self.loop.call_later(EXIT_AFTER_MS, self.enter_ended)

    def enter_lingering(self) -> None:
        """Stop accepting connections, and close early if nothing is left to do."""
        self.enter_phase(Phase.LINGERING)
        for front in self.fronts:
            front.stop_accepting()
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close before CLOSE_AFTER_MS once no call is open or standing and no release is pending."""
        if self.phase is Phase.LINGERING:
            if not self.call_manager.calls and not any(front.has_pending_releases() for front in self.fronts):
                self.enter_closing()
                self.loop.call_later(POLL_INTERVAL_MS, self.enter_ended)
            else:
                self.loop.call_later(POLL_INTERVAL_MS, self.close_if_idle)

    def enter_closing(self) -> None:
        """Refuse the calls that are still unanswered and close the callers' sessions."""
        if self.phase is Phase.LINGERING:
            self.enter_phase(Phase.CLOSING)
            self.call_manager.refuse_open_calls()
            for front in self.fronts:
                front.close_sessions()

    def enter_ended(self) -> None:
        """Log the counters and stop the loop."""
        if self.phase is Phase.CLOSING:
            self.loop.run_once(0.0)  # set-ups that have arrived by now are answered as well
        if self.phase is Phase.CLOSING:  # that iteration may have run another deadline of this method
            log.info("counts", extra=dict(self.call_manager.counts))
            self.enter_phase(Phase.ENDED)
            self.loop.stop()
