"""Temporary errors of system calls, as their manual pages document, lose no request."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from gaugesail.rehearsal.faults.shim import DOCUMENTED, SHORT, Call
from tests.support.faulty_process import ServingNode, answered_late, faulty

# Errors after which the connection itself has ended.
CONNECTION_ENDED = {errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EPIPE}
TIMES = (1, 3, 20)


CALLS = (Call.ACCEPT, Call.SOCKET, Call.CONNECT, Call.RECV, Call.SEND, Call.WAIT)


@pytest.mark.parametrize("call", CALLS, ids=lambda call: call.name)
def test_requests_are_answered_while_a_call_fails(call: Call, tmp_path: Path, library: Path) -> None:
    late_answers: dict[str, list[str]] = {}
    with faulty(tmp_path, library, [ServingNode(0)]) as gateway:
        for error in DOCUMENTED[call]:
            if call in (Call.RECV, Call.SEND) and error in CONNECTION_ENDED:
                continue
            for times in TIMES:
                gateway.faults.fail(call, error, times)
                answers = [
                    gateway.send_request(f"{call}-{error}-{times}-{number}", 0, 1500) for number in range(4)
                ]
                if late := answered_late(answers):
                    late_answers[f"{'short' if error == SHORT else errno.errorcode[error]} x {times}"] = late
                gateway.faults.clear()
        assert gateway.faults.hits > 0
        assert gateway.process.poll() is None and "raised" not in gateway.text, gateway.text
    assert not late_answers
