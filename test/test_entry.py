"""Callers receive their own responses, complete and as the target sent them."""

import socket
import struct
import threading
import time

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondglade import messages as m
from almondglade.entry import app
from almondglade.httpserver import gate

from .support.entries import Entry, join_chunks, read_all, read_answer, request_bytes
from .support.targets import Cut, FakeTarget, answer_with

WORKSPACES = ("partner-a", "partner-b")
EVENTS = "text/event-stream"


def prompt(**more):
    messages = [{"role": "user", "content": "the same prompt"}]
    return orjson.dumps({"model": "script-7b", "messages": messages} | more)


def exchange(answer, *request, **more):
    """Return the caller's response and the request that the target received."""
    with FakeTarget(lambda _: answer) as target, Entry({"b1": target.url}) as entry:
        return (entry.call(*request, **more), *target.seen)


def test_request_is_relayed_unchanged_except_key_and_hop_by_hop_headers():
    path = "/slots/%2e%2e/a%2Fb//c;v=1?q=a+b&q=%20&self=1&request_id=2"
    headers = [
        "X-Twice: 1",
        "X-Twice: 2",
        "X_Under: 3",
        "Cookie: a=b; c=\xe4",
        "Connection: X-Hop, keep-alive",
        "X-Hop: 4",
        "TE: trailers",
        "X-Request-Id: forged",
        "Content-Type: application/octet-stream",
        "Accept-Encoding: br",
    ]
    body = bytes(range(256))
    answer, seen = exchange(
        answer_with(b"x"), "PATCH", "/bookings" + path, body, headers=headers
    )
    head, _, received = seen.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert received == body and lines[0] == f"PATCH {path} HTTP/1.1".encode()
    for kept in (headers[0], headers[1], headers[2], headers[3], *headers[8:]):
        assert lines.count(kept.encode("latin-1")) == 1
    lower = head.lower()
    for removed in (b"authorization", b"x-hop", b"connection", b"te:", b"forged"):
        assert removed not in lower
    request_id = answer.headers["x-request-id"]
    assert f"X-Request-Id: {request_id}".encode() in lines


def test_response_is_relayed_unchanged_except_hop_by_hop_headers():
    head = (
        b"HTTP/1.1 203 Odd\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
        b"Content-Encoding: gzip\r\nX-Name: \xc3\xa4\r\nConnection: X-Hop\r\n"
        b"X-Hop: 1\r\nKeep-Alive: 5\r\nX-Almondglade-Outcome: not-run\r\n"
        b"Content-Length: 4\r\n\r\n"
    )
    answer, _ = exchange(head + b"\x1f\x8b\x00\xff", "GET", "/bookings")
    assert answer.status == 203 and answer.body == b"\x1f\x8b\x00\xff"
    lines = answer.raw_head.split(b"\r\n")
    assert b"Set-Cookie: a=1" in lines and b"Set-Cookie: b=2" in lines
    assert b"X-Name: \xc3\xa4" in lines and b"Content-Encoding: gzip" in lines
    assert b"x-hop" not in answer.raw_head.lower()
    assert answer.raw_head.lower().count(b"x-almondglade-outcome") == 1
    assert answer.outcome == "answered"


def test_response_with_a_folded_line_is_not_relayed():
    head = b"HTTP/1.1 203 Odd\r\nX-Folded: a\r\n b\r\nContent-Length: 4\r\n\r\n"
    answer, _ = exchange(head + b"body", "GET", "/bookings")
    assert answer.status == 502 and answer.outcome == "unknown"
    assert b"x-folded" not in answer.raw_head.lower() and b"body" not in answer.body


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", b"200 OK"), ("GET", b"304 Same"), ("PUT", b"204 N")]
)
def test_response_without_a_body_ends_after_its_head(method, status):
    head = b"HTTP/1.1 " + status + b"\r\nETag: x\r\nContent-Length: 9\r\n\r\n"
    with FakeTarget(lambda _: head) as target, Entry({"b1": target.url}) as entry:
        with entry.connect() as sock:
            for _ in range(2):
                sock.sendall(request_bytes(method, "/bookings/"))
                received = sock.recv(65536)
                assert received.startswith(b"HTTP/1.1 " + status[:3])
                assert received.endswith(b"\r\n\r\n") and b"ETag: x" in received
        assert [c.result.value for c in entry.broker.released] == ["completed"] * 2
        assert entry.app.active == 0 and target.connections <= 2


