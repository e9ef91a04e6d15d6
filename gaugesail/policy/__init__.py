"""Decisions of a storage gateway that keeps volumes to their reservations, shares and limits."""

from .gateway import Gateway
from .settings import Settings

__all__ = ["Gateway", "Settings"]
