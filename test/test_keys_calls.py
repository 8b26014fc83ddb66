"""Calls between instances: forwarded requests, claims, and errors for bad input."""

import asyncio
import threading
from types import SimpleNamespace

import pytest
from grpclib.exceptions import GRPCError
from hypothesis import given
from hypothesis import strategies as st

from almondglade.dispatch.heads import ResponseHead
from almondglade.entry.keys import unknown_outcome_if_keyed
from almondglade.errors import PeerError
from almondglade.keys.claiming import ClaimProposal
from almondglade.keys.codec import Holder
from almondglade.keys.scheduling import KEY_LIFETIME_SECONDS
from almondglade.keys.table import ScopedKey
from almondglade.kinds import IncomingRequest
from almondglade.outcome import Code, Outcome, RequestError
from almondglade.peers import link_pb2 as pb
from almondglade.peers.callcodec import (
    decode_claim,
    decode_response,
    decode_vote,
    encode_claim,
    encode_error,
    encode_request,
    encode_vote,
)
from almondglade.peers.callhandlers import CallHandlers
from almondglade.peers.calls import PeerCalls

from .keyfleet import Fleet
from .test_peers_port import SECRET, Peer

STORE = SimpleNamespace(declarations=SimpleNamespace(services={"bookings": None}))
words = st.sampled_from(["", "e1", "1", "bookings", "POST", "/x", "own"]) | st.text(
    max_size=12
)
headers = st.builds(pb.Header, name=words, value=words)


def make_fleet():
    """Return a fleet of one listed process without any failures."""
    fleet = Fleet(["e1"])
    fleet.on_step, fleet.choose = lambda: None, lambda options: options[0]
    fleet.advance(400.0, 0.0)
    return fleet


def make_handlers(node, **options):
    """Return the handlers of a process."""
    return CallHandlers(node.keyed, node.voter, STORE, lambda: False, **options)


def wire_request(node, key):
    """Return a request as another process forwards it."""
    node.fleet.unrefused_sends[ScopedKey("partner-a", key)] += 1
    request = IncomingRequest(
        "r", "partner-a", 0, "bookings", "POST", "/pickups", "", (), b"", key
    )
    return encode_request(request, node.own.incarnation)


@given(
    st.builds(
        pb.ForwardRequest,
        workspace=words,
        service=words,
        method=words,
        path=words,
        query=words,
        headers=st.lists(headers, max_size=3),
        body=st.binary(max_size=10),
        key=words,
        incarnation=words,
        tier=st.integers(0, 2**32 - 1),
    )
)
def test_any_forwarded_request_gets_a_reply_or_a_clear_error(wire):
    handlers = make_handlers(make_fleet().by_name["e1"])
    try:
        reply = asyncio.run(handlers.forward("e2", wire))
    except GRPCError as error:
        assert "unusable" in error.message
    else:
        assert reply.code or reply.status == 200
    assert handlers.active == 0


@given(
    st.builds(
        pb.ClaimRequest,
        workspace=words,
        key=words,
        instance=words,
        incarnation=words,
        instead_of=words,
        instead_of_incarnation=words,
    )
)
def test_any_claim_gets_a_vote_or_a_clear_error(wire):
    node = make_fleet().by_name["e1"]
    try:
        reply = make_handlers(node).claim("e2", wire)
    except GRPCError:
        assert wire.instance != "e2" or not all((wire.workspace, wire.key))
        assert not node.claims.by_scoped_key
        return
    assert decode_vote(reply).voter == node.own


@given(
    st.builds(pb.ForwardReply, code=words, outcome=words, status=st.integers(0, 999))
)
def test_any_reply_is_an_answer_or_a_clear_error(wire):
    try:
        run = decode_response(wire)
    except (PeerError, RequestError) as error:
        assert str(error)
    else:
        assert run.head.status == wire.status >= 200 and not wire.code


# Names, values and statuses were taken as they came.
@pytest.mark.parametrize(
    "reply",
    [
        pb.ForwardReply(status=100),
        pb.ForwardReply(status=600),
        pb.ForwardReply(status=200, headers=[pb.Header(name="X Odd", value="1")]),
        pb.ForwardReply(status=200, headers=[pb.Header(name="", value="1")]),
        pb.ForwardReply(status=200, headers=[pb.Header(name="X-Odd", value="a\0")]),
        pb.ForwardReply(status=200, headers=[pb.Header(name="X", value="a\r\nB: 1")]),
        pb.ForwardReply(status=200, headers=[pb.Header(name="X", value="\u20ac")]),
    ],
    ids=["interim", "600", "name", "no name", "NUL", "two lines", "not latin-1"],
)
def test_a_malformed_head_of_a_forwarded_request_is_no_answer(reply):
    with pytest.raises(PeerError):
        decode_response(reply)


def test_a_sound_head_of_a_forwarded_request_is_unchanged():
    headers = [
        ("X-A", "b"),
        ("X-A", ""),
        ("Set-Cookie", "c=\xe4; d"),
        ("Content-Length", "0"),
    ]
    reply = pb.ForwardReply(
        status=404, headers=[pb.Header(name=n, value=v) for n, v in headers]
    )
    assert decode_response(reply).head == ResponseHead(404, tuple(headers))


