"""A client has many commands under way on its connection while its process is replaced: each runs as it was sent."""

import asyncio
import hashlib
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Brick, NotRun, category, contract, free_ports, main, new_id, read_head, read_body,
    request_bytes, site_settings,
)  # fmt: skip

CLIENTS = 6
PIECE, PIECES, GAP_S = 16_000, 96, 0.05  # the large answer: 1.5 MB over 4.5 s
BODY = 3_000  # of each command behind it
COMMANDS = 450  # behind it, 1.5 MB
SLICE, BYTES_PER_S = 7_001, 330_000  # a client writes in pieces that do not end where its commands end


def body_of(name):
    return (hashlib.sha256(name.encode()).hexdigest().encode() * (BODY // 64 + 1))[:BODY]


class StoringBrick(Brick):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.wrong = []

    async def answer(self, fields, body, writer):
        name = fields["request-id"]
        if name.startswith("f"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECE * PIECES))
            for number in range(PIECES):
                writer.write(bytes(PIECE))
                await writer.drain()
                if number > 5:
                    await asyncio.sleep(GAP_S)
            return True
        if body != body_of(name):
            self.wrong.append(name)
            at = next((n for n, (a, b) in enumerate(zip(body, body_of(name))) if a != b), min(len(body), BODY))
            self.record(f"{self.name}: the body of {name} is not what was sent, from byte {at}: {bytes(body[at:at + 60])!r}")
        return await super().answer(fields, body, writer)


async def client(record, port, number, sent, statuses, foreign):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    names = ["f" + new_id()[1:]] + ["0" + new_id()[1:] for _ in range(COMMANDS)]
    sent.update(names)
    commands = b"".join(
        request_bytes(name, number, kind="write", timeout_ms=5000, body=body_of(name)) for name in names[1:]
    )
    answers = 0

    async def write():
        writer.write(request_bytes(names[0], number, timeout_ms=3000))
        await asyncio.sleep(0.3)
        for start in range(0, len(commands), SLICE):
            writer.write(commands[start : start + SLICE])
            await writer.drain()
            await asyncio.sleep(SLICE / BYTES_PER_S)

    writing = asyncio.create_task(write())
    status = ""
    try:
        while True:  # answers come in the order of the requests
            first, fields = await read_head(reader)
            body = await read_body(reader, fields)
            name, status = names[answers], first.split(" ")[1]
            answers += 1
            statuses[name] = status
            if status == "200" and name.startswith("0") and name.encode() not in body:
                foreign.append(name)
                record(f"client {number} has 200 for {name}: {body!r}")
            if fields.get("connection", "").lower() == "close":
                break
    except (OSError, asyncio.IncompleteReadError, IndexError) as error:
        record(f"client {number}: {type(error).__name__}")
    writing.cancel()
    await asyncio.gather(writing, return_exceptions=True)
    record(f"client {number}: {answers} answers, the last {status}")
    writer.close()


async def case(world, record):
    bricks = [StoringBrick(record, f"s-{cell}", cell) for cell in range(CLIENTS)]
    await world.add_bricks(bricks)
    settings = site_settings([category("read", 3000), category("write", 5000)], [contract("basic")], CLIENTS)
    config = world.config("n1", settings)
    old = world.head("old", config)
    await old.start()
    await old.ready()
    sent, statuses, foreign_answers = set(), {}, []
    clients = [asyncio.create_task(client(record, old.port, number, sent, statuses, foreign_answers)) for number in range(CLIENTS)]
    await asyncio.sleep(1.2)
    if TROUBLE:
        new_config = dict(config, management=f"127.0.0.1:{free_ports(1)[0]}", seed=new_id())
        new_config["known"] = world.discovery.listing()
        new = world.head("new", new_config)
        await new.start()
        await new.ready(int(new_config["management"].rpartition(":")[2]), "/healthcheck", 6.0)
        old.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(old.process.wait(), 3.7)
        except asyncio.TimeoutError:
            old.signal(signal.SIGKILL)
    await asyncio.wait(clients, timeout=40)
    wrong = [name for brick in bricks for name in brick.wrong]
    foreign = [name for brick in bricks for _, name, _ in brick.runs if name not in sent]
    runs = sum(len(brick.runs) for brick in bricks)
    record(
        f"{runs} requests run, {len(wrong)} with a body that nobody sent"
        f" ({sum(statuses.get(name) == '200' for name in wrong)} of these answered 200), {len(foreign)} that nobody sent;"
        f" {len(foreign_answers)} clients' answers of other requests"
    )
    if not runs:
        raise NotRun("nothing was run")
    return BROKEN if wrong or foreign or foreign_answers else HELD


main(case, os.path.join(HERE, "record.txt"))
