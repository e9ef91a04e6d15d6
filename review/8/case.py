"""A process is replaced while clients read large answers slowly: each answer has to come whole."""

import asyncio
import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))
from standins import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Brick, NotRun, category, contract, free_ports, main, new_id, read_head,
    request_bytes, site_settings,
)  # fmt: skip

READERS = 40
STAGGER_S = 0.15  # between two of them
ANSWER = 30_000_000  # the pages: up to 32 MB
FAST = 8_000_000  # bytes that they read at full speed first
PIECE, GAP_S = 16_000, 0.25  # then 64 kB a second
SLOW_S = 20.0  # after which they read at full speed again


def body_of(name):
    return (name.encode() * (ANSWER // len(name) + 1))[:ANSWER]


class LargeBrick(Brick):
    async def answer(self, fields, body, writer):
        name = fields["request-id"]
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER + body_of(name))
        await writer.drain()
        self.record(f"{self.name} wrote all of {name}")
        return True


async def reader_client(record, port, shard, until, results):
    name = new_id()
    plain = socket.socket()
    plain.setblocking(False)
    await asyncio.get_running_loop().sock_connect(plain, ("127.0.0.1", port))
    reader, writer = await asyncio.open_connection(sock=plain, limit=64 * 1024)
    writer.write(request_bytes(name, shard))
    record(f"reader sends {name}")
    received = bytearray()
    status, length = 0, 0
    try:
        first, fields = await read_head(reader)
        status, length = int(first.split(" ")[1]), int(fields.get("content-length", "0"))
        while status == 200 and len(received) < length:
            data = await reader.read(min(PIECE, length - len(received)))
            if not data:
                raise asyncio.IncompleteReadError(b"", None)
            received += data
            if len(received) >= FAST and time.monotonic() < until:
                await asyncio.sleep(GAP_S)
        if status != 200:
            results[name] = f"status {status}"
        else:
            results[name] = "whole" if bytes(received) == body_of(name) else "wrong content"
    except (OSError, asyncio.IncompleteReadError) as error:
        results[name] = f"cut off after {len(received)} of {length} bytes: {type(error).__name__}"
    record(f"reader has {name}: {results[name]}")
    writer.close()


async def case(world, record):
    bricks = [LargeBrick(record, f"s-{cell}", cell) for cell in range(8)]
    await world.add_bricks(bricks)
    settings = site_settings([category("read", 3000)], [contract("basic")], len(bricks))
    config = world.config("n1", settings)
    old = world.head("old", config)
    await old.start()
    await old.ready()
    results = {}
    until = time.monotonic() + SLOW_S
    readers = []
    for number in range(READERS):
        readers.append(asyncio.create_task(reader_client(record, old.port, number % 8, until, results)))
        await asyncio.sleep(STAGGER_S)
    await asyncio.sleep(1)
    if TROUBLE:
        new_config = dict(config, management=f"127.0.0.1:{free_ports(1)[0]}", seed=new_id())
        new_config["known"] = world.discovery.listing()
        new = world.head("new", new_config)
        await new.start()
        started = time.monotonic()
        await new.ready(int(new_config["management"].rpartition(":")[2]), "/healthcheck", 6.0)
        record(f"the new process said yes after {time.monotonic() - started:.2f} s")
        old.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(old.process.wait(), 3.7)
            record("the old process has ended")
        except asyncio.TimeoutError:
            old.signal(signal.SIGKILL)
    await asyncio.gather(*readers)
    # A refusal (503) loses nothing.
    lost = {name: what for name, what in results.items() if what != "whole" and what != "status 503"}
    record(f"{len(results)} large answers, {len(lost)} not whole")
    if len(results) != READERS:
        raise NotRun("not all clients have ended")
    return BROKEN if lost else HELD


main(case)
