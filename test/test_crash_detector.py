"""How a gateway finds out whether a target has ended while it ran a request."""

import asyncio
import socket
import threading
import time
from types import SimpleNamespace

import pytest

from almondglade.catalogue import TargetRecord
from almondglade.gateway import crashes as crashes_module
from almondglade.gateway.crashes import (
    MAX_PROBES,
    PROBE_DELAY_SECONDS,
    REMOVAL_SECONDS,
)
from almondglade.gateway.suspects import SuspectTracker
from almondglade.metrics import Metrics
from almondglade.placement.pendingruns import CLOSING_SECONDS
from almondglade.placement.suspects import Crash

REQUEST = SimpleNamespace(fingerprints=(7,))
WAIT_SECONDS = PROBE_DELAY_SECONDS + 0.2


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


def make_record(port, **changes):
    return TargetRecord("t1", "drafts", "127.0.0.1", port, "north", 4, **changes)


def make_tracker(*records):
    tracker = SuspectTracker("e1", threading.Lock(), Metrics(), time.monotonic)
    tracker.gossip = SimpleNamespace(send_to_all_soon=lambda report: None)
    tracker.update_targets(list(records))
    return tracker


def run_broken(record, records_afterwards=None, seconds=WAIT_SECONDS):
    """Let a run break at a target; return whether it counted as a crash."""

    async def run():
        tracker = make_tracker(record)
        tracker.record_broken(REQUEST, "t1", time.monotonic() - 0.1)
        if records_afterwards is not None:
            tracker.update_targets(records_afterwards)
        await asyncio.sleep(seconds)
        return tracker.table.has_crashed(REQUEST.fingerprints[0])

    return asyncio.run(run())


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def test_a_target_that_refuses_connections_has_ended():
    assert run_broken(make_record(free_port()))


def test_a_target_that_accepts_connections_lives_on(listener):
    assert not run_broken(make_record(listener.getsockname()[1]))


# A crashed target that had restarted before the probe was taken for a living one.
@pytest.mark.parametrize("changes", [None, {"started_at": 9}])
def test_a_target_whose_entry_is_gone_or_replaced_has_ended(listener, changes):
    record = make_record(listener.getsockname()[1])
    afterwards = [] if changes is None else [make_record(record.port, **changes)]
    assert run_broken(record, afterwards)


# A target that ends as planned cuts off its longest runs.
# Runs that broke with a link were taken for crashes when the target ended later.
@pytest.mark.parametrize(("lived_for", "has_crashed"), [(0.2, False), (-0.2, True)])
def test_a_target_that_answers_another_instance_has_outlived_a_broken_run(
    lived_for, has_crashed
):
    async def run():
        record = make_record(free_port())
        tracker = make_tracker(record)
        lived_at = time.monotonic() + lived_for
        tracker.set_link_evidence(reach_another, lambda target: lived_at)
        tracker.record_broken(REQUEST, "t1", time.monotonic() - 0.1)
        tracker.update_targets([])
        return tracker.table.has_crashed(REQUEST.fingerprints[0])

    assert asyncio.run(run()) == has_crashed


async def reach_another(record):
    return True


def test_a_leaving_target_has_not_crashed():
    record = make_record(free_port(), leaving=True)
    assert not run_broken(record)
    assert not run_broken(record, [])


@pytest.mark.parametrize(("timeouts", "has_ended"), [(MAX_PROBES, True), (1, False)])
def test_a_target_without_an_answer_to_several_probes_has_ended(
    monkeypatch, listener, timeouts, has_ended
):
    outcomes = [TimeoutError] * timeouts
    open_connection = asyncio.open_connection

    async def probe(host, port):
        if outcomes:
            raise outcomes.pop()
        return await open_connection(host, port)

    monkeypatch.setattr(crashes_module.asyncio, "open_connection", probe)
    assert run_broken(make_record(listener.getsockname()[1])) == has_ended


