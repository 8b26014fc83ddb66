"""Run each keyed request at most once, locally or at the holder of its key."""

from collections import Counter

import xxhash

from ..dispatch.call import ResponseHead
from ..errors import PeerError
from ..kinds import ServiceKind
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..plugins import find_plugin
from .claiming import key_unsettled_error
from .codec import key_void_error, parse_key_header
from .table import MAX_RESPONSE_BYTES, ScopedKey, StoredResponse

log = get_logger("keys")

# Lifetime of an issued key; the key is void afterwards.
KEY_LIFETIME_SECONDS = 3600.0
MAX_ISSUED = 100
REPLAYED_HEADER = "Idempotency-Replayed"
UNREACHABLE_RETRY_AFTER_SECONDS = 1.0


class BufferedRun:
    """A complete buffered response with the interface of a `Run`."""

    is_buffered = True

    def __init__(self, response):
        self.head = response.head
        self._chunks = iter([response.body] if response.body else [])

    def __iter__(self):
        return self

    def __next__(self):
        return next(self._chunks)

    def close(self):
        """Do nothing, as the run has already ended."""


class KeyedScheduler:
    """A scheduler that runs non-idempotent requests at most once for each key.

    Parameters
    ----------
    scheduler : Scheduler
        Runs the requests.
    codec : KeyCodec
        Issues keys and verifies issued ones.
    table : KeyTable
        Records of the keys used at this process.
    claimant : Claimant
        Decides which process holds a caller-supplied key.
    peers : Peers
        Forwards requests to the holders of their keys.
    """

    def __init__(self, scheduler, codec, table, claimant, peers):
        self.scheduler = scheduler
        self.codec = codec
        self.table = table
        self.claimant = claimant
        self.peers = peers
        self.counts: Counter = Counter()

    def issue(self, workspace, count):
        """Return `count` new keys of which this process is the holder.

        Raises
        ------
        RequestError
            If the count is not an integer from 1 to `MAX_ISSUED`.
        """
        if not isinstance(count, int) or not 1 <= count <= MAX_ISSUED:
            raise RequestError(
                Code.BAD_REQUEST, f"count must be from 1 to {MAX_ISSUED}"
            )
        self.counts["issued"] += count
        return [self.codec.issue(workspace) for _ in range(count)]

    def run(self, request):
        """Dispatch a request, or replay its recorded response, and return a `Run`.

        Raises
        ------
        RequestError
            If the request was not run, its outcome is unknown, or its response
            was not kept.
        """
        if request.key is None or self._is_idempotent(request):
            return self.scheduler.run(request)
        return self.run_keyed(request, may_forward=True)

    def run_keyed(self, request, may_forward=False):
        """Run a keyed request locally, or forward it to the holder of its key.

        Parameters
        ----------
        may_forward : bool
            False for a request that was forwarded to this process, so that it is
            forwarded at most once.
        """
        key = parse_key_header(request.key)
        scoped_key = ScopedKey(request.workspace, key)
        if self.codec.has_issued_prefix(key):
            return self._run_issued(request, scoped_key, may_forward)
        return self._run_claimed(request, scoped_key, may_forward)

    def refusal_outcome(self, workspace, header):
        """Return the outcome of a keyed request refused before its key is looked up.

        It is unknown, as an earlier attempt may have run the request, unless this
        process is the holder and its records show that none has.
        """
        try:
            key = parse_key_header(header)
            issued = (
                self.codec.parse(key, workspace)
                if self.codec.has_issued_prefix(key)
                else None
            )
        except RequestError as error:
            return error.outcome
        if issued is None or issued.holder != self.codec.own:
            return Outcome.UNKNOWN
        expires_at = issued.issued_at + KEY_LIFETIME_SECONDS
        unused = self.table.is_unused(ScopedKey(workspace, key), expires_at)
        return Outcome.NOT_RUN if unused else Outcome.UNKNOWN

    def _is_idempotent(self, request):
        service = self.scheduler.store.declarations.services[request.service]
        kind = find_plugin(ServiceKind, service.kind)()
        return kind.is_idempotent(service, request)

    def _run_issued(self, request, scoped_key, may_forward):
        issued = self.codec.parse(scoped_key.key, scoped_key.workspace)
        if issued.holder == self.codec.own:
            expires_at = issued.issued_at + KEY_LIFETIME_SECONDS
            return self._run_once(request, scoped_key, expires_at)
        if not may_forward:
            raise key_void_error("the instance that issued the key has been replaced")
        return self._forward(issued.holder, request)

    def _run_claimed(self, request, scoped_key, may_forward):
        claims = self.claimant.claims
        if not self.table.contains(scoped_key):
            decision = self.claimant.decide_holder(scoped_key)
            if decision.holder != claims.own:
                if not may_forward:
                    raise self._not_held_error(decision.holder)
                return self._forward(decision.holder, request)
            if not claims.mark_used(scoped_key, decision.round_started_at):
                raise key_unsettled_error("another instance claimed it meanwhile")
        expires_at = self.table.clock() + claims.retention_seconds
        return self._run_once(request, scoped_key, expires_at)

    def _not_held_error(self, holder):
        """Return the error for a forwarded request whose key has another holder."""
        if self.peers.is_gone(holder.instance):
            return key_void_error("the instance that holds the key has gone")
        return key_unsettled_error("another instance holds it")

    def _forward(self, holder, request):
        if self.peers.is_gone(holder.instance):
            raise key_void_error("the instance that holds the key has gone")
        self.counts["forwarded"] += 1
        try:
            return self.peers.forward(holder, request)
        except PeerError as error:
            self.counts["unreachable"] += 1
            log.warning(
                "cannot reach the holder of a key",
                holder=holder.instance,
                request=request.request_id,
                cause=str(error),
            )
            raise RequestError(
                Code.HOLDER_UNREACHABLE,
                "the instance that holds the key gave no answer;"
                " it is safe to send again with the same key",
                Outcome.UNKNOWN,
                UNREACHABLE_RETRY_AFTER_SECONDS,
            ) from error

    def _run_once(self, request, scoped_key, expires_at):
        response = self.table.begin(scoped_key, fingerprint(request), expires_at)
        if response is not None:
            return BufferedRun(mark_replayed(response))
        try:
            run = self.scheduler.run(request)
        except RequestError as error:
            self._record_failure(scoped_key, error)
            raise
        except BaseException:
            self.table.record_unknown(scoped_key)
            raise
        return self._buffer_response(scoped_key, run)

    def _record_failure(self, scoped_key, error):
        if error.outcome is Outcome.NOT_RUN:
            self.table.release(scoped_key)
        else:
            self.table.record_unknown(scoped_key)

    def _buffer_response(self, scoped_key, run):
        """Read the whole response, even if the caller disconnects meanwhile.

        A response of more than `MAX_RESPONSE_BYTES` is streamed instead.
        """
        chunks, size = [], 0
        try:
            for chunk in run:
                size += len(chunk)
                chunks.append(chunk)
                if size > MAX_RESPONSE_BYTES:
                    return StreamedRun(self.table, scoped_key, run, chunks)
        except BaseException:
            self.table.record_unknown(scoped_key)
            run.close()
            raise
        response = StoredResponse(run.head, b"".join(chunks))
        self.table.record_response(scoped_key, response)
        return BufferedRun(response)

    def snapshot(self):
        """Return counters, records and claims for the state dump."""
        return {
            **dict(self.counts),
            "records": self.table.snapshot(),
            "claims": self.claimant.claims.snapshot(),
        }


