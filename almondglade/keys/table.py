"""Records of the requests that this process has run under each key it holds."""

import enum
import heapq
import itertools
import threading
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from ..dispatch.call import ResponseHead
from ..outcome import Code, Outcome, RequestError
from .codec import key_void_error

MAX_RECORDS = 50_000
# Maximum fraction of the records that one workspace may use.
MAX_WORKSPACE_SHARE = 0.25
MAX_RESPONSE_BYTES = 1 << 20
MAX_TOTAL_RESPONSE_BYTES = 8 << 20
IN_PROGRESS_RETRY_AFTER_SECONDS = 1.0
FULL_RETRY_AFTER_SECONDS = 10.0
# An expired record whose request is in progress is checked again after this time.
RUNNING_RECHECK_SECONDS = 60.0


class ScopedKey(NamedTuple):
    """A key and its workspace; equal keys of two workspaces are unrelated."""

    workspace: str
    key: str


class State(enum.Enum):
    """State of the request of a used key."""

    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class StoredResponse:
    """A complete response of a target."""

    head: ResponseHead
    body: bytes


@dataclass
class Record:
    """Record of a used key.

    Parameters
    ----------
    fingerprint : int
        Hash of the request, to detect another request under the same key.
    state : State
        Progress of the request.
    response : StoredResponse or None
        The response to replay; None also if it was not kept because it was too
        large or the response memory was full.
    """

    fingerprint: int
    state: State = State.IN_PROGRESS
    response: StoredResponse | None = None


