"""Decide which waiting request gets which target's next free place.

Load pattern: several times more work arrives than the targets bear, by way of
every instance at once. Work waits here and not in the targets' own queues,
which know no tiers. One instance coordinates each cell (a service, or the part of
a large one in a data centre): all others tell it what runs and what waits with
them, and it gives each free place to the best waiting request of the fleet. When
the coordinator is silent, an instance goes on by what it knows of the others.
"""

import itertools
from collections import Counter

from .cells import Cell
from .coordination import CoordinationTerms, Coordinators, UnansweredRequests
from .fairness import FairOrder
from .outlook import OVERFLOW_WAIT_SECONDS, CellLoad, CellReports
from .places import Ticket
from .targets import Targets

# Without a coordinator, a free place that the instance with the better request
# leaves unused for this long is taken by the next; a few one-way delays.
YIELD_SECONDS = 0.05
# A request that no coordinator has answered for this long is placed here.
FALLBACK_SECONDS = 0.16
# The same in a large fleet, where a coordinator answers less often.
LARGE_FALLBACK_SECONDS = 0.6
# A coordinator is asked again after this while requests wait, in a small and in a
# large fleet; it is silent after two of them.
WAITING_REPORT_SECONDS = 0.04
LARGE_WAITING_REPORT_SECONDS = 0.1
# It hears as often as this of what runs on, in any case.
IDLE_REPORT_SECONDS = 0.5
# A request that waits for this long may go on waiting in another cell.
CELL_MOVE_SECONDS = 0.2
# Weight of the newest time that a place was held.
HOLD_WEIGHT = 0.05
# Assumed time that a place is held before any was seen, seconds.
INITIAL_HOLD_SECONDS = 0.5


