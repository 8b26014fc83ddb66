"""A small machine beside a large one accepts what it bears and no more."""

import math
from collections import deque
from types import SimpleNamespace

import numpy as np
import pytest

from almondglade.gateway.ownload import OwnLoad
from almondglade.gateway.settings import DEFAULT_FEATURES, Features
from almondglade.metrics import Metrics
from almondglade.outcome import Outcome, RequestError
from almondglade.placement.ownlimits import (
    INTERVAL_SECONDS,
    READY_AFTER_SECONDS,
    Machine,
    OwnLimits,
    can_be_spared,
)
from almondglade.platform.settings import SETTINGS_VARIABLE, load_gateway_settings

from .coordinating import FakeClock
from .gatewayfleet import settings_text

REFUSAL_SHARE = 0.1
PROBE_SECONDS = 0.1


class ModelledMachine:
    """One processor that serves requests in order, after those before them.

    Parameters
    ----------
    rate : float
        Requests per second that it bears.
    """

    def __init__(self, rate, **machine):
        self.work = 1.0 / rate
        self.limits = OwnLimits(Machine(**machine), 0.0)
        self.busy_until = 0.0
        self.waits = []
        self.served_at = []
        self.refused = 0
        self.queue = deque()

    def advance(self, now):
        """Serve what has arrived, as far as it can begin by a time."""
        while self.queue and max(self.queue[0][0], self.busy_until) <= now:
            self._serve(*self.queue.popleft())

    def _serve(self, at, size):
        begin = max(at, self.busy_until)
        self.limits.record_thread(begin - at)
        if self.limits.admit(begin):
            self.busy_until = begin + self.work
            self.waits.append((at, begin - at))
            self.served_at.append(at)
            self.limits.record_bytes(size)
        else:
            self.busy_until = begin + REFUSAL_SHARE * self.work
            self.refused += 1

    def probe(self, at):
        """Let the timer of the event loop fire."""
        self.advance(at)
        self.limits.record_timer(max(0.0, self.busy_until - at))
        self.limits.decide(at)


def replay(machines, rate, seconds, seed, moves=True, size=0):
    """Give each machine as many callers, and yield the time after each step.

    A balancer gives the callers of a machine that is not ready to the last one.
    """
    rng = np.random.default_rng(seed)
    for at in np.arange(0.0, seconds, PROBE_SECONDS):
        for machine in machines:
            ready = not (moves and machine.limits.resting)
            taker = machine if ready else machines[-1]
            offsets = rng.uniform(0.0, PROBE_SECONDS, rng.poisson(rate * PROBE_SECONDS))
            for offset in sorted(offsets.tolist()):
                taker.queue.append((at + offset, size))
        for machine in machines:
            machine.probe(at + PROBE_SECONDS)
        yield at


@pytest.mark.parametrize("seed", range(5))
def test_a_small_machine_that_gets_three_times_its_load_keeps_answering(seed):
    machine = ModelledMachine(20.0)
    list(replay([machine], 60.0, 40.0, seed, moves=False))
    late = [wait for at, wait in machine.waits if at > 5.0]
    assert np.quantile(late, 0.95) < 1.0
    # Refusals cost a tenth of a request each; the rest is used.
    assert sum(at > 5.0 for at in machine.served_at) > 0.5 * 20.0 * 35.0
    assert machine.refused


@pytest.mark.parametrize("seed", range(5))
def test_its_callers_move_to_the_large_machine_beside_it(seed):
    small, large = ModelledMachine(20.0), ModelledMachine(200.0)
    resting = [
        (at, small.limits.resting, large.limits.resting)
        for at in replay([small, large], 60.0, 30.0, seed)
    ]
    assert min(at for at, is_resting, _ in resting if is_resting) < 5.0
    assert not any(is_resting for _, _, is_resting in resting)
    assert not large.refused


def test_readiness_comes_back_with_hysteresis_after_the_load():
    machine = ModelledMachine(20.0)
    list(replay([machine], 60.0, 10.0, 1, moves=False))
    assert machine.limits.resting
    machine.busy_until = 0.0
    machine.queue.clear()
    back = None
    for at in np.arange(10.1, 20.0, PROBE_SECONDS):
        machine.probe(at)
        if back is None and not machine.limits.resting:
            back = at
    assert READY_AFTER_SECONDS <= back - 10.0 <= READY_AFTER_SECONDS + 3.0
    assert math.isinf(machine.limits.rate)


