"""What a gateway keeps of the published state when the store goes back to a copy."""

import pytest

from almondglade.catalogue import Catalogue, TargetRecord
from almondglade.feed import Batch, CatalogueUpdate, EvacuationUpdate, TargetUpdate
from almondglade.gateway.peerstate import ReaderState
from almondglade.gateway.registry import RELIST_SECONDS, Registry


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_target(name, sequence=1, leaving=False, started_at=1):
    return TargetRecord(
        name,
        "drafts",
        "10.0.0.1",
        80,
        "north",
        4,
        leaving=leaving,
        started_at=started_at,
        sequence=sequence,
    )


def snapshot(revision, *updates, era=1):
    return Batch(tuple(updates), revision, True, 0.0, era)


def changes(revision, *updates, era=1):
    return Batch(tuple(updates), revision, False, 0.0, era)


@pytest.fixture
def registry():
    return Registry(Clock())


def listed(registry):
    return set(registry.record_by_target)


def test_a_copy_does_not_list_a_target_again_that_has_gone(registry):
    entry = TargetUpdate(3, "t1", make_target("t1", sequence=5))
    registry.apply_batch(snapshot(3, entry))
    registry.apply_batch(changes(9, TargetUpdate(9, "t1", None)))
    registry.apply_batch(snapshot(3, entry, era=2))
    assert not listed(registry)
    registry.clock.now += 2 * RELIST_SECONDS
    registry.apply_batch(snapshot(3, entry, era=2))
    assert not listed(registry)
    again = TargetUpdate(4, "t1", make_target("t1", sequence=6))
    registry.apply_batch(changes(4, again, era=2))
    assert listed(registry) == {"t1"}


def test_a_copy_does_not_take_back_that_a_target_is_leaving(registry):
    ready = TargetUpdate(3, "t1", make_target("t1", sequence=5))
    registry.apply_batch(snapshot(3, ready))
    leaving = make_target("t1", sequence=5, leaving=True)
    registry.apply_batch(changes(4, TargetUpdate(4, "t1", leaving)))
    registry.apply_batch(snapshot(3, ready, era=2))
    assert registry.record_by_target["t1"].leaving


def test_a_target_that_the_copy_lacks_is_dropped_if_it_is_not_listed_again(registry):
    first, second = (TargetUpdate(3, name, make_target(name)) for name in ("t1", "t2"))
    registry.apply_batch(snapshot(3, first, second))
    registry.apply_batch(snapshot(1, era=2))
    assert listed(registry) == {"t1", "t2"}
    again = TargetUpdate(2, "t1", make_target("t1", sequence=2))
    registry.apply_batch(changes(2, again, era=2))
    registry.expire()
    assert listed(registry) == {"t1", "t2"}
    registry.clock.now += RELIST_SECONDS
    registry.expire()
    assert listed(registry) == {"t1"}


def test_a_target_whose_entry_became_unreadable_has_time_to_write_it_again(registry):
    # A change dropped nothing, and a whole reading dropped it at once.
    registry.apply_batch(snapshot(3, TargetUpdate(3, "t1", make_target("t1"))))
    odd = TargetUpdate(4, "t1", None, is_readable=False)
    for batch in (changes(4, odd), snapshot(4, odd)):
        registry.apply_batch(batch)
        registry.expire()
        assert listed(registry) == {"t1"}
    registry.clock.now += RELIST_SECONDS / 2
    again = TargetUpdate(5, "t1", make_target("t1", sequence=2))
    registry.apply_batch(changes(5, again))
    registry.clock.now += RELIST_SECONDS
    registry.expire()
    assert listed(registry) == {"t1"}
    registry.apply_batch(changes(6, TargetUpdate(6, "t1", None, is_readable=False)))
    registry.clock.now += RELIST_SECONDS
    registry.expire()
    assert not listed(registry)


def test_a_restarted_target_replaces_the_entry_of_its_former_start(registry):
    registry.apply_batch(
        snapshot(3, TargetUpdate(3, "t1", make_target("t1", sequence=9, leaving=True)))
    )
    started = make_target("t1", sequence=1, started_at=2)
    registry.apply_batch(snapshot(2, TargetUpdate(2, "t1", started), era=2))
    assert not registry.record_by_target["t1"].leaving


def test_an_evacuation_that_the_copy_lacks_stays_until_it_could_be_written_again(
    registry,
):
    registry.apply_batch(snapshot(3, EvacuationUpdate(3, "north", True)))
    registry.apply_batch(snapshot(1, era=2))
    assert registry.evacuated_data_centres == {"north"}
    registry.expire()
    assert registry.evacuated_data_centres == {"north"}
    registry.apply_batch(changes(2, EvacuationUpdate(2, "north", True), era=2))
    registry.clock.now += RELIST_SECONDS
    registry.expire()
    assert registry.evacuated_data_centres == {"north"}
    registry.apply_batch(changes(3, EvacuationUpdate(3, "north", False), era=2))
    assert not registry.evacuated_data_centres


def test_an_evacuation_that_is_not_written_again_ends(registry):
    registry.apply_batch(snapshot(3, EvacuationUpdate(3, "north", True)))
    registry.apply_batch(snapshot(1, era=2))
    registry.clock.now += RELIST_SECONDS
    registry.expire()
    assert not registry.evacuated_data_centres


