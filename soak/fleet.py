"""Gateway processes with a store and targets that are reached through proxies."""

import signal
import subprocess
import threading
import time
from dataclasses import dataclass, field

from test.gatewayfleet import KEY, GatewayFleet

from .faults import SETTLE_SECONDS
from .ledger import GuaranteeLimits, Ledger
from .links import GatewayLinks
from .proxy import Proxy
from .targets import SoakTarget

TARGET_COUNT = 4
# Software versions of the targets, which serve side by side.
VERSION_COUNT = 2
READINESS_POLL_SECONDS = 0.2
STOP_TIMEOUT_SECONDS = 12.0
# How long the store is away before it returns from a copy.
RETURN_SECONDS = 0.3
METERED_KEY = "key-of-metered"
# Share of the requests that come from the metered workspace.
METERED_SHARE = 0.4


@dataclass
class SoakFleet(GatewayFleet):
    """A fleet that is run under faults.

    Attributes
    ----------
    ready : list of str
        Addresses of the ready gateways, which a load balancer would use.
    fault_events : list of (float, str)
        Starts and ends of faults, with their time in monotonic seconds.
    active_faults : set of str
        Labels of the faults in progress.
    crashing_paths : list of str
        Paths of the requests that crash each target that runs them.
    kind_by_crashing_part : dict of str to str
        First part of the paths of requests, by the part of their prompts that crashes
        each target that runs one.
    cut_count : int
        How often the links of gateways were cut.
    """

    ledger: Ledger = field(default_factory=Ledger)
    limits: GuaranteeLimits = field(default_factory=GuaranteeLimits)
    ready: list = field(default_factory=list)
    fault_events: list = field(default_factory=list)
    active_faults: set = field(default_factory=set)
    crashing_paths: list = field(default_factory=list)
    kind_by_crashing_part: dict = field(default_factory=dict)
    cut_count: int = 0

    def __enter__(self):
        self.key, self.version = KEY, 1
        self.target_lock = threading.Lock()
        self.proxy_by_address = {}
        self.bounds = self.bounds | {"quotaSlack": self.limits.slack_requests}
        super().__enter__()
        self.links_by_address = {}
        self.targets = [
            SoakTarget(f"t{number}", self.ledger, version=f"v{number % VERSION_COUNT}")
            for number in range(TARGET_COUNT)
        ]
        for target in self.targets:
            target.on_crash = self.restart_target
            self.stack.callback(target.close)
        for address in self.addresses:
            links = GatewayLinks(self.app, [target.url for target in self.targets])
            self.links_by_address[address] = links
            self.stack.callback(links.close)
        self.control_store("era", number=1)
        self.write_target_entries()
        self.replace_key(initial=True)
        self.start()
        self.stopping = threading.Event()
        self.stack.callback(self.stopping.set)
        threading.Thread(target=self._poll_readiness, daemon=True).start()
        return self

    @property
    def store_proxies(self):
        """Proxies of the connections to the store, one for each gateway."""
        return [self.proxy_by_address[address] for address in self.addresses]

    def store_address(self, address):
        """Return the address at which a gateway reads the store, a proxy of its own."""
        if address not in self.proxy_by_address:
            port = self.links_by_address[address].store_port
            proxy = self.proxy_by_address[address] = Proxy(port)
            self.stack.callback(proxy.close)
        return f"127.0.0.1:{self.proxy_by_address[address].port}"

    def record_fault_start(self, fault):
        """Record that a fault starts."""
        self.active_faults.add(fault)
        self.fault_events.append((time.monotonic(), fault))

    def record_fault_end(self, fault):
        """Record that a fault is over."""
        self.fault_events.append((time.monotonic(), f"{fault}: over"))
        self.active_faults.discard(fault)

    def is_undisturbed(self, since):
        """Return whether no fault was active or recent since a time."""
        recent = (at > since - SETTLE_SECONDS for at, _ in self.fault_events[-20:])
        return not self.active_faults and not any(recent)

    def restart_target(self, target):
        """Crash a target and start it again, unless another fault has done so."""
        name = target.name
        with self.target_lock:
            if target.name != name:
                return
            self.record_fault_start(name)
            target.crash()
            target.start()
        self.write_target_entries()
        self.record_fault_end(name)

    def disturbed_addresses(self, fault, subject):
        """Return the gateways that a fault of gateways or the store disturbs."""
        if subject in self.processes:
            return [self.addresses[self.processes.index(subject)]]
        by_proxy = {proxy: name for name, proxy in self.proxy_by_address.items()}
        if subject in by_proxy:
            return [by_proxy[subject]]
        return self.addresses if fault.startswith(("gateway", "store")) else []

    def write_target_entries(self, draining=None):
        """Write the store entries of all targets and remove outdated ones."""
        with self.target_lock:
            for target in self.targets:
                if target.start_count > 1:
                    self.remove(f"servers/{target.base_name}-{target.start_count - 1}")
                state = "draining" if target is draining else "ready"
                self.list_target(
                    target.name,
                    target,
                    slots=target.slots,
                    version=target.version,
                    state=state,
                    born=target.start_count,
                )

    def replace_key(self, initial=False):
        """Replace the first workspace's key, which revokes the former one.

        The initial key revokes none.
        """
        former = self.key
        self.version += 1
        self.key = f"{KEY}-{self.version}"
        self.write_configuration()
        if not initial:
            self.ledger.revoked_at[former] = time.monotonic()

    def write_configuration(self):
        """Write the newest configuration, as operators do after a loss of the store."""
        metered = {
            "name": self.limits.metered_workspace,
            "apiKeys": [METERED_KEY],
            "priority": 0,
            "ratePerS": self.limits.requests_per_second,
            "burst": self.limits.burst_requests,
            "unit": "",
        }
        self.configure(self.version, keys=(self.key,), others=[metered])

    def restore_store(self):
        """Let the store return from its copy; operators and targets write again."""
        self.set_store_state(down=True)
        time.sleep(RETURN_SECONDS)
        self.control_store("restore")
        self.set_store_state(down=False)
        self.write_configuration()
        for target in self.targets:
            for number in range(1, target.start_count):
                self.remove(f"servers/{target.base_name}-{number}")
        self.write_target_entries()

    def choose_key(self, rng):
        """Return a key for a request, which is sometimes a revoked one."""
        if rng.random() < METERED_SHARE:
            return METERED_KEY
        revoked = list(self.ledger.revoked_at)
        return rng.choice(revoked) if revoked and rng.random() < 0.1 else self.key

    def restart(self, process):
        """Restart a gateway once its process has ended.

        Two fault sequences may end the same process; only the first one replaces it.
        """
        process.send_signal(signal.SIGCONT)
        try:
            process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.ledger.record_violation(
                f"a gateway did not stop in {STOP_TIMEOUT_SECONDS} s"
            )
            process.kill()
            process.wait()
        with self.target_lock:
            if process in self.processes:
                index = self.processes.index(process)
                self.processes[index] = self._start(self.addresses[index])

    def _poll_readiness(self):
        """Poll the readiness of each gateway, as a load balancer does."""
        while not self.stopping.wait(READINESS_POLL_SECONDS):
            self.ready = [
                address for address in self.addresses if self.is_ready(address)
            ]
