"""The engine owns open requests, attempts and deadlines, and carries out the policy's actions.

It is independent of the wire protocol.  Events are collected and passed to the policy once per reactor tick;
its actions are carried out in order.  Whatever the policy decides, the engine itself guarantees exactly one
final answer per request, at most one attempt in flight, the limit on attempts, that nothing is sent after the
answer, and that the answer leaves before the client's timeout.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from gaugesail.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    PollEndpoints,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from gaugesail.policy.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointList,
    EndpointState,
    MaintenanceChanged,
    QuotaChanged,
    RequestReceived,
    SettingsChanged,
    ShutdownStarted,
    SiblingProcessChanged,
    TimerFired,
)
from gaugesail.policy.gateway import Gateway
from gaugesail.policy.settings import NodeId, Settings

from ..memory_budget import MemoryBudget
from .activity import Activity
from .attempts import ANSWER_MARGIN_US, Attempts
from .deadlines import AttemptDeadline, Deadline, DeadlineQueue, PolicyTimer, RequestDeadline
from .final_answers import FinalAnswers
from .lateness import Lateness
from .listed_nodes import ListedNodes
from .policy_runner import PolicyRunner
from .ports import (
    BodySink,
    BodySource,
    ClientRequest,
    Clock,
    Discovery,
    FailureReason,
    Logger,
    NodeTransport,
    Reply,
    UploadProgress,
)
from .request_ids import RequestIds
from .request_table import OpenRequest, RequestTable
from .rules import RuleMonitor, RuleViolation
from .shared_keys import SharedKeys
from .trace import Step, Trace

MAX_OPEN_REQUESTS = 4096
MAX_LOGGED_UNSERVED = 5  # requests; the steps of each are searched in the whole trace


class Engine:
    """Connects the client server, the policy and the node transport of one gateway.

    The client server accepts the clients' connections and submits their requests.
    ``seed`` initializes the policy's random numbers.  Requests beyond ``max_open`` open ones are rejected.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        transport: NodeTransport,
        discovery: Discovery,
        log: Logger,
        max_open: int = MAX_OPEN_REQUESTS,
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._log = log
        self._transport = transport
        self._discovery = discovery
        self._max_open = max_open
        self._activity = Activity(clock, log)
        self.rules = RuleMonitor(settings.drain_grace_us, log, self._activity.trace)
        self.in_maintenance: set[NodeId] = set()
        self.closing = False
        self.has_sibling = False  # another process of this gateway runs in parallel
        self._listed = ListedNodes()
        self.request_ids = RequestIds(clock)
        self._table = RequestTable(self.request_ids)
        self._open = self._table.open
        self._answers = FinalAnswers(self._table, self._activity)
        self._deadlines = DeadlineQueue(
            clock, self._deadlines_due, self._is_obsolete, self._activity.lateness.timer_due
        )
        gateway = Gateway(settings, seed, clock.now_us())
        self.policy = PolicyRunner(gateway, clock, self._activity, self._open, self._carry_out)
        self.keys = SharedKeys(self.policy)
        self.attempts = Attempts(
            clock,
            transport,
            self._table,
            self.request_ids,
            self._deadlines,
            self.policy,
            self._answers,
            self.rules,
            self._activity,
            self.in_maintenance,
            self.client_disconnected,
            self._new_request_id,
        )
        self._next_request_id = 1
        self._answers_due_us: int | None = None  # when the process is to end

    @property
    def counts(self) -> Counter[str]:
        """Event counters since the start, keyed by the names used in the log."""
        return self._activity.counts

    @property
    def lateness(self) -> Lateness:
        """What was decided after its time."""
        return self._activity.lateness

    @property
    def trace(self) -> Trace:
        """The latest steps of requests and nodes, in memory."""
        return self._activity.trace

    @property
    def started(self) -> bool:
        """Whether the policy has received its first endpoint list."""
        return self.policy.started

    @property
    def idle(self) -> bool:
        """Whether no request is open."""
        return not self._open

    @property
    def open_requests(self) -> int:
        """The number of requests that have no final answer yet."""
        return len(self._open)

    @property
    def attempts_in_flight(self) -> int:
        """The number of attempts that have not ended, including those of answered requests."""
        return len(self._table.attempts)

    @property
    def rejections(self) -> Counter[str]:
        """The policy's rejections since its start, keyed ``refused_<reason>_<node_state>``.

        ``<node_state>`` is the state of the shard's node: ``none``, ``cold`` or ``warm`` (docs/fleet.md).
        Requests that are failed because a rejection would be unsafe for their class are counted too.
        """
        return self.policy.gateway.recovery.rejections

    def start(self, known: EndpointList) -> None:
        """Start the policy with the last known endpoint list."""
        self.policy.started = True
        self.update_endpoints(known)

    # ---- called by the client server ----

    def submit(self, request: ClientRequest, reply: Reply, received_us: int | None = None) -> int:
        """Accept a request; its final answer is delivered through ``reply``, never during this call.

        The request's timeout starts at ``received_us``, by default now.  Returns the engine's request id, or
        0 if the request is not admitted.
        """
        received_at_us = self._clock.now_us() if received_us is None else received_us
        request_id = self._new_request_id()
        if not self._admit(request, reply):
            return 0
        deadline_us = received_at_us + request.timeout_us
        self._table.add(OpenRequest(request_id, request, reply, self._limit_deadline(deadline_us)))
        self.counts["taken"] += 1
        waited_ms = (self._clock.now_us() - received_at_us) // 1000
        self._activity.note(
            request.client_request_id,
            Step.RECEIVED,
            f"{request.timeout_us // 1000} ms, since {waited_ms} ms",
        )
        self._deadlines.add(deadline_us - ANSWER_MARGIN_US, RequestDeadline(request_id))
        self.policy.add_when_read(
            RequestReceived(
                request_id,
                request.class_index,
                deadline_us,
                request.shard,
                request.plan_index,
                request.units,
                request.key,
                request.volume_id,
                request.gateways_in_use,
                request.is_retry,
                request.settings,
                received_at_us,
                deadline_us - request.answer_us if request.answer_us else 0,
            )
        )
        return request_id

    def _new_request_id(self) -> int:
        request_id = self._next_request_id
        self._next_request_id += 1
        return request_id

    def _admit(self, request: ClientRequest, reply: Reply) -> bool:
        """Whether a request is admitted; if it is not, its answer is scheduled."""
        # Sending the id again would make a second copy.  Only the new request fails; the request that uses
        # the id is not affected.
        if self.request_ids.is_taken(request.client_request_id):
            self.counts["id_in_use"] += 1
            self._activity.note(request.client_request_id, Step.NOT_ADMITTED, FailureReason.ID_IN_USE.value)
            self._clock.call_later(0, lambda: reply.fail(FailureReason.ID_IN_USE))
            return False
        if len(self._open) >= self._max_open or self.closing:
            self.counts["rejected_at_shutdown" if self.closing else "rejected_at_limit"] += 1
            why = "ending" if self.closing else "too many open"
            self._activity.note(request.client_request_id, Step.NOT_ADMITTED, why)
            self._clock.call_later(0, lambda: reply.reject(request.settings.longest_retry_after_us))
            return False
        return True

    def keep_answer_time(self, request: ClientRequest) -> None:
        """Keep a part of a large request's time for its answer.

        The node is told that much before the request has waited for anything, and it may be told no more than
        what its client has left: the attempt starts while that is so, or not at all.
        """
        gateway = self.policy.gateway
        name = request.settings.classes[request.class_index].name
        request.answer_us = gateway.answer_time_us(request.shard, name, request.timeout_us)

    def stage_upload(self, request: ClientRequest, source: BodySource) -> BodySink | None:
        """Start writing a large request to its node while it is still being received, withholding its end.

        The request is submitted once it is complete, and its end is sent when the policy starts an attempt.
        Returns None if there is no node to write it to.
        """
        node_id = self.policy.gateway.node_of(request.shard)
        if node_id is None or node_id in self.in_maintenance:
            return None
        return self._transport.stage_upload(node_id, request, source)

    def upload_completed(self, request: ClientRequest, progress: UploadProgress) -> None:
        """Record that the last byte of a large request was read."""
        self._activity.note(request.client_request_id, Step.UPLOAD, f"complete, {progress}")

    def upload_refused(self, request: ClientRequest, why: str, progress: UploadProgress) -> None:
        """Record that a large request was refused while it arrived."""
        self._activity.note(request.client_request_id, Step.UPLOAD, f"refused, {why}, {progress}")
        self._log.info(
            "upload_refused",
            request=request.client_request_id,
            why=why,
            timeout_ms=request.timeout_us // 1000,
            bytes=progress.byte_count,
            pauses=progress.pauses,
            reading_ms=progress.reading_us // 1000,
            waits_ms=progress.client_waits_us // 1000,
        )

    def client_disconnected(self, request_id: int) -> None:
        """Close a request whose client has disconnected; only the policy receives its attempt's result.

        An attempt that is not completely written is cancelled, as a node counts an attempt from its last
        byte; one that is written continues.
        """
        entry = self._open.get(request_id)
        if entry is None:
            return
        name = entry.request.client_request_id
        in_flight = entry.in_flight
        self._table.remember_if_run(entry)
        self._table.close(entry)
        self.counts["gone"] += 1
        self._activity.note(name, Step.CLIENT_LEFT)
        self.policy.add(ClientDisconnected(request_id))
        if in_flight is not None:
            self.attempts.cancel_unwritten(in_flight)
            if in_flight.ended and not entry.may_have_run:
                self.request_ids.forget(name)

    def abort_request(self, request_id: int, ended: Callable[[bool], None]) -> None:
        """Close a request that its client has aborted, and abort its attempt at the node.

        ``ended`` is called once nothing of the request can run any more; with False if that cannot be known.
        """
        entry = self._open.get(request_id)
        if entry is None:
            ended(True)
            return
        in_flight = entry.in_flight
        self.client_disconnected(request_id)
        if in_flight is not None and not in_flight.ended:
            self.attempts.abort(in_flight, AttemptResult.CANCELLED)
        self._transport.when_aborted(entry.request.client_request_id, ended)

    def refuse_latest_waiting(self) -> bool:
        """Refuse the latest received request that was never sent to a node, as its memory is needed.

        Returns whether there was one.
        """
        for request_id, entry in reversed(self._open.items()):
            if not entry.attempts:
                self.counts["rejected_for_memory"] += 1
                self._answers.reject(request_id, entry.request.settings.longest_retry_after_us)
                self.policy.add(ClientDisconnected(request_id))
                return True
        return False

    def closed_unanswered(self, request_id: int) -> None:
        """Report that the client server closed the connection of this request before its answer."""
        if (entry := self._open.get(request_id)) is not None:
            self.rules.report(RuleViolation.CLOSED_UNANSWERED, entry.request.client_request_id)

    # ---- called by discovery, operators and the fleet ----

    def update_endpoints(self, endpoints: EndpointList) -> None:
        """Pass an endpoint list to the policy at once, as the grace period of draining nodes starts now."""
        self.rules.update_endpoints(endpoints, self._clock.now_us())
        for endpoint in endpoints.endpoints:
            if endpoint.state is not EndpointState.READY or endpoint.node_id not in self._listed:
                name = endpoint.node_id.decode(errors="replace")
                self._activity.note(name, Step.LISTED, endpoint.state.name.lower())
            self._listed.add(endpoint.node_id)
        self._listed.trim()
        self.policy.run_with(endpoints)

    def has_listed(self, node_id: NodeId) -> bool:
        """Whether an endpoint list has ever named this node."""
        return node_id in self._listed or node_id in self.in_maintenance

    @property
    def listed_nodes(self) -> list[NodeId]:
        """The nodes that endpoint lists have named, oldest first."""
        return self._listed.ids()

    def restore_listed_nodes(self, node_ids: list[NodeId]) -> None:
        """Add the nodes that endpoint lists have named to the predecessor process."""
        self._listed.restore(node_ids)

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings to requests received from now on."""
        self.settings = settings
        self.rules.drain_grace_us = settings.drain_grace_us
        self.policy.run_with(SettingsChanged(settings))

    def limit_records(self, budget: MemoryBudget) -> None:
        """Bound what is remembered of volumes and request ids."""
        self.policy.gateway.volumes.max_volumes = budget.volumes
        self.request_ids.max_remembered = budget.request_ids

    def change_quota(self, event: QuotaChanged) -> None:
        """Apply a new quota from the fleet."""
        self.policy.run_with(event)

    def drain_quota_demand(self) -> list[tuple[str, int, float, float, float]]:
        """Return and reset the demand of each limited volume that had requests since the last call.

        Each row has the plan, the volume, the units requested, the units sent, and the units saved up.
        """
        return self.policy.gateway.rate_limits.drain_demand(self._clock.now_us())

    def set_sibling_process(self, present: bool, is_predecessor: bool = False) -> None:
        """Set whether another process of this gateway serves in parallel with this one.

        :param is_predecessor: the other process has used this gateway's limits and budgets up to now.
        """
        self.has_sibling = present
        self.policy.run_with(SiblingProcessChanged(present, is_predecessor))

    def set_maintenance(self, node_id: NodeId, on: bool) -> None:
        """Begin or end the maintenance of a node: like a drain, but endpoint lists do not end it."""
        (self.in_maintenance.add if on else self.in_maintenance.discard)(node_id)
        self._transport.set_maintenance(node_id, on)
        self.policy.run_with(MaintenanceChanged(node_id, on))

    def limit_answers(self, at_us: int) -> None:
        """Serve requests by ``at_us``, in microseconds, or not at all, as the process is to end then."""
        self._answers_due_us = at_us
        for entry in self._open.values():
            entry.deadline_us = self._limit_deadline(entry.deadline_us)
            if entry.in_flight is not None:
                self.attempts.shorten(entry.in_flight, entry.deadline_us - ANSWER_MARGIN_US)
        self.policy.run_with(ShutdownStarted(at_us))

    def _limit_deadline(self, deadline_us: int) -> int:
        return deadline_us if self._answers_due_us is None else min(deadline_us, self._answers_due_us)

    def fail_all(self) -> None:
        """Fail all open requests and reject new ones, as the process is about to be killed.

        Requests that were never sent to a node are rejected, as their clients may try again.
        """
        self.closing = True
        unserved = list(self._open.items())
        for request_id, entry in unserved:
            if entry.attempts:
                self._answers.fail(request_id, FailureReason.OUT_OF_TIME)
            else:
                self._answers.reject(request_id, entry.request.settings.longest_retry_after_us)
            self.policy.add(ClientDisconnected(request_id))
        self.counts["unserved_at_shutdown"] += len(unserved)
        for _, entry in unserved[:MAX_LOGGED_UNSERVED]:
            name = entry.request.client_request_id
            steps = "; ".join(map(str, self.trace.steps_of(name)))
            self._log.info("unserved_at_shutdown", request=name, attempts=entry.attempts, steps=steps)

    # ---- the policy's actions ----

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self.attempts.start(action)
            case SetTimer():
                self._deadlines.add(action.at_us, PolicyTimer(action.token))
            case RejectRequest():
                self._answers.reject(action.request_id, action.retry_after_us)
            case FailRequest():
                self._answers.fail(action.request_id, FailureReason.FAILED)
            case CancelAttempt():
                self.attempts.cancel(action)
            case _:
                self._carry_out_other(action)

    def _carry_out_other(self, action: Action) -> None:
        """Carry out an action that does not concern a request."""
        match action:
            case WatchEndpoints():
                self._discovery.watch(action.on)
            case PollEndpoints():
                self._discovery.poll()
            case CheckHealth():
                self._transport.check_health(action.node_id, self.attempts)
            case CloseIdleConnections():
                self._transport.close_idle_connections(action.node_id)
            case WriteLog():
                fields = dict(action.fields)
                self._log.info(action.event, **(fields | {"text": action.text} if action.text else fields))
            case SendPeerMessage():
                self._log.warning("no_peers")  # the policy's messages between gateways have no transport
            case _:
                self.keys.carry_out(action)

    def _fail_overdue(self, request_id: int) -> None:
        """Fail a request that is still open at its deadline."""
        self.counts["overdue"] += 1
        self._answers.fail(request_id, FailureReason.OUT_OF_TIME)
        self.policy.add(ClientDisconnected(request_id))

    def _is_obsolete(self, deadline: Deadline) -> bool:
        """Whether nothing would be done at a deadline."""
        match deadline:
            case AttemptDeadline(attempt):
                return attempt.ended
            case RequestDeadline(request_id):
                return request_id not in self._open
        return False

    def _deadlines_due(self) -> None:
        now_us = self._clock.now_us()
        overdue = []
        while (deadline := self._deadlines.pop_due(now_us)) is not None:
            match deadline:
                case PolicyTimer(token):
                    self.policy.add_without_run(TimerFired(token))
                case AttemptDeadline(attempt):
                    self.attempts.deadline_reached(attempt)
                case RequestDeadline(request_id):
                    if request_id in self._open:
                        overdue.append(request_id)
        self.policy.run()
        for request_id in overdue:
            # The policy ran above and left the request open: fail it before the client's timeout.
            if request_id in self._open:
                self._fail_overdue(request_id)
        self._deadlines.ensure_scheduled()
