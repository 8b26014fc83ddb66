"""A data centre that is taken out receives no new work within seconds.

Each case is a fault at some instances while all of them are under load; what
counts is the time of each dispatch as the stand-ins saw it.
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

PROMISE_SECONDS = 3.0
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
    """Send requests through all instances at once."""
    over = threading.Event()

    def send(name):
        while not over.wait(0.03):
            try:
                book(fleet, name)
            except (HTTPError, OSError):
                continue

    threads = [threading.Thread(target=send, args=(n,)) for n in names for _ in "12"]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        over.set()
        for thread in threads:
            thread.join()


def set_centre(fleet, name, state):
    """Publish a change and return when it was accepted."""
    fleet.declarations["data_centres"][name] = {"state": state}
    version = fleet.publish()
    return version, time.time()


def dispatches_after(fleet, target, moment):
    return [at - moment for at in fleet.ledger(target)["times"] if at > moment]


def version_at(fleet, name):
    return fleet.dump(name)["configuration"]["version"]


def await_true(condition, seconds=15.0):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "it did not come about in time"
        time.sleep(0.05)


def serves(fleet, name):
    try:
        return book(fleet, name).status == 200
    except (HTTPError, OSError):
        return False


def book(fleet, name):
    return fleet.http.request(
        "POST",
        fleet.instances_by_id[name].url + "/bookings/slots/1",
        body=b"{}",
        headers={"Authorization": "Bearer key-partner-a"},
        timeout=Timeout(total=2.0),
    )


def state(fleet, caller, **changes):
    fleet.control("state", orjson.dumps({"caller": caller, **changes}))


def signal_instance(fleet, name, number):
    fleet.instances_by_id[name].process.send_signal(number)


@contextmanager
def healthy(fleet):
    yield


@contextmanager
def service_down_or_stale_at_some(fleet):
    state(fleet, "e1", down=True)
    state(fleet, "e2", stale=True)
    yield


@contextmanager
def one_frozen_through_the_change(fleet):
    signal_instance(fleet, "e3", signal.SIGSTOP)
    timer = threading.Timer(
        FAULT_SECONDS - 1, signal_instance, (fleet, "e3", signal.SIGCONT)
    )
    timer.start()
    yield
    timer.join()


@contextmanager
def one_cut_off(fleet):
    """Cut one instance off from all peers and from the service."""
    relays = cut_off(fleet, "e4")
    time.sleep(2.0)
    for relay in relays:
        relay.set("blackhole")
    state(fleet, "e4", down=True)
    yield
    for relay in relays:
        relay.close()


def cut_off(fleet, name):
    """List one instance through relays, and the others to it."""
    relays = []

    def entry(member, through):
        if through:
            relays.append(Relay(member.peer_port))
        return {
            "ID": member.name,
            "Address": LOOPBACK,
            "Port": relays[-1].port if through else member.peer_port,
            "Meta": {"data_centre": member.data_centre, "state": "live"},
        }

    members = fleet.instances_by_id.values()
    state(fleet, name, instances=[entry(m, m.name != name) for m in members])
    fleet.control(
        "instances", orjson.dumps([entry(m, m.name == name) for m in members])
    )
    return relays


@pytest.mark.parametrize(
    "fault",
    [
        healthy,
        service_down_or_stale_at_some,
        one_frozen_through_the_change,
        one_cut_off,
    ],
)
def test_a_data_centre_taken_out_gets_no_new_work(fleet, fault):
    with load(fleet):
        await_true(lambda: dispatches_after(fleet, "b2", time.time() - 0.5))
        with fault(fleet):
            version, changed = set_centre(fleet, "muc-b", "out")
            time.sleep(FAULT_SECONDS)
            late = dispatches_after(fleet, "b2", changed)
            assert max(late, default=0.0) <= PROMISE_SECONDS
            # The others go on, so the case has load that could have gone wrong.
            assert dispatches_after(fleet, "b1", changed + PROMISE_SECONDS)
        fleet.control("state", b"{}")
        fleet.list_instances()
        await_true(lambda: {version_at(fleet, name) for name in NAMES} == {version})
        set_centre(fleet, "muc-b", "in")
        await_true(lambda: dispatches_after(fleet, "b2", time.time() - 0.5))
        await_true(lambda: all(serves(fleet, name) for name in NAMES))
    fleet.await_ready()


def test_a_target_marked_as_leaving_gets_no_new_work(fleet):
    target = fleet.declarations["targets"]["b2"]
    with load(fleet):
        await_true(lambda: dispatches_after(fleet, "b2", time.time() - 0.5))
        target["state"] = "leaving"
        fleet.publish()
        changed = time.time()
        time.sleep(FAULT_SECONDS)
        late = dispatches_after(fleet, "b2", changed)
        target["state"] = "serving"
        fleet.publish()
        assert max(late, default=0.0) <= PROMISE_SECONDS
        await_true(lambda: dispatches_after(fleet, "b2", time.time() - 0.5))


def test_woken_instances_that_see_only_each_other_hold_back(fleet):
    """Two of three relays asleep are a majority of ignorant ones when woken."""
    with load(fleet):
        await_true(lambda: dispatches_after(fleet, "b2", time.time() - 0.5))
        for name in ("e1", "e2"):
            signal_instance(fleet, name, signal.SIGSTOP)
        _, changed = set_centre(fleet, "muc-b", "out")
        time.sleep(FAULT_SECONDS)
        for name in ("e1", "e2"):
            signal_instance(fleet, name, signal.SIGCONT)
        time.sleep(2.0)
        late = dispatches_after(fleet, "b2", changed)
    set_centre(fleet, "muc-b", "in")
    assert max(late, default=0.0) <= PROMISE_SECONDS


def test_a_fresh_instance_with_a_stale_service_starts_with_what_peers_have(fleet):
    fleet.await_ready()
    state(fleet, "e5", stale=True)
    version, changed = set_centre(fleet, "muc-b", "out")
    time.sleep(PROMISE_SECONDS)
    fleet.start_instance("e5", "muc-a")
    # Its own list is as old: it names the others, not itself.
    with load(fleet, ["e5"]):
        await_true(lambda: fleet.dump("e5")["ready"] if up(fleet, "e5") else False)
        assert version_at(fleet, "e5") == version
        await_true(lambda: dispatches_after(fleet, "b1", time.time() - 1.0))
    assert max(dispatches_after(fleet, "b2", changed), default=0) <= PROMISE_SECONDS
    fleet.instances_by_id.pop("e5").process.kill()
    set_centre(fleet, "muc-b", "in")


def up(fleet, name):
    try:
        fleet.dump(name)
    except (HTTPError, OSError):
        return False
    return True
