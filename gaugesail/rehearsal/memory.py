"""A reactor in memory: TCP between the parties of one process, in virtual time.

A scenario plays the same way every time.  The transports keep the guarantees of Twisted's own: bytes arrive
in order, ``write`` calls no protocol and only pauses its producer, which is resumed later, and connectionLost
is called once.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.internet.address import IPv4Address
from twisted.python import failure

from .timeline import Timeline

Failure: Any = failure.Failure  # Twisted does not annotate these
CannotListenError: Any = error.CannotListenError
ConnectionAborted: Any = error.ConnectionAborted
ConnectionDone: Any = error.ConnectionDone
ConnectionLost: Any = error.ConnectionLost
ConnectionRefusedError: Any = error.ConnectionRefusedError
TimeoutError: Any = error.TimeoutError


class MemoryTransport:
    """One end of a connection, with the interface of a Twisted transport."""

    bufferSize = 64 * 1024  # noqa: N815  Twisted's name: unsent bytes above which the producer is paused

    def __init__(self, reactor: MemoryReactor, protocol: Any, host: Any, peer: Any) -> None:
        self._reactor, self._protocol = reactor, protocol
        self._addresses = host, peer
        self.other: MemoryTransport | None = None
        self._out = bytearray()
        self.delivered = 0  # bytes that the other end has read
        self._producer: Any = None
        self._streaming = self._producer_paused = self._reading_paused = False
        self._flush_scheduled = self._close_requested = False
        self._descriptors: list[int] = []  # sent, and not yet received by the other end
        self.disconnected = False
        self.process: ProcessReactor | None = None  # the process that owns this end

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def getHost(self) -> Any:
        return self._addresses[0]

    def getPeer(self) -> Any:
        return self._addresses[1]

    def write(self, data: bytes) -> None:
        if self.disconnected or (self._close_requested and self._producer is None):
            return
        self._out += data
        full = len(self._out) > self.bufferSize
        if full and self._producer and self._streaming and not self._producer_paused:
            self._producer_paused = True
            self._producer.pauseProducing()
        self._schedule_flush()

    def sendFileDescriptor(self, descriptor: int) -> None:
        self._descriptors.append(self._reactor.descriptor(self._reactor.descriptors[descriptor]))

    def startWriting(self) -> None:
        self._schedule_flush()

    def stopWriting(self) -> None:
        pass

    def stopReading(self) -> None:
        self._reading_paused = True

    @property
    def socket(self) -> MemoryTransport:
        return self

    def detach(self) -> int:
        """Return a descriptor for this end of the connection, which has no protocol until it is adopted."""
        self._protocol = self._producer = None
        return self._reactor.descriptor(self)

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled and not self.disconnected:
            self._flush_scheduled = True
            self._reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self.disconnected or self.other is None or self.other._reading_paused or not self.other._protocol:
            return
        if self._out:
            data = bytes(self._out[: self.other.bufferSize])  # one read of the other end
            del self._out[: self.other.bufferSize]
            if not self.other.disconnected:
                self.delivered += len(data)
                descriptors, self._descriptors = self._descriptors, []
                for descriptor in descriptors:
                    self.other._protocol.fileDescriptorReceived(descriptor)
                self.other._protocol.dataReceived(data)
        if self._out:
            self._schedule_flush()
            return
        if self._producer is not None and not self.disconnected:
            if not self._streaming or self._producer_paused:
                self._producer_paused = False
                self._producer.resumeProducing()
        elif self._close_requested and not self._out:
            self._end(ConnectionDone(), ConnectionDone())

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        if self._producer is not None:
            raise RuntimeError("a producer is already registered")
        if self.disconnected:
            producer.stopProducing()
            return
        self._producer, self._streaming = producer, streaming
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self._producer = None
        if self._close_requested:
            self._schedule_flush()

    def pauseProducing(self) -> None:
        self._reading_paused = True

    def resumeProducing(self) -> None:
        self._reading_paused = False
        if self.other is not None:
            self.other._schedule_flush()

    def loseConnection(self) -> None:
        self._close_requested = True
        self._schedule_flush()

    def loseWriteConnection(self) -> None:
        """Close both directions, as no protocol here continues after a half-close."""
        self.loseConnection()

    def abortConnection(self) -> None:
        if not self.disconnected:
            self._reactor.callLater(0, self._end, ConnectionAborted(), ConnectionLost())

    def _end(self, local_reason: Exception, remote_reason: Exception) -> None:
        if self.disconnected:
            return
        other = self.other
        self._lost(local_reason)
        if other is not None:
            self._reactor.callLater(0, other._lost, remote_reason)

    def _lost(self, reason: Exception) -> None:
        if self.disconnected:
            return
        self.disconnected = True
        if self._protocol is None:
            return  # detached, and not yet adopted by another process
        producer, self._producer = self._producer, None
        if producer is not None:
            producer.stopProducing()
        self._protocol.connectionLost(Failure(reason))


class _Port:
    """A listening socket; several ports may share one, as when one process hands it over to another."""

    def __init__(self, reactor: MemoryReactor, address: Any, factory: Any) -> None:
        self._reactor, self._address, self.factory = reactor, address, factory
        self.accepting_paused = False  # new connections wait
        self.process: ProcessReactor | None = None
        reactor.ports.setdefault(address, []).append(self)

    def getHost(self) -> Any:
        return self._address

    def fileno(self) -> int:
        """Return a new descriptor for the socket."""
        return self._reactor.descriptor(self._address)

    def stopReading(self) -> None:
        self.accepting_paused = True

    def startReading(self) -> None:
        self.accepting_paused = False

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
    """The reactor interface that gaugesail uses, in memory; a connect to a ``silent`` address times out."""

    def __init__(self) -> None:
        super().__init__()
        self.ports: dict[Any, list[_Port]] = {}  # by address; the address of a Unix socket is its path
        self.descriptors: dict[int, Any] = {}  # real descriptors, and what each represents
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
        """Return a new descriptor that represents the socket at an address, or a transport."""
        created = os.open(os.devnull, os.O_RDONLY)
        self.descriptors[created] = address
        return created

    def adoptStreamPort(self, descriptor: int, family: int, factory: Any) -> _Port:
        return _Port(self, self.descriptors[descriptor], factory)

    def adoptStreamConnection(self, descriptor: int, family: int, factory: Any) -> None:
        transport: MemoryTransport = self.descriptors[descriptor]
        if transport.disconnected:
            raise OSError("not connected")
        transport._protocol = factory.buildProtocol(transport.getPeer())
        transport._protocol.makeConnection(transport)
        transport.resumeProducing()

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
        self, address: Any, factory: Any, timeout: float, process: ProcessReactor | None = None
    ) -> _Connector:
        connector = _Connector()
        silent = isinstance(address, IPv4Address) and (address.host, address.port) in self.silent
        factory.doStart()

        def failed(error: Exception) -> None:
            if call.active():
                call.cancel()
            connector.failed = lambda error: None
            factory.clientConnectionFailed(connector, Failure(error))

        def establish() -> None:
            connector.failed = lambda error: None
            if silent:
                factory.clientConnectionFailed(connector, Failure(TimeoutError()))
                return
            ports = self.ports.get(address, [])
            listener = next((port for port in ports if not port.accepting_paused), None)
            if ports and listener is None:
                self.callLater(0.01, establish)
                return
            server = listener.factory.buildProtocol(address) if listener is not None else None
            if listener is None or server is None:
                factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))
                return
            self._next_port += 1
            client_address = IPv4Address("TCP", "127.0.0.1", self._next_port)
            client = factory.buildProtocol(address)
            transports = (
                MemoryTransport(self, client, client_address, address),
                MemoryTransport(self, server, address, client_address),
            )
            transports[0].other, transports[1].other = transports[1], transports[0]
            transports[0].process, transports[1].process = process, listener.process
            for transport in transports:
                if transport.process is not None:
                    transport.process.transports.append(transport)
            server.makeConnection(transports[1])
            client.makeConnection(transports[0])

        connector.failed = failed
        call: Any = self.callLater(timeout if silent else 0, establish)
        return connector


class ProcessReactor:
    """The reactor of one process: its ports, connections and delayed calls end with the process."""

    def __init__(self, reactor: MemoryReactor) -> None:
        self._reactor = reactor
        self.listening_ports: list[_Port] = []
        self.transports: list[MemoryTransport] = []
        self.ended = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def callLater(self, delay: float, call: Callable[..., Any], /, *args: Any, **named: Any) -> Any:
        def run() -> None:
            if not self.ended:
                call(*args, **named)

        return self._reactor.callLater(delay, run)

    def _add_port(self, port: _Port) -> _Port:
        port.process = self
        self.listening_ports.append(port)
        return port

    def listenTCP(self, *args: Any, **named: Any) -> _Port:
        return self._add_port(self._reactor.listenTCP(*args, **named))

    def listenUNIX(self, *args: Any, **named: Any) -> _Port:
        return self._add_port(self._reactor.listenUNIX(*args, **named))

    def adoptStreamPort(self, *args: Any) -> _Port:
        return self._add_port(self._reactor.adoptStreamPort(*args))

    def adoptStreamConnection(self, descriptor: int, family: int, factory: Any) -> None:
        transport: MemoryTransport = self._reactor.descriptors[descriptor]
        transport.process = self
        self.transports.append(transport)
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
        """End the process: none of its calls run any more, its ports close and its connections end."""
        self.ended = True
        for port in self.listening_ports:
            port.stopListening()
        for transport in self.transports:
            if transport.process is not self or transport.disconnected:
                continue
            other, transport.disconnected = transport.other, True
            if other is None:
                continue
            # The kernel still sends written data, but resets the connection if received data was not read.
            if other._out or not transport._out:
                reason = ConnectionLost() if other._out else ConnectionDone()
                self._reactor.callLater(0, other._lost, reason)
            else:
                unread = bytes(transport._out)
                self._reactor.callLater(0, self._deliver_rest, other, unread)

    @staticmethod
    def _deliver_rest(other: MemoryTransport, unread: bytes) -> None:
        if not other.disconnected and other._protocol is not None:
            other._protocol.dataReceived(unread)
            other._lost(ConnectionDone())
