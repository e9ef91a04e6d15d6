"""Runs one gateway in this process: signal handlers, clock, configuration and exit code."""

from __future__ import annotations

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
from .long_lived_memory import LongLivedMemory
from .service import Service

EXIT_BAD_CONFIGURATION = 2
EXIT_CANNOT_START = 1
MAX_TRACE_CHARACTERS = 2000  # the end of a traceback that is logged
FLEET_OPTION = "--fleet"
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run(reactor: Any, log: Logger, arguments: list[str]) -> int:
    """Run a gateway until SIGTERM, configured by the platform's environment or by an operator's file.

    ``--fleet FILE`` makes it a member of a fleet; without it no fleet code is imported and no fleet resource
    is opened.  Returns the exit code: 0, ``EXIT_BAD_CONFIGURATION`` or ``EXIT_CANNOT_START``.
    """
    gateway: Service
    load: Callable[[], Any]

    def stop_later(signalled_at: float) -> None:
        reactor.callFromThread(lambda: gateway.stop(int((time.monotonic() - signalled_at) * 1e6)))

    # Installed first, in place of Twisted's: by default SIGHUP ends the process, and Twisted's SIGTERM stops
    # at once.  Signals that arrive before the reactor runs are handled once it does.
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(lambda: gateway.reload_from(load)))
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: stop_later(time.monotonic()))
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
    """Split off ``--fleet FILE``; raises ValueError if the option has no file."""
    if FLEET_OPTION not in arguments:
        return arguments, None
    at = arguments.index(FLEET_OPTION)
    if at + 1 == len(arguments):
        raise ValueError(f"{FLEET_OPTION}: expected a file name, found no argument")
    return arguments[:at] + arguments[at + 2 :], arguments[at + 1]


def _loader(files: list[str], in_fleet: bool) -> Callable[[], Any]:
    """Return the function that reads the configuration, at startup and at every SIGHUP."""
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
    """Build the gateway and its clock; raises ValueError if a configuration is invalid."""
    # Leases expire by a clock that includes suspend time.
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
    """Log uncaught exceptions of callbacks to the gateway's log, one line each."""

    def observe(event: Any) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            trace = failure.getTraceback()[-MAX_TRACE_CHARACTERS:]
            log.error("callback_raised", error=repr(failure.value), trace=trace)

    observers: list[Any] = [observe]
    globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False, discardBuffer=True)


def _run_until_stopped(reactor: Any, log: Logger, gateway: Service) -> int:
    exit_codes: list[int] = []
    memory = LongLivedMemory()
    gateway.on_whole_list = memory.list_received

    def cannot_start(failure: Any) -> None:  # for example, the address is in use
        log.error("cannot_start", error=repr(failure.value))
        exit_codes.append(EXIT_CANNOT_START)
        reactor.stop()

    def start() -> None:
        maybeDeferred(gateway.start).addErrback(cannot_start)
        memory.started()

    gateway.stopped.addCallback(lambda _: reactor.callLater(0, reactor.stop))
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    # While the interpreter shuts down, handlers in Python are replaced by the default action, a kill.
    for number in (signal.SIGHUP, *STOP_SIGNALS):
        signal.signal(number, signal.SIG_IGN)
    return exit_codes[0] if exit_codes else 0
