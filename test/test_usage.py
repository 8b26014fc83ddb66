"""Exactly one usage record for each dispatch, and none for requests not dispatched."""

import contextlib
import signal
import socket
import threading
import time
from types import SimpleNamespace

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondglade import messages as m
from almondglade.usage import UsageLog
from bench.fleet import Fleet, sample_declarations

from .support.entries import Entry, read_answer, request_bytes
from .support.targets import WHOLE, Cut, FakeTarget, answer_with

LIMITS = {"connect": 1.0, "first_byte": 2.0, "between_bytes": 1.0, "total": 5.0}
PROMPT = orjson.dumps(
    {"model": "script-7b", "messages": [{"role": "user", "content": "brief"}]}
)
REQUESTS = 4
RESPONSE_DELAY_SECONDS = 18
EVENTS = b'data: {"choices":[]}\n\n' * 20


@pytest.fixture(scope="module")
def target():
    with FakeTarget(lambda _: answer_with(EVENTS, "chunked")) as target:
        yield target


@pytest.fixture(scope="module")
def entry(target):
    with Entry({"d1": target.url, "b1": target.url}, LIMITS) as entry:
        entry.records = []
        entry.scheduler.usage = UsageLog(entry.records.append)
        yield entry


@settings(max_examples=150)
@given(
    target_fault=st.builds(Cut, after_read=st.integers(0, 300), reset=st.booleans())
    | st.builds(Cut, after_written=st.integers(0, 300), reset=st.booleans())
    | st.just(WHOLE),
    path=st.sampled_from(["/v1/chat/completions", "/bookings/reels"]),
    kill_after_bytes=st.none() | st.sampled_from([0, 1, 200]),
    refuse=st.sampled_from([None, "plan", "body"]),
)
def test_each_dispatch_has_one_record_despite_failures(
    entry, target, target_fault, path, kill_after_bytes, refuse
):
    target.cut = target_fault
    body = b"[" if refuse == "body" else PROMPT
    workspace = "nobody" if refuse == "plan" else "partner-a"
    with entry.send("POST", path, body, workspace) as sock:
        # A caller that is killed has read a part of the response, or none of it.
        if kill_after_bytes is None:
            read_answer(sock)
        elif kill_after_bytes:
            sock.recv(kill_after_bytes)
    wait_until(lambda: not entry.app.active)
    # The caller of an earlier example may have disconnected before its request was
    # read, so the records of all examples so far are compared.
    wait_until(lambda: _written(entry) == _dispatched(entry))
    written = _written(entry)
    assert len({request for request, _ in written}) == len(written)
    assert len(target.seen) <= len(_written(entry))


def _written(entry):
    return sorted((record.request, record.result) for record in entry.records)


def _dispatched(entry):
    ended = [c for c in entry.broker.released if _was_dispatched(c)]
    return sorted((c.request_id, c.result.value) for c in ended)


def _was_dispatched(completion):
    return completion.result not in (m.Result.UNUSED, m.Result.REFUSED)


def wait_until(condition, seconds=10.0):
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.002)
    assert condition()


def test_a_refused_connection_leaves_no_record():
    with FakeTarget(None) as closed:
        url = closed.url
    with Entry({"b0": url}, LIMITS) as lone:
        records = []
        lone.scheduler.usage = UsageLog(records.append)
        assert lone.call("POST", "/bookings/reels", b"x").outcome == "not-run"
    assert not records


def test_a_concurrent_stop_and_end_of_a_run_write_one_record():
    for _ in range(200):
        records = []
        usage = UsageLog(records.append)
        demand = m.Demand("r1", "drafts", "partner-a", 0, 7)
        permit = SimpleNamespace(demand=demand, grant=SimpleNamespace(target="d1"))
        meter = SimpleNamespace(usage=m.Completion("r1", "drafts", m.Result.BROKEN))
        waiting = SimpleNamespace(dispatched=False)
        usage.open(permit, waiting, meter)
        usage.close_all()
        assert not records
        waiting.dispatched = True
        end = m.Completion("r1", "drafts", m.Result.COMPLETED, 7, 0, 3)
        threads = [
            threading.Thread(target=usage.close_all),
            threading.Thread(target=usage.close, args=(end,)),
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert len(records) == 1
        assert sum(usage.snapshot()["records"].values()) == 1


def test_a_stop_writes_the_records_of_requests_that_it_cuts_off(tmp_path):
    with Fleet(sample_declarations(), tmp_path) as fleet:
        fleet.start_target(
            "b1", "bookings", "muc-a", "--delay", str(RESPONSE_DELAY_SECONDS)
        )
        flags = ("--log-form", "json", "--stop-timeout", "1", "--stop-notice", "0.1")
        instance = fleet.start_instance("e1", "muc-a", *flags)
        fleet.list_instances()
        fleet.await_ready(fleet.publish())
        for number in range(REQUESTS):
            send = threading.Thread(target=_post_booking, args=(instance.port, number))
            send.start()
        wait_until(lambda: fleet.ledger("b1")["runs"])
        instance.process.send_signal(signal.SIGTERM)
        instance.process.wait(RESPONSE_DELAY_SECONDS / 2)
        runs = sum(fleet.ledger("b1")["runs"].values())
    lines = (tmp_path / "e1.log").read_bytes().splitlines()
    records = [orjson.loads(line) for line in lines if b"usage: used" in line]
    assert len({record["request"] for record in records}) == len(records) == runs


def _post_booking(port, number):
    with socket.create_connection(("127.0.0.1", port), 20.0) as sock:
        sock.sendall(request_bytes("POST", "/bookings/reels", b"%d" % number))
        with contextlib.suppress(OSError):
            read_answer(sock)
