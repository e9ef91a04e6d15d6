"""Simulated peers: the actions that a scenario takes through them and the events that they observe.

An action and an event are both a list of words.  The action ``send PEER NAME WORDS...`` calls ``send_NAME``.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from ..http.messages import MAX_BUFFERED_BODY, BadMessage, Data, Head
from ..http.parser import Parser
from ..net import Connection, dial
from .judge import Judge, RequestTracker

Words = list[str]


class ScenarioError(Exception):
    """A scenario cannot be parsed or played; the text names the fault."""


def options(words: Words) -> dict[str, str]:
    """Return the words of the form key=value."""
    return dict(word.split("=", 1) for word in words if "=" in word)


class Peer:
    """One party of a scenario.  ``inbox`` holds the observed events that no step has expected yet."""

    judge: Judge | None = None  # for clients: tracks the answers to their requests

    def __init__(self, name: str) -> None:
        self.name = name
        self.inbox: deque[Words] = deque()

    def saw(self, *words: str) -> None:
        """Record an event."""
        self.inbox.append(list(words))

    def send(self, words: Words) -> None:
        """Run an action: call ``send_NAME``, where NAME is the first word, with the other words."""
        method = getattr(self, f"send_{words[0].replace('-', '_')}", None) if words else None
        if method is None:
            raise ScenarioError(f"{type(self).__name__} cannot send {' '.join(words)!r}")
        method(words[1:])

    def close(self, words: Words) -> None:
        """Close the peer; a ScenarioError if its kind cannot be closed."""
        raise ScenarioError(f"{type(self).__name__} cannot be closed")


class _ListenerFactory(Factory):
    noisy = False

    def __init__(self, build: Callable[[], Connection]) -> None:
        self._build = build

    def buildProtocol(self, addr: Any) -> Connection:
        return self._build()


class Listener(Peer):
    """A peer that the daemon connects to."""

    def __init__(self, reactor: Any, name: str) -> None:
        super().__init__(name)
        self._reactor = reactor
        self.open: list[Any] = []
        self.port: Any = None
        self.address = ""
        self.listen()

    def listen(self) -> None:
        """Listen on the previous address, or on a free port the first time."""
        port_number = int(self.address.split(":")[1]) if self.address else 0
        self.port = self._reactor.listenTCP(port_number, _ListenerFactory(self.accept), interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def accept(self) -> Connection:
        """Return the protocol of a new connection."""
        raise NotImplementedError

    def send_listen(self, words: Words) -> None:
        """listen: listen again on the previous address"""
        self.listen()

    def close(self, words: Words) -> None:
        """Stop listening and reset the open connections."""
        self.port.stopListening()
        for connection in list(self.open):
            connection.link.abortConnection()


class HttpConnection(Connection):
    """Reports complete messages to its owner.

    The owner has ``opened``, ``lost``, ``begins`` (a large message has begun), ``message`` and ``saw``.
    """

    def __init__(self, owner: Any, answers: bool) -> None:
        self._owner, self._parser = owner, Parser(answers=answers)
        self._head: Head | None = None
        self._body = b""

    def connectionMade(self) -> None:
        """Report the new connection."""
        self._owner.opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; invalid ones are reported as the event ``malformed``."""
        self._parser.feed(data)
        try:
            while self._process_parts():
                pass
        except BadMessage as error:
            self._owner.saw("malformed", str(error))

    def _process_parts(self) -> bool:
        for part in self._parser.parts():
            if isinstance(part, Head):
                self._head, self._body = part, b""
                self.header_received(part)
            elif isinstance(part, Data):
                if len(self._body) <= MAX_BUFFERED_BODY < len(self._body) + len(part.data):
                    self._owner.begins(self._head)
                self._body += part.data
            elif self._head is not None:
                head, self._head = self._head, None
                self._owner.message(self, head, self._body)
                return self._parser.buffered > 0
        return False

    def header_received(self, head: Head) -> None:
        """Handle the header section of a message."""

    @property
    def half(self) -> bool:
        """Whether a message has begun and is not complete."""
        return self._head is not None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the end of the connection, after a message that this end completes."""
        if self._head is not None and self._head.until_close and isinstance(reason.value, ConnectionDone):
            head, self._head = self._head, None
            self._owner.message(self, head, self._body)
        self._owner.lost(self)


def format_body(body: bytes) -> str:
    """Return a body as text; a long body of one repeated letter is shown as its length."""
    return f"{len(body)} bytes" if len(body) > 10_000 and len(set(body)) == 1 else body.decode("latin-1")


_HEADERS = "Request-Class: read\r\nX-Plan: basic\r\nX-IO: volume=1,units=1,shard=0\r\nRequest-Id: rude\r\n"
_PUT = "PUT /api HTTP/1.1\r\n" + _HEADERS
INVALID_REQUESTS = {
    "noise": "\x00\xff\x16\x03\x01\r\n\r\n\x80" * 8,
    "head": "GET /api HTTP/1.1\r\n" + "X-Pad: pppppppppppp\r\n" * 1000,
    "negative": f"{_PUT}Content-Length: -5\r\n\r\nhello",
    "plus": f"{_PUT}Content-Length: +5\r\n\r\nhello",
    "huge": f"{_PUT}Content-Length: 60000000\r\n\r\n" + "h" * 4096,
    "both": f"{_PUT}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
    "twice": f"{_PUT}Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    "list": f"{_PUT}Content-Length: 5, 5\r\n\r\nhello",
    "space": f"{_PUT}Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "fold": f"{_PUT}Transfer-Encoding:\r\n chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "xchunked": f"{_PUT}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "codings": f"{_PUT}Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
    "old": f"{_PUT}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n".replace("HTTP/1.1", "HTTP/1.0"),
    "underscore": f"{_PUT}Content_Length: 5\r\nTransfer_Encoding: chunked\r\n\r\n",
    "extension": f"{_PUT}Transfer-Encoding: chunked\r\n\r\n1;x\nx\r\na\r\n0\r\n\r\n",
    "bare": "GET /api HTTP/1.1\n" + _HEADERS.replace("\r\n", "\n") + "\n\r\n\r\n",
    "class": f"GET /api HTTP/1.1\r\n{_HEADERS.replace('read', 'reads')}\r\n",
    "plan": f"GET /api HTTP/1.1\r\n{_HEADERS.replace('basic', 'gold')}\r\n",
    "deadline": f"GET /api HTTP/1.1\r\n{_HEADERS}Request-Timeout-Ms: soon\r\n\r\n",
    "nameless": "GET /api HTTP/1.1\r\nRequest-Class: read\r\nX-Plan: basic\r\n\r\n",
    "method": f"TRACE /api HTTP/1.1\r\n{_HEADERS}\r\n",
}


class ClientConnection(HttpConnection):
    """A client's side of a connection; its requests are tracked."""

    tracker: RequestTracker | None = None

    def write(self, data: bytes) -> None:
        """Send bytes and track the requests in them."""
        if self.tracker is not None:
            self.tracker.record_write(data)
        self.link.write(data)

    def header_received(self, head: Head) -> None:
        """Track the start of a final answer."""
        if self.tracker is not None and head.status >= 200:
            self.tracker.header_received(head)


