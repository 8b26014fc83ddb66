"""Measure how fast the requests of a tier get slots through one instance.

Load pattern: more requests wait than slots become free, and tiers get unlike shares of
the slots. What a tier really gets tells how much of it may be promised.
"""

import math

# Time in seconds over which the rate is averaged; some times that for which a slot is
# held, and shorter than a burst.
AVERAGING_SECONDS = 2.0
# A rate that has fallen below this many grants a second says nothing of the next one.
MIN_RATE = 0.1


class GrantRates:
    """Mean rate of grants by service and tier, with exponential decay."""

    def __init__(self):
        self._rate_by_key: dict[tuple[str, tuple[int, ...]], tuple[float, float]] = {}

    def record(self, service, tier, now):
        """Count a request that got a slot."""
        rate = self._rate(service, tier, now) + 1 / AVERAGING_SECONDS
        self._rate_by_key[service, tier] = (rate, now)

    def _rate(self, service, tier, now):
        rate, counted_at = self._rate_by_key.get((service, tier), (0.0, now))
        return rate * math.exp((counted_at - now) / AVERAGING_SECONDS)

    def seconds_per_grant(self, service, tier, now):
        """Return the mean seconds between grants; None if there were none lately."""
        rate = self._rate(service, tier, now)
        return 1 / rate if rate >= MIN_RATE else None
