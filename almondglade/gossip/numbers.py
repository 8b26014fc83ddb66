"""Numbers and names in the messages between instances."""

from ..errors import PeerError

MILLISECONDS_PER_SECOND = 1000.0
# Upper bound on durations on the wire, which keeps the numbers small. Evidence of this
# age is worthless anyway.
MAX_AGE_SECONDS = 1e6


def to_milliseconds(seconds):
    """Return a duration as it goes on the wire."""
    return round(min(seconds, MAX_AGE_SECONDS) * MILLISECONDS_PER_SECOND)


def decode_count(number):
    """Return a whole number, or raise PeerError."""
    if not isinstance(number, int):
        raise PeerError("malformed message: a count is not a number")
    return number


def decode_name(name):
    """Return a name, or raise PeerError."""
    if not isinstance(name, str):
        raise PeerError("malformed message: a name is not a text")
    return name
