"""Judge the health of targets by the outcome of requests to them.

Load pattern: some targets fail, stop answering or slow down while the platform
still lists them as ready. Requests must move to the others at once and return
gradually, without status checks.
"""

from collections import deque
from dataclasses import dataclass, field

# First pause after a failure to connect, and the longest. The first is a few round
# trips, the longest about the time in which a crashed target restarts.
MIN_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 3.0
# Weight of the newest outcome in the smoothed failure share; about ten requests
# determine it.
FAILURE_WEIGHT = 0.2
# A target with at least this share of failures gets one request at a time.
UNHEALTHY_FAILURE_SHARE = 0.35
# The failure share decays to 0 in this time without an outcome, so that a target
# without requests is tried again.
FAILURE_DECAY_SECONDS = 3.0
# Weight of the newest measurement of speed; about eight responses determine the mean.
SPEED_WEIGHT = 0.12
# Outcomes of this time span are counted in the `TargetStats` for other instances.
STATS_WINDOW_SECONDS = 3.0
# Failures, summed over all instances, from which a target can be unhealthy for all.
SHARED_FAILURES = 3


@dataclass(frozen=True)
class TargetStats:
    """Recent results of a target, at one instance or at all.

    Parameters
    ----------
    event_seconds, slowness : float
        As in `Health`.
    finished, failures : int
        Requests that ended in the last seconds, and those of them that failed.
    """

    event_seconds: float = 0.0
    slowness: float = 0.0
    finished: int = 0
    failures: int = 0

    @property
    def successes(self):
        """Requests that did not fail."""
        return self.finished - self.failures

    @property
    def is_unhealthy(self):
        """Whether it fails so often that it should only get single requests."""
        return (
            self.failures >= SHARED_FAILURES
            and self.failures >= UNHEALTHY_FAILURE_SHARE * self.finished
        )


@dataclass
class Health:
    """Results of this instance's requests to one target.

    Attributes
    ----------
    paused_until : float
        Monotonic time until which it gets no requests.
    pause : float
        Length of the last pause in seconds; 0 after a success.
    smoothed_failures : float
        Smoothed share of failed requests, as of `updated_at`.
    updated_at : float
        Monotonic time of the last outcome.
    slowness : float
        Smoothed ratio of the time to the first bytes of a response to the time
        expected for the size of the request; 0 is not known.
    event_seconds : float
        Smoothed time from one event of a stream to the next; 0 is not known.
    answered_at : float
        Monotonic time of the last response.
    is_link_lost : bool
        Whether this instance has lost its links to all targets of the service; it then
        gets no requests until a probe or a response shows that the link is back.
    """

    paused_until: float = 0.0
    pause: float = 0.0
    smoothed_failures: float = 0.0
    updated_at: float = 0.0
    slowness: float = 0.0
    event_seconds: float = 0.0
    answered_at: float = float("-inf")
    is_link_lost: bool = False
    _recent: deque = field(default_factory=deque)
    # Times of failures without a response, which only a later response shows to be
    # those of the target and not of the link to it.
    _unconfirmed_failures: list[float] = field(default_factory=list)

    def stats(self, now):
        """Return the `TargetStats` of this instance."""
        since = now - STATS_WINDOW_SECONDS
        while self._recent and self._recent[0][0] < since:
            self._recent.popleft()
        self._unconfirmed_failures = [
            at for at in self._unconfirmed_failures if at >= since
        ]
        failures = sum(has_failed for _, has_failed in self._recent)
        return TargetStats(
            self.event_seconds, self.slowness, len(self._recent), failures
        )

    def is_paused(self, now):
        """Return whether the target gets no requests for now."""
        return self.is_link_lost or now < self.paused_until

    def is_unhealthy(self, now):
        """Return whether it fails so often that it only gets single requests."""
        return self.failure_share(now) >= UNHEALTHY_FAILURE_SHARE

    def failure_share(self, now):
        """Return the smoothed share of failures, decayed since the last outcome."""
        idle = max(0.0, now - self.updated_at)
        return self.smoothed_failures * max(0.0, 1.0 - idle / FAILURE_DECAY_SECONDS)

    def record_unreachable(self, now):
        """Record that no connection could be made or that it broke; pause."""
        self.pause = min(max(MIN_PAUSE_SECONDS, 2 * self.pause), MAX_PAUSE_SECONDS)
        self.paused_until = now + self.pause
        self._smooth_failure(now)
        self._unconfirmed_failures.append(now)

    def record_failure(self, now):
        """Record a request that the target itself failed or refused."""
        self._smooth_failure(now)
        self._record_answer(now)
        self._recent.append((now, True))

    def _record_answer(self, now):
        self.answered_at = now
        self.is_link_lost = False
        self._recent.extend((at, True) for at in self._unconfirmed_failures)
        self._unconfirmed_failures.clear()

    def _smooth_failure(self, now):
        share = self.failure_share(now)
        self.smoothed_failures = share + FAILURE_WEIGHT * (1.0 - share)
        self.updated_at = now

    def record_success(self, now, slowness=None):
        """Record a response and its slowness.

        Parameters
        ----------
        slowness : float or None
            Ratio of the time to the first bytes to the time expected for the size
            of the request; None if it was not measured.
        """
        share = self.failure_share(now)
        self.smoothed_failures = share * (1.0 - FAILURE_WEIGHT)
        self.updated_at = now
        self._record_answer(now)
        self._recent.append((now, False))
        self.pause = 0.0
        if slowness is not None:
            weight = SPEED_WEIGHT if self.slowness else 1.0
            self.slowness += weight * (slowness - self.slowness)

    def record_stream(self, event_seconds):
        """Record the time between events of a stream that ended well."""
        weight = SPEED_WEIGHT if self.event_seconds else 1.0
        self.event_seconds += weight * (event_seconds - self.event_seconds)
