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


def dial(
    reactor: Any, address: tuple[str, int], timeout_s: float, build: Callable[[], Connection]
) -> Deferred[Any]:
    """Connect to an address; the Deferred has the connection, and cancelling it ends the dial."""
    endpoint = TCP4ClientEndpoint(reactor, *address, timeout=timeout_s)
    factory: Any = _Factory(build)
    found: Deferred[Any] = endpoint.connect(factory)
    return found
