"""Processes of the head, each with its files and its store, as operators would start and stop them."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from ...iscsi.operator import write_toml

YOUNG_S = 3.0
LOW, HIGH = 10_000, 32_000  # below what connections are given, so that none takes one


def free_ports(count: int) -> list[int]:
    """Numbers that are free now for TCP and UDP."""
    found: list[int] = []
    draw = random.SystemRandom()
    for _ in range(100 * count):
        number = draw.randrange(LOW, HIGH)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", number))
                udp.bind(("127.0.0.1", number))
            except OSError:
                continue
        if number not in found:
            found.append(number)
        if len(found) == count:
            return found
    raise OSError(f"no {count} numbers are free from {LOW} to {HIGH}")


class HeadProcess:
    """One head: its files stay, its processes come and go."""

    def __init__(self, name: str, folder: Path, listen: int, calls: int, fleet: int) -> None:
        self.name, self.folder = name, folder
        self.listen, self.calls, self.fleet_port = listen, calls, fleet
        self.config: dict[str, Any] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self.with_fleet = True
        self.environ: dict[str, str] = {}  # what its processes find besides
        self.stopped = False  # SIGSTOP
        self.started_at = 0.0
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "store").mkdir(exist_ok=True)

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    @property
    def young(self) -> bool:
        """It may not take signals yet: until it does, any would end it."""
        return time.monotonic() - self.started_at < YOUNG_S

    @property
    def store(self) -> Path:
        return self.folder / "store" / f"fleet-{self.name}.sqlite"

    @property
    def log(self) -> Path:
        return self.folder / "log"

    def write(self, config: dict[str, Any], fleet: dict[str, Any] | None) -> None:
        self.config = config
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(config))
        fresh.replace(self.folder / "config")
        if fleet is not None:
            (self.folder / "fleet.toml").write_text(write_toml(fleet))

    def change(self, config: dict[str, Any]) -> None:
        """Its file is replaced, and it is told so."""
        self.write(config, None)
        if self.alive and self.process is not None:
            self.process.send_signal(signal.SIGHUP)

    def start(self) -> None:
        if self.alive:
            return
        command = [sys.executable, "-m", "gaugesail"]
        if self.with_fleet:
            command += ["--fleet", str(self.folder / "fleet.toml")]
        environ = os.environ | {"BALANCER_CONFIG": str(self.folder / "config"), "TMPDIR": str(self.folder)}
        environ |= self.environ
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, env=environ, stderr=log, stdout=log)
        self.started_at = time.monotonic()
        self.stopped = False

    def signal(self, number: int) -> None:
        if self.alive and self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.alive:
            self.process.kill()
            self.process.wait()
        self.stopped = False

    def pause(self) -> None:
        if self.alive:
            self.stopped = True
            self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.signal(signal.SIGCONT)
        self.stopped = False

    def term(self) -> None:
        self.signal(signal.SIGTERM)

    # ---- its store ----

    def lose_store(self) -> None:
        self.store.unlink(missing_ok=True)
        Path(f"{self.store}-journal").unlink(missing_ok=True)

    def copy_store(self) -> bytes | None:
        """What a backup would hold now."""
        try:
            return self.store.read_bytes()
        except OSError:
            return None

    def restore(self, copy: bytes) -> None:
        """A backup is written back over the file, so that nothing but its age tells it from the latest."""
        Path(f"{self.store}-journal").unlink(missing_ok=True)
        with self.store.open("r+b" if self.store.exists() else "wb") as file:
            file.truncate(0)
            file.write(copy)

    def errors(self) -> list[str]:
        """Lines of its log that no fault explains."""
        if not self.log.exists():
            return []
        return [line for line in self.log.read_text(errors="replace").splitlines() if _bad(line)]


def _bad(line: str) -> bool:
    return any(word in line for word in ("fleet_raised", "policy_raised", "callback_raised", "Traceback"))
