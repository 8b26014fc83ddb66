"""Requests through a gateway that runs as a separate process."""

import os
import re
import signal
import socket
import time
from pathlib import Path

import orjson
import pytest
import urllib3

from almondglade.gateway.node import SETTINGS_POLL_SECONDS

from .gatewayfleet import START_TIMEOUT_SECONDS, GatewayFleet, make_response
from .support.targets import FakeTarget

WAIT_TIMEOUT_SECONDS = 5.0


def wait_until(check):
    end = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not check():
        assert time.monotonic() < end
        time.sleep(0.05)


def parse_headers(request):
    head = request.partition(b"\r\n\r\n")[0].decode()
    pairs = (line.partition(": ") for line in head.split("\r\n")[1:])
    return {name.lower(): value for name, _, value in pairs}


class ScriptedResponses:
    """Responds to each request with the next entry of a script, then with the last."""

    def __init__(self, *script):
        self.script = list(script)

    def __call__(self, request):
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        return step(request) if callable(step) else step


def respond_ok(request):
    return make_response(request=request)


def make_stream(events, end=True):
    """Return a response stream; without its end it breaks off within an event."""
    body = b"".join(b"id: %d\ndata: x\n\n" % number for number in events)
    last = b"0\r\n\r\n" if end else b"5\r\nid: "
    return b"".join(
        (
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\n",
            b"Content-Type: text/event-stream\r\n",
            b"" if end else b"Connection: close\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n",
            b"%x\r\n%b\r\n" % (len(body), body),
            last,
        )
    )


@pytest.fixture
def fleet_with_target(tmp_path):
    target = FakeTarget(ScriptedResponses(respond_ok))
    with GatewayFleet(tmp_path) as fleet, target:
        fleet.list_target("t1", target)
        fleet.start()
        yield fleet, target


def test_a_request_reaches_its_target_without_reserved_headers(fleet_with_target):
    fleet, target = fleet_with_target
    response = fleet.call(
        "/look/7?a=%20b", X_Tenant_Id="w2", X_Pin_Ms="9", Kv_Fetch="10.0.0.1:1"
    )
    assert (response.status, response.data) == (200, b"done")
    assert response.headers["X-Response-Seal"] == "s1"
    sent = parse_headers(target.seen[-1])
    assert target.seen[-1].startswith(b"GET /look/7?a=%20b HTTP/1.1\r\n")
    assert sent["x-tenant-id"] == "w1"
    assert sent["x-expect-instance"] == "t1"
    assert 0 < int(sent["x-deadline-ms"]) <= 3000
    assert not {"x-credential", "x-pin-ms", "kv-fetch"} & sent.keys()


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/look/1", "other", 401), ("/none/1", "key-of-w1", 404)],
)
def test_unknown_keys_and_paths_are_refused(fleet_with_target, path, key, status):
    fleet, target = fleet_with_target
    assert fleet.call(path, key=key).status == status
    assert target.seen == []


def test_a_revoked_key_stops_working(fleet_with_target):
    fleet, _ = fleet_with_target
    assert fleet.call("/look/1").status == 200
    fleet.configure(version=2, keys=("other",))
    wait_until(lambda: fleet.call("/look/1").status == 401)
    fleet.configure(version=1)
    time.sleep(0.5)
    assert fleet.call("/look/1").status == 401


def test_a_success_without_the_targets_seal_is_an_error(fleet_with_target):
    # A target that crashes after the head of its response leaves such a response.
    fleet, target = fleet_with_target
    target.answer = ScriptedResponses(
        lambda request: make_response(headers="", request=request)
    )
    assert fleet.call("/book/1", method="POST").status == 502
    assert len(target.seen) == 1


