"""Dispatch one request to targets and read the response to its end."""

from dataclasses import replace
from typing import Any

from ..catalogue import TargetRecord
from ..dispatch.call import UNFRAMED, CallTimeoutError, DoubtfulRefusalError
from ..dispatch.events import (
    has_events,
    has_readable_events,
    is_event_stream,
    last_event_id,
)
from ..errors import TargetError
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..placement.origins import StreamOrigin
from ..platform.front import headers_for_callers
from .answers import NOT_RUN_STATUSES, AnswerRecorder
from .requests import format_fingerprint

log = get_logger("requests")


class GatewayRun(AnswerRecorder):
    """A dispatched request; iterates over the body of its response.

    Parameters
    ----------
    scheduler : GatewayScheduler
        Assigns slots and limits retries.
    request : GatewayRequest
        Request to dispatch.

    Attributes
    ----------
    head : ResponseHead
        Head of the first response, which the caller gets; a resumed stream keeps it.
    has_begun : bool
        Whether the caller has got an event of a resumable stream.
    """

    def __init__(self, scheduler, request):
        super().__init__(scheduler, request)
        self.head: Any = None
        self.has_begun = bool(request.version)
        # The target that began the stream as it was listed then, and when it was sent.
        self._origin: tuple[TargetRecord, float] | None = None
        # Whether the response may turn out not to be the rest of the stream.
        self._is_doubtful_rest = False
        self.ended = False

    def open(self):
        """Dispatch the request until the response of a target begins.

        Raises
        ------
        RequestError
            If no response began.
        """
        try:
            return self._open()
        except RequestError:
            self._close_handover()
            raise

    def _close_handover(self):
        # They would keep each other, and the body, until the garbage collector runs.
        handover, self.handover = self.handover, None
        if handover is not None:
            handover.close()

    def _open(self):
        head = self._attempt()
        while head is None:
            head = self._attempt()
        if self.head is None or not self.has_begun:
            self.head = replace(head, headers=headers_for_callers(head.headers))
            if head.status >= 300 or not self._has_readable_events(head):
                self.resumable = False
        return self

    def _attempt(self):
        """Return the head of the response for the caller, or None to send again.

        Raises
        ------
        RequestError
            If no response began and the request cannot be sent again.
        """
        try:
            head = self._send()
            response_info = self._read_statements(head)
            if self._is_resume_mismatch(head, response_info):
                raise TargetError(f"the stream went on with status {head.status}")
            self._is_doubtful_rest = (
                self.has_begun and head.status < 300 and not is_event_stream(head)
            )
        except TargetError as error:
            self._end_broken(error)
            other_head = self._take_other_copy()
            if other_head is not None or self._may_retry_broken(error):
                return other_head
            raise self._finish_failed(error) from error
        if response_info.not_run:
            return self._handle_refusal(head, response_info)
        self.request.may_have_run = True
        if head.status < 500 and head.status not in NOT_RUN_STATUSES:
            return head if self._claim_answer() else self._take_other_copy()
        return self._handle_failure(head)

    def _handle_failure(self, head):
        """Return a failed response for the caller, or what `_attempt` does."""
        if head.status >= 500:
            self._update_health(lambda health, now: health.record_failure(now))
        other_head = self._take_other_copy()
        if other_head is not None:
            return other_head
        if self._should_retry_response(head):
            self._drop_call()
            return None
        if head.status in NOT_RUN_STATUSES:
            # The target did not state that the request was not run, so that the
            # caller must not read it from the status.
            self.close()
            raise RequestError(
                Code.TARGET_FAILED,
                f"the target answered {head.status}",
                Outcome.UNKNOWN,
            )
        return head

    def _claim_answer(self):
        """Return whether the caller gets this answer, and not that of another copy."""
        return True

    def _take_other_copy(self):
        """Return the head of another copy's good answer, or None if there is none."""
        return None

    def _is_resume_mismatch(self, head, response_info):
        """Return whether a later response cannot continue an interrupted first one."""
        if self.head is None or not self.has_begun or response_info.not_run:
            return False
        return head.status != self.head.status or not self._has_readable_events(head)

    def _has_readable_events(self, head):
        return has_readable_events(head, self.request.route.streaming)

    def _should_retry_response(self, head):
        return (
            head.status >= 500
            and self.request.route.idempotent
            and not self.request.relayed_by
            and self.scheduler.may_retry(self.request)
        )

    def __iter__(self):
        return self

    def __next__(self):
        while not self.ended:
            try:
                chunk = self._read()
            except TargetError as error:
                self._resume(error)
                continue
            if chunk:
                return chunk
        raise StopIteration

    def _read(self):
        chunk = self.call.read()
        if self.handover is not None:
            self.handover.withdraw()
        if self._is_doubtful_rest:
            self._check_rest(chunk)
        if chunk:
            self._record_chunk(chunk)
        if self.resumable and chunk:
            self._record_events(chunk)
        if self.call.is_complete:
            self._record_pace()
            self._record_completed()
            self._finish("completed")
        return chunk

    def _check_rest(self, chunk):
        """Reject a response that does not say that it is a stream, and is none.

        Parameters
        ----------
        chunk : bytes
            Next part of the response; empty if it has ended.

        Raises
        ------
        TargetError
            If an event has no id, as the text of an error, or there is none at all.
        """
        if last_event_id(chunk) is not None:
            self._is_doubtful_rest = False
        elif has_events(chunk) or self.call.is_complete:
            raise TargetError("the stream went on with a response that is no stream")

    def _record_events(self, events):
        """Record the events that the caller gets next, and who began the stream."""
        self.last_event_id = last_event_id(events) or self.last_event_id
        if self.has_begun:
            return
        self.has_begun = True
        request, record = self.request, self.record
        if not record.version or self.scheduler.has_other_version(record):
            self.resumable = False
            log.info(
                "stream cannot be resumed: the target's version is not certain",
                request=request.request_id,
                target=record.id,
                version=record.version,
            )
            return
        request.version = record.version
        self._origin = (record, self.sent_at)
        self.scheduler.origins.record(
            request.request_id, StreamOrigin(request.service, record.version)
        )

    def _resume(self, error):
        """Resume the stream on another target, or raise the error for the caller."""
        request = self.request
        self._end_broken(error)
        if not self.resumable or not self._may_retry_broken(error):
            raise self._finish_failed(error) from error
        log.info(
            "resuming the stream on another target",
            request=request.request_id,
            after=self.last_event_id,
            cause=str(error),
        )
        try:
            self.open()
        except RequestError:
            self._finish("failed")
            raise

    def close(self):
        """Cancel the run if it has not ended."""
        if not self.ended:
            self._drop_call()
            self._finish("cancelled")

    def _handle_refusal(self, head, response_info):
        """Return what `_attempt` does after a target did not run the request.

        Raises
        ------
        RequestError
            If the time limit, the attempts or the retry budget are used up.
        """
        request = self.request
        self._record_refusal(head, response_info)
        self._drop_call()
        other_head = self._take_other_copy()
        if other_head is not None:
            return other_head
        if (
            not request.relayed_by
            and self.clock() < request.deadline
            and self.scheduler.may_retry(request)
        ):
            return None
        raise self._no_target_error()

    def _may_retry_broken(self, error):
        """Return whether a request whose run broke may be retried on another target."""
        request = self.request
        if request.caller_connection.disconnected or self.clock() >= request.deadline:
            return False
        if self.peer is None and not isinstance(error, DoubtfulRefusalError):
            self.scheduler.record_unreachable(self.record.id)
        if request.relayed_by:
            # The instance that received the request decides.
            return False
        if self.scheduler.suspects.isolated_fingerprint(request):
            # Its last run may have been the third crash, which is not known yet.
            return False
        if self.handover is not None and self.handover.is_reserved:
            return True
        if not self.is_origin_certain():
            return False
        if request.version and not self.scheduler.has_target(
            request.service, request.version, request.attempted_targets
        ):
            log.info(
                "stream not resumed: no other target of its version",
                request=request.request_id,
                service=request.service,
                version=request.version,
                targets=request.attempted_targets,
            )
            return False
        return request.route.repeatable and self.scheduler.may_retry(request)

    def is_origin_certain(self):
        """Return whether the version that began the stream is known for certain."""
        if self._origin is None:
            return True
        record, sent_at = self._origin
        if not self.scheduler.is_certain_start(record, self.clock() - sent_at):
            return False
        self._origin = None
        return True

    def _finish_failed(self, error):
        """End the run as failed and return the `RequestError` for the caller."""
        request = self.request
        log.info(
            "caller disconnected"
            if request.caller_connection.disconnected
            else "request failed",
            request=request.request_id,
            fingerprint=format_fingerprint(request.fingerprint),
            targets=request.attempted_targets,
            cause=str(error),
            seconds=round(self.clock() - request.arrived_at, 3),
        )
        self._finish("failed")
        if request.caller_connection.disconnected:
            return self._caller_disconnected_error()
        late = isinstance(error, CallTimeoutError) or self.clock() >= request.deadline
        code = Code.TARGET_TIMEOUT if late else Code.TARGET_FAILED
        return RequestError(code, str(error), Outcome.UNKNOWN)

    def _record_chunk(self, chunk):
        self.scheduler.record_bytes(len(chunk))
        slowness = self.meter.feed(chunk, self.clock())
        if slowness is None or self.ticket is None:
            return
        if self.ticket.isolated_fingerprint:
            self.scheduler.end_isolation(self.ticket)
        if self.head.status < 500:
            self._update_health(
                lambda health, now: health.record_success(now, slowness)
            )
            self.scheduler.record_response_time(self.request.service, slowness)

    def _record_pace(self):
        pace = self.meter.event_seconds(self.clock())
        if pace is not None:
            self._update_health(lambda health, now: health.record_stream(pace))

    def _record_completed(self):
        """Clear the request of crashing targets, unless the target failed."""
        if self.head.status < 500 and self.ticket is not None:
            self.scheduler.suspects.record_completed(
                self.request,
                self.ticket.target,
                self.sent_at,
                is_framed=self.meter.framing != UNFRAMED,
            )

    def _finish(self, result):
        if self.ended:
            return
        self.ended = True
        self._close_handover()
        self.request.caller_connection.on_disconnect(None)
        held_seconds = self.clock() - self.sent_at if result == "completed" else None
        self._release(held_seconds)
        self.scheduler.metrics.count(
            "dispatches_total", service=self.request.service, result=result
        )
        log.info(
            "request ended",
            request=self.request.request_id,
            result=result,
            seconds=round(self.clock() - self.request.arrived_at, 3),
            **self._response_summary(),
        )
