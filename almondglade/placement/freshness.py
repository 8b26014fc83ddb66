"""Track how old the configuration in use may be.

Load pattern: keys are revoked while some instances cannot read the store. These
must stop accepting keys unless a peer confirms that their configuration is current.
"""

# Share of the revocation bound for which a confirmation is valid. The rest, 1.2 s of
# 5 s, covers the time until a request reaches its target and a store watch that
# misses changes for a second.
EVIDENCE_VALIDITY_SHARE = 0.76


class Freshness:
    """The configuration revision in use, and when it was last known to be the newest.

    Times are of a clock that also runs while the host is suspended.

    Parameters
    ----------
    revocation_bound : float or None
        Seconds within which a revoked key must stop working; None sets no limit.

    Attributes
    ----------
    revision : int
        Revision of the configuration in use on this instance.
    """

    def __init__(self, revocation_bound):
        self.revocation_bound = revocation_bound
        self.revision = 0
        self._confirmed_at = float("-inf")
        self._newest_known_revision = 0

    def set_revision(self, revision):
        """Set the revision in use; a lower one than before is ignored."""
        self.revision = max(self.revision, revision)
        self._newest_known_revision = max(self._newest_known_revision, self.revision)

    def confirm(self, revision, at):
        """Record evidence that `revision` was the newest one at a time.

        A newer revision only marks the one in use as outdated.
        Evidence for an older one is ignored.
        """
        if revision > self.revision:
            self._newest_known_revision = max(self._newest_known_revision, revision)
        elif revision == self.revision:
            self._confirmed_at = max(self._confirmed_at, at)

    def age(self, now):
        """Return the seconds since the configuration was confirmed as the newest."""
        return now - self._confirmed_at

    @property
    def is_outdated(self):
        """Whether a revision newer than the one in use is known to exist."""
        return self._newest_known_revision > self.revision

    def accepts_keys(self, now):
        """Return whether API keys may be accepted."""
        if self.revocation_bound is None:
            return self.revision > 0
        return (
            self.revision > 0
            and self.age(now) <= EVIDENCE_VALIDITY_SHARE * self.revocation_bound
        )
