"""Requests that wait, targets' places, and what peers say of both."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..catalogue import TargetRecord
from .cells import Cell
from .health import Health, TargetStats


@dataclass(eq=False)
class Ticket:
    """A request that wants a place at a target of a service.

    Parameters
    ----------
    tier : tuple of int
        Tier of the workspace, then tier of the route; the lowest is served
        first.
    arrived_at : float
        Monotonic time at which it arrived.
    avoid : frozenset of str
        Targets that it was sent to already.
    on_granted : callable
        Called without arguments when it is granted a slot.
    owner, data_centre : str
        Instance at which it waits, and where that runs.
    expected_events : float
        Expected number of events in its stream; 0 if not known.
    deadline : float
        Monotonic time at which its answer must be whole.
    cell_data_centre : str
        Data centre of the cell whose places it wants; empty for all.

    Attributes
    ----------
    target : str or None
        The target whose place it has got.
    coordinator : str
        Instance that is asked for the place.
    requested_at : float
        Monotonic time since which that instance is asked.
    """

    service: str
    tier: tuple[int, ...]
    arrived_at: float
    avoid: frozenset[str] = frozenset()
    on_granted: Callable[[], object] = lambda: None
    owner: str = ""
    data_centre: str = ""
    expected_events: float = 0.0
    deadline: float = float("inf")
    number: int = 0
    target: str | None = None
    coordinator: str = ""
    requested_at: float = 0.0
    deferred_at: float | None = None
    cell_data_centre: str = ""

    @property
    def cell(self):
        """The cell whose places it wants."""
        return Cell(self.service, self.cell_data_centre)

    @property
    def route_tier(self):
        """Tier of the route, the last item of `tier`."""
        return self.tier[-1]

    @property
    def rank(self):
        """Order among the waiting."""
        return (self.tier, self.arrived_at, self.owner, self.number)


@dataclass
class TargetState:
    """A target and what is known to run there.

    Parameters
    ----------
    record : TargetRecord
        As listed.

    Attributes
    ----------
    running_here : int
        Requests of this instance that run there.
    running_by_route_tier : Counter
        The same by route tier.
    fleet_stats : TargetStats
        How it has fared at all instances.
    is_limited : bool
        Whether it only gets single requests, since it is unhealthy and others are not.
    """

    record: TargetRecord
    health: Health = field(default_factory=Health)
    running_here: int = 0
    running_by_route_tier: Counter = field(default_factory=Counter)
    fleet_stats: TargetStats = TargetStats()
    is_limited: bool = False

    def is_unhealthy(self, now):
        """Tell whether it fails often, here or at all instances."""
        return self.health.is_unhealthy(now) or self.fleet_stats.is_unhealthy

    @property
    def slowness(self):
        """Time to the first answer over what is expected; 1 if not known."""
        return self.fleet_stats.slowness or self.health.slowness or 1.0

    def record_start(self, route_tier):
        """Count a request of this instance that got a place."""
        self.running_by_route_tier[route_tier] += 1
        self.running_here += 1

    def record_end(self, route_tier):
        """Return the place of a request of this instance."""
        if self.running_by_route_tier[route_tier] > 0:
            self.running_by_route_tier[route_tier] -= 1
            self.running_here -= 1

    def limit(self):
        """Return the requests that all instances together may run there."""
        return 1 if self.is_limited else self.record.slots


@dataclass(frozen=True)
class PeerLoad:
    """What one peer says that it runs and holds back.

    Parameters
    ----------
    received_at : float
        Monotonic time of its arrival here.
    running_by_target : dict of str to dict of int to int
        Its requests by target and route tier.
    tickets : tuple of Ticket
        Its waiting requests; times are of the clock here.
    confirmed : int
        Newest grant from here that it has received.
    paused : frozenset of str
        Targets that it does not use for now.
    stats_by_target : dict of str to TargetStats or None
        How targets have fared there; None keeps what it told before.
    """

    received_at: float
    running_by_target: dict[str, dict[int, int]]
    tickets: tuple[Ticket, ...] = ()
    confirmed: int = 0
    paused: frozenset[str] = frozenset()
    stats_by_target: dict[str, TargetStats] | None = None


@dataclass(frozen=True)
class UnconfirmedGrant:
    """A place that was granted to a peer and is not confirmed yet."""

    number: int
    target: str
    route_tier: int
    at: float
