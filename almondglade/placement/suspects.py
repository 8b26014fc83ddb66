"""Recognise what crashes the targets that run it: a request, or a part of prompts.

Load pattern: a caller sends a request again and again, with new ids and to any
instance, or sends requests that have only one part of their prompts in common. Each
run ends a target and all requests that run beside it, until no target is left. A
popular request, and one that runs for long, are hit often without being the cause, as
are the requests of targets that fail together. Parts of prompts are shared by requests
that crash targets and others.

So only runs that began after the previous crash was over are counted, one completed
run clears all that the request consists of, and a suspect that is about to be barred
does not run beside another one. What is barred explains its crashes, so that they
don't count against requests and parts that were only there.
"""

import enum
import heapq
from collections import OrderedDict
from dataclasses import dataclass

# Crashes, one after the other, from which a request runs in isolation, and from which
# it is barred.
ISOLATED_AFTER_CRASHES = 2
BARRED_AFTER_CRASHES = 3
# The same if a run completed shortly before the first of them: it is more likely then
# that the targets failed together.
ISOLATED_AFTER_CRASHES_IF_ESTABLISHED = 3
BARRED_AFTER_CRASHES_IF_ESTABLISHED = 5
# How shortly before that is.
ESTABLISHED_SECONDS = 10.0
# Time for which a request is barred after its latest crash. Then one run is allowed.
BAR_SECONDS = 600.0
# Suspects without a crash for this long are forgotten.
SUSPECT_EXPIRY_SECONDS = 3600.0
# Time for which a cleared suspect is kept, so that crashes before its completed run
# that are reported late do not make it suspect again.
CLEARED_EXPIRY_SECONDS = 30.0
# Crashes of one request that are kept; targets that fail together add several at once.
MAX_CRASHES_PER_SUSPECT = 8
# Reports of one completed run differ by less, as their ages are rounded and delayed.
CLEARED_TOLERANCE_SECONDS = 1.0
MAX_SUSPECTS = 1024
# Suspects that are kept when there are too many; dropping many at a time is cheaper.
KEPT_SUSPECTS = 896
# Number of fingerprints whose last completed run is remembered.
MAX_COMPLETED = 2048
NEVER = float("-inf")


class Suspicion(enum.IntEnum):
    """Whether requests with a fingerprint run normally, in isolation or not at all."""

    NONE = 0
    ISOLATED = 1
    BARRED = 2


@dataclass(frozen=True)
class Verdict:
    """How a request is handled, and which of its fingerprints is the reason.

    Parameters
    ----------
    suspicion : Suspicion
    fingerprint : int
        That of the request or of a part of its prompt; 0 if it runs normally.
    """

    suspicion: Suspicion = Suspicion.NONE
    fingerprint: int = 0


@dataclass(frozen=True)
class Crash:
    """The end of a target while it ran a request.

    Parameters
    ----------
    target : str
        Id of the target.
    target_started_at : int
        Unix time of the target's start, milliseconds.
    started_at, ended_at : float
        Monotonic times of the start and the end of the run.
    """

    target: str
    target_started_at: int
    started_at: float
    ended_at: float

    @property
    def incarnation(self):
        """Id and start of the target, which name one start of it."""
        return (self.target, self.target_started_at)


@dataclass
class Suspect:
    """What is known of a request, or a part, that ran on targets when they ended.

    Attributes
    ----------
    crashes : tuple of Crash
        The latest crashes since its latest known completed run, by their ends.
    cleared_at : float
        Monotonic time of its latest known completed run.
    changed_at : float
        Monotonic time at which this was last changed here.
    """

    crashes: tuple[Crash, ...] = ()
    cleared_at: float = NEVER
    changed_at: float = NEVER

    def add(self, crashes, cleared_at, now):
        """Merge evidence into this; return whether anything changed.

        Parameters
        ----------
        crashes : iterable of Crash
        cleared_at : float
            Monotonic time of a completed run; minus infinity if there was none.
        """
        cleared_at = max(self.cleared_at, cleared_at)
        known = {crash.incarnation: crash for crash in self.crashes}
        merged = {crash.incarnation: crash for crash in crashes} | known
        uncleared = sorted(
            (crash for crash in merged.values() if crash.ended_at > cleared_at),
            key=lambda crash: crash.ended_at,
        )
        latest = tuple(uncleared[-MAX_CRASHES_PER_SUSPECT:])
        is_known = cleared_at <= self.cleared_at + CLEARED_TOLERANCE_SECONDS
        changed = latest != self.crashes or not is_known
        self.crashes, self.cleared_at = latest, cleared_at
        if changed:
            self.changed_at = now
        return changed

    def suspicion(self, now, explained=frozenset()):
        """Return how requests with this fingerprint are handled now.

        Parameters
        ----------
        explained : set of (str, int)
            Targets, as (id, start), whose ends have another cause.
        """
        count = count_successive(
            crash for crash in self.crashes if crash.incarnation not in explained
        )
        isolated_after, barred_after = ISOLATED_AFTER_CRASHES, BARRED_AFTER_CRASHES
        if is_established(self.crashes, self.cleared_at):
            isolated_after = ISOLATED_AFTER_CRASHES_IF_ESTABLISHED
            barred_after = BARRED_AFTER_CRASHES_IF_ESTABLISHED
        if count >= barred_after and now < self.barred_until:
            return Suspicion.BARRED
        if count >= isolated_after:
            return Suspicion.ISOLATED
        return Suspicion.NONE

    @property
    def barred_until(self):
        """Monotonic time at which a barred request may run again."""
        return self.crashes[-1].ended_at + BAR_SECONDS

    def is_expired(self, now):
        """Return whether this no longer matters."""
        if not self.crashes:
            return now - self.changed_at > CLEARED_EXPIRY_SECONDS
        return now - self.crashes[-1].ended_at > SUSPECT_EXPIRY_SECONDS


