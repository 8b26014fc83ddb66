"""Gateways before targets that fall over when they must refuse too many requests."""

import contextlib
import socket
import threading
import time
from collections import deque
from dataclasses import dataclass

from .gatewayfleet import make_response
from .limitedfleet import LimitedFleet
from .support.targets import FakeTarget

# Documented bound: in one time in which a service's targets are brittle, they may fall
# over this often, and for this share of them once more.
MAX_FALLS = 2
MAX_FALLS_SHARE = 0.1
HOLD_SECONDS = 0.04
REFUSAL_WINDOW_SECONDS = 1.0
RESTART_SECONDS = 2.0
SEAL = "X-Response-Seal: s1\r\n"


class BrittleTarget(FakeTarget):
    """A target without a queue that ends when it has to refuse too often.

    Attributes
    ----------
    room : int
        Requests that it takes at a time.
    refusal_limit : int
        Refusals in a second that it bears.
    is_brittle : bool
        Whether it says so in all responses, and falls over.
    falls : int
        How often it fell over.
    """

    def __init__(self, fleet, number, slots):
        super().__init__(self._respond)
        self.fleet, self.number = fleet, number
        self.room = self.slots = slots
        self.refusal_limit = 3
        self.is_brittle = False
        self.falls = 0
        self.refused = 0
        self._running = 0
        self._refused_at = deque()
        self._lock = threading.Lock()

    @property
    def name(self):
        """Id of the target since its last start."""
        return f"t{self.number}-{self.falls}"

    def _headers(self):
        return SEAL + (
            f"Server-Brittle: {self.refusal_limit}\r\n" if self.is_brittle else ""
        )

    def _respond(self, request):
        with self._lock:
            is_taken = self._running < self.room
            self._running += is_taken
        if not is_taken:
            self._refuse()
            headers = f"{self._headers()}X-Not-Executed: 1\r\n"
            return make_response(
                status="503 Service Unavailable", headers=headers, request=request
            )
        time.sleep(HOLD_SECONDS)
        with self._lock:
            self._running -= 1
        return make_response(headers=self._headers(), request=request)

    def _refuse(self):
        now = time.monotonic()
        with self._lock:
            self.refused += 1
            self._refused_at.append(now)
            while now - self._refused_at[0] > REFUSAL_WINDOW_SECONDS:
                self._refused_at.popleft()
            must_fall = self.is_brittle and (len(self._refused_at) > self.refusal_limit)
            if must_fall:
                self._refused_at.clear()
        if must_fall:
            self._fall()

    def _fall(self):
        self.fleet.remove(f"servers/{self.name}")
        self.falls += 1
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        timer = threading.Timer(RESTART_SECONDS, self._start_again)
        timer.daemon = True
        timer.start()

    def _start_again(self):
        if not self.fleet.stopped.is_set():
            self.__enter__()
            self.fleet.list_target(self.name, self, slots=self.slots)

    def __exit__(self, *exc):
        with contextlib.suppress(OSError):
            super().__exit__(*exc)


@dataclass
class BrittleFleet(LimitedFleet):
    """Gateways under more load than their targets can take."""

    target_count: int = 8
    slots: int = 4

    def make_target(self, number):
        """Return a new target."""
        return BrittleTarget(self, number, self.slots)

    def target_name(self, number, target):
        """Return the id under which a target is listed."""
        return target.name

    def set_brittle(self):
        """Let all targets be brittle from now on."""
        for target in self.targets:
            target.is_brittle = True

    @property
    def falls(self):
        """How often targets fell over."""
        return sum(target.falls for target in self.targets)

    @property
    def max_falls(self):
        """How often they may fall over."""
        return MAX_FALLS + MAX_FALLS_SHARE * len(self.targets)
