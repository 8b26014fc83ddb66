"""Request rates that targets in need name in their responses.

Load pattern: an overloaded target tells those that call it how many requests per second
it takes from all instances together, until it no longer says so.
"""

import math
from dataclasses import dataclass

NO_LIMIT = math.inf


@dataclass
class NamedRate:
    """The rate limit that one target names at present.

    Attributes
    ----------
    rate : float
        Requests per second from all instances; infinite without a limit.
    named_at : float
        Monotonic time at which the newest response that named a limit was received.
    """

    rate: float = NO_LIMIT
    named_at: float = -math.inf

    @property
    def is_limited(self):
        """Whether it names a limit at present."""
        return self.rate < NO_LIMIT

    def record(self, rate, sent_at, received_at):
        """Record what a response says; return whether the limit has changed.

        Responses overtake each other. One without a limit ends the limit only if its
        request was sent after the last response that named one.

        Parameters
        ----------
        rate : float
            The rate that it names; infinite if none.
        sent_at, received_at : float
            Monotonic times of the request and of the response.
        """
        before = self.rate
        if rate < NO_LIMIT:
            if received_at >= self.named_at:
                self.rate, self.named_at = rate, received_at
        elif sent_at > self.named_at:
            self.rate = NO_LIMIT
        return self.rate != before


def format_rate(rate):
    """Return a rate for logs and dumps; None without a limit."""
    return rate if rate < NO_LIMIT else None
