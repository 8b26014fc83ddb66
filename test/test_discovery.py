"""How often a fleet calls the store, and how fresh its evidence stays."""

import random
import time
from types import SimpleNamespace

import pytest

from almondglade.catalogue import TargetRecord
from almondglade.errors import PlatformError
from almondglade.feed import Batch, TargetUpdate
from almondglade.gateway.discovery import (
    FLEET_CALLS_PER_SECOND,
    MAX_COALESCE_SECONDS,
    MIN_WATCH_SECONDS,
    Discovery,
)
from almondglade.gateway.registry import RELIST_SECONDS, Registry
from almondglade.placement.freshness import EVIDENCE_VALIDITY_SHARE

from .storefleet import StoreFleet, make_target

# Shortest time limits that operators set: until a revoked key stops working, and
# until a leaving target or a change of the configuration takes effect.
REVOKE_SECONDS = 5.0
DRAIN_SECONDS = 2.0
REPORT_SECONDS = 1.2


class ChangingStore:
    """A store in which a target changes before each call."""

    def __init__(self):
        self.calls = 0
        self.revision = 0

    def read_all(self):
        self.calls += 1
        return Batch((), self.revision, True, time.monotonic())

    def watch(self, revision, wait):
        self.calls += 1
        self.revision += 1
        record = TargetRecord(
            "t1", "drafts", "10.0.0.1", 80, "north", 4, sequence=self.revision
        )
        update = TargetUpdate(self.revision, "t1", record)
        return Batch((update,), self.revision, False, time.monotonic())


class LateChangeStore:
    """A store whose first watch ends with a change just before its timeout.

    Its clock advances by the time that a watch takes.
    """

    def __init__(self):
        self.now = 100.0
        self.is_changing = True

    def read_all(self):
        return Batch((), 1, True, self.now)

    def watch(self, revision, wait):
        requested_at = self.now
        if self.is_changing:
            self.is_changing = False
            self.now += 0.99 * wait
            update = TargetUpdate(2, "t1", None)
            return Batch((update,), 2, False, requested_at)
        self.now += wait
        return Batch((), 2, False, self.now)


def make_discovery(
    instances, store=None, confirm=lambda as_of: None, evidence_age=lambda: 0.0
):
    return Discovery(
        store or ChangingStore(),
        Registry(time.monotonic),
        confirm,
        random.Random(1),
        lambda: instances,
        evidence_age,
    )


@pytest.mark.parametrize("instances", [9, 76, 330])
def test_a_series_of_changes_is_read_in_few_calls(instances):
    # Without a pause, each change ended the watch of every instance, and the calls
    # to the store were the highest cost of large deployments.
    store = ChangingStore()
    discovery = make_discovery(instances, store)
    discovery.start()
    time.sleep(2.0)
    discovery.stop()
    pause = min(instances / FLEET_CALLS_PER_SECOND, MAX_COALESCE_SECONDS)
    assert store.calls <= 3 + 2.0 / (0.8 * pause)


def test_coalesced_changes_take_effect_within_their_time_limits():
    assert MAX_COALESCE_SECONDS <= DRAIN_SECONDS / 2


@pytest.mark.parametrize("instances", [1, 9, 76, 330])
def test_an_instance_without_peers_keeps_its_evidence_fresh(instances):
    # In a large fleet all watches started at once after a change and lasted longer
    # than their evidence is accepted, so that every instance refused API keys.
    discovery = make_discovery(instances)
    longest = max(discovery._watch_seconds() for _ in range(200))
    assert longest <= EVIDENCE_VALIDITY_SHARE * REVOKE_SECONDS - 0.5


# All instances refused API keys for a moment when a change ended their watches late
# and nothing changed during the next ones.
@pytest.mark.parametrize("instances", [1, 9, 76, 330])
def test_evidence_stays_valid_after_a_change_late_in_a_watch(instances):
    store = LateChangeStore()
    confirmed = []
    discovery = make_discovery(
        instances, store, confirmed.append, lambda: store.now - confirmed[-1]
    )
    revision = discovery._read(None)
    ages = []
    for _ in range(5):
        latest = confirmed[-1]
        revision = discovery._read(revision)
        ages.append(store.now - latest)
    assert max(ages) <= EVIDENCE_VALIDITY_SHARE * REVOKE_SECONDS - 0.5


