"""Time is monotonic in one place: the reactor that a head is given, and nothing else reads the wall clock."""

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
DAEMON = ("core", "http", "iscsi", "fleet")  # and what stands beside them
WALL = {"time", "time_ns", "ctime", "localtime", "gmtime", "strftime", "now", "utcnow", "today"}
# The offset that makes log lines resemble the time of day.
ALLOWED = {("core/clock.py", "time_ns"), ("core/clock.py", "time")}


def wall_reads(path: Path) -> set[str]:
    """The names by which a module may ask for wall time."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            module, name = node.value.id, node.attr
            if (module == "time" and name in WALL) or (module in ("datetime", "date") and name in WALL):
                found.add(name)
            if name == "CLOCK_REALTIME":
                found.add(name)
        if isinstance(node, ast.ImportFrom) and node.module == "time":
            found |= {alias.name for alias in node.names} & WALL
    return found


def test_nothing_in_the_daemon_reads_wall_time() -> None:
    modules = [path for part in DAEMON for path in (PACKAGE / part).rglob("*.py")]
    modules += PACKAGE.glob("*.py")
    assert len(modules) > 30
    reads = {(str(path.relative_to(PACKAGE)), name) for path in modules for name in wall_reads(path)}
    assert reads <= ALLOWED


def fresh_reactor() -> Any:
    make: Any = EPollReactor
    return make()


def test_a_reactor_that_goes_by_the_wall_clock_is_refused() -> None:
    reactor = fresh_reactor()
    with pytest.raises(WallClockReactor, match="use_monotonic_time"):
        ReactorClock(reactor)
    use_monotonic_time(reactor)
    assert abs(reactor.seconds() - time.monotonic()) < 1.0
    ReactorClock(reactor)


def test_a_reactor_that_has_timed_calls_by_the_wall_clock_is_refused() -> None:
    reactor = fresh_reactor()
    reactor.callLater(1.0, lambda: None)
    with pytest.raises(WallClockReactor, match="before the first"):
        use_monotonic_time(reactor)


def test_a_reactor_with_a_clock_of_its_own_is_left_alone() -> None:
    reactor = fresh_reactor()
    reactor.seconds = lambda: 7.0
    use_monotonic_time(reactor)
    assert reactor.seconds() == 7.0
