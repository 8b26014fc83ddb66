"""An answer that a target resets while it is sent the request may not be whole.

The kernel reports a reset once. If the write of the request gets it, reads return what
had arrived before and then end as after an orderly close.
"""

from types import SimpleNamespace

import pytest

from almondglade.deadlines import Deadlines
from almondglade.dispatch.call import BrokenCallError, Call, CallLimits
from almondglade.dispatch.connections import Attempt, TargetPools

from .relayingfleet import ROUTES, RelayingFleet
from .support.entries import Entry
from .support.targets import Cut, FakeTarget, with_request_id

# More than the kernel's buffers take, so that the write waits for the target.
UPLOAD = b"u" * (8 << 20)
HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\n"
EVENTS = b"id: 1\ndata: x\n\n" * 3
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
PARTS = {
    "nothing": b"\r\n",
    "some bytes": b"\r\n" + b"p" * 10,
    "more bytes": b"\r\n" + b"p" * 5000,
    "whole events": EVENT_STREAM + b"\r\n" + EVENTS,
}
FRAMED_PARTS = {
    "shorter than its length": b"Content-Length: 11\r\n\r\n" + b"p" * 10,
    "without its last chunk": b"Transfer-Encoding: chunked\r\n\r\n5\r\nppppp\r\n",
}
WHOLE = {
    "length": b"Content-Length: 5\r\n\r\nppppp",
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n5\r\nppppp\r\n0\r\n\r\n",
}
LIMITS = CallLimits(1.0, 5.0, 5.0, 5.0)


def resetting_target(answer):
    """Return a target that answers early, reads no more and resets the connection."""
    target = FakeTarget(None, receive_buffer=4096)
    answer_early(target, answer)
    return target


def answer_early(target, answer):
    target.answer = lambda request: with_request_id(answer, request)
    target.cut = Cut(after_read=4096, after_written=1 << 20, reset=True)


def call_with_upload(target):
    """Send the upload and return the body of the response."""
    call = Call(
        TargetPools().get(target.url),
        SimpleNamespace(method="POST", target_path="/", headers=(), body=UPLOAD),
        LIMITS,
        Attempt(lambda: True),
        Deadlines(),
    )
    call.open()
    body = b""
    while chunk := call.read():
        body += chunk
    return body


@pytest.mark.parametrize("name", [*PARTS, *FRAMED_PARTS])
def test_a_part_that_is_reset_during_the_upload_is_not_whole(name):
    with resetting_target(HEAD + (PARTS | FRAMED_PARTS)[name]) as target:
        with pytest.raises(BrokenCallError):
            call_with_upload(target)


def test_a_part_of_a_failure_is_not_whole():
    head = HEAD.replace(b"200 OK", b"500 Internal Server Error")
    with resetting_target(head + b"\r\nfailed") as target:
        with pytest.raises(BrokenCallError):
            call_with_upload(target)


@pytest.mark.parametrize("framing", WHOLE)
def test_an_answer_with_an_end_is_whole_although_the_upload_was_reset(framing):
    with resetting_target(HEAD + WHOLE[framing]) as target:
        assert call_with_upload(target) == b"ppppp"


@pytest.mark.parametrize("name", PARTS)
def test_an_entry_passes_on_no_part_as_whole(name):
    with (
        resetting_target(HEAD + PARTS[name]) as target,
        Entry({"b1": target.url}) as entry,
    ):
        entry.document["services"]["bookings"]["max_body_bytes"] = len(UPLOAD)
        entry.publish()
        answer = entry.call("POST", "/bookings/slots/7", UPLOAD)
    assert len(target.seen) == 1
    assert not (answer.status == 200 and answer.whole)


@pytest.fixture(scope="module")
def fleet_with_target(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    with (
        RelayingFleet(folder) as fleet,
        FakeTarget(None, receive_buffer=4096) as target,
    ):
        fleet.configure(routes=ROUTES, max_body_bytes=len(UPLOAD))
        fleet.start_with(target)
        yield fleet, target


# Through a gateway that reaches the target, and through one that relays to it.
@pytest.mark.parametrize("is_relayed", [False, True], ids=["direct", "relayed"])
@pytest.mark.parametrize("path", [route["pathPrefix"] for route in ROUTES])
@pytest.mark.parametrize("name", ["some bytes", "whole events"])
def test_a_gateway_passes_on_no_part_as_whole(
    fleet_with_target, name, path, is_relayed
):
    fleet, target = fleet_with_target
    fleet.wait_until_served("/look/1", is_relayed)
    answer_early(target, HEAD + PARTS[name])
    seen = len(target.seen)
    assert not fleet.gets_success(f"{path}1", is_relayed, body=UPLOAD)
    assert len(target.seen) == seen + 1
