"""The two worlds of a rehearsal: in memory with virtual time, and on loopback with real processes."""

from __future__ import annotations

import io
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.python.failure import Failure

from .. import config as configuration
from ..app import PlatformGateway
from ..core.clock import ReactorClock, use_monotonic_time
from ..http.endpoint_reader import split_address
from ..iscsi.app import IscsiGateway
from ..iscsi.operator import read_operator, write_toml
from ..logs import make_logger
from .memory import MemoryReactor, ProcessReactor
from .peers import Peer, ScenarioError
from .scenario import Player, ScenarioFailed, Step, split

START_TIMEOUT_S = 15.0


class MemoryProcess:
    """A gateway process in memory, as seen from outside; see ``judge.Process``."""

    def __init__(self, name: str, gateway: Any, reactor: ProcessReactor, shared: MemoryReactor) -> None:
        self.name, self.gateway, self.reactor, self._shared = name, gateway, reactor, shared
        self.stop_at: float | None = None

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return not self.reactor.ended

    @property
    def _ports(self) -> list[Any]:
        listening = [port for ports in self._shared.ports.values() for port in ports]
        return [port for port in listening if port.factory is self.gateway.front]

    @property
    def has_listener(self) -> bool:
        """Whether its listening socket for clients is open."""
        return bool(self._ports)

    @property
    def accepts(self) -> bool:
        """Whether a client can connect, now or, at the connection limit, when another client disconnects."""
        at_limit = self.gateway.front.held and self.gateway.front.connections > 0
        return any(not port.accepting_paused or at_limit for port in self._ports)

    @property
    def busy(self) -> bool:
        """Whether it has client connections or open requests."""
        return bool(self.gateway.front.connections or self.gateway.engine.open_requests)


