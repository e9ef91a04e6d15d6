"""Plays scenarios in memory, with virtual time: each plays the same way every time."""

from __future__ import annotations

from pathlib import Path

from gaugesail.rehearsal.scenario import Step, split
from gaugesail.rehearsal.worlds import MemoryWorld, rehearse

FOLDER = Path(__file__).parents[1] / "scenarios"


def scenarios(*files: str) -> dict[str, list[Step]]:
    """Return the scenarios of some files of the folder, by file and name."""
    found = {}
    for file in files:
        for name, steps in split((FOLDER / file).read_text()).items():
            found[f"{file}: {name}"] = steps
    return found


def play(steps: list[Step] | str, **environ: str) -> MemoryWorld:
    """Play one scenario; a failure raises ScenarioFailed.  Returns its world, which has its gateways."""
    world = MemoryWorld(**environ)
    rehearse(split(steps)[""] if isinstance(steps, str) else steps, world)
    return world
