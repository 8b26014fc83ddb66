"""Schedule one request on a gateway: allowance, slot, dispatch and release."""

import threading

from ..deadlines import Deadlines
from ..dispatch.connections import TargetPools
from ..log import get_logger
from ..outcome import Code, RequestError
from ..placement.places import Ticket
from ..placement.returns import max_wait_of_return
from .draining import Draining
from .hedgedrun import HedgedRun
from .hedging import Hedging
from .measuring import expected_first_byte_seconds
from .momentary import MomentRecorder
from .refusals import Refusals
from .retrying import Retries
from .returning import RECOGNITION_SECONDS, BookedReturns
from .run import GatewayRun
from .settings import DEFAULT_FEATURES
from .sharing import log_share_changes, record_share_refusal
from .targetrecords import TargetRecords

log = get_logger("requests")

# A request waits for a slot for at most this share of its latency objective; the rest
# is left for the response.
MAX_WAIT_SHARE = 0.7
# Longest wait for a slot when a request is retried on another target.
RETRY_MAX_WAIT_SECONDS = 1.0

# Tier of hedges in place of their workspaces', behind any that operators declare.
HEDGE_TIER = 1 << 20


class GatewayScheduler(TargetRecords, Retries):
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
        Called after the running or waiting requests of this instance have changed, with
        the set of the coordinators that this concerns, or without one if it may be all.
    send_grants : callable
        Called with the name of a peer and its new grants, as (number of the grant,
        number of the request, target).
    metrics : Metrics
        Where decisions are counted.
    clock : callable
        Returns monotonic seconds.
    features : Features
        Which optional decisions the operator allows.
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
        features=DEFAULT_FEATURES,
    ):
        super().__init__(pools, suspects, links, lock, on_change, metrics, clock)
        self.instance = pools.instance
        self.allowances = allowances
        self.retry_budget = retry_budget
        self.limits = limits
        self.origins = origins
        self.relays = relays
        self.connections = connections
        self.peer_connections = TargetPools()
        self.fleet_size = fleet_size
        self.send_grants = send_grants
        self.deadlines = Deadlines(clock)
        self.draining = Draining(clock)
        # Takes the bytes of responses that pass the link.
        self.record_bytes = lambda count: None
        # Checks that a target is still the listed one, before a stream goes on there.
        self.check_start = lambda record: None
        # Whether the start that was listed has surely begun a stream of some age.
        self.is_certain_start = lambda record, age: True
        self.refusals = Refusals(metrics, clock)
        self.returns = BookedReturns(pools, features.booked_returns, metrics, clock)
        self.moments = MomentRecorder(pools, lock, metrics, clock)
        self.hedging: Hedging | None = None

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
            if self.hedging is not None:
                self.hedging.count_request(request.service, now)
            retry_after = self._consume_allowance(request, now)
        if retry_after > 0.0:
            raise self.refusals.allowance_error(request, retry_after)
        hedging = self.hedging
        if hedging is not None and hedging.applies_to(request):
            run: GatewayRun = HedgedRun(self, request, hedging)
        else:
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
            raise self.refusals.version_gone_error(request)
        now = self.clock()
        ready = threading.Event()
        ticket = self._make_ticket(request, request.attempted_targets, ready.set)
        max_wait = self._max_wait(request, now)
        with self.lock:
            expected_wait = self._expected_wait(request, now)
            # A stream that has begun waits in any case.
            is_begun = bool(request.attempted_targets or request.version)
            is_return = self.returns.recognise(ticket, request)
            if is_return:
                max_wait = max(max_wait, max_wait_of_return(ticket, now))
            has_room = is_return or expected_wait <= max_wait or is_begun
            if has_room or self.returns.must_ask(ticket):
                self.pools.enqueue(ticket, now)
                self.match()
            else:
                record_share_refusal(
                    self.pools, self.metrics, request, expected_wait, now
                )
        if not ticket.number:
            raise self._overload_error(
                ticket, request, expected_wait, "too much work waits"
            )
        self.on_change({ticket.coordinator})
        request.caller_connection.on_disconnect(ready.set)
        try:
            seconds = max_wait if has_room else min(RECOGNITION_SECONDS, max_wait)
            if not ready.wait(seconds) and not is_return:
                self._wait_if_return(ticket, request, ready)
        finally:
            request.caller_connection.on_disconnect(None)
        with self.lock:
            still_waiting = self.pools.withdraw(ticket)
            if still_waiting:
                expected_wait = self._expected_wait(request, self.clock())
                record_share_refusal(
                    self.pools, self.metrics, request, expected_wait, self.clock()
                )
            else:
                self.returns.record_start(ticket)
        if still_waiting:
            self.on_change({ticket.coordinator})
        if request.caller_connection.disconnected:
            if not still_waiting:
                self.release(ticket, None)
            raise RequestError(Code.CALLER_GONE, "the caller has gone away")
        if still_waiting:
            raise self._overload_error(
                ticket, request, expected_wait, "no place became free in time"
            )
        self.metrics.observe(
            "wait_seconds",
            self.clock() - now,
            service=request.service,
            tier=request.route.tier,
        )
        return ticket

    def _wait_if_return(self, ticket, request, ready):
        """Go on waiting if the coordinator has said that room is booked."""
        if ticket.is_return:
            self.returns.record_recognised(request)
            ready.wait(max_wait_of_return(ticket, self.clock()))

    def _overload_error(self, ticket, request, expected_wait, cause):
        """Return the error of a refused request, with room booked for its return."""
        with self.lock:
            return_time = self.returns.book(ticket, request, expected_wait)
            coordinators = self.pools.coordinators_of_service(
                request.service, self.clock()
            )
        if return_time is not None and return_time.is_booked:
            self.on_change(coordinators)
        return self.refusals.overload_error(request, expected_wait, cause, return_time)

    def record_response_time(self, service, slowness):
        """Record how much slower than expected a target began to respond."""
        with self.lock:
            self.pools.response_times.record(service, slowness)

    def _make_ticket(self, request, attempted, on_granted):
        due_at = request.arrived_at + request.route.latency_objective
        input_tokens = request.caller_headers.input_tokens or 0
        with self.lock:
            start_by = self.pools.response_times.latest_start(
                request.service, due_at, expected_first_byte_seconds(input_tokens)
            )
        return Ticket(
            request.service,
            request.tier,
            request.arrived_at,
            frozenset(attempted),
            on_granted,
            expected_events=request.expected_events,
            deadline=request.deadline,
            isolated_fingerprint=self.suspects.isolated_fingerprint(request),
            version=request.version,
            workspace=request.workspace.name if request.workspace else "",
            tokens=request.expected_tokens,
            start_by=start_by,
        )

    def request_slot(self, request, attempted):
        """Ask for a slot for a request's next attempt, without waiting for it.

        Returns
        -------
        Ticket
            Has a target once a slot is assigned; to be given to `return_slot` or, after
            its use, `release`.
        """
        return self._enqueue(self._make_ticket(request, attempted, lambda: None))

    def _enqueue(self, ticket):
        with self.lock:
            self.pools.enqueue(ticket, self.clock())
            self.match()
        self.on_change({ticket.coordinator})
        return ticket

    def request_spare_slot(self, request, excluded):
        """Ask for a slot for a hedge, like `request_slot`, behind first attempts."""
        ticket = self._make_ticket(request, excluded, lambda: None)
        ticket.tier = (HEDGE_TIER, request.route.tier)
        ticket.arrived_at = self.clock()
        return self._enqueue(ticket)

    def return_slot(self, ticket):
        """Give back a ticket of `request_slot` that was not used."""
        with self.lock:
            still_waiting = self.pools.withdraw(ticket)
        if still_waiting:
            self.on_change({ticket.coordinator})
        else:
            self.release(ticket, None)

    def _expected_wait(self, request, now):
        """Return the expected wait of a new request; the caller must hold the lock."""
        backoff = self.pools.targets.backoff_seconds(
            request.service, request.version, now
        )
        workspace = request.workspace.name if request.workspace else ""
        return backoff or self.pools.expected_wait(
            request.service, request.tier, now, workspace
        )

    def _max_wait(self, request, now):
        time_left = request.deadline - now
        if request.attempted_targets:
            return max(0.0, min(RETRY_MAX_WAIT_SECONDS, time_left))
        wait_until = (
            request.arrived_at + MAX_WAIT_SHARE * request.route.latency_objective
        )
        return max(0.0, min(wait_until - now, time_left))

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
            now = self.clock()
            self.pools.release(ticket, held_seconds, now)
            self.match()
            state = self.pools.targets.state_by_target.get(ticket.target)
            coordinators = (
                self.pools.coordinators_of(state.record, now) if state else None
            )
        self.on_change(coordinators)

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
        log_share_changes(self.pools.shares)
        return set(grants_by_peer)
