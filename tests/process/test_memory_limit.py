"""A gateway stays under its memory limit and answers its usual clients, whatever other clients do."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from gaugesail.rehearsal.hostile_clients import Behaviour

from ..support.pressed_gateway import PressedGateway, UsualClients

SECONDS = 5.0
USUAL_CLIENTS = 4
CROWD = 500


def press(
    folder: Path, memory_mb: int, played: dict[Behaviour, int], rivals: int = 0, sockets: int = 1024,
    keeps_connection: bool = True,
) -> list[str]:  # fmt: skip
    """Play hostile clients against a gateway beside usual ones; returns what is wrong."""
    gateway = PressedGateway(folder, memory_mb, rivals=rivals, sockets=sockets)
    try:
        usual = UsualClients(gateway.port, USUAL_CLIENTS, keeps_connection)
        for behaviour, connections in played.items():
            gateway.play(behaviour, connections, SECONDS)
        time.sleep(SECONDS)
        peak_mb = gateway.peak_memory_mb
        exchanges = usual.stop()
    finally:
        gateway.close()
    late = [exchange for exchange in exchanges if not exchange.answered_in_time]
    served = sum(exchange.status == 200 for exchange in exchanges)
    print(f"{memory_mb} MB, {played}: peak {peak_mb:.1f} MB, {served} of {len(exchanges)} served")
    problems = [f"no answer in time: {late}"] if late else []
    if peak_mb > memory_mb:
        problems.append(f"{peak_mb:.1f} MB of {memory_mb} MB")
    if served < len(exchanges) / 2:
        problems.append(f"only {served} of {len(exchanges)} requests of usual clients were served")
    return problems


@pytest.mark.parametrize("memory_mb", [64, 192])
def test_heads_of_many_short_fields_stay_within_the_memory_limit(tmp_path: Path, memory_mb: int) -> None:
    """Guards against parsed fields that cost many times their bytes."""
    assert not press(tmp_path, memory_mb, {Behaviour.MANY_FIELDS: CROWD})


@pytest.mark.parametrize("behaviour", [
    Behaviour.HALF_BODIES, Behaviour.HALF_UPLOADS, Behaviour.SLOW_WRITERS, Behaviour.SLOW_READERS,
    Behaviour.UNREAD_ANSWERS, Behaviour.LEAVE_UNREAD, Behaviour.NEW_NAMES,
])  # fmt: skip
def test_a_crowd_stays_within_a_small_memory_limit(tmp_path: Path, behaviour: Behaviour) -> None:
    """Guards against bounds for each client that don't follow, for all of them, from the memory limit."""
    assert not press(tmp_path, 60, {behaviour: CROWD})


@pytest.mark.parametrize("played", [
    dict.fromkeys(
        (Behaviour.SLOW_WRITERS, Behaviour.HALF_BODIES, Behaviour.NEW_NAMES, Behaviour.HEALTH_CHECKS), 60
    ),
    {Behaviour.ONE_BYTE_CHUNKS: 60, Behaviour.REPEATED_FIELDS: 20, Behaviour.BAD_REQUESTS: 20},
], ids=["slow clients and floods", "much work for each byte"])  # fmt: skip
def test_usual_clients_have_their_answers_at_a_part_of_a_core(
    tmp_path: Path, played: dict[Behaviour, int]
) -> None:
    """Guards against work for a few clients that takes whole iterations, while the others wait."""
    assert not press(tmp_path, 64, played, rivals=3)


@pytest.mark.parametrize(("behaviour", "connections"), [
    (Behaviour.HALF_UPLOADS, 150), (Behaviour.HALF_BODIES, 150), (Behaviour.MANY_FIELDS, 150),
    (Behaviour.IDLE, 300), (Behaviour.ONE_BYTE_CHUNKS, 150),
])  # fmt: skip
def test_new_clients_find_a_place_beside_a_crowd_that_stops_or_says_nothing(
    tmp_path: Path, behaviour: Behaviour, connections: int
) -> None:
    """Guards against clients that wait in the kernel until such clients have run out of time.

    Those that send many small chunks move, but only in their turns.
    """
    assert not press(tmp_path, 96, {behaviour: connections}, sockets=160, keeps_connection=False)
