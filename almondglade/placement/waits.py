"""Estimate how long a request would wait, and in which cell it should.

Load pattern: more requests wait than slots become free in time, in one data centre or
in all. Who cannot be served in time is told so at once, and requests go to a data
centre that has free slots.
"""

import heapq
import itertools
import math

from .cells import Cell
from .outlook import OVERFLOW_WAIT_SECONDS, CellLoad, TierWaits
from .places import Ticket
from .queue import SlotQueue
from .ratelimits import share_of_rate

# Stands for any workspace that has no request waiting; no name has this character.
NEW_WORKSPACE = "\0"


class ExpectedWaits(SlotQueue):
    """Adds estimates of waits to the queue."""

    def expected_wait(self, service, tier, now, workspace=""):
        """Return the seconds that a new request is expected to wait.

        Parameters
        ----------
        tier : tuple of int
            Its tier; only requests ahead of it in the order count.
        workspace : str
            Its workspace, whose own requests may be ahead of it.
        """
        cell = self._choose_cell(service, tier, now, workspace=workspace)
        if not self._has_waiting(cell):
            return self._wait_here(cell, tier, now, workspace)
        waits = self._recent_waits.get(
            (cell, tier), now, lambda: self._waits_here(cell, tier, now)
        )
        return waits.of(workspace)

    def _has_waiting(self, cell):
        """Return whether requests wait for the slots of a cell."""
        return bool(
            self.tickets_by_service.get(cell.service)
            or self.fleet.waiting_tickets(cell)
        )

    def _wait_here(self, cell, tier, now, workspace=""):
        """Return the expected wait for the targets that this instance can reach."""
        return self._waits_here(cell, tier, now).of(workspace)

    def _waits_here(self, cell, tier, now):
        if self._knows_load(cell, now):
            return self.cell_waits(cell, tier, now, self.targets.usable_here(cell, now))
        if not self.targets.is_usable_here(cell, now):
            return TierWaits(float("inf"))
        return self.cell_reports.expected_waits(cell, tier, now)

    def cell_wait(self, cell, tier, now):
        """Return the expected wait in one cell of a workspace that has none waiting."""
        return self.cell_waits(cell, tier, now).plain

    def cell_waits(self, cell, tier, now, states=None):
        """Return the expected waits in one cell.

        They are computed here if all load is known, else as its coordinator reported
        them; infinite without usable targets.

        Parameters
        ----------
        states : list of TargetState or None
            The targets that can be used; all usable ones of the cell if None.

        Returns
        -------
        TierWaits
        """
        if states is None:
            states = self.targets.usable(cell, now)
        if not states:
            return TierWaits(float("inf"))
        if not self._knows_load(cell, now):
            return self.cell_reports.expected_waits(cell, tier, now)
        # Only the coordinator knows whether a target that names a rate limit may get a
        # request now.
        is_coordinator = self.coordinator(cell, now) == self.instance
        limited = [state for state in states if state.named_rate.is_limited]
        if is_coordinator:
            self._refill_rates(cell, limited, now)
        may_be_free = not is_coordinator and any(map(self._has_free_slot, limited))
        free = self.targets.free_slots(
            state
            for state in states
            if is_coordinator or not state.named_rate.is_limited
        )

        def wait(ahead):
            # Those that wait get the free slots first.
            position = ahead + (not may_be_free)
            if position <= free:
                return 0.0
            position += self._booked_ahead(cell, tier, now)
            hold_seconds = self.mean_hold_seconds(cell.service)
            if limited and is_coordinator:
                times = self._grant_times(states, hold_seconds)
                skipped = math.ceil(position - free) - 1
                return next(itertools.islice(times, skipped, None))
            throughput = sum(state.throughput(hold_seconds) for state in states)
            return (position - free) / throughput

        ahead_by_workspace = self._count_ahead(cell, tier, states, now)
        plain = wait(ahead_by_workspace.pop(NEW_WORKSPACE, 0))
        if not ahead_by_workspace:
            return TierWaits(plain)
        own_wait_by_workspace = self.own_waits(cell, tier, now)
        wait_by_workspace = {
            name: wait(ahead) for name, ahead in ahead_by_workspace.items()
        }
        return TierWaits(
            plain,
            {
                # Where slots are free, nobody waits for the pace of a workspace.
                name: seconds and max(seconds, own_wait_by_workspace.get(name, 0.0))
                for name, seconds in wait_by_workspace.items()
            },
        )

    def _has_free_slot(self, state):
        return self.targets.load(state) < state.limit()

    def _refill_rates(self, cell, limited, now):
        """Update how many requests may be granted to targets that name rate limits."""
        if limited:
            share = share_of_rate(
                self.coordinators.is_first_choice(cell.service, cell.data_centre),
                self.targets.reachable_share(),
            )
            for state in limited:
                state.named_rate.refill(share, now)

    def _grant_times(self, states, hold_seconds):
        """Return in how many seconds each further request is expected to be granted.

        A target with a free slot that names a rate limit gets one whenever that allows
        it, the others when one of their requests ends.

        Returns
        -------
        iterator of float
            Ascending and without an end.
        """
        paced = [
            state.named_rate
            for state in states
            if state.named_rate.is_limited and self._has_free_slot(state)
        ]
        others = sum(
            state.throughput(hold_seconds)
            for state in states
            if not state.named_rate.is_limited or not self._has_free_slot(state)
        )
        times = [itertools.count(1 / others, 1 / others)] if others else []
        return heapq.merge(*times, *(rate.grant_times() for rate in paced))

    def own_waits(self, cell, tier, now):
        """Return how long new requests would wait for others of their workspaces.

        Only the coordinator knows it; others use what it has reported.

        Returns
        -------
        dict of str to float
            Seconds by workspace, of those for which it is known.
        """
        if self.coordinator(cell, now) == self.instance:
            return self.shares.own_waits(cell, tier, self._waiting(cell), now)
        return self.cell_reports.expected_waits(cell, tier, now).wait_by_workspace

    def _booked_ahead(self, cell, tier, now):
        """Return how many returns are due in a cell that go before a new request."""
        cells = len(self.targets.cells.for_service(cell.service))
        return self.returns.open_ahead(cell.service, tier, now) / cells

    def _count_ahead(self, cell, tier, states, now):
        """Return how many requests wait ahead of a new one of a tier.

        Returns
        -------
        dict of str to int
            By the workspaces that have requests waiting, and for `NEW_WORKSPACE`;
            only for that if slots are not shared among workspaces.
        """
        waiting = self._waiting(cell)
        if not waiting:
            return {}
        workspaces = {NEW_WORKSPACE}
        if self.shares.is_active:
            workspaces.update(
                ticket.workspace for ticket in waiting if ticket.tier == tier
            )
        newest = {
            Ticket(cell.service, tier, now, owner=self.instance, workspace=workspace)
            for workspace in workspaces
        }
        ahead_by_workspace: dict[str, int] = {}
        ahead = 0
        for ticket in self._order(cell, states, now).sort([*newest, *waiting]):
            if ticket not in newest:
                ahead += 1
                continue
            ahead_by_workspace[ticket.workspace] = ahead
            if len(ahead_by_workspace) == len(workspaces):
                break
        return ahead_by_workspace

    def _choose_cell_for(self, ticket, now, current=None):
        """Return the cell in which a request of this instance should wait.

        One that needs a software version waits in a cell with targets of it.
        """
        if not ticket.version:
            return self._choose_cell(
                ticket.service, ticket.tier, now, current, ticket.workspace
            )
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

    def _choose_cell(self, service, tier, now, current=None, workspace=""):
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
        wait = self._wait_here(home, tier, now, workspace)
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
