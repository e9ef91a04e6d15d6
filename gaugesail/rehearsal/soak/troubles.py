"""The faults of a soak.  Each ends after a random time, and several are active at once."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..faults.shim import DOCUMENTED, SHORT, Call
from .discovery import GatewayDiscovery
from .heads import SoakGateway
from .hostile_faults import begin_hostile_clients, begin_rivals, begin_starving
from .judge import Exemptions
from .nodes import Behaviour, SoakNode

End = Callable[[], None]
SOCKET_CALLS = (Call.ACCEPT, Call.SOCKET, Call.CONNECT, Call.RECV, Call.SEND, Call.WAIT)
FILE_CALLS = (Call.WRITE, Call.SYNC, Call.RENAME, Call.OPEN, Call.UNLINK)
# Errors of recv and send after which the connection stays open.
HARMLESS_ERRORS = {errno.EINTR, errno.EAGAIN, errno.ENOBUFS, SHORT}
CLOSE_LATEST_S = 4.0  # after the last failed call, until all broken connections are closed
HANG_SHARE = 0.6  # of the ends of processes in which nodes hang
HANG_S = (2.0, 6.0)
CLOCK_STEPS_S = (-86400.0, -3600.0, -3.0, -0.5, 0.5, 3.0, 3600.0, 86400.0)


@dataclass(slots=True, frozen=True)
class FaultKind:
    """A kind of fault, with its weight in random draws.

    ``begin`` starts the fault and returns its duration in seconds and the function that ends it, or None if
    there is nothing that it can be applied to.
    """

    name: str
    weight: float
    begin: Callable[[FaultContext], tuple[float, End] | None]


@dataclass(slots=True)
class FaultContext:
    """What faults are applied to."""

    reactor: Any
    rng: random.Random
    gateways: list[SoakGateway]
    nodes: Callable[[], list[SoakNode]]
    replace: Callable[[SoakNode], None]  # drain it, and start a node for its shard
    exemptions: Exemptions
    has_crowds: bool
    starves: bool = False

    def pick_gateway(self) -> SoakGateway | None:
        """A random gateway that is ready and not under a fault of its process."""
        idle = [gateway for gateway in self.gateways if gateway.ready and not gateway.under_process_fault]
        return self.rng.choice(idle) if idle else None

    def sample_gateways(self, share: float) -> list[SoakGateway]:
        """Each gateway with the probability ``share``."""
        return [gateway for gateway in self.gateways if self.rng.random() < share]

    def sample_discoveries(self, share: float) -> list[GatewayDiscovery]:
        """The discovery of each gateway with one process, with the probability ``share``.

        What a gateway was told is recorded for all its processes together.
        """
        found = self.sample_gateways(share)
        return [gateway.discovery for gateway in found if not gateway.is_being_replaced]

    def pick_node(self) -> SoakNode | None:
        """A random node that serves normally."""
        idle = [node for node in self.nodes() if node.behaviour is Behaviour.SERVE and not node.silent]
        return self.rng.choice(idle) if idle else None


def _release(gateway: SoakGateway) -> End:
    def release() -> None:
        gateway.under_process_fault = False

    return release


# ---- processes ----


def _hang_nodes(context: FaultContext) -> None:
    """Let some nodes hang while a process ends."""
    if context.rng.random() > HANG_SHARE:
        return
    for _ in range(context.rng.randint(1, max(1, len(context.nodes()) // 2))):
        if (node := context.pick_node()) is not None:
            node.behaviour = Behaviour.HANG
            context.reactor.callLater(context.rng.uniform(*HANG_S), _serve_again, node)


def _serve_again(node: SoakNode) -> None:
    node.behaviour = Behaviour.SERVE


def _term(context: FaultContext) -> tuple[float, End] | None:
    if (gateway := context.pick_gateway()) is None:
        return None
    gateway.under_process_fault = True
    _hang_nodes(context)
    gateway.term(context.rng, lambda: gateway.start(_release(gateway)))
    return 4.0, lambda: None


def _rolling(context: FaultContext) -> tuple[float, End] | None:
    """Send SIGTERM to several gateways at once."""
    found = [end for _ in range(max(2, len(context.gateways) // 6)) if (end := _term(context)) is not None]
    return (5.0, lambda: None) if found else None


def _replace_process(context: FaultContext) -> tuple[float, End] | None:
    """Replace a process by a second one, sometimes with a third one soon after."""
    gateway = context.pick_gateway()
    if gateway is None or not gateway.can_be_replaced:
        return None
    gateway.under_process_fault = gateway.is_being_replaced = True

    def replaced() -> None:
        gateway.under_process_fault = gateway.is_being_replaced = False

    _hang_nodes(context)
    gateway.replace(context.rng, replaced)
    return 5.0, lambda: None


def _crowd(context: FaultContext) -> tuple[float, End] | None:
    """Many idle clients occupy the connections of a gateway; its process may be ended meanwhile."""
    gateway = context.pick_gateway() if context.has_crowds else None
    if gateway is None:
        return None
    clients = gateway.clients
    crowd = clients.crowd_begins()
    return context.rng.uniform(1.0, 6.0), lambda: clients.crowd_ends(crowd)


def _kill(context: FaultContext) -> tuple[float, End] | None:
    if (gateway := context.pick_gateway()) is None:
        return None
    gateway.under_process_fault = True
    gateway.kill()
    context.reactor.callLater(context.rng.uniform(0.05, 1.0), gateway.start, _release(gateway))
    return 3.0, lambda: None


def _pause(context: FaultContext) -> tuple[float, End] | None:
    if (gateway := context.pick_gateway()) is None:
        return None
    gateway.under_process_fault = True
    gateway.pause()

    def resume() -> None:
        gateway.resume()
        gateway.under_process_fault = False

    return context.rng.choice((0.03, 0.1, 0.14, 0.4, 1.2)), resume


def _reload(context: FaultContext) -> tuple[float, End] | None:
    """Reload gateways several times in a row, some with an invalid file."""
    found = [
        gateway
        for gateway in context.sample_gateways(0.4)
        if gateway.ready and not gateway.under_process_fault
    ]
    for gateway in found:
        for number in range(context.rng.choice((1, 1, 2, 3))):
            call = (
                gateway.reload_invalid
                if context.rng.random() < 0.2
                else lambda gateway=gateway: gateway.reload(False)  # type: ignore[misc]
            )
            context.reactor.callLater(number * context.rng.uniform(0.0, 0.4), _call_if_ready, gateway, call)
    return 1.5, lambda: None


def _move_discovery(context: FaultContext) -> tuple[float, End] | None:
    found = [
        gateway
        for gateway in context.sample_gateways(0.3)
        if gateway.ready and not gateway.under_process_fault and gateway.discovery.reachable
    ]
    for gateway in found:
        gateway.reload(True)
    return 1.5, lambda: None


def _call_if_ready(gateway: SoakGateway, call: Callable[[], None]) -> None:
    if gateway.ready and not gateway.under_process_fault:
        call()


# ---- system calls and clocks ----


def _step_clock(context: FaultContext) -> tuple[float, End] | None:
    for gateway in context.sample_gateways(0.5):
        gateway.faults.step_wall_clock(context.rng.choice(CLOCK_STEPS_S))
    return 1.0, lambda: None


def _failing_calls(context: FaultContext) -> tuple[float, End] | None:
    found = [gateway for gateway in context.sample_gateways(0.3) if gateway.ready]
    lasts_s = context.rng.uniform(0.2, 1.5)
    for gateway in found:
        for call in context.rng.sample(SOCKET_CALLS, 2):
            error = context.rng.choice(DOCUMENTED[call])
            if call in (Call.RECV, Call.SEND) and error not in HARMLESS_ERRORS:
                until = context.reactor.seconds() + lasts_s + CLOSE_LATEST_S
                context.exemptions.break_connections(gateway.name, until)
            gateway.faults.fail(call, error, context.rng.choice((1, 3, 20)))

    def clear() -> None:
        for gateway in found:
            gateway.faults.clear()

    return lasts_s, clear


def _failing_files(context: FaultContext) -> tuple[float, End] | None:
    found = [gateway for gateway in context.sample_gateways(0.5) if gateway.ready]
    for gateway in found:
        call = context.rng.choice(FILE_CALLS)
        gateway.faults.fail(call, context.rng.choice(DOCUMENTED[call]), 1000)

    def clear() -> None:
        for gateway in found:
            gateway.faults.clear()

    return context.rng.uniform(0.5, 3.0), clear


# ---- nodes ----


def _misbehave(context: FaultContext) -> tuple[float, End] | None:
    if (node := context.pick_node()) is None:
        return None
    node.behaviour = context.rng.choice(
        [behaviour for behaviour in Behaviour if behaviour is not Behaviour.SERVE]
    )

    def end_misbehaviour() -> None:
        node.behaviour = Behaviour.SERVE

    return context.rng.uniform(0.5, 4.0), end_misbehaviour


def _late_bodies(context: FaultContext) -> tuple[float, End] | None:
    """Let a node send the heads of its answers at once, and their bodies later."""
    if (node := context.pick_node()) is None:
        return None
    node.behaviour = Behaviour.LATE_BODY
    return context.rng.uniform(1.0, 4.0), lambda: _serve_again(node)


def _late_connections(context: FaultContext) -> tuple[float, End] | None:
    for node in context.nodes():
        if context.rng.random() < 0.5:
            node.pause_accepting(context.rng.uniform(0.05, 1.0))
    return 1.0, lambda: None


def _drain(context: FaultContext) -> tuple[float, End] | None:
    """Drain a node; a new, cold one takes over its shard."""
    if (node := context.pick_node()) is None:
        return None
    context.replace(node)
    return 3.0, lambda: None


def _vanish(context: FaultContext) -> tuple[float, End] | None:
    """Silence a node; discovery is notified later."""
    if (node := context.pick_node()) is None:
        return None
    node.vanish()
    return context.rng.uniform(0.5, 3.0), lambda: context.replace(node)


# ---- discovery ----


def _silent(context: FaultContext) -> tuple[float, End] | None:
    found = context.sample_discoveries(0.6)
    for discovery in found:
        discovery.fall_silent()

    def end_silence() -> None:
        for discovery in found:
            discovery.end_silence()

    return context.rng.uniform(0.5, 7.0), end_silence


def _cut(context: FaultContext) -> tuple[float, End] | None:
    for discovery in context.sample_discoveries(0.7):
        discovery.cut()
    return 0.5, lambda: None


def _down(context: FaultContext) -> tuple[float, End] | None:
    found = [discovery for discovery in context.sample_discoveries(0.6) if discovery.reachable]
    for discovery in found:
        discovery.take_down()

    def bring_up() -> None:
        for discovery in found:
            discovery.bring_up()

    return context.rng.uniform(0.5, 5.0), bring_up


# ---- clients ----


def _leave(context: FaultContext) -> tuple[float, End] | None:
    found = [gateway.clients for gateway in context.sample_gateways(0.5)]
    for clients in found:
        clients.leave_share = 0.6

    def restore() -> None:
        for clients in found:
            clients.leave_share = 0.02

    return context.rng.uniform(0.3, 2.0), restore


def _bad_clients(context: FaultContext) -> tuple[float, End] | None:
    found = [gateway.clients for gateway in context.sample_gateways(0.5)]
    for clients in found:
        clients.bad_share = 0.4

    def end_misbehaviour() -> None:
        for clients in found:
            clients.bad_share = 0.0

    return context.rng.uniform(0.5, 3.0), end_misbehaviour


def _hostile(context: FaultContext) -> tuple[float, End] | None:
    if (gateway := context.pick_gateway()) is None:
        return None
    return begin_hostile_clients(gateway, context.rng, context.has_crowds)


def _rivals(context: FaultContext) -> tuple[float, End] | None:
    if (gateway := context.pick_gateway()) is None:
        return None
    return begin_rivals(gateway, context.rng, gateway.running)


def _starve(context: FaultContext) -> tuple[float, End] | None:
    gateway = context.pick_gateway() if context.starves else None
    return begin_starving(gateway, context.rng) if gateway is not None else None


FAULT_KINDS = (
    FaultKind("starve", 4.0, _starve),
    FaultKind("late_bodies", 2.0, _late_bodies), FaultKind("hostile", 6.0, _hostile),
    FaultKind("rivals", 1.5, _rivals),
    FaultKind("replace", 3.0, _replace_process), FaultKind("crowd", 2.0, _crowd),
    FaultKind("term", 2.0, _term), FaultKind("rolling", 0.7, _rolling), FaultKind("kill", 1.0, _kill),
    FaultKind("pause", 1.5, _pause), FaultKind("reload", 1.5, _reload),
    FaultKind("move_discovery", 1.0, _move_discovery), FaultKind("step_clock", 1.5, _step_clock),
    FaultKind("failing_calls", 1.5, _failing_calls),
    FaultKind("failing_files", 0.7, _failing_files), FaultKind("misbehave", 4.0, _misbehave),
    FaultKind("late_connections", 1.5, _late_connections), FaultKind("drain", 2.0, _drain),
    FaultKind("vanish", 1.0, _vanish), FaultKind("silent", 1.0, _silent), FaultKind("cut", 1.0, _cut),
    FaultKind("down", 1.0, _down), FaultKind("leave", 1.5, _leave),
    FaultKind("bad_clients", 1.0, _bad_clients),
)  # fmt: skip
