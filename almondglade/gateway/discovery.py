"""Track what the platform publishes, and keep it while the store is unreachable."""

import threading
from functools import singledispatchmethod

from ..errors import PlatformError
from ..feed import CatalogueUpdate, EvacuationUpdate, TargetUpdate
from ..log import get_logger
from ..platform.connection import HistoryLostError

log = get_logger("discovery")

# A watch that ends without a change proves that the configuration is current. Its
# timeout stays below the time for which such evidence is accepted. A small fleet
# uses the minimum; in a larger one the instances share this evidence and their
# watches end at different times, so that longer timeouts are enough: the whole fleet
# starts this many watches per second.
MIN_WATCH_SECONDS = 2.0
MAX_WATCH_SECONDS = 3.2
# Timeout of a watch that is started when the evidence is about to expire.
REFRESH_WATCH_SECONDS = 0.2
FLEET_WATCHES_PER_SECOND = 12.0
# After a response with changes, an instance pauses so that its next call returns all
# changes made meanwhile. During a series of changes the whole fleet then makes this
# many calls per second. The longest pause is a third of the shortest time limit
# within which a change must take effect.
FLEET_CALLS_PER_SECOND = 100.0
MAX_COALESCE_SECONDS = 0.7
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
# Live targets are listed again within two seconds of the end of a store outage.
RELIST_SECONDS = 2.2


class Registry:
    """The current catalogue, the listed targets and the evacuated data centres.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    on_change : callable
        Called after changes, in the thread that made them.

    Attributes
    ----------
    catalogue : Catalogue or None
        Newest version received; an older version never replaces it.
    catalogue_revision : int
        Revision of the store at which the catalogue was written.
    """

    def __init__(self, clock, on_change=lambda: None):
        self.clock = clock
        self.on_change = on_change
        self.catalogue = None
        self.catalogue_revision = 0
        self.record_by_target: dict = {}
        self.evacuated_data_centres: set[str] = set()
        self.store_recovered_at = float("-inf")
        self._missing_since: dict[str, float] = {}
        self._revision_by_target: dict[str, int] = {}
        self._revision_by_data_centre: dict[str, int] = {}
        self._lock = threading.Lock()

    def apply_batch(self, batch):
        """Apply a `Batch`; updates older than the present state are ignored."""
        with self._lock:
            for update in batch.updates:
                self._apply_update(update)
            if batch.is_snapshot:
                self._drop_unlisted(batch)
        self.on_change()

    def note_store_recovered(self):
        """Record that the store answers again after an outage."""
        self.store_recovered_at = self.clock()

    def expire(self):
        """Drop targets that were not listed again in time after a store outage."""
        now = self.clock()
        if now - self.store_recovered_at < RELIST_SECONDS:
            return
        with self._lock:
            missing = list(self._missing_since)
            for name in missing:
                self._drop(name, "not listed again after an outage")
        if missing:
            self.on_change()

    @singledispatchmethod
    def _apply_update(self, update):
        raise TypeError(f"unknown update type: {update!r}")

    @_apply_update.register
    def _(self, update: CatalogueUpdate):
        current = self.catalogue
        if update.revision <= self.catalogue_revision or (
            current is not None and update.catalogue.version < current.version
        ):
            if current is not None and update.catalogue.version != current.version:
                log.warning(
                    "configuration ignored: it is older than the one in force",
                    version=update.catalogue.version,
                    revision=update.revision,
                    version_in_force=current.version,
                    revision_in_force=self.catalogue_revision,
                )
            return
        self.catalogue = update.catalogue
        self.catalogue_revision = update.revision
        log.info(
            "configuration applied",
            version=update.catalogue.version,
            revision=update.revision,
            routes=sum(map(len, update.catalogue.routes_by_host.values())),
            keys=len(update.catalogue.workspace_by_key),
        )

    @_apply_update.register
    def _(self, update: EvacuationUpdate):
        known = self._revision_by_data_centre.get(update.data_centre, 0)
        if update.revision <= known:
            return
        self._revision_by_data_centre[update.data_centre] = update.revision
        change = (
            self.evacuated_data_centres.add
            if update.is_evacuated
            else (self.evacuated_data_centres.discard)
        )
        change(update.data_centre)
        log.info(
            "data centre evacuated"
            if update.is_evacuated
            else "data centre back in service",
            data_centre=update.data_centre,
            revision=update.revision,
        )

    @_apply_update.register
    def _(self, update: TargetUpdate):
        name, record = update.target, update.record
        if update.revision <= self._revision_by_target.get(name, 0):
            return
        self._revision_by_target[name] = update.revision
        known = self.record_by_target.get(name)
        if record is None:
            self._handle_unlisted(name)
            return
        if known is not None and (record.started_at, record.sequence) < (
            known.started_at,
            known.sequence,
        ):
            return
        self._missing_since.pop(name, None)
        self.record_by_target[name] = record
        if known is None or known.leaving != record.leaving:
            log.info(
                "target listed",
                target=name,
                service=record.service,
                leaving=record.leaving,
                version=record.version,
                revision=update.revision,
            )

    def _drop_unlisted(self, batch):
        listed = {
            update.target
            for update in batch.updates
            if isinstance(update, TargetUpdate)
        }
        for name in self.record_by_target.keys() - listed:
            if self._revision_by_target.get(name, 0) <= batch.revision:
                self._handle_unlisted(name)
        evacuated = {
            update.data_centre
            for update in batch.updates
            if isinstance(update, EvacuationUpdate)
        }
        for name in self.evacuated_data_centres - evacuated:
            if self._revision_by_data_centre.get(name, 0) <= batch.revision:
                self.evacuated_data_centres.discard(name)
                self._revision_by_data_centre[name] = batch.revision

    def _handle_unlisted(self, name):
        """Drop an unlisted target, or mark it as missing after a store outage.

        Entries expire during an outage of the store, so that a live target may be
        missing until it is listed again.
        """
        if name not in self.record_by_target:
            return
        if self.clock() - self.store_recovered_at < RELIST_SECONDS:
            self._missing_since.setdefault(name, self.clock())
            return
        self._drop(name, "no longer listed")

    def _drop(self, name, reason):
        self._missing_since.pop(name, None)
        self.record_by_target.pop(name, None)
        log.info("target dropped", target=name, reason=reason)


