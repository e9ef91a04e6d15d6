"""How many passes over the sockets an answer takes: at a starved process each may take half a second."""

from __future__ import annotations

from tests.support.live_head import gateway_rig

OK = b"\r\n\r\nok"


def test_an_answer_leaves_in_the_pass_that_reads_it_from_its_node() -> None:
    """Guards against an answer in time that is written one pass later, after its client's time."""
    with gateway_rig() as rig:
        node, client = rig.nodes[0], rig.client()
        client.send(rig.request("first"))
        node.wait_for("first")
        node.answer("first")
        rig.turn()
        assert client.read().endswith(OK)
