"""Bodies never hold more than their budget, and each one is granted or refused."""

import socket
import struct
import time

import numpy as np
import pytest

from almondglade.entry import bodies
from almondglade.httpserver.bodybudget import Admission, BodyBudget, BodyClaim
from almondglade.httpserver.bodyroom import BodyRoom
from almondglade.metrics import Metrics
from almondglade.outcome import Code, RequestError

from .support.entries import Entry, read_answer, request_bytes
from .support.targets import FakeTarget, answer_with

MEGABYTE = 1 << 20


def replay(budget, arrivals, hold, patience):
    """Return how each body of a load ends, and the most bytes held.

    Parameters
    ----------
    arrivals : list of (float, int)
        When bodies arrive (seconds, ascending), and their sizes (bytes).
    hold : float
        Seconds for which a body keeps its room.
    patience : float
        Seconds for which a body waits.
    """
    events = [(at, "ask", BodyClaim(), size) for at, size in arrivals]
    claims = [claim for _, _, claim, _ in events]
    result_by_claim = {}
    peak = 0
    while events:
        at, kind, claim, size = events.pop(0)
        granted = []
        if kind == "ask":
            result = budget.ask(claim, size)
            if result is Admission.GRANTED:
                granted = [claim]
            result_by_claim[claim] = result
            events.append((at + patience, "give up", claim, 0))
        elif kind == "end":
            granted = budget.shrink(claim, 0)
        elif result_by_claim[claim] is Admission.WAITING:
            granted = budget.withdraw(claim)
            result_by_claim[claim] = Admission.REFUSED
        for each in granted:
            result_by_claim[each] = Admission.GRANTED
            events.append((at + hold, "end", each, 0))
        events.sort(key=lambda event: event[0])
        peak = max(peak, budget.held)
    assert budget.held == budget.wanted == 0
    return [result_by_claim[claim] for claim in claims], peak