@pytest.mark.parametrize("status", ["503 Busy", "429 Slow", "408 Late", "421 Other"])
def test_a_request_is_reported_as_not_run_only_if_the_target_says_so(
    fleet_with_target, status
):
    fleet, target = fleet_with_target
    target.answer = ScriptedResponses(
        lambda request: make_response(status=status, request=request)
    )
    response = fleet.call("/book/1", method="POST")
    assert response.status == (503 if status.startswith("421") else 502)
    target.answer = ScriptedResponses(
        lambda request: make_response(
            status=status, headers="X-Not-Executed: 1\r\n", request=request
        )
    )
    response = fleet.call("/book/1", method="POST")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0


# They tell of the target's load and limits, and some reached callers.
def test_headers_that_concern_only_the_gateways_do_not_reach_callers(fleet_with_target):
    fleet, target = fleet_with_target
    internal = "X-Server-Load: 3,0,8\r\nServer-Limit: 50\r\nX-Instance-Id: t1\r\n"
    headers = f"X-Response-Seal: s1\r\nX-Other: 1\r\n{internal}"
    target.answer = lambda request: make_response(headers=headers, request=request)
    response = fleet.call("/look/1")
    assert (response.status, response.headers["X-Other"]) == (200, "1")
    for name in ("X-Server-Load", "Server-Limit", "X-Instance-Id"):
        assert name not in response.headers


@pytest.mark.parametrize(("flags", "uses"), [(("--momentary-load",), [True]), ((), [])])
def test_the_load_that_a_target_states_is_used_where_it_is_asked_for(
    tmp_path, flags, uses
):
    headers = "X-Response-Seal: s1\r\nX-Server-Load: 1,0,8,250\r\n"
    target = FakeTarget(ScriptedResponses(respond_ok))
    target.answer = lambda request: make_response(headers=headers, request=request)
    with GatewayFleet(tmp_path, flags=flags) as fleet, target:
        fleet.list_target("t1", target)
        fleet.start()
        assert fleet.call("/look/1").status == 200
        metrics = fleet.ports[-1]
        text = fleet.http.request("GET", f"http://127.0.0.1:{metrics}/metrics").data
    lines = [line for line in text.splitlines() if b"target_loads_total{" in line]
    assert [b'result="used"' in line for line in lines] == uses


def test_a_response_to_another_request_is_skipped(fleet_with_target):
    fleet, target = fleet_with_target
    extra = make_response(
        b"not yours", headers="X-Request-Id: r0\r\nX-Response-Seal: s0\r\n"
    )
    target.answer = ScriptedResponses(
        lambda request: extra + make_response(request=request)
    )
    assert fleet.call("/book/1", method="POST").data == b"done"


def test_a_workspace_over_its_allowance_gets_a_retry_after_time(fleet_with_target):
    fleet, _ = fleet_with_target
    fleet.configure(version=2, ratePerS=1.0, burst=1.0)
    wait_until(lambda: fleet.call("/look/1").status == 429)
    assert 0 < float(fleet.call("/look/1").headers["Retry-After"]) <= 1.0


def test_without_the_store_keys_are_refused_before_the_revocation_limit(tmp_path):
    target = FakeTarget(ScriptedResponses(respond_ok))
    bounds = {"revokeMs": 4000}
    with GatewayFleet(tmp_path, bounds=bounds) as fleet, target:
        fleet.list_target("t1", target)
        fleet.start()
        assert fleet.call("/look/1").status == 200
        fleet.set_store_state(down=True)
        time.sleep(3.2)
        assert fleet.call("/look/1").status == 503
        assert not fleet.is_ready()
        fleet.set_store_state(down=False)
        wait_until(fleet.is_ready)
        assert fleet.call("/look/1").status == 200
        assert "discovery: store unreachable" in fleet.log()


@pytest.fixture
def fleet_with_two_targets(tmp_path):
    targets = [FakeTarget(ScriptedResponses(respond_ok)) for _ in range(2)]
    with GatewayFleet(tmp_path) as fleet, targets[0], targets[1]:
        for number, target in enumerate(targets):
            fleet.list_target(f"t{number}", target)
        fleet.start()
        yield fleet, targets


