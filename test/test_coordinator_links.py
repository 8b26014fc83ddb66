"""What a coordinator makes of entries that cannot connect to targets."""

import pytest

from almondglade import messages as m
from almondglade.coordinator.targets import ANSWER_VALIDITY_SECONDS

from .coordinating import POOL, FakeClock, declare, demand, make_coordinator, sent


@pytest.fixture
def coordinator():
    clock = FakeClock()
    coordinator = make_coordinator(clock, declare(targets=("d1", "d2")), published=2)
    for entry in ("e1", "e2"):
        coordinator.join(entry, m.Join(POOL))
        coordinator.renew(entry, clock(), clock())
    for target in ("d1", "d2"):
        coordinator.observe(m.LoadReport(target, "1", 0, 0))
    return coordinator


def run(coordinator, entry, target, result):
    """Let an entry run a request at a target with a result."""
    other = {"d1": "d2", "d2": "d1"}[target]
    request = demand(avoid=(other,))
    coordinator.submit(entry, request)
    (grant,) = sent(coordinator, m.Grant)
    assert grant.target == target
    coordinator.finish(entry, m.Completion(request.request_id, POOL, result))


# One entry without links took the target from all others for up to two seconds.
def test_a_target_that_answers_another_entry_is_not_paused_for_a_refused_one(
    coordinator,
):
    run(coordinator, "e2", "d1", m.Result.COMPLETED)
    run(coordinator, "e1", "d1", m.Result.REFUSED)
    run(coordinator, "e2", "d1", m.Result.COMPLETED)


def test_a_target_that_answers_nobody_is_paused_for_a_refused_entry(coordinator):
    run(coordinator, "e2", "d1", m.Result.COMPLETED)
    coordinator.clock.now += 1.1 * ANSWER_VALIDITY_SECONDS
    for entry in ("e1", "e2"):
        coordinator.renew(entry, coordinator.clock(), coordinator.clock())
    run(coordinator, "e1", "d1", m.Result.REFUSED)
    assert not coordinator.targets_by_id["d1"].limit.is_available
