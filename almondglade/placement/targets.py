"""The targets of all services: what runs on them, and which may get requests.

Load pattern: targets fail, leave and return under full load. Every decision looks up
which of them have free slots, so their states are indexed by cell.
"""

import itertools
from collections import Counter, OrderedDict
from dataclasses import replace

from .cells import Cell, Cells
from .eligibility import Obstacle, backoff_end, find_obstacle
from .fleetload import FleetLoad
from .health import TargetStats
from .places import TargetState

# Instances that pause a target before the others send it single requests only.
PAUSE_QUORUM = 2
# A target that answered another instance within this time is not failing, whoever
# pauses it.
ANSWER_VALIDITY_SECONDS = 1.0
# Slots of a target that an instance uses without reports of what others run there.
SLOTS_WITHOUT_REPORTS = 1
# Largest share of a cell's targets that may be limited because of failures at once.
MAX_LIMITED_SHARE = 0.5
# Targets that are remembered to have said that they are leaving.
MAX_LEAVING_INCARNATIONS = 1024


class Targets:
    """All listed targets.

    Not thread-safe; the caller holds a lock.

    Attributes
    ----------
    state_by_target : dict of str to TargetState
    cells : Cells
        How services are split among coordinators.
    fleet : FleetLoad
        What the other instances run on the targets.
    evacuated_data_centres : frozenset of str
        Data centres that are out of service; their targets get no requests.
    states_by_cell : dict of Cell to list of TargetState
        States of the targets of each cell.
    reachable_share : callable
        Returns the share of the fleet's instances that are on this side of a partition.
    """

    def __init__(self):
        self.state_by_target: dict[str, TargetState] = {}
        self.cells = Cells()
        self.fleet = FleetLoad()
        self.evacuated_data_centres: frozenset[str] = frozenset()
        self.states_by_cell: dict[Cell, list[TargetState]] = {}
        self.reachable_share = lambda: 1.0
        self._leaving_incarnations: OrderedDict[tuple[str, int], None] = OrderedDict()

    def replace(self, records):
        """Replace the list of targets.

        A target that was restarted since loses its state.

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
            self._apply_statement(state)
            states[record.id] = state
        self.state_by_target = states
        self.fleet.retain(states)
        self.cells.set_targets(state.record for state in states.values())
        self.states_by_cell = {}
        for state in states.values():
            for cell in self.cells.for_service(state.record.service):
                if cell.covers(state.record.data_centre):
                    self.states_by_cell.setdefault(cell, []).append(state)

    def free_slots(self, states, load_of=None):
        """Return the number of free slots of some targets.

        Parameters
        ----------
        states : iterable of TargetState
        load_of : callable or None
            Returns the number of requests on a target; `load` if None.
        """
        load_of = load_of or self.load
        return sum(
            max(
                0,
                min(state.limit() - load_of(state), state.named_rate.free_requests),
            )
            for state in states
        )

    def load(self, state):
        """Return the number of requests on a target, as reported by all instances."""
        return state.running_here + self.fleet.total_by_target.get(state.record.id, 0)

    def assumed_load(self, state):
        """Return the load to assume for a target without reports of other instances.

        All slots but `SLOTS_WITHOUT_REPORTS` are assumed to be in use by others.
        """
        others = max(0, state.record.slots - SLOTS_WITHOUT_REPORTS)
        return max(others + state.running_here, self.load(state))

    def usable(self, cell, now):
        """Return the states of the targets of a cell that may get requests.

        An instance that pauses one of them does not get it, but others may. Also
        updates which of them are limited to single requests.
        """
        self._update_fleet_stats(now)
        usable = [
            state
            for state in self.states_by_cell.get(cell, ())
            if self.accepts_work(state)
        ]
        unhealthy = [state.is_unhealthy(now) for state in usable]
        # If most are unhealthy, limiting them would not serve any request better.
        may_limit = sum(unhealthy) <= MAX_LIMITED_SHARE * len(usable)
        pause_counts = self._pause_counts(usable, now)
        for state, is_unhealthy in zip(usable, unhealthy, strict=True):
            is_doubtful = (
                pause_counts[state.record.id] >= PAUSE_QUORUM
                and now - self._answered_at(state) > ANSWER_VALIDITY_SECONDS
            )
            state.is_limited = is_doubtful or (is_unhealthy and may_limit)
            state.room_limit = (
                state.room.limit(state.record.slots, self.reachable_share(), now)
                if state.room.is_limited
                else float("inf")
            )
        return usable

    def usable_here(self, cell, now):
        """Return the states of the usable targets that this instance does not pause."""
        return [
            state for state in self.usable(cell, now) if not self.obstacle(state, now)
        ]

    def is_usable_here(self, cell, now):
        """Return whether a target of a cell may get requests of this instance."""
        return any(
            not self.obstacle(state, now) for state in self.states_by_cell.get(cell, ())
        )

    def _pause_counts(self, states, now):
        """Return how many instances pause each of some targets, by target.

        One that pauses all of them has lost its own links, which says nothing of the
        targets.
        """
        names = {state.record.id for state in states}
        paused_here = {state.record.id for state in states if self.obstacle(state, now)}
        pauses = [paused_here, *self.fleet.paused_targets(names)]
        return Counter(
            itertools.chain.from_iterable(paused for paused in pauses if paused < names)
        )

    def _answered_at(self, state):
        """Return when a target last answered a request of any instance."""
        return max(
            state.health.answered_at,
            self.fleet.answered_at_by_target.get(state.record.id, float("-inf")),
        )

    def obstacle(self, state, now):
        """Return the `Obstacle` to a request of this instance at a target, or None."""
        return find_obstacle(state, self.evacuated_data_centres, now)

    def accepts_work(self, state):
        """Return whether a target may get work, of whatever instance."""
        obstacle = self.obstacle(state, float("inf"))
        return obstacle is None or not obstacle.is_for_all

    def record_leaving(self, incarnation):
        """Record that a target said that it is leaving; return whether that is new."""
        state = self._current_state(incarnation)
        if state is None or state.has_said_leaving:
            return False
        self._leaving_incarnations[incarnation] = None
        if len(self._leaving_incarnations) > MAX_LEAVING_INCARNATIONS:
            self._leaving_incarnations.popitem(last=False)
        self._apply_statement(state)
        return True

    def record_backoff(self, incarnation, seconds, now):
        """Record that a target refused a request, and for how long it wants no other.

        Returns
        -------
        bool
            Whether it gets no request for longer than before.
        """
        state = self._current_state(incarnation)
        until = backoff_end(seconds, now)
        if state is None or until <= max(now, state.backs_off_until):
            return False
        state.backs_off_until = until
        return True

    def backoff_seconds(self, service, version, now):
        """Return until when all reachable targets of a service want no requests.

        Returns
        -------
        float
            Seconds until the first of them does; 0 if one takes requests, or none can
            be reached.
        """
        waits = []
        for state in self.states_of(service, version):
            obstacle = self.obstacle(state, now)
            if obstacle is None:
                return 0.0
            if obstacle is Obstacle.BACKING_OFF:
                waits.append(state.backs_off_until - now)
        return min(waits, default=0.0)

    def _current_state(self, incarnation):
        state = self.state_by_target.get(incarnation[0])
        is_current = state is not None and state.record.incarnation == incarnation
        return state if is_current else None

    def _apply_statement(self, state):
        """Treat a target that said that it is leaving as if the list said so.

        It stays so although an older list, or one that lists it again, does not.
        """
        state.has_said_leaving = state.record.incarnation in self._leaving_incarnations
        if state.has_said_leaving and not state.record.leaving:
            state.record = replace(state.record, leaving=True)

    def states_of(self, service, version=""):
        """Return the states of a service's targets that may get work.

        Parameters
        ----------
        version : str
            Software version of the targets; empty for all.
        """
        return [
            state
            for state in self.state_by_target.values()
            if state.record.service == service
            and version in ("", state.record.version)
            and self.accepts_work(state)
        ]

    def is_cut_off(self, service, version, now):
        """Return whether this instance reaches no target that could run a request."""
        obstacles = [
            self.obstacle(state, now) for state in self.states_of(service, version)
        ]
        return bool(obstacles) and all(
            obstacle is not None and obstacle.is_unreachable for obstacle in obstacles
        )

    def takes_new_work(self, target):
        """Return whether a target is listed and may get work."""
        state = self.state_by_target.get(target)
        return state is not None and self.accepts_work(state)

    def has_target(self, service, version, attempted=()):
        """Return whether a target with a software version may get work.

        Parameters
        ----------
        version : str or None
            None stands for any version.
        attempted : collection of str
            Targets that do not count.
        """
        return any(
            version in (None, state.record.version) and self.accepts_work(state)
            for name, state in self.state_by_target.items()
            if state.record.service == service and name not in attempted
        )

    def isolated_runs(self):
        """Return the requests that run in isolation, here and on peers.

        Returns
        -------
        list of (str, int)
            Targets and fingerprints.
        """
        return [
            *(
                (name, fingerprint)
                for name, state in self.state_by_target.items()
                for fingerprint in state.isolated_here
            ),
            *self.fleet.isolated_runs(),
        ]

    def services(self):
        """Return the services that have targets."""
        return sorted({cell.service for cell in self.states_by_cell})

    def paused_here(self, now):
        """Return the targets to which this instance sends no requests for now."""
        return [
            name
            for name, state in self.state_by_target.items()
            if self.obstacle(state, now)
        ]

    def stats_here(self, now, is_wanted=lambda cell: True):
        """Return the target stats of this instance, without empty ones.

        Parameters
        ----------
        is_wanted : callable
            Takes a `Cell` and tells whether to include its targets.
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

    def _update_fleet_stats(self, now):
        """Update the target stats merged from all instances, if they are due."""
        if self.fleet.is_stats_merge_due(now):
            stats_by_target = self.fleet.merge_stats(self.stats_here(now))
            for name, state in self.state_by_target.items():
                state.fleet_stats = stats_by_target.get(name, TargetStats())
