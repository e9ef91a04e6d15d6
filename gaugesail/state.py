"""The state that operators have set, in a small file for the next process of the same gateway.

The keys of the file stay those that earlier versions read and write.
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
    """The file exists but does not hold a valid state."""


class StateUnreadable(StateError):
    """The system reported an error on reading the file, which may be readable later."""


@dataclass(slots=True, frozen=True)
class State:
    """The nodes in maintenance, and whether clients are being drained."""

    in_maintenance: frozenset[NodeId] = field(default_factory=frozenset)
    drained: bool = False


@dataclass(slots=True, frozen=True)
class OperatorCall:
    """An operator's call: maintenance of a node on or off, or with no ``node_id`` draining of clients."""

    node_id: NodeId | None
    on: bool


class StateFile:
    """The state file of one gateway, in the folder that its processes share; no folder, no file."""

    def __init__(self, folder: str | None, listen: tuple[str, int]) -> None:
        # Named after the clients' address: both processes of one gateway use one file, and two gateways may
        # share a folder.
        self.path = Path(folder) / f"gaugesail-{listen[0]}-{listen[1]}.json" if folder else None

    def read(self) -> State:
        """Return the state that was written last; the default state if there is no file.

        Raises StateUnreadable if the system reports an error, StateError if the content is not valid.
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
        """Replace the file atomically; it is on disk when this returns.

        A reader never sees it half written, nor does a kill of this process leave it so.  Raises OSError if
        the file is unchanged.
        """
        if self.path is None:
            return
        temporary = self.path.with_suffix(f".{os.getpid()}")
        names = sorted(name.decode(errors="replace") for name in state.in_maintenance)
        try:
            with temporary.open("w") as file:
                file.write(json.dumps({"away": names, "drained": state.drained}))
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self.path)
        except OSError:
            with suppress(OSError):
                temporary.unlink(missing_ok=True)
            raise
        with suppress(OSError):  # only the rename is not synced yet; the contents are on disk
            self._sync_folder()

    def _sync_folder(self) -> None:
        assert self.path is not None
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
