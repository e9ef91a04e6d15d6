"""The leader's side of leases: opens sessions, renews their leases, and closes sessions whose lease expired.

A lease manager lasts for one term.  It relies on the ledger, which has all entries of earlier terms, and on
this leader's own clock.  Limits are agreed in limits_agreement.py, quota is divided in quota_allocator.py.
"""

from __future__ import annotations

from .consensus import RaftNode
from .fleet_terms import FleetTerms
from .lease_messages import LeaseRequest, LeaseResponse, LeaseStatus
from .limits_agreement import LimitsAgreement
from .log_commands import (
    AcknowledgeFloor,
    AllocateQuota,
    CloseSession,
    Command,
    OpenSession,
    SetLimits,
    SettleLimits,
)
from .messages import Message
from .notices import Notice, NoticeField
from .proposed_commands import ProposedCommands
from .quota_allocator import QuotaAllocator
from .quota_ledger import QuotaLedger, Session
from .replica_id import name_of
from .session_lease import SessionLease


class LeaseManager:
    """The leases of all sessions, as one leader counts them in one term.  Times in microseconds.

    ``may_miss_leases``: this replica may not know of all leases that an earlier leader has granted, as its
    process is new or no other replica can confirm its store; it then grants no quota until those have
    expired.
    """

    def __init__(
        self,
        terms: FleetTerms,
        digest: str,
        fleet: str,
        ledger: QuotaLedger,
        raft: RaftNode,
        now: int,
        may_miss_leases: bool,
    ) -> None:
        self._terms = terms
        self._digest = digest
        self._fleet = fleet
        self._ledger = ledger
        self._raft = raft
        self.term = raft.term
        self._leader = name_of(raft.replica_id)
        self._opening: dict[int, LeaseRequest] = {}  # requests waiting for their session to open, by process
        self._proposals = ProposedCommands(raft)
        self._outbox: list[tuple[str, Message]] = []
        self._notices: list[Notice] = []
        # An earlier leader may have renewed leases until the first entry of this term was committed.
        earlier_leases_end = terms.grantor_lease_end(now)
        self.leases = {
            number: SessionLease(earlier_leases_end, session.gateway)
            for number, session in ledger.sessions.items()
        }
        self._limits = LimitsAgreement(terms, ledger, self.leases, self._proposals, earlier_leases_end)
        self._allocator = QuotaAllocator(
            terms, fleet, ledger, self.leases, self._proposals, self._outbox, now
        )
        if may_miss_leases:
            self._allocator.defer_grants_until(earlier_leases_end)

    def drain_messages(self) -> list[tuple[str, Message]]:
        """Return and remove the pending messages, each with its receiver."""
        messages = list(self._outbox)
        self._outbox.clear()
        return messages

    def drain_notices(self) -> list[Notice]:
        """Return and remove the pending notices."""
        notices, self._notices = self._notices, []
        return notices

    @property
    def next_at(self) -> int:
        """When ``tick`` is due next."""
        expiries = [lease.expires_at + 1 for lease in self.leases.values() if not lease.closing]
        return min([self._allocator.next_at, *expiries])

    # ---- requests ----

    def request(self, now: int, sender: str, request: LeaseRequest) -> None:
        """Process a holder's request.  A lease is renewed once a round that begins later is confirmed."""
        session = self._ledger.session_of_process(request.process)
        if request.terms_digest != self._digest:
            self._respond(sender, request, LeaseStatus.TERMS_DIFFER)
        elif request.fleet == self._fleet and request.last_seen_index > self._raft.log.last_index:
            # This log has lost entries that the holder's allocations rest on.  They are not renewed: the
            # holder drops its session on this response, and opens a new one by this log.
            self._notify(
                "stores_are_old", head=sender, seen=request.last_seen_index, last=self._raft.log.last_index
            )
            self._respond(sender, request, LeaseStatus.UNKNOWN_SESSION)
        elif session is None:
            self._request_without_session(sender, request)
        else:
            self._request_of_session(now, sender, session, request)

    def _request_without_session(self, sender: str, request: LeaseRequest) -> None:
        if request.session:
            self._respond(sender, request, LeaseStatus.UNKNOWN_SESSION)
        elif request.leaving:
            self._respond(sender, request, LeaseStatus.LEFT)
        else:
            self._opening[request.process] = request
            self._proposals.propose_once(OpenSession(sender, request.process, request.store_id))

    def _request_of_session(self, now: int, sender: str, session: Session, request: LeaseRequest) -> None:
        lease = self.leases[session.number]
        if lease.closing:
            return
        if request.leaving:
            self._close(session.number)
            self._notify("session_closed", head=session.gateway, session=session.number)
            self._respond(sender, request, LeaseStatus.LEFT)
            return
        self._record_report(session.number, lease, request)
        if lease.unanswered_request is None or request.number > lease.unanswered_request.number:
            self._await_confirmation(lease, request)

    def _await_confirmation(self, lease: SessionLease, request: LeaseRequest) -> None:
        """Respond to a request once a majority has confirmed that this replica still leads."""
        lease.unanswered_request = request
        lease.confirmation_round = self._raft.request_round()

    def _record_report(self, number: int, lease: SessionLease, request: LeaseRequest) -> None:
        """Record what a request reports: the holder's limits, floor, allocations and demand."""
        lease.max_request = request.max_request
        if request.limits != lease.limits:
            lease.limits = request.limits
            self._limits.propose_agreed()
        self._acknowledge_floor(number, request)
        for held in request.held:
            self._allocator.holding_reported(number, lease, held)
        for demand in request.demands:
            self._allocator.demand_reported(lease, demand)

    def _acknowledge_floor(self, number: int, request: LeaseRequest) -> None:
        """Propose to drop a floor's older limits once its holder reports that it uses newer ones."""
        session = self._ledger.sessions[number]
        slot = self._ledger.floor_slots.get(session.floor_slot)
        if slot is None or request.floor_slot != session.floor_slot:
            return
        if slot.limits_versions[0] < request.floor_version:
            self._proposals.propose_once(AcknowledgeFloor(request.floor_slot, request.floor_version))

    def _respond(self, to: str, request: LeaseRequest, status: LeaseStatus, number: int = 0) -> None:
        ledger = self._ledger
        session = ledger.sessions.get(number)
        response = LeaseResponse(
            process=request.process,
            number=request.number,
            status=status,
            session=number,
            term=self.term,
            leader=self._leader,
            floor_slot=session.floor_slot if session is not None else -1,
            limits_version=ledger.limits_version,
            limits=tuple((plan, *pair) for plan, pair in sorted(ledger.limits.items())),
            fleet=self._fleet,
        )
        self._outbox.append((to, response))

    # ---- the log ----

    def entry_applied(self, now: int, command: Command, done: bool) -> None:
        """Process an entry that the ledger has applied; ``done``: it changed something."""
        match command:
            case OpenSession():
                self._session_opened(now, command)
            case CloseSession():
                self._session_ended(command)
            case AllocateQuota():
                self._allocator.allocation_applied(now, command, done)
            case SetLimits():
                self._limits.limits_applied(now)
                self._limits_changed(command)
            case SettleLimits():
                self._limits_changed(command)
            case AcknowledgeFloor():
                self._proposals.applied(command)
                self._allocator.divide_all_again()

    def _session_opened(self, now: int, command: OpenSession) -> None:
        """Process the opening of a session.

        Its holder has no lease until a request of the session is answered with RENEWED; if that takes longer
        than a lease, the session is closed.
        """
        self._proposals.applied(command)
        session = self._ledger.session_of_process(command.process)
        request = self._opening.pop(command.process, None)
        if session is None or session.number in self.leases:
            return
        lease = SessionLease(self._terms.grantor_lease_end(now), session.gateway)
        self.leases[session.number] = lease
        self._notify("session_opened", head=session.gateway, session=session.number, slot=session.floor_slot)
        if request is not None:
            self._record_report(session.number, lease, request)
            self._await_confirmation(lease, request)

    def _session_ended(self, command: CloseSession) -> None:
        self._proposals.applied(command)
        lease = self.leases.pop(command.session, None)
        if lease is not None:
            self._allocator.divide_again(lease.demands)
        self._allocator.divide_all_again()
        self._limits.propose_agreed()

    def _limits_changed(self, command: SetLimits | SettleLimits) -> None:
        self._proposals.applied(command)
        self._allocator.divide_all_again()
        self._notify("limits_changed", version=self._ledger.limits_version, settled=self._ledger.settled)

    # ---- time ----

    def tick(self, now: int) -> None:
        """Renew leases and close sessions, settle and agree limits, divide quota, and resend due orders."""
        if not self._raft.serving or self._raft.term != self.term:
            return
        self._renew_and_expire(now)
        self._limits.settle_due(now)
        self._limits.propose_agreed()
        self._allocator.divide_due(now)
        self._allocator.resend_unconfirmed(now)

    def _renew_and_expire(self, now: int) -> None:
        """Renew the leases whose requests are confirmed; close the sessions whose leases have expired."""
        confirmed = self._raft.confirmed_round
        for number, lease in self.leases.items():
            request = lease.unanswered_request
            is_confirmed = confirmed >= lease.confirmation_round
            if request is not None and is_confirmed and self._may_renew(now, number, lease):
                lease.unanswered_request = None
                lease.expires_at = self._terms.grantor_lease_end(now)
                self._respond(lease.gateway, request, LeaseStatus.RENEWED, number)
            elif now > lease.expires_at and not lease.closing:
                self._notify("session_expired", head=lease.gateway, session=number)
                self._close(number)

    def _may_renew(self, now: int, number: int, lease: SessionLease) -> bool:
        """Whether a lease may be renewed: not while its session is being closed or a release is overdue.

        A holder that keeps more than a lowered limit allows spends by the old limit: its lease has to expire.
        """
        return not lease.closing and not self._allocator.release_is_overdue(now, number, lease)

    def _close(self, number: int) -> None:
        """Propose to close a session; from here on its lease is not renewed."""
        self.leases[number].closing = True
        self._proposals.propose_once(CloseSession(number))

    # ---- operators' views ----

    def lease_view(self, now: int, number: int) -> dict[str, float | str]:
        """Return for how many seconds a session's lease still counts, and whether it is being closed."""
        lease = self.leases[number]
        seconds = round(max(0, lease.expires_at - now) / 1e6, 2)
        view: dict[str, float | str] = {"counted_s": seconds}
        if lease.closing:
            view["why"] = "its end is being written down"  # the session's closing is not committed yet
        return view

    def demand_view(self, quota_name: str, number: int) -> dict[str, float | str]:
        """Return a session's demand and use of a quota, in units a second, and what its change waits for."""
        return self._allocator.demand_view(quota_name, number)

    def _notify(self, event: str, **fields: NoticeField) -> None:
        self._notices.append(Notice(event, fields))
