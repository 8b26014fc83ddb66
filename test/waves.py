"""Replays demand that swings between data centres on the `Pools` of a large fleet."""

import itertools
import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field, replace

from almondglade.placement.coordination import InstanceInfo
from almondglade.placement.places import PeerLoad

from .placing import SERVICE, make_pools, record, ticket

DATA_CENTRES = ("east", "north", "west")
TIER = (0, 0)
STEP_SECONDS = 0.01
# Instances in each data centre.
INSTANCES = 2
MAX_WAIT_SECONDS = 0.7
# Loads of cells reach the instances this late, and this often.
REPORT_DELAY_SECONDS = 1.0
REPORT_SECONDS = 0.4


@dataclass
class Day:
    """What became of the requests of a replay."""

    sent: int = 0
    served: int = 0
    refused: int = 0
    waits: list = field(default_factory=list)
    moved: Counter = field(default_factory=Counter)
    moved_by_second: Counter = field(default_factory=Counter)
    changes: list = field(default_factory=list)
    shares: list = field(default_factory=list)

    @property
    def mean_wait(self):
        """Mean wait in seconds; who is refused counts with the longest wait."""
        waits = sum(self.waits) + self.refused * MAX_WAIT_SECONDS
        return waits / (self.served + self.refused)


@dataclass
class Load:
    """Demand of three data centres, whose waves come a third of a period apart.

    Parameters
    ----------
    mean, swing : float
        Mean of the slots that are asked for, as a share of all, and the height of
        the waves as a share of the mean.
    period : float
        Seconds of a wave.
    targets : int
        Targets of six slots in each data centre.
    is_even : bool
        Whether arrivals are evenly spaced; else at random.
    clump : int
        Requests that arrive together.
    hold_seconds : (float, float)
        Shortest and longest time for which a request holds a slot.
    """

    mean: float = 0.9
    swing: float = 0.55
    period: float = 17.0
    targets: int = 8
    is_even: bool = False
    clump: int = 1
    hold_seconds: tuple[float, float] = (0.2, 0.6)

    def slots(self, index, now):
        """Return the slots that a data centre's callers ask for."""
        phase = now / self.period + index / len(DATA_CENTRES)
        wave = 1.0 + self.swing * math.sin(2 * math.pi * phase)
        return 6 * self.targets * self.mean * wave


def make_fleet(load, is_active, rng, size=INSTANCES):
    """Return the `Pools` by instance of a fleet with some in each data centre."""
    info_by_instance = {
        f"{name}{number}": InstanceInfo(name)
        for name in DATA_CENTRES
        for number in range(size)
    }
    records = [
        record(f"t-{name}{number}", name)
        for name in DATA_CENTRES
        for number in range(load.targets)
    ]
    fleet = {}
    for instance, info in info_by_instance.items():
        pools = make_pools(*records, instance=instance, data_centre=info.data_centre)
        pools.coordinators.set_instances(sorted(info_by_instance), info_by_instance)
        pools.is_full_mesh = False
        pools.balances.is_active = is_active
        pools.cell_reports.rng = random.Random(rng.random())
        fleet[instance] = pools
    return fleet


