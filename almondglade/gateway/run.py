"""Send one request to targets and read its answer to the end."""

from typing import Any

from ..declarations.models import TimeLimits
from ..dispatch.call import Call, CallTimeoutError, NotSentError
from ..dispatch.connections import Attempt, PermitExpiredError
from ..errors import TargetError
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..platform.front import parse_target_response, target_headers
from .events import EventStream
from .measuring import ResponseMeter
from .requests import Dispatch

log = get_logger("requests")

# Time for a target to accept a connection; links take milliseconds.
CONNECT_SECONDS = 0.4
# The caller's time ends a little later here than at the target, which answers
# for itself at the end.
LAST_WORD_SECONDS = 0.05
# A resumable stream that is silent for this many of its longest pauses goes on
# elsewhere; before its first event, for this many of its latency objectives.
SILENT_GAPS = 3.0
SILENT_OBJECTIVES = 1.5
MIN_SILENCE_SECONDS = 1.0
# Targets that may be tried before one accepts a connection.
MAX_CONNECTS = 3
# Pause after which another target may be reached; a failed one is paused as long.
NO_TARGET_RETRY_SECONDS = 0.25
# Statuses that promise that a request has not run.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})


class GatewayRun:
    """A dispatched request: an iterator over the body of its answer.

    Parameters
    ----------
    scheduler : GatewayScheduler
    request : GatewayRequest

    Attributes
    ----------
    head : AnswerHead
        Head of the first answer.
    """

    def __init__(self, scheduler, request):
        self.scheduler = scheduler
        self.request = request
        self.clock = scheduler.clock
        self.head: Any = None
        self.call: Any = None
        self.ticket: Any = None
        self.events = (
            EventStream(request.caller_headers.last_event_id)
            if request.route.resumable
            else None
        )
        self.sent_at = 0.0
        self.ended = False
        self.meter: Any = None

    def open(self):
        """Send the request until a target's answer begins.

        Raises
        ------
        RequestError
            If none began.
        """
        while True:
            try:
                head = self._send()
                response_info = parse_target_response(head)
                if head.status < 300 and not response_info.sealed:
                    raise TargetError("the target's success bears no seal")
                if self._is_resumed_wrongly(head, response_info):
                    raise TargetError(f"the stream went on with status {head.status}")
            except TargetError as error:
                if self._may_send_again(error):
                    continue
                raise self._fail(error) from error
            if response_info.not_run:
                self._take_refusal(head, response_info)
                continue
            self.request.may_have_run = True
            if self._is_worth_repeating(head):
                self._drop_call()
                continue
            if head.status in PROMISING_STATUSES:
                # Without the target's word, the promise would not be true.
                self.close()
                raise RequestError(
                    Code.TARGET_FAILED,
                    f"the target answered {head.status}",
                    Outcome.UNKNOWN,
                )
            break
        if self.head is None:
            self.head = head
            if head.status >= 300:
                self.events = None
        return self

    def _is_resumed_wrongly(self, head, response_info):
        """Tell whether a later answer cannot go on where the first broke off."""
        if self.head is None or response_info.not_run:
            return False
        return head.status != self.head.status

    def _is_worth_repeating(self, head):
        if head.status < 500:
            return False
        self.scheduler.update_health(
            self.ticket.target, lambda health, now: health.record_failure(now)
        )
        return self.request.route.idempotent and self.scheduler.may_retry(self.request)

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
        if chunk:
            self._measure(chunk)
        whole = self.call.whole
        if self.events is not None:
            chunk = self.events.feed(chunk)
            if whole and self.events.is_partial:
                self.events.drop_partial()
                raise TargetError("the stream ended in the middle of an event")
            if whole:
                chunk += self.events.flush()
        if whole:
            self._note_pace()
            self._finish("completed")
        return chunk

    def _resume(self, error):
        """Go on at another target, or fail."""
        request = self.request
        if self.events is None or not self._may_send_again(error):
            raise self._fail(error) from error
        self.events.drop_partial()
        log.info(
            "stream goes on elsewhere",
            request=request.request_id,
            after=self.events.last_id,
            cause=str(error),
        )
        try:
            self.open()
        except RequestError:
            self._finish("failed")
            raise

    def close(self):
        """Cancel what is left of the run."""
        if not self.ended:
            self._drop_call()
            self._finish("cancelled")

    def _send(self):
        """Send the request to one target and return the head of its answer."""
        request = self.request
        for _ in range(MAX_CONNECTS):
            self.ticket = self.scheduler.acquire(request)
            try:
                return self._dispatch()
            except (NotSentError, PermitExpiredError) as error:
                target = self.ticket.target
                self._release(None)
                if request.presence.gone:
                    raise self._gone() from error
                self.scheduler.update_health(
                    target, lambda health, now: health.record_unreachable(now)
                )
                log.info(
                    "request was not sent",
                    request=request.request_id,
                    target=target,
                    cause=str(error),
                )
        raise self._no_target()

    def _no_target(self):
        if self.request.may_have_run:
            return RequestError(
                Code.TARGET_FAILED, "no target could be reached", Outcome.UNKNOWN
            )
        return RequestError(
            Code.NO_TARGET,
            "no target could be reached",
            retry_after=NO_TARGET_RETRY_SECONDS,
        )

    @staticmethod
    def _gone():
        return RequestError(Code.CALLER_GONE, "the caller has gone away")

    def _dispatch(self):
        request, scheduler = self.request, self.scheduler
        record = scheduler.record_for(self.ticket.target)
        if record is None:
            raise NotSentError("the target takes no new work")
        now = self.clock()
        left = request.deadline - now
        if left <= 0.0:
            self._release(None)
            raise RequestError(
                Code.TARGET_TIMEOUT if request.may_have_run else Code.OVERLOADED,
                "the caller's time is over",
                Outcome.UNKNOWN if request.may_have_run else Outcome.NOT_RUN,
                NO_TARGET_RETRY_SECONDS,
            )
        last_event_id = self.events.last_id if self.events is not None else None
        headers = target_headers(
            request.raw_headers,
            request.workspace.name if request.workspace else None,
            record.id,
            left,
            last_event_id,
        )
        attempt = Attempt(lambda: not request.presence.gone)
        self.call = Call(
            scheduler.connections.get(f"http://{record.host}:{record.port}"),
            Dispatch(request.method, request.path, headers, request.body),
            self._limits(left),
            attempt,
            scheduler.deadlines,
            self.clock,
            answers=self._answers,
        )
        if request.route.repeatable or request.route.streaming:
            request.presence.on_gone(self.call.cancel)
        self.sent_at = now
        self.meter = ResponseMeter(now, request.caller_headers.input_tokens or 0)
        try:
            head = self.call.open()
        finally:
            if attempt.dispatched:
                request.attempted_targets.append(record.id)
        log.info(
            "answer begins",
            request=request.request_id,
            workspace=request.workspace.name if request.workspace else None,
            tier=request.tier,
            service=request.service,
            input_tokens=request.caller_headers.input_tokens,
            output_tokens=request.caller_headers.output_tokens,
            target=record.id,
            status=head.status,
            waited=round(self.sent_at - request.arrived_at, 3),
            seconds=round(self.clock() - self.sent_at, 3),
        )
        return head

    def _limits(self, left):
        route = self.request.route
        total = left + LAST_WORD_SECONDS
        first = gap = total
        if (
            route.resumable
            and len(self.request.attempted_targets) + 1 < route.max_attempts
        ):
            first = SILENT_OBJECTIVES * route.latency_objective
            gap = SILENT_GAPS * route.gap_objective
            first, gap = (
                min(total, max(MIN_SILENCE_SECONDS, seconds))
                for seconds in (first, gap)
            )
        return TimeLimits(
            connect=min(CONNECT_SECONDS, total),
            first_byte=first,
            between_bytes=gap,
            total=total,
        )

    def _answers(self, head):
        answered = parse_target_response(head).request_id
        return answered is None or answered == self.request.request_id

    def _take_refusal(self, head, response_info):
        """Note that a target has not run the request; raise if it is final."""
        request = self.request
        target = self.ticket.target
        log.info(
            "target refused",
            request=request.request_id,
            target=target,
            status=head.status,
        )
        if response_info.misdirected:
            self.scheduler.update_health(
                target, lambda health, now: health.record_unreachable(now)
            )
        else:
            self.scheduler.update_health(
                target, lambda health, now: health.record_failure(now)
            )
        self._drop_call()
        if self.clock() < request.deadline and self.scheduler.may_retry(request):
            return
        raise self._no_target()

    def _may_send_again(self, error):
        """Tell whether the request goes on at another target after an error."""
        request = self.request
        target = self.ticket.target
        request.may_have_run = True
        self._drop_call()
        if request.presence.gone or self.clock() >= request.deadline:
            return False
        self.scheduler.update_health(
            target, lambda health, now: health.record_unreachable(now)
        )
        return request.route.repeatable and self.scheduler.may_retry(request)

    def _fail(self, error):
        request = self.request
        log.info(
            "caller left" if request.presence.gone else "request failed",
            request=request.request_id,
            targets=request.attempted_targets,
            cause=str(error),
            seconds=round(self.clock() - request.arrived_at, 3),
        )
        self._finish("failed")
        if request.presence.gone:
            return self._gone()
        late = isinstance(error, CallTimeoutError) or self.clock() >= request.deadline
        code = Code.TARGET_TIMEOUT if late else Code.TARGET_FAILED
        return RequestError(code, str(error), Outcome.UNKNOWN)

    def _measure(self, chunk):
        slowness = self.meter.feed(chunk, self.clock())
        if slowness is not None and self.head.status < 500:
            self.scheduler.update_health(
                self.ticket.target,
                lambda health, now: health.record_success(now, slowness),
            )

    def _note_pace(self):
        pace = self.meter.event_seconds(self.clock())
        if pace is not None:
            self.scheduler.update_health(
                self.ticket.target, lambda health, now: health.record_stream(pace)
            )

    def _drop_call(self):
        if self.call is not None:
            self.call.close()
            self.call = None
        self.request.presence.on_gone(None)
        self._release(None)

    def _release(self, held_seconds):
        ticket, self.ticket = self.ticket, None
        if ticket is not None:
            self.scheduler.release(ticket, held_seconds)

    def _finish(self, result):
        if self.ended:
            return
        self.ended = True
        self.request.presence.on_gone(None)
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
        )
