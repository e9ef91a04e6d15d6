"""Listening ports that lose no connection to a shortage of descriptors.

On EMFILE, Twisted accepts the connection with a reserved descriptor and closes it, so that a request already
sent on it is lost.  Here connections wait in the kernel until descriptors are free again, and a port accepts
no more connections at once than there are free places.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from .core.ports import Clock, DelayedCall, Logger

SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
MAX_ACCEPTS = 64  # connections in one iteration of the reactor
LISTEN_BACKLOG = 512  # connections that the kernel queues
MAX_FULL_STEPS = LISTEN_BACKLOG // MAX_ACCEPTS  # later ones accept connections that were not queued before
ACCEPT_RETRY_US = 20_000  # delay of the next accept after a shortage
# After SIGTERM a predecessor ends, or is killed, within the longest deadline plus 0.7 s; a gateway must be
# ready within 30 s.
ADDRESS_TIMEOUT_US = 25_000_000
ADDRESS_RETRY_US = 50_000


class _ShortageAwareSocket(socket.socket):
    """A listening socket whose accept reports a shortage of descriptors as EAGAIN."""

    shortage = False  # whether the latest accept failed for one
    accepted = 0  # connections, ever

    def accept(self) -> tuple[socket.socket, Any]:
        self.shortage = False
        try:
            connection = super().accept()
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            self.shortage = True
            raise BlockingIOError(errno.EAGAIN, "no descriptor is free") from None
        self.accepted += 1
        return connection


class ListeningPort:
    """Makes a Twisted port accept in bounded steps, and pause when descriptors run out.

    ``free_places`` returns how many more connections may be accepted, ``accepting`` whether the port is to
    accept at all.  ``on_queued`` is called after a step that has left connections queued, but not for longer
    than the first of them need.  A port in memory accepts by itself and has no shortage.
    """

    def __init__(
        self,
        port: Any,
        clock: Clock,
        free_places: Callable[[], int],
        accepting: Callable[[], bool],
        on_queued: Callable[[], None] = lambda: None,
    ) -> None:
        self._port, self._clock, self._free_places, self._accepting = port, clock, free_places, accepting
        self._on_queued = on_queued
        self._full_steps = 0  # in a row
        self._resume_call: DelayedCall | None = None
        self._socket: _ShortageAwareSocket | None = None
        if isinstance(getattr(port, "socket", None), socket.socket):
            self._socket = port.socket = _ShortageAwareSocket(fileno=port.socket.detach())
            port.fileno = self._socket.fileno
        self._accept = getattr(port, "doRead", None)
        if self._accept is not None:
            port.doRead = self._accept_some

    def _accept_some(self) -> None:
        """Accept as many connections as there are free places, but leave time for those that are open."""
        accepted_before = self._accepted
        self._accept_at_most(min(MAX_ACCEPTS, self._free_places()))
        is_full = self._accepted - accepted_before >= MAX_ACCEPTS
        self._full_steps = self._full_steps + 1 if is_full else 0
        if 0 < self._full_steps <= MAX_FULL_STEPS:
            self._on_queued()

    def _accept_at_most(self, count: int) -> None:
        assert self._accept is not None
        self._port.numberAccepts = max(1, count)
        self._accept()
        if self.shortage and self._resume_call is None:
            self._port.stopReading()
            self._resume_call = self._clock.call_later(ACCEPT_RETRY_US, self._resume)

    def _resume(self) -> None:
        self._resume_call = None
        if self._accepting() and self._port.connected:
            self._port.startReading()

    @property
    def _accepted(self) -> int:
        return self._socket.accepted if self._socket is not None else 0

    @property
    def shortage(self) -> bool:
        """Whether connections may be queued in the kernel for want of a descriptor."""
        return self._socket is not None and self._socket.shortage

    def accept_pending(self) -> None:
        """Accept the connections queued in the kernel, which closing the port would reset."""
        if self._accept is not None:
            self._accept_at_most(self._free_places())


def retry_while_in_use(clock: Clock, log: Logger, listen: Callable[[], None]) -> Deferred[None]:
    """Call ``listen`` until its address is free, as a predecessor that is ending may still use it.

    The Deferred fails with the exception of ``listen``; CannotListenError is retried for
    ``ADDRESS_TIMEOUT_US``.
    """
    done: Deferred[None] = Deferred()
    last_attempt_us = clock.now_us() + ADDRESS_TIMEOUT_US
    wait_logged = False

    def attempt() -> None:
        nonlocal wait_logged
        try:
            listen()
        except CannotListenError as error:
            if clock.now_us() >= last_attempt_us:
                done.errback()
                return
            if not wait_logged:
                wait_logged = True
                log.warning("address_awaited", error=repr(error))
            clock.call_later(ADDRESS_RETRY_US, attempt)
        except Exception:
            done.errback()
        else:
            done.callback(None)

    attempt()
    return done
