"""How long a connection to a node rests after an answer before the next request is written on it.

A node may send a second answer some milliseconds after the first.  On a resting connection it is recognized,
as no answer is due.  If it crosses the next request on its way, it cannot be told from the answer to that
request, as answers name no request.  So connections rest long until a node has shown that it sends none.
"""

from __future__ import annotations

LONG_REST_US = 50_000  # several times the "some milliseconds" after which a second answer may come
SHORT_REST_US = 5_000
MAX_DELAY_US = 1_000_000  # later bytes are no second answer, but for example the notice of a close
REST_FACTOR = 3  # times the longest delay of surplus bytes that was seen
# Without surplus bytes, before the rest is short; a share of 5 % is found before at all but 1 % of nodes.
FIRST_CLEAN_ANSWERS = 100
CLEAN_ANSWERS_AFTER_SURPLUS = 1_000
CLEAN_AFTER_SURPLUS_US = 60_000_000


class SettleTime:
    """The rest of the connections to one node.  All times are microseconds."""

    def __init__(self) -> None:
        self._clean_answers_left = FIRST_CLEAN_ANSWERS
        self._long_until_us = 0
        self._longest_delay_us = 0

    def rest_us(self, now_us: int) -> int:
        """Return how long a connection rests whose answer ends now."""
        if self._may_send_surplus(now_us):
            return max(LONG_REST_US, REST_FACTOR * self._longest_delay_us)
        return SHORT_REST_US

    def _may_send_surplus(self, now_us: int) -> bool:
        return self._clean_answers_left > 0 or now_us < self._long_until_us

    def rested(self) -> None:
        """Note that a connection has rested without surplus bytes."""
        self._clean_answers_left = max(0, self._clean_answers_left - 1)

    def surplus(self, now_us: int, delay_us: int) -> None:
        """Note bytes that answer no request, ``delay_us`` after the end of the answer before."""
        if delay_us > MAX_DELAY_US:
            return
        longest_before_us = self._longest_delay_us if self._may_send_surplus(now_us) else 0
        self._clean_answers_left = CLEAN_ANSWERS_AFTER_SURPLUS
        self._long_until_us = now_us + CLEAN_AFTER_SURPLUS_US
        self._longest_delay_us = max(longest_before_us, delay_us)
