"""Leases of the entries that a coordinator counts as connected."""

import math
from bisect import bisect_right
from dataclasses import dataclass

# An entry counts as connected for this long after the sending of the latest heartbeat
# that it has acknowledged. An entry that moves to another coordinator is not counted
# there before its lease here has expired.
LEASE_SECONDS = 0.8


@dataclass
class EntryLease:
    """The lease of one entry.

    Parameters
    ----------
    counted_from : float
        Reading of the coordinator's clock from which the entry counts towards the
        share, seconds.
    acked_ping_sent_at : float
        Reading of the coordinator's clock when the latest heartbeat that the entry has
        acknowledged was sent, seconds.
    heard_at : float
        Latest known reading of the entry's own clock, seconds.
    """

    counted_from: float
    acked_ping_sent_at: float = -math.inf
    heard_at: float = 0.0

    @property
    def ends_at(self):
        """Reading of the coordinator's clock at which the lease expires."""
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
        """Add an entry that joins; its lease starts with an acknowledged heartbeat.

        The Join may have been delayed in transit, so it does not prove that the entry
        is still connected.

        Parameters
        ----------
        entry : str
            Entry id.
        counted_after : float
            Seconds until the entry's lease at its former coordinator has expired.
        """
        self.by_entry[entry] = EntryLease(self.clock() + counted_after)
        self._cached_at = -math.inf

    def renew(self, entry, acked_ping_sent_at, heard_at):
        """Extend the lease of an entry that has acknowledged a heartbeat.

        Parameters
        ----------
        entry : str
            Entry id.
        acked_ping_sent_at : float
            Reading of this clock when the acknowledged heartbeat was sent, seconds.
        heard_at : float
            Latest known reading of the entry's own clock, seconds.
        """
        lease = self.by_entry.get(entry)
        if lease is not None:
            lease.acked_ping_sent_at = max(lease.acked_ping_sent_at, acked_ping_sent_at)
            lease.heard_at = max(lease.heard_at, heard_at)
            self._cached_at = -math.inf

    def drop(self, entry):
        """Remove an entry and its lease."""
        self.by_entry.pop(entry, None)
        self._cached_at = -math.inf

    def is_live(self, entry):
        """Return whether an entry's lease has not expired."""
        lease = self.by_entry.get(entry)
        return lease is not None and self.clock() <= lease.ends_at

    def acked_ping_sent_at(self, entry):
        """Return when the latest heartbeat acknowledged by an entry was sent."""
        lease = self.by_entry.get(entry)
        return -math.inf if lease is None else lease.acked_ping_sent_at

    def counted_entries(self, at=math.inf):
        """Return the number of live entries that counted towards the share at a time.

        Parameters
        ----------
        at : float
            Clock reading, seconds; the present one if later.
        """
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
        """Return whether an entry started to count between two clock readings.

        Entries with an expired lease are included, since it may be renewed later.
        """
        return any(
            since < lease.counted_from <= until for lease in self.by_entry.values()
        )
