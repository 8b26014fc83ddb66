"""Read and watch single keys of the platform's store."""

from dataclasses import dataclass, replace

import orjson

from ..errors import PlatformError
from ..peers.membership import Instance
from .connection import HistoryLostError, StoreConnection
from .wire import decode_value

INSTANCES_PREFIX = "instances/"


@dataclass(frozen=True)
class VersionedValue:
    """A value of the store and its revision.

    Parameters
    ----------
    revision : int
        Revision from which to watch for a newer value.
    value : object
        The value, or None if the key does not exist.
    fresh : bool
        False if the store is behind a revision already read.
    era : int
        Era of the store in which the revision counts.
    """

    revision: int
    value: object
    fresh: bool = True
    era: int = 0


class PlatformClient:
    """Reads the declared document and the list of instances.

    Parameters
    ----------
    url : str
        Base URL of the platform's store.
    """

    def __init__(self, url):
        self.connection = StoreConnection(url)
        self._last_by_key: dict[str, VersionedValue] = {}

    @property
    def calls(self):
        """Number of calls to the store since the start."""
        return self.connection.calls

    def read_document(self, key, revision=0, wait=0.0):
        """Return the value of a key, as bytes, once it is newer than a revision.

        Parameters
        ----------
        key : str
            Key of the value in the store.
        revision : int
            Revision already known; 0 if none.
        wait : float
            Longest time to wait for a newer value, in seconds. Without a wait the
            present value is returned.

        Returns
        -------
        VersionedValue
            The newest value, which is the known one if the wait ends without change.

        Raises
        ------
        PlatformError
            If the store cannot be reached or its response is invalid.
        """
        last = self._last_by_key.get(key)
        if revision and wait and last is not None:
            newest = self._watch(key, revision, wait, last)
        else:
            newest = self._read(key)
        self._last_by_key[key] = newest
        return newest

    def read_instances(self, service, revision=0, wait=0.0):
        """Return the listed instances once the list is newer than a revision.

        Parameters
        ----------
        service : str
            Name under which the instances are listed.
        revision, wait
            As of `read_document`.

        Raises
        ------
        PlatformError
            If the store cannot be reached or the list is invalid.
        """
        response = self.read_document(INSTANCES_PREFIX + service, revision, wait)
        if response.value is None:
            return replace(response, value=[])
        try:
            entries = orjson.loads(response.value)
            return replace(
                response, value=[_decode_instance(entry) for entry in entries]
            )
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"invalid list of instances: {error}") from error

    def _read(self, key):
        item = self.connection.read_item(key)
        if item is None:
            return VersionedValue(1, None, era=self.connection.era)
        return VersionedValue(item["revision"], decode_value(item), era=item["era"])

    def _watch(self, key, revision, wait, last):
        try:
            response = self.connection.watch(key, revision, wait, last.era)
        except HistoryLostError:
            return self._read(key)
        if response["at"] < revision:
            # The store was reset to an older state; its present value applies.
            return self._read(key)
        events = [event for event in response["events"] if event["key"] == key]
        if not events:
            return replace(last, revision=max(revision, last.revision))
        newest = events[-1]
        value = None if newest.get("deleted") else decode_value(newest)
        return VersionedValue(newest["revision"], value, era=last.era)


def _decode_instance(entry):
    meta = entry.get("Meta") or {}
    return Instance(
        str(entry["ID"]),
        str(entry["Address"]),
        int(entry["Port"]),
        str(meta.get("data_centre", "")),
        meta.get("state", "live") == "leaving",
    )
