"""Replacing a running process: the next one of the same head is handed the clients' address.

The listening socket itself is passed (SCM_RIGHTS) over a Unix socket in the folder that both share, so that
both have one accept queue and the end of the first resets nothing.  What is said is JSON, a line each: the
first process says what the next is to know, the next says when it serves, and both tell what operators ask.
"""

from __future__ import annotations

import json
import os
import socket
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.endpoints import UNIXClientEndpoint
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from .core import ports
from .core.ports import Clock, Logger
from .net import Connection
from .state import Call

VERSION = 1
SILENT_US = 4_000_000  # how long the running process may take to hand over
MOST_BYTES = 4 * 1024 * 1024  # of one line
LONGEST_PATH = 100  # a Unix socket's address holds 108 bytes


@dataclass(slots=True, frozen=True)
class Inheritance:
    """What the running process hands to the next."""

    fd: int
    known: dict[str, Any]


class Owner(Protocol):
    """The head, as its handover sees it."""

    def bequeath(self) -> tuple[int, dict[str, Any]] | None: ...
    def beside(self, on: bool) -> None: ...
    def superseded(self, on: bool) -> None: ...
    def follow(self, call: Call) -> None: ...
    def others(self, clients: int) -> None: ...
    def take(self, fds: list[int], told: dict[str, Any]) -> None: ...


@implementer(IFileDescriptorReceiver)
class Link(Connection):
    """Between two processes of one head; it lasts as long as both do."""

    def __init__(self, handover: Handover, heir: bool) -> None:
        self._handover, self.heir = handover, heir  # heir: this process is the next one
        self._text = bytearray()
        self.fds: deque[int] = deque()  # came, and nobody has taken them yet
        self.passed: deque[int] = deque()  # ours, until the other has them
        self.serves = False  # the other has said that it serves

    def connectionMade(self) -> None:
        self._handover.linked(self)

    def fileDescriptorReceived(self, descriptor: int) -> None:
        self.fds.append(descriptor)

    def pass_on(self, fds: list[int], **what: Any) -> None:
        """Hand descriptors over; the line says what they are, and ours are closed when the other has them."""
        for fd in fds:
            self.link.sendFileDescriptor(fd)
        self.passed += fds
        self.say(**what)

    def dataReceived(self, data: bytes) -> None:
        self._text += data
        while (end := self._text.find(b"\n")) >= 0:
            line = bytes(self._text[:end])
            del self._text[: end + 1]
            try:
                self._handover.heard(self, json.loads(line))
            except (ValueError, LookupError, TypeError, AttributeError) as error:
                self._handover.log.error("peer_malformed", error=repr(error))
                self.link.abortConnection()
                return
        if len(self._text) > MOST_BYTES:
            self.link.abortConnection()

    def say(self, **what: Any) -> None:
        self.link.write(json.dumps(what).encode() + b"\n")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        for fd in (*self.fds, *self.passed):
            os.close(fd)
        self.fds.clear()
        self.passed.clear()
        self._handover.unlinked(self)


class _Links(Factory):
    noisy = False

    def __init__(self, handover: Handover, heir: bool) -> None:
        self._handover, self._heir = handover, heir

    def buildProtocol(self, addr: Any) -> Link:
        return Link(self._handover, self._heir)


