"""Records executions at targets and outcomes at callers, and checks guarantees."""

import itertools
import threading
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class Run:
    """One execution of a request at a target.

    Parameters
    ----------
    repeatable : bool
        Whether the request may be sent to more than one target.
    started_at : float
        Monotonic seconds.
    """

    request_id: str
    target: str
    workspace: str
    repeatable: bool
    started_at: float


@dataclass(frozen=True)
class CallerOutcome:
    """How one request ended for its caller.

    Parameters
    ----------
    status : int or None
        None for a connection that ended without a complete response.
    sent_at, ended_at : float
        Monotonic seconds of the request and of the end of its response.
    undisturbed : bool
        Whether no fault was active or recent during the request.
    """

    request_id: str
    key: str
    status: int | None
    sent_at: float
    ended_at: float
    undisturbed: bool = False


@dataclass
class Ledger:
    """Collects executions and outcomes, and finds violations of guarantees.

    Attributes
    ----------
    violations : list of str
        Violations that were seen during the run, as messages.
    revoked_at : dict of str to float
        Monotonic seconds of the revocation, by key.
    sent_at : dict of str to (str, float)
        Key and monotonic seconds of a request by its id.
    crashing_request_by_id : dict of str to (str, str)
        Path of a request that crashes targets, or the part of its prompt that does,
        and the gateway that it was sent to.
    cut_streams : set of str
        Ids of the requests whose streams a target has cut within an event.
    disturbances : list of (str, float, float)
        Gateways that were disturbed, or cut off from the store, from when to when.
    arrivals : list of (str, float)
        Targets to which requests were sent, and when.
    named_rates : list of (str, float, float, float)
        Targets, the requests per second that they named, from when to when.
    falls : list of float
        When brittle targets ended as they had to refuse too often.
    brittle_times : list of (float, float, int)
        From when to when targets were brittle, and how many.
    """

    runs: list[Run] = field(default_factory=list)
    outcomes: list[CallerOutcome] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    sent_at: dict[str, tuple[str, float]] = field(default_factory=dict)
    crashing_request_by_id: dict[str, tuple[str, str]] = field(default_factory=dict)
    cut_streams: set[str] = field(default_factory=set)
    disturbances: list[tuple[str, float, float]] = field(default_factory=list)
    arrivals: list[tuple[str, float]] = field(default_factory=list)
    named_rates: list[tuple[str, float, float, float]] = field(default_factory=list)
    falls: list[float] = field(default_factory=list)
    brittle_times: list[tuple[float, float, int]] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def record_run(self, request_id, target, workspace, repeatable):
        """Record that a target starts to run a request."""
        run = Run(request_id, target, workspace, repeatable, time.monotonic())
        with self._lock:
            self.runs.append(run)

    def record_request(self, request_id, key):
        """Record that a caller is about to send a request."""
        with self._lock:
            self.sent_at[request_id] = (key, time.monotonic())

    def record_crashing_request(self, request_id, cause, address):
        """Record that a request crashes each target that runs it.

        Parameters
        ----------
        cause : str
            Its path, or the part of its prompt that crashes targets.
        """
        with self._lock:
            self.crashing_request_by_id[request_id] = (cause, address)

    def record_cut_stream(self, request_id):
        """Record that a target cuts the stream of a request within an event."""
        with self._lock:
            self.cut_streams.add(request_id)

    def record_disturbance(self, addresses, started_at):
        """Record that gateways were disturbed until now."""
        now = time.monotonic()
        with self._lock:
            self.disturbances += [(address, started_at, now) for address in addresses]

    def record_arrival(self, target):
        """Record that a request arrived at a target."""
        with self._lock:
            self.arrivals.append((target, time.monotonic()))

    def record_named_rate(self, target, rate, started_at):
        """Record that a target has named a rate from some time until now."""
        with self._lock:
            self.named_rates.append((target, rate, started_at, time.monotonic()))

    def record_fall(self, target):
        """Record that a brittle target has ended."""
        with self._lock:
            self.falls.append(time.monotonic())

    def record_brittle_time(self, started_at, targets):
        """Record that a number of targets were brittle until now."""
        with self._lock:
            self.brittle_times.append((started_at, time.monotonic(), targets))

    def record_outcome(self, outcome):
        """Record how a request ended for its caller."""
        with self._lock:
            self.outcomes.append(outcome)

    def record_violation(self, message):
        """Record a violation that was seen during the run."""
        with self._lock:
            self.violations.append(message)

    def check(self, limits):
        """Return the messages of all violations.

        Parameters
        ----------
        limits : GuaranteeLimits
            Limits of the guarantees.
        """
        runs_by_request_id = defaultdict(list)
        for run in self.runs:
            runs_by_request_id[run.request_id].append(run)
        return [
            *self.violations,
            *self._find_repeated_runs(runs_by_request_id, limits),
            *self._find_runs_after_refusal(runs_by_request_id),
            *self._find_unsent_runs(runs_by_request_id),
            *self._find_runs_with_revoked_key(runs_by_request_id, limits),
            *self._find_allowance_excess(limits),
            *self._find_late_responses(limits),
            *self._find_late_crashing_runs(limits),
            *self._find_named_rate_excess(limits),
            *self._find_falls(limits),
        ]

    @staticmethod
    def _find_repeated_runs(runs_by_request_id, limits):
        for request_id, runs in runs_by_request_id.items():
            max_runs = limits.max_attempts if runs[0].repeatable else 1
            if len(runs) > max_runs:
                targets = [run.target for run in runs]
                yield f"{request_id} ran {len(runs)} times, at {targets}"

    def _find_runs_after_refusal(self, runs_by_request_id):
        for outcome in self.outcomes:
            runs = runs_by_request_id.get(outcome.request_id, ())
            if outcome.status in NOT_RUN_STATUSES and any(
                not run.repeatable for run in runs
            ):
                yield f"{outcome.request_id} was told {outcome.status} and ran"

    def _find_unsent_runs(self, runs_by_request_id):
        for request_id in runs_by_request_id.keys() - self.sent_at.keys():
            yield f"{request_id} ran and no caller sent it"

    def _find_runs_with_revoked_key(self, runs_by_request_id, limits):
        for request_id, (key, sent_at) in self.sent_at.items():
            deadline = (
                self.revoked_at.get(key, float("inf")) + limits.revocation_seconds
            )
            if sent_at > deadline and request_id in runs_by_request_id:
                yield (
                    f"{request_id} ran {sent_at - deadline:.2f} s "
                    "after its key had to end"
                )

    def _find_allowance_excess(self, limits):
        times = sorted(
            run.started_at
            for run in self.runs
            if run.workspace == limits.metered_workspace
        )
        for index, start in enumerate(times):
            count = sum(
                1
                for _ in itertools.takewhile(
                    lambda at, start=start: at - start <= limits.window_seconds,
                    times[index:],
                )
            )
            if count > limits.max_requests_in_window:
                yield (
                    f"{count} requests of {limits.metered_workspace} "
                    f"in {limits.window_seconds} s"
                )
                return

    def _find_late_responses(self, limits):
        for outcome in self.outcomes:
            if (
                outcome.undisturbed
                and outcome.ended_at - outcome.sent_at
                > limits.time_limit_seconds + limits.lateness_seconds
            ):
                yield (
                    f"{outcome.request_id} was answered after "
                    f"{outcome.ended_at - outcome.sent_at:.2f} s"
                )

    def _find_late_crashing_runs(self, limits):
        runs_by_cause = defaultdict(list)
        for run in self.runs:
            if run.request_id in self.crashing_request_by_id:
                cause, address = self.crashing_request_by_id[run.request_id]
                runs_by_cause[cause].append((run.started_at, address))
        for cause, runs in runs_by_cause.items():
            runs.sort()
            is_path = cause.startswith("/")
            max_crashes = limits.max_crashes if is_path else limits.max_part_crashes
            if len(runs) <= max_crashes:
                continue
            deadline = runs[max_crashes - 1][0] + limits.contact_seconds
            late = [
                round(at - runs[0][0], 2)
                for at, address in runs
                if at > deadline and self._is_in_touch(address, at, limits)
            ]
            if len(late) > limits.max_late_runs:
                yield f"{cause} crashed targets again after {late} s"

    def _find_named_rate_excess(self, limits):
        for target, rate, started_at, ended_at in self.named_rates:
            times = [
                at
                for name, at in self.arrivals
                if name == target
                and started_at + limits.contact_seconds <= at <= ended_at
            ]
            most = max(
                (
                    sum(
                        start <= at < start + limits.rate_window_seconds for at in times
                    )
                    for start in times
                ),
                default=0,
            )
            allowed = (
                limits.rate_factor * limits.rate_window_seconds * rate
                + limits.rate_extra_requests
            )
            if most > allowed:
                yield f"{target} named {rate} a second and got {most} in 4 s"

    def _find_falls(self, limits):
        for started_at, ended_at, targets in self.brittle_times:
            since = started_at + limits.contact_seconds
            falls = sum(since <= at <= ended_at for at in self.falls)
            if falls > limits.max_falls + limits.max_falls_share * targets:
                yield f"{falls} of {targets} brittle targets fell over"

    def _is_in_touch(self, address, at, limits):
        return not any(
            name == address and start <= at <= end + limits.contact_seconds
            for name, start, end in self.disturbances
        )

    def count_by_status(self):
        """Return the number of requests by the status that the caller received."""
        return dict(Counter(str(outcome.status) for outcome in self.outcomes))


