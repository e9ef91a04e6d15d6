"""Property tests play the same examples every time: the same verdict always.  KNOWN-RED.txt is held to."""

from hypothesis import settings

from .known_red import pytest_configure

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")

__all__ = ["pytest_configure"]
