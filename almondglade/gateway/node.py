"""Assemble one gateway and run it until a stop signal."""

import asyncio
import contextlib
import dataclasses
import os
import random
import signal
import threading
import time

from ..clocks import boottime_clock
from ..dispatch.connections import TargetPools
from ..errors import SettingsError
from ..gossip.fleet import GossipProtocol
from ..httpserver import HttpServer
from ..httpserver.bodyroom import BodyRoom, return_freed_blocks
from ..imports import enable_collections
from ..log import flush_logs, get_logger
from ..metrics import Metrics
from ..placement.allowance import SharedAllowances
from ..placement.choice import TargetSelector
from ..placement.cold import ColdTargetLimiter
from ..placement.freshness import Freshness
from ..placement.pool import Pools
from ..placement.resends import RetryBudget
from ..placement.shares import weights_by_workspace
from ..platform.engines import EngineClient
from ..platform.questions import ReadinessEndpoint
from ..platform.store import StoreClient
from ..supervision import keep_running
from .app import GatewayApp
from .balancing import record_demand_changes
from .discovery import Discovery
from .exchange import Exchange
from .hedging import Hedging
from .links import LinkMonitor
from .operators import GatewayOperatorApp
from .origincheck import OriginCheck
from .origins import OriginTracker
from .originsearch import OriginSearch
from .ownload import OwnLoad
from .peerstate import PeerStateReader
from .registry import Registry
from .relayapp import RelayApp
from .relaying import RelayPeers
from .scheduling import GatewayScheduler
from .suspects import SuspectTracker
from .targethistory import TargetHistory
from .targetlimits import LimitTracker
from .targetstarts import TargetStarts

log = get_logger("gateway")

INITIAL_CALLER_THREADS = 16
MAX_CALLER_THREADS = 400
INITIAL_RELAY_THREADS = 1
# Requests in progress at once; further threads only refuse requests.
MAX_REQUESTS = 360
OPERATOR_THREADS = 2
# Share of the grace time within which requests in progress may end.
DRAIN_SHARE = 0.9
# Share of it after that, in which the callers of those that did not end are answered.
LAST_ANSWERS_SHARE = 0.05
# Time in which the load balancer notices that an instance is not ready: two of its
# readiness probes.
UNREADY_NOTICE_SECONDS = 2.2
DRAIN_POLL_SECONDS = 0.05
# Time limit for writing the last log lines.
LOG_FLUSH_SECONDS = 0.3
# Exit status after an error that ends the process.
FAILURE_STATUS = 1
# Interval at which the settings are checked, as they may change without a signal.
SETTINGS_POLL_SECONDS = 2.0
# Interval at which outdated suspects, origins of streams and limits are removed.
EXPIRY_POLL_SECONDS = 1.0
# The first grant number grows by this for each millisecond of the start time, so that
# it is above all numbers of an earlier start.
GRANTS_PER_MILLISECOND = 100


