"""Pass one request to a peer that reaches its targets, and read the response's head."""

import orjson

from ..catalogue import TargetRecord
from ..dispatch.call import BrokenCallError, Call, NotSentError
from ..dispatch.connections import PermitExpiredError
from ..errors import TargetError
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..platform.front import relay_headers
from .calls import RequestCall
from .handover import Handover
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

# The request's time limit ends this much later here than at the peer, so that it can
# still respond by itself when its time is over.
RELAY_RESPONSE_MARGIN_SECONDS = 0.1
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
# A peer's error is a short document.
MAX_ERROR_BYTES = 64 << 10
CODE_BY_TEXT = {code.text: code for code in Code}


class PeerCall(RequestCall):
    """Passes a request to a peer while no target can be reached from here."""

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
            self.peer = relays.choose(request.service, tried, self.broken_peers)
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
                relays.record_answer(self.peer, request.service)
                self._set_record_of_peer()
                self._log_response_started(head)
                return without_relay_header(head)
            self._handle_peer_refusal(head, outcome)
        return None

    def _dispatch_to_peer(self):
        request, scheduler = self.request, self.scheduler
        self._check_sendable()
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
        self.handover = Handover(self, None)
        self.call = Call(
            scheduler.peer_connections.get(scheduler.relays.url(self.peer)),
            Dispatch(request.method, request.path, headers, request.body),
            self._time_limits(time_left + RELAY_RESPONSE_MARGIN_SECONDS),
            self._new_attempt(),
            scheduler.deadlines,
            self.clock,
            # The peer may close an idle connection while a request is in transit.
            new_connection=not request.route.repeatable,
            judge_response=self._judge_response,
            is_stream_expected=request.route.streaming,
            is_replaceable=self.handover.is_ready,
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
                if len(body) > MAX_ERROR_BYTES:
                    raise BrokenCallError("the peer's error is too long")
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
