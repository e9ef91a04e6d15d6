"""Keeps the gateway's own trace of the moment of a violation, beside its log."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from ...http.messages import Head
from ...net import dial
from ..peers import HttpConnection

HOST = "127.0.0.1"
CONNECT_S = 1.0
MAX_KEPT = 10  # traces of one gateway


class TraceKeeper:
    """Fetches the trace of a gateway's processes from their management addresses.

    :param folder: where the answers are kept, in files that are named for the request.
    :param ports: returns the management ports of its processes; those without a process are skipped.
    """

    def __init__(self, reactor: Any, folder: Path, ports: Callable[[], list[int]]) -> None:
        self._reactor, self._folder, self._ports = reactor, folder, ports
        self._kept = 0

    def keep(self, subject: str) -> None:
        """Keep the present steps of a request, and the latest of all, from each process."""
        if self._kept >= MAX_KEPT:
            return
        self._kept += 1
        for port in self._ports():
            self._fetch(port, f"/trace/{subject}", self._folder / f"trace-{self._kept}-{port}-{subject}")
            self._fetch(port, "/trace", self._folder / f"trace-{self._kept}-{port}-all")

    def _fetch(self, port: int, target: str, path: Path) -> None:
        answer = _TraceAnswer(path)
        dialled = dial(self._reactor, (HOST, port), CONNECT_S, lambda: HttpConnection(answer, answers=True))
        text = f"GET {target} HTTP/1.1\r\nHost: head\r\nContent-Length: 0\r\n\r\n".encode()
        dialled.addCallbacks(lambda connection: connection.link.write(text), lambda _: None)


class _TraceAnswer:
    """The owner of one management connection: writes the answer to a file."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def opened(self, connection: HttpConnection) -> None:
        """Nothing to do."""

    def lost(self, connection: HttpConnection) -> None:
        """Nothing to do."""

    def begins(self, head: Head) -> None:
        """Nothing to do: the answer is kept once it is complete."""

    def saw(self, *words: str) -> None:
        """Nothing to do: a malformed answer is no trace."""

    def message(self, connection: HttpConnection, head: Head, body: bytes) -> None:
        """Keep the answer."""
        self._path.write_bytes(body)
        connection.link.loseConnection()
