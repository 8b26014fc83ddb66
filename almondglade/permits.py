"""Obtain permits: the entry's side of the links to coordinators."""

import asyncio
import itertools
from concurrent.futures import Future

from . import messages as m
from .log import get_logger
from .outcome import Code, Outcome, RequestError
from .poolclient import Permit, PoolClient
from .spends import SpendLedger

log = get_logger("permits")

# A grant is used within this long of the latest heartbeat that its
# coordinator had seen, by the entry's own clock.
PERMIT_VALIDITY_SECONDS = 1.2
NO_COORDINATOR_RETRY_SECONDS = 1.0
# Grace for a refusal to arrive after a demand's wait has ended.
ANSWER_GRACE_SECONDS = 0.5
# Permits of one pool that the dump shows.
MAX_DUMPED_PERMITS = 1000

_CODE_BY_REASON = {
    m.RefusalReason.OVERLOADED: Code.OVERLOADED,
    m.RefusalReason.PLAN_LIMIT: Code.PLAN_LIMIT,
    m.RefusalReason.NO_TARGET: Code.NO_TARGET,
    m.RefusalReason.SUSPECT: Code.SUSPECT,
    m.RefusalReason.NO_COORDINATOR: Code.NO_COORDINATOR,
    m.RefusalReason.STOPPING: Code.STOPPING,
}


