"""Measure how fast the work of a tier gets slots through one instance.

Load pattern: more requests wait than slots become free, and tiers get unlike shares of
the slots. What a tier really gets tells how much of it may be promised.
"""

import math
from dataclasses import dataclass

# Time in seconds over which the rate is averaged; some times that for which a slot is
# held, and shorter than a burst.
AVERAGING_SECONDS = 2.0
# A rate that has fallen below this many tokens a second says nothing of the next one.
MIN_RATE = 0.1
# The rate counts over at least this long after the first grant, in seconds.
MIN_COUNTED_SECONDS = 0.5


class GrantRates:
    """Mean rate of granted work by service and tier, with exponential decay.

    The mean is over the time since the first grant while that is short.
    """

    def __init__(self):
        self._rate_by_key: dict[tuple[str, tuple[int, ...]], _Rate] = {}

    def record(self, ticket, now):
        """Count the expected tokens of a request that got a slot, or 1 if unknown."""
        key = ticket.service, ticket.tier
        known = self._rate_by_key.get(key)
        if known is None or known.sum_at(now) < MIN_RATE:
            known = _Rate(0.0, now, now)
        total = known.sum_at(now) + max(1, ticket.tokens) / AVERAGING_SECONDS
        self._rate_by_key[key] = _Rate(total, now, known.started_at)

    def seconds_per_token(self, service, tier, now):
        """Return the seconds in which one token is granted; None if none was lately."""
        known = self._rate_by_key.get((service, tier))
        if known is None or known.sum_at(now) < MIN_RATE:
            return None
        counted = max(MIN_COUNTED_SECONDS, now - known.started_at)
        return (1 - math.exp(-counted / AVERAGING_SECONDS)) / known.sum_at(now)


@dataclass(frozen=True)
class _Rate:
    """Sum of decayed grants at a time, in tokens per second."""

    total: float
    counted_at: float
    started_at: float

    def sum_at(self, now):
        return self.total * math.exp((self.counted_at - now) / AVERAGING_SECONDS)
