"""Targets that turn slower for moments, and what they say of it."""

import random
import threading
from collections import Counter
from dataclasses import replace

import msgpack
import pytest

from almondglade.dispatch.call import ResponseHead
from almondglade.gateway import momentary
from almondglade.gateway.momentary import MomentRecorder
from almondglade.gossip.codec import decode, encode
from almondglade.gossip.messages import Report
from almondglade.metrics import Metrics
from almondglade.placement.moments import (
    MAX_SHARED_PER_REPORT,
    MAX_SHARED_PER_SECOND,
    Moment,
    SharedMoment,
    TargetLoad,
)
from almondglade.platform.front import parse_target_response

from .placing import make_pools, record, ticket
from .unliketargets import quantiles

SEEDS = range(4)
# What a word that helps nobody may cost.
TOLERANCE = 1.1
USUAL = TargetLoad(1, 0, 6, 1.0)
SLOW = TargetLoad(1, 0, 6, 2.5)
UNUSABLE = ["1,0", "a,0,6,100", "1,0,6,inf", "1,0,6,nan", "-1,0,6,100", "1,0,6,-5"]
UNUSABLE += ["1,0,6,1e9", "1,0,6,10000", "1,0,6,1", "7,0,6,100", "0,0,0,100", ""]
UNUSABLE += ["9" * 400, "1,0,6,100,7", "1;0;6;100"]


def response_info(*values, status=200):
    headers = (("X-Response-Seal", "s"), *(("X-Server-Load", v) for v in values))
    return parse_target_response(ResponseHead(status, headers))


def say(pools, now, word_by_target, is_run=True):
    for target, word in word_by_target.items():
        incarnation = pools.targets.state_by_target[target].record.incarnation
        pools.moments.record_answer(incarnation, word, is_run, now)


def choose(pools, now, **changes):
    """Return the target of a new request, which ends at once."""
    entry = ticket(arrived_at=now, **changes)
    pools.enqueue(entry, now)
    assert [granted for granted, _ in pools.match(now)] == [entry]
    pools.release(entry, None, now)
    return entry.target


def test_the_first_bytes_come_no_later_with_the_true_word():
    for load in (0.6, 0.9):
        without = quantiles(SEEDS, load=load, is_enabled=False)
        with_word = quantiles(SEEDS, load=load)
        assert with_word[0] <= TOLERANCE * without[0]
        assert with_word[1] <= TOLERANCE * without[1]


@pytest.mark.parametrize("liars", [3, 9])
@pytest.mark.parametrize("percent", [1, 50, 100, 500, 10_000])
def test_a_word_that_is_always_the_same_costs_nothing(percent, liars):
    median, high = quantiles(SEEDS, said=percent / 100, liars=liars)
    usual_median, usual_high = quantiles(SEEDS, is_enabled=False)
    assert median <= TOLERANCE * usual_median
    assert high <= TOLERANCE * usual_high


def test_a_slow_moment_counts_while_it_lasts_and_leaves_no_target_empty():
    pools = make_pools(record("t1"), record("t2"))
    say(pools, 1.0, {"t1": SLOW, "t2": USUAL})
    assert choose(pools, 1.05) == "t2"
    moment = pools.targets.state_by_target["t1"].moment
    factors = [moment.factor(at) for at in (1.05, 1.3, 2.0)]
    assert factors == sorted(factors, reverse=True)
    assert factors[0] > 1.5 > factors[1] > factors[2] == 1.0
    assert choose(pools, 2.0) == "t1"


def test_only_what_this_start_of_a_target_says_counts():
    pools = make_pools(record("t1", started_at=2))
    assert not pools.moments.record_answer(("t1", 1), SLOW, True, 1.0)
    assert pools.moments.record_answer(("t1", 2), SLOW, True, 1.0)
    pools.set_targets([record("t1", started_at=3)])
    assert pools.targets.state_by_target["t1"].moment.factor(1.0) == 1.0


def test_an_older_word_does_not_replace_a_newer_one():
    moment = Moment()
    assert moment.record(SLOW, 1.0, 0)
    assert not moment.record(USUAL, 0.9, 0)
    assert moment.load == SLOW


def test_an_operator_can_turn_it_off():
    pools = make_pools(record("t1"), record("t2"))
    pools.moments.is_enabled = False
    say(pools, 1.0, {"t1": SLOW, "t2": USUAL})
    assert choose(pools, 1.0) == "t1"
    assert not pools.moments.take_shares("e2", lambda state: True, 1.0)


def test_three_figures_change_no_decision():
    pools = make_pools(record("t1"), record("t2"))
    say(pools, 1.0, {"t1": TargetLoad(6, 9, 6)})
    assert choose(pools, 1.0) == "t1"


