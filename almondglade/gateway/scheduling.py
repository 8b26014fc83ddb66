"""Schedule one request on a gateway: allowance, slot, dispatch and release."""

import threading

from ..deadlines import Deadlines
from ..dispatch.connections import TargetPools
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..placement.places import Ticket
from .momentary import MomentRecorder
from .run import GatewayRun

log = get_logger("requests")

# A request waits for a slot for at most this share of its latency objective; the rest
# is left for the response.
MAX_WAIT_SHARE = 0.7
# Longest wait for a slot when a request is retried on another target.
RETRY_MAX_WAIT_SECONDS = 1.0
# Limits of the Retry-After time of a refused request.
MIN_RETRY_AFTER_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 4.0
# A caller that retries before the overload has passed is refused again, so it is told
# to wait for at least this many times the latency objective of its route.
MIN_RETRY_AFTER_OBJECTIVES = 2.0


VERSION_GONE_MESSAGE = "no target of the software version that began the stream"


def no_version_error():
    """Return the error for a stream that cannot go on, as its version has gone.

    The version may be back later, as when its last target starts again.
    """
    return RequestError(
        Code.NO_TARGET, VERSION_GONE_MESSAGE, retry_after=MAX_RETRY_AFTER_SECONDS
    )


class GatewayScheduler:
    """Assigns requests to targets and dispatches them, in the caller's thread.

    Parameters
    ----------
    pools : Pools
        Assigns slots of targets to waiting requests; guarded by `lock`.
    allowances : SharedAllowances
        Token buckets of the workspaces; guarded by `lock`.
    retry_budget : RetryBudget
        Limits retries; guarded by `lock`.
    suspects : SuspectTracker
        Tracks the requests that may crash targets.
    limits : LimitTracker
        Tracks the limits that targets name.
    origins : OriginTracker
        Tracks which versions began streams.
    relays : RelayPeers
        Chooses peers through which requests are passed.
    links : LinkMonitor
        Watches the links to the targets.
    connections : TargetPools
        Connections to the targets.
    lock : threading.Lock
        Guards the state behind all scheduling decisions.
    fleet_size : callable
        Returns the number of instances in the fleet.
    on_change : callable
        Called after the running or waiting requests of this instance have changed.
    send_grants : callable
        Called with the name of a peer and its new grants, as (number of the grant,
        number of the request, target).
    metrics : Metrics
        Where decisions are counted.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        pools,
        allowances,
        retry_budget,
        suspects,
        limits,
        origins,
        relays,
        links,
        connections,
        lock,
        fleet_size,
        on_change,
        send_grants,
        metrics,
        clock,
    ):
        self.pools = pools
        self.instance = pools.instance
        self.allowances = allowances
        self.retry_budget = retry_budget
        self.suspects = suspects
        self.limits = limits
        self.origins = origins
        self.relays = relays
        self.links = links
        self.connections = connections
        self.peer_connections = TargetPools()
        self.lock = lock
        self.fleet_size = fleet_size
        self.on_change = on_change
        self.send_grants = send_grants
        self.metrics = metrics
        self.clock = clock
        self.deadlines = Deadlines(clock)
        self.moments = MomentRecorder(pools, lock, metrics, clock)

    def run(self, request):
        """Dispatch a request and return its `GatewayRun`.

        Raises
        ------
        RequestError
            If the request was refused or no response to it began.
        """
        self.suspects.check(request)
        if request.relayed_by:
            return GatewayRun(self, request).open()
        now = self.clock()
        with self.lock:
            self.retry_budget.count_request(request.service, now)
            retry_after = self._consume_allowance(request, now)
        if retry_after > 0.0:
            self._count_refusal(request, Code.PLAN_LIMIT)
            log.info(
                "request refused: the workspace is over its allowance",
                request=request.request_id,
                workspace=request.workspace.name,
                charge=request.charge,
                rate=request.workspace.rate,
                burst=request.workspace.burst,
                retry_after=round(retry_after, 2),
            )
            raise RequestError(
                Code.PLAN_LIMIT,
                "the workspace is over its allowance",
                retry_after=retry_after,
            )
        run = GatewayRun(self, request)
        try:
            run.open()
        except BaseException:
            if not request.may_have_run:
                self.refund(request)
            raise
        return run

    def _consume_allowance(self, request, now):
        if request.workspace is None:
            return 0.0
        return self.allowances.consume(request.workspace, request.charge, now)

    def refund(self, request):
        """Refund what a request that did not run consumed of its allowance."""
        if request.workspace is not None:
            with self.lock:
                self.allowances.refund(request.workspace, request.charge)

    def acquire(self, request):
        """Wait for a slot at a target and return the `Ticket` that holds it.

        Raises
        ------
        RequestError
            If no slot becomes free in time or the caller disconnects.
        """
        if request.version and not self.has_target(
            request.service, request.version, request.attempted_targets
        ):
            raise self._version_gone_error(request)
        now = self.clock()
        ready = threading.Event()
        ticket = Ticket(
            request.service,
            request.tier,
            request.arrived_at,
            frozenset(request.attempted_targets),
            ready.set,
            expected_events=request.expected_events,
            deadline=request.deadline,
            isolated_fingerprint=self.suspects.isolated_fingerprint(request),
            version=request.version,
            workspace=request.workspace.name if request.workspace else "",
            tokens=request.expected_tokens,
        )
        max_wait = self._max_wait(request, now)
        with self.lock:
            expected_wait = self._expected_wait(request, now)
            # A stream that has begun waits in any case.
            is_begun = bool(request.attempted_targets or request.version)
            if expected_wait <= max_wait or is_begun:
                self.pools.enqueue(ticket, now)
                self.match()
        if expected_wait > max_wait and not is_begun:
            raise self._overload_error(request, expected_wait, "too much work waits")
        self.on_change()
        request.caller_connection.on_disconnect(ready.set)
        try:
            ready.wait(max_wait)
        finally:
            request.caller_connection.on_disconnect(None)
        with self.lock:
            still_waiting = self.pools.withdraw(ticket)
            if still_waiting:
                expected_wait = self._expected_wait(request, self.clock())
        if still_waiting:
            self.on_change()
        if request.caller_connection.disconnected:
            if not still_waiting:
                self.release(ticket, None)
            raise RequestError(Code.CALLER_GONE, "the caller has gone away")
        if still_waiting:
            raise self._overload_error(
                request, expected_wait, "no place became free in time"
            )
        self.metrics.observe(
            "wait_seconds",
            self.clock() - now,
            service=request.service,
            tier=request.route.tier,
        )
        return ticket

    def _expected_wait(self, request, now):
        """Return the expected wait of a new request; the caller must hold the lock."""
        backoff = self.pools.targets.backoff_seconds(
            request.service, request.version, now
        )
        return backoff or self.pools.expected_wait(request.service, request.tier, now)

    def _max_wait(self, request, now):
        time_left = request.deadline - now
        if request.attempted_targets:
            return max(0.0, min(RETRY_MAX_WAIT_SECONDS, time_left))
        wait_until = (
            request.arrived_at + MAX_WAIT_SHARE * request.route.latency_objective
        )
        return max(0.0, min(wait_until - now, time_left))

    def _overload_error(self, request, expected_wait, cause):
        delay = max(
            expected_wait, MIN_RETRY_AFTER_OBJECTIVES * request.route.latency_objective
        )
        retry_after = min(max(MIN_RETRY_AFTER_SECONDS, delay), MAX_RETRY_AFTER_SECONDS)
        self._count_refusal(request, Code.OVERLOADED)
        log.info(
            "request refused: no free slot",
            request=request.request_id,
            service=request.service,
            tier=request.tier,
            cause=cause,
            expected_wait=round(min(expected_wait, 1e3), 3),
            waited=round(self.clock() - request.arrived_at, 3),
            retry_after=round(retry_after, 2),
        )
        if request.may_have_run:
            return RequestError(Code.TARGET_FAILED, cause, Outcome.UNKNOWN)
        return RequestError(Code.OVERLOADED, cause, retry_after=retry_after)

    def has_target(self, service, version, attempted):
        """Return whether a target that was not attempted has a software version."""
        with self.lock:
            return self.pools.targets.has_target(service, version, attempted)

    def _version_gone_error(self, request):
        self._count_refusal(request, Code.NO_TARGET)
        log.info(
            "request refused: no target of the stream's version",
            request=request.request_id,
            service=request.service,
            version=request.version,
            targets=request.attempted_targets,
        )
        if request.may_have_run:
            return RequestError(
                Code.TARGET_FAILED, VERSION_GONE_MESSAGE, Outcome.UNKNOWN
            )
        return no_version_error()

    def _count_refusal(self, request, code):
        self.metrics.count("refusals_total", service=request.service, code=code.text)

    def release(self, ticket, held_seconds):
        """Free the slot of a ticket and assign it to the next request.

        Parameters
        ----------
        ticket : Ticket
        held_seconds : float or None
            Seconds for which a completed request held the slot; None if it did not
            complete.
        """
        with self.lock:
            self.pools.release(ticket, held_seconds, self.clock())
            self.match()
        self.on_change()

    def end_isolation(self, ticket):
        """Let other isolated requests run beside one that has begun to respond."""
        with self.lock:
            self.pools.end_isolation(ticket)
            self.match()
        self.on_change()

    def match(self):
        """Assign free slots to waiting requests; the caller must hold the lock.

        Returns
        -------
        set of str
            Peers whose requests got slots.
        """
        grants_by_peer: dict[str, list[tuple[int, int, str]]] = {}
        for ticket, number in self.pools.match(self.clock()):
            if number:
                grant = (number, ticket.number, ticket.target)
                grants_by_peer.setdefault(ticket.owner, []).append(grant)
            else:
                ticket.on_granted()
        for peer, grants in grants_by_peer.items():
            self.send_grants(peer, grants)
        return set(grants_by_peer)

    def may_retry(self, request):
        """Return whether a request may be retried; if so, count the retry."""
        if len(request.attempted_targets) >= request.route.max_attempts:
            return False
        with self.lock:
            granted = self.retry_budget.spend(
                request.service, self.fleet_size(), self.clock()
            )
        self.metrics.count(
            "resends_total",
            service=request.service,
            result="sent" if granted else "over budget",
        )
        if not granted:
            log.warning(
                "request not retried: the retry budget is used up",
                request=request.request_id,
                service=request.service,
                instances=self.fleet_size(),
            )
        return granted

    def record_statements(self, request, record, response_info):
        """Record that a target says that it is leaving, or wants no requests.

        Parameters
        ----------
        request : GatewayRequest
            Request that it answered.
        record : TargetRecord
        response_info : TargetResponseInfo
        """
        if response_info.is_leaving:
            self.record_leaving(record, request.request_id)
        if response_info.backoff is None or response_info.misdirected:
            return
        with self.lock:
            targets = self.pools.targets
            is_longer = targets.record_backoff(
                record.incarnation, response_info.backoff, self.clock()
            )
        if is_longer:
            self.metrics.count("target_backoffs_total", service=record.service)
            log.info(
                "target wants no requests for a while",
                request=request.request_id,
                target=record.id,
                seconds=response_info.backoff,
            )

    def record_leaving(self, record, source):
        """Record that a target says that it is leaving, in a response or a probe."""
        with self.lock:
            targets = self.pools.targets
            if not targets.record_leaving(record.incarnation):
                return
            self.suspects.update_targets(
                [state.record for state in targets.state_by_target.values()]
            )
        self.metrics.count("targets_leaving_total", service=record.service)
        log.info("target says that it is leaving", target=record.id, source=source)
        # Coordinators must not grant it to this instance any more.
        self.on_change()

    def record_for(self, target):
        """Return the record of a target that accepts new requests, or None."""
        with self.lock:
            if not self.pools.targets.takes_new_work(target):
                return None
            return self.pools.targets.state_by_target[target].record

    def listed_record(self, target):
        """Return the record of a target, or None if it is not listed."""
        with self.lock:
            state = self.pools.targets.state_by_target.get(target)
            return state.record if state is not None else None

    def slowness_of(self, target):
        """Return the slowness of a target; 1 if not known, as where a peer chooses."""
        with self.lock:
            state = self.pools.targets.state_by_target.get(target)
            return state.slowness if state is not None else 1.0

    def is_cut_off(self, request):
        """Return whether this instance reaches no target that could run a request."""
        with self.lock:
            return self.pools.targets.is_cut_off(
                request.service, request.version, self.clock()
            )

    def record_unreachable(self, target):
        """Pause a target to which a connection failed, and probe its service."""
        self.update_health(target, lambda health, now: health.record_unreachable(now))
        record = self.listed_record(target)
        if record is not None:
            self.links.record_failure(record.service)

    def has_other_version(self, record):
        """Return whether a target has started again with another version since."""
        with self.lock:
            state = self.pools.targets.state_by_target.get(record.id)
            return state is not None and state.record.version != record.version

    def update_health(self, target, update):
        """Update the health record of a target.

        Parameters
        ----------
        target : str
            Id of the target; ignored if it is no longer listed.
        update : callable
            Called with the target's `Health` and the time.
        """
        with self.lock:
            state = self.pools.targets.state_by_target.get(target)
            if state is not None:
                before = state.health.is_paused(self.clock())
                update(state.health, self.clock())
                after = state.health.is_paused(self.clock())
                if after and not before:
                    self.metrics.count(
                        "target_pauses_total", service=state.record.service
                    )
                    log.info(
                        "target paused",
                        target=target,
                        seconds=round(state.health.pause, 2),
                        failures=round(state.health.smoothed_failures, 2),
                    )
