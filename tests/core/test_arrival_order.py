"""Which received events wait for another pass over the sockets, so that earlier ones are read first."""

from __future__ import annotations

from gaugesail.core.arrival_order import PASSES_TO_READ, ArrivalOrder, ReadEvent
from gaugesail.policy.events import KeyClaimed, KeyReleased, RequestReceived
from gaugesail.policy.settings import Plan, RequestClass, Settings

READ, WRITE = 0, 1
SETTINGS = Settings(
    (
        RequestClass("read", 500_000, 3_000_000),
        RequestClass("write", 500_000, 3_000_000, ordered=True),
    ),
    (Plan("basic"),),
    max_attempts=2,
)


def request(number: int, received_us: int, key: int = 7, class_index: int = WRITE) -> RequestReceived:
    return RequestReceived(
        number, class_index, 9_000_000, key=key, settings=SETTINGS, received_us=received_us
    )


def test_a_request_waits_for_an_earlier_one_of_its_key() -> None:
    order = ArrivalOrder()
    later, earlier = request(1, 2000), request(2, 1000)
    assert order.pass_completed([later], [earlier]) == ([], [later])
    assert order.pass_completed([later, earlier], []) == ([later, earlier], [])


def test_other_keys_later_requests_and_classes_without_order_make_none_wait() -> None:
    order = ArrivalOrder()
    ready: list[ReadEvent] = [request(1, 2000)]
    unread = [request(2, 1000, key=8), request(3, 2000), request(4, 1000, class_index=READ)]
    assert order.pass_completed(ready, unread) == (ready, [])


def test_requests_of_a_class_without_order_never_wait() -> None:
    order = ArrivalOrder()
    ready: list[ReadEvent] = [request(1, 2000, class_index=READ), request(2, 2000, key=0)]
    order.connections_queued()
    assert order.pass_completed(ready, [request(3, 1000)]) == (ready, [])


def test_ordered_requests_wait_until_queued_connections_have_been_read() -> None:
    order = ArrivalOrder()
    ready: list[ReadEvent] = [request(1, 2000)]
    order.connections_queued()
    for _ in range(PASSES_TO_READ):
        assert order.pass_completed(ready, []) == ([], ready)
    assert order.pass_completed(ready, []) == (ready, [])


def test_the_release_of_a_claim_waits_with_it() -> None:
    """Guards against a claim that is taken up after its release, and then holds its key for ever."""
    order = ArrivalOrder()
    claim, other = KeyClaimed(1, 7, 2000), KeyClaimed(2, 8, 2000)
    ready: list[ReadEvent] = [claim, other, KeyReleased(2), KeyReleased(1)]
    released, held = order.pass_completed(ready, [request(3, 1000)])
    assert released == [other, KeyReleased(2)]
    assert held == [claim, KeyReleased(1)]


def test_a_claim_whose_attempt_is_in_flight_never_waits() -> None:
    claim = KeyClaimed(1, 7, 2000, is_held=True)
    ready: list[ReadEvent] = [claim]
    assert ArrivalOrder().pass_completed(ready, [request(3, 1000)]) == (ready, [])
