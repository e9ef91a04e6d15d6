"""How a fleet begins (bootstrap.py)."""

from __future__ import annotations

from .record import Record


class BootstrapStatus(Record, frozen=True, tag="Hello"):
    """A keeper without a fleet asks another; or says what it knows of one."""

    terms_digest: str
    store_id: str
    fleet_id: str = ""
    voters: tuple[str, ...] = ()
    bound_to: str = ""  # the founder's store that this one has bound itself to


class BootstrapBind(Record, frozen=True, tag="Bind"):
    """The founder asks for a promise to be founded by it and nobody else."""

    terms_digest: str
    founder_store: str
