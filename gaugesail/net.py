"""Helpers on top of Twisted that all wire protocols share: connections, socket state and dialling."""

from __future__ import annotations

import fcntl
import os
import resource
import select
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.python.failure import Failure

from .core.ports import Clock

MAX_POLL_AGE_US = 40_000  # if the latest reactor iteration is older, the socket in question is polled itself
MIN_KERNEL_WAIT_MS = 20  # shorter waits are negligible
MAX_KERNEL_WAIT_MS = 60_000  # no client waits longer: a larger value is ignored
_INTEGER = struct.Struct("i")
_TCP_INFO = struct.Struct("=52xI")  # struct tcp_info up to tcpi_last_data_recv, milliseconds
POLL_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Connection(Protocol):
    """A protocol whose transport is available, untyped, as ``link``."""

    lost = False
    last_received_us = 0  # when the latest bytes arrived, in subclasses that record it
    dialled: Deferred[Any] | None = None  # of ``dial``, until the connection is made

    def makeConnection(self, transport: Any) -> None:
        """Twisted: the connection is made."""
        protocol: Any = super()
        protocol.makeConnection(transport)
        dialled, self.dialled = self.dialled, None
        if dialled is not None:
            dialled.callback(self)

    @property
    def link(self) -> Any:
        """The transport, untyped, as mypy does not understand Twisted's zope interfaces."""
        return self.transport

    def may_have_unread(self, clock: Clock) -> bool:
        """Whether data from the peer may be unread.

        That is so if bytes arrived in the latest reactor iteration, so that more may follow them, or if it
        polled the sockets over MAX_POLL_AGE_US ago, as the reactor is busy with other connections.
        """
        polled = clock.polled_us
        return self.last_received_us >= polled or clock.now_us() - polled > MAX_POLL_AGE_US

    def peer_closed(self, may_have_unread: bool) -> bool:
        """Return whether the peer has closed the connection; if polling shows that, abort it.

        Reading detects a close.  If data may be unread, the close may be behind it, so the socket is polled.
        """
        if not self.lost and may_have_unread and hung_up(self.link):
            self.link.abortConnection()
            return True
        return self.lost


class _Factory(Factory):
    noisy = False

    def __init__(self, build: Callable[[], Connection]) -> None:
        self._build = build

    def buildProtocol(self, addr: Any) -> Connection:
        return self._build()


class _DialFactory(ClientFactory):
    """The factory of one dial; unlike an endpoint's, it puts nothing between transport and connection."""

    noisy = False
    connector: Any = None

    def __init__(self, build: Callable[[], Connection]) -> None:
        self._build = build
        self.dialled: Deferred[Any] = Deferred(self._cancel)

    def _cancel(self, dialled: Deferred[Any]) -> None:
        cancelled: Any = ConnectingCancelledError
        dialled.errback(cancelled(self.connector.getDestination()))
        self.connector.stopConnecting()

    def buildProtocol(self, addr: Any) -> Connection | None:
        try:
            connection = self._build()
        except Exception:
            self.dialled.errback()
            return None
        connection.dialled = self.dialled
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connector = None
        if not self.dialled.called:
            self.dialled.errback(reason)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        self.connector = connector.transport = None  # each references the other


def available_descriptors(configured: int) -> int:
    """The number of descriptors of this process: as configured, but at most the system's limit."""
    system, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if system == resource.RLIM_INFINITY else min(configured, system)


def hung_up(link: Any) -> bool:
    """Whether the peer has shut down sending, or closed the connection, even if that has not been read yet.

    Reading detects that only after all earlier data, and not at all while it is paused.
    """
    return bool(_poll_events(link) & POLL_ENDED)


def unread(link: Any) -> bool:
    """Whether the socket has unread input: bytes, or the end of the connection."""
    return bool(_poll_events(link) & (POLL_ENDED | select.POLLIN))


def unread_bytes(link: Any) -> int | None:
    """The received bytes that were not read; None if that is not known (tcp(7), ``SIOCINQ``)."""
    return _queued_bytes(link, termios.FIONREAD)


def unacknowledged_kernel_bytes(link: Any) -> int | None:
    """The bytes in the kernel that the peer has not acknowledged; None if not known (``SIOCOUTQ``)."""
    return _queued_bytes(link, termios.TIOCOUTQ)


def _queued_bytes(link: Any, request: int) -> int | None:
    connection = kernel_socket(link)
    if connection is None:
        return None
    try:
        answer = fcntl.ioctl(connection, request, bytes(_INTEGER.size))
    except OSError:
        return None
    return int(_INTEGER.unpack(answer)[0])


def read_now(link: Any) -> None:
    """Read what a connection has received, unless it has ended: that is left to the reactor."""
    if _poll_events(link) == select.POLLIN:
        link.doRead()


def kernel_wait_us(link: Any, clock: Clock) -> int:
    """How long the latest received bytes have been unread in the kernel, in microseconds.

    The kernel measures it (tcp(7), ``TCP_INFO``); 0 if it is not available, negligible or implausible.  Bytes
    wait while a connection is not accepted yet, or while this process is suspended.
    """
    if not clock.matches_kernel_clock:
        return 0
    waited_ms = received_ago_ms(link)
    return waited_ms * 1000 if MIN_KERNEL_WAIT_MS <= waited_ms <= MAX_KERNEL_WAIT_MS else 0


