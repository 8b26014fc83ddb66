"""Target choices."""

import itertools
import math
from collections import OrderedDict

import xxhash

from almondglade.coordinator.choices import Candidate, TargetChoice

# Part of a target's limit that is used before a further target is.
COMFORT_SHARE = 0.6
LEARNING_LIMIT = 4
# A target used within this long counts as warm.
WARM_SECONDS = 5.0
# Requests in progress are averaged over about this long.
SMOOTHING_SECONDS = 3.0
# A target that was a candidate within this long, and is none now, is full.
SEEN_SECONDS = 10.0
# A pace of up to this times the best is near enough for a cached prefix.
NEAR_FINISH = 2.0
MAX_PREFIXES = 4096
# Targets remembered for one prefix.
MAX_HOLDERS = 3


class PrefixTable:
    """Which targets have run a prompt prefix, the latest one first.

    The oldest prefixes are dropped. A new coordinator starts with an empty table;
    rendezvous hashing decides between targets of equal load.
    """

    def __init__(self):
        self.targets_by_prefix: OrderedDict[int, list[str]] = OrderedDict()

    def place(self, prefix, candidates):
        """Return the candidate for a prefix and remember it."""
        by_target = {c.target: c for c in candidates}
        holders = self.targets_by_prefix.setdefault(prefix, [])
        self.targets_by_prefix.move_to_end(prefix)
        chosen = next((name for name in holders if name in by_target), None)
        if chosen is None:
            chosen = max(
                candidates,
                key=lambda c: (-c.running / c.allowed, rendezvous(prefix, c.target)),
            ).target
        else:
            holders.remove(chosen)
        holders.insert(0, chosen)
        del holders[MAX_HOLDERS:]
        if len(self.targets_by_prefix) > MAX_PREFIXES:
            self.targets_by_prefix.popitem(last=False)
        return by_target[chosen]

    def forget(self, target):
        """Drop a target whose cache is lost."""
        for holders in self.targets_by_prefix.values():
            if target in holders:
                holders.remove(target)


class ExpectedFinish(TargetChoice):
    """Choose by expected finish among the fewest targets that carry the load.

    Targets are filled in a fixed order, the recently used and faster first, up
    to a comfortable part of their limits. Among those in use whose expected
    finish is near the best, a prompt prefix goes where it ran before, so that
    its cached tokens are found again; a target that is full or slow is passed
    over, which spreads a hot prefix.
    """

    name = "expected-finish"

    def __init__(self, clock, rng):
        super().__init__(clock, rng)
        self.used_at_by_target: dict[str, float] = {}
        self.seen_by_target: dict[str, tuple[float, Candidate]] = {}
        self.pace_by_target: dict[str, float] = {}
        self.smoothed_running = 0.0
        self.smoothed_at = clock()
        self.prefixes = PrefixTable()

    def choose(self, demand, candidates):
        """Return the candidate to use."""
        now = self.clock()
        self.seen_by_target |= {c.target: (now, c) for c in candidates}
        for candidate in candidates:
            if candidate.baseline > 0:
                known = self.pace_by_target.get(candidate.target, math.inf)
                self.pace_by_target[candidate.target] = min(known, candidate.baseline)
        near = nearest_finish(self._in_use(now, candidates))
        if demand.prefix:
            chosen = self.prefixes.place(demand.prefix, near)
        else:
            chosen = min(near, key=lambda c: self._order(now, c))
        self.used_at_by_target[chosen.target] = now
        return chosen

    def forget(self, target):
        """Drop what is known of a target that restarted or went away."""
        self.used_at_by_target.pop(target, None)
        self.seen_by_target.pop(target, None)
        self.pace_by_target.pop(target, None)
        self.prefixes.forget(target)

    def _in_use(self, now, candidates):
        """Return the candidates among the fewest that carry the load."""
        known = {
            name: candidate
            for name, (seen, candidate) in self.seen_by_target.items()
            if now - seen < SEEN_SECONDS
        }
        free = {c.target for c in candidates}
        running = self._smooth(
            now,
            1
            + sum(c.running if c.target in free else c.allowed for c in known.values()),
        )
        ordered = sorted(known.values(), key=lambda c: self._order(now, c))
        room = itertools.accumulate((comfort(c) for c in ordered), initial=0.0)
        needed = [
            c for c, before in zip(ordered, room, strict=False) if before <= running
        ]
        names = {c.target for c in needed}
        return [c for c in candidates if c.target in names] or candidates

    def _smooth(self, now, running):
        share = 1 - math.exp((self.smoothed_at - now) / SMOOTHING_SECONDS)
        self.smoothed_running += share * (running - self.smoothed_running)
        self.smoothed_at = now
        return self.smoothed_running

    def _order(self, now, candidate):
        used = self.used_at_by_target.get(candidate.target, -math.inf)
        return (
            now - used > WARM_SECONDS,
            self._speed_class(candidate.target),
            candidate.target,
        )

    def _speed_class(self, target):
        """Return 0 for the fastest targets, 1 for about half their speed and so on.

        The paces at the lowest concurrency are compared, coarsely, so that the
        order does not change with the load.
        """
        pace = self.pace_by_target.get(target)
        if pace is None:
            return math.inf
        return round(math.log2(pace / min(self.pace_by_target.values())))


def comfort(candidate):
    """Return how many requests a target takes before a further one is used.

    A small limit is one that is still being learnt, and grows only in use.
    """
    allowed = candidate.allowed
    return max(COMFORT_SHARE * allowed, min(allowed, LEARNING_LIMIT))


def nearest_finish(candidates):
    """Return the candidates whose expected finish is near the best.

    The pace of a candidate already reflects its running requests, since an
    engine runs them side by side. One without a known pace counts as fast as
    the fastest, or it would never be known.
    """
    paces = [c.baseline for c in candidates if c.baseline > 0]
    best = min(paces, default=0.0)
    return [c for c in candidates if c.baseline <= best * NEAR_FINISH]


def rendezvous(prefix, target):
    """Return the weight of a target for a prefix."""
    return xxhash.xxh64_intdigest(target.encode(), seed=prefix)


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
