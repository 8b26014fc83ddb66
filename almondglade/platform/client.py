"""Read the declared document and the list of instances from the store."""

from dataclasses import dataclass

import orjson

from ..errors import PlatformError
from ..peers.membership import Instance
from .connection import HistoryLostError, StoreConnection
from .wire import decode_value

INSTANCES_PREFIX = "instances/"


@dataclass(frozen=True)
class Versioned:
    """A value and its version.

    Parameters
    ----------
    index : int
        Version to watch from.
    value : object
        The value, or None when it is not published.
    fresh : bool
        False if the store that answered is behind what was read before.
    """

    index: int
    value: object
    fresh: bool = True


class PlatformClient:
    """Reads the declared document and the list of instances.

    Parameters
    ----------
    url : str
        Base URL of the platform's store.
    """

    def __init__(self, url):
        self.connection = StoreConnection(url)
        self._last_by_key: dict[str, Versioned] = {}

    @property
    def calls(self):
        """Calls to the store since the start."""
        return self.connection.calls

    def read_document(self, key, index=0, wait=0.0):
        """Return the value of a key, as bytes, once it is newer than `index`.

        Parameters
        ----------
        key : str
            Key of the document.
        index : int
            Version already known.
        wait : float
            Seconds to wait for a newer one.

        Raises
        ------
        PlatformError
            If the store does not give a usable answer.
        """
        last = self._last_by_key.get(key)
        if index and wait and last is not None:
            newest = self._watch(key, index, wait, last)
        else:
            newest = self._read(key)
        self._last_by_key[key] = newest
        return newest

    def read_instances(self, service, index=0, wait=0.0):
        """Return the listed instances once the list is newer than `index`."""
        answer = self.read_document(INSTANCES_PREFIX + service, index, wait)
        if answer.value is None:
            return Versioned(answer.index, [])
        try:
            listed = orjson.loads(answer.value)
            return Versioned(answer.index, [_instance(entry) for entry in listed])
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"the list is not usable: {error}") from error

    def _read(self, key):
        item = self.connection.read_item(key)
        if item is None:
            return Versioned(1, None)
        return Versioned(item["revision"], decode_value(item))

    def _watch(self, key, index, wait, last):
        try:
            answer = self.connection.watch(key, index, wait)
        except HistoryLostError:
            return self._read(key)
        if answer["at"] < index:
            # A store that was set back: what it holds now decides.
            return self._read(key)
        changes = [event for event in answer["events"] if event["key"] == key]
        if not changes:
            return Versioned(max(index, last.index), last.value)
        newest = changes[-1]
        if newest.get("deleted"):
            return Versioned(newest["revision"], None)
        return Versioned(newest["revision"], decode_value(newest))


def _instance(entry):
    meta = entry.get("Meta") or {}
    return Instance(
        str(entry["ID"]),
        str(entry["Address"]),
        int(entry["Port"]),
        str(meta.get("data_centre", "")),
        meta.get("state", "live") == "leaving",
    )
