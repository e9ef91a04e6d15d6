"""What operators ask of a running gateway, on any wire: nodes in maintenance, clients drained.

A call is written down for the next process before it is carried out and answered.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gaugesail.policy.settings import NodeId

from .core.engine import Engine
from .core.ports import Logger
from .state import OperatorCall, State, StateError, StateFile, StateUnreadable

TRACE_SHOWN = 500  # steps in one answer


class StateNotKnown(Exception):
    """The process does not know yet what was asked of its predecessor: the call has to come again."""


class Drain(Protocol):
    """Whether clients are to leave."""

    on: bool

    def set(self, on: bool) -> None: ...


class DrainableClients(Protocol):
    """The server of clients, as far as operators' calls concern it."""

    drain: Drain

    @property
    def serving(self) -> bool: ...


class Operations:
    """Carries out what operators ask, and keeps it for the next process.

    A sibling process is told each call by itself: two calls may be made at once, one at either process.
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
        self._unwritten = False  # what is in force is not in the file yet

    @property
    def serving(self) -> bool:
        """Whether this process serves, as health checks are told."""
        return self._clients.serving and not self.stopping

    # ---- the file ----

    def restore(self) -> None:
        """Take up what was asked of an earlier process; before the policy hears its first list."""
        try:
            state = self._file.read()
        except StateUnreadable as error:  # asked for again by ``sweep``: until then no call may overwrite it
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
        """Make up for what the folder did not allow before."""
        if not self._restored:
            self.restore()
        elif self._unwritten:
            self._write_current()

    def _write_current(self) -> None:
        """Write down what is in force; where that fails it is done later, as it was promised already."""
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
        """Drain clients, or take them again.

        Raises OSError where the call cannot be kept, StateNotKnown where it comes too early.
        """
        self._accept(OperatorCall(None, on))

    def maintain(self, node_id: NodeId, on: bool) -> bool:
        """Put a node into maintenance, or back; False for an id that no list has ever named.

        Raises OSError where the call cannot be kept, StateNotKnown where it comes too early.
        """
        if self._restored and not self._engine.has_listed(node_id):
            return False
        self._accept(OperatorCall(node_id, on))
        return True

    def follow(self, call: OperatorCall) -> None:
        """A sibling process was called: that binds this one too."""
        if self._restored:
            self._carry_out(call)
            self._write_current()  # the sibling has not kept what was just asked of this process

    def _accept(self, call: OperatorCall) -> None:
        if not self._restored:
            raise StateNotKnown("not serving yet")
        self._file.write(self._state_with(call))  # first: what cannot be kept is not begun
        self._unwritten = False
        self._announce(call)
        self._carry_out(call)

    def _state_with(self, call: OperatorCall) -> State:
        """What is asked for once this call is carried out too."""
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
        """The latest steps, or all that is known of one request or node; a line each."""
        trace = self._engine.trace
        entries = trace.latest(TRACE_SHOWN) if subject is None else trace.steps_of(subject)
        return "\n".join(map(str, entries)) or "nothing is known"
