"""A dial reports each failure through its Deferred, also one that the reactor raises at once."""

from __future__ import annotations

from typing import Any

from twisted.internet.error import ConnectingCancelledError
from twisted.internet.testing import MemoryReactor

from gaugesail.net import Connection, dial

ADDRESS = ("127.0.0.1", 9)


class RaisingReactor:
    """A reactor that cannot make a socket."""

    def connectTCP(self, *args: Any, **named: Any) -> None:
        raise OverflowError("getsockaddrarg: port must be 0-65535.")


def memory_reactor() -> Any:
    made: Any = MemoryReactor
    return made()


def test_a_dial_that_raises_fails_its_deferred() -> None:
    failures: list[Any] = []
    dial(RaisingReactor(), ADDRESS, 1.0, Connection).addErrback(failures.append)
    assert [failure.type for failure in failures] == [OverflowError]


def test_a_connection_that_cannot_be_built_fails_the_dial() -> None:
    reactor = memory_reactor()
    failures: list[Any] = []
    dial(reactor, ADDRESS, 1.0, lambda: 1 / 0).addErrback(failures.append)  # type: ignore[arg-type,return-value]
    factory = reactor.tcpClients[0][2]
    assert factory.buildProtocol(None) is None
    assert [failure.type for failure in failures] == [ZeroDivisionError]


def test_a_dial_that_is_cancelled_stops_connecting_and_fails() -> None:
    reactor = memory_reactor()
    failures: list[Any] = []
    dialled = dial(reactor, ADDRESS, 1.0, Connection)
    dialled.addErrback(failures.append)
    dialled.cancel()
    assert [failure.type for failure in failures] == [ConnectingCancelledError]
    assert reactor.connectors[0].stoppedConnecting
