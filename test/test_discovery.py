"""How often a fleet calls the store, and how fresh its evidence stays."""

import random
import time

import pytest

from almondglade.catalogue import TargetRecord
from almondglade.feed import Batch, TargetUpdate
from almondglade.gateway.discovery import (
    FLEET_CALLS_PER_SECOND,
    MAX_COALESCE_SECONDS,
    MIN_WATCH_SECONDS,
    Discovery,
)
from almondglade.gateway.registry import RELIST_SECONDS, Registry
from almondglade.placement.freshness import EVIDENCE_VALIDITY_SHARE

# Shortest time limits that operators set: until a revoked key stops working, and
# until a leaving target or a change of the configuration takes effect.
REVOKE_SECONDS = 5.0
DRAIN_SECONDS = 2.0


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


def test_a_watch_ends_when_the_return_from_a_copy_has_settled():
    # Keys were refused for up to two seconds longer.
    discovery = make_discovery(2)
    registry = discovery.registry
    registry.apply_batch(Batch((), 9, True, 0.0, 1))
    assert discovery._watch_seconds() >= MIN_WATCH_SECONDS
    registry.apply_batch(Batch((), 3, True, 0.0, 2))
    time.sleep(RELIST_SECONDS - 1.0)
    assert discovery._watch_seconds() <= 1.0
