"""Keep targets within the request rates that they name in their responses.

Load pattern: an overloaded target tells those that call it how many requests per second
it takes from all instances together, until it no longer says so. One instance grants
the requests to it, but which one that is may differ for a moment between instances, and
a partition has one on each side.
"""

import itertools
import math
from dataclasses import dataclass, field

NO_LIMIT = math.inf
# Seconds of its rate that a target may get at once, beyond one request.
BURST_SECONDS = 0.5
# A target that names a lower rate still gets this many requests per second, as only its
# response to one tells that the limit has ended.
MIN_REQUESTS_PER_SECOND = 0.25
# Share of a rate that is granted by an instance which stands in for the coordinator,
# while that one may still be granting requests.
STANDBY_SHARE = 0.25
# Sum of the shares of all sides of a partition.
PARTITION_OVERAGE = 1.25
# A rate that only failures name grows once none has named it for this long, doubles in
# this time, and ends after the last one.
QUIET_SECONDS = 2.0
DOUBLING_SECONDS = 1.0
EXPIRY_SECONDS = 8.0


def share_of_rate(is_first_choice, reachable_share):
    """Return the share of a rate that one coordinator may grant.

    Parameters
    ----------
    is_first_choice : bool
        Whether no live instance would rather coordinate.
    reachable_share : float
        Share of the instances of the fleet that are on this side of a partition.
    """
    share = min(1.0, PARTITION_OVERAGE * reachable_share)
    return share if is_first_choice else STANDBY_SHARE * share


@dataclass
class Statement:
    """What one kind of a target's responses says of a limit.

    Attributes
    ----------
    value : float
        The limit; infinite without one.
    named_at : float
        Monotonic time at which the newest response that named a limit was received.
    unlimited_at : float
        Monotonic time at which the newest request whose response named no limit was
        sent.
    """

    value: float = NO_LIMIT
    named_at: float = -math.inf
    unlimited_at: float = -math.inf

    @property
    def is_limited(self):
        """Whether it names a limit at present."""
        return self.value < NO_LIMIT

    @property
    def said_at(self):
        """Monotonic time since which the value is known."""
        return self.named_at if self.is_limited else self.unlimited_at

    def record(self, value, sent_at, received_at):
        """Record a response.

        Responses overtake each other. One without a limit ends the limit only if its
        request was sent after the last response that named one.
        """
        if value == NO_LIMIT:
            self.unlimited_at = max(self.unlimited_at, sent_at)
            if sent_at > self.named_at:
                self.value = NO_LIMIT
        elif received_at > max(self.named_at, self.unlimited_at):
            self.value, self.named_at = value, received_at


@dataclass
class NamedLimit:
    """A limit that one target names in its responses while it applies.

    Some targets name it only when they fail. A success without it says nothing then;
    the limit ends with a failure that does not name it, or after a while without one.

    Attributes
    ----------
    in_successes, in_failures : Statement
        What its successes and its failures say.
    is_end_from_failures : bool
        Whether the last end of the limit followed from its failures.
    """

    in_successes: Statement = field(default_factory=Statement)
    in_failures: Statement = field(default_factory=Statement)
    is_end_from_failures: bool = False

    @property
    def value(self):
        """The limit that applies; infinite without one."""
        return min(self.in_successes.value, self.in_failures.value)

    @property
    def is_limited(self):
        """Whether it names a limit at present."""
        return self.value < NO_LIMIT

    @property
    def is_from_failures(self):
        """Whether what is known follows from its failures alone."""
        if self.is_limited:
            return not self.in_successes.is_limited
        return self.is_end_from_failures

    @property
    def said_at(self):
        """Monotonic time since which the value is known."""
        is_from_failures = self.is_from_failures
        return (self.in_failures if is_from_failures else self.in_successes).said_at

    def record(self, value, sent_at, received_at, is_failure=False):
        """Record what a response says; return whether the limit has changed.

        Parameters
        ----------
        value : float
            The limit that it names; infinite if none.
        sent_at, received_at : float
            Monotonic times of the request and of the response.
        is_failure : bool
            Whether the response is a failure of the target.
        """
        before = self.value
        was_in_successes = self.in_successes.is_limited
        statement = self.in_failures if is_failure else self.in_successes
        statement.record(value, sent_at, received_at)
        if was_in_successes and not self.in_successes.is_limited:
            # It has named the limit whatever the outcome, so that it has ended.
            self.in_failures.record(NO_LIMIT, sent_at, received_at)
        if not self.is_limited and before < NO_LIMIT:
            self.is_end_from_failures = is_failure
        return self.value != before

    def expire(self, now):
        """End a limit that no failure has named for long; return whether it ended."""
        if not self.is_from_failures or self._unnamed_seconds(now) < EXPIRY_SECONDS:
            return False
        return self.is_limited and self.record(NO_LIMIT, now, now, is_failure=True)

    def _unnamed_seconds(self, now):
        """Return the seconds since a failure has named the limit."""
        return now - self.in_failures.named_at


@dataclass
class NamedRate(NamedLimit):
    """The rate limit that one target names, and what may be granted of it here.

    Its value is in requests per second from all instances.
    """

    _tokens: float = 0.0
    _refilled_at: float = 0.0
    _refill_rate: float = MIN_REQUESTS_PER_SECOND

    @property
    def granted_rate(self):
        """Requests per second that it gets from all instances together."""
        return max(self.value, MIN_REQUESTS_PER_SECOND)

    def record(self, value, sent_at, received_at, is_failure=False):
        """Record what a response says; return whether the limit has changed."""
        was_limited = self.is_limited
        has_changed = super().record(value, sent_at, received_at, is_failure)
        if has_changed and not was_limited:
            # It has just got more than it can take.
            self._tokens, self._refilled_at = 0.0, received_at
        return has_changed

    def refill(self, share, now):
        """Add what may be granted since the last call.

        Parameters
        ----------
        share : float
            Share of the rate that this instance may grant.
        """
        rate = self.granted_rate * share * self._growth(now)
        capacity = 1.0 + BURST_SECONDS * rate
        refilled = self._tokens + max(0.0, now - self._refilled_at) * rate
        self._tokens, self._refilled_at = min(capacity, refilled), now
        self._refill_rate = rate

    def _growth(self, now):
        """Return the factor by which a rate grows that failures no longer name.

        Only more requests can tell soon whether it still applies: at a low rate there
        may be no failure for long.
        """
        if not self.is_from_failures:
            return 1.0
        unnamed = self._unnamed_seconds(now)
        return 2.0 ** max(0.0, (unnamed - QUIET_SECONDS) / DOUBLING_SECONDS)

    @property
    def free_requests(self):
        """Number of requests that may be granted now."""
        return math.floor(self._tokens) if self.is_limited else math.inf

    def grant_times(self):
        """Return in how many seconds from the last refill each further one is allowed.

        Returns
        -------
        iterator of float
            Ascending and without an end.
        """
        interval = 1.0 / self._refill_rate
        first = (math.floor(self._tokens) + 1 - self._tokens) * interval
        return itertools.count(first, interval)

    def record_granted(self):
        """Count a request that was granted."""
        self._tokens -= 1.0


def format_limit(value):
    """Return a limit for logs, dumps and messages; None without one."""
    return value if value < NO_LIMIT else None
