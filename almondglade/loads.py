"""Poll the load of the targets whose pools are coordinated by this instance."""

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import numpy as np

from .dispatch.call import CallLimits
from .dispatch.fetching import Fetcher
from .errors import TargetError
from .kinds import ServiceKind
from .log import get_logger
from .messages import LoadReport
from .plugins import find_plugin

log = get_logger("loads")

POLL_SECONDS = 1.0
# Interval while a new report could allow a coordinator to grant more permits.
URGENT_POLL_SECONDS = 0.25
MAX_POLL_SECONDS = 8.0
# Share of the interval by which polls are randomly shifted to spread them.
JITTER_SHARE = 0.2
# Time limits: for a connection, for each pause of the response, and for all of it.
POLL_LIMITS = CallLimits(connect=0.5, first_byte=1.0, between_bytes=1.0, total=2.0)
MAX_REPORT_BYTES = 1 << 20
MAX_THREADS = 16
# Of these threads, how many may poll targets whose last poll failed.
MAX_SLOW_THREADS = 4
TICK_SECONDS = 0.1


@dataclass
class PollState:
    """Schedule and recent result of the polls of one target."""

    due_at: float
    ended_at: float
    failures: int = 0
    in_progress: bool = False

    def is_due(self, now, urgent):
        """Return whether to poll the target now."""
        if self.in_progress:
            return False
        urgent_due_at = self.ended_at + URGENT_POLL_SECONDS
        return now >= (
            min(self.due_at, urgent_due_at)
            if urgent and not self.failures
            else self.due_at
        )

    @property
    def interval(self):
        """Seconds until the next poll; doubles with each failure, up to a limit."""
        return min(POLL_SECONDS * 2**self.failures, MAX_POLL_SECONDS)


class LoadPoller:
    """Polls load reports and passes them to the coordinators.

    Each target is polled independently, so that a hanging target does not delay the
    others.

    Parameters
    ----------
    host : CoordinatorHost
        Coordinators that run in this instance.
    store : ConfigurationStore
        Store of the declared document in force.
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator or None
        Source of the jitter; a new generator if None.
    """

    def __init__(self, host, store, clock=time.monotonic, rng=None):
        self.host = host
        self.store = store
        self.clock = clock
        self.rng = rng or np.random.default_rng()
        self.poll_by_target: dict[str, PollState] = {}
        self._slow_polls = 0
        self._tasks: set[asyncio.Task] = set()
        self._threads = ThreadPoolExecutor(MAX_THREADS, "loads")
        self._fetcher = Fetcher(MAX_REPORT_BYTES)

    async def run(self):
        """Poll until cancelled."""
        while True:
            self._start_due_polls()
            await asyncio.sleep(TICK_SECONDS)

    def _start_due_polls(self):
        now = self.clock()
        targets = self._pool_by_target()
        self._update_polls(targets, now)
        for name, pool in targets.items():
            poll = self.poll_by_target[name]
            if poll.is_due(now, self.host.wants_reports) and self._has_free_thread(
                poll
            ):
                self._start_poll(name, pool, poll)

    def _pool_by_target(self):
        """Return the pool of each target that this instance coordinates, by target."""
        declarations = self.store.declarations
        return {
            name: pool
            for pool in list(self.host.by_pool)
            for name in declarations.targets_of(pool)
        }

    def _update_polls(self, targets, now):
        for name in self.poll_by_target.keys() - targets.keys():
            del self.poll_by_target[name]
        for name in targets.keys() - self.poll_by_target.keys():
            due_at = now + JITTER_SHARE * POLL_SECONDS * self.rng.random()
            self.poll_by_target[name] = PollState(due_at, now)

    def _has_free_thread(self, poll):
        return not poll.failures or self._slow_polls < MAX_SLOW_THREADS

    def _start_poll(self, name, pool, poll):
        poll.in_progress = True
        self._slow_polls += bool(poll.failures)
        task = asyncio.get_running_loop().create_task(
            self._poll_target(name, pool, poll)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _poll_target(self, name, pool, poll):
        was_slow = bool(poll.failures)
        try:
            await self._fetch_and_report(name, pool)
            poll.failures = 0
        except TargetError as error:
            poll.failures += 1
            log.debug("cannot poll the load of a target", target=name, cause=str(error))
        finally:
            poll.in_progress = False
            self._slow_polls -= was_slow
            spread = 1 + JITTER_SHARE * (self.rng.random() - 0.5)
            poll.ended_at = self.clock()
            poll.due_at = poll.ended_at + poll.interval * spread

    async def _fetch_and_report(self, name, pool):
        declarations = self.store.declarations
        target = declarations.targets.get(name)
        if target is None or pool not in declarations.services:
            return
        service = declarations.services[pool]
        kind = find_plugin(ServiceKind, service.kind)()
        loop = asyncio.get_running_loop()
        load, asked_at = await loop.run_in_executor(
            self._threads, self._fetch_load, kind, target.url
        )
        # The target may have taken the report right at the start of the request.
        age = self.clock() - asked_at + service.report_lag
        self.host.observe(
            pool, LoadReport(name, load.epoch, load.running, load.waiting, age)
        )

    def _fetch_load(self, kind, url):
        asked_at = self.clock()
        try:
            response = self._fetcher.get(url, kind.load_path, POLL_LIMITS)
        except TargetError as error:
            raise TargetError(f"cannot read the load report: {error}") from error
        if response.status != 200:
            raise TargetError(f"load report request returned status {response.status}")
        return kind.parse_load(response.body.decode("utf-8", "replace")), asked_at
