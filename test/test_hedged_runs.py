"""Second copies of late requests at a gateway that runs as a separate process."""

import select
import socket
import threading
import time

import pytest

from .gatewayfleet import HOST, KEY, GatewayFleet, make_response
from .support.targets import FakeTarget
from .test_gateway_path import respond_ok, wait_until
from .test_stream_versions import wait_until_listed

# Before a delay is learned, a target is taken for silent after a second.
SILENCE_SECONDS = 1.0
STALL_SECONDS = 2.6
MAX_ATTEMPTS = 2


# Stall until another request stalls.
UNTIL_OTHER = object()


class Stalls:
    """For how long each of the next requests stalls, and when their callers left."""

    def __init__(self, *script):
        self.script = list(script)
        self.other_began = threading.Event()
        self.ended = []

    def wait(self, sock):
        seconds = self.script.pop(0)
        if seconds is UNTIL_OTHER:
            self.other_began.wait(9.0)
            return
        self.other_began.set()
        if select.select([sock], [], [], seconds)[0]:
            self.ended.append(time.monotonic())


class StallingTarget(FakeTarget):
    """Stalls as its script says, and notes when a stalled request's connection ends."""

    def _read(self, sock, cut):
        request = super()._read(sock, cut)
        if request.startswith(b"GET /look/") and self.stalls.script:
            self.stalls.wait(sock)
        return request


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a gateway, and the targets."""

    def list_and_start(stalls, *flags, answer=respond_ok):
        fleet.flags = flags
        for number, target in enumerate(targets):
            target.stalls, target.answer = stalls, answer
            fleet.list_target(f"t{number}", target)
        fleet.start()
        wait_until_listed(fleet, len(targets))
        return fleet, targets

    targets = [StallingTarget(respond_ok) for _ in range(3)]
    fleet = GatewayFleet(tmp_path)
    with fleet, targets[0], targets[1], targets[2]:
        yield list_and_start


def seen(targets):
    return sum(b"/look/" in request for target in targets for request in target.seen)


def all_slots_are_free(fleet):
    url = f"http://127.0.0.1:{fleet.ports[4]}/metrics"
    metrics = fleet.http.request("GET", url).data.decode()
    return 'almondglade_places_free{service="plain"} 12' in metrics


def test_a_target_that_stalls_once_delays_no_answer_for_long(start):
    stalls = Stalls(STALL_SECONDS)
    fleet, targets = start(stalls, "--hedge-share", "1.0")
    started_at = time.monotonic()
    assert fleet.call("/look/a").status == 200
    assert SILENCE_SECONDS <= time.monotonic() - started_at < STALL_SECONDS
    wait_until(lambda: stalls.ended)
    assert seen(targets) == MAX_ATTEMPTS
    wait_until(lambda: "hedge over" in fleet.log())
    assert '"result": "won"' in fleet.log()
    wait_until(lambda: all_slots_are_free(fleet))
    assert "run broke off" not in fleet.log()
    assert "target paused" not in fleet.log()


def test_without_the_flag_a_request_waits_for_its_target(start):
    fleet, targets = start(Stalls(1.5))
    started_at = time.monotonic()
    assert fleet.call("/look/a").status == 200
    assert time.monotonic() - started_at >= 1.5
    assert seen(targets) == 1


def test_the_first_copy_ends_the_second(start):
    stalls = Stalls(UNTIL_OTHER, STALL_SECONDS)
    fleet, targets = start(stalls, "--hedge-share", "1.0")
    assert fleet.call("/look/a").status == 200
    wait_until(lambda: len(stalls.ended) == 1)
    assert seen(targets) == MAX_ATTEMPTS


def test_the_failure_of_one_copy_does_not_end_the_other(start):
    failures = [make_response(status="500 Internal Server Error")]

    def answer(request):
        is_failure = failures and request.startswith(b"GET /look/")
        return failures.pop() if is_failure else make_response(request=request)

    fleet, targets = start(
        Stalls(UNTIL_OTHER, 0.5), "--hedge-share", "1.0", answer=answer
    )
    assert fleet.call("/look/a").status == 200
    wait_until(lambda: '"result": "won"' in fleet.log())
    assert seen(targets) == MAX_ATTEMPTS


def test_a_caller_that_leaves_ends_both_copies(start):
    stalls = Stalls(9.0, 9.0)
    fleet, targets = start(stalls, "--hedge-share", "1.0")
    with socket.create_connection(("127.0.0.1", fleet.ports[0])) as caller:
        caller.sendall(
            f"GET /look/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
            f"X-Deadline-Ms: 5000\r\nX-Credential: {KEY}\r\n\r\n".encode()
        )
        wait_until(lambda: seen(targets) == MAX_ATTEMPTS)
        assert not stalls.ended
    left_at = time.monotonic()
    wait_until(lambda: len(stalls.ended) == 2)
    assert max(stalls.ended) - left_at < 1.0
    assert seen(targets) == MAX_ATTEMPTS
    wait_until(lambda: "caller disconnected" in fleet.log())
    wait_until(lambda: all_slots_are_free(fleet))