@pytest.mark.parametrize("framing", ["chunked", "length"])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_caller_detects_a_truncated_response(framing, version):
    whole = answer_with(b"data: 1\n\n" * 4, framing, EVENTS)
    cut = Cut(after_written=len(whole) - 25 if framing == "chunked" else len(whole) - 9)
    with FakeTarget(lambda _: whole, cut) as target, Entry({"d1": target.url}) as entry:
        data = request_bytes("POST", "/v1/chat/completions", prompt(stream=True))
        with entry.connect() as sock:
            sock.sendall(data.replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
            if version == "1.0":
                with pytest.raises(ConnectionResetError):
                    while sock.recv(65536):
                        continue
                return
            data = read_all(sock)
    assert b"data: 1\n\n" in data
    if framing == "chunked":
        body, whole = join_chunks(data.partition(b"\r\n\r\n")[2])
        event = body.partition(b"event: error\ndata: ")[2]
        assert not whole and orjson.loads(event)["error"]["outcome"] == "unknown"


class PacedStream:
    """A stream whose chunks are sent when the test releases them."""

    def __init__(self, request, chunk_semaphores):
        self.name = request.partition(b"mark-")[2][:6]
        self.chunk_semaphores = chunk_semaphores

    def __iter__(self):
        yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for number in range(4):
            self.chunk_semaphores[self.name].acquire(timeout=5.0)
            chunk = b"%b-%d;" % (self.name, number)
            yield b"%x\r\n%b\r\n" % (len(chunk), chunk)
        yield b"0\r\n\r\n"

    def __getitem__(self, index):
        return b""


@pytest.fixture(scope="module")
def paced_entry():
    chunk_semaphores = {}
    with FakeTarget(lambda request: PacedStream(request, chunk_semaphores)) as target:
        with Entry({"d1": target.url}) as entry:
            yield entry, chunk_semaphores


@settings(max_examples=60)
@given(
    order=st.permutations(list(range(4)) * 4),
    cancelled=st.sets(st.integers(0, 3), max_size=3),
    at=st.integers(0, 15),
)
def test_concurrent_streams_of_two_workspaces_are_not_mixed(
    paced_entry, order, cancelled, at
):
    """Equal prompts, interleaved in any order; some callers disconnect."""
    entry, chunk_semaphores = paced_entry
    names = [b"%06d" % (time.monotonic_ns() % 100_000 + n) for n in range(4)]
    chunk_semaphores.update((name, threading.Semaphore(0)) for name in names)
    socks = [
        entry.send(
            "POST",
            "/v1/completions",
            prompt(stream=True),
            WORKSPACES[number % 2],
            [f"X-Mark: mark-{name.decode()}"],
        )
        for number, name in enumerate(names)
    ]
    for step, number in enumerate(order):
        if step == at:
            for index in cancelled:
                socks[index].shutdown(socket.SHUT_RDWR)
        chunk_semaphores[names[number]].release()
    for number, (name, sock) in enumerate(zip(names, socks, strict=True)):
        if number not in cancelled:
            expected = b"".join(b"%b-%d;" % (name, n) for n in range(4))
            answer = read_answer(sock)
            assert answer.whole and answer.body == expected
        sock.close()
        chunk_semaphores[name].release(8)


def test_slow_reader_receives_the_whole_response():
    """The time limit between bytes applies to the target, not to the caller."""
    body = bytes(8 << 20)
    with FakeTarget(lambda _: answer_with(body)) as target:
        with Entry({"b1": target.url}, {"between_bytes": 0.3}) as entry:
            lines = ["Connection: close"]
            with entry.send("GET", "/bookings/", headers=lines) as sock:
                time.sleep(1.0)
                answer = read_answer(sock)
    assert answer.whole and answer.body == body


def test_each_response_has_exactly_one_request_id(monkeypatch):
    monkeypatch.setattr(app, "issue_keys", lambda *_: b"{}")
    with Entry({}) as entry:
        for path in ["/v1/keys", "/v1/models", "/nothing"] * 3:
            answer = entry.call("GET", path)
            assert answer.raw_head.lower().count(b"x-request-id") == 1


def test_caller_that_does_not_read_is_disconnected(monkeypatch):
    monkeypatch.setattr(gate, "SEND_TIMEOUT", struct.pack("ll", 0, 300_000))
    with FakeTarget(lambda _: answer_with(bytes(16 << 20))) as target:
        with Entry({"b1": target.url}) as entry, entry.send("GET", "/bookings/"):
            for _ in range(500):
                if entry.broker.released:
                    break
                time.sleep(0.01)
            assert entry.broker.released[0].result is m.Result.CANCELLED


def test_stopping_instance_refuses_requests_and_closes_connections():
    with Entry({}) as entry:
        entry.app.stopping = True
        answer = entry.call("GET", "/v1/models")
    assert answer.error["code"] == "stopping" and answer.outcome == "not-run"
    assert answer.headers["connection"] == "close"


def test_lists_the_models_and_counts_the_usage_of_streams():
    usage = {"prompt_tokens": 7, "completion_tokens": 3}
    events = b"data: {}\n\n" * 2 + b'data: {"usage":%b}\n\n' % orjson.dumps(usage)
    stream = answer_with(events + b"data: [DONE]\n\n", "chunked", EVENTS)
    with FakeTarget(lambda _: stream) as target, Entry({"d1": target.url}) as entry:
        models = orjson.loads(entry.call("GET", "/v1/models").body)
        assert [model["id"] for model in models["data"]] == ["script-7b"]
        entry.call("POST", "/v1/completions", prompt(prompt="x", n=2, max_tokens=5))
        demand = entry.broker.acquired[0].demand
        assert demand.output_tokens == 10
        done = entry.broker.released[0]
        assert (done.input_tokens, done.output_tokens) == (7, 3)


def test_counts_the_usage_of_a_long_response_that_is_not_streamed():
    answer = {
        "choices": [
            {"message": {"content": 'a "usage": {"prompt_tokens": 1} ' * 9000}}
        ],
        "usage": {"prompt_tokens": 7, "completion_tokens": 3},
        "system_fingerprint": None,
    }
    with FakeTarget(lambda _: answer_with(orjson.dumps(answer))) as target:
        with Entry({"d1": target.url}) as entry:
            assert entry.call("POST", "/v1/completions", prompt()).whole
            done = entry.broker.released[0]
    assert (done.input_tokens, done.output_tokens) == (7, 3)
