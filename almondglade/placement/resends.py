"""Limit retries across all instances.

Load pattern: targets abort many requests at once; sending all of them again would
double the load on the remaining targets.
"""

from collections import deque

# Share of the budget that is used; the rest covers an unequal distribution of callers
# over instances.
USED_SHARE = 0.7


class RetryBudget:
    """Retries allowed within a sliding window, for each service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries allowed in the window, shared by all instances.
    window : float
        Length of the window in seconds.
    """

    def __init__(self, ratio, slack, window):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self._requests_by_service: dict[str, deque[float]] = {}
        self._retries_by_service: dict[str, deque[float]] = {}

    def count_request(self, service, now):
        """Count a request of a caller, not a retry."""
        self._requests_by_service.setdefault(service, deque()).append(now)

    def spend(self, service, instances, now):
        """Return whether a request may be retried; if so, count the retry.

        Parameters
        ----------
        instances : int
            Instances that share the budget.
        """
        requests = self._recent(self._requests_by_service, service, now)
        retries = self._recent(self._retries_by_service, service, now)
        allowed = self.ratio * len(requests) + self.slack / max(1, instances)
        if len(retries) + 1 > USED_SHARE * allowed:
            return False
        retries.append(now)
        return True

    def _recent(self, times_by_service, service, now):
        times = times_by_service.setdefault(service, deque())
        while times and times[0] <= now - self.window:
            times.popleft()
        return times
