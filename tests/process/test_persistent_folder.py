"""Temporary faults of the folder that a gateway's processes share: acknowledged calls stay in force."""

from __future__ import annotations

import errno
import json
import os
from pathlib import Path
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import pytest

from gaugesail.rehearsal.faults.shim import Call
from gaugesail.rehearsal.fleet.heads import free_ports
from gaugesail.state import State
from tests.support.faulty_process import HOST, FaultyGateway, ServingNode, faulty, wait_until
from tests.support.scenario_runner import play

NODE = "b0"


def call(port: int, path: str) -> int:
    """Make an operator's call and return its status."""
    try:
        with urlopen(Request(f"http://{HOST}:{port}/{path}", method="POST"), timeout=2.0) as answer:
            return int(answer.status)
    except HTTPError as error:
        return error.code


def in_use(gateway: FaultyGateway, name: str) -> bool:
    """Whether the node is used for requests now."""
    answer = gateway.send_request(name, 0, 1000)
    wait_until(lambda: answer.status != 0, 1.5)
    return answer.status == 200


@pytest.mark.parametrize("fails", [Call.WRITE, Call.SYNC, Call.RENAME, Call.OPEN], ids=lambda call: call.name)
def test_a_call_that_cannot_be_saved_is_rejected_and_changes_nothing(
    fails: Call, tmp_path: Path, library: Path
) -> None:
    port = free_ports(1)[0]
    with faulty(tmp_path, library, [ServingNode(0)], management=f"{HOST}:{port}") as gateway:
        gateway.faults.fail(fails, errno.ENOSPC, 100)
        assert call(port, f"bricks/{NODE}/maint") == 503
        gateway.faults.clear()
        assert in_use(gateway, "first")
        assert call(port, f"bricks/{NODE}/maint") == 200
        assert not in_use(gateway, "second")
        kept = [json.loads(path.read_text()) for path in tmp_path.glob("gaugesail-*.json")]
        assert kept == [{"away": [NODE], "drained": False}]
        assert not [path for path in tmp_path.glob("gaugesail-*") if path.suffix == f".{gateway.process.pid}"]


@pytest.mark.parametrize("fails", [Call.WRITE, Call.SYNC, Call.RENAME, Call.OPEN, Call.UNLINK],
                         ids=lambda call: call.name)  # fmt: skip
def test_a_gateway_shuts_down_although_its_folder_fails(fails: Call, tmp_path: Path, library: Path) -> None:
    with faulty(tmp_path, library, [ServingNode(0)]) as gateway:
        assert in_use(gateway, "first")
        gateway.faults.fail(fails, errno.EIO, 1000)
        gateway.term()
        assert wait_until(lambda: gateway.process.poll() is not None, 4.0), (
            "the process has not ended before SIGKILL"
        )
        assert gateway.process.returncode == 0


def test_the_saved_state_is_applied_once_the_file_can_be_read(tmp_path: Path, library: Path) -> None:
    """At startup the state file cannot be read; another process has acknowledged what it holds."""
    port = free_ports(1)[0]
    listen = free_ports(1)[0]
    file = tmp_path / f"gaugesail-{HOST}-{listen}.json"
    file.mkdir()  # reading it fails with EISDIR
    gateway = FaultyGateway(tmp_path, library, [ServingNode(0)], management=f"{HOST}:{port}")
    config = json.loads((tmp_path / "config").read_text()) | {"listen": f"{HOST}:{listen}"}
    (tmp_path / "config").write_text(json.dumps(config))
    try:
        gateway.start()
        assert call(port, "healthcheck/fail") == 503, "the saved state is not known yet"
        file.rmdir()
        (fresh := tmp_path / "fresh").write_text(json.dumps({"away": [NODE], "drained": False}))
        os.replace(fresh, file)
        assert wait_until(lambda: "event=maintenance_begins" in gateway.text, 2.0), gateway.text
        assert not in_use(gateway, "first")
    finally:
        gateway.close()


REPLACED = """brick b1 shard=0
client c1
send c1 request a
expect b1 request a
expect list watch 1
send daemon replace
expect list watch 1
"""


def test_a_file_that_cannot_be_written_does_not_disconnect_two_processes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The successor applies a call of the predecessor; its own write fails and is retried later."""
    world = play(REPLACED, TMPDIR=str(tmp_path))
    first, second = world.gateways
    write_state, write_fails = second._state.write, [True]

    def write(state: State) -> None:
        if write_fails[0]:
            raise OSError(errno.ENOSPC, "no space")
        write_state(state)

    second._state.path = second._state.path.with_name("of-the-second.json")
    monkeypatch.setattr(second._state, "write", write)
    links = first._handover.successor, second._handover.predecessor._connection
    assert None not in links
    first.operations.maintain(b"b1", True)
    assert world.until(lambda: b"b1" in second.engine.in_maintenance, 1.0)
    world.until(lambda: False, 0.5)
    assert (first._handover.successor, second._handover.predecessor._connection) == links
    write_fails[0] = False
    assert world.until(lambda: b"b1" in second._state.read().in_maintenance, 2.0)
