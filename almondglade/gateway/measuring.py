"""Measure how fast a target responds to one request."""

from ..dispatch.events import count_events

# Expected time to the first byte, as a relative measure: a constant plus a share for
# each prompt token.
BASE_FIRST_BYTE_SECONDS = 0.05
FIRST_BYTE_SECONDS_PER_PROMPT_TOKEN = 25e-6
# Fewest events of a stream from which its pace is measured.
MIN_PACE_EVENTS = 8


def expected_first_byte_seconds(prompt_tokens):
    """Return the time to the first byte that a prompt of some size is expected to take.

    It is a relative measure; the slowness of a target is a multiple of it.
    """
    return BASE_FIRST_BYTE_SECONDS + FIRST_BYTE_SECONDS_PER_PROMPT_TOKEN * prompt_tokens


class ResponseMeter:
    """Times one response from the dispatch of its request to its end.

    Parameters
    ----------
    sent_at : float
        Monotonic time at which the request was sent.
    prompt_tokens : int
        Size of the request's prompt.

    Attributes
    ----------
    framing : str or None
        How the end of the body is marked; None before the head has arrived.
    byte_count : int
        Bytes of the body that were passed on.
    """

    def __init__(self, sent_at, prompt_tokens):
        self.sent_at = sent_at
        self.expected_seconds = expected_first_byte_seconds(prompt_tokens)
        self.first_byte_at = None
        self.event_count = 0
        self.framing = None
        self.byte_count = 0

    def feed(self, chunk, now):
        """Record the next bytes; return the slowness if they are the first ones.

        Returns
        -------
        float or None
            Time to the first bytes divided by the time expected for a prompt of this
            size; None for later bytes.
        """
        self.event_count += max(1, count_events(chunk))
        self.byte_count += len(chunk)
        if self.first_byte_at is not None:
            return None
        self.first_byte_at = now
        return (now - self.sent_at) / self.expected_seconds

    def event_seconds(self, now):
        """Return the mean seconds between events, or None if there were too few."""
        if self.first_byte_at is None or self.event_count < MIN_PACE_EVENTS:
            return None
        return (now - self.first_byte_at) / (self.event_count - 1)
