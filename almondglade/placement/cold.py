"""Pace the requests to a cold target over all instances.

Load pattern: a target that has just started bears a few requests a second and
crashes well above that, while every instance of the fleet finds it idle.
"""

import math

import xxhash

# Requests that each chosen instance may send at once.
BURST = 1.0
# Share of the bound that is used; the rest covers instances not known yet.
USED_SHARE = 0.8


class ColdPace:
    """Tells whether this instance may send a request to a cold target now.

    In any second an instance sends at most its rate and its burst, so a few
    instances, chosen alike by all, share the bound.

    Parameters
    ----------
    instance : str
        This instance.
    overage, slack : float
        Factor and number by which the target's rate may be exceeded.
    """

    def __init__(self, instance, overage, slack):
        self.instance = instance
        self.overage = overage
        self.slack = slack
        self._tokens_by_target: dict[str, tuple[float, float]] = {}

    def may_send(self, target, rate, instances, now):
        """Tell whether a request may be sent, without counting it."""
        return self._tokens(target, rate, instances, now) >= 1.0

    def sent(self, target, rate, instances, now):
        """Count a request that is sent."""
        tokens = self._tokens(target, rate, instances, now)
        self._tokens_by_target[target] = (tokens - 1.0, now)

    def _tokens(self, target, rate, instances, now):
        own_rate = self._own_rate(target, rate, instances)
        if own_rate <= 0.0:
            return 0.0
        tokens, since = self._tokens_by_target.get(target, (BURST, now))
        return min(BURST, tokens + (now - since) * own_rate)

    def _own_rate(self, target, rate, instances):
        bound = USED_SHARE * (rate * self.overage + self.slack)
        # Each sharer may use its burst and its rate in one second.
        sharers = max(1, min(len(instances), math.floor(bound / (2 * BURST))))
        chosen = sorted(
            instances,
            key=lambda name: xxhash.xxh64_intdigest(f"{name}\0{target}".encode()),
        )[:sharers]
        return bound / sharers - BURST if self.instance in chosen else 0.0

    def forget(self, targets):
        """Drop what is known of all but some targets."""
        for target in self._tokens_by_target.keys() - set(targets):
            del self._tokens_by_target[target]
