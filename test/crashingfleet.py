"""Gateways before targets that a certain request crashes."""

import contextlib
import random
import threading
import time
from dataclasses import dataclass, field

import urllib3

from soak.ledger import Ledger
from soak.targets import SoakTarget

from .gatewayfleet import GatewayFleet

# Time from the crash of a target to its next start.
RESTART_SECONDS = 2.0
# The documented limits: after a request has crashed `MAX_CRASHES` targets, or requests
# with one part in their prompts `MAX_PART_CRASHES`, and this time has passed, they may
# run `MAX_LATE_RUNS` times more.
CONTACT_SECONDS = 3.0
MAX_CRASHES = 3
MAX_PART_CRASHES = 5
MAX_LATE_RUNS = 3
BYSTANDER_PAUSE_SECONDS = 0.05


class CrashingTarget(SoakTarget):
    """A target that gateways reach without a proxy, so that it refuses connections."""

    @property
    def url(self):
        """URL of the target itself."""
        return f"http://127.0.0.1:{self._server.server_port}"


@dataclass
class CrashingFleet(GatewayFleet):
    """Gateways whose targets crash and start again.

    Parameters
    ----------
    target_count : int
    removal_seconds : float
        Time from a crash until the store removes the target's entry.

    Attributes
    ----------
    crashes : list of (float, str)
        Monotonic time and target of each run of a crashing request.
    statuses_by_path : dict of str to list of (float, int or None)
        When each request of `repeat` ended and its status.
    settled_at : float
        Monotonic time from which requests beside a crashing one must be served.
    """

    target_count: int = 8
    removal_seconds: float = 0.0
    crashes: list = field(default_factory=list)
    statuses_by_path: dict = field(default_factory=dict)
    settled_at: float = 0.0

    def __enter__(self):
        super().__enter__()
        self.stopped = threading.Event()
        self.stack.callback(self.stopped.set)
        self.threads = []
        self.targets = [
            CrashingTarget(f"t{number}", Ledger())
            for number in range(self.target_count)
        ]
        for target in self.targets:
            target.on_crash = self.crash
            self.stack.callback(target.close)
            self.list_target(target.name, target)
        self.start()
        return self

    def __exit__(self, *exc):
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        super().__exit__(*exc)

    def crash(self, target):
        """End a target, remove its entry and start it again after a while."""
        name = target.name
        self.crashes.append((time.monotonic(), name))
        target.crash()
        self._call_later(self.removal_seconds, self.remove, f"servers/{name}")
        self._call_later(RESTART_SECONDS, self._restart_target, target, name)

    def _restart_target(self, target, crashed):
        if target.name == crashed:
            target.start()
            self.list_target(target.name, target, born=target.start_count)

    def _call_later(self, seconds, function, *args):
        def run():
            if not self.stopped.wait(seconds):
                function(*args)

        self._start_thread(run)

    def _start_thread(self, function):
        thread = threading.Thread(target=function, daemon=True)
        thread.start()
        self.threads.append(thread)

    def kill(self, index):
        """Kill a gateway."""
        self.processes[index].kill()
        self.processes[index].wait()

    def restart(self, index):
        """Start a killed gateway again."""
        self.processes[index] = self._start(self.addresses[index])

    def repeat(self, path, pause, method="GET", parts=()):
        """Send a request again and again in a thread, with new ids, to any gateway.

        Parameters
        ----------
        parts : tuple of str
            Ids of the shared parts of its prompt. With any, no two requests are alike:
            their paths and the last parts of their prompts differ.
        """
        statuses = self.statuses_by_path.setdefault(path, [])
        rng = random.Random(f"{path} {len(self.threads)}")

        def run():
            while not self.stopped.wait(pause * rng.uniform(0.5, 1.5)):
                status = None
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    address = rng.choice(self.addresses)
                    status = self._call_once(path, address, method, parts).status
                statuses.append((time.monotonic(), status))

        self._start_thread(run)

    def _call_once(self, path, address, method, parts):
        if not parts:
            return self.call(path, address, method)
        own = f"own-{time.monotonic_ns():x}"
        entries = ",".join(f"{part}:100" for part in (*parts, own))
        return self.call(f"{path}/{own}", address, method, X_Prompt_Prefix=entries)

    def late_runs(self, max_crashes=MAX_CRASHES):
        """Return the crashing runs after the documented time."""
        if len(self.crashes) <= max_crashes:
            return []
        limit = self.crashes[max_crashes - 1][0] + CONTACT_SECONDS
        return [run for run in self.crashes if run[0] > limit]

    def served_share(self, path, since):
        """Return the share of the requests of a path that were served."""
        statuses = [status for at, status in self.statuses_by_path[path] if at >= since]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))
