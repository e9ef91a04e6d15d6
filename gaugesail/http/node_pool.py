"""The node transport over HTTP: addresses from the latest endpoint list, and a pool of reused connections.

Each connection carries one request at a time.  Of the usable idle connections the latest used is taken first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gaugesail.policy.events import AttemptResult
from gaugesail.policy.settings import NodeId

from ..buffers import BufferPool
from ..core.ports import (
    Attempt,
    AttemptListener,
    BodySink,
    BodySource,
    ClientRequest,
    Clock,
    DelayedCall,
    Logger,
    Reactor,
)
from ..memory_holders import stalled_longest_first
from ..net import attach, dial, read_now
from .connection_table import ConnectionTable
from .forwarded_request import ForwardedRequest
from .idle_times import IdleTimes
from .node_connection import NodeConnection
from .node_request import NodeRequest
from .node_state import NodeAddress, NodeState
from .settle_time import SHORT_REST_US
from .staged_upload import StagedUpload
from .stream_end import StreamEnd
from .stream_handover import NodeStreamState
from .waiting_nodes import WaitingNodes

IDLE_SHARE = 0.6  # of the node's idle timeout: a request written as the node closes would be reset
MAX_DIALS = 8  # concurrent dials per node
UPLOAD_DIVISOR = 2  # uploads that are being received may have 1/2 of all connections
RESTING_DIVISOR = 2  # answers that rest for long may hold 1/2 of all connections
HEALTH_CHECK_US = 250_000  # timeout of a health check


class NodePool:
    """Carries attempts, staged uploads and health checks to the nodes."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        buffers: BufferPool,
        log: Logger,
        idle_us: int,
        connect_timeout_us: int,
        max_connections: int,
    ) -> None:
        self._reactor = reactor
        self.clock = clock
        self.buffers = buffers
        self._log = log
        self.change_timeouts(idle_us, connect_timeout_us)
        self._max_connections = max_connections
        self._adopted: set[NodeConnection] = set()  # from another process, beyond the maximum
        self._addresses: dict[NodeId, NodeAddress] = {}
        self._nodes: dict[NodeId, NodeState] = {}
        self._unlisted: set[NodeId] = set()  # of them: without an address
        self._table = ConnectionTable()
        self._waiting = WaitingNodes()  # as all connections that there may be are in use
        self._waiting_call: DelayedCall | None = None
        self._in_maintenance: set[NodeId] = set()
        self._closing = False
        self.idle_times = IdleTimes()
        self._uploads: list[StagedUpload] = []  # that are being received, and some that have ended

    @property
    def connections(self) -> int:
        """Number of connections to all nodes, dials in progress included."""
        return len(self._table)

    def change_timeouts(self, idle_us: int, connect_timeout_us: int) -> None:
        """Set the nodes' idle timeout and the timeout of a dial, in microseconds."""
        self._idle_us = int(idle_us * IDLE_SHARE)
        self._connect_timeout_s = connect_timeout_us / 1e6

    def limit(self, connections: int) -> None:
        """Set the maximum number of connections; idle ones beyond it are closed.

        Those that another process hands over from then on count beside it: they were a part of its share.
        """
        self._max_connections = connections
        self._adopted.clear()
        while self.connections > self._max_connections and self._close_longest_idle():
            pass
        self._schedule_waiting()

    # ---- the endpoint list ----

    def update_addresses(self, addresses: dict[NodeId, NodeAddress | None], full: bool) -> None:
        """Apply a full endpoint list, or changes to it; None stands for a removed node.

        Pending requests to a node that drains, is removed, moves or restarts end.  Ids are never reused, so
        removed nodes are forgotten.
        """
        if full:
            for node_id in [node_id for node_id in self._addresses if node_id not in addresses]:
                self._remove_address(node_id)
        for node_id, address in addresses.items():
            self._update_address(node_id, address)

    def _update_address(self, node_id: NodeId, address: NodeAddress | None) -> None:
        if address is None:
            self._remove_address(node_id)
            return
        old = self._addresses.get(node_id)
        self._addresses[node_id] = address
        changed = old is not None and (
            (old.host, old.port, old.started_us) != (address.host, address.port, address.started_us)
        )
        if not address.ready or changed:
            self._end_unstarted(node_id)
        self._unlisted.discard(node_id)
        if changed and node_id in self._nodes:
            node = self._nodes[node_id]
            node.gone_generation = node.generation

    def _remove_address(self, node_id: NodeId) -> None:
        self._end_unstarted(node_id)
        self._addresses.pop(node_id, None)
        if node_id in self._nodes:
            self._unlisted.add(node_id)

    def set_maintenance(self, node_id: NodeId, on: bool) -> None:
        """Start or end the maintenance of a node, which overrides the endpoint list.

        Requests in flight may finish; pending ones end.
        """
        (self._in_maintenance.add if on else self._in_maintenance.discard)(node_id)
        self._end_unstarted(node_id)

    def _usable_address(self, node_id: NodeId) -> NodeAddress | None:
        """Return the address of a node that may receive new requests, else None."""
        address = self._addresses.get(node_id)
        usable = address is not None and address.ready and node_id not in self._in_maintenance
        return address if usable else None

    def _end_unstarted(self, node_id: NodeId) -> None:
        """Cancel a node's dials, abort its idle connections and staged uploads, end its pending requests."""
        node = self._nodes.get(node_id)
        if node is None:
            return
        node.generation += 1
        pending = node.pending
        node.pending = deque()
        for dialled in list(node.dials):
            dialled.cancel()
        for connection in list(node.idle):
            connection.abort()
        for connection in list(node.busy):
            connection.drop_upload()  # it has not started to run
        for request in pending:
            self.finish(request, AttemptResult.NO_CONNECTION)

    # ---- attempts, uploads and health checks ----

    def send(self, attempt: Attempt, listener: AttemptListener) -> None:
        """Start an attempt; ``listener`` receives its result."""
        request = NodeRequest(listener, attempt.node_id, self.clock.now_us(), attempt.deadline_us, attempt)
        address = self._usable_address(attempt.node_id)
        if address is None:
            self.finish(request, AttemptResult.NO_CONNECTION)
        elif attempt.shard >= 0 and address.shard != attempt.shard:
            self.finish(request, AttemptResult.NOT_STARTED)  # the node would reject it
        elif (upload := attempt.payload.upload) is None:
            self._enqueue(request)
        elif upload.request is None or upload.request.node_id != attempt.node_id or not upload.send(request):
            # Its body was written to another node or to a lost connection, and is no longer buffered.
            self.finish(request, AttemptResult.NOT_STARTED)

    def stage_upload(self, node_id: NodeId, request: ClientRequest, source: BodySource) -> BodySink | None:
        """Write a large request to a node while it is received, all but its end.

        The client is paused until there is a connection.  Returns None if the node may receive nothing new.
        """
        if self._usable_address(node_id) is None or not self._may_stage():
            return None
        now_us = self.clock.now_us()
        upload = StagedUpload(request.payload, request.answer_us, source, self.finish, self.clock)
        self._uploads.append(upload)
        request.payload.upload = upload
        upload.request = NodeRequest(None, node_id, now_us, now_us, upload=upload)
        source.pause()
        self._enqueue(upload.request)
        return upload

    def _may_stage(self) -> bool:
        """Whether a further upload may take a connection; one that has stalled may lose its own."""
        self._uploads = [upload for upload in self._uploads if upload.receiving]
        if len(self._uploads) < max(1, self._max_connections // UPLOAD_DIVISOR):
            return True
        stalled = stalled_longest_first(self._uploads, self.clock.now_us())
        if stalled:
            stalled[0].evict()
        return bool(stalled)

    def check_health(self, node_id: NodeId, listener: AttemptListener) -> None:
        """Send a health check, which ends with TIMEOUT after HEALTH_CHECK_US."""
        now_us = self.clock.now_us()
        request = NodeRequest(listener, node_id, now_us, now_us + HEALTH_CHECK_US)
        if self._usable_address(node_id) is None:
            self.finish(request, AttemptResult.NO_CONNECTION)
            return
        self.clock.call_later(HEALTH_CHECK_US, lambda: self.finish(request, AttemptResult.TIMEOUT))
        self._enqueue(request)

    def abort(self, attempt: Attempt) -> bool:
        """Abort an attempt without a report; return whether its last byte had been written."""
        connection = attempt.connection
        attempt.connection = None
        if isinstance(connection, NodeConnection):
            connection.abort()
            return connection.written
        node = self._nodes.get(attempt.node_id)
        if node is not None:
            node.pending = deque(request for request in node.pending if request.attempt is not attempt)
        return False

    def cancel_unwritten(self, attempt: Attempt) -> bool:
        """Abort an attempt if its last byte has not been written; return whether it was aborted."""
        connection = attempt.connection
        return isinstance(connection, NodeConnection) and not connection.written and not self.abort(attempt)

    def read_now(self, attempt: Attempt) -> None:
        """Read what has arrived of an attempt's answer."""
        connection = attempt.connection
        if isinstance(connection, NodeConnection) and not connection.lost:
            read_now(connection.link)

    def pass_on(self, attempt: Attempt) -> bool:
        """Stream what has arrived of an attempt's answer; returns whether that is possible."""
        connection = attempt.connection
        return isinstance(connection, NodeConnection) and connection.pass_on()

    def is_held_back(self, attempt: Attempt) -> bool:
        """Whether an attempt waits as all connections that there may be are in use."""
        node = self._nodes.get(attempt.node_id)
        return attempt.connection is None and node is not None and node in self._waiting

    def describe_answer(self, attempt: Attempt) -> str:
        """Describe what has arrived of an attempt's answer, for the log."""
        connection = attempt.connection
        return connection.describe_answer() if isinstance(connection, NodeConnection) else "none"

    def when_aborted(self, client_request_id: str, ended: Callable[[bool], None]) -> None:
        """Call ``ended`` at once: a node does not tell whether it goes on with an aborted request."""
        ended(False)

    def take_over(
        self, descriptor: int, state: NodeStreamState, attempt: Attempt, listener: AttemptListener
    ) -> NodeConnection:
        """Adopt a connection on which another process of this gateway was streaming an answer.

        Raises OSError if the node has closed the connection.
        """
        node = self._nodes.setdefault(attempt.node_id, NodeState(attempt.node_id))
        if attempt.node_id not in self._addresses:
            self._unlisted.add(attempt.node_id)
        connection = NodeConnection(self, node, node.generation)
        connection.take_over_stream(state, attempt, listener)
        self._set_busy(connection)
        self._adopted.add(connection)
        try:
            attach(self._reactor, descriptor, connection)
        except OSError:
            self.connection_ended(connection)
            raise
        return connection

    def finish(self, request: NodeRequest, result: AttemptResult, answer: bytes = b"") -> None:
        """Report the result of a request, once."""
        if request.ended:
            return
        request.ended = True
        if request.listener is None:
            if request.upload is not None:
                request.upload.connection_lost()
        elif request.attempt is not None:
            request.attempt.connection = None
            request.listener.attempt_ended(request.attempt, result, answer)
        else:
            elapsed_us = self.clock.now_us() - request.created_us
            request.listener.health_check_ended(request.node_id, result, elapsed_us)

    # ---- pending requests ----

    def _enqueue(self, request: NodeRequest) -> None:
        node = self._nodes.get(request.node_id)
        if node is None:
            node = self._nodes[request.node_id] = NodeState(request.node_id)
        node.pending.append(request)
        self._start_pending(node)

    def _start_pending(self, node: NodeState) -> None:
        """Start pending requests on usable connections; dial if there are too few."""
        now_us = self.clock.now_us()
        while node.pending:
            request = node.pending[0]
            if request.obsolete or not request.may_start():
                node.pending.popleft()
                self.finish(request, AttemptResult.NOT_STARTED)
                continue
            connection = node.pop_usable(now_us, min(self._idle_us, self.idle_times.limit_us()))
            if connection is None:
                break
            node.pending.popleft()
            self._start(connection, node, request)
        if node.pending:
            if node.idle and node.wakeup is None:
                wait_us = max(0, min(connection.usable_at_us for connection in node.idle) - now_us)
                node.wakeup = self.clock.call_later(wait_us, lambda: self._wake(node))
            self._dial(node)

    def _wake(self, node: NodeState) -> None:
        node.wakeup = None
        self._start_pending(node)

    def _start(self, connection: NodeConnection, node: NodeState, request: NodeRequest) -> None:
        """Check the address again, as the node may drain by now, and write the request."""
        address = self._usable_address(request.node_id)
        if address is None:
            connection.abort()
            self.finish(request, AttemptResult.NO_CONNECTION)
            return
        self._set_busy(connection)
        host = f"{address.host}:{address.port}"
        if request.upload is not None:
            request.upload.start(connection, request, host)
        elif request.attempt is None:
            connection.start(request, f"GET /ping HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        else:
            connection.start(request, self._message(request, request.attempt, host))

    def _set_busy(self, connection: NodeConnection) -> None:
        connection.node.busy.add(connection)
        self._table.add_busy(connection)

    def _message(self, request: NodeRequest, attempt: Attempt, host: str) -> bytes:
        """Report the attempt as started and return its complete message."""
        forwarded: ForwardedRequest = attempt.payload
        body = forwarded.body.read()
        remaining_us = request.deadline_us - self.clock.now_us()
        if request.listener is not None:
            request.listener.attempt_started(attempt)
        return forwarded.head(host, remaining_us, len(body)) + body

    # ---- dials ----

    def _dial(self, node: NodeState) -> None:
        address = self._usable_address(node.node_id)
        if address is None or not self._needs_dial(node):
            return
        if self._longest_waiting() is not None or not self._make_room():
            if not node.connections:  # it has none that could become free
                self._waiting.add(node)
                self._schedule_waiting()
            return
        self._open(node, address)

    def _make_room(self) -> bool:
        """Whether another connection may be opened; closes one for it if need be."""
        if self.connections < self._max_connections + len(self._adopted):
            return True
        return self._close_longest_idle() or self._end_longest_rest()

    def _schedule_waiting(self) -> None:
        """Look soon whether the nodes that wait may have a connection; called when one may have got free."""
        if self._waiting and self._waiting_call is None:
            self._waiting_call = self.clock.call_later(0, self._dial_waiting)

    def _dial_waiting(self) -> None:
        """Dial the nodes that wait, as long as there is room."""
        self._waiting_call = None
        while (node := self._longest_waiting()) is not None and self._make_room():
            self._waiting.discard(node)
            address = self._usable_address(node.node_id)
            if address is not None and not self._closing:
                self._open(node, address)

    def _longest_waiting(self) -> NodeState | None:
        """The node that has waited for longest; those of which no request waits any more are forgotten."""
        while (node := self._waiting.first) is not None:
            self._drop_obsolete(node)
            if node.pending:
                return node
            self._waiting.discard(node)
        return None

    def _open(self, node: NodeState, address: NodeAddress) -> None:
        generation = node.generation
        dialled = dial(
            self._reactor,
            (address.host, address.port),
            self._connect_timeout_s,
            lambda: NodeConnection(self, node, generation),
        )
        node.dials.add(dialled)
        self._table.dials += 1
        dialled.addCallbacks(self._dialled, self._dial_failed, (node, dialled), {}, (node, dialled))
        dialled.addErrback(self._dial_raised)

    def _needs_dial(self, node: NodeState) -> bool:
        """Whether the pending requests need another connection to the node."""
        pending, dials = len(node.pending), len(node.dials)
        if self._closing or dials >= MAX_DIALS or dials >= pending:
            return False
        # One spare connection: a request right after an answer would wait for the connection to settle.
        return dials + node.usable_by(self.clock.now_us() + SHORT_REST_US) <= pending

    def _dialled(self, connection: NodeConnection, node: NodeState, dialled: Deferred[Any]) -> None:
        self._dial_ended(node, dialled)
        if connection.lost:
            self._dial_unsuccessful(node)
        elif connection.generation != node.generation or self._closing:
            connection.abort()
        else:
            self._add_idle(connection, self.clock.now_us(), 0)

    def _dial_failed(self, failure: Failure, node: NodeState, dialled: Deferred[Any]) -> None:
        self._dial_ended(node, dialled)
        self._dial_unsuccessful(node)

    def _dial_ended(self, node: NodeState, dialled: Deferred[Any]) -> None:
        node.dials.discard(dialled)
        self._table.dials -= 1
        self._schedule_waiting()

    def _dial_unsuccessful(self, node: NodeState) -> None:
        """End the oldest pending request if no dial or idle connection is left for it."""
        self._drop_obsolete(node)
        if len(node.pending) > len(node.dials) + len(node.idle):
            self.finish(node.pending.popleft(), AttemptResult.NO_CONNECTION)
        self._dial(node)

    @staticmethod
    def _drop_obsolete(node: NodeState) -> None:
        while node.pending and node.pending[0].obsolete:
            node.pending.popleft()

    def _dial_raised(self, failure: Failure) -> None:
        self._log.error("dial_raised", error=repr(failure.value))

    def _close_longest_idle(self) -> bool:
        """Close the longest idle connection of any node; return False if none is idle."""
        longest_idle = self._table.longest_idle
        if longest_idle is None:
            return False
        longest_idle.abort()
        return True

    # ---- connections ----

    def connection_freed(self, connection: NodeConnection) -> None:
        """Make a connection idle, or close it if it may not be used again; usable after its rest."""
        node = connection.node
        node.busy.discard(connection)
        if connection.generation != node.generation or self._closing or connection.lost:
            connection.abort()
            return
        now_us = self.clock.now_us()
        self._add_idle(connection, now_us, node.settle_time.rest_us(now_us))

    def _add_idle(self, connection: NodeConnection, now_us: int, rest_us: int) -> None:
        connection.idle_since_us = now_us
        connection.usable_at_us = now_us + rest_us
        connection.node.idle.append(connection)
        self._table.add_idle(connection)
        self._start_pending(connection.node)
        self._schedule_waiting()

    def connection_ended(self, connection: NodeConnection) -> None:
        """Forget a closed connection; pending requests may need a new one."""
        node = connection.node
        self._adopted.discard(connection)
        self._table.remove(connection)
        node.busy.discard(connection)
        if connection in node.idle:
            node.idle.remove(connection)
        if node.pending and node.wakeup is None:
            node.wakeup = self.clock.call_later(0, lambda: self._wake(node))
        self._schedule_waiting()

    def _end_longest_rest(self) -> bool:
        """Break off the answer that has rested for longest, as its connection is needed.

        Answers that rest for long may hold a part of all connections before any of them goes; returns
        whether one went.
        """
        now_us = self.clock.now_us()
        resting = [connection for connection in self._table.busy if connection.rests_long(now_us)]
        if len(resting) * RESTING_DIVISOR <= self._max_connections:
            return False
        longest = max(resting, key=lambda connection: connection.rest_us(now_us))
        longest.give_up_stream(StreamEnd.CONNECTION_NEEDED)
        return True

    def stream_given_up(self, connection: NodeConnection, why: StreamEnd) -> None:
        """Log a streamed answer that is about to be broken off by the gateway."""
        attempt = connection.attempt
        if attempt is not None:
            self._log.info(
                "stream_given_up",
                request=attempt.client_request_id,
                node=attempt.node_id.decode(errors="replace"),
                why=why.value,
                answer=connection.describe_answer(),
            )

    def sweep(self) -> None:
        """Close connections idle for too long, end stalled answers and forget removed nodes."""
        now_us = self.clock.now_us()
        self.idle_times.decay()
        for connection in self._table.busy:
            if connection.error_body_stalled(now_us):
                connection.end_by_status()
            elif self._has_gone(connection) and connection.rests_long(now_us):
                connection.give_up_stream(StreamEnd.NODE_GONE)
        while (idle := self._table.longest_idle) is not None and self._is_idle_too_long(idle, now_us):
            idle.abort()
        for node_id in list(self._unlisted):
            self._forget_unlisted(node_id)
        self._schedule_waiting()  # an answer may rest for so long by now that its connection is needed

    def _is_idle_too_long(self, connection: NodeConnection, now_us: int) -> bool:
        return now_us - connection.idle_since_us >= self._idle_us

    def _has_gone(self, connection: NodeConnection) -> bool:
        """Whether the process at the other end has gone, by the endpoint list."""
        node = connection.node
        return node.node_id in self._unlisted or connection.generation < node.gone_generation

    def _forget_unlisted(self, node_id: NodeId) -> None:
        """Forget a removed node once it has no connections left."""
        node = self._nodes[node_id]
        if not node.connections and not node.pending:
            self._unlisted.discard(node_id)
            del self._nodes[node_id]

    def close(self) -> None:
        """Stop dialling and close idle connections; requests in flight may finish."""
        self._closing = True
        for connection in self._table.idle:
            connection.abort()
