"""A gateway process under the fault shim, with nodes, discovery and clients on plain sockets.

Everything runs in real time, as the wall clock can be stepped only under a real process.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, TypeVar

from gaugesail.rehearsal import defaults
from gaugesail.rehearsal.faults.shim import Faults

ROOT = Path(__file__).parents[2]
READY_S = 20.0
HEARTBEAT_S = 1.0  # between empty lines of a watch
HOST = "127.0.0.1"
TCP_LAST_DATA_RECEIVED = struct.Struct("=52xI")  # in struct tcp_info, milliseconds
Row = TypeVar("Row")
Result = TypeVar("Result")


def wait_until(done: Callable[[], bool], seconds: float) -> bool:
    """Wait until ``done`` returns true; returns False after ``seconds``."""
    end = time.monotonic() + seconds
    while not done():
        if time.monotonic() > end:
            return False
        time.sleep(0.01)
    return True


def folder_of(base: Path, name: object) -> Path:
    """Create a folder for one of several gateways of a test."""
    (made := base / str(name)).mkdir()
    return made


def at_once(rows: Iterable[Row], call: Callable[[Row], Result]) -> dict[Row, Result]:
    """The results of ``call`` by row; all rows run in parallel."""
    rows = list(rows)
    with ThreadPoolExecutor(len(rows)) as pool:
        return dict(zip(rows, pool.map(call, rows), strict=True))


class HangingNode:
    """A node that accepts connections and requests but never answers."""

    def __init__(self, shard: int) -> None:
        self.shard, self.started_ms, self.phase = shard, 0, "Ready"
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.listener.setblocking(False)
        self._accepted: list[socket.socket] = []
        self._received: dict[socket.socket, bytes] = {}

    def endpoint(self) -> dict[str, Any]:
        port = self.listener.getsockname()[1]
        return {"id": f"b{self.shard}", "host_port": f"{HOST}:{port}", "locality": "", "flavor": "",
                "cell": self.shard, "phase": self.phase, "size": 1.0,
                "up_since_ms": self.started_ms}  # fmt: skip

    @property
    def requests(self) -> int:
        """The number of requests received so far."""
        with suppress(BlockingIOError):
            while True:
                accepted = self.listener.accept()[0]
                accepted.setblocking(False)
                self._accepted.append(accepted)
        for accepted in self._accepted:
            with suppress(OSError):
                self._received[accepted] = self._received.get(accepted, b"") + accepted.recv(1 << 16)
        return sum(text.count(b"Request-Id: ") for text in self._received.values())

    @property
    def received_ago_s(self) -> float:
        """How long ago the kernel has received the latest bytes of any connection (tcp(7), ``TCP_INFO``)."""
        infos = [
            accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_LAST_DATA_RECEIVED.size)
            for accepted in self._accepted
        ]
        return min(int(TCP_LAST_DATA_RECEIVED.unpack(info)[0]) for info in infos) / 1000

    def close(self) -> None:
        for open_socket in (self.listener, *self._accepted):
            open_socket.close()


class ServingNode(HangingNode):
    """A node that answers each request at once."""

    def __init__(self, shard: int) -> None:
        super().__init__(shard)
        self._answered: dict[socket.socket, int] = {}  # answers by connection
        self._closed = False
        self.serving = True
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while not self._closed:
            time.sleep(0.002)
            with suppress(OSError):  # it is being closed
                if self.requests and self.serving:
                    self._answer()

    def _answer(self) -> None:
        for accepted, text in list(self._received.items()):
            while text.count(b"\r\n\r\n") > self._answered.get(accepted, 0):
                self._answered[accepted] = self._answered.get(accepted, 0) + 1
                with suppress(OSError):
                    accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def close(self) -> None:
        self._closed = True
        super().close()


def read_head(stream: Any) -> dict[str, str] | None:
    """Read the head of a message: its fields in lower case, its first line as ""; None at the end."""
    lines: list[str] = []
    while line := stream.readline():
        if line == b"\r\n":
            fields = dict(text.lower().split(": ", 1) for text in lines[1:])
            return fields | {"": lines[0]}
        lines.append(line.decode().rstrip())
    return None


class ThreadedNode(HangingNode):
    """A node with a thread for each connection, which answers each request after ``work``."""

    def __init__(self, shard: int) -> None:
        super().__init__(shard)
        self.listener.setblocking(True)
        threading.Thread(target=self._accept, daemon=True).start()

    def work(self, name: str) -> None:
        """Do the work of the request with this id; returns when it is done."""

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                accepted = self.listener.accept()[0]
                self._accepted.append(accepted)
                threading.Thread(target=self._serve, args=(accepted,), daemon=True).start()

    def _serve(self, accepted: socket.socket) -> None:
        with suppress(OSError, ValueError), accepted.makefile("rb") as stream:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while (head := read_head(stream)) is not None:
                self.read_body(stream, head)
                self.answer(accepted, head)

    def read_body(self, stream: Any, head: dict[str, str]) -> None:
        """Read the body of a request."""
        if head.get("transfer-encoding") != "chunked":
            stream.read(int(head.get("content-length", "0")))
            return
        while size := int(stream.readline().partition(b";")[0], 16):
            stream.read(size + 2)
        stream.readline()

    def answer(self, connection: socket.socket, head: dict[str, str]) -> None:
        """Answer a request when its work is done."""
        self.work(head["request-id"])
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class ListService:
    """Discovery: each watch gets the complete list, changes, and an empty line every HEARTBEAT_S."""

    def __init__(self, nodes: list[HangingNode]) -> None:
        self.nodes, self.revision = nodes, 1
        self._listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self._watches: list[socket.socket] = []
        self._silent: list[socket.socket] = []
        self._closed = False
        self.calls = 0
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def endpoint_list(self, full: bool = True) -> dict[str, Any]:
        return {
            "revision": self.revision,
            "complete": full,
            "members": [node.endpoint() for node in self.nodes],
        }

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                watch = self._listener.accept()[0]
                watch.recv(4096)
                self.calls += 1
                watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._send(watch, json.dumps(self.endpoint_list()))
                self._watches.append(watch)

    def _send_heartbeats(self) -> None:
        while not self._closed:
            time.sleep(HEARTBEAT_S)
            self._send_to_watches("")

    def _send_to_watches(self, text: str) -> None:
        for watch in list(self._watches):
            with suppress(OSError):
                self._send(watch, text)

    @staticmethod
    def _send(watch: socket.socket, text: str) -> None:
        data = text.encode() + b"\n"
        watch.sendall(b"%x\r\n%b\r\n" % (len(data), data))

    def fall_silent(self) -> None:
        """Keep the present watches open, but send them nothing more."""
        self._silent += self._watches
        self._watches = []

    def changed(self) -> None:
        """Send the current list to all watches as a change."""
        self.revision += 1
        self._send_to_watches(json.dumps(self.endpoint_list(False)))

    def close(self) -> None:
        self._closed = True
        for open_socket in (self._listener, *self._watches, *self._silent):
            open_socket.close()


class Answer:
    """A request on its own connection, and its answer."""

    def __init__(self, gateway: FaultyGateway, name: str, shard: int, timeout_ms: int, units: int) -> None:
        self.due_s = timeout_ms / 1000
        self._socket = socket.create_connection((HOST, gateway.port), 5.0)
        self._socket.settimeout(0.0)
        self._received = b""
        self.took_s: float | None = None
        self.began = time.monotonic()
        block = hash(name) & 0xFFFF_FFFF  # unique, so that no request counts as a repeat of another
        text = (
            f"GET /api HTTP/1.1\r\nHost: h\r\nRequest-Id: {name}\r\nRequest-Class: read\r\nX-Plan: basic\r\n"
            f"Cookie: block={block:x}\r\n"
            f"X-IO: volume=1,units={units},shard={shard},hosts=1\r\nRequest-Timeout-Ms: {timeout_ms}\r\n\r\n"
        )
        self._socket.sendall(text.encode())

    @property
    def status(self) -> int:
        """The status; 0 while there is no answer, -1 if the connection ended without one."""
        if self.took_s is None:
            try:
                data = self._socket.recv(4096)
            except BlockingIOError:
                return 0
            except ConnectionError:
                data = b""
            self._received += data
            if b"\r\n\r\n" in self._received or not data:
                self.took_s = time.monotonic() - self.began
        if self.took_s is None:
            return 0
        return int(self._received[9:12]) if self._received.startswith(b"HTTP/1.1 ") else -1

    def close(self) -> None:
        self._socket.close()


class FaultyGateway:
    """A gateway process whose system calls and wall clock are controlled by the test."""

    def __init__(
        self, folder: Path, library: Path, nodes: list[HangingNode], arguments: tuple[str, ...] = (),
        management: str = "", seed: str = "7", **changes: str,
    ) -> None:  # fmt: skip
        self.folder, self.nodes = folder, nodes
        self.discovery = ListService(nodes)
        self.faults = Faults(library, folder / "faults")
        config: dict[str, Any] = {
            "name": "n", "listen": f"{HOST}:0", "discovery": self.discovery.address, "seed": seed,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": True, "members": []}, "settings": defaults.settings(),
        }  # fmt: skip
        if management:
            config["management"] = management
        for path, value in changes.items():
            tree = config if path.startswith("limits__") else config["settings"]
            defaults.change(tree, path.replace("__", "."), value)
        (folder / "config").write_text(json.dumps(config))
        self._arguments = arguments
        self.log = folder / "log"
        self._answers: list[Answer] = []

    def start(self) -> FaultyGateway:
        environ = os.environ | self.faults.environment()
        environ |= {"BALANCER_CONFIG": str(self.folder / "config"), "TMPDIR": str(self.folder)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gaugesail", *self._arguments], cwd=ROOT, env=environ, stderr=log
            )
        assert wait_until(lambda: "event=listening" in self.text, READY_S), self.text
        line = next(line for line in self.text.splitlines() if "event=listening" in line)
        self.port = int(line.partition("address=")[2].split()[0].rpartition(":")[2])
        assert wait_until(lambda: self.discovery.calls > 0, 5.0)
        time.sleep(0.1)
        return self

    @property
    def text(self) -> str:
        return self.log.read_text(errors="replace")

    def send_request(self, name: str, shard: int = 0, timeout_ms: int = 1000, units: int = 1) -> Answer:
        self._answers.append(answer := Answer(self, name, shard, timeout_ms, units))
        return answer

    def send_requests(self, timeout_ms: int = 1000) -> list[Answer]:
        """Send one request for each node."""
        now = time.monotonic_ns()
        return [self.send_request(f"r{node.shard}-{now}", node.shard, timeout_ms) for node in self.nodes]

    def term(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def close(self) -> None:
        for answer in self._answers:
            answer.close()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.discovery.close()
        for node in self.nodes:
            node.close()
        self.faults.close()


@contextmanager
def faulty(
    folder: Path, library: Path, nodes: list[HangingNode], *arguments: str, ahead_s: float = 0.0,
    management: str = "", seed: str = "7", **changes: str,
) -> Iterator[FaultyGateway]:  # fmt: skip
    """Start a gateway, with its wall clock ``ahead_s`` ahead, and kill it at the end."""
    gateway = FaultyGateway(folder, library, nodes, arguments, management, seed, **changes)
    gateway.faults.step_wall_clock(ahead_s)
    try:
        yield gateway.start()
    finally:
        gateway.close()


def answered_late(answers: list[Answer], slack_s: float = 0.25) -> list[str]:
    """Wait until the last answer is due, and describe the missing and late answers."""
    latest = max(answer.began + answer.due_s for answer in answers) + slack_s
    wait_until(lambda: all(answer.status for answer in answers), latest - time.monotonic() + 1.0)
    return [
        f"{answer.status} after {answer.took_s} of {answer.due_s} s"
        for answer in answers
        if answer.status <= 0 or answer.took_s is None or answer.took_s > answer.due_s + slack_s
    ]