def count_successive(crashes):
    """Return the number of crashes whose run began after the previous counted one.

    Targets that fail together crash many concurrent runs of a popular request; these
    count once.

    Parameters
    ----------
    crashes : iterable of Crash
        In the order of their ends.
    """
    count, previous_end = 0, NEVER
    for crash in crashes:
        if crash.started_at >= previous_end:
            count, previous_end = count + 1, crash.ended_at
    return count


def is_established(crashes, completed_at):
    """Return whether a run completed shortly before the first of some crashes.

    Parameters
    ----------
    crashes : sequence of Crash
        By their ends.
    completed_at : float
        Monotonic time of the latest completed run.
    """
    return bool(crashes) and (
        crashes[0].started_at - completed_at <= ESTABLISHED_SECONDS
    )


class SuspectTable:
    """Requests, and parts of prompts, that ran on targets when they ended.

    Not thread-safe; the caller holds a lock.
    """

    def __init__(self):
        self.by_fingerprint: dict[int, Suspect] = {}
        self._completed_at: OrderedDict[int, float] = OrderedDict()

    def verdict(self, fingerprints, now):
        """Return the `Verdict` on a request.

        Crashes that are explained by something barred count only against requests
        that have it too.

        Parameters
        ----------
        fingerprints : tuple of int
            Fingerprints of the request and of the shared parts of its prompt.
        """
        suspects = [each for each in fingerprints if self.suspicion(each, now)]
        if not suspects:
            return Verdict()
        explained = self._explained_crashes(set(fingerprints), now)
        verdicts = (
            Verdict(self.by_fingerprint[each].suspicion(now, explained), each)
            for each in suspects
        )
        worst = max(verdicts, key=lambda verdict: verdict.suspicion)
        return worst if worst.suspicion else Verdict()

    def _explained_crashes(self, fingerprints, now):
        """Return the targets, as (id, start), that something else barred has ended.

        Parameters
        ----------
        fingerprints : set of int
            Those of the request that is asked for, which explain nothing.
        """
        return {
            crash.incarnation
            for fingerprint, suspect in self.by_fingerprint.items()
            if fingerprint not in fingerprints
            and len(suspect.crashes) >= BARRED_AFTER_CRASHES
            and suspect.suspicion(now) is Suspicion.BARRED
            for crash in suspect.crashes
        }

    def suspicion(self, fingerprint, now):
        """Return how requests with a fingerprint are handled now."""
        suspect = self.by_fingerprint.get(fingerprint)
        return Suspicion.NONE if suspect is None else suspect.suspicion(now)

    def may_crash_after_response(self, fingerprints):
        """Return whether a target may yet end after the whole response to a request.

        That is asked of suspects; of one that has just completed, which may be part of
        most requests, only after crashes in a row.
        """
        suspects = map(self.by_fingerprint.get, fingerprints)
        return any(
            suspect is not None
            and suspect.crashes
            and (
                not is_established(suspect.crashes, suspect.cleared_at)
                or count_successive(suspect.crashes) >= ISOLATED_AFTER_CRASHES
            )
            for suspect in suspects
        )

    def has_crashed(self, fingerprint):
        """Return whether a request ran on a target when it ended, and no later run."""
        suspect = self.by_fingerprint.get(fingerprint)
        return suspect is not None and bool(suspect.crashes)

    def add(self, fingerprint, crashes, now, cleared_at=NEVER):
        """Add evidence about a request, from here or from a peer.

        A run that completed here after the crashes clears the request.

        Returns
        -------
        bool
            Whether anything changed.
        """
        completed_at = self._completed_at.get(fingerprint, NEVER)
        suspect = self.by_fingerprint.get(fingerprint) or Suspect()
        if not suspect.add(crashes, max(cleared_at, completed_at), now):
            return False
        self.by_fingerprint[fingerprint] = suspect
        if len(self.by_fingerprint) > MAX_SUSPECTS:
            self.by_fingerprint = self.select(KEPT_SUSPECTS)
        return True

    def record_completed(self, fingerprint, completed_at):
        """Record a completed run; return whether this cleared a suspect."""
        known_at = self._completed_at.get(fingerprint, NEVER)
        self._completed_at[fingerprint] = max(completed_at, known_at)
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > MAX_COMPLETED:
            self._completed_at.popitem(last=False)
        was_suspect = self.has_crashed(fingerprint)
        if was_suspect:
            self.add(fingerprint, (), completed_at)
        return was_suspect and not self.has_crashed(fingerprint)

    def select(self, count, since=NEVER):
        """Return the suspects with the most and then the latest crashes.

        Parameters
        ----------
        count : int
            Largest number of suspects.
        since : float
            Only suspects that changed after this monotonic time.

        Returns
        -------
        dict of int to Suspect
            By fingerprint.
        """
        return dict(
            heapq.nlargest(
                count,
                (
                    item
                    for item in self.by_fingerprint.items()
                    if item[1].changed_at > since
                ),
                key=lambda item: (len(item[1].crashes), item[1].changed_at),
            )
        )

    def expire(self, now):
        """Remove suspects that no longer matter."""
        for fingerprint, suspect in list(self.by_fingerprint.items()):
            if suspect.is_expired(now):
                del self.by_fingerprint[fingerprint]
