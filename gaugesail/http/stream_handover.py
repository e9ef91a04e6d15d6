"""The state of a streamed answer that one process of a gateway hands over to the next.

The JSON keys are read by other versions and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class NodeStreamState:
    """State of the node connection."""

    node_id: str
    client_request_id: str
    length: int | None
    keep_alive: bool
    until_close: bool
    parser: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """Return the state under the keys that every version reads."""
        return {
            "node": self.node_id,
            "name": self.client_request_id,
            "length": self.length,
            "keep": self.keep_alive,
            "ends": self.until_close,
            "parser": self.parser,
        }

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> NodeStreamState:
        """Read the state that another process of this gateway handed over."""
        return cls(
            str(fields["node"]),
            str(fields["name"]),
            fields["length"],
            fields["keep"] is True,
            fields["ends"] is True,
            fields["parser"],
        )


@dataclass(slots=True, frozen=True)
class ClientStreamState:
    """State of the client connection."""

    chunked: bool
    keep_alive: bool
    requests_received: int  # on the connection
    http_1_0: bool
    parser: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """Return the state under the keys that every version reads."""
        return {
            "chunked": self.chunked,
            "keep": self.keep_alive,
            "asked": self.requests_received,
            "old": self.http_1_0,
            "parser": self.parser,
        }

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> ClientStreamState:
        """Read the state that another process of this gateway handed over."""
        return cls(
            fields["chunked"] is True,
            fields["keep"] is True,
            int(fields["asked"]),
            fields["old"] is True,
            fields["parser"],
        )
