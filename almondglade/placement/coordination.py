"""Choose the coordinator of a cell: the instance that grants its slots.

Load pattern: instances are killed, paused or partitioned while requests wait. The
remaining ones must agree on another coordinator within a few round trips, without
a vote and without stored state.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

# A coordinator that has not answered for this long is replaced. Covers a few round
# trips and a pause of its interpreter.
ANSWER_TIMEOUT_SECONDS = 0.08
# It is chosen again after a backoff that starts at the minimum and doubles, up to the
# maximum, each time that it still doesn't answer.
MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 8.0
# An instance without slot requests for this long starts a new term with the next one.
TERM_EXPIRY_SECONDS = 1.0
# In a new term it waits this long for reports of running requests before it grants
# slots; a few round trips.
SETTLE_SECONDS = 0.06
# An unanswered request no longer counts when no other follows within this time.
UNANSWERED_EXPIRY_SECONDS = 0.5
NEVER = float("-inf")


@dataclass(frozen=True)
class InstanceInfo:
    """Where an instance runs, and its capacity.

    Parameters
    ----------
    capacity : float
        Relative processor and network capacity; instances with the highest
        coordinate.
    """

    data_centre: str = ""
    capacity: float = 0.0


class Coordinators:
    """Choice of coordinators by rendezvous hashing over the responsive instances.

    Parameters
    ----------
    instance : str
        This instance.

    Attributes
    ----------
    instances : list of str
        Live instances of the fleet that are not leaving.
    """

    def __init__(self, instance):
        self.instance = instance
        self._instances = [instance]
        self._info_by_instance: dict[str, InstanceInfo] = {}
        self._order_by_cell: dict[tuple[str, str], list[str]] = {}
        self._last_answer_at_by_instance: dict[str, float] = {}
        self._unresponsive_until_by_instance: dict[str, float] = {}
        self._timeouts_by_instance: dict[str, int] = {}

    @property
    def instances(self):
        """Names of the instances that may be chosen as coordinators."""
        return self._instances

    @instances.setter
    def instances(self, names: Iterable[str]):
        self.set_instances(names, self._info_by_instance)

    def set_instances(self, names, info_by_instance):
        """Replace the list of instances and their data centres and capacities.

        Parameters
        ----------
        names : iterable of str
        info_by_instance : dict of str to InstanceInfo
        """
        names = list(names)
        if names != self._instances or info_by_instance != self._info_by_instance:
            self._instances, self._info_by_instance = names, dict(info_by_instance)
            self._order_by_cell = {}

    def choose(self, service, now, data_centre=""):
        """Return the coordinator of a cell.

        Parameters
        ----------
        data_centre : str
            Data centre of the cell; empty for a whole service. Without an instance
            there, one in another data centre is chosen.
        """
        key = (service, data_centre)
        order = self._order_by_cell.get(key)
        if order is None:
            order = self._order_by_cell[key] = self._order(service, data_centre)
        for name in order:
            if name == self.instance or now >= self._unresponsive_until_by_instance.get(
                name, NEVER
            ):
                return name
        return self.instance

    def is_first_choice(self, service, data_centre=""):
        """Return whether no live instance comes before this one for a cell.

        Unlike in `choose`, unresponsive instances count while they are live.
        """
        key = (service, data_centre)
        order = self._order_by_cell.get(key) or self._order(service, data_centre)
        return order[0] == self.instance

    def _order(self, service, data_centre):
        unknown = InstanceInfo()
        info_by_instance = {
            name: self._info_by_instance.get(name, unknown) for name in self.instances
        }
        near = [
            name
            for name, info in info_by_instance.items()
            if data_centre in ("", info.data_centre)
        ]
        return sorted(
            near or self.instances,
            key=lambda name: (
                -info_by_instance[name].capacity,
                xxhash.xxh64_intdigest(f"{service}\0{name}".encode()),
            ),
        )

    def record_answer(self, name, now):
        """Record that a coordinator has answered, which ends its backoff."""
        self._last_answer_at_by_instance[name] = now
        self._unresponsive_until_by_instance.pop(name, None)
        self._timeouts_by_instance.pop(name, None)

    def last_answer_at(self, name):
        """Return the monotonic time of a coordinator's last answer."""
        return self._last_answer_at_by_instance.get(name, NEVER)

    def is_unresponsive(self, name, requested_at, now, timeout=ANSWER_TIMEOUT_SECONDS):
        """Return whether a coordinator has not answered a request in time.

        Parameters
        ----------
        requested_at : float
            Monotonic time of the request.
        timeout : float
            Seconds within which it should have answered.
        """
        since = max(requested_at, self.last_answer_at(name))
        return name != self.instance and now - since > timeout

    def data_centre_of(self, name):
        """Return the data centre of an instance, "" if it is not known."""
        return self._info_by_instance.get(name, InstanceInfo()).data_centre

    def has_instances(self, data_centre):
        """Return whether a data centre has live instances, responsive or not."""
        return any(self.data_centre_of(name) == data_centre for name in self._instances)

    def mark_unresponsive(self, name, now):
        """Choose other instances instead until the end of a backoff."""
        count = self._timeouts_by_instance.get(name, 0)
        self._timeouts_by_instance[name] = count + 1
        backoff = min(MIN_BACKOFF_SECONDS * 2**count, MAX_BACKOFF_SECONDS)
        self._unresponsive_until_by_instance[name] = now + backoff


class UnansweredRequests:
    """How long coordinators, or cells, have left slot requests unanswered.

    A caller's request may wait for less time than the answer timeout of a
    coordinator, so the time is counted across all requests sent to it.
    """

    def __init__(self):
        # Monotonic times of the first and the last unanswered request.
        self._first_and_last_by_key = {}

    def record_request(self, key, now):
        """Record a slot request to a coordinator or cell."""
        first, last = self._first_and_last_by_key.get(key, (now, now))
        if now - last > UNANSWERED_EXPIRY_SECONDS:
            # A single request, or the answer to it, may have been lost.
            first = now
        self._first_and_last_by_key[key] = (first, now)

    def record_answer(self, key):
        """Record an answer, which covers all requests so far."""
        self._first_and_last_by_key.pop(key, None)

    def seconds(self, key, now):
        """Return the seconds since the first unanswered request; 0 without one."""
        first, _ = self._first_and_last_by_key.get(key, (now, now))
        return now - first


class CoordinationTerms:
    """Times at which this instance began to coordinate each cell."""

    def __init__(self):
        self._started_at_by_cell = {}
        self._last_request_by_cell = {}

    def record_request(self, cell, now):
        """Record a slot request; return whether a new term begins with it."""
        is_new = now - self._last_request_by_cell.get(cell, NEVER) > TERM_EXPIRY_SECONDS
        self._last_request_by_cell[cell] = now
        if is_new:
            self._started_at_by_cell[cell] = now
        return is_new

    def is_settled(self, cell, now):
        """Return whether the other instances had time to report what they run."""
        return now - self._started_at_by_cell.get(cell, NEVER) >= SETTLE_SECONDS
