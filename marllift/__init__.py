"""Decisions of a storage gateway that keeps volumes to their reservations, shares and limits."""

from .decide import Gateway
from .interface import Settings

__all__ = ["Gateway", "Settings"]
