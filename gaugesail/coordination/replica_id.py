"""The id of one replica of the log: ``name#store``.

A replica is a gateway together with its store, as what the gateway has promised lies in that store.
"""

from __future__ import annotations


def make_replica_id(name: str, store_id: str) -> str:
    """Return the id of the gateway ``name`` with the store ``store_id``, which holds no ``#``."""
    return f"{name}#{store_id}"


def name_of(replica_id: str) -> str:
    """Return the gateway's name."""
    return replica_id.rpartition("#")[0]


def store_id_of(replica_id: str) -> str:
    """Return the id of its store."""
    return replica_id.rpartition("#")[2]
