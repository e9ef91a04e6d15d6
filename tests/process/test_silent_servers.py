"""A server that is silent for a while in a long answer and writes on is not cut off, by real processes."""

from __future__ import annotations

from pathlib import Path

from ..support.faulty_process import HangingNode, at_once, folder_of
from ..support.lumpy_answers import Form, Framing, Lump, Received, exchange, script
from ..support.pressed_gateway import PressedGateway, ScriptedNode, get_request
from .test_long_answers import NODE_COUNTS, listed

TIMEOUT_S = 0.8
RESTS_S = (6.0, 10.0)


def test_a_server_that_is_silent_in_a_long_answer_and_writes_on_is_not_cut_off(tmp_path: Path) -> None:
    """Guards against a limit of our own on the rests of an answer that a server is still writing."""
    problems: dict[tuple[int, Framing, float], Received] = {}
    for node_count in NODE_COUNTS:
        rows = [(framing, rest_s) for framing in Framing for rest_s in RESTS_S]
        forms = [Form((Lump(0.0, 53_000), Lump(rest_s, 97_000))) for _, rest_s in rows]
        nodes: list[HangingNode] = [
            ScriptedNode(shard, script(form, framing))
            for shard, (form, (framing, _)) in enumerate(zip(forms, rows, strict=True))
        ]
        gateway = PressedGateway(folder_of(tmp_path, node_count), 192, listed(nodes, node_count))

        def ask(shard: int, port: int = gateway.port) -> Received:
            message = get_request(f"silent-{shard}", shard, TIMEOUT_S, block=shard + 1)
            return exchange(port, message, patience_s=RESTS_S[-1] + 3)

        try:
            answers = at_once(range(len(nodes)), ask)
        finally:
            gateway.close()
        for row, form, answer in zip(rows, forms, answers.values(), strict=True):
            if (answer.status, answer.body_bytes, answer.is_whole) != (200, form.size, True):
                problems[node_count, *row] = answer
    assert not problems
