"""Divide the targets of a large service among several coordinators.

Load pattern: hundreds of requests a second for one service, by way of dozens of
instances. One coordinator could neither hear nor decide them all, and most would
cross between data centres. So a large service has one cell in each data centre,
with a coordinator there; a small one stays whole, since few targets that are
shared by all are better used than some for each.
"""

from collections import Counter
from dataclasses import dataclass

# Targets for each data centre from which a service is divided, and below which it
# is joined again; the gap keeps it from changing with single targets.
DIVIDE_TARGETS = 4.0
JOIN_TARGETS = 2.0


@dataclass(frozen=True, order=True)
class Cell:
    """The targets of a service that one coordinator gives out.

    Parameters
    ----------
    data_centre : str
        Where they are; empty for all of the service.
    """

    service: str
    data_centre: str = ""

    def holds(self, data_centre):
        """Tell whether targets of a data centre belong here."""
        return self.data_centre in ("", data_centre)


class Cells:
    """The cells of all services, by the list of targets."""

    def __init__(self):
        self._divided: set[str] = set()
        self._count_by_data_centre: dict[str, Counter] = {}

    def set_targets(self, records):
        """Count the targets anew.

        Parameters
        ----------
        records : iterable of TargetRecord
        """
        counts: dict[str, Counter] = {}
        for record in records:
            counts.setdefault(record.service, Counter())[record.data_centre] += 1
        self._count_by_data_centre = counts
        for service, count in counts.items():
            mean = count.total() / len(count)
            if len(count) > 1 and mean >= DIVIDE_TARGETS:
                self._divided.add(service)
            elif mean < JOIN_TARGETS:
                self._divided.discard(service)

    def of(self, service):
        """Return the cells of a service, in a fixed order."""
        if service not in self._divided:
            return [Cell(service)]
        return [
            Cell(service, data_centre)
            for data_centre in sorted(self._count_by_data_centre.get(service, ()))
        ]