def test_an_interrupted_stream_is_resumed_on_another_target(fleet_with_two_targets):
    fleet, targets = fleet_with_two_targets

    def script(request):
        if parse_headers(request).get("last-event-id"):
            return make_stream((3, 4))
        return make_stream((1, 2), end=False)

    for target in targets:
        target.answer = script
    response = fleet.call("/stream/1", method="POST")
    ids = [line for line in response.data.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
    sent = [parse_headers(request) for target in targets for request in target.seen]
    assert sorted(headers.get("last-event-id", "") for headers in sent) == ["", "2"]


def test_the_internal_headers_of_a_resumed_stream_reach_no_caller(
    fleet_with_two_targets,
):
    fleet, targets = fleet_with_two_targets
    seal = b"X-Response-Seal: s1\r\n"
    internal = b"X-Server-Load: 3,0,8\r\nX-Cold-Ms: 9\r\nServer-Brittle: 4\r\n"

    def script(request):
        is_resumed = parse_headers(request).get("last-event-id")
        stream = make_stream((2, 3)) if is_resumed else make_stream((1,), end=False)
        return stream.replace(seal, seal + internal)

    for target in targets:
        target.answer = script
    response = fleet.call("/stream/1", method="POST")
    assert response.data.count(b"id:") == 3
    assert response.headers["X-Response-Seal"] == "s1"
    assert not {"x-server-load", "x-cold-ms", "server-brittle"} & {
        name.lower() for name in response.headers
    }


def test_a_stream_resumed_with_an_error_does_not_look_complete(fleet_with_two_targets):
    # The second target may answer the resumed request with a complete error response.
    fleet, targets = fleet_with_two_targets

    def script(request):
        if parse_headers(request).get("last-event-id"):
            return make_response(status="500 Failed", request=request)
        return make_stream((1, 2), end=False)

    for target in targets:
        target.answer = script
    with pytest.raises(urllib3.exceptions.HTTPError):
        fleet.call("/stream/1", method="POST")
    assert sum(len(target.seen) for target in targets) == 2


def test_a_leaving_target_gets_no_new_requests(fleet_with_two_targets):
    fleet, targets = fleet_with_two_targets
    fleet.list_target("t0", targets[0], state="draining")
    time.sleep(0.5)
    before = len(targets[0].seen)
    assert all(fleet.call("/look/1").status == 200 for _ in range(20))
    assert len(targets[0].seen) == before


def test_an_invalid_target_entry_is_ignored(fleet_with_two_targets):
    fleet, targets = fleet_with_two_targets
    fleet.put("servers/t9", {"service": 7, "address": targets[0].url})
    fleet.put("servers/t8", ["no", "entry"])
    time.sleep(0.3)
    assert fleet.call("/look/1").status == 200
    assert "an entry is not usable" in fleet.log()


def test_instances_find_each_other_and_a_stop_interrupts_no_request(tmp_path):
    def respond_slowly(request):
        time.sleep(1.0)
        return make_response(request=request)

    target = FakeTarget(ScriptedResponses(respond_ok))
    with GatewayFleet(tmp_path, count=3) as fleet, target:
        fleet.list_target("t1", target)
        fleet.start()
        wait_until(
            lambda: all(
                "peer found" in fleet.log(address) for address in fleet.addresses
            )
        )
        statuses = [
            fleet.call("/look/1", address=address).status
            for address in fleet.addresses * 5
        ]
        assert statuses == [200] * 15
        target.answer = ScriptedResponses(respond_slowly)
        fleet.stop(0)
        assert fleet.call("/look/1").status == 200
        wait_until(lambda: not fleet.is_ready())
        assert fleet.processes[0].wait(8.0) == 0
        assert '"cut": 0' in fleet.log()


def test_a_reload_logs_the_settings_that_the_next_start_changes(fleet_with_target):
    fleet, _ = fleet_with_target
    path = fleet.folder / "127.0.0.1.toml"
    path.write_text(path.read_text().replace("graceS = 4", "graceS = 6"))
    fleet.processes[0].send_signal(signal.SIGHUP)
    wait_until(lambda: '"changed": ["bounds"]' in fleet.log())
    path.write_text("nodeName = 7")
    fleet.processes[0].send_signal(signal.SIGHUP)
    wait_until(lambda: "reload refused" in fleet.log())
    assert fleet.call("/look/1").status == 200


def ignores_reload_signal(pid):
    """Return whether a process ignores SIGHUP, as /proc tells."""
    status = Path(f"/proc/{pid}/status").read_text()
    (mask,) = re.findall(r"^SigIgn:\s*([0-9a-f]+)", status, re.MULTILINE)
    return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)


