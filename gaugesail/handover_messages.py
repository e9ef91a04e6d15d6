"""What two processes of one gateway say to each other, a JSON object a line.

The keys are those that earlier versions know; they are mapped to typed messages here and nowhere else.
Processes of different versions run beside each other for seconds at every upgrade.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from .state import OperatorCall

VERSION = 1


class MalformedMessage(ValueError):
    """A line from the other process cannot be read; the text says why."""


@dataclass(slots=True, frozen=True)
class TakeoverOffer:
    """The running process hands its listening socket over; the descriptor comes with this message."""

    state: dict[str, Any]  # what the successor is to know
    version: int = VERSION


@dataclass(slots=True, frozen=True)
class SuccessorServing:
    """The successor serves from here on."""


@dataclass(slots=True, frozen=True)
class ClientCount:
    """How many client connections the predecessor still holds."""

    clients: int


@dataclass(slots=True, frozen=True)
class AnswerOffer:
    """A streamed answer goes on in the successor; descriptors of its client and its node come with this."""

    state: dict[str, Any]


@dataclass(slots=True, frozen=True)
class DescriptorsTaken:
    """The other process has so many of the descriptors that were handed over."""

    count: int


@dataclass(slots=True, frozen=True)
class CallMade:
    """An operator has called the other process; the call binds both."""

    call: OperatorCall


HandoverMessage = TakeoverOffer | SuccessorServing | ClientCount | AnswerOffer | DescriptorsTaken | CallMade


def encode(message: HandoverMessage) -> bytes:
    """A message as one line."""
    return json.dumps(_to_json(message)).encode() + b"\n"


def _to_json(message: HandoverMessage) -> dict[str, Any]:
    match message:
        case TakeoverOffer():
            return {"version": message.version, "known": message.state}
        case SuccessorServing():
            return {"serving": True}
        case ClientCount():
            return {"clients": message.clients}
        case AnswerOffer():
            return {"stream": message.state}
        case DescriptorsTaken():
            return {"took": message.count}
        case CallMade():
            node_id = message.call.node_id
            name = node_id.decode(errors="replace") if node_id is not None else None
            return {"node": name, "on": message.call.on}


def decode(line: bytes) -> HandoverMessage | None:
    """The message of one line; None for one of a kind that this version does not know.

    Raises MalformedMessage where the line is no such object, or a value has the wrong form.
    """
    try:
        return _from_json(json.loads(line))
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        raise MalformedMessage(repr(error)) from None


def _from_json(told: Any) -> HandoverMessage | None:
    if "known" in told:
        return TakeoverOffer(told["known"], told["version"])
    if "stream" in told:
        return AnswerOffer(told["stream"])
    if "took" in told:
        return DescriptorsTaken(int(told["took"]))
    if "serving" in told:
        return SuccessorServing()
    if "clients" in told:
        return ClientCount(int(told["clients"]))
    if "node" in told:
        name = told["node"]
        node_id = str(name).encode() if name is not None else None
        return CallMade(OperatorCall(node_id, told["on"] is True))
    return None
