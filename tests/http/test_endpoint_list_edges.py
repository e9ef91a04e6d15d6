"""The watch on the list: silence, resets, another discovery, and lists that come in odd forms."""

from __future__ import annotations

import json

import pytest

from gaugesail import config as configuration
from gaugesail.http import discovery

from ..support.live_head import HEAD, GatewayRig, HeldDials, Listener, PeerSocket, chunk, gateway_rig, served

TOLD_S = 6.0  # after a watch fell silent all that it missed counts as told
PUSHED = {"settings__discovery": "push"}


def quiet(rig: GatewayRig, seconds: float) -> None:
    """Time goes by, and nobody says anything on any watch."""
    end = rig.now + seconds
    rig.until(lambda: rig.now >= end, seconds + 1)


def missed(rig: GatewayRig, began: float) -> None:
    """A drain that only a new watch tells is kept in time."""
    again = rig.accept_watch()
    assert rig.now - began < TOLD_S - 0.5, "it was opened anew too late"
    again.send(HEAD + rig.drain(rig.nodes[0], 2))
    rig.turn(3)
    assert rig.now - began < TOLD_S
    assert not served(rig, "after")


def test_a_watch_that_is_silent_from_its_first_second() -> None:
    with gateway_rig() as rig:
        missed(rig, rig.now)


def test_a_watch_that_was_never_answered() -> None:
    rig = GatewayRig()
    try:
        rig.gateway.start()
        rig.watch = rig.accept_watch()
        missed(rig, rig.now)
    finally:
        rig.close()


def test_a_watch_silent_in_the_middle_of_a_line() -> None:
    with gateway_rig() as rig:
        line = json.dumps(rig.endpoint_list(rig.nodes, 2, False)).encode()
        rig.watch.send(chunk(line[: len(line) // 2]))
        rig.turn(2)
        missed(rig, rig.now)


def test_a_watch_that_goes_silent_late() -> None:
    with gateway_rig() as rig:
        rig.pass_time(7.0)
        missed(rig, rig.now)


def test_a_watch_silent_while_a_new_one_waits_for_its_answer() -> None:
    """The first is silent; the call that replaces it has to wait, is given up in turn, and made again."""
    with gateway_rig() as rig:
        rig.accept_watch()  # accepted, and never answered
        waited = rig.now
        again = rig.accept_watch()
        assert rig.now - waited < 3.0
        again.send(HEAD + rig.drain(rig.nodes[0], 2))
        rig.turn(3)
        assert not served(rig, "after")


def test_a_standstill_of_the_head_is_not_taken_for_silence_of_the_watch() -> None:
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


def test_a_list_cut_in_the_middle_changes_nothing_and_is_asked_for_again() -> None:
    with gateway_rig() as rig:
        rig.nodes[0].phase = "Terminating"
        news = HEAD + rig.list_chunk(False, rig.nodes, 2)
        rig.nodes[0].phase = "Ready"
        rig.watch.send(news[len(HEAD) : len(HEAD) + 60])
        rig.turn(2)
        rig.watch.rst()
        again = rig.accept_watch()
        assert served(rig, "before")
        again.send(news)
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


def test_what_is_no_list_ends_the_watch_and_the_next_one_counts() -> None:
    with gateway_rig() as rig:
        rig.watch.send(chunk(b'{"revision": 2, "complete": false, "members": [}\n'))
        again = rig.accept_watch()
        assert rig.watch.closed()
        again.send(HEAD + rig.drain(rig.nodes[0], 2))
        rig.turn(3)
        assert not served(rig, "after")


def test_an_answer_of_the_old_discovery_on_its_way_when_another_is_configured() -> None:
    """SIGHUP comes while a list of the old address is in our kernel: the new address's alone counts."""
    with gateway_rig() as rig:
        new = Listener(rig)
        rig.nodes[0].phase = "Terminating"
        old_news = rig.list_chunk(True, rig.nodes, 9)
        rig.nodes[0].phase = "Ready"
        rig.watch.send(old_news)
        reload(rig, new)
        watch = rig.accept_watch(new)
        assert rig.watch.closed()
        watch.send(HEAD + rig.list_chunk(True, rig.nodes, 3))
        rig.turn(3)
        assert served(rig, "after")
        watch.send(rig.drain(rig.nodes[0], 4))
        rig.turn(3)
        assert not served(rig, "last")


def test_another_discovery_while_the_old_one_is_being_dialled(monkeypatch: pytest.MonkeyPatch) -> None:
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


def reload(rig: GatewayRig, place: Listener) -> None:
    fresh = rig.config | {"discovery": place.address}
    rig.gateway.reload_from(lambda: configuration.read(fresh, {}))


def test_discovery_down_into_the_first_second_of_a_process() -> None:
    """It serves by the list that it knows, and the first answer at the return counts at once."""
    rig = GatewayRig()
    try:
        rig.discovery.listener.close()
        rig.gateway.start()
        rig.turn(3)
        assert rig.gateway.front.listening and served(rig, "before")
        quiet(rig, 1.0)
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


def test_where_lists_are_pushed_nothing_is_sent_before_what_the_agent_has_is_known() -> None:
    """What it has counts from the first moment of a process: the list of the configuration may be old."""
    rig = GatewayRig(**PUSHED)
    try:
        watch = pushed(rig)
        watch.send(HEAD)
        quiet(rig, 0.1)
        assert not rig.gateway.front.listening, "the head of an answer is no list yet"
        watch.send(rig.drain(rig.nodes[0], 2))
        assert rig.until(lambda: rig.gateway.front.listening, 1.0)
        assert not served(rig, "after")
    finally:
        rig.close()


def test_what_an_agent_gets_at_the_return_of_its_source_is_known_within_the_time_that_drains_leave() -> None:
    """Its source is down: it says nothing on the watch, nor to any call, and then answers what comes next."""
    with gateway_rig(**PUSHED, settings__guarantees__drain_grace_us="1000000") as rig:
        rig.until(rig.watch.closed)
        for _ in range(8):  # far longer than a wait that doubles would need to be long
            rig.accept_watch()
        back = rig.now
        again = rig.accept_watch()
        again.send(HEAD + rig.drain(rig.nodes[0], 2))
        rig.turn(2)
        assert rig.now - back < 0.5 and not served(rig, "after")


def test_an_agent_that_is_silent_keeps_a_head_from_serving_for_a_few_seconds_at_most() -> None:
    rig = GatewayRig(**PUSHED)
    try:
        pushed(rig)
        began = rig.now
        assert rig.until(lambda: rig.gateway.front.listening, 10.0)
        assert rig.now - began < 4.0 and served(rig, "by-the-known-list")
    finally:
        rig.close()