class HttpClient(Peer):
    """A client of the gateway, with one connection, which it opens when it first sends."""

    def __init__(self, reactor: Any, name: str, address: Callable[[], tuple[str, int]]) -> None:
        super().__init__(name)
        self._reactor, self._address = reactor, address
        self._connection: ClientConnection | None = None
        self._unsent: list[bytes] = []
        self._reading_paused = False

    def opened(self, connection: ClientConnection) -> None:
        """Send what waited for the connection."""
        self._connection = connection
        if self.judge is not None:
            connection.tracker = RequestTracker(self.judge, self.name, lambda: not self._reading_paused)
        if self._reading_paused:
            connection.link.pauseProducing()
        for data in self._unsent:
            connection.write(data)
        self._unsent = []

    def lost(self, connection: ClientConnection) -> None:
        """Record ``broken`` if the connection ended within an answer, else ``closed``."""
        self._connection = None
        if connection.tracker is not None:
            connection.tracker.connection_lost(getattr(connection.link, "delivered", None))
        self.saw("broken" if connection.half else "closed")

    def begins(self, head: Head) -> None:
        """Record the start of a large answer."""
        self.saw("begins", str(head.status))

    def message(self, connection: ClientConnection, head: Head, body: bytes) -> None:
        """Record a final answer: its status, its body and its Retry-After field."""
        if head.status < 200:
            return
        if connection.tracker is not None:
            connection.tracker.answered()
        extra = [f"retry-after={head.headers['retry-after']}"] if "retry-after" in head.headers else []
        self.saw(str(head.status), format_body(body), *extra)

    def _write(self, data: bytes) -> None:
        if self._connection is not None:
            self._connection.write(data)
            return
        self._unsent.append(data)
        if len(self._unsent) == 1:
            connecting = dial(self._reactor, self._address(), 5.0, lambda: ClientConnection(self, True))
            connecting.addErrback(lambda failure: self.saw("refused"))

    def send_request(self, words: Words) -> None:
        """request ID [class= plan= units= shard= hosts= volume= block= timeout= retry= body= large= target=]

        large=BYTES is the Content-Length of a body that follows in parts; 0 means a chunked body.
        """
        values = {"class": "read", "plan": "basic", "units": "1", "shard": "0", "hosts": "1", "volume": "1",
                  "block": "1", "timeout": "", "body": "", "retry": "", "large": "",
                  "target": "/api", "expect": ""} | options(words[1:])  # fmt: skip
        body = values["body"].encode()
        # Always explicit: the policy gives a client's retry less time than its class has, since part of its
        # latency objective has passed.
        values["timeout"] = values["timeout"] or ("5000" if values["class"] == "write" else "3000")
        method = "PUT" if body or values["large"] else "GET"
        lines = [
            f"{method} {values['target']} HTTP/1.1", "Host: app.svc", f"Request-Id: {words[0]}",
            f"Request-Class: {values['class']}", f"X-Plan: {values['plan']}",
            f"Cookie: block={values['block']}",
            f"Request-Timeout-Ms: {values['timeout']}",
            f"X-IO: volume={values['volume']},units={values['units']},"
            f"shard={values['shard']},hosts={values['hosts']}",
            *([f"Content-Length: {len(body)}"] if body else []),
            *([f"Content-Length: {values['large']}"] if int(values["large"] or 0) else []),
            *(["Transfer-Encoding: chunked"] if values["large"] == "0" else []),
            *(["Expect: 100-continue"] if values["expect"] else []),
            *(["Client-Retry: 1"] if values["retry"] else []),
        ]  # fmt: skip
        self._write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def send_part(self, words: Words) -> None:
        """part BYTES [chunk]: send a part of a large body"""
        data = b"p" * int(words[0])
        self._write(b"%x;part\r\n%b\r\n" % (len(data), data) if "chunk" in words else data)

    def send_end(self, words: Words) -> None:
        """end: send the last chunk of a chunked body"""
        self._write(b"0\r\nX-Trailer: t\r\n\r\n")

    def send_connect(self, words: Words) -> None:
        """connect: connect and send nothing"""
        self._write(b"")

    def send_rude(self, words: Words) -> None:
        """rude KIND: send an invalid request, see INVALID_REQUESTS"""
        self._write(INVALID_REQUESTS[words[0]].encode("latin-1"))

    def send_stall(self, words: Words) -> None:
        """stall: stop reading"""
        self._reading_paused = True
        if self._connection is not None:
            self._connection.link.pauseProducing()

    def send_read(self, words: Words) -> None:
        """read: resume reading"""
        self._reading_paused = False
        if self._connection is not None:
            self._connection.link.resumeProducing()

    def send_get(self, words: Words) -> None:
        """get TARGET: send a request without the gateway's own header fields"""
        self._write(f"GET {words[0]} HTTP/1.1\r\nHost: app.svc\r\n\r\n".encode())

    def send_raw(self, words: Words) -> None:
        """raw TEXT [TIMES]: send bytes, given with backslash escapes"""
        data = words[0].encode().decode("unicode_escape").encode("latin-1")
        self._write(data * int(words[1] if len(words) > 1 else 1))

    def close(self, words: Words) -> None:
        """Reset the connection."""
        if self._connection is not None:
            if self._connection.tracker is not None:
                self._connection.tracker.client_closed()
            self._connection.link.abortConnection()


