"""Record what an exchange tells of its target: limits, health and broken runs."""

from ..dispatch.call import CallCancelledError, DoubtfulRefusalError
from ..errors import TargetError
from ..log import get_logger
from ..platform.front import parse_target_response
from .dispatching import Dispatcher
from .requests import format_fingerprint

log = get_logger("requests")

# Statuses that tell the caller that its request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class AnswerRecorder(Dispatcher):
    """Records answers, refusals and broken runs of the newest exchange."""

    def _read_statements(self, head):
        """Record what the target says in the head of a response, and return it.

        Raises
        ------
        TargetError
            If it cannot be the response of the target.
        """
        response_info = parse_target_response(head)
        self._record_limits(response_info)
        self._record_statements(response_info)
        self._record_load(head, response_info)
        if head.status < 300 and not response_info.sealed:
            raise TargetError("the target's success bears no seal")
        return response_info

    def _record_limits(self, response_info):
        """Record the limits that the target names, or that it names none."""
        if self.ticket is not None and not response_info.misdirected:
            self.scheduler.limits.record(
                self.record,
                response_info.rate_limit,
                response_info.refusal_limit,
                self.sent_at,
                is_failure=response_info.is_failure,
            )

    def _record_statements(self, response_info):
        """Record what the target says of itself, unless a peer reached it."""
        if self.ticket is not None:
            self.scheduler.record_statements(self.request, self.record, response_info)

    def _record_load(self, head, response_info):
        """Record what the target says of its load, unless a peer reached it."""
        is_valid = head.status >= 300 or response_info.sealed
        if self.ticket is not None and is_valid:
            self.scheduler.moments.record(
                self.request.request_id, self.record, response_info
            )

    def _record_refusal(self, head, response_info):
        """Record that a target did not run the request."""
        target = self.ticket.target
        log.info(
            "target refused the request",
            request=self.request.request_id,
            target=target,
            status=head.status,
        )
        if response_info.misdirected:
            self.scheduler.record_unreachable(target)
        else:
            self._update_health(lambda health, now: health.record_failure(now))
            self.scheduler.limits.record_refusal(self.record)

    def _end_broken(self, error):
        """End a run that got no complete response, and record it.

        The target may have ended, whether or not the request may be retried.
        """
        request = self.request
        request.may_have_run = True
        is_sent_here = self.ticket is not None
        target = self.ticket.target if is_sent_here else f"via {self.peer.instance}"
        if is_sent_here and not isinstance(
            error, CallCancelledError | DoubtfulRefusalError
        ):
            self.scheduler.suspects.record_broken(request, target, self.sent_at)
        if not is_sent_here:
            self.broken_peers.add(self.peer.instance)
        self.scheduler.metrics.count("broken_runs_total", service=request.service)
        log.info(
            "run broke off",
            request=request.request_id,
            fingerprint=format_fingerprint(request.fingerprint),
            parts=request.caller_headers.prompt_parts,
            target=target,
            attempt=len(request.attempted_targets),
            seconds=round(self.clock() - self.sent_at, 3),
            cause=str(error),
            **self._response_summary(),
        )
        self._drop_call()

    def _update_health(self, update):
        """Update the health of the target, unless a peer reached it."""
        if self.ticket is not None:
            self.scheduler.update_health(self.ticket.target, update)

    def _response_summary(self):
        """Return what was passed on of the latest response, for the logs."""
        if self.meter is None or self.meter.framing is None:
            return {}
        return {
            "framing": self.meter.framing,
            "body_bytes": self.meter.byte_count,
        }
