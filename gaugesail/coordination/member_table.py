"""The table of members: each one's latest update, and how long a suspicion of it lasts.

Of two updates of a member the one with the larger (generation, incarnation, state) takes precedence, so that
reordered, delayed and duplicated updates change nothing (SWIM, section 4.2).
"""

from __future__ import annotations

import math
import random

import msgspec
import xxhash

from .gossip import GossipQueue
from .local_health import LocalHealth
from .member import Member, MemberChange, MemberState, change_kind, rank
from .membership_messages import MemberUpdate

PERIOD_US = 1_000_000  # protocol period: one member is probed in each
MIN_SUSPICION_PERIODS = 3.0  # times the decimal logarithm of the fleet's size
MAX_SUSPICION_FACTOR = 4.0  # times the minimum, for a suspicion that no other member shares
CONFIRMATIONS_FOR_MIN = 3  # other members sharing a suspicion, from which on it lasts the minimum
FORGET_US = 24 * 3600 * 1_000_000  # until a member in state GONE or LEFT is removed
STARTUP_US = 10_000_000  # until then another process of this name counts as an earlier one of this gateway
MAX_MEMBERS = 5000  # so that forged names cannot exhaust the memory


def suspicion_timeout_us(active_members: int, confirmations: int) -> int:
    """Return how long a suspicion lasts that ``confirmations`` others share (Lifeguard, section IV-B)."""
    shortest = int(MIN_SUSPICION_PERIODS * max(1.0, math.log10(max(1, active_members))) * PERIOD_US)
    longest = MAX_SUSPICION_FACTOR * shortest
    share = math.log(confirmations + 1) / math.log(CONFIRMATIONS_FOR_MIN + 1)
    return int(max(shortest, longest - (longest - shortest) * share))


class MemberTable:
    """All members that one gateway knows, including itself."""

    def __init__(self, own: MemberUpdate, gossip: GossipQueue, health: LocalHealth, now: int) -> None:
        self.own_name = own.name
        self.members: dict[str, Member] = {own.name: Member(own, now)}
        self.name_taken = False  # a later process uses this gateway's name
        self._own_process = own.process
        self._started_at = now
        self._gossip = gossip
        self._health = health
        self._changes: list[MemberChange] = []
        gossip.announce(own.name)

    # ---- state ----

    @property
    def own_update(self) -> MemberUpdate:
        """The update that this gateway spreads about itself."""
        return self.members[self.own_name].update

    def updates(self) -> tuple[MemberUpdate, ...]:
        """Return the latest update of each member."""
        return tuple(member.update for member in self.members.values())

    def active_names(self) -> list[str]:
        """Return the members in state ALIVE or SUSPECT, including this gateway."""
        return [name for name, member in self.members.items() if member.state <= MemberState.SUSPECT]

    def sample_alive(self, rng: random.Random, count: int, excluded: str = "") -> list[str]:
        """Return up to ``count`` random members in state ALIVE, except this gateway and ``excluded``."""
        names = [
            name
            for name, member in self.members.items()
            if member.state is MemberState.ALIVE and name not in (self.own_name, excluded)
        ]
        return rng.sample(names, min(count, len(names)))

    def suspicion_ends(self) -> list[int]:
        """Return when each suspicion ends."""
        suspects = (member for member in self.members.values() if member.state is MemberState.SUSPECT)
        return [member.suspect_until for member in suspects]

    def digest(self) -> int:
        """Return a hash of all updates; it is equal at two gateways with the same view."""
        ranks = sorted((name, *rank(member.update)) for name, member in self.members.items())
        return xxhash.xxh3_64_intdigest(repr(ranks).encode())

    def drain_changes(self) -> list[MemberChange]:
        """Return and remove the changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    # ---- time ----

    def expire(self, now: int) -> None:
        """Set suspects whose suspicion has timed out to GONE; remove members GONE or LEFT for FORGET_US."""
        for name, member in list(self.members.items()):
            if member.state is MemberState.SUSPECT and now >= member.suspect_until:
                self.set_state(now, member.update, MemberState.GONE)
            elif member.state >= MemberState.GONE and now - member.state_since > FORGET_US:
                del self.members[name]
                self._gossip.forget(name)

    def postpone_suspicions(self, until: int) -> None:
        """Let no suspicion end before ``until``."""
        for member in self.members.values():
            if member.state is MemberState.SUSPECT:
                member.suspect_until = max(member.suspect_until, until)

    # ---- updates ----

    def set_state(self, now: int, update: MemberUpdate, state: MemberState) -> None:
        """Set a member's state as this gateway's own conclusion."""
        self.accept(now, msgspec.structs.replace(update, state=state), self.own_name)

    def accept(self, now: int, update: MemberUpdate, sender: str) -> None:
        """Apply and spread an update if it takes precedence over the current one."""
        if update.name == self.own_name and sender != self.own_name:
            self._accept_of_self(now, update)
            return
        member = self.members.get(update.name)
        if member is None:
            self._add(now, update, sender)
            return
        if rank(update) == rank(member.update) and update.state == MemberState.SUSPECT:
            self._confirm_suspicion(member, sender)
        if rank(update) > rank(member.update):
            before = member.update
            member.update = update
            self._state_updated(now, member, before, sender)

    def _add(self, now: int, update: MemberUpdate, sender: str) -> None:
        if len(self.members) < MAX_MEMBERS:
            member = Member(update, now)
            self.members[update.name] = member
            self._state_updated(now, member, None, sender)

    def _accept_of_self(self, now: int, update: MemberUpdate) -> None:
        """Process others' update about this gateway: refute it, or yield the name to a later process."""
        own = self.own_update
        same_process = update.process == self._own_process
        if rank(update) < rank(own) or (rank(update) == rank(own) and same_process):
            return
        if same_process:
            if own.state == MemberState.LEFT:
                return
            if update.state == MemberState.SUSPECT:
                self._health.worsen()  # this gateway responded too late
            refutation = msgspec.structs.replace(own, incarnation=update.incarnation + 1)
        elif now - self._started_at > STARTUP_US:
            # Another process uses this name: this one yields it, and keeps only its own session.
            self.name_taken = True
            return
        else:  # an earlier process of this gateway, whose clock was ahead or which had no store
            refutation = msgspec.structs.replace(own, generation=update.generation + 1, incarnation=0)
        self.members[self.own_name].update = refutation
        self._gossip.announce(self.own_name)

    def _confirm_suspicion(self, member: Member, sender: str) -> None:
        """Shorten a suspicion that one more member shares."""
        if sender in member.suspected_by or len(member.suspected_by) >= CONFIRMATIONS_FOR_MIN + 1:
            return
        member.suspected_by.add(sender)
        self._gossip.announce(member.update.name)  # the first few confirmations are spread as well
        self._set_suspicion_end(member)

    def _state_updated(self, now: int, member: Member, before: MemberUpdate | None, sender: str) -> None:
        update = member.update
        self._gossip.announce(update.name)
        state = MemberState(update.state)
        restarted = before is not None and before.process != update.process
        member.suspected_by = {sender} if state is MemberState.SUSPECT else set()
        if before is None or state != before.state or restarted:
            member.state_since = now
        if state is MemberState.SUSPECT:
            self._set_suspicion_end(member)
        kind = change_kind(before, update)
        if kind is not None and update.name != self.own_name:
            self._changes.append(MemberChange(kind, update.name, update.address))

    def _set_suspicion_end(self, member: Member) -> None:
        confirmations = len(member.suspected_by) - 1
        timeout_us = suspicion_timeout_us(len(self.active_names()), confirmations)
        member.suspect_until = member.state_since + timeout_us
