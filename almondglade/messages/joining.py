"""What an entry brings to a coordinator and takes on to the next one."""

from dataclasses import dataclass

from .permits import Demand, TargetState


@dataclass(frozen=True)
class CarriedPermit:
    """A permit still running when its entry joins another coordinator."""

    demand: Demand
    target: str
    age: float


@dataclass(frozen=True)
class CarriedSpend:
    """Tokens and requests a workspace drew lately through one entry."""

    workspace: str
    tokens: float
    requests: float


@dataclass(frozen=True)
class CarriedSuspect:
    """A fingerprint whose runs broke, and the targets they broke on.

    Parameters
    ----------
    age : float
        Seconds since the latest broken run.
    """

    fingerprint: int
    targets: tuple[str, ...]
    age: float


@dataclass(frozen=True)
class Join:
    """An entry starts to use a coordinator for a pool.

    Parameters
    ----------
    counted_after : float
        Seconds until the entry's lease at its former coordinator has
        certainly ended; only then does it count towards this one's share.
    """

    pool: str
    counted_after: float = 0.0
    permits: tuple[CarriedPermit, ...] = ()
    targets: tuple[TargetState, ...] = ()
    spends: tuple[CarriedSpend, ...] = ()
    suspects: tuple[CarriedSuspect, ...] = ()


@dataclass(frozen=True)
class Leave:
    """An entry stops using a coordinator for a pool."""

    pool: str


@dataclass(frozen=True)
class Rejoin:
    """Asks an entry that its coordinator does not count to join again."""

    pool: str


@dataclass(frozen=True)
class PoolState:
    """What a coordinator lets its entries carry to the next one.

    Only what changed is sent.
    """

    pool: str
    targets: tuple[TargetState, ...] = ()
    suspects: tuple[CarriedSuspect, ...] = ()

    def changed_since(self, told):
        """Return what differs from what was told before, or None.

        Suspects are always sent whole; their ages alone are no difference.
        """
        if told is None:
            return self
        changed = tuple(set(self.targets) - set(told.targets))
        if not changed and self._suspected() == told._suspected():
            return None
        return PoolState(self.pool, changed, self.suspects)

    def _suspected(self):
        return {(s.fingerprint, s.targets) for s in self.suspects}
