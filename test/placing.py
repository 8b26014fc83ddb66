"""A small simulation of targets and callers that replays workloads on `Pools`."""

import heapq
import itertools
from dataclasses import dataclass, field

from almondglade.catalogue import TargetRecord
from almondglade.placement.choice import TargetSelector
from almondglade.placement.cold import ColdTargetLimiter
from almondglade.placement.places import Ticket
from almondglade.placement.pool import Pools

SERVICE = "drafts"


def record(name, data_centre="north", slots=6, **changes):
    """Return the record of a ready target."""
    return TargetRecord(name, SERVICE, "10.0.0.1", 80, data_centre, slots, **changes)


def make_pools(*records, instance="e1", data_centre="north", others=()):
    """Return the `Pools` of one instance of a fleet."""
    selector = TargetSelector(instance, ColdTargetLimiter(overage=1.5, slack=5.0))
    pools = Pools(instance, data_centre, selector)
    pools.set_targets(records)
    pools.coordinators.instances = sorted({instance, *others})
    return pools


def ticket(tier=(0, 0), arrived_at=0.0, **changes):
    """Return the ticket of a new request."""
    return Ticket(SERVICE, tier, arrived_at, **changes)


@dataclass(frozen=True)
class Workload:
    """A stream of similar requests.

    Parameters
    ----------
    rate : float
        Requests per second.
    hold_seconds : float
        Time for which a target runs one request.
    max_wait_seconds : float
        Time after which a waiting request is refused.
    """

    tier: tuple[int, ...]
    rate: float
    hold_seconds: float
    max_wait_seconds: float


@dataclass
class Outcome:
    """Counts and waits of the requests of one workload."""

    served: int = 0
    refused: int = 0
    waits: list = field(default_factory=list)

    @property
    def share(self):
        """Share of the requests that were served."""
        return self.served / max(1, self.served + self.refused)


def replay(pools, workloads, seconds, start_by=lambda now: float("inf")):
    """Send the requests of workloads at their rates; return the outcome of each.

    Arrivals are evenly spaced, so that each run is the same.

    Parameters
    ----------
    start_by : callable
        Takes the time at which a request arrives and returns by when it must be sent.
    """
    numbers = itertools.count()
    events = []
    for index, workload in enumerate(workloads):
        for step in range(int(workload.rate * seconds)):
            at = (step + (index + 1) / (len(workloads) + 1)) / workload.rate
            heapq.heappush(events, (at, next(numbers), "arrive", workload, None))
    outcomes = {workload: Outcome() for workload in workloads}
    workload_by_ticket = {}
    while events:
        now, _, event, workload, entry = heapq.heappop(events)
        if event == "arrive":
            entry = ticket(workload.tier, now, start_by=start_by(now))
            workload_by_ticket[entry] = workload
            pools.enqueue(entry, now)
            expiry = (
                now + workload.max_wait_seconds,
                next(numbers),
                "expire",
                workload,
                entry,
            )
            heapq.heappush(events, expiry)
        elif event == "expire":
            outcomes[workload].refused += pools.withdraw(entry)
        else:
            pools.release(entry, workload.hold_seconds, now)
        for granted, _ in pools.match(now):
            own = workload_by_ticket[granted]
            outcomes[own].served += 1
            outcomes[own].waits.append(now - granted.arrived_at)
            end = (now + own.hold_seconds, next(numbers), "end", own, granted)
            heapq.heappush(events, end)
    return outcomes
