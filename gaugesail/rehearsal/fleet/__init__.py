"""The rig: real processes of the head, a relay between each two of them, faults, and a judge at the nodes."""