def replay(
    load, seconds, seed, is_active, at_second=None, is_cut=lambda a, b, now: False
):
    """Replay a load; return the `Day`.

    Parameters
    ----------
    at_second : dict of int to callable
        Called with the fleet at those seconds.
    is_cut : callable
        Whether no message passes between two data centres.
    """
    # The arrivals are the same whatever is decided.
    rng = random.Random(seed)
    fleet = make_fleet(load, is_active, random.Random(seed))
    day, ends, delayed, held_by_ticket = Day(), {}, deque(), {}
    rest = dict.fromkeys(DATA_CENTRES, 0.0)
    for step in range(round(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if step % 100 == 0 and at_second and step // 100 in at_second:
            at_second[step // 100](fleet)
        for pools, entry, held in ends.pop(step, ()):
            pools.release(entry, held, now)
        for index, name in enumerate(DATA_CENTRES):
            mean_hold = sum(load.hold_seconds) / 2
            rest[name] += load.slots(index, now) / mean_hold * STEP_SECONDS
            count = (
                int(rest[name])
                if load.is_even
                else load.clump * _poisson(rng, rest[name] / load.clump)
            )
            rest[name] = rest[name] - count if load.is_even else 0.0
            for _ in range(count):
                pools = fleet[f"{name}{rng.randrange(INSTANCES)}"]
                held = rng.uniform(*load.hold_seconds)
                day.sent += 1
                is_refused = pools.expected_wait(SERVICE, TIER, now) > MAX_WAIT_SECONDS
                day.refused += is_refused
                if not is_refused:
                    entry = ticket(TIER, now)
                    pools.enqueue(entry, now)
                    held_by_ticket[entry] = held
                    day.moved_by_second[int(now)] += entry.cell_data_centre != name
        for pools in fleet.values():
            for entry in pools.waiting_here():
                if now - entry.arrived_at > MAX_WAIT_SECONDS:
                    day.refused += pools.withdraw(entry)
            if step % 10 == 0:
                pools.reassign_waiting(now)
                day.moved += pools.balances.take_moves()
                day.changes += pools.balances.take_changes()
                if is_active and step % 100 == 0:
                    balances = pools.balances.balance_by_cell.values()
                    day.shares += [
                        (
                            now,
                            b.cell,
                            sum(b.demand.given.values()),
                            b.demand,
                            b.is_giving,
                        )
                        for b in balances
                        if b.demand
                    ]
        _report(fleet, now, step, is_cut)
        for pools in fleet.values():
            for granted, number in pools.match(now):
                owner = fleet[granted.owner]
                entry = granted
                if number:
                    entry = owner.apply_grant(
                        pools.instance, number, granted.number, granted.target
                    )
                if entry is None:
                    continue
                day.served += 1
                day.waits.append(now - entry.arrived_at)
                held = held_by_ticket.pop(entry)
                end = step + max(1, round(held / STEP_SECONDS))
                ends.setdefault(end, []).append((owner, entry, held))
        if step % round(REPORT_SECONDS / STEP_SECONDS) == 0:
            loads = [(p, p.loads_here(now)) for p in fleet.values()]
            delayed.append((now, [(p, cells) for p, cells in loads if cells]))
        while delayed and now - delayed[0][0] >= REPORT_DELAY_SECONDS:
            sent_at, reports = delayed.popleft()
            for (sender, cells), pools in itertools.product(reports, fleet.values()):
                if not is_cut(sender.data_centre, pools.data_centre, now):
                    for cell_load in cells:
                        pools.cell_reports.record_load(
                            replace(cell_load, age=now - sent_at), now
                        )
    return day


def _report(fleet, now, step, is_cut):
    """Report each instance's requests to the coordinators, which answer."""
    for sender in fleet.values():
        waiting = sender.waiting_here()
        if not waiting and step % 5:
            continue
        names = sender.coordinators_in_use(now) - {sender.instance}
        if step % 50 == 0:
            names |= {p.instance for p in fleet.values()} - {sender.instance}
        for name in names:
            receiver = fleet[name]
            if is_cut(sender.data_centre, receiver.data_centre, now):
                continue
            load = PeerLoad(
                now,
                sender.running_here(),
                tuple(replace(entry) for entry in waiting),
                sender.latest_grant_by_coordinator.get(name, 0),
            )
            receiver.fleet.update(sender.instance, load)
            counts = dict(sender.balances.arrivals_by_service)
            receiver.record_arrivals(sender.instance, sender.data_centre, counts, now)
            sender.record_answer(name, now)
            for cell in {entry.cell for entry in waiting if entry.coordinator == name}:
                receiver.record_slot_request(cell, now)
                wait = receiver.cell_wait(cell, TIER, now)
                sender.cell_reports.record_wait(cell, TIER, wait, now)


def _poisson(rng, mean):
    limit, product = math.exp(-mean), rng.random()
    count = 0
    while product > limit:
        product *= rng.random()
        count += 1
    return count
