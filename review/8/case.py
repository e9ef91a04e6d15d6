"""Requests of one key, in a class that keeps order, while the answer of the first is long under way."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Brick, NotRun, category, contract, main, new_id, read_body, read_head,
    request_bytes, site_settings,
)  # fmt: skip

PIECES, PIECE, GAP_S = (24, 40_000, 0.08) if TROUBLE else (1, 40_000, 0.0)  # 960 kB over about 2 s, or 40 kB
KEYS = 4


class OrderedBrick(Brick):
    """Notes from when to when it works on each request: the answer's last byte ends it."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.began, self.ended = {}, {}
        self.items = {}  # the present content of each item, one byte: it relies on the order that the head keeps

    async def answer(self, fields, body, writer):
        name, item = fields["request-id"], fields["cookie"]
        self.began[name] = time.monotonic()
        if name.startswith("f"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECES * PIECE))
            for number in range(PIECES):
                if number:
                    await asyncio.sleep(GAP_S)
                writer.write(self.items.get(item, b"a") * PIECE)
                self.ended[name] = time.monotonic()
                await writer.drain()
        else:
            self.items[item] = b"b"
            await super().answer(fields, body, writer)
        self.record(f"{self.name} has answered {name} whole")
        return True


async def ask(record, port, message, name, taken):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(message)
    await writer.drain()
    taken[name] = time.monotonic()
    record(f"client sends {name}")
    first, fields = await read_head(reader)
    body = await read_body(reader, fields)
    torn = b"a" in body and b"b" in body and name.startswith("f")
    record(f"client has {name} whole: {first}{', half of it from after the write' if torn else ''}")
    writer.close()
    return int(first.split(" ")[1]), torn


async def case(world, record):
    brick = OrderedBrick(record, "s-0", 0)
    await world.add_bricks([brick])
    classes = [category("read", 3000, keep_order=True), category("write", 5000, keep_order=True)]
    settings = site_settings(classes, [contract("basic")], 1, guarantees={"key_quiet_us": 300_000})
    head = world.head("n1", world.config("n1", settings))
    await head.start()
    await head.ready()
    taken, broken, judged, torn = {}, 0, 0, 0
    for key in range(1, KEYS + 1):
        first, second = "f" + new_id()[1:], "0" + new_id()[1:]
        slow = asyncio.create_task(
            ask(record, head.port, request_bytes(first, 0, block=key), first, taken)
        )
        await asyncio.sleep(0.5 if TROUBLE else 0.05)
        message = request_bytes(second, 0, kind="write", block=key, body=b"x" * 100, timeout_ms=5000)
        answers = await asyncio.gather(slow, ask(record, head.port, message, second, taken))
        if second not in brick.began or answers[0][0] != 200:
            continue  # refused or failed, which may be out of turn
        judged += 1
        torn += answers[0][1]
        early_s = brick.ended[first] - brick.began[second]
        record(f"key {key}: the second began {early_s:+.3f} s before the end of the first")
        broken += early_s > 0.05  # "every time limit is 50 ms longer"
    record(f"{judged} keys judged, order broken for {broken}, answers mixed of before and after the write: {torn}")
    if not judged:
        raise NotRun("no key could be judged")
    return BROKEN if broken else HELD


main(case, os.path.join(HERE, "record.txt"))
