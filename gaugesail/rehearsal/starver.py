"""Lets processes run for a part of the time only, as on a machine that is shared with others."""

from __future__ import annotations

import signal
import subprocess
import threading
import time
from collections.abc import Callable

PERIOD_S = 0.1  # so that a process is held up for less than 0.15 s at once


class Starver:
    """Stops processes for most of each period (SIGSTOP).

    :param processes: returns those that run, which may change.
    :param share: of the time in which they run.
    """

    def __init__(self, processes: Callable[[], list[subprocess.Popen[bytes]]], share: float) -> None:
        self._processes, self._share = processes, share
        self._stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to stop them."""
        self._thread.start()

    def stop(self) -> None:
        """Let them run from now on."""
        self._stopped = True
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped:
            held = self._processes()
            self._signal(held, signal.SIGSTOP)
            time.sleep(PERIOD_S * (1 - self._share))
            self._signal(held, signal.SIGCONT)
            time.sleep(PERIOD_S * self._share)

    @staticmethod
    def _signal(processes: list[subprocess.Popen[bytes]], number: int) -> None:
        for process in processes:
            process.send_signal(number)
