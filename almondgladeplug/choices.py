"""Policies that choose the target of a demand."""

import itertools
import math
from collections import OrderedDict

import xxhash

from almondglade.coordinator.choices import Candidate, TargetChoice

# A further target is used only when this part of the limits of the others is in use.
SOFT_LIMIT_SHARE = 0.6
# Smallest soft limit, unless the limit itself is lower: a limit this low is still
# being learnt, and it grows only while it is in use.
MIN_SOFT_LIMIT = 4
# A target that was chosen within this long counts as warm.
WARM_SECONDS = 5.0
# Time constant of the moving average of the requests in progress.
SMOOTHING_SECONDS = 3.0
# A target that was a candidate within this long but is none now counts as full.
RECENT_CANDIDATE_SECONDS = 10.0
# A target whose pace (seconds per token) is at most this multiple of the best is
# fast enough to be chosen for its cached prefix.
NEAR_BEST_PACE_RATIO = 2.0
MAX_PREFIXES = 4096
MAX_TARGETS_PER_PREFIX = 3


class PrefixTable:
    """Targets that have run each prompt prefix, the most recent first.

    The least recently used prefixes are evicted. A new coordinator starts with an
    empty table; rendezvous hashing decides between equally loaded targets, in the
    same way on every coordinator.
    """

    def __init__(self):
        self.targets_by_prefix: OrderedDict[int, list[str]] = OrderedDict()

    def place(self, prefix, candidates):
        """Return the candidate to run a prefix and record it as its latest target."""
        by_target = {c.target: c for c in candidates}
        targets = self.targets_by_prefix.setdefault(prefix, [])
        self.targets_by_prefix.move_to_end(prefix)
        chosen = next((name for name in targets if name in by_target), None)
        if chosen is None:
            chosen = max(
                candidates,
                key=lambda c: (
                    -c.running / c.allowed,
                    rendezvous_weight(prefix, c.target),
                ),
            ).target
        else:
            targets.remove(chosen)
        targets.insert(0, chosen)
        del targets[MAX_TARGETS_PER_PREFIX:]
        if len(self.targets_by_prefix) > MAX_PREFIXES:
            self.targets_by_prefix.popitem(last=False)
        return by_target[chosen]

    def forget(self, target):
        """Remove a target whose cache is lost."""
        for targets in self.targets_by_prefix.values():
            if target in targets:
                targets.remove(target)


