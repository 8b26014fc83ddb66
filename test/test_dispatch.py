"""Outcomes are reported correctly wherever a target closes a connection."""

import threading
import time

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondglade import messages as m

from .support.entries import Entry
from .support.targets import WHOLE, Cut, FakeTarget, answer_with

LIMITS = {"connect": 1.0, "first_byte": 2.0, "between_bytes": 1.0, "total": 5.0}
BODY = b"data: {}\n\n" * 6
PROMPT = {"model": "script-7b", "messages": [{"role": "user", "content": "brief"}]}
ENGINE = "text/event-stream"


def post(entry, idempotent, **more):
    if idempotent:
        return entry.call("POST", "/v1/chat/completions", orjson.dumps(PROMPT), **more)
    return entry.call("POST", "/bookings/slots/7", b'{"reel":7}' * 10, **more)


def wait_for(condition, seconds=5.0):
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.005)
    assert condition()


@pytest.fixture(scope="module")
def target():
    with FakeTarget(None) as target:
        yield target


@pytest.fixture(scope="module")
def entry(target):
    with Entry({"d1": target.url, "b1": target.url}, LIMITS) as entry:
        yield entry


cuts = st.one_of(
    st.builds(Cut, after_read=st.integers(0, 400), reset=st.booleans()),
    st.builds(Cut, after_written=st.integers(0, 260), reset=st.booleans()),
    st.just(WHOLE),
)


@settings(max_examples=250)
@given(
    cut=cuts,
    reused=st.booleans(),
    idempotent=st.booleans(),
    framing=st.sampled_from(["length", "chunked", "close"]),
    content_type=st.sampled_from([ENGINE, "application/json"]),
)
def test_outcome_is_correct_wherever_the_connection_is_cut(
    entry, target, cut, reused, idempotent, framing, content_type
):
    target.answer = lambda _: answer_with(BODY, framing, content_type)
    target.cut = WHOLE
    if reused:
        assert post(entry, idempotent).whole
    target.seen.clear()
    entry.broker.released.clear()
    target.cut = cut
    answer = post(entry, idempotent)
    assert len(target.seen) <= 1
    wait_for(lambda: entry.broker.released)
    result = entry.broker.released[-1].result
    if answer.outcome == "not-run":
        assert not target.seen
    elif answer.outcome == "answered" and answer.whole:
        # Without a length, a close is a valid end of the body, even if it was early.
        assert answer.body == BODY or (framing == "close" and not cut.reset)
        assert result is m.Result.COMPLETED
    else:
        assert answer.outcome == "unknown" or not answer.whole
        assert result is m.Result.BROKEN
        assert answer.outcome != "unknown" or (answer.error["repeatable"] == idempotent)
    if cut is WHOLE:
        assert answer.outcome == "answered" and answer.whole


def test_refused_connection_is_retried_on_another_target_and_counts_as_not_run(target):
    target.answer, target.cut = (lambda _: answer_with(BODY)), WHOLE
    with FakeTarget(None) as closed:
        url = closed.url
    with Entry({"b0": url, "b1": target.url}, LIMITS) as entry:
        assert post(entry, False).body == BODY
        assert [c.result.value for c in entry.broker.released] == [
            "refused",
            "completed",
        ]
        entry.document["targets"].pop("b1")
        entry.publish()
        refused = post(entry, False)
    assert (refused.outcome, refused.status) == ("not-run", 503)


def test_non_idempotent_request_uses_a_new_connection(target):
    """An idle connection may be stale, which would leave the outcome unknown."""
    target.answer, target.cut = (lambda _: answer_with(BODY)), WHOLE
    with Entry({"b1": target.url, "d1": target.url}, LIMITS) as entry:
        before = target.connections
        for _ in range(3):
            assert post(entry, False).outcome == "answered"
        assert target.connections == before + 3
        for _ in range(3):
            assert post(entry, True).outcome == "answered"
        assert target.connections == before + 3


