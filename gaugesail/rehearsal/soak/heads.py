"""The gateways of a soak: starts, reloads, pauses, ends and monitors their processes."""

from __future__ import annotations

import random
import signal
import subprocess
from collections.abc import Callable
from typing import Any

from ...process_memory import resident_bytes
from ..faults.shim import Faults
from ..fleet.heads import GatewayProcess
from ..kill_time import earliest_kill_s
from . import plan
from .clients import CONNECT_AFTER_TERM_S, SoakClients
from .discovery import GatewayDiscovery, Membership
from .judge import Rule, SoakJudge
from .process_end import POLL_INTERVAL_S, ProcessEnd
from .trace_keeper import TraceKeeper

READY_S = 10.0  # within which a start counts as in time
SIGTERM_AFTER_READY_S = (0.01, 1.1)  # to the process that a new one replaces
THIRD_PROCESS_SHARE = 0.3  # of replacements after which another process is started at once
EARLY_SIGTERM_SHARE = 0.3  # of those in which the second process gets SIGTERM before the third is ready
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
        longest_deadline_s: float, spare_management_port: int, memory_mb: int,
    ) -> None:  # fmt: skip
        self.reactor, self.process, self.faults = reactor, process, faults
        self.discovery, self.clients = discovery, clients
        self._membership, self._judge, self._plan, self._index = membership, judge, soak_plan, index
        self.name = process.name
        self.longest_deadline_s = longest_deadline_s
        self._management_ports = [process.management_port, spare_management_port]  # the first is the latest's
        self.traces = TraceKeeper(reactor, process.folder, lambda: self._management_ports)
        self.memory_mb = memory_mb
        self.peak_memory_kb = 0  # of all its processes together
        self._memory_reported = False
        self._ending: list[subprocess.Popen[bytes]] = []  # replaced, or to be
        self.under_process_fault = False  # a fault ends or pauses its process now
        self.is_being_replaced = False  # two or three processes of it may run
        self.ready = self._closed = False
        self.start_times_s: list[float] = []  # of each start, until it was ready
        self._revision = 0
        self._log_offset = 0
        self._listening = False  # as the log of the current process shows
        process.with_fleet = False
        process.environ = faults.environment()
        self.write_config()

    @property
    def _sockets(self) -> int:
        return plan.SOCKETS_WITH_CROWDS if self._plan.has_crowds else plan.SOCKETS

    def write_config(self) -> None:
        """Write the configuration, with the current endpoint list."""
        config = {
            "name": self.name, "listen": f"127.0.0.1:{self.process.listen_port}",
            "management": f"127.0.0.1:{self._management_ports[0]}", "discovery": self.discovery.address,
            "seed": f"{self._plan.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self._sockets},
            "known": self._membership.endpoint_list(),
            "settings": plan.settings(self._plan, self._index, self.longest_deadline_s, self._revision),
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
        self._check_memory()
        if self.ready and not self.under_process_fault and not self.process.alive:
            self.ready = False
            self._judge.report(Rule.CRASH, self.name, "it ended by itself")
            self.clients.process_killed()

    @property
    def running(self) -> list[subprocess.Popen[bytes]]:
        """Its processes that have not ended."""
        found = [*self._ending, self.process.process]
        return [process for process in found if process is not None and process.poll() is None]

    def _check_memory(self) -> None:
        """Report the first time that its processes pass the limit, if that leaves room for so many."""
        sizes_kb = [resident_bytes(process.pid) // 1024 for process in self.running]
        self.peak_memory_kb = max(self.peak_memory_kb, sum(sizes_kb))
        limit_kb = max(self.memory_mb, len(sizes_kb) * self._plan.program_mb) * 1024
        if sum(sizes_kb) > limit_kb and not self._memory_reported:
            self._memory_reported = True
            self._judge.report(Rule.MEMORY, self.name, f"{sizes_kb} kB of {limit_kb:.0f} kB")

    # ---- ending ----

    def term(self, rng: random.Random, then: Callable[[], None]) -> None:
        """End its only process; call ``then`` when it has ended."""
        self.clients.rest(earliest_kill_s(self.longest_deadline_s))
        self.clients.ids_forgotten()
        self.ready = False
        self.reactor.callLater(rng.uniform(*CONNECT_AFTER_TERM_S), self._stop_connecting)
        self._end(self.process.release(), rng, then)

    def _stop_connecting(self) -> None:
        if not self.ready:
            self.clients.serving = False

    def _end(
        self, process: subprocess.Popen[bytes] | None, rng: random.Random, then: Callable[[], None]
    ) -> None:
        if self._closed or process is None:
            return

        def ended() -> None:
            self._ending.remove(process)
            if not self._closed:
                then()

        self._ending.append(process)
        ProcessEnd(
            self.reactor, process, self.longest_deadline_s, self._judge, self.clients, ended
        ).begin(rng)  # fmt: skip

    # ---- replacing ----

    def replace(self, rng: random.Random, then: Callable[[], None]) -> None:
        """Start a second process beside the first, and end the first when the second is ready.

        Sometimes a third process is started then.
        """

        def ready() -> None:
            has_third = rng.random() < THIRD_PROCESS_SHARE
            after_s = rng.uniform(*SIGTERM_AFTER_READY_S)
            self.reactor.callLater(after_s, self._end_replaced, first, rng, has_third, then)

        self.clients.rest(SIGTERM_AFTER_READY_S[1] + earliest_kill_s(self.longest_deadline_s))
        first = self._start_beside(ready)

    def _end_replaced(
        self,
        first: subprocess.Popen[bytes] | None,
        rng: random.Random,
        has_third: bool,
        then: Callable[[], None],
    ) -> None:
        self._end(first, rng, (lambda: None) if has_third else then)
        if has_third:
            self.reactor.callLater(rng.uniform(0.0, 0.5), self._start_third, rng, then)

    def _start_third(self, rng: random.Random, then: Callable[[], None]) -> None:
        """Start one more process; the second gets SIGTERM when that is ready, or sometimes before."""
        if self._closed:
            return
        is_early = rng.random() < EARLY_SIGTERM_SHARE
        after_s = rng.uniform(*SIGTERM_AFTER_READY_S)

        def ready() -> None:
            if not is_early:
                self.reactor.callLater(after_s, self._end, second, rng, then)

        second = self._start_beside(ready)
        if is_early:
            self.ready = False
            self.reactor.callLater(rng.uniform(*CONNECT_AFTER_TERM_S), self._stop_connecting)
            self._end(second, rng, then)

    def _start_beside(self, ready: Callable[[], None]) -> subprocess.Popen[bytes] | None:
        """Start a process beside the present one, which is returned; call ``ready`` when it serves."""
        running = self.process.release()
        self._management_ports.reverse()
        self.write_config()
        self._read_log()
        self._listening = False
        self.discovery.further_process_starts()
        self.process.start()

        def serves() -> None:
            self.discovery.further_process_serves()
            ready()

        self._await_ready(self.reactor.seconds(), serves)
        return running

    def kill(self) -> None:
        """Send SIGKILL; its pending requests are excused."""
        self.ready = False
        self.clients.process_killed()
        self._judge.exemptions.process_killed(self.name, self.reactor.seconds())
        self.process.kill()

    @property
    def can_be_replaced(self) -> bool:
        """Whether its discovery is reachable, so that both processes know the same list."""
        return self.discovery.reachable and self.discovery.all_notified

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

    def close(self) -> None:
        """End its process, clients and discovery."""
        self.ready, self._closed = False, True
        self.clients.close()
        self.process.kill()
        for process in self._ending:
            process.kill()
            process.wait()
        self._read_log()
        self.discovery.shut_down()
        self.faults.close()


def summary(gateways: list[SoakGateway]) -> dict[str, Any]:
    """Start times and memory of the processes; --json prints it as ``processes``."""
    starts = sorted(took for gateway in gateways for took in gateway.start_times_s)
    late = sum(took > READY_S for took in starts)
    return {
        "starts": len(starts), "starts_late": late, "start_most_s": round(starts[-1], 2) if starts else None,
        "memory_most_kb": max((gateway.peak_memory_kb for gateway in gateways), default=0),
    }  # fmt: skip
