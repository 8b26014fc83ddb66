"""Find out which targets ended, and share the requests that may have crashed them."""

import asyncio
import contextlib
import itertools
import threading
from typing import Any

from ..catalogue import TargetRecord
from ..gossip.messages import CrashEvidence, SuspectEvidence, SuspectReport
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..placement.suspects import (
    BrokenRun,
    BrokenRuns,
    Crash,
    SuspectTable,
    Suspicion,
)

log = get_logger("suspects")

# A crashed process closes its connections before its port.
PROBE_DELAY_SECONDS = 0.05
# Shortest interval between two probes of a target; each costs it a connection.
PROBE_INTERVAL_SECONDS = 0.5
# A first packet may be lost, so that silence is believed only the third time.
PROBE_TIMEOUT_SECONDS = 0.3
MAX_PROBES = 3
# Changes within this time are sent together, as many runs break at once.
SEND_DELAY_SECONDS = 0.02
# Changes are repeated to random peers for this long, as datagrams are lost.
REPEAT_SECONDS = 20.0
MAX_REPEATED_SUSPECTS = 4
# Keeps a message within one packet.
MAX_SUSPECTS_PER_REPORT = 4
# Suspects that are sent to a new peer and to one that joins.
MAX_SUSPECTS_FOR_NEW_PEER = 64
MAX_LOGGED_FINGERPRINTS = 8
# A run that breaks within this time after its target's entry was removed broke because
# the target ended: one that leaves unannounced serves for longer after the removal.
REMOVAL_SECONDS = 1.5
# An instance that starts in a running fleet holds requests until a peer has told it
# which are barred, for at most this long; a round trip takes milliseconds.
JOIN_TIMEOUT_SECONDS = 0.4