@pytest.mark.parametrize("seed", range(5))
def test_bursts_within_the_capacity_are_no_overload(seed):
    machine = ModelledMachine(50.0)
    rng = np.random.default_rng(seed)
    for step in range(300):
        at = step * PROBE_SECONDS
        if step % 20 == 0:
            for offset in sorted(rng.uniform(0.0, 0.05, 25).tolist()):
                machine.queue.append((at + offset, 0))
        machine.probe(at + PROBE_SECONDS)
    assert not machine.refused
    assert not machine.limits.resting


def test_a_slow_link_bounds_what_is_accepted():
    # 5 Mbit/s; three times as much is asked for.
    link_bytes = 5e6 / 8
    machine = ModelledMachine(1000.0, link_bytes=link_bytes)
    size = 20_000
    rate = 3 * link_bytes / size
    list(replay([machine], rate, 30.0, 3, moves=False, size=size))
    accepted = sum(at > 10.0 for at in machine.served_at) * size / 20.0
    assert 0.5 * link_bytes < accepted <= link_bytes


def test_requests_that_continue_a_stream_are_accepted():
    limits = OwnLimits(Machine(), 0.0)
    for _ in range(10):
        limits.record_timer(1.0)
    assert limits.decide(INTERVAL_SECONDS)
    assert not limits.admit(INTERVAL_SECONDS)
    assert limits.admit(INTERVAL_SECONDS, is_urgent=True)


def test_never_all_instances_of_a_data_centre_stop_being_ready():
    rng = np.random.default_rng(1)
    for size in range(1, 12):
        for _ in range(50):
            capacities = rng.choice([0.5, 1.0, 2.15, 2.15], size).tolist()
            spared = [
                can_be_spared(own, capacities[:index] + capacities[index + 1 :])
                for index, own in enumerate(capacities)
            ]
            assert 2 * sum(spared) <= size
            best = max(capacities)
            assert not any(
                is_spared and own == best
                for own, is_spared in zip(capacities, spared, strict=True)
            )
    assert can_be_spared(0.5, [2.15])
    assert not can_be_spared(2.15, [0.5])


UNLIMITED_LINK = Machine()


def make_load(features=DEFAULT_FEATURES, machine=UNLIMITED_LINK, peers=()):
    settings = SimpleNamespace(
        data_centre="north", capacity=0.5, features=features, machine=machine
    )
    clock = FakeClock()
    return OwnLoad(settings, lambda: peers, Metrics(), clock), clock


def overload(load, clock):
    for _ in range(40):
        clock.now += PROBE_SECONDS
        load.record_timer(0.5)


def test_a_refused_request_is_told_that_it_has_not_run():
    load, clock = make_load()
    overload(load, clock)
    # The first may come at once.
    load.check("r0", is_urgent=False)
    with pytest.raises(RequestError) as refusal:
        load.check("r1", is_urgent=False)
    error = refusal.value
    assert (error.code.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert error.retry_after
    load.check("r2", is_urgent=True)


@pytest.mark.parametrize(
    ("data_centre", "capacity", "ready"),
    [("north", 2.15, False), ("north", 0.5, True), ("south", 2.15, True)],
)
def test_only_a_better_instance_beside_it_lets_it_rest(data_centre, capacity, ready):
    peer = SimpleNamespace(data_centre=data_centre, capacity=capacity)
    load, clock = make_load(peers=[peer])
    assert load.is_ready()
    overload(load, clock)
    assert load.is_ready() is ready


@pytest.mark.parametrize(
    "terms", [{"features": Features(own_limits=False)}, {"machine": None}]
)
def test_without_a_declared_machine_or_switched_off_all_is_accepted(terms):
    load, clock = make_load(**terms)
    overload(load, clock)
    load.check("r1", is_urgent=False)
    assert load.is_ready()
    assert load.on_thread_wait is None


@pytest.mark.parametrize(
    ("limits", "machine"),
    [
        ({}, None),
        ({"linkMbps": 5.0}, Machine(625_000.0)),
        ({"cpuShare": 0.5}, Machine()),
    ],
)
def test_the_machine_is_what_the_settings_declare(tmp_path, limits, machine):
    listen = {"front": 1, "ready": 2}
    text = settings_text("127.0.0.1", listen, 3, [], "127.0.0.1:4", {}, limits=limits)
    path = tmp_path / "settings.toml"
    path.write_text(text)
    settings = load_gateway_settings(environment={SETTINGS_VARIABLE: str(path)})
    assert settings.machine == machine
