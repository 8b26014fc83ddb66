"""Split the targets of a large service among several coordinators.

Load pattern: hundreds of requests per second for one service, received by dozens of
instances. A single coordinator could neither receive nor decide on them all, and most
would cross between data centres. So a large service has one cell, with its own
coordinator, in each data centre. A small one stays whole, since few targets shared by
all requests are better used than a few for each data centre.
"""

from collections import Counter
from dataclasses import dataclass

# Mean number of targets per data centre from which a service is split, and below
# which it is merged again; the gap prevents changes when single targets come or go.
SPLIT_TARGETS_PER_DATA_CENTRE = 4.0
MERGE_TARGETS_PER_DATA_CENTRE = 2.0


@dataclass(frozen=True, order=True)
class Cell:
    """The targets of a service that one coordinator assigns requests to.

    Parameters
    ----------
    data_centre : str
        Where the targets are; empty for all targets of the service.
    """

    service: str
    data_centre: str = ""

    def covers(self, data_centre):
        """Return whether targets in a data centre belong to this cell."""
        return self.data_centre in ("", data_centre)


class Cells:
    """The cells of all services, derived from the list of targets."""

    def __init__(self):
        self._split_services: set[str] = set()
        self._target_counts_by_service: dict[str, Counter] = {}

    def set_targets(self, records):
        """Count the targets again and split or merge services.

        Parameters
        ----------
        records : iterable of TargetRecord
        """
        counts: dict[str, Counter] = {}
        for record in records:
            counts.setdefault(record.service, Counter())[record.data_centre] += 1
        self._target_counts_by_service = counts
        for service, count in counts.items():
            mean = count.total() / len(count)
            if len(count) > 1 and mean >= SPLIT_TARGETS_PER_DATA_CENTRE:
                self._split_services.add(service)
            elif mean < MERGE_TARGETS_PER_DATA_CENTRE:
                self._split_services.discard(service)

    def for_service(self, service):
        """Return the cells of a service, in a fixed order."""
        if service not in self._split_services:
            return [Cell(service)]
        return [
            Cell(service, data_centre)
            for data_centre in sorted(self._target_counts_by_service.get(service, ()))
        ]
