"""Keyed requests through real processes that are frozen, killed and replaced."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import orjson
import pytest

from bench.fleet import Fleet, sample_declarations

NAMES = ("e1", "e2", "e3")
FLAGS = ("--own-key-window", "1", "--list-lag", "1")
# Window, list lag, margin for paused processes and maximum wait of a list watch.
WITNESS_SECONDS = 95.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(sample_declarations(), tmp_path_factory.mktemp("logs")) as fleet:
        fleet.start_target("b1", "bookings", "muc-a", "--delay", "0.5")
        for name in NAMES:
            fleet.start_instance(name, "muc-a", *FLAGS)
        fleet.list_instances()
        fleet.await_ready(fleet.publish())
        yield fleet


def post(fleet, name, path, body, key=None, workspace="partner-a"):
    headers = {"Authorization": f"Bearer key-{workspace}"}
    if key is not None:
        headers["Idempotency-Key"] = key
    url = fleet.instances_by_id[name].url + path
    return fleet.http.request("POST", url, body=body, headers=headers, timeout=30.0)


def issue(fleet, name, count=1, workspace="partner-a"):
    response = post(
        fleet, name, "/v1/keys", orjson.dumps({"count": count}), None, workspace
    )
    assert response.status == 200, response.data
    return orjson.loads(response.data)["keys"]


def book(fleet, name, reel, key, workspace="partner-a"):
    """Book a reel and return the status, the error code and the outcome."""
    response = post(fleet, name, "/bookings/reels", reel, key, workspace)
    error = orjson.loads(response.data).get("error", {})
    return response.status, error.get("code"), response.headers["X-Almondglade-Outcome"]


def runs(fleet, reel):
    return fleet.ledger("b1")["runs"].get(f"POST /reels {reel}", 0)


def test_a_resend_through_any_instance_is_replayed_from_the_record(fleet):
    for holder in NAMES:
        reel = f"reel-{holder}"
        key = issue(fleet, holder)[0]
        for name in NAMES:
            assert book(fleet, name, reel, key)[0] == 200
        assert book(fleet, "e1", "another reel", key)[:2] == (422, "key_reused")
        assert book(fleet, "e2", reel, key, "partner-b")[:2] == (410, "key_void")
        assert runs(fleet, reel) == 1


def test_resends_while_the_request_runs_do_not_run_it_again(fleet):
    key = issue(fleet, "e2")[0]
    with ThreadPoolExecutor(6) as threads:
        results = list(threads.map(lambda n: book(fleet, n, "reel-x", key), NAMES * 2))
    assert {r[1] for r in results} == {None, "key_in_progress"}
    assert runs(fleet, "reel-x") == 1


def test_a_frozen_holder_runs_its_request_once_and_a_killed_one_never_again(fleet):
    used, unused = issue(fleet, "e3", 2)
    holder = fleet.instances_by_id["e3"]
    holder.process.send_signal(signal.SIGSTOP)
    started_at = time.monotonic()
    result = book(fleet, "e1", "reel-f", used)
    assert result == (503, "holder_unreachable", "unknown")
    assert time.monotonic() - started_at < 15.0
    holder.process.send_signal(signal.SIGCONT)
    fleet.await_ready()
    # The frozen holder may have received the request, so a resend must not run it
    # again.
    assert _retry_until_answered(fleet, "e2", "reel-f", used) == 200
    assert runs(fleet, "reel-f") == 1
    holder.process.kill()
    holder.process.wait()
    assert book(fleet, "e1", "reel-f", used)[1:] == ("holder_unreachable", "unknown")
    fleet.start_instance("e3", "muc-a", *FLAGS)
    fleet.list_instances()
    fleet.await_ready()
    for name in NAMES:
        assert book(fleet, name, "reel-f", used)[1:] == ("key_void", "unknown")
        assert book(fleet, name, "reel-u", unused)[1:] == ("key_void", "unknown")
    assert (runs(fleet, "reel-f"), runs(fleet, "reel-u")) == (1, 0)


def test_caller_supplied_keys_run_once_after_the_fleet_has_been_up_for_the_window(
    fleet,
):
    deadline = time.monotonic() + WITNESS_SECONDS + 30.0
    while (result := book(fleet, "e1", "reel-o", "own 1"))[0] != 200:
        assert result[1:] == ("key_unsettled", "unknown")
        assert time.monotonic() < deadline
        assert runs(fleet, "reel-o") == 0
        time.sleep(1.0)
    for name in NAMES:
        assert book(fleet, name, "reel-o", "own 1")[0] == 200
    assert book(fleet, "e2", "reel-o", "own 1", "partner-b")[0] == 200
    assert runs(fleet, "reel-o") == 2
    fleet.instances_by_id["e2"].process.send_signal(signal.SIGSTOP)
    assert book(fleet, "e1", "reel-p", "own 2")[1:] == ("key_unsettled", "unknown")
    fleet.instances_by_id["e2"].process.send_signal(signal.SIGCONT)
    fleet.await_ready()
    assert _retry_until_answered(fleet, "e3", "reel-p", "own 2") == 200
    assert runs(fleet, "reel-p") == 1


def _retry_until_answered(fleet, name, reel, key):
    deadline = time.monotonic() + 20.0
    while (result := book(fleet, name, reel, key))[0] != 200:
        assert result[2] == "unknown" and result[1] != "key_void", result
        assert time.monotonic() < deadline, result
        time.sleep(0.2)
    return result[0]
