"""A data centre taken out of service receives no new work after a few seconds.

In each case some instances have a fault while all of them are under load. The tests
check the time of each dispatch as recorded by the stand-in targets.
"""

import signal
import threading
import time
from contextlib import contextmanager

import orjson
import pytest
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from bench.fleet import LOOPBACK, Fleet, sample_declarations

from .support.relay import Relay

MAX_STOP_SECONDS = 3.0
FAULT_SECONDS = 5.0
NAMES = ("e1", "e2", "e3", "e4")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(sample_declarations(), tmp_path_factory.mktemp("logs")) as fleet:
        fleet.start_target("b1", "bookings", "muc-a")
        fleet.start_target("b2", "bookings", "muc-b")
        for name in NAMES:
            fleet.start_instance(name, "muc-a")
        fleet.list_instances()
        fleet.await_ready(fleet.publish())
        yield fleet


@contextmanager
def load(fleet, names=NAMES):
    """Send requests through all instances concurrently."""
    stop = threading.Event()

    def send(name):
        while not stop.wait(0.03):
            try:
                send_booking(fleet, name)
            except (HTTPError, OSError):
                continue

    threads = [threading.Thread(target=send, args=(n,)) for n in names for _ in "12"]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop.set()
        for thread in threads:
            thread.join()


def set_data_centre_state(fleet, name, state):
    """Publish the state of a data centre; return the version and time of acceptance."""
    fleet.declarations["data_centres"][name] = {"state": state}
    version = fleet.publish()
    return version, time.time()


def dispatch_delays_after(fleet, target, since):
    return [at - since for at in fleet.ledger(target)["times"] if at > since]


def configuration_version(fleet, name):
    return fleet.dump(name)["configuration"]["version"]


def wait_until(condition, seconds=15.0):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "the condition did not hold in time"
        time.sleep(0.05)


def is_serving(fleet, name):
    try:
        return send_booking(fleet, name).status == 200
    except (HTTPError, OSError):
        return False


def send_booking(fleet, name):
    return fleet.http.request(
        "POST",
        fleet.instances_by_id[name].url + "/bookings/slots/1",
        body=b"{}",
        headers={"Authorization": "Bearer key-partner-a"},
        timeout=Timeout(total=2.0),
    )


def set_store_state(fleet, caller, **changes):
    fleet.control("state", orjson.dumps({"caller": caller, **changes}))


def signal_instance(fleet, name, number):
    fleet.instances_by_id[name].process.send_signal(number)


@contextmanager
def no_fault(fleet):
    yield


@contextmanager
def service_down_or_stale_at_some(fleet):
    set_store_state(fleet, "e1", down=True)
    set_store_state(fleet, "e2", stale=True)
    yield


@contextmanager
def one_paused_during_the_change(fleet):
    signal_instance(fleet, "e3", signal.SIGSTOP)
    timer = threading.Timer(
        FAULT_SECONDS - 1, signal_instance, (fleet, "e3", signal.SIGCONT)
    )
    timer.start()
    yield
    timer.join()


@contextmanager
def one_partitioned(fleet):
    """Partition one instance from all peers and from the configuration service."""
    tcp_relays = partition(fleet, "e4")
    time.sleep(2.0)
    for relay in tcp_relays:
        relay.set("blackhole")
    set_store_state(fleet, "e4", down=True)
    yield
    for relay in tcp_relays:
        relay.close()


def partition(fleet, name):
    """List TCP relays in place of the addresses between one instance and the others."""
    tcp_relays = []

    def entry(member, through):
        if through:
            tcp_relays.append(Relay(member.peer_port))
        return {
            "ID": member.name,
            "Address": LOOPBACK,
            "Port": tcp_relays[-1].port if through else member.peer_port,
            "Meta": {"data_centre": member.data_centre, "state": "live"},
        }

    members = fleet.instances_by_id.values()
    set_store_state(fleet, name, instances=[entry(m, m.name != name) for m in members])
    fleet.control(
        "instances", orjson.dumps([entry(m, m.name == name) for m in members])
    )
    return tcp_relays


