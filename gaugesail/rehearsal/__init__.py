"""Rehearsals: scenarios of send, expect, close and wait, played against a daemon with simulated peers."""