class Pools:
    """Places of all targets and the requests that wait for them.

    Not safe for threads; the owner holds a lock.

    Parameters
    ----------
    instance, data_centre : str
        This instance, and where it runs.
    selector : TargetSelector
        Chooses among targets with free places.
    first_grant : int
        Number of the first grant; higher after each restart.

    Attributes
    ----------
    is_full_mesh : bool
        Whether all instances tell this one what they run; in a large fleet only
        coordinators are told.
    on_new_term : callable
        Called when this instance begins to coordinate a cell.
    """

    def __init__(self, instance, data_centre, selector, first_grant=0):
        self.data_centre = data_centre
        self.selector = selector
        self.instance = instance
        self.targets = Targets()
        self.fleet = self.targets.fleet
        self.coordinators = Coordinators(self.instance)
        self.cell_reports = CellReports()
        self.coordination_terms = CoordinationTerms()
        self.unanswered = UnansweredRequests()
        self.is_full_mesh = True
        self.on_new_term = lambda: None
        self.tickets_by_service: dict[str, list[Ticket]] = {}
        self.hold_seconds_by_service: dict[str, float] = {}
        self.grant_by_coordinator: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self._grant_numbers = itertools.count(first_grant + 1)

    def set_targets(self, records):
        """Replace the list of targets.

        Parameters
        ----------
        records : iterable of TargetRecord
        """
        self.targets.replace(records)
        self.selector.cold_limiter.retain(self.targets.state_by_target)

    def enqueue(self, ticket, now):
        """Let a request wait for a place."""
        ticket.number = next(self._numbers)
        ticket.owner = self.instance
        ticket.data_centre = self.data_centre
        self._request_slot(
            ticket, self._choose_cell(ticket.service, ticket.tier, now), now
        )
        tickets = self.tickets_by_service.setdefault(ticket.service, [])
        tickets.append(ticket)
        tickets.sort(key=lambda entry: entry.rank)

    def _request_slot(self, ticket, cell, now):
        ticket.cell_data_centre = cell.data_centre
        ticket.coordinator = self.coordinator(cell, now)
        ticket.requested_at = now
        if ticket.coordinator == self.instance:
            self.record_slot_request(cell, now)
            self.unanswered.record_answer(cell)
        else:
            self.unanswered.record_request(ticket.coordinator, now)
            self.unanswered.record_request(cell, now)

    def record_answer(self, coordinator, now):
        """Note that a coordinator has answered."""
        self.coordinators.record_answer(coordinator, now)
        self.unanswered.record_answer(coordinator)
        for cell in self.targets.states_by_cell:
            if self.coordinator(cell, now) == coordinator:
                self.unanswered.record_answer(cell)

    def record_slot_request(self, cell, now):
        """Note that this instance is asked for a place of a cell."""
        if self.coordination_terms.record_request(cell, now) and not self.is_full_mesh:
            self.on_new_term()

    def coordinator(self, cell, now):
        """Return the instance that gives the places of a cell."""
        return self.coordinators.choose(cell.service, now, cell.data_centre)

    def _waiting_report_seconds(self):
        return (
            WAITING_REPORT_SECONDS
            if self.is_full_mesh
            else LARGE_WAITING_REPORT_SECONDS
        )

    def next_report_seconds(self):
        """Return when coordinators are told again without a change."""
        if any(self.tickets_by_service.values()):
            return self._waiting_report_seconds()
        return IDLE_REPORT_SECONDS

    def coordinators_in_use(self, now):
        """Return the coordinators that must know what runs and waits here."""
        cells = {ticket.cell for ticket in self.waiting_here()}
        for state in self.targets.state_by_target.values():
            if self.is_full_mesh or state.running_here:
                cells.update(
                    cell
                    for cell in self.targets.cells.for_service(state.record.service)
                    if cell.covers(state.record.data_centre)
                )
        names = {self.coordinator(cell, now) for cell in cells}
        return names | {ticket.coordinator for ticket in self.waiting_here()}

    def apply_grant(self, coordinator, number, request, target):
        """Take a place that a coordinator has granted.

        Returns
        -------
        Ticket or None
            The request that got it; None if it waits no longer.
        """
        newest = self.grant_by_coordinator.get(coordinator, 0)
        self.grant_by_coordinator[coordinator] = max(newest, number)
        state = self.targets.state_by_target.get(target)
        if state is None or not self.targets.accepts_work(state):
            # The coordinator has not heard yet; the request goes on waiting.
            return None
        for tickets in self.tickets_by_service.values():
            for ticket in tickets:
                if ticket.number == request:
                    tickets.remove(ticket)
                    state.record_start(ticket.route_tier)
                    ticket.target = target
                    return ticket
        return None

    def reassign_waiting(self, now):
        """Ask another instance where a coordinator is silent.

        Returns
        -------
        list of str
            Coordinators that are passed over from now on.
        """
        self.fleet.expire(now)
        tickets = self.waiting_here()
        answer_timeout = 2 * self._waiting_report_seconds()
        silent = {
            ticket.coordinator
            for ticket in tickets
            if self.coordinators.is_unresponsive(
                ticket.coordinator, ticket.requested_at, now, answer_timeout
            )
            or self.unanswered.seconds(ticket.coordinator, now) > answer_timeout
        }
        for name in silent:
            self.coordinators.mark_unresponsive(name, now)
            self.unanswered.record_answer(name)
        for ticket in tickets:
            cell = ticket.cell
            if now - ticket.arrived_at > CELL_MOVE_SECONDS:
                cell = self._choose_cell(ticket.service, ticket.tier, now, cell)
            if cell != ticket.cell or self.coordinator(cell, now) != ticket.coordinator:
                self._request_slot(ticket, cell, now)
        return sorted(silent)

    def withdraw(self, ticket):
        """Cease to wait; tell whether the request was still waiting."""
        tickets = self.tickets_by_service.get(ticket.service, [])
        if ticket not in tickets:
            return False
        tickets.remove(ticket)
        return True

    def release(self, ticket, held, now):
        """Return the place of a request that has ended.

        Parameters
        ----------
        held : float or None
            Seconds for which it ran; None if it did not.
        """
        state = self.targets.state_by_target.get(ticket.target)
        if state is not None:
            state.record_end(ticket.route_tier)
        if held is not None:
            mean = self.hold_seconds_by_service.get(
                ticket.service, INITIAL_HOLD_SECONDS
            )
            mean += HOLD_WEIGHT * (held - mean)
            self.hold_seconds_by_service[ticket.service] = mean

    def match(self, now):
        """Give free places to waiting requests.

        Returns
        -------
        list of (Ticket, int)
            Requests that got a place; those of peers with the number of the
            grant, own ones with 0.
        """
        self.fleet.expire_grants(now)
        cells = {ticket.cell for ticket in self.waiting_here()}
        return [
            grant
            for cell in sorted(cells | self.fleet.waiting_cells())
            for grant in self._match_cell(cell, now)
        ]

    def _match_cell(self, cell, now):
        foreign = self.fleet.waiting_tickets(cell)
        settled = self._is_settled(cell, now)
        asked = [
            ticket
            for ticket in foreign
            if settled and ticket.coordinator == self.instance
        ]
        mine = [
            ticket
            for ticket in self.tickets_by_service.get(cell.service, ())
            if ticket.cell == cell and self._is_placed_here(ticket, settled, now)
        ]
        if not asked and not mine:
            return
        states = self.targets.usable(cell, now)
        load_of = (
            self.targets.load
            if self._knows_load(cell, now)
            else self.targets.assumed_load
        )
        free = self.targets.free_slots(states, load_of)
        if free <= 0:
            return
        order = self._order(states, now)
        for ticket in order.sort((*asked, *mine)):
            if ticket.coordinator != self.instance and self._yields(
                ticket, foreign, free, now
            ):
                continue
            state = self.selector.choose(
                ticket,
                [(state, load_of(state)) for state in states],
                ticket.avoid | self.fleet.targets_paused_by(ticket.owner),
                now,
            )
            if state is None:
                continue
            order.record_start(ticket.route_tier)
            yield ticket, self._grant(ticket, state, now)
            free -= 1
            if free <= 0:
                return

    def _knows_load(self, cell, now):
        """Tell whether all that runs in a cell is told to this instance."""
        return self.is_full_mesh or self.coordinator(cell, now) == self.instance

    def _is_settled(self, cell, now):
        return self.is_full_mesh or self.coordination_terms.is_settled(cell, now)

    def _order(self, states, now):
        """Return the order of the requests for some targets."""
        return FairOrder(
            lambda: self._running_by_route_tier(states),
            sum(state.limit() for state in states),
        )

    def _running_by_route_tier(self, states):
        running: Counter = Counter()
        for state in states:
            running.update(state.running_by_route_tier)
            running.update(self.fleet.running_by_target.get(state.record.id, ()))
        return running

    def _is_placed_here(self, ticket, settled, now):
        """Tell whether an own request is placed by this instance."""
        if ticket.coordinator == self.instance:
            return settled
        heard = self.coordinators.last_answer_at(ticket.coordinator)
        alone = FALLBACK_SECONDS if self.is_full_mesh else LARGE_FALLBACK_SECONDS
        unanswered = self.unanswered.seconds(ticket.cell, now)
        return max(now - max(ticket.arrived_at, heard), unanswered) > alone

    @staticmethod
    def _yields(ticket, foreign, free, now):
        """Tell whether a place is left to better requests elsewhere."""
        if sum(other.rank < ticket.rank for other in foreign) < free:
            return False
        if ticket.deferred_at is None:
            ticket.deferred_at = now
        return now - ticket.deferred_at < YIELD_SECONDS

    def _grant(self, ticket, state, now):
        """Take a place for a request; return the number of the grant."""
        ticket.target = state.record.id
        self.selector.record_choice(ticket, state, now)
        if ticket.owner == self.instance:
            self.tickets_by_service[ticket.service].remove(ticket)
            state.record_start(ticket.route_tier)
            return 0
        number = next(self._grant_numbers)
        self.fleet.add_grant(ticket, number, now)
        return number

    def free_slots(self, service, now):
        """Return the free places of a service, as known here."""
        return sum(
            self.targets.free_slots(self.targets.usable(cell, now))
            for cell in self.targets.cells.for_service(service)
        )

    def loads_here(self, now):
        """Return the loads of the cells that this instance coordinates."""
        if self.is_full_mesh:
            return []
        return [
            self._cell_load(cell, now)
            for cell in self.targets.states_by_cell
            if cell.data_centre and self.coordinator(cell, now) == self.instance
        ]

    def _cell_load(self, cell, now):
        states = self.targets.usable(cell, now)
        waiting = len(self._waiting(cell))
        slots = sum(state.limit() for state in states)
        return CellLoad(cell, self.targets.free_slots(states) - waiting, slots)

    def stats_here(self, now, coordinator=""):
        """Return how targets have fared at this instance.

        Parameters
        ----------
        coordinator : str
            Instance whose targets are wanted; empty for all.
        """
        return self.targets.stats_here(
            now, lambda cell: coordinator in ("", self.coordinator(cell, now))
        )

    def expected_wait(self, service, tier, now):
        """Return the seconds that a new request is expected to wait.

        Parameters
        ----------
        tier : tuple of int
            Its rank; requests behind it do not count.
        """
        return self.cell_wait(self._choose_cell(service, tier, now), tier, now)

    def cell_wait(self, cell, tier, now):
        """Return the same for one cell, counted here or told by its coordinator."""
        states = self.targets.usable(cell, now)
        slots = sum(state.limit() for state in states)
        if not slots:
            return float("inf")
        if not self._knows_load(cell, now):
            return self.cell_reports.expected_wait(cell, tier, now)
        if self.targets.free_slots(states) > 0:
            return 0.0
        newest = Ticket(cell.service, tier, now, owner=self.instance)
        ahead = itertools.takewhile(
            lambda ticket: ticket is not newest,
            self._order(states, now).sort([newest, *self._waiting(cell)]),
        )
        return (
            (sum(1 for _ in ahead) + 1) * self.mean_hold_seconds(cell.service) / slots
        )

    def _waiting(self, cell):
        own = self.tickets_by_service.get(cell.service, ())
        return [
            *(ticket for ticket in own if ticket.cell == cell),
            *self.fleet.waiting_tickets(cell),
        ]

    def _choose_cell(self, service, tier, now, present=None):
        """Return the cell that a request asks for a place.

        Parameters
        ----------
        present : Cell or None
            Where it waits already; its own data centre's if None.
        """
        cells = self.targets.cells.for_service(service)
        if len(cells) == 1:
            return cells[0]
        home = present or Cell(service, self.data_centre)
        wait = self.cell_wait(home, tier, now)
        if wait <= OVERFLOW_WAIT_SECONDS:
            return home
        others = [
            cell for cell in cells if cell != home and self.targets.usable(cell, now)
        ]
        other = self.cell_reports.choose_overflow(others, now)
        if other is not None:
            return other
        if wait < float("inf") or not others:
            return home
        return self.cell_reports.rng.choice(others)

    def mean_hold_seconds(self, service):
        """Return the mean seconds for which a place is held."""
        return self.hold_seconds_by_service.get(service, INITIAL_HOLD_SECONDS)

    def running_here(self):
        """Return the requests of this instance by target and route tier."""
        return {
            name: dict(+state.running_by_route_tier)
            for name, state in self.targets.state_by_target.items()
            if state.running_here
        }

    def waiting_here(self):
        """Return the requests that wait here."""
        return list(itertools.chain.from_iterable(self.tickets_by_service.values()))
