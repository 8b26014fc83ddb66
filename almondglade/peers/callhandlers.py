"""Handlers of the unary calls from other instances."""

import asyncio
import functools
from concurrent.futures import ThreadPoolExecutor

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from ..errors import PeerError
from ..keys.codec import key_void_error, parse_key_header
from ..keys.scheduling import fingerprint, mark_replayed
from ..keys.table import ScopedKey, StoredResponse
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from .callcodec import (
    decode_claim,
    decode_request,
    encode_error,
    encode_response,
    encode_vote,
)

log = get_logger("calls")

MAX_CONCURRENT_FORWARDED = 32
REFUSED_RETRY_AFTER_SECONDS = 1.0


class CallHandlers:
    """Runs forwarded requests and votes on claims.

    Parameters
    ----------
    keyed : KeyedScheduler
        Scheduler that runs the requests.
    voter : Voter
        Votes on claims for this process.
    store : ConfigurationStore
        Holds the current configuration.
    is_stopping : callable
        Returns whether the instance is stopping and accepts no new requests.
    max_forwarded : int
        Maximum number of forwarded requests in progress.
    """

    def __init__(
        self, keyed, voter, store, is_stopping, max_forwarded=MAX_CONCURRENT_FORWARDED
    ):
        self.keyed = keyed
        self.voter = voter
        self.store = store
        self.is_stopping = is_stopping
        self.max_forwarded = max_forwarded
        self.active = 0
        self._threads = ThreadPoolExecutor(max_forwarded, "forwarded")

    async def forward(self, sender, wire):
        """Return the reply to a forwarded request.

        Raises
        ------
        GRPCError
            If the request is invalid.
        """
        try:
            request = decode_request(wire)
            response = self._find_replay(request, wire.incarnation)
            if response is None:
                self._check_capacity(request)
                response = await self._run(request)
        except PeerError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        except RequestError as error:
            return encode_error(error)
        log.debug("ran a forwarded request", sender=sender, request=request.request_id)
        return encode_response(response)

    def claim(self, sender, wire):
        """Return the reply to a claim.

        Raises
        ------
        GRPCError
            If the claim is invalid, or its claimant is not the sender.
        """
        try:
            proposal = decode_claim(wire)
        except PeerError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        if proposal.claimant.instance != sender:
            raise GRPCError(Status.PERMISSION_DENIED, "the claim is another's")
        vote = self.voter.vote(ScopedKey(proposal.workspace, proposal.key), proposal)
        return encode_vote(vote, proposal)

    def _find_replay(self, request, incarnation):
        """Return the stored response, or None, without waiting for a thread."""
        if incarnation != self.keyed.codec.own.incarnation:
            raise key_void_error("the instance that holds the key has been replaced")
        scoped_key = ScopedKey(request.workspace, parse_key_header(request.key))
        response = self.keyed.table.lookup(scoped_key, fingerprint(request))
        return None if response is None else mark_replayed(response)

    def _check_capacity(self, request):
        declarations = self.store.declarations
        if declarations is None or request.service not in declarations.services:
            raise self._refusal(
                request, Code.NO_COORDINATOR, "the service is not known here yet"
            )
        if self.is_stopping():
            raise self._refusal(
                request, Code.STOPPING, "the instance that holds the key is stopping"
            )
        if self.active >= self.max_forwarded:
            raise self._refusal(
                request, Code.OVERLOADED, "too many forwarded requests in progress"
            )

    def _refusal(self, request, code, message):
        outcome = self.keyed.refusal_outcome(request.workspace, request.key)
        return RequestError(code, message, outcome, REFUSED_RETRY_AFTER_SECONDS)

    async def _run(self, request):
        """Run a request in a thread, to its end even if the sender disconnects."""
        self.active += 1
        job = asyncio.get_running_loop().run_in_executor(
            self._threads, functools.partial(self._collect, request)
        )
        job.add_done_callback(self._on_run_end)
        return await asyncio.shield(job)

    def _on_run_end(self, job):
        self.active -= 1
        if not job.cancelled():
            job.exception()

    def _collect(self, request):
        run = self.keyed.run_keyed(request)
        if not run.is_buffered:
            run.drain()
            raise RequestError(
                Code.ANSWER_GONE,
                "the answer is too large to be forwarded",
                Outcome.ANSWERED,
            )
        return StoredResponse(run.head, b"".join(run))

    def snapshot(self):
        """Return the state for the state dump."""
        return {"forwarded_in_progress": self.active}
