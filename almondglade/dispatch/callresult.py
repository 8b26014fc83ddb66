"""Limits, heads and errors of one exchange with a target."""

import re
from dataclasses import dataclass
from http.client import HTTPException

from ..errors import TargetError

FINAL_STATUSES = range(200, 600)
CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")


class NotSentError(TargetError):
    """No byte of the request reached the target."""


class BrokenCallError(TargetError):
    """The connection failed after the request was dispatched."""


class CallTimeoutError(TargetError):
    """The target exceeded a time limit after the dispatch."""


class DoubtfulRefusalError(CallTimeoutError):
    """The target repeated a refusal, and no answer followed; nothing is wrong with it.

    The request may have run: the refusal may be that of an earlier attempt.
    """


class CallCancelledError(TargetError):
    """The call was cancelled by this instance."""


@dataclass(frozen=True)
class CallLimits:
    """Time limits of one call, in seconds.

    Parameters
    ----------
    connect : float
        Until a connection is open.
    first_byte : float
        From the request to the first byte of the body.
    between_bytes : float
        Longest gap between two reads of the body.
    total : float
        From the request to the end of the response.
    """

    connect: float
    first_byte: float
    between_bytes: float
    total: float


def check_framing(response, method):
    """Reject a response whose end cannot be determined reliably.

    Raises
    ------
    HTTPException
        If its status, content length or transfer coding is invalid.
    """
    if response.status not in FINAL_STATUSES:
        raise HTTPException(f"the answer has the status {response.status}")
    codings = response.headers.get_all("transfer-encoding", [])
    lengths = set(response.headers.get_all("content-length", []))
    if method == "HEAD":
        return
    if codings and (lengths or [c.lower() for c in codings] != ["chunked"]):
        raise HTTPException("the answer has an unusable transfer coding")
    if len(lengths) > 1 or not all(map(CONTENT_LENGTH.fullmatch, lengths)):
        raise HTTPException("the answer has an unusable length")
