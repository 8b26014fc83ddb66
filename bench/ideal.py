"""First tokens of an ideal single queue before the known engines.

The queue knows each engine's batch and its next step and has no delays of its
own. It is worked out for the same arrivals as the measured load.
"""

import math
from dataclasses import dataclass, field

from .scenarios import KNEE, TOKENS_PER_STEP


@dataclass
class IdealEngine:
    """A batch that advances step by step; times in seconds.

    Parameters
    ----------
    steps_left : list of int
        One number for each running sequence.
    """

    profile: object
    next_step: float = math.inf
    steps_left: list[int] = field(default_factory=list)
    joining: list[float] = field(default_factory=list)

    def admit(self, now, arrival):
        """Take in an arrival; it joins the batch at the next step."""
        self.steps_left.append(math.ceil(arrival.tokens / TOKENS_PER_STEP))
        self.joining.append(arrival.at)
        if self.next_step == math.inf:
            self.next_step = now

    def advance(self):
        """Start the next step and return the first tokens that end with it."""
        now = self.next_step
        running = len(self.steps_left)
        ends = now + self.profile.step_time(max(1, running))
        firsts = [ends - at for at in self.joining]
        self.joining.clear()
        self.steps_left = [left - 1 for left in self.steps_left if left > 1]
        self.next_step = ends if self.steps_left else math.inf
        return firsts


def ideal_first_tokens(scenario, arrivals):
    """Return the seconds to the first token of every arrival."""
    engines = [IdealEngine(engine.profile) for engine in scenario.engines]
    waiting: list = []
    firsts: list[float] = []
    pending = list(reversed(arrivals))
    while pending or any(engine.next_step < math.inf for engine in engines):
        soonest = min(engines, key=lambda engine: engine.next_step)
        if pending and pending[-1].at <= soonest.next_step:
            now = pending[-1].at
            waiting.append(pending.pop())
        else:
            now = soonest.next_step
            firsts += soonest.advance()
        fill(engines, waiting, now)
    return firsts


def fill(engines, waiting, now):
    """Give waiting arrivals to the engines with the shortest next step."""
    while waiting:
        free = [e for e in engines if len(e.steps_left) < KNEE]
        if not free:
            return
        best = min(free, key=lambda e: e.profile.step_time(len(e.steps_left) + 1))
        best.admit(now, waiting.pop(0))