class MemoryWorld:
    """Runs the daemon's own code on a reactor in memory: a scenario plays the same way every time."""

    margin_s, monitored = 0.0, True

    def __init__(self, **environ: str) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._environ = {"TMPDIR": self._folder.name} | environ
        self.reactor = MemoryReactor()
        self.reactor.advance(1_000_000.0)
        self.gateways: list[Any] = []  # one for each process, in the order of their starts
        self._serving: list[MemoryProcess] = []  # the processes that have started to serve
        self.management = ("", 0)
        self.log = io.StringIO()

    def clock(self, reactor: ProcessReactor) -> ReactorClock:
        """Return the clock of one process: monotonic time is the reactor's, wall time is constant."""
        return ReactorClock(
            reactor, lambda: round(self.reactor.seconds() * 1e9), lambda: 1_700_000_000 * 10**9
        )

    @property
    def gateway(self) -> Any:
        """The gateway of the first process, which is mostly the only one."""
        return self.gateways[0]

    def free_address(self) -> str:
        """Return an address with a fixed port, for processes that share it."""
        return "127.0.0.1:9000"

    def start(self, protocol: str, config: dict[str, Any], daemon: Peer) -> tuple[str, int]:
        """Start a process and return its address for clients; ``daemon`` observes its end."""
        log, process_reactor = make_logger(self.log), ProcessReactor(self.reactor)
        clock = self.clock(process_reactor)
        if protocol == "iscsi":
            gateway: Any = IscsiGateway(process_reactor, read_operator(config, self._environ), log, clock)
        else:
            gateway = PlatformGateway(process_reactor, configuration.read(config, self._environ), log, clock)
        self.gateways.append(gateway)
        gateway.stopped.addCallback(lambda _: daemon.saw("exit", "0"))
        gateway.stopped.addCallback(lambda _: self.reactor.callLater(0, process_reactor.end))
        failures: list[Failure] = []
        gateway.start().addErrback(failures.append)
        self.until(lambda: gateway.front.listening or bool(failures), START_TIMEOUT_S)
        if failures:
            raise ScenarioError(f"the daemon did not start: {failures[0].value!r}")
        self._serving.append(MemoryProcess(str(len(self.gateways)), gateway, process_reactor, self.reactor))
        self.management = gateway.management_address
        return gateway.address  # type: ignore[no-any-return]

    def processes(self) -> list[MemoryProcess]:
        """Return all processes that have served, in the order of their starts."""
        return self._serving

    def reload(self, config: dict[str, Any]) -> None:
        """Let the newest process reload this configuration, as it does on SIGHUP."""
        gateway, environ = self.gateways[-1], self._environ
        iscsi = isinstance(gateway, IscsiGateway)
        gateway.reload_from(
            lambda: read_operator(config, environ) if iscsi else configuration.read(config, environ)
        )

    def stop(self) -> None:
        """Stop the oldest running process, as SIGTERM does."""
        process = next(process for process in self._serving if process.running)
        if process.stop_at is None:
            process.stop_at = self.reactor.seconds()
        process.gateway.stop()

    def kill(self) -> None:
        """End the newest running process at once, as SIGKILL does."""
        [process for process in self._serving if process.running][-1].reactor.end()

    def until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Advance virtual time until ``done`` is true; return false if it is not within ``seconds``."""
        return self.reactor.run_until(done, seconds)

    def await_arrivals(self) -> None:
        """Let time pass until what was sent has arrived."""
        self.pass_time(0.001)

    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.reactor.run_until(lambda: False, seconds)

    def end(self) -> None:
        """Remove the temporary folder."""
        self._folder.cleanup()


class LoopbackProcess:
    """A gateway process on loopback; a trial connection to its address shows whether it accepts."""

    busy = True  # not visible from outside

    def __init__(self, process: subprocess.Popen[str], address: tuple[str, int]) -> None:
        self._process, self._address = process, address
        self.name, self.stop_at = str(process.pid), None

    stop_at: float | None

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process.poll() is None

    @property
    def accepts(self) -> bool:
        """Whether a client can connect to it."""
        with socket.socket() as probe:
            return probe.connect_ex(self._address) == 0

    has_listener = accepts


class LoopbackWorld:
    """Runs the daemon as real processes, with sockets on 127.0.0.1."""

    margin_s, monitored = 1.0, False

    def __init__(self) -> None:
        from twisted.internet import reactor  # importing it installs it, so only this world imports it

        use_monotonic_time(reactor)
        self.reactor: Any = reactor
        self._folder = tempfile.TemporaryDirectory()
        self._file = Path(self._folder.name) / "config"
        (Path(self._folder.name) / "kept").mkdir()
        self._processes: list[subprocess.Popen[str]] = []
        self._running: list[subprocess.Popen[str]] = []
        self._serving: list[LoopbackProcess] = []
        self._daemon: Peer | None = None
        self._protocol = "http"
        self._addresses: list[tuple[str, int]] = []
        self.management = ("", 0)

    def free_address(self) -> str:
        """Return an address with a port that is free now; the daemon has to bind it soon."""
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            return f"127.0.0.1:{free.getsockname()[1]}"

    def start(self, protocol: str, config: dict[str, Any], daemon: Peer) -> tuple[str, int]:
        """Start a process and return its address for clients; ``daemon`` observes its end."""
        self._daemon, self._protocol = daemon, protocol
        self._write(config)
        command = [sys.executable, "-m", "gaugesail"] + ([str(self._file)] if protocol == "iscsi" else [])
        state_folder = str(Path(self._folder.name) / "kept")
        environ = os.environ | {"BALANCER_CONFIG": str(self._file), "TMPDIR": state_folder}
        process = subprocess.Popen(command, env=environ, stderr=subprocess.PIPE, text=True)
        self._processes.append(process)
        self._running.append(process)
        threading.Thread(target=self._read_log, args=[process], daemon=True).start()
        if not self.until(lambda: len(self._addresses) == len(self._processes), START_TIMEOUT_S):
            raise ScenarioError(f"expected the daemon to listen within {START_TIMEOUT_S} s, it did not")
        self._serving.append(LoopbackProcess(process, self._addresses[-1]))
        return self._addresses[-1]

    def processes(self) -> list[LoopbackProcess]:
        """Return all processes that have served, in the order of their starts."""
        return self._serving

    def _write(self, config: dict[str, Any]) -> None:
        """Replace the file atomically, as an operator's tool would: the daemon must not read a part of it."""
        new_file = self._file.with_suffix(".new")
        new_file.write_text(write_toml(config) if self._protocol == "iscsi" else json.dumps(config))
        new_file.replace(self._file)

    def _read_log(self, process: subprocess.Popen[str]) -> None:
        assert process.stderr is not None
        for line in process.stderr:
            if "event=listening" in line:
                self.management = split_address(line.partition("management=")[2].split()[0])
                self._addresses.append(split_address(line.partition("address=")[2].split()[0]))
            elif "level=error" in line:
                sys.stderr.write(line)

    def reload(self, config: dict[str, Any]) -> None:
        """Replace the file and send SIGHUP to the newest process."""
        self._write(config)
        self._running[-1].send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """Send SIGTERM to the oldest running process."""
        oldest = self._running[0]
        for process in self._serving:
            if process.name == str(oldest.pid) and process.stop_at is None:
                process.stop_at = self.reactor.seconds()
        oldest.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL to the newest running process."""
        self._running[-1].kill()

    def until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Run the reactor until ``done`` is true; return false if it is not within ``seconds``."""
        end = time.monotonic() + seconds
        while not done():
            if time.monotonic() > end:
                return False
            self.reactor.iterate(0.005)
            for process in list(self._running):
                code = process.poll()
                if code is not None and self._daemon is not None:
                    self._daemon.saw("exit", str(code))
                    self._running.remove(process)
        return True

    def await_arrivals(self) -> None:
        """Let time pass until what was sent has arrived."""
        self.pass_time(0.05)

    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.until(lambda: False, seconds)

    def end(self) -> None:
        """Kill the running processes and remove the temporary folder."""
        for process in self._running:
            process.kill()
            process.wait()
        self._folder.cleanup()


def rehearse(steps: list[Step], world: MemoryWorld | LoopbackWorld) -> None:
    """Play one scenario; ScenarioFailed names the failed step or the broken invariant."""
    player = Player(world, steps)
    try:
        player.play()
    finally:
        player.finish()
        world.end()


def main(arguments: list[str]) -> int:
    """Play the scenarios of files against a daemon on loopback and print each one's result.

    Returns 0 if all passed, 1 if one failed, 2 if a file is invalid or none is given.
    """
    if not arguments or arguments[0].startswith("-"):
        print("usage: python -m gaugesail.rehearsal FILE...", file=sys.stderr)
        return 2
    exit_code = 0
    for name in arguments:
        try:
            scenarios = split(Path(name).read_text())
        except (OSError, ValueError, ScenarioError) as error:
            print(f"{name}: {error}", file=sys.stderr)
            exit_code = 2
            continue
        for scenario, steps in scenarios.items():
            try:
                rehearse(steps, LoopbackWorld())
            except (ScenarioFailed, ScenarioError) as error:
                print(f"{name}: {scenario}: {error}")
                exit_code = max(exit_code, 1)
            else:
                print(f"{name}: {scenario}: passed")
    return exit_code
