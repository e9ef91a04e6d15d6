"""Which node serves each shard, by the endpoint list, the maintenance and the starts of nodes."""

from __future__ import annotations

from collections import defaultdict

from .congestion_window import INITIAL_WINDOW, SLOW_START_WINDOW
from .events import Endpoint, EndpointList, EndpointListKind, EndpointState, MaintenanceChanged
from .gateway_state import GatewayState
from .node_starts import NodeStartTimes
from .records import NodeRecord, ShardRecord
from .recovery import RecoveryRamp
from .settings import NodeId
from .slow_start import SlowStart


class NodeTable:
    """The nodes and shards that are known to one gateway."""

    def __init__(self, state: GatewayState, slow_start: SlowStart, recovery: RecoveryRamp) -> None:
        self._state = state
        self._slow_start = slow_start
        self._recovery = recovery
        self._starts = NodeStartTimes()
        self.nodes: dict[NodeId, NodeRecord] = {}
        self.shards: dict[int, ShardRecord] = defaultdict(self._new_shard)
        self.in_maintenance: set[NodeId] = set()

    def _new_shard(self) -> ShardRecord:
        return ShardRecord(len(self._state.latency_targets_us))

    def node_of(self, shard: int) -> NodeId | None:
        """Return the node that serves a shard now, or None."""
        node = self.shards[shard].node if shard in self.shards else None
        return None if node is None else node.node_id

    def mark_changed(self, shard: int) -> None:
        """Have a shard's waiting requests dispatched at the end of the batch."""
        self._state.changed_shards[shard] = self.shards[shard]

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
                node.listed_as_ready = False
                self._set_unready(node)

    def _update_endpoint(self, endpoint: Endpoint) -> None:
        node = self.nodes.get(endpoint.node_id)
        if node is None:
            node = self._add(endpoint)
        if endpoint.started_us not in (0, node.listed_start_us):
            started_at = self._starts.started_at(self._state.now, endpoint.node_id)
            self._set_started(node, endpoint.started_us, started_at)
        node.listed_as_ready = endpoint.state is EndpointState.READY
        if node.listed_as_ready and node.node_id not in self.in_maintenance:
            self._set_ready(node)
        else:
            self._set_unready(node)

    def _add(self, endpoint: Endpoint) -> NodeRecord:
        targets = self._state.latency_targets_us
        node = NodeRecord(endpoint.node_id, endpoint.shard, endpoint.zone, INITIAL_WINDOW, list(targets))
        # A node without answers is assumed to be as fast as the average of the measured ones.
        measured = [other.latency_us for other in self.nodes.values() if other.latency_us != targets]
        if measured:
            node.latency_us = [sum(latencies) / len(measured) for latencies in zip(*measured, strict=True)]
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
            shard.in_maintenance = False
            self._recovery.node_ready(self._state.now, node)
        self.mark_changed(node.shard)

    def _set_unready(self, node: NodeRecord) -> None:
        node.ready = False
        shard = self.shards[node.shard]
        if shard.node is node:
            shard.node = None
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

    def drop_unlisted(self) -> None:
        """Drop the nodes that are not listed as ready and have nothing in flight."""
        self.nodes = {
            node_id: node for node_id, node in self.nodes.items() if node.listed_as_ready or node.in_flight
        }
