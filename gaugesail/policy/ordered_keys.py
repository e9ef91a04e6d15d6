"""Ordered keys: the requests of one key are executed one at a time, in the order of receipt.

While two processes of a gateway run in parallel, one of them decides the order for both, like a lock manager.
The other one claims the key for each of its ordered requests, sends the request only once the claim is
granted, and releases the key when the request is finished and none of its attempts is in flight.  A claim
takes its place among the requests of the key by its time of receipt.

An attempt holds its key up to the last byte of its answer, which may come long after the first: the answer
is passed on meanwhile.  If it is handed to the successor process, the key is held here until the successor
claims it, and then until it releases the claim.
"""

from __future__ import annotations

from .actions import ClaimKey, GrantKey, ReleaseKey
from .events import (
    AnswerAdopted,
    AnswerEnded,
    AnswerEnding,
    AttemptResult,
    KeyAuthority,
    KeyAuthorityChanged,
    KeyClaimed,
    KeyGranted,
    KeyReleased,
)
from .gateway_state import GatewayState
from .node_table import NodeTable
from .records import AdoptedAnswer, OrderedKey, PendingRequest, SiblingClaim

# Results after which the attempt may still be running at its node.
POSSIBLY_RUNNING = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)


class OrderedKeys:
    """The ordered keys of one gateway's requests.  All times are microseconds of the gateway's clock."""

    def __init__(self, state: GatewayState, node_table: NodeTable) -> None:
        self._state = state
        self._node_table = node_table
        self._keys: dict[int, OrderedKey] = {}
        self._authority = KeyAuthority.OWN
        self._unknown_until = 0  # until then a process that has ended may have attempts on any key
        # As the authority:
        self._claims: dict[int, SiblingClaim] = {}  # of the sibling process, by claim id
        self._waiting_claims = 0  # not yet granted
        self._changed: dict[int, OrderedKey] = {}  # whose first claim may be granted at the end of the batch
        # Beside the authority:
        self._claimed: dict[int, PendingRequest | AdoptedAnswer] = {}  # own requests, by request id
        # Answers that are passed on as they come, by request and attempt:
        self._continued: dict[tuple[int, int], tuple[OrderedKey, PendingRequest | AdoptedAnswer]] = {}

    def open(self, key: int) -> OrderedKey:
        """Return the record of a key; it is created if there is none."""
        ordered_key = self._keys.get(key)
        if ordered_key is None:
            ordered_key = self._keys[key] = OrderedKey(key)
        return ordered_key

    def blocks(self, request: PendingRequest, ordered_key: OrderedKey) -> bool:
        """Return whether a request has to wait for its key."""
        now = self._state.now
        is_granted = ordered_key.granted is request
        if self._authority is KeyAuthority.SIBLING:
            return not is_granted or ordered_key.in_flight > 0
        if self._authority is KeyAuthority.UNAVAILABLE or (now < self._unknown_until and not is_granted):
            return True
        return ordered_key.blocks(request, now)

    # ---- own requests ----

    def add(self, request: PendingRequest, ordered_key: OrderedKey) -> None:
        """Add a received request to its key."""
        ordered_key.insert(request)
        if self._authority is KeyAuthority.SIBLING:
            self._claim(request, ordered_key)

    def _claim(self, request: PendingRequest | AdoptedAnswer, ordered_key: OrderedKey) -> None:
        self._claimed[request.request_id] = request
        is_held = ordered_key.granted is request
        self._state.actions.append(
            ClaimKey(request.request_id, ordered_key.key, request.received_at, is_held)
        )

    def attempt_ended(
        self, ordered_key: OrderedKey, request: PendingRequest | AdoptedAnswer, result: AttemptResult
    ) -> None:
        """Record the end of an attempt; if it may still be running, pause the key for other requests."""
        ordered_key.in_flight -= 1
        if result in POSSIBLY_RUNNING:
            ordered_key.paused_until = self._state.now + self._state.settings.ordered_key_pause_us
            ordered_key.pause_exempt = request
        if request.finished:
            self._release(ordered_key, request)
        self._mark_next(ordered_key)

    def answer_continues(self, ordered_key: OrderedKey, request: PendingRequest, attempt: int) -> None:
        """Record that an attempt was served, but holds its key until the end of its answer."""
        self._continued[(request.request_id, attempt)] = ordered_key, request

    def answer_ended(self, event: AnswerEnded) -> None:
        """Record the end of an answer; unless it is whole, its attempt may still be running."""
        continued = self._continued.pop((event.request_id, event.attempt), None)
        if continued is None:
            return
        ordered_key, request = continued
        if event.ending is AnswerEnding.MOVED:
            ordered_key.has_moved_answer = True
            ordered_key.granted = None
            return
        whole = event.ending is AnswerEnding.WHOLE
        self.attempt_ended(ordered_key, request, AttemptResult.SERVED if whole else AttemptResult.RESET)

    def adopt_answer(self, event: AnswerAdopted) -> None:
        """Hold the key of an answer that the predecessor process has handed over."""
        ordered_key = self.open(event.key)
        answer = AdoptedAnswer(event.request_id, self._state.now)
        self._continued[(event.request_id, 0)] = ordered_key, answer
        ordered_key.in_flight += 1
        ordered_key.granted = answer
        if self._authority is KeyAuthority.SIBLING:
            self._claim(answer, ordered_key)

    def remove(self, ordered_key: OrderedKey, request: PendingRequest) -> None:
        """Remove a finished request of the key."""
        ordered_key.pending.remove(request)
        if ordered_key.granted is not request or not ordered_key.in_flight:
            self._release(ordered_key, request)
        self._mark_next(ordered_key)

    def _release(self, ordered_key: OrderedKey, request: PendingRequest | AdoptedAnswer) -> None:
        """Release the key for the sibling process, as no attempt of a finished request is in flight."""
        if ordered_key.granted is request:
            ordered_key.granted = None
        if self._claimed.pop(request.request_id, None) is None:
            return
        is_paused = ordered_key.pause_exempt is request and ordered_key.paused_until > self._state.now
        paused_until = ordered_key.paused_until if is_paused else 0
        self._state.actions.append(ReleaseKey(request.request_id, paused_until))

    def _mark_next(self, ordered_key: OrderedKey) -> None:
        if not ordered_key.pending:
            return
        first = ordered_key.pending[0]
        if isinstance(first, SiblingClaim):
            self._changed[ordered_key.key] = ordered_key
        else:
            self._node_table.mark_changed(first.shard)

    # ---- the sibling process ----

    def change_authority(self, event: KeyAuthorityChanged) -> None:
        """Change which process decides the order; all claims and grants of before end."""
        now = self._state.now
        pause_us = self._state.settings.ordered_key_pause_us
        self._end_claims(now + pause_us)
        self._end_moved_answers(now + pause_us)
        self._authority = event.authority
        if event.attempts_unknown:
            self._unknown_until = now + pause_us
        for key, paused_until in event.paused_keys:
            self._pause(self.open(key), paused_until)
        for ordered_key in self._keys.values():
            if not ordered_key.in_flight and event.authority is not KeyAuthority.OWN:
                ordered_key.granted = None
            if event.authority is KeyAuthority.SIBLING:
                self._claim_all(ordered_key)
            self._mark_next(ordered_key)

    def _claim_all(self, ordered_key: OrderedKey) -> None:
        """Claim a key for all its requests; the one with an attempt in flight keeps the grant that it had."""
        if ordered_key.granted is not None:
            self._claim(ordered_key.granted, ordered_key)
        for request in ordered_key.pending:
            if isinstance(request, PendingRequest) and request is not ordered_key.granted:
                self._claim(request, ordered_key)

    def _end_claims(self, paused_until: int) -> None:
        """Drop all claims of the sibling process, and pause the keys that it may have attempts on."""
        for claim in self._claims.values():
            claim.ordered_key.pending.remove(claim)
            if claim.granted:
                self._pause(claim.ordered_key, paused_until)
        self._claims = {}
        self._claimed = {}
        self._waiting_claims = 0

    def _end_moved_answers(self, paused_until: int) -> None:
        """Pause the keys of answers that were handed to a process that has not claimed them."""
        for ordered_key in self._keys.values():
            if ordered_key.release_moved_answer():
                self._pause(ordered_key, paused_until)

    def _pause(self, ordered_key: OrderedKey, paused_until: int) -> None:
        """Pause a key, as an attempt of the sibling process may still be running."""
        if paused_until >= ordered_key.paused_until:
            ordered_key.paused_until = paused_until
            ordered_key.pause_exempt = None

    def claimed(self, event: KeyClaimed) -> None:
        """Add a claim of the sibling process, which is granted in its turn."""
        ordered_key = self.open(event.key)
        claim = SiblingClaim(event.claim_id, ordered_key, event.received_us, event.is_held)
        self._claims[event.claim_id] = claim
        if event.is_held:
            ordered_key.release_moved_answer()
            ordered_key.pending.insert(0, claim)
            return
        self._waiting_claims += 1
        ordered_key.insert(claim)
        self._changed[event.key] = ordered_key

    def released(self, event: KeyReleased) -> None:
        """Remove a claim of the sibling process; an unknown one is ignored."""
        claim = self._claims.pop(event.claim_id, None)
        if claim is None:
            return
        claim.ordered_key.pending.remove(claim)
        if not claim.granted:
            self._waiting_claims -= 1
        if event.paused_until:
            self._pause(claim.ordered_key, event.paused_until)
        self._mark_next(claim.ordered_key)

    def granted(self, event: KeyGranted) -> None:
        """Let a request be sent, as the sibling process has granted its claim; else it is finished."""
        request = self._claimed.get(event.request_id)
        if not isinstance(request, PendingRequest) or request.ordered_key is None:
            return
        request.ordered_key.granted = request
        self._node_table.mark_changed(request.shard)

    @property
    def has_waiting_claims(self) -> bool:
        """Whether any claim of the sibling process has not been granted."""
        return self._waiting_claims > 0

    def mark_waiting_claims(self) -> None:
        """Check at the end of this batch which waiting claims can be granted, as pauses may have ended."""
        for claim in self._claims.values():
            if not claim.granted:
                self._changed[claim.ordered_key.key] = claim.ordered_key

    def grant_changed(self) -> None:
        """Grant the first claim of each changed key whose turn it is."""
        changed = self._changed
        if not changed:
            return
        self._changed = {}
        now = self._state.now
        if self._authority is not KeyAuthority.OWN or now < self._unknown_until:
            return
        for ordered_key in changed.values():
            first = ordered_key.pending[0] if ordered_key.pending else None
            if not isinstance(first, SiblingClaim) or first.granted or ordered_key.blocks(first, now):
                continue
            first.granted = True
            self._waiting_claims -= 1
            self._state.actions.append(GrantKey(first.claim_id))

    # ---- the end of this process, and idle keys ----

    def possibly_running(self, now: int) -> tuple[tuple[int, int], ...]:
        """Return the keys that this process may have attempts on, each with the end of its pause.

        :param now: the present time, which may be later than that of the latest batch.
        """
        in_flight_until = now + self._state.settings.ordered_key_pause_us
        return tuple(
            (key, in_flight_until if ordered_key.in_flight else ordered_key.paused_until)
            for key, ordered_key in self._keys.items()
            if ordered_key.in_flight or ordered_key.paused_until > now
        )

    def drop_idle(self) -> None:
        """Drop the keys that no longer block any request."""
        now = self._state.now
        self._keys = {
            key: ordered_key
            for key, ordered_key in self._keys.items()
            if ordered_key.pending or ordered_key.in_flight or ordered_key.paused_until > now
        }
