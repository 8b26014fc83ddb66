"""Assign the free slots of targets to waiting requests.

Load pattern: several times more requests arrive than the targets can serve, through
all instances at once. Requests wait on the instances and not in the targets' own
queues, which know no tiers. One instance coordinates each cell (a service, or the
part of a large service in one data centre): all others report to it which requests
they run and which wait, and it grants each free slot to the best waiting request of
the fleet. If the coordinator doesn't answer, an instance assigns slots itself, based
on the last reports of the others.
"""

import itertools
from collections import Counter

from .cells import Cell
from .coordination import CoordinationTerms, Coordinators, UnansweredRequests
from .fairness import FairOrder
from .outlook import OVERFLOW_WAIT_SECONDS, CellLoad, CellReports, RecentWaits
from .places import Ticket
from .ratelimits import share_of_rate
from .targets import Targets

# Without a coordinator, an instance leaves a free slot to a better request on a peer
# for this long before it uses the slot itself; a few one-way network delays.
YIELD_SECONDS = 0.05
# A request without an answer from a coordinator for this long is placed locally.
FALLBACK_SECONDS = 0.16
# The same in a large fleet, where coordinators answer less often.
LARGE_FLEET_FALLBACK_SECONDS = 0.6
# Interval of reports to a coordinator while requests wait, in a small and in a large
# fleet. It is unresponsive after two intervals without an answer.
WAITING_REPORT_SECONDS = 0.04
LARGE_FLEET_WAITING_REPORT_SECONDS = 0.1
# Interval of reports to a coordinator while no requests wait.
IDLE_REPORT_SECONDS = 0.5
# A request that has waited for this long may move to another cell.
CELL_MOVE_SECONDS = 0.2
# Weight of the newest sample in the mean time for which a slot is held.
HOLD_WEIGHT = 0.05
# Mean time for which a slot is held, before there are samples.
INITIAL_HOLD_SECONDS = 0.5