class SuspectTracker:
    """Tracks the requests that may crash targets, on one gateway.

    Parameters
    ----------
    instance : str
        This instance.
    lock : threading.Lock
        Guards the scheduling state, this one included.
    metrics : Metrics
        Where crashes and clearances are counted.
    clock : callable
        Returns monotonic seconds.
    first_start : bool
        Whether the whole fleet starts for the first time, so that there is nothing to
        learn from peers.

    Attributes
    ----------
    table : SuspectTable
        What is known of the requests.
    gossip : GossipProtocol
        Sends what changed; set after it has been created.
    """

    def __init__(self, instance, lock, metrics, clock, first_start=True):
        self.instance = instance
        self.lock = lock
        self.metrics = metrics
        self.clock = clock
        self.table = SuspectTable()
        self.gossip: Any = None
        self._broken_runs = BrokenRuns()
        self._started_at = clock()
        self._informed = threading.Event()
        if first_start:
            self._informed.set()
        self._record_by_target: dict[str, TargetRecord] = {}
        self._removed_by_target: dict[str, tuple[TargetRecord, float]] = {}
        self._probed_at: dict[tuple[str, int], float] = {}
        self._unsent_fingerprints: set[int] = set()
        self._loop = asyncio.get_running_loop()

    def check(self, request):
        """Refuse a request that has crashed several targets.

        Shortly after the start, waits until a peer has told which have.

        Raises
        ------
        RequestError
            If it is barred.
        """
        if not self._informed.is_set():
            self._informed.wait(self._started_at + JOIN_TIMEOUT_SECONDS - self.clock())
            self._informed.set()
        now = self.clock()
        with self.lock:
            if self.table.suspicion(request.fingerprint, now) is not Suspicion.BARRED:
                return
            suspect = self.table.by_fingerprint[request.fingerprint]
            crashes, retry_after = suspect.crashes, suspect.barred_until - now
        log.info(
            "request refused: it has crashed targets",
            request=request.request_id,
            fingerprint=_hex(request.fingerprint),
            targets=[crash.target for crash in crashes],
            ages=[round(now - crash.ended_at, 2) for crash in crashes],
            retry_after=round(retry_after, 2),
        )
        self.metrics.count(
            "refusals_total", service=request.service, code=Code.BARRED.text
        )
        if request.may_have_run:
            raise RequestError(
                Code.TARGET_FAILED, "the request crashes targets", Outcome.UNKNOWN
            )
        raise RequestError(
            Code.BARRED, "the request crashes targets", retry_after=retry_after
        )

    def isolated_fingerprint(self, request):
        """Return the fingerprint of a request that must run in isolation, or 0."""
        with self.lock:
            suspicion = self.table.suspicion(request.fingerprint, self.clock())
        return request.fingerprint if suspicion is Suspicion.ISOLATED else 0

    def is_suspect(self, request):
        """Return whether a run of a request broke on a target that may have ended."""
        with self.lock:
            return self.table.has_crashed(
                request.fingerprint
            ) or self._broken_runs.has_fingerprint(request.fingerprint)

    def record_broken(self, request, target, started_at):
        """Record a run without a complete response.

        Parameters
        ----------
        target : str
            Id of the target.
        started_at : float
            Monotonic time at which the run was dispatched.
        """
        now = self.clock()
        with self.lock:
            record = self._record_by_target.get(target)
            run = BrokenRun(request.fingerprint, started_at, now)
            if record is None:
                self._record_broken_after_removal(target, run, now)
                return
            if record.leaving:
                # It ends as planned, with the runs that take too long.
                return
            self._broken_runs.add(record.incarnation, run)
            probed_at = self._probed_at.get(record.incarnation, float("-inf"))
            delay = max(PROBE_DELAY_SECONDS, probed_at + PROBE_INTERVAL_SECONDS - now)
            if probed_at > now:
                return
            self._probed_at[record.incarnation] = now + delay
        self._loop.call_soon_threadsafe(self._start_probe, record, delay)

    def _record_broken_after_removal(self, target, run, now):
        record, removed_at = self._removed_by_target.get(target, (None, 0.0))
        if record is not None and now - removed_at <= REMOVAL_SECONDS:
            self._broken_runs.add(record.incarnation, run)
            self._record_end(record.incarnation, "just removed from the list")

    def record_completed(self, request, target, started_at):
        """Record a run that ended with a complete response of the target."""
        with self.lock:
            record = self._record_by_target.get(target)
            if record is not None:
                self._broken_runs.dismiss(record.incarnation, before=started_at)
            cleared = self.table.record_completed(request.fingerprint, self.clock())
        if cleared:
            self._log_cleared(request.fingerprint, "a run completed here")
            self._send_soon([request.fingerprint])

    def update_targets(self, records):
        """Decide on the targets without a verdict by the list of targets.

        The caller holds the lock.

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
        for incarnation in self._broken_runs.incarnations():
            record = record_by_incarnation.get(incarnation)
            if record is None:
                self._record_end(incarnation, "no longer listed")
            elif record.leaving:
                self._broken_runs.dismiss(incarnation)

    def expire(self):
        """Forget what no longer matters."""
        now = self.clock()
        with self.lock:
            self._broken_runs.expire(now)
            self.table.expire(now)
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

    def _start_probe(self, record, delay):
        self._loop.create_task(self._probe(record, delay))

    async def _probe(self, record, delay):
        """Connect to a target to see whether its process is still there."""
        await asyncio.sleep(delay)
        for _ in range(MAX_PROBES):
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                    _, writer = await asyncio.open_connection(record.host, record.port)
            except TimeoutError:
                continue
            except ConnectionRefusedError:
                self._record_refused(record, "connection refused")
                return
            except OSError as error:
                log.info("probe of a target failed", target=record.id, cause=str(error))
                return
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
            # Its process may have started again already, which the list of targets
            # tells.
            return
        self._record_refused(record, "no connection could be made")

    def _record_refused(self, record, evidence):
        with self.lock:
            self._record_end(record.incarnation, evidence)

    def _record_end(self, incarnation, evidence):
        """Take the broken runs of a target as crashes; the caller holds the lock."""
        crashes = self._broken_runs.take_crashes(incarnation)
        if not crashes:
            return
        now = self.clock()
        fingerprints = {fingerprint for fingerprint, _ in crashes}
        log.info(
            "target ended while it ran requests",
            target=incarnation[0],
            evidence=evidence,
            age=round(now - min(crash.ended_at for _, crash in crashes), 3),
            requests=len(crashes),
            fingerprints=[
                _hex(fingerprint)
                for fingerprint in itertools.islice(
                    fingerprints, MAX_LOGGED_FINGERPRINTS
                )
            ],
        )
        self.metrics.count("target_crashes_total", len(crashes))
        changed = [
            fingerprint
            for fingerprint, crash in crashes
            if self._add(fingerprint, [crash], now, "this gateway")
        ]
        self._send_soon(changed)

    def _add(self, fingerprint, crashes, now, source, cleared_at=float("-inf")):
        """Add evidence and log a changed verdict; the caller holds the lock."""
        before = self.table.suspicion(fingerprint, now)
        was_suspect = self.table.has_crashed(fingerprint)
        if not self.table.add(fingerprint, crashes, now, cleared_at):
            return False
        suspicion = self.table.suspicion(fingerprint, now)
        if suspicion is not before and suspicion is not Suspicion.NONE:
            known = self.table.by_fingerprint[fingerprint].crashes
            log.warning(
                "request barred: it crashes targets"
                if suspicion is Suspicion.BARRED
                else "request isolated: it may crash targets",
                fingerprint=_hex(fingerprint),
                targets=[crash.target for crash in known],
                ages=[round(now - crash.ended_at, 3) for crash in known],
                source=source,
            )
        elif was_suspect and not self.table.has_crashed(fingerprint):
            self._log_cleared(fingerprint, f"a run completed, as {source} reports")
        return True

    def _log_cleared(self, fingerprint, cause):
        log.info("request cleared", fingerprint=_hex(fingerprint), cause=cause)

    def handle_report(self, report):
        """Add the evidence of a peer."""
        self._informed.set()
        now = self.clock()
        with self.lock:
            for evidence in report.suspects:
                crashes = [
                    Crash(
                        crash.target,
                        crash.target_started_at,
                        now - crash.started_age,
                        now - crash.ended_age,
                    )
                    for crash in evidence.crashes
                ]
                cleared_at = (
                    float("-inf")
                    if evidence.cleared_age is None
                    else now - evidence.cleared_age
                )
                fingerprint = evidence.fingerprint
                self._add(fingerprint, crashes, now, report.instance, cleared_at)
                for crash in crashes:
                    self._record_end(crash.incarnation, f"report of {report.instance}")
                if crashes and not self.table.has_crashed(fingerprint):
                    # The peer does not know of a run that has completed since.
                    self._send_soon([fingerprint])

    def recent_reports(self):
        """Return the `SuspectReport`s of what changed lately."""
        with self.lock:
            since = self.clock() - REPEAT_SECONDS
            return self._reports(self.table.select(MAX_REPEATED_SUSPECTS, since))

    def reports_for_new_peer(self):
        """Return the `SuspectReport`s for an instance that has just started.

        There is an empty one if no request is suspect, and none from an instance that
        has just started itself.
        """
        if not self._informed.is_set():
            return []
        with self.lock:
            reports = self._reports(self.table.select(MAX_SUSPECTS_FOR_NEW_PEER))
        return reports or [SuspectReport(self.instance, ())]

    def _send_soon(self, fingerprints):
        """Send suspects to all peers soon; safe from any thread."""
        if fingerprints:
            self._loop.call_soon_threadsafe(self._schedule_send, list(fingerprints))

    def _schedule_send(self, fingerprints):
        if not self._unsent_fingerprints:
            self._loop.call_later(SEND_DELAY_SECONDS, self._send_changes)
        self._unsent_fingerprints.update(fingerprints)

    def _send_changes(self):
        unsent, self._unsent_fingerprints = self._unsent_fingerprints, set()
        with self.lock:
            known = self.table.by_fingerprint
            reports = self._reports(
                {name: known[name] for name in unsent & known.keys()}
            )
        for report in reports:
            self.gossip.send_to_all_soon(report)

    def _reports(self, suspect_by_fingerprint):
        """Return the `SuspectReport`s of some suspects; the caller holds the lock."""
        now = self.clock()
        evidence = [
            SuspectEvidence(
                fingerprint,
                tuple(
                    CrashEvidence(
                        crash.target,
                        crash.target_started_at,
                        now - crash.started_at,
                        now - crash.ended_at,
                    )
                    for crash in suspect.crashes
                ),
                None
                if suspect.cleared_at == float("-inf")
                else now - suspect.cleared_at,
            )
            for fingerprint, suspect in suspect_by_fingerprint.items()
        ]
        return [
            SuspectReport(
                self.instance, tuple(evidence[start : start + MAX_SUSPECTS_PER_REPORT])
            )
            for start in range(0, len(evidence), MAX_SUSPECTS_PER_REPORT)
        ]


def _hex(fingerprint):
    return f"{fingerprint:016x}"
