"""Usage records: exactly one for each dispatch, written when it ends."""

import threading
from collections import Counter
from dataclasses import asdict, dataclass
from typing import Any

from . import messages as m
from .log import get_logger

log = get_logger("usage")


@dataclass(frozen=True)
class UsageRecord:
    """Resource usage of one dispatch.

    Parameters
    ----------
    request : str
        Id of the dispatched request; each request has at most one dispatch.
    result : str
        How the dispatch ended; a value of `messages.Result`.
    input_tokens, cached_tokens, output_tokens : int
        Tokens counted by the target; 0 if its response ended before it reported them.
    estimated_input_tokens : int
        Estimate from before the dispatch.
    duration : float
        Seconds from the dispatch to its end.
    """

    request: str
    workspace: str
    service: str
    target: str
    result: str
    input_tokens: int
    cached_tokens: int
    output_tokens: int
    estimated_input_tokens: int
    duration: float


@dataclass(frozen=True)
class OpenDispatch:
    """A dispatch that has not ended, or an attempt that may still become one."""

    demand: m.Demand
    target: str
    attempt: Any
    meter: Any


class UsageLog:
    """Writes the usage records of one instance.

    Parameters
    ----------
    write : callable
        Called with each `UsageRecord`; if None, records are logged.
    """

    def __init__(self, write=None):
        self._write = write or log_record
        self._open_by_request: dict[str, OpenDispatch] = {}
        self._lock = threading.Lock()
        self.records_by_result: Counter = Counter()

    def open(self, permit, attempt, meter):
        """Register an attempt before it is dispatched.

        Parameters
        ----------
        permit : Permit
            Identifies the request and the target.
        attempt : Attempt
            Its ``dispatched`` attribute tells whether it was dispatched.
        meter : UsageMeter
            Counts the tokens of the response.
        """
        dispatch = OpenDispatch(permit.demand, permit.grant.target, attempt, meter)
        with self._lock:
            self._open_by_request[permit.demand.request_id] = dispatch

    def close(self, completion):
        """Write the record of a finished attempt if it was dispatched."""
        with self._lock:
            dispatch = self._open_by_request.pop(completion.request_id, None)
            if dispatch is None or not dispatch.attempt.dispatched:
                return
            self.records_by_result[completion.result.value] += 1
        self._write(_make_record(dispatch, completion))

    def close_all(self):
        """Write the records of all dispatches that are cut off by a stop.

        An attempt that is not yet dispatched stays open, because it may still be
        dispatched.
        """
        with self._lock:
            cut_off = [
                d for d in self._open_by_request.values() if d.attempt.dispatched
            ]
        for dispatch in cut_off:
            usage = dispatch.meter.usage
            self.close(
                m.Completion(
                    dispatch.demand.request_id,
                    dispatch.demand.pool,
                    m.Result.CANCELLED,
                    usage.input_tokens,
                    usage.cached_tokens,
                    usage.output_tokens,
                )
            )

    def snapshot(self):
        """Return the counters for the dump."""
        with self._lock:
            return {
                "open": len(self._open_by_request),
                "records": dict(self.records_by_result),
            }


def _make_record(dispatch, completion):
    demand = dispatch.demand
    return UsageRecord(
        demand.request_id,
        demand.workspace,
        demand.pool,
        dispatch.target,
        completion.result.value,
        completion.input_tokens,
        completion.cached_tokens,
        completion.output_tokens,
        demand.input_tokens,
        round(completion.duration, 3),
    )


def log_record(record):
    """Write a usage record to the log."""
    log.info("used", **asdict(record))
