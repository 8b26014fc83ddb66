"""Foresee the demand on each cell, and decide which share of it other cells serve.

Load pattern: demand swings by half between data centres, in waves of 11 to 17 s whose
peaks come at different times. A data centre at its peak exceeds its slots while others
have room. Reports of free slots come a second late, when the queue is already full,
and come to all instances at once.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

from .arrivals import Arrivals
from .cells import Cell

# Time until a share that is decided now takes effect at all instances: the interval of
# the reports to and from a relay.
LEAD_SECONDS = 1.0
# A cell begins to give load when its demand exceeds this share of its slots, and ends
# below the other one. Above the first its queue grows.
BEGIN_SHARE = 1.0
END_SHARE = 0.85
# Demand that a giving cell keeps, and up to which others take, as shares of their
# slots. The rest is left for clumps, as in `outlook.OVERFLOW_FREE_SHARE`.
KEPT_SHARE = 0.95
TAKEN_SHARE = 0.9
# Largest change of the given share within a second, about one round of reports.
MAX_RISE_PER_SECOND = 0.5
MAX_FALL_PER_SECOND = 1.0
# A cell counts as one that gives or takes for this long after it last had to: several
# report intervals.
LINGER_SECONDS = 1.5
# Largest share that is given; the others show how the cell itself fares.
MAX_GIVEN_SHARE = 0.6
# Interval at which a coordinator reviews the share that its cell gives.
REVIEW_SECONDS = 0.1
# Below this share the cell counts as one that gives nothing.
MIN_GIVEN_SHARE = 0.01


@dataclass(frozen=True)
class Demand:
    """Demand of the callers of a cell's own data centre, wherever it is served.

    Parameters
    ----------
    slots : float
        Slots that their requests would hold: requests per second times the mean time
        for which a slot is held, and what is needed to work off those that wait.
    trend : float
        Its change, in slots per second.
    given : dict of str to float
        Shares of their requests that go to other data centres, by data centre.
    """

    slots: float
    trend: float = 0.0
    given: dict[str, float] = field(default_factory=dict)

    def after(self, seconds):
        """Return the slots that are needed after some seconds."""
        return max(0.0, self.slots + self.trend * seconds)


@dataclass(frozen=True)
class DemandChange:
    """A cell that begins or ends to give load, or to take it.

    Parameters
    ----------
    kind : str
        "give" or "take".
    begins : bool
        Whether it begins.
    needed, slots : float
        Slots that its demand is expected to need, and those that it has.
    age : float
        Seconds since the oldest of the other cells' figures was counted.
    """

    cell: Cell
    kind: str
    begins: bool
    needed: float
    slots: int
    given: dict[str, float]
    age: float


class CellBalance:
    """What the coordinator of a cell decides on the demand of its data centre.

    Not thread-safe; the caller holds a lock.
    """

    def __init__(self, cell):
        self.cell = cell
        self.arrivals = Arrivals()
        self.demand: Demand | None = None
        self.is_giving = False
        self.is_taking = False
        self._given: dict[str, float] = {}
        self._reviewed_at = float("-inf")
        self._gave_at = self._took_at = float("-inf")

    def review(self, load, others, hold_seconds, now):
        """Decide which shares of the demand the other cells get.

        Parameters
        ----------
        load : CellLoad
            Load of this cell.
        others : list of CellLoad
            Recent loads of the service's other cells that can be reached.
        hold_seconds : float
            Mean time for which a request holds a slot.

        Returns
        -------
        list of DemandChange
        """
        elapsed = now - self._reviewed_at
        if elapsed < REVIEW_SECONDS:
            return []
        self._reviewed_at = now
        rate = self.arrivals.rate(now)
        if rate is None:
            return []
        backlog = max(0, -load.free) * hold_seconds / LEAD_SECONDS
        demand = Demand(rate.now * hold_seconds + backlog, rate.trend * hold_seconds)
        needed = demand.after(LEAD_SECONDS)
        was_giving, was_taking = self.is_giving, self.is_taking
        threshold = (
            END_SHARE * load.slots
            if was_giving
            else BEGIN_SHARE * load.slots + rate.error * hold_seconds
        )
        exceeds = load.slots > 0 and needed > threshold
        if exceeds:
            self._gave_at = now
        self.is_giving = now - self._gave_at <= LINGER_SECONDS
        wanted = plan(demand, load.slots, others) if exceeds else {}
        self._given = limit_change(
            self._given,
            wanted,
            {other.cell.data_centre for other in others},
            min(elapsed, LEAD_SECONDS),
        )
        self.demand = Demand(demand.slots, demand.trend, self._given)
        own = self.cell.data_centre
        if any(other.demand and own in other.demand.given for other in others):
            self._took_at = now
        self.is_taking = now - self._took_at <= LINGER_SECONDS
        age = max((other.age for other in others), default=0.0)
        return [
            DemandChange(self.cell, kind, is_now, needed, load.slots, self._given, age)
            for kind, was, is_now in (
                ("give", was_giving, self.is_giving),
                ("take", was_taking, self.is_taking),
            )
            if was != is_now
        ]


def plan(demand, slots, others):
    """Return the shares of a cell's demand that other cells have room for.

    All cells count only the demand of their own callers, so that what is moved does
    not change the plan. Cells that exceed their slots divide the room in proportion to
    their excess, so that together they fill no other one.

    Parameters
    ----------
    demand : Demand
    slots : int
    others : list of CellLoad

    Returns
    -------
    dict of str to float
        By data centre.
    """
    needed = demand.after(LEAD_SECONDS)
    excess = max(0.0, needed - KEPT_SHARE * slots)
    total_excess = excess
    room_by_data_centre = {}
    for other in others:
        if other.demand is None:
            continue
        needed_there = other.demand.after(other.age + LEAD_SECONDS)
        total_excess += max(0.0, needed_there - KEPT_SHARE * other.slots)
        room = TAKEN_SHARE * other.slots - needed_there
        if room > 0:
            room_by_data_centre[other.cell.data_centre] = room
    if not excess or not room_by_data_centre:
        return {}
    moved_part = min(1.0, sum(room_by_data_centre.values()) / total_excess)
    share = min(MAX_GIVEN_SHARE, excess * moved_part / needed)
    total_room = sum(room_by_data_centre.values())
    return {
        name: share * room / total_room for name, room in room_by_data_centre.items()
    }


def limit_change(given, wanted, reachable, seconds):
    """Return the shares that are given next, on the way to those that are wanted.

    Parameters
    ----------
    given, wanted : dict of str to float
        Shares by data centre.
    reachable : set of str
        Data centres that can be given something; others lose their share at once.
    seconds : float
        Time since the last change.
    """
    names = reachable & (given.keys() | wanted.keys())
    changes = {name: wanted.get(name, 0.0) - given.get(name, 0.0) for name in names}
    rise = sum(change for change in changes.values() if change > 0)
    fall = -sum(change for change in changes.values() if change < 0)
    rise_part = min(1.0, MAX_RISE_PER_SECOND * seconds / rise) if rise else 0.0
    fall_part = min(1.0, MAX_FALL_PER_SECOND * seconds / fall) if fall else 0.0
    shares = {
        name: given.get(name, 0.0) + change * (rise_part if change > 0 else fall_part)
        for name, change in changes.items()
    }
    # A share that only falls would approach its end for long.
    return {
        name: share
        for name, share in shares.items()
        if share >= MIN_GIVEN_SHARE or name in wanted
    }


class DemandBalances:
    """The balances of the cells that an instance coordinates, and what it has moved.

    Attributes
    ----------
    is_active : bool
        Whether load moves between data centres ahead of queues.
    arrivals_by_service : Counter
        Requests that have come to this instance since its start, of services that are
        split into cells.
    """

    def __init__(self):
        self.is_active = False
        self.arrivals_by_service: Counter = Counter()
        self.balance_by_cell: dict[Cell, CellBalance] = {}
        self._moved: Counter = Counter()
        self._changes: deque[DemandChange] = deque(maxlen=100)

    def of(self, cell):
        """Return the `CellBalance` of a cell that is coordinated here."""
        if cell not in self.balance_by_cell:
            self.balance_by_cell[cell] = CellBalance(cell)
        return self.balance_by_cell[cell]

    def record_move(self, service, reason):
        """Count a request that leaves its data centre."""
        self._moved[service, reason] += 1

    def add_changes(self, changes):
        """Keep changes for the log."""
        self._changes.extend(changes)

    def take_changes(self):
        """Return the changes since the last call."""
        changes, self._changes = list(self._changes), deque(maxlen=100)
        return changes

    def take_moves(self):
        """Return the counts of moved requests by (service, reason) since then."""
        moved, self._moved = self._moved, Counter()
        return moved


def draw_data_centre(given, draw):
    """Return the data centre that a request goes to; None for its own.

    Parameters
    ----------
    given : dict of str to float
        Shares by data centre.
    draw : float
        Random number, evenly distributed from 0 to 1.
    """
    for name, share in sorted(given.items()):
        if draw < share:
            return name
        draw -= share
    return None
