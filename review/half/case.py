"""Usual clients beside many that stop in the middle of a request's head, while the process is replaced."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import (  # noqa: E402
    BROKEN, HELD, TROUBLE, Brick, NotRun, category, contract, free_ports, main, new_id, read_body, read_head,
    request_bytes, site_settings,
)  # fmt: skip

SOCKETS, MEMORY_MB = 256, 96
BAD, USUAL, DURATION_S, TIMEOUT_S = 300, 12, 25, 0.5
EXTRA_S = 0.5 + 0.05  # "Up to half a second after its time it only earns nothing"; time limits are 50 ms longer


async def bad_client(port, number, stop):
    """Sends a part of a head and stays; comes again once it is turned away."""
    while time.monotonic() < stop:
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request_bytes(new_id(), 0)[: 20 + number % 60])
            await asyncio.wait_for(reader.read(65536), 8)
        except (OSError, asyncio.TimeoutError):
            pass
        if writer is not None:
            writer.transport.abort()
        await asyncio.sleep(0.1)


async def usual_client(record, port, number, stop, found):
    """One request after another, each on a connection of its own."""
    while time.monotonic() < stop:
        await asyncio.sleep(0.1 + 0.01 * number)
        name = new_id()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            continue  # not taken
        writer.write(request_bytes(name, 0, timeout_ms=int(TIMEOUT_S * 1000)))
        sent = time.monotonic()
        try:
            first, fields = await asyncio.wait_for(read_head(reader), TIMEOUT_S + 5)
            await read_body(reader, fields)
            after_s = time.monotonic() - sent
            if after_s > TIMEOUT_S:
                record(f"usual client {number} has {first.split(' ')[1]} after {after_s:.2f} s of {TIMEOUT_S} ({name})")
            found.append(after_s)
        except asyncio.TimeoutError:
            record(f"usual client {number} has no answer in {time.monotonic() - sent:.2f} s ({name})")
            found.append(99.0)
        except (OSError, asyncio.IncompleteReadError):
            pass  # the page allows that new connections are shut unread: not judged
        writer.close()


async def stall(found):
    while True:
        began = time.monotonic()
        await asyncio.sleep(0.01)
        found.append(time.monotonic() - began - 0.01)


async def case(world, record):
    await world.add_bricks([Brick(record, "s-0", 0)])
    settings = site_settings([category("read", 2000)], [contract("basic", 5000.0)], 1)
    config = world.config("n1", settings, sockets=SOCKETS, memory_mb=MEMORY_MB)
    old = world.head("n1-old", config)
    await old.start()
    await old.ready()
    stop = time.monotonic() + DURATION_S
    found, stalls = [], []
    watch = asyncio.create_task(stall(stalls))
    clients = [asyncio.create_task(usual_client(record, old.port, n, stop, found)) for n in range(USUAL)]
    if TROUBLE:
        clients += [asyncio.create_task(bad_client(old.port, n, stop)) for n in range(BAD)]
        await asyncio.sleep(4)
        management = free_ports(1)[0]
        new = world.head("n1-new", dict(config, management=f"127.0.0.1:{management}", seed=new_id()))
        new.tmp = old.tmp
        await new.start()
        await new.ready(management, "/healthcheck", 6.0)
        old.signal(signal.SIGTERM)
        await asyncio.sleep(3.7)
        if old.process.returncode is None:
            old.signal(signal.SIGKILL)
    await asyncio.gather(*clients)
    watch.cancel()
    if max(stalls) > 0.25:
        raise NotRun(f"the stand-ins stalled for {max(stalls):.2f} s")
    late = [after_s for after_s in found if after_s > TIMEOUT_S + EXTRA_S]
    record(f"{len(found)} requests answered or awaited in vain, {len(late)} of them lost; the latest after {max(found):.2f} s")
    return BROKEN if late else HELD


main(case, os.path.join(HERE, "record.txt"))
