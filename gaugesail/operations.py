"""Operators' calls to a running gateway, on any wire protocol: node maintenance and client draining.

A call is saved for the next process before it is carried out and answered.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gaugesail.policy.settings import NodeId

from .core.engine import Engine
from .core.ports import Logger
from .state import OperatorCall, State, StateError, StateFile, StateUnreadable

MAX_TRACE_STEPS = 500  # in one answer


class StateNotKnown(Exception):
    """The state file has not been read yet, so that the call must be repeated later."""


class Drain(Protocol):
    """The draining of clients."""

    on: bool

    def set(self, on: bool) -> None:
        """Start or stop draining."""
        ...


class DrainableClients(Protocol):
    """The subset of the client server that operators' calls use."""

    drain: Drain

    @property
    def serving(self) -> bool:
        """Whether requests are served."""
        ...


class Operations:
    """Carries out operators' calls, and saves the resulting state for the next process.

    ``announce`` forwards each call, not the resulting state, to a sibling process: both processes may receive
    a call at the same time.
    """

    def __init__(
        self,
        engine: Engine,
        clients: DrainableClients,
        file: StateFile,
        announce: Callable[[OperatorCall], None],
        log: Logger,
    ) -> None:
        self._engine = engine
        self._clients = clients
        self._file = file
        self._announce = announce
        self._log = log
        self.stopping = False
        self._restored = False
        self._unwritten = False  # the file does not hold the state in force yet

    @property
    def serving(self) -> bool:
        """Whether this process serves, as reported to health checks."""
        return self._clients.serving and not self.stopping

    # ---- the file ----

    def restore(self) -> None:
        """Apply the state that an earlier process saved, before the policy gets its first endpoint list."""
        try:
            state = self._file.read()
        except StateUnreadable as error:  # retried by ``sweep``; until then no call may overwrite the file
            self._log.error("state_unreadable", error=str(error))
            return
        except StateError as error:
            self._log.error("state_unreadable", error=str(error))
            state = State()
        self._restored = True
        for node_id in state.in_maintenance:
            self._carry_out(OperatorCall(node_id, True))
        if state.drained:
            self._carry_out(OperatorCall(None, True))

    def sweep(self) -> None:
        """Retry reading or writing the file if that failed before."""
        if not self._restored:
            self.restore()
        elif self._unwritten:
            self._write_current()

    def _write_current(self) -> None:
        """Save the state in force; a failure is retried by ``sweep``, as its calls were acknowledged."""
        state = State(frozenset(self._engine.in_maintenance), self._clients.drain.on)
        try:
            self._file.write(state)
        except OSError as error:
            self._unwritten = True
            self._log.error("state_not_written", error=repr(error))
        else:
            self._unwritten = False

    # ---- calls ----

    def drain(self, on: bool) -> None:
        """Start or stop draining clients.

        Raises OSError if the call cannot be saved, StateNotKnown if the state file has not been read yet.
        """
        self._accept(OperatorCall(None, on))

    def maintain(self, node_id: NodeId, on: bool) -> bool:
        """Put a node into maintenance, or end it; returns False for an id that no endpoint list has named.

        Raises OSError if the call cannot be saved, StateNotKnown if the state file has not been read yet.
        """
        if self._restored and not self._engine.has_listed(node_id):
            return False
        self._accept(OperatorCall(node_id, on))
        return True

    def follow(self, call: OperatorCall) -> None:
        """Apply a call that a sibling process received."""
        if self._restored:
            self._carry_out(call)
            self._write_current()  # the sibling's file lacks the calls that only this process received

    def _accept(self, call: OperatorCall) -> None:
        if not self._restored:
            raise StateNotKnown("not serving yet")
        self._file.write(self._state_with(call))  # first: a call that cannot be saved is not carried out
        self._unwritten = False
        self._announce(call)
        self._carry_out(call)

    def _state_with(self, call: OperatorCall) -> State:
        """The state after this call."""
        in_maintenance = frozenset(self._engine.in_maintenance)
        if call.node_id is None:
            return State(in_maintenance, call.on)
        changed = in_maintenance | {call.node_id} if call.on else in_maintenance - {call.node_id}
        return State(changed, self._clients.drain.on)

    def _carry_out(self, call: OperatorCall) -> None:
        if call.node_id is None:
            self._set_drain(call.on)
        elif call.on != (call.node_id in self._engine.in_maintenance):
            self._engine.set_maintenance(call.node_id, call.on)
            event = "maintenance_begins" if call.on else "maintenance_ends"
            self._log.info(event, node=call.node_id.decode(errors="replace"))

    def _set_drain(self, on: bool) -> None:
        if on != self._clients.drain.on:
            self._clients.drain.set(on)
            self._log.info("drain_begins" if on else "drain_ends")

    # ---- the trace ----

    def trace(self, subject: str | None) -> str:
        """The latest steps, or with ``subject`` those of one request or node, one per line."""
        trace = self._engine.trace
        steps = trace.latest(MAX_TRACE_STEPS) if subject is None else trace.steps_of(subject)
        return "\n".join(map(str, steps)) or "nothing is known"
