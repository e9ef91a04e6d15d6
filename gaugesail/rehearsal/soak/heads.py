"""The heads of a soak: processes that are started, told to end, killed, stopped and watched."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..faults.shim import Faults
from ..fleet.heads import GatewayProcess
from . import plan
from .clients import ARRIVALS_S, SoakClients
from .discovery import HeadDiscovery, Membership
from .judge import Rule, SoakJudge

READY_S = 10.0
KILL_S = plan.LONGEST_DEADLINE_S + 0.7  # after a SIGTERM
LOOK_S = 0.02
ERRORS = (
    "policy_raised",
    "action_raised",
    "callback_raised",
    "reply_raised",
    "send_raised",
    "abort_raised",
    "front_raised",
    "dial_raised",
    "fleet_raised",
    "cancel_unwritten_raised",
    "Traceback",
    "rule_broken",
)


class SoakHead:
    """One head: its files and its address stay, its processes come and go."""

    def __init__(
        self, reactor: Any, process: GatewayProcess, faults: Faults, discovery: HeadDiscovery,
        membership: Membership, clients: SoakClients, judge: SoakJudge, soak: plan.SoakPlan, me: int,
    ) -> None:  # fmt: skip
        self.reactor, self.process, self.faults = reactor, process, faults
        self.discovery, self.clients = discovery, clients
        self._membership, self._judge, self._plan, self._me = membership, judge, soak, me
        self.name = process.name
        self.busy = False  # a trouble of the process has hold of it
        self.up = self._closed = False
        self.starts: list[float] = []  # seconds that each took to be ready
        self._revision = 0
        self._log_read = 0
        self._listening = False  # the process that runs has said so
        process.with_fleet = False
        process.environ = faults.environment()
        self.write()

    def write(self) -> None:
        """Its file, with the list as it is now."""
        config = {
            "name": self.name, "listen": f"127.0.0.1:{self.process.listen_port}",
            "management": f"127.0.0.1:{self.process.management_port}", "discovery": self.discovery.address,
            "seed": f"{self._plan.seed:x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": self._membership.listing(),
            "settings": plan.settings(self._plan, self._me, self._revision),
        }  # fmt: skip
        self.process.write_files(config, None)

    # ---- starting ----

    def start(self, then: Callable[[], None] = lambda: None) -> None:
        """Start a process, and let clients come once it is ready."""
        if self._closed:
            return
        self.write()
        self.discovery.told_all()
        self.faults.clear()
        self._read_log()
        self._listening = False
        self.process.start()
        self._await(self.reactor.seconds(), then)

    def _await(self, began: float, then: Callable[[], None]) -> None:
        now = self.reactor.seconds()
        if self._closed:
            return
        self._read_log()
        if not self.process.alive:
            self._judge.broke(Rule.CRASH, self.name, "it ended as it started")
            then()
        elif self._listening:
            self.starts.append(now - began)
            self.up = True
            self.clients.begin()
            then()
        elif now - began > 3 * READY_S:
            self._judge.broke(Rule.NOT_READY, self.name, f"not ready after {now - began:.1f} s")
            then()
        else:
            self.reactor.callLater(LOOK_S, self._await, began, then)

    def _read_log(self) -> None:
        """Look at what it has logged since; what it should never log is entered."""
        if not self.process.log.exists():
            return
        with self.process.log.open("rb") as log:
            log.seek(self._log_read)
            text = log.read().decode(errors="replace")
        whole = text.rpartition("\n")[0]
        self._log_read += len(whole.encode()) + (1 if whole else 0)
        for line in whole.splitlines():
            if any(word in line for word in ERRORS):
                self._judge.broke(Rule.RAISED, self.name, line[:2000])
            self._listening = self._listening or "event=listening" in line

    def look(self) -> None:
        """It runs, and has logged nothing that it should not."""
        self._read_log()
        if self.up and not self.busy and not self.process.alive:
            self.up = False
            self._judge.broke(Rule.CRASH, self.name, "it ended by itself")
            self.clients.end()

    # ---- ending ----

    def term(self, then: Callable[[], None]) -> None:
        """An orderly end; what is left at the time of the kill is lost."""
        self.up = False
        self.process.term()
        self.reactor.callLater(ARRIVALS_S, self._no_more)
        self._await_end(self.reactor.seconds(), then)

    def _no_more(self) -> None:
        if not self.up:
            self.clients.serving = False

    def _await_end(self, began: float, then: Callable[[], None]) -> None:
        now = self.reactor.seconds()
        if self._closed:
            return
        if not self.process.alive:
            code = self.process.process.returncode if self.process.process is not None else 0
            if code != 0:
                self._judge.broke(Rule.CRASH, self.name, f"it ended with {code} after SIGTERM")
            then()
        elif now - began > KILL_S:
            self._judge.broke(Rule.NOT_ENDED, self.name, f"it runs {now - began:.2f} s after SIGTERM")
            self.process.kill()
            then()
        else:
            self.reactor.callLater(LOOK_S, self._await_end, began, then)

    def kill(self) -> None:
        """SIGKILL: what it owes dies with it."""
        self.up = False
        self.clients.end()
        self.process.kill()

    # ---- standing still ----

    def pause(self) -> None:
        self._judge.exemptions.stops(self.name, self.reactor.seconds())
        self.process.pause()

    def go_on(self) -> None:
        if self.process.paused:
            self.process.resume()
            self._judge.exemptions.goes_on(self.name, self.reactor.seconds())

    # ---- a new configuration ----

    def reload(self, move: bool) -> None:
        """Other settings; with ``move`` discovery is at another address."""
        self._revision += 1
        if move:
            self.discovery.move()
        self.write()
        self.process.signal(signal.SIGHUP)

    def spoil(self) -> None:
        """A file that cannot be read, and the signal: nothing may change."""
        (self.process.folder / "config").write_text('{"settings": ')
        self.process.signal(signal.SIGHUP)

    @property
    def memory_kb(self) -> int:
        """Resident memory of its process."""
        if self.process.process is None or not self.process.alive:
            return 0
        try:
            text = Path(f"/proc/{self.process.process.pid}/status").read_text()
        except OSError:
            return 0
        line = next((line for line in text.splitlines() if line.startswith("VmRSS")), "VmRSS: 0 kB")
        return int(line.split()[1])

    def close(self) -> None:
        self.up, self._closed = False, True
        self.clients.close()
        self.process.kill()
        self._read_log()
        self.discovery.shut()
        self.faults.close()


def summary(heads: list[SoakHead]) -> dict[str, Any]:
    """How fast they were ready, and how large they grew."""
    starts = sorted(took for head in heads for took in head.starts)
    late = sum(took > READY_S for took in starts)
    return {
        "starts": len(starts), "starts_late": late, "start_most_s": round(starts[-1], 2) if starts else None,
        "memory_most_kb": max((head.memory_kb for head in heads), default=0),
    }  # fmt: skip
