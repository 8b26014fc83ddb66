"""Let threads wait for the memory of request bodies, and give it back."""

import ctypes
import threading
import time
from typing import Any

from ..log import get_logger
from ..outcome import Code, RequestError
from .bodybudget import BODY_MEMORY_SHARE, Admission, BodyBudget, BodyClaim

log = get_logger("bodies")

# A caller that nobody reads from may give up after a second; it must be told before.
PATIENCE_SECONDS = 0.5
# By then, the bodies that hold the room have ended at most services.
RETRY_AFTER_SECONDS = 1.0
# Parameter of mallopt, from glibc's malloc.h, and the size in bytes from which blocks
# are returned to the system as soon as they are freed. By default the limit grows with
# the largest block, so that the freed bodies would stay resident.
M_MMAP_THRESHOLD = -3
RETURNED_BLOCK_BYTES = 512 << 10


class HeldBody:
    """The room of one request's body, which may wait for more.

    Parameters
    ----------
    room : BodyRoom
        Shared by all bodies of the process.
    request_id : str
        Id of the request, for the logs.
    """

    def __init__(self, room, request_id):
        self.room = room
        self.request_id = request_id
        self.claim = BodyClaim()
        self.patience = PATIENCE_SECONDS
        self.granted: Any = None

    def grow(self, size):
        """Take further room; wait for it for a short time.

        Parameters
        ----------
        size : int
            Bytes.

        Raises
        ------
        RequestError
            If there is none in time.
        """
        self.room.take(self, size)

    def shrink(self, size):
        """Give back the room beyond a size in bytes."""
        self.room.shrink(self, size)

    def release(self):
        """Give back all room."""
        self.room.shrink(self, 0)


class BodyRoom:
    """The memory for the large request bodies of a process; safe from any thread.

    Parameters
    ----------
    memory_bytes : int
        Memory of the process; a share of it is for bodies.
    metrics : Metrics
        Metrics that count the waits.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, memory_bytes, metrics, clock=time.monotonic):
        self.budget = BodyBudget(int(memory_bytes * BODY_MEMORY_SHARE))
        self.metrics = metrics
        self.clock = clock
        self._lock = threading.Lock()
        self._by_claim: dict[BodyClaim, HeldBody] = {}

    def open(self, request_id):
        """Return the `HeldBody` of a request, without room yet."""
        return HeldBody(self, request_id)

    def take(self, body, size):
        """Take room for a body; see `HeldBody.grow`."""
        with self._lock:
            held, wanted = self.budget.held, self.budget.wanted
            admission = self.budget.ask(body.claim, size)
            if admission is Admission.GRANTED:
                return
            if admission is Admission.WAITING:
                body.granted = threading.Event()
                self._by_claim[body.claim] = body
        started_at = self.clock()
        if admission is Admission.WAITING:
            body.granted.wait(body.patience)
            admission = self._end_wait(body)
        waited = self.clock() - started_at
        body.patience = max(0.0, body.patience - waited)
        self.metrics.count("body_waits_total", result=admission.value)
        log.info(
            "request body waited for memory",
            request=body.request_id,
            result=admission.value,
            bytes=size,
            held=held,
            wanted=wanted,
            capacity=self.budget.capacity,
            seconds=round(waited, 3),
        )
        if admission is Admission.REFUSED:
            raise RequestError(
                Code.OVERLOADED,
                "the memory for request bodies is in use",
                retry_after=RETRY_AFTER_SECONDS,
            )

    def shrink(self, body, size):
        """Give back room of a body; see `HeldBody.shrink`."""
        with self._lock:
            self._wake(self.budget.shrink(body.claim, size))

    def _end_wait(self, body):
        with self._lock:
            if self._by_claim.pop(body.claim, None) is None:
                return Admission.GRANTED
            self._wake(self.budget.withdraw(body.claim))
        return Admission.REFUSED

    def _wake(self, claims):
        for claim in claims:
            self._by_claim.pop(claim).granted.set()


def return_freed_blocks():
    """Let the C library return large blocks of memory when they are freed.

    Does nothing with a library that has no such option.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, RETURNED_BLOCK_BYTES)
