"""Assemble one entry instance and run it until it is asked to stop."""

import asyncio
import contextlib
import os
import secrets
import signal
import sys
import threading
import time

import numpy as np
import orjson
from grpclib.server import Server

from .configuration import ConfigurationStore
from .coordinator.core import Policies
from .coordinator.host import CoordinatorHost
from .coordinator.leases import LEASE_SECONDS
from .dispatch.connections import TargetPools
from .documentreader import DocumentReader
from .entry.app import EntryApp
from .entry.scheduling import Scheduler
from .entry.tally import count_usage
from .errors import SettingsError
from .httpserver import HttpServer
from .httpserver.bodyroom import return_freed_blocks
from .imports import enable_collections
from .keys.assembly import assemble_keys
from .loads import LoadPoller
from .log import get_logger
from .metrics import Metrics
from .operators import OperatorApp
from .peers.currency import ConfigurationFreshness
from .peers.exchange import HEARTBEAT_SECONDS, ConfigurationGossip
from .peers.links import LINK_CONFIGURATION, LinkTable
from .peers.membership import Instance, Membership
from .peers.service import PeerService
from .peers.tending import LinkMaintainer
from .permits import PermitBroker, run_heartbeat
from .platform.client import PlatformClient
from .state import snapshot_of
from .stopping import drain
from .usage import UsageLog, log_record
from .watching import watch

log = get_logger("node")

OPERATOR_THREADS = 4
EXIT_CUT_OFF = 3
INCARNATION_BYTES = 4
RESTART_DELAY_SECONDS = 1.0


