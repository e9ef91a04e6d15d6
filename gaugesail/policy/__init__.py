"""The decisions of a storage gateway: which request is sent to which node, when, and which are rejected.

``Gateway`` takes events (``events``) and returns actions (``actions``).  It reads no clock and does no I/O,
so the same events always produce the same actions.
"""

from .gateway import Gateway
from .settings import Settings

__all__ = ["Gateway", "Settings"]
