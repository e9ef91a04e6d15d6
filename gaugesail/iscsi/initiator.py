"""The node transport over iSCSI: one session to each storage node, which carries many commands at once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gaugesail.policy.events import AttemptResult, EndpointState
from gaugesail.policy.settings import NodeId

from ..buffers import BufferPool
from ..core.ports import (
    Attempt,
    AttemptListener,
    BodySource,
    ClientRequest,
    Clock,
    DelayedCall,
    Logger,
    Reactor,
)
from ..net import dial
from .aborted_writes import SeveralAborts
from .node_command import Command, NodeState
from .node_session import NodeSession
from .operator import StorageNode
from .pending_aborts import AbortsByRequest

ABORT_CHECK_US = 250_000
HEALTH_CHECK_US = 250_000


class NodePool:
    """The node transport over iSCSI: carries attempts and health checks to the nodes.

    :param initiator: the initiator name for the login.
    :param connect_timeout_us: for the connection, and again for the login.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        buffers: BufferPool,
        log: Logger,
        initiator: str,
        connect_timeout_us: int,
    ) -> None:
        self._reactor, self.clock, self.buffers, self.log = reactor, clock, buffers, log
        self.initiator, self._timeout_us = initiator, connect_timeout_us
        self._configured: dict[NodeId, StorageNode] = {}
        self._nodes: dict[NodeId, NodeState] = {}
        self._unlisted: set[NodeId] = set()  # of ``_nodes``
        self._sessions: dict[NodeSession, None] = {}
        self._in_maintenance: set[NodeId] = set()
        self.aborts_by_request: AbortsByRequest = {}
        self._aborting: dict[NodeSession, None] = {}  # sessions with an abort that has no response
        self._abort_check: DelayedCall | None = None

    @property
    def connections(self) -> int:
        """The number of connected sessions."""
        return len(self._sessions)

    def update_nodes(self, nodes: dict[NodeId, StorageNode]) -> None:
        """Replace the list of nodes.

        A node that is removed, moved, restarted or no longer ready loses its session.  Its pending commands
        fail; those in flight may finish.
        """
        old, self._configured = self._configured, nodes
        self._unlisted = {node_id for node_id in self._nodes if node_id not in nodes}
        for node_id, before in old.items():
            now = nodes.get(node_id)
            same = now is not None and (
                (now.address, now.target, now.endpoint.started_us)
                == (before.address, before.target, before.endpoint.started_us)
            )
            if not same or now is None or now.endpoint.state is not EndpointState.READY:
                self._stop_node(node_id)

    def set_maintenance(self, node_id: NodeId, on: bool) -> None:
        """Take a node out of use whatever the file says, or put it back.

        Commands in flight may finish; pending commands fail.
        """
        (self._in_maintenance.add if on else self._in_maintenance.discard)(node_id)
        self._stop_node(node_id)

    def _usable(self, node_id: NodeId) -> StorageNode | None:
        """Return a node that may be sent new commands; None for any other."""
        node = self._configured.get(node_id)
        ready = (
            node is not None
            and node.endpoint.state is EndpointState.READY
            and node_id not in self._in_maintenance
        )
        return node if ready else None

    def _stop_node(self, node_id: NodeId) -> None:
        state = self._nodes.get(node_id)
        if state is None:
            return
        if state.dial is not None:
            state.dial.cancel()
        session, state.session = state.session, None
        if session is not None:
            session.retire()
        self._fail_pending(state)

    # ---- attempts ----

    def send(self, attempt: Attempt, listener: AttemptListener) -> None:
        """Make an attempt; its end is reported to the listener."""
        command = Command(listener, attempt.node_id, self.clock.now_us(), attempt, attempt.payload)
        node = self._usable(attempt.node_id)
        if node is None:
            self.finish(command, AttemptResult.NO_CONNECTION)
        elif attempt.shard >= 0 and node.endpoint.shard != attempt.shard:
            self.finish(command, AttemptResult.NOT_STARTED)
        else:
            self._queue(command)

    def check_health(self, node_id: NodeId, listener: AttemptListener) -> None:
        """Ping a node with a NOP-Out; the result is reported to the listener."""
        command = Command(listener, node_id, self.clock.now_us())
        if self._usable(node_id) is None:
            self.finish(command, AttemptResult.NO_CONNECTION)
            return
        self.clock.call_later(HEALTH_CHECK_US, lambda: self.finish(command, AttemptResult.TIMEOUT))
        self._queue(command)

    def abort(self, attempt: Attempt) -> bool:
        """Abort an attempt without a report; whether it had been sent, so that it may have run."""
        command, attempt.connection = attempt.connection, None
        state = self._nodes.get(attempt.node_id)
        if state is not None:
            state.pending = deque(item for item in state.pending if item.attempt is not attempt)
        if isinstance(command, Command):
            command.done = True
            self._release(command)
            session, command.session = command.session, None
            if session is not None:
                session.abort(command)
                if session.retiring and not session.commands:
                    session.logout()
            return True
        return False

    def is_held_back(self, attempt: Attempt) -> bool:
        """Return False: each node has one session, and there is room for all of them."""
        return False

    def read_now(self, attempt: Attempt) -> None:
        """Do nothing: the session serves other commands too."""

    def pass_on(self, attempt: Attempt) -> bool:
        """Do nothing: a read has a known, bounded length, and its status comes after its data."""
        return False

    def describe_answer(self, attempt: Attempt) -> str:
        """Describe what has arrived of an attempt's answer, for the log."""
        command = attempt.connection
        body = command.body if isinstance(command, Command) else None
        return f"{body.length if body is not None else 0} bytes"

    def when_aborted(self, client_request_id: str, ended: Callable[[bool], None]) -> None:
        """Call ``ended`` once the nodes have responded to all aborts of a request's attempts."""
        pending = list(self.aborts_by_request.get(client_request_id, ()))
        waits = SeveralAborts(len(pending), ended)
        for abort_task in pending:
            abort_task.ended.append(waits.one_ended)

    def cancel_unwritten(self, attempt: Attempt) -> bool:
        """Abort a write whose data has not all been sent; whether it was aborted."""
        command = attempt.connection
        return isinstance(command, Command) and command.sent < len(command.data) and self.abort(attempt)

    def stage_upload(self, node_id: NodeId, request: ClientRequest, source: BodySource) -> None:
        """Do nothing: a command's data is bounded, and complete before the command is submitted."""

    def close_idle_connections(self, node_id: NodeId) -> None:
        """Do nothing: the one idle session to a node costs the node little."""

    def _queue(self, command: Command) -> None:
        state = self._nodes.get(command.node_id)
        if state is None:
            state = self._nodes[command.node_id] = NodeState(command.node_id)
        state.pending.append(command)
        self.start_pending(state)

    def start_pending(self, state: NodeState) -> None:
        """Start pending commands within the node's command window.

        ``may_start`` is called right before the first byte of each is sent.
        """
        while state.pending:
            session, node = state.session, self._usable(state.node_id)
            if node is None:
                self._fail_pending(state)
                return
            if session is None:
                self._dial(state, node)
                return
            if not session.has_window:
                return
            command = state.pending.popleft()
            attempt = command.attempt
            if command.done or (attempt is not None and not command.listener.may_start(attempt)):
                self.finish(command, AttemptResult.NOT_STARTED)
                continue
            if attempt is not None:
                command.listener.attempt_started(attempt)
            session.start(command)

    def finish(self, command: Command, result: AttemptResult) -> None:
        """Report the result of a command, unless it has one already."""
        if command.done:
            return
        command.done = True
        answer = command.body.read() if command.body is not None and result is AttemptResult.SERVED else b""
        self._release(command)
        if command.attempt is not None:
            command.attempt.connection = None
            command.listener.attempt_ended(command.attempt, result, answer)
        else:
            command.listener.health_check_ended(
                command.node_id, result, self.clock.now_us() - command.queued_us
            )

    @staticmethod
    def _release(command: Command) -> None:
        command.data = b""
        if command.body is not None:
            command.body.release()

    def _fail_pending(self, state: NodeState) -> None:
        pending, state.pending = state.pending, deque()
        for command in pending:
            self.finish(command, AttemptResult.NO_CONNECTION)

    # ---- sessions ----

    def _dial(self, state: NodeState, node: StorageNode) -> None:
        if state.dial is not None:
            return
        made = dial(
            self._reactor, node.address, self._timeout_us / 1e6, lambda: NodeSession(self, state, node)
        )
        state.dial = made
        made.addCallbacks(self._connected, self._not_connected, (state, made), {}, (state, made))
        made.addErrback(lambda failure: self.log.error("dial_raised", error=repr(failure.value)))

    def _connected(self, session: NodeSession, state: NodeState, made: Deferred[Any]) -> None:
        if state.dial is made:
            state.dial = None
        if session.lost:
            self._fail_pending(state)
            return
        self._sessions[session] = None
        node = self._usable(state.node_id)
        if state.session is not None or node is None or node != session.node:
            session.drop(AttemptResult.NO_CONNECTION)  # the list has changed meanwhile
            return
        state.session = session
        # A node may accept the connection and never respond to the login.
        state.login_timeout = self.clock.call_later(self._timeout_us, lambda: self._check_login(session))

    def _check_login(self, session: NodeSession) -> None:
        if not session.ready:
            session.drop(AttemptResult.NO_CONNECTION)

    def logged_in(self, state: NodeState, session: NodeSession) -> None:
        """Cancel the login timeout of a session that has logged in."""
        if state.login_timeout is not None and state.login_timeout.active():
            state.login_timeout.cancel()
        state.login_timeout = None

    def _not_connected(self, failure: Failure, state: NodeState, made: Deferred[Any]) -> None:
        if state.dial is made:
            state.dial = None
        self._fail_pending(state)

    def session_lost(self, state: NodeState, session: NodeSession) -> None:
        """Forget a session that has ended; if it is the current one of its node, pending commands fail."""
        self._sessions.pop(session, None)
        if state.session is session:
            state.session = None
            if state.login_timeout is not None and state.login_timeout.active():
                state.login_timeout.cancel()
            state.login_timeout = None
            self._fail_pending(state)  # never sent: the policy decides on a new attempt

    def watch_aborts(self, session: NodeSession) -> None:
        """Check a session's aborts until none is pending."""
        self._aborting[session] = None
        if self._abort_check is None:
            self._abort_check = self.clock.call_later(ABORT_CHECK_US, self._check_aborts)

    def _check_aborts(self) -> None:
        self._abort_check = None
        sessions, self._aborting = self._aborting, {}
        for session in sessions:
            if session.check_aborts():
                self.watch_aborts(session)

    def sweep(self) -> None:
        """Forget nodes that are not in the list and have no session, dial or pending command."""
        for node_id in list(self._unlisted):
            state = self._nodes[node_id]
            if state.session is None and state.dial is None and not state.pending:
                del self._nodes[node_id]
                self._unlisted.discard(node_id)

    def close(self) -> None:
        """Log out of all sessions, as soon as their commands have ended."""
        for session in list(self._sessions):
            session.retire()
