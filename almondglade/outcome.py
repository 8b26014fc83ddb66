"""Outcomes and errors that are reported to callers."""

import enum
import math
from dataclasses import dataclass

import orjson

from .errors import AlmondgladeError

REQUEST_ID_HEADER = "X-Request-Id"
OUTCOME_HEADER = "X-Almondglade-Outcome"


class Outcome(enum.Enum):
    """The three possible outcomes of a request.

    ``NOT_RUN`` is only reported for a request that never reached the dispatched
    state, so the caller can safely send it again.
    """

    NOT_RUN = "not-run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Code(enum.Enum):
    """Stable error codes with their HTTP status codes."""

    BAD_REQUEST = ("bad_request", 400)
    UNAUTHENTICATED = ("unauthenticated", 401)
    FORBIDDEN = ("forbidden", 403)
    NOT_FOUND = ("not_found", 404)
    METHOD_NOT_ALLOWED = ("method_not_allowed", 405)
    CALLER_TIMEOUT = ("caller_timeout", 408)
    KEY_IN_PROGRESS = ("key_in_progress", 409)
    KEY_VOID = ("key_void", 410)
    ANSWER_GONE = ("answer_gone", 410)
    BODY_TOO_LARGE = ("body_too_large", 413)
    KEY_REUSED = ("key_reused", 422)
    PLAN_LIMIT = ("plan_limit", 429)
    HEAD_TOO_LARGE = ("head_too_large", 431)
    CALLER_GONE = ("caller_gone", 499)
    SUSPECT = ("suspect_request", 422)
    BARRED = ("barred_request", 503)
    OVERLOADED = ("overloaded", 503)
    NO_COORDINATOR = ("no_coordinator", 503)
    NO_TARGET = ("no_target", 503)
    KEY_UNSETTLED = ("key_unsettled", 503)
    HOLDER_UNREACHABLE = ("holder_unreachable", 503)
    STOPPING = ("stopping", 503)
    TARGET_FAILED = ("target_failed", 502)
    TARGET_TIMEOUT = ("target_timeout", 504)
    PREEMPTED = ("preempted", 503)
    INTERNAL = ("internal", 500)

    def __init__(self, text, status):
        self.text = text
        self.status = status


@dataclass
class RequestError(AlmondgladeError):
    """A request fails with an error that is reported to its caller.

    Parameters
    ----------
    code : Code
        Stable error code and HTTP status.
    message : str
        Human-readable description, one sentence.
    outcome : Outcome
        Whether the request may have run.
    retry_after : float or None
        Seconds after which the caller should retry; None if it should not.
    """

    code: Code
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None

    @property
    def repeatable(self):
        """Whether the same request may be sent again without taking effect twice."""
        return self.outcome is Outcome.NOT_RUN or self.retry_after is not None

    def document(self, request_id):
        """Return the error as the JSON document that is sent to the caller.

        Parameters
        ----------
        request_id : str
            Id of the request; empty if it has none.

        Returns
        -------
        bytes
        """
        error = {
            "code": self.code.text,
            "message": self.message,
            "outcome": self.outcome.value,
            "repeatable": self.repeatable,
            "request_id": request_id,
        }
        if self.retry_after is not None:
            error["retry_after"] = self.retry_after
        return orjson.dumps({"error": error})

    def headers(self):
        """Return the response headers that are sent with the document."""
        headers = [
            ("Content-Type", "application/json"),
            (OUTCOME_HEADER, self.outcome.value),
        ]
        if self.retry_after is not None:
            headers.append(("Retry-After", str(math.ceil(self.retry_after))))
        return headers

    def __str__(self):
        return f"{self.code.text}: {self.message}"
