"""Faults of the system below a process: a wall clock that is stepped, and library calls that fail."""
