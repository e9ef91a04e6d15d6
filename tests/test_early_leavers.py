"""Clients that wait for less than their class's time: that is no sign that part of it is gone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from marllift import interface as api
from marllift.repeats import Ticket

from . import driver
from .driver import SEC


def rigged(marks: bool) -> driver.Driver:
    given = driver.settings()
    spec = replace(given.classes[0], aim_us=SEC, deadline_us=15 * SEC)
    rig = driver.Driver(driver.settings(classes=(spec, *given.classes[1:]), clients_mark=marks))
    rig.pass_time(3 * SEC)
    return rig


@pytest.mark.parametrize("marks", [True, False])
def test_a_first_try_that_gives_up_early_has_its_whole_aim(marks: bool) -> None:
    rig = rigged(marks)
    asked = rig.ask(give_up=900_000)
    assert [send.request for send in rig.sends] == [asked]


def test_a_marked_repeat_whose_aim_is_over_is_refused_at_once() -> None:
    rig = rigged(True)
    asked = rig.ask(give_up=900_000, again=True)
    assert not rig.sends
    assert asked not in rig.gateway.jobs


def test_where_clients_do_not_mark_a_repeat_is_known_by_the_ticket_that_it_was_refused_with() -> None:
    rig = rigged(False)
    recovery = rig.gateway.recovery
    request = api.Request(901, 0, rig.now + 900_000, 0, volume=7, key=9)
    earliest = request.give_up_us - 15 * SEC
    assert recovery.first_asked(rig.now, request, 0, earliest) == rig.now
    mark = recovery.repeats.mark(request, 0)
    recovery._keep(Ticket(mark, 0, None, 1.0, 0.0, rig.now, 100_000, rig.now))
    assert recovery.first_asked(rig.now, request, 0, earliest) == earliest
