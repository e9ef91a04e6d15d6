"""The folder of a head among others fails for a while (ENOSPC, EIO): what rested on it comes back."""

from __future__ import annotations

import errno
import json
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any
from urllib.error import HTTPError
from urllib.request import urlopen

import pytest

from gaugesail.iscsi.operator import write_toml
from gaugesail.rehearsal.faults.shim import Call
from gaugesail.rehearsal.fleet.heads import free_ports
from tests.support.faulty_process import HOST, FaultyGateway, HangingNode, faulty, folder_of, wait_until

HEADS = ("a", "b", "c")
KEY = "a key of the tests alone"
BACK_S = 20.0  # in which the fleet holds its limit again


class FleetHead:
    """One of three keepers, each with its own faults."""

    def __init__(self, head: FaultyGateway, calls: int) -> None:
        self.head, self._calls = head, calls

    def budgets(self) -> dict[str, Any]:
        """What it tells operators of the fleet."""
        with urlopen(f"http://{HOST}:{self._calls}/fleet/budgets", timeout=2.0) as answer:
            told: dict[str, Any] = json.loads(answer.read())
            return told

    @property
    def keeps(self) -> bool:
        """It has a seat again, hears a leader and holds a lease."""
        try:
            told = self.budgets()
        except HTTPError:  # not in the fleet yet
            return False
        return bool(told["keeper"] and told["leader"]) and told["own"]["lease_s"] > 0

    def disk(self, error: int) -> None:
        """Every write and sync fails from now on; 0 ends it."""
        for call in (Call.WRITE, Call.SYNC):
            self.head.faults.fail(call, error, 1_000_000 if error else 0)


@contextmanager
def three(base: Path, library: Path) -> Iterator[list[FleetHead]]:
    fleet, calls = free_ports(6)[:3], free_ports(3)
    with ExitStack() as stack:
        heads = []
        for number, name in enumerate(HEADS):
            folder = folder_of(base, name)
            path = folder / "fleet.toml"
            peers = [{"name": HEADS[n], "address": f"{HOST}:{fleet[n]}"} for n in range(3) if n != number]
            path.write_text(
                write_toml(
                    {
                        "fleet": {
                            "name": "f",
                            "head": name,
                            "listen": f"{HOST}:{fleet[number]}",
                            "key": KEY,
                            "keepers": list(HEADS),
                            "folder": str(folder),
                        },
                        "budgets": {"lease_ms": 1000, "most_heads": 4},
                        "peer": peers,
                    }
                )
            )
            head = faulty(
                folder, library, [HangingNode(0)], "--fleet", str(path), management=f"{HOST}:{calls[number]}"
            )
            heads.append(FleetHead(stack.enter_context(head), calls[number]))
        assert wait_until(lambda: all(head.keeps for head in heads), BACK_S), heads[0].head.text
        yield heads


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO], ids=["ENOSPC", "EIO"])
def test_a_fleet_holds_its_limit_again_once_its_disks_do(error: int, tmp_path: Path, library: Path) -> None:
    with three(tmp_path, library) as heads:
        for head in heads:
            head.disk(error)

        def quorum_lost() -> bool:
            return sum("fleet_store_failed" in head.head.text for head in heads) >= 2

        assert wait_until(quorum_lost, 10.0)
        time.sleep(1.0)
        for head in heads:
            head.disk(0)
        assert wait_until(lambda: all(head.keeps for head in heads), BACK_S), heads[0].head.text
        assert all(head.head.process.poll() is None for head in heads)
        assert not any("raised" in head.head.text for head in heads)
