"""The watch on the endpoint list: silence, resets, a change of discovery, and unusual list formats."""

from __future__ import annotations

import json

import pytest

from gaugesail import config as configuration
from gaugesail.http import discovery

from ..support.live_head import HEAD, GatewayRig, HeldDials, Listener, PeerSocket, chunk, gateway_rig, served

NOTIFIED_S = 6.0  # after a watch falls silent, the gateway counts as notified of the changes it missed
PUSHED = {"settings__discovery": "push"}


def stay_silent(rig: GatewayRig, seconds: float) -> None:
    """Let time pass without input on any watch."""
    end = rig.now + seconds
    rig.until(lambda: rig.now >= end, seconds + 1)


def assert_drained_by_next_watch(rig: GatewayRig, began: float) -> None:
    """Check that a drain sent on the next watch takes effect in time."""
    again = rig.accept_watch()
    assert rig.now - began < NOTIFIED_S - 0.5, "the next watch was opened too late"
    again.send(HEAD + rig.drain(rig.nodes[0], 2))
    rig.turn(3)
    assert rig.now - began < NOTIFIED_S
    assert not served(rig, "after")


def test_a_watch_that_is_silent_from_its_first_second() -> None:
    with gateway_rig() as rig:
        assert_drained_by_next_watch(rig, rig.now)


def test_a_watch_that_was_never_answered() -> None:
    rig = GatewayRig()
    try:
        rig.gateway.start()
        rig.watch = rig.accept_watch()
        assert_drained_by_next_watch(rig, rig.now)
    finally:
        rig.close()


