"""Bodies are written slowly while large answers are read slowly: no answer may be cut off for it."""

import asyncio
import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Brick, category, contract, main, new_id, read_head, request_bytes, site_settings,
)  # fmt: skip

SOCKETS, MEMORY_MB = 1024, 96  # the pages: 256 to 1,024 descriptors, 32 to 192 MB
WRITERS, READERS = 300, 40  # together at most a third of the descriptors (341)
BODY = 60_000 if TROUBLE else 600  # under 64 KiB
PIECE, GAP_S = 16_000, 0.25  # both ways 64 kB a second
ANSWER = 8_000_000  # read at that rate for the time of the case, then at full speed
SECONDS = 18.0


class SlowBrick(Brick):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.places = asyncio.Semaphore(4)

    async def answer(self, fields, body, writer):
        name = fields["request-id"]
        if name.startswith("f"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER + bytes(ANSWER))
            await writer.drain()
            return True
        async with self.places:  # a write takes a quarter of a second, four at a time
            await asyncio.sleep(0.25)
        return await super().answer(fields, body, writer)


async def reader_client(record, port, shard, until, results):
    name = "f" + new_id()[1:]
    plain = socket.socket()
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    plain.setblocking(False)
    await asyncio.get_running_loop().sock_connect(plain, ("127.0.0.1", port))
    reader, writer = await asyncio.open_connection(sock=plain, limit=8 * 1024)
    writer.write(request_bytes(name, shard))
    record(f"reader sends {name}")
    left = None
    try:
        first, fields = await read_head(reader)
        status, left = int(first.split(" ")[1]), int(fields.get("content-length", "0"))
        if status == 200:
            while left:
                data = await reader.readexactly(min(PIECE, left))
                left -= len(data)
                if time.monotonic() < until:
                    await asyncio.sleep(GAP_S)
        results[name] = "whole" if status == 200 else f"status {status}"
    except (OSError, asyncio.IncompleteReadError) as error:
        results[name] = f"cut off, {left} bytes missing: {type(error).__name__}"
    record(f"reader has {name}: {results[name]}")
    writer.close()


async def writer_client(record, port, shard, until, counts):
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                while time.monotonic() < until:
                    name = "0" + new_id()[1:]
                    message = request_bytes(name, shard, kind="write", timeout_ms=5000, body=bytes(BODY))
                    head = len(message) - BODY
                    writer.write(message[:head])
                    for start in range(head, len(message), PIECE):
                        writer.write(message[start : start + PIECE])
                        await asyncio.sleep(GAP_S)
                    first, fields = await read_head(reader)
                    await reader.readexactly(int(fields.get("content-length", "0")))
                    status = first.split(" ")[1]
                    counts[status] = counts.get(status, 0) + 1
                    record(f"writer has {name}: {status}")
                    if fields.get("connection", "").lower() == "close":
                        break
                    if status != "200":
                        await asyncio.sleep(0.3)
            finally:
                writer.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            counts[type(error).__name__] = counts.get(type(error).__name__, 0) + 1
            await asyncio.sleep(0.2)


async def case(world, record):
    bricks = [SlowBrick(record, f"s-{cell}", cell) for cell in range(8)]
    await world.add_bricks(bricks)
    classes = [category("read", 3000), category("write", 5000)]
    settings = site_settings(classes, [contract("basic")], len(bricks))
    head = world.head("n1", world.config("n1", settings, sockets=SOCKETS, memory_mb=MEMORY_MB))
    await head.start()
    await head.ready()
    results, counts = {}, {}
    until = time.monotonic() + SECONDS
    readers = [asyncio.create_task(reader_client(record, head.port, n % 8, until, results)) for n in range(READERS)]
    await asyncio.sleep(1)
    writers = []
    for number in range(WRITERS):
        writers.append(asyncio.create_task(writer_client(record, head.port, number % 8, until, counts)))
        await asyncio.sleep(0.003)
    await asyncio.gather(*readers)
    for task in writers:
        task.cancel()
    lost = [name for name, what in results.items() if what != "whole" and not what.startswith("status")]
    record(f"writers' answers: {counts}")
    record(f"{len(results)} large answers, {len(lost)} cut off")
    with open(f"/proc/{head.process.pid}/status") as file:
        record("head: " + "; ".join(line.strip() for line in file if line.startswith(("VmHWM", "VmRSS"))))
    return BROKEN if lost else HELD


main(case, os.path.join(HERE, "record.txt"))
