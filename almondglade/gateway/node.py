"""Assemble one gateway and run it until it is told to stop."""

import asyncio
import contextlib
import dataclasses
import os
import random
import signal
import threading
import time

from ..clocks import awake_clock
from ..dispatch.connections import TargetPools
from ..errors import SettingsError
from ..gossip.fleet import GossipProtocol
from ..httpserver import HttpServer
from ..log import flush_logs, get_logger
from ..metrics import Metrics
from ..placement.allowance import SharedAllowances
from ..placement.choice import TargetSelector
from ..placement.cold import ColdTargetLimiter
from ..placement.freshness import Freshness
from ..placement.pool import Pools
from ..placement.resends import RetryBudget
from ..platform.questions import ReadinessEndpoint
from ..platform.store import StoreClient
from .app import GatewayApp
from .discovery import Discovery, Registry
from .exchange import Exchange
from .operators import GatewayOperatorApp
from .scheduling import GatewayScheduler

log = get_logger("gateway")

# Threads of the callers' port: at the start, and at most.
FIRST_THREADS = 16
MAX_THREADS = 400
# Requests in progress; the threads above this refuse.
MAX_REQUESTS = 360
OPERATOR_THREADS = 2
# Pause between looks at what time changes: paced targets, waits that expire.
TICK_SECONDS = 0.02
IDLE_TICK_SECONDS = 0.1
# Share of the grace time in which requests in progress may end.
DRAIN_SHARE = 0.9
# Time in which the balancer learns that an instance is not ready: two questions.
NOTICE_SECONDS = 2.2
POLL_SECONDS = 0.05
# Time for the last lines of the log.
LAST_LINES_SECONDS = 0.3
# Pause between looks at the settings, which may change without a signal.
SETTINGS_SECONDS = 2.0
# Keeps the numbers of grants above those of an earlier start.
GRANTS_PER_MILLISECOND = 100


