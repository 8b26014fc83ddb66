"""Send a share of new requests to other data centres before their own queue is full.

Load pattern: demand swings between data centres in waves (`demand.py`). The coordinator
of a cell decides the share from what all instances of its data centre report; each
instance draws for each request, so that together they move that share and no more.
"""

from dataclasses import replace

from .cells import Cell
from .demand import DemandBalances, draw_data_centre
from .waits import ExpectedWaits


class DemandBalancing(ExpectedWaits):
    """Adds the demand of cells, and the choice of a new request's cell by it.

    Attributes
    ----------
    balances : DemandBalances
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.balances = DemandBalances()

    def _balances_service(self, service):
        return (
            self.balances.is_active
            and not self.is_full_mesh
            and len(self.targets.cells.for_service(service)) > 1
        )

    def record_arrivals(self, instance, data_centre, count_by_service, now):
        """Record the counters of arrivals that an instance has reported.

        Parameters
        ----------
        count_by_service : dict of str to int
        """
        for service, count in count_by_service.items():
            cell = Cell(service, data_centre)
            if (
                self._balances_service(service)
                and self.coordinator(cell, now) == self.instance
            ):
                self.balances.of(cell).arrivals.record(instance, count, now)

    def review_demand(self, now):
        """Decide which shares the cells that are coordinated here give to others."""
        if not self.balances.is_active or self.is_full_mesh:
            return
        self.record_arrivals(
            self.instance, self.data_centre, self.balances.arrivals_by_service, now
        )
        for cell, balance in list(self.balances.balance_by_cell.items()):
            if (
                not self._balances_service(cell.service)
                or self.coordinator(cell, now) != self.instance
            ):
                del self.balances.balance_by_cell[cell]
                continue
            others = [
                load
                for load in self.cell_reports.recent_loads(now)
                if load.cell.service == cell.service
                and load.cell != cell
                and self.targets.is_usable_here(load.cell, now)
            ]
            changes = balance.review(
                self._cell_load(cell, now),
                others,
                self.mean_hold_seconds(cell.service),
                now,
            )
            self.balances.add_changes(changes)

    def _cell_load(self, cell, now):
        balance = self.balances.balance_by_cell.get(cell)
        load = super()._cell_load(cell, now)
        return replace(load, demand=balance.demand) if balance else load

    def _choose_first_cell(self, ticket, now):
        """Return the cell in which a new request of this instance should wait."""
        home = Cell(ticket.service, self.data_centre)
        if not self._balances_service(ticket.service):
            return self._choose_cell_for(ticket, now)
        self.balances.arrivals_by_service[ticket.service] += 1
        given = self.given_shares(home, now)
        name = (
            draw_data_centre(given, self.cell_reports.rng.random()) if given else None
        )
        if name is not None and not ticket.version:
            cell = Cell(ticket.service, name)
            if self._may_give_to(cell, now):
                self.balances.record_move(ticket.service, "demand")
                return cell
        cell = self._choose_cell_for(ticket, now)
        if cell != home:
            self.balances.record_move(ticket.service, "overflow")
        return cell

    def _may_give_to(self, cell, now):
        """Return whether a cell is still heard of, answers, and can be used from here.

        If its own instances do not answer, this one would choose another coordinator,
        which does not know what they run.
        """
        coordinator = self.coordinator(cell, now)
        return (
            self.cell_reports.recent_load(cell, now) is not None
            and self.coordinators.data_centre_of(coordinator) == cell.data_centre
            and self.targets.is_usable_here(cell, now)
        )

    def loads_here(self, now):
        """Return the loads of the cells that are coordinated here.

        That of another data centre is left out while its own instances live but do not
        answer: what they run is not known here, so that its slots would seem free.
        """
        loads = super().loads_here(now)
        if not self.balances.is_active:
            return loads
        return [
            load
            for load in loads
            if load.cell.data_centre == self.data_centre
            or not self.coordinators.has_instances(load.cell.data_centre)
        ]

    def given_shares(self, cell, now):
        """Return the shares of a cell's new requests that go to other data centres.

        Empty without a recent report of its coordinator.
        """
        load = (
            self._cell_load(cell, now)
            if cell in self.balances.balance_by_cell
            else self.cell_reports.recent_load(cell, now)
        )
        return load.demand.given if load is not None and load.demand else {}
