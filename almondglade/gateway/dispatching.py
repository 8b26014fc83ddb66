"""Send one request to a target or to a peer, and read the head of the response."""

from typing import Any

import orjson

from ..catalogue import TargetRecord
from ..declarations.models import TimeLimits
from ..dispatch.call import BrokenCallError, Call, NotSentError
from ..dispatch.connections import Attempt, PermitExpiredError
from ..errors import TargetError
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..platform.front import parse_target_response, relay_headers, target_headers
from .measuring import ResponseMeter
from .relaying import (
    MAX_RELAY_ATTEMPTS,
    RELAY_HEADER,
    RelayTerms,
    relay_attempts,
    relay_outcome,
    without_relay_header,
)
from .requests import Dispatch

log = get_logger("requests")

# Time limit for connecting to a target; a round trip takes milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.4
# The request's time limit ends this much later here than at the target, or at the peer,
# so that it can still respond by itself when its time is over.
TARGET_RESPONSE_MARGIN_SECONDS = 0.05
RELAY_RESPONSE_MARGIN_SECONDS = 0.1
# A resumable stream is continued on another target after a silence of this many times
# the route's longest pause between events; before the first event, of this many times
# the route's latency objective.
GAP_TIMEOUT_OBJECTIVES = 3.0
FIRST_EVENT_TIMEOUT_OBJECTIVES = 1.5
MIN_SILENCE_TIMEOUT_SECONDS = 1.0
# Targets that are tried until one accepts a connection.
MAX_CONNECT_ATTEMPTS = 3
# Retry-After time when no target could be reached. Another one may be reachable by
# then; a failed target is paused for as long.
NO_TARGET_RETRY_AFTER_SECONDS = 0.25
# Errors of a peer that another peer need not have.
PEER_ERRORS = frozenset(
    code.text
    for code in (
        Code.BAD_REQUEST,
        Code.FORBIDDEN,
        Code.INTERNAL,
        Code.NOT_FOUND,
        Code.NO_COORDINATOR,
        Code.NO_TARGET,
        Code.STOPPING,
        Code.UNAUTHENTICATED,
    )
)
CODE_BY_TEXT = {code.text: code for code in Code}


