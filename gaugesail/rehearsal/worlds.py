"""The two worlds of a rehearsal: memory, where time is the scenario's, and loopback, against a process."""

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

START_S = 15.0


class MemoryProcess:
    """A process of a head in memory, as it is seen from outside."""

    def __init__(self, name: str, head: Any, reactor: ProcessReactor, shared: MemoryReactor) -> None:
        self.name, self.head, self.reactor, self._shared = name, head, reactor, shared
        self.stop_at: float | None = None

    @property
    def running(self) -> bool:
        return not self.reactor.over

    @property
    def _ports(self) -> list[Any]:
        listening = [port for ports in self._shared.ports.values() for port in ports]
        return [port for port in listening if port.factory is self.head.front]

    @property
    def has_listener(self) -> bool:
        return bool(self._ports)

    @property
    def accepts(self) -> bool:
        """Where all places are in use, one that comes free is the next one's."""
        full = self.head.front.held and self.head.front.connections > 0
        return any(not port.held or full for port in self._ports)

    @property
    def busy(self) -> bool:
        return bool(self.head.front.connections or self.head.engine.open_requests)


class MemoryWorld:
    """The daemon's own code on a reactor in memory: the same scenario always plays the same way."""

    margin_s, watched = 0.0, True

    def __init__(self, **environ: str) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._environ = {"TMPDIR": self._folder.name} | environ
        self.reactor = MemoryReactor()
        self.reactor.advance(1_000_000.0)
        self.heads: list[Any] = []  # the processes, in the order they were started
        self._seen: list[MemoryProcess] = []  # those of them that serve
        self.management = ("", 0)
        self.log = io.StringIO()

    def clock(self, reactor: ProcessReactor) -> ReactorClock:
        return ReactorClock(
            reactor, lambda: round(self.reactor.seconds() * 1e9), lambda: 1_700_000_000 * 10**9
        )

    @property
    def head(self) -> Any:
        """The first process, mostly the only one."""
        return self.heads[0]

    def address(self) -> str:
        return "127.0.0.1:9000"

    def start(self, wire: str, config: dict[str, Any], daemon: Peer) -> tuple[str, int]:
        log, own = make_logger(self.log), ProcessReactor(self.reactor)
        clock = self.clock(own)
        if wire == "iscsi":
            made: Any = IscsiGateway(own, read_operator(config, self._environ), log, clock)
        else:
            made = PlatformGateway(own, configuration.read(config, self._environ), log, clock)
        self.heads.append(made)
        made.stopped.addCallback(lambda _: daemon.saw("exit", "0"))
        made.stopped.addCallback(lambda _: self.reactor.callLater(0, own.end))
        failed: list[Failure] = []
        made.start().addErrback(failed.append)
        self.until(lambda: made.front.listening or bool(failed), START_S)
        if failed:
            raise ScenarioError(f"the daemon did not start: {failed[0].value!r}")
        self._seen.append(MemoryProcess(str(len(self.heads)), made, own, self.reactor))
        self.management = made.management_address
        return made.address  # type: ignore[no-any-return]

    def processes(self) -> list[MemoryProcess]:
        return self._seen

    def change(self, config: dict[str, Any]) -> None:
        """The file that the daemon was started with is another, and SIGHUP tells it so."""
        head, environ = self.heads[-1], self._environ
        iscsi = isinstance(head, IscsiGateway)
        head.reload_from(
            lambda: read_operator(config, environ) if iscsi else configuration.read(config, environ)
        )

    def stop(self) -> None:
        """SIGTERM, to the process that has run for longest."""
        process = next(process for process in self._seen if process.running)
        if process.stop_at is None:
            process.stop_at = self.reactor.seconds()
        process.head.stop()

    def kill(self) -> None:
        """SIGKILL, to the process that was started last."""
        [process for process in self._seen if process.running][-1].reactor.end()

    def until(self, done: Callable[[], bool], seconds: float) -> bool:
        return self.reactor.run_until(done, seconds)

    def settle(self) -> None:
        self.pass_time(0.001)

    def pass_time(self, seconds: float) -> None:
        self.reactor.run_until(lambda: False, seconds)

    def end(self) -> None:
        self._folder.cleanup()


class LoopbackProcess:
    """A process of a head; whether somebody can come in is asked at its address."""

    busy = True  # that is not seen from here

    def __init__(self, process: subprocess.Popen[str], address: tuple[str, int]) -> None:
        self._process, self._address = process, address
        self.name, self.stop_at = str(process.pid), None

    stop_at: float | None

    @property
    def running(self) -> bool:
        return self._process.poll() is None

    @property
    def accepts(self) -> bool:
        with socket.socket() as one:
            return one.connect_ex(self._address) == 0

    has_listener = accepts


