"""The errors with which a gateway's scheduler refuses requests, logged and counted."""

from typing import Any

from ..log import get_logger
from ..outcome import Code, Outcome, RequestError

log = get_logger("requests")

# Limits of the Retry-After time of a refused request.
MIN_RETRY_AFTER_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 4.0
# A caller that retries before the overload has passed is refused again, so it is told
# to wait for at least this many times the latency objective of its route.
MIN_RETRY_AFTER_OBJECTIVES = 2.0

VERSION_GONE_MESSAGE = "no target of the software version that began the stream"


def no_version_error():
    """Return the error for a stream that cannot go on, as its version has gone.

    The version may be back later, as when its last target starts again.
    """
    return RequestError(
        Code.NO_TARGET, VERSION_GONE_MESSAGE, retry_after=MAX_RETRY_AFTER_SECONDS
    )


class Refusals:
    """The part of `GatewayScheduler` that refuses requests."""

    metrics: Any
    clock: Any

    def _overload_error(self, request, expected_wait, cause):
        delay = max(
            expected_wait, MIN_RETRY_AFTER_OBJECTIVES * request.route.latency_objective
        )
        retry_after = min(max(MIN_RETRY_AFTER_SECONDS, delay), MAX_RETRY_AFTER_SECONDS)
        self._count_refusal(request, Code.OVERLOADED)
        log.info(
            "request refused: no free slot",
            request=request.request_id,
            service=request.service,
            tier=request.tier,
            cause=cause,
            expected_wait=round(min(expected_wait, 1e3), 3),
            waited=round(self.clock() - request.arrived_at, 3),
            retry_after=round(retry_after, 2),
        )
        if request.may_have_run:
            return RequestError(Code.TARGET_FAILED, cause, Outcome.UNKNOWN)
        return RequestError(Code.OVERLOADED, cause, retry_after=retry_after)

    def _version_gone_error(self, request):
        self._count_refusal(request, Code.NO_TARGET)
        log.info(
            "request refused: no target of the stream's version",
            request=request.request_id,
            service=request.service,
            version=request.version,
            targets=request.attempted_targets,
        )
        if request.may_have_run:
            return RequestError(
                Code.TARGET_FAILED, VERSION_GONE_MESSAGE, Outcome.UNKNOWN
            )
        return no_version_error()

    def _count_refusal(self, request, code):
        self.metrics.count("refusals_total", service=request.service, code=code.text)
