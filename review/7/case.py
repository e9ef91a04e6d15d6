"""A client aborts a write, is told that this is done, writes anew, and later reads what it has written."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from scsi_2 import BLOCK, GOOD, Initiator, Node  # noqa: E402
from standins_2 import BROKEN, HELD, TROUBLE, NotRun, free_ports, main  # noqa: E402

TARGET = "iqn.2026-12.ee.example:covers"
USUAL_S, COSTLY_S = 0.08, 1.2  # a write is 58 to 93 ms of work; a costly one takes 10 to 29 times as much
BLOCKS, CLIENTS, ROUNDS = 8, 2, 4

FILE = """
[target]
listen = "127.0.0.1:{port}"
management = "127.0.0.1:{management}"
name = "{target}"
[rules]
max_attempts = 4
may_cancel = true
drain_grace_us = 250_000
mean_units = 2.0
most_units = 64
[[class]]
name = "read"
aim_ms = 500
deadline_ms = 3000
[[class]]
name = "write"
aim_ms = 600
deadline_ms = 5000
writes = true
[[plan]]
name = "basic"
rate = 1000.0
reserve = 1000.0
[[lun]]
number = 0
block_size = 512
[[lun.extent]]
first = 0
blocks = 65536
volume = "0a"
plan = "basic"
shard = 0
[[node]]
id = "store-1"
address = "127.0.0.1:{node}"
shard = 0
"""


def content(text):
    return (text.encode().ljust(16, b".") * (BLOCKS * BLOCK // 16))[: BLOCKS * BLOCK]


async def client(record, port, number, found):
    session = Initiator(record, f"client-{number}")
    await session.login(port, TARGET)
    for turn in range(ROUNDS):
        block = (number * ROUNDS + turn) * BLOCKS
        first, second = content(f"old-{number}-{turn}"), content(f"new-{number}-{turn}")
        tag = session.send(True, block, first)
        if TROUBLE:
            await asyncio.sleep(0.3)
            if await session.abort(tag, 5) != 0:
                continue  # it was too late to abort it, or the head refuses to: nothing to judge
        elif (await session.status(tag, 6))[0] != GOOD:
            continue
        tag = session.send(True, block, second)
        status, _ = await session.status(tag, 6)
        if status != GOOD:
            continue  # refused or failed: nothing is promised
        await asyncio.sleep(COSTLY_S + 0.3)
        tag = session.send(False, block)
        status, data = await session.status(tag, 6)
        if status == GOOD:
            found.append((number, turn, data == second))
            record(f"client-{number} round {turn}: {'the written data' if data == second else 'OTHER DATA'}")


async def case(world, record):
    node = Node(record, "store-1", lambda write, data: COSTLY_S if data.startswith(b"old") else USUAL_S)
    await node.start()
    port, management = free_ports(2)
    file = os.path.join(world.folder, "operator.toml")
    with open(file, "w") as out:
        out.write(FILE.format(port=port, management=management, target=TARGET, node=node.port))
    config = {"name": "i1", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1"}
    head = world.head("i1", config, arguments=f" {file}")
    await head.start()
    await head.ready(management, "/healthcheck")
    found = []
    await asyncio.gather(*(client(record, port, number, found) for number in range(CLIENTS)))
    wrong = [item for item in found if not item[2]]
    record(f"{len(found)} rounds judged, in {len(wrong)} the acknowledged write was lost; aborts at the node: {node.aborts}")
    if not found:
        raise NotRun("no round could be judged")
    return BROKEN if wrong else HELD


main(case, os.path.join(HERE, "record.txt"))
