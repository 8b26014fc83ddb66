"""Connections to targets: pooled for reuse, limited in age, without retries."""

import http.client
import logging
import re
import threading
import time
from collections import deque
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from ..errors import AlmondgladeError
from ..sockets import TCP_OPTIONS
from .attribution import Attribution
from .responses import StrictResponse, UnclosableReader

DEFAULT_PORT = 80
MAX_IDLE_CONNECTIONS = 64
MAX_IDLE_SECONDS = 15.0
MAX_AGE_SECONDS = 300.0
# A longer body is written apart from the head; to copy it would cost more than a call.
MAX_JOINED_BYTES = 64 << 10
# A connection is not reused this shortly before the target's keep-alive timeout ends.
IDLE_MARGIN_SECONDS = 1.0
KEEP_ALIVE_TIMEOUT = re.compile(r"(?i)(?:^|[,\s])timeout=([0-9]{1,6})")

# Malformed heads are handled and logged by this package, without urllib3's warnings.
logging.getLogger("urllib3").setLevel(logging.ERROR)


class PermitExpiredError(AlmondgladeError):
    """The permit expired before the request was dispatched."""


class Attempt:
    """One attempt to dispatch a request.

    Parameters
    ----------
    permit_is_valid : callable
        Returns whether the request may still be dispatched.

    Attributes
    ----------
    dispatched : bool
        Set immediately before the first byte is written; never reset.
    """

    def __init__(self, permit_is_valid):
        self._permit_is_valid = permit_is_valid
        self.dispatched = False

    def mark_dispatched(self):
        """Mark the request as dispatched.

        Raises
        ------
        PermitExpiredError
            If its permit is no longer valid.
        """
        if self.dispatched:
            raise AssertionError("the request was already dispatched")
        if not self._permit_is_valid():
            raise PermitExpiredError("the permit has expired")
        self.dispatched = True


class TargetConnection(HTTPConnection):
    """A connection that never reconnects by itself.

    It is used without urllib3's pool, which could retry, follow redirects or reuse a
    connection before the response is known to be complete.
    """

    auto_open = 0
    response_class = StrictResponse
    opened_at = 0.0
    released_at = 0.0
    max_idle_seconds = MAX_IDLE_SECONDS

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._outgoing = []

    def send(self, data):
        """Buffer a part of the request until `flush`."""
        self._outgoing.append(data)

    def flush(self):
        """Write the whole request; in one call unless its body is large."""
        parts, self._outgoing = self._outgoing, []
        if len(parts) > 1 and len(parts[-1]) > MAX_JOINED_BYTES:
            # A large body is not copied.
            body = parts.pop()
            self.sock.sendall(b"".join(parts))
            self.sock.sendall(body)
        else:
            self.sock.sendall(b"".join(parts))

    def note_keep_alive(self, value):
        """Record how long the target keeps idle connections open.

        Parameters
        ----------
        value : str
            The ``Keep-Alive`` header of a response; empty if there is none.
        """
        match = KEEP_ALIVE_TIMEOUT.search(value)
        if match:
            allowed_seconds = int(match[1]) - IDLE_MARGIN_SECONDS
            self.max_idle_seconds = min(MAX_IDLE_SECONDS, max(0.0, allowed_seconds))

    def read_head(self):
        """Return the response without urllib3's wrapper.

        The wrapper decodes and caches. Chunks are relayed unchanged here, and the
        wrapper's layers would cost as much as the rest of the relay.
        """
        return http.client.HTTPConnection.getresponse(self)

    def read_next_head(self, response, max_bytes):
        """Skip the rest of a response and return the next one on the connection.

        Parameters
        ----------
        response : StrictResponse
            A response of which only the head was read.
        max_bytes : int
            Longest body that is skipped (bytes).

        Raises
        ------
        HTTPException
            If the body is longer, or no other response can follow it.
        """
        if response.will_close:
            raise http.client.HTTPException("no answer can follow on the connection")
        reader = response.fp
        response.fp = UnclosableReader(reader)
        response.read(max_bytes)
        if not response.isclosed():
            raise http.client.HTTPException("an answer to another request is too long")
        next_response: Any = self.response_class(self.sock, method=response._method)
        next_response.fp.close()
        next_response.fp = reader
        next_response.begin()
        return next_response


