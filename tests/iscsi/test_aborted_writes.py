"""A write that its client has given up is over at its node before the client is told, or may write anew."""

from __future__ import annotations

from gaugesail.rehearsal.iscsi_peers import IscsiClient

from .test_target_and_initiator import Rig, link, push, rigged

UNKNOWN_END = "255"  # the response "function rejected"
COMPLETE, NO_SUCH_TASK = "0", "1"
ABORT_TIMEOUT_S = 1.0  # after which a node that does not respond to an abort loses its session


def client_with_write(rig: Rig) -> IscsiClient:
    """A client whose write has reached the node whole."""
    client = rig.client()
    client.send(["write", "tag=9", "lba=99", "immediate=512"])
    assert rig.until(lambda: "lba=99" in rig.received())
    return client


def client_with_read_beside_an_abort(rig: Rig) -> IscsiClient:
    """A client with a read in flight at a node that owes the response to the abort of a write."""
    client = client_with_write(rig)
    client.send(["read", "tag=10", "lba=5"])
    assert rig.until(lambda: "lba=5" in rig.received())
    rig.node.send(["mute"])
    send(client, "abort", "9")
    return client


def send(client: IscsiClient, *words: str) -> None:
    client.send(list(words))
    push(client._connection)


def words_of(client: IscsiClient, kind: str) -> list[list[str]]:
    return [list(words) for words in client.inbox if words[0] == kind]


def aborts_at_node(rig: Rig) -> int:
    return sum(words[0] == "abort" for words in rig.node.inbox)


def test_a_written_write_is_aborted_at_its_node_before_the_client_is_told() -> None:
    """Guards against an aborted write that runs later and overwrites one that was acknowledged since."""
    with rigged() as rig:
        client = client_with_write(rig)
        send(client, "abort", "9")
        assert rig.until(lambda: bool(words_of(client, "aborted")))
        assert aborts_at_node(rig) == 1
        assert words_of(client, "aborted") == [["aborted", COMPLETE]]
        assert rig.head.engine.attempts_in_flight == 0
        send(client, "abort", "9")
        assert rig.until(lambda: len(words_of(client, "aborted")) == 2)
        assert words_of(client, "aborted")[1] == ["aborted", NO_SUCH_TASK]


def test_an_abort_whose_end_is_not_known_is_not_confirmed() -> None:
    with rigged() as rig:
        client = client_with_write(rig)
        rig.node.send(["mute"])
        send(client, "abort", "9")
        rig.pass_time(0.1)
        send(client, "abort", "9")
        rig.pass_time(ABORT_TIMEOUT_S / 2)
        assert not words_of(client, "aborted"), "the node has not responded"
        rig.pass_time(ABORT_TIMEOUT_S)
        assert words_of(client, "aborted") == [["aborted", UNKNOWN_END]] * 2


def test_a_new_login_waits_for_the_writes_of_a_lost_connection() -> None:
    """Guards against a write of an earlier session that runs after one of the next."""
    with rigged() as rig:
        client = client_with_write(rig)
        rig.node.send(["mute"])
        link(client).abortConnection()
        rig.pass_time(0.1)
        assert aborts_at_node(rig) == 1
        again = IscsiClient(rig.reactor, "again", lambda: rig.head.address)
        again.send(["login"])
        other = IscsiClient(rig.reactor, "other", lambda: rig.head.address)
        other.send(["login", "InitiatorName=iqn.2026-12.ee.example:other"])
        rig.pass_time(ABORT_TIMEOUT_S / 2)
        assert words_of(other, "login") and not words_of(again, "login")
        assert rig.until(lambda: bool(words_of(again, "login")), ABORT_TIMEOUT_S)


def test_a_logout_is_answered_after_the_writes_have_ended() -> None:
    with rigged() as rig:
        client = client_with_write(rig)
        send(client, "logout")
        assert rig.until(lambda: not rig.head.front._open)
        assert aborts_at_node(rig) == 1
    with rigged() as rig:
        client = client_with_write(rig)
        rig.node.send(["mute"])
        send(client, "logout")
        rig.pass_time(ABORT_TIMEOUT_S / 2)
        assert len(rig.head.front._open) == 1
        assert rig.until(lambda: not rig.head.front._open, 2 * ABORT_TIMEOUT_S)


def test_an_aborted_read_is_confirmed_at_once() -> None:
    with rigged() as rig:
        client = rig.client()
        client.send(["read", "tag=9", "lba=99"])
        assert rig.until(lambda: "lba=99" in rig.received())
        rig.node.send(["mute"])
        send(client, "abort", "9")
        assert rig.until(lambda: bool(words_of(client, "aborted")))
        assert words_of(client, "aborted") == [["aborted", COMPLETE]]
        assert aborts_at_node(rig) == 0


def test_a_read_that_its_node_still_works_on_is_served_beside_an_abort_without_a_response() -> None:
    """Guards against a session that is dropped with the commands in flight, 1 s after an abort."""
    with rigged() as rig:
        client = client_with_read_beside_an_abort(rig)
        rig.pass_time(1.3 * ABORT_TIMEOUT_S)
        rig.answer_held()
        assert rig.until(lambda: bool(words_of(client, "good")))
        assert not words_of(client, "aborted"), "the node may still respond"


def test_no_command_is_sent_to_a_silent_node_that_owes_a_response() -> None:
    with rigged() as rig:
        client = client_with_read_beside_an_abort(rig)
        rig.pass_time(1.2 * ABORT_TIMEOUT_S)
        client.send(["read", "tag=11", "lba=6"])
        rig.pass_time(0.1)
        assert "lba=6" not in rig.received()
        rig.answer_held()
        assert rig.until(lambda: "lba=6" in rig.received()), "the node has written: it is there"


def test_an_abort_that_a_node_at_work_never_answers_ends_as_unknown_without_its_session() -> None:
    with rigged() as rig:
        client = client_with_write(rig)
        rig.node.send(["mute"])
        send(client, "abort", "9")
        for number in range(24):
            client.send(["read", f"tag={20 + number}", f"lba={number}"])
            rig.pass_time(0.25)
            rig.answer_held()
            rig.pass_time(0.2)
        assert rig.until(lambda: bool(words_of(client, "aborted")))
        assert words_of(client, "aborted") == [["aborted", UNKNOWN_END]]
        assert len(words_of(client, "good")) == 24
        assert rig.head.transport.connections == 1
