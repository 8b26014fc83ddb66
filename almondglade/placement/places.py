"""Waiting requests, the state of targets, and the load that peers report."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..catalogue import TargetRecord
from .brittle import TargetRoom
from .cells import Cell
from .health import Health, TargetStats
from .moments import Moment
from .ratelimits import NamedRate


@dataclass(eq=False)
class Ticket:
    """A request that needs a slot on a target of a service.

    Parameters
    ----------
    tier : tuple of int
        Tier of the workspace, then tier of the route; the lowest is served
        first.
    arrived_at : float
        Monotonic time at which the request arrived.
    attempted_targets : frozenset of str
        Targets to which it has been sent already.
    on_granted : callable
        Called without arguments when it is granted a slot.
    owner, data_centre : str
        Instance that received the request, and the data centre of that instance.
    expected_events : float
        Expected number of events in its stream; 0 if not known.
    deadline : float
        Monotonic time by which the response must be complete.
    number : int
        Number of the request on its owner.
    cell_data_centre : str
        Data centre of the cell in which it waits; empty for the whole service.
    isolated_fingerprint : int
        Fingerprint of a request that must not run beside another such request, and
        not twice at a time; 0 if it may.
    version : str
        Software version of the targets that may run it; empty if all may.
    workspace : str
        Workspace that it is for; empty if it has none, or if its owner is of an
        earlier release.
    tokens : int
        Tokens that it is expected to take on an engine, read and generated; 0 if not
        known.
    start_by : float
        Monotonic time by which it must be sent to be answered within its objective;
        infinite if not known.
    return_fingerprint : int
        What a request and its repeat have in common; 0 if no room is booked for
        returns like it.

    Attributes
    ----------
    target : str or None
        The target on which it has been granted a slot.
    coordinator : str
        Instance from which the slot is requested.
    requested_at : float
        Monotonic time of the first slot request to that instance.
    deferred_at : float or None
        Monotonic time at which, without a coordinator, it was first deferred in
        favour of a better request on a peer.
    may_be_return : bool
        Whether it may have been refused before.
    is_return : bool
        Whether room is booked for it, as it was refused and told to return.
    due_at : float
        Monotonic time at which it was told to return; infinite if not known.
    """

    service: str
    tier: tuple[int, ...]
    arrived_at: float
    attempted_targets: frozenset[str] = frozenset()
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
    isolated_fingerprint: int = 0
    version: str = ""
    workspace: str = ""
    tokens: int = 0
    start_by: float = float("inf")
    return_fingerprint: int = 0
    may_be_return: bool = False
    is_return: bool = False
    due_at: float = float("inf")

    def accepts(self, record):
        """Return whether a target is of its service and has the version it needs."""
        return self.service == record.service and self.version in ("", record.version)

    @property
    def cell(self):
        """The cell in which it waits for a slot."""
        return Cell(self.service, self.cell_data_centre)

    @property
    def route_tier(self):
        """Tier of the route, the last item of `tier`."""
        return self.tier[-1]

    @property
    def rank(self):
        """Sort key among waiting requests; the lowest is served first.

        Inside a tier, those that return to booked room go first, in the order of the
        times that they were told.
        """
        return (self.tier, *self.rank_in_tier)

    @property
    def rank_in_tier(self):
        """The part of `rank` that applies inside a tier."""
        since = min(self.arrived_at, self.due_at)
        return (not self.is_return, since, self.owner, self.number)


@dataclass
class TargetState:
    """A target and what is known of it.

    Parameters
    ----------
    record : TargetRecord
        The target as the platform lists it.

    Attributes
    ----------
    health : Health
        Results of this instance's requests to it.
    running_here : int
        Requests of this instance that run on it.
    running_by_route_tier : Counter
        The same by route tier.
    fleet_stats : TargetStats
        Its stats, merged from all instances.
    is_limited : bool
        Whether it only gets single requests, because it is unhealthy and others are
        not.
    isolated_here : list of int
        Fingerprints of the requests that this instance runs on it in isolation.
    named_rate : NamedRate
        The rate limit that it names in its responses.
    room : TargetRoom
        Its room while it is brittle.
    room_limit : float
        Requests that it may run at a time because it is brittle; infinite otherwise.
    has_said_leaving : bool
        Whether one of its responses said that it is leaving. Only a new start of it
        ends that.
    backs_off_until : float
        Monotonic time until which it wants no request of this instance.
    moment : Moment
        What it says of its load at this moment.
    """

    record: TargetRecord
    health: Health = field(default_factory=Health)
    running_here: int = 0
    running_by_route_tier: Counter = field(default_factory=Counter)
    fleet_stats: TargetStats = TargetStats()
    is_limited: bool = False
    isolated_here: list[int] = field(default_factory=list)
    named_rate: NamedRate = field(default_factory=NamedRate)
    room: TargetRoom = field(default_factory=TargetRoom)
    room_limit: float = float("inf")
    has_said_leaving: bool = False
    backs_off_until: float = float("-inf")
    moment: Moment = field(default_factory=Moment)

    def is_unhealthy(self, now):
        """Return whether it fails often, by this instance's results or by all."""
        return self.health.is_unhealthy(now) or self.fleet_stats.is_unhealthy

    @property
    def slowness(self):
        """Ratio of the time to the first bytes to the expected time; 1 if not known."""
        return self.fleet_stats.slowness or self.health.slowness or 1.0

    def record_start(self, route_tier, isolated_fingerprint=0):
        """Count a request of this instance that got a slot."""
        self.running_by_route_tier[route_tier] += 1
        self.running_here += 1
        if isolated_fingerprint:
            self.isolated_here.append(isolated_fingerprint)

    def end_isolation(self, fingerprint):
        """Let other isolated requests run beside one of this instance."""
        if fingerprint in self.isolated_here:
            self.isolated_here.remove(fingerprint)

    def record_end(self, route_tier):
        """Free the slot of a request of this instance."""
        if self.running_by_route_tier[route_tier] > 0:
            self.running_by_route_tier[route_tier] -= 1
            self.running_here -= 1

    def limit(self):
        """Return the number of requests that all instances together may run on it."""
        return min(1 if self.is_limited else self.record.slots, self.room_limit)

    def throughput(self, hold_seconds):
        """Return the requests per second that it can serve.

        Parameters
        ----------
        hold_seconds : float
            Mean time for which a request holds a slot.
        """
        # A brittle target that gets nothing for a moment gets requests again soon.
        return min(max(1, self.limit()) / hold_seconds, self.named_rate.granted_rate)


