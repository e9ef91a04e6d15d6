"""The operators' calls to a gateway's fleet, at its management address.

The names of the calls and the keys of their answers are an interface for operators' scripts.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from gaugesail.coordination.messages import ForgetGateway
from gaugesail.coordination.node import FleetNode, StepOutput

from ..core.ports import Clock

Step = Callable[[FleetNode, int], StepOutput]
Answer = tuple[int, str]  # HTTP status and body


class OperatorCalls:
    """Answers GET members, budgets, link, petitions/N; POST trust-store, forget/NAME.

    :param clock: the time for the views.
    :param run_step: runs one step of the fleet node and executes its output.
    :param link_counts: returns the counters of the link and the wire.
    """

    def __init__(
        self, clock: Clock, run_step: Callable[[Step], None], link_counts: Callable[[], dict[str, Any]]
    ) -> None:
        self._clock = clock
        self._run_step = run_step
        self._link_counts = link_counts

    def answer(self, node: FleetNode | None, method: str, path: list[str]) -> Answer:
        """Execute one call.

        :param node: the fleet node; None before the gateway has joined the fleet.
        :param path: the parts of the path below ``/fleet``.
        """
        if node is None:
            return 503, "not in the fleet yet"
        match method, path:
            case "GET", ["members"]:
                return 200, json.dumps(node.view_members(self._clock.now_us()))
            case "GET", ["budgets"]:
                return 200, json.dumps(node.view_quota(self._clock.now_us()))
            case "GET", ["link"]:
                return 200, json.dumps(self._link_counts())
            case "GET", ["petitions", number] if number.isdigit():
                return 200, json.dumps(_command_result(node, int(number)))
            case "POST", ["trust-store"]:
                self._run_step(lambda node, now: node.trust_store(now))
                return 200, "this store is taken for the latest"
            case "POST", ["forget", name]:
                return 202, json.dumps({"petition": self._forget(name)})
        return _error_answer(path)

    def _forget(self, gateway: str) -> int:
        """Submit the command that removes a gateway for good; return its number for ``petitions/N``."""
        numbers: list[int] = []

        def submit(node: FleetNode, now: int) -> StepOutput:
            number, output = node.submit_command(now, ForgetGateway(gateway))
            numbers.append(number)
            return output

        self._run_step(submit)
        return numbers[0]


def _command_result(node: FleetNode, number: int) -> dict[str, Any]:
    result = node.pop_command_result(number)
    if result is None:
        return {"known": False}
    return {"known": True, "done": result.done, "why": result.reason}


def _error_answer(path: list[str]) -> Answer:
    match path:
        case ["members" | "budgets" | "link"] | ["petitions", _]:
            return 405, "use GET"
        case ["trust-store"] | ["forget", _]:
            return 405, "use POST"
    return 404, "no such call"
