"""Processes of the head, each with its files and its store, as operators would start and stop them."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

from ...iscsi.operator import write_toml


def free_ports(count: int) -> list[int]:
    """Numbers that are free now for TCP; all are held until the last is found."""
    held = [socket.socket() for _ in range(count)]
    try:
        for item in held:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in held]
    finally:
        for item in held:
            item.close()


class HeadProcess:
    """One head: its files stay, its processes come and go."""

    def __init__(self, name: str, folder: Path, listen: int, calls: int, fleet: int) -> None:
        self.name, self.folder = name, folder
        self.listen, self.calls, self.fleet_port = listen, calls, fleet
        self.config: dict[str, Any] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self.with_fleet = True
        self.stopped = False  # SIGSTOP
        self.starts = 0
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "store").mkdir(exist_ok=True)

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

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
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, env=environ, stderr=log, stdout=log)
        self.starts += 1
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
    return any(word in line for word in ("fleet_raised", "module_raised", "callback_raised", "Traceback"))

