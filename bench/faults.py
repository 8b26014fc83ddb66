"""Injects faults into a fleet under steady load and checks its guarantees.

Each fault is a method that causes it and returns the function that ends it.
The requests that targets received are read from journals on disk, which are kept
when a target is killed.
"""

import itertools
import signal
import threading
import time
from pathlib import Path

import numpy as np
import orjson
import urllib3
from urllib3.exceptions import HTTPError

from standin.engine import POISON
from standin.journal import read_journal

from .fleet import Fleet, sample_declarations
from .promises import CallerResponse, EvacuationWindow, Record, violations

# Callers must be served again within this long after all faults have ended.
RECOVERY_SECONDS = 15.0
LIST_LAG_SECONDS = 0.5
CALLERS = 6
PAUSE_SECONDS = 0.05
MAX_SENDS = 6
DRAFT_TOKENS = 12
REQUEST_TIMEOUT = urllib3.Timeout(connect=1.0, read=8.0)


class FaultFleet:
    """Four instances and targets in two data centres, under load from callers.

    Parameters
    ----------
    folder : Path
        Folder for the journals and logs.
    seed : int
        Seed for the choice of the process that a fault affects.
    """

    def __init__(self, folder, seed=1):
        self.folder = Path(folder)
        self.rng = np.random.default_rng(seed)
        self.fleet = Fleet(sample_declarations(), self.folder)
        self.record = Record()
        self._numbers = itertools.count(1)
        self._names = (f"e{number}" for number in itertools.count(1))
        self._calling = threading.Event()
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def __enter__(self):
        self.fleet.__enter__()
        for name, service, centre in (
            ("d1", "drafts", "muc-a"),
            ("d2", "drafts", "muc-b"),
            ("d3", "drafts", "muc-a"),
            ("b1", "bookings", "muc-a"),
            ("b2", "bookings", "muc-b"),
        ):
            self._start_target(name, service, centre)
        for _ in range(4):
            self._start_instance()
        self.fleet.list_instances()
        self.fleet.await_ready(self.fleet.publish())
        for number in range(CALLERS):
            thread = threading.Thread(
                target=self._call_repeatedly, args=(number,), daemon=True
            )
            thread.start()
            self._threads.append(thread)
        return self

    def __exit__(self, *exc):
        self._stopped.set()
        self._calling.set()
        for thread in self._threads:
            thread.join(REQUEST_TIMEOUT.read_timeout)
        self.fleet.__exit__(*exc)

    # Processes of the fleet

    def _start_target(self, name, service, centre):
        journal = self.folder / f"{name}.journal"
        self.fleet.start_target(name, service, centre, "--journal", str(journal))

    def _start_instance(self):
        return self.fleet.start_instance(next(self._names), "muc-a")

    def _pick(self, members):
        names = sorted(members)
        return names[int(self.rng.integers(len(names)))]

    def replace_instance(self, name):
        """Replace a dead instance by a new one, publishing the list after a delay."""
        self.fleet.instances_by_id.pop(name).process.wait()
        self._start_instance()
        time.sleep(LIST_LAG_SECONDS)
        self.fleet.list_instances()

    # Callers

    def _call_repeatedly(self, number):
        rng = np.random.default_rng([number, 1])
        http = urllib3.PoolManager(retries=False, maxsize=4)
        operations = (self._draft, self._book, self._book, self._look_up)
        while not self._stopped.is_set():
            self._calling.wait()
            workspace = ("partner-a", "partner-b")[number % 2]
            operation = operations[int(rng.integers(len(operations)))]
            operation(http, rng, workspace)
            time.sleep(PAUSE_SECONDS)

    def send(self, http, rng, method, path, workspace, body=None, key=None):
        """Send a request to a random instance; return None if no response arrived."""
        members = list(self.fleet.instances_by_id.values())
        member = members[int(rng.integers(len(members)))]
        headers = {"Authorization": f"Bearer key-{workspace}"}
        if key is not None:
            headers["Idempotency-Key"] = key
        try:
            response = http.request(
                method,
                member.url + path,
                body=body,
                headers=headers,
                timeout=REQUEST_TIMEOUT,
            )
        except (HTTPError, OSError):
            self.record.broken_sends += 1
            return None
        received = CallerResponse(
            response.status,
            response.headers.get("X-Almondglade-Outcome", ""),
            response.headers.get("X-Request-Id", ""),
            response.data,
        )
        if received.status >= 400:
            received.code = orjson.loads(received.body)["error"]["code"]
        self.record.responses.append(received)
        return received

    def _draft(self, http, rng, workspace):
        body = _draft_body(f"{workspace} asks {next(self._numbers)}")
        response = self.send(
            http, rng, "POST", "/v1/chat/completions", workspace, orjson.dumps(body)
        )
        if response is None or response.status != 200:
            return
        text = response.body.decode()
        tokens = [f't{number} "' for number in range(1, DRAFT_TOKENS + 1)]
        positions = [text.find(token) for token in tokens]
        complete = -1 not in positions and positions == sorted(positions)
        if not complete or "[DONE]" not in text:
            self.record.wrong.append(f"draft incomplete: {text[-200:]}")

    def _book(self, http, rng, workspace):
        body = orjson.dumps({"booking": next(self._numbers), "by": workspace})
        key = None
        for _ in range(MAX_SENDS):
            key = key or self._new_key(http, rng, workspace)
            if key is None:
                return
            response = self.send(
                http, rng, "POST", "/bookings/reels", workspace, body, key
            )
            if response is not None and response.status == 200:
                if orjson.loads(response.body)["body"] != body.decode():
                    self.record.wrong.append(
                        f"response of another booking: {response.body!r}"
                    )
                return
            if response is not None and response.code == "key_void":
                return
            time.sleep(PAUSE_SECONDS)

    def _new_key(self, http, rng, workspace):
        response = self.send(http, rng, "POST", "/v1/keys", workspace, b'{"count": 1}')
        if response is None or response.status != 200:
            return None
        return orjson.loads(response.body)["keys"][0]

    def _look_up(self, http, rng, workspace):
        number = next(self._numbers)
        path = f"/bookings/slots/{number}"
        response = self.send(http, rng, "GET", path, workspace)
        if response is None or response.status != 200:
            return
        if orjson.loads(response.body)["path"] != f"/slots/{number}":
            self.record.wrong.append(f"response of another slot: {response.body!r}")

    # Faults

    def kill_instance(self):
        """Kill an instance; it is replaced when the fault ends."""
        name = self._pick(self.fleet.instances_by_id)
        self.fleet.instances_by_id[name].process.kill()
        return lambda: self.replace_instance(name)

    def stop_instance(self):
        """Stop an instance gracefully; it is replaced when the fault ends."""
        name = self._pick(self.fleet.instances_by_id)
        self.fleet.list_instances(leaving=[name])
        self.fleet.instances_by_id[name].process.terminate()
        return lambda: self.replace_instance(name)

    def freeze_instance(self):
        """Freeze a live instance (SIGSTOP) until the fault ends."""
        process = self.fleet.instances_by_id[self._pick(self._alive())].process
        process.send_signal(signal.SIGSTOP)
        return lambda: process.send_signal(signal.SIGCONT)

    def kill_target(self):
        """Kill a target; it is restarted when the fault ends."""
        name = self._pick(self.fleet.targets_by_id)
        member = self.fleet.targets_by_id[name]
        member.process.kill()
        return lambda: self._restart_target(name)

    def crash_engines(self):
        """Repeatedly send a request that crashes each engine that runs it."""
        rng = np.random.default_rng(1)
        http = urllib3.PoolManager(retries=False)
        body = orjson.dumps(_draft_body(POISON.decode()))
        for _ in range(MAX_SENDS):
            self.send(http, rng, "POST", "/v1/chat/completions", "partner-b", body)
        return self._restart_dead_targets

    def platform_down(self):
        """Make the platform unavailable until the fault ends."""
        self.fleet.control("state", b'{"down": true}')
        return lambda: self.fleet.control("state", b'{"down": false}')

    def centre_out(self):
        """Evacuate a data centre until the fault ends."""
        centre = self._pick(self.fleet.declarations["data_centres"])
        self._set_centre(centre, "out")
        window = EvacuationWindow(centre, time.time())
        self.record.evacuations.append(window)

        def end_evacuation():
            window.until = time.time()
            self._set_centre(centre, "in")

        return end_evacuation

    def wrong_document(self):
        """Publish an invalid document; a valid one follows when the fault ends."""
        self.fleet.publish(b'{"plans": 7}')
        return self.fleet.publish

    def _alive(self):
        return [
            name
            for name, member in self.fleet.instances_by_id.items()
            if member.process.poll() is None
        ]

    def _restart_target(self, name):
        member = self.fleet.targets_by_id[name]
        member.process.wait()
        service = self.fleet.declarations["targets"][name]["service"]
        self._start_target(name, service, member.data_centre)

    def _restart_dead_targets(self):
        for name, member in list(self.fleet.targets_by_id.items()):
            if member.process.poll() is not None:
                self._restart_target(name)

    def _set_centre(self, centre, state):
        self.fleet.declarations["data_centres"][centre]["state"] = state
        self.fleet.publish()

    # Running faults and checking guarantees

    def play(self, faults, seconds):
        """Inject faults at the same time under load, end them, await recovery.

        Parameters
        ----------
        faults : list of str
            Names of the methods of the faults.
        seconds : float
            Duration of the faults.
        """
        self._calling.set()
        ends = [getattr(self, name)() for name in faults]
        time.sleep(seconds)
        for end in ends:
            end()
        self.await_recovery()
        self._calling.clear()

    def await_recovery(self):
        """Wait until each instance serves a draft and a lookup again.

        Raises
        ------
        AssertionError
            If an instance does not serve them within `RECOVERY_SECONDS`.
        """
        deadline = time.monotonic() + RECOVERY_SECONDS
        for member in list(self.fleet.instances_by_id.values()):
            while not self._serves(member):
                if time.monotonic() > deadline:
                    state = self.fleet.dump(member.name)
                    raise AssertionError(f"{member.name} does not serve: {state}")
                time.sleep(PAUSE_SECONDS)

    def _serves(self, member):
        headers = {"Authorization": "Bearer key-partner-a"}
        calls = (
            ("POST", "/v1/chat/completions", orjson.dumps(_draft_body("again"))),
            ("GET", "/bookings/slots/0", None),
        )
        try:
            return all(
                self.fleet.http.request(
                    method,
                    member.url + path,
                    body=body,
                    headers=headers,
                    timeout=REQUEST_TIMEOUT,
                ).status
                == 200
                for method, path, body in calls
            )
        except (HTTPError, OSError):
            return False

    def violations(self):
        """Return a description of each violation of a guarantee seen so far."""
        targets = self.fleet.targets_by_id
        journals = {
            name: read_journal(self.folder / f"{name}.journal") for name in targets
        }
        centres = {name: member.data_centre for name, member in targets.items()}
        return violations(self.record, journals, centres)


def _draft_body(content):
    return {
        "model": "script-7b",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": DRAFT_TOKENS,
        "stream": True,
    }
