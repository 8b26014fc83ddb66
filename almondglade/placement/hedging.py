"""Decide when a request that may be repeated is sent to a second target.

Load pattern: most answers of a service come soon, but a few come many times later, as a
target stalls for a moment, while others have free slots. Callers wait for the slowest.
A second copy of those few requests costs a small share of work. At full load there is
no room for it: it would make the others wait.
"""

import math
from collections import deque
from enum import Enum

# A route's delay is at least this quantile of its times to the first byte, so that at
# most one request in twenty has a second copy, however large the share is.
MIN_QUANTILE = 0.95
# Number of newest times that count for a route, and their largest age in seconds.
MAX_TIMES = 512
MAX_TIME_AGE_SECONDS = 60.0
# Fewest times from which a delay is learned: five are above the lowest quantile.
MIN_TIMES = 100
# Seconds for which a learned delay stays in force, as all times are sorted for it.
DELAY_VALIDITY_SECONDS = 0.5
# Most targets that a hedge excludes; all of them stand in its request for a slot.
MAX_EXCLUDED_TARGETS = 8


class Withheld(Enum):
    """Why a request has no second copy."""

    SUSPECT = "suspect"
    ATTEMPTS = "attempts"
    LATE = "late"
    OVER_CAPACITY = "over_capacity"
    NO_TARGET = "no_target"
    OVER_SHARE = "over_share"
    RETRIES_FIRST = "retries_first"


class HedgeBudget:
    """Hedges allowed within a sliding window, as a share of each service's requests.

    Each instance uses the share of its own requests alone, so that the sum holds for
    the whole fleet without messages. As each hedge needs requests before it in the
    window, it can be matched with requests that no other hedge is matched with.

    Parameters
    ----------
    share : float
        Hedges allowed per request, from 0 to 1.
    window : float
        Length of the window in seconds.
    """

    def __init__(self, share, window):
        self.share = share
        self.window = window
        self._requests_by_service: dict[str, deque[float]] = {}
        self._hedges_by_service: dict[str, deque[float]] = {}

    def count_request(self, service, now):
        """Count a request of a caller at this instance."""
        self._recent(self._requests_by_service, service, now).append(now)

    def has_room(self, service, now):
        """Return whether another hedge is within the share."""
        requests = self._recent(self._requests_by_service, service, now)
        hedges = self._recent(self._hedges_by_service, service, now)
        return len(hedges) + 1 <= self.share * len(requests)

    def record_sent(self, service, now):
        """Count a hedge."""
        self._recent(self._hedges_by_service, service, now).append(now)

    def used_share(self, service, now):
        """Return the hedges of the window per request; 0 without requests."""
        requests = self._recent(self._requests_by_service, service, now)
        hedges = self._recent(self._hedges_by_service, service, now)
        return len(hedges) / len(requests) if requests else 0.0

    def services(self):
        """Return the services that had requests."""
        return sorted(self._requests_by_service)

    def _recent(self, times_by_service, service, now):
        times = times_by_service.setdefault(service, deque())
        while times and times[0] <= now - self.window:
            times.popleft()
        return times


class HedgeDelays:
    """Learns by route how long an answer takes that is slower than most.

    Parameters
    ----------
    share : float
        Hedges allowed per request; the slowest requests are to get them.
    """

    def __init__(self, share):
        self.quantile = max(MIN_QUANTILE, 1.0 - share)
        self._times_by_route: dict[str, deque[tuple[float, float]]] = {}
        self._delay_by_route: dict[str, tuple[float, float | None]] = {}

    def record(self, route, seconds, now):
        """Record the time to the first byte of a first copy.

        One that was ended for its hedge counts with the time until then. That is above
        the quantile as well, so that hedges do not lower what is learned.
        """
        times = self._times_by_route.setdefault(route, deque(maxlen=MAX_TIMES))
        times.append((now, seconds))

    def delay(self, route, now):
        """Return the delay of a route in seconds, or None with too few times."""
        learned_at, delay = self._delay_by_route.get(route, (-math.inf, None))
        if now - learned_at < DELAY_VALIDITY_SECONDS:
            return delay
        delay = self._learn(route, now)
        self._delay_by_route[route] = (now, delay)
        return delay

    def _learn(self, route, now):
        times = sorted(
            seconds
            for at, seconds in self._times_by_route.get(route, ())
            if now - at <= MAX_TIME_AGE_SECONDS
        )
        if len(times) < MIN_TIMES:
            return None
        return times[min(len(times) - 1, math.ceil(self.quantile * len(times)) - 1)]


def is_excluded(state, obstacle, now):
    """Return whether a target gets no hedge, whatever room it has.

    Parameters
    ----------
    state : TargetState
    obstacle : Obstacle or None
        What keeps requests of this instance from it.
    """
    return (
        obstacle is not None
        or now < state.record.cold_until
        or state.room.is_limited
        or state.named_rate.is_limited
        or state.is_limited
    )


def find_target(pools, service, attempted, now):
    """Return what a hedge must avoid if it may run now, and else why it may not.

    Parameters
    ----------
    pools : Pools
    attempted : collection of str
        Targets that the request was sent to.

    Returns
    -------
    excluded : frozenset of str
        Targets that the hedge must not get, the attempted ones among them.
    withheld : Withheld or None
    """
    targets = pools.targets
    cells = targets.cells.for_service(service)
    if pools.tickets_by_service.get(service) or any(
        pools.fleet.waiting_tickets(cell) for cell in cells
    ):
        return frozenset(), Withheld.OVER_CAPACITY
    state_by_target = {
        state.record.id: state for cell in cells for state in targets.usable(cell, now)
    }
    others = state_by_target.keys() - set(attempted)
    excluded = {
        name
        for name in others
        if is_excluded(
            state_by_target[name], targets.obstacle(state_by_target[name], now), now
        )
    }
    candidates = others - excluded
    if not candidates or len(excluded) > MAX_EXCLUDED_TARGETS:
        return frozenset(), Withheld.NO_TARGET
    if targets.free_slots(state_by_target[name] for name in candidates) < 1:
        return frozenset(), Withheld.OVER_CAPACITY
    return frozenset(attempted) | excluded, None
