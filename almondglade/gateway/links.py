"""Find out which services this instance can reach, by the state of its own links.

Load pattern: an instance loses its links to all targets while everything else goes on.
Open connections hang, are reset, or live on while new ones are refused; later the links
are back. Callers' requests must not be used to find that out.
"""

import asyncio
import contextlib
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from ..log import get_logger

log = get_logger("links")

# Interval at which the links of services are looked at, and at which those of a service
# are probed while none of its targets can be reached.
WATCH_SECONDS = 0.2
PROBE_INTERVAL_SECONDS = 0.5
# A service whose targets send no first byte for this long is probed.
SILENCE_SECONDS = 0.6
# A repeatable request that has waited for this long when the links are lost is sent
# another way; a sound target may be silent for about a second.
GIVE_UP_SECONDS = 1.2
# Targets that are probed at a time; all must fail before the links count as lost.
PROBED_TARGETS = 4
PROBE_TIMEOUT_SECONDS = 0.3


@dataclass(frozen=True)
class AwaitedResponse:
    """A request that was sent and to which no response has begun.

    Parameters
    ----------
    service : str
        Service of the target.
    sent_at : float
        Monotonic time.
    give_up : callable
        Ends the wait as if the time limit were over.
    repeatable : bool
        Whether the request may be sent again after that.
    """

    service: str
    sent_at: float
    give_up: Callable[[], None]
    repeatable: bool


class LinkMonitor:
    """Watches the links from this instance to the targets, and probes them if needed.

    Parameters
    ----------
    lock : threading.Lock
        Guards the targets.
    targets : Targets
        All listed targets.
    connections : TargetPools
        Connections to the targets.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, lock, targets, connections, clock):
        self.lock = lock
        self.targets = targets
        self.connections = connections
        self.clock = clock
        self._rng = random.Random()
        self._awaited_lock = threading.Lock()
        self._awaited: set[AwaitedResponse] = set()
        self._probed_at: dict[str, float] = {}
        self._lost_services: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._loop = asyncio.get_running_loop()

    @property
    def lost_services(self):
        """Services none of whose targets can be reached, as a set of names."""
        return frozenset(self._lost_services)

    def is_lost(self, service):
        """Return whether probes have found no target of a service reachable."""
        return service in self._lost_services

    @contextlib.contextmanager
    def awaiting(self, service, give_up, repeatable):
        """Watch for the silence of a service while a response is awaited."""
        awaited = AwaitedResponse(service, self.clock(), give_up, repeatable)
        with self._awaited_lock:
            self._awaited.add(awaited)
        try:
            yield
        finally:
            with self._awaited_lock:
                self._awaited.discard(awaited)

    def record_failure(self, service):
        """Probe a service as a connection to a target failed; from any thread."""
        self._loop.call_soon_threadsafe(self._start_probe, service)

    async def run(self):
        """Watch the links until cancelled."""
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            for service in self._lost_services | self._silent_services():
                self._start_probe(service)

    def _silent_services(self):
        """Return the services that owe responses and have sent none for too long."""
        now = self.clock()
        with self._awaited_lock:
            awaited = [a for a in self._awaited if now - a.sent_at > SILENCE_SECONDS]
        return {
            a.service
            for a in awaited
            if now - self._answered_at(a.service) > SILENCE_SECONDS
        }

    def _answered_at(self, service):
        with self.lock:
            return max(
                (state.health.answered_at for state in self._states(service)),
                default=float("-inf"),
            )

    def _states(self, service):
        return self.targets.states_of(service)

    async def reaches_another(self, record):
        """Return whether another target of the same service accepts a connection.

        Returns
        -------
        bool
            True if there is no other target to tell.
        """
        with self.lock:
            others = [
                state.record
                for state in self._states(record.service)
                if state.record.id != record.id
            ]
        chosen = self._rng.sample(others, min(PROBED_TARGETS, len(others)))
        return not chosen or any(await asyncio.gather(*map(self._can_connect, chosen)))

    def _start_probe(self, service):
        """Start to probe a service, unless that was done within the interval."""
        now = self.clock()
        if now - self._probed_at.get(service, float("-inf")) < PROBE_INTERVAL_SECONDS:
            return
        self._probed_at[service] = now
        task = self._loop.create_task(self._probe(service, now))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, service, started_at):
        """Connect to some targets, and decide whether the service can be reached."""
        with self.lock:
            records = [state.record for state in self._states(service)]
        chosen = self._rng.sample(records, min(PROBED_TARGETS, len(records)))
        if not chosen:
            self._lost_services.discard(service)
            return
        results = await asyncio.gather(*map(self._can_connect, chosen))
        if any(results):
            self._record_reachable(service, chosen, results)
        elif self._answered_at(service) < started_at:
            self._record_lost(service)

    @staticmethod
    async def _can_connect(record):
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(record.host, record.port)
        except OSError:
            return False
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        return True

    def _record_reachable(self, service, records, results):
        now = self.clock()
        reached_by_target = {
            record.id: result for record, result in zip(records, results, strict=True)
        }
        with self.lock:
            for state in self._states(service):
                health = state.health
                health.is_link_lost = False
                is_reached = reached_by_target.get(state.record.id)
                if is_reached is False and not health.is_paused(now):
                    health.record_unreachable(now)
        if service in self._lost_services:
            self._lost_services.discard(service)
            log.info("links to a service are back", service=service)

    def _record_lost(self, service):
        with self.lock:
            states = self._states(service)
            for state in states:
                state.health.is_link_lost = True
            records = [state.record for state in states]
        if service not in self._lost_services:
            self._lost_services.add(service)
            log.warning(
                "no target of a service can be reached",
                service=service,
                targets=len(records),
                probed=min(PROBED_TARGETS, len(records)),
            )
        # Connections that hang may look usable.
        for record in records:
            self.connections.close_idle(f"http://{record.host}:{record.port}")
        now = self.clock()
        with self._awaited_lock:
            stuck = [
                awaited
                for awaited in self._awaited
                if awaited.service == service
                and awaited.repeatable
                and now - awaited.sent_at > GIVE_UP_SECONDS
            ]
        for awaited in stuck:
            awaited.give_up()
