"""What one connection to a node carries at a time: an attempt, a staged upload or a health check."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gaugesail.policy.settings import NodeId

from ..core.ports import Attempt, AttemptListener

if TYPE_CHECKING:
    from .staged_upload import StagedUpload


@dataclass(slots=True, eq=False)
class NodeRequest:
    """An attempt, or a staged upload before its attempt; a health check if both are None."""

    listener: AttemptListener | None  # None for a staged upload
    node_id: NodeId
    created_us: int
    deadline_us: int
    attempt: Attempt | None = None
    upload: StagedUpload | None = None
    ended: bool = False

    @property
    def obsolete(self) -> bool:
        """Whether the request has ended and must not be written."""
        return self.ended or (self.attempt is not None and self.attempt.ended)

    def may_start(self) -> bool:
        """Whether its first byte may be written; always true for a health check and a staged upload."""
        return self.attempt is None or self.listener is None or self.listener.may_start(self.attempt)
