"""Which software version began each stream, so that only that version goes on with it.

Load pattern: targets of two versions of a service serve side by side during a release,
and break many streams off. What two versions generate does not fit together, and the
targets do not check it.
"""

from collections import OrderedDict
from dataclasses import dataclass

# Longest time from the first event of a stream until its caller takes it up.
RETENTION_SECONDS = 120.0
# Bounds the memory; the oldest origins are forgotten first.
MAX_ORIGINS = 20_000


@dataclass(frozen=True)
class StreamOrigin:
    """The service and the software version of its targets that began a stream."""

    service: str
    version: str


def infer_origin(holders, doubtful):
    """Return the only `StreamOrigin` that is possible, or None.

    Parameters
    ----------
    holders : iterable of TargetRecord
        Targets that keep all that the origin of the stream has read and generated.
    doubtful : iterable of TargetRecord or None
        Other targets that may have begun it; None for one of which nothing is known.
    """
    doubtful = list(doubtful)
    if None in doubtful:
        return None
    known = {StreamOrigin(record.service, record.version) for record in holders}
    possible = known | {
        StreamOrigin(record.service, record.version) for record in doubtful
    }
    if len(possible) != 1 or possible != known:
        return None
    (origin,) = possible
    return origin if origin.version else None


class OriginTable:
    """Origins of recent streams, by the id of the request that began them.

    Not thread-safe; the caller holds a lock.
    """

    def __init__(self):
        self._origin_and_time_by_request: OrderedDict[
            str, tuple[StreamOrigin, float]
        ] = OrderedDict()

    def __len__(self):
        return len(self._origin_and_time_by_request)

    def add(self, request_id, origin, began_at):
        """Record the origin of a stream; the first one that was recorded stays.

        Parameters
        ----------
        began_at : float
            Monotonic time of its first event.
        """
        self._origin_and_time_by_request.setdefault(request_id, (origin, began_at))
        if len(self._origin_and_time_by_request) > MAX_ORIGINS:
            self._origin_and_time_by_request.popitem(last=False)

    def find(self, request_id, now):
        """Return the `StreamOrigin` and its age in seconds, or None."""
        entry = self._origin_and_time_by_request.get(request_id)
        if entry is None or now - entry[1] > RETENTION_SECONDS:
            return None
        return entry[0], now - entry[1]

    def expire(self, now):
        """Forget streams that are too old to be taken up."""
        while self._origin_and_time_by_request:
            request_id, (_, began_at) = next(
                iter(self._origin_and_time_by_request.items())
            )
            if now - began_at <= RETENTION_SECONDS:
                return
            del self._origin_and_time_by_request[request_id]
