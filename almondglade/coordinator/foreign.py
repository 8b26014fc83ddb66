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
WARM_LIMIT = 4
# Without any usable report for this long, a coordinator that counts all
# published instances goes by their permits alone.
REPORT_WAIT_SECONDS = 5.0


@dataclass(frozen=True)
class Proof:
    """What was known of others' permits at one time.

    Parameters
    ----------
    taken_at : float
        Clock reading; entries counted later do not add to the share.
    published : int
        Instances on the platform's list then.
    foreign : int
        Upper bound of the others' permits granted before then and still in
        progress.
    told : bool
        Whether it rests on a former coordinator's word instead of a report.
    """

    taken_at: float
    published: int
    foreign: int
    told: bool = False


class ForeignBound:
    """The best proof for one target."""

    def __init__(self):
        self.proof = None
        self.told = None
        self.carried = 0

    def tell(self, running):
        """Take in what a former coordinator counted at the target."""
        self.told = max(running, self.told or 0)

    def allowance(self, limit, leases, published):
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
        proof = self.proof
        if proof is None:
            if self.told is None or limit < WARM_LIMIT:
                return 0
            foreign = max(0, self.told - self.carried)
            proof = Proof(math.inf, published, foreign, told=True)
        return self._allow(proof, limit, leases, published)

    def observe(self, proof, limit, leases, settled):
        """Take in what a load report proves.

        Parameters
        ----------
        proof : Proof
            Made from the report.
        settled : bool
            Whether own permits were told apart from others' in it.
        """
        best = self.proof
        published = proof.published
        allowed = self._allow(proof, limit, leases, published)
        if best is None:
            if settled or allowed >= self.allowance(limit, leases, published):
                self.proof = proof
            return
        if proof.taken_at < best.taken_at:
            return
        kept = replace(best, foreign=min(best.foreign, proof.foreign))
        if published == best.published and not leases.has_counted_between(
            best.taken_at, proof.taken_at
        ):
            self.proof = replace(kept, taken_at=proof.taken_at)
        elif allowed >= self._allow(kept, limit, leases, published):
            self.proof = proof
        else:
            self.proof = kept

    def assume_complete(self, now, leases, published):
        """Go by the entries' permits alone when the target never reports."""
        since = now - REPORT_WAIT_SECONDS
        if self.proof is None and leases.counted_entries(since) >= published:
            self.proof = Proof(since, published, 0)

    @staticmethod
    def _allow(proof, limit, leases, published):
        counted = leases.counted_entries(proof.taken_at)
        members = max(published, proof.published)
        return share(limit, counted, members) - proof.foreign
