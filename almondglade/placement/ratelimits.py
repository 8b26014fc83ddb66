"""Keep targets within the request rates that they name in their responses.

Load pattern: an overloaded target tells those that call it how many requests per second
it takes from all instances together, until it no longer says so. One instance grants
the requests to it, but which one that is may differ for a moment between instances, and
a partition has one on each side.
"""

import math
from dataclasses import dataclass

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
class NamedLimit:
    """A limit that one target names in its responses while it applies.

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
        """Record what a response says; return whether the limit has changed.

        Responses overtake each other. One without a limit ends the limit only if its
        request was sent after the last response that named one.

        Parameters
        ----------
        value : float
            The limit that it names; infinite if none.
        sent_at, received_at : float
            Monotonic times of the request and of the response.
        """
        before = self.value
        if value == NO_LIMIT:
            self.unlimited_at = max(self.unlimited_at, sent_at)
            if sent_at > self.named_at:
                self.value = NO_LIMIT
        elif received_at > max(self.named_at, self.unlimited_at):
            self.value, self.named_at = value, received_at
        return self.value != before


@dataclass
class NamedRate(NamedLimit):
    """The rate limit that one target names, and what may be granted of it here.

    Its value is in requests per second from all instances.
    """

    _tokens: float = 0.0
    _refilled_at: float = 0.0

    @property
    def granted_rate(self):
        """Requests per second that it gets from all instances together."""
        return max(self.value, MIN_REQUESTS_PER_SECOND)

    def record(self, value, sent_at, received_at):
        """Record what a response says; return whether the limit has changed."""
        was_limited = self.is_limited
        has_changed = super().record(value, sent_at, received_at)
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
        rate = self.granted_rate * share
        capacity = 1.0 + BURST_SECONDS * rate
        refilled = self._tokens + max(0.0, now - self._refilled_at) * rate
        self._tokens, self._refilled_at = min(capacity, refilled), now

    @property
    def free_requests(self):
        """Number of requests that may be granted now."""
        return math.floor(self._tokens) if self.is_limited else math.inf

    def record_granted(self):
        """Count a request that was granted."""
        self._tokens -= 1.0


def format_limit(value):
    """Return a limit for logs, dumps and messages; None without one."""
    return value if value < NO_LIMIT else None
