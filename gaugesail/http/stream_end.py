"""Why a gateway breaks off an answer that it is passing on, although its client waits.

Nothing else does: a node that has rested may write on, however long ago it has written last.  A node whose
machine has vanished without a word holds its client until that leaves, or until its connection is needed.
"""

from __future__ import annotations

from enum import Enum


class StreamEnd(Enum):
    """The reason; the value is shown in the log."""

    NODE_GONE = "node_gone"  # by the endpoint list: removed, or started again
    CONNECTION_NEEDED = "connection_needed"  # all to nodes are in use, over half of them by such answers
