"""Keep ended runs until it is known whether their targets have ended with them.

Load pattern: many connections break at once, because a target has ended, a link was
reset or a target has failed single requests. Which of these it was is known later.
"""

import itertools
from dataclasses import dataclass, field

from .suspects import Crash

# Time within which a target must turn out to have ended for a run to count as a crash:
# its entry expires after three missed heartbeats, and is read somewhat later.
VERDICT_SECONDS = 6.0
# A target that ends within this time after a run may have ended because of it.
CLOSING_SECONDS = 0.25
MAX_PENDING_RUNS_PER_TARGET = 256


@dataclass(frozen=True)
class PendingRun:
    """An ended run of a target that may have ended.

    Parameters
    ----------
    fingerprints : tuple of int
        Fingerprints of the request and of the shared parts of its prompt.
    started_at, ended_at : float
        Monotonic times of the start and the end of the run.
    looks_complete : bool
        Whether the response was complete, unless the target ended with the run.
    """

    fingerprints: tuple[int, ...]
    started_at: float
    ended_at: float
    looks_complete: bool = False

    def is_outlived_by(self, at):
        """Return whether a target that lives at a time has not ended with this run."""
        margin = CLOSING_SECONDS if self.looks_complete else 0.0
        return self.ended_at + margin < at


@dataclass
class PendingRuns:
    """Ended runs without a verdict on their target, by start of the target.

    Not thread-safe; the caller holds a lock.
    """

    _runs_by_incarnation: dict[tuple[str, int], list[PendingRun]] = field(
        default_factory=dict
    )

    def add(self, incarnation, run):
        """Add a run of one start of a target."""
        runs = self._runs_by_incarnation.setdefault(incarnation, [])
        if len(runs) < MAX_PENDING_RUNS_PER_TARGET:
            runs.append(run)

    def incarnations(self):
        """Return the targets without a verdict, as (id, start)."""
        return list(self._runs_by_incarnation)

    def has_broken(self, fingerprint):
        """Return whether a broken run of a request waits for a verdict."""
        runs = itertools.chain.from_iterable(self._runs_by_incarnation.values())
        return any(
            fingerprint in run.fingerprints and not run.looks_complete for run in runs
        )

    def has_complete(self, incarnation):
        """Return whether a run that looks complete waits for a verdict."""
        runs = self._runs_by_incarnation.get(incarnation, ())
        return any(run.looks_complete for run in runs)

    def first_broken_at(self, incarnation):
        """Return the end of the first broken run, or None without one."""
        runs = self._runs_by_incarnation.get(incarnation, ())
        return min(
            (run.ended_at for run in runs if not run.looks_complete), default=None
        )

    def take_crashes(self, incarnation):
        """Remove the runs of a target that has ended.

        Returns
        -------
        list of (tuple of int, Crash)
            Their fingerprints and crashes.
        """
        target, started_at = incarnation
        return [
            (run.fingerprints, Crash(target, started_at, run.started_at, run.ended_at))
            for run in self._runs_by_incarnation.pop(incarnation, ())
        ]

    def take_outlived(self, incarnation, at=float("inf"), only_complete=False):
        """Remove and return the runs that a target has outlived.

        Parameters
        ----------
        at : float
            Monotonic time at which the target was seen to live.
        only_complete : bool
            Whether to leave broken runs.

        Returns
        -------
        list of PendingRun
        """
        return self._take(
            incarnation,
            lambda run: (
                run.is_outlived_by(at) and (run.looks_complete or not only_complete)
            ),
        )

    def expire(self, now):
        """Remove and return the runs of targets without a verdict in time.

        Returns
        -------
        dict of (str, int) to list of PendingRun
            By target, as (id, start).
        """
        return {
            incarnation: runs
            for incarnation in self.incarnations()
            if (
                runs := self._take(
                    incarnation, lambda run: now - run.ended_at > VERDICT_SECONDS
                )
            )
        }

    def _take(self, incarnation, condition):
        runs = self._runs_by_incarnation.pop(incarnation, [])
        kept = [run for run in runs if not condition(run)]
        if kept:
            self._runs_by_incarnation[incarnation] = kept
        return [run for run in runs if condition(run)]
