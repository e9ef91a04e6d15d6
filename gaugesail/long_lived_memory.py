"""Takes the records of listed servers out of the garbage collector's passes.

Each full pass looks at every object that may be part of a cycle, and holds the process up meanwhile: the
longer, the more servers are listed.
"""

from __future__ import annotations

import gc

GROWTH = 1.25  # of the list, after which its new records are taken out too


class LongLivedMemory:
    """Freezes what lives as long as the process (``gc.freeze``)."""

    def __init__(self) -> None:
        self._servers = 0

    def started(self) -> None:
        """Freeze what a start has left."""
        gc.collect()
        gc.freeze()

    def list_received(self, servers: int) -> None:
        """Freeze the records of a whole list of so many servers, if it is much longer than before."""
        if servers > GROWTH * self._servers:
            self._servers = servers
            self.started()
