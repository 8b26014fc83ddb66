"""Measure how fast a target answers one request."""

from .events import count_events

# Relative cost of a request: a constant and a share for each prompt token.
BASE_SECONDS = 0.05
PROMPT_TOKEN_SECONDS = 25e-6
# Events of a stream that tell its pace.
MIN_PACE_EVENTS = 8


class AnswerMeter:
    """Times one answer from its request to its end.

    Parameters
    ----------
    sent_at : float
        Monotonic time of the request.
    prompt_tokens : int
        Size of the request.
    """

    def __init__(self, sent_at, prompt_tokens):
        self.sent_at = sent_at
        self.expected = BASE_SECONDS + PROMPT_TOKEN_SECONDS * prompt_tokens
        self.first_at = None
        self.events = 0

    def feed(self, chunk, now):
        """Take in the next bytes; return the slowness if they are the first.

        Returns
        -------
        float or None
            Time to the first bytes over what is expected of the size.
        """
        self.events += max(1, count_events(chunk))
        if self.first_at is not None:
            return None
        self.first_at = now
        return (now - self.sent_at) / self.expected

    def event_seconds(self, now):
        """Return the time between events, or None if there were too few."""
        if self.first_at is None or self.events < MIN_PACE_EVENTS:
            return None
        return (now - self.first_at) / (self.events - 1)
