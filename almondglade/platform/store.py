"""Read and watch the platform's store.

The store keeps items under keys with a revision each, and can only be read.
"""

import threading

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from ..errors import PlatformError
from ..feed import Batch, CatalogueUpdate, EvacuationUpdate, TargetUpdate
from ..log import get_logger
from ..sockets import TCP_OPTIONS
from .wire import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    TARGET_PREFIX,
    decode_catalogue,
    decode_target,
    decode_value,
)

log = get_logger("platform")

# An answer takes milliseconds; this bounds a silent connection.
ANSWER_SECONDS = 1.0
CONNECT_SECONDS = 0.5
GONE_STATUS = 410


class HistoryLostError(PlatformError):
    """The store no longer knows the changes since a revision."""


class StoreClient:
    """Reads all that the platform publishes.

    Parameters
    ----------
    address : str
        IP number and port of the store.
    clock : callable
        Returns seconds; counts while the machine is suspended.
    steady : callable
        Returns monotonic seconds, for the times of targets.
    """

    def __init__(self, address, clock, steady):
        self.address = address
        self.clock = clock
        self.steady = steady
        self.calls = 0
        self._lock = threading.Lock()
        host, port = _host_and_port(address)
        self._pool = urllib3.HTTPConnectionPool(host, port, maxsize=1, retries=False)
        self._pool.ConnectionCls.default_socket_options = TCP_OPTIONS

    def read_all(self):
        """Return a whole `Batch`.

        Raises
        ------
        PlatformError
            If the store gives no usable answer.
        """
        asked_at = self.clock()
        items: list[dict] = []
        revision = None
        after = ""
        while True:
            query = {"pathPrefix": ""} | ({"after": after} if after else {})
            answer = self._get("/api/kv-range", query, ANSWER_SECONDS)
            if revision is None:
                revision = answer["at"]
            items += answer["items"]
            if not answer["hasMore"] or not answer["items"]:
                break
            after = answer["items"][-1]["key"]
        return Batch(self._decode(items), revision, True, asked_at)

    def watch(self, revision, wait):
        """Return what changes after a revision, once there is something.

        Parameters
        ----------
        revision : int
            Revision already known.
        wait : float
            Seconds to wait for a change.

        Raises
        ------
        HistoryLostError
            If all must be read anew.
        PlatformError
            If the store gives no usable answer.
        """
        asked_at = self.clock()
        query = {
            "pathPrefix": "",
            "after": str(revision),
            "waitMs": str(round(wait * 1000)),
        }
        answer = self._get("/api/kv-watch", query, wait + ANSWER_SECONDS)
        events = answer["events"]
        # The store held an empty answer back for the whole time.
        as_of = asked_at if events else asked_at + wait
        return Batch(
            self._decode(events),
            max(revision, answer["at"]),
            False,
            min(as_of, self.clock()),
        )

    def _get(self, path, query, timeout):
        self.calls += 1
        try:
            response = self._pool.request(
                "GET",
                path,
                fields=query,
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=timeout),
            )
        except (HTTPError, OSError) as error:
            raise PlatformError(f"the store cannot be read: {error}") from error
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

    def _decode(self, items):
        items = sorted(items, key=lambda item: item["revision"])
        updates = (self._decode_item(item) for item in items)
        return tuple(update for update in updates if update is not None)

    def _decode_item(self, item):
        key, revision = item["key"], item["revision"]
        deleted = bool(item.get("deleted"))
        try:
            if key == CONFIGURATION_KEY:
                if deleted:
                    raise PlatformError("the document was deleted")
                return CatalogueUpdate(revision, decode_catalogue(decode_value(item)))
            if key.startswith(EVACUATION_PREFIX):
                data_centre = key.removeprefix(EVACUATION_PREFIX)
                return EvacuationUpdate(revision, data_centre, not deleted)
            if key.startswith(TARGET_PREFIX):
                name = key.removeprefix(TARGET_PREFIX)
                if deleted:
                    return TargetUpdate(revision, name, None)
                record = decode_target(key, decode_value(item), self.steady())
                return TargetUpdate(revision, name, record)
        except PlatformError as error:
            log.warning(
                "an entry is not usable", key=key, revision=revision, cause=str(error)
            )
        return None


def _host_and_port(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