@dataclass(frozen=True)
class GuaranteeLimits:
    """Limits of the documented guarantees.

    Parameters
    ----------
    revocation_seconds : float
        Time after which no request with a revoked key runs any more.
    max_attempts : int
        Most targets to which a repeatable request may be sent.
    metered_workspace : str
        Workspace with an allowance.
    requests_per_second, burst_requests : float
        Rate and burst of its token bucket.
    window_seconds : float
        Period in which at most `max_requests_in_window` of its requests may run.
    overage_share, slack_requests : float
        Share of the allowance and number of requests that may run above it.
    max_crashes, max_part_crashes, max_late_runs : int
        Targets that a request, and a part of prompts, may crash, and how often it may
        run once `contact_seconds` have passed since.
    contact_seconds : float
        Time after a disturbance in which a gateway need not keep time limits.
    rate_window_seconds, rate_factor : float
        A target that names a rate gets in a window at most this many times the rate.
    rate_extra_requests : int
        Requests that it may get beyond that.
    max_falls, max_falls_share : int, float
        How often brittle targets may fall over in one time, and for which share of them
        once more.
    time_limit_seconds, lateness_seconds : float
        Time limit of a request, and how much later its response may end while no
        fault is active or recent.
    """

    revocation_seconds: float = 5.0
    max_attempts: int = 2
    metered_workspace: str = "metered"
    requests_per_second: float = 15.0
    burst_requests: float = 15.0
    window_seconds: float = 8.0
    overage_share: float = 0.25
    slack_requests: float = 37.0
    max_crashes: int = 3
    max_part_crashes: int = 5
    max_late_runs: int = 3
    contact_seconds: float = 3.0
    rate_window_seconds: float = 4.0
    rate_factor: float = 1.5
    rate_extra_requests: int = 5
    max_falls: int = 2
    max_falls_share: float = 0.1
    time_limit_seconds: float = 3.0
    lateness_seconds: float = 0.5

    @property
    def max_requests_in_window(self):
        """Most requests in a window, including the documented overage and slack."""
        allowed = self.requests_per_second * self.window_seconds + self.burst_requests
        return allowed * (1.0 + self.overage_share) + self.slack_requests
