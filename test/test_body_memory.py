"""Large requests at once do not drive a gateway over the memory of its machine."""

import contextlib
import socket
import threading
import time
from pathlib import Path

import pytest

from .gatewayfleet import HOST, KEY, GatewayFleet, make_response
from .support.entries import read_answer
from .support.targets import FakeTarget

CALLERS = 60
# Within `maxBodyBytes` of the fleet's document.
BODY = bytes(1_000_000)
# `memoryMb` of the fleet's settings.
MEMORY_KB = 150 << 10
RUN_SECONDS = 0.3
# On a busy host, within the time limit of the requests.
MAX_START_SECONDS = 2.5


def request_head(number, length):
    """Return the head of a request with a body of some bytes."""
    lines = [
        "POST /look/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: large-{number}",
        "X-Deadline-Ms: 5000",
        f"X-Credential: {KEY}",
        f"Content-Length: {length}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def resident_kb(process, field):
    """Return the resident memory of a process: ``VmRSS`` now, ``VmHWM`` at most."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(field))


def test_responses_that_nobody_reads_stay_within_the_memory(tmp_path):
    response = make_response(bytes(8_000_000), request=b"")
    target = FakeTarget(lambda request: response)
    with GatewayFleet(tmp_path) as fleet, target, contextlib.ExitStack() as stack:
        fleet.list_target("t1", target, slots=CALLERS)
        fleet.start()
        for number in range(CALLERS):
            address = ("127.0.0.1", fleet.ports[0])
            sock = stack.enter_context(socket.create_connection(address))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            sock.sendall(request_head(number, 0))
        time.sleep(2.0)
        # Together, the responses are twice as long as the memory.
        until = time.monotonic() + MAX_START_SECONDS
        while len(target.seen) * 8_000_000 <= 2 * MEMORY_KB * 1024:
            assert time.monotonic() < until
            time.sleep(0.05)
        process = fleet.processes[0]
        assert process.poll() is None
        assert resident_kb(process, "VmHWM") < MEMORY_KB


@pytest.fixture
def fleet(tmp_path):
    target = FakeTarget(
        lambda request: make_response(request=request[:2000]),
        pause=lambda: time.sleep(RUN_SECONDS),
    )
    with GatewayFleet(tmp_path) as fleet, target:
        fleet.list_target("t1", target, slots=CALLERS)
        fleet.start()
        yield fleet


def test_large_bodies_at_once_stay_within_the_memory(fleet):
    process = fleet.processes[0]
    idle_kb = resident_kb(process, "VmRSS")
    together = threading.Barrier(CALLERS)
    statuses = []

    def call(number):
        address = ("127.0.0.1", fleet.ports[0])
        with socket.create_connection(address, timeout=10.0) as sock:
            together.wait()
            sock.sendall(request_head(number, len(BODY)) + BODY)
            answer = read_answer(sock)
        statuses.append((answer.status, answer.headers.get("retry-after")))

    threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert process.poll() is None
    assert resident_kb(process, "VmHWM") < MEMORY_KB
    # Every caller is told what became of its request.
    assert len(statuses) == CALLERS
    assert set(statuses) <= {(200, None), (503, "1.00")}
    # The budget of 30 MB holds at least so many.
    assert sum(status == 200 for status, _ in statuses) >= 30
    # Idle threads keep no bodies.
    until = time.monotonic() + 3.0
    limit_kb = idle_kb + 10 * len(BODY) // 1024
    while resident_kb(process, "VmRSS") > limit_kb and time.monotonic() < until:
        time.sleep(0.05)
    assert resident_kb(process, "VmRSS") <= limit_kb
    url = f"http://127.0.0.1:{fleet.ports[4]}/metrics"
    while b"almondglade_body_bytes 0" not in fleet.http.request("GET", url).data:
        assert time.monotonic() < until
        time.sleep(0.05)
