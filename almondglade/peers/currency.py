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
EVIDENCE_SECONDS = 2.5
# A relay that has neither answered nor failed after this is not waited for.
INTRODUCTION_SECONDS = 2.0
# New work stops when a document that peers have is still missing after this.
MISSING_SECONDS = 1.5


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
        self.told_majority_at = -math.inf
        self.newest_heard = 0
        self.introduced = False
        self.relays: frozenset[str] = frozenset()
        self._began = clock()
        self._missing_since = math.inf
        self._answered_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}

    def set_relays(self, names):
        """Set the instances of which a majority must be in contact."""
        self.relays = frozenset(names)
        for table in (self._answered_at, self._failed_at):
            for name in table.keys() - self.relays:
                del table[name]

    def confirm(self, asked_at):
        """Note that the platform's document, asked for then, is in force."""
        self._note_lapse()
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def heard(self, peer, ping):
        """Take in a peer's heartbeat; its ``echo`` dates it on this clock."""
        self._note_lapse()
        self._note_version(ping.configuration_version)
        if not ping.echo or self.is_missing:
            return
        if peer in self.relays:
            former = self._answered_at.get(peer, -math.inf)
            self._answered_at[peer] = max(former, ping.echo)
        majority_at = ping.echo - ping.majority_age
        self.told_majority_at = max(self.told_majority_at, majority_at)
        if ping.configuration_version == self.store.version:
            confirmed_at = ping.echo - ping.confirmed_age
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def failed(self, peer):
        """Note that a peer cannot be reached."""
        if peer in self.relays:
            self._failed_at[peer] = self.clock()

    @property
    def is_missing(self):
        """Whether a peer has a newer document than this instance."""
        known = max(self.store.version, self.store.rejected_version)
        return self.newest_heard > known

    @property
    def majority_at(self):
        """Latest time at which a majority of the relays was in contact."""
        times = sorted(
            (
                self.clock()
                if name == self.own
                else self._answered_at.get(name, -math.inf)
                for name in self.relays
            ),
            reverse=True,
        )
        seen = times[len(times) // 2] if times else -math.inf
        return max(seen, self.told_majority_at)

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
        self._note_lapse()
        if not self.introduced:
            self._introduce()
        if not self.is_missing:
            self._missing_since = math.inf
        missing_for = self.clock() - self._missing_since
        return self.introduced and missing_for <= MISSING_SECONDS

    def _has_evidence(self):
        return min(self.confirmed_age, self.majority_age) <= EVIDENCE_SECONDS

    def _note_lapse(self):
        if self.introduced and not self._has_evidence():
            self.introduced = False
            self._began = self.clock()

    def _note_version(self, version):
        self.newest_heard = max(self.newest_heard, version)
        if self.is_missing:
            self._missing_since = min(self._missing_since, self.clock())

    def _introduce(self):
        waited = self.clock() - self._began >= INTRODUCTION_SECONDS
        settled = bool(self.relays) and all(
            name == self.own
            or max(
                self._answered_at.get(name, -math.inf),
                self._failed_at.get(name, -math.inf),
            )
            >= self._began
            for name in self.relays
        )
        self.introduced = (
            (settled or waited)
            and self.store.version > 0
            and not self.is_missing
            and self._has_evidence()
        )

    def snapshot(self):
        """Return the state for the dump."""
        return {
            "current": self.is_current(),
            "relays": sorted(self.relays),
            "confirmed_age": _rounded(self.confirmed_age),
            "majority_age": _rounded(self.majority_age),
            "newest_version_heard": self.newest_heard,
        }


def _rounded(age):
    return None if math.isinf(age) else round(age, 3)
