"""Records what nodes and clients observe, and evaluates it; reports of the gateways are not used."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class Operation:
    """One operation of a client, from when it falls due until it is served, with all retries.

    ``value`` is the price of its units; ``kind`` names the behaviour of the client.
    """

    due: float
    plan: str
    kind: str
    node: int
    value: float
    in_time: bool = False


@dataclass(slots=True)
class SlowStartWindow:
    """The units sent to one node within the overload window, relative to what the settings allow.

    ``span_s`` is the length of the window, ``peak`` the largest ratio so far.
    """

    span_s: float
    sent: deque[tuple[float, float]] = field(default_factory=deque)
    units: float = 0.0
    peak: float = 0.0

    def add(self, now: float, units: float, allowed: float) -> None:
        """Record units that were sent at a time when ``allowed`` units may be sent within the window."""
        self.sent.append((now, units))
        self.units += units
        while self.sent[0][0] <= now - self.span_s:
            self.units -= self.sent.popleft()[1]
        self.peak = max(self.peak, self.units / allowed)


class Observer:
    """Counts responses, attempts and violations, under the names that ``gaugesail measure storm`` prints."""

    def __init__(self) -> None:
        self.operations: list[Operation] = []
        self.counts: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()  # by request id
        self.retries: list[tuple[float, str]] = []  # (time of sending, kind of client)
        self._pending: Counter[str] = Counter()

    # ---- at the nodes ----

    def sent(self, request_id: str) -> None:
        """Record that an attempt of a request reached a node."""
        self.attempts[request_id] += 1
        self._pending[request_id] += 1
        if self._pending[request_id] > 1:
            self.counts["two_out"] += 1

    def ended(self, request_id: str) -> None:
        """Record that an attempt ended: its response was sent, or its connection closed."""
        self._pending[request_id] -= 1
        if not self._pending[request_id]:
            del self._pending[request_id]

    @property
    def max_attempts(self) -> int:
        """The largest number of attempts of one request."""
        return max(self.attempts.values(), default=0)

    # ---- figures ----

    def service(self, since: float, until: float, node: int | None = None, **fields: str) -> float | None:
        """Return the value served in time as a share of the value due, of operations that fell due in a span.

        ``fields`` restricts them to those whose attributes have these values.  None if there are none.
        """
        due = served = 0.0
        for operation in self.operations:
            if not since <= operation.due < until or (node is not None and operation.node != node):
                continue
            if all(getattr(operation, name) == value for name, value in fields.items()):
                due += operation.value
                served += operation.value * operation.in_time
        return served / due if due else None

    def burst(self, since: float, until: float, kinds: set[str], bin_s: float = 0.1) -> float | None:
        """Return the number of retries in the busiest bin of ``bin_s`` seconds over the mean of all bins.

        None if the mean is under one.
        """
        times = [at for at, kind in self.retries if since <= at < until and kind in kinds]
        bin_count = max(1, round((until - since) / bin_s))
        if len(times) < bin_count:
            return None
        return max(Counter(int((at - since) / bin_s) for at in times).values()) / (len(times) / bin_count)
