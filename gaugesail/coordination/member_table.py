"""What is known of each member: its latest update, and how long a suspicion of it lasts.

Of two updates of one member the larger by (generation, incarnation, state) holds, so that order, delay and
repetition change nothing (SWIM, section 4.2).
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

PERIOD_US = 1_000_000  # of the protocol: one member is probed in each
MIN_SUSPICION_PERIODS = 3.0  # times the decimal logarithm of the fleet's size
MAX_SUSPICION_FACTOR = 4.0  # times the least: a suspicion that nobody else shares
CONFIRMATIONS_FOR_MIN = 3  # other members that share a suspicion, from which on it lasts the least
FORGET_US = 24 * 3600 * 1_000_000  # after which a member that has gone is forgotten
STARTUP_US = 10_000_000  # until then another process of this name is taken for an earlier start of this one
MAX_MEMBERS = 5000  # so that made-up names cannot fill the memory


def suspicion_timeout_us(active_members: int, confirmations: int) -> int:
    """Return how long a suspicion lasts that so many others share (Lifeguard, section IV-B)."""
    shortest = int(MIN_SUSPICION_PERIODS * max(1.0, math.log10(max(1, active_members))) * PERIOD_US)
    longest = MAX_SUSPICION_FACTOR * shortest
    share = math.log(confirmations + 1) / math.log(CONFIRMATIONS_FOR_MIN + 1)
    return int(max(shortest, longest - (longest - shortest) * share))


class MemberTable:
    """All members that one gateway knows, itself included."""

    def __init__(self, own: MemberUpdate, gossip: GossipQueue, health: LocalHealth, now: int) -> None:
        self.own_name = own.name
        self.members: dict[str, Member] = {own.name: Member(own, now)}
        self.name_taken = False  # a later process has this gateway's name
        self._own_process = own.process
        self._started_at = now
        self._gossip = gossip
        self._health = health
        self._changes: list[MemberChange] = []
        gossip.announce(own.name)

    # ---- what is known ----

    @property
    def own_update(self) -> MemberUpdate:
        """What this gateway says of itself."""
        return self.members[self.own_name].update

    def updates(self) -> tuple[MemberUpdate, ...]:
        """Return the latest update of each member."""
        return tuple(member.update for member in self.members.values())

    def active_names(self) -> list[str]:
        """Return all members that may be there, this gateway too: one that is suspected counts."""
        return [name for name, member in self.members.items() if member.state <= MemberState.SUSPECT]

    def sample_alive(self, rng: random.Random, count: int, excluded: str = "") -> list[str]:
        """Draw up to ``count`` other members that are alive."""
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
        """Return a hash that is the same at two gateways that know the same."""
        ranks = sorted((name, *rank(member.update)) for name, member in self.members.items())
        return xxhash.xxh3_64_intdigest(repr(ranks).encode())

    def drain_changes(self) -> list[MemberChange]:
        """Return what has changed since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    # ---- time ----

    def expire(self, now: int) -> None:
        """Suspects that did not answer in time are gone, and those long gone are forgotten."""
        for name, member in list(self.members.items()):
            if member.state is MemberState.SUSPECT and now >= member.suspect_until:
                self.set_state(now, member.update, MemberState.GONE)
            elif member.state >= MemberState.GONE and now - member.state_since > FORGET_US:
                del self.members[name]
                self._gossip.forget(name)

    def postpone_suspicions(self, until: int) -> None:
        """No suspicion ends before ``until``."""
        for member in self.members.values():
            if member.state is MemberState.SUSPECT:
                member.suspect_until = max(member.suspect_until, until)

    # ---- updates ----

    def set_state(self, now: int, update: MemberUpdate, state: MemberState) -> None:
        """This gateway itself says that a member is in that state."""
        self.accept(now, msgspec.structs.replace(update, state=state), self.own_name)

    def accept(self, now: int, update: MemberUpdate, sender: str) -> None:
        """Keep an update if it is larger than the one that stands, and pass it on."""
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
        """What others say of this gateway: refuted by a larger incarnation, unless it is another process."""
        own = self.own_update
        same_process = update.process == self._own_process
        if rank(update) < rank(own) or (rank(update) == rank(own) and same_process):
            return
        if same_process:
            if own.state == MemberState.LEFT:
                return
            if update.state == MemberState.SUSPECT:
                self._health.worsen()  # it was slow to answer
            fresh = msgspec.structs.replace(own, incarnation=update.incarnation + 1)
        elif now - self._started_at > STARTUP_US:
            # Another process has taken this name: this one yields it, and keeps its own session only.
            self.name_taken = True
            return
        else:  # an earlier start, whose clock was ahead of ours, or which had no store
            fresh = msgspec.structs.replace(own, generation=update.generation + 1, incarnation=0)
        self.members[self.own_name].update = fresh
        self._gossip.announce(self.own_name)

    def _confirm_suspicion(self, member: Member, sender: str) -> None:
        """One more member shares a suspicion: it lasts less."""
        if sender in member.suspected_by or len(member.suspected_by) >= CONFIRMATIONS_FOR_MIN + 1:
            return
        member.suspected_by.add(sender)
        self._gossip.announce(member.update.name)  # each of the first few is worth passing on again
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