class GatewayNode:
    """One gateway.

    Parameters
    ----------
    settings : GatewaySettings
        In force until the process ends.
    load_settings : callable
        Returns the present settings.
    read_settings_fingerprint : callable
        Returns what changes when their file does.
    """

    def __init__(self, settings, load_settings, read_settings_fingerprint):
        self.settings = settings
        self.load_settings = load_settings
        self.read_settings_fingerprint = read_settings_fingerprint
        self._settings_fingerprint = read_settings_fingerprint()
        self.clock = time.monotonic
        self.incarnation = time.time_ns() // 1_000_000
        self.loop = asyncio.get_running_loop()
        self.lock = threading.Lock()
        self.stop_asked = asyncio.Event()
        self.stopping = False
        bounds = settings.bounds
        rng = random.Random()
        self.metrics = Metrics()
        self.freshness = Freshness(bounds.revoke)
        self.pools = Pools(
            settings.instance,
            settings.data_centre,
            TargetSelector(
                settings.instance,
                ColdTargetLimiter(bounds.cold_overage, bounds.cold_slack),
            ),
            self.incarnation * GRANTS_PER_MILLISECOND,
        )
        self.allowances = SharedAllowances(settings.first_start)
        self.retry_budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        self.connections = TargetPools()
        self.exchange = Exchange(
            settings,
            self.incarnation,
            self.lock,
            self.pools,
            self.allowances,
            self.freshness,
            self.clock,
        )
        self.gossip = GossipProtocol(settings, self.exchange, self.clock, rng)
        self.exchange.gossip = self.gossip
        self.scheduler = GatewayScheduler(
            self.pools,
            self.allowances,
            self.retry_budget,
            self.connections,
            self.lock,
            lambda: self.gossip.max_instances_seen,
            self.gossip.schedule_report,
            self.exchange.send_grants,
            self.metrics,
            self.clock,
        )
        self.exchange.match = self.scheduler.match
        self.registry = Registry(self.clock, self._published)
        self.store = StoreClient(settings.store_address, awake_clock, self.clock)
        self.discovery = Discovery(
            self.store,
            self.registry,
            self._confirm,
            rng,
            lambda: self.gossip.max_instances_seen,
        )
        self.app = GatewayApp(
            settings.instance,
            f"{self.incarnation:x}",
            self.scheduler,
            self.metrics,
            MAX_REQUESTS,
            self.registry,
            self._accepts_keys,
        )

    async def run(self):
        """Serve until a signal asks to stop, then let requests end."""
        settings = self.settings
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop_asked.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        operators = GatewayOperatorApp(self)
        callers = HttpServer(
            settings.address,
            settings.caller_port,
            self.app,
            MAX_THREADS,
            FIRST_THREADS,
        )
        servers = [
            callers,
            HttpServer(
                settings.address,
                settings.ready_port,
                ReadinessEndpoint(self.is_ready),
                OPERATOR_THREADS,
            ),
            HttpServer(
                settings.address, settings.metrics_port, operators, OPERATOR_THREADS
            ),
        ]
        if settings.operator_port is not None:
            servers.append(
                HttpServer(
                    settings.address,
                    settings.operator_port,
                    operators,
                    OPERATOR_THREADS,
                )
            )
        for server in servers:
            server.start()
        self.discovery.start()
        tasks = [
            asyncio.create_task(self.gossip.run()),
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._watch_settings()),
        ]
        log.info(
            "started",
            instance=settings.instance,
            data_centre=settings.data_centre,
            incarnation=self.incarnation,
            first_start=settings.first_start,
            seeds=settings.seed_addresses,
        )
        await self.stop_asked.wait()
        await self._drain(callers)
        for task in tasks:
            task.cancel()
        log.info("stopped", instance=settings.instance, cut=self.app.active)

    async def _drain(self, callers):
        """Take no new callers and end the requests in progress."""
        log.info("stopping", active=self.app.active)
        self.stopping = self.exchange.leaving = True
        self.gossip.send_report_to_all()
        self.gossip.schedule_report()
        callers.end_keep_alive()
        ends = self.clock() + DRAIN_SHARE * self.settings.bounds.grace
        await asyncio.sleep(NOTICE_SECONDS)
        # Callers that still hold connections here are sent elsewhere at once.
        self.app.stopping = True
        while self.app.active and self.clock() < ends:
            await asyncio.sleep(POLL_SECONDS)

    def _reload(self):
        """Say what a restart would change; no setting changes in between."""
        self._settings_fingerprint = self.read_settings_fingerprint()
        try:
            settings = self.load_settings()
        except SettingsError as error:
            log.error("reload refused", cause=str(error))
            return
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        log.info("reload: settings change with the next start", changed=changed)

    async def _watch_settings(self):
        """Notice changes of the settings that no signal tells of."""
        while True:
            await asyncio.sleep(SETTINGS_SECONDS)
            if self.read_settings_fingerprint() != self._settings_fingerprint:
                self._reload()

    async def _tick(self):
        while True:
            with self.lock:
                waiting = any(self.pools.tickets_by_service.values())
                silent = self.pools.reassign_waiting(self.clock())
                if waiting:
                    self.scheduler.match()
            for name in silent:
                log.warning("coordinator silent", coordinator=name)
            if silent:
                self.gossip.schedule_report()
            self.registry.expire()
            await asyncio.sleep(TICK_SECONDS if waiting else IDLE_TICK_SECONDS)

    def _published(self):
        """Take over what the platform publishes."""
        registry = self.registry
        catalogue = registry.catalogue
        now = self.clock()
        records = list(registry.record_by_target.values())
        with self.lock:
            self.pools.set_targets(records)
            self.pools.targets.evacuated_data_centres = frozenset(
                registry.evacuated_data_centres
            )
            if catalogue is not None:
                self.freshness.set_revision(registry.catalogue_revision)
                self.pools.selector.cold_rate_by_service = {
                    name: terms.cold_rate
                    for name, terms in catalogue.service_by_name.items()
                }
                self.allowances.ensure_buckets(catalogue.workspace_by_key.values(), now)
            self.scheduler.match()
        self.connections.keep_only(
            f"http://{record.host}:{record.port}" for record in records
        )

    def _confirm(self, as_of):
        with self.lock:
            self.freshness.confirm(self.registry.catalogue_revision, as_of)

    def _accepts_keys(self):
        with self.lock:
            return self.freshness.accepts_keys(awake_clock())

    def is_ready(self):
        """Tell whether the balancer should send callers here."""
        return not self.stopping and self.app.is_configured() and self._accepts_keys()


def run_gateway(load_settings, read_settings_fingerprint):
    """Run one gateway in this process until it stops.

    Parameters
    ----------
    load_settings : callable
        Returns the `GatewaySettings`; called again at a reload.
    read_settings_fingerprint : callable
        Returns what changes when the file of the settings does.

    Raises
    ------
    SettingsError
        If the settings cannot be used.
    """
    settings = load_settings()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_run(settings, load_settings, read_settings_fingerprint))
    flush_logs(LAST_LINES_SECONDS)
    # Threads that still serve a cut request would keep the process.
    os._exit(0)


async def _run(settings, load_settings, read_settings_fingerprint):
    await GatewayNode(settings, load_settings, read_settings_fingerprint).run()