class ExpectedFinish(TargetChoice):
    """Chooses by expected finish among the fewest targets that carry the load.

    Targets are filled up to their soft limits in a fixed order, recently used and
    faster ones first. Among the targets in use whose expected finish is near the
    best, a prompt prefix is sent to one that has run it before, to reuse its cached
    tokens. A target that is full or slow is skipped, which spreads a hot prefix
    over several targets.
    """

    name = "expected-finish"

    def __init__(self, clock, rng):
        super().__init__(clock, rng)
        self.used_at_by_target: dict[str, float] = {}
        self.last_seen_by_target: dict[str, tuple[float, Candidate]] = {}
        self.pace_by_target: dict[str, float] = {}
        self.smoothed_running = 0.0
        self.smoothed_at = clock()
        self.prefixes = PrefixTable()

    def choose(self, demand, candidates):
        """Return the chosen candidate and count it as used now."""
        now = self.clock()
        self.last_seen_by_target |= {c.target: (now, c) for c in candidates}
        for candidate in candidates:
            if candidate.pace > 0:
                known = self.pace_by_target.get(candidate.target, math.inf)
                self.pace_by_target[candidate.target] = min(known, candidate.pace)
        near = with_near_best_pace(self._candidates_in_use(now, candidates))
        if demand.prefix:
            chosen = self.prefixes.place(demand.prefix, near)
        else:
            chosen = min(near, key=lambda c: self._sort_key(now, c))
        self.used_at_by_target[chosen.target] = now
        return chosen

    def forget(self, target):
        """Discard what is known about a target that restarted or was removed."""
        self.used_at_by_target.pop(target, None)
        self.last_seen_by_target.pop(target, None)
        self.pace_by_target.pop(target, None)
        self.prefixes.forget(target)

    def _candidates_in_use(self, now, candidates):
        """Return the candidates among the fewest targets that can carry the load.

        The load is the moving average of the requests in progress, including the
        one to place.
        """
        known = {
            name: candidate
            for name, (seen, candidate) in self.last_seen_by_target.items()
            if now - seen < RECENT_CANDIDATE_SECONDS
        }
        free = {c.target for c in candidates}
        running = self._smooth_running(
            now,
            1
            + sum(c.running if c.target in free else c.allowed for c in known.values()),
        )
        ordered = sorted(known.values(), key=lambda c: self._sort_key(now, c))
        filled_before = itertools.accumulate(
            (soft_limit(c) for c in ordered), initial=0.0
        )
        needed = [
            c
            for c, before in zip(ordered, filled_before, strict=False)
            if before <= running
        ]
        names = {c.target for c in needed}
        return [c for c in candidates if c.target in names] or candidates

    def _smooth_running(self, now, running):
        share = 1 - math.exp((self.smoothed_at - now) / SMOOTHING_SECONDS)
        self.smoothed_running += share * (running - self.smoothed_running)
        self.smoothed_at = now
        return self.smoothed_running

    def _sort_key(self, now, candidate):
        used = self.used_at_by_target.get(candidate.target, -math.inf)
        return (
            now - used > WARM_SECONDS,
            self._speed_class(candidate.target),
            candidate.target,
        )

    def _speed_class(self, target):
        """Return 0 for the fastest targets, 1 for about half their speed and so on.

        Compares the lowest paces seen, which are those at the lowest concurrency, in
        coarse steps, so that the order does not change with the load.
        """
        pace = self.pace_by_target.get(target)
        if pace is None:
            return math.inf
        return round(math.log2(pace / min(self.pace_by_target.values())))


def soft_limit(candidate):
    """Return how many requests a target runs before a further target is used."""
    allowed = candidate.allowed
    return max(SOFT_LIMIT_SHARE * allowed, min(allowed, MIN_SOFT_LIMIT))


def with_near_best_pace(candidates):
    """Return the candidates whose expected finish is near the best.

    Their paces (seconds per token) are compared. They already reflect the running
    requests, since an engine runs these concurrently. A candidate without a known
    pace counts as fast as the fastest; otherwise it would never be measured.
    """
    paces = [c.pace for c in candidates if c.pace > 0]
    best = min(paces, default=0.0)
    return [c for c in candidates if c.pace <= best * NEAR_BEST_PACE_RATIO]


def rendezvous_weight(prefix, target):
    """Return the rendezvous hashing weight of a target for a prefix."""
    return xxhash.xxh64_intdigest(target.encode(), seed=prefix)


class RandomChoice(TargetChoice):
    """Chooses at random; a baseline for comparisons."""

    name = "random"

    def choose(self, demand, candidates):
        """Return a random candidate."""
        return candidates[int(self.rng.integers(len(candidates)))]


class RoundRobin(TargetChoice):
    """Chooses the targets in turn; a baseline for comparisons."""

    name = "round-robin"

    def __init__(self, clock, rng):
        super().__init__(clock, rng)
        self.last_target = ""

    def choose(self, demand, candidates):
        """Return the candidate after the last chosen one, by target id."""
        later = (c for c in candidates if c.target > self.last_target)
        chosen = next(later, candidates[0])
        self.last_target = chosen.target
        return chosen


class LeastLoad(TargetChoice):
    """Chooses the target with the least reported load; a baseline for comparisons."""

    name = "least-load"

    def choose(self, demand, candidates):
        """Return the candidate with the least reported load."""
        return min(candidates, key=lambda c: (c.reported, c.running))
