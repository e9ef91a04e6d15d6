"""Which request ids may be accepted, for how long they are remembered, and what the sibling learns."""

from __future__ import annotations

from typing import Any

from gaugesail.core.request_ids import REMEMBERED_US, RequestIds
from gaugesail.handover_messages import HandoverMessage, IdsReleased, IdsUsed, decode, encode
from gaugesail.id_coordination import IDS_IN_A_MESSAGE, IdCoordination


class ManualClock:
    """A clock that the test sets."""

    now = 10_000_000

    def now_us(self) -> int:
        return self.now


class Link:
    """The connection to the sibling process, which may not read."""

    def __init__(self) -> None:
        self.backlogged = False
        self.sent: list[HandoverMessage] = []

    def send(self, message: HandoverMessage) -> None:
        self.sent.append(message)

    send_now = send


def rig() -> tuple[ManualClock, RequestIds]:
    clock: Any = ManualClock()
    return clock, RequestIds(clock)


def coordinated(ids: RequestIds) -> tuple[Link, IdCoordination]:
    link: Any = Link()
    coordination = IdCoordination()
    coordination.ids = ids
    coordination.begin(link)
    return link, coordination


def test_an_id_is_free_after_its_answer_but_not_after_its_client_left() -> None:
    clock, ids = rig()
    for name in ("answered", "left"):
        ids.use(name)
        ids.send(name)
    ids.abandon("left")
    ids.release("answered")
    ids.release("left")
    assert [ids.is_taken("answered"), ids.is_taken("left")] == [False, True]
    clock.now += REMEMBERED_US
    assert not ids.is_taken("left")


def test_the_sibling_process_learns_that_an_id_is_free_once_its_answer_was_read() -> None:
    """Guards against an id that the sibling process runs again before this one sees that its client left."""
    _, ids = rig()
    link, _ = coordinated(ids)
    for name in ("read", "left"):
        ids.use(name)
        ids.hold(name)
        ids.send(name)
        ids.release(name)
    assert link.sent == [IdsUsed(("read",)), IdsUsed(("left",))]
    assert not ids.is_taken("read")
    ids.end_hold("read")
    ids.abandon("left")
    ids.end_hold("left")
    assert link.sent[2:] == [IdsReleased(("read",)), IdsUsed(("left",))]


def test_a_request_that_has_not_run_is_free_when_its_hold_ends() -> None:
    _, ids = rig()
    link, _ = coordinated(ids)
    ids.use("refused")
    ids.hold("refused")
    ids.release("refused")
    ids.end_hold("refused")
    assert link.sent == [] and ids.running() == ()


def test_the_sibling_process_learns_at_the_end_which_answers_may_be_unread() -> None:
    """Guards against answers that are written last: only this process could see that their clients leave."""
    _, ids = rig()
    ids.use("idle")
    ids.hold("idle")
    ids.send("idle")
    ids.release("idle")
    link, coordination = coordinated(ids)
    assert link.sent == [IdsUsed(("idle",))]
    coordination.received(IdsUsed(("own of the sibling",)))
    coordination.end_process()
    assert link.sent == [IdsUsed(("idle",)), IdsUsed(("idle",))]
    link.backlogged = True
    coordination.end_process()
    assert len(link.sent) == 2


def test_remembered_ids_are_bounded_and_the_oldest_go_first() -> None:
    _, ids = rig()
    ids.max_remembered = 10
    for number in range(1000):
        ids.abandon(f"left-{number}")
        ids.used_by_sibling((f"other-{number}",))
    assert len(ids) == 20
    assert ids.is_taken("left-999") and ids.is_taken("other-990") and not ids.is_taken("left-989")


def test_the_sibling_process_learns_what_runs_and_what_is_free_again() -> None:
    _, ids = rig()
    ids.use("before")
    ids.send("before")
    ids.abandon("left")
    link, _ = coordinated(ids)
    ids.use("after")
    ids.send("after")
    ids.release("after")
    ids.release("before")
    sent: list[HandoverMessage] = [
        IdsUsed(("left", "before")),
        IdsUsed(("after",)),
        IdsReleased(("after",)),
        IdsReleased(("before",)),
    ]
    assert link.sent == sent
    assert [decode(encode(message)) for message in sent] == sent


def test_a_sibling_process_that_does_not_read_is_told_all_when_it_reads_again() -> None:
    _, ids = rig()
    link, coordination = coordinated(ids)
    link.backlogged = True
    for number in range(2 * IDS_IN_A_MESSAGE):
        ids.use(f"r{number}")
        ids.send(f"r{number}")
    assert link.sent == []
    link.backlogged = False
    ids.use("last")
    ids.send("last")
    told = {name for message in link.sent if isinstance(message, IdsUsed) for name in message.ids}
    assert told == {"last", *(f"r{number}" for number in range(2 * IDS_IN_A_MESSAGE))}
    untyped: Any = link
    coordination.end(untyped)
    ids.release("last")
    assert ids.link is None
