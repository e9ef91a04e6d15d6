"""Regression tests of one gateway: one for each fault found, or for a rule that limits its effects."""

from __future__ import annotations

from collections import deque
from itertools import pairwise

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


def test_a_request_received_too_late_is_rejected_at_once() -> None:
    driver = Driver(gateway_driver.settings(), nodes=0)
    number = driver.send_request(deadline_after_us=9000)
    assert isinstance(driver.answers[number], RejectRequest)


def test_a_rejection_has_the_longest_retry_after_if_it_is_allowed() -> None:
    for allowed, expected in ((True, 400_000), (False, 0)):
        driver = Driver(
            gateway_driver.settings(retry_after_allowed=allowed, max_retry_after_us=400_000), nodes=0
        )
        number = driver.send_request(deadline_after_us=9000)
        assert driver.answers[number] == RejectRequest(number, expected)


def test_consecutive_errors_limit_a_node_to_single_trials() -> None:
    driver = Driver(gateway_driver.settings(retry_budget_window_us=0))
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    node.window = 3.0
    for _ in range(12):
        driver.send_request()
        for key in list(driver.in_flight):
            driver.end_attempt(key, AttemptResult.ERROR)
        driver.pass_time(2000)
    for _ in range(10):
        driver.send_request()
    driver.pass_time(60_000)
    assert len(driver.in_flight) == 1
    driver.end_attempt(next(iter(driver.in_flight)))
    assert len(driver.in_flight) == 3, "a served trial ends the limit"


def test_a_hanging_node_gets_one_trial_at_a_time() -> None:
    driver = Driver(gateway_driver.settings())
    for _ in range(20):
        driver.send_request()
    sent_first = len(driver.in_flight)
    driver.pass_time(900_000)
    assert len(driver.started) <= sent_first + 4


def test_a_node_missing_from_the_full_list_gets_no_requests() -> None:
    driver = Driver(gateway_driver.settings())
    driver.list_nodes([(1, EndpointState.READY, 0)], EndpointListKind.FULL)
    number = driver.send_request(shard=0)
    driver.pass_time(2 * SEC)
    assert not driver.started and isinstance(driver.answers[number], RejectRequest)


def test_a_failed_subscription_is_renewed_soon() -> None:
    driver = Driver(gateway_driver.settings(subscribes_to_endpoints=True))
    driver.feed(EndpointList(EndpointListKind.FAILED))
    seen: list[Action] = []
    for _ in range(200):
        driver.pass_time(2_000)
        seen += [a for a in driver.last_actions if isinstance(a, WatchEndpoints)]
    assert seen, "the list may count as received 4 s after discovery has moved"


def test_a_full_node_gets_an_increasing_backoff() -> None:
    driver = Driver(gateway_driver.settings(retry_budget_window_us=0, max_attempts=9))
    for _ in range(100):
        driver.send_request()
        for key in list(driver.in_flight):
            driver.end_attempt(key, AttemptResult.REJECTED)
        driver.pass_time(10_000)
    assert len(driver.started) < 15, "a full node must get time to drain its queue"


def test_a_request_whose_time_is_over_is_rejected_and_not_sent() -> None:
    driver = Driver(gateway_driver.settings())
    driver.gateway.nodes[gateway_driver.node_id(0)].backoff_until = driver.now + 10 * SEC
    numbers = [driver.send_request() for _ in range(3)]
    driver.pass_time(960_000)
    assert not driver.answers, "their clients still wait"
    driver.pass_time(30_000)
    assert all(isinstance(driver.answers[n], RejectRequest) for n in numbers) and not driver.started


