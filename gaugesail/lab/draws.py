"""Random numbers: one numpy stream for each party, so that adding a party changes no other's draws."""

from __future__ import annotations

import zlib

import numpy as np


def stream(seed: int, *party: str | int) -> np.random.Generator:
    """Return the random stream of a party, by the experiment's seed and the parts of the party's name."""
    key = [zlib.crc32(part.encode()) if isinstance(part, str) else part for part in party]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, *key])))


def lognormal(rng: np.random.Generator, mean: float, cv: float) -> float:
    """Draw log-normally, with this mean and coefficient of variation (standard deviation over mean)."""
    if cv <= 0:
        return mean
    sigma2 = float(np.log1p(cv * cv))
    return float(rng.lognormal(np.log(mean) - sigma2 / 2, np.sqrt(sigma2)))
