"""The disks of a fleet fail for a while (ENOSPC, EIO): replicas and leases recover without a restart."""

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

GATEWAYS = ("a", "b", "c")
KEY = "a key of the tests alone"
RECOVERY_S = 20.0  # in which every gateway is a replica with a lease again


class FleetGateway:
    """One of three replicas, with its own injected faults."""

    def __init__(self, head: FaultyGateway, calls: int) -> None:
        self.head, self._calls = head, calls

    def budgets(self) -> dict[str, Any]:
        """Its answer to GET /fleet/budgets."""
        with urlopen(f"http://{HOST}:{self._calls}/fleet/budgets", timeout=2.0) as answer:
            view: dict[str, Any] = json.loads(answer.read())
            return view

    @property
    def recovered(self) -> bool:
        """It is a replica, knows a leader and holds a lease."""
        try:
            view = self.budgets()
        except HTTPError:  # it has not joined the fleet yet
            return False
        return bool(view["keeper"] and view["leader"]) and view["own"]["lease_s"] > 0

    def fail_disk(self, error: int) -> None:
        """Fail every write and sync with an error from now on; 0 ends that."""
        for call in (Call.WRITE, Call.SYNC):
            self.head.faults.fail(call, error, 1_000_000 if error else 0)


@contextmanager
def fleet_of_three(base: Path, library: Path) -> Iterator[list[FleetGateway]]:
    fleet, calls = free_ports(6)[:3], free_ports(3)
    with ExitStack() as stack:
        gateways = []
        for number, name in enumerate(GATEWAYS):
            folder = folder_of(base, name)
            path = folder / "fleet.toml"
            peers = [{"name": GATEWAYS[n], "address": f"{HOST}:{fleet[n]}"} for n in range(3) if n != number]
            path.write_text(
                write_toml(
                    {
                        "fleet": {
                            "name": "f",
                            "head": name,
                            "listen": f"{HOST}:{fleet[number]}",
                            "key": KEY,
                            "keepers": list(GATEWAYS),
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
            gateways.append(FleetGateway(stack.enter_context(head), calls[number]))
        assert wait_until(lambda: all(each.recovered for each in gateways), RECOVERY_S), gateways[0].head.text
        yield gateways


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO], ids=["ENOSPC", "EIO"])
def test_a_fleet_recovers_when_its_disks_do(error: int, tmp_path: Path, library: Path) -> None:
    with fleet_of_three(tmp_path, library) as gateways:
        for gateway in gateways:
            gateway.fail_disk(error)

        def quorum_lost() -> bool:
            return sum("fleet_store_failed" in gateway.head.text for gateway in gateways) >= 2

        assert wait_until(quorum_lost, 10.0)
        time.sleep(1.0)
        for gateway in gateways:
            gateway.fail_disk(0)
        assert wait_until(lambda: all(each.recovered for each in gateways), RECOVERY_S), gateways[0].head.text
        assert all(gateway.head.process.poll() is None for gateway in gateways)
        assert not any("raised" in gateway.head.text for gateway in gateways)
