"""The listed instances, and which of them are coordinators and relays."""

import math
from dataclasses import dataclass

import xxhash

MAX_RELAYS = 3
# In a larger fleet, the relays of each data centre pass evidence from the relays of
# the fleet on to the other instances.
MAX_SINGLE_LEVEL_INSTANCES = 30
RELAY_ROLE = "configuration"


@dataclass(frozen=True)
class Instance:
    """An instance as listed by the platform.

    Parameters
    ----------
    address : str
        IP address of its port for peers.
    port : int
        Its port for peers.
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
        Name of the role to assign: the id of a service or another role name.
    names : iterable of str
        Instance ids.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{role}/{name}".encode()),
        reverse=True,
    )


class Membership:
    """The listed instances, and those that are not eligible as coordinators.

    An instance whose link failed, or that was first listed after this one started,
    is suspect: this instance does not choose it as a coordinator until a link to it
    has been stable for a while, since each change of the coordinator costs a wait for
    the lease.

    Parameters
    ----------
    own : Instance
        This instance; always a member.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    published : int
        Number of listed instances, at least 1.
    has_list : bool
        Whether a list has been received.
    suspects : set of str
        Instances that are not chosen as coordinators until they are trusted again.
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
        self._avoid_until_by_name: dict[str, float] = {}
        self._declarations = None

    def update(self, instances):
        """Apply a newer list of the platform."""
        previous = self.by_name
        self.by_name = {instance.name: instance for instance in instances}
        self.published = max(1, len(self.by_name))
        self.by_name.setdefault(self.own.name, self.own)
        joined = self.by_name.keys() - previous.keys()
        if self.has_list:
            self.suspects |= joined
        elif joined:
            # The other instances have another coordinator until they trust this one.
            self.suspects.add(self.own.name)
        self.has_list = True
        for names in (self.suspects, self._leaving):
            names.intersection_update(self.by_name)
        for name in self._avoid_until_by_name.keys() - self.by_name.keys():
            del self._avoid_until_by_name[name]
        self._update_out_of_service()

    def configure(self, declarations):
        """Exclude the instances that the declarations take out of service."""
        self._declarations = declarations
        self._update_out_of_service()

    def _update_out_of_service(self):
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
        """Record whether an instance reports that it is about to stop."""
        if leaving:
            self._leaving.add(name)
        else:
            self._leaving.discard(name)

    def suspect(self, name):
        """Exclude an instance as a coordinator until it is trusted again."""
        if name in self.by_name:
            self.suspects.add(name)

    def trust(self, name):
        """Make a suspect instance eligible as a coordinator again."""
        self.suspects.discard(name)

    def avoid(self, name, seconds):
        """Exclude an instance as a coordinator for some seconds."""
        self._avoid_until_by_name[name] = self.clock() + seconds

    def is_serving(self, name):
        """Return whether an instance is neither leaving nor out of service."""
        return not (
            self.by_name[name].leaving
            or name in self._leaving
            or name in self._out_of_service
        )

    def coordinators(self, pool):
        """Return the instances that may coordinate a pool, by descending rank.

        If there is none, only this instance is returned.
        """
        now = self.clock()
        reachable = [
            name
            for name in self._serving()
            if name not in self.suspects
            and self._avoid_until_by_name.get(name, -math.inf) <= now
        ]
        return rank(pool, reachable or [self.own.name])

    def preferred_coordinator(self, pool):
        """Return the highest ranked coordinator of a pool, including suspect ones."""
        return rank(pool, self._serving())[0]

    def relays(self):
        """Return the relays from which this instance gets its evidence."""
        fleet = self._fleet_relays()
        if (
            len(self.by_name) <= MAX_SINGLE_LEVEL_INSTANCES
            or self.own.name in self._local_relays()
        ):
            return fleet
        return self._local_relays()

    def is_relay(self):
        """Return whether this instance watches the configuration service."""
        return self.own.name in self._fleet_relays() or (
            len(self.by_name) > MAX_SINGLE_LEVEL_INSTANCES
            and self.own.name in self._local_relays()
        )

    def required_links(self, pools):
        """Return the peers that need a link, apart from the coordinators in use.

        These are the relays, and the suspect instances that are preferred coordinators:
        a link to them shows whether they can be trusted again.
        """
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
