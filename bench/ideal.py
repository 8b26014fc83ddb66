"""Simulate first-token times of an ideal single queue in front of the engines.

The queue knows each engine's batch and the time of its next step, and adds no delay
of its own. It is simulated for the same arrivals as the measured load.
"""

import math
from dataclasses import dataclass, field

from .scenarios import KNEE, TOKENS_PER_STEP


@dataclass
class IdealEngine:
    """An engine whose batch advances step by step; times in seconds.

    Parameters
    ----------
    steps_left : list of int
        Remaining steps of each sequence in the batch.
    joining : list of float
        Arrival times of the sequences that join the batch at the next step.
    """

    profile: object
    next_step: float = math.inf
    steps_left: list[int] = field(default_factory=list)
    joining: list[float] = field(default_factory=list)

    def admit(self, now, arrival):
        """Accept an arrival, which joins the batch at the next step."""
        self.steps_left.append(math.ceil(arrival.tokens / TOKENS_PER_STEP))
        self.joining.append(arrival.at)
        if self.next_step == math.inf:
            self.next_step = now

    def advance(self):
        """Run the next step; return the first-token times of sequences that joined."""
        now = self.next_step
        running = len(self.steps_left)
        ends = now + self.profile.step_time(max(1, running))
        first_token_times = [ends - at for at in self.joining]
        self.joining.clear()
        self.steps_left = [left - 1 for left in self.steps_left if left > 1]
        self.next_step = ends if self.steps_left else math.inf
        return first_token_times


def ideal_first_tokens(scenario, arrivals):
    """Return the time from each arrival to its first token, seconds."""
    engines = [IdealEngine(engine.profile) for engine in scenario.engines]
    waiting: list = []
    first_token_times: list[float] = []
    pending = list(reversed(arrivals))
    while pending or any(engine.next_step < math.inf for engine in engines):
        next_engine = min(engines, key=lambda engine: engine.next_step)
        if pending and pending[-1].at <= next_engine.next_step:
            now = pending[-1].at
            waiting.append(pending.pop())
        else:
            now = next_engine.next_step
            first_token_times += next_engine.advance()
        fill(engines, waiting, now)
    return first_token_times


def fill(engines, waiting, now):
    """Assign waiting arrivals, in order, to the engine with the shortest next step.

    An engine takes no more than `KNEE` sequences.
    """
    while waiting:
        free = [e for e in engines if len(e.steps_left) < KNEE]
        if not free:
            return
        best = min(free, key=lambda e: e.profile.step_time(len(e.steps_left) + 1))
        best.admit(now, waiting.pop(0))
