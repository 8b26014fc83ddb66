"""Limit the request rate to a cold target across all instances.

Load pattern: a target that has just started handles a few requests per second and
crashes well above that, while all instances of the fleet see it idle.
"""

# Share of the rate bound that one coordinator uses. Two may be active at once, when
# the fleet is partitioned or has just lost the first.
COORDINATOR_SHARE = 0.45
# Requests that a coordinator may send to a target at once.
BURST_REQUESTS = 2.0


class ColdTargetLimiter:
    """Token buckets of one coordinator for its requests to cold targets.

    In any second it sends at most its rate and its burst.

    Parameters
    ----------
    overage, slack : float
        Factor and number of requests per second by which the rate of a target may
        be exceeded.
    """

    def __init__(self, overage, slack):
        self.overage = overage
        self.slack = slack
        # Tokens and the monotonic time at which they were counted.
        self._tokens_by_target: dict[str, tuple[float, float]] = {}

    def may_send(self, target, rate, now):
        """Return whether a request may be sent, without counting it."""
        return self._tokens(target, rate, now) >= 1.0

    def record_sent(self, target, rate, now):
        """Count a request that is sent."""
        self._tokens_by_target[target] = (self._tokens(target, rate, now) - 1.0, now)

    def _tokens(self, target, rate, now):
        bound = rate * self.overage + self.slack
        own_rate = max(0.0, COORDINATOR_SHARE * bound - BURST_REQUESTS)
        tokens, since = self._tokens_by_target.get(target, (BURST_REQUESTS, now))
        return min(BURST_REQUESTS, tokens + (now - since) * own_rate)

    def retain(self, targets):
        """Drop the buckets of all targets except some."""
        for target in self._tokens_by_target.keys() - set(targets):
            del self._tokens_by_target[target]
