"""What a stopping gateway still sends, and what callers of the rest are told."""

import contextlib
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from almondglade.gateway.draining import Draining
from almondglade.gateway.node import UNREADY_NOTICE_SECONDS
from almondglade.outcome import Code, Outcome, RequestError

from .coordinating import FakeClock
from .gatewayfleet import HOST, KEY, GatewayFleet, make_response, make_route
from .support.targets import FakeTarget

# Of the fleet's grace time; longer than the notice.
BOUNDS = {"graceS": 5}
WORK_SECONDS = 6.0
# Long enough that requests wait for a slot for the whole grace time.
TERMS = {"targetLatencyMs": 20_000, "timeoutMs": 20_000, "maxAttempts": 2}
ROUTES = [
    make_route("/look/", "idempotent", "plain", **TERMS),
    make_route("/book/", "non_idempotent", "plain", **TERMS),
    make_route("/once/", "streaming", "plain", **TERMS),
]
PATHS = [route["pathPrefix"] for route in ROUTES]


@pytest.fixture
def fleet_with_target(tmp_path):
    with GatewayFleet(tmp_path, bounds=BOUNDS) as fleet, FakeTarget(None) as target:
        fleet.configure(routes=ROUTES)
        fleet.list_target("t1", target, slots=1)
        fleet.start()
        yield fleet, target


def respond_after(target, wait):
    """Let a target answer requests after a wait, and status checks at once."""

    def respond(request):
        if request.startswith(b"POST"):
            wait()
        return make_response(request=request)

    target.answer = respond


def count_runs(target):
    return sum(request.startswith(b"POST") for request in target.seen)


def call(fleet, path, **sent):
    return fleet.call(path, method="POST", X_Deadline_Ms="20000", **sent)


# They were sent when the target had room, and cut at the end of the grace time.
@pytest.mark.parametrize("path", PATHS)
def test_a_request_that_waited_for_a_slot_is_not_sent_late_in_a_stop(
    fleet_with_target, path
):
    fleet, target = fleet_with_target
    held, work = threading.Event(), threading.Event()
    respond_after(target, lambda: (work if held.is_set() else held).wait(WORK_SECONDS))
    with ThreadPoolExecutor() as executor:
        first = executor.submit(call, fleet, "/look/1")
        time.sleep(0.3)
        waiting = executor.submit(call, fleet, f"{path}2")
        time.sleep(0.3)
        fleet.stop()
        time.sleep(UNREADY_NOTICE_SECONDS + 0.5)
        held.set()
        assert first.result().status == 200
        response = waiting.result()
    assert response.status == 503
    assert float(response.headers["Retry-After"]) == 0.0
    assert count_runs(target) == 1


@pytest.mark.parametrize("path", PATHS)
def test_a_request_whose_body_arrives_late_in_a_stop_is_not_sent(
    fleet_with_target, path
):
    fleet, target = fleet_with_target
    respond_after(target, lambda: time.sleep(WORK_SECONDS))
    body = b"b" * (64 << 10)
    head = (
        f"POST {path}1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
        f"X-Deadline-Ms: 20000\r\nX-Credential: {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", fleet.ports[0]), 10.0) as sock:
        sock.sendall(head.encode() + body[: 48 << 10])
        time.sleep(0.3)
        fleet.stop()
        time.sleep(UNREADY_NOTICE_SECONDS + 0.5)
        sock.sendall(body[48 << 10 :])
        received = sock.recv(1 << 16)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert not count_runs(target)


# Their connections were closed without an answer.
@pytest.mark.parametrize("path", PATHS)
def test_requests_in_progress_at_the_end_of_a_stop_get_an_answer(
    fleet_with_target, path
):
    fleet, target = fleet_with_target
    respond_after(target, lambda: time.sleep(WORK_SECONDS))
    with ThreadPoolExecutor() as executor:
        response = executor.submit(call, fleet, f"{path}1")
        time.sleep(0.3)
        fleet.stop()
        assert response.result().status == 502
    assert fleet.processes[0].wait(BOUNDS["graceS"]) == 0
    assert count_runs(target) == 1


# It ended with the process, without a line in the log.
def test_a_stream_in_progress_at_the_end_of_a_stop_does_not_look_complete(
    fleet_with_target,
):
    fleet, target = fleet_with_target
    head = (
        b"HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\n"
        b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    )

    def events(request):
        yield head + b"id: 1\ndata: x\n\n"
        for number in range(2, 100):
            time.sleep(0.1)
            yield b"id: %d\ndata: x\n\n" % number

    class Stream:
        def __iter__(self):
            return events(None)

        def __getitem__(self, index):
            return b"close"

    target.answer = lambda request: Stream()
    received = b""
    with socket.create_connection(("127.0.0.1", fleet.ports[0]), 10.0) as sock:
        sock.sendall(
            f"POST /once/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
            f"X-Deadline-Ms: 20000\r\nX-Credential: {KEY}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        time.sleep(0.3)
        fleet.stop()
        with contextlib.suppress(ConnectionError):
            while data := sock.recv(1 << 16):
                received += data
    assert received.count(b"id: ") >= 10 * UNREADY_NOTICE_SECONDS
    assert not received.endswith(b"0\r\n\r\n")
    assert fleet.processes[0].wait(BOUNDS["graceS"]) == 0
    assert '"result": "failed"' in fleet.log()


def make_request(**changes):
    return SimpleNamespace(
        **{
            "request_id": "r1",
            "route": SimpleNamespace(streaming=False),
            "deadline": 100.0,
            "may_have_run": False,
        }
        | changes
    )


@pytest.mark.parametrize(
    ("now", "changes", "code"),
    [
        (1.0, {}, None),
        (2.5, {}, Code.STOPPING),
        (2.5, {"may_have_run": True}, Code.TARGET_FAILED),
        # Its time limit ends before the process does.
        (2.5, {"deadline": 7.0}, None),
        (7.5, {"deadline": 7.0}, Code.STOPPING),
        # What has begun goes on.
        (
            2.5,
            {"may_have_run": True, "route": SimpleNamespace(streaming=True)},
            None,
        ),
        (
            7.5,
            {"may_have_run": True, "route": SimpleNamespace(streaming=True)},
            Code.TARGET_FAILED,
        ),
        (2.5, {"route": SimpleNamespace(streaming=True)}, Code.STOPPING),
    ],
)
def test_what_is_sent_during_a_stop_can_end_before_it(now, changes, code):
    clock = FakeClock()
    draining = Draining(clock)
    clock.now = 0.0
    draining.check(make_request())
    draining.start(sends_until=2.2, ends_at=7.2)
    clock.now = now
    if code is None:
        draining.check(make_request(**changes))
        return
    with pytest.raises(RequestError) as raised:
        draining.check(make_request(**changes))
    assert raised.value.code is code
    is_not_run = raised.value.outcome is Outcome.NOT_RUN
    assert is_not_run == (not changes.get("may_have_run"))
