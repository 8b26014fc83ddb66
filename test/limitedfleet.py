"""Gateways under steady load before targets that name limits in their responses."""

import contextlib
import itertools
import threading
import time
from dataclasses import dataclass, field

import urllib3

from .gatewayfleet import GatewayFleet, make_response
from .support.targets import FakeTarget

# Documented bounds: from this time after a target first named its rate, it gets in any
# window no more than the factor times what the rate allows, and the extra requests.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
OVERAGE_FACTOR = 1.5
EXTRA_REQUESTS = 5
# Every so many responses of a target that fails are failures.
FAILURE_INTERVAL = 3
CALLERS = 8
CALLER_PAUSE_SECONDS = 0.1


def max_requests(rate):
    """Return how many requests a target that names a rate may get in a window."""
    return OVERAGE_FACTOR * WINDOW_SECONDS * rate + EXTRA_REQUESTS


class LimitedTarget(FakeTarget):
    """A target that names the value of `limit` in all its responses, or in failures.

    Attributes
    ----------
    limit : str or None
        Value of the header; None if it is left out.
    status : str
        Status of its responses.
    failure_statuses : tuple of str
        If given, every third response has one of these statuses in turn, and only
        these responses name the limit.
    arrivals : list of float
        Monotonic times at which requests arrived.
    """

    def __init__(self, limit=None):
        super().__init__(self._respond)
        self.limit = limit
        self.status = "200 OK"
        self.failure_statuses = ()
        self.arrivals = []

    def _respond(self, request):
        self.arrivals.append(time.monotonic())
        headers = "X-Response-Seal: s1\r\n"
        status = self._failure_status() or self.status
        is_named = not self.failure_statuses or status != self.status
        if self.limit is not None and is_named:
            headers += f"Server-Limit: {self.limit}\r\n"
        if status.startswith("503"):
            headers += "X-Not-Executed: 1\r\n"
        return make_response(status=status, headers=headers, request=request)

    def _failure_status(self):
        """Return the status of the response if it must be a failure, or None."""
        interval, is_last = divmod(len(self.arrivals), FAILURE_INTERVAL)
        if is_last or not self.failure_statuses:
            return None
        return self.failure_statuses[interval % len(self.failure_statuses)]

    def count(self, since, until):
        """Return the number of requests that arrived in a time span."""
        return sum(since <= at < until for at in list(self.arrivals))

    def most_in_window(self, since, until):
        """Return the largest number of requests in any window of a time span."""
        arrivals = [at for at in list(self.arrivals) if since <= at < until]
        return max(
            (
                sum(start <= at < start + WINDOW_SECONDS for at in arrivals)
                for start in arrivals
            ),
            default=0,
        )


@dataclass
class LimitedFleet(GatewayFleet):
    """Gateways whose callers send requests without pause, and limited targets.

    Parameters
    ----------
    target_count : int

    Attributes
    ----------
    statuses : list of (float, int or None)
        When each request ended and its status; None without a response.
    """

    target_count: int = 2
    statuses: list = field(default_factory=list)

    def __enter__(self):
        super().__enter__()
        self.http = urllib3.PoolManager(retries=False, timeout=10.0, maxsize=CALLERS)
        self.stopped = threading.Event()
        self.threads = []
        self.targets = list(map(self.make_target, range(self.target_count)))
        for number, target in enumerate(self.targets):
            self.stack.enter_context(target)
            self.list_target(self.target_name(number, target), target)
        self.start()
        return self

    def make_target(self, number):
        """Return a new target."""
        return LimitedTarget()

    def target_name(self, number, target):
        """Return the id under which a target is listed."""
        return f"t{number}"

    def __exit__(self, *exc):
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        super().__exit__(*exc)

    def kill(self, index):
        """Kill a gateway."""
        self.processes[index].kill()
        self.processes[index].wait()

    def restart(self, index):
        """Start a killed gateway again."""
        self.processes[index] = self._start(self.addresses[index])

    def send_requests(
        self,
        path="/look/",
        method="GET",
        callers=CALLERS,
        pause=CALLER_PAUSE_SECONDS,
    ):
        """Send requests in threads, to one gateway after the other."""
        for number in range(callers):
            thread = threading.Thread(
                target=self._send_until_stopped, args=(path, method, number, pause)
            )
            thread.start()
            self.threads.append(thread)

    def _send_until_stopped(self, path, method, first, pause):
        addresses = itertools.islice(itertools.cycle(self.addresses), first, None)
        while not self.stopped.wait(pause):
            status = None
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                status = self.call(f"{path}{first}", next(addresses), method).status
            self.statuses.append((time.monotonic(), status))

    def served(self, since, until):
        """Return how many requests were served in a time span."""
        return sum(
            since <= at < until and status == 200 for at, status in list(self.statuses)
        )
