"""Bound the permits of other coordinators that are in progress at a target.

Foreign permits are those that other coordinators granted. A coordinator uses its
share of a target's limit only as far as a load report of the target proves that the
foreign permits in progress there fit within the rest of the limit. See
docs/design/coordinator.md for the proof.
"""

import math
from dataclasses import dataclass, replace

from .shares import share

# After a takeover, a target with at least this limit is granted permits from what the
# former coordinator handed over, before its first report. A target with a lower limit
# is granted none before a report of its own.
MIN_HANDOVER_LIMIT = 4
# A coordinator that counts all published instances as connected, and has done so for
# this long without a usable report, assumes that there are no foreign permits.
REPORT_WAIT_SECONDS = 5.0


@dataclass(frozen=True)
class ForeignPermitBound:
    """An upper bound of the foreign permits at a target at one time.

    Parameters
    ----------
    taken_at : float
        Clock reading for which the bound holds, seconds; entries counted later do
        not increase the share.
    published : int
        Instances on the platform's list at that time.
    permits : int
        Upper bound of the foreign permits granted before that time and still in
        progress.
    from_handover : bool
        Whether the bound comes from a former coordinator instead of a report.
    """

    taken_at: float
    published: int
    permits: int
    from_handover: bool = False


class ForeignPermitTracker:
    """Keeps the best known bound of the foreign permits at one target.

    Attributes
    ----------
    bound : ForeignPermitBound or None
        Best bound proved by a report; None before the first usable report.
    handover_running : int or None
        Permits in progress that the former coordinator counted; None if unknown.
    carried_permits : int
        Permits that entries brought here, which are no longer foreign.
    """

    def __init__(self):
        self.bound = None
        self.handover_running = None
        self.carried_permits = 0

    def record_handover(self, running):
        """Record the permits that a former coordinator counted at the target."""
        self.handover_running = max(running, self.handover_running or 0)

    def allowed_permits(self, limit, leases, published):
        """Return how many permits of this coordinator may be in progress there.

        Parameters
        ----------
        limit : int
            Fleet-wide limit of the target.
        leases : LeaseTable
            Leases of this coordinator's entries.
        published : int
            Instances on the platform's list.
        """
        bound = self.bound
        if bound is None:
            if self.handover_running is None or limit < MIN_HANDOVER_LIMIT:
                return 0
            foreign = max(0, self.handover_running - self.carried_permits)
            bound = ForeignPermitBound(math.inf, published, foreign, from_handover=True)
        return self._allowed(bound, limit, leases, published)

    def observe(self, bound, limit, leases, own_excluded):
        """Update the best bound with one derived from a load report.

        Parameters
        ----------
        bound : ForeignPermitBound
            Bound derived from the report.
        limit : int
            Fleet-wide limit of the target.
        leases : LeaseTable
            Leases of this coordinator's entries.
        own_excluded : bool
            Whether this coordinator's own permits were subtracted from the report's
            total.
        """
        best = self.bound
        published = bound.published
        allowed = self._allowed(bound, limit, leases, published)
        if best is None:
            if own_excluded or allowed >= self.allowed_permits(
                limit, leases, published
            ):
                self.bound = bound
            return
        if bound.taken_at < best.taken_at:
            return
        kept = replace(best, permits=min(best.permits, bound.permits))
        if published == best.published and not leases.has_counted_between(
            best.taken_at, bound.taken_at
        ):
            self.bound = replace(kept, taken_at=bound.taken_at)
        elif allowed >= self._allowed(kept, limit, leases, published):
            self.bound = bound
        else:
            self.bound = kept

    def assume_none(self, now, leases, published):
        """Assume that there are no foreign permits if the target never reports.

        This needs all published instances to have been connected here for
        `REPORT_WAIT_SECONDS`.
        """
        since = now - REPORT_WAIT_SECONDS
        if self.bound is None and leases.counted_entries(since) >= published:
            self.bound = ForeignPermitBound(since, published, 0)

    @staticmethod
    def _allowed(bound, limit, leases, published):
        counted = leases.counted_entries(bound.taken_at)
        members = max(published, bound.published)
        return share(limit, counted, members) - bound.permits
