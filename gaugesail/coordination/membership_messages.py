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
    """Asks whether the receiver is alive."""

    number: int
    updates: tuple[MemberUpdate, ...] = ()


class Ack(Record, frozen=True, tag="Ack"):
    """Answers a Ping.  ``target`` is alive: the sender, or one that it has pinged for the receiver."""

    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(Record, frozen=True, tag="PingFor"):
    """Asks the receiver to ping ``target`` and to pass its answer on."""

    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class Nack(Record, frozen=True, tag="Nack"):
    """A relay has got a PingRequest, and is well itself."""

    number: int
    target: str


class DigestOffer(Record, frozen=True, tag="Compare"):
    """A hash of all that is known; one that knows otherwise answers with a StateSync."""

    digest: int


class StateSync(Record, frozen=True, tag="Sync"):
    """All that the sender knows; ``wants_reply`` asks for what the receiver knows."""

    updates: tuple[MemberUpdate, ...]
    wants_reply: bool
