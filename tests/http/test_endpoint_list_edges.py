"""The watch on the list: silence, resets, another discovery, and lists that come in odd forms."""

from __future__ import annotations

import json

import pytest

from gaugesail import config as configuration
from gaugesail.http import discovery

from ..support.live_head import HEAD, End, HeldDials, Place, Turned, chunk, served, turned

TOLD_S = 6.0  # after a watch fell silent all that it missed counts as told
PUSHED = {"settings__discovery": "push"}


def quiet(rig: Turned, seconds: float) -> None:
    """Time goes by, and nobody says anything on any watch."""
    end = rig.now + seconds
    rig.until(lambda: rig.now >= end, seconds + 1)


def missed(rig: Turned, began: float) -> None:
    """A drain that only a new watch tells is kept in time."""
    again = rig.watched()
    assert rig.now - began < TOLD_S - 0.5, "it was opened anew too late"
    again.send(HEAD + rig.drain(rig.bricks[0], 2))
    rig.turn(3)
    assert rig.now - began < TOLD_S
    assert not served(rig, "after")


def test_a_watch_that_is_silent_from_its_first_second() -> None:
    with turned() as rig:
        missed(rig, rig.now)


def test_a_watch_that_was_never_answered() -> None:
    rig = Turned()
    try:
        rig.head.start()
        rig.watch = rig.watched()
        missed(rig, rig.now)
    finally:
        rig.close()


