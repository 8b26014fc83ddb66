"""Limit and count the second copies of one gateway's requests.

Load pattern: one answer in some dozens comes many times later than the others, as its
target stalls, while other targets have free slots.
"""

from collections import Counter

from ..log import get_logger
from ..placement.hedging import HedgeBudget, HedgeDelays, Withheld
from .calls import FIRST_EVENT_TIMEOUT_OBJECTIVES, MIN_SILENCE_TIMEOUT_SECONDS

log = get_logger("requests")

# How often hedges that were withheld are logged, in seconds.
LOG_SECONDS = 10.0


class Hedging:
    """What the hedges of one gateway share: what was learned, and the limit.

    Parameters
    ----------
    share : float
        Hedges allowed per request of a service, from 0 to 1.
    window : float
        Seconds over which the share is counted.
    scheduler : GatewayScheduler
        Its lock guards the state here.
    """

    def __init__(self, share, window, scheduler):
        self.scheduler = scheduler
        self.budget = HedgeBudget(share, window)
        self.delays = HedgeDelays(share)
        self._withheld: Counter = Counter()
        self._logged_at = scheduler.clock()

    @staticmethod
    def applies_to(request):
        """Return whether a request may have two copies at a time."""
        route = request.route
        return (
            route.idempotent
            and not route.streaming
            and not request.relayed_by
            and route.max_attempts > 1
        )

    def count_request(self, service, now):
        """Count a request of a caller; the caller must hold the lock."""
        self.budget.count_request(service, now)

    def record_first_byte(self, request, seconds):
        """Record how long a first copy took, or for how long it was silent."""
        with self.scheduler.lock:
            self.delays.record(request.route.name, seconds, self.scheduler.clock())

    def delay(self, route):
        """Return the seconds after which an answer is late.

        With too few answers, that is when a silent target would be given up.
        """
        with self.scheduler.lock:
            learned = self.delays.delay(route.name, self.scheduler.clock())
        if learned is not None:
            return learned
        return max(
            MIN_SILENCE_TIMEOUT_SECONDS,
            FIRST_EVENT_TIMEOUT_OBJECTIVES * route.latency_objective,
        )

    def find_target(self, request, attempted):
        """Return the targets that a hedge must avoid, and why to withhold it."""
        scheduler = self.scheduler
        is_suspect = scheduler.suspects.is_suspect(request)
        now = scheduler.clock()
        if is_suspect or scheduler.suspects.isolated_fingerprint(request):
            return frozenset(), Withheld.SUSPECT
        if len(attempted) >= request.route.max_attempts:
            return frozenset(), Withheld.ATTEMPTS
        if now >= request.deadline:
            return frozenset(), Withheld.LATE
        with scheduler.lock:
            if not self.budget.has_room(request.service, now):
                return frozenset(), Withheld.OVER_SHARE
            if not scheduler.retry_budget.has_spare_room(
                request.service, scheduler.fleet_size(), now
            ):
                return frozenset(), Withheld.RETRIES_FIRST
        return scheduler.find_hedge_target(request.service, attempted)

    def spend(self, service):
        """Return whether a hedge is within all limits; if so, count it."""
        scheduler = self.scheduler
        now = scheduler.clock()
        with scheduler.lock:
            is_allowed = self.budget.has_room(
                service, now
            ) and scheduler.retry_budget.spend_spare(
                service, scheduler.fleet_size(), now
            )
            if is_allowed:
                self.budget.record_sent(service, now)
        return is_allowed

    def used_shares(self, now):
        """Return the share in use by service; the caller must hold the lock."""
        return {
            service: self.budget.used_share(service, now)
            for service in self.budget.services()
        }

    def count(self, request, result):
        """Count what became of a hedge."""
        self.scheduler.metrics.count(
            "hedges_total", service=request.service, result=result
        )

    def record_withheld(self, request, withheld):
        """Count a late request without a hedge; log the counts now and then."""
        self.count(request, f"withheld_{withheld.value}")
        now = self.scheduler.clock()
        with self.scheduler.lock:
            self._withheld[withheld.value] += 1
            if now - self._logged_at < LOG_SECONDS:
                return
            counts, self._withheld = self._withheld, Counter()
            seconds, self._logged_at = now - self._logged_at, now
        log.info("hedges withheld", seconds=round(seconds, 1), **counts)
