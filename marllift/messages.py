"""What heads of one fleet say to each other, and what their log holds: plain records, no decision.

Every record may come late, twice, out of order or not at all; each says enough of what it rests on that the
receiver can tell an old one.  Rates are thousandths of a unit a second, bursts thousandths of a unit: whole
numbers, so that sums are exact.  Times never travel: no two heads share a clock.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all that travels."""


# ---- the log ----


class Noop(Record, frozen=True):
    """The first entry of a leader's term; once it is committed, all before it is."""


class Seats(Record, frozen=True):
    """Who keeps the log from here on: ``name#store`` each, one added or taken away at a time."""

    seats: tuple[str, ...]


class Open(Record, frozen=True):
    """A session for one process of a head.  The entry's index is its number; a store may bind a floor."""

    head: str
    process: int
    store: str = ""


class Close(Record, frozen=True):
    """A session is over and its parts are free: it left in order, or its lease has surely run out."""

    session: int


class Part(Record, frozen=True):
    """What one session may spend of one amount, in place of what stood there under ``held``."""

    amount: str
    session: int
    rate: int
    burst: int
    held: int = 0  # index of the entry that it replaces; 0: there was none


class Wholes(Record, frozen=True):
    """The limit of each plan, as the heads' files say: what is less holds at once, what is more later."""

    wholes: tuple[tuple[str, int, int], ...]  # plan, rate, burst


class Settle(Record, frozen=True):
    """Whatever was given under the wholes before ``version`` has run out: the whole ones hold now."""

    version: int


class FloorAt(Record, frozen=True):
    """The holder of a slot spends no more of it than wholes ``version`` allow."""

    slot: int
    version: int


class Forget(Record, frozen=True):
    """Operators say that a head is gone for good: its slot is free."""

    head: str


Command = Noop | Seats | Open | Close | Part | Wholes | Settle | FloorAt | Forget


class Entry(Record, frozen=True):
    """One place of the log."""

    term: int
    command: Command


# ---- agreement (raft.py) ----


class Vote(Record, frozen=True):
    """Asks for a vote; ``pre`` asks only whether there would be one."""

    seat: str
    term: int
    pre: bool
    last_index: int
    last_term: int


class Voted(Record, frozen=True):
    seat: str
    term: int
    pre: bool
    granted: bool


class Append(Record, frozen=True):
    """Entries after ``prev_index``, and a sign of life; ``round`` comes back with the answer."""

    seat: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Appended(Record, frozen=True):
    """``match``: all up to there is the leader's, and kept; where not ``ok``, what the sender has at most."""

    seat: str
    term: int
    ok: bool
    match: int
    round: int


class Install(Record, frozen=True):
    """The ledger as it stood after entry ``index``, in place of all entries up to there."""

    seat: str
    term: int
    index: int
    at_term: int
    seats: tuple[str, ...]
    state: bytes
    round: int


class Lead(Record, frozen=True):
    """The leader goes: the one that is told stands for election at once."""

    seat: str
    term: int


# ---- stores (witness.py) ----


class Mark(Record, frozen=True):
    """A keeper's store: its start's number, its save's number, and that of the save it was started from."""

    store: str
    life: int
    saves: int
    loaded: int
    process: int


class Marked(Record, frozen=True):
    """What a witness makes of a mark: ``good``, or a later one is known to it."""

    store: str
    process: int
    good: bool


# ---- founding (founding.py) ----


class Hello(Record, frozen=True):
    """A keeper without a fleet asks another; or says what it knows of one."""

    charter: str
    store: str
    fleet: str = ""
    seats: tuple[str, ...] = ()
    bound: str = ""  # the founder's store that this one has bound itself to


class Bind(Record, frozen=True):
    """The founder asks for a promise to be founded by it and nobody else."""

    charter: str
    founder: str


# ---- leases (holder.py, granting.py) ----


class Demand(Record, frozen=True):
    """What a head wants of an amount, what a unit is worth there in thousandths, and what it has used lately;
    rate 0: it wants nothing."""

    amount: str
    rate: int
    worth: int
    used: int = 0


class Held(Record, frozen=True):
    """What a holder's book says of a part: ``version`` is the latest entry that it has taken in."""

    amount: str
    version: int
    rate: int
    burst: int


class Ask(Record, frozen=True):
    """A holder renews its lease, and tells what has changed."""

    process: int
    number: int
    session: int  # 0: it has none
    charter: str
    store: str
    wholes: tuple[tuple[str, int, int], ...]  # by its own file
    slot: int  # of its floor; -1: none
    floor: int  # version of the wholes that its floor goes by
    quantum: int  # the largest request
    fleet: str  # whose the session is
    seen: int  # the latest entry of that fleet's log that it has heard of
    demands: tuple[Demand, ...] = ()
    held: tuple[Held, ...] = ()
    leaving: bool = False


class Status(IntEnum):
    """What became of an ask."""

    RENEWED = 0
    UNKNOWN = 1  # the session is over, or was never opened
    ELSEWHERE = 2  # ask the head that is named, if any
    CHARTER = 3  # the two files differ in what binds
    LEFT = 4


class Order(Record, frozen=True):
    """One part of the session that is told: by entry ``version`` it may be so much; ``lower`` asks for a
    release down to that."""

    amount: str
    version: int
    rate: int
    burst: int
    lower: bool = False


class Answer(Record, frozen=True):
    """To one ask.  Only RENEWED lets the holder spend, from when it sent that ask."""

    process: int
    number: int
    status: Status
    session: int = 0
    term: int = 0
    leader: str = ""
    slot: int = -1
    version: int = 0  # of the wholes below
    wholes: tuple[tuple[str, int, int], ...] = ()
    fleet: str = ""


class Orders(Record, frozen=True):
    """Parts that have changed, told when they do and again until the holder's book says so."""

    process: int
    session: int
    fleet: str
    orders: tuple[Order, ...]


# ---- members (members.py) ----


class Rumour(Record, frozen=True):
    """What is said of one member; the larger of two by (generation, incarnation, state) holds."""

    name: str
    address: str
    generation: int
    incarnation: int
    state: int
    process: int


class Ping(Record, frozen=True):
    number: int
    rumours: tuple[Rumour, ...] = ()


class Ack(Record, frozen=True):
    """``about`` is the one that was asked after: itself, or who was pinged for another."""

    number: int
    about: str
    rumours: tuple[Rumour, ...] = ()


class PingFor(Record, frozen=True):
    """Ping another, and tell; a NACK says that the relay itself is well."""

    number: int
    target: str
    rumours: tuple[Rumour, ...] = ()


class Nack(Record, frozen=True):
    number: int
    about: str


class Compare(Record, frozen=True):
    """A hash of all that is known; who knows otherwise answers with a Sync."""

    digest: int


class Sync(Record, frozen=True):
    """All that is known, to a head that joins or whose view differs; ``answer`` asks for the other's."""

    rumours: tuple[Rumour, ...]
    answer: bool


# ---- operators ----


class Petition(Record, frozen=True):
    """What operators asked of any head, for the leader to put into the log."""

    number: int
    command: Forget


class Heard(Record, frozen=True):
    """What became of a petition."""

    number: int
    done: bool
    why: str = ""


Message = (
    Vote | Voted | Append | Appended | Install | Lead | Mark | Marked | Hello | Bind | Ask | Answer | Orders
    | Ping | Ack | PingFor | Nack | Compare | Sync | Petition | Heard
)  # fmt: skip
