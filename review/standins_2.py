"""Stand-ins of the second review: platform, discovery, bricks and clients, on loopback and the real clock.

Written from the protocol pages (PROTOCOL, WIRE, DEPLOY, LATER, STANDING); the standard library alone.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run, for a reason that is no fault of the head."""


class Record:
    """Writes what was sent, answered and run to a case's record, with the seconds since the start."""

    def __init__(self, file: str) -> None:
        self._start = time.monotonic()
        self._file = open(file, "w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:9.4f} {text}\n")
        self._file.flush()


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def category(name: str, give_up_ms: int, effect: str = "retryable", **more: object) -> dict:
    return {
        "aim_us": 500_000, "effect": effect, "gain": 3.0, "give_up_us": give_up_ms * 1000, "group": "all",
        "late_share": 0.15, "name": name, "stream": False, "window_us": 5_000_000,
    } | more  # fmt: skip


def contract(name: str, rate: float = 1000.0, **more: object) -> dict:
    return {
        "limit_slack": 0.0, "most_at_once": 0.0, "name": name, "never_over": 0.0, "parts": 1.0, "pays": 1.0,
        "rate": rate, "reserve": rate,
    } | more  # fmt: skip


def site_settings(categories: list[dict], contracts: list[dict], shards: int, **over: dict) -> dict:
    """Settings in the names of the wire page; ``over`` updates a group of them."""
    settings: dict = {
        "balancers": 3, "categories": categories, "clients": {"marks_retry": True}, "contracts": contracts,
        "discovery": "ask",
        "domain": {"beyond_share": 0.08, "class_writes": [False for _ in categories], "cold_bears": 22.0,
                   "fair_worth": 0.35, "max_units": 8, "metering_us": 0, "slots_total": shards,
                   "tells_elsewhere": False, "usual_units": 2.05},
        "family": "stores", "flavors": ["node-2c"],
        "goal": {"whole": 0.7, "worst_class": 0.1, "worst_tenant": 0.1, "worst_window": 0.1},
        "guarantees": {"answer_slack_us": 8000, "ask_within_us": 10_000_000, "cold_share": 0.31,
                       "drain_grace_us": 250_000, "fall_multiple": 3.0, "fall_us": 1_500_000,
                       "ramp_time_us": 17_000_000},
        "load_info": {"fields": [], "how": "none"}, "me": 0,
        "permissions": {"cancel": True, "conn_idle_us": 15_000_000, "connect_timeout_us": 250_000,
                        "cpu_us_per_request": 0.0, "cpu_us_per_s": 500_000, "max_attempts": 4,
                        "max_open": 20_000, "max_retry_after_us": 500_000, "peers": False, "probes": True,
                        "retry_after": True, "second_copies": False, "streams_per_conn": 100},
        "prices": {"discovery": 0.003, "probe": 0.0095, "waste": 0.09},
        "stage": 0, "stages": ["store"], "tick_us": 2000, "weights": "nominal", "zone": 0, "zones": ["room-1"],
    }  # fmt: skip
    for key, value in over.items():
        if isinstance(value, dict):
            settings[key].update(value)
        else:
            settings[key] = value
    return settings


