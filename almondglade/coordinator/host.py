"""Run the coordinators of this instance, one per pool that entries ask for."""

import asyncio
from collections.abc import Callable
from typing import Any

from .. import messages as m
from ..log import get_logger
from .core import Coordinator

log = get_logger("coordinator")

# Interval of the checks for expired deadlines and leases, while any demand waits and
# while none does.
TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 0.25
# Minimum interval at which entries are sent the state that they would hand over to
# the next coordinator; it is sent only if it has changed.
STATE_INTERVAL_SECONDS = 1.0
# A coordinator without any entry is stopped after this long.
MAX_UNUSED_SECONDS = 30.0


class CoordinatorHost:
    """Runs coordinators on the event loop thread and sends their decisions.

    Parameters
    ----------
    instance, incarnation : str
        Identify the coordinators of this process.
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator
        Random number generator.
    policies : Policies
        Plug-ins to use.
    """

    def __init__(self, instance, incarnation, clock, rng, policies):
        self.term = f"{instance}/{incarnation}"
        self.clock = clock
        self.rng = rng
        self.policies = policies
        self.declarations: Any = None
        self.published = 1
        self.by_pool: dict[str, Coordinator] = {}
        self._send_by_entry: dict[str, Callable[[Any], None]] = {}
        self._unused_since_by_pool: dict[str, float] = {}
        self._unserved_entries_by_pool: dict[str, set[str]] = {}
        self._sent_state_by_pool: dict[str, m.PoolState] = {}
        self._state_sent_at = 0.0

    def attach(self, entry, send):
        """Set the callable that sends messages to an entry."""
        self._send_by_entry[entry] = send

    def detach(self, entry, send):
        """Remove an entry whose link was closed, unless a newer link replaced it."""
        if self._send_by_entry.get(entry) != send:
            return
        del self._send_by_entry[entry]
        for entries in self._unserved_entries_by_pool.values():
            entries.discard(entry)
        for coordinator in self.by_pool.values():
            coordinator.leave(entry)
        self.send_decisions()

    def configure(self, declarations):
        """Apply a newer version of the declared document."""
        self.declarations = declarations
        for pool, coordinator in list(self.by_pool.items()):
            if pool in declarations.services:
                coordinator.configure(declarations)
            else:
                self._unserved_entries_by_pool[pool] = set(coordinator.leases.by_entry)
                del self.by_pool[pool]
        self._request_rejoins()
        self.send_decisions()

    def _request_rejoins(self):
        # Messages that entries sent before this instance knew the service were
        # discarded.
        for pool in (
            self._unserved_entries_by_pool.keys() & self.declarations.services.keys()
        ):
            for entry in self._unserved_entries_by_pool.pop(pool):
                self._send(entry, m.Rejoin(pool))

    def set_published(self, count):
        """Set the number of instances on the list that the platform publishes."""
        self.published = count
        for coordinator in self.by_pool.values():
            coordinator.set_published(count)
        self.send_decisions()

    def receive_ping(self, entry, ping):
        """Extend an entry's leases with the heartbeat that its ping acknowledges."""
        for coordinator in self.by_pool.values():
            if entry in coordinator.leases.by_entry:
                coordinator.renew(entry, ping.echo, ping.sent_at)

    def receive(self, entry, message):
        """Pass a message from an entry to the coordinator of the message's pool."""
        coordinator = self._coordinator(message.pool)
        if coordinator is None:
            # The service is not in this instance's document yet, or no longer.
            self._unserved_entries_by_pool.setdefault(message.pool, set()).add(entry)
            return
        if isinstance(message, m.Leave):
            coordinator.leave(entry)
            return
        if not isinstance(message, m.Join) and not coordinator.is_joined(entry):
            self._send(entry, m.Rejoin(message.pool))
            return
        match message:
            case m.Join():
                coordinator.join(entry, message)
                self._sent_state_by_pool.pop(message.pool, None)
            case m.Demand():
                coordinator.submit(entry, message)
            case m.Withdrawal():
                coordinator.withdraw(entry, message)
            case m.Completion():
                coordinator.finish(entry, message)

    def observe(self, pool, report):
        """Pass a target's load report to the coordinator of the target's pool."""
        if (coordinator := self.by_pool.get(pool)) is not None:
            coordinator.observe(report)

    def send_decisions(self):
        """Send the grants, refusals and preemptions that the coordinators decided."""
        for coordinator in self.by_pool.values():
            for addressed in coordinator.decide():
                self._send(addressed.entry, addressed.message)

    def _send(self, entry, message):
        send = self._send_by_entry.get(entry)
        if send is not None:
            send(message)

    async def run(self):
        """Check deadlines and leases periodically until cancelled."""
        while True:
            busy = any(len(c.waiting_demands) for c in self.by_pool.values())
            await asyncio.sleep(TICK_SECONDS if busy else IDLE_TICK_SECONDS)
            self.send_decisions()
            self._send_state()
            self._drop_unused()

    @property
    def wants_reports(self):
        """Whether a load report could allow some coordinator to grant more."""
        return any(c.wants_reports for c in self.by_pool.values())

    def _send_state(self):
        now = self.clock()
        if now - self._state_sent_at < STATE_INTERVAL_SECONDS:
            return
        self._state_sent_at = now
        for pool, coordinator in self.by_pool.items():
            state = coordinator.state
            changed = state.changed_since(self._sent_state_by_pool.get(pool))
            if changed is None:
                continue
            self._sent_state_by_pool[pool] = state
            for entry in coordinator.leases.by_entry:
                self._send(entry, changed)

    def _coordinator(self, pool):
        if pool in self.by_pool:
            return self.by_pool[pool]
        if self.declarations is None or pool not in self.declarations.services:
            return None
        coordinator = Coordinator(pool, self.term, self.clock, self.rng, self.policies)
        coordinator.set_published(self.published)
        coordinator.configure(self.declarations)
        self.by_pool[pool] = coordinator
        log.info("started coordinating a pool", pool=pool)
        return coordinator

    def _drop_unused(self):
        now = self.clock()
        for pool, coordinator in list(self.by_pool.items()):
            if coordinator.leases.by_entry:
                self._unused_since_by_pool.pop(pool, None)
            elif (
                now - self._unused_since_by_pool.setdefault(pool, now)
                > MAX_UNUSED_SECONDS
            ):
                del self.by_pool[pool]
                del self._unused_since_by_pool[pool]
                log.info("stopped coordinating a pool, no entry connected", pool=pool)

    def snapshot(self):
        """Return the state of all coordinators as plain values for the state dump."""
        return {pool: c.snapshot() for pool, c in sorted(self.by_pool.items())}
