"""A reactor in memory: TCP between parties of one process, in time that only a rehearsal moves.

It lets a scenario play the same way every time.  It keeps to what Twisted's own transports promise: bytes
in order, callbacks never from inside ``write``, producers paused and resumed, one connectionLost.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.internet.address import IPv4Address
from twisted.python import failure

from .timeline import Timeline

Failure: Any = failure.Failure  # these have no annotations
CannotListenError: Any = error.CannotListenError
ConnectionAborted: Any = error.ConnectionAborted
ConnectionDone: Any = error.ConnectionDone
ConnectionLost: Any = error.ConnectionLost
ConnectionRefusedError: Any = error.ConnectionRefusedError
TimeoutError: Any = error.TimeoutError


class MemoryTransport:
    """One end of a connection."""

    bufferSize = 64 * 1024  # noqa: N815  Twisted's: what it may hold unsent before its producer is paused

    def __init__(self, reactor: MemoryReactor, protocol: Any, host: Any, peer: Any) -> None:
        self._reactor, self._protocol = reactor, protocol
        self._addresses = host, peer
        self.other: MemoryTransport | None = None
        self._out = bytearray()
        self.delivered = 0  # bytes that the other side has read
        self._producer: Any = None
        self._streaming = self._producer_paused = self._reading_paused = False
        self._scheduled = self._closing = False
        self._descriptors: list[int] = []  # on their way to the other side
        self.disconnected = False
        self.process: ProcessReactor | None = None  # that holds it

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def getHost(self) -> Any:
        return self._addresses[0]

    def getPeer(self) -> Any:
        return self._addresses[1]

    def write(self, data: bytes) -> None:
        if self.disconnected or (self._closing and self._producer is None):
            return
        self._out += data
        full = len(self._out) > self.bufferSize
        if full and self._producer and self._streaming and not self._producer_paused:
            self._producer_paused = True
            self._producer.pauseProducing()
        self._soon()

    def sendFileDescriptor(self, descriptor: int) -> None:
        self._descriptors.append(self._reactor.descriptor(self._reactor.descriptors[descriptor]))

    def startWriting(self) -> None:
        self._soon()

    def stopWriting(self) -> None:
        pass

    def stopReading(self) -> None:
        self._reading_paused = True

    @property
    def socket(self) -> MemoryTransport:
        return self

    def detach(self) -> int:
        """What stands for this end of the connection from now on; whoever adopts it is its protocol."""
        self._protocol = self._producer = None
        return self._reactor.descriptor(self)

    def _soon(self) -> None:
        if not self._scheduled and not self.disconnected:
            self._scheduled = True
            self._reactor.callLater(0, self._push)

    def _push(self) -> None:
        self._scheduled = False
        if self.disconnected or self.other is None or self.other._reading_paused or not self.other._protocol:
            return
        if self._out:
            data = bytes(self._out[: self.other.bufferSize])  # as much as it reads at once
            del self._out[: self.other.bufferSize]
            if not self.other.disconnected:
                self.delivered += len(data)
                descriptors, self._descriptors = self._descriptors, []
                for descriptor in descriptors:
                    self.other._protocol.fileDescriptorReceived(descriptor)
                self.other._protocol.dataReceived(data)
        if self._out:
            self._soon()
            return
        if self._producer is not None and not self.disconnected:
            if not self._streaming or self._producer_paused:
                self._producer_paused = False
                self._producer.resumeProducing()
        elif self._closing and not self._out:
            self._end(ConnectionDone(), ConnectionDone())

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        if self._producer is not None:
            raise RuntimeError("a producer is registered already")
        if self.disconnected:
            producer.stopProducing()
            return
        self._producer, self._streaming = producer, streaming
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self._producer = None
        if self._closing:
            self._soon()

    def pauseProducing(self) -> None:
        self._reading_paused = True

    def resumeProducing(self) -> None:
        self._reading_paused = False
        if self.other is not None:
            self.other._soon()

    def loseConnection(self) -> None:
        self._closing = True
        self._soon()

    def loseWriteConnection(self) -> None:
        """The other side reads the end; as no protocol here takes half a close, it closes in turn."""
        self.loseConnection()

    def abortConnection(self) -> None:
        if not self.disconnected:
            self._reactor.callLater(0, self._end, ConnectionAborted(), ConnectionLost())

    def _end(self, mine: Exception, theirs: Exception) -> None:
        if self.disconnected:
            return
        other = self.other
        self._lost(mine)
        if other is not None:
            self._reactor.callLater(0, other._lost, theirs)

    def _lost(self, why: Exception) -> None:
        if self.disconnected:
            return
        self.disconnected = True
        if self._protocol is None:
            return  # on its way from one process to another
        producer, self._producer = self._producer, None
        if producer is not None:
            producer.stopProducing()
        self._protocol.connectionLost(Failure(why))


class _Port:
    """A listening socket; several ports may share one, as processes do that hand it over."""

    def __init__(self, reactor: MemoryReactor, address: Any, factory: Any) -> None:
        self._reactor, self._address, self.factory = reactor, address, factory
        self.held = False  # connections wait to be accepted
        self.process: ProcessReactor | None = None
        reactor.ports.setdefault(address, []).append(self)

    def getHost(self) -> Any:
        return self._address

    def fileno(self) -> int:
        """A descriptor of its own for each call, that stands for the socket."""
        return self._reactor.descriptor(self._address)

    def stopReading(self) -> None:
        self.held = True

    def startReading(self) -> None:
        self.held = False

    def stopListening(self) -> None:
        ports = self._reactor.ports.get(self._address, [])
        if self in ports:
            ports.remove(self)
        if not ports:
            self._reactor.ports.pop(self._address, None)


class _Connector:
    def __init__(self) -> None:
        self.failed: Callable[[Exception], None] = lambda error: None

    def stopConnecting(self) -> None:
        self.failed(ConnectionAborted())


class MemoryReactor(Timeline):
    """callLater, listenTCP and connectTCP, all in memory.  ``silent`` addresses never answer a connect."""

    def __init__(self) -> None:
        super().__init__()
        self.ports: dict[Any, list[_Port]] = {}  # by address; a Unix socket's is its path
        self.descriptors: dict[int, Any] = {}  # real ones, that stand for the socket at an address
        self.silent: set[tuple[str, int]] = set()
        self._next_port = 20_000

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> _Port:
        if not port:
            self._next_port += 1
            port = self._next_port
        address = IPv4Address("TCP", interface, port)
        if address in self.ports:
            raise CannotListenError(interface, port, OSError("address in use"))
        return _Port(self, address, factory)

    def listenUNIX(self, address: str, factory: Any, backlog: int = 50, mode: int = 0o666) -> _Port:
        return _Port(self, os.path.realpath(address), factory)

    def descriptor(self, address: Any) -> int:
        made = os.open(os.devnull, os.O_RDONLY)
        self.descriptors[made] = address
        return made

    def adoptStreamPort(self, descriptor: int, family: int, factory: Any) -> _Port:
        return _Port(self, self.descriptors[descriptor], factory)

    def adoptStreamConnection(self, descriptor: int, family: int, factory: Any) -> None:
        end: MemoryTransport = self.descriptors[descriptor]
        if end.disconnected:
            raise OSError("not connected")
        end._protocol = factory.buildProtocol(end.getPeer())
        end._protocol.makeConnection(end)
        end.resumeProducing()

    def connectUNIX(
        self,
        address: str,
        factory: Any,
        timeout: float = 30,
        checkPID: int = 0,  # noqa: N803
    ) -> _Connector:
        return self.connect(os.path.realpath(address), factory, timeout)

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> _Connector:
        return self.connect(IPv4Address("TCP", host, port), factory, timeout)

    def connect(
        self, there: Any, factory: Any, timeout: float, process: ProcessReactor | None = None
    ) -> _Connector:
        connector = _Connector()
        silent = isinstance(there, IPv4Address) and (there.host, there.port) in self.silent
        factory.doStart()

        def failed(error: Exception) -> None:
            if call.active():
                call.cancel()
            connector.failed = lambda error: None
            factory.clientConnectionFailed(connector, Failure(error))

        def up() -> None:
            connector.failed = lambda error: None
            if silent:
                factory.clientConnectionFailed(connector, Failure(TimeoutError()))
                return
            ports = self.ports.get(there, [])
            listener = next((port for port in ports if not port.held), None)
            if ports and listener is None:
                self.callLater(0.01, up)
                return
            server = listener.factory.buildProtocol(there) if listener is not None else None
            if listener is None or server is None:
                factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))
                return
            self._next_port += 1
            here = IPv4Address("TCP", "127.0.0.1", self._next_port)
            client = factory.buildProtocol(there)
            ends = MemoryTransport(self, client, here, there), MemoryTransport(self, server, there, here)
            ends[0].other, ends[1].other = ends[1], ends[0]
            ends[0].process, ends[1].process = process, listener.process
            for end in ends:
                if end.process is not None:
                    end.process.ends.append(end)
            server.makeConnection(ends[1])
            client.makeConnection(ends[0])

        connector.failed = failed
        call: Any = self.callLater(timeout if silent else 0, up)
        return connector


class ProcessReactor:
    """The reactor as one process has it: what it holds goes when the process ends, and its calls with it."""

    def __init__(self, reactor: MemoryReactor) -> None:
        self._reactor = reactor
        self.listening: list[_Port] = []
        self.ends: list[MemoryTransport] = []
        self.over = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any, **named: Any) -> Any:
        def run() -> None:
            if not self.over:
                call(*args, **named)

        return self._reactor.callLater(delay, run)

    def _own(self, port: _Port) -> _Port:
        port.process = self
        self.listening.append(port)
        return port

    def listenTCP(self, *args: Any, **named: Any) -> _Port:
        return self._own(self._reactor.listenTCP(*args, **named))

    def listenUNIX(self, *args: Any, **named: Any) -> _Port:
        return self._own(self._reactor.listenUNIX(*args, **named))

    def adoptStreamPort(self, *args: Any) -> _Port:
        return self._own(self._reactor.adoptStreamPort(*args))

    def adoptStreamConnection(self, descriptor: int, family: int, factory: Any) -> None:
        end: MemoryTransport = self._reactor.descriptors[descriptor]
        end.process = self
        self.ends.append(end)
        self._reactor.adoptStreamConnection(descriptor, family, factory)

    def connectUNIX(
        self,
        address: str,
        factory: Any,
        timeout: float = 30,
        checkPID: int = 0,  # noqa: N803
    ) -> _Connector:
        return self._reactor.connect(os.path.realpath(address), factory, timeout, self)

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> _Connector:
        return self._reactor.connect(IPv4Address("TCP", host, port), factory, timeout, self)

    def end(self) -> None:
        """The process is there no more: nothing of it is called again, and its connections end."""
        self.over = True
        for port in self.listening:
            port.stopListening()
        for end in self.ends:
            if end.process is not self or end.disconnected:
                continue
            other, end.disconnected = end.other, True
            if other is None:
                continue
            # What the system has of us it still sends, unless there is something that nobody read.
            if other._out or not end._out:
                why = ConnectionLost() if other._out else ConnectionDone()
                self._reactor.callLater(0, other._lost, why)
            else:
                rest = bytes(end._out)
                self._reactor.callLater(0, self._last_words, other, rest)

    @staticmethod
    def _last_words(other: MemoryTransport, rest: bytes) -> None:
        if not other.disconnected and other._protocol is not None:
            other._protocol.dataReceived(rest)
            other._lost(ConnectionDone())
