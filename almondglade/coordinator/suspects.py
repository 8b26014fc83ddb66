"""Requests that may crash their targets."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, field

from ..messages import CarriedSuspect

BARRED_AFTER_TARGETS = 2
BAR_SECONDS = 600.0
MAX_SUSPECTS = 1024
# Suspects carried to the next coordinator, the latest first.
MAX_CARRIED = 64


class Suspicion(enum.Enum):
    """What is held against a fingerprint."""

    NONE = "none"
    SOLO = "solo"
    BARRED = "barred"


@dataclass
class Suspect:
    """A fingerprint whose runs broke."""

    blamed_at: float
    targets: set[str] = field(default_factory=set)


class SuspectTable:
    """Fingerprints whose runs broke on a target, and on which.

    A connection also breaks for what runs beside a crashing request. So the
    repeat of a broken run is run alone: then only the request itself can be
    blamed for a second target.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.by_fingerprint: OrderedDict[int, Suspect] = OrderedDict()

    def suspicion(self, fingerprint):
        """Return what is held against a fingerprint now."""
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
        """Return the seconds until a barred fingerprint is tried again."""
        suspect = self._current(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.blamed_at + BAR_SECONDS - self.clock())

    def blame(self, fingerprint, targets, age=0.0):
        """Note that a run broke."""
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
        """Note that a run ended well."""
        self.by_fingerprint.pop(fingerprint, None)

    def adopt(self, carried):
        """Go on from what an entry carried here."""
        for suspect in carried[:MAX_CARRIED]:
            self.blame(suspect.fingerprint, suspect.targets, suspect.age)

    def carried(self):
        """Return what entries carry to the next coordinator."""
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
