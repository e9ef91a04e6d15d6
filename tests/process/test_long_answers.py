"""Long answers that their node writes with rests are passed on, however they are framed and divided."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any

import pytest

from gaugesail.rehearsal.kill_time import earliest_kill_s

from ..support.faulty_process import HangingNode, at_once, folder_of, wait_until
from ..support.lumpy_answers import Form, Framing, Lump, Received, exchange, script
from ..support.pressed_gateway import LATEST_ANSWER_S, PressedGateway, ScriptedNode, get_request

TIMEOUT_S = 0.8
OVER_S = 1.1  # a rest that outlasts the client's time
NODE_COUNTS = (8, 3_000)

LONG_FORMS = {
    "as reported": Form((Lump(0.0, 53_000), Lump(OVER_S, 53_000), Lump(0.3, 35_706))),
    "few bytes first": Form((Lump(0.0, 10), Lump(OVER_S, 150_000))),
    "head alone": Form((Lump(OVER_S, 150_000),)),
    "just under 64 KiB first": Form((Lump(0.0, 65_535), Lump(OVER_S, 60_000))),
    "late head": Form((Lump(0.0, 20_000), Lump(OVER_S, 100_000)), head_after_s=TIMEOUT_S - 0.15),
    "in time": Form((Lump(0.0, 50_000), Lump(0.2, 50_000), Lump(0.2, 50_000))),
    "at once": Form((Lump(0.0, 150_000),)),
    "late end": Form((Lump(0.0, 9_000),), end_after_s=OVER_S),
}


class SharedAddress(HangingNode):
    """A further entry of the endpoint list, at the address of a node that listens."""

    def __init__(self, node: HangingNode, shard: int) -> None:
        self._node, self.shard = node, shard

    def endpoint(self) -> dict[str, Any]:
        return self._node.endpoint() | {"id": f"b{self.shard}", "cell": self.shard}

    def close(self) -> None:
        """The node that listens is closed by itself."""


def listed(nodes: list[HangingNode], count: int) -> list[HangingNode]:
    """Return the nodes, and further entries up to ``count``."""
    more = range(len(nodes), count)
    return nodes + [SharedAddress(nodes[shard % len(nodes)], shard) for shard in more]


@pytest.mark.parametrize("framing", list(Framing), ids=lambda framing: framing.value)
def test_a_long_answer_in_lumps_is_passed_on_in_time_and_whole(tmp_path: Path, framing: Framing) -> None:
    """Guards against deciding only when bytes arrive whether an answer is long, which a rest outlasts."""
    problems: dict[tuple[int, str], Received] = {}
    for node_count in NODE_COUNTS:
        nodes: list[HangingNode] = [
            ScriptedNode(shard, script(form, framing)) for shard, form in enumerate(LONG_FORMS.values())
        ]
        gateway = PressedGateway(folder_of(tmp_path, node_count), 192, listed(nodes, node_count))

        def ask(shard: int, port: int = gateway.port) -> Received:
            return exchange(port, get_request(f"long-{shard}", shard, TIMEOUT_S, block=shard + 1))

        try:
            answers = at_once(range(len(nodes)), ask)
        finally:
            gateway.close()
        for (name, form), answer in zip(LONG_FORMS.items(), answers.values(), strict=True):
            is_passed_on = answer.status == 200 and answer.is_whole and answer.body_bytes == form.size
            if not is_passed_on or answer.first_s > TIMEOUT_S + LATEST_ANSWER_S:
                problems[node_count, name] = answer
    assert not problems


REPLACED_TIMEOUT_S = 1.5
REPLACED = Form((Lump(0.0, 53_000), Lump(2.5, 53_000), Lump(2.5, 35_706)))


@pytest.mark.parametrize("replacements", [1, 2])
def test_a_long_answer_that_rests_goes_on_across_replacements(tmp_path: Path, replacements: int) -> None:
    """Guards against an answer that is refused, cut off or not moved as its process is replaced in a rest."""
    nodes: list[HangingNode] = [
        ScriptedNode(shard, script(REPLACED, framing)) for shard, framing in enumerate(Framing)
    ]
    gateway = PressedGateway(tmp_path, 192, nodes)
    processes = gateway.gateway

    def replace() -> None:
        for _ in range(replacements):
            old = processes.started[-1]
            processes.start_and_await()
            time.sleep(0.1)
            old.send_signal(signal.SIGTERM)

    def ask(shard: int) -> Received | None:
        if shard == len(nodes):
            time.sleep(0.3)
            replace()
            return None
        message = get_request(f"moved-{shard}", shard, REPLACED_TIMEOUT_S, block=shard + 1)
        return exchange(gateway.port, message)

    try:
        answers = at_once(range(len(nodes) + 1), ask)
        time.sleep(0.1)
        ended = [process.poll() for process in processes.started]
    finally:
        gateway.close()
    problems = {
        framing.value: answer
        for framing, answer in zip(Framing, answers.values(), strict=False)
        if answer is None
        or (answer.status, answer.body_bytes, answer.is_whole) != (200, REPLACED.size, True)
        or answer.first_s > REPLACED_TIMEOUT_S + LATEST_ANSWER_S
    }
    assert not problems
    assert ended == [0] * replacements + [None]


EARLIEST_KILL_S = earliest_kill_s(5.0)  # by the longest deadline of the settings
SIGTERM_AFTER_S = 0.3
ENDS_AFTER_KILL = Form((Lump(0.0, 53_000), Lump(SIGTERM_AFTER_S + EARLIEST_KILL_S + 0.4, 53_000)))


@pytest.mark.parametrize("is_killed", [False, True])
def test_a_process_that_is_to_end_breaks_off_no_long_answer(tmp_path: Path, is_killed: bool) -> None:
    """Guards against an answer that is reset before the kill, in a restart without a successor."""
    nodes: list[HangingNode] = [
        ScriptedNode(shard, script(ENDS_AFTER_KILL, framing)) for shard, framing in enumerate(Framing)
    ]
    gateway = PressedGateway(tmp_path, 192, nodes)
    running_at_kill: list[bool] = []

    def end() -> None:
        time.sleep(SIGTERM_AFTER_S)
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(EARLIEST_KILL_S)
        running_at_kill.append(gateway.process.poll() is None)
        if is_killed:
            gateway.process.kill()

    def ask(shard: int) -> Received | None:
        if shard == len(nodes):
            end()
            return None
        return exchange(gateway.port, get_request(f"last-{shard}", shard, TIMEOUT_S, block=shard + 1))

    try:
        answers = at_once(range(len(nodes) + 1), ask)
        wait_until(lambda: gateway.process.poll() is not None, 0.5)
        code = gateway.process.poll()
    finally:
        gateway.close()
    assert running_at_kill == [True], "the process has broken its answers off"
    wholes = [answer.is_whole for answer in answers.values() if answer is not None]
    assert wholes == [not is_killed] * len(Framing)
    assert code == (-signal.SIGKILL if is_killed else 0)


@pytest.mark.parametrize("keeps_order", [False, True])
def test_a_client_that_reads_slowly_gets_a_long_answer_that_rests(tmp_path: Path, keeps_order: bool) -> None:
    nodes: list[HangingNode] = [
        ScriptedNode(shard, script(REPLACED, framing)) for shard, framing in enumerate(Framing)
    ]
    changes = {"categories__0__keep_order": "true"} if keeps_order else {}
    gateway = PressedGateway(tmp_path, 192, nodes, changes=changes)

    def ask(shard: int) -> Received:
        message = get_request(f"slow-{shard}", shard, TIMEOUT_S, block=shard + 1)
        return exchange(gateway.port, message, pause_s=0.05, receive_buffer=4096)

    try:
        answers = at_once(range(len(nodes)), ask)
    finally:
        gateway.close()
    wholes = [(answer.status, answer.body_bytes, answer.is_whole) for answer in answers.values()]
    assert wholes == [(200, REPLACED.size, True)] * len(Framing)
    assert all(answer.first_s <= TIMEOUT_S + LATEST_ANSWER_S for answer in answers.values())
