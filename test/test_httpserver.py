"""Bad input gets an error response quickly and does not affect other callers."""

import time

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondglade.entry import bodies
from almondglade.httpserver import gate

from .support.entries import Entry, read_answer, request_bytes
from .support.targets import FakeTarget, answer_with

PROMPT = orjson.dumps({"model": "script-7b", "messages": [{"role": "user"}]})
BOOKING = b'{"reel":7}'
MEGABYTE = 1 << 20


@pytest.fixture(scope="module")
def target():
    with FakeTarget(lambda _: answer_with(b"done")) as target:
        yield target


@pytest.fixture(scope="module")
def entry(target):
    with Entry({"d1": target.url, "b1": target.url}) as entry:
        yield entry


def is_serving(entry):
    return entry.call("POST", "/bookings/slots", BOOKING).body == b"done"


def send_raw(entry, data):
    with entry.connect() as sock:
        sock.sendall(data)
        return read_answer(sock)


def chat(body, *headers):
    return request_bytes("POST", "/v1/chat/completions", body, headers=headers)


def with_lines(*lines, body=b""):
    return request_bytes("POST", "/bookings/slots", headers=lines) + body


def with_prompt(**more):
    return chat(orjson.dumps(orjson.loads(PROMPT) | more))


DEEP = b'{"model":"script-7b","messages":' + b"[" * 500 + b"]" * 500 + b"}"

BAD = {
    "not json": (chat(b"{"), 400, "bad_request"),
    "not an object": (chat(b"[1]"), 400, "bad_request"),
    "not utf-8": (chat(b'{"model":"\xff"}'), 400, "bad_request"),
    "deep": (chat(DEEP), 400, "bad_request"),
    "very deep": (chat(b"[" * 100_000), 400, "bad_request"),
    "empty": (chat(b""), 400, "bad_request"),
    "unknown model": (chat(b'{"model":"other"}'), 404, "not_found"),
    "model of another type": (chat(b'{"model":{"a":[1]}}'), 404, "not_found"),
    "no messages": (chat(b'{"model":"script-7b"}'), 400, "bad_request"),
    "messages of another type": (with_prompt(messages=7), 400, "bad_request"),
    "huge count": (with_prompt(max_tokens=1 << 62), 400, "bad_request"),
    "count of another type": (with_prompt(max_tokens=True), 400, "bad_request"),
    "choices": (with_prompt(n=0), 400, "bad_request"),
    "stream of another type": (with_prompt(stream="yes"), 400, "bad_request"),
    "too large": (chat(b" " * (MEGABYTE + 1)), 413, "body_too_large"),
    "declared too large": (with_lines("Content-Length: 999999999999"), 413, None),
    "bad key": (request_bytes("GET", "/v1/models", workspace="x"), 401, None),
    "two keys": (with_lines("Authorization: Bearer key-partner-b"), 400, None),
    "no service": (request_bytes("GET", "/nothing/here"), 404, "not_found"),
    "dots": (request_bytes("GET", "/bookings/../../etc"), 200, None),
    "absolute": (request_bytes("GET", "http://x/bookings/"), 400, None),
    "authority": (request_bytes("GET", "//x/bookings/"), 400, None),
    "broken authority": (request_bytes("GET", "//[/"), 400, None),
    "options": (request_bytes("OPTIONS", "*"), 404, None),
    "nul in path": (request_bytes("GET", "/bookings/\0"), 400, None),
    "latin path": (request_bytes("GET", "/bookings/\xe4"), 400, None),
    "lower case method": (request_bytes("get", "/bookings/"), 400, None),
    "wrong method": (request_bytes("GET", "/v1/completions"), 405, None),
    "nul in header": (with_lines("X-A: a\0b"), 400, "bad_request"),
    "bare cr in header": (with_lines("X-A: a\rX-B: b"), 400, "bad_request"),
    "folded header": (with_lines("X-A: a\r\n b"), 400, "bad_request"),
    "space before colon": (with_lines("X-A : a"), 400, "bad_request"),
    "two lengths": (with_lines("Content-Length: 1", "Content-Length: 2"), 400, None),
    "length list": (with_lines("Content-Length: 1, 1"), 400, None),
    "signed length": (with_lines("Content-Length: +1"), 400, None),
    "length and coding": (
        with_lines("Content-Length: 1", "Transfer-Encoding: chunked"),
        400,
        None,
    ),
    "unknown coding": (with_lines("Transfer-Encoding: gzip, chunked"), 400, None),
    "bad chunk": (with_lines("Transfer-Encoding: chunked", body=b"x\r\n"), 400, None),
    "too many headers": (with_lines(*["X-A: 1"] * 200), 400, None),
    "too large a head": (with_lines("X-A: " + "a" * 70_000), 431, "head_too_large"),
    "no version": (b"GET /\r\n\r\n", 400, None),
    "other version": (b"GET / HTTP/2.0\r\n\r\n", 400, None),
    "odd version": (b"GET / HTTP/01.1\r\nHost: a\r\n\r\n", 400, None),
    "no host": (b"GET /v1/models HTTP/1.1\r\n\r\n", 400, None),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_input_gets_an_error_response_and_is_not_run(entry, target, name):
    data, status, code = BAD[name]
    target.seen.clear()
    answer = send_raw(entry, data)
    assert answer.whole and answer.status == status
    if status != 200:
        assert not target.seen
        assert answer.headers["content-type"] == "application/json"
        assert answer.error["outcome"] == answer.outcome == "not-run"
        assert code in (None, answer.error["code"])
    assert is_serving(entry)


def test_unread_body_is_not_parsed_as_a_request(entry, target):
    smuggled = request_bytes("POST", "/bookings/smuggled", BOOKING)
    chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(smuggled), smuggled)
    target.seen.clear()
    for lines, body in (
        (["Transfer-Encoding: chunked"], chunk),
        ([f"Content-Length: {len(smuggled)}"], smuggled),
    ):
        head = request_bytes("POST", "/nothing/", headers=lines)
        answer = send_raw(entry, head + body)
        assert answer.status == 404 and answer.headers["connection"] == "close"
    assert not target.seen


