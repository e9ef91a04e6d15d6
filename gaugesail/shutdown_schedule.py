"""When a process that has received SIGTERM takes which step, so that it has ended before a SIGKILL may come.

SIGKILL follows SIGTERM no sooner than the longest deadline, which counts as ``MAX_COUNTED_DEADLINE_US`` at
most, plus ``KILL_DELAY_US`` (protocol page, "Figures").  Every step is given by that time.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_COUNTED_DEADLINE_US = 3_000_000  # a longer deadline counts as this
KILL_DELAY_US = 700_000

STOP_ACCEPTING_US = 450_000  # clients still connect for up to 0.4 s
CLOSE_IDLE_US = 700_000  # keep-alive connections stay open until then
MIGRATION_US = 2_500_000  # of a replaced process's clients: the connections that rest are closed gradually
RESTING_SHARE = 2 / 3  # of the time to the kill in which connections that rest may stay open
# Before the kill:
ANSWER_MARGIN_US = 250_000  # a process may be held up for 150 ms, and clients have to read the answers
END_MARGIN_US = 100_000
LAST_MARGIN_US = 50_000


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """The steps of a shutdown, each in microseconds after SIGTERM."""

    stop_accepting_us: int  # from then on, only connections that wait in the kernel for a place are accepted
    close_idle_us: int
    migrated_us: int  # instead, if a successor serves
    answers_due_us: int  # whatever is still open is answered then, and what is read later at once
    end_us: int  # nothing more is read
    last_us: int  # the process ends, unless an answer is still being streamed
    kill_us: int  # the earliest SIGKILL

    @classmethod
    def for_deadline(cls, longest_deadline_us: int) -> ShutdownSchedule:
        """Return the schedule of a deployment with this longest deadline, in microseconds."""
        kill_us = min(longest_deadline_us, MAX_COUNTED_DEADLINE_US) + KILL_DELAY_US
        answers_due_us = kill_us - ANSWER_MARGIN_US
        resting_us = min(answers_due_us, int(kill_us * RESTING_SHARE))
        return cls(
            stop_accepting_us=min(STOP_ACCEPTING_US, resting_us),
            close_idle_us=min(CLOSE_IDLE_US, resting_us),
            migrated_us=min(MIGRATION_US, resting_us),
            answers_due_us=answers_due_us,
            end_us=kill_us - END_MARGIN_US,
            last_us=kill_us - LAST_MARGIN_US,
            kill_us=kill_us,
        )
