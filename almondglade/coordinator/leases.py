"""Entries that a coordinator counts as connected."""

import math
from bisect import bisect_right
from dataclasses import dataclass

# An entry counts for this long after a heartbeat that it has answered. An
# entry that goes to another coordinator is not counted there before the lease
# here has run out.
LEASE_SECONDS = 0.8


@dataclass
class EntryLease:
    """The lease of one entry, on the coordinator's clock.

    Parameters
    ----------
    acked_ping_sent_at : float
        When the latest heartbeat that the entry answered was sent.
    heard_at : float
        Latest reading of the entry's own clock.
    """

    counted_from: float
    acked_ping_sent_at: float = -math.inf
    heard_at: float = 0.0

    @property
    def ends_at(self):
        """Clock reading at which the lease ends."""
        return self.acked_ping_sent_at + LEASE_SECONDS


class LeaseTable:
    """Leases of all entries of one pool.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.by_entry: dict[str, EntryLease] = {}
        self._cached_at = -math.inf
        self._cached_counted_from: list[float] = []

    def add(self, entry, counted_after):
        """Note an entry that joins; its lease starts with a heartbeat.

        The message may have been on its way for long, so it proves nothing
        about the present.
        """
        self.by_entry[entry] = EntryLease(self.clock() + counted_after)
        self._cached_at = -math.inf

    def renew(self, entry, acked_ping_sent_at, heard_at):
        """Extend a lease after an answered heartbeat.

        Parameters
        ----------
        entry : str
            Entry id.
        acked_ping_sent_at : float
            When the answered heartbeat was sent, on this clock.
        heard_at : float
            Latest reading of the entry's own clock.
        """
        lease = self.by_entry.get(entry)
        if lease is not None:
            lease.acked_ping_sent_at = max(lease.acked_ping_sent_at, acked_ping_sent_at)
            lease.heard_at = max(lease.heard_at, heard_at)
            self._cached_at = -math.inf

    def drop(self, entry):
        """End a lease."""
        self.by_entry.pop(entry, None)
        self._cached_at = -math.inf

    def is_live(self, entry):
        """Tell whether an entry's lease runs."""
        lease = self.by_entry.get(entry)
        return lease is not None and self.clock() <= lease.ends_at

    def acked_ping_sent_at(self, entry):
        """Return when the latest heartbeat that an entry answered was sent."""
        lease = self.by_entry.get(entry)
        return -math.inf if lease is None else lease.acked_ping_sent_at

    def counted_entries(self, at=math.inf):
        """Return the live entries that counted towards the share at a time."""
        now = self.clock()
        if now != self._cached_at:
            self._cached_counted_from = sorted(
                lease.counted_from
                for lease in self.by_entry.values()
                if now <= lease.ends_at
            )
            self._cached_at = now
        return bisect_right(self._cached_counted_from, min(at, now))

    def has_counted_between(self, since, until):
        """Tell whether an entry came to count between two times.

        One whose lease has lapsed is included: it may be renewed later.
        """
        return any(
            since < lease.counted_from <= until for lease in self.by_entry.values()
        )