def test_a_window_below_one_request_is_paced() -> None:
    driver = Driver(gateway_driver.settings())
    for _ in range(6):  # answers far slower than the target
        driver.send_request(2)
        driver.pass_time(500_000)
        for key in list(driver.in_flight):
            driver.end_attempt(key)
        driver.pass_time(500_000)
    assert driver.gateway.nodes[gateway_driver.node_id(0)].window < 1
    driver.send_request(2)
    driver.pass_time(100_000)
    driver.end_attempt(next(iter(driver.in_flight)))
    before = len(driver.started)
    driver.send_request(2)
    assert not driver.in_flight and len(driver.started) == before
    driver.pass_time(1_900_000)
    assert len(driver.in_flight) == 1


def test_a_warming_node_that_serves_is_sent_more() -> None:
    driver = Driver(gateway_driver.settings(initial_capacity_units=12.0))
    driver.pass_time(3 * SEC)
    driver.list_nodes([(0, EndpointState.READY, driver.now)])
    for _ in range(30):
        driver.send_request(units=2.0)
        for key in list(driver.in_flight):
            driver.pass_time(20_000)
            driver.end_attempt(key)
    served = len(driver.started)
    assert served > 12, "served units do not use up the share"
    silent = Driver(gateway_driver.settings(initial_capacity_units=12.0))
    silent.pass_time(3 * SEC)
    silent.list_nodes([(0, EndpointState.READY, silent.now)])
    for _ in range(30):
        silent.send_request(units=2.0)
        silent.pass_time(20_000)
    assert len(silent.started) <= 4


def test_a_key_waits_for_the_attempt_of_a_disconnected_client() -> None:
    driver = Driver(gateway_driver.settings())
    driver.gateway.nodes[gateway_driver.node_id(0)].window = 4.0
    first = driver.send_request(2, key=5)
    driver.disconnect(first)
    second = driver.send_request(2, key=5)
    assert [send.request_id for send in driver.started] == [first]
    driver.end_attempt((first, 0))
    assert [send.request_id for send in driver.started] == [first, second]


def test_requests_that_measured_service_cannot_reach_in_their_time_are_rejected_at_once() -> None:
    driver = Driver(gateway_driver.settings())
    for _ in range(20):  # the node takes 100 ms for each
        driver.send_request()
        driver.pass_time(100_000)
        driver.end_attempt(next(iter(driver.in_flight)))
    numbers = [driver.send_request() for _ in range(90)]
    driver.pass_time(12_000)
    early = [n for n in numbers if isinstance(driver.answers.get(n), RejectRequest)]
    # 4 at once are 40 a second; a last one that begins 100 ms before the end of its time still comes in time.
    assert 40 <= len(early) <= 55 and early == numbers[-len(early) :]
    while driver.gateway.pending:
        driver.pass_time(24_000)  # a little faster than before
        driver.end_attempt(next(iter(driver.in_flight)))
    assert len(driver.answers) == len(early), "all that could be served in time waited for it"


def test_a_new_node_has_average_latency_and_the_largest_window_unless_it_is_warming_up() -> None:
    driver = Driver(gateway_driver.settings(), nodes=1)
    for _ in range(8):
        driver.send_request()
        driver.pass_time(20_000)
        for key in list(driver.in_flight):
            driver.end_attempt(key)
    driver.pass_time(300_000)
    driver.list_nodes([(1, EndpointState.READY, 0), (2, EndpointState.READY, driver.now)])
    measured, warm, warming = (driver.gateway.nodes[gateway_driver.node_id(n)] for n in range(3))
    assert measured.latency_us[0] < 30_000 and warm.latency_us == warming.latency_us == measured.latency_us
    assert warm.window == 4.0 and warming.window == 1.0


def test_a_hanging_attempt_times_out_and_a_trial_beside_it_is_sent() -> None:
    driver = Driver(gateway_driver.settings(overload_window_us=0))
    first = driver.send_request()
    driver.gateway.nodes[gateway_driver.node_id(0)].window = 1.0
    assert driver.started[0].timeout_us == 490_000, "another attempt can have as much time"
    driver.pass_time(340_000)
    second = driver.send_request()
    assert [send.request_id for send in driver.started] == [first, second], "a trial beside the stuck attempt"
    not_idempotent = Driver(gateway_driver.settings())
    not_idempotent.send_request(2)
    assert not_idempotent.started[0].timeout_us == 0, "it could not be attempted again"


