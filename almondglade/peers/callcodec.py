"""Convert keyed requests, responses, claims and votes to and from Protocol Buffers."""

import re

from ..dispatch.heads import MalformedHeadError, ResponseHead, check_relayed
from ..errors import PeerError
from ..keys.claiming import ClaimProposal, ClaimVote
from ..keys.codec import Holder
from ..keys.scheduling import BufferedRun
from ..keys.table import StoredResponse
from ..kinds import IncomingRequest
from ..outcome import Code, Outcome, RequestError
from . import link_pb2 as pb

MILLISECONDS_PER_SECOND = 1_000
MAX_HEADERS = 256

_CODE_BY_TEXT = {code.text: code for code in Code}
_METHOD = re.compile(r"[A-Z]{1,16}")
_PATH_AND_QUERY = re.compile(r"[!-~]*")
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE = re.compile(r"[\t -~\x80-\xff]*")


def encode_request(request, incarnation):
    """Return the Protocol Buffers form of a request for the holder of its key."""
    return pb.ForwardRequest(
        workspace=request.workspace,
        service=request.service,
        method=request.method,
        path=request.path,
        query=request.query,
        headers=_headers(request.headers),
        body=request.body,
        key=request.key,
        request_id=request.request_id,
        incarnation=incarnation,
        tier=request.tier,
    )


def decode_request(wire):
    """Return the request of a `ForwardRequest`.

    Raises
    ------
    PeerError
        If it is invalid as an HTTP request to a target.
    """
    headers = tuple((header.name, header.value) for header in wire.headers)
    is_valid = (
        _METHOD.fullmatch(wire.method)
        and wire.path.startswith("/")
        and _PATH_AND_QUERY.fullmatch(wire.path + wire.query)
        and len(headers) <= MAX_HEADERS
        and all(_HEADER_NAME.fullmatch(name) for name, _ in headers)
        and all(_HEADER_VALUE.fullmatch(value) for _, value in headers)
    )
    if not is_valid:
        raise PeerError("a peer forwarded an unusable request")
    return IncomingRequest(
        wire.request_id,
        wire.workspace,
        wire.tier,
        wire.service,
        wire.method,
        wire.path,
        wire.query,
        headers,
        wire.body,
        wire.key,
    )


def encode_response(response):
    """Return the Protocol Buffers form of a complete response."""
    head = response.head
    return pb.ForwardReply(
        status=head.status, headers=_headers(head.headers), body=response.body
    )


def encode_error(error):
    """Return the Protocol Buffers form of a `RequestError`."""
    reply = pb.ForwardReply(
        code=error.code.text, message=error.message, outcome=error.outcome.value
    )
    if error.retry_after is not None:
        reply.retry_after_ms = round(error.retry_after * MILLISECONDS_PER_SECOND)
    return reply


def decode_response(wire):
    """Return the response in a `ForwardReply` as a `BufferedRun`.

    Raises
    ------
    RequestError
        If the holder replied with an error.
    PeerError
        If the reply is invalid.
    """
    if wire.code:
        raise _decode_error(wire)
    headers = tuple((header.name, header.value) for header in wire.headers)
    head = ResponseHead(wire.status, headers)
    try:
        check_relayed(head)
    except MalformedHeadError as error:
        raise PeerError(f"the holder replied with no answer: {error}") from error
    return BufferedRun(StoredResponse(head, wire.body))


def _decode_error(wire):
    code = _CODE_BY_TEXT.get(wire.code)
    outcomes = [outcome for outcome in Outcome if outcome.value == wire.outcome]
    if code is None or not outcomes:
        raise PeerError("the holder replied with an error of an unknown kind")
    retry_after = None
    if wire.HasField("retry_after_ms"):
        retry_after = wire.retry_after_ms / MILLISECONDS_PER_SECOND
    return RequestError(code, wire.message, outcomes[0], retry_after)


def encode_claim(proposal):
    """Return the Protocol Buffers form of a claim."""
    wire = pb.ClaimRequest(
        workspace=proposal.workspace,
        key=proposal.key,
        instance=proposal.claimant.instance,
        incarnation=proposal.claimant.incarnation,
    )
    if proposal.instead_of is not None:
        wire.instead_of = proposal.instead_of.instance
        wire.instead_of_incarnation = proposal.instead_of.incarnation
    return wire


def decode_claim(wire):
    """Return the claim of a `ClaimRequest`.

    Raises
    ------
    PeerError
        If it lacks the workspace, key or claimant.
    """
    if not (wire.workspace and wire.key and wire.instance and wire.incarnation):
        raise PeerError("a peer sent an unusable claim")
    return ClaimProposal(
        wire.workspace,
        wire.key,
        Holder(wire.instance, wire.incarnation),
        _holder(wire.instead_of, wire.instead_of_incarnation),
    )


def encode_vote(vote, proposal):
    """Return the Protocol Buffers form of a vote on a claim."""
    wire = pb.ClaimReply(
        accepted=vote.holder == proposal.claimant,
        instance=vote.voter.instance,
        incarnation=vote.voter.incarnation,
        listed_for_ms=round(vote.listed_seconds * MILLISECONDS_PER_SECOND),
        known=sorted(vote.known),
        list_version=vote.list_version,
    )
    if vote.holder is not None:
        wire.holder = vote.holder.instance
        wire.holder_incarnation = vote.holder.incarnation
    return wire


def decode_vote(wire):
    """Return the vote of a `ClaimReply`.

    Raises
    ------
    PeerError
        If it lacks the voter.
    """
    if not (wire.instance and wire.incarnation):
        raise PeerError("a peer sent an unusable vote")
    return ClaimVote(
        Holder(wire.instance, wire.incarnation),
        _holder(wire.holder, wire.holder_incarnation),
        wire.listed_for_ms / MILLISECONDS_PER_SECOND,
        frozenset(wire.known),
        wire.list_version,
    )


def _holder(instance, incarnation):
    return Holder(instance, incarnation) if instance else None


def _headers(headers):
    return [pb.Header(name=name, value=value) for name, value in headers]
