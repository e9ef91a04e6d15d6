"""The second address: operators' calls, one a connection, answered whatever clients do at the first."""

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

MAX_CONNECTIONS = 16  # their descriptors are kept out of the clients' part
ACCEPTS_PER_TURN = 4  # so that a flood of callers delays nobody for long
MAX_HEAD_BYTES = 4096
MAX_BODY_BYTES = 4096
MAX_CALL_US = 10_000_000  # for a call to arrive, and for its caller to read the answer
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS = {413: "Content Too Large"}  # RFC 9110; the library's is older


def answer_bytes(answer: CallAnswer, with_body: bool) -> bytes:
    """An answer as it goes on the wire; without its body where the call was a HEAD."""
    status = HTTPStatus(answer.status)
    body = answer.text.encode() + b"\n" if with_body else b""
    allow = ""
    if status is HTTPStatus.METHOD_NOT_ALLOWED:
        allow = f"Allow: {answer.text.rpartition(' ')[2]}\r\n"
    reason = REASONS.get(status.value, status.phrase)
    head = f"HTTP/1.1 {status.value} {reason}\r\nContent-Length: {len(body)}\r\n{allow}"
    return head.encode() + b"Content-Type: text/plain\r\nConnection: close\r\n\r\n" + body


class CallConnection(Connection):
    """One call and its answer."""

    def __init__(self, server: ManagementServer) -> None:
        self._server = server
        self._parser = Parser(answers=False, max_body=MAX_BODY_BYTES, max_head=MAX_HEAD_BYTES)
        self._head: Head | None = None
        self._answered = False
        self.opened_at = server.clock.now_us()

    def connectionMade(self) -> None:
        """Twisted: the connection is open."""
        self.link.setTcpNoDelay(True)
        self._server.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection has ended."""
        self._server.closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Twisted: bytes have come; what follows the one call is thrown away."""
        if self._answered:
            return
        self._parser.feed(data)
        try:
            self._read_call()
        except BadMessage as error:
            self._answer(CallAnswer(error.status if error.status < 500 else 400, str(error)))
        except StateNotKnown as error:
            self._answer(CallAnswer(HTTPStatus.SERVICE_UNAVAILABLE, str(error)))
        except OSError as error:  # what cannot be kept for the next process is not done
            self._server.log.error("state_not_written", error=repr(error))
            self._answer(CallAnswer(HTTPStatus.SERVICE_UNAVAILABLE, "cannot write it down"))
        except Exception as error:  # a fault of ours: the caller is owed an answer all the same
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
        # Only our side ends: with input unread a whole close would reset the connection under the answer.
        self.link.loseWriteConnection()


class ManagementServer(Factory):
    """Takes calls within descriptors of its own."""

    noisy = False

    def __init__(self, operations: OperatorActions, clock: Clock, log: Logger) -> None:
        self.calls = ManagementCalls(operations)
        self.clock = clock
        self.log = log
        self._open: OrderedDict[CallConnection, None] = OrderedDict()

    def set_fleet_handler(self, call: FleetCall) -> None:
        """Calls under /fleet go to the gateway's place in its fleet."""
        self.calls.fleet = call

    def buildProtocol(self, addr: Any) -> CallConnection:
        """Twisted: a caller has connected."""
        return CallConnection(self)

    def opened(self, connection: CallConnection) -> None:
        """Count a connection; beyond the most, the oldest goes."""
        self._open[connection] = None
        if len(self._open) > MAX_CONNECTIONS:
            # Callers that say nothing must not keep one out that asks at once.  The oldest counts no more:
            # its descriptor is closed a turn later, and until then others come.
            self._open.popitem(last=False)[0].link.abortConnection()

    def closed(self, connection: CallConnection) -> None:
        """A connection has ended."""
        self._open.pop(connection, None)

    def sweep(self) -> None:
        """End connections whose call has not come, or whose answer nobody has read, in time."""
        now = self.clock.now_us()
        for connection in list(self._open):
            if now - connection.opened_at > MAX_CALL_US:
                connection.link.abortConnection()