@dataclass(frozen=True)
class PeerLoad:
    """What one peer reports: the requests that it runs and that wait on it.

    Parameters
    ----------
    received_at : float
        Monotonic time at which the report arrived, or would have without delay.
    running_by_target : dict of str to dict of int to int
        Number of its running requests by target and route tier.
    tickets : tuple of Ticket
        Its waiting requests; their times are on this instance's clock.
    confirmed_grant : int
        Number of the newest grant of this instance that it has received.
    paused_targets : frozenset of str
        Targets to which it sends no requests for now.
    stats_by_target : dict of str to TargetStats or None
        Its target stats; None keeps those of its last report.
    isolated_by_target : dict of str to tuple of int
        Fingerprints of the requests that it runs in isolation, by target.
    """

    received_at: float
    running_by_target: dict[str, dict[int, int]]
    tickets: tuple[Ticket, ...] = ()
    confirmed_grant: int = 0
    paused_targets: frozenset[str] = frozenset()
    stats_by_target: dict[str, TargetStats] | None = None
    isolated_by_target: dict[str, tuple[int, ...]] = field(default_factory=dict)


@dataclass(frozen=True)
class UnconfirmedGrant:
    """A slot that was granted to a peer, whose confirmation has not arrived."""

    number: int
    target: str
    route_tier: int
    granted_at: float
    isolated_fingerprint: int = 0
