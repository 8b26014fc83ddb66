"""Judge targets by what requests to them show.

Load pattern: some targets fail, fall silent or slow down while the platform
still lists them as ready; requests must turn to the others at once, and return
gently, without status checks.
"""

from collections import deque
from dataclasses import dataclass, field

# First pause after a failure to connect, and the longest; seconds. The first is
# a few round trips, the longest about a crashed target's restart.
MIN_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 3.0
# Weight of the newest outcome in the share of failures: ten requests decide.
FAILURE_WEIGHT = 0.2
# A target with this share of failures gets one request at a time.
SICK_SHARE = 0.35
# The share is forgotten with this time constant, so that a target that gets
# nothing is tried again; seconds.
FAILURE_DECAY_SECONDS = 3.0
# Weight of the newest measurement of speed: about eight answers decide.
SPEED_WEIGHT = 0.12
# Answers of this time tell the other instances how a target fares, seconds.
STATS_WINDOW_SECONDS = 3.0
# Failures at several instances that make a target sick for all.
SHARED_FAILURES = 3


@dataclass(frozen=True)
class TargetStats:
    """How a target has fared lately, at one instance or at all.

    Parameters
    ----------
    event_seconds, slowness : float
        As of `Health`.
    finished, failures : int
        Requests that ended in the last seconds, and those that failed.
    """

    event_seconds: float = 0.0
    slowness: float = 0.0
    finished: int = 0
    failures: int = 0

    @property
    def is_sick(self):
        """Whether it fails so often that it should only get single requests."""
        return (
            self.failures >= SHARED_FAILURES
            and self.failures >= SICK_SHARE * self.finished
        )


@dataclass
class Health:
    """What requests have shown of one target.

    Attributes
    ----------
    paused_until : float
        Monotonic time before which it gets nothing.
    slowness : float
        Smoothed time to the first answer over what is expected of its size.
    event_seconds : float
        Smoothed time from one event of a stream to the next; 0 is not known.
    """

    paused_until: float = 0.0
    pause: float = 0.0
    failures: float = 0.0
    judged_at: float = 0.0
    slowness: float = 0.0
    event_seconds: float = 0.0
    _recent: deque = field(default_factory=deque)

    def stats(self, now):
        """Return the `TargetStats` of this instance."""
        while self._recent and now - self._recent[0][0] > STATS_WINDOW_SECONDS:
            self._recent.popleft()
        failures = sum(has_failed for _, has_failed in self._recent)
        return TargetStats(
            self.event_seconds, self.slowness, len(self._recent), failures
        )

    def is_paused(self, now):
        """Tell whether the target gets nothing for now."""
        return now < self.paused_until

    def is_sick(self, now):
        """Tell whether it fails so often that it only gets single requests."""
        return self.failure_share(now) >= SICK_SHARE

    def failure_share(self, now):
        """Return the smoothed share of failures, forgotten over time."""
        idle = max(0.0, now - self.judged_at)
        return self.failures * max(0.0, 1.0 - idle / FAILURE_DECAY_SECONDS)

    def unreachable(self, now):
        """Note that no connection could be made, or that it broke."""
        self.pause = min(max(MIN_PAUSE_SECONDS, 2 * self.pause), MAX_PAUSE_SECONDS)
        self.paused_until = now + self.pause
        self.failed(now)

    def failed(self, now):
        """Note a request that failed at the target."""
        share = self.failure_share(now)
        self.failures = share + FAILURE_WEIGHT * (1.0 - share)
        self.judged_at = now
        self._recent.append((now, True))

    def succeeded(self, now, slowness=None):
        """Note an answer and how slow it was.

        Parameters
        ----------
        slowness : float or None
            Time to the first answer over what is expected of its size.
        """
        share = self.failure_share(now)
        self.failures = share * (1.0 - FAILURE_WEIGHT)
        self.judged_at = now
        self._recent.append((now, False))
        self.pause = 0.0
        if slowness is not None:
            weight = SPEED_WEIGHT if self.slowness else 1.0
            self.slowness += weight * (slowness - self.slowness)

    def streamed(self, event_seconds):
        """Note the pace of a stream that ended well."""
        weight = SPEED_WEIGHT if self.event_seconds else 1.0
        self.event_seconds += weight * (event_seconds - self.event_seconds)
