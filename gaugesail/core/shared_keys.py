"""Connects the policy's ordered keys with the sibling process of this gateway."""

from __future__ import annotations

from gaugesail.policy.actions import Action, ClaimKey, GrantKey, ReleaseKey
from gaugesail.policy.events import KeyAuthorityChanged, KeyClaimed, KeyGranted, KeyReleased

from .policy_runner import PolicyRunner
from .ports import KeyLink


class SharedKeys:
    """Passes claims and grants between the policy and ``link``, which is None without a sibling process."""

    def __init__(self, policy: PolicyRunner) -> None:
        self._policy = policy
        self.link: KeyLink | None = None

    @property
    def possibly_running(self) -> tuple[tuple[int, int], ...]:
        """The ordered keys that attempts may be running on, each with the end of its pause."""
        return self._policy.gateway.ordered_keys.possibly_running(self._policy.now_us)

    def receive_claim(self, event: KeyClaimed | KeyReleased) -> None:
        """Pass on a claim, or the end of one, of the sibling process."""
        self._policy.add_when_read(event)

    def receive_grant(self, event: KeyGranted) -> None:
        """Pass on that the sibling process has granted a claim."""
        self._policy.run_with(event)

    def change_authority(self, event: KeyAuthorityChanged) -> None:
        """Change which process decides the order of keys."""
        self._policy.run_with(event)

    def carry_out(self, action: Action) -> None:
        """Carry out an action that concerns a key in the sibling process; others are ignored."""
        if self.link is None:
            return
        match action:
            case ClaimKey():
                self.link.claim_key(action)
            case ReleaseKey():
                self.link.release_key(action)
            case GrantKey():
                self.link.grant_key(action)
