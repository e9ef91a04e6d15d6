"""Signals that follow SIGTERM, up to the last moment of a process, do not change its end."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest

from ..support.kept_clients import EndingGateway

ENDED_S = 2.0


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_up_to_the_exit_do_not_kill_a_process_that_ends(
    number: signal.Signals, tmp_path: Path
) -> None:
    """Guards against the default action of a signal while the interpreter shuts down."""
    gateway = EndingGateway(tmp_path, 0.3)
    try:
        gateway.old.send_signal(signal.SIGTERM)
        until = time.monotonic() + ENDED_S
        while gateway.old.poll() is None and time.monotonic() < until:
            gateway.old.send_signal(number)
            time.sleep(0.0005)
        assert gateway.old.poll() == 0
    finally:
        gateway.close()
