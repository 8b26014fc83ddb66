"""Limits and errors of one exchange with a target."""

from dataclasses import dataclass

from ..errors import TargetError


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
