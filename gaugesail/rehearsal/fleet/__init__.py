"""Trials of a fleet of real gateway processes: relays between them, faults, and a judge at the nodes."""
