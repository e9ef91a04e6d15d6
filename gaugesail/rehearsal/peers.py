"""Stand-in peers: what a scenario sends through them, and what they saw, as lines of words."""

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
from .judge import Judge, RequestBook

Words = list[str]


class ScenarioError(Exception):
    """A scenario that cannot be played as it is written."""


def options(words: Words) -> dict[str, str]:
    """The words of the form key=value."""
    return dict(word.split("=", 1) for word in words if "=" in word)


class Peer:
    """One party of a scenario.  ``inbox`` holds what it saw and nobody has expected yet."""

    judge: Judge | None = None  # of clients: what they ask is owed an answer

    def __init__(self, name: str) -> None:
        self.name = name
        self.inbox: deque[Words] = deque()

    def saw(self, *words: str) -> None:
        self.inbox.append(list(words))

    def send(self, words: Words) -> None:
        """Do what the words say: the first names a method of the peer."""
        method = getattr(self, f"send_{words[0].replace('-', '_')}", None) if words else None
        if method is None:
            raise ScenarioError(f"{type(self).__name__} cannot send {' '.join(words)!r}")
        method(words[1:])

    def close(self, words: Words) -> None:
        raise ScenarioError(f"{type(self).__name__} cannot be closed")


class _Acceptor(Factory):
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
        number = int(self.address.split(":")[1]) if self.address else 0
        self.port = self._reactor.listenTCP(number, _Acceptor(self.accept), interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def accept(self) -> Connection:
        raise NotImplementedError

    def send_listen(self, words: Words) -> None:
        """Be there again, under the old address."""
        self.listen()

    def close(self, words: Words) -> None:
        """Die: nothing listens any more and what was open is reset."""
        self.port.stopListening()
        for connection in list(self.open):
            connection.link.abortConnection()


class HttpConnection(Connection):
    """Hands whole messages to its owner."""

    def __init__(self, owner: Any, answers: bool) -> None:
        self._owner, self._parser = owner, Parser(answers=answers)
        self._head: Head | None = None
        self._body = b""

    def connectionMade(self) -> None:
        self._owner.opened(self)

    def dataReceived(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while self._parts():
                pass
        except BadMessage as error:
            self._owner.saw("malformed", str(error))

    def _parts(self) -> bool:
        for part in self._parser.parts():
            if isinstance(part, Head):
                self._head, self._body = part, b""
                self.headed(part)
            elif isinstance(part, Data):
                if len(self._body) <= MAX_BUFFERED_BODY < len(self._body) + len(part.data):
                    self._owner.begins(self._head)
                self._body += part.data
            elif self._head is not None:
                head, self._head = self._head, None
                self._owner.message(self, head, self._body)
                return self._parser.buffered > 0
        return False

    def headed(self, head: Head) -> None:
        """The head of a message has come."""

    @property
    def half(self) -> bool:
        """More is to come of a message that has begun."""
        return self._head is not None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self._head is not None and self._head.until_close and isinstance(reason.value, ConnectionDone):
            head, self._head = self._head, None
            self._owner.message(self, head, self._body)
        self._owner.lost(self)


def shown(body: bytes) -> str:
    """A body as it is seen: a long one of a single letter by its length."""
    return f"{len(body)} bytes" if len(body) > 10_000 and len(set(body)) == 1 else body.decode("latin-1")


_ASK = "Request-Class: read\r\nX-Plan: basic\r\nX-IO: volume=1,units=1,shard=0\r\nRequest-Id: rude\r\n"
_PUT = "PUT /api HTTP/1.1\r\n" + _ASK
RUDE = {
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
    "bare": "GET /api HTTP/1.1\n" + _ASK.replace("\r\n", "\n") + "\n\r\n\r\n",
    "class": f"GET /api HTTP/1.1\r\n{_ASK.replace('read', 'reads')}\r\n",
    "plan": f"GET /api HTTP/1.1\r\n{_ASK.replace('basic', 'gold')}\r\n",
    "deadline": f"GET /api HTTP/1.1\r\n{_ASK}Request-Timeout-Ms: soon\r\n\r\n",
    "nameless": "GET /api HTTP/1.1\r\nRequest-Class: read\r\nX-Plan: basic\r\n\r\n",
    "method": f"TRACE /api HTTP/1.1\r\n{_ASK}\r\n",
}


class ClientConnection(HttpConnection):
    """A client's side of a connection; what it writes is entered in a book."""

    book: RequestBook | None = None

    def write(self, data: bytes) -> None:
        if self.book is not None:
            self.book.wrote(data)
        self.link.write(data)

    def headed(self, head: Head) -> None:
        if self.book is not None and head.status >= 200:
            self.book.headed(head)


class HttpClient(Peer):
    """A client of the head, with one connection, opened when it first sends."""

    def __init__(self, reactor: Any, name: str, address: Callable[[], tuple[str, int]]) -> None:
        super().__init__(name)
        self._reactor, self._address = reactor, address
        self._connection: ClientConnection | None = None
        self._unsent: list[bytes] = []
        self._stalled = False

    def opened(self, connection: ClientConnection) -> None:
        self._connection = connection
        if self.judge is not None:
            connection.book = RequestBook(self.judge, self.name, lambda: not self._stalled)
        if self._stalled:
            connection.link.pauseProducing()
        for data in self._unsent:
            connection.write(data)
        self._unsent = []

    def lost(self, connection: ClientConnection) -> None:
        self._connection = None
        if connection.book is not None:
            connection.book.lost(getattr(connection.link, "delivered", None))
        self.saw("broken" if connection.half else "closed")

    def begins(self, head: Head) -> None:
        self.saw("begins", str(head.status))

    def message(self, connection: ClientConnection, head: Head, body: bytes) -> None:
        if head.status < 200:
            return
        if connection.book is not None:
            connection.book.answered()
        extra = [f"retry-after={head.headers['retry-after']}"] if "retry-after" in head.headers else []
        self.saw(str(head.status), shown(body), *extra)

    def _write(self, data: bytes) -> None:
        if self._connection is not None:
            self._connection.write(data)
            return
        self._unsent.append(data)
        if len(self._unsent) == 1:
            made = dial(self._reactor, self._address(), 5.0, lambda: ClientConnection(self, True))
            made.addErrback(lambda failure: self.saw("refused"))

    def send_request(self, words: Words) -> None:
        """request ID [class= plan= units= shard= hosts= volume= block= timeout= retry= body= large= target=]

        large=BYTES is the length of a body that comes in parts, 0 where it comes in chunks.
        """
        has = {"class": "read", "plan": "basic", "units": "1", "shard": "0", "hosts": "1", "volume": "1",
               "block": "1", "timeout": "", "body": "", "retry": "", "large": "",
               "target": "/api", "expect": ""} | options(words[1:])  # fmt: skip
        body = has["body"].encode()
        # The module takes less time than the class has for a client's repeat, whose aim is partly gone.
        has["timeout"] = has["timeout"] or ("5000" if has["class"] == "write" else "3000")
        method = "PUT" if body or has["large"] else "GET"
        lines = [
            f"{method} {has['target']} HTTP/1.1", "Host: app.svc", f"Request-Id: {words[0]}",
            f"Request-Class: {has['class']}", f"X-Plan: {has['plan']}", f"Cookie: block={has['block']}",
            f"Request-Timeout-Ms: {has['timeout']}",
            f"X-IO: volume={has['volume']},units={has['units']},shard={has['shard']},hosts={has['hosts']}",
            *([f"Content-Length: {len(body)}"] if body else []),
            *([f"Content-Length: {has['large']}"] if int(has["large"] or 0) else []),
            *(["Transfer-Encoding: chunked"] if has["large"] == "0" else []),
            *(["Expect: 100-continue"] if has["expect"] else []),
            *(["Client-Retry: 1"] if has["retry"] else []),
        ]  # fmt: skip
        self._write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def send_part(self, words: Words) -> None:
        """part BYTES [chunk]: more of a large body"""
        data = b"p" * int(words[0])
        self._write(b"%x;part\r\n%b\r\n" % (len(data), data) if "chunk" in words else data)

    def send_end(self, words: Words) -> None:
        """end: of a body in chunks"""
        self._write(b"0\r\nX-Trailer: t\r\n\r\n")

    def send_connect(self, words: Words) -> None:
        """Connect and say nothing."""
        self._write(b"")

    def send_rude(self, words: Words) -> None:
        """rude KIND: what no client should send; see RUDE"""
        self._write(RUDE[words[0]].encode("latin-1"))

    def send_stall(self, words: Words) -> None:
        """Read nothing more of what comes."""
        self._stalled = True
        if self._connection is not None:
            self._connection.link.pauseProducing()

    def send_read(self, words: Words) -> None:
        """Read on."""
        self._stalled = False
        if self._connection is not None:
            self._connection.link.resumeProducing()

    def send_get(self, words: Words) -> None:
        self._write(f"GET {words[0]} HTTP/1.1\r\nHost: app.svc\r\n\r\n".encode())

    def send_raw(self, words: Words) -> None:
        """raw TEXT [times]: with backslash escapes"""
        data = words[0].encode().decode("unicode_escape").encode("latin-1")
        self._write(data * int(words[1] if len(words) > 1 else 1))

    def close(self, words: Words) -> None:
        if self._connection is not None:
            if self._connection.book is not None:
                self._connection.book.gone()
            self._connection.link.abortConnection()


class Caller(HttpClient):
    """One who operates the head, at its second address."""

    def send_call(self, words: Words) -> None:
        """call METHOD PATH: on a connection of its own, which the answer ends"""
        self._write(f"{words[0]} {words[1]} HTTP/1.1\r\nHost: head\r\nContent-Length: 0\r\n\r\n".encode())


GOOD = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
SPOILT = {
    "noise": "\x00\xff\x16\x03\x01\r\n\r\n\x80" * 8,
    "head": "HTTP/1.1 200 OK\r\n" + "X-Pad: pppppppppppp\r\n" * 1000,
    "length": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole",
    "negative": "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nwhole",
    "chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff0\r\nwhole",
    "huge": "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + "w" * 4096,
    "endless": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffff\r\n" + "w" * 4096,
    "short": "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwhole",
    "switch": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + GOOD,
    "hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 40 + GOOD,
    # Good ones, with more than belongs to them.
    "copy": GOOD + GOOD,
    "hint": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + GOOD,
    "load": GOOD.replace("\r\n", '\r\nServer-Load: {"\r\nX-Volume-Use: =,=\r\n', 1),
}


class HttpListener(Listener):
    """A listener on the platform's wire: connections hand it whole requests; it keeps them in ``open``."""

    def accept(self) -> HttpConnection:
        return HttpConnection(self, False)

    def opened(self, connection: HttpConnection) -> None:
        self.open.append(connection)

    def lost(self, connection: HttpConnection) -> None:
        self.open.remove(connection)

    def begins(self, head: Head) -> None:
        """A large request has begun to come; only some listeners look."""

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        raise NotImplementedError


class HttpBrick(HttpListener):
    """A brick.  It answers what the scenario says, when it says it; until then a request is held."""

    def __init__(self, reactor: Any, name: str, shard: int) -> None:
        self.shard = shard
        self.held: dict[str, HttpConnection] = {}
        self.last: dict[str, HttpConnection] = {}  # where each request came by
        super().__init__(reactor, name)

    def lost(self, connection: HttpConnection) -> None:
        super().lost(connection)
        for name in [name for name, held in self.held.items() if held is connection]:
            del self.held[name]
            self.saw("gone", name)
        if connection.half:
            self.saw("broken")

    def begins(self, head: Head) -> None:
        self.saw("begins", head.headers.get("request-id", "-"), head.method, head.target)

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        name = head.headers.get("request-id", "-")
        self.held[name] = self.last[name] = connection
        self.saw("request", name, head.method, head.target, shown(body))

    def send_begin(self, words: Words) -> None:
        """begin ID [BYTES]: the head of an answer that comes in parts; without a length in chunks"""
        how = f"Content-Length: {words[1]}" if len(words) > 1 else "Transfer-Encoding: chunked"
        self.held[words[0]].link.write(f"HTTP/1.1 200 OK\r\n{how}\r\n\r\n".encode())

    def send_part(self, words: Words) -> None:
        """part ID BYTES [chunk]: more of it"""
        data = b"p" * int(words[1])
        self.held[words[0]].link.write(b"%x\r\n%b\r\n" % (len(data), data) if "chunk" in words else data)

    def send_end(self, words: Words) -> None:
        """end ID [close]: its end, the last chunk or that of the connection"""
        link = self.held.pop(words[0]).link
        if "close" in words:
            link.loseConnection()
        else:
            link.write(b"0\r\n\r\n")

    def send_stall(self, words: Words) -> None:
        """Read nothing more of what comes."""
        for connection in self.open:
            connection.link.pauseProducing()

    def send_read(self, words: Words) -> None:
        """Read on."""
        for connection in self.open:
            connection.link.resumeProducing()

    def send_answer(self, words: Words) -> None:
        """answer ID STATUS [BODY] [not-started] [close]"""
        flags = [word for word in words[2:] if word in ("not-started", "close")]
        body = "".join(word for word in words[2:3] if word not in flags).encode()
        connection = self.held.pop(words[0])
        head = [f"HTTP/1.1 {words[1]} X", f"Content-Length: {len(body)}"]
        head += ["Not-Started: 1"] * ("not-started" in flags) + ["Connection: close"] * ("close" in flags)
        connection.link.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        if "close" in flags:
            connection.link.loseConnection()

    def send_raw(self, words: Words) -> None:
        """raw ID TEXT: on that request's connection, which is held on"""
        self.held[words[0]].link.write(words[1].encode().decode("unicode_escape").encode("latin-1"))

    def send_big(self, words: Words) -> None:
        """big ID BYTES: a good answer of that size"""
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {words[1]}\r\n\r\n"
        self.held.pop(words[0]).link.write(head.encode() + b"b" * int(words[1]))

    def send_spoil(self, words: Words) -> None:
        """spoil ID KIND: a spoilt answer, or a good one with more than belongs to it; see SPOILT"""
        self.held.pop(words[0]).link.write(SPOILT[words[1]].encode("latin-1"))

    def send_more(self, words: Words) -> None:
        """more ID TEXT: on the connection that the request came by, after its answer"""
        self.last[words[0]].link.write(words[1].encode().decode("unicode_escape").encode("latin-1"))

    def close(self, words: Words) -> None:
        """close NAME: the brick dies; close NAME ID: the one request's connection breaks"""
        if words:
            self.held.pop(words[0]).link.abortConnection()
        else:
            super().close(words)


class Directory(HttpListener):
    """Discovery: a watch gets what changes, and an empty line every 2 s."""

    def __init__(self, reactor: Any, name: str, moved: Callable[[str], None]) -> None:
        self.version = 1
        self._moved = moved  # tells the daemon
        self.lines: dict[str, dict[str, Any]] = {}
        self.watches: list[HttpConnection] = []
        self.beating, self.mute = True, False
        super().__init__(reactor, name)
        reactor.callLater(2.0, self._beat)

    def lost(self, connection: HttpConnection) -> None:
        super().lost(connection)
        if connection in self.watches:
            self.watches.remove(connection)

    def listing(self, full: bool, only: str = "") -> dict[str, Any]:
        members = [line for name, line in self.lines.items() if not only or name == only]
        return {"revision": self.version, "complete": full, "members": members}

    def add(self, brick: Any, phase: str = "Ready", up_since_ms: int = 0) -> None:
        self.lines[brick.name] = {
            "id": brick.name, "host_port": brick.address, "locality": "ruum-1", "flavor": "node-2c",
            "cell": brick.shard, "phase": phase, "size": 1.0, "up_since_ms": up_since_ms,
        }  # fmt: skip

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        if "follow=1" in head.target:
            self.saw("watch", head.target.partition("since=")[2])
            if self.mute:
                return
            self.watches.append(connection)
            connection.link.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(connection, json.dumps(self.listing(True)))
        else:
            text = json.dumps(self.listing(True)).encode()
            connection.link.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)

    def _chunk(self, connection: HttpConnection, text: str) -> None:
        connection.link.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text.encode()))

    def _move(self, version: int) -> None:
        """Another service takes over at its own address; the old one closes what is open 1.5 s later."""
        self.port.stopListening()
        for connection in list(self.open):
            self._reactor.callLater(1.5, lambda link: link.abortConnection(), connection.link)
        self.version, self.address = version, ""
        self.listen()
        self._moved(self.address)

    def _beat(self) -> None:
        self._reactor.callLater(2.0, self._beat)
        if self.beating:
            for watch in self.watches:
                self._chunk(watch, "")

    def send(self, words: Words) -> None:
        """BRICK PHASE [up=MS]: a change; silence: it vanishes; mute: it answers no more calls; cut: all
        watches end; move [revision=N]"""
        if words[0] == "mute":
            self.mute = True
        elif words[0] == "move":
            self._move(int(options(words).get("revision", self.version)))
        elif words[0] == "silence":
            self.beating = False
        elif words[0] == "cut":
            for connection in list(self.open):
                connection.link.abortConnection()
        elif words[0] not in self.lines:
            raise ScenarioError(f"the list has no {words[0]!r}")
        else:
            line = self.lines[words[0]]
            line["phase"] = words[1]
            line["up_since_ms"] = int(options(words).get("up", line["up_since_ms"]))
            self.version += 1
            for watch in self.watches if self.beating else []:
                self._chunk(watch, json.dumps(self.listing(False, words[0])))
