"""Bound what other coordinators' permits may have in progress at a target.

A coordinator uses its share of a limit only as far as a load report of the
target proves that what others have in progress there fits beside it. See
docs/design/coordinator.md for the argument.
"""

import math
from dataclasses import dataclass, replace

from .shares import share

# A target of at least this limit is granted after a takeover from what the
# former coordinator told; below it, only from a report of the target itself.
MIN_HANDOVER_LIMIT = 4
# Without any usable report for this long, a coordinator that counts all
# published instances goes by their permits alone.
REPORT_WAIT_SECONDS = 5.0


@dataclass(frozen=True)
class ForeignPermitBound:
    """What was known of others' permits at one time.

    Parameters
    ----------
    taken_at : float
        Clock reading; entries counted later do not add to the share.
    published : int
        Instances on the platform's list then.
    permits : int
        Upper bound of the others' permits granted before then and still in
        progress.
    from_handover : bool
        Whether it rests on a former coordinator's word instead of a report.
    """

    taken_at: float
    published: int
    permits: int
    from_handover: bool = False


class ForeignPermitTracker:
    """The best bound for one target."""

    def __init__(self):
        self.bound = None
        self.handover_running = None
        self.carried_permits = 0

    def record_handover(self, running):
        """Take in what a former coordinator counted at the target."""
        self.handover_running = max(running, self.handover_running or 0)

    def allowed_permits(self, limit, leases, published):
        """Return how many own permits may be in progress at the target.

        Parameters
        ----------
        limit : int
            Fleet-wide limit of the target.
        leases : LeaseTable
            Entries of this coordinator.
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
        """Take in what a load report proves.

        Parameters
        ----------
        bound : Proof
            Made from the report.
        own_excluded : bool
            Whether own permits were told apart from others' in it.
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
        """Go by the entries' permits alone when the target never reports."""
        since = now - REPORT_WAIT_SECONDS
        if self.bound is None and leases.counted_entries(since) >= published:
            self.bound = ForeignPermitBound(since, published, 0)

    @staticmethod
    def _allowed(bound, limit, leases, published):
        counted = leases.counted_entries(bound.taken_at)
        members = max(published, bound.published)
        return share(limit, counted, members) - bound.permits
