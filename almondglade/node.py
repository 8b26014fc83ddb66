"""Assemble one entry instance and run it until it is told to stop."""

import asyncio
import contextlib
import secrets
import signal
import time

import numpy as np
from grpclib.server import Server

from .configuration import ConfigurationStore
from .coordinator.core import Policies
from .coordinator.host import CoordinatorHost
from .coordinator.leases import LEASE_SECONDS
from .dispatch.connections import TargetPools
from .entry.app import EntryApp
from .entry.scheduling import Scheduler
from .httpserver import HttpServer
from .keys.assembly import assemble_keys
from .loads import LoadPoller
from .log import get_logger
from .metrics import Metrics
from .operators import OperatorApp
from .peers.links import HEARTBEAT_SECONDS, LinkTable
from .peers.membership import Instance, Membership
from .peers.service import PeerService
from .permits import PermitBroker, run_heartbeat
from .platform.client import PlatformClient
from .platform.watch import watch

log = get_logger("node")

OPERATOR_THREADS = 4
DRAIN_POLL_SECONDS = 0.05
INCARNATION_BYTES = 4
RESTART_SECONDS = 1.0


class Node:
    """One entry instance.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings):
        self.settings = settings
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.clock = time.monotonic
        self.loop = asyncio.get_running_loop()
        self.stop_asked = asyncio.Event()
        self.listed = False
        own = Instance(
            settings.instance,
            settings.address,
            settings.peer_port,
            settings.data_centre,
        )
        self.metrics = Metrics()
        self.store = ConfigurationStore()
        self.membership = Membership(own, self.clock)
        self.host = CoordinatorHost(
            settings.instance,
            self.incarnation,
            self.clock,
            np.random.default_rng(),
            Policies(settings.queue_order, settings.target_choice, settings.limits),
        )
        self.links = LinkTable(
            settings.instance,
            self.incarnation,
            settings.peer_secret,
            self.membership,
            self.store,
            self.clock,
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
            settings.peer_secret, self.host, self.store, self.clock
        )
        self.pools = TargetPools()
        self.scheduler = Scheduler(self.broker, self.store, self.pools)
        self.keyed, self.forwarded = assemble_keys(self)
        self.app = EntryApp(settings, self.incarnation, self.keyed, self.store)
        self.platform = PlatformClient(settings.platform)
        self.store.subscribe(self._configured)

    async def run(self):
        """Serve until a signal asks to stop, then drain."""
        settings = self.settings
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop_asked.set)
        callers = HttpServer(
            settings.address,
            settings.caller_port,
            self.app,
            settings.max_requests + settings.reserve_threads,
        )
        operators = HttpServer(
            settings.address,
            settings.operator_port,
            OperatorApp(self),
            OPERATOR_THREADS,
        )
        peers = Server([self.peers])
        await peers.start(settings.address, settings.peer_port)
        callers.start()
        operators.start()
        log.info("started", instance=settings.instance, incarnation=self.incarnation)
        tasks = [
            asyncio.create_task(keep_running(name, job)) for name, job in self._jobs()
        ]
        await self.stop_asked.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        await self.links.close()
        peers.close()
        await asyncio.to_thread(callers.stop)
        await asyncio.to_thread(operators.stop)
        log.info("stopped", instance=settings.instance)

    def _jobs(self):
        settings = self.settings
        yield (
            "watch configuration",
            lambda: watch(
                "configuration",
                lambda index, wait: self.platform.read_document(
                    settings.configuration_key, index, wait
                ),
                lambda answer: self.store.offer(answer.index, answer.value, "platform"),
            ),
        )
        yield (
            "watch instances",
            lambda: watch(
                "instances",
                lambda index, wait: self.keyed.peers.read_list(
                    lambda: self.platform.read_instances(
                        settings.service_name, index, wait
                    )
                ),
                self._instances_listed,
            ),
        )
        yield "coordinate", self.host.run
        yield "heartbeat", lambda: run_heartbeat(self.broker, HEARTBEAT_SECONDS)
        yield "rejoin", self._rejoin
        yield "poll loads", LoadPoller(self.host, self.store).run

    async def _rejoin(self):
        """Return to a better coordinator once it can be tried again."""
        while True:
            await asyncio.sleep(1.0)
            self._join()

    async def _drain(self):
        log.info("stopping, requests in progress will end first")
        self.app.stopping = True
        deadline = self.clock() + self.settings.stop_timeout
        while self._is_busy() and self.clock() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _is_busy(self):
        return self.app.active or self.forwarded.active

    def _configured(self, update):
        self.pools.keep_only(
            target.url for target in self.store.declarations.targets.values()
        )
        self.host.configure(self.store.declarations)
        self.links.announce(update)
        self.peers.announce(update)
        self._join()

    def _instances_listed(self, answer):
        self.listed = True
        self.membership.update(answer.value)
        self.host.set_published(self.membership.published)
        self._join()

    def _join(self):
        if self.store.declarations is not None and self.listed:
            self.broker.join_all(self.store.declarations.services)

    def is_ready(self):
        """Tell whether callers can be served."""
        return (
            self.store.declarations is not None
            and self.listed
            and not self.app.stopping
        )

    def snapshot(self):
        """Return the state of the whole process, without secrets."""
        return {
            "instance": self.settings.instance,
            "incarnation": self.incarnation,
            "ready": self.is_ready(),
            "stopping": self.app.stopping,
            "active_requests": self.app.active,
            "configuration": self.store.snapshot(),
            "published": self.membership.published,
            "links": self.links.snapshot(),
            "pools": self.broker.snapshot(),
            "coordinators": self.host.snapshot(),
            "keys": self.keyed.snapshot() | self.forwarded.snapshot(),
            "platform_calls": self.platform.calls,
        }


async def keep_running(name, job):
    """Run a job until cancelled, again after a failure.

    Parameters
    ----------
    name : str
        Name for the log.
    job : callable
        Returns a new coroutine.
    """
    while True:
        try:
            await job()
        except Exception:
            log.exception("a task failed and is started again", task=name)
        await asyncio.sleep(RESTART_SECONDS)


def run_node(settings):
    """Run one instance in this process until it stops."""

    async def main():
        await Node(settings).run()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