@pytest.mark.parametrize(
    "fault",
    [
        no_fault,
        service_down_or_stale_at_some,
        one_paused_during_the_change,
        one_partitioned,
    ],
)
def test_data_centre_out_of_service_gets_no_new_work(fleet, fault):
    with load(fleet):
        wait_until(lambda: dispatch_delays_after(fleet, "b2", time.time() - 0.5))
        with fault(fleet):
            version, changed_at = set_data_centre_state(fleet, "muc-b", "out")
            time.sleep(FAULT_SECONDS)
            delays = dispatch_delays_after(fleet, "b2", changed_at)
            assert max(delays, default=0.0) <= MAX_STOP_SECONDS
            # The other data centre still gets work, so there was load to misdirect.
            assert dispatch_delays_after(fleet, "b1", changed_at + MAX_STOP_SECONDS)
        fleet.control("state", b"{}")
        fleet.list_instances()
        wait_until(
            lambda: {configuration_version(fleet, name) for name in NAMES} == {version}
        )
        set_data_centre_state(fleet, "muc-b", "in")
        wait_until(lambda: dispatch_delays_after(fleet, "b2", time.time() - 0.5))
        wait_until(lambda: all(is_serving(fleet, name) for name in NAMES))
    fleet.await_ready()


def test_leaving_target_gets_no_new_work(fleet):
    target = fleet.declarations["targets"]["b2"]
    with load(fleet):
        wait_until(lambda: dispatch_delays_after(fleet, "b2", time.time() - 0.5))
        target["state"] = "leaving"
        fleet.publish()
        changed_at = time.time()
        time.sleep(FAULT_SECONDS)
        delays = dispatch_delays_after(fleet, "b2", changed_at)
        target["state"] = "serving"
        fleet.publish()
        assert max(delays, default=0.0) <= MAX_STOP_SECONDS
        wait_until(lambda: dispatch_delays_after(fleet, "b2", time.time() - 0.5))


def test_resumed_relays_connected_only_to_each_other_do_not_dispatch(fleet):
    """Two of three relays that were paused are a majority with an old document."""
    with load(fleet):
        wait_until(lambda: dispatch_delays_after(fleet, "b2", time.time() - 0.5))
        for name in ("e1", "e2"):
            signal_instance(fleet, name, signal.SIGSTOP)
        _, changed_at = set_data_centre_state(fleet, "muc-b", "out")
        time.sleep(FAULT_SECONDS)
        for name in ("e1", "e2"):
            signal_instance(fleet, name, signal.SIGCONT)
        time.sleep(2.0)
        delays = dispatch_delays_after(fleet, "b2", changed_at)
    set_data_centre_state(fleet, "muc-b", "in")
    assert max(delays, default=0.0) <= MAX_STOP_SECONDS


def test_new_instance_with_a_stale_service_gets_the_document_of_its_peers(fleet):
    fleet.await_ready()
    set_store_state(fleet, "e5", stale=True)
    version, changed_at = set_data_centre_state(fleet, "muc-b", "out")
    time.sleep(MAX_STOP_SECONDS)
    fleet.start_instance("e5", "muc-a")
    # Its list of instances is stale too: it contains the others, but not itself.
    with load(fleet, ["e5"]):
        wait_until(lambda: fleet.dump("e5")["ready"] if is_up(fleet, "e5") else False)
        assert configuration_version(fleet, "e5") == version
        wait_until(lambda: dispatch_delays_after(fleet, "b1", time.time() - 1.0))
    assert (
        max(dispatch_delays_after(fleet, "b2", changed_at), default=0)
        <= MAX_STOP_SECONDS
    )
    fleet.instances_by_id.pop("e5").process.kill()
    set_data_centre_state(fleet, "muc-b", "in")


def is_up(fleet, name):
    try:
        fleet.dump(name)
    except (HTTPError, OSError):
        return False
    return True
