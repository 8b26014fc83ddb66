"""Concurrency limits."""

from almondglade.coordinator.limits import LimitPolicy
from almondglade.messages import Result

GROWTH_PER_COMPLETION = 1.0
BACKOFF = 0.7
SLOW_RATIO = 3.0


class AdaptiveLimit(LimitPolicy):
    """Grow with healthy completions and shrink when runs slow down or fail."""

    name = "adaptive"

    def complete(self, completion, running):
        """Adjust the limit to one run."""
        if completion.result in (Result.BROKEN, Result.REFUSED):
            self.chill()
            return
        if completion.result is not Result.COMPLETED:
            return
        if self._is_slow(completion):
            self.limit = max(1.0, self.limit * BACKOFF)
        elif running >= self.limit / 2:
            self.limit = min(self.limit + GROWTH_PER_COMPLETION, float(self.maximum))

    def _is_slow(self, completion):
        work = max(1, completion.output_tokens)
        pace = completion.duration / work
        if self.baseline == 0 or pace < self.baseline:
            self.baseline = pace
        return pace > SLOW_RATIO * self.baseline


class FixedLimit(LimitPolicy):
    """Allow the declared maximum at all times: a baseline."""

    name = "fixed"

    def __init__(self, target, maximum, clock):
        super().__init__(target, maximum, clock)
        self.limit = float(maximum)

    def chill(self):
        """Keep the declared maximum."""

    def complete(self, completion, running):
        """Learn nothing."""
