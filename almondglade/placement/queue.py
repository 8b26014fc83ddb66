"""The requests that wait on this instance, and what it runs on the targets.

Load pattern: several times more requests arrive than the targets can serve. Each change
of what waits or runs is recorded here; other modules decide on it.
"""

import itertools
import random
from collections import Counter
from functools import partial

from .coordination import CoordinationTerms, Coordinators, UnansweredRequests
from .fairness import FairOrder, arrange_by_arrival
from .moments import Moments
from .outlook import CellReports, RecentWaits
from .places import Ticket
from .returns import ReturnCalendar
from .shares import FairShares
from .targets import Targets
from .timeliness import ResponseTimes, arrange_timely_first

# Weight of the newest sample in the mean time for which a slot is held.
HOLD_WEIGHT = 0.05
# Mean time for which a slot is held, before there are samples.
INITIAL_HOLD_SECONDS = 0.5
# Bits of the random number after which the requests of one start are numbered.
NUMBER_BASE_BITS = 31


class SlotQueue:
    """Slots of all targets and the requests that wait for them on this instance.

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
    request_number_base : int or None
        Requests and bookings are numbered from the next number on. Drawn at random if
        None, so that what peers still hold of an earlier start of this instance names
        no request of this one.

    Attributes
    ----------
    is_full_mesh : bool
        Whether all instances report to this one; in a large fleet, they report only
        to coordinators.
    on_new_term : callable
        Called without arguments when this instance begins to coordinate a cell of a
        large fleet.
    response_times : ResponseTimes
        Learns by when requests must be sent to be answered in time.
    shares : FairShares
        How the slots of a service are shared among workspaces.
    tickets_by_service : dict of str to list of Ticket
        Requests that wait on this instance, the best first.
    latest_grant_by_coordinator : dict of str to int
        Number of the newest grant received from each coordinator.
    returns : ReturnCalendar
        Room that is booked for callers that were told to return.
    moments : Moments
        What targets say of their load at this moment.
    """

    def __init__(
        self,
        instance,
        data_centre,
        selector,
        grant_number_base=0,
        request_number_base=None,
    ):
        if request_number_base is None:
            request_number_base = random.getrandbits(NUMBER_BASE_BITS)
        self.data_centre = data_centre
        self.selector = selector
        self.instance = instance
        self.targets = Targets()
        self.fleet = self.targets.fleet
        self.moments = Moments(self.targets)
        self.coordinators = Coordinators(self.instance)
        self.cell_reports = CellReports()
        self.coordination_terms = CoordinationTerms()
        self.unanswered = UnansweredRequests()
        self.shares = FairShares()
        self.response_times = ResponseTimes()
        self.is_full_mesh = True
        self.returns = ReturnCalendar(instance, request_number_base)
        self.on_new_term = lambda: None
        self.tickets_by_service: dict[str, list[Ticket]] = {}
        self.hold_seconds_by_service: dict[str, float] = {}
        self.latest_grant_by_coordinator: dict[str, int] = {}
        self._recent_waits = RecentWaits()
        self._numbers = itertools.count(request_number_base + 1)
        self._grant_numbers = itertools.count(grant_number_base + 1)

    def set_targets(self, records):
        """Replace the list of targets.

        Parameters
        ----------
        records : iterable of TargetRecord
        """
        self.targets.replace(records)
        self.selector.cold_limiter.retain(self.targets.state_by_target)

    def coordinator(self, cell, now):
        """Return the instance that grants the slots of a cell."""
        return self.coordinators.choose(cell.service, now, cell.data_centre)

    def coordinators_of_service(self, service, now):
        """Return the set of the instances that coordinate the cells of a service."""
        return {
            self.coordinator(cell, now)
            for cell in self.targets.cells.for_service(service)
        }

    def coordinators_of(self, record, now):
        """Return the set of the instances that grant the slots of a target."""
        return {
            self.coordinator(cell, now)
            for cell in self.targets.cells.for_service(record.service)
            if cell.covers(record.data_centre)
        }

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

    def _waiting(self, cell):
        own = self.tickets_by_service.get(cell.service, ())
        return [
            *(ticket for ticket in own if ticket.cell == cell),
            *self.fleet.waiting_tickets(cell),
        ]

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

    def _knows_load(self, cell, now):
        """Return whether this instance gets reports of all requests run in a cell."""
        return self.is_full_mesh or self.coordinator(cell, now) == self.instance

    def _is_settled(self, cell, now):
        return self.is_full_mesh or self.coordination_terms.is_settled(cell, now)

    def _order(self, cell, states, now):
        """Return the `FairOrder` of requests for some targets of a cell."""
        arrange = (
            partial(self.shares.arrange, cell)
            if self.shares.is_active
            else arrange_by_arrival
        )
        return FairOrder(
            lambda: self._running_by_route_tier(states),
            sum(state.limit() for state in states),
            partial(arrange_timely_first, arrange, now)
            if self.response_times.is_active
            else arrange,
        )

    def _running_by_route_tier(self, states):
        running: Counter = Counter()
        for state in states:
            running.update(state.running_by_route_tier)
            running.update(self.fleet.running_by_target.get(state.record.id, ()))
        return running
