"""What a gateway does for a request, a change or a sweep does not grow with its list or its connections."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from ..support.live_head import GatewayRig, PeerSocket, chunk, gateway_rig
from ..support.step_count import StepCounter

USUAL = 8
LISTED = (800, 3_200)
USED = 200  # servers with a connection
FACTOR = 1.4  # of the steps with the usual number, by the operators' table
PLUS_STEPS = 500  # of some thousands; a turn of the reactor more or less is some tens


class SharedEntry:
    """An entry of the endpoint list with a shard of its own, at the address of a node that listens."""

    def __init__(self, rig: GatewayRig, shard: int, phase: str = "Ready") -> None:
        self._member = rig.nodes[0].member() | {"id": f"s{shard}", "cell": shard, "phase": phase}

    def member(self) -> dict[str, Any]:
        return self._member


class ManyServers:
    """A gateway with many listed servers, of which the first ``used`` have an idle connection."""

    def __init__(self, rig: GatewayRig, listed: int, used: int) -> None:
        self.rig, self.listed, self.used = rig, listed, used
        self._names = self._revision = 1
        self.client: PeerSocket = rig.client()
        self.send_list(True, [SharedEntry(rig, shard) for shard in range(listed)])
        for shard in range(used):
            self.serve(shard)
        rig.pass_time(0.3)

    def send_list(self, full: bool, entries: list[Any]) -> None:
        self._revision += 1
        self.rig.watch.send(self.rig.list_chunk(full, entries, self._revision))
        self.rig.turn(20)

    def serve(self, shard: int) -> None:
        self._names += 1
        name = f"r{self._names}"
        self.client.send(self.rig.request(name, shard=shard))
        self.rig.nodes[0].answer(name)
        self.client.read_until(b"\r\n\r\nok")


def serve_at_a_used_server(made: ManyServers) -> None:
    made.serve(1)


def serve_where_a_connection_has_to_close_for_it(made: ManyServers) -> None:
    made.rig.gateway.transport.limit(made.used)
    made.serve(made.listed - 1)


def sweep(made: ManyServers) -> None:
    for _ in range(10):
        made.rig.gateway.transport.sweep()


def report_counts(made: ManyServers) -> None:
    made.rig.gateway._counts_report.write()


def drain_and_return(made: ManyServers) -> None:
    for phase in ("Terminating", "Ready"):
        made.send_list(False, [SharedEntry(made.rig, made.listed - 1, phase)])


def read_an_empty_line_of_the_watch(made: ManyServers) -> None:
    made.rig.watch.send(chunk(b"\n"))
    made.rig.turn(5)


DOINGS = (
    serve_at_a_used_server, serve_where_a_connection_has_to_close_for_it, sweep, report_counts,
    drain_and_return, read_an_empty_line_of_the_watch,
)  # fmt: skip


@contextmanager
def many_servers(listed: int, used: int) -> Iterator[ManyServers]:
    with gateway_rig(settings__domain__slots_total=str(listed)) as rig:
        yield ManyServers(rig, listed, used)


def steps(listed: int, used: int, doing: Callable[[ManyServers], None]) -> int:
    with many_servers(listed, used) as made:
        return StepCounter().count(lambda: doing(made))


def test_the_steps_of_a_gateway_do_not_grow_with_the_list_or_its_connections() -> None:
    """Guards against looking at all servers, or all connections, at a request, a change or a sweep."""
    problems = {}
    for doing in DOINGS:
        usual = steps(USUAL + 1, USUAL, doing)
        found = {(listed, used): steps(listed, used, doing) for listed in LISTED for used in (USUAL, USED)}
        if max(found.values()) > FACTOR * usual + PLUS_STEPS:
            problems[doing.__name__] = usual, found
    assert not problems
