"""Run stand-ins and entry instances as separate processes on loopback."""

import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from almondglade.entry.callers import hash_key

LOOPBACK = "127.0.0.1"
PEER_SECRET = "a secret for loopback only"
START_SECONDS = 10.0
STOP_SECONDS = 40.0
POLL_SECONDS = 0.05


def free_port():
    """Return a TCP port that is currently free."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


def url_of(port):
    """Return the base URL of a port on loopback."""
    return f"http://{LOOPBACK}:{port}"


@dataclass
class Member:
    """A child process of the fleet and the ports it listens on."""

    name: str
    process: subprocess.Popen
    port: int
    operator_port: int = 0
    peer_port: int = 0
    data_centre: str = ""

    @property
    def url(self):
        """Base URL for callers."""
        return url_of(self.port)

    @property
    def operator_url(self):
        """Base URL for operators."""
        return url_of(self.operator_port)


@dataclass
class Fleet:
    """The platform stand-in, targets and entry instances as child processes.

    Parameters
    ----------
    declarations : dict
        Configuration document; `start_target` adds each target to it.
    log_folder : Path or None
        Folder for a log file of each process; logs are discarded when None.
    """

    declarations: dict
    log_folder: object = None
    platform: Member | None = None
    targets_by_id: dict[str, Member] = field(default_factory=dict)
    instances_by_id: dict[str, Member] = field(default_factory=dict)
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, maxsize=64)
    )

    def __enter__(self):
        port = free_port()
        self.platform = self._start("platform", port, "standin", "platform", str(port))
        self._await_port(self.platform)
        return self

    def __exit__(self, *exc):
        members = [*self.instances_by_id.values(), *self.targets_by_id.values()]
        for member in [*members, self.platform]:
            if member.process.poll() is None:
                member.process.send_signal(signal.SIGCONT)
                member.process.kill()
            member.process.wait()

    def start_target(self, name, service, data_centre, *flags, max_concurrent=32):
        """Start a stand-in of the service's kind and add it to the declarations.

        A target that is already known starts again on its previous port.
        """
        kind = self.declarations["services"][service]["kind"]
        command = "engine" if kind == "engine" else "service"
        known = self.targets_by_id.get(name)
        port = known.port if known else free_port()
        member = self._start(name, port, "standin", command, str(port), *flags)
        member.data_centre = data_centre
        self.targets_by_id[name] = member
        self.declarations.setdefault("targets", {})[name] = {
            "service": service,
            "data_centre": data_centre,
            "url": member.url,
            "max_concurrent": max_concurrent,
        }
        self._await_port(member)
        return member

    def start_instance(self, name, data_centre, *flags):
        """Start an entry instance."""
        ports = [free_port() for _ in range(3)]
        member = self._start(
            name,
            ports[0],
            "serve",
            *("--instance", name, "--data-centre", data_centre),
            *("--platform", f"{self.platform.url}/for/{name}"),
            *("--caller-port", str(ports[0])),
            *("--operator-port", str(ports[1])),
            *("--peer-port", str(ports[2])),
            *flags,
        )
        member.operator_port, member.peer_port = ports[1:]
        member.data_centre = data_centre
        self.instances_by_id[name] = member
        return member

    def publish(self, document=None):
        """Publish a document, by default the declarations; return its version."""
        document = orjson.dumps(self.declarations) if document is None else document
        return self.control("document", document)["index"]

    def list_instances(self, leaving=()):
        """Publish the list of instances, those in `leaving` as leaving."""
        services = [
            {
                "ID": member.name,
                "Address": LOOPBACK,
                "Port": member.peer_port,
                "Meta": {
                    "data_centre": member.data_centre,
                    "state": "leaving" if member.name in leaving else "live",
                },
            }
            for member in self.instances_by_id.values()
        ]
        self.control("instances", orjson.dumps(services))

    def control(self, what, body):
        """Send a control request to the platform stand-in and return its response."""
        response = self.http.request(
            "POST", f"{self.platform.url}/standin/{what}", body=body
        )
        return orjson.loads(response.data)

    def ledger(self, name):
        """Return the ledger of a target stand-in: what it received and ran."""
        url = self.targets_by_id[name].url + "/ledger"
        return orjson.loads(self.http.request("GET", url).data)

    def dump(self, name):
        """Return the state dump of an instance."""
        url = self.instances_by_id[name].operator_url + "/dump"
        return orjson.loads(self.http.request("GET", url).data)

    def await_ready(self, version=0):
        """Wait until all instances are ready with at least this document version.

        An instance counts as ready once each of its pools has joined a
        coordinator.

        Raises
        ------
        TimeoutError
            If an instance is not ready after `START_SECONDS`.
        """
        deadline = time.monotonic() + START_SECONDS
        for name in self.instances_by_id:
            while not self._is_ready(name, version):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} is not ready")
                time.sleep(POLL_SECONDS)

    def _is_ready(self, name, version):
        try:
            state = self.dump(name)
        except (HTTPError, OSError):
            return False
        joined = all(
            pool["coordinator"] and pool["joined"] for pool in state["pools"].values()
        )
        return (
            state["ready"] and joined and state["configuration"]["version"] >= version
        )

    def _start(self, name, port, *arguments):
        environment = os.environ | {"ALMONDGLADE_PEER_SECRET": PEER_SECRET}
        output = (
            subprocess.DEVNULL
            if self.log_folder is None
            else open(self.log_folder / f"{name}.log", "ab")
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "almondglade", *arguments],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        return Member(name, process, port)

    def _await_port(self, member):
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            with socket.socket() as sock:
                if sock.connect_ex((LOOPBACK, member.port)) == 0:
                    return
            time.sleep(POLL_SECONDS)
        raise TimeoutError(f"{member.name} does not listen")


def sample_declarations():
    """Return a small configuration document with two services and no targets.

    The key of a workspace is ``key-`` followed by its name.
    """
    allowances = {
        "drafts": {"concurrent": 64, "tokens_per_minute": 10_000_000},
        "bookings": {"concurrent": 64},
    }
    return {
        "plans": {
            "gold": {"tier": 0, "allowances": allowances},
            "basic": {"tier": 2, "allowances": allowances},
        },
        "workspaces": {
            "partner-a": {"plan": "gold", "keys": [hash_key("key-partner-a")]},
            "partner-b": {"plan": "basic", "keys": [hash_key("key-partner-b")]},
        },
        "data_centres": {"muc-a": {}, "muc-b": {}},
        "services": {
            "drafts": {"kind": "engine", "models": ["script-7b"]},
            "bookings": {"kind": "plain"},
        },
    }
