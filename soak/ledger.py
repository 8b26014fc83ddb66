"""What targets have run and callers were told, and the promises on both."""

import itertools
import threading
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

# Statuses that promise that a request has not run and never will.
PROMISING = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class Run:
    """A request that a target began to run.

    Parameters
    ----------
    at : float
        Monotonic seconds.
    """

    request: str
    target: str
    workspace: str
    repeatable: bool
    at: float


@dataclass(frozen=True)
class Told:
    """What a caller was told of one request.

    Parameters
    ----------
    status : int or None
        None for a connection that ended without an answer.
    sent, at : float
        Monotonic seconds of the request and of the end of its answer.
    """

    request: str
    key: str
    status: int | None
    sent: float
    at: float
    calm: bool = False


@dataclass
class Ledger:
    """Collects runs and answers, and finds the promises that were broken.

    Attributes
    ----------
    broken : list of str
        Broken promises, in words.
    """

    runs: list[Run] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    sent_at: dict[str, tuple[str, float]] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def ran(self, request, target, workspace, repeatable):
        """Note that a target began to run a request."""
        run = Run(request, target, workspace, repeatable, time.monotonic())
        with self._lock:
            self.runs.append(run)

    def sends(self, request, key):
        """Note that a caller is about to send a request."""
        with self._lock:
            self.sent_at[request] = (key, time.monotonic())

    def answer(self, told):
        """Note what a caller was told."""
        with self._lock:
            self.told.append(told)

    def breaks(self, words):
        """Note a promise that was seen broken."""
        with self._lock:
            self.broken.append(words)

    def check(self, terms):
        """Return all broken promises.

        Parameters
        ----------
        terms : Terms
            Bounds of the promises.
        """
        runs_by_request = defaultdict(list)
        for run in self.runs:
            runs_by_request[run.request].append(run)
        return [
            *self.broken,
            *self._ran_twice(runs_by_request, terms),
            *self._ran_after_promise(runs_by_request),
            *self._ran_unasked(runs_by_request),
            *self._ran_with_revoked_key(runs_by_request, terms),
            *self._over_allowance(terms),
            *self._held_too_long(terms),
        ]

    @staticmethod
    def _ran_twice(runs_by_request, terms):
        for request, runs in runs_by_request.items():
            most = terms.max_attempts if runs[0].repeatable else 1
            if len(runs) > most:
                targets = [run.target for run in runs]
                yield f"{request} ran {len(runs)} times, at {targets}"

    def _ran_after_promise(self, runs_by_request):
        for told in self.told:
            runs = runs_by_request.get(told.request, ())
            if told.status in PROMISING and any(not run.repeatable for run in runs):
                yield f"{told.request} was told {told.status} and ran"

    def _ran_unasked(self, runs_by_request):
        for request in runs_by_request.keys() - self.sent_at.keys():
            yield f"{request} ran and no caller sent it"

    def _ran_with_revoked_key(self, runs_by_request, terms):
        for request, (key, sent) in self.sent_at.items():
            bound = self.revoked_at.get(key, float("inf")) + terms.revoke
            if sent > bound and request in runs_by_request:
                yield f"{request} ran {sent - bound:.2f} s after its key had to end"

    def _over_allowance(self, terms):
        times = sorted(run.at for run in self.runs if run.workspace == terms.metered)
        for index, start in enumerate(times):
            count = sum(
                1
                for _ in itertools.takewhile(
                    lambda at, start=start: at - start <= terms.window, times[index:]
                )
            )
            if count > terms.most_in_window:
                yield f"{count} requests of {terms.metered} in {terms.window} s"
                return

    def _held_too_long(self, terms):
        for told in self.told:
            if told.calm and told.at - told.sent > terms.time_limit + terms.lateness:
                yield f"{told.request} was answered after {told.at - told.sent:.2f} s"

    def summary(self):
        """Return how many callers were told each status."""
        return dict(Counter(str(told.status) for told in self.told))


@dataclass(frozen=True)
class Terms:
    """Bounds of the promises, from the users' pages.

    Parameters
    ----------
    revoke : float
        Seconds after which a revoked key runs nothing more.
    max_attempts : int
        Targets to which a repeatable request may be sent.
    metered : str
        Workspace with an allowance.
    window, most_in_window
        Requests of it that may run in this many seconds.
    time_limit, lateness : float
        Callers' time, and by how much its end may be late in a calm moment.
    """

    revoke: float = 5.0
    max_attempts: int = 2
    metered: str = "metered"
    rate: float = 15.0
    burst: float = 15.0
    window: float = 8.0
    overage: float = 0.25
    slack: float = 37.0
    time_limit: float = 3.0
    lateness: float = 0.5

    @property
    def most_in_window(self):
        """Requests that the allowance, with what the pages add, lets through."""
        allowed = self.rate * self.window + self.burst
        return allowed * (1.0 + self.overage) + self.slack
