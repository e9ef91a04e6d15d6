"""Writes the long answers of a soak's nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...net import hung_up
from .judge import Arrival, SentRequest, SoakJudge
from .long_answers import Framing, LongAnswer

if TYPE_CHECKING:
    from .nodes import SoakNode

CUT_OFF_DELAY_S = 0.4  # until the client's side has noticed the same end


class LongAnswerWriter:
    """Writes one answer from a node, and reports an end in mid answer that the gateway has made."""

    def __init__(
        self, reactor: Any, node: SoakNode, judge: SoakJudge, connection: Any, request: SentRequest,
        arrival: Arrival,
    ) -> None:  # fmt: skip
        assert request.long_answer is not None
        self._reactor, self._node, self._judge = reactor, node, judge
        self._connection, self._request, self._arrival = connection, request, arrival
        self._form: LongAnswer = request.long_answer
        self._body = self._form.body(request.name)
        self._written = 0

    def begin(self) -> None:
        """Write the head when its time has come."""
        self._later(self._form.head_after_s, self._write_head)

    def _later(self, seconds: float, call: Any, *args: Any) -> None:
        self._reactor.callLater(seconds, call, *args)

    @property
    def _is_open(self) -> bool:
        return self._connection in self._node.open

    def _write(self, data: bytes) -> None:
        if self._node.silent:  # it has vanished: nobody can finish its answers
            self._request.excused = True
        elif self._is_open:
            self._connection.link.write(data)

    def _write_head(self) -> None:
        # A node that accepts late may read a request whose attempt was given up before.
        if self._is_open and not hung_up(self._connection.link):
            self._arrival.answer_began_at = self._reactor.seconds()
            self._write(self._form.head())
            self._write_lump(0)

    def _write_lump(self, number: int) -> None:
        if number == len(self._form.lumps):
            self._finish()
            return
        self._later(self._form.lumps[number].rest_s, self._write_after_rest, number)

    def _write_after_rest(self, number: int) -> None:
        if not self._is_open:
            self._later(
                CUT_OFF_DELAY_S, self._judge.long_answer_cut_off, self._request, self._arrival, self._written
            )
            return
        size = self._form.lumps[number].size
        data = self._body[self._written : self._written + size]
        self._written += size
        if data:
            is_chunked = self._form.framing is Framing.CHUNKED
            self._write(b"%x\r\n%b\r\n" % (len(data), data) if is_chunked else data)
        self._write_lump(number + 1)

    def _finish(self) -> None:
        self._arrival.ended = True
        self._request.answer_written_at = self._reactor.seconds()
        if self._form.framing is Framing.CHUNKED:
            self._write(b"0\r\n\r\n")
        if self._form.framing is Framing.CLOSE and self._is_open and not self._node.silent:
            self._connection.link.loseConnection()
