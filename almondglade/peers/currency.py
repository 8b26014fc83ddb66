"""Decide whether the configuration of this instance is recent enough to dispatch.

A partitioned instance could miss that operators take a data centre out of service. It
therefore dispatches new work only while it has recent evidence of one of two kinds:
that its configuration document was the newest, or that a majority of the relays was
in contact with each other (if no relay can read the configuration service, no change
can be accepted either). Evidence carries its age at the sender. The receiver dates it
from its own heartbeat that the sender echoes, so that a process that was paused does
not mistake an old message for a new one.

After its start, and whenever its evidence has expired, an instance synchronises first:
it waits for a heartbeat from each reachable relay. Otherwise a stale read of the
configuration service, or a peer that is as outdated as itself, could make it continue
with an old document.
"""

import math

# No new work is dispatched if the evidence is older than this.
MAX_EVIDENCE_AGE_SECONDS = 2.5
# After this, synchronisation does not wait for relays that neither answered nor failed.
SYNCHRONISATION_TIMEOUT_SECONDS = 2.0
# New work stops if a newer document of a peer has not arrived within this time.
MAX_OUTDATED_SECONDS = 1.5


class ConfigurationFreshness:
    """Times of the latest evidence, by the clock of this instance.

    Parameters
    ----------
    own : str
        This instance's id.
    store : ConfigurationStore
        Holds the current configuration document.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, own, store, clock):
        self.own = own
        self.store = store
        self.clock = clock
        self.confirmed_at = -math.inf
        self.reported_majority_at = -math.inf
        self.newest_reported_version = 0
        self.is_synchronised = False
        self.relays: frozenset[str] = frozenset()
        self._synchronisation_started_at = clock()
        self._outdated_since = math.inf
        self._answered_at_by_relay: dict[str, float] = {}
        self._unreachable_at_by_relay: dict[str, float] = {}

    def set_relays(self, names):
        """Set the relays, of which a majority must be in contact with each other."""
        self.relays = frozenset(names)
        for table in (self._answered_at_by_relay, self._unreachable_at_by_relay):
            for name in table.keys() - self.relays:
                del table[name]

    def confirm(self, asked_at):
        """Record that the document read from the platform is the current one.

        Parameters
        ----------
        asked_at : float
            Clock reading when the document was requested.
        """
        self._check_expiry()
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def record_ping(self, peer, ping):
        """Record a heartbeat of a peer; its ``echo`` dates it by this clock."""
        self._check_expiry()
        self._record_version(ping.configuration_version)
        if not ping.echo or self.is_outdated:
            return
        if peer in self.relays:
            previous = self._answered_at_by_relay.get(peer, -math.inf)
            self._answered_at_by_relay[peer] = max(previous, ping.echo)
        majority_at = ping.echo - ping.majority_age
        self.reported_majority_at = max(self.reported_majority_at, majority_at)
        if ping.configuration_version == self.store.version:
            confirmed_at = ping.echo - ping.confirmed_age
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def record_unreachable(self, peer):
        """Record that a peer is unreachable."""
        if peer in self.relays:
            self._unreachable_at_by_relay[peer] = self.clock()

    @property
    def is_outdated(self):
        """Whether a peer has reported a newer document than this instance has."""
        known = max(self.store.version, self.store.rejected_version)
        return self.newest_reported_version > known

    @property
    def majority_at(self):
        """Latest time at which a majority of the relays was known to be in contact."""
        times = sorted(
            (
                self.clock()
                if name == self.own
                else self._answered_at_by_relay.get(name, -math.inf)
                for name in self.relays
            ),
            reverse=True,
        )
        observed = times[len(times) // 2] if times else -math.inf
        return max(observed, self.reported_majority_at)

    @property
    def confirmed_age(self):
        """Seconds since the current document was last known to be the newest."""
        return self.clock() - self.confirmed_at

    @property
    def majority_age(self):
        """Seconds since a majority of the relays was last known to be in contact."""
        return self.clock() - self.majority_at

    def is_current(self):
        """Return whether new work may be dispatched."""
        self._check_expiry()
        if not self.is_synchronised:
            self._synchronise()
        if not self.is_outdated:
            self._outdated_since = math.inf
        outdated_for = self.clock() - self._outdated_since
        return self.is_synchronised and outdated_for <= MAX_OUTDATED_SECONDS

    def _has_recent_evidence(self):
        return min(self.confirmed_age, self.majority_age) <= MAX_EVIDENCE_AGE_SECONDS

    def _check_expiry(self):
        if self.is_synchronised and not self._has_recent_evidence():
            self.is_synchronised = False
            self._synchronisation_started_at = self.clock()

    def _record_version(self, version):
        self.newest_reported_version = max(self.newest_reported_version, version)
        if self.is_outdated:
            self._outdated_since = min(self._outdated_since, self.clock())

    def _synchronise(self):
        timed_out = (
            self.clock() - self._synchronisation_started_at
            >= SYNCHRONISATION_TIMEOUT_SECONDS
        )
        all_resolved = bool(self.relays) and all(
            name == self.own
            or max(
                self._answered_at_by_relay.get(name, -math.inf),
                self._unreachable_at_by_relay.get(name, -math.inf),
            )
            >= self._synchronisation_started_at
            for name in self.relays
        )
        self.is_synchronised = (
            (all_resolved or timed_out)
            and self.store.version > 0
            and not self.is_outdated
            and self._has_recent_evidence()
        )

    def snapshot(self):
        """Return the state for the state dump."""
        return {
            "current": self.is_current(),
            "relays": sorted(self.relays),
            "confirmed_age": _round_age(self.confirmed_age),
            "majority_age": _round_age(self.majority_age),
            "newest_version_heard": self.newest_reported_version,
        }


def _round_age(age):
    return None if math.isinf(age) else round(age, 3)
