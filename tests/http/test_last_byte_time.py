"""The earliest moment of a client's last byte, whatever kept the gateway from reading it."""

from __future__ import annotations

import pytest

from gaugesail.http.last_byte_time import EMPTY_US, HELD_BACK_BYTES, READ_BEFORE_US, LastByteTime

AT_US = 10_000_000
REST_US = 500_000


def read_at(arrived_us: int, waited_us: int = 0, is_emptied: bool = True) -> LastByteTime:
    """A client whose first bytes have been read."""
    last_byte = LastByteTime()
    last_byte.received(arrived_us + waited_us, arrived_us, is_emptied)
    return last_byte


def test_before_any_byte_it_is_now_and_then_the_arrival_of_the_first() -> None:
    assert LastByteTime().after_us(AT_US) == AT_US
    assert read_at(AT_US, waited_us=REST_US).after_us(AT_US + REST_US) == AT_US


@pytest.mark.parametrize(("rest_us", "is_emptied", "moves"), [
    (REST_US, True, True), (EMPTY_US, True, True), (EMPTY_US - 1, True, False), (REST_US, False, False),
])  # fmt: skip
def test_it_moves_to_the_end_of_a_rest_in_which_the_socket_was_empty(
    rest_us: int, is_emptied: bool, moves: bool
) -> None:
    last_byte = read_at(AT_US, is_emptied=is_emptied)
    last_byte.received(AT_US + rest_us, AT_US + rest_us, True)
    assert last_byte.after_us(AT_US + rest_us) == AT_US + (rest_us if moves else 0)


def test_a_piece_that_waited_to_be_read_counts_from_its_arrival() -> None:
    last_byte = read_at(AT_US)
    last_byte.received(AT_US + 2 * REST_US, AT_US + REST_US, False)
    assert last_byte.after_us(AT_US + 2 * REST_US) == AT_US + REST_US


@pytest.mark.parametrize("after_us", [READ_BEFORE_US - 1, READ_BEFORE_US])
@pytest.mark.parametrize("by", ["pause", "backlog"])
def test_what_was_not_read_shows_no_rest_until_it_was_read_for_a_while(by: str, after_us: int) -> None:
    """Guards against taking a socket for empty while the client's kernel waits for room in ours."""
    last_byte = read_at(AT_US, is_emptied=False)
    again_us = AT_US + REST_US
    if by == "pause":
        last_byte.paused()
        last_byte.note_empty(again_us)
        last_byte.resumed(again_us, HELD_BACK_BYTES)
    else:
        last_byte.received(again_us, AT_US, False)
    last_byte.received(again_us, again_us, True)
    last_byte.received(again_us + after_us, again_us + after_us, True)
    moved = after_us >= READ_BEFORE_US
    assert last_byte.after_us(again_us + after_us) == (again_us + after_us if moved else AT_US)


@pytest.mark.parametrize(("unread_bytes", "moves"), [
    (0, True), (HELD_BACK_BYTES - 1, True), (HELD_BACK_BYTES, False), (None, False),
])  # fmt: skip
def test_a_pause_counts_unless_the_client_can_have_held_nothing_back(
    unread_bytes: int | None, moves: bool
) -> None:
    last_byte = read_at(AT_US)
    again_us = AT_US + REST_US
    last_byte.paused()
    last_byte.resumed(again_us, unread_bytes)
    last_byte.note_empty(again_us + EMPTY_US)
    assert last_byte.after_us(again_us + EMPTY_US) == (again_us + EMPTY_US if moves else AT_US)


def test_a_slow_client_of_a_busy_process_moves_it() -> None:
    """Guards against a large request that is refused as each of its short pieces waits a little."""
    last_byte = read_at(AT_US)
    for number in range(1, 10):
        arrived_us = AT_US + number * 50_000
        last_byte.received(arrived_us + 30_000, arrived_us, True)
    assert last_byte.after_us(AT_US + REST_US) == arrived_us