class ManagementClient(HttpClient):
    """A client of the gateway's management address."""

    def send_call(self, words: Words) -> None:
        """call METHOD PATH: send a call; the connection ends with its answer"""
        self._write(f"{words[0]} {words[1]} HTTP/1.1\r\nHost: head\r\nContent-Length: 0\r\n\r\n".encode())


GOOD_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
IRREGULAR_ANSWERS = {
    "noise": "\x00\xff\x16\x03\x01\r\n\r\n\x80" * 8,
    "head": "HTTP/1.1 200 OK\r\n" + "X-Pad: pppppppppppp\r\n" * 1000,
    "length": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole",
    "negative": "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nwhole",
    "chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff0\r\nwhole",
    "huge": "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + "w" * 4096,
    "endless": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffff\r\n" + "w" * 4096,
    "short": "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwhole",
    "switch": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + GOOD_ANSWER,
    "hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 40 + GOOD_ANSWER,
    # Valid answers with additional messages or header fields.
    "copy": GOOD_ANSWER + GOOD_ANSWER,
    "hint": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + GOOD_ANSWER,
    "load": GOOD_ANSWER.replace("\r\n", '\r\nServer-Load: {"\r\nX-Volume-Use: =,=\r\n', 1),
}


class HttpListener(Listener):
    """A listener that speaks the platform's HTTP; ``open`` holds its open connections."""

    def accept(self) -> HttpConnection:
        """Return the protocol of a new connection."""
        return HttpConnection(self, False)

    def opened(self, connection: HttpConnection) -> None:
        """Handle a new connection."""
        self.open.append(connection)

    def lost(self, connection: HttpConnection) -> None:
        """Handle the end of a connection."""
        self.open.remove(connection)

    def begins(self, head: Head) -> None:
        """Handle a request whose body exceeds MAX_BUFFERED_BODY; most listeners ignore it."""

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Handle a complete request."""
        raise NotImplementedError


class HttpNode(HttpListener):
    """A simulated node; it holds each request until the scenario sends its answer."""

    def __init__(self, reactor: Any, name: str, shard: int) -> None:
        self.shard = shard
        self.held: dict[str, HttpConnection] = {}
        self.connections: dict[str, HttpConnection] = {}  # by request id: the connection that it arrived on
        super().__init__(reactor, name)

    def lost(self, connection: HttpConnection) -> None:
        """Record ``gone`` for each held request of the connection, and ``broken`` if one was incomplete."""
        super().lost(connection)
        for name in [name for name, held in self.held.items() if held is connection]:
            del self.held[name]
            self.saw("gone", name)
        if connection.half:
            self.saw("broken")

    def begins(self, head: Head) -> None:
        """Record the start of a large request."""
        self.saw("begins", head.headers.get("request-id", "-"), head.method, head.target)

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Record a request and hold it."""
        name = head.headers.get("request-id", "-")
        self.held[name] = self.connections[name] = connection
        self.saw("request", name, head.method, head.target, format_body(body))

    def send_begin(self, words: Words) -> None:
        """begin ID [BYTES]: send the header section of an answer; without BYTES its body is chunked"""
        framing = f"Content-Length: {words[1]}" if len(words) > 1 else "Transfer-Encoding: chunked"
        self.held[words[0]].link.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())

    def send_part(self, words: Words) -> None:
        """part ID BYTES [chunk]: send a part of that body"""
        data = b"p" * int(words[1])
        self.held[words[0]].link.write(b"%x\r\n%b\r\n" % (len(data), data) if "chunk" in words else data)

    def send_end(self, words: Words) -> None:
        """end ID [close]: end that body with the last chunk, or with the end of the connection"""
        link = self.held.pop(words[0]).link
        if "close" in words:
            link.loseConnection()
        else:
            link.write(b"0\r\n\r\n")

    def send_stall(self, words: Words) -> None:
        """stall: stop reading"""
        for connection in self.open:
            connection.link.pauseProducing()

    def send_read(self, words: Words) -> None:
        """read: resume reading"""
        for connection in self.open:
            connection.link.resumeProducing()

    def send_answer(self, words: Words) -> None:
        """answer ID STATUS [BODY] [not-started] [close]: send an answer"""
        flags = [word for word in words[2:] if word in ("not-started", "close")]
        body = "".join(word for word in words[2:3] if word not in flags).encode()
        connection = self.held.pop(words[0])
        head = [f"HTTP/1.1 {words[1]} X", f"Content-Length: {len(body)}"]
        head += ["Not-Started: 1"] * ("not-started" in flags) + ["Connection: close"] * ("close" in flags)
        connection.link.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        if "close" in flags:
            connection.link.loseConnection()

    def send_raw(self, words: Words) -> None:
        """raw ID TEXT: send bytes on the request's connection; the request stays held"""
        self.held[words[0]].link.write(words[1].encode().decode("unicode_escape").encode("latin-1"))

    def send_big(self, words: Words) -> None:
        """big ID BYTES: send a valid answer with a body of that size"""
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {words[1]}\r\n\r\n"
        self.held.pop(words[0]).link.write(head.encode() + b"b" * int(words[1]))

    def send_spoil(self, words: Words) -> None:
        """spoil ID KIND: send an invalid answer or one with additions, see IRREGULAR_ANSWERS"""
        self.held.pop(words[0]).link.write(IRREGULAR_ANSWERS[words[1]].encode("latin-1"))

    def send_more(self, words: Words) -> None:
        """more ID TEXT: send bytes on the connection that the request arrived on, after its answer"""
        self.connections[words[0]].link.write(words[1].encode().decode("unicode_escape").encode("latin-1"))

    def close(self, words: Words) -> None:
        """close NAME: stop and reset everything; close NAME ID: reset the connection of one request"""
        if words:
            self.held.pop(words[0]).link.abortConnection()
        else:
            super().close(words)