def test_many_large_bodies_at_once_stay_within_the_budget():
    budget = BodyBudget(30 * MEGABYTE)
    arrivals = [(n * 0.001, 5 * MEGABYTE // 2) for n in range(30)]
    results, peak = replay(budget, arrivals, hold=0.2, patience=0.5)
    assert peak == 30 * MEGABYTE
    # Those that would wait for more than one turn are told so at once.
    assert results == [Admission.GRANTED] * 24 + [Admission.REFUSED] * 6


@pytest.mark.parametrize("seed", range(5))
def test_no_load_exceeds_the_budget_or_leaves_a_body_waiting(seed):
    rng = np.random.default_rng(seed)
    at = np.sort(rng.uniform(0.0, 10.0, 400))
    sizes = rng.integers(1, 4 * MEGABYTE, 400)
    arrivals = list(zip(at.tolist(), sizes.tolist(), strict=True))
    results, peak = replay(BodyBudget(25 * MEGABYTE), arrivals, 1.0, 0.5)
    assert peak <= 25 * MEGABYTE
    assert set(results) == {Admission.GRANTED, Admission.REFUSED}


def test_a_body_larger_than_the_budget_is_held_alone():
    budget = BodyBudget(MEGABYTE)
    small, large, other = BodyClaim(), BodyClaim(), BodyClaim()
    assert budget.ask(small, 1000) is Admission.GRANTED
    assert budget.ask(large, 4 * MEGABYTE) is Admission.WAITING
    assert budget.ask(other, 1000) is Admission.REFUSED
    assert budget.shrink(small, 0) == [large]
    assert budget.ask(other, 1000) is Admission.WAITING
    assert budget.shrink(large, 0) == [other]


def test_a_growing_body_goes_before_new_ones():
    budget = BodyBudget(100)
    growing, other, new = BodyClaim(), BodyClaim(), BodyClaim()
    assert budget.ask(growing, 40) is Admission.GRANTED
    assert budget.ask(other, 50) is Admission.GRANTED
    assert budget.ask(new, 30) is Admission.WAITING
    assert budget.ask(growing, 10) is Admission.GRANTED
    assert budget.ask(growing, 20) is Admission.WAITING
    assert budget.shrink(other, 0) == [growing, new]
    assert budget.held == 100


def test_a_wait_without_room_ends_as_not_run():
    room = BodyRoom(10 * MEGABYTE, Metrics())
    held, late = room.open("held"), room.open("late")
    held.grow(2 * MEGABYTE)
    late.patience = 0.05
    with pytest.raises(RequestError) as refusal:
        late.grow(MEGABYTE)
    assert refusal.value.code is Code.OVERLOADED
    assert refusal.value.retry_after
    assert not late.claim.held
    held.release()
    late.grow(MEGABYTE)


@pytest.fixture
def entry(monkeypatch):
    monkeypatch.setattr(bodies, "BODY_SECONDS", 5.0)
    with FakeTarget(lambda _: answer_with(b"done")) as target:
        with Entry({"b1": target.url}) as entry:
            entry.target = target
            yield entry


def assert_room_is_free(entry):
    """Wait for the end of requests whose responses have been read already."""
    until = time.monotonic() + 5.0
    while entry.app.body_room.budget.held and time.monotonic() < until:
        time.sleep(0.01)
    assert entry.app.body_room.budget.held == 0


def chunked(body, size):
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"


@pytest.mark.parametrize("framing", ["length", 100_000, 7000])
def test_a_large_body_arrives_whole_and_gives_its_room_back(entry, framing):
    body = np.random.default_rng(1).bytes(700_000)
    if framing == "length":
        data = request_bytes("POST", "/bookings/", body)
    else:
        head = ["Transfer-Encoding: chunked"]
        data = request_bytes("POST", "/bookings/", headers=head)
        data += chunked(body, framing)
    follow_up = request_bytes("POST", "/bookings/", b"next")
    with entry.connect() as sock:
        # The next request is on its way already.
        sock.sendall(data + follow_up)
        # Both answers may arrive together.
        answers = b""
        while answers.count(b"\r\n\r\ndone") < 2:
            received = sock.recv(1 << 16)
            assert received, answers
            answers += received
    assert answers.count(b"HTTP/1.1 200 ") == 2
    assert answers.endswith(b"\r\n\r\ndone")
    assert entry.target.seen[0].endswith(b"\r\n\r\n" + body)
    assert entry.target.seen[1].endswith(b"next")
    assert_room_is_free(entry)


def test_a_body_without_room_is_refused_before_it_is_read(entry):
    """The refusal arrives although the caller is still sending."""
    room = entry.app.body_room
    holder = room.open("holder")
    holder.grow(room.budget.capacity)
    with entry.connect() as sock:
        sock.sendall(request_bytes("POST", "/bookings/", bytes(MEGABYTE)))
        answer = read_answer(sock)
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.headers["connection"] == "close"
        assert answer.headers["retry-after"] == "1"
        assert sock.recv(1) == b""
    assert not entry.target.seen
    # Small bodies need no room.
    assert entry.call("POST", "/bookings/", bytes(30_000)).body == b"done"
    holder.release()
    assert entry.call("POST", "/bookings/", bytes(MEGABYTE // 2)).body == b"done"
    assert_room_is_free(entry)


def test_a_chunk_size_with_a_sign_is_malformed(entry):
    head = request_bytes("POST", "/bookings/", headers=["Transfer-Encoding: chunked"])
    for size in (b"-5", b"+5", b"0x5", b""):
        with entry.connect() as sock:
            sock.sendall(head + size + b"\r\nabcde\r\n0\r\n\r\n")
            assert read_answer(sock).status == 400


def test_a_caller_that_breaks_off_gives_its_room_back(entry):
    head = request_bytes(
        "POST", "/bookings/", headers=[f"Content-Length: {MEGABYTE // 2}"]
    )
    with entry.connect() as sock:
        sock.sendall(head + bytes(40_000))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    assert entry.call("POST", "/bookings/", b"x").body == b"done"
    assert_room_is_free(entry)