def test_a_target_that_is_full_of_unknown_work_gets_nothing_for_a_moment():
    pools = make_pools(record("t1"), record("t2"))
    full = TargetLoad(6, 2, 6, 1.0)
    say(pools, 1.0, {"t1": full, "t2": USUAL}, is_run=False)
    assert choose(pools, 1.0) == "t2"
    say(pools, 1.0 + 1e-6, {"t2": full}, is_run=False)
    pools.enqueue(ticket(arrived_at=1.01), 1.01)
    assert not pools.match(1.01)
    assert len(pools.match(1.2)) == 1


def test_instances_without_coordinator_do_not_all_take_the_same_target():
    chosen = Counter()
    for number in range(60):
        pools = make_pools(*(record(f"t{n}") for n in range(6)), others=["e9"])
        pools.selector.moments.rng = random.Random(number)
        say(pools, 1.0, {f"t{n}": SLOW for n in range(5)} | {"t5": USUAL})
        states = [(state, 0) for state in pools.targets.state_by_target.values()]
        entry = ticket(coordinator="e9", owner="e1")
        state = pools.selector.choose(entry, states, frozenset(), 1.02)
        chosen[state.record.id] += 1
    assert len(chosen) == 6
    assert max(chosen, key=chosen.get) == "t5"
    assert chosen["t5"] < 45


def test_an_instance_that_is_cut_off_decides_by_its_own_targets_words():
    pools = make_pools(record("t1"), record("t2"))
    pools.is_full_mesh = False
    say(pools, 1.0, {"t1": replace(SLOW, running=6), "t2": USUAL})
    pools.enqueue(ticket(arrived_at=1.0), 1.0)
    granted = pools.match(1.0) or pools.match(6.0)
    assert len(granted) == 1


def test_words_reach_the_coordinator_once_and_bounded():
    records = [record(f"t{n:02}", started_at=5) for n in range(40)]
    sender, receiver = make_pools(*records), make_pools(*records, instance="e2")
    say(sender, 1.0, {entry.id: SLOW for entry in records})
    told = sender.moments.take_shares("e2", lambda state: True, 1.02)
    assert len(told) == MAX_SHARED_PER_REPORT
    report = Report("e1", "north", 1, 1, moments=told)
    assert len(encode(report)) - len(encode(Report("e1", "north", 1, 1))) < 300
    decoded = decode(encode(report))
    assert decoded.moments[0].age == pytest.approx(0.02)
    receiver.moments.record_shared(decoded.moments, 1.03)
    state = receiver.targets.state_by_target[told[0].target]
    assert state.moment.said_at == pytest.approx(1.01)
    again = [
        entry.target
        for _ in range(9)
        for entry in sender.moments.take_shares("e2", lambda state: True, 1.02)
    ]
    assert len({*again, *(entry.target for entry in told)}) == MAX_SHARED_PER_SECOND
    assert not sender.moments.take_shares("e2", lambda state: True, 1.4)
    assert not sender.moments.shares.is_any_due(1.4)


def test_earlier_and_later_releases_read_each_others_reports():
    moment = SharedMoment("t1", 5, SLOW, 0.02)
    report = Report("e1", "north", 1, 1, moments=(moment,))
    fields = msgpack.unpackb(encode(report))
    further = next(field for field in fields if field and type(field) is dict)
    further[""]["moments"][0].append("later")
    assert decode(msgpack.packb(fields)) == report
    del further[""]
    assert decode(msgpack.packb(fields)) == replace(report, moments=())


@pytest.mark.parametrize("value", UNUSABLE)
def test_figures_that_cannot_be_true_are_ignored(value):
    info = response_info(value)
    assert info.load is None
    assert info.is_load_unusable


def test_the_load_header_is_decoded_once_in_its_two_forms():
    assert response_info("3, 1,8").load == TargetLoad(3, 1, 8)
    assert response_info("3,1,8,250").load == TargetLoad(3, 1, 8, 2.5)
    assert response_info("1,0,6,100", "2,0,6,100").is_load_unusable
    for info in (response_info(), response_info("1,0,6,100", status=421)):
        assert info.load is None
        assert not info.is_load_unusable


def test_unusable_figures_give_one_line_for_a_target(monkeypatch):
    lines = []
    monkeypatch.setattr(
        momentary.log, "warning", lambda event, **fields: lines.append(fields["target"])
    )
    pools = make_pools(record("t1"), record("t2"))
    recorder = MomentRecorder(pools, threading.Lock(), Metrics(), lambda: 1.0)
    for name in ("t1", "t2", "t1", "t1"):
        recorder.record("r1", record(name), response_info("1,0,6,inf"))
    assert lines == ["t1", "t2"]
    recorder.record("r2", record("t1"), response_info("1,0,6,250"))
    assert pools.targets.state_by_target["t1"].moment.load == SLOW
