"""Choose the instance that gives out the places of a service.

Load pattern: instances are killed, paused or cut off while requests wait; those
that are left must agree on another coordinator within some round trips, without
a vote and without stored state.
"""

import xxhash

# A coordinator that has not answered for this long is passed over; some round
# trips and a pause of its interpreter.
SILENT_SECONDS = 0.08
# It is asked again after this.
SUSPECT_SECONDS = 1.0
NEVER = float("-inf")


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
        self.instances = [instance]
        self._heard_by_name: dict[str, float] = {}
        self._suspect_until: dict[str, float] = {}

    def choose(self, service, now):
        """Return the instance that gives the places of a service."""
        candidates = [
            name
            for name in self.instances
            if name == self.instance or now >= self._suspect_until.get(name, NEVER)
        ]
        return min(
            candidates,
            key=lambda name: xxhash.xxh64_intdigest(f"{service}\0{name}".encode()),
        )

    def heard_from(self, name, now):
        """Note that a coordinator has answered."""
        self._heard_by_name[name] = now
        self._suspect_until.pop(name, None)

    def heard_at(self, name):
        """Return when a coordinator last answered."""
        return self._heard_by_name.get(name, NEVER)

    def is_silent(self, name, asked_at, now):
        """Tell whether a coordinator has not answered since it was asked."""
        heard = max(asked_at, self.heard_at(name))
        return name != self.instance and now - heard > SILENT_SECONDS

    def pass_over(self, name, now):
        """Ask other instances for a while."""
        self._suspect_until[name] = now + SUSPECT_SECONDS
