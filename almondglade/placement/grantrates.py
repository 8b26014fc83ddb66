"""Measure how fast the work of a tier gets slots through one instance.

Load pattern: more requests wait than slots become free, and tiers get unlike shares of
the slots. What a tier really gets tells how much of it may be promised.
"""

import math

# Time in seconds over which the rate is averaged; some times that for which a slot is
# held, and shorter than a burst.
AVERAGING_SECONDS = 2.0
# A rate that has fallen below this many tokens a second says nothing of the next one.
MIN_RATE = 0.1


class GrantRates:
    """Mean rate of granted work by service and tier, with exponential decay."""

    def __init__(self):
        self._rate_by_key: dict[tuple[str, tuple[int, ...]], tuple[float, float]] = {}

    def record(self, ticket, now):
        """Count the expected tokens of a request that got a slot, or 1 if unknown."""
        service, tier = ticket.service, ticket.tier
        work = max(1, ticket.tokens)
        rate = self._rate(service, tier, now) + work / AVERAGING_SECONDS
        self._rate_by_key[service, tier] = (rate, now)

    def _rate(self, service, tier, now):
        rate, counted_at = self._rate_by_key.get((service, tier), (0.0, now))
        return rate * math.exp((counted_at - now) / AVERAGING_SECONDS)

    def seconds_per_token(self, service, tier, now):
        """Return the seconds in which one token is granted; None if none was lately."""
        rate = self._rate(service, tier, now)
        return 1 / rate if rate >= MIN_RATE else None
