"""An answer that breaks off is never delivered as a complete one."""

import itertools

import orjson
import pytest
import urllib3

from .gatewayfleet import GatewayFleet, make_response, make_route
from .support.entries import Entry
from .support.targets import FakeTarget

EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
PARTIAL_EVENT = b"id: 3\ndata:"
CONTENT_TYPE = b"Content-Type: text/event-stream\r\n"
FRAMINGS = ("connection", "chunked", "length")
# Routes of streams that may not be resumed, and of answers that may be repeated.
ROUTES = ("/once/", "/look/", "/book/")
PROMPT = orjson.dumps(
    {"model": "script-7b", "messages": [{"role": "user", "content": "brief"}]}
)


def make_stream(body, framing):
    """Return a response stream whose body is complete according to its framing."""
    head = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nConnection: close\r\n"
    head += CONTENT_TYPE
    if framing == "connection":
        return head + b"\r\n" + body
    if framing == "length":
        return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


def looks_complete(fleet, path):
    """Return whether a caller of a gateway takes the response for complete."""
    try:
        return fleet.call(path, method="POST").status == 200
    except urllib3.exceptions.HTTPError:
        return False


@pytest.fixture
def fleet_with_target(tmp_path):
    with GatewayFleet(tmp_path) as fleet, FakeTarget(None) as target:
        fleet.configure(
            routes=[
                make_route("/once/", "streaming", "plain"),
                make_route("/look/", "idempotent", "plain", maxAttempts=1),
                make_route("/book/", "non_idempotent", "plain", maxAttempts=1),
            ]
        )
        fleet.list_target("t1", target)
        fleet.start()
        yield fleet, target


def test_a_stream_that_ends_within_an_event_is_not_complete_at_a_gateway(
    fleet_with_target,
):
    fleet, target = fleet_with_target
    complete = []
    for framing, route in itertools.product(FRAMINGS, ROUTES):
        for body in (EVENTS + PARTIAL_EVENT, PARTIAL_EVENT):
            target.answer = lambda _, b=body, f=framing: make_stream(b, f)
            if looks_complete(fleet, f"{route}1"):
                complete.append((framing, route, body))
        target.answer = lambda _, f=framing: make_stream(EVENTS, f)
        assert fleet.call(f"{route}1", method="POST").data == EVENTS
    assert not complete


def test_a_stream_without_a_content_type_that_ends_within_an_event_is_not_complete(
    fleet_with_target,
):
    fleet, target = fleet_with_target
    for framing in FRAMINGS:
        stream = make_stream(EVENTS + PARTIAL_EVENT, framing)
        target.answer = lambda _, s=stream: s.replace(CONTENT_TYPE, b"")
        assert not looks_complete(fleet, "/once/1")


def test_a_stream_that_ends_within_an_event_is_not_complete_at_an_entry():
    complete = []
    with FakeTarget(None) as target, Entry({"d1": target.url}) as entry:
        for framing in FRAMINGS:
            for body in (EVENTS + PARTIAL_EVENT, PARTIAL_EVENT):
                target.answer = lambda _, b=body, f=framing: make_stream(b, f)
                answer = entry.call("POST", "/v1/chat/completions", PROMPT)
                assert answer.status in (200, 502)
                if answer.status == 200 and answer.whole:
                    complete.append((framing, body))
            target.answer = lambda _, f=framing: make_stream(EVENTS, f)
            answer = entry.call("POST", "/v1/chat/completions", PROMPT)
            assert answer.whole and answer.body == EVENTS
    assert not complete


def test_a_stream_that_ends_with_its_connection_before_any_event_is_not_complete(
    fleet_with_target,
):
    fleet, target = fleet_with_target
    target.answer = lambda _: make_stream(b"", "connection")
    assert not looks_complete(fleet, "/once/1")


def test_answers_that_end_with_their_connection_are_relayed(fleet_with_target):
    fleet, target = fleet_with_target
    head = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nConnection: close\r\n\r\n"
    target.answer = lambda _: head + b"done"
    assert fleet.call("/book/1", method="POST").data == b"done"
    target.answer = lambda request: make_response(request=request)
    assert fleet.call("/book/1", method="POST").data == b"done"


# The coordinator was not told that a response had no end but that of its connection.
def test_an_entry_reports_which_answers_only_their_connection_ended():
    with FakeTarget(None) as target, Entry({"d1": target.url}) as entry:
        for framing in FRAMINGS:
            target.answer = lambda _, f=framing: make_stream(EVENTS, f)
            assert entry.call("POST", "/v1/chat/completions", PROMPT).body == EVENTS
        assert [each.unframed for each in entry.broker.released] == [True, False, False]
