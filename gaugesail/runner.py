"""Runs one gateway in this process: signals, the reactor's clock, the configuration, the exit code."""

from __future__ import annotations

import gc
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import maybeDeferred
from twisted.logger import globalLogBeginner

from . import config as configuration
from .app import PlatformGateway
from .core.clock import ReactorClock, boot_ns, use_monotonic_time
from .core.ports import Logger
from .service import Service

EXIT_BAD_CONFIGURATION = 2
EXIT_CANNOT_START = 1
TRACE_CHARACTERS = 2000  # of a traceback that is logged
FLEET_OPTION = "--fleet"


def run(reactor: Any, log: Logger, arguments: list[str]) -> int:
    """Run a gateway until SIGTERM: by the platform's environment, or by an operator's file.

    ``--fleet FILE`` makes it a member of a fleet; without it nothing of that is imported, opened or started.
    The exit code is 0, ``EXIT_BAD_CONFIGURATION`` or ``EXIT_CANNOT_START``.
    """
    gateway: Service
    load: Callable[[], Any]
    # Ours before anything can send one, in place of Twisted's: by default SIGHUP ends the process, and
    # Twisted's SIGTERM stops at once.  What comes before the reactor runs is carried out when it does.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(lambda: gateway.reload_from(load)))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(lambda: gateway.stop()))
    try:
        files, fleet_file = _split_arguments(arguments)
        load = _loader(files, fleet_file is not None)
        gateway = _build(reactor, log, load, files, fleet_file)
    except ValueError as error:
        log.error("bad_configuration", error=str(error))
        return EXIT_BAD_CONFIGURATION
    _log_uncaught_errors(log)
    return _run_until_stopped(reactor, log, gateway)


def _split_arguments(arguments: list[str]) -> tuple[list[str], str | None]:
    """The arguments but ``--fleet FILE``, and that file.  Raises ValueError where the file is missing."""
    if FLEET_OPTION not in arguments:
        return arguments, None
    at = arguments.index(FLEET_OPTION)
    if at + 1 == len(arguments):
        raise ValueError(f"{FLEET_OPTION}: a file is needed")
    return arguments[:at] + arguments[at + 2 :], arguments[at + 1]


def _loader(files: list[str], in_fleet: bool) -> Callable[[], Any]:
    """How the configuration is read, at the start and at every SIGHUP."""
    load: Callable[[], Any] = configuration.load
    if files:
        from .iscsi.operator import load_operator

        def load_file() -> Any:
            return load_operator(files[0])

        load = load_file
    if not in_fleet:
        return load

    def load_for_fleet() -> Any:
        config = load()
        return replace(config, settings=replace(config.settings, fleet_quota=True))

    return load_for_fleet


def _build(
    reactor: Any, log: Logger, load: Callable[[], Any], files: list[str], fleet_file: str | None
) -> Service:
    """The gateway with its clock.  Raises ValueError where a configuration cannot be used."""
    # Leases are counted by the clock that goes on while the machine sleeps.
    monotonic_ns = boot_ns if fleet_file is not None else time.monotonic_ns
    use_monotonic_time(reactor, monotonic_ns)
    clock = ReactorClock(reactor, monotonic_ns)
    member = None
    if fleet_file is not None:
        from .fleet.agent import FleetAgent
        from .fleet.settings import load_fleet

        member = FleetAgent(reactor, clock, load_fleet(fleet_file), log)
    gateway: Service
    if files:
        from .iscsi.app import IscsiGateway

        gateway = IscsiGateway(reactor, load(), log, clock)
    else:
        gateway = PlatformGateway(reactor, load(), log, clock)
    gateway.fleet = member
    return gateway


def _log_uncaught_errors(log: Logger) -> None:
    """Log what a callback raises and nobody catches like the rest, on a line of its own."""

    def observe(event: Any) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            trace = failure.getTraceback()[-TRACE_CHARACTERS:]
            log.error("callback_raised", error=repr(failure.value), trace=trace)

    observers: list[Any] = [observe]
    globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False, discardBuffer=True)


def _run_until_stopped(reactor: Any, log: Logger, gateway: Service) -> int:
    exit_codes: list[int] = []

    def cannot_start(failure: Any) -> None:  # an address in use, say: there is nothing to serve
        log.error("cannot_start", error=repr(failure.value))
        exit_codes.append(EXIT_CANNOT_START)
        reactor.stop()

    def start() -> None:
        maybeDeferred(gateway.start).addErrback(cannot_start)
        gc.collect()
        gc.freeze()

    gateway.stopped.addCallback(lambda _: reactor.callLater(0, reactor.stop))
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    return exit_codes[0] if exit_codes else 0