def test_redirects_are_relayed_and_error_responses_are_not_retried(entry, target):
    target.cut = WHOLE
    for status in (b"302 Found\r\nLocation: /elsewhere", b"503 Busy"):
        target.seen.clear()
        target.answer = lambda _, status=status: (
            b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n"
        )
        answer = post(entry, True)
        assert answer.status == int(status[:3]) and answer.outcome == "answered"
        assert len(target.seen) == 1


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: +3\r\n", 502),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            502,
        ),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n", 502),
        (b"HTTP/1.1 101 Switching\r\n", 502),
        (b"HTTP/1.1 999 Odd\r\nContent-Length: 3\r\n", 502),
        (b"nonsense\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nX-A: \xc3\xa4\x00b\r\nContent-Length: 3\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nX-A: \xc3\xa4 b\r\nContent-Length: 3\r\n", 200),
    ],
)
def test_response_with_ambiguous_framing_has_unknown_outcome(
    entry, target, head, status
):
    target.cut, target.answer = WHOLE, lambda _: head + b"\r\nabc"
    answer = post(entry, False)
    assert answer.status == status
    assert answer.outcome == ("answered" if status == 200 else "unknown")
    if status == 200:
        assert b"X-A: \xc3\xa4 b" in answer.raw_head


def trickle(data, seconds, whole_head=False):
    head, _, body = data.partition(b"\r\n\r\n")
    if whole_head:
        yield head + b"\r\n\r\n"
    for byte in body if whole_head else data:
        time.sleep(seconds)
        yield bytes([byte])


@pytest.mark.parametrize(
    ("limits", "answer"),
    [
        ({"first_byte": 0.3}, lambda _: trickle(answer_with(BODY), 0.1)),
        ({"between_bytes": 0.3}, lambda _: stall_after(answer_with(BODY))),
        ({"total": 0.5}, lambda _: trickle(answer_with(BODY), 0.02, True)),
        ({"total": 0.5}, lambda _: trickle(answer_with(BODY, "close"), 0.02, True)),
        ({"first_byte": 0.3}, lambda _: stall_after(b"H")),
    ],
)
def test_stalled_read_ends_within_its_time_limit(target, limits, answer):
    target.cut = WHOLE
    target.answer = lambda request: GeneratedResponse(answer(request))
    started = time.monotonic()
    with Entry({"b1": target.url}, LIMITS | limits) as entry:
        response = entry.call("GET", "/bookings/stock")
        assert [c.result.value for c in entry.broker.released] == ["timed-out"]
    assert time.monotonic() - started < 3.0
    if response.status == 504:
        assert response.error["repeatable"] and response.headers["retry-after"] == "0"
    else:
        assert not response.whole


class GeneratedResponse:
    """A response whose chunks are generated while it is sent."""

    def __init__(self, chunks):
        self.chunks = chunks

    def __iter__(self):
        return iter(self.chunks)

    def __getitem__(self, index):
        return b"close"


def stall_after(data):
    yield data[:-1]
    time.sleep(4.0)


def receive_until(sock, word):
    data = b""
    while word not in data and (chunk := sock.recv(65536)):
        data += chunk
    return word in data


@pytest.mark.parametrize("phase", ["head", "body"])
@pytest.mark.parametrize("cause", ["preempted", "hung up"])
def test_cancelled_run_ends_and_its_connection_is_not_reused(phase, cause):
    released = threading.Event()
    whole = answer_with(BODY, "chunked", ENGINE)

    def answer(request):
        return GeneratedResponse(stream())

    def stream():
        if phase == "body":
            yield whole[:-40]
        released.wait(5.0)
        yield whole[-40:] if phase == "body" else whole

    with FakeTarget(answer) as target, Entry({"d1": target.url}, LIMITS) as entry:
        body = orjson.dumps(PROMPT | {"stream": True})
        with entry.send("POST", "/v1/chat/completions", body) as sock:
            wait_for(lambda: target.seen)
            if phase == "body":
                assert sock.recv(1)
            if cause == "preempted":
                permit = entry.broker.acquired[-1]
                permit.preempted = m.Preemption(permit.demand.request_id, 2.0)
                permit.cancel()
                assert receive_until(sock, b"preempted")
        wait_for(lambda: entry.broker.released)
        assert [c.result.value for c in entry.broker.released] == ["cancelled"]
        released.set()
        target.answer = lambda _: whole
        connections = target.connections
        again = entry.call("POST", "/v1/chat/completions", body)
        assert again.body == BODY and target.connections == connections + 1
        wait_for(lambda: entry.app.active == 0)


def test_request_of_a_disconnected_waiting_caller_is_withdrawn_and_not_dispatched():
    with FakeTarget(None) as target, Entry({"d1": target.url}, LIMITS) as entry:
        entry.broker.on_acquire = lambda demand: wait_for(
            lambda: demand.request_id in entry.broker.withdrawn
        )
        entry.send("POST", "/v1/chat/completions", orjson.dumps(PROMPT)).close()
        wait_for(lambda: entry.broker.released)
        assert entry.broker.released[0].result is m.Result.UNUSED
        assert not target.seen and target.connections == 0
