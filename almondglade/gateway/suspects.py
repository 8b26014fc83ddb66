"""Refuse requests that crash targets, and share what is known of them with peers."""

import asyncio
import threading
from typing import Any

from ..gossip.messages import StartNotice, SuspectReport
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..placement.suspects import NEVER, SuspectTable, Suspicion, is_established
from .crashes import CrashDetector
from .requests import format_fingerprint
from .suspectreports import make_reports, to_times

log = get_logger("suspects")

# Changes within this time are sent together, as many runs break at once.
SEND_DELAY_SECONDS = 0.02
# What isolates or bars requests is sent to all peers again after these times, as
# datagrams are lost and each peer that does not know may run one more of them.
RESEND_SECONDS = (0.5, 1.0, 1.5)
# Changes are repeated to random peers for this long.
REPEAT_SECONDS = 20.0
MAX_REPEATED_SUSPECTS = 4
# Suspects that are sent to a new peer and to one that joins.
MAX_SUSPECTS_FOR_NEW_PEER = 64
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
        self._detector = CrashDetector(
            lock, clock, self._record_crashes, self._record_proven
        )
        self._join_timeout_at = clock() + JOIN_TIMEOUT_SECONDS
        self._informed = threading.Event()
        if first_start:
            self._informed.set()
        self._unsent_fingerprints: set[int] = set()
        self._loop = asyncio.get_running_loop()

    def set_link_evidence(self, reaches_another, lived_at):
        """Set how lost links are told from ended targets.

        Parameters
        ----------
        reaches_another, lived_at : callable
            As of `CrashDetector`.
        """
        self._detector.reaches_another = reaches_another
        self._detector.lived_at = lived_at

    def check(self, request):
        """Refuse a request that has crashed several targets.

        Shortly after the start, waits until a peer has told which have.

        Raises
        ------
        RequestError
            If it is barred.
        """
        self.wait_until_informed()
        now = self.clock()
        with self.lock:
            verdict = self.table.verdict(request.fingerprints, now)
            if verdict.suspicion is not Suspicion.BARRED:
                return
            suspect = self.table.by_fingerprint[verdict.fingerprint]
            crashes, retry_after = suspect.crashes, suspect.barred_until - now
        log.info(
            "request refused: it has crashed targets",
            request=request.request_id,
            fingerprint=format_fingerprint(verdict.fingerprint),
            part=request.part_with(verdict.fingerprint),
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

    def wait_until_informed(self):
        """Wait until a peer has told what it knows; only shortly after the start."""
        if not self.is_informed():
            self._informed.wait(self._join_timeout_at - self.clock())

    def isolated_fingerprint(self, request):
        """Return the fingerprint for which a request must run in isolation, or 0."""
        with self.lock:
            verdict = self.table.verdict(request.fingerprints, self.clock())
        return verdict.fingerprint if verdict.suspicion is Suspicion.ISOLATED else 0

    def is_suspect(self, request):
        """Return whether a run of a request broke on a target that may have ended."""
        with self.lock:
            return self.table.has_crashed(
                request.fingerprint
            ) or self._detector.has_broken_run(request.fingerprint)

    def record_broken(self, request, target, started_at):
        """Record a run without a complete response.

        Parameters
        ----------
        target : str
            Id of the target.
        started_at : float
            Monotonic time at which the run was dispatched.
        """
        with self.lock:
            self._detector.record_ended(
                request.fingerprints, target, started_at, looks_complete=False
            )

    def record_completed(self, request, target, started_at, is_framed=True):
        """Record a run that ended with a complete response of the target.

        It clears the request at once, unless the target may have ended with it: a
        response that only its connection ends looks complete then, and a suspect may
        crash the target after a short response.

        Parameters
        ----------
        target : str
            Id of the target.
        started_at : float
            Monotonic time at which the run was dispatched.
        is_framed : bool
            Whether a length or chunks mark the end of the response.
        """
        fingerprints = request.fingerprints
        with self.lock:
            self._detector.record_completed(target, started_at)
            is_proven = is_framed and not (
                self.table.may_crash_after_response(fingerprints)
                and self._detector.can_crash(target)
            )
            if is_proven:
                self._record_proven(fingerprints, self.clock())
            else:
                self._detector.record_ended(
                    fingerprints, target, started_at, looks_complete=True
                )

    def _record_proven(self, fingerprints, completed_at):
        """Record that a run was complete; the caller holds the lock."""
        cleared = [
            fingerprint
            for fingerprint in fingerprints
            if self.table.record_completed(fingerprint, completed_at)
        ]
        for fingerprint in cleared:
            self._log_cleared(fingerprint, "a run completed here")
        self._send_soon(cleared)

    def update_targets(self, records):
        """Replace the list of targets; the caller holds the lock.

        Parameters
        ----------
        records : list of TargetRecord
        """
        self._detector.update_targets(records)

    def expire(self):
        """Forget what no longer matters."""
        now = self.clock()
        with self.lock:
            self._detector.expire(now)
            self.table.expire(now)

    def _record_crashes(self, crashes):
        """Add the crashes that were detected here; the caller holds the lock.

        Parameters
        ----------
        crashes : list of (tuple of int, Crash)
            Fingerprints of the runs and their crashes.
        """
        now = self.clock()
        self.metrics.count("target_crashes_total", len(crashes))
        changed = [
            fingerprint
            for fingerprints, crash in crashes
            for fingerprint in fingerprints
            if self._add(fingerprint, [crash], now, "this gateway")
        ]
        self._send_soon(changed)

    def _add(self, fingerprint, crashes, now, source, cleared_at=NEVER):
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
                fingerprint=format_fingerprint(fingerprint),
                targets=[crash.target for crash in known],
                ages=[round(now - crash.ended_at, 3) for crash in known],
                source=source,
            )
        elif was_suspect and not self.table.has_crashed(fingerprint):
            self._log_cleared(fingerprint, f"a run completed, as {source} reports")
        return True

    def _log_cleared(self, fingerprint, cause):
        log.info(
            "request cleared", fingerprint=format_fingerprint(fingerprint), cause=cause
        )

    def handle_report(self, report, sent_at=None):
        """Add the evidence of a peer.

        Parameters
        ----------
        report : SuspectReport
        sent_at : float or None
            Monotonic time at which its ages were true; None for now.
        """
        self._informed.set()
        now = self.clock()
        sent_at = now if sent_at is None else sent_at
        with self.lock:
            for evidence in report.suspects:
                fingerprint = evidence.fingerprint
                crashes, cleared_at = to_times(evidence, sent_at)
                self._add(fingerprint, crashes, now, report.instance, cleared_at)
                for crash in crashes:
                    self._detector.record_end(
                        crash.incarnation,
                        f"report of {report.instance}",
                        crash.ended_at,
                    )
                if crashes and self._knows_completed_run(
                    fingerprint, crashes, cleared_at
                ):
                    self._send_soon([fingerprint])

    def _knows_completed_run(self, fingerprint, crashes, cleared_at):
        """Return whether a run that a peer does not know of speaks for a suspect."""
        suspect = self.table.by_fingerprint.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return True
        return is_established(
            suspect.crashes, suspect.cleared_at
        ) and not is_established(crashes, cleared_at)

    def record_no_informed_peer(self):
        """Stop waiting: the peers that could tell have all just started, too."""
        self._informed.set()

    def is_informed(self):
        """Return whether a peer has told what it knows, or none can."""
        return self._informed.is_set() or self.clock() >= self._join_timeout_at

    def recent_reports(self):
        """Return the `SuspectReport`s of what changed lately."""
        with self.lock:
            since = self.clock() - REPEAT_SECONDS
            return self._make_reports(self.table.select(MAX_REPEATED_SUSPECTS, since))

    def reports_for_new_peer(self):
        """Return the `SuspectReport`s for an instance that has just started.

        There is an empty one if no request is suspect, and a `StartNotice` instead from
        an instance that has just started itself.
        """
        if not self.is_informed():
            return [StartNotice(self.instance)]
        with self.lock:
            reports = self._make_reports(self.table.select(MAX_SUSPECTS_FOR_NEW_PEER))
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
        self._send_to_all(unsent)
        for seconds in RESEND_SECONDS:
            self._loop.call_later(seconds, self._send_again, unsent)

    def _send_again(self, fingerprints):
        """Repeat what still isolates or bars requests."""
        now = self.clock()
        with self.lock:
            suspicious = {
                fingerprint
                for fingerprint in fingerprints
                if self.table.suspicion(fingerprint, now) is not Suspicion.NONE
            }
        self._send_to_all(suspicious)

    def _send_to_all(self, fingerprints):
        with self.lock:
            known = self.table.by_fingerprint
            reports = self._make_reports(
                {name: known[name] for name in fingerprints & known.keys()}
            )
        for report in reports:
            self.gossip.send_to_all_soon(report)

    def _make_reports(self, suspect_by_fingerprint):
        return make_reports(self.instance, suspect_by_fingerprint, self.clock())