# ---- HTTP, as far as the stand-ins need it ----


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Discovery:
    """Discovery: the list, and watches that tell changes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 41
        self.members: dict[str, dict] = {}
        self._watches: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def listing(self) -> dict:
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def add(self, name: str, port: int, cell: int, phase: str = "Ready", up_since_ms: int = 0) -> None:
        self.members[name] = {
            "id": name, "host_port": f"127.0.0.1:{port}", "locality": "room-1", "flavor": "node-2c",
            "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": up_since_ms,
        }  # fmt: skip

    def change(self, name: str, **fields: object) -> None:
        """Change one entry and tell all watches."""
        self.members[name].update(fields)
        self.revision += 1
        told = {"revision": self.revision, "complete": False, "members": [self.members[name]]}
        self.record(f"discovery tells {name} {fields}")
        if fields.get("phase") == "Gone":
            del self.members[name]
        for writer in list(self._watches):
            self._tell(writer, told)

    @staticmethod
    def _tell(writer: asyncio.StreamWriter, told: dict | None) -> None:
        line = (json.dumps(told) if told is not None else "").encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            first, _ = await read_head(reader)
            target = first.split(" ")[1]
            if "follow=1" not in target:
                body = json.dumps(self.listing()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._tell(writer, self.listing())
            self._watches.append(writer)
            while True:
                await asyncio.sleep(2)
                self._tell(writer, None)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer in self._watches:
                self._watches.remove(writer)
            writer.close()


class Brick:
    """A sound brick: one request at a time on a connection; ``answer`` writes the answer of one request."""

    def __init__(self, record: Record, name: str, cell: int) -> None:
        self.record, self.name, self.cell = record, name, cell
        self.runs: list[tuple[float, str, str]] = []  # when a request's last byte arrived, its id, its body
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def answer(self, fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; returns whether the connection stays open."""
        answer = f"{self.name} {fields['request-id']}".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
        await writer.drain()
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                if first.split(" ")[1] in ("/ping", "/_load"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                name = fields["request-id"]
                self.runs.append((time.monotonic(), name, first))
                self.record(f"{self.name} runs {name} timeout={fields.get('request-timeout-ms')}")
                if not await self.answer(fields, body, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---- the platform's part: processes ----


def run_line() -> str:
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return str(tomllib.load(file)["run"])


class Head:
    """One process of a head, started by the deploy file's line."""

    def __init__(self, record: Record, folder: str, name: str, config: dict, arguments: str = "") -> None:
        self.record, self.name, self.config = record, name, config
        self.file = Path(folder) / f"{name}.json"
        self.tmp = Path(folder) / "tmp" / config["name"]
        self.tmp.mkdir(parents=True, exist_ok=True)
        self.log = Path(folder) / f"{name}.log"
        self.arguments = arguments
        self.process: asyncio.subprocess.Process | None = None
        self.port = int(config["listen"].rpartition(":")[2])
        self.write()

    def write(self) -> None:
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(self.file)

    async def start(self) -> None:
        self.write()
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(self.tmp),
            "BALANCER_CONFIG": str(self.file), "BALANCER_NAME": self.config["name"],
            "BALANCER_LISTEN": self.config["listen"], "BALANCER_DISCOVERY": self.config["discovery"],
            "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_line() + self.arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"{self.name} started")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self, port: int | None = None, path: str = "/_health", seconds: float = 30.0) -> None:
        """Wait until the head answers yes."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process is not None and self.process.returncode is not None:
                raise NotRun(f"{self.name} ended with {self.process.returncode}: see its log")
            try:
                status, _ = await asyncio.wait_for(call("GET", port or self.port, path), 1)
                if status == 200:
                    self.record(f"{self.name} is ready")
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise NotRun(f"{self.name} is not ready")

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


async def call(method: str, port: int, path: str) -> tuple[int, bytes]:
    """One call on a connection of its own, as the platform or an operator makes it."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode())
        first, fields = await read_head(reader)
        return int(first.split(" ")[1]), await read_body(reader, fields)
    finally:
        writer.close()


# ---- clients ----


def request_bytes(
    name: str, shard: int, kind: str = "read", plan: str = "basic", timeout_ms: int = 3000, body: bytes = b"",
    method: str = "", volume: int = 1, units: int = 1, hosts: int = 1, block: int = 0, more: str = "",
) -> bytes:  # fmt: skip
    """One request in the form of the protocol page."""
    method = method or ("PUT" if body else "GET")
    length = f"Content-Length: {len(body)}\r\n" if method == "PUT" else ""
    return (
        f"{method} /api HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {name}\r\nRequest-Class: {kind}\r\n"
        f"X-Plan: {plan}\r\nCookie: block={block:016x}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{length}"
        f"X-IO: volume={volume:016x},units={units},shard={shard},hosts={hosts}\r\n{more}\r\n"
    ).encode() + body


def new_id() -> str:
    return os.urandom(8).hex()


class World:
    """One run: its folder, its discovery, its bricks and heads; all is ended by ``close``."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.discovery = Discovery(record)
        self.bricks: list[Brick] = []
        self.heads: list[Head] = []

    async def add_bricks(self, bricks: list[Brick], up_since_ms: int = 0) -> None:
        if not self.discovery.port:
            await self.discovery.start()
        for brick in bricks:
            await brick.start()
            self.bricks.append(brick)
            self.discovery.add(brick.name, brick.port, brick.cell, up_since_ms=up_since_ms)

    def config(self, name: str, settings: dict, sockets: int = 1024, memory_mb: int = 192) -> dict:
        listen, management = free_ports(2)
        return {
            "name": name, "listen": f"127.0.0.1:{listen}", "management": f"127.0.0.1:{management}",
            "discovery": f"127.0.0.1:{self.discovery.port}", "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": self.discovery.listing(), "settings": settings,
        }  # fmt: skip

    def head(self, name: str, config: dict, arguments: str = "") -> Head:
        head = Head(self.record, self.folder, name, config, arguments)
        self.heads.append(head)
        return head

    async def close(self) -> None:
        for head in self.heads:
            await head.end()
            if head.log.exists():
                self.record(f"---- log of {head.name}")
                for line in head.log.read_text(errors="replace").splitlines()[-60:]:
                    self.record(f"{head.name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, record_file: str) -> None:  # noqa: ANN001
    """Run ``case(world, record)``, which returns HELD or BROKEN, within 110 s; exit with its result."""
    record = Record(record_file)
    record(f"TROUBLE={int(TROUBLE)}")

    async def run() -> int:
        world = World(record)
        try:
            return await asyncio.wait_for(case(world, record), 110)
        except asyncio.TimeoutError:
            record("the case took too long")
            return NOT_RUN
        except NotRun as reason:
            record(f"not run: {reason}")
            return NOT_RUN
        finally:
            await world.close()

    try:
        result = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        record(f"not run: {error!r}")
        result = NOT_RUN
    record({HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[result])
    print(result)
    sys.exit(result)