class Node:
    """One entry instance.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, settings):
        self.settings = settings
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.clock = time.monotonic
        self.loop = asyncio.get_running_loop()
        self.stop_requested = asyncio.Event()
        self.cut_off_requested = asyncio.Event()
        self.stopping = False
        self.rng = np.random.default_rng()
        self.loop_thread = threading.get_ident()
        own = Instance(
            settings.instance,
            settings.address,
            settings.peer_port,
            settings.data_centre,
        )
        self.metrics = Metrics()
        self.store = ConfigurationStore()
        self.membership = Membership(own, self.clock)
        self.freshness = ConfigurationFreshness(
            settings.instance, self.store, self.clock
        )
        self.store.may_dispatch = self.freshness.is_current
        self.gossip = ConfigurationGossip(
            self.store, self.freshness, self.membership, self.clock
        )
        self.host = CoordinatorHost(
            settings.instance,
            self.incarnation,
            self.clock,
            self.rng,
            Policies(settings.queue_order, settings.target_choice, settings.limits),
        )
        self.links = LinkTable(
            settings.instance,
            self.incarnation,
            settings.peer_secret,
            self.membership,
            self.gossip,
            self.clock,
            self.rng,
        )
        self.broker = PermitBroker(
            settings.instance,
            self.loop,
            self.membership,
            self.links,
            self.host,
            self.clock,
            LEASE_SECONDS,
        )
        self.links.broker = self.broker
        self.peers = PeerService(
            settings.instance,
            self.incarnation,
            settings.peer_secret,
            self.host,
            self.gossip,
        )
        self.pools = TargetPools()
        self.scheduler = Scheduler(
            self.broker, self.store, self.pools, usage=UsageLog(self._record_usage)
        )
        self.keyed, self.forwarded = assemble_keys(self)
        self.app = EntryApp(
            settings, self.incarnation, self.keyed, self.store, self.metrics
        )
        self.platform = PlatformClient(settings.platform)
        self.store.subscribe(self._apply_configuration)

    async def run(self):
        """Serve until a signal requests the stop, then drain.

        Returns
        -------
        int
            Number of requests in progress that were cut off.

        Raises
        ------
        SettingsError
            If a port cannot be bound.
        """
        settings = self.settings
        self._handle_signals()
        async with contextlib.AsyncExitStack() as stack:
            await self._open_ports(stack)
            stack.push_async_callback(self.links.close)
            log.info(
                "started", instance=settings.instance, incarnation=self.incarnation
            )
            tasks = [
                asyncio.create_task(run_with_restarts(name, job))
                for name, job in self._jobs()
            ]
            await self.stop_requested.wait()
            cut_off_count = await drain(self)
            self.scheduler.usage.close_all()
            for task in tasks:
                task.cancel()
            if cut_off_count:
                # Stopping the servers would wait for the requests that are cut off.
                stack.pop_all()
        log.info("stopped", instance=settings.instance)
        return cut_off_count

    async def _open_ports(self, stack):
        settings = self.settings
        threads = settings.max_requests + settings.reserve_threads
        self.callers = HttpServer(
            settings.address, settings.caller_port, self.app, threads
        )
        operators = HttpServer(
            settings.address,
            settings.operator_port,
            OperatorApp(self),
            OPERATOR_THREADS,
        )
        peers = Server([self.peers], config=LINK_CONFIGURATION)
        with _report_bind_error(settings.peer_port):
            await peers.start(settings.address, settings.peer_port)
        stack.callback(peers.close)
        for server in (self.callers, operators):
            with _report_bind_error(server.port):
                server.start()
            stack.push_async_callback(asyncio.to_thread, server.stop)

    def _handle_signals(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._request_stop)
        self.loop.add_signal_handler(signal.SIGUSR1, self._log_state)

    def _request_stop(self):
        if self.stop_requested.is_set():
            self.cut_off_requested.set()
        self.stop_requested.set()

    def _log_state(self):
        log.info("state", state=orjson.dumps(snapshot_of(self)).decode())

    def _jobs(self):
        settings = self.settings
        yield (
            "read configuration",
            DocumentReader(
                self.platform,
                settings.configuration_key,
                self.store,
                self.freshness,
                self.membership,
                self.clock,
                self.rng,
            ).run,
        )
        yield (
            "watch instances",
            lambda: watch(
                "instances",
                lambda revision, wait: self.keyed.peers.read_list(
                    lambda: self.platform.read_instances(
                        settings.service_name, revision, wait
                    )
                ),
                self._apply_instance_list,
            ),
        )
        yield (
            "tend links",
            LinkMaintainer(
                self.membership,
                self.links,
                self.freshness,
                self.host,
                self.store,
                self._join_pools,
                self.clock,
            ).run,
        )
        yield "coordinate", self.host.run
        yield "heartbeat", lambda: run_heartbeat(self.broker, HEARTBEAT_SECONDS)
        yield "poll loads", LoadPoller(self.host, self.store).run

    @property
    def requests_in_progress(self):
        """Number of requests in progress, including those run for other instances."""
        return self.app.active + self.forwarded.active

    def _apply_configuration(self, update):
        self.pools.retain(
            target.url for target in self.store.declarations.targets.values()
        )
        self.host.configure(self.store.declarations)
        self.membership.configure(self.store.declarations)
        self._join_pools()

    def _apply_instance_list(self, response):
        self.membership.update(response.value)
        self.freshness.set_relays(self.membership.relays())
        self.host.set_published(self.membership.published)
        self._join_pools()

    def _join_pools(self):
        if self.store.declarations is not None and self.membership.has_list:
            self.broker.join_all(self.store.declarations.services)

    def leave(self):
        """Hand over the coordinator roles and announce to all peers that it leaves."""
        self.stopping = True
        self.membership.set_leaving(self.settings.instance, True)
        self.gossip.leaving = True
        self.gossip.send_ping_to_all()
        self._join_pools()

    def _record_usage(self, record):
        log_record(record)
        count_usage(self.metrics, record)

    def is_ready(self):
        """Return whether the load balancer should route callers to this instance."""
        return (
            not self.stopping
            and self.membership.has_list
            and self.membership.is_serving(self.settings.instance)
            and self.freshness.is_current()
        )


async def run_with_restarts(name, job):
    """Run a job until cancelled, restarting it whenever it ends or fails.

    Parameters
    ----------
    name : str
        Name of the job in the log.
    job : callable
        Returns a new coroutine that runs the job.
    """
    while True:
        try:
            await job()
        except Exception:
            log.exception("a background task failed and is restarted", task=name)
        await asyncio.sleep(RESTART_DELAY_SECONDS)


@contextlib.contextmanager
def _report_bind_error(port):
    try:
        yield
    except OSError as error:
        raise SettingsError(f"port {port} cannot be bound: {error}") from error


def run_node(settings):
    """Run one instance in this process until it stops.

    Raises
    ------
    SettingsError
        If a port cannot be bound.
    """
    enable_collections()
    return_freed_blocks()

    async def main():
        if await Node(settings).run():
            # Threads that still serve a request that was cut off would keep the
            # process running.
            sys.stderr.flush()
            os._exit(EXIT_CUT_OFF)

    asyncio.run(main())
