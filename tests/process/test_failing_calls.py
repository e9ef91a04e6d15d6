"""System calls fail for a moment, as their manual pages document: no request is lost to it."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from gaugesail.rehearsal.faults.shim import DOCUMENTED, SHORT, Call
from tests.support.faulty_process import ServingNode, answered_late, faulty

# Errors of a connection itself, after which it has ended.
ENDED = {errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EPIPE}
TIMES = (1, 3, 20)


CALLS = (Call.ACCEPT, Call.SOCKET, Call.CONNECT, Call.RECV, Call.SEND, Call.WAIT)


@pytest.mark.parametrize("call", CALLS, ids=lambda call: call.name)
def test_requests_are_answered_while_a_call_fails(call: Call, tmp_path: Path, library: Path) -> None:
    wrong: dict[str, list[str]] = {}
    with faulty(tmp_path, library, [ServingNode(0)]) as head:
        for error in DOCUMENTED[call]:
            if call in (Call.RECV, Call.SEND) and error in ENDED:
                continue
            for times in TIMES:
                head.faults.fail(call, error, times)
                answers = [head.ask(f"{call}-{error}-{times}-{number}", 0, 1500) for number in range(4)]
                if late := answered_late(answers):
                    wrong[f"{'short' if error == SHORT else errno.errorcode[error]} x {times}"] = late
                head.faults.clear()
        assert head.faults.hits > 0
        assert head.process.poll() is None and "raised" not in head.text, head.text
    assert not wrong