def processor_seconds(pid):
    """Return the processor time that a process has used."""
    times = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[11:13]
    return sum(map(int, times)) / os.sysconf("SC_CLK_TCK")


def assert_becomes_ready(fleet):
    end = time.monotonic() + START_TIMEOUT_SECONDS
    while not fleet.is_ready():
        assert fleet.processes[0].poll() is None
        assert time.monotonic() < end
        time.sleep(0.05)


@pytest.mark.parametrize("seconds", [0.2, 0.4])
def test_a_reload_during_the_start_does_not_end_the_process(tmp_path, seconds):
    # Guards against a gateway that got a reload signal while it started and ended
    # without a log line (soak seeds 209 and 218).
    with GatewayFleet(tmp_path) as fleet:
        fleet.processes.append(fleet._start("127.0.0.1"))
        time.sleep(seconds)
        fleet.processes[0].send_signal(signal.SIGHUP)
        assert_becomes_ready(fleet)


# The same with the signal sent as soon as the program can ignore it, and a limit on
# the processor time until then, as the interpreter starts late on a busy host.
def test_a_reload_from_the_first_moment_does_not_end_the_process(tmp_path):
    with GatewayFleet(tmp_path) as fleet:
        process = fleet._start("127.0.0.1")
        fleet.processes.append(process)
        end = time.monotonic() + START_TIMEOUT_SECONDS
        while not ignores_reload_signal(process.pid):
            assert process.poll() is None
            assert time.monotonic() < end
            assert processor_seconds(process.pid) < 0.1
            time.sleep(0.001)
        process.send_signal(signal.SIGHUP)
        assert_becomes_ready(fleet)


# Its threads kept a process alive that could not serve, so that it was not restarted.
def test_a_gateway_that_cannot_listen_ends(tmp_path):
    with GatewayFleet(tmp_path) as fleet:
        metrics_port = fleet.ports[-1]
        with socket.create_server(("127.0.0.1", metrics_port)):
            process = fleet._start(fleet.addresses[0])
            fleet.processes.append(process)
            assert process.wait(START_TIMEOUT_SECONDS) == 1
        assert "the gateway ends by an error" in fleet.log()


def test_changed_settings_are_noticed_without_a_signal(fleet_with_target):
    fleet, _ = fleet_with_target
    path = fleet.folder / "127.0.0.1.toml"
    path.write_text(path.read_text().replace("graceS = 4", "graceS = 6"))
    wait_until(lambda: '"changed": ["bounds"]' in fleet.log())
    time.sleep(1.2 * SETTINGS_POLL_SECONDS)
    assert fleet.log().count("gateway: reload") == 1


def test_operators_get_metrics_and_the_state_dump(fleet_with_target):
    fleet, _ = fleet_with_target
    assert fleet.call("/look/1").status == 200
    _, _, control, _, metrics = fleet.ports
    text = fleet.http.request("GET", f"http://127.0.0.1:{metrics}/metrics").data
    assert b'almondglade_places_free{service="plain"}' in text
    assert b"almondglade_evidence_age_seconds" in text
    state = orjson.loads(
        fleet.http.request("GET", f"http://127.0.0.1:{control}/dump").data
    )
    assert state["ready"]
    assert state["targets"]["t1"]["limit"] == 4
