"""Poll the targets of locally coordinated pools for their load."""

import asyncio
import time

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
POLL_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.0)


class LoadPoller:
    """Reads load reports and passes them to the coordinators.

    Parameters
    ----------
    host : CoordinatorHost
        Coordinators that run here.
    store : ConfigurationStore
        Declared document in force.
    """

    def __init__(self, host, store):
        self.host = host
        self.store = store
        self._http = urllib3.PoolManager(num_pools=64, maxsize=1, retries=False)

    async def run(self):
        """Poll until cancelled."""
        while True:
            declarations = self.store.declarations
            polls = [
                self._poll(pool, name, target)
                for pool in list(self.host.by_pool)
                for name, target in declarations.targets_of(pool).items()
            ]
            await asyncio.gather(*polls)
            wanted = self.host.wants_reports
            await asyncio.sleep(URGENT_POLL_SECONDS if wanted else POLL_SECONDS)

    async def _poll(self, pool, name, target):
        service = self.store.declarations.services[pool]
        kind = find_plugin(ServiceKind, service.kind)()
        started = time.monotonic()
        try:
            load = await asyncio.to_thread(self._read, kind, target.url)
        except TargetError as error:
            log.debug("no load report", target=name, cause=str(error))
            return
        age = time.monotonic() - started + service.report_lag
        self.host.observe(
            pool, LoadReport(name, load.epoch, load.running, load.waiting, age)
        )

    def _read(self, kind, url):
        try:
            response = self._http.request(
                "GET", url.rstrip("/") + kind.load_path, timeout=POLL_TIMEOUT
            )
        except (HTTPError, OSError) as error:
            raise TargetError(f"the load cannot be read: {error}") from error
        if response.status != 200:
            raise TargetError(f"the load report answered {response.status}")
        return kind.parse_load(response.data.decode("utf-8", "replace"))
