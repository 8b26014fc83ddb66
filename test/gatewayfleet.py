"""Run gateways as separate processes with a stand-in store and fake targets."""

import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import urlencode

import orjson
import urllib3

from almondglade.httpserver import HttpServer
from standin.platform import PlatformApp

HOST = "callers.example"
START_TIMEOUT_SECONDS = 20.0
STORE_THREADS = 24
EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")
MIN_PORT = 10_000
KEY = "key-of-w1"
SEAL = "X-Response-Seal: s1\r\n"
# Ports that were returned to a fleet or a target of this process, which may bind later.
_drawn_ports: set[int] = set()


def free_ports(count, address="127.0.0.1"):
    """Return ports that are free at present, and were not returned before.

    They are outside the ephemeral range, from which any connection on the host may
    take one before it is used here.
    """
    first_ephemeral = int(EPHEMERAL_PORTS.read_text().split()[0])
    ports = range(MIN_PORT, first_ephemeral)
    if len(_drawn_ports) > len(ports) // 2:
        # The first of them belong to fleets that have ended.
        _drawn_ports.clear()
    candidates = [port for port in ports if port not in _drawn_ports]
    with contextlib.ExitStack() as stack:
        sockets = []
        while len(sockets) < count:
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind((address, random.SystemRandom().choice(candidates)))
                sockets.append(sock)
        drawn = [sock.getsockname()[1] for sock in sockets]
    _drawn_ports.update(drawn)
    return drawn


def make_response(body=b"done", status="200 OK", headers=SEAL, request=b""):
    """Return a target's response, with the request id of the request."""
    ids = [
        line
        for line in request.split(b"\r\n")
        if line.lower().startswith(b"x-request-id:")
    ]
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n".encode()
    return head + b"".join(line + b"\r\n" for line in ids) + b"\r\n" + body


