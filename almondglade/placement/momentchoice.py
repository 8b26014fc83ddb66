"""Weigh how fast targets are at this moment in the choice of one.

Load pattern: all instances see the same target as the fastest at the same moment. One
coordinator counts what it grants; instances without one must not all turn to it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .moments import EXPIRY_SECONDS


@dataclass(frozen=True)
class MomentaryChoice:
    """A choice of a target that what targets say of this moment has changed.

    Parameters
    ----------
    request : int
        Number of the request on its owner.
    owner, service, target, usual_target : str
        The chosen target and the one that had been chosen without.
    factor, usual_factor : float
        Factors of both.
    age, usual_age : float
        Ages in seconds of the words of both.
    """

    request: int
    owner: str
    service: str
    target: str
    usual_target: str
    factor: float
    usual_factor: float
    age: float
    usual_age: float


class MomentSelector:
    """Chooses among targets by their cost at this moment.

    Parameters
    ----------
    rng : random.Random or None
        Draws targets where no coordinator counts what others send; None always takes
        the best one.

    Attributes
    ----------
    on_changed : callable
        Called with the `MomentaryChoice` whenever one differs from the usual choice.
    """

    def __init__(self, rng=None):
        self.rng = rng
        self.on_changed: Callable[[MomentaryChoice], object] = lambda choice: None

    def choose(self, ticket, candidates, is_coordinated, now):
        """Return the state of the target for a request.

        Parameters
        ----------
        ticket : Ticket
        candidates : list of (float, str, TargetState)
            Usual cost, id and state of targets that may get it, at least one.
        is_coordinated : bool
            Whether this instance alone places requests on these targets. Otherwise
            it draws, as all others see the same target as the best one.
        """
        usual = min(candidates)[2]
        oldest = now - EXPIRY_SECONDS
        if all(state.moment.said_at < oldest for _, _, state in candidates):
            return usual
        factors = [
            state.moment.factor(now) if state.moment.said_at >= oldest else 1.0
            for _, _, state in candidates
        ]
        if all(factor == 1.0 for factor in factors):
            return usual
        weighed = [
            (cost * factor, name, state)
            for (cost, name, state), factor in zip(candidates, factors, strict=True)
        ]
        if not is_coordinated and self.rng is not None:
            shares = [1.0 / cost for cost, _, _ in weighed]
            weighed = self.rng.choices(weighed, shares, k=2)
        chosen = min(weighed)[2]
        if chosen is not usual:
            self.on_changed(
                MomentaryChoice(
                    ticket.number,
                    ticket.owner,
                    ticket.service,
                    chosen.record.id,
                    usual.record.id,
                    chosen.moment.factor(now),
                    usual.moment.factor(now),
                    chosen.moment.age(now),
                    usual.moment.age(now),
                )
            )
        return chosen