def test_a_watch_silent_in_the_middle_of_a_line() -> None:
    with gateway_rig() as rig:
        line = json.dumps(rig.endpoint_list(rig.nodes, 2, False)).encode()
        rig.watch.send(chunk(line[: len(line) // 2]))
        rig.turn(2)
        assert_drained_by_next_watch(rig, rig.now)


def test_a_watch_that_goes_silent_late() -> None:
    with gateway_rig() as rig:
        rig.pass_time(7.0)
        assert_drained_by_next_watch(rig, rig.now)


def test_a_silent_watch_whose_successor_is_not_answered() -> None:
    """The first watch is silent; the call that replaces it is not answered, ends and is repeated."""
    with gateway_rig() as rig:
        rig.accept_watch()  # accepted but never answered
        waited = rig.now
        again = rig.accept_watch()
        assert rig.now - waited < 3.0
        again.send(HEAD + rig.drain(rig.nodes[0], 2))
        rig.turn(3)
        assert not served(rig, "after")


def test_a_stall_of_the_process_is_not_taken_for_silence_of_the_watch() -> None:
    with gateway_rig() as rig:
        rig.watch.send(chunk(b"\n"))
        rig.leap(5.5)
        rig.turn(4)
        assert not rig.watch.closed()
        rig.watch.send(rig.drain(rig.nodes[0], 2))
        rig.turn(2)
        assert not served(rig, "after")


@pytest.mark.parametrize("way", ["rst", "fin"])
def test_a_watch_reset_just_before_a_drain(way: str) -> None:
    with gateway_rig() as rig:
        getattr(rig.watch, way)()
        began = rig.now
        again = rig.accept_watch()
        assert rig.now - began < 1.0
        again.send(HEAD + rig.drain(rig.nodes[0], 2))
        rig.turn(2)
        assert not served(rig, "after")


def test_a_list_cut_in_the_middle_changes_nothing_and_is_requested_again() -> None:
    with gateway_rig() as rig:
        rig.nodes[0].phase = "Terminating"
        update = HEAD + rig.list_chunk(False, rig.nodes, 2)
        rig.nodes[0].phase = "Ready"
        rig.watch.send(update[len(HEAD) : len(HEAD) + 60])
        rig.turn(2)
        rig.watch.rst()
        again = rig.accept_watch()
        assert served(rig, "before")
        again.send(update)
        rig.turn(3)
        assert not served(rig, "after")


@pytest.mark.parametrize("indent", [1, 2, 8])
@pytest.mark.parametrize("cut", [1, 7, 1000])
def test_an_indented_list_on_a_watch(indent: int, cut: int) -> None:
    with gateway_rig() as rig:
        rig.nodes[0].id = 'od{[d"\\'
        text = json.dumps(rig.endpoint_list([rig.nodes[0]], 2, True), indent=indent).encode() + b"\n"
        for at in range(0, len(text), cut):
            rig.watch.send(chunk(text[at : at + cut]))
            rig.turn()
        rig.turn(2)
        assert not rig.watch.closed() and served(rig, "before")
        rig.nodes[0].phase = "Terminating"
        text = json.dumps(rig.endpoint_list([rig.nodes[0]], 3, False), indent=indent).encode() + b"\n"
        rig.watch.send(chunk(b"\n") + chunk(text))
        rig.turn(3)
        assert not served(rig, "after") and not rig.watch.closed()


def test_malformed_input_ends_the_watch_and_the_next_one_counts() -> None:
    with gateway_rig() as rig:
        rig.watch.send(chunk(b'{"revision": 2, "complete": false, "members": [}\n'))
        again = rig.accept_watch()
        assert rig.watch.closed()
        again.send(HEAD + rig.drain(rig.nodes[0], 2))
        rig.turn(3)
        assert not served(rig, "after")


def test_a_list_of_the_old_discovery_in_the_kernel_as_another_is_configured() -> None:
    """SIGHUP arrives while a list of the old address is in the kernel: only the new address counts."""
    with gateway_rig() as rig:
        new = Listener(rig)
        rig.nodes[0].phase = "Terminating"
        old_list = rig.list_chunk(True, rig.nodes, 9)
        rig.nodes[0].phase = "Ready"
        rig.watch.send(old_list)
        reload(rig, new)
        watch = rig.accept_watch(new)
        assert rig.watch.closed()
        watch.send(HEAD + rig.list_chunk(True, rig.nodes, 3))
        rig.turn(3)
        assert served(rig, "after")
        watch.send(rig.drain(rig.nodes[0], 4))
        rig.turn(3)
        assert not served(rig, "last")


def test_a_change_of_discovery_while_the_old_one_is_being_dialled(monkeypatch: pytest.MonkeyPatch) -> None:
    with gateway_rig() as rig:
        dials = HeldDials(monkeypatch, discovery)
        rig.watch.rst()
        assert rig.until(lambda: bool(dials.held))
        new = Listener(rig)
        reload(rig, new)
        dials.release()
        watch = rig.accept_watch(new)
        rig.pass_time(0.1)
        late = rig.discovery.accept_now()
        assert late is None or late.closed()
        watch.send(HEAD + rig.drain(rig.nodes[0], 2))
        rig.turn(3)
        assert not served(rig, "after")


def reload(rig: GatewayRig, listener: Listener) -> None:
    fresh = rig.config | {"discovery": listener.address}
    rig.gateway.reload_from(lambda: configuration.read(fresh, {}))


def test_discovery_down_during_the_first_second_of_a_process() -> None:
    """The gateway serves by the known list, and discovery's first answer counts at once."""
    rig = GatewayRig()
    try:
        rig.discovery.listener.close()
        rig.gateway.start()
        rig.turn(3)
        assert rig.gateway.front.listening and served(rig, "before")
        stay_silent(rig, 1.0)
        host, port = rig.discovery.address.split(":")
        watch = rig.accept_watch(Listener(rig, (host, int(port))))
        watch.send(HEAD + rig.drain(rig.nodes[0], 2))
        rig.turn(3)
        assert not served(rig, "after")
    finally:
        rig.close()


def pushed(rig: GatewayRig) -> PeerSocket:
    rig.gateway.start()
    rig.watch = rig.accept_watch()
    return rig.watch


def test_where_lists_are_pushed_the_agent_is_watched_and_its_drains_count() -> None:
    with gateway_rig(**PUSHED) as rig:
        assert served(rig, "before")
        rig.watch.send(rig.drain(rig.nodes[0], 2))
        rig.turn(3)
        assert not served(rig, "after")


def test_where_lists_are_pushed_nothing_is_sent_before_the_agents_list_is_received() -> None:
    """The agent's list counts from the start of the process: the configured list may be outdated."""
    rig = GatewayRig(**PUSHED)
    try:
        watch = pushed(rig)
        watch.send(HEAD)
        stay_silent(rig, 0.1)
        assert not rig.gateway.front.listening, "the head of an answer is not a list"
        watch.send(rig.drain(rig.nodes[0], 2))
        assert rig.until(lambda: rig.gateway.front.listening, 1.0)
        assert not served(rig, "after")
    finally:
        rig.close()


def test_an_agents_list_is_received_within_the_drain_grace_after_its_source_returns() -> None:
    """The agent has lost its source: it is silent on the watch and on calls, then answers the next call."""
    with gateway_rig(**PUSHED, settings__guarantees__drain_grace_us="1000000") as rig:
        rig.until(rig.watch.closed)
        for _ in range(8):  # enough for a doubling delay to become long
            rig.accept_watch()
        back = rig.now
        again = rig.accept_watch()
        again.send(HEAD + rig.drain(rig.nodes[0], 2))
        rig.turn(2)
        assert rig.now - back < 0.5 and not served(rig, "after")


def test_a_silent_agent_delays_serving_for_a_few_seconds_at_most() -> None:
    rig = GatewayRig(**PUSHED)
    try:
        pushed(rig)
        began = rig.now
        assert rig.until(lambda: rig.gateway.front.listening, 10.0)
        assert rig.now - began < 4.0 and served(rig, "by-the-known-list")
    finally:
        rig.close()
