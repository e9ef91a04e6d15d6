"""What dbd4a08 wrote is read by this version, and this version writes what dbd4a08 reads.

dbd4a08 is the version before the renames of 2026-12-03; the files in data/ are what its own code wrote.
Data of a later version may be added beside them; none is changed or removed.
"""
