"""Who tells whom in a fleet, by how many messages, and who is known to whom."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

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


class ModelLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self._selector.select = self._skip

    def time(self):
        """Return the model's seconds."""
        return self.now

    def _skip(self, timeout):
        self.now += timeout or 0.0
        return []


def now():
    """Return the seconds of the running loop."""
    return asyncio.get_running_loop().time()


class FakeExchange:
    """Knows the instances and remembers who sent it shared state, and whose."""

    def __init__(self, name, data_centre):
        self.name, self.data_centre = name, data_centre
        self.leaving = False
        self.coordinators_of = Coordinators(name)
        self.told = []
        self.is_full_mesh = True

    def report_receivers(self):
        return set(), 0.5

    def relay(self, data_centre):
        return self.coordinators_of.choose("", now(), data_centre)

    def mark_unresponsive(self, name):
        self.coordinators_of.mark_unresponsive(name, now())

    def set_instances(self, info_by_instance, is_full_mesh):
        self.is_full_mesh = is_full_mesh
        self.coordinators_of.set_instances(sorted(info_by_instance), info_by_instance)

    def coordinators_in_use(self):
        return set()

    def make_report(self, sequence_number, scope=None, receiver="", with_stats=False):
        shared_state = SharedState(scope=scope) if scope is not None else None
        return Report(
            self.name, self.data_centre, 1, sequence_number, shared_state=shared_state
        )

    def handle_report(self, report):
        if report.shared_state is not None:
            self.told.append((report.instance, report.shared_state.scope))


@dataclass
class Net:
    """Delivers datagrams between fleets of one loop and counts them."""

    fleet_by_address: dict = field(default_factory=dict)
    sent: int = 0
    bytes: int = 0
    largest: int = 0
    cut: set = field(default_factory=set)

    def transport(self, sender):
        return SimpleNamespace(
            sendto=lambda data, address: self._deliver(sender, data, address[0]),
            close=lambda: None,
        )

    def _deliver(self, sender, data, address):
        self.sent += 1
        self.bytes += len(data)
        self.largest = max(self.largest, len(data))
        receiver = self.fleet_by_address.get(address)
        if receiver is not None and not self.cut & {sender, address}:
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
        fleet = GossipProtocol(settings, exchange, now, random.Random(number))
        fleet.connection_made(self.transport(address))
        self.fleet_by_address[address] = fleet
        return [
            asyncio.ensure_future(work)
            for work in (
                fleet._send_periodic_reports(),
                fleet._report_to_coordinators(),
                fleet._send_member_lists(),
            )
        ]


def play(count, script):
    """Run a fleet whose seeds are one live instance and two that are gone."""

    async def run():
        net = Net()
        seeds = ("10.0.0.1", STALE_SEED, "10.9.9.8")
        tasks = [task for number in range(count) for task in net.start(number, seeds)]
        try:
            return await script(net, tasks, seeds)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    with asyncio.Runner(loop_factory=ModelLoop) as runner:
        return runner.run(run())


async def until_known(net, count):
    """Wait until each instance knows of some number of others."""
    end = now() + CONVERGE_SECONDS
    while not all(
        len(fleet.live_peers()) >= count - 1 for fleet in net.fleet_by_address.values()
    ):
        assert now() < end
        await asyncio.sleep(0.1)


async def rates(net, seconds=2.0):
    """Return the messages and bytes that one instance sends a second."""
    net.sent = net.bytes = 0
    await asyncio.sleep(seconds)
    count = len(net.fleet_by_address) * seconds
    return net.sent / count, net.bytes / count


def test_messages_of_one_instance_do_not_grow_with_the_fleet():
    async def script(net, tasks, seeds):
        await until_known(net, len(net.fleet_by_address))
        await asyncio.sleep(JOIN_SECONDS)
        return await rates(net)

    small, _ = play(24, script)
    large, size = play(120, script)
    assert large <= 1.6 * small
    # A node has 2 KB/s for control.
    assert size <= 2048


