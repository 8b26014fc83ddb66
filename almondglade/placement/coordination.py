"""Choose the instance that gives out the places of a cell.

Load pattern: instances are killed, paused or cut off while requests wait; those
that are left must agree on another coordinator within some round trips, without
a vote and without stored state.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

# A coordinator that has not answered for this long is passed over; some round
# trips and a pause of its interpreter.
ANSWER_TIMEOUT_SECONDS = 0.08
# It is asked again after this, and after twice as long each time that it stays
# silent, up to the longest.
MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 8.0
# An instance that was not asked for this long begins to coordinate anew.
TERM_EXPIRY_SECONDS = 1.0
# It then lets the others tell what they run before it grants; some round trips.
SETTLE_SECONDS = 0.06
# A question is forgotten when none follows for this long.
UNANSWERED_EXPIRY_SECONDS = 0.5
NEVER = float("-inf")


@dataclass(frozen=True)
class InstanceInfo:
    """Where an instance runs and how much it bears.

    Parameters
    ----------
    capacity : float
        Relative processor and link; the strongest instances coordinate.
    """

    data_centre: str = ""
    capacity: float = 0.0


class Coordinators:
    """Rendezvous hashing over the instances that are heard and not silent.

    Parameters
    ----------
    instance : str
        This instance.

    Attributes
    ----------
    instances : list of str
        Instances of the fleet that are there and not leaving.
    """

    def __init__(self, instance):
        self.instance = instance
        self._instances = [instance]
        self._info_by_instance: dict[str, InstanceInfo] = {}
        self._order_by_cell: dict[tuple[str, str], list[str]] = {}
        self._last_answer_by_name: dict[str, float] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._timeouts_by_name: dict[str, int] = {}

    @property
    def instances(self):
        """Names of the instances among which coordinators are chosen."""
        return self._instances

    @instances.setter
    def instances(self, names: Iterable[str]):
        self.set_instances(names, self._info_by_instance)

    def set_instances(self, names, info_by_instance):
        """Replace the instances and where they are.

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
        """Return the instance that gives the places of a cell.

        Parameters
        ----------
        data_centre : str
            Where the cell is; empty for a whole service. Without an instance
            there, one of another data centre is chosen.
        """
        key = (service, data_centre)
        order = self._order_by_cell.get(key)
        if order is None:
            order = self._order_by_cell[key] = self._order(service, data_centre)
        for name in order:
            if name == self.instance or now >= self._unresponsive_until.get(
                name, NEVER
            ):
                return name
        return self.instance

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
        """Note that a coordinator has answered."""
        self._last_answer_by_name[name] = now
        self._unresponsive_until.pop(name, None)
        self._timeouts_by_name.pop(name, None)

    def last_answer_at(self, name):
        """Return when a coordinator last answered."""
        return self._last_answer_by_name.get(name, NEVER)

    def is_unresponsive(self, name, requested_at, now, timeout=ANSWER_TIMEOUT_SECONDS):
        """Tell whether a coordinator has not answered since it was asked.

        Parameters
        ----------
        timeout : float
            Seconds in which it should have.
        """
        heard = max(requested_at, self.last_answer_at(name))
        return name != self.instance and now - heard > timeout

    def mark_unresponsive(self, name, now):
        """Ask other instances for a while."""
        count = self._timeouts_by_name.get(name, 0)
        self._timeouts_by_name[name] = count + 1
        pause = min(MIN_BACKOFF_SECONDS * 2**count, MAX_BACKOFF_SECONDS)
        self._unresponsive_until[name] = now + pause


class UnansweredRequests:
    """For how long coordinators, or cells, have left questions unanswered.

    A request may wait for less time than a coordinator may be silent, so that
    silence is counted over all requests that ask it.
    """

    def __init__(self):
        self._first_and_last_by_key = {}

    def record_request(self, key, now):
        """Note a question."""
        first, last = self._first_and_last_by_key.get(key, (now, now))
        if now - last > UNANSWERED_EXPIRY_SECONDS:
            # A single question, or its answer, may have been lost.
            first = now
        self._first_and_last_by_key[key] = (first, now)

    def record_answer(self, key):
        """Note an answer to all that was asked."""
        self._first_and_last_by_key.pop(key, None)

    def seconds(self, key, now):
        """Return the seconds since the first question that has no answer."""
        first, _ = self._first_and_last_by_key.get(key, (now, now))
        return now - first


class CoordinationTerms:
    """When this instance began to coordinate each cell."""

    def __init__(self):
        self._started_at_by_cell = {}
        self._last_request_by_cell = {}

    def record_request(self, cell, now):
        """Note a request for a place; tell whether a new term begins with it."""
        begins = now - self._last_request_by_cell.get(cell, NEVER) > TERM_EXPIRY_SECONDS
        self._last_request_by_cell[cell] = now
        if begins:
            self._started_at_by_cell[cell] = now
        return begins

    def is_settled(self, cell, now):
        """Tell whether the others had time to say what they run."""
        return now - self._started_at_by_cell.get(cell, NEVER) >= SETTLE_SECONDS
