"""Messages that carry state from one coordinator to the next through an entry."""

from dataclasses import dataclass

from .permits import Demand, TargetState


@dataclass(frozen=True)
class CarriedPermit:
    """A permit still running when its entry joins another coordinator.

    Parameters
    ----------
    age : float
        Seconds since the permit was granted.
    """

    demand: Demand
    target: str
    age: float


@dataclass(frozen=True)
class CarriedSpend:
    """Tokens and requests that a workspace recently used through one entry."""

    workspace: str
    tokens: float
    requests: float


@dataclass(frozen=True)
class CarriedSuspect:
    """A request fingerprint whose runs failed, and the targets they failed on.

    Parameters
    ----------
    age : float
        Seconds since the latest failed run.
    """

    fingerprint: int
    targets: tuple[str, ...]
    age: float


@dataclass(frozen=True)
class Join:
    """Sent when an entry starts to use a coordinator for a pool.

    Parameters
    ----------
    counted_after : float
        Seconds after which the entry's lease at its former coordinator has
        certainly expired. Only from then on does the entry count towards the share
        of this coordinator.
    """

    pool: str
    counted_after: float = 0.0
    permits: tuple[CarriedPermit, ...] = ()
    targets: tuple[TargetState, ...] = ()
    spends: tuple[CarriedSpend, ...] = ()
    suspects: tuple[CarriedSuspect, ...] = ()


@dataclass(frozen=True)
class Leave:
    """Sent when an entry stops using a coordinator for a pool."""

    pool: str


@dataclass(frozen=True)
class Rejoin:
    """Asks an entry to join again, as the coordinator does not know it as joined."""

    pool: str


@dataclass(frozen=True)
class PoolState:
    """State that entries carry from this coordinator to the next one.

    The full state is sent after an entry has joined, and only changes after that.
    """

    pool: str
    targets: tuple[TargetState, ...] = ()
    suspects: tuple[CarriedSuspect, ...] = ()

    def changed_since(self, previous):
        """Return the changes since a previous state, or None if there are none.

        If anything has changed, all suspects are included. A change of only the
        ages of suspects is ignored.
        """
        if previous is None:
            return self
        changed = tuple(set(self.targets) - set(previous.targets))
        if (
            not changed
            and self._suspects_without_age() == previous._suspects_without_age()
        ):
            return None
        return PoolState(self.pool, changed, self.suspects)

    def _suspects_without_age(self):
        return {(s.fingerprint, s.targets) for s in self.suspects}