class Discovery:
    """A thread that keeps a `Registry` up to date.

    Parameters
    ----------
    store : StoreClient
        Store that is read once in full and then watched for changes.
    registry : Registry
        Receives each `Batch` from the store.
    confirm : callable
        Called with the latest time at which the configuration is known to have been
        the newest.
    rng : random.Random
        Adds jitter, so that instances do not call the store at the same time.
    fleet_size : callable
        Returns the number of instances in the fleet.
    evidence_age : callable
        Returns the seconds since the configuration in use was last known to be the
        newest, by this instance's calls or by a peer.

    Attributes
    ----------
    reachable : bool or None
        Whether the store answered the last call; None before the first one.
    """

    def __init__(
        self,
        store,
        registry,
        confirm,
        rng,
        fleet_size=lambda: 1,
        evidence_age=lambda: 0.0,
    ):
        self.store = store
        self.registry = registry
        self.confirm = confirm
        self.rng = rng
        self.fleet_size = fleet_size
        self.evidence_age = evidence_age
        self.reachable = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start reading the store."""
        self._thread.start()

    def stop(self):
        """Stop reading the store once the current call has ended."""
        self._stopped.set()

    def _run(self):
        revision = None
        backoff = MIN_BACKOFF_SECONDS
        while not self._stopped.is_set():
            try:
                revision = self._read(revision)
                backoff = MIN_BACKOFF_SECONDS
            except HistoryLostError as error:
                log.info(
                    "store history lost; reading everything again",
                    cause=str(error),
                    revision=revision,
                )
                revision = None
            except PlatformError as error:
                self._note_unreachable(error)
                self._stopped.wait(backoff * self.rng.uniform(0.5, 1.0))
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
            except Exception:
                log.exception("unexpected error while reading the store")
                self._stopped.wait(MAX_BACKOFF_SECONDS)

    def _read(self, revision):
        if revision is None or not self.reachable:
            batch = self.store.read_all()
        else:
            batch = self.store.watch(revision, self._watch_seconds())
        if not self.reachable:
            if self.reachable is False:
                self.registry.note_store_recovered()
            self.reachable = True
            log.info("store reachable", revision=batch.revision)
        self.registry.apply_batch(batch)
        self.confirm(batch.as_of)
        if batch.updates:
            self._stopped.wait(self._coalesce_seconds())
        return batch.revision

    def _watch_seconds(self):
        spread = self.fleet_size() / FLEET_WATCHES_PER_SECOND
        longest = min(max(MIN_WATCH_SECONDS, spread), MAX_WATCH_SECONDS)
        timeout = self.rng.uniform(MIN_WATCH_SECONDS, longest)
        # A watch that ends with a change proves only that the configuration was the
        # newest when it began, so the next one ends sooner.
        time_left = MAX_WATCH_SECONDS - self.evidence_age()
        return max(REFRESH_WATCH_SECONDS, min(timeout, time_left))

    def _coalesce_seconds(self):
        pause = min(self.fleet_size() / FLEET_CALLS_PER_SECOND, MAX_COALESCE_SECONDS)
        return pause * self.rng.uniform(0.8, 1.0)

    def _note_unreachable(self, error):
        if self.reachable is not False:
            log.warning("store unreachable", cause=str(error))
        self.reachable = False
