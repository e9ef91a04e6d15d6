"""One small test for each failure found, and for each symptom that a guard answers."""

from __future__ import annotations

from collections import deque

from gaugesail.policy.actions import Action, RejectRequest, WatchEndpoints
from gaugesail.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    RequestReceived,
    SiblingProcessChanged,
)
from gaugesail.policy.records import NodeRecord

from ..support import gateway_driver
from ..support.gateway_driver import SEC, Driver


def test_a_try_that_comes_too_late_is_refused_at_once() -> None:
    rig = Driver(gateway_driver.settings(), nodes=0)
    number = rig.ask(give_up=9000)
    assert isinstance(rig.answers[number], RejectRequest)


def test_a_refusal_tells_the_longest_time_that_clients_heed_where_they_are_told_one() -> None:
    for may, told in ((True, 400_000), (False, 0)):
        rig = Driver(gateway_driver.settings(retry_after_allowed=may, max_retry_after_us=400_000), nodes=0)
        number = rig.ask(give_up=9000)
        assert rig.answers[number] == RejectRequest(number, told)


def test_errors_in_a_row_cut_the_window_to_single_trials() -> None:
    rig = Driver(gateway_driver.settings(retry_budget_window_us=0))
    book = rig.gateway.nodes[gateway_driver.node_id(0)]
    book.windows = [3.0, 3.0, 3.0]
    for _ in range(12):
        rig.ask()
        for key in list(rig.out):
            rig.answer(key, AttemptResult.ERROR)
        rig.pass_time(2000)
    for _ in range(10):
        rig.ask()
    rig.pass_time(60_000)
    assert len(rig.out) == 1
    rig.answer(next(iter(rig.out)))
    assert len(rig.out) == 3, "a served answer ends the trial"


def test_a_hanging_node_gets_one_trial_at_a_time() -> None:
    rig = Driver(gateway_driver.settings())
    for _ in range(20):
        rig.ask()
    first = len(rig.out)
    rig.pass_time(900_000)
    assert len(rig.sends) <= first + 4


def test_a_node_gone_from_the_whole_list_gets_nothing() -> None:
    rig = Driver(gateway_driver.settings())
    rig.list_nodes([(1, EndpointState.READY, 0)], EndpointListKind.FULL)
    number = rig.ask(shard=0)
    rig.pass_time(2 * SEC)
    assert not rig.sends and isinstance(rig.answers[number], RejectRequest)


def test_a_failed_subscription_is_renewed_soon() -> None:
    rig = Driver(gateway_driver.settings(subscribes_to_endpoints=True))
    rig.feed(EndpointList(EndpointListKind.FAILED))
    seen: list[Action] = []
    for _ in range(200):
        rig.pass_time(2_000)
        seen += [a for a in rig.last if isinstance(a, WatchEndpoints)]
    assert seen, "news may count as told 4 s after discovery has moved"


def test_a_full_node_is_left_alone_for_longer_each_time() -> None:
    rig = Driver(gateway_driver.settings(retry_budget_window_us=0, max_attempts=9))
    for _ in range(100):
        rig.ask()
        for key in list(rig.out):
            rig.answer(key, AttemptResult.REJECTED)
        rig.pass_time(10_000)
    assert len(rig.sends) < 15, "a jammed node must get the time to drain"


def test_what_is_past_its_aim_is_refused_and_not_sent() -> None:
    rig = Driver(gateway_driver.settings())
    numbers = [rig.ask() for _ in range(6)]
    rig.pass_time(230_000)
    waiting = [n for n in numbers if n not in {send.request_id for send in rig.sends}]
    assert waiting and all(isinstance(rig.answers[n], RejectRequest) for n in waiting)


def test_a_window_under_one_leaves_a_gap() -> None:
    rig = Driver(gateway_driver.settings())
    for _ in range(6):  # answers far over the target
        rig.ask(2)
        rig.pass_time(500_000)
        for key in list(rig.out):
            rig.answer(key)
        rig.pass_time(500_000)
    assert rig.gateway.nodes[gateway_driver.node_id(0)].windows[0] < 1
    rig.ask(2)
    rig.pass_time(100_000)
    rig.answer(next(iter(rig.out)))
    before = len(rig.sends)
    rig.ask(2)
    assert not rig.out and len(rig.sends) == before
    rig.pass_time(1_900_000)
    assert len(rig.out) == 1


def test_a_cold_node_that_serves_is_sent_more() -> None:
    rig = Driver(gateway_driver.settings(initial_capacity_units=12.0))
    rig.pass_time(3 * SEC)
    rig.list_nodes([(0, EndpointState.READY, rig.now)])
    for _ in range(30):
        rig.ask(units=2.0)
        for key in list(rig.out):
            rig.pass_time(20_000)
            rig.answer(key)
    served = len(rig.sends)
    assert served > 12, "work that was served does not use up the part"
    silent = Driver(gateway_driver.settings(initial_capacity_units=12.0))
    silent.pass_time(3 * SEC)
    silent.list_nodes([(0, EndpointState.READY, silent.now)])
    for _ in range(30):
        silent.ask(units=2.0)
        silent.pass_time(20_000)
    assert len(silent.sends) <= 4


