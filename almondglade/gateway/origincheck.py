"""Check which start of a target began a stream before the stream goes on elsewhere.

Load pattern: targets start again under their ids with another software version while
the store is down or turns gateways away. The listed version is then that of the former
start, and what the new one begins would go on at targets of the former version.
"""

import math
import threading
import time

from ..errors import PlatformError
from ..log import get_logger
from .discovery import MAX_COALESCE_SECONDS
from .targethistory import CLOCK_STEP_SECONDS, MILLISECONDS_PER_SECOND

log = get_logger("origins")

# What a target or the store tells holds for the streams that began before, and go on
# within this time.
VALIDITY_SECONDS = 0.5
# A store that answers tells of a new start within this time: gateways pause between
# their readings.
MAX_LISTING_SECONDS = MAX_COALESCE_SECONDS + 0.3
# Targets of a version that are asked for their start.
MAX_ASKED_TARGETS = 16


class OriginCheck:
    """Finds out whether the list of targets was right when a stream began.

    A fact that became certain stays so, as it concerns a time that has passed.

    Parameters
    ----------
    registry : Registry
        What this gateway has read of the store.
    listed_at : callable
        Returns when the list of targets was last known to be the newest.
    answering_since : callable
        Returns since when the store has answered without a failure.
    read_listed : callable
        Reads the `TargetRecord`s that the platform lists at present.
    is_engine : callable
        Takes the name of a service and returns whether its targets tell their start.
    read_start : callable
        Takes a `TargetRecord` and returns the Unix milliseconds of its start.
    report_interval : float
        Seconds from one report of a target to the next.
    clock : callable
        Returns the seconds in which `listed_at` and `answering_since` are told.
    time_of_day : callable
        Returns Unix seconds.
    """

    def __init__(
        self,
        registry,
        listed_at,
        answering_since,
        read_listed,
        is_engine,
        read_start,
        report_interval,
        clock,
        time_of_day=time.time,
    ):
        self.registry = registry
        self.listed_at = listed_at
        self.answering_since = answering_since
        self.read_listed = read_listed
        self.is_engine = is_engine
        self.read_start = read_start
        self.report_interval = report_interval
        self.clock = clock
        self.time_of_day = time_of_day
        self._start_by_incarnation: dict[tuple[str, int], tuple[int | None, float]] = {}
        self._listed: list | None = None
        self._listed_since = -math.inf
        self._lock = threading.Lock()

    def is_certain_start(self, record, age):
        """Return whether a stream was surely begun by the start that was listed then.

        Parameters
        ----------
        record : TargetRecord
            The target as it was listed.
        age : float
            Seconds since the stream was sent there.
        """
        if not record.started_at:
            return True
        learned_ago = None
        if self._is_proof(self.listed_at(), age):
            started_at = self._started_at(record, self.registry.known_targets())
            learned_ago = self._learned_ago(record.id, started_at)
        else:
            is_engine = self.is_engine(record.service)
            started_at = self._ask_start(record, age) if is_engine else None
            if started_at is None:
                started_at = self._read_started_at(record, age)
        is_certain = started_at is not None and (
            started_at == record.started_at
            or not self._may_precede(started_at, learned_ago, age)
        )
        if not is_certain:
            log.info(
                "the version that began a stream is not certain",
                target=record.id,
                version=record.version,
                started_at=record.started_at,
                start=started_at,
                age=round(age, 3),
                list_age=round(self.clock() - self.listed_at(), 3),
            )
        return is_certain

    def is_certain_origin(self, origin, age):
        """Return whether a `StreamOrigin` that a gateway has recorded is right.

        The target is not known, so that none of the service may have started again
        unnoticed before the stream began.

        Parameters
        ----------
        age : float
            Seconds since the first event.
        """
        learned_late = self._learned_late(origin, age)
        is_known = not learned_late and (
            self._is_proof(self.listed_at(), age)
            or self._is_list_unchanged(origin, age)
            or self._are_starts_unchanged(origin, age)
        )
        if not is_known:
            log.info(
                "the recorded version of a stream is not certain",
                service=origin.service,
                version=origin.version,
                learned_late=learned_late,
                age=round(age, 3),
                list_age=round(self.clock() - self.listed_at(), 3),
            )
        return is_known

    def is_doubtful_origin(self, origin, age):
        """Return whether a recorded `StreamOrigin` may be wrong, without asking anyone.

        A peer that has just started cannot tell, as it has not seen when starts were
        listed.
        """
        return bool(self._learned_late(origin, age))

    def _learned_late(self, origin, age):
        """Return the targets whose start this gateway learned after a stream began."""
        return [
            record.id
            for learned_ago, record in self._restarts()
            if record.service == origin.service
            and learned_ago <= age
            and self._may_precede(record.started_at, learned_ago, age)
        ]

    def _restarts(self):
        """Yield how long ago other starts of known targets were read, and entries."""
        now = self.registry.clock()
        for learned_at, record in self.registry.restarts():
            yield now - learned_at, record

    def _learned_ago(self, target, started_at):
        """Return how long ago another start of a target was read, or None."""
        return next(
            (
                learned_ago
                for learned_ago, record in self._restarts()
                if (record.id, record.started_at) == (target, started_at)
            ),
            None,
        )

    def _is_list_unchanged(self, origin, age):
        """Return whether the store lists no start that was not known when it began."""
        listed = self._read_listed_since(age)
        if listed is None or not self._is_proof(self.clock(), age):
            return False
        known = {record.id: record for record in self.registry.known_targets()}
        return not any(
            record.service == origin.service
            and known.get(record.id, record).incarnation != record.incarnation
            and self._may_precede(record.started_at, None, age)
            for record in listed
        )

    def _are_starts_unchanged(self, origin, age):
        """Return whether all targets of a version say that they are the listed ones."""
        records = [
            record
            for record in self.registry.known_targets()
            if (record.service, record.version) == (origin.service, origin.version)
        ]
        return (
            0 < len(records) <= MAX_ASKED_TARGETS
            and self.is_engine(origin.service)
            and all(
                start is not None
                and (
                    start == record.started_at
                    or not self._may_precede(start, None, age)
                )
                for record in records
                for start in (self._ask_start(record, age),)
            )
        )

    def _is_proof(self, as_of, age):
        """Return whether a list tells all starts before a time.

        A target whose first report failed reports again after an interval.
        """
        now = self.clock()
        return as_of >= now - age and (
            as_of >= self.answering_since() + self.report_interval
        )

    def _may_precede(self, started_at, learned_ago, age):
        """Return whether a start may have come before a stream began.

        Parameters
        ----------
        started_at : int
            Unix milliseconds.
        learned_ago : float or None
            Seconds since it was read when the store told of it; None if it was learned
            otherwise.
        age : float
            Seconds since the stream began.
        """
        if learned_ago is not None and age - learned_ago > MAX_LISTING_SECONDS:
            answering_since = self.answering_since() + self.report_interval
            if answering_since <= self.clock() - age:
                return False
        began_at = self.time_of_day() - age + CLOCK_STEP_SECONDS
        return started_at <= began_at * MILLISECONDS_PER_SECOND

    @staticmethod
    def _started_at(record, listed):
        """Return the start of a target in a list; the known one if it has gone."""
        return next(
            (entry.started_at for entry in listed if entry.id == record.id),
            record.started_at,
        )

    def _read_started_at(self, record, age):
        listed = self._read_listed_since(age)
        if listed is None or not self._is_proof(self.clock(), age):
            return None
        return self._started_at(record, listed)

    def _read_listed_since(self, age):
        """Return the list of the store since some time; None if it does not answer."""
        with self._lock:
            if self.clock() - self._listed_since > min(age, VALIDITY_SECONDS):
                self._listed_since = self.clock()
                try:
                    self._listed = self.read_listed()
                except PlatformError as error:
                    log.info("list of targets not read", cause=str(error))
                    self._listed = None
            return self._listed

    def _ask_start(self, record, age):
        """Return when an engine has started, as it said since some time, or None."""
        with self._lock:
            now = self.clock()
            self._start_by_incarnation = {
                incarnation: (start, asked_at)
                for incarnation, (start, asked_at) in self._start_by_incarnation.items()
                if now - asked_at <= VALIDITY_SECONDS
            }
            start, asked_at = self._start_by_incarnation.get(
                record.incarnation, (None, -math.inf)
            )
            if now - asked_at > age:
                start = self._read_start(record)
                self._start_by_incarnation[record.incarnation] = (start, now)
            return start

    def _read_start(self, record):
        try:
            return self.read_start(record)
        except PlatformError as error:
            log.info(
                "target did not tell its start", target=record.id, cause=str(error)
            )
            return None
