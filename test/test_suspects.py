"""How gateways share the requests that may crash targets, in simulated time."""

import asyncio
import random
import threading
from collections import Counter

import pytest

from almondglade.gateway.crashes import PROBE_DELAY_SECONDS
from almondglade.gateway.suspects import JOIN_TIMEOUT_SECONDS, SuspectTracker
from almondglade.gossip.codec import decode
from almondglade.gossip.fleet import MEMBER_LIST_FANOUT
from almondglade.gossip.messages import SuspectReport
from almondglade.metrics import Metrics
from almondglade.placement.suspects import (
    MAX_CRASHES_PER_SUSPECT,
    Crash,
    Suspicion,
)

from .test_fleet import (
    JOIN_SECONDS,
    SimulatedNetwork,
    now,
    run_fleet,
    wait_until_known,
)

REQUEST = 7
# The documented bounds: after three crashes and this time a request runs at most
# three times more.
CONTACT_SECONDS = 3.0
LOSS = 0.2


class LossyNetwork(SimulatedNetwork):
    """Loses a share of the datagrams; gives each instance a `SuspectTracker`."""

    loss = 0.0

    def __init__(self):
        super().__init__()
        self.rng = random.Random(1)
        self.suspect_reports_by_sender = Counter()

    def _deliver(self, sender, data, address):
        if isinstance(decode(data), SuspectReport):
            self.suspect_reports_by_sender[sender] += 1
        if self.rng.random() >= self.loss:
            super()._deliver(sender, data, address)
        else:
            self.sent += 1

    def start(self, number, seeds):
        tasks = super().start(number, seeds)
        gossip = list(self.gossip_by_address.values())[-1]
        tracker = SuspectTracker(gossip.instance, threading.Lock(), Metrics(), now)
        tracker.gossip = gossip
        gossip.exchange.suspects = tracker
        return tasks

    def tracker(self, number):
        return list(self.gossip_by_address.values())[number].exchange.suspects

    def trackers(self):
        return [each.exchange.suspects for each in self.gossip_by_address.values()]


def add_crashes(tracker, count, fingerprint=REQUEST):
    """Let a gateway find that targets ended while they ran a request."""
    with tracker.lock:
        for number in range(count):
            at = now() - 1.0 + 0.1 * number
            tracker._add(
                fingerprint, [Crash(f"t{number}", 1, at, at + 0.05)], now(), "a test"
            )
    tracker._send_soon([fingerprint])


def add_crash(tracker, crash):
    with tracker.lock:
        tracker._add(REQUEST, [crash], now(), "a test")
    tracker._send_soon([REQUEST])


def is_barred(tracker):
    return tracker.table.suspicion(REQUEST, now()) is Suspicion.BARRED


async def settle(net):
    await wait_until_known(net, len(net.gossip_by_address))
    await asyncio.sleep(JOIN_SECONDS)


@pytest.mark.parametrize("count", [9, 76])
def test_every_gateway_knows_a_barred_request_in_time_despite_lost_datagrams(count):
    async def scenario(net, tasks, seeds):
        await settle(net)
        net.loss = LOSS
        add_crashes(net.tracker(0), 3)
        await asyncio.sleep(CONTACT_SECONDS)
        return [is_barred(tracker) for tracker in net.trackers()]

    assert all(run_fleet(count, scenario, LossyNetwork))


# A gateway that lost the first report of a barred request ran it again after the limit.
@pytest.mark.parametrize("seed", (23, 24, 32, 33))
def test_every_gateway_knows_a_barred_request_whichever_datagrams_are_lost(seed):
    async def scenario(net, tasks, seeds):
        await settle(net)
        net.loss, net.rng = LOSS, random.Random(seed)
        add_crashes(net.tracker(seed), 3)
        await asyncio.sleep(CONTACT_SECONDS)
        return [is_barred(tracker) for tracker in net.trackers()]

    assert all(run_fleet(76, scenario, LossyNetwork))


# Each of 76 gateways told all others of each of its broken runs.
def test_a_crashed_data_centre_causes_one_message_to_each_peer():
    async def scenario(net, tasks, seeds):
        await settle(net)
        net.suspect_reports_by_sender.clear()
        for fingerprint in range(4):
            add_crashes(net.tracker(0), 1, fingerprint)
        await asyncio.sleep(0.2)
        return net.suspect_reports_by_sender["10.0.0.1"]

    # One to each peer, and one with a member list.
    assert run_fleet(76, scenario, LossyNetwork) <= 75 + MEMBER_LIST_FANOUT


