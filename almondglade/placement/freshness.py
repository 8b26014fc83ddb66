"""Tell how old the configuration in force may be.

Load pattern: keys are revoked while some instances cannot read the store; they
must stop accepting keys unless somebody proves that theirs are current.
"""

# Share of the revocation bound for which evidence is believed; the rest, 1.2 s of
# 5 s, covers the way to the target and a watch that is deaf for a second.
BELIEVED_SHARE = 0.76


class Freshness:
    """Evidence that no version newer than a revision existed at a time.

    Times are of a clock that also counts while the host is suspended.

    Parameters
    ----------
    bound : float or None
        Seconds in which a revoked key must stop working; None sets no limit.

    Attributes
    ----------
    revision : int
        Revision of the configuration in force here.
    """

    def __init__(self, bound):
        self.bound = bound
        self.revision = 0
        self._confirmed_at = float("-inf")
        self._newest_known = 0

    def hold(self, revision):
        """Note the revision that is in force here from now on."""
        self.revision = max(self.revision, revision)
        self._newest_known = max(self._newest_known, self.revision)

    def confirm(self, revision, at):
        """Take evidence that `revision` was the newest at a time."""
        if revision > self.revision:
            self._newest_known = max(self._newest_known, revision)
        elif revision == self.revision:
            self._confirmed_at = max(self._confirmed_at, at)

    def age(self, now):
        """Return the seconds since the configuration was surely the newest."""
        return now - self._confirmed_at

    @property
    def is_behind(self):
        """Whether somebody knows a newer revision."""
        return self._newest_known > self.revision

    def accepts_keys(self, now):
        """Tell whether API keys may be accepted."""
        if self.bound is None:
            return self.revision > 0
        return self.revision > 0 and self.age(now) <= BELIEVED_SHARE * self.bound
