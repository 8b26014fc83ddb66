"""One dispatch: write the request, read the answer to its last byte."""

import socket
import time
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError, ReadTimeoutError

from ..errors import TargetError
from .connections import Attempt, current_attempt

READ_BYTES = 1 << 16


class NotSentError(TargetError):
    """No byte of the request reached the target."""


class BrokenCallError(TargetError):
    """The connection failed after the request was dispatched."""


class CallTimeoutError(TargetError):
    """The target was silent for too long after the dispatch."""


class CallCancelledError(TargetError):
    """The call was cancelled from this side."""


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of a target's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Call:
    """A request on its way to a target.

    Parameters
    ----------
    pool : TargetPool
        Connections to the target.
    request : IncomingRequest
        What to send.
    limits : TimeLimits
        Time limits of the service.
    attempt : Attempt
        Marked when the first byte goes out.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, pool, request, limits, attempt: Attempt, clock=time.monotonic):
        self.pool = pool
        self.request = request
        self.limits = limits
        self.attempt = attempt
        self.clock = clock
        self.started = clock()
        self.cancelled = False
        self._response: Any = None

    def open(self):
        """Send the request and return the head of the answer.

        Raises
        ------
        NotSentError
            If no byte was written.
        BrokenCallError, CallTimeoutError, CallCancelledError
            If the target may have seen the request.
        """
        token = current_attempt.set(self.attempt)
        try:
            self._response = self.pool.urlopen(
                self.request.method,
                self.request.target_path,
                body=self.request.body or None,
                headers=urllib3.HTTPHeaderDict(self.request.headers),
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
                timeout=urllib3.Timeout(
                    connect=self.limits.connect, read=self.limits.first_byte
                ),
            )
        except (HTTPError, OSError) as error:
            raise self._translate(error) from error
        finally:
            current_attempt.reset(token)
        self._set_read_timeout()
        return AnswerHead(
            self._response.status, tuple(self._response.headers.iteritems())
        )

    def chunks(self):
        """Yield the body as it arrives; the connection is reusable at its end."""
        complete = False
        try:
            for chunk in self._response.stream(READ_BYTES, decode_content=False):
                if self.clock() - self.started > self.limits.total:
                    raise CallTimeoutError("the total time limit has passed")
                yield chunk
            complete = True
        except (HTTPError, OSError) as error:
            raise self._translate(error) from error
        finally:
            if complete and not self.cancelled:
                self._response.release_conn()
            else:
                self.close()

    def cancel(self):
        """Cut the connection; safe from any thread."""
        self.cancelled = True
        connection = self._response.connection if self._response else None
        sock = connection.sock if connection is not None else None
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                return

    def close(self):
        """Drop the connection, which also cancels the run at an engine."""
        if self._response is not None:
            self._response.close()

    def _set_read_timeout(self):
        connection = self._response.connection
        if connection is not None and connection.sock is not None:
            connection.sock.settimeout(self.limits.between_bytes)

    def _translate(self, error):
        if not self.attempt.dispatched:
            return NotSentError(f"the target could not be reached: {error}")
        if self.cancelled:
            return CallCancelledError("the call was cancelled")
        if isinstance(error, ReadTimeoutError | TimeoutError):
            return CallTimeoutError("the target was silent for too long")
        return BrokenCallError(f"the connection to the target failed: {error}")
