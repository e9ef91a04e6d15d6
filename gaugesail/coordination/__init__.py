"""The decisions of a fleet of gateways: membership, the replicated log, leases, and the division of quota.

Nothing here does I/O or reads a clock: FleetNode (node.py) is given messages and the time, and returns what
is to be persisted, passed on and sent.
"""