def test_chunked_body_is_joined_and_its_trailers_are_consumed(entry, target):
    target.seen.clear()
    head = request_bytes("POST", "/bookings/", headers=["Transfer-Encoding: chunked"])
    with entry.connect() as sock:
        for _ in range(2):
            sock.sendall(head + b"3\r\nabc\r\n4;x=1\r\ndefg\r\n0\r\nX-End: 1\r\n\r\n")
            assert read_answer(sock).body == b"done"
    assert [seen.endswith(b"\r\n\r\nabcdefg") for seen in target.seen] == [True, True]
    too_large = b"%x\r\n" % MEGABYTE + b" " * MEGABYTE + b"\r\n5\r\nabcde\r\n0\r\n\r\n"
    assert send_raw(entry, head + too_large).status == 413


def test_continue_is_sent_only_for_accepted_requests(entry):
    lines = ["Expect: 100-continue", f"Content-Length: {len(BOOKING)}"]
    with entry.connect() as sock:
        sock.sendall(request_bytes("POST", "/bookings/", headers=lines))
        assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
        sock.sendall(BOOKING)
        assert read_answer(sock).body == b"done"
    refused = send_raw(entry, request_bytes("POST", "/none/", headers=lines))
    assert refused.status == 404


def test_slow_and_idle_callers_do_not_occupy_threads(target):
    """Others are served beside hundreds of callers that send nothing or slowly."""
    with Entry({"b1": target.url}, max_requests=4, reserve_threads=2) as entry:
        idle = [entry.connect() for _ in range(150)]
        slow = [entry.connect() for _ in range(150)]
        body = request_bytes("POST", "/bookings/slots", BOOKING)
        for part in (body[:1], body[1:20], body[20:-2]):
            for sock in slow:
                sock.sendall(part)
            started = time.monotonic()
            assert is_serving(entry)
            assert time.monotonic() - started < 2.0
        kept = [entry.connect() for _ in range(150)]
        for sock in kept:
            sock.sendall(body)
            assert read_answer(sock).body == b"done"
        slow[0].sendall(body[-2:])
        assert read_answer(slow[0]).body == b"done"
        for sock in idle + slow + kept:
            sock.close()


def test_request_that_arrives_too_slowly_is_refused(entry, monkeypatch):
    monkeypatch.setattr(gate, "HEAD_SECONDS", 0.3)
    monkeypatch.setattr(bodies, "BODY_SECONDS", 0.3)
    large = request_bytes("POST", "/bookings/", b" " * 100_000)
    chunked = request_bytes(
        "POST", "/bookings/", headers=["Transfer-Encoding: chunked"]
    )
    for data in (large[:30], large[:400], large[:70_000], chunked + b"50\r\nab"):
        with entry.connect() as sock:
            sock.sendall(data)
            for _ in range(8):
                sock.sendall(b" ")
                time.sleep(0.02)
            answer = read_answer(sock)
        assert answer.error["code"] == "caller_timeout"
        assert answer.outcome == "not-run"
    assert is_serving(entry)


def test_requests_over_the_concurrency_limit_are_refused_immediately(target):
    def wait():
        time.sleep(1.5)

    with FakeTarget(lambda _: answer_with(b"done"), pause=wait) as slow:
        with Entry({"b1": slow.url}, max_requests=4, reserve_threads=2) as entry:
            busy = [entry.send("POST", "/bookings/", BOOKING) for _ in range(4)]
            while len(slow.seen) < 4:
                time.sleep(0.01)
            started = time.monotonic()
            refused = [entry.call("POST", "/bookings/", BOOKING) for _ in range(20)]
            assert time.monotonic() - started < 1.2
            assert {a.error["code"] for a in refused} == {"overloaded"}
            assert {(a.status, a.outcome) for a in refused} == {(503, "not-run")}
            assert all(int(a.headers["retry-after"]) >= 1 for a in refused)
            assert [read_answer(sock).body for sock in busy] == [b"done"] * 4
            assert len(slow.seen) == 4


fragments = st.sampled_from(
    [
        b"POST /bookings/slots HTTP/1.1\r\n",
        b"GET /v1/models HTTP/1.1\r\n",
        b"POST /v1/completions HTTP/1.1\r\n",
        b"Host: a\r\n",
        b"Authorization: Bearer key-partner-a\r\n",
        b"Content-Length: 7\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"Connection: close, x-a\r\n",
        b"\r\n",
        b"5\r\nabcde\r\n",
        b"0\r\n\r\n",
        b'{"model":"script-7b","messages":[[]]}',
    ]
)


@settings(max_examples=200)
@given(st.lists(st.one_of(fragments, fragments, st.binary(max_size=30)), max_size=14))
def test_server_keeps_serving_after_arbitrary_bytes(entry, chunks):
    with entry.connect() as sock:
        sock.sendall(b"".join(chunks))
        sock.shutdown(1)
        answer = read_answer(sock)
    if answer.status >= 400:
        assert answer.error["outcome"] in ("not-run", "unknown")
        assert answer.error["code"] != "internal"
    assert is_serving(entry)
