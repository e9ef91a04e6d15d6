"""Ends a process of a gateway: SIGTERM, signals amid it, and SIGKILL as early as the protocol page allows."""

from __future__ import annotations

import random
import signal
import subprocess
from collections.abc import Callable
from typing import Any

from ..kill_time import earliest_kill_s
from .clients import SoakClients
from .judge import Rule, SoakJudge

POLL_INTERVAL_S = 0.02
REPEAT_SHARE = 0.3  # of the ends that have a second SIGTERM, and of those with a SIGHUP


class ProcessEnd:
    """One process from its SIGTERM to its end; ``then`` is called once it has ended."""

    def __init__(
        self, reactor: Any, process: subprocess.Popen[bytes], longest_deadline_s: float, judge: SoakJudge,
        clients: SoakClients, then: Callable[[], None],
    ) -> None:  # fmt: skip
        self._reactor, self._process, self._judge = reactor, process, judge
        self._clients, self._then = clients, then
        self._kill_s = earliest_kill_s(longest_deadline_s)
        self._term_at = 0.0

    def begin(self, rng: random.Random) -> None:
        """Send SIGTERM, and draw the signals that follow it."""
        self._term_at = self._reactor.seconds()
        self._send(signal.SIGTERM)
        for number in (signal.SIGTERM, signal.SIGHUP):
            if rng.random() < REPEAT_SHARE:
                self._reactor.callLater(rng.uniform(0.0, self._kill_s), self._send, number)
        self._poll()

    def _send(self, number: int) -> None:
        if self._process.poll() is None:
            self._process.send_signal(number)

    def _poll(self) -> None:
        after_s = self._reactor.seconds() - self._term_at
        code = self._process.poll()
        if code is None and after_s < self._kill_s:
            self._reactor.callLater(min(POLL_INTERVAL_S, self._kill_s - after_s), self._poll)
            return
        if code is None:
            self._check_unfinished(after_s)
            self._clients.process_killed_after_term(self._term_at)
            self._judge.exemptions.process_killed(self._clients.gateway, self._reactor.seconds())
            self._process.kill()
            self._process.wait()
        elif code != 0:
            self._judge.report(Rule.CRASH, self._clients.gateway, f"it ended with {code} after SIGTERM")
        self._then()

    def _check_unfinished(self, after_s: float) -> None:
        """Report a process that still runs, unless an answer goes on: a SIGKILL may end that, it may not."""
        if not self._clients.has_unfinished_answers:
            self._judge.report(
                Rule.NOT_ENDED, self._clients.gateway, f"it runs {after_s:.2f} s after SIGTERM"
            )