def make_route(prefix, kind, service, **terms):
    """Return a route of the operator's document."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "publicAccess": False,
    } | terms


@dataclass
class GatewayFleet:
    """A store, some targets and some gateways on loopback addresses.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    count : int
        Number of gateways.
    bounds : dict
        Bounds of the settings file that differ from the defaults.
    machine : dict
        What the settings file declares of the machine, besides memory and files.
    source_by_address : dict of str to Path
        Source folders of the gateways that run another build than this one.
    flags : tuple of str
        Further flags of the gateways.
    """

    folder: object
    count: int = 1
    bounds: dict = field(default_factory=dict)
    machine: dict = field(default_factory=dict)
    source_by_address: dict = field(default_factory=dict)
    flags: tuple = ()

    def __enter__(self):
        self.stack = contextlib.ExitStack()
        self.app = PlatformApp()
        self.store = HttpServer("127.0.0.1", 0, self.app, STORE_THREADS)
        self.store.start()
        self.stack.callback(self.store.stop)
        self.http = urllib3.PoolManager(retries=False, timeout=10.0)
        self.sequence = 0
        self.ports = free_ports(5)
        self.addresses = [f"127.0.0.{number + 1}" for number in range(self.count)]
        self.processes = []
        self.is_first_start = True
        self.configure()
        return self

    def __exit__(self, *exc):
        for process in self.processes:
            process.kill()
            process.wait()
        self.stack.close()

    def store_address(self, address):
        """Return the address at which a gateway reads the store."""
        return f"127.0.0.1:{self.store.port}"

    def remove(self, key):
        """Remove an item from the store."""
        url = f"http://127.0.0.1:{self.store.port}/standin/removal?key={key}"
        self.http.request("POST", url)

    def put(self, key, value):
        """Write an item to the store, as operators and targets do."""
        url = f"http://127.0.0.1:{self.store.port}/standin/item?key={key}"
        self.http.request("POST", url, body=orjson.dumps(value))

    def set_store_state(self, **state):
        """Change how the store behaves."""
        url = f"http://127.0.0.1:{self.store.port}/standin/state"
        self.http.request("POST", url, body=orjson.dumps(state))

    def control_store(self, command, **query):
        """Control the stand-in of the store."""
        url = f"http://127.0.0.1:{self.store.port}/standin/{command}"
        response = self.http.request("POST", f"{url}?{urlencode(query)}")
        assert response.status == 200

    def configure(
        self,
        version=1,
        keys=(KEY,),
        routes=None,
        others=(),
        terms=(),
        max_body_bytes=1 << 20,
        **workspace,
    ):
        """Write the operator's document.

        Parameters
        ----------
        others : iterable of dict
            Further workspaces.
        terms : dict or iterable of pairs
            Further terms of the service.
        """
        default_routes = [
            make_route("/book/", "non_idempotent", "plain", maxAttempts=1),
            make_route("/look/", "idempotent", "plain"),
            make_route("/stream/", "streaming", "plain", streamResume=True),
            make_route("/once/", "streaming", "plain"),
        ]
        tenant = {"name": "w1", "apiKeys": list(keys), "priority": 0} | workspace
        self.put(
            "op/config",
            {
                "version": version,
                "routes": routes or default_routes,
                "services": [
                    {"name": "plain", "maxConnections": 64, "healthPath": "/health"}
                    | dict(terms)
                ],
                "limits": {"maxBodyBytes": max_body_bytes},
                "tenants": [tenant, *others],
            },
        )

    def list_target(self, name, target, **changes):
        """Write the store entry of a target."""
        self.sequence += 1
        self.put(
            f"servers/{name}",
            {
                "service": "plain",
                "address": target.url.removeprefix("http://"),
                "zone": "north",
                "version": "v1",
                "slots": 4,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": 1,
            }
            | changes,
        )

    def start(self):
        """Start all gateways and wait until they are ready."""
        try:
            for address in self.addresses:
                self.processes.append(self._start(address))
            self.wait_until_ready()
        except BaseException:
            # Without the end of its threads, the test process would not exit.
            self.__exit__(None, None, None)
            raise
        self.is_first_start = False

    def wait_until_ready(self):
        """Wait until all gateways are ready."""
        end = time.monotonic() + START_TIMEOUT_SECONDS
        while not all(self.is_ready(address) for address in self.addresses):
            assert time.monotonic() < end, self.log()
            time.sleep(0.05)

    def _start(self, address):
        front, ready, control, peer, metrics = self.ports
        path = self.folder / f"{address}.toml"
        bounds = {"revokeMs": 5000, "revokeFailClosed": True, "graceS": 4}
        path.write_text(
            settings_text(
                address,
                {"front": front, "ready": ready, "control": control},
                peer,
                [f"{seed}:{control}" for seed in self.addresses[:3]],
                self.store_address(address),
                bounds | self.bounds,
                self.is_first_start,
                self.machine,
            )
        )
        log = self.stack.enter_context(open(self.folder / f"{address}.log", "ab"))
        command = [sys.executable, "-m", "almondglade", "gateway"]
        return subprocess.Popen(
            [*command, "--metrics-port", str(metrics), *self.flags],
            cwd=self.source_by_address.get(address),
            env=os.environ | {"ALMONDGLADE_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )

    def log(self, address="127.0.0.1"):
        """Return the log of a gateway."""
        return (self.folder / f"{address}.log").read_text()

    def is_ready(self, address="127.0.0.1"):
        """Return whether a gateway reports that it is ready."""
        url = f"http://{address}:{self.ports[1]}/api/ready"
        try:
            return self.http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def call(
        self, path, address="127.0.0.1", method="GET", key=KEY, body=None, **headers
    ):
        """Send a request as a caller and return the response."""
        sent = {
            "Host": HOST,
            "X-Request-Id": f"r{time.monotonic_ns()}",
            "X-Deadline-Ms": "3000",
            "X-Credential": key,
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{address}:{self.ports[0]}{path}"
        return self.http.request(method, url, headers=sent, body=body)

    def stop(self, index=0):
        """Send the stop signal to a gateway."""
        self.processes[index].send_signal(signal.SIGTERM)


def settings_text(
    address, listen, peer_port, seeds, store, bounds, first_start=True, limits=None
):
    """Return a settings file as the platform writes it."""
    values = "\n".join(
        f"{name} = {orjson.dumps(value).decode()}" for name, value in bounds.items()
    )
    machine = "\n".join(f"{name} = {value}" for name, value in (limits or {}).items())
    ports = "\n".join(f'{name} = "{address}:{port}"' for name, port in listen.items())
    return f"""
nodeName = "e-{address}"
zone = "north"
ip = "{address}"
internalPorts = [{peer_port}, {peer_port}]
seedNodes = {orjson.dumps(seeds).decode()}
bootstrap = {orjson.dumps(first_start).decode()}
unknownField = 7
[listen]
{ports}
[limits]
memoryMb = 150
maxFds = 4100
{machine}
[bounds]
{values}
[platform]
address = "{store}"
"""
