"""What the platform has published, as far as this gateway knows."""

import threading
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatchmethod

from ..catalogue import TargetRecord
from ..feed import CatalogueUpdate, EvacuationUpdate, TargetUpdate
from ..log import get_logger

log = get_logger("discovery")

# Live targets are listed again within two seconds of the end of a store outage. After
# a return from an older copy, operators have written again by then too.
RELIST_SECONDS = 2.2
# How long a dropped target is remembered, so that an older copy does not list it again.
DROPPED_RETENTION_SECONDS = 60.0
# Readings of which the time is remembered.
MAX_READINGS = 512
# Starts of targets under the ids of former ones that are remembered.
MAX_RESTARTS = 256


@dataclass(frozen=True)
class DroppedTarget:
    """A target that has gone: its last report, and when it was dropped."""

    started_at: int
    sequence: int
    dropped_at: float


class Registry:
    """The current catalogue, the listed targets and the evacuated data centres.

    Revisions order updates within one era of the store only. Versions of the catalogue
    and the targets' own sequence numbers order them across eras.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    on_change : callable
        Called after changes, in the thread that made them.
    is_first_start : bool
        Whether no instance has run before, so that the first reading can lack nothing
        that one has known.

    Attributes
    ----------
    catalogue : Catalogue or None
        Newest version received; an older version never replaces it.
    catalogue_revision : int
        Revision of the store at which the catalogue was written.
    era : int or None
        Newest era of the store that was read; None before the first reading.
    revision : int
        Revision of that era up to which the store was read.
    listed_version : int or None
        Version of the configuration that the store lists; None if it lists none.
    """

    def __init__(self, clock, on_change=lambda: None, is_first_start=True):
        self.clock = clock
        self.on_change = on_change
        self.is_first_start = is_first_start
        self.catalogue = None
        self.catalogue_revision = 0
        self.record_by_target: dict = {}
        self.evacuated_data_centres: set[str] = set()
        self.era: int | None = None
        self.revision = 0
        # Era of the copy, or of the first state, that was read from the store itself.
        self._store_era: int | None = None
        self.listed_version: int | None = None
        self.store_recovered_at = float("-inf")
        self._era_began_at = float("-inf")
        self._is_written_again = False
        self._listed_position = (0, 0)
        # When targets are dropped that are not listed, unless they are listed again.
        self._missing_until: dict[str, float] = {}
        # Times of the readings, with the era and the revision up to which they went.
        self._readings: deque[tuple[float, int, int]] = deque(maxlen=MAX_READINGS)
        self._lapsed_evacuations: set[str] = set()
        # When other starts of known targets were read, and their entries.
        self._restarts: deque[tuple[float, TargetRecord]] = deque(maxlen=MAX_RESTARTS)
        self._dropped_by_target: dict[str, DroppedTarget] = {}
        # Position (era and revision) of the newest update of each.
        self._catalogue_position = (0, 0)
        self._position_by_target: dict[str, tuple[int, int]] = {}
        self._position_by_data_centre: dict[str, tuple[int, int]] = {}
        # Items as they were read, by the type and the name of their subject.
        self._item_by_subject: dict[tuple[type, str], Mapping] = {}
        self._lock = threading.Lock()

    @property
    def position(self):
        """Era and revision up to which the store was read."""
        return (self.era or 0, self.revision)

    def revision_at(self, time):
        """Return a revision of the present era that the store had at a time.

        Returns
        -------
        int or None
            None if nothing was read by then.
        """
        with self._lock:
            return max(
                (
                    revision
                    for read_at, era, revision in self._readings
                    if read_at <= time and era == self.era
                ),
                default=None,
            )

    def first_reading(self, revision):
        """Return the revision and the age of the first reading with a revision.

        Returns
        -------
        int
            Up to which it went; the given one if there was none.
        float
            Seconds since then; 0 if there was none.
        """
        with self._lock:
            return next(
                (
                    (read_until, self.clock() - read_at)
                    for read_at, era, read_until in self._readings
                    if era == self.era and read_until >= revision
                ),
                (revision, 0.0),
            )

    def newest_listed_version(self):
        """Return the version in force if the store proves that it is the newest.

        It does not while it lists another one. Shortly after its return from a copy, it
        may lack one that was acknowledged, until the operator has written it again.

        Returns
        -------
        int or None
        """
        with self._lock:
            if self.catalogue is None or self.catalogue.version != self.listed_version:
                return None
            is_proof = self._is_written_again or self._is_settled()
            return self.listed_version if is_proof else None

    def seconds_until_settled(self):
        """Return the time that writers still have after a return from a copy."""
        return max(0.0, self._era_began_at + RELIST_SECONDS - self.clock())

    def _is_settled(self):
        return self.seconds_until_settled() == 0.0

    def apply_batch(self, batch):
        """Apply a `Batch`; updates older than the present state are ignored.

        Returns
        -------
        bool
            False if the whole batch is of an earlier era.
        """
        with self._lock:
            if self.era is not None and batch.era < self.era:
                log.warning("reading ignored", era=batch.era, current_era=self.era)
                return False
            if self.era is not None and batch.era > self.era:
                self._begin_era(batch)
            self.era = batch.era
            self.revision = max(self.revision, batch.revision)
            self._readings.append((self.clock(), batch.era, self.revision))
            is_copy = batch.is_from_store and self._is_first_of_era(batch)
            for update in batch.updates:
                era = batch.era if update.era is None else update.era
                position = (era, update.revision)
                if batch.is_from_store and isinstance(update, CatalogueUpdate):
                    self._record_listed(update, position, is_copy)
                self._apply_update(update, position, is_copy)
            if batch.is_snapshot:
                self._drop_unlisted(batch)
        self.on_change()
        return True

    def _is_first_of_era(self, batch):
        """Return whether the store is read for the first time after its return.

        The first reading of a process may be one, as it can't tell when an era began.
        """
        if self._store_era is None:
            is_first = batch.era > 0 and not self.is_first_start
            if is_first:
                self._era_began_at = self.clock()
                log.info(
                    "the store may just have come back from an older copy",
                    era=batch.era,
                    revision=batch.revision,
                )
        else:
            is_first = batch.era > self._store_era
        self._store_era = batch.era
        return is_first

    def _record_listed(self, update, position, is_copy):
        if position > self._listed_position:
            self.listed_version = update.catalogue.version
            self._listed_position = position
            self._is_written_again = not is_copy

    def published_items(self, reader):
        """Return what is known of the published state, for a peer.

        Parameters
        ----------
        reader : ReaderState
            What the peer has already; these items are without their values.

        Returns
        -------
        era, revision : int
            Position up to which the store was read.
        items : list of mapping
        """
        with self._lock:
            items = [
                item
                if self._is_new_to(reader, kind, item)
                else {"key": item["key"], "revision": item["revision"]}
                | {"era": item["era"], "unchanged": True}
                for (kind, _), item in self._item_by_subject.items()
            ]
            return *self.position, items

    def _is_new_to(self, reader, kind, item):
        if kind is CatalogueUpdate:
            return self.catalogue is not None and (
                self.catalogue.version > reader.version
            )
        return (item["era"], item["revision"]) > reader.store_position

    def restarts(self):
        """Return when other starts of known targets were read, and their entries.

        Returns
        -------
        list of (float, TargetRecord)
            Monotonic times.
        """
        with self._lock:
            return list(self._restarts)

    def known_targets(self):
        """Return the records of the targets that were read last."""
        with self._lock:
            return list(self.record_by_target.values())

    def note_store_recovered(self):
        """Record that the store answers again after an outage."""
        self.store_recovered_at = self.clock()

    def _begin_era(self, batch):
        """Record that the store has come back from an older copy."""
        self.store_recovered_at = self._era_began_at = self.clock()
        self.listed_version, self._is_written_again = None, False
        self.revision = 0
        log.warning(
            "the store came back from an older copy",
            era=batch.era,
            former_era=self.era,
            revision=batch.revision,
            version=self.catalogue.version if self.catalogue else None,
            targets=len(self.record_by_target),
            evacuated=sorted(self.evacuated_data_centres),
        )

    def expire(self):
        """Drop what was not written again in time after an outage of the store."""
        if not self._missing_until and not self._lapsed_evacuations:
            return
        now = self.clock()
        with self._lock:
            missing = [
                name for name, until in self._missing_until.items() if until <= now
            ]
            lapsed = list(self._lapsed_evacuations) if self._is_settled() else []
            for name in missing:
                self._drop(name, "not listed again in time")
            for name in lapsed:
                self._end_evacuation(name, (self.era or 0, 0))
        if missing or lapsed:
            self.on_change()

    @singledispatchmethod
    def _apply_update(self, update, position, is_copy):
        """Apply an update that was read at a position of the store.

        Parameters
        ----------
        is_copy : bool
            Whether it was read from the copy with which an era begins.
        """
        raise TypeError(f"unknown update type: {update!r}")

    @_apply_update.register
    def _(self, update: CatalogueUpdate, position, is_copy):
        current = self.catalogue
        version = update.catalogue.version
        if current is not None and version < current.version:
            log.warning(
                "configuration ignored: it is older than the one in force",
                version=version,
                era=position[0],
                revision=update.revision,
                version_in_force=current.version,
                revision_in_force=self.catalogue_revision,
            )
            return
        if position <= self._catalogue_position:
            return
        self.catalogue = update.catalogue
        self.catalogue_revision = update.revision
        self._catalogue_position = position
        self._keep_item(update, "")
        log.info(
            "configuration applied",
            version=version,
            era=position[0],
            revision=update.revision,
            routes=sum(map(len, update.catalogue.routes_by_host.values())),
            keys=len(update.catalogue.workspace_by_key),
        )

    @_apply_update.register
    def _(self, update: EvacuationUpdate, position, is_copy):
        name = update.data_centre
        if position <= self._position_by_data_centre.get(name, (0, 0)):
            return
        if not update.is_evacuated:
            self._end_evacuation(name, position)
            return
        self._position_by_data_centre[name] = position
        self._lapsed_evacuations.discard(name)
        self.evacuated_data_centres.add(name)
        self._keep_item(update, name)
        log.info(
            "data centre evacuated",
            data_centre=name,
            era=position[0],
            revision=update.revision,
        )

    def _end_evacuation(self, name, position):
        self._position_by_data_centre[name] = position
        self._lapsed_evacuations.discard(name)
        self.evacuated_data_centres.discard(name)
        self._item_by_subject.pop((EvacuationUpdate, name), None)
        log.info(
            "data centre back in service",
            data_centre=name,
            era=position[0],
            revision=position[1],
        )

    @_apply_update.register
    def _(self, update: TargetUpdate, position, is_copy):
        name, record = update.target, update.record
        if position <= self._position_by_target.get(name, (0, 0)):
            return
        self._position_by_target[name] = position
        if not update.is_readable:
            # Another writer may have replaced the entry; a live target writes again.
            if name in self.record_by_target:
                until = self.clock() + RELIST_SECONDS
                self._missing_until.setdefault(name, until)
            return
        if record is None:
            self._handle_unlisted(name)
            return
        if self._is_older(name, record, is_copy):
            return
        known = self.record_by_target.get(name)
        if known is not None and known.incarnation != record.incarnation:
            self._restarts.append((self.clock(), record))
        self._missing_until.pop(name, None)
        self._dropped_by_target.pop(name, None)
        self.record_by_target[name] = record
        self._keep_item(update, name)
        if known is None or known.leaving != record.leaving:
            log.info(
                "target listed",
                target=name,
                service=record.service,
                leaving=record.leaving,
                version=record.version,
                era=position[0],
                revision=update.revision,
            )

    def _is_older(self, name, record, is_copy):
        """Return whether an entry says less than what is known of its target.

        What a copy holds may be older than the end of the target, or than the report
        that it is leaving.
        """
        reported = (record.started_at, record.sequence)
        known = self.record_by_target.get(name)
        if known is not None:
            last = (known.started_at, known.sequence)
            is_older = reported < last or (
                is_copy and reported == last and known.leaving
            )
        else:
            dropped = self._dropped_by_target.get(name)
            is_older = (
                is_copy
                and dropped is not None
                and reported <= (dropped.started_at, dropped.sequence)
            )
        if is_older and is_copy:
            log.info("entry of the copy ignored", target=name, sequence=record.sequence)
        return is_older

    def _keep_item(self, update, name):
        if update.item is not None:
            self._item_by_subject[type(update), name] = update.item

    def _drop_unlisted(self, batch):
        end = (batch.era, batch.revision)
        listed = {
            update.target
            for update in batch.updates
            if isinstance(update, TargetUpdate)
        }
        for name in self.record_by_target.keys() - listed:
            if self._position_by_target.get(name, (0, 0)) <= end:
                self._handle_unlisted(name)
        evacuated = {
            update.data_centre
            for update in batch.updates
            if isinstance(update, EvacuationUpdate)
        }
        for name in self.evacuated_data_centres - evacuated:
            if self._position_by_data_centre.get(name, (0, 0)) > end:
                continue
            if not self._is_settled():
                # The operator may have to write it again.
                self._lapsed_evacuations.add(name)
            else:
                self._end_evacuation(name, end)

    def _handle_unlisted(self, name):
        """Drop an unlisted target, or mark it as missing after a store outage.

        Entries expire during an outage of the store. A live target is listed again
        within a fixed time from the end of the outage.
        """
        if name not in self.record_by_target:
            return
        until = self.store_recovered_at + RELIST_SECONDS
        if self.clock() < until:
            self._missing_until.setdefault(name, until)
            return
        self._drop(name, "no longer listed")

    def _drop(self, name, reason):
        now = self.clock()
        self._missing_until.pop(name, None)
        record = self.record_by_target.pop(name, None)
        self._item_by_subject.pop((TargetUpdate, name), None)
        if record is not None:
            self._dropped_by_target = {
                other: dropped
                for other, dropped in self._dropped_by_target.items()
                if now - dropped.dropped_at < DROPPED_RETENTION_SECONDS
            } | {name: DroppedTarget(record.started_at, record.sequence, now)}
        log.info("target dropped", target=name, reason=reason)