class KeyTable:
    """Records of used keys, each kept until its key expires.

    A full table refuses further keys; it never evicts a record early, because
    the request of an evicted key could run again.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    max_records, max_total_response_bytes : int
        Limits on the number of records and on the bytes of all stored response
        bodies.
    """

    def __init__(
        self,
        clock,
        max_records=MAX_RECORDS,
        max_total_response_bytes=MAX_TOTAL_RESPONSE_BYTES,
    ):
        self.clock = clock
        self.max_records = max_records
        self.max_total_response_bytes = max_total_response_bytes
        self.by_scoped_key: dict[ScopedKey, Record] = {}
        self.total_response_bytes = 0
        self.counts: Counter = Counter()
        self._records_by_workspace: Counter = Counter()
        self._expiries: list[tuple[float, int, ScopedKey, Record]] = []
        self._tie_breakers = itertools.count()
        self._lock = threading.Lock()

    def contains(self, scoped_key):
        """Return whether a key is in use or has been used."""
        with self._lock:
            return scoped_key in self.by_scoped_key

    def lookup(self, scoped_key, fingerprint):
        """Return the response to replay, or None if no request used the key.

        Raises
        ------
        RequestError
            If the key is in use, was used for another request or has no response
            to replay.
        """
        with self._lock:
            record = self.by_scoped_key.get(scoped_key)
            return None if record is None else self._replay(record, fingerprint)

    def is_unused(self, scoped_key, expires_at):
        """Return whether a key has neither been used nor expired."""
        with self._lock:
            return self.clock() <= expires_at and scoped_key not in self.by_scoped_key

    def begin(self, scoped_key, fingerprint, expires_at):
        """Reserve a key for one run of its request.

        Parameters
        ----------
        scoped_key : ScopedKey
            Workspace and key.
        fingerprint : int
            Hash of the request.
        expires_at : float
            Monotonic seconds after which the key is void and its record is removed.
            Both use the same clock, so that removal cannot lead to a second run.

        Returns
        -------
        StoredResponse or None
            The response to replay; None if the caller must run the request and
            then call `record_response`, `record_unknown` or `release`.

        Raises
        ------
        RequestError
            If the key is void, in use, was used for another request or has no
            response to replay, or if the table is full.
        """
        with self._lock:
            now = self.clock()
            if now > expires_at:
                raise key_void_error("the key is past its lifetime")
            self._remove_expired(now)
            if (record := self.by_scoped_key.get(scoped_key)) is not None:
                return self._replay(record, fingerprint)
            self._check_capacity(scoped_key)
            self.by_scoped_key[scoped_key] = Record(fingerprint)
            self._records_by_workspace[scoped_key.workspace] += 1
            self._schedule_expiry(expires_at, scoped_key)
            self.counts["begun"] += 1
            return None

    def release(self, scoped_key):
        """Make a key unused again because its request was not run."""
        with self._lock:
            self._remove(scoped_key)
            self.counts["released"] += 1

    def record_response(self, scoped_key, response):
        """Record that a run has ended and keep its response if there is room.

        Parameters
        ----------
        scoped_key : ScopedKey
            Workspace and key.
        response : StoredResponse or None
            None if the response was too large to keep.
        """
        with self._lock:
            record = self.by_scoped_key[scoped_key]
            record.state = State.ANSWERED
            size = len(response.body) if response is not None else 0
            if (
                response
                and self.total_response_bytes + size <= self.max_total_response_bytes
            ):
                record.response = response
                self.total_response_bytes += size
            self.counts["answered"] += 1

    def record_unknown(self, scoped_key):
        """Record that a request was dispatched and its response is unknown."""
        with self._lock:
            self.by_scoped_key[scoped_key].state = State.UNKNOWN
            self.counts["lost"] += 1

    def snapshot(self):
        """Return sizes and counters for the state dump."""
        with self._lock:
            return {
                "records": len(self.by_scoped_key),
                "answers_bytes": self.total_response_bytes,
                **dict(self.counts),
            }

    def _replay(self, record, fingerprint):
        if record.fingerprint != fingerprint:
            self.counts["reused"] += 1
            raise RequestError(Code.KEY_REUSED, "the key was used for another request")
        match record.state:
            case State.IN_PROGRESS:
                self.counts["resent_in_progress"] += 1
                raise RequestError(
                    Code.KEY_IN_PROGRESS,
                    "the request of this key is in progress",
                    Outcome.UNKNOWN,
                    IN_PROGRESS_RETRY_AFTER_SECONDS,
                )
            case State.UNKNOWN:
                raise key_void_error(
                    "the request was dispatched, its answer is not known"
                )
        if record.response is None:
            raise RequestError(
                Code.ANSWER_GONE, "the answer was not kept", Outcome.ANSWERED
            )
        self.counts["replayed"] += 1
        return record.response

    def _check_capacity(self, scoped_key):
        workspace_records = self._records_by_workspace[scoped_key.workspace]
        if (
            len(self.by_scoped_key) >= self.max_records
            or workspace_records >= self.max_records * MAX_WORKSPACE_SHARE
        ):
            self.counts["refused_full"] += 1
            raise RequestError(
                Code.OVERLOADED,
                "too many keys are in use",
                Outcome.NOT_RUN,
                FULL_RETRY_AFTER_SECONDS,
            )

    def _remove_expired(self, now):
        while self._expiries and self._expiries[0][0] < now:
            _, _, scoped_key, record = heapq.heappop(self._expiries)
            if self.by_scoped_key.get(scoped_key) is not record:
                continue
            if record.state is State.IN_PROGRESS:
                self._schedule_expiry(now + RUNNING_RECHECK_SECONDS, scoped_key)
            else:
                self._remove(scoped_key)

    def _schedule_expiry(self, expires_at, scoped_key):
        entry = (
            expires_at,
            next(self._tie_breakers),
            scoped_key,
            self.by_scoped_key[scoped_key],
        )
        heapq.heappush(self._expiries, entry)

    def _remove(self, scoped_key):
        record = self.by_scoped_key.pop(scoped_key)
        self._records_by_workspace[scoped_key.workspace] -= 1
        if not self._records_by_workspace[scoped_key.workspace]:
            del self._records_by_workspace[scoped_key.workspace]
        if record.response is not None:
            self.total_response_bytes -= len(record.response.body)
