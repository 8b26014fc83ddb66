"""Membership and reports of the gossip protocol, and the number of its messages."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from almondglade.gossip.codec import encode
from almondglade.gossip.fleet import (
    JOIN_SECONDS,
    MAX_FULL_MESH_INSTANCES,
    GossipProtocol,
)
from almondglade.gossip.messages import Report, SharedState
from almondglade.placement.allowance import Scope
from almondglade.placement.coordination import Coordinators

DATA_CENTRES = ("north", "south", "east", "west")
STALE_SEED = "10.9.9.9"
CONVERGE_SECONDS = 6.0
FIRST_INCARNATION = 10_000


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time: its clock jumps to the next timer."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self._selector.select = self._advance_time

    def time(self):
        """Return the simulated time in seconds."""
        return self.now

    def _advance_time(self, timeout):
        self.now += timeout or 0.0
        return []


def now():
    """Return the time of the running loop in seconds."""
    return asyncio.get_running_loop().time()


class FakeExchange:
    """Tracks the instances, and records sender and scope of received shared state."""

    def __init__(self, name, data_centre):
        self.name, self.data_centre = name, data_centre
        self.leaving = False
        self.suspects = SimpleNamespace(
            recent_reports=lambda: (), reports_for_new_peer=lambda: ()
        )
        self.limits = SimpleNamespace(messages=lambda: ())
        self.coordinators = Coordinators(name)
        self.receivers = set()
        self.received_reports = []
        self.received_states = []
        self.incarnation = FIRST_INCARNATION
        self.is_full_mesh = True

    def report_receivers(self):
        return set(self.receivers), 0.5

    def next_report_seconds(self):
        return 0.5

    def has_moments(self):
        return False

    def relay(self, data_centre):
        return self.coordinators.choose("", now(), data_centre)

    def mark_unresponsive(self, name):
        self.coordinators.mark_unresponsive(name, now())

    def set_instances(self, info_by_instance, is_full_mesh):
        self.is_full_mesh = is_full_mesh
        self.coordinators.set_instances(sorted(info_by_instance), info_by_instance)

    def coordinators_in_use(self):
        return set()

    def make_report(self, sequence_number, scope=None, receiver="", with_stats=False):
        shared_state = SharedState(scope=scope) if scope is not None else None
        return Report(
            self.name,
            self.data_centre,
            self.incarnation,
            sequence_number,
            shared_state=shared_state,
        )

    def handle_report(self, report):
        if report.shared_state is None:
            self.received_reports.append(report.instance)
        else:
            self.received_states.append((report.instance, report.shared_state.scope))


@dataclass
class SimulatedNetwork:
    """Delivers datagrams between the instances of one loop and counts them.

    Attributes
    ----------
    unreachable : set of str
        Addresses that neither send nor receive.
    """

    gossip_by_address: dict = field(default_factory=dict)
    sent: int = 0
    bytes: int = 0
    largest: int = 0
    unreachable: set = field(default_factory=set)

    def transport(self, sender):
        return SimpleNamespace(
            sendto=lambda data, address: self._deliver(sender, data, address[0]),
            close=lambda: None,
        )

    def _deliver(self, sender, data, address):
        self.sent += 1
        self.bytes += len(data)
        self.largest = max(self.largest, len(data))
        receiver = self.gossip_by_address.get(address)
        if receiver is not None and not self.unreachable & {sender, address}:
            loop = asyncio.get_running_loop()
            loop.call_soon(receiver.datagram_received, data, (sender, 1))

    def start(self, number, seeds):
        """Start one instance; return its tasks."""
        address, name = f"10.0.{number // 250}.{number % 250 + 1}", f"e{number}"
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        settings = SimpleNamespace(
            instance=name,
            address=address,
            data_centre=data_centre,
            capacity=1.0,
            peer_port=1,
            seed_addresses=seeds,
        )
        exchange = FakeExchange(name, data_centre)
        gossip = GossipProtocol(settings, exchange, now, random.Random(number))
        gossip.connection_made(self.transport(address))
        self.gossip_by_address[address] = gossip
        return [
            asyncio.ensure_future(work)
            for work in (
                gossip._send_periodic_reports(),
                gossip._report_to_coordinators(),
                gossip._send_member_lists(),
            )
        ]


def run_fleet(count, scenario, make_network=SimulatedNetwork):
    """Run a scenario in a fleet with one live seed and two that no longer exist."""

    async def run():
        net = make_network()
        seeds = ("10.0.0.1", STALE_SEED, "10.9.9.8")
        tasks = [task for number in range(count) for task in net.start(number, seeds)]
        try:
            return await scenario(net, tasks, seeds)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        return runner.run(run())


async def wait_until_known(net, count):
    """Wait until each instance knows all others of a fleet of some size."""
    end = now() + CONVERGE_SECONDS
    while not all(
        len(gossip.live_peers()) >= count - 1
        for gossip in net.gossip_by_address.values()
    ):
        assert now() < end
        await asyncio.sleep(0.1)


async def send_rates(net, seconds=2.0):
    """Return the messages and bytes that an instance sends per second."""
    net.sent = net.bytes = 0
    await asyncio.sleep(seconds)
    count = len(net.gossip_by_address) * seconds
    return net.sent / count, net.bytes / count


def test_message_rate_of_an_instance_does_not_grow_with_the_fleet():
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, len(net.gossip_by_address))
        await asyncio.sleep(JOIN_SECONDS)
        return await send_rates(net)

    small, _ = run_fleet(24, scenario)
    large, size = run_fleet(120, scenario)
    assert large <= 1.6 * small
    # An instance may send 2 KB/s of control traffic.
    assert size <= 2048


def test_a_change_is_reported_at_once_only_to_the_coordinator_that_it_concerns():
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, 20)
        sender, concerned, other = list(net.gossip_by_address.values())[:3]
        names = {gossip.instance for gossip in (concerned, other)}
        sender.exchange.receivers = names
        # With the next report, and once more in the one after that.
        await asyncio.sleep(1.1)
        reports = [gossip.exchange.received_reports for gossip in (concerned, other)]
        for received in reports:
            assert sender.instance in received
            received.clear()
        for _ in range(5):
            sender.schedule_report({concerned.instance})
            await asyncio.sleep(0.01)
        assert [received.count(sender.instance) for received in reports] == [5, 0]
        sender.schedule_report()
        await asyncio.sleep(0.01)
        assert [received.count(sender.instance) for received in reports] == [6, 1]

    run_fleet(20, scenario)


def test_each_datagram_fits_into_one_packet():
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, len(net.gossip_by_address))
        return net.largest

    assert run_fleet(120, scenario) <= 1400


def test_a_new_instance_is_known_everywhere_despite_stale_seeds():
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, 40)
        tasks += net.start(40, seeds)
        await wait_until_known(net, 41)

    run_fleet(40, scenario)


# An instance that had just started took the whole fleet's retry budget for its own.
@pytest.mark.parametrize("count", [9, 40])
def test_an_instance_that_starts_knows_the_size_of_the_fleet_at_once(count):
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, count)
        await asyncio.sleep(JOIN_SECONDS)
        tasks += net.start(count, seeds)
        await asyncio.sleep(0.05)
        newest = list(net.gossip_by_address.values())[-1]
        return newest.max_instances_seen

    assert run_fleet(count, scenario) == count + 1


def test_shared_state_reaches_every_instance_once_through_relays():
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, 40)
        await asyncio.sleep(1.5)
        for gossip in net.gossip_by_address.values():
            gossip.exchange.received_states.clear()
        await asyncio.sleep(1.5)
        exchanges = [gossip.exchange for gossip in net.gossip_by_address.values()]
        return {each: each.relay(each.data_centre) for each in exchanges}

    relay_by_exchange = run_fleet(40, scenario)
    relays = set(relay_by_exchange.values())
    assert len(relays) == len(DATA_CENTRES)
    for exchange, relay in relay_by_exchange.items():
        assert not exchange.is_full_mesh
        senders = {
            name for name, scope in exchange.received_states if scope is Scope.OTHERS
        }
        if exchange.name in relays:
            assert not senders
            other_relays = {
                name
                for name, scope in exchange.received_states
                if scope is Scope.DATA_CENTRE
            }
            assert other_relays == relays - {exchange.name}
        else:
            assert senders == {relay}


def test_an_unresponsive_relay_is_replaced():
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, 40)
        await asyncio.sleep(1.5)
        member = net.gossip_by_address["10.0.0.2"]
        first = member.exchange.relay(member.info.data_centre)
        if first == member.instance:
            member = net.gossip_by_address["10.0.0.6"]
        (address,) = (
            address
            for address, gossip in net.gossip_by_address.items()
            if gossip.instance == first
        )
        net.unreachable.add(address)
        await asyncio.sleep(3.0)
        member.exchange.received_states.clear()
        await asyncio.sleep(1.2)
        return first, {name for name, _ in member.exchange.received_states}

    first, senders = run_fleet(40, scenario)
    assert first not in senders
    assert len(senders) == 1


@pytest.mark.parametrize("count", [3, MAX_FULL_MESH_INSTANCES])
def test_in_a_small_fleet_each_instance_reports_to_all_others(count):
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, count)
        await asyncio.sleep(1.2)
        return [gossip.exchange for gossip in net.gossip_by_address.values()]

    for exchange in run_fleet(count, scenario):
        senders = {
            name for name, scope in exchange.received_states if scope is Scope.OWN
        }
        others = {f"e{number}" for number in range(count)} - {exchange.name}
        assert senders == others


def test_a_leaving_instance_is_no_longer_chosen():
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, 24)
        leaving = net.gossip_by_address["10.0.0.2"]
        leaving.exchange.leaving = True
        report = Report(
            leaving.instance, "south", FIRST_INCARNATION, 10**6, leaving=True
        )
        leaving.exchange.make_report = lambda *args: report
        leaving.send_report_to_all()
        await asyncio.sleep(0.1)
        return [
            gossip.exchange.coordinators.instances
            for gossip in net.gossip_by_address.values()
            if gossip is not leaving
        ]

    assert all("e1" not in names for names in run_fleet(24, scenario))


def test_a_member_list_holds_the_instances_known_to_its_sender():
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, 8)
        gossip = net.gossip_by_address["10.0.0.1"]
        return gossip._member_list()

    member_list = run_fleet(8, scenario)
    names = [member.instance for member in member_list.members]
    assert names[0] == "e0"
    assert len(set(names)) == 8
    assert not list(itertools.filterfalse(bool, names))


def test_reports_after_a_restart_with_a_clock_set_back_are_applied():
    # Peers ordered the starts of an instance by its clock, and ignored all reports of
    # one that had started again while its clock was behind.
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, 3)
        await asyncio.sleep(1.2)
        restarted = net.gossip_by_address["10.0.0.2"]
        restarted.exchange.incarnation -= 4_000
        restarted._sequence_number = 0
        peer = net.gossip_by_address["10.0.0.1"]
        peer.exchange.received_states.clear()
        await asyncio.sleep(3.0)
        return peer.exchange.received_states

    assert ("e1", Scope.OWN) in run_fleet(3, scenario)


def test_a_report_of_an_earlier_start_is_dropped():
    async def scenario(net, tasks, seeds):
        await wait_until_known(net, 2)
        await asyncio.sleep(1.2)
        peer = net.gossip_by_address["10.0.0.1"]
        received = peer.exchange.received_states
        before = len(received)
        late = Report("e1", "south", 0, 10**6, shared_state=SharedState())
        peer.datagram_received(encode(late), ("10.0.0.2", 1))
        return len(received) - before

    assert run_fleet(2, scenario) == 0
