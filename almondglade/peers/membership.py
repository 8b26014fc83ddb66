"""Instances as the platform lists them, and which role each has."""

import math
from dataclasses import dataclass

import xxhash

MAX_RELAYS = 3
# Above this size the relays of each data centre stand between the fleet's
# relays and the other instances.
MAX_SINGLE_LEVEL_INSTANCES = 30
RELAY_ROLE = "configuration"


@dataclass(frozen=True)
class Instance:
    """One listed instance.

    Parameters
    ----------
    address : str
        IP number of its peers' port.
    port : int
        Its peers' port.
    leaving : bool
        Whether it is about to stop.
    """

    name: str
    address: str
    port: int
    data_centre: str = ""
    leaving: bool = False


def rank(role, names):
    """Order instances by rendezvous weight for a role, highest first.

    Parameters
    ----------
    role : str
        Service id, or another name of what is placed.
    names : iterable of str
        Instance ids.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{role}/{name}".encode()),
        reverse=True,
    )


class Membership:
    """The listed instances, and those this one does not choose at present.

    An instance whose link failed, or that was listed later than this one
    started, is suspect: it coordinates nothing for this one until a link to it
    has held for a while, since each move costs the wait for a lease.

    Parameters
    ----------
    own : Instance
        This instance; always a member.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, own, clock):
        self.own = own
        self.clock = clock
        self.by_name = {own.name: own}
        self.published = 1
        self.has_list = False
        self.suspects: set[str] = set()
        self._leaving: set[str] = set()
        self._out_of_service: set[str] = set()
        self._avoid_until: dict[str, float] = {}
        self._declarations = None

    def update(self, instances):
        """Take in a newer list from the platform."""
        former = self.by_name
        self.by_name = {instance.name: instance for instance in instances}
        self.published = max(1, len(self.by_name))
        self.by_name.setdefault(self.own.name, self.own)
        joined = self.by_name.keys() - former.keys()
        if self.has_list:
            self.suspects |= joined
        elif joined:
            # Until others use this instance they have a coordinator elsewhere.
            self.suspects.add(self.own.name)
        self.has_list = True
        for names in (self.suspects, self._leaving):
            names.intersection_update(self.by_name)
        for name in self._avoid_until.keys() - self.by_name.keys():
            del self._avoid_until[name]
        self._apply()

    def configure(self, declarations):
        """Leave out what the operators have taken out of service."""
        self._declarations = declarations
        self._apply()

    def _apply(self):
        if self._declarations is not None:
            self._out_of_service = {
                name
                for name in self.by_name
                if self._is_out_of_service(name, self._declarations)
            }

    def _is_out_of_service(self, name, declarations):
        data_centre = declarations.data_centres.get(self.by_name[name].data_centre)
        declared = declarations.instances.get(name)
        return (data_centre is not None and data_centre.state == "out") or (
            declared is not None and declared.state == "leaving"
        )

    def set_leaving(self, name, leaving):
        """Note what an instance itself says of its stop."""
        if leaving:
            self._leaving.add(name)
        else:
            self._leaving.discard(name)

    def suspect(self, name):
        """Choose an instance no longer, until it is trusted again."""
        if name in self.by_name:
            self.suspects.add(name)

    def trust(self, name):
        """Choose an instance again."""
        self.suspects.discard(name)

    def avoid(self, name, seconds):
        """Leave an instance out of the choice for a time."""
        self._avoid_until[name] = self.clock() + seconds

    def is_serving(self, name):
        """Tell whether an instance is neither leaving nor out of service."""
        return not (
            self.by_name[name].leaving
            or name in self._leaving
            or name in self._out_of_service
        )

    def coordinators(self, pool):
        """Return the instances that may coordinate a pool, best first."""
        now = self.clock()
        reachable = [
            name
            for name in self._serving()
            if name not in self.suspects
            and self._avoid_until.get(name, -math.inf) <= now
        ]
        return rank(pool, reachable or [self.own.name])

    def preferred_coordinator(self, pool):
        """Return the best coordinator of a pool if all could be reached."""
        return rank(pool, self._serving())[0]

    def relays(self):
        """Return the relays that this instance's evidence comes from."""
        fleet = self._fleet_relays()
        if (
            len(self.by_name) <= MAX_SINGLE_LEVEL_INSTANCES
            or self.own.name in self._local_relays()
        ):
            return fleet
        return self._local_relays()

    def is_relay(self):
        """Tell whether this instance watches the configuration service."""
        return self.own.name in self._fleet_relays() or (
            len(self.by_name) > MAX_SINGLE_LEVEL_INSTANCES
            and self.own.name in self._local_relays()
        )

    def required_links(self, pools):
        """Return the peers to have links to, besides coordinators in use."""
        probed = {
            name
            for name in map(self.preferred_coordinator, pools)
            if name in self.suspects
        }
        return (set(self.relays()) | probed) - {self.own.name}

    def _serving(self):
        serving = [name for name in self.by_name if self.is_serving(name)]
        return serving or list(self.by_name)

    def _fleet_relays(self):
        return rank(RELAY_ROLE, self._serving())[:MAX_RELAYS]

    def _local_relays(self):
        local = [
            name
            for name in self._serving()
            if self.by_name[name].data_centre == self.own.data_centre
        ]
        return rank(RELAY_ROLE, local)[:MAX_RELAYS]
