"""What operators have asked for, in a small file that the next process of the same gateway finds.

The keys of the file are those that earlier versions write and read.
"""

from __future__ import annotations

import json
import os
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from gaugesail.policy.settings import NodeId

MAX_FILE_BYTES = 4 * 1024 * 1024


class StateError(Exception):
    """The file is there and holds no state."""


class StateUnreadable(StateError):
    """The system gave an error as it was read: it may be read later."""


@dataclass(slots=True, frozen=True)
class State:
    """Nodes in maintenance, and whether clients are drained."""

    in_maintenance: frozenset[NodeId] = field(default_factory=frozenset)
    drained: bool = False


@dataclass(slots=True, frozen=True)
class OperatorCall:
    """One thing asked: a node put into maintenance or back, or, without a node, clients drained or taken."""

    node_id: NodeId | None
    on: bool


class StateFile:
    """One file for each gateway, in the folder that its processes share; without a folder nothing is kept."""

    def __init__(self, folder: str | None, listen: tuple[str, int]) -> None:
        # Named for where clients connect: two heads may share a folder, and both processes of one do.
        self.path = Path(folder) / f"gaugesail-{listen[0]}-{listen[1]}.json" if folder else None

    def read(self) -> State:
        """The state that was written last; nothing asked for where there is no file.

        Raises StateUnreadable where the system gives an error, StateError where the file holds no state.
        """
        if self.path is None:
            return State()
        try:
            with self.path.open("rb") as file:
                data = json.loads(file.read(MAX_FILE_BYTES))
            return State(frozenset(str(name).encode() for name in data["away"]), data["drained"] is True)
        except FileNotFoundError:
            return State()
        except OSError as error:
            raise StateUnreadable(f"{self.path}: {error!r}") from None
        except (ValueError, KeyError, TypeError) as error:
            raise StateError(f"{self.path}: {error!r}") from None

    def write(self, state: State) -> None:
        """Replace the file whole: no reader and no kill of this process meets half of it.

        It is on the disk when this returns.  Raises OSError where the file is as it was.
        """
        if self.path is None:
            return
        fresh = self.path.with_suffix(f".{os.getpid()}")
        names = sorted(name.decode(errors="replace") for name in state.in_maintenance)
        try:
            with fresh.open("w") as file:
                file.write(json.dumps({"away": names, "drained": state.drained}))
                file.flush()
                os.fsync(file.fileno())
            fresh.replace(self.path)
        except OSError:
            with suppress(OSError):
                fresh.unlink(missing_ok=True)
            raise
        with suppress(OSError):  # the new name alone: the file's contents are on the disk already
            self._sync_folder()

    def _sync_folder(self) -> None:
        assert self.path is not None
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