def test_records_do_not_grow_with_requests_ids_or_replaced_nodes() -> None:
    driver = Driver(gateway_driver.settings(overload_window_us=0, retry_budget_window_us=0))
    sizes: list[int] = []
    for n in range(1, 4001):
        driver.list_nodes([(0, EndpointState.READY, 0)])
        driver.send_request(0, shard=0 if n % 2 else n, volume_id=n, key=n)
        for key in list(driver.in_flight):
            driver.end_attempt(key, AttemptResult.SERVED if n % 3 else AttemptResult.ERROR)
        if n % 10 == 0:  # a node replaces another one
            changes = (
                Endpoint(b"old%d" % n, 1, EndpointState.READY),
                Endpoint(b"old%d" % (n - 10), 1, EndpointState.GONE),
            )
            driver.feed(EndpointList(EndpointListKind.CHANGES, changes))
        driver.pass_time(20_000)
        if n in (2000, 4000):
            sizes.append(_size(driver.gateway))
    assert sizes[1] <= sizes[0] * 1.1, sizes
    assert set(driver.gateway.shards) == {0, 1}, "a shard that only clients name gets no record"


def _size(gateway: object) -> int:
    """Return the number of items in all records of the gateway."""
    count, todo, seen = 0, [gateway], set[int]()
    while todo:
        item = todo.pop()
        if id(item) in seen or isinstance(item, (int, float, str, bytes, type)):
            continue
        seen.add(id(item))
        if isinstance(item, dict):
            count += len(item)
            todo += [*item.keys(), *item.values()]
        elif isinstance(item, (list, tuple, set, deque)):
            count += len(item)
            todo += item
        else:
            names = getattr(item, "__slots__", None) or vars(item) if hasattr(item, "__dict__") else ()
            names = names or getattr(item, "__slots__", ())
            todo += [getattr(item, name) for name in names if hasattr(item, name)]
    return count


def test_a_volume_with_another_plan_or_number_of_gateways_has_another_budget() -> None:
    driver = Driver(gateway_driver.settings(overload_window_us=0))
    driver.send_request(volume_id=7, plan_index=0, gateways_in_use=2.0)
    budget = driver.gateway.volumes.budgets[7, "small", 2.0]
    before = budget.reserve_units, budget.plan, budget.gateways_in_use
    for _ in range(20):
        driver.send_request(volume_id=7, plan_index=1, gateways_in_use=2.0, units=6.0)
        driver.send_request(volume_id=7, plan_index=0, gateways_in_use=1.0, units=6.0)
    assert (budget.reserve_units, budget.plan, budget.gateways_in_use) == before


def test_an_isolated_loss_does_not_count_against_a_node_that_served_a_later_request() -> None:
    driver = Driver(gateway_driver.settings(overload_window_us=0, retry_budget_window_us=0))
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    lost = driver.send_request()
    for _ in range(20):
        driver.pass_time(20_000)
        driver.send_request()
        for key in list(driver.in_flight):
            if key[0] != lost:
                driver.end_attempt(key)
    for _ in range(5):
        driver.send_request()
    assert len(driver.in_flight) == 5, "the stuck attempt takes no slot, and the others are no trials"
    driver.end_attempt((lost, 0), AttemptResult.TIMEOUT)
    assert not node.consecutive_failures and node.backoff_until <= driver.now


def test_a_node_that_serves_no_later_request_hangs() -> None:
    driver = Driver(gateway_driver.settings(overload_window_us=0, retry_budget_window_us=0))
    for _ in range(4):
        driver.send_request()
    driver.pass_time(340_000)
    driver.send_request()
    driver.send_request()
    assert len(driver.in_flight) == 5, "one trial beside the four stuck attempts"
    driver.end_attempt((1, 0), AttemptResult.TIMEOUT)
    assert driver.gateway.nodes[gateway_driver.node_id(0)].consecutive_failures == 1


