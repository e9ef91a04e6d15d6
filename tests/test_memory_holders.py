"""Who loses what it holds when the buffers of a gateway are lent, and how a memory limit is divided."""

from __future__ import annotations

from typing import Any

import pytest

from gaugesail.buffers import BUFFER_BYTES, Body, BufferPool, PoolEmpty
from gaugesail.memory_budget import MEGABYTE, PROGRAM_BYTES, MemoryBudget
from gaugesail.memory_holders import MemoryHolders
from gaugesail.peer_progress import LONGEST_STEP_US, PeerProgress

LIMIT = 32


class ManualClock:
    """A clock that the test sets."""

    now = 10_000_000

    def now_us(self) -> int:
        return self.now


class Client:
    """A client that holds buffers of a pool."""

    def __init__(self, pool: BufferPool, rests_for_us: int, count: int, is_new_work: bool = False) -> None:
        self.steps = PeerProgress()
        self.steps.begin(ManualClock.now - rests_for_us)
        self.is_new_work = is_new_work
        self._body = Body(pool)
        self._body.append(b"x" * count * pool.size)
        self.evicted = False

    def stalled_at_us(self) -> int:
        return self.steps.stalled_at_us

    def evict(self) -> None:
        self.evicted = True
        self._body.release()


class WaitingRequest:
    """A request that waits for its node and holds buffers of a pool."""

    def __init__(self, pool: BufferPool, count: int) -> None:
        self._body = Body(pool)
        self._body.append(b"x" * count * pool.size)
        self.refused = False

    def refuse(self) -> bool:
        """Refuse it; returns whether it was not refused yet."""
        was_waiting, self.refused = not self.refused, True
        self._body.release()
        return was_waiting


def holders_of(
    *rests_for_us: int, is_new_work: bool = False, waiting: int = 0
) -> tuple[BufferPool, list[Client], WaitingRequest]:
    """A pool that is used up by clients that rest for so long, and a request that waits."""
    pool, clock = BufferPool(LIMIT), ManualClock()
    untyped: Any = clock
    request = WaitingRequest(pool, waiting)
    holders = MemoryHolders(pool, untyped, lambda: None, request.refuse)
    clients = [Client(pool, span_us, 7, is_new_work) for span_us in rests_for_us]
    for client in clients:
        holders.add(client)
    return pool, clients, request


def test_the_client_that_stalled_for_longest_goes_first_and_no_other() -> None:
    pool, clients, _ = holders_of(LONGEST_STEP_US * 2, LONGEST_STEP_US * 9, LONGEST_STEP_US * 5, 1000)
    Body(pool).append(b"x" * 2 * pool.size)
    assert [client.evicted for client in clients] == [False, True, False, False]


def test_clients_that_made_progress_keep_what_they_hold() -> None:
    pool, clients, _ = holders_of(*[LONGEST_STEP_US // 2] * 4)
    with pytest.raises(PoolEmpty):
        Body(pool).append(b"x" * 2 * pool.size)
    assert not any(client.evicted for client in clients)


def test_a_client_may_rest_again_as_long_as_it_has_rested_before_a_step() -> None:
    """Guards against a reader with a large window that is taken for one that has stopped."""
    pool, clients, _ = holders_of(*[LONGEST_STEP_US * 3] * 4)
    for client in clients[1:]:
        client.steps.begin(ManualClock.now - LONGEST_STEP_US * 6)
        client.steps.advance(ManualClock.now - LONGEST_STEP_US * 3)
    Body(pool).append(b"x" * 2 * pool.size)
    assert [client.evicted for client in clients] == [True, False, False, False]


def test_an_answer_has_the_memory_of_a_request_that_waits() -> None:
    """Guards against answers that are cut off while work that no node has begun keeps its memory."""
    pool, clients, request = holders_of(0, 0, 0, waiting=7)
    Body(pool, is_answer=True).append(b"x" * 6 * pool.size)
    assert request.refused
    assert not any(client.evicted for client in clients)


def test_an_answer_has_the_memory_of_the_latest_request_that_arrives() -> None:
    pool, clients, _ = holders_of(0, 0, 0, 0, is_new_work=True)
    Body(pool, is_answer=True).append(b"x" * 6 * pool.size)
    assert [client.evicted for client in clients] == [False, False, False, True]


def test_a_new_request_is_refused_while_others_wait() -> None:
    pool, clients, request = holders_of(0, 0, 0, waiting=7)
    with pytest.raises(PoolEmpty):
        Body(pool).append(b"x" * 6 * pool.size)
    assert not request.refused
    assert not any(client.evicted for client in clients)


def test_answers_that_are_read_keep_their_memory_when_there_is_no_other() -> None:
    pool, clients, _ = holders_of(0, 0, 0, 0)
    with pytest.raises(PoolEmpty):
        Body(pool, is_answer=True).append(b"x" * 6 * pool.size)
    assert not any(client.evicted for client in clients)


def test_large_bodies_leave_buffers_to_small_requests() -> None:
    pool, _, _ = holders_of(*[0] * 4)
    Body(pool).append(b"small")
    assert pool.out <= pool.limit


@pytest.mark.parametrize("limit_mb", [32, 48, 64, 96, 192, 2048])
@pytest.mark.parametrize("processes", [1, 2])
@pytest.mark.parametrize("connections", [1, 60, 634, 2000])
@pytest.mark.parametrize("servers", [0, 3200])
def test_the_parts_of_a_budget_fit_into_what_the_program_and_its_list_leave(
    limit_mb: int, processes: int, connections: int, servers: int
) -> None:
    budget = MemoryBudget.within(limit_mb, connections, processes, servers)
    left = limit_mb * MEGABYTE / processes - PROGRAM_BYTES - max(0, servers - 200) * 5 * 1024
    used = budget.buffers * BUFFER_BYTES + budget.volumes * 1200 + budget.request_ids * 400
    assert min(budget.buffers, budget.volumes, budget.request_ids) > 0
    assert used <= max(left, limit_mb * MEGABYTE / 8 / processes, 88 * BUFFER_BYTES * 2)
