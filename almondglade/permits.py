"""Obtaining permits: the entry's side of the protocol with coordinators."""

import asyncio
import itertools
from concurrent.futures import Future

from . import messages as m
from .log import get_logger
from .outcome import Code, Outcome, RequestError
from .poolclient import Permit, PoolClient
from .spends import SpendLedger

log = get_logger("permits")

# A permit may be used up to this long after the latest heartbeat that its
# coordinator had received when granting it, by the entry's own clock.
PERMIT_VALIDITY_SECONDS = 1.2
NO_COORDINATOR_RETRY_AFTER_SECONDS = 1.0
# Time for a refusal to arrive after the maximum wait of a demand.
REFUSAL_GRACE_SECONDS = 0.5
# Permits of one pool that are shown in a dump.
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

    All methods except `acquire`, `withdraw`, `release` and `is_valid` run on the
    thread of the event loop.

    Parameters
    ----------
    own : str
        This instance's id.
    loop : asyncio.AbstractEventLoop
        Event loop that runs the links.
    membership : Membership
        Ranks the instances that may coordinate a pool.
    links : LinkTable
        Links to other instances.
    host : CoordinatorHost
        Coordinators that run on this instance.
    clock : callable
        Returns monotonic seconds.
    lease_seconds : float
        Length of an entry's lease at a coordinator, from an answered heartbeat.
    """

    def __init__(self, own, loop, membership, links, host, clock, lease_seconds):
        self.own = own
        self.loop = loop
        self.membership = membership
        self.links = links
        self.host = host
        self.clock = clock
        self.lease_seconds = lease_seconds
        self.started_at = clock()
        self.by_pool: dict[str, PoolClient] = {}
        host.attach(own, self.receive)

    # Called from the threads that serve callers

    def acquire(self, demand):
        """Wait for a permit and return it.

        Parameters
        ----------
        demand : Demand
            Demand of the request that is to run.

        Returns
        -------
        Permit
            Must be passed to `release` in every case.

        Raises
        ------
        RequestError
            If the demand is refused, withdrawn or not answered in time; the request
            has not run.
        """
        future: Future = Future()
        self.loop.call_soon_threadsafe(self._submit, demand, future)
        try:
            return future.result(demand.max_wait + REFUSAL_GRACE_SECONDS)
        except TimeoutError:
            self.loop.call_soon_threadsafe(self._abandon, demand)
            raise _no_coordinator_error("no coordinator answered in time") from None

    def withdraw(self, demand):
        """Withdraw a demand; its `acquire` then raises `RequestError`."""
        self.loop.call_soon_threadsafe(self._withdraw, demand)

    def release(self, permit, completion):
        """End a permit and report its completion to the coordinator."""
        self.loop.call_soon_threadsafe(self._finish, permit, completion)

    def is_valid(self, permit):
        """Tell whether a permit may still be used for a dispatch."""
        age = self.clock() - permit.grant.heard_at
        return age <= PERMIT_VALIDITY_SECONDS and permit.preempted is None

    # Called on the thread of the event loop

    def join_all(self, pools):
        """Join the best reachable coordinator of every pool.

        Pools that are no longer listed are dropped and their demands refused.
        """
        for pool in pools:
            client = self.by_pool.setdefault(
                pool, PoolClient(pool, SpendLedger(self.clock))
            )
            self._choose_coordinator(client)
        for pool in self.by_pool.keys() - set(pools):
            client = self.by_pool.pop(pool)
            self._refuse_all(client, m.RefusalReason.NO_TARGET)

    def link_up(self, peer):
        """Join the coordinators that were waiting for the link to this peer."""
        for client in self.by_pool.values():
            if client.coordinator == peer:
                self._join(client)

    def link_down(self, peer):
        """Move the pools coordinated by a disconnected peer to the next coordinator."""
        for client in self.by_pool.values():
            if client.coordinator == peer:
                if client.joined:
                    client.left_at = self.links.last_ping_sent_at(peer)
                client.coordinator, client.joined = "", False
                self._choose_coordinator(client)

    def receive(self, message):
        """Handle one message from a coordinator."""
        match message:
            case m.Grant():
                self._handle_grant(message)
            case m.Refusal():
                self._handle_refusal(message)
            case m.Preemption():
                self._handle_preemption(message)
            case m.Rejoin():
                self._handle_rejoin(message)
            case m.PoolState():
                self._handle_pool_state(message)

    def heartbeat(self):
        """Renew the leases at the coordinators that run on this instance."""
        now = self.clock()
        self.host.receive_ping(self.own, m.Ping(now, now, 0))

    def _submit(self, demand, future):
        client = self.by_pool.get(demand.pool)
        if client is None or not client.coordinator:
            future.set_exception(_no_coordinator_error("no coordinator can be reached"))
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
            self._finish(permit, self._unused_completion(demand))
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

    def _handle_grant(self, grant):
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

    def _handle_refusal(self, refusal):
        for client in self.by_pool.values():
            pending = client.pending_by_request.pop(refusal.request_id, None)
            if pending is not None:
                pending[1].set_exception(_refusal_error(refusal))

    def _handle_preemption(self, preemption):
        for client in self.by_pool.values():
            permit = client.permits_by_request.get(preemption.request_id)
            if permit is not None:
                permit.preempted = preemption
                if permit.cancel is not None:
                    permit.cancel()

    def _handle_pool_state(self, state):
        client = self.by_pool.get(state.pool)
        if client is not None:
            client.states_by_target |= {s.target: s for s in state.targets}
            client.suspects = state.suspects

    def _handle_rejoin(self, message):
        client = self.by_pool.get(message.pool)
        if client is not None and client.coordinator:
            self._join(client)

    def _choose_coordinator(self, client):
        best = self.membership.coordinators(client.pool)[0]
        if best == client.coordinator:
            return
        former = client.coordinator
        if client.joined:
            client.left_at = (
                self.clock()
                if former == self.own
                else self.links.last_ping_sent_at(former)
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
        left_at = client.left_at
        # A previous process of this instance may have used its lease until this one
        # started.
        left_at = self.started_at if left_at is None else left_at
        counted_after = left_at + self.lease_seconds - now
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

    def _unused_completion(self, demand):
        return m.Completion(demand.request_id, demand.pool, m.Result.UNUSED)

    def snapshot(self):
        """Return the pending demands and permits by pool, for the dump."""
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


def _no_coordinator_error(message):
    return RequestError(
        Code.NO_COORDINATOR,
        message,
        Outcome.NOT_RUN,
        NO_COORDINATOR_RETRY_AFTER_SECONDS,
    )


def _refusal_error(refusal):
    return RequestError(
        _CODE_BY_REASON[refusal.reason],
        f"the request was refused: {refusal.reason.value}",
        Outcome.NOT_RUN,
        refusal.retry_after,
    )


async def run_heartbeat(broker, seconds):
    """Renew the leases at local coordinators periodically until cancelled.

    Parameters
    ----------
    broker : PermitBroker
        Broker of this instance.
    seconds : float
        Interval between heartbeats.
    """
    while True:
        broker.heartbeat()
        await asyncio.sleep(seconds)
