"""Limit retries across all instances.

Load pattern: targets abort many requests at once; sending all of them again would
double the load on the remaining targets.
"""

from collections import deque

# Share of the budget that is used; the rest covers an unequal distribution of callers
# over instances.
USED_SHARE = 0.7
# Share of the slack that is used shortly after a restart; together with the former
# incarnation's share it stays within the slack, even if all instances restart.
RESTARTED_SLACK_SHARE = 1.0 - USED_SHARE
# Share of the allowance that hedges leave to retries.
RETRY_RESERVE = 0.5


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
    restarted_at : float
        Monotonic time of a restart of this instance; minus infinity at the first start
        of the fleet. The retries of its former incarnation are not known, but count
        until the window is over.
    """

    def __init__(self, ratio, slack, window, restarted_at=float("-inf")):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.restarted_at = restarted_at
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
        if not self.has_room(service, instances, now):
            return False
        self._retries_by_service[service].append(now)
        return True

    def spend_spare(self, service, instances, now):
        """Return whether a hedge leaves enough for retries; if so, count it."""
        if not self.has_spare_room(service, instances, now):
            return False
        self._retries_by_service[service].append(now)
        return True

    def has_room(self, service, instances, now):
        """Return whether a request might be retried, without counting a retry."""
        allowed = self._allowed(service, instances, now)
        retries = self._recent(self._retries_by_service, service, now)
        return len(retries) + 1 <= allowed

    def has_spare_room(self, service, instances, now):
        """Return whether a hedge would leave a part of the budget to retries."""
        allowed = self._allowed(service, instances, now)
        retries = self._recent(self._retries_by_service, service, now)
        return len(retries) + 1 <= (1.0 - RETRY_RESERVE) * allowed

    def _allowed(self, service, instances, now):
        requests = self._recent(self._requests_by_service, service, now)
        is_restarted = now < self.restarted_at + self.window
        slack_share = RESTARTED_SLACK_SHARE if is_restarted else USED_SHARE
        allowed_by_requests = USED_SHARE * self.ratio * len(requests)
        allowed_by_slack = slack_share * self.slack / max(1, instances)
        return allowed_by_requests + allowed_by_slack

    def _recent(self, times_by_service, service, now):
        times = times_by_service.setdefault(service, deque())
        while times and times[0] <= now - self.window:
            times.popleft()
        return times
