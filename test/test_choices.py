"""Policies that choose the target of a demand."""

from collections import Counter

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from almondglade.coordinator.choices import Candidate
from almondglade.messages import Demand
from almondgladeplug.choices import (
    NEAR_BEST_PACE_RATIO,
    ExpectedFinish,
    LeastLoad,
    RandomChoice,
    RoundRobin,
)

from .modelled import FakeClock

PACES = st.sampled_from([0.0, 0.003, 0.004, 0.012])
CANDIDATE_FIELDS = st.tuples(st.integers(0, 7), st.integers(8, 16), PACES)


def demand(prefix=0, tokens=100):
    return Demand("r", "drafts", "a", 0, output_tokens=tokens, prefix=prefix)


def make_policy(policy=ExpectedFinish):
    return policy(FakeClock(), np.random.default_rng(1))


@given(st.lists(CANDIDATE_FIELDS, min_size=1, max_size=6), st.integers(0, 2**64 - 1))
def test_every_policy_chooses_one_of_the_candidates(all_fields, prefix):
    candidates = [Candidate(f"d{n}", *fields) for n, fields in enumerate(all_fields)]
    for policy in (ExpectedFinish, RandomChoice, RoundRobin, LeastLoad):
        assert make_policy(policy).choose(demand(prefix), candidates) in candidates


def simulate(choice, paces, prefixes, load):
    """Keep a number of requests running and count the choices of each target."""
    counts, running = Counter(), []
    for number in range(400):
        running_by_target = Counter(running)
        candidates = [
            Candidate(name, running_by_target[name], 8, pace)
            for name, pace in paces.items()
            if running_by_target[name] < 8
        ]
        chosen = choice.choose(demand(prefixes[number % len(prefixes)]), candidates)
        counts[chosen.target] += 1
        running.append(chosen.target)
        running = running[-load:]
        choice.clock.now += 0.1
    return counts


def test_low_load_goes_to_one_target():
    paces = dict.fromkeys(["d1", "d2", "d3", "d4"], 0.004)
    assert len(simulate(make_policy(), paces, range(1, 20), load=3)) == 1


def test_high_load_starves_no_target():
    paces = {"d1": 0.004, "d2": 0.004, "d3": 0.016, "d4": 0.016}
    assert set(simulate(make_policy(), paces, range(1, 20), load=31)) == set(paces)


def test_a_prefix_reuses_its_target_and_a_hot_one_is_spread():
    paces = dict.fromkeys(["d1", "d2", "d3", "d4"], 0.004)
    choice = make_policy()
    simulate(choice, paces, range(1, 20), load=20)
    candidates = [Candidate(name, 4, 8, pace) for name, pace in paces.items()]
    chosen = {choice.choose(demand(7), candidates).target for _ in range(10)}
    assert len(chosen) == 1
    others = [c for c in candidates if c.target not in chosen]
    assert choice.choose(demand(7), others).target not in chosen
    assert len(simulate(make_policy(), paces, [7], load=20)) >= 3


def test_a_much_slower_target_is_used_only_when_the_fast_ones_are_full():
    candidates = [Candidate("d1", 5, 8, 0.004), Candidate("d2", 0, 8, 0.016)]
    assert 0.004 * NEAR_BEST_PACE_RATIO < 0.016
    assert make_policy().choose(demand(3), candidates).target == "d1"
