"""Messages of the membership protocol (SWIM; membership.py)."""

from __future__ import annotations

from .record import Record


class MemberUpdate(Record, frozen=True, tag="Rumour"):
    """The state of one member; the larger of two by (generation, incarnation, state) takes precedence."""

    name: str
    address: str
    generation: int
    incarnation: int
    state: int
    process: int


class Ping(Record, frozen=True, tag="Ping"):
    """Checks whether the receiver is alive."""

    number: int
    updates: tuple[MemberUpdate, ...] = ()


class Ack(Record, frozen=True, tag="Ack"):
    """Acknowledges a Ping.  ``target`` is alive: the sender, or a member that it pinged for the receiver."""

    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(Record, frozen=True, tag="PingFor"):
    """Requests the receiver to ping ``target`` and to relay its Ack."""

    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class Nack(Record, frozen=True, tag="Nack"):
    """Confirms that a relay works and has received a PingRequest."""

    number: int
    target: str


class DigestOffer(Record, frozen=True, tag="Compare"):
    """A hash of all member updates; a receiver with another hash responds with a StateSync."""

    digest: int


class StateSync(Record, frozen=True, tag="Sync"):
    """The sender's member updates, or only its own if it leaves; ``wants_reply`` requests the receiver's."""

    updates: tuple[MemberUpdate, ...]
    wants_reply: bool