# The entry of a crashed target was removed before its broken connection was noticed.
@pytest.mark.parametrize(
    ("seconds", "has_crashed"), [(0.0, True), (REMOVAL_SECONDS + 0.1, False)]
)
def test_a_run_that_breaks_just_after_the_removal_is_a_crash(seconds, has_crashed):
    async def run():
        tracker = make_tracker(make_record(free_port()))
        tracker.update_targets([])
        await asyncio.sleep(seconds)
        tracker.record_broken(REQUEST, "t1", time.monotonic() - 0.1)
        return tracker.table.has_crashed(REQUEST.fingerprints[0])

    assert asyncio.run(run()) == has_crashed


# A target was probed for each of its broken runs, and each probe costs a connection.
def test_many_broken_runs_cause_one_probe(listener):
    async def run():
        tracker = make_tracker(make_record(listener.getsockname()[1]))
        for _ in range(20):
            tracker.record_broken(REQUEST, "t1", time.monotonic() - 0.1)
        await asyncio.sleep(WAIT_SECONDS)

    asyncio.run(run())
    listener.settimeout(0.1)
    listener.accept()
    with pytest.raises(TimeoutError):
        listener.accept()


# No log line told why a run that broke had not been counted as a crash.
def test_each_broken_run_is_logged_with_its_verdict(listener, capsys):
    async def run():
        tracker = make_tracker(make_record(listener.getsockname()[1]))
        tracker.record_broken(REQUEST, "t1", time.monotonic() - 0.1)
        later = SimpleNamespace(fingerprints=(8,))
        tracker.record_completed(later, "t1", time.monotonic())

    asyncio.run(run())
    assert "broken runs do not count as crashes" in capsys.readouterr().out


def complete_run(record, is_framed, is_suspect):
    """Let a run look complete; return whether the request has crashed targets."""

    async def run():
        tracker = make_tracker(record)
        if is_suspect:
            now = time.monotonic()
            tracker.table.add(
                REQUEST.fingerprints[0], [Crash("t0", 1, now - 2.0, now - 1.0)], now
            )
        tracker.record_completed(REQUEST, "t1", time.monotonic() - 0.1, is_framed)
        await asyncio.sleep(CLOSING_SECONDS + WAIT_SECONDS)
        return tracker.table.has_crashed(REQUEST.fingerprints[0])

    return asyncio.run(run())


# A stream without length or chunks that ended with its target counted as complete, and
# so did a short answer of a suspect that ended its target just afterwards.
@pytest.mark.parametrize(("is_framed", "is_suspect"), [(False, False), (True, True)])
def test_a_run_that_looks_complete_is_a_crash_if_its_target_ends(is_framed, is_suspect):
    assert complete_run(make_record(free_port()), is_framed, is_suspect)


@pytest.mark.parametrize(("is_framed", "is_suspect"), [(False, True), (True, True)])
def test_a_suspect_that_its_target_outlives_is_cleared(listener, is_framed, is_suspect):
    record = make_record(listener.getsockname()[1])
    assert not complete_run(record, is_framed, is_suspect)


# A suspect that completed at a leaving target stayed a suspect.
def test_a_response_of_a_leaving_target_clears_a_suspect():
    assert not complete_run(
        make_record(free_port(), leaving=True), is_framed=True, is_suspect=True
    )


# A run that had completed half a second before its target ended counted as a crash.
def test_a_run_that_was_complete_well_before_the_end_is_no_crash():
    async def run():
        tracker = make_tracker(make_record(free_port()))
        now = time.monotonic()
        crash = Crash("t1", 0, now, now + 2 * CLOSING_SECONDS)
        tracker.record_completed(REQUEST, "t1", now - 0.1, is_framed=False)
        tracker._detector.record_end(crash.incarnation, "a test", crash.ended_at)
        return tracker.table.has_crashed(REQUEST.fingerprints[0])

    assert not asyncio.run(run())
