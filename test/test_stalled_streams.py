"""Streams that stall are ended, and slow ones that go on are not."""

import itertools
import threading
import time
from types import SimpleNamespace

import pytest

from almondglade.deadlines import Deadlines
from almondglade.dispatch.call import Call, CallLimits, CallTimeoutError
from almondglade.dispatch.connections import Attempt, TargetPools
from almondglade.errors import TargetError

from .gatewayfleet import GatewayFleet, make_route
from .support.targets import FakeTarget
from .test_gateway_path import wait_until

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"X-Response-Seal: s1\r\nConnection: close\r\n\r\n"
)
EVENT = b"id: %d\ndata: x\n\n"
GAP_SECONDS = 0.3
PIECE_SECONDS = 0.05
# Far beyond the gap; a stream that is not cut would last for this long.
TOTAL_SECONDS = 4.0
MAX_STALL_SECONDS = 3 * GAP_SECONDS
LONG_PROMPT_TOKENS = 60_000


class Pieces:
    """The pieces of an answer, with a pause before each but the first."""

    def __init__(self, pieces, pause=PIECE_SECONDS):
        self.pieces, self.pause = pieces, pause

    def __iter__(self):
        for number, piece in enumerate(self.pieces):
            time.sleep(self.pause if number else 0.0)
            yield piece

    def __getitem__(self, index):
        return b"close"


def read_all(target):
    """Read a whole answer; return its bytes."""
    call = Call(
        TargetPools().get(target.url),
        SimpleNamespace(method="GET", target_path="/", headers=(), body=b""),
        CallLimits(1.0, 1.0, GAP_SECONDS, TOTAL_SECONDS),
        Attempt(lambda: True),
        Deadlines(),
    )
    call.open()
    received = b""
    while not call.is_complete:
        received += call.read()
    return received


# Each byte restarted the limit on gaps, and a comment or a part of an event is none.
@pytest.mark.parametrize(
    "filler", [b": ping\n\n", b":\n", b"d"], ids=["comments", "lines", "bytes"]
)
def test_a_stream_without_further_events_is_ended(filler):
    answer = Pieces(itertools.chain([HEAD, EVENT % 1], itertools.repeat(filler)))
    started_at = time.monotonic()
    with FakeTarget(lambda _: answer) as target, pytest.raises(CallTimeoutError):
        read_all(target)
    assert time.monotonic() - started_at < MAX_STALL_SECONDS


def test_a_slow_stream_is_read_to_its_end():
    events = [EVENT % number for number in range(1, 9)]
    answer = Pieces([HEAD, *events], 0.6 * GAP_SECONDS)
    with FakeTarget(lambda _: answer) as target:
        assert read_all(target) == b"".join(events)


def test_comments_between_events_do_not_end_a_stream():
    events = [EVENT % 1, *[b": ping\n\n"] * 4, EVENT % 2, *[b": ping\n\n"] * 4]
    with FakeTarget(lambda _: Pieces([HEAD, *events, EVENT % 3])) as target:
        assert read_all(target).endswith(EVENT % 3)


def test_a_stream_that_ends_within_an_event_after_a_stall_is_broken():
    answer = Pieces([HEAD, EVENT % 1, b"id: 2\nda"])
    with FakeTarget(lambda _: answer) as target, pytest.raises(TargetError):
        read_all(target)


@pytest.fixture
def fleet(tmp_path):
    with GatewayFleet(tmp_path) as fleet:
        route = make_route(
            "/stream/", "streaming", "plain", streamResume=True, gapTargetMs=400
        )
        fleet.configure(routes=[route])
        yield fleet


def start_with(fleet, targets):
    for number, target in enumerate(targets):
        fleet.list_target(f"t{number}", target)
    fleet.start()


def call_with_prompt(fleet, targets, tokens):
    usage = f"{tokens},10"
    status = fleet.call("/stream/1", method="POST", X_Token_Usage=usage).status
    runs = [request for target in targets for request in target.seen]
    return status, sum(request.startswith(b"POST") for request in runs)


# The longest prompts take longer than others until the first event, and were given up
# and read again elsewhere.
def test_a_long_prompt_is_given_the_time_that_it_takes(fleet):
    answers = [lambda _: Pieces([HEAD, EVENT % 1], 1.6)] * 2
    with FakeTarget(answers[0]) as one, FakeTarget(answers[1]) as other:
        start_with(fleet, (one, other))
        assert call_with_prompt(fleet, (one, other), LONG_PROMPT_TOKENS) == (200, 1)


def test_a_silent_target_is_given_up_after_a_short_prompt(fleet):
    silent = lambda _: Pieces([b"", HEAD], 3.0)  # noqa: E731
    with FakeTarget(silent) as one, FakeTarget(silent) as other:
        start_with(fleet, (one, other))
        assert call_with_prompt(fleet, (one, other), 100)[1] == 2


# A target that is slow to report loses its entry for a while, and goes on working.
def test_a_stream_goes_on_while_its_target_is_not_listed(fleet):
    events = [EVENT % number for number in range(1, 16)]
    answer = Pieces([HEAD, *events], 0.2)
    with FakeTarget(lambda _: answer) as one, FakeTarget(lambda _: answer) as other:
        start_with(fleet, (one, other))
        timers = [
            threading.Timer(1.0, fleet.remove, [f"servers/t{number}"])
            for number in range(2)
        ]
        for timer in timers:
            timer.start()
        assert call_with_prompt(fleet, (one, other), 100) == (200, 1)
        for timer in timers:
            timer.join()
        # The log is written a moment after the response.
        wait_until(lambda: '"result": "completed"' in fleet.log())
        assert fleet.log().count("target dropped") == 2
