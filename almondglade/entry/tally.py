"""Record the metrics of requests and dispatches."""

import time

from ..outcome import Outcome

# Label value if a request ended before its service and tier were known.
UNKNOWN_LABEL = ""


class RequestMetrics:
    """Records the metrics of one request, by the outcome that its caller was told.

    Parameters
    ----------
    metrics : Metrics
        Metrics to update.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, metrics, clock=time.monotonic):
        self.metrics = metrics
        self.clock = clock
        self.service: str = UNKNOWN_LABEL
        self.tier: int | str = UNKNOWN_LABEL
        self._started_at = clock()
        self._ended = False

    def record_first_byte(self):
        """Record the time to the first byte of the response."""
        self._observe("first_byte_seconds")

    def end(self, error=None):
        """Count the request, the first time only.

        Parameters
        ----------
        error : RequestError or None
            Error that the caller got; None for a complete response.
        """
        if self._ended:
            return
        self._ended = True
        outcome = Outcome.ANSWERED if error is None else error.outcome
        self.metrics.count(
            "requests_total",
            service=self.service,
            tier=self.tier,
            outcome=outcome.value,
            code=error.code.text if error is not None else "ok",
        )
        if self.service != UNKNOWN_LABEL:
            self._observe("request_seconds")

    def _observe(self, name):
        elapsed = self.clock() - self._started_at
        self.metrics.observe(name, elapsed, service=self.service, tier=self.tier)


def count_usage(metrics, record):
    """Count one finished dispatch and its tokens.

    Parameters
    ----------
    metrics : Metrics
        Metrics to update.
    record : UsageRecord
        Usage of the dispatch.
    """
    metrics.count("dispatches_total", service=record.service, result=record.result)
    for kind, tokens in (
        ("input", record.input_tokens),
        ("cached", record.cached_tokens),
        ("output", record.output_tokens),
    ):
        if tokens:
            metrics.count("tokens_total", tokens, service=record.service, kind=kind)
