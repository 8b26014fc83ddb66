"""Request slots from the coordinators, and replace those that do not answer.

Load pattern: instances are killed or cut off while requests wait for their grants. A
request then asks the next coordinator, or in another cell.
"""

from .balancing import DemandBalancing

# Interval of reports to a coordinator while requests wait, in a small and in a large
# fleet. It is unresponsive after two intervals without an answer.
WAITING_REPORT_SECONDS = 0.04
LARGE_FLEET_WAITING_REPORT_SECONDS = 0.1
# Interval of reports to a coordinator while no requests wait.
IDLE_REPORT_SECONDS = 0.5
# A request that has waited for this long may move to another cell.
CELL_MOVE_SECONDS = 0.2


class SlotRequests(DemandBalancing):
    """Adds the requests for slots to the queue."""

    def enqueue(self, ticket, now):
        """Add a request to the queue and request a slot for it."""
        ticket.number = next(self._numbers)
        ticket.owner = self.instance
        ticket.data_centre = self.data_centre
        self._request_slot(ticket, self._choose_first_cell(ticket, now), now)
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
        self.review_demand(now)
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
