"""Which starts of targets have ended since a stream may have begun.

Load pattern: a data centre with all gateways and some targets loses power. Targets come
back under their ids, or others are listed in their place, and callers take their
streams up at gateways that have just started. A target speaks of its present start
only, so that what it does not keep proves nothing about the one before.
"""

import itertools
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..catalogue import TargetRecord
from ..feed import TargetUpdate

# Gateways send nothing new to a target from this time after its report that it leaves.
LEAVING_NOTICE_SECONDS = 1.0
# The reports of a target come at this share of their interval at the soonest.
MIN_INTERVAL_SHARE = 0.9
# A target that has not reported more often has run no request of a session whose next
# one went to another target.
YOUNG_REPORTS = 3


@dataclass(frozen=True)
class FormerStart:
    """A start of a target that has ended.

    Parameters
    ----------
    target : str
        Id of the target.
    record : TargetRecord or None
        What was last listed of it; None if that is not known any more.
    left_at : int or None
        Revision of the store at which it had reported that it leaves, or had ended;
        None if that is not known.
    """

    target: str
    record: TargetRecord | None
    left_at: int | None = None

    @property
    def version(self):
        """Version of its software; None if it is not known."""
        return self.record.version if self.record is not None else None


@dataclass(frozen=True)
class StartHistory:
    """The starts that ended during some changes of the list of targets.

    The store does not date its changes. How long ago one was made at least follows from
    the numbers of the reports after it, and from the readings of this instance.

    Parameters
    ----------
    former : sequence of FormerStart
    changes : sequence of TargetUpdate
        All changes of a span of time, in their order.
    report_interval : float
        Seconds from one report of a target to the next.
    first_reading : callable
        Takes a revision and returns the revision and the age in seconds of the first
        reading by this instance that includes it.
    """

    former: Sequence[FormerStart] = ()
    changes: Sequence[TargetUpdate] = ()
    report_interval: float = 0.0
    first_reading: Callable[[int], tuple[int, float]] = field(
        default=lambda revision: (revision, 0.0)
    )

    def possible_starts(self, max_age, holders):
        """Return the starts that may have begun a stream which others seem to keep.

        Parameters
        ----------
        max_age : float
            Longest time in seconds since the stream can have begun.
        holders : sequence of TargetRecord
            Targets that keep its prompt, maybe from an earlier request of its session.

        Returns
        -------
        list of FormerStart
        """
        return [
            start
            for start in self.former
            if start.left_at is None
            or (
                self.seconds_since(start.left_at) < max_age + LEAVING_NOTICE_SECONDS
                and not all(self._is_young(h, start.left_at) for h in holders)
            )
        ]

    def seconds_since(self, revision):
        """Return for how many seconds at least a change has been made."""
        read_until, age = self.first_reading(revision)
        numbers_by_start = defaultdict(list)
        for update in self.changes:
            if update.record is not None and revision <= update.revision <= read_until:
                numbers_by_start[update.record.incarnation].append(
                    update.record.sequence
                )
        reports = max(
            (max(numbers) - min(numbers) for numbers in numbers_by_start.values()),
            default=0,
        )
        return age + reports * MIN_INTERVAL_SHARE * self.report_interval

    def _is_young(self, holder, revision):
        """Return whether a target had only begun to report when a change was made."""
        return any(
            update.revision > revision
            and update.record is not None
            and update.record.incarnation == holder.incarnation
            and update.record.sequence <= YOUNG_REPORTS
            for update in self.changes
        )


def find_former_starts(changes, listed, begun_after):
    """Return the starts that ended during some changes of the list of targets.

    Parameters
    ----------
    changes : iterable of TargetUpdate
        All changes of a span of time, in their order.
    listed : iterable of TargetRecord
        The targets that are listed after it.
    begun_after : float
        Unix milliseconds at which that time began at the latest. What started before
        has run since then.

    Returns
    -------
    list of FormerStart
    """
    changes_by_target = defaultdict(list)
    for update in changes:
        if update.is_readable:
            changes_by_target[update.target].append(update)
    # Their first report came before the changes, or has been discarded.
    unexplained = (
        FormerStart(record.id, None)
        for record in listed
        if record.id not in changes_by_target and record.started_at >= begun_after
    )
    ended = (
        _former_starts_of(name, updates, begun_after)
        for name, updates in changes_by_target.items()
    )
    return [*itertools.chain.from_iterable(ended), *unexplained]


def _former_starts_of(name, updates, begun_after):
    """Yield the former starts of one target, given all changes of its entry."""
    last = None if updates[0].is_first else FormerStart(name, None)
    for update in updates:
        record = update.record
        if record is None:
            # The same start may be listed again.
            continue
        if last is not None and _is_other_start(record, last.record, begun_after):
            yield _left(last, update)
            last = None
        left_at = last.left_at if last is not None else None
        if record.leaving and left_at is None:
            left_at = update.revision
        last = FormerStart(name, record, left_at)
    if last is not None and updates[-1].record is None:
        yield _left(last, updates[-1])


def _left(start, update):
    """Return a start that had ended when a change was made."""
    left_at = update.revision if start.left_at is None else start.left_at
    return FormerStart(start.target, start.record, left_at)


def _is_other_start(record, former, begun_after):
    """Return whether an entry is that of another start than the entry before."""
    if former is not None and former.incarnation == record.incarnation:
        return False
    return record.started_at >= begun_after
