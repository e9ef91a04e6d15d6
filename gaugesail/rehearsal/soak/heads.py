"""The gateways of a soak: starts, reloads, pauses, ends and monitors their processes."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..faults.shim import Faults
from ..fleet.heads import GatewayProcess
from . import plan
from .clients import CONNECT_AFTER_TERM_S, SoakClients
from .discovery import GatewayDiscovery, Membership
from .judge import Rule, SoakJudge

READY_S = 10.0  # within which a start counts as in time
KILL_AFTER_TERM_S = (
    plan.LONGEST_DEADLINE_S + 0.7
)  # after a SIGTERM, until a process that still runs is killed
POLL_INTERVAL_S = 0.02
ERROR_EVENTS = (
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


class SoakGateway:
    """A gateway whose files and addresses outlive its processes."""

    def __init__(
        self, reactor: Any, process: GatewayProcess, faults: Faults, discovery: GatewayDiscovery,
        membership: Membership, clients: SoakClients, judge: SoakJudge, soak_plan: plan.SoakPlan, index: int,
    ) -> None:  # fmt: skip
        self.reactor, self.process, self.faults = reactor, process, faults
        self.discovery, self.clients = discovery, clients
        self._membership, self._judge, self._plan, self._index = membership, judge, soak_plan, index
        self.name = process.name
        self.under_process_fault = False  # a fault ends or pauses its process now
        self.ready = self._closed = False
        self.start_times_s: list[float] = []  # of each start, until it was ready
        self._revision = 0
        self._log_offset = 0
        self._listening = False  # as the log of the current process shows
        process.with_fleet = False
        process.environ = faults.environment()
        self.write_config()

    def write_config(self) -> None:
        """Write the configuration, with the current endpoint list."""
        config = {
            "name": self.name, "listen": f"127.0.0.1:{self.process.listen_port}",
            "management": f"127.0.0.1:{self.process.management_port}", "discovery": self.discovery.address,
            "seed": f"{self._plan.seed:x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": self._membership.endpoint_list(),
            "settings": plan.settings(self._plan, self._index, self._revision),
        }  # fmt: skip
        self.process.write_files(config, None)

    # ---- starting ----

    def start(self, then: Callable[[], None] = lambda: None) -> None:
        """Start a process and, when it is ready, its clients; then call ``then``, also after a failure."""
        if self._closed:
            return
        self.write_config()
        self.discovery.full_list_sent()
        self.faults.clear()
        self._read_log()
        self._listening = False
        self.process.start()
        self._await_ready(self.reactor.seconds(), then)

    def _await_ready(self, started_at: float, then: Callable[[], None]) -> None:
        now = self.reactor.seconds()
        if self._closed:
            return
        self._read_log()
        if not self.process.alive:
            self._judge.report(Rule.CRASH, self.name, "it ended as it started")
            then()
        elif self._listening:
            self.start_times_s.append(now - started_at)
            self.ready = True
            self.clients.process_ready()
            then()
        elif now - started_at > 3 * READY_S:
            self._judge.report(Rule.NOT_READY, self.name, f"not ready after {now - started_at:.1f} s")
            then()
        else:
            self.reactor.callLater(POLL_INTERVAL_S, self._await_ready, started_at, then)

    def _read_log(self) -> None:
        """Read the new lines of the log, and report those with ERROR_EVENTS."""
        if not self.process.log.exists():
            return
        with self.process.log.open("rb") as log:
            log.seek(self._log_offset)
            text = log.read().decode(errors="replace")
        complete = text.rpartition("\n")[0]
        self._log_offset += len(complete.encode()) + (1 if complete else 0)
        for line in complete.splitlines():
            if any(word in line for word in ERROR_EVENTS):
                self._judge.report(Rule.RAISED, self.name, line[:2000])
            self._listening = self._listening or "event=listening" in line

    def check(self) -> None:
        """Report new errors in the log, and the end of a process that should run."""
        self._read_log()
        if self.ready and not self.under_process_fault and not self.process.alive:
            self.ready = False
            self._judge.report(Rule.CRASH, self.name, "it ended by itself")
            self.clients.process_killed()

    # ---- ending ----

    def term(self, then: Callable[[], None]) -> None:
        """Send SIGTERM, and SIGKILL after KILL_AFTER_TERM_S; call ``then`` when the process has ended."""
        self.ready = False
        self.process.term()
        self.reactor.callLater(CONNECT_AFTER_TERM_S, self._stop_connecting)
        self._await_end(self.reactor.seconds(), then)

    def _stop_connecting(self) -> None:
        if not self.ready:
            self.clients.serving = False

    def _await_end(self, started_at: float, then: Callable[[], None]) -> None:
        now = self.reactor.seconds()
        if self._closed:
            return
        if not self.process.alive:
            code = self.process.process.returncode if self.process.process is not None else 0
            if code != 0:
                self._judge.report(Rule.CRASH, self.name, f"it ended with {code} after SIGTERM")
            then()
        elif now - started_at > KILL_AFTER_TERM_S:
            self._judge.report(Rule.NOT_ENDED, self.name, f"it runs {now - started_at:.2f} s after SIGTERM")
            self.process.kill()
            then()
        else:
            self.reactor.callLater(POLL_INTERVAL_S, self._await_end, started_at, then)

    def kill(self) -> None:
        """Send SIGKILL; its pending requests are excused."""
        self.ready = False
        self.clients.process_killed()
        self.process.kill()

    # ---- pausing ----

    def pause(self) -> None:
        """Send SIGSTOP, and exempt the gateway."""
        self._judge.exemptions.pause_began(self.name, self.reactor.seconds())
        self.process.pause()

    def resume(self) -> None:
        """Send SIGCONT, and end the exemption."""
        if self.process.paused:
            self.process.resume()
            self._judge.exemptions.pause_ended(self.name, self.reactor.seconds())

    # ---- reloading ----

    def reload(self, move_discovery: bool) -> None:
        """Reload with changed settings and, with ``move_discovery``, another address of discovery."""
        self._revision += 1
        if move_discovery:
            self.discovery.change_address()
        self.write_config()
        self.process.signal(signal.SIGHUP)

    def reload_invalid(self) -> None:
        """Reload with a file that is no valid JSON: nothing may change."""
        (self.process.folder / "config").write_text('{"settings": ')
        self.process.signal(signal.SIGHUP)

    @property
    def memory_kb(self) -> int:
        """Resident memory of its process; 0 if there is none."""
        if self.process.process is None or not self.process.alive:
            return 0
        try:
            text = Path(f"/proc/{self.process.process.pid}/status").read_text()
        except OSError:
            return 0
        line = next((line for line in text.splitlines() if line.startswith("VmRSS")), "VmRSS: 0 kB")
        return int(line.split()[1])

    def close(self) -> None:
        """End its process, clients and discovery."""
        self.ready, self._closed = False, True
        self.clients.close()
        self.process.kill()
        self._read_log()
        self.discovery.shut_down()
        self.faults.close()


def summary(gateways: list[SoakGateway]) -> dict[str, Any]:
    """Start times and memory of the processes; --json prints it as ``processes``."""
    starts = sorted(took for gateway in gateways for took in gateway.start_times_s)
    late = sum(took > READY_S for took in starts)
    return {
        "starts": len(starts), "starts_late": late, "start_most_s": round(starts[-1], 2) if starts else None,
        "memory_most_kb": max((gateway.memory_kb for gateway in gateways), default=0),
    }  # fmt: skip
