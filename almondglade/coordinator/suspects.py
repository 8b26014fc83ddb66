"""Track requests that may crash their targets."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, field

from ..messages import CarriedSuspect

# A fingerprint is barred when its runs broke on this many targets.
BARRED_AFTER_TARGETS = 2
BAR_SECONDS = 600.0
MAX_SUSPECTS = 1024
# Maximum number of suspects handed over to the next coordinator: the latest ones.
MAX_CARRIED = 64


class Suspicion(enum.Enum):
    """Whether requests with a fingerprint run normally, run alone or are refused."""

    NONE = "none"
    SOLO = "solo"
    BARRED = "barred"


@dataclass
class Suspect:
    """A fingerprint whose runs broke.

    Parameters
    ----------
    blamed_at : float
        Clock reading of the latest broken run, seconds.
    targets : set of str
        Targets on which runs broke.
    """

    blamed_at: float
    targets: set[str] = field(default_factory=set)


class SuspectTable:
    """Fingerprints whose runs broke, with the targets on which they broke.

    A crash of a target also breaks the connections of the requests that run beside
    the crashing one. So the retry of a broken run is run alone: only the request that
    really crashes targets can then break a second one.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.by_fingerprint: OrderedDict[int, Suspect] = OrderedDict()

    def suspicion(self, fingerprint):
        """Return how requests with a fingerprint are handled now."""
        suspect = self._current(fingerprint)
        if suspect is None:
            return Suspicion.NONE
        barred = len(suspect.targets) >= BARRED_AFTER_TARGETS
        return Suspicion.BARRED if barred else Suspicion.SOLO

    def targets(self, fingerprint):
        """Return the targets on which runs of a fingerprint broke."""
        suspect = self._current(fingerprint)
        return frozenset() if suspect is None else frozenset(suspect.targets)

    def retry_after(self, fingerprint):
        """Return the seconds until a barred fingerprint is allowed again."""
        suspect = self._current(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.blamed_at + BAR_SECONDS - self.clock())

    def blame(self, fingerprint, targets, age=0.0):
        """Record a broken run.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request; 0 is ignored.
        targets : iterable of str
            Targets on which the run broke.
        age : float
            Seconds since the run broke.
        """
        if not fingerprint:
            return
        blamed_at = self.clock() - age
        suspect = self.by_fingerprint.setdefault(fingerprint, Suspect(blamed_at))
        suspect.blamed_at = max(suspect.blamed_at, blamed_at)
        suspect.targets.update(targets)
        self.by_fingerprint.move_to_end(fingerprint)
        while len(self.by_fingerprint) > MAX_SUSPECTS:
            self.by_fingerprint.popitem(last=False)

    def clear(self, fingerprint):
        """Remove a fingerprint of which a run has completed."""
        self.by_fingerprint.pop(fingerprint, None)

    def adopt(self, carried):
        """Add the suspects that an entry handed over from another coordinator."""
        for suspect in carried[:MAX_CARRIED]:
            self.blame(suspect.fingerprint, suspect.targets, suspect.age)

    def carried(self):
        """Return the suspects that entries hand over to the next coordinator."""
        now = self.clock()
        return tuple(
            CarriedSuspect(
                fingerprint, tuple(sorted(suspect.targets)), now - suspect.blamed_at
            )
            for fingerprint, suspect in list(self.by_fingerprint.items())[-MAX_CARRIED:]
            if self._current(fingerprint) is not None
        )

    def _current(self, fingerprint):
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None or self.clock() - suspect.blamed_at <= BAR_SECONDS:
            return suspect
        del self.by_fingerprint[fingerprint]
        return None