class GatewayNode:
    """One gateway with all its components.

    Parameters
    ----------
    settings : GatewaySettings
        Settings in force until the process ends.
    load_settings : callable
        Returns the `GatewaySettings` that the next start would use.
    read_settings_fingerprint : callable
        Returns a value that changes whenever the settings file does.
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
        self.stop_requested = asyncio.Event()
        self.stopping = False
        bounds = settings.bounds
        rng = random.Random()
        self.metrics = Metrics()
        self.freshness = Freshness(bounds.revoke)
        # Version that the store proves to be the newest, and when.
        self._unjoined_evidence: tuple[int, float] | None = None
        # When what was read of the store was last known to be the newest.
        self._listed_at = float("-inf")
        self.pools = Pools(
            settings.instance,
            settings.data_centre,
            TargetSelector(
                settings.instance,
                ColdTargetLimiter(bounds.cold_overage, bounds.cold_slack),
                rng,
            ),
            self.incarnation * GRANTS_PER_MILLISECOND,
        )
        self.pools.moments.is_enabled = settings.features.momentary_load
        self.pools.balances.is_active = settings.features.uneven_demand
        self.allowances = SharedAllowances(settings.first_start)
        self.retry_budget = RetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window,
            restarted_at=float("-inf") if settings.first_start else self.clock(),
        )
        self.connections = TargetPools()
        self.registry = Registry(self.clock, self._apply_registry, settings.first_start)
        self.exchange = Exchange(
            settings,
            self.incarnation,
            self.lock,
            self.pools,
            self.allowances,
            self.freshness,
            self.registry,
            self.clock,
        )
        self.gossip = GossipProtocol(settings, self.exchange, self.clock, rng)
        self.suspects = SuspectTracker(
            settings.instance,
            self.lock,
            self.metrics,
            self.clock,
            settings.first_start,
        )
        self.origins = OriginTracker(settings.instance, self.metrics, self.clock)
        self.exchange.gossip = self.suspects.gossip = self.origins.gossip = self.gossip
        self.limits = LimitTracker(
            settings.instance,
            self.lock,
            self.pools.targets,
            self.pools.coordinators_of,
            self.clock,
        )
        self.limits.gossip = self.gossip
        self.pools.targets.reachable_share = lambda: self.gossip.reachable_share
        self.exchange.limits = self.limits
        self.exchange.suspects = self.suspects
        self.exchange.origins = self.origins
        self.links = LinkMonitor(
            self.lock,
            self.pools.targets,
            self.connections,
            self._health_path,
            self.clock,
        )
        self.suspects.set_link_evidence(
            self.links.reaches_another, self.pools.targets.fleet.surely_answered_at
        )
        relays = RelayPeers(
            settings.data_centre,
            settings.peer_port,
            self.gossip.relay_candidates,
            self.clock,
        )
        self.scheduler = GatewayScheduler(
            self.pools,
            self.allowances,
            self.retry_budget,
            self.suspects,
            self.limits,
            self.origins,
            relays,
            self.links,
            self.connections,
            self.lock,
            lambda: self.gossip.max_instances_seen,
            self.gossip.schedule_report,
            self.exchange.send_grants,
            self.metrics,
            self.clock,
            settings.features,
        )
        if settings.features.hedge_share > 0.0:
            self.scheduler.hedging = Hedging(
                settings.features.hedge_share, bounds.retry_window, self.scheduler
            )
        self.exchange.match = self.scheduler.match
        self.links.on_leaving = self.scheduler.record_leaving
        self.store = StoreClient(settings.store_address, boottime_clock, self.clock)
        self.discovery = Discovery(
            self.store,
            self.registry,
            self._confirm_configuration,
            rng,
            lambda: self.gossip.max_instances_seen,
            self._evidence_age,
            settings.report_interval,
        )
        self.exchange.peer_states = PeerStateReader(
            settings,
            self.registry,
            self.store.decode_items,
            self.gossip.live_peers,
            # Before the first reading, the store is about to be read.
            lambda: self.discovery.reachable is not False,
            self.metrics,
            self.clock,
        )
        engines = EngineClient()
        self.scheduler.check_start = TargetStarts(
            lambda: self._listed_at, self._is_engine, engines.read_start, boottime_clock
        ).check
        origin_check = OriginCheck(
            self.registry,
            lambda: self._listed_at,
            lambda: self.discovery.answering_since,
            self.discovery.read_targets,
            self._is_engine,
            engines.read_start,
            settings.report_interval,
            boottime_clock,
        )
        self.scheduler.is_certain_start = origin_check.is_certain_start
        self.origins.is_certain = origin_check.is_certain_origin
        self.origins.is_doubtful = origin_check.is_doubtful_origin
        origin_search = OriginSearch(
            self.discovery.read_targets,
            self.registry.known_targets,
            engines.read_parts,
            self.clock,
            TargetHistory(
                self.store.read_target_changes,
                self.registry,
                settings.report_interval,
                self.clock,
            ).read,
        )
        app_options = (
            settings.instance,
            f"{self.incarnation:x}",
            self.scheduler,
        )
        self.own_load = OwnLoad(
            settings, self.gossip.relay_candidates, self.metrics, self.clock
        )
        self.scheduler.record_bytes = self.own_load.record_bytes
        self.body_room = BodyRoom(settings.memory_bytes, self.metrics)
        self.app = GatewayApp(
            *app_options,
            self.metrics,
            MAX_REQUESTS,
            self.body_room,
            self.registry,
            self._trust,
            origin_search,
            self.own_load,
        )
        # The peers count the requests that they pass on, so that these count once.
        self.relay_app = RelayApp(
            *app_options,
            Metrics(),
            MAX_REQUESTS,
            self.body_room,
            self.registry,
            self._trust,
            origin_search,
            self.own_load,
            is_peer=self.gossip.is_known_address,
        )

    async def run(self):
        """Serve until a stop signal, then wait for requests in progress."""
        settings = self.settings
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        operators = GatewayOperatorApp(self)
        callers = HttpServer(
            settings.address,
            settings.caller_port,
            self.app,
            MAX_CALLER_THREADS,
            INITIAL_CALLER_THREADS,
            self.own_load.on_thread_wait,
        )
        relays = HttpServer(
            settings.address,
            settings.peer_port,
            self.relay_app,
            MAX_CALLER_THREADS,
            INITIAL_RELAY_THREADS,
            self.own_load.on_thread_wait,
        )
        servers = [
            callers,
            relays,
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
            asyncio.create_task(keep_running(name, run))
            for name, run in (
                ("gossip", self.gossip.run),
                ("periodic checks", self._run_periodic_checks),
                ("settings", self._watch_settings),
                ("expiry", self._expire_outdated),
                ("links", self.links.run),
            )
        ]
        log.info(
            "started",
            instance=settings.instance,
            data_centre=settings.data_centre,
            incarnation=self.incarnation,
            first_start=settings.first_start,
            seeds=settings.seed_addresses,
        )
        await self.stop_requested.wait()
        await self._drain(callers, relays)
        for task in tasks:
            task.cancel()
        log.info("stopped", instance=settings.instance, cut=self.app.active)

    async def _drain(self, callers, relays):
        """Stop accepting requests, wait for those in progress, and end the rest."""
        log.info("stopping", active=self.app.active, relayed=self.relay_app.active)
        self.stopping = self.exchange.leaving = True
        self.gossip.send_report_to_all()
        self.gossip.schedule_report()
        callers.end_keep_alive()
        relays.end_keep_alive()
        grace = self.settings.bounds.grace
        drain_until = self.clock() + DRAIN_SHARE * grace
        notice_until = min(self.clock() + UNREADY_NOTICE_SECONDS, drain_until)
        self.scheduler.draining.start(notice_until, drain_until)
        await asyncio.sleep(notice_until - self.clock())
        # From now on, callers that keep a connection open here are refused with an
        # immediate retry, so that they connect to another instance.
        self.app.stopping = self.relay_app.stopping = True
        while self._has_requests() and self.clock() < drain_until:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        if self._has_requests():
            log.warning(
                "requests in progress are ended",
                active=self.app.active,
                relayed=self.relay_app.active,
            )
        answer_until = self.clock() + LAST_ANSWERS_SHARE * grace
        while self._has_requests() and self.clock() < answer_until:
            self.scheduler.draining.end_calls()
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _has_requests(self):
        return bool(self.app.active or self.relay_app.active)

    def _reload(self):
        """Log the settings that the next start would change; none changes now."""
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
        log.info("reload: settings change at the next start", changed=changed)

    async def _watch_settings(self):
        """Reload after a change of the settings file without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            if self.read_settings_fingerprint() != self._settings_fingerprint:
                self._reload()

    async def _expire_outdated(self):
        while True:
            await asyncio.sleep(EXPIRY_POLL_SECONDS)
            self.suspects.expire()
            self.origins.expire()
            self.limits.expire()
            with self.lock:
                self.scheduler.returns.expire()

    async def _run_periodic_checks(self):
        while True:
            with self.lock:
                waiting = any(self.pools.tickets_by_service.values())
                unresponsive = self.pools.reassign_waiting(self.clock())
                record_demand_changes(self.pools.balances, self.metrics)
                if waiting:
                    self.scheduler.match()
                pause = self.pools.next_check_seconds(self.clock())
            for name in unresponsive:
                log.warning("coordinator unresponsive", coordinator=name)
            if unresponsive:
                self.gossip.schedule_report()
            self.registry.expire()
            due = self.clock() + pause
            await asyncio.sleep(pause)
            self.own_load.record_timer(self.clock() - due)

    def _apply_registry(self):
        """Apply the published catalogue, targets and evacuations to scheduling."""
        registry = self.registry
        now = self.clock()
        # Readings of the store and of peers end in different threads.
        with self.lock:
            catalogue = registry.catalogue
            records = list(registry.record_by_target.values())
            self.pools.set_targets(records)
            states = self.pools.targets.state_by_target.values()
            self.suspects.update_targets([state.record for state in states])
            self.pools.targets.evacuated_data_centres = frozenset(
                registry.evacuated_data_centres
            )
            if catalogue is not None:
                self.freshness.set_version(catalogue.version)
                self.pools.selector.cold_rate_by_service = {
                    name: terms.cold_rate
                    for name, terms in catalogue.service_by_name.items()
                }
                workspaces = catalogue.workspace_by_key.values()
                if self.settings.features.fair_shares:
                    self.pools.shares.configure(workspaces)
                self.pools.response_times.is_active = (
                    self.settings.features.timely_first
                    and bool(weights_by_workspace(workspaces))
                )
                self.allowances.ensure_buckets(catalogue.workspace_by_key.values(), now)
            self.scheduler.match()
        self.connections.retain(
            f"http://{record.host}:{record.port}" for record in records
        )

    def _health_path(self, service):
        """Return the path of the status check of a service's targets, or ""."""
        catalogue = self.registry.catalogue
        terms = catalogue.service_by_name.get(service) if catalogue else None
        return terms.health_path if terms else ""

    def _is_engine(self, service):
        """Return whether the targets of a service are model engines."""
        catalogue = self.registry.catalogue
        terms = catalogue.service_by_name.get(service) if catalogue else None
        return terms is not None and terms.is_engine

    def _confirm_configuration(self, as_of):
        with self.lock:
            self._listed_at = max(self._listed_at, as_of)
            version = self.registry.newest_listed_version()
            if version is not None:
                self._unjoined_evidence = (version, as_of)
                self._use_evidence()

    def _use_evidence(self):
        """Use the evidence of the store, once peers could tell of a newer version.

        The caller must hold the lock. An instance that has just started cannot tell
        an older copy of the store from its newest state.
        """
        if self._unjoined_evidence is not None and self.suspects.is_informed():
            self.freshness.confirm(*self._unjoined_evidence, boottime_clock())
            self._unjoined_evidence = None

    def _evidence_age(self):
        with self.lock:
            self._use_evidence()
            return self.freshness.age(boottime_clock())

    def _trust(self):
        with self.lock:
            self._use_evidence()
            return self.freshness.trust(boottime_clock())

    def is_ready(self):
        """Return whether the load balancer should send callers to this instance."""
        return (
            not self.stopping
            and self.app.is_configured()
            and self._trust().accepts_keys
            and self.own_load.is_ready()
        )


def run_gateway(load_settings, read_settings_fingerprint):
    """Run one gateway in this process until it stops.

    Parameters
    ----------
    load_settings : callable
        Returns the `GatewaySettings`; called again at a reload.
    read_settings_fingerprint : callable
        Returns a value that changes whenever the settings file does.

    Raises
    ------
    SettingsError
        If the settings cannot be used.
    """
    enable_collections()
    return_freed_blocks()
    settings = load_settings()
    status = 0
    try:
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(_run(settings, load_settings, read_settings_fingerprint))
    except Exception:
        log.exception("the gateway ends by an error", instance=settings.instance)
        status = FAILURE_STATUS
    flush_logs(LOG_FLUSH_SECONDS)
    # Threads that still serve an interrupted request would keep the process alive.
    os._exit(status)


async def _run(settings, load_settings, read_settings_fingerprint):
    await GatewayNode(settings, load_settings, read_settings_fingerprint).run()
