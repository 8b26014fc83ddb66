"""What coordinators have told of their cells, and the cell that a request asks.

Load pattern: one data centre has lost targets or gets more callers than it bears
while others have free places. Its requests go to those, but only while there is
room, since every instance hears of the same room at the same time.
"""

import random
from dataclasses import dataclass, field

from .cells import Cell

# An expected wait is believed for this long; some answers of a busy coordinator.
WAIT_SECONDS = 0.25
# The free places of a cell are believed for this long; several regular reports.
FREE_SECONDS = 1.5
# Requests leave their own data centre when the wait there is longer than this.
LEAVE_WAIT_SECONDS = 0.05
# They do so for cells with at least this share of their places free.
LEAVE_FREE_SHARE = 0.1


@dataclass(frozen=True)
class CellLoad:
    """Places of a cell, as its coordinator has counted them.

    Parameters
    ----------
    free : int
        Free places less the requests that wait.
    places : int
        Requests that its targets may run at once.
    age : float
        Seconds since they were counted.
    """

    cell: Cell
    free: int
    places: int
    age: float = 0.0


@dataclass
class Outlook:
    """The newest that was told of each cell.

    Not safe for threads; the owner holds a lock.
    """

    rng: random.Random = field(default_factory=random.Random)
    _wait_by_request: dict[tuple[Cell, tuple[int, ...]], tuple[float, float]] = field(
        default_factory=dict
    )
    _load_by_cell: dict[Cell, tuple[CellLoad, float]] = field(default_factory=dict)

    def take_wait(self, cell, tier, wait, now):
        """Note the wait that a coordinator expects for requests of a tier."""
        self._wait_by_request[cell, tier] = (wait, now)

    def wait(self, cell, tier, now):
        """Return the expected wait; 0 if nothing was told lately."""
        wait, told_at = self._wait_by_request.get((cell, tier), (0.0, now))
        return wait if now - told_at <= WAIT_SECONDS else 0.0

    def take_load(self, load, now):
        """Note the load of a cell if it is newer than what is known."""
        counted_at = now - load.age
        known = self._load_by_cell.get(load.cell)
        if known is None or counted_at > known[1]:
            self._load_by_cell[load.cell] = (load, counted_at)

    def loads(self, now):
        """Return the loads that are recent enough to be passed on."""
        return [
            CellLoad(cell, load.free, load.places, now - counted_at)
            for cell, (load, counted_at) in self._load_by_cell.items()
            if now - counted_at <= FREE_SECONDS
        ]

    def choose_other(self, cells, now):
        """Return one of some cells with room, at random by the room; or None."""
        room = {
            load.cell: load.free
            for load in self.loads(now)
            if load.cell in cells and load.free > LEAVE_FREE_SHARE * load.places
        }
        if not room:
            return None
        return self.rng.choices(list(room), list(room.values()))[0]
