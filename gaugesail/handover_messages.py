"""The messages between two processes of one gateway, one JSON object per line.

At every upgrade, processes of different versions run in parallel for seconds, so the keys stay those of
earlier versions; only this module maps them to typed messages.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from .state import OperatorCall

VERSION = 1


class MalformedMessage(ValueError):
    """A line from the other process is not a valid message; the text names the fault."""


@dataclass(slots=True, frozen=True)
class TakeoverOffer:
    """The running process hands over its listening socket, whose descriptor accompanies this message."""

    state: dict[str, Any]  # for the successor; see Service.offer_takeover
    version: int = VERSION


@dataclass(slots=True, frozen=True)
class SuccessorServing:
    """The successor serves from now on."""


@dataclass(slots=True, frozen=True)
class ClientCount:
    """How many client connections the predecessor still holds."""

    clients: int


@dataclass(slots=True, frozen=True)
class AnswerOffer:
    """The successor is to continue a streamed answer, whose two descriptors accompany this message.

    They are those of its client's and its node's connection.
    """

    state: dict[str, Any]


@dataclass(slots=True, frozen=True)
class DescriptorsTaken:
    """The other process has received the next ``count`` of the descriptors sent to it."""

    count: int


@dataclass(slots=True, frozen=True)
class CallMade:
    """The other process received an operator's call, which applies to both."""

    call: OperatorCall


HandoverMessage = TakeoverOffer | SuccessorServing | ClientCount | AnswerOffer | DescriptorsTaken | CallMade


def encode(message: HandoverMessage) -> bytes:
    """Encode a message as one line."""
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
    """Decode one line; returns None for a kind of message that this version does not know.

    Raises MalformedMessage if the line is not valid JSON, or a key is missing or its value cannot be
    converted.
    """
    try:
        return _from_json(json.loads(line))
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        raise MalformedMessage(repr(error)) from None


def _from_json(data: Any) -> HandoverMessage | None:
    if "known" in data:
        return TakeoverOffer(data["known"], data["version"])
    if "stream" in data:
        return AnswerOffer(data["stream"])
    if "took" in data:
        return DescriptorsTaken(int(data["took"]))
    if "serving" in data:
        return SuccessorServing()
    if "clients" in data:
        return ClientCount(int(data["clients"]))
    if "node" in data:
        name = data["node"]
        node_id = str(name).encode() if name is not None else None
        return CallMade(OperatorCall(node_id, data["on"] is True))
    return None
