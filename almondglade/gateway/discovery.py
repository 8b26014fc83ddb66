"""Follow what the platform publishes and keep it through its outages."""

import threading
from functools import singledispatchmethod

from ..errors import PlatformError
from ..feed import CatalogueUpdate, EvacuationUpdate, TargetUpdate
from ..log import get_logger
from ..platform.connection import HistoryLostError

log = get_logger("discovery")

# Each empty answer of a watch proves that the configuration is current, for less
# time than the evidence is believed. A small fleet waits for the shorter time; in
# a larger one the instances prove it to each other at different times, and the
# fleet begins this many watches a second.
MIN_WATCH_SECONDS = 2.0
MAX_WATCH_SECONDS = 3.2
WATCHES_PER_SECOND = 12.0
# Pause after an answer with changes, which gathers those that follow: the whole
# fleet makes this many calls a second in a series of changes. The longest is a
# third of the shortest bound on changes.
CALLS_PER_SECOND = 100.0
MAX_GATHER_SECONDS = 0.7
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
# After an outage, targets that live are listed again within two seconds.
RETURN_SECONDS = 2.2


class Registry:
    """The catalogue, the targets and the data centres out of service.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    on_change : callable
        Called after changes, in the thread that made them.

    Attributes
    ----------
    catalogue : Catalogue or None
        Newest version; versions never go back.
    catalogue_revision : int
        Revision at which it was written.
    """

    def __init__(self, clock, on_change=lambda: None):
        self.clock = clock
        self.on_change = on_change
        self.catalogue = None
        self.catalogue_revision = 0
        self.record_by_target: dict = {}
        self.evacuated_data_centres: set[str] = set()
        self.returned_at = float("-inf")
        self._missing_since: dict[str, float] = {}
        self._revision_by_target: dict[str, int] = {}
        self._revision_by_data_centre: dict[str, int] = {}
        self._lock = threading.Lock()

    def take(self, batch):
        """Take in a `Batch`; what is older than the present changes nothing."""
        with self._lock:
            for update in batch.updates:
                self._apply(update)
            if batch.whole:
                self._drop_unlisted(batch)
        self.on_change()

    def store_returned(self):
        """Note that the store answers again after an outage."""
        self.returned_at = self.clock()

    def expire(self):
        """Drop targets that did not come back in time after an outage."""
        now = self.clock()
        if now - self.returned_at < RETURN_SECONDS:
            return
        with self._lock:
            missing = list(self._missing_since)
            for name in missing:
                self._drop(name, "not listed again after an outage")
        if missing:
            self.on_change()

    @singledispatchmethod
    def _apply(self, update):
        raise TypeError(f"no such update: {update!r}")

    @_apply.register
    def _(self, update: CatalogueUpdate):
        current = self.catalogue
        if update.revision <= self.catalogue_revision or (
            current is not None and update.catalogue.version < current.version
        ):
            return
        self.catalogue = update.catalogue
        self.catalogue_revision = update.revision
        log.info(
            "configuration in force",
            version=update.catalogue.version,
            revision=update.revision,
            routes=sum(map(len, update.catalogue.routes_by_host.values())),
            keys=len(update.catalogue.workspace_by_key),
        )

    @_apply.register
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

    @_apply.register
    def _(self, update: TargetUpdate):
        name, record = update.target, update.record
        if update.revision <= self._revision_by_target.get(name, 0):
            return
        self._revision_by_target[name] = update.revision
        known = self.record_by_target.get(name)
        if record is None:
            self._miss(name)
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
                self._miss(name)
        evacuated = {
            update.data_centre
            for update in batch.updates
            if isinstance(update, EvacuationUpdate)
        }
        for name in self.evacuated_data_centres - evacuated:
            if self._revision_by_data_centre.get(name, 0) <= batch.revision:
                self.evacuated_data_centres.discard(name)
                self._revision_by_data_centre[name] = batch.revision

    def _miss(self, name):
        """Forget a target, but not for an entry that lapsed in an outage."""
        if name not in self.record_by_target:
            return
        if self.clock() - self.returned_at < RETURN_SECONDS:
            self._missing_since.setdefault(name, self.clock())
            return
        self._drop(name, "no longer listed")

    def _drop(self, name, reason):
        self._missing_since.pop(name, None)
        self.record_by_target.pop(name, None)
        log.info("target dropped", target=name, reason=reason)


class Discovery:
    """A thread that keeps a `Registry` current.

    Parameters
    ----------
    store : StoreClient
        Read and watched.
    registry : Registry
        Takes what it returns.
    confirm : callable
        Takes the time for which the configuration is surely the newest.
    rng : random.Random
        Spreads the repeats of all instances.
    instances : callable
        Returns the number of instances in the fleet.
    """

    def __init__(self, store, registry, confirm, rng, instances=lambda: 1):
        self.store = store
        self.registry = registry
        self.confirm = confirm
        self.rng = rng
        self.instances = instances
        self.reachable = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin to read."""
        self._thread.start()

    def stop(self):
        """Read no more."""
        self._stopped.set()

    def _run(self):
        revision = None
        backoff = MIN_BACKOFF_SECONDS
        while not self._stopped.is_set():
            try:
                revision = self._read(revision)
                backoff = MIN_BACKOFF_SECONDS
            except HistoryLostError as error:
                log.info("reading all anew", cause=str(error), revision=revision)
                revision = None
            except PlatformError as error:
                self._lost(error)
                self._stopped.wait(backoff * self.rng.uniform(0.5, 1.0))
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
            except Exception:
                log.exception("reading the store failed")
                self._stopped.wait(MAX_BACKOFF_SECONDS)

    def _read(self, revision):
        if revision is None or not self.reachable:
            batch = self.store.read_all()
        else:
            batch = self.store.watch(revision, self._watch_seconds())
        if not self.reachable:
            if self.reachable is False:
                self.registry.store_returned()
            self.reachable = True
            log.info("store reached", revision=batch.revision)
        self.registry.take(batch)
        self.confirm(batch.as_of)
        if batch.updates:
            self._stopped.wait(self._gather_seconds())
        return batch.revision

    def _watch_seconds(self):
        shared = self.instances() / WATCHES_PER_SECOND
        longest = min(max(MIN_WATCH_SECONDS, shared), MAX_WATCH_SECONDS)
        return self.rng.uniform(MIN_WATCH_SECONDS, longest)

    def _gather_seconds(self):
        pause = min(self.instances() / CALLS_PER_SECOND, MAX_GATHER_SECONDS)
        return pause * self.rng.uniform(0.8, 1.0)

    def _lost(self, error):
        if self.reachable is not False:
            log.warning("store lost", cause=str(error))
        self.reachable = False
