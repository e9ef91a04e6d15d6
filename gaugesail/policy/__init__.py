"""The decisions of a storage gateway: which request goes to which node, when, and what is rejected.

``Gateway`` takes in events (``events``) and returns actions (``actions``); it neither reads a clock nor does
any I/O, so that the same events give the same actions.
"""

from .gateway import Gateway
from .settings import Settings

__all__ = ["Gateway", "Settings"]
