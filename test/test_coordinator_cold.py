"""Events that return a target to the cold limit, and the limits that then hold."""

import pytest

from almondglade import messages as m

from .coordinating import FakeClock, declare, demand, make_coordinator, sent

WARM_LIMIT = 8.0


@pytest.fixture
def warm():
    """Return a coordinator with one target whose learnt limit was handed over."""
    coordinator = make_coordinator(FakeClock(), declare(), limits="adaptive")
    coordinator.join("e1", m.Join("drafts", targets=(warm_state(),)))
    coordinator.renew("e1", coordinator.clock(), coordinator.clock())
    coordinator.observe(m.LoadReport("d1", "1", 0, 0))
    assert coordinator.targets_by_id["d1"].limit.current == WARM_LIMIT
    return coordinator


def warm_state():
    return m.TargetState("d1", "1", WARM_LIMIT)


def granted(coordinator):
    for _ in range(4):
        coordinator.submit("e1", demand())
    return len(sent(coordinator, m.Grant))


def leave_and_return_to_service(coordinator):
    coordinator.configure(declare(out=("d1",)))
    coordinator.configure(declare())


def restart(coordinator):
    coordinator.observe(m.LoadReport("d1", "2", 0, 0))


def refuse_connection(coordinator):
    request = demand()
    coordinator.submit("e1", request)
    coordinator.decide()
    refused = m.Completion(request.request_id, "drafts", m.Result.REFUSED)
    coordinator.finish("e1", refused)


def join_with_outdated_state(coordinator):
    restart(coordinator)
    coordinator.join("e2", m.Join("drafts", targets=(warm_state(),)))
    leave_and_return_to_service(coordinator)
    coordinator.join(
        "e3", m.Join("drafts", targets=(m.TargetState("d1", "2", WARM_LIMIT),))
    )


@pytest.mark.parametrize(
    "event",
    [leave_and_return_to_service, restart, refuse_connection, join_with_outdated_state],
)
def test_a_target_reset_to_cold_is_granted_one_request(warm, event):
    event(warm)
    assert granted(warm) == 1


def test_a_lower_declared_maximum_applies_to_the_next_grant(warm):
    warm.configure(declare(max_concurrent=2))
    assert granted(warm) == 2


def test_demands_are_refused_when_the_only_target_is_out_of_service(warm):
    warm.configure(declare(out=("d1",)))
    warm.submit("e1", demand())
    (refusal,) = sent(warm, m.Refusal)
    assert refusal.reason is m.RefusalReason.NO_TARGET