class TargetPool:
    """Idle connections to one target, reused in last-in, first-out order.

    Parameters
    ----------
    host : str
        IP address or host name.
    port : int
        TCP port.
    prefix : str
        Prefix of the path of each request.
    clock : callable
        Returns monotonic seconds.
    source_address : str or None
        Address from which to connect; any if None.

    Attributes
    ----------
    attribution : Attribution
        Decides which requests the target's responses belong to.
    """

    def __init__(
        self, host, port, prefix="", clock=time.monotonic, source_address=None
    ):
        self.host = host
        self.port = port
        self.prefix = prefix
        self.clock = clock
        self.source_address = source_address
        self.attribution = Attribution(clock)
        self.closed = False
        self._idle: deque[TargetConnection] = deque()
        self._lock = threading.Lock()

    def take(self):
        """Remove and return an idle connection that is still usable, or None."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            connection.close()

    def connect(self, timeout):
        """Return a new connection.

        Parameters
        ----------
        timeout : float
            Seconds to wait for the target to accept it.

        Raises
        ------
        HTTPError, OSError
            If the target cannot be reached.
        """
        connection = TargetConnection(
            self.host,
            self.port,
            timeout=timeout,
            source_address=(self.source_address, 0) if self.source_address else None,
            socket_options=TCP_OPTIONS,
        )
        connection.connect()
        connection.opened_at = self.clock()
        return connection

    def put(self, connection):
        """Keep a connection for reuse; its last response must have been read fully."""
        connection.released_at = self.clock()
        with self._lock:
            keep = not self.closed
            if keep:
                self._idle.append(connection)
            surplus = self._remove_surplus()
        for old in surplus if keep else [connection]:
            old.close()

    def close(self):
        """Close the idle connections; those in use are closed after their calls."""
        with self._lock:
            self.closed = True
            idle = list(self._idle)
            self._idle.clear()
        for connection in idle:
            connection.close()

    def _remove_surplus(self):
        oldest = self.clock() - MAX_IDLE_SECONDS
        surplus = []
        while self._idle and (
            len(self._idle) > MAX_IDLE_CONNECTIONS or self._idle[0].released_at < oldest
        ):
            surplus.append(self._idle.popleft())
        return surplus

    def _is_usable(self, connection):
        now = self.clock()
        return (
            now - connection.released_at <= connection.max_idle_seconds
            and now - connection.opened_at <= MAX_AGE_SECONDS
            # A readable idle socket was closed by the target or has unsolicited bytes;
            # `is_connected` is false for it.
            and connection.is_connected
        )


def make_pool(url, clock=time.monotonic, source_address=None):
    """Return a new `TargetPool` for a base URL."""
    parsed = urllib3.util.parse_url(url)
    host = (parsed.host or "").strip("[]")
    prefix = (parsed.path or "").rstrip("/")
    port = parsed.port or DEFAULT_PORT
    return TargetPool(host, port, prefix, clock, source_address)


class TargetPools:
    """Connection pools by the base URL of the target."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.by_url: dict[str, TargetPool] = {}

    def get(self, url):
        """Return the pool for a target's base URL; create it if needed."""
        pool = self.by_url.get(url)
        if pool is None:
            pool = self.by_url.setdefault(url, make_pool(url, self.clock))
        return pool

    def close_idle(self, url):
        """Close the idle connections to a target."""
        pool = self.by_url.pop(url, None)
        if pool is not None:
            pool.close()

    def retain(self, urls):
        """Close the pools of targets that are no longer declared."""
        for url in self.by_url.keys() - set(urls):
            self.by_url.pop(url).close()
