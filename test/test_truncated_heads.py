"""A target that stops within the head of its response has not answered."""

import itertools
from types import SimpleNamespace

import pytest

from almondglade.deadlines import Deadlines
from almondglade.dispatch.call import Call, CallLimits
from almondglade.dispatch.connections import Attempt, TargetPools
from almondglade.errors import TargetError

from .gatewayfleet import GatewayFleet, make_route
from .support.targets import WHOLE, Cut, FakeTarget
from .test_gateway_path import respond_ok, wait_until

FIRST_LINES = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\n"
FRAMINGS = {
    "length": b"Content-Length: 30\r\n\r\n" + b"id: 1\ndata: x\n\n" * 2,
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n",
    "connection": b"Connection: close\r\n\r\nabcdef",
    "interim": b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef",
}
LIMITS = CallLimits(1.0, 2.0, 2.0, 5.0)


def open_call(target, method="GET"):
    """Send a request and return the head of the response."""
    call = Call(
        TargetPools().get(target.url),
        SimpleNamespace(method=method, target_path="/", headers=(), body=b""),
        LIMITS,
        Attempt(lambda: True),
        Deadlines(),
    )
    try:
        return call.open()
    finally:
        call.close()


# At each byte of the head, with an orderly close and with a reset.
@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_head_that_ends_with_its_connection_is_no_answer(framing, reset):
    response = FIRST_LINES + FRAMINGS[framing]
    head, end, _ = response.partition(b"\r\n\r\n")
    head_bytes = len(head + end)
    if framing == "interim":
        response = response.replace(b"200 OK", b"100 Continue", 1)
        head_bytes = response.rindex(end) + len(end)
    with FakeTarget(lambda _: response) as target:
        for method, cut in itertools.product(("GET", "POST"), range(head_bytes)):
            target.cut = Cut(after_written=cut, reset=reset)
            with pytest.raises(TargetError):
                open_call(target, method)
        target.cut = WHOLE
        assert open_call(target).status == 200


# A caller got a 200 whose body was empty or short, framed as whole.
def test_a_caller_gets_no_success_for_a_head_that_broke_off(tmp_path):
    routes = [
        make_route("/look/", "idempotent", "plain", maxAttempts=1),
        make_route("/book/", "non_idempotent", "plain", maxAttempts=1),
        make_route("/stream/", "streaming", "plain", maxAttempts=1),
    ]
    response = FIRST_LINES + FRAMINGS["length"]
    cuts = (9, 15, 17, 25, len(FIRST_LINES), len(FIRST_LINES) + 18)
    with GatewayFleet(tmp_path) as fleet, FakeTarget(respond_ok) as target:
        fleet.configure(routes=routes)
        fleet.list_target("t1", target)
        fleet.start()
        for route, cut in itertools.product(routes, cuts):
            target.answer, target.cut = respond_ok, WHOLE
            wait_until(lambda: fleet.call("/look/1").status == 200)
            target.answer = lambda _: response
            target.cut = Cut(after_written=cut)
            seen = len(target.seen)
            assert fleet.call(f"{route['pathPrefix']}1", method="POST").status == 502
            assert len(target.seen) > seen
