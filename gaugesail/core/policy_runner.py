"""Runs the policy: gathers the events of one tick, hands them over together, and carries out its actions."""

from __future__ import annotations

from collections.abc import Callable, Container

from gaugesail.policy.actions import Action, FailRequest
from gaugesail.policy.events import Event, RequestReceived
from gaugesail.policy.gateway import Gateway

from .activity import Activity
from .ports import Clock, DelayedCall


class PolicyRunner:
    """The policy and the events that wait for it.  An exception of the policy never leaves this class."""

    def __init__(
        self,
        gateway: Gateway,
        clock: Clock,
        activity: Activity,
        open_requests: Container[int],
        carry_out: Callable[[Action], None],
    ) -> None:
        self.gateway = gateway
        self.ready = False  # the policy has had its first endpoint list
        self._clock = clock
        self._activity = activity
        self._open_requests = open_requests
        self._carry_out = carry_out
        self._events: list[Event] = []
        self._flush: DelayedCall | None = None
        self._received: list[RequestReceived] = []  # since the sockets were last read
        self._awaiting_read: list[RequestReceived] = []  # received before that
        self._read: DelayedCall | None = None
        self._running = False

    def add(self, event: Event) -> None:
        """Hand an event to the policy at the end of this tick."""
        self._events.append(event)
        if self._flush is None and not self._running:
            self._flush = self._clock.call_later(0, self._run_flush)

    def add_without_run(self, event: Event) -> None:
        """Keep an event for a call of ``run`` that follows."""
        self._events.append(event)

    def add_request(self, event: RequestReceived) -> None:
        """Hand a new request to the policy once all sockets have been read.

        The end of its connection may have come together with it.  Whatever else makes the policy run before,
        the request waits; one pass over the sockets serves all requests received since the one before.
        """
        self._received.append(event)
        if self._read is None:
            self._read = self._clock.call_later(0, self._sockets_read)

    def run(self) -> None:
        """Give the policy what has come in and carry out its actions.  Never raises, never nests."""
        if self._running or not self.ready:
            return  # the loop below takes what was just added, the first list what came before it
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
        except Exception as error:  # a fault of the policy must not end the gateway or lose requests
            self._activity.log.error("policy_raised", error=repr(error), events=len(events))
            self._activity.counts["policy_raised"] += 1
            return [FailRequest(event.request_id) for event in events if isinstance(event, RequestReceived)]

    def _carry_out_safely(self, action: Action) -> None:
        try:
            self._carry_out(action)
        except Exception as error:  # one bad action must not take the rest with it
            self._activity.log.error("action_raised", action=repr(action), error=repr(error))
            self._activity.counts["action_raised"] += 1

    def _sockets_read(self) -> None:
        """The sockets are read between two calls of this."""
        ready = self._awaiting_read
        self._awaiting_read = self._received
        self._received = []
        self._read = self._clock.call_later(0, self._sockets_read) if self._awaiting_read else None
        # The policy never hears of a request that has ended meanwhile.
        self._events += [event for event in ready if event.request_id in self._open_requests]
        self.run()

    def _run_flush(self) -> None:
        self._flush = None
        self.run()