def test_a_key_waits_for_the_attempt_of_a_client_that_left() -> None:
    rig = Driver(gateway_driver.settings())
    rig.gateway.nodes[gateway_driver.node_id(0)].windows = [4.0, 4.0, 4.0]
    first = rig.ask(2, key=5)
    rig.gone(first)
    second = rig.ask(2, key=5)
    assert [send.request_id for send in rig.sends] == [first]
    rig.answer((first, 0))
    assert [send.request_id for send in rig.sends] == [first, second]


def test_what_cannot_be_sent_before_its_aim_is_refused_at_once() -> None:
    rig = Driver(gateway_driver.settings())
    numbers = [rig.ask() for _ in range(60)]
    rig.pass_time(12_000)
    early = [n for n in numbers if isinstance(rig.answers.get(n), RejectRequest)]
    assert len(early) >= 30 and early[0] > 8, "the queue is longer than the window lets through by the aim"
    rig.pass_time(150_000)
    assert len(rig.answers) < 60, "what may still be sent in time waits"


def test_a_new_node_counts_as_average_and_starts_wide_open_unless_it_is_cold() -> None:
    rig = Driver(gateway_driver.settings(), nodes=1)
    for _ in range(8):
        rig.ask()
        rig.pass_time(20_000)
        for key in list(rig.out):
            rig.answer(key)
    rig.pass_time(300_000)
    rig.list_nodes([(1, EndpointState.READY, 0), (2, EndpointState.READY, rig.now)])
    heard, warm, cold = (rig.gateway.nodes[gateway_driver.node_id(n)] for n in range(3))
    assert heard.latency_us[0] < 30_000 and warm.latency_us == cold.latency_us == heard.latency_us
    assert warm.windows[0] == 4.0 and cold.windows[0] == 1.0


def test_a_hung_attempt_is_given_up_and_a_node_that_is_back_is_found_beside_it() -> None:
    rig = Driver(gateway_driver.settings(overload_window_us=0))
    first = rig.ask()
    rig.gateway.nodes[gateway_driver.node_id(0)].windows = [1.0, 1.0, 1.0]
    assert rig.sends[0].timeout_us == 560_000, "well before its client gives up"
    rig.pass_time(290_000)
    second = rig.ask()
    assert [send.request_id for send in rig.sends] == [first, second], "a trial beside the one that is stuck"
    unsafe = Driver(gateway_driver.settings())
    unsafe.ask(2)
    assert unsafe.sends[0].timeout_us == 0, "it could not go again"


def test_books_do_not_grow_with_requests_ids_or_replaced_nodes() -> None:
    rig = Driver(gateway_driver.settings(overload_window_us=0, retry_budget_window_us=0))
    now: list[int] = []
    for n in range(1, 4001):
        rig.list_nodes([(0, EndpointState.READY, 0)])
        rig.ask(0, shard=0 if n % 2 else n, volume_id=n, key=n)
        for key in list(rig.out):
            rig.answer(key, AttemptResult.SERVED if n % 3 else AttemptResult.ERROR)
        if n % 10 == 0:  # a node takes the place of another
            book = (
                Endpoint(b"old%d" % n, 1, EndpointState.READY),
                Endpoint(b"old%d" % (n - 10), 1, EndpointState.GONE),
            )
            rig.feed(EndpointList(EndpointListKind.CHANGES, book))
        rig.pass_time(20_000)
        if n in (2000, 4000):
            now.append(_size(rig.gateway))
    assert now[1] <= now[0] * 1.1, now
    assert set(rig.gateway.shards) == {0, 1}, "no book is opened on a client's word"


def _size(gateway: object) -> int:
    """How many things the gateway's books hold, all told."""
    found, todo, seen = 0, [gateway], set[int]()
    while todo:
        item = todo.pop()
        if id(item) in seen or isinstance(item, (int, float, str, bytes, type)):
            continue
        seen.add(id(item))
        if isinstance(item, dict):
            found += len(item)
            todo += [*item.keys(), *item.values()]
        elif isinstance(item, (list, tuple, set, deque)):
            found += len(item)
            todo += item
        else:
            names = getattr(item, "__slots__", None) or vars(item) if hasattr(item, "__dict__") else ()
            names = names or getattr(item, "__slots__", ())
            todo += [getattr(item, name) for name in names if hasattr(item, name)]
    return found


