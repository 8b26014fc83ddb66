"""Tell how long messages of peers were on their way.

Load pattern: an instance stands still for seconds and then reads what its peers sent
meanwhile. What these messages say was true when they were sent, not when they are
read.

The clocks of two hosts differ by an unknown offset, but run at nearly the same rate:
the smallest difference between receipt and sending is that of a message without delay,
and any larger one shows by how much a message was delayed.
"""

from dataclasses import dataclass

# A live peer reports at least once within this time, so that at least one of its
# messages was not delayed by an earlier pause of this instance.
SETTLING_SECONDS = 1.5
# A longer time between two reports of a peer counts as this long, as this instance may
# have paused once more.
MAX_COUNTED_GAP_SECONDS = 0.7
# A peer that was silent for this long is a new one: its host may have started again.
RETENTION_SECONDS = 30.0
# Largest difference of two clocks' rates: NTP slews each by at most 500 ppm.
MAX_DRIFT = 1e-3


@dataclass
class _PeerClock:
    """Smallest difference of receipt and sending, and for how long it was looked for.

    All times are in seconds.
    """

    incarnation: int
    updated_at: float
    offset: float
    observed: float = 0.0


class PeerClocks:
    """Offsets of the peers' clocks; all clocks also run while a host is suspended."""

    def __init__(self):
        self._clock_by_peer: dict[str, _PeerClock] = {}

    def delay(self, peer, incarnation, sent_at, now):
        """Return for how many seconds a message was delayed, or None if unknown.

        Parameters
        ----------
        peer : str
            Name of the sender.
        incarnation : int
            Incarnation of the sender.
        sent_at : float or None
            Seconds on the sender's clock; None if it does not tell.
        now : float
            Seconds on this instance's clock.
        """
        if sent_at is None:
            return None
        offset = now - sent_at
        clock = self._clock_by_peer.get(peer)
        if (
            clock is None
            or clock.incarnation != incarnation
            or now - clock.updated_at > RETENTION_SECONDS
        ):
            clock = _PeerClock(incarnation, now, offset)
            self._clock_by_peer[peer] = clock
        gap = max(0.0, now - clock.updated_at)
        clock.offset = min(offset, clock.offset + MAX_DRIFT * gap)
        clock.observed += min(gap, MAX_COUNTED_GAP_SECONDS)
        clock.updated_at = now
        if clock.observed < SETTLING_SECONDS:
            return None
        return offset - clock.offset
