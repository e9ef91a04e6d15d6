"""Runs the policy: passes it the events of one reactor tick together, and carries out its actions."""

from __future__ import annotations

from collections.abc import Callable, Container

from gaugesail.policy.actions import Action, FailRequest
from gaugesail.policy.events import Event, RequestReceived
from gaugesail.policy.gateway import Gateway

from .activity import Activity
from .arrival_order import ArrivalOrder, ReadEvent
from .ports import Clock, DelayedCall


class PolicyRunner:
    """Owns the policy and its pending events; an exception in the policy never leaves this class."""

    def __init__(
        self,
        gateway: Gateway,
        clock: Clock,
        activity: Activity,
        open_requests: Container[int],
        carry_out: Callable[[Action], None],
    ) -> None:
        self.gateway = gateway
        self.arrival_order = ArrivalOrder()
        self.started = False  # the engine was started with the last known endpoint list
        self._clock = clock
        self._activity = activity
        self._open_requests = open_requests
        self._carry_out = carry_out
        self._events: list[Event] = []
        self._flush: DelayedCall | None = None
        self._received: list[ReadEvent] = []  # since the latest pass over the sockets
        self._awaiting_read: list[ReadEvent] = []  # received before that pass
        self._read: DelayedCall | None = None
        self._running = False

    @property
    def now_us(self) -> int:
        """The present time, in microseconds of the clock that the policy is run by."""
        return self._clock.now_us()

    def add(self, event: Event) -> None:
        """Pass an event to the policy at the end of this tick."""
        self._events.append(event)
        if self._flush is None and not self._running:
            self._flush = self._clock.call_later(0, self._run_flush)

    def add_without_run(self, event: Event) -> None:
        """Add an event without scheduling a run; the caller calls ``run`` afterwards."""
        self._events.append(event)

    def add_when_read(self, event: ReadEvent) -> None:
        """Pass a new request, or a claim of the sibling process, to the policy once all sockets are read.

        The end of a request's connection may have arrived together with it, and requests of an earlier
        arrival together with a claim.  Runs of the policy before that do not include the event; one pass over
        the sockets covers all events received since the last.
        """
        self._received.append(event)
        if self._read is None:
            self._read = self._clock.call_later(0, self._sockets_read)

    def run_with(self, event: Event) -> None:
        """Pass an event to the policy at once, with those that are pending."""
        self.add_without_run(event)
        self.run()

    def run(self) -> None:
        """Pass the pending events to the policy and carry out its actions; never raises and never nests."""
        if self._running or not self.started:
            return  # the outer call schedules a flush; the first endpoint list runs the policy
        self._running = True
        try:
            if self._events:
                events = self._events
                self._events = []
                for action in self._decide(events):
                    self._carry_out_safely(action)
        finally:
            self._running = False
        if self._events and self._flush is None:
            self._flush = self._clock.call_later(0, self._run_flush)

    def _decide(self, events: list[Event]) -> list[Action]:
        try:
            return self.gateway.handle(self._clock.now_us(), events)
        except Exception as error:  # a fault of the policy must not stop the gateway or lose requests
            self._activity.log.error("policy_raised", error=repr(error), events=len(events))
            self._activity.counts["policy_raised"] += 1
            return [FailRequest(event.request_id) for event in events if isinstance(event, RequestReceived)]

    def _carry_out_safely(self, action: Action) -> None:
        try:
            self._carry_out(action)
        except Exception as error:  # one failed action must not prevent the others
            self._activity.log.error("action_raised", action=repr(action), error=repr(error))
            self._activity.counts["action_raised"] += 1

    def _sockets_read(self) -> None:
        """Release the requests that were received before the latest pass over the sockets.

        The reactor reads the sockets between two calls of this method.
        """
        ready, held = self.arrival_order.pass_completed(self._awaiting_read, self._received)
        self._awaiting_read = held + self._received
        self._received = []
        self._read = self._clock.call_later(0, self._sockets_read) if self._awaiting_read else None
        # Requests that have ended meanwhile never reach the policy.
        self._events += [
            event
            for event in ready
            if not isinstance(event, RequestReceived) or event.request_id in self._open_requests
        ]
        self.run()

    def _run_flush(self) -> None:
        self._flush = None
        self.run()
