"""What operators ask of a running head, on any wire: nodes in maintenance, clients sent away."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from marllift.interface import NodeId

from .core.engine import Engine
from .core.ports import Logger
from .state import State, StateError, StateFile


class Operations:
    """Carries out what is asked, and keeps it for the next process before it says yes."""

    def __init__(
        self, engine: Engine, front: Any, file: StateFile, tell: Callable[[State], None], log: Logger
    ) -> None:
        self._engine, self._front, self._file, self._tell, self._log = engine, front, file, tell, log
        self.stopping = False

    @property
    def serving(self) -> bool:
        return bool(self._front.serving) and not self.stopping

    @property
    def state(self) -> State:
        return State(frozenset(self._engine.away), self._front.drain.on)

    def restore(self) -> None:
        """Take up what was asked of an earlier process; before the module hears its first list."""
        try:
            self.follow(self._file.read())
        except StateError as error:
            self._log.error("state_unreadable", error=str(error))

    def follow(self, state: State) -> None:
        """Be in this state from now on, whoever was told so."""
        for node in state.away - self._engine.away:
            self._engine.maintain(node, True)
            self._log.info("maintenance_begins", node=node.decode(errors="replace"))
        for node in self._engine.away - state.away:
            self._engine.maintain(node, False)
            self._log.info("maintenance_ends", node=node.decode(errors="replace"))
        if state.drained != self._front.drain.on:
            self._front.drain.set(state.drained)
            self._log.info("drained" if state.drained else "taking_clients")

    def _ask(self, state: State) -> None:
        if state != self.state:
            self._file.write(state)  # first: what cannot be kept is not begun, and the caller is told no
            self._tell(state)  # a process beside this one is bound by the same yes
            self.follow(state)

    def drain(self, on: bool) -> None:
        self._ask(State(self.state.away, on))

    def maintain(self, node: NodeId, on: bool) -> bool:
        """False for an id that no list has ever named."""
        if not self._engine.has_seen(node):
            return False
        away = self.state.away | {node} if on else self.state.away - {node}
        self._ask(State(away, self.state.drained))
        return True