class PermitBroker:
    """Keeps this instance joined to one coordinator for each pool.

    All methods but `acquire`, `release` and `is_valid` run on the loop thread.

    Parameters
    ----------
    own : str
        This instance's id.
    loop : asyncio.AbstractEventLoop
        The loop that carries the links.
    membership : Membership
        Who may coordinate.
    links : LinkTable
        Links to other instances.
    host : CoordinatorHost
        Coordinators that run here.
    clock : callable
        Returns monotonic seconds.
    lease_seconds : float
        Lease that a coordinator holds after a heartbeat.
    """

    def __init__(self, own, loop, membership, links, host, clock, lease_seconds):
        self.own = own
        self.loop = loop
        self.membership = membership
        self.links = links
        self.host = host
        self.clock = clock
        self.lease_seconds = lease_seconds
        self.started = clock()
        self.by_pool: dict[str, PoolClient] = {}
        host.attach(own, self.receive)

    # Called from the threads that serve callers

    def acquire(self, demand):
        """Wait for a permit.

        Parameters
        ----------
        demand : Demand
            What is to run.

        Returns
        -------
        Permit
            Must be given to `release` whatever happens.

        Raises
        ------
        RequestError
            If the demand is refused; the request has not run.
        """
        future: Future = Future()
        self.loop.call_soon_threadsafe(self._submit, demand, future)
        try:
            return future.result(demand.max_wait + ANSWER_GRACE_SECONDS)
        except TimeoutError:
            self.loop.call_soon_threadsafe(self._abandon, demand)
            raise _no_coordinator("no coordinator answered in time") from None

    def withdraw(self, demand):
        """Give up a demand; its `acquire` then fails."""
        self.loop.call_soon_threadsafe(self._withdraw, demand)

    def release(self, permit, completion):
        """End a permit."""
        self.loop.call_soon_threadsafe(self._finish, permit, completion)

    def is_valid(self, permit):
        """Tell whether a permit may still be used for a dispatch."""
        age = self.clock() - permit.grant.heard_at
        return age <= PERMIT_VALIDITY_SECONDS and permit.preempted is None

    # Called on the loop thread

    def join_all(self, pools):
        """Join the best reachable coordinator of every pool."""
        for pool in pools:
            client = self.by_pool.setdefault(
                pool, PoolClient(pool, SpendLedger(self.clock))
            )
            self._choose(client)
        for pool in self.by_pool.keys() - set(pools):
            client = self.by_pool.pop(pool)
            self._refuse_all(client, m.RefusalReason.NO_TARGET)

    def link_up(self, peer):
        """Join the pools that wait for a link."""
        for client in self.by_pool.values():
            if client.coordinator == peer:
                self._join(client)

    def link_down(self, peer):
        """Move the pools of a lost link to the next coordinator."""
        for client in self.by_pool.values():
            if client.coordinator == peer:
                if client.joined:
                    client.left_at = self.links.last_ping(peer)
                client.coordinator, client.joined = "", False
                self._choose(client)

    def receive(self, message):
        """Take in one message of a coordinator."""
        match message:
            case m.Grant():
                self._granted(message)
            case m.Refusal():
                self._refused(message)
            case m.Preemption():
                self._preempted(message)
            case m.Rejoin():
                self._rejoin(message)
            case m.PoolState():
                self._learn(message)

    def heartbeat(self):
        """Renew the lease at coordinators on this instance itself."""
        now = self.clock()
        self.host.receive_ping(self.own, m.Ping(now, now, 0))

    def _submit(self, demand, future):
        client = self.by_pool.get(demand.pool)
        if client is None or not client.coordinator:
            future.set_exception(_no_coordinator("no coordinator can be reached"))
            return
        client.pending_by_request[demand.request_id] = (demand, future)
        self._send(client, demand)

    def _abandon(self, demand):
        client = self.by_pool.get(demand.pool)
        if client is None:
            return
        client.pending_by_request.pop(demand.request_id, None)
        permit = client.permits_by_request.get(demand.request_id)
        if permit is not None:
            self._finish(permit, self._unused(demand))
        else:
            self._send(client, m.Withdrawal(demand.request_id, demand.pool))

    def _withdraw(self, demand):
        client = self.by_pool.get(demand.pool)
        pending = client and client.pending_by_request.get(demand.request_id)
        if pending:
            self._abandon(demand)
            pending[1].set_exception(
                RequestError(Code.CALLER_GONE, "the caller has gone away")
            )

    def _finish(self, permit, completion):
        client = self.by_pool.get(permit.demand.pool)
        if client is None:
            return
        client.permits_by_request.pop(permit.demand.request_id, None)
        client.settle(permit.demand, completion)
        self._send(client, completion)

    def _granted(self, grant):
        client = self.by_pool.get(grant.pool)
        if client is None:
            return
        if not client.is_from_coordinator(grant):
            return
        client.states_by_target[grant.target] = grant.state
        pending = client.pending_by_request.pop(grant.request_id, None)
        if pending is None:
            self._send(
                client, m.Completion(grant.request_id, grant.pool, m.Result.UNUSED)
            )
            return
        demand, future = pending
        client.spends.add(demand.workspace, demand.tokens, 1)
        permit = Permit(demand, grant, self.clock())
        client.permits_by_request[demand.request_id] = permit
        future.set_result(permit)

    def _refused(self, refusal):
        for client in self.by_pool.values():
            pending = client.pending_by_request.pop(refusal.request_id, None)
            if pending is not None:
                pending[1].set_exception(_refusal_error(refusal))

    def _preempted(self, preemption):
        for client in self.by_pool.values():
            permit = client.permits_by_request.get(preemption.request_id)
            if permit is not None:
                permit.preempted = preemption
                if permit.cancel is not None:
                    permit.cancel()

    def _learn(self, state):
        client = self.by_pool.get(state.pool)
        if client is not None:
            client.states_by_target |= {s.target: s for s in state.targets}
            client.suspects = state.suspects

    def _rejoin(self, message):
        client = self.by_pool.get(message.pool)
        if client is not None and client.coordinator:
            self._join(client)

    def _choose(self, client):
        best = self.membership.coordinators(client.pool)[0]
        if best == client.coordinator:
            return
        former = client.coordinator
        if client.joined:
            client.left_at = (
                self.clock() if former == self.own else self.links.last_ping(former)
            )
            self._send(client, m.Leave(client.pool))
        client.coordinator, client.joined = best, False
        log.info("chose a coordinator", pool=client.pool, coordinator=best)
        if best == self.own or self.links.is_up(best):
            self._join(client)
        else:
            self.links.open(best)

    def _join(self, client):
        now = self.clock()
        client.joined = True
        left = client.left_at
        # A former process of this instance may have used its lease until the
        # start of this one.
        left = self.started if left is None else left
        counted_after = left + self.lease_seconds - now
        self._send(
            client,
            m.Join(
                client.pool,
                max(0.0, counted_after),
                tuple(
                    m.CarriedPermit(p.demand, p.grant.target, now - p.granted_at)
                    for p in client.permits_by_request.values()
                ),
                tuple(client.states_by_target.values()),
                client.spends.carried(),
                client.suspects,
            ),
        )
        for demand, _ in list(client.pending_by_request.values()):
            self._send(client, demand)

    def _refuse_all(self, client, reason):
        for request_id in list(client.pending_by_request):
            _, future = client.pending_by_request.pop(request_id)
            future.set_exception(_refusal_error(m.Refusal(request_id, reason, 1.0)))

    def _send(self, client, message):
        if client.coordinator == self.own:
            self.host.receive(self.own, message)
            self.heartbeat()
            self.host.send_decisions()
        elif client.coordinator:
            self.links.send(client.coordinator, message)

    def _unused(self, demand):
        return m.Completion(demand.request_id, demand.pool, m.Result.UNUSED)

    def snapshot(self):
        """Return the open requests by pool for the dump."""
        return {
            pool: {
                "coordinator": client.coordinator,
                "joined": client.coordinator == self.own
                or self.links.is_up(client.coordinator),
                "pending": sorted(client.pending_by_request),
                "permits": {
                    request_id: permit.grant.target
                    for request_id, permit in sorted(
                        itertools.islice(
                            client.permits_by_request.items(), MAX_DUMPED_PERMITS
                        )
                    )
                },
            }
            for pool, client in sorted(self.by_pool.items())
        }


def _no_coordinator(message):
    return RequestError(
        Code.NO_COORDINATOR,
        message,
        Outcome.NOT_RUN,
        NO_COORDINATOR_RETRY_SECONDS,
    )


def _refusal_error(refusal):
    return RequestError(
        _CODE_BY_REASON[refusal.reason],
        f"the request was refused: {refusal.reason.value}",
        Outcome.NOT_RUN,
        refusal.retry_after,
    )


async def run_heartbeat(broker, seconds):
    """Renew the local lease until cancelled."""
    while True:
        broker.heartbeat()
        await asyncio.sleep(seconds)
