"""How gateways learn who is there (SWIM; membership.py)."""

from __future__ import annotations

from .record import Record


class MemberUpdate(Record, frozen=True, tag="Rumour"):
    """What is said of one member; the larger of two by (generation, incarnation, state) holds."""

    name: str
    address: str
    generation: int
    incarnation: int
    state: int
    process: int


class Ping(Record, frozen=True, tag="Ping"):
    number: int
    updates: tuple[MemberUpdate, ...] = ()


class Ack(Record, frozen=True, tag="Ack"):
    """``about`` is the one that was asked after: itself, or who was pinged for another."""

    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(Record, frozen=True, tag="PingFor"):
    """Ping another, and tell; a NACK says that the relay itself is well."""

    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class Nack(Record, frozen=True, tag="Nack"):
    number: int
    target: str


class DigestOffer(Record, frozen=True, tag="Compare"):
    """A hash of all that is known; who knows otherwise answers with a Sync."""

    digest: int


class StateSync(Record, frozen=True, tag="Sync"):
    """All that is known, to a head that joins or whose view differs; ``answer`` asks for the other's."""

    updates: tuple[MemberUpdate, ...]
    wants_reply: bool
