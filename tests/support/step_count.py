"""Counts the bytecode instructions that gaugesail's own code executes: the same on every machine.

Work that one instruction does in C, such as the copy of a list, counts as one.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

import gaugesail

PACKAGE = str(Path(gaugesail.__file__).parent)


class StepCounter:
    """Counts instructions while it is active."""

    def __init__(self) -> None:
        self.steps = 0

    def _called(self, frame: FrameType, event: str, arg: Any) -> Any:
        if not frame.f_code.co_filename.startswith(PACKAGE):
            return None
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        return self._stepped

    def _stepped(self, frame: FrameType, event: str, arg: Any) -> Any:
        self.steps += event == "opcode"
        return self._stepped

    def count(self, call: Callable[[], object]) -> int:
        """Return the instructions of one call."""
        self.steps = 0
        before = sys.gettrace()
        sys.settrace(self._called)
        try:
            call()
        finally:
            sys.settrace(before)
        return self.steps
