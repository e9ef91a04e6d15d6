"""Exchanges the claims and grants of ordered keys between the two processes of a gateway.

The running process decides the order for both, until it has ended; its successor asks it for each ordered
request.  The decisions are in ``policy/ordered_keys.py``.
"""

from __future__ import annotations

from gaugesail.policy.actions import ClaimKey, GrantKey, ReleaseKey
from gaugesail.policy.events import KeyAuthority, KeyAuthorityChanged, KeyClaimed, KeyGranted, KeyReleased

from .core.ports import Clock, Logger
from .core.shared_keys import SharedKeys
from .handover_connection import HandoverConnection
from .handover_messages import KeyClaim, KeyGrant, KeyMessage, KeyRelease, KeysPaused, MalformedMessage
from .shutdown_schedule import END_MARGIN_US


class KeyCoordination:
    """One process's part in the order of keys; implements ``KeyLink`` for the engine.

    Without a sibling process it decides alone, and nothing is sent.
    """

    def __init__(self, clock: Clock, log: Logger) -> None:
        self.decisions: SharedKeys  # set before any other process is looked for
        self._clock = clock
        self._log = log
        self._authority = KeyAuthority.OWN
        self._connection: HandoverConnection | None = None
        self._claims_sent: set[int] = set()

    # ---- which process decides ----

    def decide(
        self,
        attempts_unknown: bool = False,
        paused: KeysPaused | None = None,
        successor: HandoverConnection | None = None,
    ) -> None:
        """Decide the order in this process, and for the ``successor`` if there is one.

        ``attempts_unknown`` pauses all keys, as a process that decided before, or sent requests beside this
        one, has not reported what it had in flight.
        """
        keys = paused.paused_until_us if paused is not None else ()
        paused_keys = tuple((key, self._clock.from_machine_us(until_us)) for key, until_us in keys)
        self._change(KeyAuthorityChanged(KeyAuthority.OWN, attempts_unknown, paused_keys), successor)

    def ask(self, connection: HandoverConnection) -> None:
        """Ask the process at the other end for each ordered request."""
        self._change(KeyAuthorityChanged(KeyAuthority.SIBLING), connection)

    def wait(self) -> None:
        """Send no ordered request, as another process may send some and cannot be asked."""
        self._change(KeyAuthorityChanged(KeyAuthority.UNAVAILABLE))

    def _change(self, event: KeyAuthorityChanged, connection: HandoverConnection | None = None) -> None:
        self._connection = connection
        self._claims_sent = set()
        if event.authority is not self._authority:
            self._log.info("key_authority", process=event.authority.value)
        self._authority = event.authority
        self.decisions.change_authority(event)

    @property
    def settled(self) -> bool:
        """Whether no attempt of this process is running on any ordered key."""
        return not self.decisions.possibly_running

    def final_report(self) -> KeysPaused:
        """Stop sending ordered requests, and return where the last attempts may be running."""
        running = self.decisions.possibly_running
        self.wait()
        # Answers may still come, or be handed over, until the process has ended.
        return KeysPaused(
            tuple((key, self._clock.to_machine_us(until) + END_MARGIN_US) for key, until in running)
        )

    # ---- called by the engine ----

    def claim_key(self, claim: ClaimKey) -> None:
        """Send a claim; while the other process does not read, the request waits without one."""
        if self._connection is None or self._connection.backlogged:
            return
        received_us = self._clock.to_machine_us(claim.received_us)
        self._claims_sent.add(claim.request_id)
        self._connection.send(KeyClaim(claim.request_id, claim.key, received_us, claim.is_held))

    def release_key(self, release: ReleaseKey) -> None:
        """Send the end of a claim."""
        if self._connection is None or release.request_id not in self._claims_sent:
            return
        self._claims_sent.discard(release.request_id)
        paused_until = release.paused_until
        machine_us = self._clock.to_machine_us(paused_until) if paused_until else 0
        self._connection.send(KeyRelease(release.request_id, machine_us))

    def grant_key(self, grant: GrantKey) -> None:
        """Send a grant."""
        if self._connection is not None:
            self._connection.send(KeyGrant(grant.claim_id))

    # ---- called by the connections ----

    def received(self, connection: HandoverConnection, message: KeyMessage) -> None:
        """Handle a message on keys; raises MalformedMessage if it comes from the wrong process."""
        if connection is not self._connection:
            raise MalformedMessage(f"expected a hello before {message!r}")
        match message:
            case KeyClaim():
                received_at = self._clock.from_machine_us(message.received_us)
                event = KeyClaimed(message.claim_id, message.key, received_at, message.is_held)
                self.decisions.receive_claim(event)
            case KeyRelease():
                until_us = message.paused_until_us
                paused_until = self._clock.from_machine_us(until_us) if until_us else 0
                self.decisions.receive_claim(KeyReleased(message.claim_id, paused_until))
            case KeyGrant():
                self.decisions.receive_grant(KeyGranted(message.claim_id))
            case KeysPaused():
                self.decide(paused=message)
