"""A soak keeps what its gateways knew at a violation."""

from __future__ import annotations

from pathlib import Path

from gaugesail.rehearsal.soak.trace_keeper import MAX_KEPT, TraceKeeper

from ..support.live_head import Listener, ReactorRig


def test_the_trace_of_a_request_is_kept_from_each_process(tmp_path: Path) -> None:
    rig = ReactorRig()
    try:
        process, gone = Listener(rig), Listener(rig)
        ports = [int(listener.address.rpartition(":")[2]) for listener in (process, gone)]
        gone.listener.close()
        keeper = TraceKeeper(rig.reactor, tmp_path, lambda: ports)
        keeper.keep("h1-192")
        for target in ("/trace/h1-192", "/trace"):
            call = process.accept()
            call.read_until(b"GET %s HTTP/1.1\r\n" % target.encode())
            call.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsteps")
        assert rig.until(lambda: len(list(tmp_path.iterdir())) == 2)
        names = {path.name for path in tmp_path.iterdir()}
        assert names == {f"trace-1-{ports[0]}-h1-192", f"trace-1-{ports[0]}-all"}
        assert {path.read_text() for path in tmp_path.iterdir()} == {"steps"}
    finally:
        rig.close()


def test_only_so_many_traces_are_kept(tmp_path: Path) -> None:
    asked: list[int] = []

    def ports() -> list[int]:
        asked.append(1)
        return []

    rig = ReactorRig()
    try:
        keeper = TraceKeeper(rig.reactor, tmp_path, ports)
        for _ in range(2 * MAX_KEPT):
            keeper.keep("a")
    finally:
        rig.close()
    assert len(asked) == MAX_KEPT
