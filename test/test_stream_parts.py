"""A stream goes on only with a response that is the rest of it."""

import time
from dataclasses import dataclass

import pytest
import urllib3

from .gatewayfleet import HOST, KEY, GatewayFleet
from .support.targets import FakeTarget
from .test_gateway_path import make_stream
from .test_stream_versions import REFUSED_SECONDS

HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s2\r\n"
REST_OF_STREAM = (
    b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    b"id: 3\ndata: HTTP\n\nid: 4\ndata: HTTP\n\n"
)
RESPONSES_THAT_ARE_NO_STREAM = {
    "empty": b"Content-Length: 0\r\n\r\n",
    "empty in chunks": b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "blank lines": b"Content-Length: 2\r\n\r\n\n\n",
    "text": b"Content-Length: 21\r\n\r\nupstream unavailable\n",
    "text and a blank line": b"Content-Length: 22\r\n\r\nupstream unavailable\n\n",
    "head": b"Content-Length: 28\r\n\r\nHTTP/1.1 502 Bad Gateway\r\n\r\n",
    "malformed name": b"X Odd: 1\r\n" + REST_OF_STREAM,
    "malformed value": b"X-Odd: a\rContent-Length: 17\r\n" + REST_OF_STREAM,
}
FOREIGN_WORDS = (b"upstream", b"HTTP")


@dataclass
class Received:
    """What a caller got of a response."""

    status: int
    body: bytes
    is_complete: bool

    @property
    def is_success(self):
        return self.status == 200 and self.is_complete


def send(fleet, headers):
    url = f"http://{fleet.addresses[0]}:{fleet.ports[0]}/stream/1"
    headers = {"Host": HOST, "X-Credential": KEY} | headers
    return fleet.http.request("POST", url, headers=headers, preload_content=False)


def receive(fleet, headers):
    """Send a streaming request and read what comes of the response.

    It is sent again as long as it is refused, as targets pause after a failure.
    """
    end = time.monotonic() + REFUSED_SECONDS
    response = send(fleet, headers)
    while response.status == 503 and time.monotonic() < end:
        time.sleep(0.05)
        response = send(fleet, headers)
    body = bytearray()
    try:
        for piece in response.stream(1 << 10):
            body += piece
    except urllib3.exceptions.HTTPError:
        return Received(response.status, bytes(body), False)
    return Received(response.status, bytes(body), True)


# The next target answered 200 without a content type. Its empty body ended the stream
# as complete, or the text of an error became an event of it.
@pytest.mark.parametrize("rest", RESPONSES_THAT_ARE_NO_STREAM)
def test_a_stream_does_not_go_on_with_a_response_that_is_no_stream(tmp_path, rest):
    def respond(request):
        if b"Last-Event-Id: " in request:
            return HEAD + RESPONSES_THAT_ARE_NO_STREAM[rest]
        return make_stream((1, 2), end=False)

    targets = [FakeTarget(respond) for _ in range(2)]
    with GatewayFleet(tmp_path) as fleet, targets[0], targets[1]:
        for number, target in enumerate(targets):
            fleet.list_target(f"t{number}", target)
        fleet.start()
        answers = [
            receive(fleet, {"X-Request-Id": "r1"}),
            # The caller takes it up.
            receive(
                fleet,
                {"X-Request-Id": "r2", "Last-Event-Id": "2", "Resumes": "r1"},
            ),
        ]
    resumed = [b"Last-Event-Id: 2" in seen for t in targets for seen in t.seen]
    assert sum(resumed) >= 2
    for answer in answers:
        assert not answer.is_success
        assert not any(word in answer.body for word in FOREIGN_WORDS)