def test_the_watches_of_a_large_fleet_have_different_timeouts():
    discovery = make_discovery(76)
    lengths = sorted(discovery._watch_seconds() for _ in range(76))
    assert lengths[-1] - lengths[0] > 0.8


def test_a_large_fleet_stays_far_below_the_call_rate_that_the_store_allows():
    discovery = make_discovery(330)
    mean = sum(discovery._watch_seconds() for _ in range(200)) / 200
    assert 330 / mean <= 2000 / 10


class CutStore:
    """A store that lists a target, and fails calls when a test says so."""

    def __init__(self, clock):
        self.clock = clock
        self.is_down = False
        record = TargetRecord("t1", "drafts", "10.0.0.1", 80, "north", 4)
        self.updates = (TargetUpdate(1, "t1", record),)

    def read_all(self):
        if self.is_down:
            raise PlatformError("down")
        return Batch(self.updates, 1, True, self.clock.now)

    def watch(self, revision, wait):
        raise PlatformError("the watch was cut")


def read_after_cut(clock, silence, evidence_age):
    """Return a registry whose discovery reads again after a failed watch."""
    store = CutStore(clock)
    discovery = Discovery(
        store,
        Registry(lambda: clock.now),
        lambda as_of: None,
        random.Random(1),
        evidence_age=lambda: evidence_age,
        report_interval=REPORT_SECONDS,
        clock=lambda: clock.now,
    )
    revision = discovery._read(None)
    clock.now += silence
    with pytest.raises(PlatformError) as caught:
        discovery._read(revision)
    discovery._note_unreachable(caught.value)
    discovery._read(revision)
    return discovery.registry


# A target that left within 2.2 s of the cut got requests for another 2.2 s.
@pytest.mark.parametrize(
    ("silence", "evidence_age"), [(2 * REPORT_SECONDS - 0.1, 60.0), (60.0, 1.0)]
)
def test_a_target_that_leaves_after_a_cut_watch_is_dropped_at_once(
    silence, evidence_age
):
    clock = SimpleNamespace(now=100.0)
    registry = read_after_cut(clock, silence, evidence_age)
    clock.now += 0.5
    registry.apply_batch(Batch((TargetUpdate(2, "t1", None),), 2, False, clock.now))
    assert not registry.record_by_target


def test_a_target_that_is_missing_after_an_outage_has_time_from_its_end():
    clock = SimpleNamespace(now=100.0)
    registry = read_after_cut(clock, 2 * REPORT_SECONDS, 60.0)
    clock.now += RELIST_SECONDS - 0.1
    registry.apply_batch(Batch((TargetUpdate(2, "t1", None),), 2, False, clock.now))
    registry.expire()
    assert registry.record_by_target
    clock.now += 0.2
    registry.expire()
    assert not registry.record_by_target


# The same with processes: requests that may run once only were lost as it ended.
def test_a_target_that_is_removed_after_a_cut_watch_gets_no_requests(tmp_path):
    with StoreFleet(tmp_path) as fleet, make_target() as first, make_target() as second:
        fleet.configure_routes(1)
        for name, target in (("t1", first), ("t2", second)):
            fleet.list_target(name, target)
        fleet.start()
        time.sleep(0.5)
        fleet.proxy_by_address["127.0.0.1"].reset()
        time.sleep(1.5)
        fleet.remove("servers/t1")
        time.sleep(DRAIN_SECONDS / 2)
        first.seen.clear()
        statuses = [fleet.call(f"/look/{number}").status for number in range(30)]
        assert statuses == [200] * 30
        assert not [request for request in first.seen if b"/look/" in request]


def test_a_watch_ends_when_the_return_from_a_copy_has_settled():
    # Keys were refused for up to two seconds longer.
    discovery = make_discovery(2)
    registry = discovery.registry
    registry.apply_batch(Batch((), 9, True, 0.0, 1))
    assert discovery._watch_seconds() >= MIN_WATCH_SECONDS
    registry.apply_batch(Batch((), 3, True, 0.0, 2))
    time.sleep(RELIST_SECONDS - 1.0)
    assert discovery._watch_seconds() <= 1.0
