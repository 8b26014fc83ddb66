"""One exchange for a request, with a target or with a peer: limits, logs and errors."""

from typing import Any

from ..dispatch.attribution import Claim, Verdict
from ..dispatch.call import CallLimits
from ..dispatch.connections import Attempt
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..platform.front import parse_target_response
from .measuring import ResponseMeter, expected_first_byte_seconds

log = get_logger("requests")

# Time limit for connecting to a target; a round trip takes milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.4
# A resumable stream is continued on another target after a silence of this many times
# the route's longest pause between events; before the first event, of this many times
# the route's latency objective.
GAP_TIMEOUT_OBJECTIVES = 3.0
FIRST_EVENT_TIMEOUT_OBJECTIVES = 1.5
MIN_SILENCE_TIMEOUT_SECONDS = 1.0
# A target may take this many times as long until the first event as its pace so far and
# the size of the prompt let expect: it reads several prompts at a time.
FIRST_EVENT_MARGIN = 3.0
# Retry-After time when no target could be reached. Another one may be reachable by
# then; a failed target is paused for as long.
NO_TARGET_RETRY_AFTER_SECONDS = 0.25


class RequestCall:
    """The newest exchange for a request, and what is kept for the next.

    Parameters
    ----------
    scheduler : GatewayScheduler
        Assigns slots and limits retries.
    request : GatewayRequest
        Request to dispatch.

    Attributes
    ----------
    call : Call or None
        The exchange in progress.
    ticket : Ticket or None
        Holds the slot of a target; None while a peer holds it.
    peer : Peer or None
        The peer that the request was passed to.
    broken_peers : set of str
        Peers through which a run of the request has broken off.
    record : TargetRecord
        The target of the newest response.
    resumable : bool
        Whether the response is a stream that another target can continue; a relayed one
        is continued by the instance that received the request.
    last_event_id : str or None
        Id of the event after which a resumable stream is to go on: the last one that
        the caller has got.
    """

    def __init__(self, scheduler, request):
        self.scheduler = scheduler
        self.request = request
        self.clock = scheduler.clock
        self.call: Any = None
        self.ticket: Any = None
        self.peer: Any = None
        self.broken_peers: set[str] = set()
        self.record: Any = None
        self.resumable = request.route.resumable and not request.relayed_by
        self.last_event_id: str | None = None
        if request.relayed_by:
            self.last_event_id = request.relay_last_event_id
        elif self.resumable:
            self.last_event_id = request.caller_headers.last_event_id
        self.sent_at = 0.0
        self.meter: Any = None
        self._counted_peer: Any = None
        self.handover: Any = None

    def _check_sendable(self):
        """Refuse a request that crashes targets, or may not end before this process.

        Either may have been found out while it waited.
        """
        try:
            self.scheduler.suspects.check(self.request)
            self.scheduler.draining.check(self.request)
        except RequestError:
            self._release(None)
            raise

    def _no_target_error(self):
        if self.request.may_have_run:
            return RequestError(
                Code.TARGET_FAILED, "no target could be reached", Outcome.UNKNOWN
            )
        return RequestError(
            Code.NO_TARGET,
            "no target could be reached",
            retry_after=NO_TARGET_RETRY_AFTER_SECONDS,
        )

    def _time_is_over_error(self):
        may_have_run = self.request.may_have_run
        return RequestError(
            Code.TARGET_TIMEOUT if may_have_run else Code.OVERLOADED,
            "the caller's time is over",
            Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
            NO_TARGET_RETRY_AFTER_SECONDS,
        )

    @staticmethod
    def _caller_disconnected_error():
        return RequestError(Code.CALLER_GONE, "the caller has gone away")

    def _new_attempt(self):
        caller_connection = self.request.caller_connection
        return Attempt(lambda: not caller_connection.disconnected)

    def _open_call(self):
        request = self.request
        if request.route.repeatable or request.route.streaming:
            self._cancel_on_disconnect()
        self.sent_at = self.clock()
        self.meter = ResponseMeter(
            self.sent_at, request.caller_headers.input_tokens or 0
        )
        self.scheduler.draining.watch(self.call)
        head = self.call.open()
        self.meter.framing = self.call.framing
        return head

    def _cancel_on_disconnect(self):
        self.request.caller_connection.on_disconnect(self.call.cancel)

    def _log_response_started(self, head):
        request = self.request
        log.info(
            "response started",
            request=request.request_id,
            workspace=request.workspace.name if request.workspace else None,
            tier=request.tier,
            service=request.service,
            input_tokens=request.caller_headers.input_tokens,
            output_tokens=request.caller_headers.output_tokens,
            target=self.record.id,
            number=self.ticket.number if self.ticket else None,
            version=self.record.version,
            relayed_by=request.relayed_by or None,
            peer=self.peer.instance if self.peer else None,
            resumes=request.caller_headers.resumed_request,
            after=self.last_event_id,
            status=head.status,
            framing=self.meter.framing,
            waited=round(self.sent_at - request.arrived_at, 3),
            seconds=round(self.clock() - self.sent_at, 3),
        )

    def _time_limits(self, total, target=None):
        """Return the `CallLimits` of one call.

        Parameters
        ----------
        total : float
            Seconds until the response must be complete.
        target : str or None
            Target of this attempt; None if a peer chooses it.
        """
        route = self.request.route
        first_event_timeout = gap_timeout = total
        attempted = {*self.request.attempted_targets}
        if target is not None:
            attempted.add(target)
        attempts = len(attempted) + (target is None)
        if self.resumable and attempts < route.max_attempts:
            # Whether another target takes the request up is asked at that time.
            gap_timeout = _silence_timeout(
                GAP_TIMEOUT_OBJECTIVES * route.gap_objective, total
            )
            first_event_timeout = _silence_timeout(
                max(
                    FIRST_EVENT_TIMEOUT_OBJECTIVES * route.latency_objective,
                    self._expected_silence(target),
                ),
                total,
            )
        return CallLimits(
            connect=min(CONNECT_TIMEOUT_SECONDS, total),
            first_byte=first_event_timeout,
            between_bytes=gap_timeout,
            total=total,
        )

    def _expected_silence(self, target):
        """Return for how long a sound target may read the prompt, in seconds."""
        tokens = self.request.caller_headers.input_tokens or 0
        slowness = self.scheduler.slowness_of(target)
        return FIRST_EVENT_MARGIN * slowness * expected_first_byte_seconds(tokens)

    def _judge_response(self, head, is_reused):
        """Return the `Verdict` on a response that arrived on the connection."""
        request_id = self.request.request_id
        info = parse_target_response(head)
        claim = Claim(info.request_id, info.not_run)
        attribution = self.call.pool.attribution
        verdict = attribution.judge(claim, request_id, is_reused)
        if verdict is not Verdict.OURS:
            log.info(
                "response skipped: it may belong to another request",
                request=request_id,
                named=info.request_id,
                status=head.status,
                verdict=verdict.value,
                target=self.record.id if self.record else None,
            )
        elif info.not_run:
            attribution.record_refused(request_id)
        return verdict

    def _drop_call(self):
        if self.call is not None:
            self.call.close()
            self.call = None
        if self.handover is not None:
            self.handover.withdraw()
        self.request.caller_connection.on_disconnect(None)
        self._release(None)

    def _release(self, held_seconds):
        """Release the slot at the target, or stop counting the relay."""
        ticket, self.ticket = self.ticket, None
        peer, self._counted_peer = self._counted_peer, None
        if ticket is not None:
            self.scheduler.release(ticket, held_seconds)
        if peer is not None:
            self.scheduler.relays.record_end(peer)


def _silence_timeout(seconds, total):
    return min(total, max(MIN_SILENCE_TIMEOUT_SECONDS, seconds))