class Dispatcher:
    """Sends a request to a target, or to a peer if no target can be reached.

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

    def _send(self):
        """Send the request to one target and return the head of its response."""
        request = self.request
        for _ in range(MAX_CONNECT_ATTEMPTS):
            head = self._send_through_peers()
            if head is not None:
                return head
            if self.scheduler.links.is_lost(request.service):
                raise self._no_target_error()
            self.ticket = self.scheduler.acquire(request)
            self.peer = None
            self._check_suspicion()
            try:
                return self._dispatch()
            except (NotSentError, PermitExpiredError) as error:
                target = self.ticket.target
                self._release(None)
                if request.caller_connection.disconnected:
                    raise self._caller_disconnected_error() from error
                self.scheduler.record_unreachable(target)
                log.info(
                    "request could not be sent to the target",
                    request=request.request_id,
                    target=target,
                    cause=str(error),
                )
        head = self._send_through_peers()
        if head is None:
            raise self._no_target_error()
        return head

    def _check_suspicion(self):
        """Refuse a request that was found to crash targets while it waited."""
        try:
            self.scheduler.suspects.check(self.request)
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

    def _dispatch(self):
        """Send the request to the target of the ticket; return the response's head."""
        request, scheduler = self.request, self.scheduler
        self.record = record = scheduler.record_for(self.ticket.target)
        if record is None:
            raise NotSentError("the target takes no new work")
        if request.version not in ("", record.version):
            raise NotSentError("the target has another software version")
        time_left = request.deadline - self.clock()
        if time_left <= 0.0:
            self._release(None)
            raise self._time_is_over_error()
        headers = target_headers(
            request.raw_headers,
            request.workspace.name if request.workspace else None,
            record.id,
            time_left,
            self.last_event_id,
        )
        attempt = self._new_attempt()
        self.call = Call(
            scheduler.connections.get(f"http://{record.host}:{record.port}"),
            Dispatch(request.method, request.path, headers, request.body),
            self._time_limits(
                time_left + TARGET_RESPONSE_MARGIN_SECONDS, record.version, record.id
            ),
            attempt,
            scheduler.deadlines,
            self.clock,
            # A reused connection may be that of a target which has ended already.
            new_connection=scheduler.suspects.is_suspect(request),
            matches_request=self._is_response_to_request,
            is_stream_expected=request.route.streaming,
        )
        try:
            with scheduler.links.awaiting(
                record.service, self.call.expire, request.route.repeatable
            ):
                head = self._open_call()
        finally:
            if attempt.dispatched:
                request.attempted_targets.append(record.id)
        self._log_response_started(head)
        return head

    def _new_attempt(self):
        return Attempt(lambda: not self.request.caller_connection.disconnected)

    def _open_call(self):
        request = self.request
        if request.route.repeatable or request.route.streaming:
            request.caller_connection.on_disconnect(self.call.cancel)
        self.sent_at = self.clock()
        self.meter = ResponseMeter(
            self.sent_at, request.caller_headers.input_tokens or 0
        )
        head = self.call.open()
        self.meter.framing = self.call.framing
        return head

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

    def _send_through_peers(self):
        """Pass the request to a peer if no target can be reached from here.

        A relayed request is not passed on once more.

        Returns
        -------
        ResponseHead or None
            Head of the response; None if a target may be reached, or no peer took it.

        Raises
        ------
        TargetError
            If it may have run and no response began.
        """
        request, relays = self.request, self.scheduler.relays
        if request.relayed_by or not self.scheduler.is_cut_off(request):
            return None
        tried: set[str] = set()
        while len(tried) < MAX_RELAY_ATTEMPTS:
            self.peer = relays.choose(request.service, tried)
            if self.peer is None:
                break
            tried.add(self.peer.instance)
            self._counted_peer = self.peer
            relays.record_start(self.peer)
            try:
                head = self._dispatch_to_peer()
            except (NotSentError, PermitExpiredError) as error:
                self._drop_call()
                if request.caller_connection.disconnected:
                    raise self._caller_disconnected_error() from error
                self._record_peer_failure(str(error))
                continue
            outcome = relay_outcome(head)
            request.attempted_targets += relay_attempts(head)
            if outcome is Outcome.ANSWERED:
                self._count_relay("answered")
                self._set_record_of_peer()
                self._log_response_started(head)
                return without_relay_header(head)
            self._handle_peer_refusal(head, outcome)
        return None

    def _dispatch_to_peer(self):
        request, scheduler = self.request, self.scheduler
        self._check_suspicion()
        time_left = request.deadline - self.clock()
        if time_left <= 0.0:
            self._drop_call()
            raise self._time_is_over_error()
        terms = RelayTerms(
            instance=scheduler.instance,
            service=request.service,
            time_left=time_left,
            version=request.version,
            attempted_targets=tuple(request.attempted_targets),
            last_event_id=self.last_event_id,
        )
        headers = relay_headers(
            request.raw_headers, (RELAY_HEADER, terms.model_dump_json())
        )
        self.call = Call(
            scheduler.peer_connections.get(scheduler.relays.url(self.peer)),
            Dispatch(request.method, request.path, headers, request.body),
            self._time_limits(
                time_left + RELAY_RESPONSE_MARGIN_SECONDS, request.version
            ),
            self._new_attempt(),
            scheduler.deadlines,
            self.clock,
            # The peer may close an idle connection while a request is in transit.
            new_connection=not request.route.repeatable,
            matches_request=self._is_response_to_request,
            is_stream_expected=request.route.streaming,
        )
        try:
            return self._open_call()
        except NotSentError:
            raise
        except TargetError:
            # The peer may have sent it to one target.
            request.attempted_targets.append(f"via {self.peer.instance}")
            self.scheduler.relays.avoid(self.peer, request.service)
            raise

    def _set_record_of_peer(self):
        """Set the record of the target to which the peer sent the request."""
        request = self.request
        target = request.attempted_targets[-1] if request.attempted_targets else ""
        self.record = self.scheduler.listed_record(target) or TargetRecord(
            target, request.service, "", 0, "", 0
        )

    def _handle_peer_refusal(self, head, outcome):
        """Return if another peer may take the request that one has not run.

        Raises
        ------
        BrokenCallError
            If the request may have run.
        RequestError
            If another peer would refuse it too.
        """
        request = self.request
        if outcome is not Outcome.NOT_RUN:
            raise BrokenCallError(f"the peer {self.peer.instance} failed")
        code, retry_after = self._read_peer_error()
        self._drop_call()
        self._record_peer_failure(code.text)
        if request.caller_connection.disconnected:
            raise self._caller_disconnected_error()
        if relay_attempts(head) and not self.scheduler.may_retry(request):
            raise self._no_target_error()
        if code.text in PEER_ERRORS:
            return
        if request.may_have_run:
            raise RequestError(
                Code.TARGET_FAILED, "a peer refused the request", Outcome.UNKNOWN
            )
        raise RequestError(code, "a peer refused the request", retry_after=retry_after)

    def _read_peer_error(self):
        """Return the code and the Retry-After seconds of a peer's refusal."""
        body = b""
        try:
            while chunk := self.call.read():
                body += chunk
            error = orjson.loads(body)["error"]
            return CODE_BY_TEXT[error["code"]], error.get("retry_after")
        except (TargetError, orjson.JSONDecodeError, KeyError, TypeError) as error:
            log.warning(
                "a peer's refusal cannot be read",
                request=self.request.request_id,
                peer=self.peer.instance,
                cause=str(error),
            )
            return Code.INTERNAL, None

    def _record_peer_failure(self, cause):
        """Pass over a peer for a while that could not take the request."""
        request = self.request
        if cause != Code.OVERLOADED.text:
            self.scheduler.relays.avoid(self.peer, request.service)
        self._count_relay("refused")
        log.info(
            "request not taken by a peer",
            request=request.request_id,
            peer=self.peer.instance,
            cause=cause,
        )

    def _count_relay(self, result):
        self.scheduler.metrics.count(
            "relays_total", service=self.request.service, result=result
        )

    def _time_limits(self, total, version, target=None):
        """Return the `TimeLimits` of one call.

        Parameters
        ----------
        total : float
            Seconds until the response must be complete.
        version : str
            Software version of the targets that another attempt could use.
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
            has_other_target = self.scheduler.has_target(
                self.request.service, version, attempted
            )
            if has_other_target:
                gap_timeout = _silence_timeout(
                    GAP_TIMEOUT_OBJECTIVES * route.gap_objective, total
                )
            if has_other_target or not self.request.version:
                first_event_timeout = _silence_timeout(
                    FIRST_EVENT_TIMEOUT_OBJECTIVES * route.latency_objective, total
                )
        return TimeLimits(
            connect=min(CONNECT_TIMEOUT_SECONDS, total),
            first_byte=first_event_timeout,
            between_bytes=gap_timeout,
            total=total,
        )

    def _is_response_to_request(self, head):
        response_request_id = parse_target_response(head).request_id
        return (
            response_request_id is None
            or response_request_id == self.request.request_id
        )

    def _drop_call(self):
        if self.call is not None:
            self.call.close()
            self.call = None
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