def kernel_socket(link: Any) -> socket.socket | None:
    """Return the open socket of a transport; None in the rehearsal's reactor in memory, or once closed."""
    connection = getattr(link, "socket", None)
    is_open = isinstance(connection, socket.socket) and connection.fileno() >= 0
    return connection if is_open else None


def received_ago_ms(link: Any) -> int:
    """How long ago the kernel received the latest bytes of a connection, in milliseconds; 0 if not known."""
    connection = kernel_socket(link)
    if connection is None:
        return 0
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except OSError:
        return 0
    return int(_TCP_INFO.unpack(info)[0]) if len(info) == _TCP_INFO.size else 0


def _poll_events(link: Any) -> int:
    connection = kernel_socket(link)
    if connection is None:
        return 0
    poller = select.poll()
    poller.register(connection.fileno(), select.POLLIN | select.POLLRDHUP)
    return next((events for _, events in poller.poll(0)), 0)


def send_now(link: Any, data: bytes) -> bool:
    """Write data, sending as much as the system accepts in this call; returns whether that is all of it.

    Twisted sends at the end of the reactor iteration, which may take long, so that checks made before the
    first byte, for example that the client is still connected, would be outdated.  If the socket has unread
    input, for example the peer's close, the data is left to Twisted, which reads first.
    """
    connection = kernel_socket(link)
    if connection is not None and not unsent_bytes(link) and not unread(link):
        with suppress(OSError):  # full or broken: the rest is written by Twisted, which reports the error
            data = data[connection.send(data) :]
    if data:
        link.write(data)
    return not data


def abort(link: Any) -> None:
    """Abort a connection within this call.

    Twisted closes it one reactor iteration later; an attempt written meanwhile, for example to another node,
    would run in parallel with the one on this connection.
    """
    with suppress(AttributeError, OSError):  # no real socket, or already closed
        link.socket.shutdown(socket.SHUT_WR)
    link.abortConnection()


def unsent_bytes(link: Any) -> int:
    """How many bytes were written to a transport with a socket, but have not been taken by the kernel."""
    return len(link.dataBuffer) - int(link.offset) + int(link._tempDataLen)


def unsent_output(link: Any) -> bytes:
    """Return these bytes; nothing of a transport without a socket, whose output counts as sent."""
    if kernel_socket(link) is None:
        return b""
    return bytes(link.dataBuffer[link.offset :]) + b"".join(link._tempDataBuffer)


class DrainNotifier:
    """A pull producer that makes one call when all written data has left the transport's buffer."""

    def __init__(self, link: Any, call: Callable[[], None]) -> None:
        self._link, self._call, self._first = link, call, True
        link.registerProducer(self, False)
        link.startWriting()

    def resumeProducing(self) -> None:
        """Twisted: the buffer is empty; the first call comes from registering and is ignored."""
        if self._first:
            self._first = False
            return
        self._link.unregisterProducer()
        self._call()

    def pauseProducing(self) -> None:
        """Twisted: a pull producer has nothing to pause."""
        pass

    def stopProducing(self) -> None:
        """Twisted: the connection has ended; no call is made."""
        pass


def detach(link: Any) -> int:
    """Detach a connection's descriptor from Twisted and return it, so that another process can continue it.

    Closing it through Twisted would shut the connection down, or reset it, for every process that holds it.
    """
    link.stopReading()
    link.stopWriting()
    descriptor: int = link.socket.detach()
    return descriptor


def reset(descriptor: int) -> None:
    """Reset a connection, so that its peer does not mistake its end for a regular close."""
    with socket.socket(fileno=descriptor) as broken:
        _linger(broken, True)


def reset_on_close(link: Any, on: bool) -> None:
    """Let the kernel reset a connection when its descriptor is closed, or close it in order again."""
    connection = kernel_socket(link)
    if connection is not None:
        _linger(connection, on)


def _linger(connection: socket.socket, resets: bool) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", resets, 0))


def attach(reactor: Any, descriptor: int, connection: Connection) -> None:
    """Serve a connection whose descriptor was handed over; raises OSError if its peer has closed it."""
    try:
        reactor.adoptStreamConnection(descriptor, socket.AF_INET, _Factory(lambda: connection))
    finally:
        os.close(descriptor)  # the transport has duplicated it


def dial(
    reactor: Any, address: tuple[str, int], timeout_s: float, build: Callable[[], Connection]
) -> Deferred[Any]:
    """Connect to an address within ``timeout_s``; the Deferred's result is the connection made by ``build``.

    Cancelling the Deferred aborts the dial.
    """
    factory: Any = _DialFactory(build)
    dialled: Deferred[Any] = factory.dialled
    try:
        factory.connector = reactor.connectTCP(*address, factory, timeout=timeout_s)
    except Exception:  # reported as any other failure of the dial
        dialled.errback()
    return dialled
