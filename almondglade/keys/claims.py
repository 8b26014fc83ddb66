"""Each instance's record of the processes that hold caller-supplied keys."""

import threading
from collections import Counter, OrderedDict
from dataclasses import dataclass

from .codec import Holder

MAX_CLAIMS = 100_000
# An accepted claim that is not used within this time of the start of its voting
# round needs a new round.
CLAIM_VALIDITY_SECONDS = 5.0
# Claims are retained this much longer than the window, in case a claimant is paused
# between claiming a key and using it.
PAUSE_MARGIN_SECONDS = 60.0


@dataclass
class Claim:
    """A recorded claim on a key.

    Parameters
    ----------
    holder : Holder
        Process that may run the request of the key.
    renewed_at : float
        Monotonic seconds of the latest renewal.
    used : bool
        Set at the holder once the request may be dispatched; a used claim is
        never yielded.
    """

    holder: Holder
    renewed_at: float
    used: bool = False


class ClaimTable:
    """The holder of each caller-supplied key, as recorded by this process.

    Parameters
    ----------
    own : Holder
        This process.
    clock : callable
        Returns monotonic seconds.
    window : float
        Seconds for which a key is protected after its first use.
    max_claims : int
        Maximum number of claims; a full table accepts no further key.
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
        """Seconds for which a claim is retained after its latest renewal."""
        return self.window + PAUSE_MARGIN_SECONDS

    def receive(self, scoped_key, claimant, instead_of=None):
        """Process a claim and return the holder that is recorded afterwards.

        Parameters
        ----------
        scoped_key : ScopedKey
            Workspace and key.
        claimant : Holder
            Process that claims the key, possibly this one.
        instead_of : Holder or None
            Recorded holder to replace, which has itself yielded to the claimant.

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
            Monotonic seconds at the start of the voting round in which all other
            instances accepted the claim.

        Returns
        -------
        bool
            False if the claim has since been yielded or is too old.
        """
        with self._lock:
            claim = self.by_scoped_key.get(scoped_key)
            if claim is None or claim.holder != self.own:
                return False
            if self.clock() - round_started_at > CLAIM_VALIDITY_SECONDS:
                return False
            claim.used = True
            return True

    def snapshot(self):
        """Return sizes and counters for the state dump."""
        with self._lock:
            return {"claims": len(self.by_scoped_key), **dict(self.counts)}

    def _must_yield(self, claim, claimant, instead_of):
        """Return whether an unused claim yields to another claimant.

        Of two concurrent claimants the one with the smaller (instance,
        incarnation) wins, so that both decide alike.
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
