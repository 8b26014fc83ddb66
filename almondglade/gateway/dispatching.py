"""Send one request to a target, or to a peer if none can be reached from here."""

from ..dispatch.call import Call, NotSentError
from ..dispatch.connections import PermitExpiredError
from ..log import get_logger
from ..platform.front import target_headers
from .handover import Handover
from .peercalls import PeerCall
from .requests import Dispatch

log = get_logger("requests")

# The request's time limit ends this much later here than at the target, so that it can
# still respond by itself when its time is over.
TARGET_RESPONSE_MARGIN_SECONDS = 0.05
# Targets that are tried until one accepts a connection.
MAX_CONNECT_ATTEMPTS = 3


class Dispatcher(PeerCall):
    """Sends a request until a target or a peer takes it."""

    def _send(self):
        """Send the request to one target and return the head of its response."""
        reserved = [self._take_reserved()]
        try:
            return self._send_with(reserved)
        finally:
            for ticket in filter(None, reserved):
                self.scheduler.release(ticket, None)

    def _take_reserved(self):
        handover, self.handover = self.handover, None
        return handover.take() if handover is not None else None

    def _send_with(self, reserved):
        """Send the request like `_send`, with the ticket in a list if there is one."""
        request = self.request
        for _ in range(MAX_CONNECT_ATTEMPTS):
            self.scheduler.draining.check(request)
            head = self._send_through_peers()
            if head is not None:
                return head
            if self.scheduler.links.is_lost(request.service):
                raise self._no_target_error()
            self.ticket = reserved.pop() if reserved else None
            self.ticket = self.ticket or self.scheduler.acquire(request)
            self.peer = None
            self._check_sendable()
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

    def _dispatch(self):
        """Send the request to the target of the ticket; return the response's head."""
        request, scheduler = self.request, self.scheduler
        self.record = record = scheduler.record_for(self.ticket.target)
        if record is None:
            raise NotSentError("the target takes no new work")
        if record.service != request.service:
            raise NotSentError("the target is of another service")
        if request.version not in ("", record.version):
            raise NotSentError("the target has another software version")
        if request.version:
            scheduler.check_start(record)
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
        self.handover = Handover(self, record.id)
        self.call = Call(
            scheduler.connections.get(f"http://{record.host}:{record.port}"),
            Dispatch(request.method, request.path, headers, request.body),
            self._time_limits(time_left + TARGET_RESPONSE_MARGIN_SECONDS, record.id),
            attempt,
            scheduler.deadlines,
            self.clock,
            # A reused connection may be that of a target which has ended already.
            new_connection=scheduler.suspects.is_suspect(request),
            judge_response=self._judge_response,
            is_stream_expected=request.route.streaming,
            is_replaceable=self.handover.is_ready,
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