def test_no_datagram_needs_two_packets():
    async def script(net, tasks, seeds):
        await until_known(net, len(net.fleet_by_address))
        return net.largest

    assert play(120, script) <= 1400


def test_a_late_instance_is_known_everywhere_in_spite_of_stale_seeds():
    async def script(net, tasks, seeds):
        await until_known(net, 40)
        tasks += net.start(40, seeds)
        await until_known(net, 41)

    play(40, script)


def test_shared_state_reaches_every_instance_once_through_relays():
    async def script(net, tasks, seeds):
        await until_known(net, 40)
        await asyncio.sleep(1.5)
        for fleet in net.fleet_by_address.values():
            fleet.exchange.told.clear()
        await asyncio.sleep(1.5)
        exchanges = [fleet.exchange for fleet in net.fleet_by_address.values()]
        return {each: each.relay(each.data_centre) for each in exchanges}

    relay_by_exchange = play(40, script)
    relays = set(relay_by_exchange.values())
    assert len(relays) == len(DATA_CENTRES)
    for exchange, relay in relay_by_exchange.items():
        assert not exchange.is_full_mesh
        tellers = {name for name, scope in exchange.told if scope is Scope.OTHERS}
        if exchange.name in relays:
            assert not tellers
            far = {name for name, scope in exchange.told if scope is Scope.DATA_CENTRE}
            assert far == relays - {exchange.name}
        else:
            assert tellers == {relay}


def test_a_relay_that_falls_silent_is_replaced():
    async def script(net, tasks, seeds):
        await until_known(net, 40)
        await asyncio.sleep(1.5)
        member = net.fleet_by_address["10.0.0.2"]
        first = member.exchange.relay(member.info.data_centre)
        if first == member.instance:
            member = net.fleet_by_address["10.0.0.6"]
        (address,) = (
            address
            for address, fleet in net.fleet_by_address.items()
            if fleet.instance == first
        )
        net.cut.add(address)
        await asyncio.sleep(3.0)
        member.exchange.told.clear()
        await asyncio.sleep(1.2)
        return first, {name for name, _ in member.exchange.told}

    first, tellers = play(40, script)
    assert first not in tellers
    assert len(tellers) == 1


@pytest.mark.parametrize("count", [3, MAX_FULL_MESH_INSTANCES])
def test_in_a_small_fleet_each_tells_all_others(count):
    async def script(net, tasks, seeds):
        await until_known(net, count)
        await asyncio.sleep(1.2)
        return [fleet.exchange for fleet in net.fleet_by_address.values()]

    for exchange in play(count, script):
        tellers = {name for name, scope in exchange.told if scope is Scope.OWN}
        others = {f"e{number}" for number in range(count)} - {exchange.name}
        assert tellers == others


def test_an_instance_that_stops_is_no_longer_chosen():
    async def script(net, tasks, seeds):
        await until_known(net, 24)
        leaving = net.fleet_by_address["10.0.0.2"]
        leaving.exchange.leaving = True
        report = Report(leaving.instance, "south", 1, 10**6, leaving=True)
        leaving.exchange.make_report = lambda *args: report
        leaving.send_report_to_all()
        await asyncio.sleep(0.1)
        return [
            fleet.exchange.coordinators_of.instances
            for fleet in net.fleet_by_address.values()
            if fleet is not leaving
        ]

    assert all("e1" not in names for names in play(24, script))


def test_rosters_hold_what_the_sender_knows():
    async def script(net, tasks, seeds):
        await until_known(net, 8)
        fleet = net.fleet_by_address["10.0.0.1"]
        return fleet._member_list()

    member_list = play(8, script)
    names = [member.instance for member in member_list.members]
    assert names[0] == "e0"
    assert len(set(names)) == 8
    assert not list(itertools.filterfalse(bool, names))
