"""Stand-ins for the platform: clients, bricks and discovery on loopback, and the head's processes.

They follow the protocol pages: a brick takes requests in turn of arrival and answers each once, discovery
gives the list and a watch with an empty line every 2 s, a client keeps its connections, sends one request at
a time on each, and sends a request once more on a new connection if the head closed the old one before
anything of the answer came.  Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; nothing was found out."""


class Record:
    """What was sent, answered and run, a line each with the time in seconds since the start."""

    def __init__(self) -> None:
        self._began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self._began

    def note(self, who: str, what: str) -> float:
        at = self.now()
        self.lines.append(f"{at:9.4f} {who:<12} {what}")
        return at

    def write(self, path: Path) -> None:
        path.write_text("\n".join(self.lines) + "\n")


def free_port() -> int:
    """A free port below the range from which the system takes the ports of outgoing connections."""
    for _ in range(1000):
        port = random.SystemRandom().randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise CannotRun("no free port")


# ---- HTTP messages ----


@dataclass
class Message:
    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None if the connection ends before its first byte.  IncompleteReadError amid it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0], headers)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readuntil(b"\r\n")) != b"\r\n":
            pass
        message.body = bytes(body)
    elif length := int(headers.get("content-length", "0")):
        message.body = await reader.readexactly(length)
    return message


def answer(status: int, body: bytes = b"", extra: str = "") -> bytes:
    reason = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}.get(status, "Status")
    return f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


# ---- bricks and discovery ----


@dataclass
class Run:
    """One attempt at a brick, which begins when its last byte has arrived."""

    request: str
    headers: dict[str, str]
    body: bytes
    arrived: float
    started: float | None = None
    ended: float | None = None  # when its answer was written, or the brick was done with it

    def io(self, name: str) -> str:
        fields = dict(item.strip().partition("=")[::2] for item in self.headers.get("x-io", "").split(","))
        return fields.get(name, "")


