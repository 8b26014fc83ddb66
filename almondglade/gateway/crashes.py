"""Find out which targets have ended while they ran requests."""

import asyncio
import contextlib
import itertools

from ..catalogue import TargetRecord
from ..log import get_logger
from ..placement.pendingruns import CLOSING_SECONDS, PendingRun, PendingRuns
from .requests import format_fingerprint

log = get_logger("suspects")

# A crashed process closes its connections before its port.
PROBE_DELAY_SECONDS = 0.05
# Shortest interval between two probes of a target; each costs it a connection.
PROBE_INTERVAL_SECONDS = 0.5
# A first packet may be lost, so that silence is believed only the third time.
PROBE_TIMEOUT_SECONDS = 0.3
MAX_PROBES = 3
# A run that breaks within this time after its target's entry was removed broke because
# the target ended: one that leaves unannounced serves for longer after the removal.
REMOVAL_SECONDS = 1.5
MAX_LOGGED_FINGERPRINTS = 8


class CrashDetector:
    """Decides whether a run ended because its target ended.

    That is asked of broken runs, and of those whose response looks complete but need
    not be. The evidence is a target that refuses connections or does not answer, an
    entry that is gone from the list without having been marked as leaving, or a peer's
    word.

    Parameters
    ----------
    lock : threading.Lock
        Guards this object; the caller of each method holds it.
    clock : callable
        Returns monotonic seconds.
    on_crashes : callable
        Called with a list of (fingerprints, `Crash`), one for each run, once a target
        has ended, with the lock held.
    on_completed : callable
        Called with the fingerprints and the end of a run once it is known that a run
        which looked complete was complete, with the lock held.

    Attributes
    ----------
    reaches_another : callable
        Takes a `TargetRecord` and returns an awaitable that tells whether this
        instance can connect to another target of its service, if there is one.
    lived_at : callable
        Takes the id of a target and returns a monotonic time at which it surely
        answered another instance; minus infinity if none is known.
    """

    def __init__(self, lock, clock, on_crashes, on_completed):
        self.lock = lock
        self.clock = clock
        self.on_crashes = on_crashes
        self.on_completed = on_completed
        self._pending_runs = PendingRuns()
        self._record_by_target: dict[str, TargetRecord] = {}
        self._removed_by_target: dict[str, tuple[TargetRecord, float]] = {}
        self._probed_at: dict[tuple[str, int], float] = {}
        self.reaches_another = _assume_sound_links
        self.lived_at = lambda target: float("-inf")
        self._loop = asyncio.get_running_loop()

    def has_broken_run(self, fingerprint):
        """Return whether a broken run of a request waits for the verdict."""
        return self._pending_runs.has_broken(fingerprint)

    def can_crash(self, target):
        """Return whether an end of a target would be a crash: it is not leaving."""
        record = self._record_by_target.get(target)
        return record is not None and not record.leaving

    def record_ended(self, fingerprints, target, started_at, looks_complete):
        """Record a run with which its target may have ended, and probe the target.

        Parameters
        ----------
        fingerprints : tuple of int
            Fingerprints of the request and of the shared parts of its prompt.
        target : str
            Id of the target.
        started_at : float
            Monotonic time at which the run was dispatched.
        looks_complete : bool
            Whether the response was complete, unless the target ended with the run.
        """
        now = self.clock()
        run = PendingRun(fingerprints, started_at, now, looks_complete)
        record = self._record_by_target.get(target)
        if record is None:
            self._record_ended_after_removal(target, run, now)
        elif not record.leaving:
            # A leaving target ends as planned, with the runs that take too long.
            self._pending_runs.add(record.incarnation, run)
            self._schedule_probe(record, now)

    def _record_ended_after_removal(self, target, run, now):
        if target not in self._removed_by_target or run.looks_complete:
            return
        record, removed_at = self._removed_by_target[target]
        if now - removed_at <= REMOVAL_SECONDS:
            self._pending_runs.add(record.incarnation, run)
            self.record_end(record.incarnation, "just removed from the list")

    def record_completed(self, target, started_at):
        """Record a run that ended with a complete response of its target.

        Runs that ended before it began did not end the target.
        """
        record = self._record_by_target.get(target)
        if record is not None:
            runs = self._pending_runs.take_outlived(record.incarnation, started_at)
            self._dismiss(record.incarnation, runs, "a later run completed")

    def update_targets(self, records):
        """Replace the list of targets, and decide on those that are gone.

        Parameters
        ----------
        records : list of TargetRecord
            All listed targets.
        """
        now = self.clock()
        record_by_target = {record.id: record for record in records}
        self._removed_by_target |= {
            name: (record, now)
            for name, record in self._record_by_target.items()
            if name not in record_by_target and not record.leaving
        }
        self._record_by_target = record_by_target
        record_by_incarnation = {record.incarnation: record for record in records}
        for incarnation in self._pending_runs.incarnations():
            record = record_by_incarnation.get(incarnation)
            if record is None:
                self.record_end(incarnation, "no longer listed")
            elif record.leaving:
                runs = self._pending_runs.take_outlived(incarnation)
                self._dismiss(incarnation, runs, "the target is leaving")

    def record_end(self, incarnation, evidence, ended_at=None):
        """Take the pending runs of a target that has ended for crashes.

        Runs that were complete well before that are none, nor are those that broke
        before it answered another instance, as with a lost link.

        Parameters
        ----------
        incarnation : (str, int)
            Id and start of the target.
        evidence : str
            How its end was found out, for the log.
        ended_at : float or None
            Monotonic time of its end; None for that of the first broken run.
        """
        outlived = self._pending_runs.take_outlived(
            incarnation, self.lived_at(incarnation[0])
        )
        self._dismiss(incarnation, outlived, "it answered another instance later")
        if ended_at is None:
            ended_at = self._pending_runs.first_broken_at(incarnation)
        if ended_at is not None:
            runs = self._pending_runs.take_outlived(
                incarnation, ended_at, only_complete=True
            )
            self._dismiss(incarnation, runs, "the target ended later")
        crashes = self._pending_runs.take_crashes(incarnation)
        if not crashes:
            return
        first_ended_at = min(crash.ended_at for _, crash in crashes)
        log.info(
            "target ended while it ran requests",
            target=incarnation[0],
            evidence=evidence,
            age=round(self.clock() - first_ended_at, 3),
            requests=len(crashes),
            fingerprints=_format_some(fingerprints for fingerprints, _ in crashes),
        )
        self.on_crashes(crashes)

    def _dismiss(self, incarnation, runs, cause):
        """Settle runs that did not end their target."""
        for run in runs:
            if run.looks_complete:
                self.on_completed(run.fingerprints, run.ended_at)
        broken = [run for run in runs if not run.looks_complete]
        if broken:
            log.info(
                "broken runs do not count as crashes",
                target=incarnation[0],
                cause=cause,
                age=round(self.clock() - min(run.ended_at for run in broken), 3),
                requests=len(broken),
                fingerprints=_format_some(run.fingerprints for run in broken),
            )

    def expire(self, now):
        """Forget runs without a verdict in time, and old removals and probes."""
        for incarnation, runs in self._pending_runs.expire(now).items():
            self._dismiss(incarnation, runs, "the target is still listed")
        self._removed_by_target = {
            name: (record, removed_at)
            for name, (record, removed_at) in self._removed_by_target.items()
            if now - removed_at <= REMOVAL_SECONDS
        }
        self._probed_at = {
            incarnation: at
            for incarnation, at in self._probed_at.items()
            if now - at < PROBE_INTERVAL_SECONDS
        }

    def _schedule_probe(self, record, now):
        """Schedule a probe of a target unless one is scheduled already."""
        probed_at = self._probed_at.get(record.incarnation, float("-inf"))
        if probed_at > now:
            return
        delay = max(PROBE_DELAY_SECONDS, probed_at + PROBE_INTERVAL_SECONDS - now)
        if self._pending_runs.has_complete(record.incarnation):
            delay = max(delay, CLOSING_SECONDS + PROBE_DELAY_SECONDS)
        self._probed_at[record.incarnation] = now + delay
        self._loop.call_soon_threadsafe(self._start_probe, record, delay)

    def _start_probe(self, record, delay):
        self._loop.create_task(self._probe(record, delay))

    async def _probe(self, record, delay):
        """Connect to a target to see whether its process is still there."""
        await asyncio.sleep(delay)
        started_at = self.clock()
        for _ in range(MAX_PROBES):
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                    _, writer = await asyncio.open_connection(record.host, record.port)
            except TimeoutError:
                continue
            except ConnectionRefusedError:
                await self._record_probed_end(record, "connection refused")
            except OSError as error:
                log.info("probe of a target failed", target=record.id, cause=str(error))
            else:
                self._record_probed_alive(record, started_at)
                writer.close()
                with contextlib.suppress(OSError):
                    await writer.wait_closed()
            return
        await self._record_probed_end(record, "no connection could be made")

    def _record_probed_alive(self, record, at):
        """Settle the runs that look complete, and probe again if some are too recent.

        A target that crashed with a broken run may have started again before the probe,
        which the list of targets will tell.
        """
        incarnation = record.incarnation
        with self.lock:
            runs = self._pending_runs.take_outlived(incarnation, at, only_complete=True)
            self._dismiss(incarnation, runs, "the target accepts connections")
            if self._pending_runs.has_complete(incarnation):
                self._schedule_probe(record, self.clock())

    async def _record_probed_end(self, record, evidence):
        """Record that a target has ended, unless the links to all are lost.

        The list of targets then tells later whether it has.
        """
        if not await self.reaches_another(record):
            log.info(
                "end of a target is not certain: no other one can be reached either",
                target=record.id,
                service=record.service,
                evidence=evidence,
            )
            return
        with self.lock:
            self.record_end(record.incarnation, evidence)


async def _assume_sound_links(record):
    return True


def _format_some(fingerprints_of_runs):
    """Return some of the requests' fingerprints, each once, as in the logs."""
    of_requests = dict.fromkeys(
        fingerprints[0] for fingerprints in fingerprints_of_runs
    )
    return [
        format_fingerprint(fingerprint)
        for fingerprint in itertools.islice(of_requests, MAX_LOGGED_FINGERPRINTS)
    ]
