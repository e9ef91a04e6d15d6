"""The state of a streamed answer that one process of a gateway hands over to the next.

The JSON keys are read by other versions and must not change.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import Any

from .arrival_times import ArrivalMark


@dataclass(slots=True, frozen=True)
class NodeStreamState:
    """State of the node connection."""

    node_id: str
    client_request_id: str
    length: int | None
    keep_alive: bool
    until_close: bool
    parser: dict[str, Any]
    ordered_key: int = 0  # that the answer holds up to its last byte; 0: none

    def to_json(self) -> dict[str, Any]:
        """Return the state under the keys that every version reads, and newer ones where they are needed."""
        fields = {
            "node": self.node_id,
            "name": self.client_request_id,
            "length": self.length,
            "keep": self.keep_alive,
            "ends": self.until_close,
            "parser": self.parser,
        }
        return fields | {"ordered_key": self.ordered_key} if self.ordered_key else fields

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> NodeStreamState:
        """Read the state that another process of this gateway handed over, of any version."""
        return cls(
            str(fields["node"]),
            str(fields["name"]),
            fields["length"],
            fields["keep"] is True,
            fields["ends"] is True,
            fields["parser"],
            int(fields.get("ordered_key", 0)),
        )


@dataclass(slots=True, frozen=True)
class ClientStreamState:
    """State of the client connection."""

    chunked: bool
    keep_alive: bool
    requests_received: int  # on the connection
    http_1_0: bool
    parser: dict[str, Any]
    input_truncated: bool = False  # input behind the parser's was discarded: the connection ends there
    arrivals: tuple[ArrivalMark, ...] = ()  # of the parser's input
    unsent: bytes = b""  # of the answer: written, but not yet taken by the kernel

    def to_json(self) -> dict[str, Any]:
        """Return the state under the keys that every version reads, and newer ones where they are needed.

        Only a process that has sent ``TakesUnsentOutput`` is sent ``unsent``.  A version that does not know
        ``truncated`` would take input behind the gap for the rest of the request before it.  So it is told to
        close the connection after the streamed answer.
        """
        fields = {
            "chunked": self.chunked,
            "keep": self.keep_alive and not self.input_truncated,
            "asked": self.requests_received,
            "old": self.http_1_0,
            "parser": self.parser,
        }
        if self.input_truncated:
            fields["truncated"] = {"keep": self.keep_alive}
        if self.unsent:
            fields["unsent"] = base64.b64encode(self.unsent).decode()
        if self.arrivals:
            fields["arrivals"] = [[mark.end, mark.arrived_us] for mark in self.arrivals]
        return fields

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> ClientStreamState:
        """Read the state that another process of this gateway handed over, of any version."""
        truncated = fields.get("truncated")
        keep_alive = fields["keep"] if truncated is None else truncated["keep"]
        return cls(
            fields["chunked"] is True,
            keep_alive is True,
            int(fields["asked"]),
            fields["old"] is True,
            fields["parser"],
            truncated is not None,
            tuple(ArrivalMark(int(end), int(arrived_us)) for end, arrived_us in fields.get("arrivals", ())),
            base64.b64decode(fields.get("unsent", ""), validate=True),
        )
