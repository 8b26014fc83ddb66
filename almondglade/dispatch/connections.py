"""Connections to targets, with a mark set before the first byte goes out."""

from contextvars import ContextVar

import urllib3
from urllib3.connection import HTTPConnection

from ..errors import AlmondgladeError

IDLE_CONNECTIONS = 64


class PermitExpiredError(AlmondgladeError):
    """The permit ran out before the request was dispatched."""


class Attempt:
    """One try to dispatch a request.

    Parameters
    ----------
    permit_is_valid : callable
        Tells whether the request may still be dispatched.

    Attributes
    ----------
    dispatched : bool
        Set immediately before the first byte is written; never unset.
    """

    def __init__(self, permit_is_valid):
        self._permit_is_valid = permit_is_valid
        self.dispatched = False

    def begin(self):
        """Mark the request as dispatched.

        Raises
        ------
        PermitExpiredError
            If its permit is no longer valid.
        """
        if not self._permit_is_valid():
            raise PermitExpiredError("the permit has expired")
        self.dispatched = True


current_attempt: ContextVar[Attempt | None] = ContextVar("attempt", default=None)


class TargetConnection(HTTPConnection):
    """A connection that checks the permit after connecting, before writing."""

    def send(self, data):
        """Send bytes, marking the current attempt before the first of them."""
        attempt = current_attempt.get()
        if attempt is not None and not attempt.dispatched:
            if self.sock is None:
                self.connect()
            attempt.begin()
        super().send(data)


class TargetPool(urllib3.HTTPConnectionPool):
    """Connections to one target."""

    ConnectionCls = TargetConnection


class TargetPools:
    """A pool of connections for each target's address."""

    def __init__(self):
        self.by_url: dict[str, TargetPool] = {}

    def get(self, url):
        """Return the pool of a target's base URL."""
        pool = self.by_url.get(url)
        if pool is None:
            parsed = urllib3.util.parse_url(url)
            pool = TargetPool(
                parsed.host or "", parsed.port or 80, maxsize=IDLE_CONNECTIONS
            )
            pool = self.by_url.setdefault(url, pool)
        return pool

    def keep_only(self, urls):
        """Close the pools of targets that are no longer declared."""
        for url in self.by_url.keys() - set(urls):
            self.by_url.pop(url).close()
