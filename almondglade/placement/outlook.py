"""Keep what coordinators report of their cells, and pick an overflow cell.

Load pattern: one data centre has lost targets or has more callers than it can
serve while others have free slots. Its requests go to those, but only while enough
slots are free there, since all instances learn of the same free slots at once.
"""

import random
from dataclasses import dataclass, field, replace

from .cells import Cell
from .demand import Demand

# A reported wait is used for this long: several reply intervals of a busy
# coordinator.
WAIT_VALIDITY_SECONDS = 0.25
# A wait that was counted here is used for this long.
WAIT_CACHE_SECONDS = 0.03
# A reported load of a cell is used for this long: several report intervals.
LOAD_VALIDITY_SECONDS = 1.5
# Requests overflow to another data centre when the wait in their own exceeds this.
OVERFLOW_WAIT_SECONDS = 0.05
# Only cells with more than this share of their slots free accept overflow.
OVERFLOW_FREE_SHARE = 0.1


@dataclass(frozen=True)
class CellLoad:
    """Slots of a cell, as counted by its coordinator.

    Parameters
    ----------
    free : int
        Free slots minus waiting requests; negative if more wait.
    slots : int
        Requests that its targets may run at once.
    age : float
        Seconds since they were counted.
    demand : Demand or None
        Demand of the callers of its data centre; None if it is not known, or if the
        coordinator is of an earlier release.
    """

    cell: Cell
    free: int
    slots: int
    age: float = 0.0
    demand: Demand | None = None


@dataclass(frozen=True)
class TierWaits:
    """Expected waits of new requests of one tier in one cell, in seconds.

    Parameters
    ----------
    plain : float
        Wait of a workspace that has none waiting, or of any if slots are not shared.
    wait_by_workspace : dict of str to float
        Waits of those whose own requests are ahead.
    """

    plain: float = 0.0
    wait_by_workspace: dict[str, float] = field(default_factory=dict)

    def of(self, workspace):
        """Return the wait of a new request of a workspace."""
        return self.wait_by_workspace.get(workspace, self.plain)


class RecentWaits:
    """Expected waits that were counted a moment ago.

    While many requests wait, counting those ahead of a new one orders all of them, and
    several new ones arrive before the order changes much.
    """

    def __init__(self):
        self._waits_by_key: dict[tuple, tuple[TierWaits, float]] = {}

    def get(self, key, now, count):
        """Return the recent waits of a key, or count them.

        Parameters
        ----------
        key : tuple
            Cell and tier.
        count : callable
            Returns the `TierWaits`.
        """
        known = self._waits_by_key.get(key)
        if known is None or now - known[1] > WAIT_CACHE_SECONDS:
            known = self._waits_by_key[key] = (count(), now)
        return known[0]


@dataclass
class CellReports:
    """The newest wait and load that coordinators have reported for each cell.

    Not thread-safe; the caller holds a lock.
    """

    rng: random.Random = field(default_factory=random.Random)
    # Each value ends with the monotonic time at which it was received or counted.
    _waits_by_cell_and_tier: dict[
        tuple[Cell, tuple[int, ...]], dict[str | None, tuple[float, float]]
    ] = field(default_factory=dict)
    _load_by_cell: dict[Cell, tuple[CellLoad, float]] = field(default_factory=dict)

    def record_wait(self, cell, tier, wait, now, workspace=None):
        """Store the wait in seconds that a coordinator expects for a tier.

        Parameters
        ----------
        workspace : str or None
            The only workspace to which it applies; None for all others.
        """
        waits = self._waits_by_cell_and_tier.setdefault((cell, tier), {})
        waits[workspace] = (wait, now)

    def expected_waits(self, cell, tier, now):
        """Return the `TierWaits` of a cell; all 0 without a recent report."""
        reported = self._waits_by_cell_and_tier.get((cell, tier), {})
        recent = {
            workspace: wait
            for workspace, (wait, received_at) in reported.items()
            if now - received_at <= WAIT_VALIDITY_SECONDS
        }
        plain = recent.pop(None, 0.0)
        return TierWaits(
            plain, {name: wait for name, wait in recent.items() if name is not None}
        )

    def record_load(self, load, now):
        """Store the load of a cell if it is newer than the known one."""
        counted_at = now - load.age
        known = self._load_by_cell.get(load.cell)
        if known is None or counted_at > known[1]:
            self._load_by_cell[load.cell] = (load, counted_at)

    def recent_loads(self, now):
        """Return the loads that are recent enough to be forwarded to peers."""
        return [
            replace(load, age=now - counted_at)
            for load, counted_at in self._load_by_cell.values()
            if now - counted_at <= LOAD_VALIDITY_SECONDS
        ]

    def recent_load(self, cell, now):
        """Return the load of a cell, or None if none is recent enough."""
        load, counted_at = self._load_by_cell.get(cell, (None, float("-inf")))
        if load is None or now - counted_at > LOAD_VALIDITY_SECONDS:
            return None
        return replace(load, age=now - counted_at)

    def choose_overflow(self, cells, now):
        """Return one of some cells for overflow, or None if none has capacity.

        It is drawn at random, weighted by free slots, so that instances with the
        same reports don't all choose the same cell.
        """
        free_slots_by_cell = {
            load.cell: load.free
            for load in self.recent_loads(now)
            if load.cell in cells and load.free > OVERFLOW_FREE_SHARE * load.slots
        }
        if not free_slots_by_cell:
            return None
        return self.rng.choices(
            list(free_slots_by_cell), list(free_slots_by_cell.values())
        )[0]
