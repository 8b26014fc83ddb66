"""A target that sends bytes without end costs neither memory nor time without end."""

import contextlib
import itertools
import socket
import threading
import time

import pytest

from almondglade.errors import TargetError
from almondglade.loads import LoadPoller

from .gatewayfleet import HOST, KEY, GatewayFleet, make_response, make_route
from .support.entries import Entry
from .support.targets import FakeTarget

PIECE = b"x" * (64 << 10)
OK = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nConnection: close\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n"
END_OF_CHUNKS = b"0\r\n\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
# First bytes of an answer, and the bytes that follow it without end.
ENDLESS_BY_NAME = {
    "no protocol": (b"", PIECE),
    "long header": (OK + b"X-Long: ", PIECE),
    "many headers": (OK, b"X-Many: 1\r\n" * 1000),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "chunk size": (CHUNKED + b"\r\n", b"0" * 4096),
    "chunk extension": (CHUNKED + b"\r\n5;", PIECE),
    "trailer": (CHUNKED + b"\r\n1\r\nx\r\n0\r\n", b"X-Trailer: 1\r\n" * 1000),
    "body": (OK + b"\r\n", PIECE),
    "event": (OK + EVENTS + b"\r\nid: 1\ndata: ", PIECE),
    "chunked event": (CHUNKED + EVENTS + b"\r\n", b"10000\r\n" + PIECE + b"\r\n"),
}
# The memory of the smallest machines that gateways run on.
MAX_MEMORY_BYTES = 128 << 20
TIME_LIMIT_SECONDS = 3.0
MAX_OVERRUN_SECONDS = 0.5


class EndlessAnswer:
    """An answer that is sent until the connection is closed."""

    def __init__(self, first, rest):
        self.first, self.rest = first, rest
        self.closed = threading.Event()

    def __iter__(self):
        try:
            yield self.first
            yield from itertools.repeat(self.rest)
        finally:
            self.closed.set()

    def __getitem__(self, index):
        return b"close"


def peak_memory_bytes(pid):
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM:"))
    return int(line.split()[1]) << 10


@pytest.fixture(scope="module")
def fleet_with_target(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    with GatewayFleet(folder) as fleet, FakeTarget(None) as target:
        fleet.configure(
            routes=[make_route("/book/", "non_idempotent", "plain", maxAttempts=1)]
        )
        fleet.list_target("t1", target)
        fleet.start()
        yield fleet, target


def call_until_served(fleet, target):
    """Call until the target, which is paused after a failure, is used again."""
    target.answer = lambda request: make_response(request=request)
    end = time.monotonic() + 10.0
    while fleet.call("/book/1", method="POST").status != 200:
        assert time.monotonic() < end
        time.sleep(0.1)


def read_response(fleet):
    """Call a gateway; return the status and whether the response is whole.

    The bytes are read as they are. A client that decodes chunks in this process falls
    behind the target, which runs in it too, and ends later than the gateway does.
    """
    request = (
        f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
        f"X-Deadline-Ms: {TIME_LIMIT_SECONDS * 1000:.0f}\r\nX-Credential: {KEY}\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    received, last = b"", b""
    with socket.create_connection(("127.0.0.1", fleet.ports[0])) as sock:
        sock.sendall(request.encode())
        with contextlib.suppress(ConnectionError):
            while data := sock.recv(len(PIECE)):
                received = received or data
                last = (last + data)[-len(END_OF_CHUNKS) :]
    return int(received.split()[1]), last == END_OF_CHUNKS


@pytest.mark.parametrize("name", ENDLESS_BY_NAME)
def test_a_gateway_ends_an_answer_without_end(fleet_with_target, name):
    fleet, target = fleet_with_target
    call_until_served(fleet, target)
    answer = EndlessAnswer(*ENDLESS_BY_NAME[name])
    target.answer = lambda _: answer
    started = time.monotonic()
    status, is_whole = read_response(fleet)
    if name in ("no protocol", "long header", "many headers"):
        assert status == 502
    assert status == 502 or not is_whole
    assert time.monotonic() - started < TIME_LIMIT_SECONDS / 2
    assert answer.closed.wait(MAX_OVERRUN_SECONDS)
    assert peak_memory_bytes(fleet.processes[0].pid) < MAX_MEMORY_BYTES


def test_a_gateway_relays_chunks_without_end_no_longer_than_its_time_limit(
    fleet_with_target,
):
    fleet, target = fleet_with_target
    call_until_served(fleet, target)
    answer = EndlessAnswer(CHUNKED + b"\r\n", b"10000\r\n" + PIECE + b"\r\n")
    target.answer = lambda _: answer
    started = time.monotonic()
    _, is_whole = read_response(fleet)
    assert not is_whole
    assert time.monotonic() - started < TIME_LIMIT_SECONDS + MAX_OVERRUN_SECONDS
    assert answer.closed.wait(MAX_OVERRUN_SECONDS)
    assert peak_memory_bytes(fleet.processes[0].pid) < MAX_MEMORY_BYTES


@pytest.mark.parametrize("name", sorted(ENDLESS_BY_NAME.keys() - {"body"}))
def test_an_entry_ends_an_answer_without_end(name):
    answer = EndlessAnswer(*ENDLESS_BY_NAME[name])
    with (
        FakeTarget(lambda _: answer) as target,
        Entry({"b1": target.url}, {"total": 5.0, "first_byte": 5.0}) as entry,
    ):
        started = time.monotonic()
        response = entry.call("POST", "/bookings/slots/7", b'{"reel":7}')
        assert time.monotonic() - started < TIME_LIMIT_SECONDS / 2
        assert answer.closed.wait(MAX_OVERRUN_SECONDS)
    assert not (response.status == 200 and response.whole)


def test_an_entry_ends_a_body_without_end():
    answer = EndlessAnswer(*ENDLESS_BY_NAME["body"])
    with (
        FakeTarget(lambda _: answer) as target,
        Entry({"b1": target.url}, {"total": 5.0, "first_byte": 5.0}) as entry,
        entry.send("POST", "/bookings/slots/7", b'{"reel":7}') as sock,
    ):
        started = time.monotonic()
        last = b""
        with contextlib.suppress(ConnectionError):
            while data := sock.recv(len(PIECE)):
                last = data
        assert time.monotonic() - started < TIME_LIMIT_SECONDS / 2
        assert not last.endswith(b"0\r\n\r\n")
        assert answer.closed.wait(MAX_OVERRUN_SECONDS)


@pytest.mark.parametrize("name", ENDLESS_BY_NAME)
def test_a_poll_ends_a_load_report_without_end(name):
    answer = EndlessAnswer(*ENDLESS_BY_NAME[name])

    class Kind:
        load_path = "/load"

        @staticmethod
        def parse_load(text):
            raise TargetError("the load report is malformed")

    poller = LoadPoller(None, None)
    with FakeTarget(lambda _: answer) as target:
        started = time.monotonic()
        with pytest.raises(TargetError):
            poller._fetch_load(Kind, target.url)
        assert time.monotonic() - started < TIME_LIMIT_SECONDS
        assert answer.closed.wait(MAX_OVERRUN_SECONDS)
