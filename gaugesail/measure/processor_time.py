"""The processor time of a process, as the system tells it."""

from __future__ import annotations

import os
from pathlib import Path


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
