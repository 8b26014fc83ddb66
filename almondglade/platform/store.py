"""Read and watch the platform's store.

The store keeps items under keys with a revision each, and can only be read.
"""

from ..errors import PlatformError
from ..feed import Batch, CatalogueUpdate, EvacuationUpdate, TargetUpdate
from ..log import get_logger
from .connection import StoreConnection
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
        self.clock = clock
        self.steady = steady
        self.connection = StoreConnection(f"http://{address}")

    @property
    def calls(self):
        """Calls to the store since the start."""
        return self.connection.calls

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
            answer = self.connection.read_range("", after)
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
        answer = self.connection.watch("", revision, wait)
        events = answer["events"]
        # The store held an empty answer back for the whole time.
        as_of = asked_at if events else asked_at + wait
        return Batch(
            self._decode(events),
            max(revision, answer["at"]),
            False,
            min(as_of, self.clock()),
        )

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