def test_a_watch_silent_in_the_middle_of_a_line() -> None:
    with turned() as rig:
        line = json.dumps(rig.listing(rig.bricks, 2, False)).encode()
        rig.watch.send(chunk(line[: len(line) // 2]))
        rig.turn(2)
        missed(rig, rig.now)


def test_a_watch_that_goes_silent_late() -> None:
    with turned() as rig:
        rig.pass_time(7.0)
        missed(rig, rig.now)


def test_a_watch_silent_while_a_new_one_waits_for_its_answer() -> None:
    """The first is silent; the call that replaces it has to wait, is given up in turn, and made again."""
    with turned() as rig:
        rig.watched()  # accepted, and never answered
        waited = rig.now
        again = rig.watched()
        assert rig.now - waited < 3.0
        again.send(HEAD + rig.drain(rig.bricks[0], 2))
        rig.turn(3)
        assert not served(rig, "after")


def test_a_standstill_of_the_head_is_not_taken_for_silence_of_the_watch() -> None:
    with turned() as rig:
        rig.watch.send(chunk(b"\n"))
        rig.leap(5.5)
        rig.turn(4)
        assert not rig.watch.gone()
        rig.watch.send(rig.drain(rig.bricks[0], 2))
        rig.turn(2)
        assert not served(rig, "after")


@pytest.mark.parametrize("way", ["rst", "fin"])
def test_a_watch_reset_just_before_a_drain(way: str) -> None:
    with turned() as rig:
        getattr(rig.watch, way)()
        began = rig.now
        again = rig.watched()
        assert rig.now - began < 1.0
        again.send(HEAD + rig.drain(rig.bricks[0], 2))
        rig.turn(2)
        assert not served(rig, "after")


def test_a_list_cut_in_the_middle_changes_nothing_and_is_asked_for_again() -> None:
    with turned() as rig:
        rig.bricks[0].phase = "Terminating"
        news = HEAD + rig.told(False, rig.bricks, 2)
        rig.bricks[0].phase = "Ready"
        rig.watch.send(news[len(HEAD) : len(HEAD) + 60])
        rig.turn(2)
        rig.watch.rst()
        again = rig.watched()
        assert served(rig, "before")
        again.send(news)
        rig.turn(3)
        assert not served(rig, "after")


@pytest.mark.parametrize("indent", [1, 2, 8])
@pytest.mark.parametrize("cut", [1, 7, 1000])
def test_an_indented_list_on_a_watch(indent: int, cut: int) -> None:
    with turned() as rig:
        rig.bricks[0].id = 'od{[d"\\'
        text = json.dumps(rig.listing([rig.bricks[0]], 2, True), indent=indent).encode() + b"\n"
        for at in range(0, len(text), cut):
            rig.watch.send(chunk(text[at : at + cut]))
            rig.turn()
        rig.turn(2)
        assert not rig.watch.gone() and served(rig, "before")
        rig.bricks[0].phase = "Terminating"
        text = json.dumps(rig.listing([rig.bricks[0]], 3, False), indent=indent).encode() + b"\n"
        rig.watch.send(chunk(b"\n") + chunk(text))
        rig.turn(3)
        assert not served(rig, "after") and not rig.watch.gone()


def test_what_is_no_list_ends_the_watch_and_the_next_one_counts() -> None:
    with turned() as rig:
        rig.watch.send(chunk(b'{"revision": 2, "complete": false, "members": [}\n'))
        again = rig.watched()
        assert rig.watch.gone()
        again.send(HEAD + rig.drain(rig.bricks[0], 2))
        rig.turn(3)
        assert not served(rig, "after")


def test_an_answer_of_the_old_discovery_on_its_way_when_another_is_configured() -> None:
    """SIGHUP comes while a list of the old address is in our kernel: the new address's alone counts."""
    with turned() as rig:
        new = Place(rig)
        rig.bricks[0].phase = "Terminating"
        old_news = rig.told(True, rig.bricks, 9)
        rig.bricks[0].phase = "Ready"
        rig.watch.send(old_news)
        reload(rig, new)
        watch = rig.watched(new)
        assert rig.watch.gone()
        watch.send(HEAD + rig.told(True, rig.bricks, 3))
        rig.turn(3)
        assert served(rig, "after")
        watch.send(rig.drain(rig.bricks[0], 4))
        rig.turn(3)
        assert not served(rig, "last")


def test_another_discovery_while_the_old_one_is_being_dialled(monkeypatch: pytest.MonkeyPatch) -> None:
    with turned() as rig:
        dials = HeldDials(monkeypatch, discovery)
        rig.watch.rst()
        assert rig.until(lambda: bool(dials.held))
        new = Place(rig)
        reload(rig, new)
        dials.release()
        watch = rig.watched(new)
        rig.pass_time(0.1)
        late = rig.list.accept_now()
        assert late is None or late.gone()
        watch.send(HEAD + rig.drain(rig.bricks[0], 2))
        rig.turn(3)
        assert not served(rig, "after")


def reload(rig: Turned, place: Place) -> None:
    fresh = rig.config | {"discovery": place.address}
    rig.head.reload_from(lambda: configuration.read(fresh, {}))


def test_discovery_down_into_the_first_second_of_a_process() -> None:
    """It serves by the list that it knows, and the first answer at the return counts at once."""
    rig = Turned()
    try:
        rig.list.listener.close()
        rig.head.start()
        rig.turn(3)
        assert rig.head.front.listening and served(rig, "before")
        quiet(rig, 1.0)
        host, port = rig.list.address.split(":")
        watch = rig.watched(Place(rig, (host, int(port))))
        watch.send(HEAD + rig.drain(rig.bricks[0], 2))
        rig.turn(3)
        assert not served(rig, "after")
    finally:
        rig.close()


def pushed(rig: Turned) -> End:
    rig.head.start()
    rig.watch = rig.watched()
    return rig.watch


def test_where_lists_are_pushed_the_agent_is_watched_and_its_drains_count() -> None:
    with turned(**PUSHED) as rig:
        assert served(rig, "before")
        rig.watch.send(rig.drain(rig.bricks[0], 2))
        rig.turn(3)
        assert not served(rig, "after")


def test_where_lists_are_pushed_nothing_is_sent_before_what_the_agent_has_is_known() -> None:
    """What it has counts from the first moment of a process: the list of the configuration may be old."""
    rig = Turned(**PUSHED)
    try:
        watch = pushed(rig)
        watch.send(HEAD)
        quiet(rig, 0.1)
        assert not rig.head.front.listening, "the head of an answer is no list yet"
        watch.send(rig.drain(rig.bricks[0], 2))
        assert rig.until(lambda: rig.head.front.listening, 1.0)
        assert not served(rig, "after")
    finally:
        rig.close()


def test_what_an_agent_gets_at_the_return_of_its_source_is_known_within_the_time_that_drains_leave() -> None:
    """Its source is down: it says nothing on the watch, nor to any call, and then answers what comes next."""
    with turned(**PUSHED, settings__guarantees__drain_grace_us="1000000") as rig:
        rig.until(rig.watch.gone)
        for _ in range(8):  # far longer than a wait that doubles would need to be long
            rig.watched()
        back = rig.now
        again = rig.watched()
        again.send(HEAD + rig.drain(rig.bricks[0], 2))
        rig.turn(2)
        assert rig.now - back < 0.5 and not served(rig, "after")


def test_an_agent_that_is_silent_keeps_a_head_from_serving_for_a_few_seconds_at_most() -> None:
    rig = Turned(**PUSHED)
    try:
        pushed(rig)
        began = rig.now
        assert rig.until(lambda: rig.head.front.listening, 10.0)
        assert rig.now - began < 4.0 and served(rig, "by-the-known-list")
    finally:
        rig.close()
