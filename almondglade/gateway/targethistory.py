"""Read which targets the platform has listed lately, beside those that it lists now.

Load pattern: all gateways of a data centre are lost while targets start again or leave.
A gateway that has just started has not seen it. The store keeps its changes for some
seconds, from which it learns what was listed before its start.
"""

import time

from ..log import get_logger
from ..placement.formerstarts import StartHistory, find_former_starts
from ..platform.connection import HistoryLostError

log = get_logger("origins")

# The time of day may differ by this much between hosts or after a step.
CLOCK_STEP_SECONDS = 2.0
MILLISECONDS_PER_SECOND = 1000


class TargetHistory:
    """Finds the starts of targets that have ended lately.

    Not thread-safe; the caller holds a lock.

    Parameters
    ----------
    read_changes : callable
        Takes a revision after which the changes begin, one up to which they go on at
        least and an era, and returns the `TargetUpdate`s between, or raises
        `HistoryLostError`.
    registry : Registry
        What this gateway has read of the store, and when.
    report_interval : float
        Seconds from one report of a target to the next.
    clock : callable
        Returns monotonic seconds.
    time_of_day : callable
        Returns Unix seconds.
    """

    def __init__(
        self, read_changes, registry, report_interval, clock, time_of_day=time.time
    ):
        self.read_changes = read_changes
        self.registry = registry
        self.report_interval = report_interval
        self.clock = clock
        self.time_of_day = time_of_day
        # Position from which the changes were available at the last call.
        self._oldest = (0, 0)

    def read(self, listed, max_age):
        """Return the `StartHistory` of some time.

        Parameters
        ----------
        listed : iterable of TargetRecord
            The targets that are listed now.
        max_age : float
            Seconds.

        Raises
        ------
        PlatformError
            If the store cannot be reached, or has discarded changes that this gateway
            needs.
        """
        max_age += CLOCK_STEP_SECONDS
        era, newest = self.registry.position
        after = self.registry.revision_at(self.clock() - max_age)
        changes = (
            self._read_oldest(newest, era)
            if after is None
            else self.read_changes(after, newest, era)
        )
        begun_after = (self.time_of_day() - max_age) * MILLISECONDS_PER_SECOND
        former = find_former_starts(changes, listed, begun_after)
        log.info(
            "changes of the list of targets read",
            era=era,
            after=self._oldest[1] if after is None else after,
            until=newest,
            changes=len(changes),
            max_age=max_age,
            former=[start.target for start in former],
        )
        return StartHistory(
            former, changes, self.report_interval, self.registry.first_reading
        )

    def _read_oldest(self, newest, era):
        """Return all changes that the store still has."""
        known_era, oldest = self._oldest
        oldest = oldest if known_era == era else 0
        try:
            changes = self.read_changes(oldest, newest, era)
        except HistoryLostError:
            oldest, changes = self._search_oldest(oldest, newest, era)
        self._oldest = (era, oldest)
        return changes

    def _search_oldest(self, lost, newest, era):
        """Return the oldest revision after which changes are available, and these.

        Parameters
        ----------
        lost : int
            A revision after which they are not.
        """
        oldest, changes = newest, self.read_changes(newest, newest, era)
        while oldest - lost > 1:
            middle = (lost + oldest) // 2
            try:
                changes = self.read_changes(middle, newest, era)
                oldest = middle
            except HistoryLostError:
                lost = middle
        return oldest, changes
