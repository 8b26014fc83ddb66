"""Check that a target is still the one that was listed, before a stream goes on there.

Load pattern: a gateway stands still or is cut off from the store while targets start
again under their ids, with another software version. What two versions generate does
not fit together, and a target does not tell its version.
"""

import threading

from ..dispatch.call import NotSentError
from ..errors import PlatformError
from ..log import get_logger

log = get_logger("origins")

# A list that was read within this time is taken for that of now: readings of a sound
# store end every 3.2 s at least.
MAX_LIST_AGE_SECONDS = 3.8
# The answer of a target holds for all streams that go on there within this time.
VALIDITY_SECONDS = 0.5


class TargetStarts:
    """Asks engines when they started, while their list may be outdated.

    Parameters
    ----------
    listed_at : callable
        Returns when the list of targets was last known to be the newest.
    is_engine : callable
        Takes the name of a service and returns whether its targets tell their start;
        others might take the question for a request.
    read_start : callable
        Takes a `TargetRecord` and returns the Unix milliseconds of its start.
    clock : callable
        Returns the seconds in which `listed_at` is told.
    """

    def __init__(self, listed_at, is_engine, read_start, clock):
        self.listed_at = listed_at
        self.is_engine = is_engine
        self.read_start = read_start
        self.clock = clock
        self._checked_at_by_incarnation: dict[tuple[str, int], float] = {}
        self._lock = threading.Lock()

    def check(self, record):
        """Check that a target has not started again since it was listed.

        Raises
        ------
        NotSentError
            If it has, or that cannot be found out.
        """
        now = self.clock()
        list_age = now - self.listed_at()
        if list_age <= MAX_LIST_AGE_SECONDS or not record.started_at:
            return
        if not self.is_engine(record.service) or self._is_checked(record, now):
            return
        try:
            start = self.read_start(record)
        except PlatformError as error:
            self._refuse(record, list_age, str(error))
        if start != record.started_at:
            self._refuse(record, list_age, "the target has started again")
        with self._lock:
            self._checked_at_by_incarnation[record.incarnation] = now

    def _is_checked(self, record, now):
        with self._lock:
            self._checked_at_by_incarnation = {
                incarnation: checked_at
                for incarnation, checked_at in self._checked_at_by_incarnation.items()
                if now - checked_at <= VALIDITY_SECONDS
            }
            return record.incarnation in self._checked_at_by_incarnation

    def _refuse(self, record, list_age, cause):
        log.info(
            "stream not sent: the version of the target is not certain",
            target=record.id,
            version=record.version,
            list_age=round(list_age, 3),
            cause=cause,
        )
        raise NotSentError(f"the version of the target is not certain: {cause}")
