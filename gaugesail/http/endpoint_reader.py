"""Reads discovery's JSON endpoint lists into the records of the policy and of the node pool."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any

from gaugesail.policy.events import Endpoint, EndpointState
from gaugesail.policy.settings import NodeId

from .node_state import NodeAddress

MAX_PORT = 65535
STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.GONE}
_ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})\Z")


class BadList(ValueError):
    """Malformed input of discovery, or a malformed address."""


@dataclass(slots=True)
class ListedEndpoints:
    """A full endpoint list, or changes to one (``complete`` in discovery's JSON)."""

    revision: int
    full: bool  # every node is listed; otherwise the list has changes only
    endpoints: list[Endpoint] = field(default_factory=list)
    addresses: dict[NodeId, NodeAddress | None] = field(default_factory=dict)  # None: removed


def split_address(text: object) -> tuple[str, int]:
    """Split ``host:port``; the host must be an IPv4 address, as there is no DNS.  Raises BadList."""
    match = _ADDRESS.match(text) if isinstance(text, str) else None
    if match is None or int(match[2]) > MAX_PORT or any(int(byte) > 255 for byte in match[1].split(".")):
        raise BadList(f"expected an IPv4 address and port, received {text!r}")
    return match[1], int(match[2])


def read_list(data: Any, zones: list[str], kinds: list[str]) -> ListedEndpoints:
    """Read one of discovery's lists.  Zones and kinds become their index, 0 for an unknown name.

    Raises BadList if a key is missing or its value cannot be converted; the text does not name the member.
    """
    try:
        listed = ListedEndpoints(int(data["revision"]), bool(data["complete"]))
        for member in data["members"]:
            _read_member(member, zones, kinds, listed)
    except (KeyError, TypeError, ValueError) as error:
        raise BadList(
            "expected revision, complete and members, each with id, phase, cell and host_port;"
            f" received a list with {type(error).__name__}: {error}"
        ) from None
    return listed


def _read_member(member: Any, zones: list[str], kinds: list[str], listed: ListedEndpoints) -> None:
    node_id = str(member["id"]).encode()
    state = STATES[member["phase"]]
    # Unix milliseconds to the Unix microseconds of the gateway's clock; 0 (unknown) stays 0.
    started_us = int(member.get("up_since_ms", 0)) * 1000
    removed = state is EndpointState.GONE  # it may have no address
    host, port = ("", 0) if removed else split_address(member["host_port"])
    zone, kind, shard = member.get("locality", ""), member.get("flavor", ""), int(member["cell"])
    listed.endpoints.append(
        Endpoint(
            node_id,
            shard,
            state,
            zones.index(zone) if zone in zones else 0,
            kinds.index(kind) if kind in kinds else 0,
            float(member.get("size", 1.0)),
            started_us,
        )
    )
    ready = state is EndpointState.READY
    listed.addresses[node_id] = None if removed else NodeAddress(host, port, shard, ready, started_us)