class LoopbackWorld:
    """The daemon as a process of its own, met through sockets on 127.0.0.1."""

    margin_s, watched = 1.0, False

    def __init__(self) -> None:
        from twisted.internet import reactor  # importing it installs it: only this world does

        use_monotonic_time(reactor)
        self.reactor: Any = reactor
        self._folder = tempfile.TemporaryDirectory()
        self._file = Path(self._folder.name) / "config"
        (Path(self._folder.name) / "kept").mkdir()
        self._processes: list[subprocess.Popen[str]] = []
        self._running: list[subprocess.Popen[str]] = []
        self._seen: list[LoopbackProcess] = []
        self._daemon: Peer | None = None
        self._wire = "http"
        self._addresses: list[tuple[str, int]] = []
        self.management = ("", 0)

    def address(self) -> str:
        with socket.socket() as free:  # a port that is free now; it is asked for again at once
            free.bind(("127.0.0.1", 0))
            return f"127.0.0.1:{free.getsockname()[1]}"

    def start(self, wire: str, config: dict[str, Any], daemon: Peer) -> tuple[str, int]:
        self._daemon, self._wire = daemon, wire
        self._write(config)
        command = [sys.executable, "-m", "gaugesail"] + ([str(self._file)] if wire == "iscsi" else [])
        kept = str(Path(self._folder.name) / "kept")
        environ = os.environ | {"BALANCER_CONFIG": str(self._file), "TMPDIR": kept}
        process = subprocess.Popen(command, env=environ, stderr=subprocess.PIPE, text=True)
        self._processes.append(process)
        self._running.append(process)
        threading.Thread(target=self._read_log, args=[process], daemon=True).start()
        if not self.until(lambda: len(self._addresses) == len(self._processes), START_S):
            raise ScenarioError("the daemon did not start")
        self._seen.append(LoopbackProcess(process, self._addresses[-1]))
        return self._addresses[-1]

    def processes(self) -> list[LoopbackProcess]:
        return self._seen

    def _write(self, config: dict[str, Any]) -> None:
        """In one go, as an operator's tool would: the daemon must never read half a file."""
        fresh = self._file.with_suffix(".new")
        fresh.write_text(write_toml(config) if self._wire == "iscsi" else json.dumps(config))
        fresh.replace(self._file)

    def _read_log(self, process: subprocess.Popen[str]) -> None:
        assert process.stderr is not None
        for line in process.stderr:
            if "event=listening" in line:
                self.management = split_address(line.partition("management=")[2].split()[0])
                self._addresses.append(split_address(line.partition("address=")[2].split()[0]))
            elif "level=error" in line:
                sys.stderr.write(line)

    def change(self, config: dict[str, Any]) -> None:
        self._write(config)
        self._running[-1].send_signal(signal.SIGHUP)

    def stop(self) -> None:
        first = self._running[0]
        for process in self._seen:
            if process.name == str(first.pid) and process.stop_at is None:
                process.stop_at = self.reactor.seconds()
        first.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        self._running[-1].kill()

    def until(self, done: Callable[[], bool], seconds: float) -> bool:
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

    def settle(self) -> None:
        self.pass_time(0.05)

    def pass_time(self, seconds: float) -> None:
        self.until(lambda: False, seconds)

    def end(self) -> None:
        for process in self._running:
            process.kill()
            process.wait()
        self._folder.cleanup()


def rehearse(steps: list[Step], world: MemoryWorld | LoopbackWorld) -> None:
    """Play one scenario; ScenarioFailed or ScenarioError tells what is wrong."""
    player = Player(world, steps)
    try:
        player.play()
    finally:
        player.finish()
        world.end()


def main(arguments: list[str]) -> int:
    """Play files against a daemon on loopback; the first failing line of each goes to standard output."""
    if not arguments or arguments[0].startswith("-"):
        print("usage: python -m gaugesail.rehearsal FILE...", file=sys.stderr)
        return 2
    worst = 0
    for name in arguments:
        try:
            scenarios = split(Path(name).read_text())
        except (OSError, ValueError, ScenarioError) as error:
            print(f"{name}: {error}", file=sys.stderr)
            worst = 2
            continue
        for title, steps in scenarios.items():
            try:
                rehearse(steps, LoopbackWorld())
            except (ScenarioFailed, ScenarioError) as error:
                print(f"{name}: {title}: {error}")
                worst = max(worst, 1)
            else:
                print(f"{name}: {title}: passed")
    return worst
