"""Entries that a coordinator counts as connected."""

from dataclasses import dataclass

# An entry counts for this long after a heartbeat that it has answered. An
# entry that goes to another coordinator is not counted there before the lease
# here has run out.
LEASE_SECONDS = 0.8


@dataclass
class EntryLease:
    """The lease of one entry, on the coordinator's clock."""

    counted_from: float
    until: float


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

    def grant(self, entry, counted_after):
        """Start the lease of an entry that joins."""
        now = self.clock()
        self.by_entry[entry] = EntryLease(now + counted_after, now + LEASE_SECONDS)

    def renew(self, entry, sent_at):
        """Extend a lease after an answered heartbeat.

        Parameters
        ----------
        entry : str
            Entry id.
        sent_at : float
            When the answered heartbeat was sent, on this clock.
        """
        lease = self.by_entry.get(entry)
        if lease is not None:
            lease.until = max(lease.until, sent_at + LEASE_SECONDS)

    def drop(self, entry):
        """End a lease."""
        self.by_entry.pop(entry, None)

    def live(self, entry):
        """Tell whether an entry's lease runs."""
        lease = self.by_entry.get(entry)
        return lease is not None and self.clock() <= lease.until

    def counted(self):
        """Return the number of entries that count towards the share."""
        now = self.clock()
        return sum(
            lease.counted_from <= now <= lease.until for lease in self.by_entry.values()
        )
