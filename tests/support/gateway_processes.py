"""The processes of one gateway, which replace each other, in a folder of their own."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from gaugesail.rehearsal import defaults
from gaugesail.rehearsal.fleet.heads import free_ports

from .faulty_process import HOST, READY_S, ROOT, ListService, wait_until

RUN = (sys.executable, "-m", "gaugesail")


def put_request(name: str, block: int, shard: int, timeout_s: float, body: bytes = b"") -> bytes:
    """Return a write of a block."""
    lines = [
        "PUT /api HTTP/1.1", "Host: h", f"Request-Id: {name}", "Request-Class: write", "X-Plan: basic",
        f"Cookie: block={block:x}", f"X-IO: volume=1,units=1,shard={shard},hosts=1",
        f"Request-Timeout-Ms: {int(timeout_s * 1000)}", f"Content-Length: {len(body)}", "", "",
    ]  # fmt: skip
    return "\r\n".join(lines).encode() + body


class GatewayProcesses:
    """Starts processes of one gateway; ``changes`` are entries of its settings, with ``__`` between parts."""

    def __init__(self, folder: Path, discovery: ListService, changes: dict[str, str]) -> None:
        self.folder = folder
        (self.port,) = free_ports(1)
        self.started: list[subprocess.Popen[bytes]] = []
        settings = defaults.settings()
        for path, value in changes.items():
            defaults.change(settings, path.replace("__", "."), value)
        config: dict[str, Any] = {
            "name": "n", "listen": f"{HOST}:{self.port}", "discovery": discovery.address, "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.endpoint_list(), "settings": settings,
        }  # fmt: skip
        (self.folder / "config").write_text(json.dumps(config))

    def start(self, command: tuple[str, ...] | None = None, cwd: Path = ROOT) -> subprocess.Popen[bytes]:
        """Start a process; returns at once."""
        environ = os.environ | {"BALANCER_CONFIG": str(self.folder / "config"), "TMPDIR": str(self.folder)}
        with self.log(len(self.started)).open("wb") as log:
            process = subprocess.Popen(command or RUN, cwd=cwd, env=environ, stderr=log)
        self.started.append(process)
        return process

    def log(self, number: int) -> Path:
        return self.folder / f"log{number}"

    def await_serving(self, number: int) -> None:
        """Wait until a process serves."""
        log = self.log(number)
        assert wait_until(lambda: "event=listening" in log.read_text(), READY_S), log.read_text()

    def start_and_await(self) -> subprocess.Popen[bytes]:
        process = self.start()
        self.await_serving(len(self.started) - 1)
        return process

    def close(self) -> None:
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
