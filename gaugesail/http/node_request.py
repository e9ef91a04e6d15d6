"""What travels to a node on a connection of its own: an attempt, a staged upload, or a health check."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gaugesail.policy.settings import NodeId

from ..core.ports import Attempt, AttemptListener

if TYPE_CHECKING:
    from .staged_upload import StagedUpload


@dataclass(slots=True, eq=False)
class NodeRequest:
    """An attempt, or a staged upload before its attempt; a health check where it is neither."""

    listener: AttemptListener | None  # None for a staged upload
    node_id: NodeId
    created_us: int
    deadline_us: int
    attempt: Attempt | None = None
    upload: StagedUpload | None = None
    ended: bool = False

    @property
    def obsolete(self) -> bool:
        """Whether nothing of it may be written any more."""
        return self.ended or (self.attempt is not None and self.attempt.ended)

    def may_start(self) -> bool:
        """Whether the first byte may leave; that of a health check or a staged upload always may."""
        return self.attempt is None or self.listener is None or self.listener.may_start(self.attempt)