# A gateway without contact to the others had crashed no targets yet, and let a request
# crash as many as all others together.
@pytest.mark.parametrize("seed", range(5))
def test_late_runs_stay_within_their_bound_with_one_gateway_cut_off(seed):
    rng = random.Random(seed)
    crashes = []

    async def send(tracker):
        """Send the crashing request as one attempt of a caller."""
        for _ in range(2):
            if is_barred(tracker):
                return
            is_isolated = tracker.table.suspicion(REQUEST, now()) is Suspicion.ISOLATED
            started_at = now()
            await asyncio.sleep(0.01)
            crashes.append(now())
            crash = Crash(f"t{len(crashes)}", 1, started_at, now())
            asyncio.get_running_loop().call_later(
                PROBE_DELAY_SECONDS, add_crash, tracker, crash
            )
            if is_isolated:
                return

    async def scenario(net, tasks, seeds):
        await settle(net)
        net.unreachable.update(list(net.gossip_by_address)[:1])
        for _ in range(60):
            await send(net.tracker(rng.randrange(9)))
            await asyncio.sleep(rng.uniform(0.1, 0.5))

    run_fleet(9, scenario, LossyNetwork)
    late = [at for at in crashes if at > crashes[2] + CONTACT_SECONDS]
    assert len(late) <= 3


@pytest.mark.parametrize("seconds", [1.0, 5.0])
def test_both_sides_of_a_partition_agree_when_it_is_over(seconds):
    async def scenario(net, tasks, seeds):
        await settle(net)
        cut_off = list(net.gossip_by_address)[:1]
        net.unreachable.update(cut_off)
        add_crashes(net.tracker(3), 3)
        await asyncio.sleep(seconds)
        assert not is_barred(net.tracker(0))
        net.unreachable.clear()
        await asyncio.sleep(CONTACT_SECONDS)
        return [is_barred(tracker) for tracker in net.trackers()]

    assert all(run_fleet(9, scenario, LossyNetwork))


def test_a_run_that_completes_anywhere_clears_a_request_everywhere():
    class Request:
        fingerprints = (REQUEST,)

    async def scenario(net, tasks, seeds):
        await settle(net)
        add_crashes(net.tracker(0), 3)
        await asyncio.sleep(1.0)
        net.tracker(5).record_completed(Request, "t9", now())
        await asyncio.sleep(1.0)
        return [tracker.table.has_crashed(REQUEST) for tracker in net.trackers()]

    assert not any(run_fleet(9, scenario, LossyNetwork))


def test_the_reports_of_many_suspects_fit_into_packets():
    async def scenario(net, tasks, seeds):
        await settle(net)
        for fingerprint in range(200):
            with net.tracker(0).lock:
                crashes = [
                    Crash(f"i-{number:010x}", 2**41, now() - 2, now() - 1)
                    for number in range(MAX_CRASHES_PER_SUSPECT)
                ]
                net.tracker(0)._add(2**63 + fingerprint, crashes, now(), "a test")
        net.largest = 0
        net.tracker(0)._send_soon(2**63 + each for each in range(200))
        await asyncio.sleep(1.0)
        return net.largest

    assert run_fleet(9, scenario, LossyNetwork) <= 1400


class RestartedNetwork(LossyNetwork):
    """Instances that start in a fleet that has run before."""

    def start(self, number, seeds):
        tasks = super().start(number, SEEDS)
        gossip = list(self.gossip_by_address.values())[-1]
        tracker = SuspectTracker(
            gossip.instance, threading.Lock(), Metrics(), now, first_start=False
        )
        tracker.gossip = gossip
        gossip.exchange.suspects = tracker
        return tasks


SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


async def count_informed(net):
    await asyncio.sleep(JOIN_TIMEOUT_SECONDS / 2)
    return sum(tracker._informed.is_set() for tracker in net.trackers())


# After a loss of all gateways, each waited in vain for one that knew the suspects.
@pytest.mark.parametrize("count", [3, 6, 9])
def test_gateways_that_all_start_again_do_not_wait_for_each_other(count):
    async def scenario(net, tasks, seeds):
        return await count_informed(net)

    assert run_fleet(count, scenario, RestartedNetwork) == count


# Those that run may know suspects, though no seed does.
def test_a_gateway_waits_while_a_seed_does_not_answer():
    async def scenario(net, tasks, seeds):
        net.unreachable.add(SEEDS[2])
        return await count_informed(net)

    assert run_fleet(6, scenario, RestartedNetwork) == 0


def test_a_gateway_that_starts_alone_hears_of_suspects_before_it_serves():
    async def scenario(net, tasks, seeds):
        await settle(net)
        add_crashes(net.tracker(4), 3)
        await asyncio.sleep(CONTACT_SECONDS)
        tasks += net.start(9, seeds)
        await asyncio.sleep(JOIN_TIMEOUT_SECONDS / 2)
        tracker = net.tracker(9)
        return tracker._informed.is_set(), is_barred(tracker)

    assert run_fleet(9, scenario, RestartedNetwork) == (True, True)
