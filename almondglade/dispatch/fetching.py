"""Fetch documents from targets, peers and the platform, limited in time and size.

Load pattern: a faulty process sends bytes without end, or one now and then, in a head
or a body. A reader that keeps them all until the connection ends runs out of memory,
and the requests of all callers of the instance end with it.
"""

import threading
import time
from collections import OrderedDict
from dataclasses import dataclass

from ..deadlines import Deadlines
from .call import BrokenCallError, Call
from .connections import Attempt, TargetPool, make_pool
from .heads import ResponseHead

# Processes to which idle connections are kept.
MAX_POOLS = 256


@dataclass(frozen=True)
class FetchRequest:
    """A request for a document."""

    target_path: str
    headers: tuple[tuple[str, str], ...] = ()
    method: str = "GET"
    body: bytes = b""


@dataclass(frozen=True)
class Document:
    """A whole response.

    Parameters
    ----------
    head : ResponseHead
    body : bytes
    """

    head: ResponseHead
    body: bytes

    @property
    def status(self):
        """Status of the response."""
        return self.head.status

    def header(self, name):
        """Return the first value of a header, or None."""
        return next(
            (v for n, v in self.head.headers if n.lower() == name.lower()), None
        )


class Fetcher:
    """Fetches documents over connections that are kept; safe from any thread.

    Parameters
    ----------
    max_bytes : int
        Longest document.
    clock : callable
        Returns monotonic seconds.
    source_address : str or None
        Address from which to connect; any if None.
    """

    def __init__(self, max_bytes, clock=time.monotonic, source_address=None):
        self.max_bytes = max_bytes
        self.clock = clock
        self.source_address = source_address
        self._deadlines = Deadlines(clock)
        self._pool_by_url: OrderedDict[str, TargetPool] = OrderedDict()
        self._lock = threading.Lock()

    def get(self, url, path, limits, headers=()):
        """Return the `Document` at a path.

        Parameters
        ----------
        url : str
            Base URL of the process.
        path : str
            Path and query.
        limits : CallLimits
        headers : iterable of (str, str)

        Raises
        ------
        TargetError
            If no whole and well-formed response came within the limits.
        """
        call = Call(
            self._pool(url),
            FetchRequest(path, tuple(headers)),
            limits,
            Attempt(lambda: True),
            self._deadlines,
            self.clock,
        )
        try:
            head = call.open()
            return Document(head, self._read_body(call))
        finally:
            call.close()

    def _read_body(self, call):
        body = bytearray()
        while chunk := call.read():
            body += chunk
            if len(body) > self.max_bytes:
                raise BrokenCallError(
                    f"the response is longer than {self.max_bytes} bytes"
                )
        return bytes(body)

    def _pool(self, url):
        with self._lock:
            pool = self._pool_by_url.get(url)
            if pool is None:
                pool = make_pool(url, self.clock, self.source_address)
                self._pool_by_url[url] = pool
            self._pool_by_url.move_to_end(url)
            while len(self._pool_by_url) > MAX_POOLS:
                self._pool_by_url.popitem(last=False)[1].close()
        return pool
