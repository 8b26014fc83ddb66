"""How often a fleet calls the store, and how long its evidence lasts."""

import random
import time

import pytest

from almondglade.catalogue import TargetRecord
from almondglade.feed import Batch, TargetUpdate
from almondglade.gateway.discovery import (
    CALLS_PER_SECOND,
    MAX_GATHER_SECONDS,
    Discovery,
    Registry,
)
from almondglade.placement.freshness import EVIDENCE_VALIDITY_SHARE

# The shortest bounds that users set, seconds: on revoked keys, on a leaving target
# and on a change of the configuration.
REVOKE_SECONDS = 5.0
DRAIN_SECONDS = 2.0


class ChangingStore:
    """A store whose targets change at every moment."""

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


def make_discovery(instances, store=None):
    registry = Registry(time.monotonic)
    return Discovery(
        store or ChangingStore(),
        registry,
        lambda as_of: None,
        random.Random(1),
        lambda: instances,
    )


@pytest.mark.parametrize("instances", [9, 76, 330])
def test_a_series_of_changes_is_gathered(instances):
    # Each change woke every instance's watch: calls were the highest price of the
    # grown deployments.
    store = ChangingStore()
    discovery = make_discovery(instances, store)
    discovery.start()
    time.sleep(2.0)
    discovery.stop()
    pause = min(instances / CALLS_PER_SECOND, MAX_GATHER_SECONDS)
    assert store.calls <= 3 + 2.0 / (0.8 * pause)


def test_gathered_changes_are_within_their_bounds():
    assert MAX_GATHER_SECONDS <= DRAIN_SECONDS / 2


@pytest.mark.parametrize("instances", [1, 9, 76, 330])
def test_an_instance_that_hears_no_peer_keeps_its_evidence_fresh(instances):
    # Seen on a grown scale day: after a change all watches began at once, lasted
    # longer than their evidence is believed, and every instance refused keys.
    discovery = make_discovery(instances)
    longest = max(discovery._watch_seconds() for _ in range(200))
    assert longest <= EVIDENCE_VALIDITY_SHARE * REVOKE_SECONDS - 0.5


def test_a_large_fleet_begins_its_watches_at_different_times():
    discovery = make_discovery(76)
    lengths = sorted(discovery._watch_seconds() for _ in range(76))
    assert lengths[-1] - lengths[0] > 0.8


def test_a_large_fleet_stays_far_below_the_rate_of_the_store():
    discovery = make_discovery(330)
    mean = sum(discovery._watch_seconds() for _ in range(200)) / 200
    assert 330 / mean <= 2000 / 10
