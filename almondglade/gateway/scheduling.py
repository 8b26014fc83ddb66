"""Take one request from its acceptance to its end, without a coordinator."""

import threading

from ..deadlines import Deadlines
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from ..placement.places import Ticket
from .run import GatewayRun

log = get_logger("requests")

# A request waits for a place for at most this share of its latency objective;
# the rest is for the answer.
PATIENCE_SHARE = 0.7
# A request that was sent already waits for its next target at most this long.
RESEND_PATIENCE_SECONDS = 1.0
# Bounds of the time after which a refused caller is told to come back, seconds.
MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 4.0
# A caller that comes back before the overload has passed is refused again, so
# it is told to wait for at least this many of its latency objectives.
RETRY_OBJECTIVES = 2.0


class GatewayScheduler:
    """Places requests on targets and sends them, in the caller's thread.

    Parameters
    ----------
    pools : Pools
        Decides on places; guarded by `lock`.
    allowances : SharedAllowances
        Decides on draws; guarded by `lock`.
    resends : RetryBudget
        Decides on repeats; guarded by `lock`.
    connections : TargetPools
        Connections to the targets.
    lock : threading.Lock
        Guards all decisions.
    instances : callable
        Returns the number of instances in the fleet.
    on_change : callable
        Called after what runs or waits here has changed.
    send_grants : callable
        Takes the name of a peer and its new grants, as (number, request,
        target).
    metrics : Metrics
        Where decisions are counted.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        pools,
        allowances,
        resends,
        connections,
        lock,
        instances,
        on_change,
        send_grants,
        metrics,
        clock,
    ):
        self.pools = pools
        self.allowances = allowances
        self.resends = resends
        self.connections = connections
        self.lock = lock
        self.instances = instances
        self.on_change = on_change
        self.send_grants = send_grants
        self.metrics = metrics
        self.clock = clock
        self.deadlines = Deadlines(clock)

    def run(self, request):
        """Send a request and return its `GatewayRun`.

        Raises
        ------
        RequestError
            If it was not run or its answer did not begin.
        """
        now = self.clock()
        with self.lock:
            self.resends.count_request(request.service, now)
            wait = self._draw(request, now)
        if wait > 0.0:
            self._count_refusal(request, Code.PLAN_LIMIT)
            log.info(
                "refused over the allowance",
                request=request.request_id,
                workspace=request.workspace.name,
                charge=request.charge,
                rate=request.workspace.rate,
                burst=request.workspace.burst,
                retry_after=round(wait, 2),
            )
            raise RequestError(
                Code.PLAN_LIMIT, "the workspace is over its allowance", retry_after=wait
            )
        run = GatewayRun(self, request)
        try:
            run.open()
        except BaseException:
            if not request.may_have_run:
                self.refund(request)
            raise
        return run

    def _draw(self, request, now):
        if request.workspace is None:
            return 0.0
        return self.allowances.consume(request.workspace, request.charge, now)

    def refund(self, request):
        """Return the draw of a request that did not run."""
        if request.workspace is not None:
            with self.lock:
                self.allowances.refund(request.workspace, request.charge)

    def acquire(self, request):
        """Wait for a place and return its `Ticket`.

        Raises
        ------
        RequestError
            If there is none in time or the caller has gone.
        """
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
        )
        patience = self._patience(request, now)
        with self.lock:
            expected = self.pools.expected_wait(request.service, request.tier, now)
            if expected <= patience or request.attempted_targets:
                self.pools.enqueue(ticket, now)
                self.match()
        if expected > patience and not request.attempted_targets:
            raise self._refusal(request, expected, "too much work waits")
        self.on_change()
        request.presence.on_gone(ready.set)
        try:
            ready.wait(patience)
        finally:
            request.presence.on_gone(None)
        with self.lock:
            waiting = self.pools.withdraw(ticket)
            expected = self.pools.expected_wait(
                request.service, request.tier, self.clock()
            )
        if waiting:
            self.on_change()
        if request.presence.gone:
            if not waiting:
                self.release(ticket, None)
            raise RequestError(Code.CALLER_GONE, "the caller has gone away")
        if waiting:
            raise self._refusal(request, expected, "no place became free in time")
        self.metrics.observe(
            "wait_seconds",
            self.clock() - now,
            service=request.service,
            tier=request.route.tier,
        )
        return ticket

    def _patience(self, request, now):
        left = request.deadline - now
        if request.attempted_targets:
            return max(0.0, min(RESEND_PATIENCE_SECONDS, left))
        due = request.arrived_at + PATIENCE_SHARE * request.route.latency_objective
        return max(0.0, min(due - now, left))

    def _refusal(self, request, expected, cause):
        room = max(expected, RETRY_OBJECTIVES * request.route.latency_objective)
        retry_after = min(max(MIN_RETRY_SECONDS, room), MAX_RETRY_SECONDS)
        self._count_refusal(request, Code.OVERLOADED)
        log.info(
            "refused for want of a place",
            request=request.request_id,
            service=request.service,
            tier=request.tier,
            cause=cause,
            expected_wait=round(min(expected, 1e3), 3),
            waited=round(self.clock() - request.arrived_at, 3),
            retry_after=round(retry_after, 2),
        )
        if request.may_have_run:
            return RequestError(Code.TARGET_FAILED, cause, Outcome.UNKNOWN)
        return RequestError(Code.OVERLOADED, cause, retry_after=retry_after)

    def _count_refusal(self, request, code):
        self.metrics.count("refusals_total", service=request.service, code=code.text)

    def release(self, ticket, held):
        """Return a place and give it to the next request."""
        with self.lock:
            self.pools.release(ticket, held, self.clock())
            self.match()
        self.on_change()

    def match(self):
        """Give free places to waiting requests; the lock must be held.

        Returns
        -------
        set of str
            Peers whose requests got some.
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

    def may_repeat(self, request):
        """Tell whether a request may be sent once more, and count it."""
        if len(request.attempted_targets) >= request.route.max_attempts:
            return False
        with self.lock:
            granted = self.resends.spend(
                request.service, self.instances(), self.clock()
            )
        self.metrics.count(
            "resends_total",
            service=request.service,
            result="sent" if granted else "over budget",
        )
        if not granted:
            log.warning(
                "not sent again: the budget of repeats is used up",
                request=request.request_id,
                service=request.service,
                instances=self.instances(),
            )
        return granted

    def record_for(self, target):
        """Return the record of a target that may get work, or None."""
        with self.lock:
            if not self.pools.targets.takes_new_work(target):
                return None
            return self.pools.targets.state_by_target[target].record

    def judge(self, target, judgement):
        """Change what is believed of a target.

        Parameters
        ----------
        judgement : callable
            Takes its `Health` and the time.
        """
        with self.lock:
            state = self.pools.targets.state_by_target.get(target)
            if state is not None:
                before = state.health.is_paused(self.clock())
                judgement(state.health, self.clock())
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
