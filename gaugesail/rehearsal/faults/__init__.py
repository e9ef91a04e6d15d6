"""Fault injection below a process: steps of the wall clock and failing library calls."""
