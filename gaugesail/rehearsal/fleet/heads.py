"""Gateway processes with their files and stores, started and stopped as an operator would."""

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

SIGNALS_UNSAFE_S = 3.0  # after a start: the process possibly has no signal handlers yet
FIRST_PORT, LAST_PORT_END = 10_000, 32_000  # below the ephemeral range, so that no connection takes one


def free_ports(count: int) -> list[int]:
    """Return ``count`` different port numbers of 127.0.0.1 that are free for both TCP and UDP now.

    Raises OSError if not enough were found.
    """
    found: list[int] = []
    rng = random.SystemRandom()
    for _ in range(100 * count):
        number = rng.randrange(FIRST_PORT, LAST_PORT_END)
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
    raise OSError(f"expected {count} free ports from {FIRST_PORT} to {LAST_PORT_END}, found {len(found)}")


class GatewayProcess:
    """A gateway whose files outlive its processes.

    ``write_files`` must be called before the first ``start``.
    """

    def __init__(
        self, name: str, folder: Path, listen_port: int, management_port: int, fleet_port: int
    ) -> None:
        self.name, self.folder = name, folder
        self.listen_port, self.management_port, self.fleet_port = listen_port, management_port, fleet_port
        self.config: dict[str, Any] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self.with_fleet = True
        self.environ: dict[str, str] = {}  # added to the environment of its processes
        self.paused = False  # by SIGSTOP
        self.started_at = 0.0
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "store").mkdir(exist_ok=True)

    @property
    def alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def starting(self) -> bool:
        """Whether its process possibly has no signal handlers yet, so that any signal would end it."""
        return time.monotonic() - self.started_at < SIGNALS_UNSAFE_S

    @property
    def store(self) -> Path:
        """The file of its fleet store."""
        return self.folder / "store" / f"fleet-{self.name}.sqlite"

    @property
    def log(self) -> Path:
        """The file with the standard output and error of all its processes."""
        return self.folder / "log"

    def write_files(self, config: dict[str, Any], fleet: dict[str, Any] | None) -> None:
        """Replace the configuration, and with ``fleet`` the fleet file too."""
        self.config = config
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(config))
        fresh.replace(self.folder / "config")
        if fleet is not None:
            (self.folder / "fleet.toml").write_text(write_toml(fleet))

    def reload(self, config: dict[str, Any]) -> None:
        """Replace the configuration, and send SIGHUP to its process."""
        self.write_files(config, None)
        if self.alive and self.process is not None:
            self.process.send_signal(signal.SIGHUP)

    def start(self) -> None:
        """Start a process, unless one runs."""
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
        self.paused = False

    def release(self) -> subprocess.Popen[bytes] | None:
        """Return its process and forget it, so that ``start`` begins another one beside it."""
        process, self.process = self.process, None
        return process

    def signal(self, signal_number: int) -> None:
        """Send a signal to its process, if it runs."""
        if self.alive and self.process is not None:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """Send SIGKILL, and wait for the end of the process."""
        if self.process is not None and self.alive:
            self.process.kill()
            self.process.wait()
        self.paused = False

    def pause(self) -> None:
        """Send SIGSTOP."""
        if self.alive:
            self.paused = True
            self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self.signal(signal.SIGCONT)
        self.paused = False

    def term(self) -> None:
        """Send SIGTERM, which requests a graceful shutdown."""
        self.signal(signal.SIGTERM)

    # ---- the fleet store ----

    def delete_store(self) -> None:
        """Delete the store and its journal."""
        self.store.unlink(missing_ok=True)
        Path(f"{self.store}-journal").unlink(missing_ok=True)

    def read_store(self) -> bytes | None:
        """The bytes of the store, as a backup would hold them; None if it cannot be read."""
        try:
            return self.store.read_bytes()
        except OSError:
            return None

    def restore_store(self, copy: bytes) -> None:
        """Write a backup over the file in place, so that only its age tells it from the latest store."""
        Path(f"{self.store}-journal").unlink(missing_ok=True)
        with self.store.open("r+b" if self.store.exists() else "wb") as file:
            file.truncate(0)
            file.write(copy)

    def errors(self) -> list[str]:
        """Lines of its log that no injected fault explains."""
        if not self.log.exists():
            return []
        return [line for line in self.log.read_text(errors="replace").splitlines() if _is_unexpected(line)]


def _is_unexpected(line: str) -> bool:
    return any(word in line for word in ("fleet_raised", "policy_raised", "callback_raised", "Traceback"))
