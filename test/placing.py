"""A small model of engines and callers, to replay loads against decisions."""

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
    """Return the record of a target that is ready."""
    return TargetRecord(name, SERVICE, "10.0.0.1", 80, data_centre, slots, **changes)


def make_pools(*records, instance="e1", data_centre="north", others=()):
    """Return the pools of one instance of a fleet."""
    selector = TargetSelector(instance, ColdTargetLimiter(overage=1.5, slack=5.0))
    pools = Pools(instance, data_centre, selector)
    pools.set_targets(records)
    pools.coordinators.instances = sorted({instance, *others})
    return pools


def ticket(tier=(0, 0), arrived_at=0.0, **changes):
    """Return the ticket of a request that arrives."""
    return Ticket(SERVICE, tier, arrived_at, **changes)


@dataclass(frozen=True)
class Kind:
    """A kind of request: how often, how long and how patient.

    Parameters
    ----------
    rate : float
        Requests a second.
    hold : float
        Seconds for which an engine runs one.
    patience : float
        Seconds after which one that waits is refused.
    """

    tier: tuple[int, ...]
    rate: float
    hold: float
    patience: float


@dataclass
class Outcome:
    """What became of the requests of one kind."""

    served: int = 0
    refused: int = 0
    waits: list = field(default_factory=list)

    @property
    def share(self):
        """Share of the requests that were served."""
        return self.served / max(1, self.served + self.refused)


def replay(pools, kinds, seconds):
    """Offer kinds of requests at their rates; return the outcome of each.

    Arrivals are evenly spaced, so that a run repeats exactly.
    """
    numbers = itertools.count()
    events = []
    for index, kind in enumerate(kinds):
        for step in range(int(kind.rate * seconds)):
            at = (step + (index + 1) / (len(kinds) + 1)) / kind.rate
            heapq.heappush(events, (at, next(numbers), "arrive", kind, None))
    outcomes = {kind: Outcome() for kind in kinds}
    kind_by_ticket = {}
    while events:
        now, _, what, kind, entry = heapq.heappop(events)
        if what == "arrive":
            entry = ticket(kind.tier, now)
            kind_by_ticket[entry] = kind
            pools.enqueue(entry, now)
            expiry = (now + kind.patience, next(numbers), "expire", kind, entry)
            heapq.heappush(events, expiry)
        elif what == "expire":
            outcomes[kind].refused += pools.withdraw(entry)
        else:
            pools.release(entry, kind.hold, now)
        for granted, _ in pools.match(now):
            own = kind_by_ticket[granted]
            outcomes[own].served += 1
            outcomes[own].waits.append(now - granted.arrived_at)
            end = (now + own.hold, next(numbers), "end", own, granted)
            heapq.heappush(events, end)
    return outcomes
