"""The management address: operators' calls, one per connection, separate from the clients' connections."""

from __future__ import annotations

from collections import OrderedDict
from http import HTTPStatus
from typing import Any

from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from ..core.ports import Clock, Logger
from ..net import Connection
from ..operations import StateNotKnown
from .management_calls import CallAnswer, FleetCall, ManagementCalls, OperatorActions
from .messages import BadMessage, Data, Head
from .parser import Parser

MAX_CONNECTIONS = 16  # their descriptors are reserved, apart from those of clients
ACCEPTS_PER_ITERATION = 4  # of the reactor; bounds the delay that a flood of callers causes
MAX_HEAD_BYTES = 4096
MAX_BODY_BYTES = 4096
MAX_CALL_US = 10_000_000  # for the call to arrive and its answer to be read
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS = {413: "Content Too Large"}  # RFC 9110; the standard library has an older phrase


def answer_bytes(answer: CallAnswer, with_body: bool) -> bytes:
    """Format an answer for the wire, without its body for a HEAD call."""
    status = HTTPStatus(answer.status)
    body = answer.text.encode() + b"\n" if with_body else b""
    allow = ""
    if status is HTTPStatus.METHOD_NOT_ALLOWED:
        allow = f"Allow: {answer.text.rpartition(' ')[2]}\r\n"
    reason = REASONS.get(status.value, status.phrase)
    head = f"HTTP/1.1 {status.value} {reason}\r\nContent-Length: {len(body)}\r\n{allow}"
    return head.encode() + b"Content-Type: text/plain\r\nConnection: close\r\n\r\n" + body


class CallConnection(Connection):
    """A connection with one call and its answer."""

    def __init__(self, server: ManagementServer) -> None:
        self._server = server
        self._parser = Parser(answers=False, max_body=MAX_BODY_BYTES, max_head=MAX_HEAD_BYTES)
        self._head: Head | None = None
        self._answered = False
        self.opened_at_us = server.clock.now_us()

    def connectionMade(self) -> None:
        """Twisted: the connection is open."""
        self.link.setTcpNoDelay(True)
        self._server.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended."""
        self._server.closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Twisted: parse the call; input after it is discarded."""
        if self._answered:
            return
        self._parser.feed(data)
        try:
            self._read_call()
        except BadMessage as error:
            self._answer(CallAnswer(error.status if error.status < 500 else 400, str(error)))
        except StateNotKnown as error:
            self._answer(CallAnswer(HTTPStatus.SERVICE_UNAVAILABLE, str(error)))
        except OSError as error:  # a state that cannot be stored for the next process is not applied
            self._server.log.error("state_not_written", error=repr(error))
            self._answer(CallAnswer(HTTPStatus.SERVICE_UNAVAILABLE, "cannot write it down"))
        except Exception as error:  # a fault of the gateway: the caller still gets an answer
            self._server.log.error("call_raised", error=repr(error))
            self._answer(CallAnswer(HTTPStatus.INTERNAL_SERVER_ERROR, "internal fault"))

    def _read_call(self) -> None:
        for part in self._parser.parts():
            if isinstance(part, Head):
                self._head = part
                if part.headers.get("expect", "").lower() == "100-continue" and part.length != 0:
                    self.link.write(CONTINUE)
            elif not isinstance(part, Data) and self._head is not None:
                self._answer(self._server.calls.call(self._head.method, self._head.target))
                return

    def _answer(self, answer: CallAnswer) -> None:
        self._answered = True
        with_body = self._head is None or self._head.method != "HEAD"
        self.link.write(answer_bytes(answer, with_body))
        # Close the sending side only: a full close with unread input would reset the connection and lose the
        # answer.
        self.link.loseWriteConnection()


class ManagementServer(Factory):
    """Accepts operators' calls, within a reserved number of descriptors."""

    noisy = False

    def __init__(self, operations: OperatorActions, clock: Clock, log: Logger) -> None:
        self.calls = ManagementCalls(operations)
        self.clock = clock
        self.log = log
        self._open: OrderedDict[CallConnection, None] = OrderedDict()

    def set_fleet_handler(self, call: FleetCall) -> None:
        """Set the handler of calls under /fleet."""
        self.calls.fleet = call

    def buildProtocol(self, addr: Any) -> CallConnection:
        """Twisted: create the protocol of a new connection."""
        return CallConnection(self)

    def opened(self, connection: CallConnection) -> None:
        """Register a connection; above MAX_CONNECTIONS the oldest is aborted."""
        self._open[connection] = None
        if len(self._open) > MAX_CONNECTIONS:
            # Silent callers must not block others.  The oldest is unregistered here: its descriptor is closed
            # one reactor iteration later, and others may connect before that.
            self._open.popitem(last=False)[0].link.abortConnection()

    def closed(self, connection: CallConnection) -> None:
        """Unregister a connection that has ended."""
        self._open.pop(connection, None)

    def sweep(self) -> None:
        """Abort connections whose call has not arrived, or whose answer was not read, in time."""
        now_us = self.clock.now_us()
        for connection in list(self._open):
            if now_us - connection.opened_at_us > MAX_CALL_US:
                connection.link.abortConnection()
