"""How a fleet begins (bootstrap.py)."""

from __future__ import annotations

from .record import Record


class BootstrapStatus(Record, frozen=True, tag="Hello"):
    """A keeper without a fleet asks another; or says what it knows of one."""

    charter: str
    store: str
    fleet: str = ""
    seats: tuple[str, ...] = ()
    bound: str = ""  # the founder's store that this one has bound itself to


class BootstrapBind(Record, frozen=True, tag="Bind"):
    """The founder asks for a promise to be founded by it and nobody else."""

    charter: str
    founder: str
