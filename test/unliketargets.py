"""Replay requests on unlike targets that turn slower for moments of some 100 ms."""

import heapq
import itertools
import random
import statistics

from almondglade.placement.moments import TargetLoad

from .placing import make_pools, record, ticket

SLOTS = 6
# Work in seconds on the fastest target: until the first bytes, and until the end.
FIRST_SECONDS = 0.045
HOLD_SECONDS = 0.09
SLOWDOWN = 2.5
SLOW_SHARE = 0.25
RUN_SECONDS = 10.0
SPEED_BY_TARGET = {f"t{n}": 1.0 + 2.0 * n / 8 for n in range(9)}


def slow_moments(rng):
    """Return the (start, end) of a target's slow moments of 100 to 300 ms."""
    moments, end = [], 0.0
    while end < 2 * RUN_SECONDS:
        length = rng.uniform(0.1, 0.3)
        start = end + rng.expovariate(SLOW_SHARE / (1 - SLOW_SHARE) / length)
        end = start + length
        moments.append((start, end))
    return moments


def ends_at(moments, start, work):
    """Return when a target has done some work that it begins at a time."""
    for slow_from, slow_until in moments:
        if slow_until <= start:
            continue
        start_of_slow = max(start, slow_from)
        if work <= start_of_slow - start:
            break
        work -= start_of_slow - start
        if work * SLOWDOWN <= slow_until - start_of_slow:
            return start_of_slow + work * SLOWDOWN
        work -= (slow_until - start_of_slow) / SLOWDOWN
        start = slow_until
    return start + work


def replay_moments(seed, load=0.9, is_enabled=True, said=None, liars=9):
    """Return the times from arrival to the first bytes, in seconds, sorted.

    Parameters
    ----------
    load : float
        Share of the targets' capacity that is asked for.
    said : float or None
        Relative duration that targets always state; None states the true one.
    liars : int
        How many targets do so, the fastest first.
    """
    rng = random.Random(seed)
    moments_by_target = {name: slow_moments(rng) for name in SPEED_BY_TARGET}
    pools = make_pools(*(record(name, slots=SLOTS) for name in SPEED_BY_TARGET))
    pools.moments.is_enabled = is_enabled
    liar_names = sorted(SPEED_BY_TARGET)[:liars]
    slow_mean = 1.0 + (SLOWDOWN - 1.0) * SLOW_SHARE
    capacity = SLOTS / HOLD_SECONDS / slow_mean
    rate = load * capacity * sum(1 / speed for speed in SPEED_BY_TARGET.values())
    numbers, now, events, times = itertools.count(), 0.0, [], []
    while now < RUN_SECONDS:
        now += rng.expovariate(rate)
        heapq.heappush(events, (now, next(numbers), "arrive", None, 0.0))
    while events:
        now, _, event, entry, seconds = heapq.heappop(events)
        if event == "arrive":
            pools.enqueue(ticket(arrived_at=now), now)
        elif event == "end":
            pools.release(entry, seconds, now)
        else:
            state = pools.targets.state_by_target[entry.target]
            state.health.record_success(now, seconds / FIRST_SECONDS)
            moments = moments_by_target[entry.target]
            is_slow = any(start <= now < end for start, end in moments)
            duration = SLOWDOWN if is_slow else 1.0
            if said and entry.target in liar_names:
                duration = said
            word = TargetLoad(state.running_here, 0, SLOTS, duration)
            incarnation = state.record.incarnation
            pools.moments.record_answer(incarnation, word, True, now)
        for granted, _ in pools.match(now):
            moments = moments_by_target[granted.target]
            speed = SPEED_BY_TARGET[granted.target]
            for kind, work in (("first", FIRST_SECONDS), ("end", HOLD_SECONDS)):
                at = ends_at(moments, now, work * speed)
                heapq.heappush(events, (at, next(numbers), kind, granted, at - now))
                if kind == "first":
                    times.append(at - granted.arrived_at)
    return sorted(times)


def quantiles(seeds, **options):
    """Return the median and the 99th percentile over several replays."""
    times = itertools.chain.from_iterable(
        replay_moments(seed, **options) for seed in seeds
    )
    cuts = statistics.quantiles(times, n=100)
    return cuts[49], cuts[98]
