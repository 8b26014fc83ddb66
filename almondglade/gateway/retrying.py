"""Let requests be retried within the limits of their route and of the retry budget."""

import threading
from typing import Any

from ..log import get_logger

log = get_logger("requests")


class Retries:
    """The part of `GatewayScheduler` that limits retries."""

    retry_budget: Any
    fleet_size: Any
    lock: threading.Lock
    metrics: Any
    clock: Any

    def may_retry(self, request):
        """Return whether a request may be retried; if so, count the retry."""
        if len(request.attempted_targets) >= request.route.max_attempts:
            return False
        with self.lock:
            granted = self.retry_budget.spend(
                request.service, self.fleet_size(), self.clock()
            )
        self.metrics.count(
            "resends_total",
            service=request.service,
            result="sent" if granted else "over budget",
        )
        if not granted:
            log.warning(
                "request not retried: the retry budget is used up",
                request=request.request_id,
                service=request.service,
                instances=self.fleet_size(),
            )
        return granted

    def has_retry_room(self, service):
        """Return whether the retry budget of a service is not used up."""
        with self.lock:
            return self.retry_budget.has_room(service, self.fleet_size(), self.clock())
