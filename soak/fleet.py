"""Gateways as processes, their store and their targets, all behind proxies."""

import signal
import subprocess
import threading
import time
from dataclasses import dataclass, field

from test.gatewayfleet import KEY, GatewayFleet

from .faults import CONTACT_SECONDS
from .ledger import Ledger, Terms
from .proxy import Proxy
from .targets import SoakTarget

TARGETS = 4
POLL_SECONDS = 0.2
STOP_SECONDS = 12.0
METERED_KEY = "key-of-metered"
# Share of the callers' requests that come from the metered workspace.
METERED_SHARE = 0.4


@dataclass
class SoakFleet(GatewayFleet):
    """A fleet under faults.

    Attributes
    ----------
    ready : list of str
        Addresses of the gateways in the balancer's rotation.
    events : list of (float, str)
        Faults, with their monotonic seconds.
    active : set of str
        Faults in progress.
    """

    ledger: Ledger = field(default_factory=Ledger)
    terms: Terms = field(default_factory=Terms)
    ready: list = field(default_factory=list)
    events: list = field(default_factory=list)
    active: set = field(default_factory=set)

    def __enter__(self):
        self.key, self.version = KEY, 1
        self.target_lock = threading.Lock()
        self.proxy_by_address = {}
        self.bounds = self.bounds | {"quotaSlack": self.terms.slack}
        super().__enter__()
        self.targets = [
            SoakTarget(f"t{number}", self.ledger) for number in range(TARGETS)
        ]
        for target in self.targets:
            self.stack.callback(target.close)
        self.list_targets()
        self.replace_key(first=True)
        self.start()
        self.stopping = threading.Event()
        self.stack.callback(self.stopping.set)
        threading.Thread(target=self._poll, daemon=True).start()
        return self

    @property
    def store_proxies(self):
        """The proxies before the store, one for each gateway."""
        return [self.proxy_by_address[address] for address in self.addresses]

    def store_address(self, address):
        """Return where a gateway reads the store: a proxy of its own."""
        if address not in self.proxy_by_address:
            proxy = self.proxy_by_address[address] = Proxy(self.store.port)
            self.stack.callback(proxy.close)
        return f"127.0.0.1:{self.proxy_by_address[address].port}"

    def begins(self, fault):
        """Note a fault that begins."""
        self.active.add(fault)
        self.events.append((time.monotonic(), fault))

    def ends(self, fault):
        """Note that a fault is over."""
        self.events.append((time.monotonic(), f"{fault}: over"))
        self.active.discard(fault)

    def is_calm(self, since):
        """Tell whether no fault was near since a time."""
        recent = (at > since - CONTACT_SECONDS for at, _ in self.events[-20:])
        return not self.active and not any(recent)

    def list_targets(self, leaving=None):
        """Write the entries of all targets, and remove those that are gone."""
        with self.target_lock:
            for target in self.targets:
                if target.starts > 1:
                    self.remove(f"servers/{target.base}-{target.starts - 1}")
                state = "draining" if target is leaving else "ready"
                self.list_target(
                    target.name,
                    target,
                    slots=target.slots,
                    state=state,
                    born=target.starts,
                )

    def replace_key(self, first=False):
        """Give the first workspace another key; the former one must end."""
        former = self.key
        self.version += 1
        self.key = f"{KEY}-{self.version}"
        metered = {
            "name": self.terms.metered,
            "apiKeys": [METERED_KEY],
            "priority": 0,
            "ratePerS": self.terms.rate,
            "burst": self.terms.burst,
            "unit": "",
        }
        self.configure(self.version, keys=(self.key,), others=[metered])
        if not first:
            self.ledger.revoked_at[former] = time.monotonic()

    def choose_key(self, rng):
        """Return a caller's key; now and then one that was just revoked."""
        if rng.random() < METERED_SHARE:
            return METERED_KEY
        revoked = list(self.ledger.revoked_at)
        return rng.choice(revoked) if revoked and rng.random() < 0.1 else self.key

    def restart(self, process):
        """Start a gateway again, once its process has ended.

        Two series may end the same process; the first to come replaces it.
        """
        process.send_signal(signal.SIGCONT)
        try:
            process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.ledger.breaks(f"a gateway did not stop in {STOP_SECONDS} s")
            process.kill()
            process.wait()
        with self.target_lock:
            if process in self.processes:
                index = self.processes.index(process)
                self.processes[index] = self._start(self.addresses[index])

    def _poll(self):
        """Ask each gateway whether it is ready, as the balancer does."""
        while not self.stopping.wait(POLL_SECONDS):
            self.ready = [
                address for address in self.addresses if self.is_ready(address)
            ]
