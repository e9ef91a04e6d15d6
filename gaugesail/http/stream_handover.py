"""A streamed answer on its way from one process of a gateway to the next."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class StreamState:
    """A streamed answer as one process hands it over to the next."""

    node_id: str
    client_request_id: str
    length: int | None
    keep_alive: bool
    until_close: bool
    parser: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """By the keys that every version reads."""
        return {
            "node": self.node_id,
            "name": self.client_request_id,
            "length": self.length,
            "keep": self.keep_alive,
            "ends": self.until_close,
            "parser": self.parser,
        }

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> StreamState:
        """What another process of this gateway handed over."""
        return cls(
            str(fields["node"]),
            str(fields["name"]),
            fields["length"],
            fields["keep"] is True,
            fields["ends"] is True,
            fields["parser"],
        )
