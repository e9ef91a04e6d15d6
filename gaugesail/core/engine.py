"""The engine: owns open requests, attempts and deadlines, and carries out what the policy decides.

It knows no wire.  Events are gathered and given to the policy once a tick; its actions are carried out in
order.  The engine itself guarantees, whatever the policy says: one final answer for each request, one attempt
in flight, the limit of attempts, nothing sent after the answer, and an answer while the client still waits.
"""

from __future__ import annotations

from collections import Counter

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
    ClientDisconnected,
    EndpointList,
    EndpointState,
    MaintenanceChanged,
    QuotaChanged,
    RequestReceived,
    SettingsChanged,
    SiblingProcessChanged,
    TimerFired,
)
from gaugesail.policy.gateway import Gateway
from gaugesail.policy.settings import NodeId, Settings

from .activity import Activity
from .attempts import ANSWER_MARGIN_US, Attempts
from .deadlines import AttemptDeadline, DeadlineQueue, PolicyTimer, RequestDeadline
from .final_answers import FinalAnswers
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
)
from .request_table import OpenRequest, RequestTable
from .rules import RuleMonitor, RuleViolation
from .trace import Step, Trace

MAX_OPEN_REQUESTS = 4096


class Engine:
    """One gateway's requests, between the clients' side, the policy and the nodes."""

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
        self._listed = ListedNodes()
        self._table = RequestTable()
        self._open = self._table.open
        self._answers = FinalAnswers(self._table, self._activity)
        self._deadlines = DeadlineQueue(clock, self._deadlines_due)
        gateway = Gateway(settings, seed, clock.now_us())
        self.policy = PolicyRunner(gateway, clock, self._activity, self._open, self._carry_out)
        self.attempts = Attempts(
            clock,
            transport,
            self._table,
            self._deadlines,
            self.policy,
            self._answers,
            self.rules,
            self._activity,
            self.in_maintenance,
            self.client_disconnected,
        )
        self._next_request_id = 1

    @property
    def counts(self) -> Counter[str]:
        """What has happened since the start, by the names that the log shows."""
        return self._activity.counts

    @property
    def trace(self) -> Trace:
        """The latest steps of requests and nodes."""
        return self._activity.trace

    @property
    def started(self) -> bool:
        """Whether the policy has had its first endpoint list."""
        return self.policy.started

    @property
    def idle(self) -> bool:
        """Whether no client is owed an answer."""
        return not self._open

    @property
    def open_requests(self) -> int:
        """How many requests are owed their answer."""
        return len(self._open)

    @property
    def attempts_in_flight(self) -> int:
        """How many attempts have not ended, those of answered requests included."""
        return len(self._table.attempts)

    @property
    def rejections(self) -> Counter[str]:
        """The policy's rejections since its start, as ``refused_<why>_<node>``: the guard, and whether the
        shard's node was ``none``, ``cold`` or ``warm`` (docs/fleet.md).  Fails of unsafe classes count too.
        """
        return self.policy.gateway.recovery.rejections

    def start(self, known: EndpointList) -> None:
        """Set the policy up with the endpoint list as it was last known."""
        self.policy.started = True
        self.update_endpoints(known)

    # ---- from the clients' side ----

    def submit(self, request: ClientRequest, reply: Reply, received_us: int | None = None) -> int:
        """Receive a request; its final answer comes through ``reply``, never from inside this call.

        Its time runs from ``received_us``, by default from now.  The result is the engine's id of the
        request, or 0 where it is not admitted.
        """
        now_us = self._clock.now_us() if received_us is None else received_us
        request_id = self._next_request_id
        self._next_request_id += 1
        if not self._admit(request, reply):
            return 0
        deadline_us = now_us + request.timeout_us
        self._table.add(OpenRequest(request_id, request, reply, deadline_us))
        self.counts["taken"] += 1
        self._activity.note(request.client_request_id, Step.RECEIVED, f"{request.timeout_us // 1000} ms")
        self._deadlines.add(deadline_us - ANSWER_MARGIN_US, RequestDeadline(request_id))
        self.policy.add_request(
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
                now_us,
            )
        )
        return request_id

    def _admit(self, request: ClientRequest, reply: Reply) -> bool:
        """Whether a request may be received; where it may not, its answer is on its way."""
        # An id whose earlier attempt may still be in flight must not be sent again: that would be a second
        # copy.  The error is the new request's; the client of the first neither hears of it nor loses any.
        if self._table.uses_id(request.client_request_id):
            self.counts["id_in_use"] += 1
            self._activity.note(request.client_request_id, Step.NOT_ADMITTED, FailureReason.ID_IN_USE.value)
            self._clock.call_later(0, lambda: reply.fail(FailureReason.ID_IN_USE))
            return False
        if len(self._open) >= self._max_open or self.closing:
            self.counts["rejected_at_limit"] += 1
            why = "ending" if self.closing else "too many open"
            self._activity.note(request.client_request_id, Step.NOT_ADMITTED, why)
            self._clock.call_later(0, lambda: reply.reject(request.settings.longest_retry_after_us))
            return False
        return True

    def stage_upload(self, request: ClientRequest, source: BodySource) -> BodySink | None:
        """Write a large request to the node where it will run while it is received, short of its end.

        It is submitted when it is complete, and runs when the policy starts its attempt.  None where there is
        no node to write it to.
        """
        node_id = self.policy.gateway.node_of(request.shard)
        if node_id is None or node_id in self.in_maintenance:
            return None
        return self._transport.stage_upload(node_id, request, source)

    def client_disconnected(self, request_id: int) -> None:
        """The client left; its attempt goes on, and only the policy hears its result.

        An attempt that is still being written ends: a node counts an attempt from its last byte.
        """
        entry = self._open.get(request_id)
        if entry is None:
            return
        self._table.close(entry)
        self.counts["gone"] += 1
        self._activity.note(entry.request.client_request_id, Step.CLIENT_LEFT)
        self.policy.add(ClientDisconnected(request_id))
        if entry.in_flight is not None:
            self.attempts.cancel_unwritten(entry.in_flight)

    def closed_unanswered(self, request_id: int) -> None:
        """The clients' side has closed the connection of this request before its answer."""
        if (entry := self._open.get(request_id)) is not None:
            self.rules.report(RuleViolation.CLOSED_UNANSWERED, entry.request.client_request_id)

    # ---- from discovery, operators and the fleet ----

    def update_endpoints(self, endpoints: EndpointList) -> None:
        """Give an endpoint list to the policy at once: the time of the drain rule runs."""
        self.rules.update_endpoints(endpoints, self._clock.now_us())
        for endpoint in endpoints.endpoints:
            if endpoint.state is not EndpointState.READY or endpoint.node_id not in self._listed:
                name = endpoint.node_id.decode(errors="replace")
                self._activity.note(name, Step.LISTED, endpoint.state.name.lower())
            self._listed.add(endpoint.node_id)
        self._listed.trim()
        self._run_with(endpoints)

    def has_listed(self, node_id: NodeId) -> bool:
        """Whether an endpoint list has ever named this node."""
        return node_id in self._listed or node_id in self.in_maintenance

    @property
    def listed_nodes(self) -> list[NodeId]:
        """The nodes that endpoint lists have named, the oldest first."""
        return self._listed.ids()

    def restore_listed_nodes(self, node_ids: list[NodeId]) -> None:
        """Enter what lists have named to the process before this one."""
        self._listed.restore(node_ids)

    def change_settings(self, settings: Settings) -> None:
        """Use other settings for the requests received from now on."""
        self.settings = settings
        self.rules.drain_grace_us = settings.drain_grace_us
        self._run_with(SettingsChanged(settings))

    def change_quota(self, event: QuotaChanged) -> None:
        """Use what the fleet lets this gateway spend from now on."""
        self._run_with(event)

    def drain_quota_demand(self) -> list[tuple[str, int, float, float, float]]:
        """Plan, volume, units asked for and sent since the last call, and units saved up, of each volume
        under a limit that was asked for."""
        return self.policy.gateway.rate_limits.take_demand(self._clock.now_us())

    def set_sibling_process(self, present: bool) -> None:
        """Another process of this gateway works beside this one, or no longer does."""
        self._run_with(SiblingProcessChanged(present))

    def set_maintenance(self, node_id: NodeId, on: bool) -> None:
        """Operators take a node out of use, or put it back: like a drain that no endpoint list ends."""
        (self.in_maintenance.add if on else self.in_maintenance.discard)(node_id)
        self._transport.set_maintenance(node_id, on)
        self._run_with(MaintenanceChanged(node_id, on))

    def _run_with(
        self,
        event: EndpointList | SettingsChanged | QuotaChanged | SiblingProcessChanged | MaintenanceChanged,
    ) -> None:
        self.policy.add_without_run(event)
        self.policy.run()

    def fail_all(self) -> None:
        """Answer all open requests now, and later ones at once: the process is about to be killed."""
        self.closing = True
        for request_id in list(self._open):
            self._fail_overdue(request_id)

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
                self._carry_out_besides(action)

    def _carry_out_besides(self, action: Action) -> None:
        """Carry out an action that is about no request."""
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
                self._log.warning("no_peers")  # gateways have no way to talk to each other

    def _fail_overdue(self, request_id: int) -> None:
        """Answer a request for which the policy has decided nothing in its time."""
        self.counts["overdue"] += 1
        self._answers.fail(request_id, FailureReason.OUT_OF_TIME)
        self.policy.add(ClientDisconnected(request_id))

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
            # The policy has had its chance; a request still open now would outlive its client.
            if request_id in self._open:
                self._fail_overdue(request_id)
        self._deadlines.ensure_scheduled()
