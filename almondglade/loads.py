"""Poll the targets of locally coordinated pools for their load."""

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import numpy as np
import urllib3
from urllib3.exceptions import HTTPError

from .errors import TargetError
from .kinds import ServiceKind
from .log import get_logger
from .messages import LoadReport
from .plugins import find_plugin

log = get_logger("loads")

POLL_SECONDS = 1.0
# While a report would let a coordinator grant more.
URGENT_POLL_SECONDS = 0.25
MAX_POLL_SECONDS = 8.0
# Polls are due at a random part of the interval, so that they are spread.
JITTER = 0.2
POLL_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.0)
THREADS = 16
# Of them, those that targets may hold which failed to report last time.
SLOW_THREADS = 4
TICK_SECONDS = 0.1


@dataclass
class Poll:
    """When one target is read, and how it went lately."""

    due: float
    ended: float
    failures: int = 0
    reading: bool = False

    def is_due(self, now, urgent):
        """Tell whether to read the target now."""
        if self.reading:
            return False
        soon = self.ended + URGENT_POLL_SECONDS
        return now >= (
            min(self.due, soon) if urgent and not self.failures else self.due
        )

    @property
    def interval(self):
        """Seconds until the next read; longer while the target is silent."""
        return min(POLL_SECONDS * 2**self.failures, MAX_POLL_SECONDS)


class LoadPoller:
    """Reads load reports and passes them to the coordinators.

    Each target is read on its own, so that one that hangs delays no other.

    Parameters
    ----------
    host : CoordinatorHost
        Coordinators that run here.
    store : ConfigurationStore
        Declared document in force.
    clock : callable
        Returns monotonic seconds.
    rng : numpy.random.Generator or None
        Spreads the reads.
    """

    def __init__(self, host, store, clock=time.monotonic, rng=None):
        self.host = host
        self.store = store
        self.clock = clock
        self.rng = rng or np.random.default_rng()
        self.polls_by_target: dict[str, Poll] = {}
        self._slow = 0
        self._tasks: set[asyncio.Task] = set()
        self._threads = ThreadPoolExecutor(THREADS, "loads")
        self._http = urllib3.PoolManager(num_pools=256, maxsize=1, retries=False)

    async def run(self):
        """Poll until cancelled."""
        while True:
            self._start_due()
            await asyncio.sleep(TICK_SECONDS)

    def _start_due(self):
        now = self.clock()
        targets = self._targets()
        self._keep_only(targets, now)
        for name, pool in targets.items():
            poll = self.polls_by_target[name]
            if poll.is_due(now, self.host.wants_reports) and self._has_thread(poll):
                self._start(name, pool, poll)

    def _targets(self):
        """Return the pool of each target that is coordinated here, by target."""
        declarations = self.store.declarations
        return {
            name: pool
            for pool in list(self.host.by_pool)
            for name in declarations.targets_of(pool)
        }

    def _keep_only(self, targets, now):
        for name in self.polls_by_target.keys() - targets.keys():
            del self.polls_by_target[name]
        for name in targets.keys() - self.polls_by_target.keys():
            due = now + JITTER * POLL_SECONDS * self.rng.random()
            self.polls_by_target[name] = Poll(due, now)

    def _has_thread(self, poll):
        return not poll.failures or self._slow < SLOW_THREADS

    def _start(self, name, pool, poll):
        poll.reading = True
        self._slow += bool(poll.failures)
        task = asyncio.get_running_loop().create_task(self._poll(name, pool, poll))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _poll(self, name, pool, poll):
        was_slow = bool(poll.failures)
        try:
            await self._read_target(name, pool)
            poll.failures = 0
        except TargetError as error:
            poll.failures += 1
            log.debug("no load report", target=name, cause=str(error))
        finally:
            poll.reading = False
            self._slow -= was_slow
            spread = 1 + JITTER * (self.rng.random() - 0.5)
            poll.ended = self.clock()
            poll.due = poll.ended + poll.interval * spread

    async def _read_target(self, name, pool):
        declarations = self.store.declarations
        target = declarations.targets.get(name)
        if target is None or pool not in declarations.services:
            return
        service = declarations.services[pool]
        kind = find_plugin(ServiceKind, service.kind)()
        loop = asyncio.get_running_loop()
        load, asked_at = await loop.run_in_executor(
            self._threads, self._read, kind, target.url
        )
        # The target may have taken its report as early as it was asked.
        age = self.clock() - asked_at + service.report_lag
        self.host.observe(
            pool, LoadReport(name, load.epoch, load.running, load.waiting, age)
        )

    def _read(self, kind, url):
        asked_at = self.clock()
        try:
            response = self._http.request(
                "GET", url.rstrip("/") + kind.load_path, timeout=POLL_TIMEOUT
            )
        except (HTTPError, OSError) as error:
            raise TargetError(f"the load cannot be read: {error}") from error
        if response.status != 200:
            raise TargetError(f"the load report answered {response.status}")
        text = response.data.decode("utf-8", "replace")
        return kind.parse_load(text), asked_at
