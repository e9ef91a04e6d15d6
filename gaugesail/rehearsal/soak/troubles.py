"""The troubles of a soak.  Each begins, lasts for a drawn time and ends; several go on at once."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..faults.shim import DOCUMENTED, SHORT, Call
from .heads import SoakHead
from .judge import Exemptions
from .nodes import Behaviour, SoakNode

End = Callable[[], None]
SOCKET_CALLS = (Call.ACCEPT, Call.SOCKET, Call.CONNECT, Call.RECV, Call.SEND, Call.WAIT)
FILE_CALLS = (Call.WRITE, Call.SYNC, Call.RENAME, Call.OPEN, Call.UNLINK)
HARMLESS = {errno.EINTR, errno.EAGAIN, errno.ENOBUFS, SHORT}  # of recv and send: the connection lives on
CLOSED_LATEST_S = 4.0  # after the last call that failed, until all that it broke is closed
CLOCK_STEPS_S = (-86400.0, -3600.0, -3.0, -0.5, 0.5, 3.0, 3600.0, 86400.0)


@dataclass(slots=True, frozen=True)
class Trouble:
    """A kind of trouble: how often it is drawn, and what begins it.  It returns when it is over and what ends
    it, or None where it finds nothing to trouble."""

    name: str
    weight: float
    begin: Callable[[Stage], tuple[float, End] | None]


@dataclass(slots=True)
class Stage:
    """What troubles act on."""

    reactor: Any
    rng: random.Random
    heads: list[SoakHead]
    nodes: Callable[[], list[SoakNode]]
    replace: Callable[[SoakNode], None]  # a new process takes its shard
    exemptions: Exemptions

    def a_head(self) -> SoakHead | None:
        free = [head for head in self.heads if head.up and not head.busy]
        return self.rng.choice(free) if free else None

    def some_heads(self, share: float) -> list[SoakHead]:
        return [head for head in self.heads if self.rng.random() < share]

    def a_node(self) -> SoakNode | None:
        free = [node for node in self.nodes() if node.behaviour is Behaviour.SERVE and not node.silent]
        return self.rng.choice(free) if free else None


def _free(head: SoakHead) -> End:
    def free() -> None:
        head.busy = False

    return free


# ---- processes ----


def _term(stage: Stage) -> tuple[float, End] | None:
    if (head := stage.a_head()) is None:
        return None
    head.busy = True
    head.term(lambda: head.start(_free(head)))
    return 4.0, lambda: None


def _rolling(stage: Stage) -> tuple[float, End] | None:
    """Several are told to end in the same moment."""
    found = [end for _ in range(max(2, len(stage.heads) // 6)) if (end := _term(stage)) is not None]
    return (5.0, lambda: None) if found else None


def _kill(stage: Stage) -> tuple[float, End] | None:
    if (head := stage.a_head()) is None:
        return None
    head.busy = True
    head.kill()
    stage.reactor.callLater(stage.rng.uniform(0.05, 1.0), head.start, _free(head))
    return 3.0, lambda: None


def _pause(stage: Stage) -> tuple[float, End] | None:
    if (head := stage.a_head()) is None:
        return None
    head.busy = True
    head.pause()

    def go_on() -> None:
        head.go_on()
        head.busy = False

    return stage.rng.choice((0.03, 0.1, 0.14, 0.4, 1.2)), go_on


def _reload(stage: Stage) -> tuple[float, End] | None:
    """New configurations in a row, some of which cannot be read."""
    found = [head for head in stage.some_heads(0.4) if head.up and not head.busy]
    for head in found:
        for number in range(stage.rng.choice((1, 1, 2, 3))):
            call = head.spoil if stage.rng.random() < 0.2 else lambda head=head: head.reload(False)  # type: ignore[misc]
            stage.reactor.callLater(number * stage.rng.uniform(0.0, 0.4), _if_up, head, call)
    return 1.5, lambda: None


def _move_discovery(stage: Stage) -> tuple[float, End] | None:
    found = [head for head in stage.some_heads(0.3) if head.up and not head.busy and head.discovery.reachable]
    for head in found:
        head.reload(True)
    return 1.5, lambda: None


def _if_up(head: SoakHead, call: Callable[[], None]) -> None:
    if head.up and not head.busy:
        call()


# ---- the system below ----


def _step_clock(stage: Stage) -> tuple[float, End] | None:
    for head in stage.some_heads(0.5):
        head.faults.step_wall_clock(stage.rng.choice(CLOCK_STEPS_S))
    return 1.0, lambda: None


def _failing_calls(stage: Stage) -> tuple[float, End] | None:
    found = [head for head in stage.some_heads(0.3) if head.up]
    lasts = stage.rng.uniform(0.2, 1.5)
    for head in found:
        for call in stage.rng.sample(SOCKET_CALLS, 2):
            error = stage.rng.choice(DOCUMENTED[call])
            if call in (Call.RECV, Call.SEND) and error not in HARMLESS:
                until = stage.reactor.seconds() + lasts + CLOSED_LATEST_S
                stage.exemptions.break_connections(head.name, until)
            head.faults.fail(call, error, stage.rng.choice((1, 3, 20)))

    def clear() -> None:
        for head in found:
            head.faults.clear()

    return lasts, clear


def _failing_files(stage: Stage) -> tuple[float, End] | None:
    found = [head for head in stage.some_heads(0.5) if head.up]
    for head in found:
        call = stage.rng.choice(FILE_CALLS)
        head.faults.fail(call, stage.rng.choice(DOCUMENTED[call]), 1000)

    def clear() -> None:
        for head in found:
            head.faults.clear()

    return stage.rng.uniform(0.5, 3.0), clear


# ---- nodes ----


def _misbehave(stage: Stage) -> tuple[float, End] | None:
    if (node := stage.a_node()) is None:
        return None
    node.behaviour = stage.rng.choice([one for one in Behaviour if one is not Behaviour.SERVE])

    def behave() -> None:
        node.behaviour = Behaviour.SERVE

    return stage.rng.uniform(0.5, 4.0), behave


def _late_connections(stage: Stage) -> tuple[float, End] | None:
    for node in stage.nodes():
        if stage.rng.random() < 0.5:
            node.refuse(stage.rng.uniform(0.05, 1.0))
    return 1.0, lambda: None


def _drain(stage: Stage) -> tuple[float, End] | None:
    """A node drains, and a new one takes its shard, cold."""
    if (node := stage.a_node()) is None:
        return None
    stage.replace(node)
    return 3.0, lambda: None


def _vanish(stage: Stage) -> tuple[float, End] | None:
    """It says nothing any more; discovery hears of it later."""
    if (node := stage.a_node()) is None:
        return None
    node.vanish()
    return stage.rng.uniform(0.5, 3.0), lambda: stage.replace(node)


# ---- discovery ----


def _silent(stage: Stage) -> tuple[float, End] | None:
    found = [head.discovery for head in stage.some_heads(0.6)]
    for discovery in found:
        discovery.fall_silent()

    def speak() -> None:
        for discovery in found:
            discovery.speak()

    return stage.rng.uniform(0.5, 7.0), speak


def _cut(stage: Stage) -> tuple[float, End] | None:
    for head in stage.some_heads(0.7):
        head.discovery.cut()
    return 0.5, lambda: None


def _down(stage: Stage) -> tuple[float, End] | None:
    found = [head.discovery for head in stage.some_heads(0.6) if head.discovery.reachable]
    for discovery in found:
        discovery.down()

    def come_up() -> None:
        for discovery in found:
            discovery.up()

    return stage.rng.uniform(0.5, 5.0), come_up


# ---- clients ----


def _leave(stage: Stage) -> tuple[float, End] | None:
    found = [head.clients for head in stage.some_heads(0.5)]
    for clients in found:
        clients.leave_share = 0.6

    def stay() -> None:
        for clients in found:
            clients.leave_share = 0.02

    return stage.rng.uniform(0.3, 2.0), stay


def _bad_clients(stage: Stage) -> tuple[float, End] | None:
    found = [head.clients for head in stage.some_heads(0.5)]
    for clients in found:
        clients.bad_share = 0.4

    def behave() -> None:
        for clients in found:
            clients.bad_share = 0.0

    return stage.rng.uniform(0.5, 3.0), behave


KINDS = (
    Trouble("term", 2.0, _term), Trouble("rolling", 0.7, _rolling), Trouble("kill", 1.0, _kill),
    Trouble("pause", 1.5, _pause), Trouble("reload", 1.5, _reload),
    Trouble("move_discovery", 1.0, _move_discovery), Trouble("step_clock", 1.5, _step_clock),
    Trouble("failing_calls", 1.5, _failing_calls),
    Trouble("failing_files", 0.7, _failing_files), Trouble("misbehave", 4.0, _misbehave),
    Trouble("late_connections", 1.5, _late_connections), Trouble("drain", 2.0, _drain),
    Trouble("vanish", 1.0, _vanish), Trouble("silent", 1.0, _silent), Trouble("cut", 1.0, _cut),
    Trouble("down", 1.0, _down), Trouble("leave", 1.5, _leave), Trouble("bad_clients", 1.0, _bad_clients),
)  # fmt: skip