class Handover:
    """The Unix socket of one process, and its links to the one before and the one after."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        log: Logger,
        folder: str | None,
        listen: tuple[str, int],
        owner: Owner,
    ) -> None:
        self._reactor, self._clock, self.log, self._owner = reactor, clock, log, owner
        self._folder = Path(folder) if folder else None
        self._base = f"gaugesail-{listen[0]}-{listen[1]}"
        self._name = f"{self._base}.{os.urandom(6).hex()}.sock"
        self._folder_fd: int | None = None
        self._port: Any = None
        self._links: list[Link] = []
        self._asked: Deferred[Inheritance | None] | None = None
        self._late: ports.DelayedCall | None = None
        self._closed = False

    def _path(self, name: str) -> str:
        assert self._folder is not None
        path = str(self._folder / name)
        if len(path.encode()) <= LONGEST_PATH:
            return path
        if self._folder_fd is None:
            self._folder_fd = os.open(self._folder, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._folder_fd}/{name}"

    # ---- the next process ----

    def ask(self) -> Deferred[Inheritance | None]:
        """Ask the running process for its address; None where there is none that answers."""
        if self._folder is None or not os.path.lexists(self._folder / f"{self._base}.sock"):
            return succeed(None)
        asked: Deferred[Inheritance | None] = Deferred()
        self._asked = asked
        self._late = self._clock.call_later(SILENT_US, lambda: self._answer(None, "silent"))
        try:
            endpoint: Any = UNIXClientEndpoint
            made = endpoint(self._reactor, self._path(f"{self._base}.sock")).connect(_Links(self, True))
        except OSError as error:
            self._answer(None, repr(error))
            return asked
        made.addErrback(lambda failure: self._answer(None, repr(failure.value)))
        return asked

    def _answer(self, found: Inheritance | None, why: str = "") -> None:
        asked, self._asked = self._asked, None
        if asked is None:
            return
        if self._late is not None and self._late.active():
            self._late.cancel()
        if found is None:
            self.log.info("no_process_before", why=why)
            for link in list(self._links):
                link.link.abortConnection()
        asked.callback(found)

    def serving(self) -> None:
        """This process serves: the one before hears of it, and the one after finds us."""
        for link in self._links:
            if link.heir:
                link.say(serving=True)
        if self._folder is None or self._closed:
            return
        # Whatever is wrong with the folder keeps nobody from serving; only the next process can't take over.
        try:
            self._port = self._reactor.listenUNIX(self._path(self._name), _Links(self, False), mode=0o600)
            latest, fresh = self._folder / f"{self._base}.sock", self._folder / f"{self._name}.link"
            fresh.symlink_to(self._name)
            stale = self._folder / os.readlink(latest) if latest.is_symlink() else None
            fresh.replace(latest)
            if stale is not None and not self._links:  # of a process that was killed
                stale.unlink(missing_ok=True)
        except Exception as error:  # Twisted raises errors of its own for what the system refuses
            self.log.warning("no_handover", error=repr(error))

    # ---- both ----

    @property
    def next(self) -> Link | None:
        """The next process, once it serves."""
        return next((link for link in self._links if link.serves and not link.heir), None)

    @property
    def passing(self) -> bool:
        """The next process has not yet said that it has all that was handed over."""
        return any(link.passed for link in self._links)

    def pass_on(self, fds: list[int], told: dict[str, Any]) -> None:
        """Hand a large answer over, as its client and its brick."""
        assert self.next is not None
        self.next.pass_on(fds, stream=told)

    def count(self, clients: int) -> None:
        """Tell the next process how many places clients still hold in this one: the rest is its own."""
        if (link := self.next) is not None:
            link.say(clients=clients)

    def tell(self, call: Call) -> None:
        """Tell the other process what an operator has asked of this one."""
        node = call.node.decode(errors="replace") if call.node is not None else None
        for link in self._links:
            link.say(node=node, on=call.on)

    def linked(self, link: Link) -> None:
        if link.heir:
            if self._asked is None:  # it came too late: we have begun without it
                link.link.abortConnection()
            else:
                self._links.append(link)
            return
        # One at a time: what is handed to the next is not handed to another beside it.
        legacy = None if self._links or self._closed else self._owner.bequeath()
        if legacy is None:
            link.link.loseConnection()
            return
        self._links.append(link)
        fd, known = legacy
        link.link.sendFileDescriptor(fd)
        link.say(version=VERSION, known=known)
        self._owner.beside(True)

    def heard(self, link: Link, said: dict[str, Any]) -> None:
        if "known" in said:
            if said["version"] != VERSION or not link.fds or self._asked is None:
                raise ValueError("not what this version can take over")
            self._owner.beside(True)
            self._answer(Inheritance(link.fds.popleft(), said["known"]))
        elif "stream" in said:
            fds = [link.fds.popleft(), link.fds.popleft()]
            link.say(took=len(fds))
            self._owner.take(fds, said["stream"])
        elif "took" in said:
            for _ in range(int(said["took"])):
                os.close(link.passed.popleft())
        elif "serving" in said:
            link.serves = True
            self._owner.superseded(True)
        elif "clients" in said:
            self._owner.others(int(said["clients"]))
        elif "node" in said:
            node = said["node"]
            self._owner.follow(Call(str(node).encode() if node is not None else None, said["on"] is True))

    def unlinked(self, link: Link) -> None:
        if link not in self._links:
            return
        self._links.remove(link)
        if self._closed:
            return
        self._answer(None, "it went away")
        self._owner.beside(bool(self._links))
        if link.serves and not link.heir:
            self._owner.superseded(False)  # the next one died: this one goes on

    def close(self) -> None:
        """This process ends; the socket's own name goes with it, and the link where it is still ours."""
        self._closed = True
        for link in list(self._links):
            link.link.loseConnection()
        if self._port is not None and self._folder is not None:
            maybeDeferred(self._port.stopListening).addErrback(self._not_removed)
            try:
                latest = self._folder / f"{self._base}.sock"
                if latest.is_symlink() and os.readlink(latest) == self._name:
                    latest.unlink()
            except OSError as error:  # the next process finds a link to nobody, and listens by itself
                self.log.warning("handover_not_removed", error=repr(error))

    def _not_removed(self, failure: Failure) -> None:
        self.log.warning("handover_not_removed", error=repr(failure.value))


def adopt(reactor: Any, fd: int, factory: Any) -> Any:
    """The listening port of a descriptor that was handed over; it does not accept yet."""
    port = reactor.adoptStreamPort(fd, socket.AF_INET, factory)
    port.stopReading()
    os.close(fd)  # the port has its own
    return port
