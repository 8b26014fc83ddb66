"""Read and watch what the platform publishes in its store.

Load pattern: the store cuts a watch now and then, is away for seconds, or turns this
instance away while it serves the others. The entries of live targets expire only in an
outage that keeps their reports from it.
"""

import math
import threading

from ..clocks import boottime_clock
from ..errors import PlatformError
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
# Entries expire after the time of three reports; the last one came before the outage,
# by up to the time of one.
MIN_EXPIRY_INTERVALS = 2


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
    report_interval : float
        Seconds from one report of a target to the next.
    clock : callable
        Returns seconds of a clock that also runs while the host is suspended.

    Attributes
    ----------
    reachable : bool or None
        Whether the store answered the last call; None before the first one.
    answering_since : float
        When the first reading ended after the last call that failed; minus infinity
        if none has, infinite if the last one did.
    """

    def __init__(
        self,
        store,
        registry,
        confirm,
        rng,
        fleet_size=lambda: 1,
        evidence_age=lambda: 0.0,
        report_interval=0.0,
        clock=boottime_clock,
    ):
        self.store = store
        self.registry = registry
        self.confirm = confirm
        self.rng = rng
        self.fleet_size = fleet_size
        self.evidence_age = evidence_age
        self.report_interval = report_interval
        self.clock = clock
        self.reachable = None
        self.answering_since = -math.inf
        self._answered_at = -math.inf
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start reading the store."""
        self._thread.start()

    def stop(self):
        """Stop reading the store once the current call has ended."""
        self._stopped.set()

    def read_targets(self):
        """Return the `TargetRecord`s that the store lists at present; from any thread.

        Raises
        ------
        PlatformError
            If the store cannot be reached; at once if the last call has shown that.
        """
        if self.reachable is False:
            raise PlatformError("the store is not reachable")
        return self.store.read_targets()

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
                self._note_end_of_silence()
                self.answering_since = self.clock()
            self.reachable = True
            log.info("store reachable", revision=batch.revision)
        self._answered_at = self.clock()
        if not self.registry.apply_batch(batch):
            raise PlatformError("the reading is of an earlier era")
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
        # One that lasts until the return from a copy has settled is evidence again.
        until_settled = self.registry.seconds_until_settled() or timeout
        return max(REFRESH_WATCH_SECONDS, min(timeout, time_left, until_settled))

    def _coalesce_seconds(self):
        pause = min(self.fleet_size() / FLEET_CALLS_PER_SECOND, MAX_COALESCE_SECONDS)
        return pause * self.rng.uniform(0.8, 1.0)

    def _note_end_of_silence(self):
        """Let targets list themselves again if the store may have been away for long.

        It was not while it answered this instance or a peer.
        """
        silence = min(self.clock() - self._answered_at, self.evidence_age())
        is_outage = silence >= MIN_EXPIRY_INTERVALS * self.report_interval
        if is_outage:
            self.registry.note_store_recovered()
        log.info(
            "store answers again",
            silence=round(silence, 3) if math.isfinite(silence) else None,
            entries_may_have_expired=is_outage,
        )

    def _note_unreachable(self, error):
        if self.reachable is not False:
            log.warning("store unreachable", cause=str(error))
        self.reachable = False
        self.answering_since = math.inf
