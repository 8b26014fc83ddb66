"""Who may run the request of a caller's own key: the record at each instance."""

import threading
from collections import Counter, OrderedDict
from dataclasses import dataclass

from .codec import Holder

MAX_CLAIMS = 100_000
# A claim must be used this soon after its round began, else it is made again.
CLAIM_VALID_SECONDS = 5.0
# Kept beyond the window, for a claimant paused between claim and use.
PAUSE_MARGIN_SECONDS = 60.0


@dataclass
class Claim:
    """One recorded claim.

    Parameters
    ----------
    renewed_at : float
        Monotonic seconds of its latest renewal.
    used : bool
        Set at its holder when the request may be dispatched; never yielded
        after that.
    """

    holder: Holder
    renewed_at: float
    used: bool = False


class ClaimTable:
    """The holder of each caller's own key, as this process knows it.

    Parameters
    ----------
    own : Holder
        This process.
    clock : callable
        Returns monotonic seconds.
    window : float
        Seconds for which a key is protected after its first use.
    max_claims : int
        Bound of its memory; a full table accepts no further key.
    """

    def __init__(self, own, clock, window, max_claims=MAX_CLAIMS):
        self.own = own
        self.clock = clock
        self.window = window
        self.max_claims = max_claims
        self.by_scoped_key: OrderedDict = OrderedDict()
        self.counts: Counter = Counter()
        self._lock = threading.Lock()

    @property
    def retention_seconds(self):
        """Seconds for which a claim is kept."""
        return self.window + PAUSE_MARGIN_SECONDS

    def receive(self, scoped_key, claimant, instead_of=None):
        """Take in a claim and return the holder that is now recorded.

        Parameters
        ----------
        scoped_key : ScopedKey
            Workspace and key.
        claimant : Holder
            Who claims it; this process itself too.
        instead_of : Holder or None
            A holder that has itself yielded to the claimant.

        Returns
        -------
        Holder or None
            The claimant if the claim is accepted; None if the table is full.
        """
        with self._lock:
            now = self.clock()
            self._remove_expired(now)
            claim = self.by_scoped_key.get(scoped_key)
            if claim is None:
                if len(self.by_scoped_key) >= self.max_claims:
                    self.counts["refused_full"] += 1
                    return None
                claim = Claim(claimant, now)
            elif not claim.used and self._must_yield(claim, claimant, instead_of):
                claim.holder = claimant
            if claim.holder == claimant:
                self._renew(scoped_key, claim, now)
            return claim.holder

    def yield_to(self, scoped_key, holder):
        """Record another holder in place of this process's unused claim."""
        with self._lock:
            claim = self.by_scoped_key.get(scoped_key)
            if claim is not None and claim.holder == self.own and not claim.used:
                claim.holder = holder
                self.counts["yielded"] += 1

    def mark_used(self, scoped_key, round_started_at):
        """Mark this process's claim as used.

        Parameters
        ----------
        round_started_at : float
            When the round began that all others have accepted.

        Returns
        -------
        bool
            False if the claim was yielded meanwhile or is too old.
        """
        with self._lock:
            claim = self.by_scoped_key.get(scoped_key)
            if claim is None or claim.holder != self.own:
                return False
            if self.clock() - round_started_at > CLAIM_VALID_SECONDS:
                return False
            claim.used = True
            return True

    def snapshot(self):
        """Return sizes and counters for the dump."""
        with self._lock:
            return {"claims": len(self.by_scoped_key), **dict(self.counts)}

    def _must_yield(self, claim, claimant, instead_of):
        """Tell whether an unused claim gives way to another.

        Of two that claim at once the smaller wins; both know the order.
        """
        yields = claim.holder == self.own and _sort_key(claimant) < _sort_key(self.own)
        return yields or claim.holder == instead_of

    def _renew(self, scoped_key, claim, now):
        claim.renewed_at = now
        self.by_scoped_key[scoped_key] = claim
        self.by_scoped_key.move_to_end(scoped_key)

    def _remove_expired(self, now):
        while self.by_scoped_key:
            scoped_key, claim = next(iter(self.by_scoped_key.items()))
            if now - claim.renewed_at <= self.retention_seconds:
                return
            del self.by_scoped_key[scoped_key]


def _sort_key(holder):
    return holder.instance, holder.incarnation
