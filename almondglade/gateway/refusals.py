"""Refuse requests that can't be served in time, and say when to return.

Load pattern: more requests arrive than the targets can serve, and callers return when
they are told to.
"""

import math

from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from .returning import FINGERPRINT_MASK

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
    """Makes the errors of refused requests, and logs and counts them.

    Parameters
    ----------
    metrics : Metrics
        Where refusals are counted.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, metrics, clock):
        self.metrics = metrics
        self.clock = clock

    def allowance_error(self, request, retry_after):
        """Return the error for a request over the allowance of its workspace.

        Parameters
        ----------
        retry_after : float
            Seconds until the allowance suffices.
        """
        self._count(request, Code.PLAN_LIMIT)
        log.info(
            "request refused: the workspace is over its allowance",
            request=request.request_id,
            workspace=request.workspace.name,
            charge=request.charge,
            rate=request.workspace.rate,
            burst=request.workspace.burst,
            retry_after=round(retry_after, 2),
        )
        return RequestError(
            Code.PLAN_LIMIT,
            "the workspace is over its allowance",
            retry_after=retry_after,
        )

    def overload_error(self, request, expected_wait, cause, return_time=None):
        """Return the error for a request that gets no slot in time.

        Parameters
        ----------
        expected_wait : float
            Seconds that it would have to wait.
        cause : str
            Why it is refused, for the caller and the log.
        return_time : ReturnTime or None
            When the caller should return; None if no room is booked for such requests.
        """
        retry_after = self._retry_after(request, expected_wait, return_time)
        is_booked = return_time is not None and return_time.is_booked
        self._count(request, Code.OVERLOADED)
        log.info(
            "request refused: no free slot",
            request=request.request_id,
            service=request.service,
            tier=request.tier,
            cause=cause,
            expected_wait=round(min(expected_wait, 1e3), 3),
            waited=round(self.clock() - request.arrived_at, 3),
            retry_after=round(retry_after, 2),
            is_booked=is_booked,
            fingerprint=request.fingerprint & FINGERPRINT_MASK if is_booked else None,
        )
        if request.may_have_run:
            return RequestError(Code.TARGET_FAILED, cause, Outcome.UNKNOWN)
        return RequestError(Code.OVERLOADED, cause, retry_after=retry_after)

    def _retry_after(self, request, expected_wait, return_time):
        if return_time is not None and return_time.is_booked:
            return return_time.seconds
        if return_time is not None and math.isfinite(return_time.seconds):
            # No room in time: a later return than the time limit is of no use.
            time_left = request.deadline - self.clock()
            return max(MIN_RETRY_AFTER_SECONDS, min(return_time.seconds, time_left))
        delay = max(
            expected_wait, MIN_RETRY_AFTER_OBJECTIVES * request.route.latency_objective
        )
        return min(max(MIN_RETRY_AFTER_SECONDS, delay), MAX_RETRY_AFTER_SECONDS)

    def version_gone_error(self, request):
        """Return the error for a stream whose software version has no target."""
        self._count(request, Code.NO_TARGET)
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

    def _count(self, request, code):
        self.metrics.count("refusals_total", service=request.service, code=code.text)
