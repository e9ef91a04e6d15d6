"""The orderly end of a gateway process, from SIGTERM to its exit before a SIGKILL may come.

The steps are those of ``ShutdownSchedule``.  The process ends as soon as no client is connected.  A streamed
answer that is not finished by then goes on until the SIGKILL: what that finds unanswered is not lost, unlike
what a process breaks off itself (protocol page, "Figures").
"""

from __future__ import annotations

from typing import Any, Protocol

from .core.engine import Engine
from .core.ports import Clock, DelayedCall, Logger
from .listening import ACCEPT_RETRY_US
from .peer_progress import LONGEST_REST_US
from .shutdown_schedule import ShutdownSchedule

MIGRATION_POLL_US = 250_000  # between checks whether a replaced process still has clients
END_POLL_US = 10_000  # between checks whether the process can end


class EndingProcess(Protocol):
    """The gateway process that a Shutdown ends."""

    clock: Clock
    engine: Engine
    front: Any  # the client server

    @property
    def replaced(self) -> bool:
        """Whether a successor serves in place of this process."""
        ...

    def close_port(self, at_once: bool) -> bool:
        """Stop accepting; returns False if connections wait in the kernel for a place, unless ``at_once``."""
        ...

    def leave_fleet(self) -> None:
        """Return what is leased from the fleet."""
        ...

    @property
    def has_streams(self) -> bool:
        """Whether any answer is being streamed to its client."""
        ...

    def hand_over_answers(self) -> None:
        """Hand streamed answers over to the successor."""
        ...

    @property
    def streams_moved_at_us(self) -> int:
        """When a byte of any streamed answer was last written or read, on the process's clock; 0: never."""
        ...

    def reset_streams_if_killed(self) -> None:
        """Let a kill reset the connections of answers of which only the close tells the end."""
        ...

    def abort_streams(self) -> None:
        """Reset the connections of answers that cannot be completed, so that their clients can tell."""
        ...

    def finish_handover(self) -> bool:
        """Send the successor the last reports; returns whether it has received all that is handed over."""
        ...

    def close(self) -> None:
        """Close everything: all requests are answered."""
        ...


class Shutdown:
    """The shutdown of one process; not begun until SIGTERM."""

    def __init__(self, process: EndingProcess, log: Logger) -> None:
        self._process = process
        self._clock = process.clock
        self._log = log
        self._schedule: ShutdownSchedule | None = None
        self._since_us = 0
        self._calls: list[DelayedCall] = []
        self._ended = False

    @property
    def begun(self) -> bool:
        """Whether SIGTERM has been received."""
        return self._schedule is not None

    @property
    def _after_us(self) -> int:
        """Microseconds since SIGTERM."""
        return self._clock.now_us() - self._since_us

    @property
    def _steps(self) -> ShutdownSchedule:
        assert self._schedule is not None
        return self._schedule

    def begin(self, longest_deadline_us: int, ago_us: int = 0) -> None:
        """Begin; SIGTERM was received ``ago_us`` microseconds ago.  Repeated signals change nothing."""
        if self.begun:
            self._log_step("signal_repeated")
            return
        self._since_us = self._clock.now_us() - ago_us
        self._schedule = ShutdownSchedule.for_deadline(longest_deadline_us)
        self._log.info(
            "stopping",
            open=self._process.engine.open_requests,
            clients=self._process.front.connections,
            replaced=self._process.replaced,
            answers_due_ms=self._schedule.answers_due_us // 1000,
            kill_ms=self._schedule.kill_us // 1000,
        )
        self._arm()

    def change_longest_deadline(self, longest_deadline_us: int) -> None:
        """Apply changed settings: the kill may be timed by the old or the new ones, so the earlier counts."""
        if self._schedule is None:
            return
        schedule = ShutdownSchedule.for_deadline(longest_deadline_us)
        if schedule.kill_us < self._schedule.kill_us:
            self._schedule = schedule
            self._log.info("shutdown_shortened", kill_ms=schedule.kill_us // 1000)
            self._arm()

    def successor_changed(self) -> None:
        """The successor serves in place of this process, or has ended unexpectedly."""
        if self._schedule is None:
            return
        if self._process.replaced:
            self._process.front.migration.end_by(self._since_us + self._schedule.migrated_us)
        else:
            self._stop_accepting()  # connections queued for the successor are this process's again

    def _arm(self) -> None:
        """Schedule the steps; each of them may run again."""
        for call in self._calls:
            if call.active():
                call.cancel()
        steps = self._steps
        self._process.engine.limit_answers(self._since_us + steps.answers_due_us)
        self._process.front.migration.end_by(self._since_us + steps.migrated_us)
        self._calls = [
            self._clock.call_later(self._since_us + at_us - self._clock.now_us(), call)
            for at_us, call in (
                (steps.stop_accepting_us, self._stop_accepting),
                (steps.close_idle_us, self._close_idle),
                (steps.migrated_us, self._close_idle),
                (steps.answers_due_us, self._answer_remaining),
                (steps.end_us, self._end),
            )
        ]

    def _log_step(self, event: str) -> None:
        """Log a step, and what is open at it."""
        self._log.info(
            event,
            after_ms=self._after_us // 1000,
            open=self._process.engine.open_requests,
            out=self._process.engine.attempts_in_flight,
            clients=self._process.front.connections,
        )

    # ---- the steps ----

    def _stop_accepting(self) -> None:
        """Close the clients' address once no connection waits in the kernel, which that would reset."""
        if self._process.close_port(at_once=self._after_us >= self._steps.end_us):
            self.end_if_idle()
        else:
            self._clock.call_later(ACCEPT_RETRY_US, self._stop_accepting)

    def _close_idle(self) -> None:
        """Close idle connections; those of a replaced process migrate gradually until ``migrated_us``."""
        process = self._process
        migrates = process.replaced and self._after_us < self._steps.migrated_us
        if migrates and process.front.connections:
            self._clock.call_later(MIGRATION_POLL_US, self._close_idle)
            return
        if not process.front.closing:
            self._log_step("closing_idle_clients")
        process.front.close_idle()
        process.leave_fleet()

    def _answer_remaining(self) -> None:
        """Answer all that is open, and all that is read from now on, as there is no time left to serve it."""
        self._log_step("answers_due")
        self._process.front.end()
        self._process.engine.fail_all()
        self._process.front.close_idle()

    def _end(self) -> None:
        """End as soon as all that was read is answered or handed over, at the latest at ``last_us``.

        Other connections may still be open, for example of a client that sends more after its answer.  Only
        streamed answers are waited for longer, as long as any of them moves.
        """
        if self._ended:
            return
        process = self._process
        process.front.stop_reading()
        if process.has_streams and process.replaced:
            process.hand_over_answers()
        handed_over = process.finish_handover()
        finished = handed_over and not (process.has_streams or process.front.has_unanswered)
        is_last = self._after_us >= self._steps.last_us
        if is_last and process.has_streams:
            process.reset_streams_if_killed()
        if not finished and (not is_last or self._streams_move):
            self._clock.call_later(END_POLL_US, self._end)
            return
        process.abort_streams()
        self._ended = True
        self._log_step("stopped")
        process.close()

    @property
    def _streams_move(self) -> bool:
        moved_at_us = self._process.streams_moved_at_us
        return self._process.has_streams and self._clock.now_us() - moved_at_us < LONGEST_REST_US

    def end_if_idle(self) -> None:
        """End now if the last client has left and none is to come."""
        front = self._process.front
        if front.closing and not front.connections and (self._process.replaced or not front.listening):
            self._end()
