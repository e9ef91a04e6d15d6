"""A process is replaced while many large answers are on their way: each has to come whole."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Brick, NotRun, category, contract, free_ports, main, new_id, read_head,
    request_bytes, site_settings,
)  # fmt: skip

SOCKETS = 256  # of the head: the smallest that the pages name
CLIENTS = 80  # at most a third of the descriptors (85)
LARGE = 56  # of them wait for a large answer, the others rest between small requests
PIECE, PIECES, GAP_S = 16 * 1024, 150, 0.05  # 2.4 MB over 7.5 s
FIRST = 6  # pieces that come at once, so that the answer is large from its start


class LargeBrick(Brick):
    async def answer(self, fields, body, writer):
        name = fields["request-id"]
        if not name.startswith("f"):
            return await super().answer(fields, body, writer)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECE * PIECES))
        for number in range(PIECES):
            writer.write(bytes([number]) * PIECE)
            await writer.drain()
            if number >= FIRST:
                await asyncio.sleep(GAP_S)
        self.record(f"{self.name} wrote all of {name}")
        return True


async def large_client(record, port, shard, results):
    name = "f" + new_id()[1:]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request_bytes(name, shard))
    record(f"client sends {name}")
    received = 0
    try:
        first, fields = await read_head(reader)
        status, length = int(first.split(" ")[1]), int(fields.get("content-length", "0"))
        while status == 200 and received < length:
            data = await reader.read(65536)
            if not data:
                break
            received += len(data)
        whole = status == 200 and received == length == PIECE * PIECES
        results[name] = "whole" if whole else f"status {status}, {received} of {length} bytes, then the end"
    except (OSError, asyncio.IncompleteReadError) as error:
        results[name] = f"{received} bytes, then {type(error).__name__}"
    record(f"client has {name}: {results[name]}")
    writer.close()


async def small_client(record, port, shard, stop):
    """Rests on its connection and now and then sends a small request; comes again if the head closes it."""
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                while not stop.is_set():
                    name = "0" + new_id()[1:]
                    writer.write(request_bytes(name, shard))
                    first, fields = await read_head(reader)
                    await reader.readexactly(int(fields.get("content-length", "0")))
                    if fields.get("connection", "").lower() == "close":
                        break
                    await asyncio.sleep(1.0)
            finally:
                writer.close()
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.05)


async def case(world, record):
    bricks = [LargeBrick(record, f"s-{cell}", cell) for cell in range(8)]
    await world.add_bricks(bricks)
    settings = site_settings([category("read", 3000)], [contract("basic")], len(bricks))
    config = world.config("n1", settings, sockets=SOCKETS)
    old = world.head("old", config)
    await old.start()
    await old.ready()
    results, stop, tasks = {}, asyncio.Event(), []
    for number in range(CLIENTS - LARGE):
        tasks.append(asyncio.create_task(small_client(record, old.port, number % 8, stop)))
    large = []
    for number in range(LARGE):
        large.append(asyncio.create_task(large_client(record, old.port, number % 8, results)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
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
    await asyncio.gather(*large)
    stop.set()
    for task in tasks:
        task.cancel()
    lost = {name: what for name, what in results.items() if what != "whole"}
    record(f"{len(results)} large answers, {len(lost)} not whole")
    if len(results) != LARGE:
        raise NotRun("not all clients have ended")
    return BROKEN if lost else HELD


main(case, os.path.join(HERE, "record.txt"))
