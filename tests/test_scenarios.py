"""Every scenario of the folder, in memory; and what must hold after each of them."""

from __future__ import annotations

import pytest

from gaugesail.rehearsal.peers import ScenarioError
from gaugesail.rehearsal.scenario import ScenarioFailed, split
from gaugesail.rehearsal.worlds import MemoryWorld

from .rehearse import FOLDER, play, scenarios

ALL = scenarios(*sorted(path.name for path in FOLDER.iterdir()))


@pytest.mark.parametrize("name", ALL)
def test_scenario(name: str) -> None:
    head = play(ALL[name]).head
    counts = head.engine.counts
    assert not [key for key in counts if key.endswith("_raised")], counts
    ends = sum(counts[key] for key in ("served", "refused", "failed", "gone"))
    assert counts["taken"] == ends + head.engine.open_requests, counts


@pytest.mark.parametrize(
    "ending", ["send c1 get /_health\nexpect c1 404", "expect c1 nothing\nexpect c1 200"]
)
def test_a_step_that_does_not_come_true_fails_with_its_line(ending: str) -> None:
    text = f"brick b1 shard=0\nclient c1\n{ending}"
    with pytest.raises(ScenarioFailed, match="line 4"):
        play(text)


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("jump c1", "line 1: unknown word"),
        ("client c1\nwait", "line 2: wait needs more words"),
        ("client c1\nwait 1\nclient c2\nexpect c1 closed", "line 3: client must come before"),
        ("client c1\nwait 1", "expects nothing cannot fail"),
    ],
)
def test_a_scenario_that_cannot_be_read_names_its_line(text: str, why: str) -> None:
    with pytest.raises(ScenarioError, match=why):
        split(text)


def test_a_wait_in_memory_lasts_as_long_as_it_says() -> None:
    world = MemoryWorld()
    before = world.reactor.seconds()
    world.reactor.callLater(0.2, lambda: None)
    world.pass_time(1.0)
    assert abs(world.reactor.seconds() - before - 1.0) < 1e-6
