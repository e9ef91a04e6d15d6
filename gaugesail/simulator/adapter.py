"""Runs the decision module on the simulator's wire: one gateway each, over standard input and output."""

from __future__ import annotations

import gc
import sys
from typing import BinaryIO

from gaugesail.policy.actions import Action
from gaugesail.policy.events import Endpoint, Event

from ..policy.gateway import Gateway
from . import protocol as wire


def _read(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise wire.WireError(f"the input ends inside a frame ({len(data)} of {size} bytes)")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch until the input ends; a gateway's exception ends the day as CRASH."""
    gateways: dict[int, Gateway] = {}
    sheets: dict[int, tuple[Endpoint, ...]] = {}
    while first := source.read(1):
        count, length, now = wire.HEADER.unpack(first + _read(source, wire.HEADER.size - 1))
        if length < wire.HEADER.size + count * wire.EVENT_SIZE:
            raise wire.WireError(f"a frame of {length} bytes cannot hold {count} records")
        body = _read(source, length - wire.HEADER.size)
        reply: list[tuple[int, Action | str]] = []
        pending: dict[int, list[Event]] = {}
        lives: list[tuple[int, Gateway | None, list[Event]]] = []
        for number, event in wire.read_batch(body, count, sheets):
            if isinstance(event, (wire.Started, wire.Stopped)):
                pending.pop(number, None)
                gateways.pop(number, None)
                if isinstance(event, wire.Started):
                    try:
                        gateways[number] = Gateway(event.settings, event.seed, now)
                    except Exception as error:  # the adapter reports whatever the module raises
                        reply.append((number, f"{type(error).__name__}: {error}"))
                        continue
                    lives.append((number, gateways[number], pending.setdefault(number, [])))
            elif number not in gateways:
                raise wire.WireError(f"an event for gateway {number}, which was never started")
            else:
                if number not in pending:
                    lives.append((number, gateways[number], pending.setdefault(number, [])))
                pending[number].append(event)
        for number, gateway, events in lives:
            if gateway is None or gateways.get(number) is not gateway:
                continue  # killed later in the same batch
            try:
                reply += [(number, action) for action in gateway.handle(now, events)]
            except Exception as error:  # the adapter reports whatever the module raises
                reply.append((number, f"{type(error).__name__}: {error}"))
        sink.write(wire.write_reply(reply))
        sink.flush()


def main() -> int:
    """Serve standard input; say in one line what is wrong with it."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"gaugesail.simulator: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
