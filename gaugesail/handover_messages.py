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
class Hello:
    """The sender coordinates ordered keys.

    The successor sends it first, and the running process answers it.  Versions that do not send it neither
    send nor understand ``NoTakeover`` and the messages on keys.
    """


@dataclass(slots=True, frozen=True)
class TakesUnsentOutput:
    """The successor takes streamed answers with output that was not sent; other versions take none."""


@dataclass(slots=True, frozen=True)
class NoTakeover:
    """The running process is shutting down: it hands nothing over, but both processes coordinate."""


@dataclass(slots=True, frozen=True)
class KeyClaim:
    """The successor has received a request of an ordered key; times are of the machine's clock."""

    claim_id: int
    key: int
    received_us: int
    is_held: bool


@dataclass(slots=True, frozen=True)
class KeyRelease:
    """A claimed request is finished; until ``paused_until_us`` an attempt may be running, 0: none is."""

    claim_id: int
    paused_until_us: int


@dataclass(slots=True, frozen=True)
class KeyGrant:
    """The running process grants a claim."""

    claim_id: int


@dataclass(slots=True, frozen=True)
class KeysPaused:
    """The running process starts no more attempts; its last ones may be running on these keys until then."""

    paused_until_us: tuple[tuple[int, int], ...]  # by key


@dataclass(slots=True, frozen=True)
class TakeoverOffer:
    """The running process hands over its listening socket, whose descriptor accompanies this message."""

    state: dict[str, Any]  # for the successor; see Service.offer_takeover
    version: int = VERSION


@dataclass(slots=True, frozen=True)
class SuccessorServing:
    """The successor serves from now on."""


@dataclass(slots=True, frozen=True)
class SuccessorStopping:
    """The successor is shutting down and accepts no more clients; versions that do not know it ignore it."""


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


@dataclass(slots=True, frozen=True)
class IdsUsed:
    """The sender may be running these request ids; versions that do not know the message ignore it."""

    ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class IdsReleased:
    """The requests with these ids have ended, and their clients had the answers."""

    ids: tuple[str, ...]


IdMessage = IdsUsed | IdsReleased
KeyMessage = KeyClaim | KeyRelease | KeyGrant | KeysPaused
HandoverMessage = (
    TakeoverOffer
    | SuccessorServing
    | SuccessorStopping
    | ClientCount
    | AnswerOffer
    | DescriptorsTaken
    | CallMade
    | Hello
    | TakesUnsentOutput
    | NoTakeover
    | KeyMessage
    | IdMessage
)


KEYS_OF_PLAIN_MESSAGES: dict[HandoverMessage, str] = {  # those without fields
    SuccessorServing(): "serving",
    SuccessorStopping(): "successor_stopping",
    Hello(): "hello",
    TakesUnsentOutput(): "takes_unsent_output",
    NoTakeover(): "stopping",
}


def encode(message: HandoverMessage) -> bytes:
    """Encode a message as one line."""
    return json.dumps(_to_json(message)).encode() + b"\n"


def _to_json(message: HandoverMessage) -> dict[str, Any]:
    match message:
        case TakeoverOffer():
            return {"version": message.version, "known": message.state}
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
        case IdsUsed() | IdsReleased() | KeyClaim() | KeyRelease() | KeyGrant() | KeysPaused():
            return _request_message_to_json(message)
        case _:
            return {KEYS_OF_PLAIN_MESSAGES[message]: True}


def _request_message_to_json(message: KeyMessage | IdMessage) -> dict[str, Any]:
    match message:
        case IdsUsed():
            return {"ids_used": list(message.ids)}
        case IdsReleased():
            return {"ids_released": list(message.ids)}
        case KeyClaim():
            claim = {"claim": message.claim_id, "key": message.key, "received": message.received_us}
            return claim | {"held": message.is_held}
        case KeyRelease():
            return {"release": message.claim_id, "until": message.paused_until_us}
        case KeyGrant():
            return {"grant": message.claim_id}
        case KeysPaused():
            return {"paused": [list(row) for row in message.paused_until_us]}


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
    if "clients" in data:
        return ClientCount(int(data["clients"]))
    if "node" in data:
        name = data["node"]
        node_id = str(name).encode() if name is not None else None
        return CallMade(OperatorCall(node_id, data["on"] is True))
    for message, key in KEYS_OF_PLAIN_MESSAGES.items():
        if key in data:
            return message
    return _id_message_from_json(data) or _key_message_from_json(data)


def _id_message_from_json(data: Any) -> IdMessage | None:
    if "ids_used" in data:
        return IdsUsed(_id_list(data["ids_used"]))
    if "ids_released" in data:
        return IdsReleased(_id_list(data["ids_released"]))
    return None


def _id_list(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise TypeError(f"expected a list of request ids, got {value!r:.100}")
    return tuple(value)


def _key_message_from_json(data: Any) -> KeyMessage | None:
    if "claim" in data:
        return KeyClaim(int(data["claim"]), int(data["key"]), int(data["received"]), data["held"] is True)
    if "release" in data:
        return KeyRelease(int(data["release"]), int(data["until"]))
    if "grant" in data:
        return KeyGrant(int(data["grant"]))
    if "paused" in data:
        return KeysPaused(tuple((int(key), int(until)) for key, until in data["paused"]))
    return None
