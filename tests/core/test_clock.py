"""All gateway code uses the monotonic time of its reactor; nothing reads the wall clock after startup."""

from __future__ import annotations

import ast
import time
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.epollreactor import EPollReactor

import gaugesail
from gaugesail.core.clock import ReactorClock, WallClockReactor, use_monotonic_time

PACKAGE = Path(gaugesail.__file__).parent
GATEWAY_PACKAGES = ("core", "http", "iscsi", "fleet")  # and the modules at the root
WALL_CLOCK = {"time", "time_ns", "ctime", "localtime", "gmtime", "strftime", "now", "utcnow", "today"}
# The offset of the monotonic clock to the time of day, for log lines.
ALLOWED = {("core/clock.py", "time_ns"), ("core/clock.py", "time")}


def wall_reads(path: Path) -> set[str]:
    """The names of wall-clock functions that a module uses."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            module, name = node.value.id, node.attr
            if (module == "time" and name in WALL_CLOCK) or (
                module in ("datetime", "date") and name in WALL_CLOCK
            ):
                found.add(name)
            if name == "CLOCK_REALTIME":
                found.add(name)
        if isinstance(node, ast.ImportFrom) and node.module == "time":
            found |= {alias.name for alias in node.names} & WALL_CLOCK
    return found


def test_no_gateway_module_reads_the_wall_clock() -> None:
    modules = [path for part in GATEWAY_PACKAGES for path in (PACKAGE / part).rglob("*.py")]
    modules += PACKAGE.glob("*.py")
    assert len(modules) > 30
    reads = {(str(path.relative_to(PACKAGE)), name) for path in modules for name in wall_reads(path)}
    assert reads <= ALLOWED


def new_reactor() -> Any:
    make: Any = EPollReactor
    return make()


def test_a_reactor_that_uses_the_wall_clock_is_rejected() -> None:
    reactor = new_reactor()
    with pytest.raises(WallClockReactor, match="use_monotonic_time"):
        ReactorClock(reactor)
    use_monotonic_time(reactor)
    assert abs(reactor.seconds() - time.monotonic()) < 1.0
    ReactorClock(reactor)


def test_a_reactor_with_calls_scheduled_by_the_wall_clock_is_rejected() -> None:
    reactor = new_reactor()
    reactor.callLater(1.0, lambda: None)
    with pytest.raises(WallClockReactor, match="before the first"):
        use_monotonic_time(reactor)


def test_a_reactor_with_another_time_source_is_unchanged() -> None:
    reactor = new_reactor()
    reactor.seconds = lambda: 7.0
    use_monotonic_time(reactor)
    assert reactor.seconds() == 7.0
