"""Compatibility with dbd4a08: this version reads what dbd4a08 wrote, and writes what dbd4a08 can read.

dbd4a08 is the version before the renames of 2026-12-03; its own code wrote the files in data/.  Data of a
later version may be added beside them; no file is changed or removed.
"""
