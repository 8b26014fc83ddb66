"""Track how old the configuration in use may be.

Load pattern: keys are revoked and routes added while some instances cannot read the
store, or read an older copy of it. These must stop accepting keys, and stop denying
routes, unless a peer confirms that their configuration is current.
"""

from dataclasses import dataclass

# Share of the revocation bound for which a confirmation is valid. The rest, 1.2 s of
# 5 s, covers the time until a request reaches its target and a store watch that
# misses changes for a second.
EVIDENCE_VALIDITY_SHARE = 0.76
# How long after a confirmation requests are refused for good out of the configuration.
# Readings of a sound store confirm it every 3.2 s at least.
DENIAL_VALIDITY_SECONDS = 3.8
# A sound store, or else a peer, delivers a newer configuration within this time; keys
# are not accepted out of an older one for longer.
MAX_OUTDATED_SECONDS = 1.5


@dataclass(frozen=True)
class Trust:
    """What may be decided by the configuration in use, or by a newer one.

    Parameters
    ----------
    accepts_keys : bool
        Whether API keys may be accepted.
    may_deny : bool
        Whether a request may be told that its route or key does not exist.
    """

    accepts_keys: bool
    may_deny: bool


class Freshness:
    """The configuration version in use, and when it was last known to be the newest.

    Times are of a clock that also runs while the host is suspended.

    Parameters
    ----------
    revocation_bound : float or None
        Seconds within which a revoked key must stop working; None sets no limit.

    Attributes
    ----------
    version : int
        Version of the configuration in use on this instance.
    newest_known_version : int
        Newest version that this instance or a peer has had in use.
    """

    def __init__(self, revocation_bound):
        self.revocation_bound = revocation_bound
        self.version = 0
        self.newest_known_version = 0
        self._confirmed_at = float("-inf")
        self._outdated_since = float("inf")

    def set_version(self, version):
        """Set the version in use; a lower one than before is ignored."""
        self.version = max(self.version, version)
        self.newest_known_version = max(self.newest_known_version, self.version)
        if not self.is_outdated:
            self._outdated_since = float("inf")

    def confirm(self, version, at, now=None):
        """Record evidence that `version` was the newest one at a time.

        A newer version only marks the one in use as outdated. Evidence for one that is
        known to be outdated is ignored: it is as old as its source.

        Parameters
        ----------
        version : int
        at : float
            When it was the newest; minus infinity if that is not known.
        now : float or None
            When this instance learns of it; None if that is at the same time.
        """
        self.newest_known_version = max(self.newest_known_version, version)
        if self.is_outdated:
            self._outdated_since = min(self._outdated_since, at if now is None else now)
        if version == self.version and not self.is_outdated:
            self._confirmed_at = max(self._confirmed_at, at)

    def age(self, now):
        """Return the seconds since the configuration was confirmed as the newest."""
        return now - self._confirmed_at

    @property
    def is_outdated(self):
        """Whether a version newer than the one in use is known to exist."""
        return self.newest_known_version > self.version

    def accepts_keys(self, now):
        """Return whether API keys may be accepted."""
        if self.revocation_bound is None:
            return self.version > 0
        return (
            self.version > 0
            and now - self._outdated_since <= MAX_OUTDATED_SECONDS
            and self.age(now) <= EVIDENCE_VALIDITY_SHARE * self.revocation_bound
        )

    def may_deny(self, now):
        """Return whether a request may be told that its route or key does not exist.

        Another version may have it, so that the caller should come back.
        """
        return not self.is_outdated and self.age(now) <= DENIAL_VALIDITY_SECONDS

    def trust(self, now):
        """Return the `Trust` in the configuration in use."""
        return Trust(self.accepts_keys(now), self.may_deny(now))
