"""Which starts of targets have ended since a stream may have begun.

Load pattern: a data centre with all gateways and some targets loses power. Targets come
back under their ids, or others are listed in their place, and callers take their
streams up at gateways that have just started. A target speaks of its present start
only, so that what it does not keep proves nothing about the one before.
"""

import itertools
import math
from collections import defaultdict
from dataclasses import dataclass

from ..catalogue import TargetRecord
from ..feed import TargetUpdate

# Gateways send nothing new to a target from this time after its report that it leaves.
LEAVING_NOTICE_MS = 1000.0
# A target that started no longer than this before another one got its last stream has
# not run an earlier request of that stream's session to its end.
SESSION_MS = 3000.0


@dataclass(frozen=True)
class FormerStart:
    """A start of a target that has ended.

    Parameters
    ----------
    target : str
        Id of the target.
    record : TargetRecord or None
        What was last listed of it; None if that is not known any more.
    until : float
        Unix milliseconds after which no stream began there; infinite if not known.
    """

    target: str
    record: TargetRecord | None
    until: float = math.inf

    @property
    def version(self):
        """Version of its software; None if it is not known."""
        return self.record.version if self.record is not None else None


@dataclass(frozen=True)
class _Change:
    """A change of the list of targets, and when it had been made at the latest."""

    update: TargetUpdate
    made_by: float


def find_former_starts(changes, listed, begun_after, report_interval):
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
    report_interval : float
        Seconds from one report of a target to the next.

    Returns
    -------
    list of FormerStart
    """
    changes_by_target = defaultdict(list)
    for change in _date_changes(changes, report_interval):
        changes_by_target[change.update.target].append(change)
    # Their first report came before the changes, or has been discarded.
    unexplained = (
        FormerStart(record.id, None)
        for record in listed
        if record.id not in changes_by_target and record.started_at >= begun_after
    )
    ended = (
        _former_starts_of(name, its_changes, begun_after)
        for name, its_changes in changes_by_target.items()
    )
    return [*itertools.chain.from_iterable(ended), *unexplained]


def possible_starts(former, begun_after, kept_since):
    """Return the former starts that may have begun a stream that others seem to keep.

    Parameters
    ----------
    former : iterable of FormerStart
    begun_after : float
        Unix milliseconds before which the stream has not begun.
    kept_since : float
        Unix milliseconds of the first start among the targets that keep its prompt.
    """
    since = max(begun_after, kept_since + SESSION_MS)
    return [start for start in former if start.until >= since]


def _date_changes(changes, report_interval):
    """Return the readable changes in their order, with the times of the reports.

    A change was made before each report that follows it in the store.
    """
    updates = [update for update in changes if update.is_readable]
    # A target that starts is listed after its start.
    made_after = itertools.accumulate(
        (update.record.started_at if update.record else 0 for update in updates), max
    )
    times = [
        _reported_by(update.record, since, report_interval)
        for update, since in zip(updates, made_after, strict=True)
    ]
    made_by = reversed(list(itertools.accumulate(reversed(times), min)))
    return list(map(_Change, updates, made_by))


def _reported_by(record, since, report_interval):
    """Return the Unix milliseconds at which a report had been made at the latest.

    Infinite if that is not known, as of a target that does not count its reports.

    Parameters
    ----------
    record : TargetRecord or None
        None if the target was removed.
    since : float
        Unix milliseconds after which it was made.
    """
    if record is None or not record.started_at:
        return math.inf
    # The first report has the number 1.
    intervals = max(0, record.sequence - 1)
    reported_at = record.started_at + intervals * report_interval * 1000.0
    return reported_at if reported_at >= since else math.inf


def _former_starts_of(name, changes, begun_after):
    """Yield the former starts of one target, given all changes of its entry."""
    last = None if changes[0].update.is_first else FormerStart(name, None)
    for change in changes:
        record = change.update.record
        if record is None:
            # The same start may be listed again.
            continue
        if last is not None and _is_other_start(record, last.record, begun_after):
            yield _end(last, change)
            last = None
        until = math.inf if last is None else last.until
        if record.leaving:
            until = min(until, change.made_by + LEAVING_NOTICE_MS)
        last = FormerStart(name, record, until)
    if last is not None and changes[-1].update.record is None:
        yield _end(last, changes[-1])


def _end(start, change):
    """Return a start that had ended when a change was made."""
    return FormerStart(start.target, start.record, min(start.until, change.made_by))


def _is_other_start(record, former, begun_after):
    """Return whether an entry is that of another start than the entry before."""
    if former is not None and former.incarnation == record.incarnation:
        return False
    return record.started_at >= begun_after
