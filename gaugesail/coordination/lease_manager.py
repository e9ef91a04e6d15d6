"""The leader's office: renews leases, closes those that have surely run out, and divides what there is.

It lasts for one term.  What it does rests on its ledger, in which every entry of earlier terms stands, and on
its own clock alone: a lease is counted from after it was given, by ``Charter.count_us``, and one that an
earlier leader gave from when this one began to serve.  Less is asked of a holder, and written down once it
says that it has; more is written down first and told then.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .consensus import RaftNode
from .fleet_terms import FleetTerms
from .messages import (
    AcknowledgeFloor,
    AllocateQuota,
    CloseSession,
    HeldQuota,
    LeaseRequest,
    LeaseResponse,
    LeaseStatus,
    Message,
    OpenSession,
    QuotaDemand,
    QuotaOrder,
    QuotaOrders,
    SetLimits,
    SettleLimits,
)
from .notices import Notice, NoticeField
from .quota_division import QuotaClaim, divide
from .quota_ledger import Pair, QuotaLedger, plan_of

RETELL_US = 250_000  # an order that its holder's book does not show yet
MOST_ORDERS = 24  # in one message
MOST_DIVIDED = 200  # amounts in one step
COMPLY_US = 1_000_000  # in which who has more than is left gives it up, or is renewed no more
SLACK = 50  # parts of the whole: a burst that is over by less is left


@dataclass(slots=True, eq=False)
class SessionLease:
    """What the office knows of one session."""

    expires_at: int  # its lease has surely run out then
    gateway: str
    confirmation_round: int = 0  # the ask that waits for this round
    unanswered_request: LeaseRequest | None = None
    unconfirmed: dict[str, int] = field(
        default_factory=dict
    )  # amounts its book does not show, when last said
    release_targets: dict[str, Pair] = field(default_factory=dict)  # what it is asked to come down to
    demands: dict[str, QuotaDemand] = field(default_factory=dict)
    limits: tuple[tuple[str, int, int], ...] = ()
    max_request: int = 0
    closing: bool = False


class LeaseManager:
    """The leader's books and duties in one term."""

    def __init__(
        self,
        charter: FleetTerms,
        digest: str,
        fleet: str,
        ledger: QuotaLedger,
        raft: RaftNode,
        now: int,
        fresh: bool,
    ) -> None:
        self._charter, self._digest, self._ledger, self._raft = charter, digest, ledger, raft
        self._fleet = fleet
        self.term, self._leader = raft.term, raft.replica_id.rpartition("#")[0]
        # Whoever led before may have renewed any of these up to the moment at which this term's entry was
        # committed.
        until = now + charter.lease_with_drift_us
        # And whoever led an earlier fleet of this name, or entries that a store has lost, may have given what
        # stands nowhere: a keeper that has just started divides nothing for as long.
        self._quiet_until = until if fresh else 0
        self.leases = {n: SessionLease(until, session.gateway) for n, session in ledger.sessions.items()}
        for amount, stakes in ledger.allocations.items():
            for number in stakes:
                self.leases[number].unconfirmed[amount] = now - RETELL_US
        self._pending: dict[str, set[int]] = {}  # sessions with an entry on its way, by amount
        self._opening: dict[int, tuple[str, LeaseRequest]] = {}  # by process
        self._settle_at = until
        self._dirty: dict[str, None] = dict.fromkeys(ledger.allocations)
        self._over: dict[str, int] = {}  # amounts that are given beyond their whole, and since when
        self._proposed: dict[str, int] = {}  # duties that have an entry on its way
        self._out: list[tuple[str, Message]] = []
        self._notices: list[Notice] = []
        self._retell_at = now

    def take_messages(self) -> list[tuple[str, Message]]:
        found, self._out = self._out, []
        return found

    def take_notices(self) -> list[Notice]:
        found, self._notices = self._notices, []
        return found

    @property
    def next_at(self) -> int:
        times = [lease.expires_at + 1 for lease in self.leases.values() if not lease.closing]
        return min([self._retell_at, *times])

    # ---- asks ----

    def request(self, now: int, sender: str, ask: LeaseRequest) -> None:
        """A holder asks.  It is answered once a round that begins now is confirmed."""
        if ask.terms_digest != self._digest:
            self._answer(sender, ask, LeaseStatus.TERMS_DIFFER)
            return
        session = self._ledger.session_of_process(ask.process)
        if ask.fleet == self._fleet and ask.last_seen_index > self._raft.log.last_index:
            # This log has lost entries: the stores are older than the fleet.  What the holder has by those is
            # not renewed; told so it gives up all, and may then have what this log says.
            self._note(
                "stores_are_old", head=sender, seen=ask.last_seen_index, last=self._raft.log.last_index
            )
            self._answer(sender, ask, LeaseStatus.UNKNOWN_SESSION)
            return
        if session is None:
            if ask.session:
                self._answer(sender, ask, LeaseStatus.UNKNOWN_SESSION)
            elif ask.leaving:
                self._answer(sender, ask, LeaseStatus.LEFT)
            else:
                self._opening[ask.process] = sender, ask
                self._once(f"open {ask.process}", OpenSession(sender, ask.process, ask.store))
            return
        lease = self.leases[session.number]
        if lease.closing:
            return  # from the moment that its end is proposed nothing of it is renewed
        if ask.leaving:
            self._shut(session.number)
            self._note("session_left", head=session.gateway, session=session.number)
            self._answer(sender, ask, LeaseStatus.LEFT)
            return
        self._learn(now, session.number, lease, ask)
        if lease.unanswered_request is None or ask.number > lease.unanswered_request.number:
            lease.unanswered_request, lease.confirmation_round = ask, self._raft.request_round()

    def _learn(self, now: int, number: int, lease: SessionLease, ask: LeaseRequest) -> None:
        """What the holder says of itself: its wholes, its floor, its book and its wants."""
        lease.max_request = ask.max_request
        if ask.limits != lease.limits:
            lease.limits = ask.limits
            self._agree(now)
        session = self._ledger.sessions[number]
        slot = self._ledger.floor_slots.get(session.floor_slot)
        if (
            slot is not None
            and ask.floor_slot == session.floor_slot
            and slot.limits_versions[0] < ask.floor_version
        ):
            self._once(f"floor {ask.floor_slot}", AcknowledgeFloor(ask.floor_slot, ask.floor_version))
        for held in ask.held:
            self._booked(number, lease, held)
        for demand in ask.demands:
            if demand.rate > 0:
                lease.demands[demand.quota_name] = demand
            else:
                lease.demands.pop(demand.quota_name, None)
            self._dirty[demand.quota_name] = None

    def _booked(self, number: int, lease: SessionLease, held: HeldQuota) -> None:
        """What the holder's book says of one part: an order has come, or it has released some."""
        stake = self._ledger.allocations.get(held.quota_name, {}).get(number)
        if stake is None or held.version != stake.version:
            return
        rate, burst = min(held.rate, stake.rate), min(held.burst, stake.burst)
        if (rate, burst) != (stake.rate, stake.burst):
            self._propose(held.quota_name, number, rate, burst, stake.version)
        elif held.quota_name not in lease.release_targets:
            lease.unconfirmed.pop(held.quota_name, None)

    def _answer(self, to: str, ask: LeaseRequest, status: LeaseStatus, session: int = 0) -> None:
        ledger = self._ledger
        found = ledger.sessions.get(session)
        wholes = tuple((plan, *pair) for plan, pair in sorted(ledger.limits.items()))
        slot = found.floor_slot if found is not None else -1
        self._out.append(
            (to, LeaseResponse(ask.process, ask.number, status, session, self.term, self._leader, slot,
                        ledger.limits_version, wholes, self._fleet))
        )  # fmt: skip

    # ---- the log ----

    def _once(
        self, duty: str, command: OpenSession | CloseSession | SettleLimits | SetLimits | AcknowledgeFloor
    ) -> None:
        """Propose something that is not on its way yet."""
        if duty not in self._proposed and (index := self._raft.propose(command)) is not None:
            self._proposed[duty] = index

    def _propose(self, amount: str, session: int, rate: int, burst: int, held: int) -> None:
        pending = self._pending.setdefault(amount, set())
        if session not in pending:
            pending.add(session)
            self._raft.propose(AllocateQuota(amount, session, rate, burst, held))

    def _shut(self, number: int) -> None:
        self.leases[number].closing = True
        self._once(f"close {number}", CloseSession(number))

    def entry_applied(self, now: int, index: int, command: object, done: bool) -> None:
        """An entry of this term has been carried out."""
        match command:
            case OpenSession():
                session = self._ledger.session_of_process(command.process)
                waiting = self._opening.pop(command.process, None)
                if session is not None and session.number not in self.leases:
                    # No lease yet: it is given with the answer, and counted from there.
                    lease = SessionLease(now + self._charter.lease_with_drift_us, session.gateway)
                    self.leases[session.number] = lease
                    self._note(
                        "session_opens", head=session.gateway, session=session.number, slot=session.floor_slot
                    )
                    if waiting is not None:
                        self._learn(now, session.number, lease, waiting[1])
                        lease.unanswered_request, lease.confirmation_round = (
                            waiting[1],
                            self._raft.request_round(),
                        )
                self._proposed.pop(f"open {command.process}", None)
            case CloseSession():
                tenant_gone = self.leases.pop(command.session, None)
                self._proposed.pop(f"close {command.session}", None)
                self._dirty.update(dict.fromkeys(tenant_gone.demands if tenant_gone else ()))
                self._dirty.update(dict.fromkeys(self._wanted()))
                self._agree(now)
            case AllocateQuota():
                self._parted(now, command, done)
            case SetLimits():
                self._settle_at = now + self._charter.lease_with_drift_us
                self._proposed.pop("wholes", None)
                self._dirty.update(dict.fromkeys(self._wanted()))
                self._note("wholes", version=self._ledger.limits_version, settled=self._ledger.settled)
                if not self._ledger.allocations:
                    self._settle_at = now  # nothing that was given under the old ones is left
            case SettleLimits():
                self._proposed.pop("settle", None)
                self._dirty.update(dict.fromkeys(self._wanted()))
                self._note("wholes", version=self._ledger.limits_version, settled=self._ledger.settled)
            case AcknowledgeFloor():
                self._proposed.pop(f"floor {command.floor_slot}", None)
                self._dirty.update(dict.fromkeys(self._wanted()))

    def _parted(self, now: int, part: AllocateQuota, done: bool) -> None:
        pending = self._pending.get(part.quota_name, set())
        pending.discard(part.session)
        if not pending:
            self._pending.pop(part.quota_name, None)
        self._dirty[part.quota_name] = None
        lease = self.leases.get(part.session)
        if done and lease is not None:
            lower = lease.release_targets.get(part.quota_name)
            if lower is not None and part.rate <= lower[0] and part.burst <= lower[1]:
                del lease.release_targets[part.quota_name]
            lease.unconfirmed[part.quota_name] = now
            self._tell(now, part.session, lease, [part.quota_name])

    def _wanted(self) -> Iterable[str]:
        """All amounts that anybody has or wants."""
        return {amount for lease in self.leases.values() for amount in lease.demands} | set(
            self._ledger.allocations
        )

    # ---- wholes ----

    def _agree(self, now: int) -> None:
        """The least that any live session's file says is the limit of a plan.

        While one has not told a leader what its file says, that may be less than all others: then nothing
        rises.
        """
        whole = all(lease.limits for lease in self.leases.values())
        least: dict[str, Pair] = {} if whole else dict(self._ledger.stated_limits)
        for lease in self.leases.values():
            for plan, rate, burst in lease.limits:
                old = least.get(plan, (rate, burst))
                least[plan] = min(rate, old[0]), min(burst, old[1])
        if least and {**self._ledger.stated_limits, **least} != self._ledger.stated_limits:
            told = {**self._ledger.stated_limits, **least}
            self._once("wholes", SetLimits(tuple((plan, *pair) for plan, pair in sorted(told.items()))))

    # ---- time ----

    def tick(self, now: int) -> None:
        """Answer what is confirmed, close what has run out, tell again, divide."""
        if not self._raft.serving or self._raft.term != self.term:
            return
        if now >= self._quiet_until > 0:
            self._quiet_until = 0
            self._dirty.update(dict.fromkeys(self._wanted()))
        confirmed = self._raft.confirmed_round
        for number, lease in self.leases.items():
            if (
                lease.unanswered_request is not None
                and confirmed >= lease.confirmation_round
                and self._may_renew(now, number, lease)
            ):
                ask, lease.unanswered_request = lease.unanswered_request, None
                # Counted from here, after it was given; the holder counts from before it asked.
                lease.expires_at = now + self._charter.lease_with_drift_us
                self._answer(lease.gateway, ask, LeaseStatus.RENEWED, number)
            elif now > lease.expires_at and not lease.closing:
                self._note("session_expired", head=lease.gateway, session=number)
                self._shut(number)
        stated = all(lease.limits for lease in self.leases.values())
        if not self._ledger.settled and now >= self._settle_at and stated:
            self._once("settle", SettleLimits(self._ledger.limits_version))
        if "wholes" not in self._proposed:
            self._agree(now)
        # One amount is divided again once the entries of the last time are carried out.
        due = [amount for amount in self._dirty if amount not in self._pending]
        for amount in due[:MOST_DIVIDED]:
            del self._dirty[amount]
            self._divide(now, amount)
        if now >= self._retell_at:
            self._retell_at = now + RETELL_US
            for number, lease in self.leases.items():
                late = [amount for amount, said in lease.unconfirmed.items() if now - said >= RETELL_US]
                if late:
                    self._tell(now, number, lease, late)

    def _may_renew(self, now: int, number: int, lease: SessionLease) -> bool:
        """Not one that is being closed; nor one that keeps what a lowered whole has no room for: its lease is
        of the old figure, and runs out.
        """
        stale = any(
            now - self._over.get(amount, now) > COMPLY_US
            for amount in lease.release_targets
            if number in self._ledger.allocations.get(amount, {})
        )
        return not lease.closing and not stale

    # ---- dividing ----

    def _divide(self, now: int, amount: str) -> None:
        """Ask for what is too much, give what is too little as far as there is room."""
        ledger, plan = self._ledger, plan_of(amount)
        if min(ledger.available(amount)) < 0:
            self._over.setdefault(amount, now)
        else:
            self._over.pop(amount, None)
        stakes = ledger.allocations.get(amount, {})
        most = ledger.leasable(plan)
        floor = self._charter.floor(*ledger.limits.get(plan, (0, 0)))[1]
        claims: dict[int, QuotaClaim] = {}
        for number, lease in self.leases.items():
            demand, stake = lease.demands.get(amount), stakes.get(number)
            if lease.closing or (demand is None and stake is None):
                continue
            has = (stake.rate, stake.burst) if stake is not None else (0, 0)
            own = floor if ledger.sessions[number].floor_slot >= 0 else 0
            need = max(0, lease.max_request - own)
            claims[number] = QuotaClaim(
                0 if demand is None else demand.rate,
                1 if demand is None else demand.priority_weight,
                has,
                need,
            )
        # What a session that is being closed still has is not to be had yet.
        shut = [stake for number, stake in stakes.items() if number not in claims]
        rate = max(0, most[0] - sum(stake.rate for stake in shut))
        burst = max(0, most[1] - sum(stake.burst for stake in shut))
        targets = divide(rate, burst, claims)
        room_rate, room_burst = ledger.available(amount)
        for number in sorted(targets, key=lambda n: (-claims[n].priority_weight, n)):
            target, lease, stake = targets[number], self.leases[number], stakes.get(number)
            has = claims[number].current
            if has[0] > target[0] or has[1] > target[1] + most[1] // SLACK:
                lower = min(has[0], target[0]), min(has[1], target[1])
                if lease.release_targets.get(amount) != lower:
                    lease.release_targets[amount] = lower
                    lease.unconfirmed[amount] = now
                    self._tell(now, number, lease, [amount])
                continue
            lease.release_targets.pop(amount, None)
            more = max(0, min(target[0] - has[0], room_rate)), max(0, min(target[1] - has[1], room_burst))
            if now >= self._quiet_until and (more[0] or more[1] > most[1] // SLACK):
                room_rate, room_burst = room_rate - more[0], room_burst - more[1]
                version = stake.version if stake is not None else 0
                self._propose(amount, number, has[0] + more[0], has[1] + more[1], version)

    def _tell(self, now: int, number: int, lease: SessionLease, amounts: Iterable[str]) -> None:
        """What the ledger says of some parts, or what is asked of their holder."""
        session, orders = self._ledger.sessions.get(number), list[QuotaOrder]()
        for amount in list(amounts):
            stake = self._ledger.allocations.get(amount, {}).get(number)
            if stake is None:
                lease.unconfirmed.pop(amount, None)
                lease.release_targets.pop(amount, None)
                continue
            lease.unconfirmed[amount] = now
            # What is asked for was reckoned from an earlier stake: nobody is told more than it has now.
            lower = lease.release_targets.get(amount)
            rate, burst = lower if lower is not None else (stake.rate, stake.burst)
            rate, burst = min(rate, stake.rate), min(burst, stake.burst)
            orders.append(QuotaOrder(amount, stake.version, rate, burst, lower is not None))
        if session is not None:
            for first in range(0, len(orders), MOST_ORDERS):
                part = tuple(orders[first : first + MOST_ORDERS])
                self._out.append((lease.gateway, QuotaOrders(session.process, number, self._fleet, part)))

    # ---- what staff see ----

    def lease_view(self, now: int, number: int) -> dict[str, float | str]:
        """Until when a session is counted, in seconds from now, and whether it is being closed."""
        lease = self.leases[number]
        left = round(max(0, lease.expires_at - now) / 1e6, 2)
        return {"counted_s": left} | ({"why": "its end is being written down"} if lease.closing else {})

    def demand_view(self, now: int, amount: str, number: int) -> dict[str, float | str]:
        """What a session wants and uses of an amount, and why it has not that."""
        lease = self.leases[number]
        demand = lease.demands.get(amount)
        told: dict[str, float | str] = {
            "wanted": demand.rate / 1000 if demand is not None else 0.0,
            "used": demand.used / 1000 if demand is not None else 0.0,
        }
        if amount in lease.release_targets:
            told["why"] = "asked to give some up"
        elif amount in lease.unconfirmed:
            told["why"] = "told, and not yet in its book"
        return told

    def _note(self, event: str, **fields: NoticeField) -> None:
        self._notices.append(Notice(event, fields))
