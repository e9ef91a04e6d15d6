"""What operators have asked for, in a small file that the next process of the same head finds."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, field
from pathlib import Path

from marllift.interface import NodeId

MOST_BYTES = 4 * 1024 * 1024


class StateError(Exception):
    """The file is there and cannot be read."""


@dataclass(slots=True, frozen=True)
class State:
    """Nodes in maintenance, and whether clients are sent away."""

    away: frozenset[NodeId] = field(default_factory=frozenset)
    drained: bool = False


@dataclass(slots=True, frozen=True)
class Call:
    """One thing asked: a node out of use or back, or, without a node, clients sent away or taken."""

    node: NodeId | None
    on: bool


class StateFile:
    """One file for each head, in the folder that its processes share; without a folder nothing is kept."""

    def __init__(self, folder: str | None, listen: tuple[str, int]) -> None:
        # Named for where clients connect: two heads may share a folder, and both processes of one do.
        self.path = Path(folder) / f"gaugesail-{listen[0]}-{listen[1]}.json" if folder else None

    def read(self) -> State:
        if self.path is None:
            return State()
        try:
            with self.path.open("rb") as file:
                data = json.loads(file.read(MOST_BYTES))
            return State(frozenset(str(name).encode() for name in data["away"]), data["drained"] is True)
        except FileNotFoundError:
            return State()
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise StateError(f"{self.path}: {error!r}") from None

    def write(self, state: State) -> None:
        """Replace the file whole, so that no reader and no end of this process meets half of it."""
        if self.path is None:
            return
        fresh = self.path.with_suffix(f".{os.getpid()}")
        names = sorted(name.decode(errors="replace") for name in state.away)
        fresh.write_text(json.dumps({"away": names, "drained": state.drained}))
        fresh.replace(self.path)
