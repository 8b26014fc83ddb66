"""Bound repeated dispatches over all instances.

Load pattern: targets break off many requests at once; sending all of them
again would double the load on those that are left.
"""

from collections import deque

# Share of the budget that is used; the rest covers unequal shares of callers.
USED_SHARE = 0.7


class RetryBudget:
    """Dispatches that may be repeated in a sliding window, for each service.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed by all instances on top.
    window : float
        Seconds.
    """

    def __init__(self, ratio, slack, window):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self._requests_by_service: dict[str, deque[float]] = {}
        self._resends_by_service: dict[str, deque[float]] = {}

    def count_request(self, service, now):
        """Count a caller's request."""
        self._requests_by_service.setdefault(service, deque()).append(now)

    def spend(self, service, instances, now):
        """Tell whether a request may be sent once more, and count it.

        Parameters
        ----------
        instances : int
            Instances that share the budget.
        """
        requests = self._recent(self._requests_by_service, service, now)
        resends = self._recent(self._resends_by_service, service, now)
        allowed = self.ratio * len(requests) + self.slack / max(1, instances)
        if len(resends) + 1 > USED_SHARE * allowed:
            return False
        resends.append(now)
        return True

    def _recent(self, times_by_service, service, now):
        times = times_by_service.setdefault(service, deque())
        while times and times[0] <= now - self.window:
            times.popleft()
        return times
