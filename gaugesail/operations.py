"""What operators ask of a running head, on any wire: nodes in maintenance, clients sent away."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gaugesail.policy.settings import NodeId

from .core.engine import Engine
from .core.ports import Logger
from .state import OperatorCall, State, StateError, StateFile, StateUnreadable

TRACE_SHOWN = 500  # steps at a call


class NotYet(Exception):
    """The process does not know yet what was asked of the one before it."""


class Operations:
    """Carries out what is asked, and keeps it for the next process before it says yes.

    A process beside this one is told each call by itself: two calls may be made at once, one at either.
    """

    def __init__(
        self, engine: Engine, front: Any, file: StateFile, tell: Callable[[OperatorCall], None], log: Logger
    ) -> None:
        self._engine, self._front, self._file, self._tell, self._log = engine, front, file, tell, log
        self.stopping = False
        self._ready = False
        self._unwritten = False  # what is in force is not in the file yet

    @property
    def serving(self) -> bool:
        return bool(self._front.serving) and not self.stopping

    def restore(self) -> None:
        """Take up what was asked of an earlier process; before the module hears its first list."""
        try:
            state = self._file.read()
        except StateUnreadable as error:  # asked for again (sweep): until then no call may overwrite it
            self._log.error("state_unreadable", error=str(error))
            return
        except StateError as error:
            self._log.error("state_unreadable", error=str(error))
            state = State()
        self._ready = True
        for node in state.in_maintenance:
            self._carry_out(OperatorCall(node, True))
        if state.drained:
            self._carry_out(OperatorCall(None, True))

    def sweep(self) -> None:
        """Make up for what the folder did not allow before."""
        if not self._ready:
            self.restore()
        elif self._unwritten:
            self._keep()

    def _carry_out(self, call: OperatorCall) -> None:
        if call.node_id is None:
            if call.on != self._front.drain.on:
                self._front.drain.set(call.on)
                self._log.info("drained" if call.on else "taking_clients")
        elif call.on != (call.node_id in self._engine.in_maintenance):
            self._engine.set_maintenance(call.node_id, call.on)
            event = "maintenance_begins" if call.on else "maintenance_ends"
            self._log.info(event, node=call.node_id.decode(errors="replace"))

    def _state(self, call: OperatorCall) -> State:
        """What is asked for once this call is carried out too."""
        away, drained = frozenset(self._engine.in_maintenance), self._front.drain.on
        if call.node_id is None:
            return State(away, call.on)
        return State(away | {call.node_id} if call.on else away - {call.node_id}, drained)

    def _ask(self, call: OperatorCall) -> None:
        if not self._ready:
            raise NotYet("not serving yet")
        self._file.write(self._state(call))  # first: what cannot be kept is not begun, and told no
        self._unwritten = False
        self._tell(call)
        self._carry_out(call)

    def follow(self, call: OperatorCall) -> None:
        """A process beside this one was called: that binds this one too."""
        if self._ready:
            self._carry_out(call)
            self._keep()  # the other has not kept what was just asked of this one

    def _keep(self) -> None:
        """Write down what is in force; where that fails it is done later, as it was promised already."""
        try:
            self._file.write(State(frozenset(self._engine.in_maintenance), self._front.drain.on))
            self._unwritten = False
        except OSError as error:
            self._unwritten = True
            self._log.error("state_not_written", error=repr(error))

    def trace(self, subject: str | None) -> str:
        """The latest steps, or all that is known of one request or node; a line each."""
        trace = self._engine.trace
        entries = trace.latest(TRACE_SHOWN) if subject is None else trace.steps_of(subject)
        return "\n".join(map(str, entries)) or "nothing is known"

    def drain(self, on: bool) -> None:
        self._ask(OperatorCall(None, on))

    def maintain(self, node: NodeId, on: bool) -> bool:
        """False for an id that no list has ever named."""
        if self._ready and not self._engine.has_listed(node):
            return False
        self._ask(OperatorCall(node, on))
        return True
