"""What the wires share of Twisted: a connection with a plain link, and a way to dial."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol


class Connection(Protocol):
    """A protocol whose transport is read as ``link``: Twisted's zope interfaces say nothing to mypy."""

    @property
    def link(self) -> Any:
        return self.transport


class _Factory(Factory):
    noisy = False

    def __init__(self, build: Callable[[], Connection]) -> None:
        self._build = build

    def buildProtocol(self, addr: Any) -> Connection:
        return self._build()


def bound_accepts(port: Any, room: Callable[[], int]) -> None:
    """Let a listening port accept no more at once than there is room for.

    Twisted accepts up to 100 in a burst, whatever its factory does meanwhile; past the limit on
    descriptors it closes what it accepts, and a request that is already on its way is lost.
    """
    if hasattr(port, "numberAccepts"):
        accept = port.doRead

        def accept_few() -> None:
            port.numberAccepts = max(1, room())
            accept()

        port.doRead = accept_few


def accept_pending(port: Any) -> None:
    """Accept what the kernel has accepted for us: closing the port would reset it, and its request."""
    if hasattr(port, "doRead"):
        port.doRead()


def dial(
    reactor: Any, address: tuple[str, int], timeout_s: float, build: Callable[[], Connection]
) -> Deferred[Any]:
    """Connect to an address; the Deferred has the connection, and cancelling it ends the dial."""
    endpoint = TCP4ClientEndpoint(reactor, *address, timeout=timeout_s)
    factory: Any = _Factory(build)
    found: Deferred[Any] = endpoint.connect(factory)
    return found
