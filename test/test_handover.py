"""A silent run is ended only once another target is known to take it up."""

import threading
import time
from types import SimpleNamespace

import pytest

from almondglade.gateway.handover import Handover

from .gatewayfleet import GatewayFleet, make_route
from .support.targets import FakeTarget
from .test_gateway_path import parse_headers
from .test_stalled_streams import EVENT, HEAD, Pieces
from .test_stream_versions import wait_until_listed

# Longer than the gap after which a stream may go on elsewhere, and shorter than the
# callers wait.
PAUSE_SECONDS = 2.5
EVENTS = 5


class Scheduler:
    """Assigns slots by hand, and counts those that were asked for and given back."""

    def __init__(self):
        self.has_other = self.has_room = self.has_slot = True
        self.retries = 0
        self.tickets, self.returned = [], []
        self.suspects = SimpleNamespace(isolated_fingerprint=lambda request: 0)

    def has_target(self, service, version, attempted):
        return self.has_other

    def has_retry_room(self, service):
        return self.has_room

    def may_retry(self, request):
        self.retries += self.has_room
        return self.has_room

    def request_slot(self, request, attempted):
        ticket = SimpleNamespace(target="t2" if self.has_slot else "")
        self.tickets.append(ticket)
        return ticket

    def return_slot(self, ticket):
        self.returned.append(ticket)


@pytest.fixture
def scheduler():
    return Scheduler()


@pytest.fixture
def handover(scheduler):
    request = SimpleNamespace(
        request_id="r1",
        service="s",
        version="v1",
        attempted_targets=["t1"],
        deadline=10.0,
        caller_connection=SimpleNamespace(disconnected=False),
        route=SimpleNamespace(max_attempts=3),
    )
    run = SimpleNamespace(
        request=request,
        scheduler=scheduler,
        resumable=True,
        clock=lambda: 1.0,
        is_origin_certain=lambda: True,
    )
    return Handover(run, "t1")


def test_the_next_attempt_is_reserved_once(scheduler, handover):
    assert handover.is_ready() and handover.is_ready()
    assert (scheduler.retries, len(scheduler.tickets)) == (1, 1)
    handover.withdraw()
    assert handover.take() is scheduler.tickets[0]
    handover.close()
    assert scheduler.returned == []


@pytest.mark.parametrize("missing", ["has_other", "has_room", "has_slot"])
def test_a_run_goes_on_until_all_that_is_needed_is_there(scheduler, handover, missing):
    setattr(scheduler, missing, False)
    assert not handover.is_ready()
    assert scheduler.retries == 0
    setattr(scheduler, missing, True)
    for ticket in scheduler.tickets:
        ticket.target = "t2"
    assert handover.is_ready()


@pytest.mark.parametrize(
    "end",
    [
        lambda run: setattr(run, "resumable", False),
        lambda run: setattr(run, "is_origin_certain", lambda: False),
        lambda run: setattr(run.request.caller_connection, "disconnected", True),
        lambda run: setattr(run.request, "deadline", 0.5),
        lambda run: setattr(run.request.route, "max_attempts", 1),
        lambda run: setattr(
            run.scheduler.suspects, "isolated_fingerprint", lambda request: 7
        ),
    ],
    ids=[
        "not resumable",
        "version uncertain",
        "caller gone",
        "late",
        "attempts",
        "isolated",
    ],
)
def test_a_run_that_could_not_go_on_elsewhere_is_not_ended(scheduler, handover, end):
    scheduler.has_slot = False
    assert not handover.is_ready()
    end(handover.run)
    assert not handover.is_ready()
    assert scheduler.returned == scheduler.tickets


def test_a_slot_is_given_back_when_the_run_goes_on_or_ends(scheduler, handover):
    scheduler.has_slot = False
    assert not handover.is_ready()
    handover.withdraw()
    assert scheduler.returned == scheduler.tickets
    scheduler.has_slot = True
    assert handover.is_ready()
    handover.close()
    assert scheduler.returned == scheduler.tickets
    assert not handover.is_ready()


@pytest.fixture
def fleet(tmp_path):
    with GatewayFleet(tmp_path) as fleet:
        route = make_route(
            "/stream/", "streaming", "plain", streamResume=True, gapTargetMs=400
        )
        fleet.configure(routes=[route])
        yield fleet


def pausing(pause):
    """Return an answer that pauses after its first event, unless it is resumed."""
    events = [EVENT % number for number in range(1, EVENTS + 1)]

    def respond(request):
        last = int(parse_headers(request).get("last-event-id", 0))

        def pieces():
            yield HEAD + b"".join(events[last : last + 1])
            time.sleep(0.0 if last else pause)
            yield b"".join(events[last + 1 :])

        return _Once(pieces())

    return respond


class _Once(Pieces):
    """Pieces that pause by themselves."""

    def __iter__(self):
        return iter(self.pieces)


def stream(fleet):
    return fleet.call("/stream/1", method="POST", X_Deadline_Ms="8000")


def test_a_stream_that_pauses_goes_on_if_no_other_target_has_its_version(fleet):
    with FakeTarget(pausing(PAUSE_SECONDS)) as one, FakeTarget(pausing(0)) as other:
        fleet.list_target("t1", one)
        fleet.start()
        fleet.list_target("t2", other, version="v2")
        response = stream(fleet)
    assert (response.status, response.data.count(b"\n\n")) == (200, EVENTS)


def test_a_stream_that_pauses_goes_on_if_the_other_target_leaves(fleet):
    answers = pausing(PAUSE_SECONDS)
    with FakeTarget(answers) as one, FakeTarget(answers) as other:
        fleet.list_target("t1", one)
        fleet.list_target("t2", other)
        fleet.start()
        wait_until_listed(fleet, 2)
        responses = []
        callers = [
            threading.Thread(target=lambda: responses.append(stream(fleet)))
            for _ in range(4)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        fleet.list_target("t2", other, state="draining")
        for caller in callers:
            caller.join()
    assert [response.status for response in responses] == [200] * 4
    assert [response.data.count(b"\n\n") for response in responses] == [EVENTS] * 4


def test_a_stream_that_pauses_goes_on_while_no_other_slot_is_free(fleet):
    answers = [pausing(PAUSE_SECONDS), pausing(PAUSE_SECONDS + 0.5)]
    with FakeTarget(answers[0]) as one, FakeTarget(answers[1]) as other:
        fleet.list_target("t1", one, slots=1)
        fleet.list_target("t2", other, slots=1)
        fleet.start()
        wait_until_listed(fleet, 2)
        responses = []
        callers = [
            threading.Thread(target=lambda: responses.append(stream(fleet)))
            for _ in range(2)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
    assert [response.status for response in responses] == [200] * 2
    assert [response.data.count(b"\n\n") for response in responses] == [EVENTS] * 2
