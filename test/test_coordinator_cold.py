"""Every way back to the cold limit, and nothing that lifts it wrongly."""

import pytest

from almondglade import messages as m

from .coordinating import FakeClock, declare, demand, make_coordinator, sent

WARM = 8.0


@pytest.fixture
def warm():
    """Return a coordinator of one target that has been adopted as warm."""
    coordinator = make_coordinator(FakeClock(), declare(), limits="adaptive")
    coordinator.join("e1", m.Join("drafts", targets=(state(),)))
    coordinator.renew("e1", coordinator.clock(), coordinator.clock())
    coordinator.observe(m.LoadReport("d1", "1", 0, 0))
    assert coordinator.targets_by_id["d1"].limit.current == WARM
    return coordinator


def state():
    return m.TargetState("d1", "1", WARM)


def granted(coordinator):
    for _ in range(4):
        coordinator.submit("e1", demand())
    return len(sent(coordinator, m.Grant))


def go_out_and_in(coordinator):
    coordinator.configure(declare(out=("d1",)))
    coordinator.configure(declare())


def restart(coordinator):
    coordinator.observe(m.LoadReport("d1", "2", 0, 0))


def refuse(coordinator):
    made = demand()
    coordinator.submit("e1", made)
    coordinator.decide()
    refused = m.Completion(made.request_id, "drafts", m.Result.REFUSED)
    coordinator.finish("e1", refused)


def rejoin_with_old_state(coordinator):
    restart(coordinator)
    coordinator.join("e2", m.Join("drafts", targets=(state(),)))
    go_out_and_in(coordinator)
    coordinator.join("e3", m.Join("drafts", targets=(m.TargetState("d1", "2", WARM),)))


@pytest.mark.parametrize(
    "fall", [go_out_and_in, restart, refuse, rejoin_with_old_state]
)
def test_a_target_that_comes_back_is_granted_one_request(warm, fall):
    fall(warm)
    assert granted(warm) == 1


def test_a_lower_declared_maximum_holds_with_the_next_grant(warm):
    warm.configure(declare(max_concurrent=2))
    assert granted(warm) == 2


def test_a_target_out_of_service_is_granted_nothing_and_says_so(warm):
    warm.configure(declare(out=("d1",)))
    warm.submit("e1", demand())
    (refusal,) = sent(warm, m.Refusal)
    assert refusal.reason is m.RefusalReason.NO_TARGET
