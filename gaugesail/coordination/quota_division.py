"""How one quota is divided among the sessions that want it, in whole thousandths.

Where all demand fits, each session gets what it asks for and some headroom, and the rest stays free, so that
demand that rises elsewhere is met at once.  Where it does not fit, it is divided by weighted max-min fairness
(water-filling by priority weight), so that a session that wants little gets it whatever the others want.
Small differences are left as they are, as each change costs a round of messages.  The same claims give the
same division: there is no clock and no state.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

HEADROOM = 1.3  # of the demand, where there is enough
MIN_CHANGE = 0.04  # of the larger of two rates; a smaller difference is left
DIVIDED_BURST = 0.9  # of the burst; the rest lets small changes fit


@dataclass(slots=True, frozen=True)
class QuotaClaim:
    """What one session wants and has.  Rates in thousandths of a unit a second, bursts of a unit."""

    rate: int  # what is asked for there
    priority_weight: int  # of a unit there, in thousandths
    current: tuple[int, int]  # rate and burst
    min_burst: int = 0  # below it, its largest request could never be served


def divide(rate: int, burst: int, claims: Mapping[int, QuotaClaim]) -> dict[int, tuple[int, int]]:
    """The rate and burst of each session that claims some; they sum to at most ``rate`` and ``burst``."""
    divisible_burst = int(burst * DIVIDED_BURST)
    served = _servable(divisible_burst, claims)
    rates = _rates(rate, {number: claim for number, claim in claims.items() if number in served})
    rates = _without_small_changes(rate, rates, claims)
    holders = [number for number, its_rate in rates.items() if its_rate > 0]
    bursts = _bursts(divisible_burst, holders, claims)
    return {number: (rates.get(number, 0), bursts.get(number, 0)) for number in claims}


def _servable(burst: int, claims: Mapping[int, QuotaClaim]) -> set[int]:
    """The sessions whose least burst fits, the most demand by weight first.

    A rate is of no use where the burst is too small for the largest request.
    """
    found = set()
    for number in sorted(claims, key=lambda n: (-claims[n].rate * claims[n].priority_weight, n)):
        claim = claims[number]
        if claim.rate > 0 and claim.min_burst <= burst:
            burst -= claim.min_burst
            found.add(number)
    return found


def _rates(total: int, claims: Mapping[int, QuotaClaim]) -> dict[int, int]:
    """Demand with headroom, or else demand and a share of what is left, or else max-min shares."""
    demand = sum(claim.rate for claim in claims.values())
    generous = {number: int(claim.rate * HEADROOM) for number, claim in claims.items()}
    if sum(generous.values()) <= total:
        return generous
    if demand <= total:
        spare = total - demand
        return {number: claim.rate + spare * claim.rate // demand for number, claim in claims.items()}
    return _max_min(total, claims)


def _max_min(total: int, claims: Mapping[int, QuotaClaim]) -> dict[int, int]:
    """Each gets up to its demand, in proportion to its weight; who asks for least by weight comes first."""
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
    """The rates, with current ones in place of those that hardly differ, as far as the sum allows."""
    kept = {}
    for number, rate in rates.items():
        current = claims[number].current[0]
        close = current > 0 and abs(rate - current) <= MIN_CHANGE * max(rate, current)
        kept[number] = current if close else rate
    return kept if sum(kept.values()) <= total else rates


def _bursts(burst: int, holders: list[int], claims: Mapping[int, QuotaClaim]) -> dict[int, int]:
    """The least burst of each, and an even share of the rest, whatever its rate.

    What a session has saved up is there when its demand rises, and is not lost each time its rate falls.
    """
    spare = burst - sum(claims[number].min_burst for number in holders)
    return {number: claims[number].min_burst + spare // len(holders) for number in holders}