def test_a_volume_named_with_another_plan_or_other_hosts_is_another_book() -> None:
    rig = Driver(gateway_driver.settings(overload_window_us=0))
    rig.ask(volume_id=7, plan_index=0, gateways_in_use=2.0)
    book = rig.gateway.volumes.budgets[7, "small", 2.0]
    left = book.reserve_units, book.share_units, book.plan, book.gateways_in_use
    for _ in range(20):
        rig.ask(volume_id=7, plan_index=1, gateways_in_use=2.0, units=6.0)
        rig.ask(volume_id=7, plan_index=0, gateways_in_use=1.0, units=6.0)
    assert (book.reserve_units, book.share_units, book.plan, book.gateways_in_use) == left


def test_an_attempt_lost_by_itself_says_nothing_of_a_node_that_served_what_was_sent_later() -> None:
    rig = Driver(gateway_driver.settings(overload_window_us=0, retry_budget_window_us=0))
    book = rig.gateway.nodes[gateway_driver.node_id(0)]
    lost = rig.ask()
    for _ in range(20):
        rig.pass_time(20_000)
        rig.ask()
        for key in list(rig.out):
            if key[0] != lost:
                rig.answer(key)
    for _ in range(5):
        rig.ask()
    assert len(rig.out) == 5, "the one that is stuck takes no slot, and the others are no trials"
    rig.answer((lost, 0), AttemptResult.TIMEOUT)
    assert not book.consecutive_failures and book.backoff_until <= rig.now


def test_a_node_that_serves_nothing_later_hangs() -> None:
    rig = Driver(gateway_driver.settings(overload_window_us=0, retry_budget_window_us=0))
    for _ in range(4):
        rig.ask()
    rig.pass_time(290_000)
    rig.ask()
    rig.ask()
    assert len(rig.out) == 5, "one trial beside the four that are stuck"
    rig.answer((1, 0), AttemptResult.TIMEOUT)
    assert rig.gateway.nodes[gateway_driver.node_id(0)].consecutive_failures == 1


def test_a_node_back_from_maintenance_is_cold_and_its_old_faults_are_forgotten() -> None:
    rig = Driver(gateway_driver.settings(retry_budget_window_us=0, initial_capacity_units=60.0))
    book = rig.gateway.nodes[gateway_driver.node_id(0)]
    book.consecutive_failures, book.backoff_until = 6, rig.now + 10 * SEC
    rig.maintain(0, True)
    sent = len(rig.sends)
    number = rig.ask()
    rig.pass_time(20_000)
    assert isinstance(rig.answers[number], RejectRequest), "what waits for it is refused at once"
    rig.list_nodes([(0, EndpointState.READY, rig.now)])
    rig.pass_time(3 * SEC)
    rig.maintain(0, True)
    rig.maintain(0, False)
    rig.pass_time(2 * SEC)
    assert book.warming_since == rig.now - 2 * SEC and not book.consecutive_failures
    rig.ask()
    assert len(rig.sends) == sent + 1, "in use again at once"
    before = book.listed_start_us
    rig.maintain(0, False)
    assert book.listed_start_us == before, "a call back of what is in use changes nothing"


def room(rig: Driver, book: NodeRecord) -> float:
    state = rig.gateway.state
    return rig.gateway.slow_start.capacity(state.now, book, state.process_count, False)[1]


def test_two_processes_of_a_gateway_share_what_is_rationed() -> None:
    rig = Driver(gateway_driver.settings(retry_budget_window_us=0), nodes=0)
    rig.feed()
    rig.pass_time(3 * SEC)
    rig.feed(SiblingProcessChanged(True))
    rig.list_nodes([(0, EndpointState.READY, rig.now)])
    book = rig.gateway.nodes[gateway_driver.node_id(0)]
    half = room(rig, book)
    rig.feed(SiblingProcessChanged(False))
    assert room(rig, book) == half, "what the other has sent counts for a window yet"
    request = RequestReceived(99, 0, 0, plan_index=1, volume_id=5)
    capped = rig.gateway.volumes.open(request, rig.gateway.state.settings)
    capped.limit_bucket.units = 0.0
    rig.pass_time(SEC // 10)
    rig.feed()
    rig.gateway.volumes.refill(capped)
    assert capped.limit_bucket.units == 1.0, "half of 20 a second"
    rig.pass_time(2 * SEC)
    rig.feed()
    assert rig.gateway.state.process_count == 1 and room(rig, book) > 2 * half


def test_a_first_broken_connection_is_its_own_fault_and_a_second_one_the_nodes() -> None:
    rig = Driver(gateway_driver.settings(retry_budget_window_us=0, overload_window_us=0))
    book = rig.gateway.nodes[gateway_driver.node_id(0)]
    for _ in range(3):
        rig.ask()
    first, second, third = rig.out
    rig.answer(first, AttemptResult.RESET)
    assert book.backoff_until <= rig.now and rig.gateway.dispatcher.tiers_with_room(book)[0], (
        "no pause, no single trials"
    )
    rig.answer(second, AttemptResult.RESET)
    assert book.backoff_until > rig.now and not rig.gateway.dispatcher.tiers_with_room(book)[0]
    rig.answer(third)
    assert not book.consecutive_failures
