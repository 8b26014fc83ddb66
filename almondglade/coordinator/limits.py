"""Base class of the policies that set the concurrency limit of a target."""

import abc
import math
from typing import ClassVar

from ..messages import Result, TargetState
from ..plugins import Plugin

COLD_LIMIT = 1.0
# A target that refused a connection is paused for an exponentially growing time.
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0


class LimitPolicy(Plugin, abc.ABC):
    """Policy for the number of requests that one target may run concurrently.

    Parameters
    ----------
    target : str
        Target id.
    maximum : int
        Declared upper bound of the limit.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    epoch : str
        Start marker of the target's process; empty before the first report.
    limit : float
        Present limit, requests.
    baseline : float
        Seconds per token of an unloaded run; 0 if unknown.
    token_gap : float or None
        Declared goal for the seconds between tokens.
    warm_up : float
        Declared seconds for which a cold target keeps the cold limit.
    """

    registry: ClassVar[dict[str, type]] = {}

    def __init__(self, target, maximum, clock):
        self.target = target
        self.maximum = maximum
        self.clock = clock
        self.epoch = ""
        self.limit = COLD_LIMIT
        self.baseline = 0.0
        self.token_gap: float | None = None
        self.warm_up = 0.0
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._backoff_until = -math.inf

    @property
    def is_available(self):
        """Whether the target is not backing off after a refused connection.

        A target that refuses immediately always has free capacity, and would
        otherwise attract all waiting demands.
        """
        return self.clock() >= self._backoff_until

    def record_result(self, result):
        """Start a backoff if the target refused a connection; reset it after a run."""
        if result not in (Result.REFUSED, Result.UNUSED):
            self._backoff_seconds = MIN_BACKOFF_SECONDS
        elif result is Result.REFUSED and self.is_available:
            self._backoff_until = self.clock() + self._backoff_seconds
            self._backoff_seconds = min(2 * self._backoff_seconds, MAX_BACKOFF_SECONDS)

    def pace(self, running):
        """Return the expected seconds per token at a concurrency; 0 if unknown.

        Parameters
        ----------
        running : int
            Requests in progress.
        """
        return self.baseline

    @property
    def current(self):
        """Whole number of requests that may run concurrently, at least one."""
        return max(1, min(int(self.limit), self.maximum))

    @property
    def state(self):
        """What the next coordinator needs to continue from the present limit."""
        return TargetState(self.target, self.epoch, self.limit, self.baseline)

    def adopt(self, state):
        """Continue from a higher limit that another coordinator has learnt.

        A state from another epoch is ignored, since the target's process has been
        restarted, and so been cold, since then.
        """
        if self.epoch in ("", state.epoch) and state.limit > self.limit:
            self.epoch = state.epoch or self.epoch
            self.limit = min(state.limit, float(self.maximum))
            self.baseline = state.baseline

    def observe_epoch(self, epoch):
        """Return to the cold limit if the target's process has restarted.

        Parameters
        ----------
        epoch : str
            Start marker of the process in the latest load report.

        Returns
        -------
        bool
            True if the process has restarted.
        """
        restarted = bool(self.epoch) and epoch != self.epoch
        self.epoch = epoch
        if restarted:
            self.reset_to_cold()
        return restarted

    def suspend(self):
        """Use the cold limit until a load report shows that the process is the same.

        A target that returns to service may have been restarted in the meantime. This
        base class discards what it has learnt instead of restoring it.
        """
        self.reset_to_cold()

    def reset_to_cold(self):
        """Return to the limit of a cold target and discard the baseline."""
        self.limit = COLD_LIMIT
        self.baseline = 0.0

    @abc.abstractmethod
    def complete(self, completion, running):
        """Update the limit with a run that ended.

        Parameters
        ----------
        completion : Completion
            Result of the run.
        running : int
            Requests in progress when the run ended, including itself.
        """
