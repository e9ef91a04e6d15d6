"""Messages of a fleet's bootstrap (bootstrap.py)."""

from __future__ import annotations

from .record import Record


class BootstrapStatus(Record, frozen=True, tag="Hello"):
    """A replica's persisted bootstrap state; without a ``fleet_id`` it requests the receiver's."""

    terms_digest: str
    store_id: str
    fleet_id: str = ""
    voters: tuple[str, ...] = ()
    bound_to: str = ""  # id of the founder's store that the replica is bound to


class BootstrapBind(Record, frozen=True, tag="Bind"):
    """The founder's request that the receiver bind itself to its store and no other."""

    terms_digest: str
    founder_store: str
