"""The soak: many gateway processes on loopback under overlapping faults, and a judge of the invariants."""
