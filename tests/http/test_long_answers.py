"""A long answer that rests: held-up loops, ends of processes, memory, clients that leave or read slowly."""

from __future__ import annotations

import pytest

from gaugesail.buffers import PoolEmpty
from gaugesail.policy.events import AttemptResult

from ..support.live_head import GatewayRig, PeerSocket, chunk, gateway_rig
from .test_node_connections import effect

LUMP = 50_000
EARLIEST_KILL_S = 3.7  # after SIGTERM
FRAMINGS = {
    "length": b"Content-Length: %d\r\n" % (3 * LUMP),
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "close": b"",
}
framings = pytest.mark.parametrize("framing", list(FRAMINGS))


def lump(framing: str, size: int = LUMP) -> bytes:
    return chunk(b"x" * size) if framing == "chunked" else b"x" * size


def begin(
    rig: GatewayRig, framing: str, timeout_ms: int = 600, size: int = LUMP, client: PeerSocket | None = None
) -> tuple[PeerSocket, PeerSocket]:
    """Send a request, and the head and a first lump of its answer; return its client and the node's end."""
    client = client or rig.client()
    client.send(rig.request("a", timeout=timeout_ms))
    end = rig.nodes[0].wait_for("a")
    end.send(b"HTTP/1.1 200 OK\r\n" + FRAMINGS[framing] + b"\r\n" + (lump(framing, size) if size else b""))
    rig.turn(20)
    return client, end


def finish(end: PeerSocket, framing: str, size: int) -> None:
    """Write the rest of an answer and its end."""
    end.send(lump(framing, size) + (b"0\r\n\r\n" if framing == "chunked" else b""))
    if framing == "close":
        end.fin()


def assert_whole(rig: GatewayRig, client: PeerSocket, size: int = 3 * LUMP) -> None:
    assert rig.until(lambda: client.read().count(b"x") == size)
    rig.pass_time(0.05)
    assert client.read().startswith(b"HTTP/1.1 200 ") and client.text.count(b"HTTP/1.1 ") == 1
    assert not client.was_reset
    assert b"chunked" not in client.text or client.text.endswith(b"0\r\n\r\n")


@framings
def test_a_rest_is_outlasted_though_the_loop_was_held_up_over_the_deadline(framing: str) -> None:
    with gateway_rig() as rig:
        client, end = begin(rig, framing)
        rig.leap(0.7)
        rig.turn(5)
        assert client.read().startswith(b"HTTP/1.1 200 ")
        rig.pass_time(1.0)
        finish(end, framing, 2 * LUMP)
        assert_whole(rig, client)


@framings
@pytest.mark.parametrize("size", [0, 10, 65_535])
def test_what_has_come_is_held_for_a_second_at_most(framing: str, size: int) -> None:
    """Guards against withholding the rest of a long answer for 2 s where its client has more time."""
    with gateway_rig() as rig:
        client, end = begin(rig, framing, 3000, size)
        rig.pass_time(1.02)
        assert client.read().count(b"x") == size and client.text.startswith(b"HTTP/1.1 200 ")
        rig.pass_time(3.0)
        finish(end, framing, 3 * LUMP - size)
        assert_whole(rig, client)


@pytest.mark.parametrize("framing", ["chunked", "close"])
def test_a_rest_after_some_kilobytes_tells_that_an_answer_is_long(framing: str) -> None:
    with gateway_rig() as rig:
        client, _ = begin(rig, framing, 3000, 9_000)
        rig.pass_time(0.05)
        assert client.read().count(b"x") == 9_000


@pytest.mark.parametrize("framing", ["chunked", "close"])
def test_an_answer_without_a_length_that_breaks_off_in_time_is_asked_for_again(framing: str) -> None:
    with gateway_rig() as rig:
        client, end = begin(rig, framing, 3000, 5_000)
        rig.pass_time(0.5)
        end.rst()
        rig.nodes[0].connections.clear()
        rig.nodes[0].answer("a", b"second")
        client.read_until(b"\r\n\r\nsecond")


@framings
def test_a_rest_longer_than_a_long_time_is_not_cut_off_at_its_end(framing: str) -> None:
    """Guards against counting a rest against an answer while its client's time runs."""
    with gateway_rig(**effect("retryable", give_up_us="8000000")) as rig:
        client, end = begin(rig, framing, 8000)
        rig.pass_time(9.0)
        assert not end.closed() and not client.closed()
        finish(end, framing, 2 * LUMP)
        assert_whole(rig, client)


