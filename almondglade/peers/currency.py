"""Decide whether this instance knows the document in force well enough.

An instance that is cut off might miss that operators take a data centre out.
It dispatches new work only while it has recent evidence of one of two kinds:
that its document was the newest, or that a majority of the relays are in
contact with each other (when no relay can read the service, no change can be
accepted either). Evidence carries the age it had at its source, and is dated
from the heartbeat that the source had answered, so that a paused process does
not take an old message for a new one.

At its start, and whenever its evidence has lapsed, an instance is introduced
again: it first hears from each relay that it can reach, so that neither a stale
service nor a peer as ignorant as itself makes it go on with an old document.
"""

import math

# Evidence older than this no longer allows a new dispatch.
MAX_EVIDENCE_AGE_SECONDS = 2.5
# A relay that has neither answered nor failed after this is not waited for.
SYNCHRONISATION_TIMEOUT_SECONDS = 2.0
# New work stops when a document that peers have is still missing after this.
MAX_OUTDATED_SECONDS = 1.5


class ConfigurationFreshness:
    """Dates of the latest evidence, on this instance's clock.

    Parameters
    ----------
    own : str
        This instance's id.
    store : ConfigurationStore
        Document in force.
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
        """Set the instances of which a majority must be in contact."""
        self.relays = frozenset(names)
        for table in (self._answered_at_by_relay, self._unreachable_at_by_relay):
            for name in table.keys() - self.relays:
                del table[name]

    def confirm(self, asked_at):
        """Note that the platform's document, asked for then, is in force."""
        self._check_expiry()
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def record_ping(self, peer, ping):
        """Take in a peer's heartbeat; its ``echo`` dates it on this clock."""
        self._check_expiry()
        self._record_version(ping.configuration_version)
        if not ping.echo or self.is_outdated:
            return
        if peer in self.relays:
            former = self._answered_at_by_relay.get(peer, -math.inf)
            self._answered_at_by_relay[peer] = max(former, ping.echo)
        majority_at = ping.echo - ping.majority_age
        self.reported_majority_at = max(self.reported_majority_at, majority_at)
        if ping.configuration_version == self.store.version:
            confirmed_at = ping.echo - ping.confirmed_age
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def record_unreachable(self, peer):
        """Note that a peer cannot be reached."""
        if peer in self.relays:
            self._unreachable_at_by_relay[peer] = self.clock()

    @property
    def is_outdated(self):
        """Whether a peer has a newer document than this instance."""
        known = max(self.store.version, self.store.rejected_version)
        return self.newest_reported_version > known

    @property
    def majority_at(self):
        """Latest time at which a majority of the relays was in contact."""
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
        """Seconds since the document in force was known to be the newest."""
        return self.clock() - self.confirmed_at

    @property
    def majority_age(self):
        """Seconds since a majority of the relays was in contact."""
        return self.clock() - self.majority_at

    def is_current(self):
        """Tell whether new work may be dispatched."""
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
        """Return the state for the dump."""
        return {
            "current": self.is_current(),
            "relays": sorted(self.relays),
            "confirmed_age": _rounded(self.confirmed_age),
            "majority_age": _rounded(self.majority_age),
            "newest_version_heard": self.newest_reported_version,
        }


def _rounded(age):
    return None if math.isinf(age) else round(age, 3)
