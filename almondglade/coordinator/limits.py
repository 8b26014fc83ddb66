"""Concurrency limit of one target: the base of the policies."""

import abc
import math
from typing import ClassVar

from ..messages import Result, TargetState
from ..plugins import Plugin

COLD_LIMIT = 1.0
# A target that refused a connection gets nothing for a time that doubles.
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0


class LimitPolicy(Plugin, abc.ABC):
    """How many requests one target may run at once.

    Parameters
    ----------
    target : str
        Target id.
    maximum : int
        Declared upper bound.
    clock : callable
        Returns monotonic seconds.
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
        """Whether the target may be tried before others; not soon after a refusal.

        A target that refuses at once always has room, and would otherwise draw
        in all that waits.
        """
        return self.clock() >= self._backoff_until

    def record_result(self, result):
        """Close the target for a time if it refused, else forget refusals."""
        if result not in (Result.REFUSED, Result.UNUSED):
            self._backoff_seconds = MIN_BACKOFF_SECONDS
        elif result is Result.REFUSED and self.is_available:
            self._backoff_until = self.clock() + self._backoff_seconds
            self._backoff_seconds = min(2 * self._backoff_seconds, MAX_BACKOFF_SECONDS)

    def pace(self, running):
        """Return the expected seconds per token at a concurrency; 0 if unknown."""
        return self.baseline

    @property
    def current(self):
        """Whole requests that may run at once, at least one."""
        return max(1, min(int(self.limit), self.maximum))

    @property
    def state(self):
        """What a later coordinator needs to go on from here."""
        return TargetState(self.target, self.epoch, self.limit, self.baseline)

    def adopt(self, state):
        """Go on from what another coordinator has learnt.

        A state from another start of the target's process is ignored, since
        that process has been cold since.
        """
        if self.epoch in ("", state.epoch) and state.limit > self.limit:
            self.epoch = state.epoch or self.epoch
            self.limit = min(state.limit, float(self.maximum))
            self.baseline = state.baseline

    def observe_epoch(self, epoch):
        """Return to the cold limit when the target's process has restarted.

        Returns
        -------
        bool
            True if it has.
        """
        restarted = bool(self.epoch) and epoch != self.epoch
        self.epoch = epoch
        if restarted:
            self.reset_to_cold()
        return restarted

    def suspend(self):
        """Become cold until a report shows that the process is the same.

        A target that returns to service may have been restarted meanwhile. The
        base forgets what it has learnt.
        """
        self.reset_to_cold()

    def reset_to_cold(self):
        """Fall back to the limit of a cold target."""
        self.limit = COLD_LIMIT
        self.baseline = 0.0

    @abc.abstractmethod
    def complete(self, completion, running):
        """Learn from a run that ended.

        Parameters
        ----------
        completion : Completion
            How the run ended.
        running : int
            Requests in progress when it ended, itself included.
        """
