"""The second address: operators' calls, one a connection, answered whatever clients do at the first."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import unquote_to_bytes

from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from ..core.ports import Clock, Logger
from ..net import Connection
from ..operations import StateNotKnown
from .messages import BadMessage, Data, Head
from .parser import Parser

MOST_CALLS = 16  # connections at once; their descriptors are kept out of the clients' part
ACCEPTS = 4  # in one turn, so that a flood of callers delays nobody for long
MAX_HEAD, MAX_BODY = 4096, 4096
SILENT_US = 10_000_000  # how long a call may take to arrive, and its caller to read the answer


class Operations(Protocol):
    """What can be asked of a head while it runs."""

    @property
    def serving(self) -> bool: ...
    def drain(self, on: bool) -> None: ...
    def trace(self, subject: str | None) -> str: ...
    def maintain(self, node: bytes, on: bool) -> bool: ...


class CallConnection(Connection):
    """One call and its answer."""

    def __init__(self, front: ManagementFront) -> None:
        self._front = front
        self._parser = Parser(answers=False, max_body=MAX_BODY, max_head=MAX_HEAD)
        self._head: Head | None = None
        self._answered = False
        self.opened_at = front.clock.now_us()

    def connectionMade(self) -> None:
        self.link.setTcpNoDelay(True)
        self._front.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._front.closed(self)

    def dataReceived(self, data: bytes) -> None:
        if self._answered:
            return  # one call a connection: what else comes is thrown away
        self._parser.feed(data)
        try:
            for part in self._parser.parts():
                if isinstance(part, Head):
                    self._head = part
                    if part.headers.get("expect", "").lower() == "100-continue" and part.length != 0:
                        self.link.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                elif not isinstance(part, Data) and self._head is not None:
                    self._answer(*self._front.call(self._head.method, self._head.target))
                    return
        except BadMessage as error:
            self._answer(error.status if error.status < 500 else 400, str(error))
        except StateNotKnown as error:
            self._answer(503, str(error))
        except OSError as error:  # what cannot be kept for the next process is not done
            self._front.log.error("state_not_written", error=repr(error))
            self._answer(503, "cannot write it down")
        except Exception as error:  # a fault of ours: the caller is owed an answer all the same
            self._front.log.error("call_raised", error=repr(error))
            self._answer(500, "internal fault")

    def _answer(self, status: int, text: str) -> None:
        self._answered = True
        body = b"" if self._head is not None and self._head.method == "HEAD" else text.encode() + b"\n"
        allow = f"Allow: {text.rpartition(' ')[2]}\r\n" if status == 405 else ""
        head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n{allow}"
        self.link.write(head.encode() + b"Content-Type: text/plain\r\nConnection: close\r\n\r\n" + body)
        # Only our side ends: with input unread a whole close would reset the connection under the answer.
        self.link.loseWriteConnection()


REASONS = {
    200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    503: "Service Unavailable",
}  # fmt: skip


class ManagementFront(Factory):
    """Takes calls within descriptors of its own, and carries them out."""

    noisy = False

    def __init__(self, head: Operations, clock: Clock, log: Logger) -> None:
        self._head, self.clock, self.log = head, clock, log
        self._open: OrderedDict[CallConnection, None] = OrderedDict()
        self.fleet: Callable[[str, list[str]], tuple[int, str]] | None = None  # calls under /fleet

    def buildProtocol(self, addr: Any) -> CallConnection:
        return CallConnection(self)

    def opened(self, connection: CallConnection) -> None:
        self._open[connection] = None
        if len(self._open) > MOST_CALLS:
            # Callers that say nothing must not keep one out that asks at once: the oldest goes.
            # It counts no more: its descriptor is closed a turn later, and until then others come.
            self._open.popitem(last=False)[0].link.abortConnection()

    def closed(self, connection: CallConnection) -> None:
        self._open.pop(connection, None)

    def sweep(self) -> None:
        now = self.clock.now_us()
        for connection in list(self._open):
            if now - connection.opened_at > SILENT_US:
                connection.link.abortConnection()

    def call(self, method: str, target: str) -> tuple[int, str]:
        """Carry out one call: its status and a line of text."""
        path = [unquote_to_bytes(word) for word in target.partition("?")[0].split("/")]
        match path:
            case [b"", b"healthcheck"]:
                if method not in ("GET", "HEAD"):
                    return 405, "use GET"
                return (200, "serving") if self._head.serving else (503, "not serving yet")
            case [b"", b"healthcheck", b"fail" | b"ok" as word]:
                if method != "POST":
                    return 405, "use POST"
                drain = word == b"fail"
                self._head.drain(drain)
                return 200, "clients are sent away" if drain else "clients are taken"
            case [b"", b"bricks", node, b"maint" | b"ready" as word]:
                if method != "POST":
                    return 405, "use POST"
                if not self._head.maintain(node, word == b"maint"):
                    return 404, "no list has ever named that brick"
                return 200, "out of use" if word == b"maint" else "in use"
            case [b"", b"trace", *rest] if len(rest) < 2:
                if method not in ("GET", "HEAD"):
                    return 405, "use GET"
                return 200, self._head.trace(rest[0].decode(errors="replace") if rest else None)
            case [b"", b"fleet", *rest] if self.fleet is not None:
                return self.fleet(method, [word.decode(errors="replace") for word in rest])
        return 404, "no such call"
