"""What the wires share of Twisted: a connection with a plain link, and a way to dial."""

from __future__ import annotations

import os
import resource
import select
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from .core.ports import Clock

LOOK_US = 40_000  # a look at the sockets that is older is taken again, at the one that matters
WAITED_LEAST_MS = 20  # shorter waits unread are of no account
WAITED_MOST_MS = 60_000  # beyond that no client waits, and the figure is taken for none
_TCP_INFO = struct.Struct("=52xI")  # struct tcp_info up to tcpi_last_data_recv, milliseconds
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Connection(Protocol):
    """A protocol whose transport is read as ``link``: Twisted's zope interfaces say nothing to mypy."""

    lost = False
    last_received_us = 0  # when the latest bytes came, where that is kept

    @property
    def link(self) -> Any:
        """The transport, untyped: Twisted's interfaces are not known to mypy."""
        return self.transport

    def stale(self, clock: Clock) -> bool:
        """What it has sent may lie unread: something came in the latest look itself, so that more may be
        behind, or that look was long ago, as the loop is busy with others."""
        polled = clock.polled_us
        return self.last_received_us >= polled or clock.now_us() - polled > LOOK_US

    def gone(self, behind: bool) -> bool:
        """The other side has gone.  Reading tells so; where its end may lie behind what is not read, the
        socket is asked."""
        if not self.lost and behind and hung_up(self.link):
            self.link.abortConnection()
            return True
        return self.lost


class _Factory(Factory):
    noisy = False

    def __init__(self, build: Callable[[], Connection]) -> None:
        self._build = build

    def buildProtocol(self, addr: Any) -> Connection:
        return self._build()


def descriptors(configured: int) -> int:
    """How many descriptors this process may have: as configured, but no more than the system gives."""
    system, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if system == resource.RLIM_INFINITY else min(configured, system)


def hung_up(link: Any) -> bool:
    """Whether the other side has ended its sending, or the connection, though we may not have read so far.

    Reading tells that only behind all that was sent before, and not at all while it is paused.
    """
    return bool(_polled(link) & ENDED)


def unread(link: Any) -> bool:
    """Whether anything has come that was not read yet: bytes, or the connection's end."""
    return bool(_polled(link) & (ENDED | select.POLLIN))


def waited_us(link: Any, clock: Clock) -> int:
    """For how long the latest bytes that have come lay unread in our kernel, in microseconds, as the kernel
    counts it (tcp(7), ``TCP_INFO``); 0 where it does not say, or where that is of no account.

    A connection may wait to be accepted, and this process may have stood still.
    """
    connection = getattr(link, "socket", None)
    if not clock.matches_kernel_clock or not isinstance(connection, socket.socket):
        return 0  # in memory
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except OSError:
        return 0
    waited_ms: int = _TCP_INFO.unpack(info)[0] if len(info) == _TCP_INFO.size else 0
    return waited_ms * 1000 if WAITED_LEAST_MS <= waited_ms <= WAITED_MOST_MS else 0


def _polled(link: Any) -> int:
    connection = getattr(link, "socket", None)
    if not isinstance(connection, socket.socket) or connection.fileno() < 0:
        return 0  # in memory, or closed already
    look = select.poll()
    look.register(connection.fileno(), select.POLLIN | select.POLLRDHUP)
    return next((found for _, found in look.poll(0)), 0)


def send_now(link: Any, data: bytes) -> bool:
    """Write, and send at once as much as the system takes; whether that is all.

    Twisted sends at the end of a turn, which may last: what was looked at before the first byte, that its
    client is there, say, would be old by then.  Where something has come unread, the other side's end, say,
    that is read first, as Twisted would.
    """
    connection = getattr(link, "socket", None)
    plain = isinstance(connection, socket.socket) and not (link.dataBuffer or link._tempDataLen)
    if connection is not None and plain and not unread(link):
        with suppress(OSError):  # full, or broken: what is left is written the usual way, which tells
            data = data[connection.send(data) :]
    if data:
        link.write(data)
    return not data


def abort(link: Any) -> None:
    """End a connection in this call: Twisted closes it a turn later, and what is written before that, to
    another node, say, would be beside what this one carries."""
    with suppress(AttributeError, OSError):  # in memory, or it has ended already
        link.socket.shutdown(socket.SHUT_WR)
    link.abortConnection()


class Emptied:
    """A pull producer that calls once, when all that was written has left the transport's buffer."""

    def __init__(self, link: Any, call: Callable[[], None]) -> None:
        self._link, self._call, self._first = link, call, True
        link.registerProducer(self, False)
        link.startWriting()

    def resumeProducing(self) -> None:
        """Twisted: all that was written has left; the first call is the one that registering makes."""
        if self._first:
            self._first = False  # the call that registering makes
            return
        self._link.unregisterProducer()
        self._call()

    def pauseProducing(self) -> None:
        """Twisted: nothing to pause."""
        pass

    def stopProducing(self) -> None:
        """Twisted: the connection has ended; nobody is called."""
        pass


def detach(link: Any) -> int:
    """Take a connection's descriptor away from Twisted.  The connection goes on elsewhere: Twisted's own ways
    to end its part would shut it down, or set it to be reset, for every process that holds it."""
    link.stopReading()
    link.stopWriting()
    descriptor: int = link.socket.detach()
    return descriptor


def reset(descriptor: int) -> None:
    """End a connection that nobody serves so that its other side sees that something is missing."""
    with socket.socket(fileno=descriptor) as broken:
        broken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def attach(reactor: Any, descriptor: int, connection: Connection) -> None:
    """Serve a connection whose descriptor was handed over; OSError if its other side has gone."""
    try:
        reactor.adoptStreamConnection(descriptor, socket.AF_INET, _Factory(lambda: connection))
    finally:
        os.close(descriptor)  # the transport has its own


def dial(
    reactor: Any, address: tuple[str, int], timeout_s: float, build: Callable[[], Connection]
) -> Deferred[Any]:
    """Connect to an address; the Deferred has the connection, and cancelling it ends the dial."""
    endpoint = TCP4ClientEndpoint(reactor, *address, timeout=timeout_s)
    factory: Any = _Factory(build)
    found: Deferred[Any] = endpoint.connect(factory)
    return found
