"""Instances as the platform lists them, and who coordinates which pool."""

from dataclasses import dataclass

import xxhash


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


def rank(pool, names):
    """Order instances by rendezvous weight for a pool, highest first.

    Parameters
    ----------
    pool : str
        Service id.
    names : iterable of str
        Instance ids.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{pool}/{name}".encode()),
        reverse=True,
    )


class Membership:
    """The listed instances, and those this one cannot reach at present.

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
        self._avoid_until: dict[str, float] = {}

    def update(self, instances):
        """Take in a newer list from the platform."""
        self.by_name = {instance.name: instance for instance in instances}
        self.published = max(1, len(self.by_name))
        self.by_name.setdefault(self.own.name, self.own)

    def avoid(self, name, seconds):
        """Leave an unreachable instance out of the choice for a time."""
        self._avoid_until[name] = self.clock() + seconds

    def coordinators(self, pool):
        """Return the instances that may coordinate a pool, best first."""
        now = self.clock()
        names = [
            name
            for name, instance in self.by_name.items()
            if not instance.leaving and self._avoid_until.get(name, 0.0) <= now
        ]
        return rank(pool, names or [self.own.name])
