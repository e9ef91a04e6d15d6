"""How long a client may take to read what was written to it."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from gaugesail.http.client_sweep import sweep
from gaugesail.output_progress import UNREAD_US

from ..support.live_head import gateway_rig


class ClosingClient:
    """A connection that has been closed, but whose client has not read all of it."""

    lingering = False
    closing = True
    blocked_since_us = 0

    def __init__(self, read_at_us: int) -> None:
        self.aborted = False
        self.link = SimpleNamespace(abortConnection=self._abort)
        self.output = SimpleNamespace(full=False, sample=lambda link: read_at_us, is_unread=False)
        self.owner = SimpleNamespace(engine=SimpleNamespace(counts=Counter()), held=False)

    def _abort(self) -> None:
        self.aborted = True


@pytest.mark.parametrize(("read_at_us", "aborted"), [(0, True), (UNREAD_US, False)])
def test_a_closed_connection_is_aborted_when_its_client_has_stopped_reading(
    read_at_us: int, aborted: bool
) -> None:
    """Guards against an end that is cut off while the client still reads what its kernel holds."""
    client: Any = ClosingClient(read_at_us)
    sweep(client, UNREAD_US + 1)
    assert client.aborted is aborted


def test_a_request_that_takes_too_long_is_ended_with_its_reason_in_the_log() -> None:
    with gateway_rig() as rig:
        client = rig.client()
        client.send(rig.request("a", "write", body=b"body")[:-2])
        rig.pass_time(3.0)
        assert client.read().startswith(b"HTTP/1.1 408 ")
        line = next(line for line in rig.log.getvalue().splitlines() if "request_too_slow" in line)
        assert "has_head is_answered=false body_bytes=2 buffered=0" in line
