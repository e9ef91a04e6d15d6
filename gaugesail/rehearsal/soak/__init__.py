"""The soak: many processes of the head on loopback, overlapping faults, and a judge of the invariants."""
