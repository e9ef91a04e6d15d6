"""The wire accepts only messages that another gateway of this fleet sent to this one, each once."""

from __future__ import annotations

import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from gaugesail.coordination import messages as m
from gaugesail.fleet.replay_window import WINDOW_SIZE, ReplayWindow
from gaugesail.fleet.wire import TAG_BYTES, VERSION, Envelope, Wire
from gaugesail.lab.fleet import FleetWorld, Limit

KEY = b"sixteen bytes and more"


def wire_pair() -> tuple[Wire, Wire]:
    return Wire("f", "a", 1, KEY), Wire("f", "b", 2, KEY)


def test_a_message_arrives_as_it_was_sent() -> None:
    a, b = wire_pair()
    sent = m.LeaseRequest(
        1, 2, 3, "d", "s", (("p", 1, 2),), 0, 0, 5, "f", 6, (m.QuotaDemand("p/1", 1, 2, 3),), ()
    )
    assert b.unpack(a.pack("b", sent)) == ("a", 1, sent)


def test_replays_are_dropped_in_any_order() -> None:
    a, b = wire_pair()
    sent = [a.pack("b", m.DigestOffer(n)) for n in range(40)]
    random.Random(1).shuffle(sent)
    assert sum(b.unpack(data) is not None for data in sent * 2) == 40
    assert b.dropped == {"replayed": 40}


def test_a_dropped_frame_is_counted_under_its_reason() -> None:
    a, b = wire_pair()
    good = a.pack("b", m.DigestOffer(1))
    cases = {
        "foreign": b"hello",
        "version": good[:2] + bytes([VERSION + 1]) + good[3:],
        "tag": good[:-1] + bytes([good[-1] ^ 1]),
        "fleet": Wire("g", "a", 1, KEY).pack("b", m.DigestOffer(1)),
        "not_ours": a.pack("c", m.DigestOffer(1)),
        "own": Wire("f", "b", 2, KEY).pack("b", m.DigestOffer(1)),
    }
    for reason, data in cases.items():
        before = b.dropped[reason]
        assert b.unpack(data) is None and b.dropped[reason] == before + 1, reason
    assert Wire("f", "a", 1, b"another key, also long").pack("b", m.DigestOffer(1)) != good
    assert b.unpack(Wire("f", "a", 9, b"another key, also long").pack("b", m.DigestOffer(1))) is None
    assert b.unpack(good) is not None, "a damaged frame does not use up its message number"


def test_a_malformed_message_with_a_valid_tag_is_dropped() -> None:
    a, b = wire_pair()
    for body in (b"\xc1", b"\x93\x01", b"\x92\xa4Ping\xa1x", b"\xdd\xff\xff\xff\xff" * 4):
        payload = a._encode(Envelope("f", "a", 1, 7, "b", msgspec.Raw(body)))
        data = b"gs" + bytes([VERSION]) + a._tag(payload) + payload
        assert b.unpack(data) is None
    assert b.dropped["malformed"] == 4


@given(st.lists(st.integers(0, 3 * WINDOW_SIZE), max_size=60))
def test_a_window_accepts_each_number_at_most_once(numbers: list[int]) -> None:
    window, seen = ReplayWindow(), set[int]()
    for number in numbers:
        fresh = window.accept(number)
        assert not (fresh and number in seen)
        if number > max(seen, default=-1):
            assert fresh, "the highest so far is always accepted"
        seen.add(number)


def fuzz(count: int, seed: int) -> int:
    """Send random and damaged datagrams to a gateway, whose state must stay; return how many it accepts."""
    rng = random.Random(seed)
    world = FleetWorld(1, 3, 3, Limit(100.0, 48.0))
    for head in world.gateways.values():
        head.start()
    world.run(6_000_000)
    node = world.gateways["h0"].node
    assert node is not None
    before = repr((node.view_members(0), node.view_quota(0)))
    wire, other = Wire("f", "h0", 1, KEY), Wire("f", "h1", 2, KEY)
    sent = [
        other.pack("h0", message)
        for message in (
            m.DigestOffer(1),
            m.VoteRequest("h1#s", 9, False, 9, 9),
            m.Ping(1, ()),
            m.OperatorCommand(1, m.ForgetGateway("h2")),
        )
    ]
    accepted = 0
    for _ in range(count):
        data = bytearray(rng.choice(sent) if rng.random() < 0.8 else rng.randbytes(rng.randrange(200)))
        for _ in range(rng.randrange(1, 4)):
            kind = rng.random()
            if kind < 0.5 and data:
                data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
            elif kind < 0.7:
                del data[rng.randrange(len(data) + 1) :]
            elif kind < 0.85:
                data += rng.randbytes(rng.randrange(1, 40))
            else:
                data[3 : 3 + TAG_BYTES] = rng.randbytes(TAG_BYTES)
        received = wire.unpack(bytes(data))
        if received is not None and bytes(data) not in sent:
            accepted += 1
            node.receive(world.gateways["h0"].now(), *received)
    assert repr((node.view_members(0), node.view_quota(0))) == before
    assert len(wire._windows) <= 1 and len(wire.dropped) < 10, "dropped frames change only the counters"
    return accepted


def test_damaged_and_foreign_datagrams_change_nothing() -> None:
    assert fuzz(4000, 1) == 0
