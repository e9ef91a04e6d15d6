"""Listening ports that lose no connection to a shortage of descriptors.

Twisted answers EMFILE at an accept by accepting with a descriptor that it keeps in reserve, and closing what
it accepted: a request that is already on its way is lost.  Here connections wait in the kernel until there is
room again, and a port accepts no more at once than its front has places.
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
ACCEPT_RETRY_US = 20_000  # after a shortage, until the next accept
# A predecessor that was told to end does so, or is killed, the longest deadline and 0.7 s later; a gateway
# has 30 s to be ready.
ADDRESS_TIMEOUT_US = 25_000_000
ADDRESS_RETRY_US = 50_000


class _PatientSocket(socket.socket):
    """A listening socket on which an accept that finds no descriptor looks like one that finds no caller."""

    short = False  # the latest accept met a shortage

    def accept(self) -> tuple[socket.socket, Any]:
        self.short = False
        try:
            return super().accept()
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            self.short = True
            raise BlockingIOError(errno.EAGAIN, "no descriptor is free") from None


class ListeningPort:
    """What a head does with a Twisted port: it accepts in bounded steps, and waits where descriptors are
    short.

    ``room`` is how many more connections may come; ``wanted`` whether the port is to accept at all.  In
    memory, where a port accepts by itself, nothing is short.
    """

    def __init__(self, port: Any, clock: Clock, room: Callable[[], int], wanted: Callable[[], bool]) -> None:
        self._port, self._clock, self._room, self._wanted = port, clock, room, wanted
        self._again: DelayedCall | None = None
        self._socket: _PatientSocket | None = None
        if isinstance(getattr(port, "socket", None), socket.socket):
            self._socket = port.socket = _PatientSocket(fileno=port.socket.detach())
            port.fileno = self._socket.fileno
        self._accept = getattr(port, "doRead", None)
        if self._accept is not None:
            port.doRead = self._accept_some

    def _accept_some(self) -> None:
        """Twisted accepts up to 100 in a burst, whatever its factory does meanwhile."""
        assert self._accept is not None
        self._port.numberAccepts = max(1, self._room())
        self._accept()
        if self.short and self._again is None:
            self._port.stopReading()
            self._again = self._clock.call_later(ACCEPT_RETRY_US, self._resume)

    def _resume(self) -> None:
        self._again = None
        if self._wanted() and self._port.connected:
            self._port.startReading()

    @property
    def short(self) -> bool:
        """Connections may wait in the kernel for which there was no descriptor."""
        return self._socket is not None and self._socket.short

    def accept_pending(self) -> None:
        """Accept what the kernel has accepted for us: closing the port would reset it, and its request."""
        if self._accept is not None:
            self._accept_some()


def retry_while_in_use(clock: Clock, log: Logger, listen: Callable[[], None]) -> Deferred[None]:
    """Call ``listen`` until its address is free: a predecessor on its way out may have it for a while yet.

    The Deferred fails with what ``listen`` raised; with CannotListenError only after ``ADDRESS_TIMEOUT_US``.
    """
    done: Deferred[None] = Deferred()
    last_try_at = clock.now_us() + ADDRESS_TIMEOUT_US
    waits_logged = False

    def attempt() -> None:
        nonlocal waits_logged
        try:
            listen()
        except CannotListenError as error:
            if clock.now_us() >= last_try_at:
                done.errback()
                return
            if not waits_logged:
                waits_logged = True
                log.warning("address_awaited", error=repr(error))
            clock.call_later(ADDRESS_RETRY_US, attempt)
        except Exception:
            done.errback()
        else:
            done.callback(None)

    attempt()
    return done