class Pools:
    """Slots of all targets and the requests that wait for them.

    Not thread-safe; the caller holds a lock.

    Parameters
    ----------
    instance, data_centre : str
        This instance, and where it runs.
    selector : TargetSelector
        Selects among targets with free slots.
    grant_number_base : int
        Grants are numbered from the next number on; must be higher after each
        restart.

    Attributes
    ----------
    is_full_mesh : bool
        Whether all instances report to this one; in a large fleet, they report only
        to coordinators.
    on_new_term : callable
        Called without arguments when this instance begins to coordinate a cell of a
        large fleet.
    tickets_by_service : dict of str to list of Ticket
        Requests that wait on this instance, the best first.
    latest_grant_by_coordinator : dict of str to int
        Number of the newest grant received from each coordinator.
    """

    def __init__(self, instance, data_centre, selector, grant_number_base=0):
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
        self.latest_grant_by_coordinator: dict[str, int] = {}
        self._recent_waits = RecentWaits()
        self._numbers = itertools.count(1)
        self._grant_numbers = itertools.count(grant_number_base + 1)

    def set_targets(self, records):
        """Replace the list of targets.

        Parameters
        ----------
        records : iterable of TargetRecord
        """
        self.targets.replace(records)
        self.selector.cold_limiter.retain(self.targets.state_by_target)

    def enqueue(self, ticket, now):
        """Add a request to the queue and request a slot for it."""
        ticket.number = next(self._numbers)
        ticket.owner = self.instance
        ticket.data_centre = self.data_centre
        self._request_slot(ticket, self._choose_cell_for(ticket, now), now)
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
        """Record that a coordinator has answered."""
        self.coordinators.record_answer(coordinator, now)
        self.unanswered.record_answer(coordinator)
        for cell in self.targets.states_by_cell:
            if self.coordinator(cell, now) == coordinator:
                self.unanswered.record_answer(cell)

    def record_slot_request(self, cell, now):
        """Record that a slot of a cell is requested from this instance."""
        if self.coordination_terms.record_request(cell, now) and not self.is_full_mesh:
            self.on_new_term()

    def coordinator(self, cell, now):
        """Return the instance that grants the slots of a cell."""
        return self.coordinators.choose(cell.service, now, cell.data_centre)

    def coordinators_of(self, record, now):
        """Return the set of the instances that grant the slots of a target."""
        return {
            self.coordinator(cell, now)
            for cell in self.targets.cells.for_service(record.service)
            if cell.covers(record.data_centre)
        }

    def _waiting_report_seconds(self):
        return (
            WAITING_REPORT_SECONDS
            if self.is_full_mesh
            else LARGE_FLEET_WAITING_REPORT_SECONDS
        )

    def next_report_seconds(self):
        """Return the seconds until the next report to coordinators without a change."""
        if any(self.tickets_by_service.values()):
            return self._waiting_report_seconds()
        return IDLE_REPORT_SECONDS

    def coordinators_in_use(self, now):
        """Return the coordinators to which this instance must report its requests."""
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
        """Assign a slot that a coordinator has granted to a waiting request.

        Parameters
        ----------
        number : int
            Number of the grant.
        request : int
            Number of the request on this instance.
        target : str
            The target that has the slot.

        Returns
        -------
        Ticket or None
            The request that got the slot; None if it no longer waits or the target
            takes no new work.
        """
        newest = self.latest_grant_by_coordinator.get(coordinator, 0)
        self.latest_grant_by_coordinator[coordinator] = max(newest, number)
        state = self.targets.state_by_target.get(target)
        if state is None or not self.targets.accepts_work(state):
            # The coordinator does not know this yet; the request keeps waiting.
            return None
        for tickets in self.tickets_by_service.values():
            for ticket in tickets:
                if ticket.number == request and ticket.accepts(state.record):
                    tickets.remove(ticket)
                    state.record_start(ticket.route_tier, ticket.isolated_fingerprint)
                    ticket.target = target
                    return ticket
        return None

    def reassign_waiting(self, now):
        """Move waiting requests away from unresponsive coordinators and full cells.

        Returns
        -------
        list of str
            Coordinators that were marked as unresponsive.
        """
        self.fleet.expire(now)
        tickets = self.waiting_here()
        answer_timeout = 2 * self._waiting_report_seconds()
        unresponsive = {
            ticket.coordinator
            for ticket in tickets
            if self.coordinators.is_unresponsive(
                ticket.coordinator, ticket.requested_at, now, answer_timeout
            )
            or self.unanswered.seconds(ticket.coordinator, now) > answer_timeout
        }
        for name in unresponsive:
            self.coordinators.mark_unresponsive(name, now)
            self.unanswered.record_answer(name)
        for ticket in tickets:
            cell = ticket.cell
            if now - ticket.arrived_at > CELL_MOVE_SECONDS:
                cell = self._choose_cell_for(ticket, now, cell)
            if cell != ticket.cell or self.coordinator(cell, now) != ticket.coordinator:
                self._request_slot(ticket, cell, now)
        return sorted(unresponsive)

    def withdraw(self, ticket):
        """Remove a request from the queue; return whether it was still waiting."""
        tickets = self.tickets_by_service.get(ticket.service, [])
        if ticket not in tickets:
            return False
        tickets.remove(ticket)
        return True

    def release(self, ticket, held_seconds, now):
        """Free the slot of a request that has ended.

        Parameters
        ----------
        held_seconds : float or None
            Time for which it ran; None if it did not run.
        """
        state = self.targets.state_by_target.get(ticket.target)
        if state is not None:
            state.record_end(ticket.route_tier)
            state.end_isolation(ticket.isolated_fingerprint)
        if held_seconds is not None:
            mean = self.hold_seconds_by_service.get(
                ticket.service, INITIAL_HOLD_SECONDS
            )
            mean += HOLD_WEIGHT * (held_seconds - mean)
            self.hold_seconds_by_service[ticket.service] = mean

    def match(self, now):
        """Assign free slots to waiting requests.

        Returns
        -------
        list of (Ticket, int)
            Requests that got a slot. Those of peers have the number of the grant,
            those of this instance 0.
        """
        self.fleet.expire_grants(now)
        cells = {ticket.cell for ticket in self.waiting_here()}
        return [
            grant
            for cell in sorted(cells | self.fleet.waiting_cells())
            for grant in self._match_cell(cell, now)
        ]

    def _match_cell(self, cell, now):
        peer_tickets = self.fleet.waiting_tickets(cell)
        is_settled = self._is_settled(cell, now)
        coordinated = [
            ticket
            for ticket in peer_tickets
            if is_settled and ticket.coordinator == self.instance
        ]
        own = [
            ticket
            for ticket in self.tickets_by_service.get(cell.service, ())
            if ticket.cell == cell and self._is_placed_here(ticket, is_settled, now)
        ]
        if not coordinated and not own:
            return
        states = self.targets.usable(cell, now)
        self._refill_rates(cell, states, now)
        load_of = (
            self.targets.load
            if self._knows_load(cell, now)
            else self.targets.assumed_load
        )
        free = self.targets.free_slots(states, load_of)
        if free <= 0:
            return
        order = self._order(states, now)
        paused_here = frozenset(self.targets.paused_here(now))
        for ticket in order.sort((*coordinated, *own)):
            if ticket.coordinator != self.instance and self._yields(
                ticket, peer_tickets, free, now
            ):
                continue
            avoided = self._targets_to_avoid(ticket, paused_here)
            if avoided is None:
                continue
            loads = [
                (state, load_of(state))
                for state in states
                if ticket.accepts(state.record)
            ]
            state = self.selector.choose(ticket, loads, avoided, now)
            if state is None:
                continue
            order.record_start(ticket.route_tier)
            yield ticket, self._grant(ticket, state, now)
            free -= 1
            if free <= 0:
                return

    def _refill_rates(self, cell, states, now):
        """Update how many requests may be granted to targets that name rate limits."""
        limited = [state for state in states if state.named_rate.is_limited]
        if limited:
            share = share_of_rate(
                self.coordinators.is_first_choice(cell.service, cell.data_centre),
                self.targets.reachable_share(),
            )
            for state in limited:
                state.named_rate.refill(share, now)

    def _targets_to_avoid(self, ticket, paused_here):
        """Return the targets that a request must not get; None if it must wait.

        A request in isolation waits while another one with its fingerprint runs.

        Parameters
        ----------
        paused_here : frozenset of str
            Targets that this instance pauses, which its own requests must not get.
        """
        paused = (
            paused_here
            if ticket.owner == self.instance
            else self.fleet.targets_paused_by(ticket.owner)
        )
        avoided = ticket.attempted_targets | paused
        if not ticket.isolated_fingerprint:
            return avoided
        runs = self.targets.isolated_runs()
        if any(fingerprint == ticket.isolated_fingerprint for _, fingerprint in runs):
            return None
        return avoided | {target for target, _ in runs}

    def _knows_load(self, cell, now):
        """Return whether this instance gets reports of all requests run in a cell."""
        return self.is_full_mesh or self.coordinator(cell, now) == self.instance

    def _is_settled(self, cell, now):
        return self.is_full_mesh or self.coordination_terms.is_settled(cell, now)

    def _order(self, states, now):
        """Return the `FairOrder` of requests for the slots of some targets."""
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

    def _is_placed_here(self, ticket, is_settled, now):
        """Return whether this instance itself places one of its requests."""
        if ticket.coordinator == self.instance:
            return is_settled
        answered_at = self.coordinators.last_answer_at(ticket.coordinator)
        fallback = (
            FALLBACK_SECONDS if self.is_full_mesh else LARGE_FLEET_FALLBACK_SECONDS
        )
        unanswered = self.unanswered.seconds(ticket.cell, now)
        return max(now - max(ticket.arrived_at, answered_at), unanswered) > fallback

    @staticmethod
    def _yields(ticket, peer_tickets, free, now):
        """Return whether a request leaves the free slots to better ones on peers."""
        if sum(other.rank < ticket.rank for other in peer_tickets) < free:
            return False
        if ticket.deferred_at is None:
            ticket.deferred_at = now
        return now - ticket.deferred_at < YIELD_SECONDS

    def _grant(self, ticket, state, now):
        """Assign a slot to a request; return the number of the grant or 0."""
        ticket.target = state.record.id
        self.selector.record_choice(ticket, state, now)
        if ticket.owner == self.instance:
            self.tickets_by_service[ticket.service].remove(ticket)
            state.record_start(ticket.route_tier, ticket.isolated_fingerprint)
            return 0
        number = next(self._grant_numbers)
        self.fleet.add_grant(ticket, number, now)
        return number

    def free_slots(self, service, now):
        """Return the number of free slots of a service, as known on this instance."""
        return sum(
            self.targets.free_slots(self.targets.usable(cell, now))
            for cell in self.targets.cells.for_service(service)
        )

    def loads_here(self, now):
        """Return the `CellLoad` of each cell that this instance coordinates.

        Empty in a full mesh, where every instance knows all loads itself.
        """
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
        """Return the target stats of this instance.

        Parameters
        ----------
        coordinator : str
            Instance that coordinates the targets; empty for all targets.
        """
        return self.targets.stats_here(
            now, lambda cell: coordinator in ("", self.coordinator(cell, now))
        )

    def expected_wait(self, service, tier, now):
        """Return the seconds that a new request is expected to wait.

        Parameters
        ----------
        tier : tuple of int
            Its tier; only requests ahead of it in the order count.
        """
        cell = self._choose_cell(service, tier, now)
        if not self._has_waiting(cell):
            return self._wait_here(cell, tier, now)
        return self._recent_waits.get(
            (cell, tier), now, lambda: self._wait_here(cell, tier, now)
        )

    def _has_waiting(self, cell):
        """Return whether requests wait for the slots of a cell."""
        return bool(
            self.tickets_by_service.get(cell.service)
            or self.fleet.waiting_tickets(cell)
        )

    def _wait_here(self, cell, tier, now):
        """Return the expected wait for the targets that this instance can reach."""
        return self.cell_wait(cell, tier, now, self.targets.usable_here(cell, now))

    def cell_wait(self, cell, tier, now, states=None):
        """Return the expected wait in one cell, in seconds.

        It is computed here if all load is known, else as its coordinator reported
        it; infinite without usable targets.

        Parameters
        ----------
        states : list of TargetState or None
            The targets that can be used; all usable ones of the cell if None.
        """
        if states is None:
            states = self.targets.usable(cell, now)
        if not states:
            return float("inf")
        if not self._knows_load(cell, now):
            return self.cell_reports.expected_wait(cell, tier, now)
        free = self.targets.free_slots(
            state for state in states if not state.named_rate.is_limited
        )
        # Of a target with a free slot that names a rate limit, the coordinator alone
        # knows whether it may get a request now.
        may_be_free = any(
            state.named_rate.is_limited and self.targets.load(state) < state.limit()
            for state in states
        )
        # Those that wait get the free slots first.
        position = self._count_ahead(cell, tier, states, now) + (not may_be_free)
        if position <= free:
            return 0.0
        hold_seconds = self.mean_hold_seconds(cell.service)
        throughput = sum(state.throughput(hold_seconds) for state in states)
        return (position - free) / throughput

    def _count_ahead(self, cell, tier, states, now):
        """Return how many requests wait ahead of a new one of a tier."""
        waiting = self._waiting(cell)
        if not waiting:
            return 0
        newest = Ticket(cell.service, tier, now, owner=self.instance)
        ahead = itertools.takewhile(
            lambda ticket: ticket is not newest,
            self._order(states, now).sort([newest, *waiting]),
        )
        return sum(1 for _ in ahead)

    def _waiting(self, cell):
        own = self.tickets_by_service.get(cell.service, ())
        return [
            *(ticket for ticket in own if ticket.cell == cell),
            *self.fleet.waiting_tickets(cell),
        ]

    def _choose_cell_for(self, ticket, now, current=None):
        """Return the cell in which a request of this instance should wait.

        One that needs a software version waits in a cell with targets of it.
        """
        if not ticket.version:
            return self._choose_cell(ticket.service, ticket.tier, now, current)
        cells = self.targets.cells.for_service(ticket.service)
        suitable = [
            cell
            for cell in cells
            if any(
                ticket.accepts(state.record)
                for state in self.targets.usable_here(cell, now)
            )
        ] or cells
        home = current or Cell(ticket.service, self.data_centre)
        return home if home in suitable else self.cell_reports.rng.choice(suitable)

    def _choose_cell(self, service, tier, now, current=None):
        """Return the cell in which a request should wait for a slot.

        Parameters
        ----------
        current : Cell or None
            Cell in which it waits already; that of this data centre if None.
        """
        cells = self.targets.cells.for_service(service)
        if len(cells) == 1:
            return cells[0]
        home = current or Cell(service, self.data_centre)
        wait = self._wait_here(home, tier, now)
        if wait <= OVERFLOW_WAIT_SECONDS:
            return home
        others = [
            cell
            for cell in cells
            if cell != home and self.targets.usable_here(cell, now)
        ]
        other = self.cell_reports.choose_overflow(others, now)
        if other is not None:
            return other
        if wait < float("inf") or not others:
            return home
        return self.cell_reports.rng.choice(others)

    def mean_hold_seconds(self, service):
        """Return the mean time in seconds for which a slot of a service is held."""
        return self.hold_seconds_by_service.get(service, INITIAL_HOLD_SECONDS)

    def running_here(self):
        """Return the counts of requests that this instance runs.

        Returns
        -------
        dict of str to dict of int to int
            By target and route tier.
        """
        return {
            name: dict(+state.running_by_route_tier)
            for name, state in self.targets.state_by_target.items()
            if state.running_here
        }

    def end_isolation(self, ticket):
        """Let other isolated requests run beside a request of this instance."""
        state = self.targets.state_by_target.get(ticket.target)
        if state is not None:
            state.end_isolation(ticket.isolated_fingerprint)
        ticket.isolated_fingerprint = 0

    def isolated_here(self):
        """Return the fingerprints that this instance runs in isolation, by target."""
        return {
            name: tuple(state.isolated_here)
            for name, state in self.targets.state_by_target.items()
            if state.isolated_here
        }

    def waiting_here(self):
        """Return the requests that wait on this instance."""
        return list(itertools.chain.from_iterable(self.tickets_by_service.values()))