@given(
    st.builds(
        RequestError,
        st.sampled_from(list(Code)),
        st.text(max_size=9),
        st.sampled_from(list(Outcome)),
        st.none() | st.integers(0, 99).map(float),
    )
)
def test_an_error_passes_between_instances_unchanged(error):
    with pytest.raises(RequestError) as raised:
        decode_response(encode_error(error))
    assert raised.value == error


def test_claims_and_votes_pass_between_instances_unchanged():
    node = make_fleet().by_name["e1"]
    proposal = decode_claim(encode_claim(_proposal("e2")))
    assert proposal == _proposal("e2")
    vote = node.voter.vote(ScopedKey("partner-a", "own"), proposal)
    assert decode_vote(encode_vote(vote, proposal)) == vote


def _proposal(name):
    return ClaimProposal("partner-a", "own", Holder(name, "7"), Holder("e3", "8"))


def test_more_forwarded_requests_than_threads_are_refused_at_once_as_not_run():
    fleet = make_fleet()
    node = fleet.by_name["e1"]
    started, release = threading.Event(), threading.Event()
    fleet.on_step = lambda: (started.set(), release.wait(10))
    handlers = make_handlers(node, max_forwarded=1)
    keys = node.keyed.issue("partner-a", 2)

    async def scenario():
        first = asyncio.create_task(handlers.forward("e2", wire_request(node, keys[0])))
        await asyncio.to_thread(started.wait, 10)
        second = await handlers.forward("e2", wire_request(node, keys[1]))
        resent = await handlers.forward("e2", wire_request(node, keys[0]))
        release.set()
        return await first, second, resent

    first, second, resent = asyncio.run(scenario())
    assert first.status == 200
    assert (second.code, second.outcome) == ("overloaded", "not-run")
    assert (resent.code, resent.outcome) == ("key_in_progress", "unknown")


def test_a_forwarded_request_completes_after_its_sender_cancels():
    fleet = make_fleet()
    node = fleet.by_name["e1"]
    handlers = make_handlers(node)
    key = node.keyed.issue("partner-a", 1)[0]

    async def scenario():
        call = asyncio.create_task(handlers.forward("e2", wire_request(node, key)))
        await asyncio.sleep(0)
        call.cancel()
        while handlers.active:
            await asyncio.sleep(0.01)
        return await handlers.forward("e3", wire_request(node, key))

    reply = asyncio.run(scenario())
    assert reply.status == 200
    assert ("Idempotency-Replayed", "true") in [
        (h.name, h.value) for h in reply.headers
    ]
    assert fleet.runs[ScopedKey("partner-a", key)] == 1


def test_a_refusal_before_lookup_reports_not_run_only_for_unused_keys():
    fleet = make_fleet()
    node = fleet.by_name["e1"]
    used, unused = node.keyed.issue("partner-a", 2)
    fleet.send(node, "partner-a", used)
    refusal_outcome = node.keyed.refusal_outcome
    assert refusal_outcome("partner-a", unused) is Outcome.NOT_RUN
    for key in (
        used,
        "own",
        Fleet(["e9"]).by_name["e9"].keyed.issue("partner-a", 1)[0],
    ):
        assert refusal_outcome("partner-a", key) is Outcome.UNKNOWN
    fleet.now += KEY_LIFETIME_SECONDS + 1
    assert refusal_outcome("partner-a", unused) is Outcome.UNKNOWN


@pytest.mark.parametrize(("secret", "counted"), [(SECRET, {"e2"}), ("forged", set())])
def test_a_vote_counts_only_with_a_proof_of_the_secret(secret, counted):
    async def scenario():
        asker, peer = Peer("e1"), Peer("e2")
        await asker.start(peer)
        await peer.start(asker)
        peer.service.secret = secret
        peer.service.calls = make_handlers(Fleet(["e2"]).by_name["e2"])
        loop = asyncio.get_running_loop()
        calls = PeerCalls(
            asker.own, loop, asker.membership, asker.links, asker.service, None
        )
        proposal = ClaimProposal("partner-a", "own", Holder("e1", "1"))
        assert calls.names() == {"e2"}
        votes = await asyncio.to_thread(calls.claim, ["e2", "e9"], proposal)
        await asker.close()
        await peer.close()
        return votes.keys()

    assert asyncio.run(scenario()) == counted


@pytest.mark.parametrize(
    ("method", "key", "expected_outcome"),
    [
        ("POST", "own", Outcome.UNKNOWN),
        ("POST", None, Outcome.NOT_RUN),
        ("GET", "own", Outcome.NOT_RUN),
    ],
)
def test_a_busy_instance_does_not_report_not_run_for_a_keyed_post(
    method, key, expected_outcome
):
    with pytest.raises(RequestError) as raised, unknown_outcome_if_keyed(method, key):
        raise RequestError(Code.OVERLOADED, "busy", retry_after=1.0)
    assert raised.value.outcome is expected_outcome
