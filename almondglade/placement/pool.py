"""Assign the free slots of targets to waiting requests.

Load pattern: several times more requests arrive than the targets can serve, through
all instances at once. Requests wait on the instances and not in the targets' own
queues, which know no tiers. One instance coordinates each cell (a service, or the
part of a large service in one data centre): all others report to it which requests
they run and which wait, and it grants each free slot to the best waiting request of
the fleet. If the coordinator doesn't answer, an instance assigns slots itself, based
on the last reports of the others.
"""

from functools import partial

from .slotrequests import SlotRequests

# Without a coordinator, an instance leaves a free slot to a better request on a peer
# for this long before it uses the slot itself; a few one-way network delays.
YIELD_SECONDS = 0.05
# A request without an answer from a coordinator for this long is placed locally.
FALLBACK_SECONDS = 0.16
# The same in a large fleet, where coordinators answer less often.
LARGE_FLEET_FALLBACK_SECONDS = 0.6
# Interval of the checks for changes by time alone, such as a cold target that may get
# another request: while this instance places waiting requests, and while it only waits
# for grants or nothing waits.
PLACING_CHECK_SECONDS = 0.02
CHECK_SECONDS = 0.1


class Pools(SlotRequests):
    """Assigns free slots to the requests that wait for them, here and on peers."""

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
        limited = [state for state in states if state.named_rate.is_limited]
        self._refill_rates(cell, limited, now)
        load_of = (
            self.targets.load
            if self._knows_load(cell, now)
            else self.targets.assumed_load
        )
        if load_of == self.targets.load and self.moments.is_any_valid(now):
            load_of = partial(self.moments.load_of, now=now)
        free = self.targets.free_slots(states, load_of)
        tickets = (*coordinated, *own)
        self.shares.review(cell, tickets if len(tickets) > free else (), now)
        if free <= 0:
            return
        order = self._order(cell, states, now)
        paused_here = frozenset(self.targets.paused_here(now))
        for ticket in order.sort(tickets):
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
            self.shares.record_grant(cell, ticket)
            yield ticket, self._grant(ticket, state, now)
            free -= 1
            if free <= 0:
                return

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

    def next_check_seconds(self, now):
        """Return the seconds until the waiting requests must be looked at again.

        Grants of other coordinators arrive as messages. What else concerns a request
        that waits for one takes several of the longer intervals.
        """
        tickets = self.waiting_here()
        if tickets and (
            self.is_full_mesh
            or any(
                self._is_placed_here(ticket, True, now)
                for ticket in {ticket.cell: ticket for ticket in tickets}.values()
            )
        ):
            return PLACING_CHECK_SECONDS
        return CHECK_SECONDS

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
