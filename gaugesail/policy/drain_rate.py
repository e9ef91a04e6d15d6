"""How fast the queue of one shard is worked off, measured while requests wait."""

from __future__ import annotations

from dataclasses import dataclass

GAIN = 0.25  # weight of the latest control period


@dataclass(slots=True, eq=False)
class DrainRate:
    """The requests that leave a queue for the node, a second; 0: it was not filled for a whole period."""

    per_s: float = 0.0
    beyond_reserve_per_s: float = 0.0  # the part of it that is beyond the reserves of volumes
    _sent: int = 0  # in this control period
    _sent_beyond_reserve: int = 0

    def record_sent(self, is_beyond_reserve: bool) -> None:
        """Count an attempt that starts."""
        self._sent += 1
        self._sent_beyond_reserve += is_beyond_reserve

    def end_period(self, span_s: float, is_filled: bool, expected_per_s: float) -> None:
        """End a control period of ``span_s`` seconds.

        :param is_filled: whether requests were waiting at its start and at its end.
        :param expected_per_s: the rate by Little's law, as long as none is measured; 0: unknown.
        """
        if is_filled:
            self.per_s = self.per_s or expected_per_s
            self.beyond_reserve_per_s = self.beyond_reserve_per_s or self.per_s
            self.per_s += GAIN * (self._sent / span_s - self.per_s)
            beyond_reserve = self._sent_beyond_reserve / span_s
            self.beyond_reserve_per_s += GAIN * (beyond_reserve - self.beyond_reserve_per_s)
        else:
            self.per_s = self.beyond_reserve_per_s = 0.0
        self._sent = self._sent_beyond_reserve = 0
