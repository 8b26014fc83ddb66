"""Decide which request a target's response belongs to.

Load pattern: a faulty target sends an earlier response once more on a connection that
is in use again. A refusal taken for the wrong request makes a request run twice, or its
caller believe that it has not run.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

# How long a target may repeat a refusal; also how long callers may repeat a request.
RETENTION_SECONDS = 60.0
MAX_REFUSED_REQUESTS = 4096


class Verdict(Enum):
    """Whether a response belongs to the request that was sent last."""

    OURS = "ours"
    FOREIGN = "foreign"
    # The target has refused the same request before, and may repeat that.
    DOUBTFUL = "doubtful"


@dataclass(frozen=True)
class Claim:
    """What a response says of itself.

    Parameters
    ----------
    request_id : str or None
        Id of the request that it names.
    is_refusal : bool
        Whether it states that the request was not run.
    """

    request_id: str | None
    is_refusal: bool


class Attribution:
    """What is known of one target's responses, safe from any thread.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self._names_requests = False
        self._refused_at_by_request: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def judge(self, claim, request_id, is_reused):
        """Return the `Verdict` on a response.

        Parameters
        ----------
        claim : Claim
        request_id : str
            Id of the request that was sent.
        is_reused : bool
            Whether the connection has carried other requests.
        """
        with self._lock:
            if claim.request_id is None:
                # A target that names requests always does.
                is_stale = self._names_requests and (is_reused or claim.is_refusal)
                return Verdict.FOREIGN if is_stale else Verdict.OURS
            self._names_requests = True
            if claim.request_id != request_id:
                return Verdict.FOREIGN
            if not claim.is_refusal:
                return Verdict.OURS
            return Verdict.DOUBTFUL if self._is_refused(request_id) else Verdict.OURS

    def _is_refused(self, request_id):
        refused_at = self._refused_at_by_request.get(request_id)
        return refused_at is not None and self.clock() - refused_at <= RETENTION_SECONDS

    def record_refused(self, request_id):
        """Record that the target has refused a request, which may come again."""
        with self._lock:
            self._refused_at_by_request[request_id] = self.clock()
            self._refused_at_by_request.move_to_end(request_id)
            if len(self._refused_at_by_request) > MAX_REFUSED_REQUESTS:
                self._refused_at_by_request.popitem(last=False)
