"""Property tests run the same examples in every run, and KNOWN-RED.txt is enforced."""

from pathlib import Path

import pytest
from hypothesis import settings

from gaugesail.rehearsal.faults.shim import build

from .known_red import pytest_configure

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


@pytest.fixture(scope="session")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The fault shim, compiled once."""
    return build(tmp_path_factory.mktemp("shim"))


__all__ = ["pytest_configure"]
