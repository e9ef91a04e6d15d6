"""The id of one replica of the log: ``name#store``.

A replica is a gateway together with its store, as the store holds the replica's promises.
"""

from __future__ import annotations


def make_replica_id(name: str, store_id: str) -> str:
    """Return the id of gateway ``name`` with store ``store_id``, which must not contain ``#``."""
    return f"{name}#{store_id}"


def name_of(replica_id: str) -> str:
    """Return the name of a replica's gateway."""
    return replica_id.rpartition("#")[0]


def store_id_of(replica_id: str) -> str:
    """Return the id of a replica's store."""
    return replica_id.rpartition("#")[2]
