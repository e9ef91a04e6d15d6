"""How a fleet begins (bootstrap.py)."""

from __future__ import annotations

from .record import Record


class BootstrapStatus(Record, frozen=True, tag="Hello"):
    """What a replica has persisted of its fleet; without a ``fleet_id`` it asks for one."""

    terms_digest: str
    store_id: str
    fleet_id: str = ""
    voters: tuple[str, ...] = ()
    bound_to: str = ""  # the id of the founder's store that it is bound to


class BootstrapBind(Record, frozen=True, tag="Bind"):
    """The founder asks for a promise to be founded by its store and no other."""

    terms_digest: str
    founder_store: str
