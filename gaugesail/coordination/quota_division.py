"""Divides one quota among the sessions that demand it, in integer thousandths.

If all demand fits, each session gets its demand and some headroom, and the rest stays free, so that demand
that rises elsewhere is met at once.  Otherwise the rate is divided by weighted max-min fairness
(water-filling by priority weight), so that a session with little demand gets it whatever the others demand.
Small differences are left unchanged, as each change costs a round of messages.  The division depends on the
claims alone: there is no clock and no state.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

HEADROOM = 1.3  # times the demand, if the limit allows it
MIN_CHANGE = 0.04  # of the larger of two rates; a smaller difference is left unchanged
DIVIDED_BURST = 0.9  # of the burst; the rest leaves room for small changes


@dataclass(slots=True, frozen=True)
class QuotaClaim:
    """One session's demand and allocation.  Rates in thousandths of a unit a second, bursts of a unit."""

    rate: int  # its demand
    priority_weight: int  # of one unit, in thousandths
    current: tuple[int, int]  # rate and burst of its allocation
    min_burst: int = 0  # with less its largest request could never be served


def divide(rate: int, burst: int, claims: Mapping[int, QuotaClaim]) -> dict[int, tuple[int, int]]:
    """Return the rate and burst of each claim, by session; they sum to at most ``rate`` and ``burst``."""
    divisible_burst = int(burst * DIVIDED_BURST)
    served = _servable(divisible_burst, claims)
    rates = _rates(rate, {number: claim for number, claim in claims.items() if number in served})
    rates = _without_small_changes(rate, rates, claims)
    holders = [number for number, rate_of_session in rates.items() if rate_of_session > 0]
    bursts = _bursts(divisible_burst, holders, claims)
    return {number: (rates.get(number, 0), bursts.get(number, 0)) for number in claims}


def _servable(burst: int, claims: Mapping[int, QuotaClaim]) -> set[int]:
    """Return the sessions whose minimum burst fits, chosen by weighted demand, the largest first.

    A rate is of no use if the burst is too small for the largest request.
    """
    servable = set()
    for number in sorted(claims, key=lambda n: (-claims[n].rate * claims[n].priority_weight, n)):
        claim = claims[number]
        if claim.rate > 0 and claim.min_burst <= burst:
            burst -= claim.min_burst
            servable.add(number)
    return servable


def _rates(total: int, claims: Mapping[int, QuotaClaim]) -> dict[int, int]:
    """Return demand with headroom, or else demand and a share of the rest, or else max-min shares."""
    demand = sum(claim.rate for claim in claims.values())
    with_headroom = {number: int(claim.rate * HEADROOM) for number, claim in claims.items()}
    if sum(with_headroom.values()) <= total:
        return with_headroom
    if demand <= total:
        spare = total - demand
        return {number: claim.rate + spare * claim.rate // demand for number, claim in claims.items()}
    return _max_min(total, claims)


def _max_min(total: int, claims: Mapping[int, QuotaClaim]) -> dict[int, int]:
    """Return weighted max-min shares: each demand is served up to its share, smallest by weight first."""
    rates: dict[int, int] = {}
    weights = {number: max(1, claim.priority_weight) for number, claim in claims.items()}
    left = total
    weight_left = sum(weights.values())
    for number in sorted(claims, key=lambda n: (claims[n].rate / weights[n], n)):
        weight = weights[number]
        rates[number] = min(claims[number].rate, left * weight // weight_left)
        left -= rates[number]
        weight_left -= weight
    return rates


def _without_small_changes(
    total: int, rates: dict[int, int], claims: Mapping[int, QuotaClaim]
) -> dict[int, int]:
    """Return the rates, but current ones where the change is at most MIN_CHANGE, if their sum allows it."""
    kept = {}
    for number, rate in rates.items():
        current = claims[number].current[0]
        close = current > 0 and abs(rate - current) <= MIN_CHANGE * max(rate, current)
        kept[number] = current if close else rate
    return kept if sum(kept.values()) <= total else rates


def _bursts(burst: int, holders: list[int], claims: Mapping[int, QuotaClaim]) -> dict[int, int]:
    """Return the minimum burst of each holder and an even share of the rest, whatever its rate.

    So a session's savings are available when its demand rises, and are not lost each time its rate falls.
    """
    spare = burst - sum(claims[number].min_burst for number in holders)
    return {number: claims[number].min_burst + spare // len(holders) for number in holders}
