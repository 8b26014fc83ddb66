"""Pace the requests to a cold target over all instances.

Load pattern: a target that has just started bears a few requests a second and
crashes well above that, while it is the one that the whole fleet finds idle.
"""

# Share of the bound that one coordinator uses. Two may be at work at once, when
# the fleet is parted or has just lost the first.
COORDINATOR_SHARE = 0.45
# Requests that it may send at once.
BURST = 2.0


class ColdPace:
    """Tells whether a coordinator may send a request to a cold target now.

    In any second it sends at most its rate and its burst.

    Parameters
    ----------
    overage, slack : float
        Factor and number by which the target's rate may be exceeded.
    """

    def __init__(self, overage, slack):
        self.overage = overage
        self.slack = slack
        self._tokens_by_target: dict[str, tuple[float, float]] = {}

    def may_send(self, target, rate, now):
        """Tell whether a request may be sent, without counting it."""
        return self._tokens(target, rate, now) >= 1.0

    def sent(self, target, rate, now):
        """Count a request that is sent."""
        self._tokens_by_target[target] = (self._tokens(target, rate, now) - 1.0, now)

    def _tokens(self, target, rate, now):
        bound = rate * self.overage + self.slack
        own_rate = max(0.0, COORDINATOR_SHARE * bound - BURST)
        tokens, since = self._tokens_by_target.get(target, (BURST, now))
        return min(BURST, tokens + (now - since) * own_rate)

    def forget(self, targets):
        """Drop what is known of all but some targets."""
        for target in self._tokens_by_target.keys() - set(targets):
            del self._tokens_by_target[target]
