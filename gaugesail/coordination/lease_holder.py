"""The holder's side of a lease: requests quota from the leader, and tracks what may be spent and until when.

A lease counts from when the granted request was sent, on this gateway's own clock.  What may be spent under
it is in spending_rights.py, what may be spent without it in gateway_floor.py, the demand to report in
demand_tracker.py, and the time and receiver of requests in request_schedule.py.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from .demand_tracker import DemandTracker, QuotaUsage
from .fleet_terms import FleetTerms
from .gateway_floor import GatewayFloor, PersistedFloor, PlanRates
from .lease_messages import HeldQuota, LeaseRequest, LeaseResponse, LeaseStatus, QuotaOrders
from .messages import Message
from .notices import Notice
from .quota_ledger import RateBurst
from .request_schedule import RequestSchedule
from .spending_rights import QuotaUpdate, SpendingRights

MAX_REPORTED = 40  # demands, and allocations, in one request
NEVER = 1 << 62


class LeaseHolder:
    """One process's session, lease, floor and demand.  Times in microseconds of this gateway's clock.

    ``store`` is the id of the gateway's store; empty if it has none.
    """

    def __init__(
        self,
        terms: FleetTerms,
        digest: str,
        process: int,
        store: str,
        floor: PersistedFloor,
        now: int,
        rng: random.Random,
    ) -> None:
        self._terms = terms
        self._digest = digest
        self._process = process
        self._floor = GatewayFloor(terms, store, floor)
        self._rights = SpendingRights()
        self._demands = DemandTracker(now)
        # Without a store it is unknown whether an earlier process of this gateway still holds a lease.
        starts_at = now if store else terms.grantor_lease_end(now)
        self._schedule = RequestSchedule(terms.lease_us, starts_at, rng)
        self.session = 0
        self.term = 0
        self.leader = ""
        self._fleet = ""
        self._last_seen_index = 0  # of the latest entry of the fleet's log that a message named
        self._stated_limits: PlanRates = ()
        self.leaving = False
        self.left = False
        self.refusal_reason = ""  # of the last response, for operators; empty if it refused nothing
        self._lapsed = True  # holds no lease
        self._outbox: list[tuple[str, Message]] = []
        self.notices: list[Notice] = []

    # ---- spending limits ----

    @property
    def lease_until(self) -> int:
        """When the lease expires."""
        return self._rights.lease_until

    @property
    def allocations(self) -> Mapping[str, HeldQuota]:
        """The allocations that may be spent until ``lease_until``, by quota."""
        return self._rights.allocations

    @property
    def floor(self) -> PersistedFloor:
        """The floor to persist."""
        return self._floor.current

    @property
    def floor_changed(self) -> bool:
        """Whether ``floor`` must be persisted; the caller that does clears it."""
        return self._floor.changed

    @floor_changed.setter
    def floor_changed(self, changed: bool) -> None:
        self._floor.changed = changed

    def floors(self) -> PlanRates:
        """Return what may be spent without a lease of each volume, by plan."""
        return self._floor.rates(self._stated_limits)

    def pop_quota_update(self) -> QuotaUpdate | None:
        """Return the changes since the last call; None if there are none.  Persist ``floor`` first."""
        return self._rights.pop_update(self.floors())

    def resend_quota(self) -> None:
        """Include everything in the next update, as the last one was not passed on."""
        self._rights.resend_all()

    def replace_store(self, now: int, store: str) -> None:
        """Switch to a new store: the floor is void, and an earlier process's lease has to expire first."""
        self._floor.replace_store(store)
        self._schedule.start_again_at(self._terms.grantor_lease_end(now))
        self._drop_session()

    def floor_not_persisted(self, persisted: PersistedFloor) -> None:
        """Go by the lesser of the persisted and the current floor, as the store rejects writes."""
        self._floor.not_persisted(persisted)
        self._rights.resend_all()

    # ---- demand ----

    def set_limits(self, limits: Mapping[str, RateBurst], max_request: int) -> None:
        """Set this gateway's configured limits by plan and its largest request, in thousandths."""
        self._stated_limits = tuple((plan, *pair) for plan, pair in sorted(limits.items()))
        self._demands.max_request = max_request

    def record_demand(self, now: int, usage: Mapping[str, QuotaUsage]) -> None:
        """Record the usage of each quota since the last call; changed demand is reported soon."""
        self._demands.record(now, usage)
        if self._demands.has_changed(now):
            self._request_soon(now)

    def _request_soon(self, now: int) -> None:
        if not self.leaving:
            self._schedule.request_soon(now)

    def leave(self, now: int) -> None:
        """Give up the session and notify the leader: from here on only the floor is spent."""
        self.leaving = True
        self._drop_session()
        self._schedule.next_at = now

    # ---- time ----

    @property
    def next_at(self) -> int:
        """When ``tick`` is due next; NEVER once the holder has left."""
        if self.left:
            return NEVER
        if self._lapsed:
            return self._schedule.next_at
        return min(self._schedule.next_at, self.lease_until)

    def tick(self, now: int, replicas: list[str]) -> None:
        """Send a request if one is due, to one of ``replicas``, which has the likeliest leader first."""
        if not self._lapsed and now >= self.lease_until:
            self._lapsed = True
            fields = {"parts": len(self.allocations), "asked": self._schedule.number}
            self.notices.append(Notice("lease_lost", fields))
        if now < self._schedule.next_at or self.left or not replicas:
            return
        self._send_request(now, self._schedule.choose(now, replicas))

    def _send_request(self, now: int, replica: str) -> None:
        number = self._schedule.begin_request(now, replica)
        demands, more_demands = self._demands.collect_report(now, number, MAX_REPORTED)
        held = self._rights.collect_report(number, MAX_REPORTED)
        more_to_report = more_demands or self._rights.more_unreported_than(MAX_REPORTED)
        self._schedule.request_sent(now, more_to_report)
        request = LeaseRequest(
            process=self._process,
            number=number,
            session=self.session,
            terms_digest=self._digest,
            store_id=self._floor.store,
            limits=self._stated_limits,
            floor_slot=self.floor.slot,
            floor_version=self.floor.limits_version,
            max_request=self._demands.max_request,
            fleet=self._fleet,
            last_seen_index=self._last_seen_index,
            demands=tuple(demands),
            held=tuple(held),
            leaving=self.leaving,
        )
        self._outbox.append((replica, request))

    def drain_messages(self) -> list[tuple[str, Message]]:
        """Return and remove the pending messages, each with its receiver."""
        messages, self._outbox = self._outbox, []
        return messages

    # ---- messages ----

    def receive(self, now: int, sender: str, message: LeaseResponse | QuotaOrders) -> None:
        """Process a replica's message; ignore those for another process or session."""
        if message.process != self._process:
            return
        if isinstance(message, QuotaOrders):
            same_session = message.session == self.session and message.fleet == self._fleet
            if same_session and self.session and not self.leaving:
                self._apply_orders(now, message)
            return
        requested_at = self._schedule.sent_at(message.number)
        if requested_at is not None:
            self._apply_response(now, sender, message, requested_at)

    def _apply_response(self, now: int, sender: str, response: LeaseResponse, requested_at: int) -> None:
        is_latest = response.number == self._schedule.number
        if is_latest:
            self._schedule.response_received()
            self.refusal_reason = ""
        match response.status:
            case LeaseStatus.RENEWED:
                self._renewed(now, sender, response, requested_at, is_latest)
            case LeaseStatus.UNKNOWN_SESSION:
                if is_latest:
                    self._drop_session()
                    self._last_seen_index = 0
                    self._schedule.next_at = now
            case LeaseStatus.NOT_LEADER:
                self._schedule.redirected(now, sender, response.leader, is_latest)
            case LeaseStatus.TERMS_DIFFER:
                # The configurations of the two gateways differ in the fleet's terms.
                self.refusal_reason = f"{sender}'s file differs in what binds the fleet"
                self._schedule.wait_one_lease(now)
            case LeaseStatus.LEFT:
                self.left = True

    def _renewed(
        self, now: int, sender: str, response: LeaseResponse, requested_at: int, is_latest: bool
    ) -> None:
        """Extend the lease, counted from ``requested_at``, unless the response is of an earlier session."""
        if self.leaving or (response.fleet == self._fleet and response.session < self.session):
            return
        self._adopt_session(response)
        self._rights.extend_lease(self._terms.holder_lease_end(requested_at))
        self._last_seen_index = max(self._last_seen_index, response.session, response.limits_version)
        if self._lapsed and now < self.lease_until:
            self._lapsed = False
            notice = Notice("lease_acquired", {"session": self.session, "leader": response.leader})
            self.notices.append(notice)
        if response.term >= self.term:
            self._adopt_leader(sender, response)
        self._demands.report_confirmed(response.number)
        self._rights.report_confirmed(response.number)
        if is_latest:
            self._schedule.renewed(now)
            if self._rights.has_unreported or self._demands.has_changed(now):
                self._request_soon(now)

    def _adopt_session(self, response: LeaseResponse) -> None:
        """Adopt the response's session; drop the allocations of an earlier session or of another fleet."""
        if response.fleet != self._fleet:
            self._drop_session()
            self._fleet = response.fleet
            self.term = 0
            self._last_seen_index = 0
            self._floor.forget_other_fleet(response.fleet)
        if response.session != self.session:
            self._drop_session()
            self.session = response.session

    def _adopt_leader(self, sender: str, response: LeaseResponse) -> None:
        """Adopt the response's leader and limits; a leader of a new term is sent all demand again."""
        if response.term > self.term:
            self._demands.report_all_again()
        self.term = response.term
        self.leader = response.leader
        self._schedule.leader_responded(sender)
        self._floor.accept(response)

    def _apply_orders(self, now: int, message: QuotaOrders) -> None:
        for order in message.orders:
            self._last_seen_index = max(self._last_seen_index, order.version)
            self._rights.apply_order(order)
        if any(order.release for order in message.orders):
            self._schedule.request_now(now)  # released quota is unusable until the leader receives the report
        elif self._rights.has_unreported:
            self._request_soon(now)

    def _drop_session(self) -> None:
        """Drop the session and its allocations."""
        self.session = 0
        self._rights.drop()
        self._demands.report_all_again()