def test_an_evacuation_of_the_copy_holds_until_the_operator_ends_it_again(registry):
    registry.apply_batch(snapshot(3, EvacuationUpdate(3, "north", True)))
    registry.apply_batch(changes(4, EvacuationUpdate(4, "north", False)))
    registry.apply_batch(snapshot(3, EvacuationUpdate(3, "north", True), era=2))
    assert registry.evacuated_data_centres == {"north"}
    registry.apply_batch(changes(4, EvacuationUpdate(4, "north", False), era=2))
    assert not registry.evacuated_data_centres


def test_a_version_above_the_one_in_force_applies_whatever_its_revision(registry):
    registry.apply_batch(snapshot(50, CatalogueUpdate(50, Catalogue(4))))
    registry.apply_batch(snapshot(8, CatalogueUpdate(8, Catalogue(2)), era=2))
    assert registry.catalogue.version == 4
    registry.apply_batch(changes(9, CatalogueUpdate(9, Catalogue(5)), era=2))
    assert registry.catalogue.version == 5


def catalogue(revision, version):
    return CatalogueUpdate(revision, Catalogue(version))


def test_a_copy_with_another_version_proves_nothing(registry):
    registry.apply_batch(snapshot(50, catalogue(50, 4)))
    assert registry.newest_listed_version() == 4
    registry.apply_batch(snapshot(8, catalogue(8, 2), era=2))
    registry.clock.now += 10 * RELIST_SECONDS
    registry.apply_batch(snapshot(8, catalogue(8, 2), era=2))
    assert registry.newest_listed_version() is None
    registry.apply_batch(changes(9, catalogue(9, 4), era=2))
    assert registry.newest_listed_version() == 4


def test_a_copy_of_the_version_in_force_proves_nothing_until_it_could_be_replaced(
    registry,
):
    # A newer version may have been acknowledged and lost.
    registry.apply_batch(snapshot(50, catalogue(50, 4)))
    for _ in range(2):
        registry.apply_batch(snapshot(50, catalogue(50, 4), era=2))
        assert registry.newest_listed_version() is None
    registry.clock.now += RELIST_SECONDS
    assert registry.newest_listed_version() == 4


@pytest.mark.parametrize("era", [0, 2])
def test_the_first_reading_of_a_process_may_be_that_of_a_copy(era):
    registry = Registry(Clock(), is_first_start=False)
    registry.apply_batch(snapshot(50, catalogue(50, 4), era=era))
    assert registry.newest_listed_version() == (None if era else 4)
    registry.clock.now += RELIST_SECONDS
    assert registry.newest_listed_version() == 4
    again = Registry(Clock(), is_first_start=False)
    again.apply_batch(snapshot(50, catalogue(50, 4), era=2))
    again.apply_batch(changes(51, catalogue(51, 4), era=2))
    assert again.newest_listed_version() == 4


def test_a_version_that_is_written_again_proves_that_it_is_the_newest(registry):
    registry.apply_batch(snapshot(50, catalogue(50, 4)))
    registry.apply_batch(snapshot(50, catalogue(50, 4), era=2))
    registry.apply_batch(changes(51, catalogue(51, 4), era=2))
    assert registry.newest_listed_version() == 4


def test_a_store_that_lists_no_configuration_proves_nothing(registry):
    registry.apply_batch(snapshot(50, catalogue(50, 4)))
    registry.apply_batch(snapshot(3, era=2))
    registry.clock.now += 10 * RELIST_SECONDS
    assert registry.newest_listed_version() is None


def item(key, revision, era=1):
    return {"key": key, "revision": revision, "era": era, "value": "e30="}


def test_a_peer_gets_the_values_of_what_it_has_not_read_only(registry):
    registry.apply_batch(
        snapshot(
            6,
            CatalogueUpdate(2, Catalogue(4), item=item("op/config", 2)),
            TargetUpdate(3, "t1", make_target("t1"), item=item("servers/t1", 3)),
            TargetUpdate(6, "t2", make_target("t2"), item=item("servers/t2", 6)),
        )
    )

    def keys_with_values(position, version):
        era, revision, items = registry.published_items(ReaderState(position, version))
        assert (era, revision, len(items)) == (1, 6, 3)
        return {entry["key"] for entry in items if "value" in entry}

    everything = {"op/config", "servers/t1", "servers/t2"}
    assert keys_with_values((0, 0), 0) == everything
    assert keys_with_values((1, 5), 4) == {"servers/t2"}
    assert keys_with_values((1, 6), 3) == {"op/config"}
    assert keys_with_values((0, 90), 9) == {"servers/t1", "servers/t2"}


def test_unchanged_items_of_a_peer_keep_what_is_known(registry):
    entry = TargetUpdate(3, "t1", make_target("t1"), item=item("servers/t1", 3))
    registry.apply_batch(snapshot(4, entry))
    unchanged = TargetUpdate(3, "t1", None, era=1, is_readable=False)
    batch = Batch((unchanged,), 9, True, 0.0, 1, is_from_store=False)
    registry.apply_batch(batch)
    registry.clock.now += 2 * RELIST_SECONDS
    registry.expire()
    assert listed(registry) == {"t1"}
    assert registry.position == (1, 9)


def test_a_reading_of_an_earlier_era_changes_nothing(registry):
    registry.apply_batch(snapshot(3, CatalogueUpdate(3, Catalogue(2)), era=2))
    late = snapshot(90, CatalogueUpdate(90, Catalogue(9)), era=1)
    assert not registry.apply_batch(late)
    assert registry.catalogue.version == 2
