"""How long a peer may rest before it counts as stalled."""

from __future__ import annotations

import pytest

from gaugesail.peer_progress import (
    BURST_US,
    LONGEST_REST_US,
    LONGEST_STEP_US,
    REST_FACTOR,
    SAMPLING_US,
    SLOWEST_BYTES_PER_S,
    PeerProgress,
)

SECOND_US = 1_000_000


@pytest.mark.parametrize(("step_bytes", "allowed_us"), [
    (100, SAMPLING_US + 100 * SECOND_US // SLOWEST_BYTES_PER_S), (16_000, SAMPLING_US + SECOND_US // 4),
    (10_000_000, LONGEST_STEP_US),
])  # fmt: skip
def test_a_rest_is_measured_by_the_step_before_it(step_bytes: int, allowed_us: int) -> None:
    """Guards against clients that hold places long after they have stopped with a few bytes."""
    progress = PeerProgress()
    progress.begin(5 * SECOND_US, step_bytes)
    assert progress.stalled_at_us == 5 * SECOND_US + allowed_us


def test_bytes_that_come_together_are_one_step() -> None:
    progress = PeerProgress()
    progress.begin(0, 10_000)
    progress.advance(BURST_US, 6_000)
    assert progress.allowed_rest_us == SAMPLING_US + SECOND_US // 4
    progress.advance(3 * BURST_US, 100)
    assert progress.allowed_rest_us < SAMPLING_US + SECOND_US // 100


def test_a_peer_that_has_rested_may_rest_so_again_within_a_bound() -> None:
    progress = PeerProgress()
    progress.begin(0, 100)
    progress.advance(2 * SECOND_US, 100)
    assert progress.allowed_rest_us == REST_FACTOR * 2 * SECOND_US
    progress.advance(60 * SECOND_US, 100)
    assert progress.allowed_rest_us == LONGEST_REST_US
