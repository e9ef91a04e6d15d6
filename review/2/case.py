"""One process of a head replaces another while clients write one item in an order-keeping class."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import TROUBLE, Brick, CannotRun, Client, Discovery, Head, Record, Run, play, settings

ITEM = 0x7F3A9C21E0B4D655
SERVICE_S = 0.12  # of one write at the brick
WRITERS = 6  # clients that keep their connections
NEWCOMER_EVERY_S = 0.4  # a further client comes, which also keeps its connection
READY_S, YES_S, KILL_S = 20.0, 6.0, 3.7  # the pages' times: a start, a replacement, SIGTERM to SIGKILL
APART_S = 0.05  # two requests are called earlier and later only if their last bytes lie further apart
SLACK_S = 0.02  # and "not answered yet" means by more than this


async def case(record: Record, folder: Path, heads: list[Head]) -> list[str]:
    applied: list[str] = []  # the writes of the item in the order in which they took effect

    def apply(run: Run) -> None:
        applied.append(run.request)

    bricks = [Brick(record, f"s-{cell}", cell, lambda run: SERVICE_S, 2, apply) for cell in range(2)]
    for brick in bricks:
        await brick.start()
    discovery = Discovery(bricks)
    await discovery.start()
    told = settings(2, guarantees={**settings(2)["guarantees"], "key_quiet_us": 400_000})
    told["categories"][1]["keep_order"] = True
    head = Head(record, folder, discovery.address, discovery.full(), told)
    heads.append(head)
    first = head.start("A")
    if not await head.ready(first, READY_S):
        raise CannotRun("the first process is not ready")

    clients: list[Client] = []
    tasks: list[asyncio.Task[None]] = []
    going = True

    async def write_on(client: Client) -> None:
        while going:
            await client.request("write", "basic", 0xA, shard=0, key=ITEM, timeout_ms=5000, body=b"x" * 200)
            await asyncio.sleep(random.uniform(0.0, 0.1))

    def come() -> None:
        client = Client(record, f"c{len(clients)}", head.port)
        clients.append(client)
        tasks.append(asyncio.create_task(write_on(client)))

    for _ in range(WRITERS):
        come()
    await asyncio.sleep(1.5)
    if TROUBLE:
        second = head.start("B")
        if not await head.ready(second, YES_S):
            raise CannotRun("the second process is not ready in time")
        head.signal(first, signal.SIGTERM)
    for _ in range(4):
        come()
        await asyncio.sleep(NEWCOMER_EVERY_S)
    if TROUBLE and not await head.ended(first, KILL_S - 4 * NEWCOMER_EVERY_S):
        head.signal(first, signal.SIGKILL)
    await asyncio.sleep(1.0)
    going = False
    await asyncio.gather(*tasks)

    runs = {run.request: run for brick in bricks for run in brick.runs}
    # Only writes that were served count, so that nothing rests on what became of the others.
    served = [
        sent for client in clients for sent in client.sent
        if sent.status == 200 and sent.answered is not None and sent.request in runs
    ]  # fmt: skip
    turn = {request: number for number, request in enumerate(applied)}
    record.note("judge", f"{len(served)} writes of the item were served, {len(runs)} reached the brick")
    if len(served) < 10:
        raise CannotRun("too few writes were served")
    breaks = []
    for earlier in served:
        for later in served:
            if earlier.written + APART_S >= later.written:
                continue
            reached = runs[later.request].arrived
            assert earlier.answered is not None
            if reached >= earlier.answered - SLACK_S:
                continue
            before = runs[earlier.request]
            done = before.ended or earlier.answered
            out = before.arrived < reached < done - SLACK_S
            lost = turn[later.request] < turn[earlier.request]
            breaks.append(
                f"{later.request} (sent {later.written:.3f}) reached the brick at {reached:.3f}, before"
                f" {earlier.request} (sent {earlier.written:.3f}, answered {earlier.answered:.3f}) was finished"
                + ("; both ran at once" if out else "")
                + ("; the earlier write took effect last and has overwritten the later one" if lost else "")
            )
    return breaks


sys.exit(play(case, Path(__file__).resolve().parent))
