"""The targets of all services: what runs there, and which may get work.

Load pattern: targets fail, leave and return under full load; every decision asks
which of them have free places, so what is asked often is kept by cell.
"""

from .cells import Cell, Cells
from .fleetload import FleetLoad
from .health import TargetStats
from .places import TargetState

# Peers that must pause a target before others leave it too.
PAUSE_QUORUM = 2
# Places of a target that an instance uses which hears of no other's use.
SLOTS_WITHOUT_REPORTS = 1
# Share of the targets of a cell that may be limited for their failures at once.
MAX_LIMITED_SHARE = 0.5


class Targets:
    """All targets that are listed.

    Not safe for threads; the owner holds a lock.

    Attributes
    ----------
    state_by_target : dict of str to TargetState
    cells : Cells
        How services are divided among coordinators.
    fleet : FleetLoad
        What the other instances run there.
    evacuated_data_centres : frozenset of str
        Data centres out of service.
    """

    def __init__(self):
        self.state_by_target: dict[str, TargetState] = {}
        self.cells = Cells()
        self.fleet = FleetLoad()
        self.evacuated_data_centres: frozenset[str] = frozenset()
        self.states_by_cell: dict[Cell, list[TargetState]] = {}

    def replace(self, records):
        """Replace the list of targets.

        Parameters
        ----------
        records : iterable of TargetRecord
        """
        states = {}
        for record in records:
            state = self.state_by_target.get(record.id)
            if state is None or state.record.started_at != record.started_at:
                state = TargetState(record)
            state.record = record
            states[record.id] = state
        self.state_by_target = states
        self.cells.set_targets(state.record for state in states.values())
        self.states_by_cell = {}
        for state in states.values():
            for cell in self.cells.for_service(state.record.service):
                if cell.covers(state.record.data_centre):
                    self.states_by_cell.setdefault(cell, []).append(state)

    def free_slots(self, states, load_of=None):
        """Return the free places of some targets.

        Parameters
        ----------
        load_of : callable or None
            Returns the requests at a target; as heard of all if None.
        """
        load_of = load_of or self.load
        return sum(max(0, state.limit() - load_of(state)) for state in states)

    def load(self, state):
        """Return the requests of all instances at a target, as heard."""
        return state.running_here + self.fleet.total_by_target.get(state.record.id, 0)

    def assumed_load(self, state):
        """Return the load of a target of which this instance is told nothing."""
        others = max(0, state.record.slots - SLOTS_WITHOUT_REPORTS)
        return max(others + state.running_here, self.load(state))

    def usable(self, cell, now):
        """Return the states of the targets of a cell that may get work."""
        self._review(now)
        usable = [
            state
            for state in self.states_by_cell.get(cell, ())
            if self.accepts_work(state)
            and not state.health.is_paused(now)
            and self.fleet.pause_count_by_target[state.record.id] < PAUSE_QUORUM
        ]
        unhealthy = [state.is_unhealthy(now) for state in usable]
        # Where most are unhealthy, fewer requests at each would serve nobody better.
        may_limit = sum(unhealthy) <= MAX_LIMITED_SHARE * len(usable)
        for state, is_unhealthy in zip(usable, unhealthy, strict=True):
            state.is_limited = is_unhealthy and may_limit
        return usable

    def accepts_work(self, state):
        """Tell whether operators and the target itself let it get work."""
        return (
            not state.record.leaving
            and state.record.data_centre not in self.evacuated_data_centres
        )

    def takes_new_work(self, target):
        """Tell whether a target is listed and may get work."""
        state = self.state_by_target.get(target)
        return state is not None and self.accepts_work(state)

    def services(self):
        """Return the services that have targets."""
        return sorted({cell.service for cell in self.states_by_cell})

    def paused_here(self, now):
        """Return the targets that this instance does not use for now."""
        return [
            name
            for name, state in self.state_by_target.items()
            if state.health.is_paused(now) or not self.accepts_work(state)
        ]

    def stats_here(self, now, is_wanted=lambda cell: True):
        """Return how targets have fared at this instance.

        Parameters
        ----------
        is_wanted : callable
            Tells whether the targets of a cell are wanted.
        """
        stats_by_target = {
            state.record.id: state.health.stats(now)
            for cell, states in self.states_by_cell.items()
            if is_wanted(cell)
            for state in states
        }
        return {
            name: stats
            for name, stats in stats_by_target.items()
            if stats != TargetStats()
        }

    def _review(self, now):
        """Take in how targets have fared at all instances."""
        if self.fleet.is_stats_merge_due(now):
            stats_by_target = self.fleet.merge_stats(self.stats_here(now))
            for name, state in self.state_by_target.items():
                state.fleet_stats = stats_by_target.get(name, TargetStats())
