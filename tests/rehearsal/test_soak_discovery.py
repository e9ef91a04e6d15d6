"""When a soak takes a gateway for told that a node drains."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from gaugesail.rehearsal.memory import MemoryReactor
from gaugesail.rehearsal.soak.discovery import BINDS_AFTER_S, GatewayDiscovery, Membership

GATEWAY = "h1"


class Told:
    """The discovery of one gateway, and a node that begins to drain."""

    def __init__(self) -> None:
        self.reactor = MemoryReactor()
        self.membership = Membership()
        self.discovery = GatewayDiscovery(self.reactor, GATEWAY, self.membership)
        self.node: Any = SimpleNamespace(
            name="n", phase="Terminating", drain_known_at={}, notified_by={}, endpoint=dict
        )

    def drain(self, is_watched: bool) -> None:
        self.discovery._watches = [SimpleNamespace(link=SimpleNamespace(write=len))] if is_watched else []  # type: ignore[list-item]
        self.membership.update(self.node)

    @property
    def known_at(self) -> float:
        return float(self.node.drain_known_at[GATEWAY])


def test_a_change_on_a_watch_and_a_whole_list_are_told_at_once() -> None:
    watched, listed = Told(), Told()
    watched.drain(True)
    assert watched.known_at == watched.reactor.seconds()
    listed.drain(False)
    listed.reactor.advance(1.0)
    listed.discovery.full_list_sent()
    assert listed.known_at == listed.reactor.seconds()


def test_what_a_starting_process_has_alone_binds_after_it_serves() -> None:
    """Guards against holding the present process to a list that only the next one has received."""
    for is_watched in (False, True):
        told = Told()
        told.discovery.further_process_starts()
        told.drain(is_watched)
        told.discovery.full_list_sent()
        assert told.known_at > told.reactor.seconds() + BINDS_AFTER_S
        told.reactor.advance(0.5)
        told.discovery.further_process_serves()
        assert told.known_at == told.reactor.seconds() + BINDS_AFTER_S


def test_later_news_binds_no_sooner_and_then_at_once() -> None:
    told = Told()
    told.discovery.further_process_starts()
    told.discovery.further_process_serves()
    binds_at = told.reactor.seconds() + BINDS_AFTER_S
    told.drain(False)
    told.discovery.full_list_sent()
    assert told.known_at == binds_at
    later = Told()
    later.discovery.further_process_starts()
    later.discovery.further_process_serves()
    later.reactor.advance(2 * BINDS_AFTER_S)
    later.drain(True)
    assert later.known_at == later.reactor.seconds()