@framings
@pytest.mark.parametrize("held_up", [False, True])
def test_the_end_of_a_process_leaves_a_begun_answer_its_last_moments(framing: str, held_up: bool) -> None:
    """Guards against answering what is open as a process ends though its answer is on its way."""
    with gateway_rig() as rig:
        kept = rig.client()
        rig.turn(5)
        rig.gateway.stop()
        rig.pass_time(0.6)
        client, end = begin(rig, framing, 3000, 10, kept)
        rig.pass_time(0.9 if held_up else 2.8)
        if held_up:  # over the shutdown's last answers, and over the second of its hold
            rig.leap(2.0)
        rig.turn(5)
        assert client.read().startswith(b"HTTP/1.1 200 ")
        finish(end, framing, 3 * LUMP - 10)
        assert_whole(rig, client)


@framings
def test_a_process_that_is_to_end_leaves_a_begun_answer_its_time_up_to_the_kill(framing: str) -> None:
    """Guards against an answer that the process breaks off itself, though no SIGKILL has come."""
    with gateway_rig() as rig:
        rig.gateway.stop()
        client, end = begin(rig, framing, 3000)
        rig.pass_time(EARLIEST_KILL_S + 1.0)
        assert not client.closed() and not end.closed() and not rig.stopped
        finish(end, framing, 2 * LUMP)
        assert_whole(rig, client)
        assert rig.until(lambda: bool(rig.stopped), 0.2)


@framings
def test_an_answer_that_moves_no_more_is_reset_as_its_process_ends(framing: str) -> None:
    with gateway_rig() as rig:
        rig.gateway.stop()
        client, end = begin(rig, framing, 3000)
        rig.pass_time(9.0)
        end.send(lump(framing))
        assert rig.until(lambda: client.read().count(b"x") == 2 * LUMP)
        rig.pass_time(9.0)
        assert not client.closed() and not rig.stopped
        rig.pass_time(1.2)
        assert client.closed() and client.was_reset and end.closed() and rig.stopped


@framings
def test_a_client_that_leaves_in_a_rest_gets_nothing_and_nor_does_the_next(framing: str) -> None:
    with gateway_rig() as rig:
        client, end = begin(rig, framing, 600, 10)
        client.rst()
        rig.pass_time(1.0)
        assert end.closed()
        other = rig.client()
        other.send(rig.request("other"))
        rig.nodes[0].answer("other", b"own")
        assert other.read_until(b"\r\n\r\nown").count(b"x") == 0


@framings
def test_an_answer_for_which_there_is_no_memory_is_passed_on_as_it_comes(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against breaking off an answer whose waiting bytes find no buffer."""
    with gateway_rig() as rig:

        def acquire(is_first: bool = True, for_answer: bool = False) -> bytearray:
            if for_answer and not is_first:
                raise PoolEmpty("all in use")
            return bytearray(rig.gateway.buffers.size)

        monkeypatch.setattr(rig.gateway.buffers, "acquire", acquire)
        client, end = begin(rig, framing, 3000)
        assert rig.until(lambda: client.read().count(b"x") == LUMP, 0.2)
        finish(end, framing, 2 * LUMP)
        assert_whole(rig, client)


def test_an_answer_has_one_end_though_its_attempt_had_a_time_of_its_own() -> None:
    with gateway_rig() as rig:
        client, end = begin(rig, "chunked", 3000, 5_000)
        (attempt,) = rig.gateway.engine._table.attempts.values()
        rig.gateway.engine.attempts.shorten(attempt, rig.clock.now_us() + 200_000)
        rig.pass_time(0.9)
        assert rig.nodes[0].received("a") == 1 and not end.closed()
        finish(end, "chunked", 3 * LUMP - 5_000)
        assert_whole(rig, client)
        assert rig.gateway.engine.counts["attempt_served"] == 1
        assert AttemptResult.TIMEOUT.name.lower() not in str(rig.gateway.engine.counts)


def test_a_client_whose_output_fills_with_the_end_of_an_answer_pauses_no_later_one() -> None:
    """Guards against a node's connection that is paused for one client and then carries another's request."""
    with gateway_rig() as rig:
        client, end = begin(rig, "chunked")
        rig.pass_time(0.7)
        (connection,) = rig.gateway.front._open
        link_write = connection.link.write

        def write(data: bytes) -> None:
            link_write(data)
            if data.endswith(b"0\r\n\r\n"):
                connection.pauseProducing()  # as the transport does when its buffer is full

        connection.link.write = write
        finish(end, "chunked", 2 * LUMP)
        rig.pass_time(0.1)
        other = rig.client()
        other.send(rig.request("other"))
        rig.nodes[0].answer("other", b"own")
        other.read_until(b"\r\n\r\nown")
        assert rig.gateway.engine.counts["sent"] == 2
        connection.resumeProducing()
        assert_whole(rig, client)
