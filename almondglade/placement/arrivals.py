"""Count what arrives at the instances of a data centre, and foresee its rate.

Load pattern: demand rises and falls by half within a few seconds, in clumps, so that a
mean of the last seconds is late and a difference of two moments is mostly noise.
"""

import operator
import statistics
from collections import Counter
from dataclasses import dataclass

# Arrivals are counted in intervals of this length, over this many; long enough for
# clumps to average out, short against a wave of 11 s.
BUCKET_SECONDS = 0.1
WINDOW_BUCKETS = 20
# A counter that was not reported for this long starts anew, as in `outlook.py`.
COUNTER_EXPIRY_SECONDS = 1.5


@dataclass(frozen=True)
class Rate:
    """Requests per second, their change per second, and the standard error."""

    now: float
    trend: float
    error: float


class Arrivals:
    """Arrivals of requests at the instances of one data centre.

    Instances report counters, so that a lost report loses no arrivals.
    """

    def __init__(self):
        self._counter_by_instance: dict[str, tuple[int, float]] = {}
        self._count_by_bucket: Counter = Counter()
        self._began_at: float | None = None

    def record(self, instance, count, now):
        """Record the counter of an instance.

        Parameters
        ----------
        count : int
            Arrivals since its start.
        now : float
            Monotonic seconds.
        """
        if self._began_at is None:
            self._began_at = now
        known, known_at = self._counter_by_instance.get(instance, (count, now))
        self._counter_by_instance[instance] = (count, now)
        if known <= count and now - known_at <= COUNTER_EXPIRY_SECONDS:
            self._count_by_bucket[_bucket(now)] += count - known

    def rate(self, now):
        """Return the `Rate`; None until a whole window is known."""
        newest = _bucket(now)
        oldest = newest - WINDOW_BUCKETS
        for bucket in [key for key in self._count_by_bucket if key < oldest]:
            del self._count_by_bucket[bucket]
        if self._began_at is None or _bucket(self._began_at) >= oldest:
            return None
        counts = [self._count_by_bucket[key] for key in range(oldest, newest)]
        mean = statistics.fmean(counts)
        middle = (WINDOW_BUCKETS - 1) / 2
        offsets = [index - middle for index in range(WINDOW_BUCKETS)]
        squares = sum(map(operator.mul, offsets, offsets))
        slope = sum(map(operator.mul, offsets, counts)) / squares
        noise = statistics.fmean(
            (count - mean - slope * offset) ** 2
            for count, offset in zip(counts, offsets, strict=True)
        )
        # A slope within the noise of the arrivals is none.
        slope *= max(0.0, 1.0 - noise / squares / slope**2) if slope else 0.0
        return Rate(
            max(0.0, mean + slope * middle) / BUCKET_SECONDS,
            slope / BUCKET_SECONDS**2,
            (noise / WINDOW_BUCKETS) ** 0.5 / BUCKET_SECONDS,
        )


def _bucket(now):
    return int(now // BUCKET_SECONDS)
