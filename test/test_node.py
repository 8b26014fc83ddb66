"""Lifecycle of an instance: start, state dump on a signal, graceful stop."""

import signal
import threading
import time

import orjson
import pytest
from urllib3.exceptions import HTTPError

from bench.fleet import Fleet, sample_declarations
from standin.load import LoadRun, Stream, plan_arrivals

LOAD_SECONDS = 8.0
BALANCER_CHECK_SECONDS = 0.5
STOP_TIMEOUT_SECONDS = 20.0


@pytest.fixture
def fleet(tmp_path):
    with Fleet(sample_declarations(), tmp_path) as fleet:
        fleet.start_target("d1", "drafts", "muc-a")
        fleet.start_target("b1", "bookings", "muc-a")
        yield fleet


def start_instances(fleet, *names, flags=()):
    for name in names:
        fleet.start_instance(name, "muc-a", *flags)
    fleet.list_instances()
    fleet.await_ready(fleet.publish())


def read_log(fleet, name):
    return (fleet.log_folder / f"{name}.log").read_text()


def run_balancer(fleet, urls, load_ended):
    """Remove instances that are not ready from the list, as a load balancer does."""
    while not load_ended.wait(BALANCER_CHECK_SECONDS):
        for instance in fleet.instances_by_id.values():
            try:
                response = fleet.http.request("GET", instance.operator_url + "/readyz")
                ready = response.status == 200
            except (HTTPError, OSError):
                ready = False
            if not ready and instance.url in urls and len(urls) > 1:
                urls.remove(instance.url)


def test_two_instances_stopped_together_under_load_cut_off_no_request(fleet):
    # The three remaining instances of five are a majority; without one, the shares of
    # the limits would shrink.
    start_instances(fleet, "e1", "e2", "e3", "e4", "e5")
    streams = [
        Stream("partner-a", "key-partner-a", 0, 10, "script-7b", max_tokens=60),
        Stream("partner-b", "key-partner-b", 2, 10, None, "/bookings/slots/1"),
    ]
    urls = [instance.url for instance in fleet.instances_by_id.values()]
    load, load_ended = (
        LoadRun(urls, plan_arrivals(streams, LOAD_SECONDS, seed=5)),
        threading.Event(),
    )
    balancer = threading.Thread(
        target=run_balancer, args=(fleet, load.urls, load_ended)
    )
    runner = threading.Thread(target=load.run)
    balancer.start()
    runner.start()
    time.sleep(2.0)
    for name in ("e1", "e2"):
        fleet.instances_by_id[name].process.send_signal(signal.SIGTERM)
    codes = [
        fleet.instances_by_id[name].process.wait(STOP_TIMEOUT_SECONDS)
        for name in ("e1", "e2")
    ]
    runner.join()
    load_ended.set()
    balancer.join()
    failed_samples = [
        (round(s.started_at, 1), s.arrival.stream.key, s.code, s.outcome)
        for s in load.samples
        if not s.good
    ]
    assert codes == [0, 0]
    assert len(load.samples) == len(load.arrivals)
    assert failed_samples == []
    booked = sum(fleet.ledger("b1")["runs"].values())
    assert booked == sum(s.arrival.stream.model is None for s in load.samples)


def start_draft(fleet, name, tokens):
    body = {"model": "script-7b", "prompt": "a", "max_tokens": tokens, "stream": True}
    return fleet.http.request(
        "POST",
        fleet.instances_by_id[name].url + "/v1/completions",
        body=orjson.dumps(body),
        headers={"Authorization": "Bearer key-partner-a"},
        preload_content=False,
    )


def post_booking(fleet, name):
    return fleet.http.request(
        "POST",
        fleet.instances_by_id[name].url + "/bookings/slots/1",
        headers={"Authorization": "Bearer key-partner-a"},
    )


def test_a_stop_serves_during_the_notice_then_refuses_then_exits(fleet):
    start_instances(fleet, "e1", flags=("--stop-notice", "1"))
    instance = fleet.instances_by_id["e1"]
    instance.process.send_signal(signal.SIGUSR1)
    running = start_draft(fleet, "e1", 600)
    instance.process.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    assert fleet.http.request("GET", instance.operator_url + "/readyz").status == 503
    assert post_booking(fleet, "e1").status == 200
    time.sleep(1.2)
    refused = post_booking(fleet, "e1")
    assert refused.status == 503
    error = orjson.loads(refused.data)["error"]
    assert (error["code"], error["outcome"]) == ("stopping", "not-run")
    assert b"[DONE]" in running.data
    assert instance.process.wait(STOP_TIMEOUT_SECONDS) == 0
    assert "node: state" in read_log(fleet, "e1")


@pytest.mark.parametrize("cause", ["second signal", "timeout"])
def test_a_forced_stop_logs_the_requests_that_it_cuts_off(fleet, cause):
    flags = (
        "--stop-notice",
        "0",
        "--stop-timeout",
        "1" if cause == "timeout" else "30",
    )
    start_instances(fleet, "e1", flags=flags)
    process = fleet.instances_by_id["e1"].process
    running = start_draft(fleet, "e1", 2000)
    process.send_signal(signal.SIGTERM)
    if cause == "second signal":
        time.sleep(0.5)
        process.send_signal(signal.SIGTERM)
    assert process.wait(STOP_TIMEOUT_SECONDS) == 3
    running.close()
    assert "cut off requests in progress" in read_log(fleet, "e1")


def test_a_port_in_use_is_reported(fleet):
    start_instances(fleet, "e1")
    used_port = str(fleet.instances_by_id["e1"].port)
    second = fleet.start_instance("e2", "muc-a", "--caller-port", used_port)
    assert second.process.wait(STOP_TIMEOUT_SECONDS) == 1
    assert f"port {used_port} cannot be bound" in read_log(fleet, "e2")
