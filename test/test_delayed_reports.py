"""Reports that lay unread while their receiver stood still confirm nothing newer."""

import pytest

from almondglade.gateway import exchange as exchange_module
from almondglade.gossip.messages import Report, SharedState
from almondglade.gossip.peerclocks import (
    RETENTION_SECONDS,
    SETTLING_SECONDS,
    PeerClocks,
)
from almondglade.placement.coordination import InstanceInfo
from almondglade.placement.freshness import MAX_OUTDATED_SECONDS, Freshness

from .test_cells import make_exchange

# The clocks of two hosts have nothing to do with each other.
OFFSET = -4321.0
INTERVAL_SECONDS = 0.25
# Reports while the clock of a peer settles.
STEPS = 6


@pytest.fixture
def clock(monkeypatch):
    """Return a list that holds the time of the clock that counts suspension."""
    times = [100.0]
    monkeypatch.setattr(exchange_module, "boottime_clock", lambda: times[0])
    return times


def report(number, sent_at, version=1, incarnation=1):
    state = SharedState(evidence_age=0.1, version=version)
    sent_at = None if sent_at is None else sent_at + OFFSET
    return Report(
        "e2", "north", incarnation, number, shared_state=state, sent_at=sent_at
    )


def make_receiver():
    """Return an exchange that has configuration 1."""
    exchange, _ = make_exchange("e1", "north", {"e1": InstanceInfo("north")})
    exchange.pools.is_full_mesh = True
    exchange.freshness.set_version(1)
    return exchange


def hear(exchange, clock, seconds, first=0, incarnation=1):
    """Receive reports without delay for some seconds; return the next number."""
    for number in range(first, first + round(seconds / INTERVAL_SECONDS)):
        clock[0] += INTERVAL_SECONDS
        exchange.handle_report(report(number, clock[0], incarnation=incarnation))
    return number + 1


def test_evidence_counts_from_when_it_was_said(clock):
    exchange = make_receiver()
    number = hear(exchange, clock, 2.0)
    assert exchange.freshness.age(clock[0]) == pytest.approx(0.1)
    frozen_at = clock[0]
    clock[0] += 7.0
    for index in range(1, 4):
        exchange.handle_report(report(number + index, frozen_at + 0.2 * index))
    assert exchange.freshness.age(clock[0]) == pytest.approx(6.5, abs=0.05)
    assert not exchange.freshness.accepts_keys(clock[0])


def test_a_peer_that_started_again_during_a_freeze_confirms_nothing_at_once(clock):
    exchange = make_receiver()
    number = hear(exchange, clock, 2.0)
    frozen_at = clock[0]
    clock[0] += 7.0
    for index in range(1, 20):
        exchange.handle_report(
            report(number + index, frozen_at + 0.25 * index, incarnation=2)
        )
    assert exchange.freshness.age(clock[0]) > 7.0
    hear(exchange, clock, 2.0, first=number + 20, incarnation=2)
    assert exchange.freshness.age(clock[0]) == pytest.approx(0.1, abs=0.05)


def test_what_was_said_at_an_unknown_time_only_tells_of_a_newer_version(clock):
    exchange = make_receiver()
    for number in range(20):
        clock[0] += INTERVAL_SECONDS
        exchange.handle_report(report(number, None))
    assert not exchange.freshness.accepts_keys(clock[0])
    exchange.handle_report(report(21, None, version=2))
    assert exchange.freshness.is_outdated


def test_a_peers_load_is_as_old_as_its_report(clock):
    exchange = make_receiver()
    number = hear(exchange, clock, 2.0)
    sent_at = clock[0]
    clock[0] += 7.0
    before = exchange.clock() - 7.0
    exchange.handle_report(report(number, sent_at))
    load = exchange.pools.fleet._load_by_peer["e2"]
    assert load.received_at == pytest.approx(before, abs=0.1)


def test_a_delay_is_known_in_spite_of_drifting_clocks():
    clocks = PeerClocks()
    # The peer's clock loses 400 ppm against the one here for an hour.
    for second in range(3600):
        delay = clocks.delay("e2", 1, second * (1 - 4e-4), float(second))
    assert delay == pytest.approx(0.0, abs=0.001)
    assert clocks.delay("e2", 1, 3600 * (1 - 4e-4), 3605.0) > 4.9


def test_a_peer_that_was_silent_for_long_settles_again():
    clocks = PeerClocks()
    for at in (0.0, SETTLING_SECONDS / 2, SETTLING_SECONDS):
        clocks.delay("e2", 1, at, at)
    assert clocks.delay("e2", 1, 2.0, 2.0) == 0.0
    # Its host started again, so that its clock began anew.
    later = 2.0 + RETENTION_SECONDS + 1.0
    assert clocks.delay("e2", 1, 5.0, later) is None
    for step in range(1, STEPS):
        elapsed = step * SETTLING_SECONDS / STEPS
        assert clocks.delay("e2", 1, 5.0 + elapsed, later + elapsed) is None
    settled = clocks.delay("e2", 1, 5.0 + SETTLING_SECONDS, later + SETTLING_SECONDS)
    assert settled == pytest.approx(0.0)


# The instance paused twice in a row. What lay unread of a new peer since the first one
# seemed as new as that peer's first report, which had lain unread, too.
def test_a_second_pause_does_not_settle_the_clock_of_a_peer_that_is_new():
    clocks = PeerClocks()
    # Sent at 0 and read after the first pause, as the first of many.
    assert clocks.delay("e2", 1, 0.0, 7.0) is None
    # The second pause begins at once; what was sent at 6.9 is read after it.
    for sent_at in (0.25, 3.0, 6.9):
        assert clocks.delay("e2", 1, sent_at, 14.0) is None
    for step in range(1, STEPS + 1):
        delay = clocks.delay("e2", 1, 14.0 + 0.25 * step, 14.0 + 0.25 * step)
    assert delay == pytest.approx(0.0)


def test_keys_are_refused_while_a_newer_configuration_is_not_read():
    freshness = Freshness(5.0)
    freshness.set_version(1)
    freshness.confirm(1, 10.0)
    freshness.confirm(2, float("-inf"), 11.0)
    freshness.confirm(2, 11.5, 12.0)
    assert freshness.accepts_keys(11.0 + MAX_OUTDATED_SECONDS)
    assert not freshness.accepts_keys(11.1 + MAX_OUTDATED_SECONDS)
    freshness.set_version(2)
    freshness.confirm(2, 13.0)
    assert freshness.accepts_keys(13.0)