def test_a_node_back_from_maintenance_warms_up_and_its_failures_are_cleared() -> None:
    driver = Driver(gateway_driver.settings(retry_budget_window_us=0, initial_capacity_units=60.0))
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    node.consecutive_failures, node.backoff_until = 6, driver.now + 10 * SEC
    driver.set_maintenance(0, True)
    sent = len(driver.started)
    number = driver.send_request()
    driver.pass_time(20_000)
    assert isinstance(driver.answers[number], RejectRequest), "requests that wait for it are rejected at once"
    driver.list_nodes([(0, EndpointState.READY, driver.now)])
    driver.pass_time(3 * SEC)
    driver.set_maintenance(0, True)
    driver.set_maintenance(0, False)
    driver.pass_time(2 * SEC)
    assert node.warming_since == driver.now - 2 * SEC and not node.consecutive_failures
    driver.send_request()
    assert len(driver.started) == sent + 1, "it is used again at once"
    before = node.listed_start_us
    driver.set_maintenance(0, False)
    assert node.listed_start_us == before, "ending maintenance of a node in use changes nothing"


def available_units(driver: Driver, node: NodeRecord) -> float:
    state = driver.gateway.state
    return driver.gateway.slow_start.capacity(state.now, node, state.process_count, False)[1]


def test_two_processes_of_a_gateway_share_its_limits() -> None:
    driver = Driver(gateway_driver.settings(retry_budget_window_us=0), nodes=0)
    driver.feed()
    driver.pass_time(3 * SEC)
    driver.feed(SiblingProcessChanged(True))
    driver.list_nodes([(0, EndpointState.READY, driver.now)])
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    half = available_units(driver, node)
    driver.feed(SiblingProcessChanged(False))
    assert available_units(driver, node) == half, "units sent by the other count for one more window"
    request = RequestReceived(99, 0, 0, plan_index=1, volume_id=5)
    budget = driver.gateway.volumes.open(request, driver.gateway.state.settings)
    budget.limit_bucket.units = 0.0
    driver.pass_time(SEC // 10)
    driver.feed()
    driver.gateway.volumes.refill(budget)
    assert budget.limit_bucket.units == 1.0, "half of 20 units per second"
    driver.pass_time(2 * SEC)
    driver.feed()
    assert driver.gateway.state.process_count == 1 and available_units(driver, node) > 2 * half


def test_a_first_reset_is_a_fault_of_its_connection_and_a_second_one_of_the_node() -> None:
    driver = Driver(gateway_driver.settings(retry_budget_window_us=0, overload_window_us=0))
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    for _ in range(3):
        driver.send_request()
    first, second, third = driver.in_flight
    driver.end_attempt(first, AttemptResult.RESET)
    assert node.backoff_until <= driver.now and driver.gateway.dispatcher.may_send(node), (
        "no backoff, no single trials"
    )
    driver.end_attempt(second, AttemptResult.RESET)
    assert node.backoff_until > driver.now and not driver.gateway.dispatcher.may_send(node)
    driver.end_attempt(third)
    assert not node.consecutive_failures


def test_a_window_grows_by_one_in_a_period_up_to_the_ceiling_of_the_design() -> None:
    driver = Driver(gateway_driver.settings(overload_window_us=0, retry_budget_window_us=0))
    node = driver.gateway.nodes[gateway_driver.node_id(0)]
    windows = []
    for _ in range(40):
        for _ in range(25):
            while len(driver.gateway.shards[0].waiting[0]) < 40:
                driver.send_request()
            driver.pass_time(10_000)
            for key in list(driver.in_flight):
                driver.end_attempt(key)
        windows.append(node.window)
    assert windows[-1] == 32.0
    assert all(0 <= after - before <= 1.0 for before, after in pairwise(windows))