class StreamedRun:
    """A response too large to keep: it is streamed and only its end is recorded."""

    is_buffered = False

    def __init__(self, table, scoped_key, run, chunks):
        self.head = run.head
        self.request = run.request
        self._table = table
        self._scoped_key = scoped_key
        self._run = run
        self._chunks = iter(chunks)
        self._ended = False

    def __iter__(self):
        return self

    def __next__(self):
        for chunk in self._chunks:
            return chunk
        try:
            return next(self._run)
        except StopIteration:
            self._record_once(self._table.record_response, self._scoped_key, None)
            raise
        except BaseException:
            self._record_once(self._table.record_unknown, self._scoped_key)
            raise

    def drain(self):
        """Read and discard the rest of the response."""
        for _ in self:
            pass

    def close(self):
        """Cancel the run if it is in progress and record that its outcome is unknown.

        The record stays unchanged if the end of the run was recorded before.
        """
        self._run.close()
        self._record_once(self._table.record_unknown, self._scoped_key)

    def _record_once(self, record, *arguments):
        if not self._ended:
            self._ended = True
            record(*arguments)


def mark_replayed(response):
    """Return a copy of a response with the header that marks it as a replay."""
    headers = (*response.head.headers, (REPLAYED_HEADER, "true"))
    return StoredResponse(ResponseHead(response.head.status, headers), response.body)


def fingerprint(request):
    """Return a hash of a request, to detect another request under the same key."""
    head = "\0".join((request.service, request.method, request.target_path, ""))
    return xxhash.xxh64_intdigest(head.encode() + request.body)
