"""`gaugesail measure starved`: answers that come too late from a gateway that has a part of a core.

The same clients ask a gateway with few and with many servers, which is stopped for most of each tenth of a
second (SIGSTOP).
"""

from __future__ import annotations

import random
import tempfile
from pathlib import Path
from typing import Any

import click

from ..core.clock import use_monotonic_time
from ..rehearsal.starver import Starver
from .server_count_rig import ServerCountRig
from .starved_clients import StarvedClient, Tally

LAST_ANSWERS_S = 3.0  # that are awaited, without new requests


def play(reactor: Any, servers: int, clients: int, share: float, seconds: float, seed: int) -> Tally:
    """Let the clients ask for ``seconds`` and return what they saw."""
    tally = Tally()
    with tempfile.TemporaryDirectory(prefix="gaugesail-starved-") as folder:
        rig = ServerCountRig(reactor, Path(folder), servers, seed)
        try:
            rig.start()
            rig.run(1.0)
            rng = random.Random(seed)
            asking = [
                StarvedClient(reactor, rig.process.listen_port, random.Random(rng.random()), servers, tally)
                for _ in range(clients)
            ]
            starver = Starver(lambda: [rig.gateway], share)
            starver.start()
            for client in asking:
                client.start()
            rig.run(seconds)
            for client in asking:
                client.stopped = True
            rig.run(LAST_ANSWERS_S)
            starver.stop()
        finally:
            rig.close()
    return tally


@click.command("starved")
@click.option("--counts", default="8,3000", show_default=True, help="Listed servers, all of them used.")
@click.option("--clients", type=click.IntRange(1, 500), default=120, show_default=True)
@click.option("--share", type=click.FloatRange(0.05, 1.0), default=0.3, show_default=True, help="Of a core.")
@click.option("--seconds", type=click.FloatRange(1), default=30.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def command(counts: str, clients: int, share: float, seconds: float, seed: int) -> None:
    """Count the answers that come over 0.5 s late while a gateway has a part of a core."""
    from twisted.internet import reactor  # importing it installs it: only the command does

    use_monotonic_time(reactor)
    for servers in map(int, counts.split(",")):
        tally = play(reactor, servers, clients, share, seconds, seed)
        click.echo(
            f"{servers} servers: {tally.too_late} of {tally.requests} over 0.5 s late, "
            f"{tally.unanswered} unanswered, the latest {tally.latest_s:.2f} s; {tally.served} served"
        )
