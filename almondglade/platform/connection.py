"""Calls to the platform's store, which can only be read.

The store keeps items under keys; each has the revision of its last change, and
every answer says up to which revision it is true.
"""

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from ..errors import PlatformError

# An answer takes milliseconds; this bounds a silent connection.
ANSWER_SECONDS = 1.0
CONNECT_SECONDS = 0.5
NOT_FOUND_STATUS = 404
GONE_STATUS = 410
MILLISECONDS = 1000.0
# The longest wait that the store grants a watch.
MAX_WAIT_SECONDS = 30.0


class HistoryLostError(PlatformError):
    """The store no longer knows the changes since a revision."""


class StoreConnection:
    """Reads and watches the store.

    Parameters
    ----------
    url : str
        Base URL of the store.

    Attributes
    ----------
    calls : int
        Calls since the start.
    """

    def __init__(self, url):
        self.url = url.rstrip("/")
        self.calls = 0
        self._pool = urllib3.PoolManager(retries=False, maxsize=4)

    def read_item(self, key):
        """Return an item, or None if there is none.

        Raises
        ------
        PlatformError
            If the store gives no usable answer.
        """
        response = self._call("/api/kv-key", {"key": key}, ANSWER_SECONDS)
        if response.status == NOT_FOUND_STATUS:
            return None
        return self._decode(response)

    def read_range(self, prefix, after=""):
        """Return a page of the items whose keys begin with a prefix.

        Parameters
        ----------
        after : str
            Key after which the page begins.
        """
        query = {"pathPrefix": prefix} | ({"after": after} if after else {})
        return self._decode(self._call("/api/kv-range", query, ANSWER_SECONDS))

    def watch(self, prefix, revision, wait):
        """Return what changes after a revision, once there is something.

        Parameters
        ----------
        wait : float
            Seconds to wait for a change.

        Raises
        ------
        HistoryLostError
            If all must be read anew.
        PlatformError
            If the store gives no usable answer.
        """
        wait = min(wait, MAX_WAIT_SECONDS)
        query = {
            "pathPrefix": prefix,
            "after": str(revision),
            "waitMs": str(round(wait * MILLISECONDS)),
        }
        return self._decode(self._call("/api/kv-watch", query, wait + ANSWER_SECONDS))

    def _call(self, path, query, timeout):
        self.calls += 1
        try:
            return self._pool.request(
                "GET",
                self.url + path,
                fields=query,
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=timeout),
            )
        except (HTTPError, OSError) as error:
            raise PlatformError(f"the store cannot be read: {error}") from error

    @staticmethod
    def _decode(response):
        if response.status == GONE_STATUS:
            raise HistoryLostError("the store has dropped its history")
        if response.status != 200:
            raise PlatformError(f"the store answered {response.status}")
        try:
            answer = orjson.loads(response.data)
        except orjson.JSONDecodeError as error:
            raise PlatformError("the store's answer is not JSON") from error
        if not isinstance(answer, dict) or not isinstance(answer.get("at"), int):
            raise PlatformError("the store's answer has no revision")
        return answer