class Listener:
    """A server on a loopback port of its own."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.port = free_port()
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", self.port)

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            with suppress(RuntimeError):  # the loop is closed already
                writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.close()


class Brick(Listener):
    """A storage node with ``cores`` cores; ``service_s`` gives the work of a request in seconds.

    Work that has begun goes on when its connection ends.  ``apply`` is called as a request is done.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        cell: int,
        service_s: Callable[[Run], float],
        cores: int = 2,
        apply: Callable[[Run], None] = lambda run: None,
    ) -> None:
        super().__init__()
        self.record, self.name, self.cell = record, name, cell
        self.runs: list[Run] = []
        self.phase = "Ready"
        self.building = "ruum-1"
        self.listed_at = ""  # the address in the list, if it is not the brick's own
        self.up_since_ms = 0
        self._service_s, self._apply = service_s, apply
        self._cores = asyncio.Semaphore(cores)  # first come, first served

    def listed(self) -> dict[str, Any]:
        return {
            "id": self.name, "host_port": self.listed_at or self.address, "locality": self.building,
            "flavor": "node-2c",
            "cell": self.cell, "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            path = message.start.split(" ")[1]
            if path in ("/ping", "/_load"):
                writer.write(answer(200))
                continue
            request = message.headers.get("request-id", "")
            if not request:
                writer.write(answer(404))
                continue
            run = Run(request, message.headers, message.body, 0.0)
            run.arrived = self.record.note(self.name, f"arrived {request} {message.headers.get('x-io', '')}")
            self.runs.append(run)
            await asyncio.shield(asyncio.ensure_future(self._work(run)))
            await self.reply(run, writer)

    async def reply(self, run: Run, writer: asyncio.StreamWriter) -> None:
        """Answer a request that has run; the body names it, so that a client sees whether it is its own."""
        writer.write(answer(200, f"{run.request} at {self.name}".encode()))
        await writer.drain()

    async def _work(self, run: Run) -> None:
        async with self._cores:
            run.started = self.record.now()
            await asyncio.sleep(self._service_s(run))
            self._apply(run)
            run.ended = self.record.note(self.name, f"ran {run.request} since {run.started:.4f}")


class Discovery(Listener):
    """The list of bricks, and a watch on its changes; nothing changes unless ``publish`` is called."""

    def __init__(self, bricks: Iterable[Brick]) -> None:
        super().__init__()
        self.bricks = list(bricks)
        self.revision = 1
        self._watches: list[asyncio.StreamWriter] = []

    def full(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": [b.listed() for b in self.bricks]}

    def publish(self, brick: Brick) -> None:
        self.revision += 1
        line = {"revision": self.revision, "complete": False, "members": [brick.listed()]}
        for writer in list(self._watches):
            self._chunk(writer, json.dumps(line).encode())

    def _chunk(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        if not writer.is_closing():
            writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            if "follow=1" not in message.start:
                writer.write(answer(200, json.dumps(self.full()).encode()))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, json.dumps(self.full()).encode())
            self._watches.append(writer)
            try:
                while not writer.is_closing():
                    await asyncio.sleep(2.0)
                    self._chunk(writer, b"")
                    await writer.drain()
            finally:
                self._watches.remove(writer)
            return


# ---- clients ----


@dataclass
class Sent:
    """One request of a client and its one answer."""

    request: str
    key: int
    units: int
    written: float = 0.0  # its last byte, on the connection that it was answered on
    answered: float | None = None
    status: int = 0  # 0: none
    body: bytes = b""
    resent: bool = False
    why: str = ""


class Client:
    """A client with one connection at a time, which it keeps and opens anew when the head has closed it.

    It waits ``patience_s`` beyond its time: an answer up to half a second late only earns nothing, and one of
    over 64 KiB is timed by its first bytes.
    """

    patience_s = 1.0

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record, self.name, self._port = record, name, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.sent: list[Sent] = []

    async def connect(self) -> None:
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        self._writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    @property
    def connected(self) -> bool:
        return self._reader is not None and not self._reader.at_eof()

    async def request(
        self, kind: str, plan: str, volume: int, shard: int = 0, units: int = 1, key: int = 0, hosts: int = 1,
        timeout_ms: int = 3000, body: bytes | None = None, extra: str = "",
    ) -> Sent:
        sent = Sent(f"{random.getrandbits(64):016x}", key, units)
        self.sent.append(sent)
        method = "GET" if body is None else "PUT"
        length = "" if body is None else f"Content-Length: {len(body)}\r\n"
        message = (
            f"{method} /api HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {sent.request}\r\n"
            f"Request-Class: {kind}\r\nX-Plan: {plan}\r\nCookie: block={key:016x}\r\n"
            f"Request-Timeout-Ms: {timeout_ms}\r\n{length}"
            f"X-IO: volume={volume:016x},units={units},shard={shard},hosts={hosts}\r\n{extra}\r\n"
        ).encode() + (body or b"")
        for again in (False, True):
            used = self.connected
            try:
                if not used:
                    self.close()
                    await self.connect()
                await self._exchange(sent, message, timeout_ms)
                return sent
            except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
                sent.why = repr(error)
                self.record.note(self.name, f"broken {sent.request} {error!r}")
                self.close()
                if again or not used or sent.status:
                    break
                sent.resent = True  # the close crossed a request that the head has not read
        return sent

    async def read_answer(self, sent: Sent) -> Message | None:
        assert self._reader is not None
        return await read_message(self._reader)

    async def _exchange(self, sent: Sent, message: bytes, timeout_ms: int) -> None:
        assert self._reader is not None and self._writer is not None
        self._writer.write(message)
        await self._writer.drain()
        sent.written = self.record.note(
            self.name, f"sent {sent.request} key={sent.key:x} units={sent.units}" + (" again" if sent.resent else "")
        )
        try:
            reply = await asyncio.wait_for(self.read_answer(sent), timeout_ms / 1000 + self.patience_s)
        except asyncio.TimeoutError:
            sent.why = "no answer"
            self.record.note(self.name, f"unanswered {sent.request}")
            self.close()
            return
        if reply is None:
            raise ConnectionError("closed without an answer")
        sent.status, sent.body = reply.status, reply.body
        sent.answered = self.record.note(self.name, f"answered {sent.request} {reply.status}")
        if reply.headers.get("connection", "").lower() == "close":
            self.close()


async def http_call(port: int, method: str, path: str, timeout_s: float = 1.0) -> int:
    """The status of one call at the head's address or its second address; 0 if there is none in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\n\r\n".encode())
            reply = await read_message(reader)
            return reply.status if reply is not None else 0
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            writer.close()


# ---- the head ----


def settings(bricks: int, **more: Any) -> dict[str, Any]:
    """Settings of a small deployment with one head, in the form of the simulator's first message."""
    base: dict[str, Any] = {
        "balancers": 1, "me": 0, "tick_us": 2000, "discovery": "ask", "family": "stores", "stage": 0, "zone": 0,
        "weights": "nominal", "zones": ["ruum-1"], "flavors": ["node-2c"], "stages": ["raamat-store"],
        "clients": {"marks_retry": True},
        "categories": [
            {"name": "read", "aim_us": 500_000, "give_up_us": 3_000_000, "gain": 3.0, "late_share": 0.15,
             "effect": "retryable", "group": "all", "window_us": 5_000_000, "stream": False},
            {"name": "write", "aim_us": 600_000, "give_up_us": 5_000_000, "gain": 3.0, "late_share": 0.15,
             "effect": "retryable", "group": "all", "window_us": 5_000_000, "stream": False},
        ],
        "contracts": [
            {"name": "basic", "rate": 200.0, "reserve": 100.0, "parts": 1.0, "pays": 0.72, "never_over": 0.0,
             "most_at_once": 0.0, "limit_slack": 0.0},
        ],
        "domain": {"beyond_share": 0.08, "class_writes": [False, True], "cold_bears": 22.0, "fair_worth": 0.35,
                   "max_units": 8, "metering_us": 0, "slots_total": bricks, "tells_elsewhere": False,
                   "usual_units": 2.0},
        "guarantees": {"answer_slack_us": 8000, "ask_within_us": 10_000_000, "cold_share": 0.31,
                       "drain_grace_us": 250_000, "fall_multiple": 3.0, "fall_us": 1_500_000,
                       "ramp_time_us": 17_000_000},
        "permissions": {"cancel": True, "conn_idle_us": 15_000_000, "connect_timeout_us": 250_000,
                        "max_attempts": 4, "max_open": 20000, "max_retry_after_us": 500_000, "peers": False,
                        "probes": True, "retry_after": True, "second_copies": False},
        "load_info": {"fields": [], "how": "none"},
    }
    for key, value in more.items():
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            base[key] = base[key] | value
        else:
            base[key] = value
    return base


def run_command() -> str:
    """The line ``run`` of the deploy file."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return str(command)


@dataclass
class Process:
    """One process of the head, with a second address of its own."""

    name: str
    management: int
    popen: subprocess.Popen[bytes]
    log: Path
    ready_at: float | None = None

    @property
    def alive(self) -> bool:
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        if self.alive:
            self.popen.send_signal(number)


@dataclass
class Head:
    """A head: its files and its clients' address, which outlive its processes."""

    record: Record
    folder: Path
    discovery: str
    known: dict[str, Any]
    settings: dict[str, Any]
    name: str = "n1"
    command: str = field(default_factory=run_command)
    limits: dict[str, Any] = field(default_factory=lambda: {"cores": 1.0, "memory_mb": 192, "sockets": 512})
    processes: list[Process] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.port = free_port()
        self.tmp = self.folder / f"tmp-{self.name}"
        self.tmp.mkdir()

    def write_config(self, management: int) -> Path:
        path = self.folder / f"{self.name}-{management}.json"
        data = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": self.discovery,
            "management": f"127.0.0.1:{management}", "seed": f"{random.getrandbits(64):016x}",
            "limits": self.limits, "known": self.known, "settings": self.settings,
        }
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(data))
        fresh.replace(path)
        return path

    def start(self, name: str, prepare: Callable[[int], Any] = lambda management: None) -> Process:
        """Start one more process, as the platform does: ``run`` by a shell, from the root.

        ``prepare`` is called with the port of its second address before.
        """
        management = free_port()
        prepare(management)
        config = self.write_config(management)
        log = self.folder / f"{self.name}-{name}.log"
        environ = os.environ | {
            "BALANCER_NAME": self.name, "BALANCER_LISTEN": f"127.0.0.1:{self.port}",
            "BALANCER_DISCOVERY": self.discovery, "BALANCER_CONFIG": str(config),
            "BALANCER_MANAGEMENT": f"127.0.0.1:{management}", "TMPDIR": str(self.tmp),
        }
        with log.open("wb") as out:
            popen = subprocess.Popen(
                ["/bin/sh", "-c", self.command], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL, stdout=out,
                stderr=out,
            )
        process = Process(name, management, popen, log)
        self.processes.append(process)
        self.record.note("operator", f"started process {name}")
        return process

    async def ready(self, process: Process, within_s: float) -> bool:
        """Whether a process says yes at its second address within this time from now."""
        until = time.monotonic() + within_s
        while time.monotonic() < until and process.alive:
            if await http_call(process.management, "GET", "/healthcheck") == 200:
                process.ready_at = self.record.note("operator", f"process {process.name} says yes")
                return True
            await asyncio.sleep(0.02)
        return False

    def signal(self, process: Process, number: int) -> None:
        self.record.note("operator", f"{signal.Signals(number).name} to process {process.name}")
        process.signal(number)

    def reload(self, process: Process, changed: dict[str, Any]) -> None:
        self.settings = changed
        self.write_config(process.management)
        self.signal(process, signal.SIGHUP)

    async def ended(self, process: Process, within_s: float) -> bool:
        until = time.monotonic() + within_s
        while process.alive and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return not process.alive

    def log_lines(self) -> list[str]:
        lines = []
        for process in self.processes:
            with suppress(OSError):
                text = process.log.read_text(errors="replace")
                lines += [f"log of {process.name}: {line}" for line in text.splitlines()]
        return lines

    def kill_all(self) -> None:
        for process in self.processes:
            if process.alive:
                process.popen.kill()
            with suppress(subprocess.TimeoutExpired):
                process.popen.wait(5)


def play(case: Callable[[Record, Path, list[Head]], Any], folder: Path, limit_s: float = 110.0) -> int:
    """Play a case, write its record, end all processes, and return the exit code.

    The case returns the list of breaks of its rule.
    """
    record = Record()
    heads: list[Head] = []
    code = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # so that the processes are ended too
    record.note("case", "with the disruption" if TROUBLE else "without the disruption")

    async def main() -> list[str]:
        async with asyncio.timeout(limit_s):
            found: list[str] = await case(record, Path(temporary), heads)
            return found

    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            breaks = asyncio.run(main())
            code = BROKEN if breaks else HELD
            for line in breaks:
                record.note("judge", f"BROKEN {line}")
                print(f"broken: {line}")
            if not breaks:
                record.note("judge", "held")
                print("held")
        except Exception as error:  # a fault of the case is no finding
            record.note("judge", f"could not run: {error!r}")
            print(f"could not run: {error!r}")
        finally:
            for head in heads:
                head.kill_all()
                record.lines += head.log_lines()
            record.lines = [
                line.replace(temporary, "TMP").replace(str(ROOT), "ROOT") for line in record.lines
            ]
            record.write(folder / "record.txt")
    return code
