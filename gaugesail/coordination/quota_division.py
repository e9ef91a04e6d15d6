"""Who should have how much of one amount: after demand and worth, in whole thousandths.

Where all that is wanted fits, each head has what it asks for and some more, and the rest is kept free, so
that what rises elsewhere is met at once.  Where it does not fit, it is filled up evenly by worth (max-min,
weighted), so that nobody who wants little gets less for others wanting much.  Small differences are left as
they are: what sloshes costs more than it brings.  No time, no state; the same claims give the same parts.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

HEADROOM = 1.3  # of what is asked for, where there is enough
STILL = 0.04  # of the larger of two rates: less is no reason to change
KEPT_BURST = 0.9  # of the burst: what is dealt out, so that small changes find room


@dataclass(slots=True, frozen=True)
class QuotaClaim:
    """What one session wants and has.  Rates in thousandths of a unit a second, bursts of a unit."""

    rate: int  # what is asked for there
    priority_weight: int  # of a unit there
    current: tuple[int, int]
    min_burst: int = 0  # the least burst without which its largest request could never go


def divide(rate: int, burst: int, claims: Mapping[int, QuotaClaim]) -> dict[int, tuple[int, int]]:
    """The parts of all who claim something, by session; they sum to at most ``rate`` and ``burst``."""
    fit = _fit(burst, claims)
    rates = _rates(rate, {n: claim for n, claim in claims.items() if n in fit})
    rates = _keep_still(rate, rates, claims)
    bursts = _bursts(int(burst * KEPT_BURST), [n for n, much in rates.items() if much > 0], claims)
    return {n: (rates.get(n, 0), bursts.get(n, 0)) for n in claims}


def _fit(burst: int, claims: Mapping[int, QuotaClaim]) -> set[int]:
    """Those whose least burst fits, the most worth first: a part that can never be used helps nobody."""
    room = int(burst * KEPT_BURST)
    found = set()
    order = sorted(claims, key=lambda n: (-claims[n].rate * claims[n].priority_weight, n))
    for number in order:
        claim = claims[number]
        if claim.rate > 0 and claim.min_burst <= room:
            room -= claim.min_burst
            found.add(number)
    return found


def _rates(whole: int, claims: Mapping[int, QuotaClaim]) -> dict[int, int]:
    asked = sum(claim.rate for claim in claims.values())
    wants = {n: int(claim.rate * HEADROOM) for n, claim in claims.items()}
    if sum(wants.values()) <= whole:
        return wants
    if asked <= whole:  # what is asked for, and an even share of what is left
        spare = whole - asked
        return {n: claim.rate + spare * claim.rate // asked for n, claim in claims.items()}
    return _fill(whole, claims)


def _fill(whole: int, claims: Mapping[int, QuotaClaim]) -> dict[int, int]:
    """Water-filling: each gets up to what it asks for, in proportion to worth."""
    found: dict[int, int] = {}
    left, weight = whole, sum(max(1, claim.priority_weight) for claim in claims.values())
    # Who asks for least, by its weight, is satisfied first.
    for number in sorted(claims, key=lambda n: (claims[n].rate / max(1, claims[n].priority_weight), n)):
        claim = claims[number]
        mine = max(1, claim.priority_weight)
        found[number] = min(claim.rate, left * mine // weight)
        left, weight = left - found[number], weight - mine
    return found


def _keep_still(whole: int, rates: dict[int, int], claims: Mapping[int, QuotaClaim]) -> dict[int, int]:
    """Leave small differences, as far as the sum allows; who has too little for what it asks is not small."""
    kept = {}
    for number, fresh in rates.items():
        has = claims[number].current[0]
        close = has > 0 and abs(fresh - has) <= STILL * max(fresh, has)
        kept[number] = has if close else fresh
    return kept if sum(kept.values()) <= whole else rates


def _bursts(burst: int, holders: list[int], claims: Mapping[int, QuotaClaim]) -> dict[int, int]:
    """The least that each needs, and of the rest an even part, whatever its rate: what a head has saved up is
    there when its demand rises, and is not lost each time that its rate falls."""
    spare = burst - sum(claims[n].min_burst for n in holders)
    return {n: claims[n].min_burst + spare // len(holders) for n in holders}
