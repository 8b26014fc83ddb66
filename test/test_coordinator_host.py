"""Entries that join a coordinator host before or after it knows their service."""

import numpy as np

from almondglade import messages as m
from almondglade.coordinator.core import Policies
from almondglade.coordinator.host import CoordinatorHost

from .coordinating import POOL, FakeClock, declare, demand, make_coordinator


def make_host():
    clock = FakeClock()
    host = CoordinatorHost("A", "1", clock, np.random.default_rng(1), Policies())
    host.set_published(1)
    inbox = []
    host.attach("e1", inbox.append)
    return host, inbox


def answer_rejoin(host, inbox):
    assert inbox[-1] == m.Rejoin(POOL)
    host.receive("e1", m.Join(POOL))


def test_an_entry_that_joined_before_the_document_is_asked_to_rejoin_and_served():
    host, inbox = make_host()
    host.receive("e1", m.Join(POOL))
    host.configure(declare())
    answer_rejoin(host, inbox)
    host.receive("e1", demand())
    host.send_decisions()
    assert not any(isinstance(message, m.Grant) for message in inbox)
    host.observe(POOL, m.LoadReport("d1", "1", 0, 0))
    host.receive_ping("e1", m.Ping(100.0, 100.0, 1))
    host.send_decisions()
    assert isinstance(inbox[-1], m.Grant)
    assert inbox[-1].heard_at == 100.0


def test_an_entry_that_sends_a_demand_before_its_join_is_asked_to_join():
    host, inbox = make_host()
    host.configure(declare())
    host.receive("e1", demand())
    answer_rejoin(host, inbox)


def test_entries_are_asked_to_rejoin_when_a_service_is_removed_and_added_again():
    host, inbox = make_host()
    host.configure(declare())
    host.receive("e1", m.Join(POOL))
    without = declare().model_copy(update={"services": {}, "targets": {}})
    host.configure(without)
    host.configure(declare())
    answer_rejoin(host, inbox)


def test_entries_are_sent_only_the_changed_state():
    sent = m.PoolState(
        POOL,
        (m.TargetState("d1", "1", 1.0), m.TargetState("d2", "1", 1.0)),
        (m.CarriedSuspect(1, ("d1",), 0.0),),
    )
    older = m.PoolState(POOL, sent.targets, (m.CarriedSuspect(1, ("d1",), 9.0),))
    assert older.changed_since(sent) is None
    busy = m.TargetState("d2", "1", 1.0, running=1)
    later = m.PoolState(POOL, (sent.targets[0], busy), sent.suspects)
    assert later.changed_since(sent).targets == (busy,)
    cleared = m.PoolState(POOL, sent.targets)
    assert cleared.changed_since(sent) == m.PoolState(POOL)


def test_the_declared_token_gap_is_passed_to_the_limit_policies():
    coordinator = make_host()[0]
    document = declare()
    service = document.services[POOL].model_copy(update={"token_gap": 0.065})
    coordinator.configure(document.model_copy(update={"services": {POOL: service}}))
    coordinator.receive("e1", m.Join(POOL))
    targets = coordinator.by_pool[POOL].targets_by_id
    assert targets["d1"].limit.token_gap == 0.065


def test_a_permit_whose_completion_was_lost_with_a_link_is_freed_by_a_report():
    clock = FakeClock()
    coordinator = make_coordinator(clock, declare(max_concurrent=2))
    coordinator.observe(m.LoadReport("d1", "1", 0, 0))
    coordinator.join("e1", m.Join(POOL))
    coordinator.renew("e1", clock(), clock())
    kept, ended = demand(), demand()
    coordinator.submit("e1", kept)
    coordinator.submit("e1", ended)
    coordinator.decide()
    clock.now += 1.0
    coordinator.join("e1", m.Join(POOL, 0.0, (m.CarriedPermit(kept, "d1", 1.0),)))
    for _ in range(3):
        clock.now += 4.0
        coordinator.renew("e1", clock(), clock())
        coordinator.observe(m.LoadReport("d1", "1", 1, 0))
    assert list(coordinator.running_by_request) == [kept.request_id]
    assert coordinator.running_by_request[kept.request_id].lost_at is None
