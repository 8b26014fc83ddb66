"""Read and watch all items of the platform's store.

The store holds items by key, each with a revision; instances can only read it.
"""

from ..errors import PlatformError
from ..feed import Batch, CatalogueUpdate, EvacuationUpdate, TargetUpdate
from ..log import get_logger
from .connection import HistoryLostError, StoreConnection
from .wire import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    TARGET_PREFIX,
    decode_catalogue,
    decode_target,
    decode_value,
)

log = get_logger("platform")


class StoreClient:
    """Reads all items of the store and decodes them into updates.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    clock : callable
        Returns seconds of a clock that also runs while the host is suspended.
    monotonic_clock : callable
        Returns monotonic seconds, in which the times of targets are given.
    """

    def __init__(self, address, clock, monotonic_clock):
        self.clock = clock
        self.monotonic_clock = monotonic_clock
        self.connection = StoreConnection(f"http://{address}")
        self._era = 0

    @property
    def calls(self):
        """Number of calls to the store since the start."""
        return self.connection.calls

    def read_all(self):
        """Return a `Batch` of all items.

        Raises
        ------
        HistoryLostError
            If the store came back from an older copy meanwhile.
        PlatformError
            If the store cannot be reached or its response is invalid.
        """
        requested_at = self.clock()
        first = response = self.connection.read_range("")
        items = list(first["items"])
        while response["hasMore"] and response["items"]:
            response = self.connection.read_range("", items[-1]["key"])
            if response["era"] != first["era"]:
                raise HistoryLostError("the store has come back from an older copy")
            items += response["items"]
        self._era = first["era"]
        updates = self.decode_items(items, self._era)
        return Batch(updates, first["at"], True, requested_at, self._era)

    def read_targets(self):
        """Return the `TargetRecord`s that the store lists at present.

        Unlike the other readings, this one may be made in any thread.

        Raises
        ------
        PlatformError
            If the store cannot be reached or its response is invalid.
        """
        response = self.connection.read_range(TARGET_PREFIX)
        items = list(response["items"])
        while response["hasMore"] and response["items"]:
            response = self.connection.read_range(TARGET_PREFIX, items[-1]["key"])
            items += response["items"]
        updates = self.decode_items(items, response["era"])
        return [update.record for update in updates if update.record is not None]

    def read_target_changes(self, after, until, era):
        """Return the changes of the list of targets after a revision.

        Like `read_targets`, this may be called in any thread.

        Parameters
        ----------
        after, until : int
            Revisions; the changes go on to the second one at least.
        era : int
            Era in which they count.

        Returns
        -------
        list of TargetUpdate
            In their order.

        Raises
        ------
        HistoryLostError
            If the changes are no longer available.
        PlatformError
            If the store cannot be reached or its response is invalid.
        """
        changes: list = []
        while True:
            response = self.connection.watch(TARGET_PREFIX, after, 0.0, era)
            changes += self.decode_items(response["events"], era)
            if response["at"] >= until or not response["events"]:
                return changes
            after = response["at"]

    def watch(self, revision, wait):
        """Return a `Batch` of the changes after a revision, once there are any.

        Parameters
        ----------
        revision : int
            Revision already known.
        wait : float
            Longest time to wait for a change, in seconds.

        Raises
        ------
        HistoryLostError
            If the changes are no longer available, so that all must be read again.
        PlatformError
            If the store cannot be reached or its response is invalid.
        """
        requested_at = self.clock()
        response = self.connection.watch("", revision, wait, self._era)
        events = response["events"]
        # The store sends a response without changes only at the end of the wait.
        as_of = requested_at if events else requested_at + wait
        return Batch(
            self.decode_items(events, self._era),
            max(revision, response["at"]),
            False,
            min(as_of, self.clock()),
            self._era,
        )

    def decode_items(self, items, era):
        """Return the updates in some items, which may be passed on by a peer.

        Parameters
        ----------
        items : list of dict
            Items of the store. Those of peers hold the era in which they were written,
            and may be marked as unchanged instead of having a value.
        era : int
            Era of the others.

        Raises
        ------
        KeyError, TypeError
            If one has no key or no revision.
        """
        items = sorted(items, key=lambda item: (item.get("era", era), item["revision"]))
        updates = (self._decode_item(item, item.get("era", era)) for item in items)
        return tuple(update for update in updates if update is not None)

    def _decode_item(self, item, era):
        key, revision = item["key"], item["revision"]
        deleted = bool(item.get("deleted"))
        origin = {"era": era, "item": item | {"era": era}}
        try:
            if key == CONFIGURATION_KEY and item.get("unchanged"):
                return None
            if key == CONFIGURATION_KEY:
                if deleted:
                    raise PlatformError("the document was deleted")
                catalogue = decode_catalogue(decode_value(item))
                return CatalogueUpdate(revision, catalogue, **origin)
            if key.startswith(EVACUATION_PREFIX):
                data_centre = key.removeprefix(EVACUATION_PREFIX)
                return EvacuationUpdate(revision, data_centre, not deleted, **origin)
            if key.startswith(TARGET_PREFIX):
                name = key.removeprefix(TARGET_PREFIX)
                if deleted:
                    return TargetUpdate(revision, name, None, **origin)
                return self._decode_target(key, name, revision, item, origin)
        except PlatformError as error:
            log.warning(
                "an entry is not usable", key=key, revision=revision, cause=str(error)
            )
        return None

    def _decode_target(self, key, name, revision, item, origin):
        if item.get("unchanged"):
            # Of use only as a sign that the target is listed.
            era = origin["era"]
            return TargetUpdate(revision, name, None, era=era, is_readable=False)
        try:
            record = decode_target(key, decode_value(item), self.monotonic_clock())
        except PlatformError as error:
            log.warning("an entry is not usable", key=key, cause=str(error))
            return TargetUpdate(
                revision, name, None, era=origin["era"], is_readable=False
            )
        is_first = item.get("createdAt") == revision
        return TargetUpdate(revision, name, record, is_first=is_first, **origin)
