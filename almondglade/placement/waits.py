"""Estimate how long a request would wait, and in which cell it should.

Load pattern: more requests wait than slots become free in time, in one data centre or
in all. Who cannot be served in time is told so at once, and requests go to a data
centre that has free slots.
"""

import itertools

from .cells import Cell
from .outlook import OVERFLOW_WAIT_SECONDS, CellLoad
from .places import Ticket
from .queue import SlotQueue


class ExpectedWaits(SlotQueue):
    """Adds estimates of waits to the queue."""

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
        position += self._booked_ahead(cell, tier, now)
        hold_seconds = self.mean_hold_seconds(cell.service)
        throughput = sum(state.throughput(hold_seconds) for state in states)
        return (position - free) / throughput

    def _booked_ahead(self, cell, tier, now):
        """Return how many returns are due in a cell that go before a new request."""
        cells = len(self.targets.cells.for_service(cell.service))
        return self.returns.open_ahead(cell.service, tier, now) / cells

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
