"""Target choices."""

from almondglade.coordinator.choices import TargetChoice


class ExpectedFinish(TargetChoice):
    """Choose the target on which the request should end first."""

    name = "expected-finish"

    def choose(self, demand, candidates):
        """Return the candidate with the least expected work before it."""
        return min(
            candidates,
            key=lambda c: (c.baseline * (c.backlog + demand.tokens), c.running),
        )


class RandomChoice(TargetChoice):
    """Choose at random: a baseline."""

    name = "random"

    def choose(self, demand, candidates):
        """Return any candidate."""
        return candidates[int(self.rng.integers(len(candidates)))]


class RoundRobin(TargetChoice):
    """Choose in turn: a baseline."""

    name = "round-robin"

    def __init__(self, clock, rng):
        super().__init__(clock, rng)
        self.last = ""

    def choose(self, demand, candidates):
        """Return the candidate after the one chosen last."""
        later = (c for c in candidates if c.target > self.last)
        chosen = next(later, candidates[0])
        self.last = chosen.target
        return chosen


class LeastLoad(TargetChoice):
    """Choose the least load that the targets reported: a baseline."""

    name = "least-load"

    def choose(self, demand, candidates):
        """Return the candidate with the least reported load."""
        return min(candidates, key=lambda c: (c.reported, c.running))
