"""Find out which services this instance can reach, by the state of its own links.

Load pattern: an instance loses its links to all targets while everything else goes on.
Open connections hang, are reset, or live on while new ones are refused, or something
before the targets accepts new ones and then passes nothing on; later the links are
back. Callers' requests must not be used to find that out.
"""

import asyncio
import contextlib
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from ..dispatch.heads import MalformedHeadError, check_final, parse_head
from ..log import get_logger
from ..placement.eligibility import Obstacle
from ..platform.front import parse_target_response

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
# A status check waits for a slot, so that a busy target answers later than it accepts.
PROBE_RESPONSE_SECONDS = 0.9
# The head of a response to a status check is shorter.
MAX_PROBE_BYTES = 1 << 14
HEAD_END = b"\r\n\r\n"


class Reach(Enum):
    """What a probe of a target has found.

    Attributes
    ----------
    ANSWERED
        It has responded, or it has accepted the connection and has no status check.
    SILENT
        Something has accepted the connection, and no well-formed response came.
    UNREACHABLE
        No connection could be opened, or it was closed before a response.
    """

    ANSWERED = "answered"
    SILENT = "accepts and is silent"
    UNREACHABLE = "unreachable"


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
    health_path : callable
        Takes a service and returns the path of the status check of its targets; empty
        if they have none.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, lock, targets, connections, health_path, clock):
        self.lock = lock
        self.targets = targets
        self.connections = connections
        self.health_path = health_path
        self.clock = clock
        self.on_leaving = lambda record, source: None
        self._rng = random.Random()
        self._awaited_lock = threading.Lock()
        self._awaited: set[AwaitedResponse] = set()
        self._probed_at: dict[str, float] = {}
        self._lost_services: set[str] = set()
        self._task_by_service: dict[str, asyncio.Task] = {}
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
        self._loop.call_soon_threadsafe(self._start_probe, service, False)

    async def run(self):
        """Watch the links until cancelled."""
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            for service in self._lost_services | self._silent_services():
                self._start_probe(service, True)

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

    def _probed_states(self, service):
        """Return the states of the targets that may be probed.

        A probe counts as a request where a target wants none for a while.
        """
        now = self.clock()
        return [
            state
            for state in self._states(service)
            if self.targets.obstacle(state, now) is not Obstacle.BACKING_OFF
        ]

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

    def _start_probe(self, service, needs_response):
        """Start to probe a service, unless that is being or was just done."""
        now = self.clock()
        if (
            service in self._task_by_service
            or now - self._probed_at.get(service, float("-inf"))
            < PROBE_INTERVAL_SECONDS
        ):
            return
        self._probed_at[service] = now
        # What accepts connections in vain does not end the loss.
        needs_response = needs_response or self.is_lost(service)
        task = self._loop.create_task(self._probe(service, needs_response, now))
        self._task_by_service[service] = task
        task.add_done_callback(lambda _: self._task_by_service.pop(service))

    async def _probe(self, service, needs_response, started_at):
        """Probe some targets, and decide whether the service can be reached.

        Parameters
        ----------
        needs_response : bool
            Whether targets must respond to a status check. It costs them a slot, and
            tells more than a connection only where connections are accepted.
        """
        with self.lock:
            records = [state.record for state in self._probed_states(service)]
        chosen = self._rng.sample(records, min(PROBED_TARGETS, len(records)))
        if not chosen:
            self._lost_services.discard(service)
            return
        path = self.health_path(service) if needs_response else ""
        results = await asyncio.gather(
            *(self._probe_target(record, path) for record in chosen)
        )
        if Reach.ANSWERED in results:
            self._record_reachable(service, chosen, results)
        elif self._answered_at(service) < started_at:
            self._record_lost(service, results)

    async def _can_connect(self, record):
        async with self._connection(record) as streams:
            return streams is not None

    async def _probe_target(self, record, path):
        """Return the `Reach` of a target; only connect if the path is empty."""
        async with self._connection(record) as streams:
            if streams is None:
                return Reach.UNREACHABLE
            if not path:
                return Reach.ANSWERED
            return await self._request_status(record, path, *streams)

    @staticmethod
    @contextlib.asynccontextmanager
    async def _connection(record):
        """Open a connection to a target; yield its streams, or None if that fails."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                streams = await asyncio.open_connection(
                    record.host, record.port, limit=MAX_PROBE_BYTES
                )
        except OSError:
            yield None
            return
        _, writer = streams
        try:
            yield streams
        finally:
            writer.close()

    async def _request_status(self, record, path, reader, writer):
        """Return the `Reach` of a target by the head of any response."""
        head = (
            f"GET {path} HTTP/1.1\r\n"
            f"Host: {record.host}:{record.port}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode())
        try:
            async with asyncio.timeout(PROBE_RESPONSE_SECONDS):
                response_head = await self._read_head(reader)
        except (TimeoutError, MalformedHeadError, asyncio.LimitOverrunError):
            return Reach.SILENT
        except (OSError, asyncio.IncompleteReadError):
            return Reach.UNREACHABLE
        if parse_target_response(response_head).is_leaving:
            self.on_leaving(record, "probe")
        return Reach.ANSWERED

    @staticmethod
    async def _read_head(reader):
        head = parse_head(await reader.readuntil(HEAD_END))
        while head.status == HTTPStatus.CONTINUE:
            head = parse_head(await reader.readuntil(HEAD_END))
        check_final(head)
        return head

    def _record_reachable(self, service, records, results):
        now = self.clock()
        reach_by_target = {
            record.id: result for record, result in zip(records, results, strict=True)
        }
        with self.lock:
            for state in self._states(service):
                health = state.health
                health.is_link_lost = False
                reach = reach_by_target.get(state.record.id)
                if reach is Reach.UNREACHABLE and not health.is_paused(now):
                    health.record_unreachable(now)
        if service in self._lost_services:
            self._lost_services.discard(service)
            log.info("links to a service are back", service=service)

    def _record_lost(self, service, results):
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
                probes=[result.value for result in results],
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