class Directory(HttpListener):
    """Simulated discovery: a watch receives the changes of the endpoint list, and an empty line every 2 s."""

    def __init__(self, reactor: Any, name: str, on_move: Callable[[str], None]) -> None:
        self.revision = 1
        self._on_move = on_move  # called with the new address after a move
        self.entries: dict[str, dict[str, Any]] = {}
        self.watches: list[HttpConnection] = []
        self.sends_heartbeats, self.unresponsive = True, False
        super().__init__(reactor, name)
        reactor.callLater(2.0, self._send_heartbeat)

    def lost(self, connection: HttpConnection) -> None:
        """Forget the connection's watch."""
        super().lost(connection)
        if connection in self.watches:
            self.watches.remove(connection)

    def listing(self, full: bool, node_name: str = "") -> dict[str, Any]:
        """Return a message of discovery with all nodes or the named one; ``full`` marks it as complete."""
        members = [self.entries[node_name]] if node_name else list(self.entries.values())
        return {"revision": self.revision, "complete": full, "members": members}

    def add(self, node: Any, phase: str = "Ready", up_since_ms: int = 0) -> None:
        """List a node; the watches are not notified."""
        self.entries[node.name] = {
            "id": node.name, "host_port": node.address, "locality": "ruum-1", "flavor": "node-2c",
            "cell": node.shard, "phase": phase, "size": 1.0, "up_since_ms": up_since_ms,
        }  # fmt: skip

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Answer a poll, or start a watch and record it."""
        if "follow=1" in head.target:
            self.saw("watch", head.target.partition("since=")[2])
            if self.unresponsive:
                return
            self.watches.append(connection)
            connection.link.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(connection, json.dumps(self.listing(True)))
        else:
            text = json.dumps(self.listing(True)).encode()
            connection.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)

    def _chunk(self, connection: HttpConnection, text: str) -> None:
        connection.link.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text.encode()))

    def _move(self, revision: int) -> None:
        """Let another service take over at a new address; the old one resets its connections 1.5 s later."""
        self.port.stopListening()
        for connection in list(self.open):
            self._reactor.callLater(1.5, lambda link: link.abortConnection(), connection.link)
        self.revision, self.address = revision, ""
        self.listen()
        self._on_move(self.address)

    def _send_heartbeat(self) -> None:
        self._reactor.callLater(2.0, self._send_heartbeat)
        if self.sends_heartbeats:
            for watch in self.watches:
                self._chunk(watch, "")

    def send(self, words: Words) -> None:
        """Do one of these:

        NODE PHASE [up=MS]: change the phase of a listed node
        silence: send nothing more on the watches
        mute: leave new watches without an answer
        cut: reset all connections
        move [revision=N]: continue at a new address, with that revision
        """
        if words[0] == "mute":
            self.unresponsive = True
        elif words[0] == "move":
            self._move(int(options(words).get("revision", self.revision)))
        elif words[0] == "silence":
            self.sends_heartbeats = False
        elif words[0] == "cut":
            for connection in list(self.open):
                connection.link.abortConnection()
        elif words[0] not in self.entries:
            raise ScenarioError(f"{words[0]!r} is not in the endpoint list")
        else:
            entry = self.entries[words[0]]
            entry["phase"] = words[1]
            entry["up_since_ms"] = int(options(words).get("up", entry["up_since_ms"]))
            self.revision += 1
            for watch in self.watches if self.sends_heartbeats else []:
                self._chunk(watch, json.dumps(self.listing(False, words[0])))
