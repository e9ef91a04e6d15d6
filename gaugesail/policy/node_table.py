"""Which node serves each shard, by the endpoint list, the maintenance and the starts of nodes."""

from __future__ import annotations

from .congestion_window import INITIAL_WINDOW, SLOW_START_WINDOW
from .events import Endpoint, EndpointList, EndpointListKind, EndpointState, MaintenanceChanged
from .gateway_state import GatewayState
from .measured_latencies import MeasuredLatencies
from .node_starts import NodeStartTimes
from .records import NodeRecord
from .recovery import RecoveryRamp
from .settings import NodeId
from .shard_table import ShardTable
from .slow_start import SlowStart


class NodeTable:
    """The nodes and shards that are known to one gateway."""

    def __init__(self, state: GatewayState, slow_start: SlowStart, recovery: RecoveryRamp) -> None:
        self._state = state
        self._slow_start = slow_start
        self._recovery = recovery
        self._starts = NodeStartTimes()
        self.nodes: dict[NodeId, NodeRecord] = {}
        self.shards = ShardTable(lambda: len(state.latency_targets_us))
        self.in_maintenance: set[NodeId] = set()
        self._unlisted: dict[NodeId, NodeRecord] = {}  # not listed as ready
        self.measured = MeasuredLatencies()
        self.measured.restart(state.latency_targets_us, ())

    def node_of(self, shard: int) -> NodeId | None:
        """Return the node that serves a shard now, or None."""
        node = self.shards[shard].node if shard in self.shards else None
        return None if node is None else node.node_id

    def mark_changed(self, shard: int) -> None:
        """Have a shard's waiting requests dispatched at the end of the batch."""
        record = self.shards[shard]
        self._state.changed_shards[shard] = record
        self.shards.active.add(record)

    def update(self, event: EndpointList) -> None:
        """Apply an endpoint list, or changes to it."""
        self._starts.update(self._state.now, event)
        if event.kind is not EndpointListKind.CHANGES:
            self._remove_unlisted({endpoint.node_id for endpoint in event.endpoints})
        for endpoint in event.endpoints:
            self._update_endpoint(endpoint)

    def _remove_unlisted(self, listed: set[NodeId]) -> None:
        for node in self.nodes.values():
            if node.node_id not in listed:
                self._set_listed(node, False)
                self._set_unready(node)

    def _set_listed(self, node: NodeRecord, as_ready: bool) -> None:
        node.listed_as_ready = as_ready
        if as_ready:
            self._unlisted.pop(node.node_id, None)
        else:
            self._unlisted[node.node_id] = node

    def _update_endpoint(self, endpoint: Endpoint) -> None:
        node = self.nodes.get(endpoint.node_id)
        if node is None:
            node = self._add(endpoint)
        if endpoint.started_us not in (0, node.listed_start_us):
            started_at = self._starts.started_at(self._state.now, endpoint.node_id)
            self._set_started(node, endpoint.started_us, started_at)
        self._set_listed(node, endpoint.state is EndpointState.READY)
        if node.listed_as_ready and node.node_id not in self.in_maintenance:
            self._set_ready(node)
        else:
            self._set_unready(node)

    def _add(self, endpoint: Endpoint) -> NodeRecord:
        targets = self._state.latency_targets_us
        node = NodeRecord(endpoint.node_id, endpoint.shard, endpoint.zone, INITIAL_WINDOW, list(targets))
        # A node without answers is assumed to be as fast as the average of the measured ones.
        node.latency_us = self.measured.mean() or node.latency_us
        self.measured.add(node.latency_us)
        self.nodes[endpoint.node_id] = node
        return node

    def _set_started(self, node: NodeRecord, listed_start_us: int, started_at: int) -> None:
        """Reset what is known of a node that has started again.

        :param listed_start_us: the start time in the endpoint list, on discovery's clock.
        :param started_at: the same on this gateway's clock, or a later time.
        """
        node.listed_start_us = listed_start_us
        warming = self._slow_start.capacity_share(self._state.now, started_at) < 1
        node.warming_since = started_at if warming else None
        node.slow_start_share = self._slow_start.own_share(started_at)
        node.window = SLOW_START_WINDOW if warming else INITIAL_WINDOW
        node.consecutive_failures = 0

    def _set_ready(self, node: NodeRecord) -> None:
        node.ready = True
        shard = self.shards[node.shard]
        if shard.node is None or not shard.node.ready or node.listed_start_us >= shard.node.listed_start_us:
            shard.node = node
            self.shards.available.add(shard)
            shard.in_maintenance = False
            self._recovery.node_ready(self._state.now, node)
        self.mark_changed(node.shard)

    def _set_unready(self, node: NodeRecord) -> None:
        node.ready = False
        shard = self.shards[node.shard]
        self.shards.active.add(shard)
        if shard.node is node:
            shard.node = None
            self.shards.available.discard(shard)
        now_in_maintenance = node.node_id in self.in_maintenance
        shard.in_maintenance = shard.node is None and (shard.in_maintenance or now_in_maintenance)
        if shard.node is None:
            reason = "maintenance" if shard.in_maintenance else "not ready by the endpoint list"
            self._recovery.node_removed(self._state.now, node.shard, reason)

    def set_maintenance(self, event: MaintenanceChanged) -> None:
        """Begin or end the maintenance of a node; after it the node counts as just started."""
        was_in_maintenance = event.node_id in self.in_maintenance
        if event.in_maintenance:
            self.in_maintenance.add(event.node_id)
        else:
            self.in_maintenance.discard(event.node_id)
        node = self.nodes.get(event.node_id)
        if node is None or was_in_maintenance is event.in_maintenance:
            return
        self._set_unready(node)
        if not event.in_maintenance:
            self._end_maintenance(node)

    def _end_maintenance(self, node: NodeRecord) -> None:
        # The time of its restart is unknown: assuming the latest possible time is safe.
        self._set_started(node, node.listed_start_us, self._state.now)
        node.latest_success_sent_at = self._state.now
        node.backoff_until = 0
        node.paced_until = 0
        if node.listed_as_ready:
            self._set_ready(node)

    def update_classes(self, old_targets_us: list[float]) -> None:
        """Adapt the records to changed request classes; ``old_targets_us`` are the previous targets."""
        targets = self._state.latency_targets_us
        for node in self.nodes.values():
            node.update_classes(old_targets_us, targets)
        for shard in self.shards.values():
            shard.add_classes(len(targets))
        self.measured.restart(targets, (node.latency_us for node in self.nodes.values()))
        self.shards.activate_all()

    def drop_unlisted(self) -> None:
        """Drop the nodes that are not listed as ready and have nothing in flight."""
        for node_id, node in list(self._unlisted.items()):
            if not node.in_flight:
                del self._unlisted[node_id]
                del self.nodes[node_id]
                self.measured.remove(node.latency_us)
