"""The process that the simulator starts.

It runs gateways and exchanges the simulator's frames over standard input and output.
"""

from __future__ import annotations

import gc
import sys
from dataclasses import dataclass, field
from typing import BinaryIO

from ..policy.actions import Action
from ..policy.events import Endpoint, Event
from ..policy.gateway import Gateway
from .action_records import write_reply
from .event_records import read_batch
from .protocol import EVENT_SIZE, HEADER, Crash, Started, Stopped, WireError

EXIT_MALFORMED_INPUT = 2


@dataclass(slots=True)
class GatewayBatch:
    """The events of one frame for one gateway, from its start on if it started in this frame."""

    number: int
    gateway: Gateway
    events: list[Event] = field(default_factory=list)


class Adapter:
    """The running gateways of one simulation run, and its endpoint sheets.

    A sheet is a numbered tuple of endpoints; the events that carry an endpoint list refer to it.
    """

    def __init__(self) -> None:
        self._gateways: dict[int, Gateway] = {}
        self._sheets: dict[int, tuple[Endpoint, ...]] = {}
        self._reply: list[tuple[int, Action | Crash]] = []
        self._batches: list[GatewayBatch] = []
        self._open: dict[int, GatewayBatch] = {}  # of the running gateways, by number

    def answer(self, now: int, body: bytes, count: int) -> bytes:
        """Return the reply to one frame; raise ``WireError`` if it is malformed.

        :param now: the time of the frame, in microseconds.
        :param body: the frame without its header.
        :param count: the number of its records.
        """
        self._reply = []
        self._batches = []
        self._open = {}
        for number, event in read_batch(body, count, self._sheets):
            if isinstance(event, Started):
                self._stop(number)
                self._start(now, number, event)
            elif isinstance(event, Stopped):
                self._stop(number)
            else:
                self._add(number, event)
        for batch in self._batches:
            if self._gateways.get(batch.number) is batch.gateway:  # otherwise it stopped later in the frame
                self._handle(now, batch)
        return write_reply(self._reply)

    def _start(self, now: int, number: int, event: Started) -> None:
        try:
            gateway = Gateway(event.settings, event.seed, now)
        except Exception as error:  # any exception of a gateway is reported as its crash
            self._report_crash(number, error)
            return
        self._gateways[number] = gateway
        self._open_batch(number, gateway)

    def _stop(self, number: int) -> None:
        self._open.pop(number, None)
        self._gateways.pop(number, None)

    def _add(self, number: int, event: Event) -> None:
        gateway = self._gateways.get(number)
        if gateway is None:
            raise WireError(f"expected an event for a running gateway, got one for gateway {number}")
        batch = self._open.get(number) or self._open_batch(number, gateway)
        batch.events.append(event)

    def _open_batch(self, number: int, gateway: Gateway) -> GatewayBatch:
        batch = self._open[number] = GatewayBatch(number, gateway)
        self._batches.append(batch)
        return batch

    def _handle(self, now: int, batch: GatewayBatch) -> None:
        try:
            actions = batch.gateway.handle(now, batch.events)
        except Exception as error:  # any exception of a gateway is reported as its crash
            self._report_crash(batch.number, error)
            return
        self._reply += [(batch.number, action) for action in actions]

    def _report_crash(self, number: int, error: Exception) -> None:
        self._reply.append((number, Crash(f"{type(error).__name__}: {error}")))


def _read(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise WireError(f"input ends inside a frame: expected {size} bytes, got {len(data)}")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each frame of ``source`` in ``sink`` until the input ends.

    Raises ``WireError`` on malformed input.
    """
    adapter = Adapter()
    while first := source.read(1):
        count, length, now = HEADER.unpack(first + _read(source, HEADER.size - 1))
        if length < HEADER.size + count * EVENT_SIZE:
            raise WireError(f"frame is too short for its {count} records: got {length} bytes")
        body = _read(source, length - HEADER.size)
        sink.write(adapter.answer(now, body, count))
        sink.flush()


def main() -> int:
    """Serve standard input and output; report malformed input in one line on standard error."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"gaugesail.simulator: malformed input: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
