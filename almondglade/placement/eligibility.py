"""Decide whether this instance may send a target a request now.

Load pattern: targets leave during a release before the list of targets says so, and
full ones ask each caller to stay away for a while, under full load. Each request that
still arrives there is lost or refused, and refused ones come back.

How many requests an eligible target may run is decided elsewhere: by its slots, its
room while it is brittle, the rate that it names, and its rate while it is cold. The
lowest of them counts.
"""

from enum import Enum

# Longest time for which a target can keep this instance away; what it names beyond is
# not usable.
MAX_BACKOFF_SECONDS = 60.0


class Obstacle(Enum):
    """Why a target gets no request; the first that applies counts."""

    LEAVING = "leaving"
    EVACUATED = "its data centre is evacuated"
    LINK_LOST = "no target of its service can be reached from here"
    UNREACHABLE = "the last connection to it failed"
    BACKING_OFF = "it asked not to be called for a while"

    @property
    def is_for_all(self):
        """Whether it holds for requests of all instances."""
        return self in (Obstacle.LEAVING, Obstacle.EVACUATED)

    @property
    def is_unreachable(self):
        """Whether a peer may reach the target although this instance does not."""
        return self in (Obstacle.LINK_LOST, Obstacle.UNREACHABLE)


def find_obstacle(state, evacuated_data_centres, now):
    """Return the `Obstacle` to a request of this instance at a target, or None.

    Parameters
    ----------
    state : TargetState
    evacuated_data_centres : collection of str
    now : float
        Monotonic time.
    """
    record, health = state.record, state.health
    # What the target says of itself goes before the list, which may be older.
    if record.leaving or state.has_said_leaving:
        return Obstacle.LEAVING
    if record.data_centre in evacuated_data_centres:
        return Obstacle.EVACUATED
    if health.is_link_lost:
        return Obstacle.LINK_LOST
    if now < health.paused_until:
        return Obstacle.UNREACHABLE
    if now < state.backs_off_until:
        return Obstacle.BACKING_OFF
    return None


def backoff_end(seconds, now):
    """Return until when a target asks to be left alone; `now` if not usable.

    Parameters
    ----------
    seconds : float or None
        What it names; None if that is not a number.
    """
    if seconds is None or not 0.0 < seconds <= MAX_BACKOFF_SECONDS:
        return now
    return now + seconds
