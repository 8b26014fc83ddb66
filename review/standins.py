"""Stand-ins for the platform's store, runners and clients, and a launcher of gateways.

All of it speaks what the users' pages say, on loopback addresses, with threads and the
standard library alone. The gateways are separate processes, started with the command
of `deploy/system.toml`.
"""

import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "callers.example"
HEARTBEAT_SECONDS = 1.2
# What the store takes for an answer, as the pages tell.
STORE_ANSWER_SECONDS = 0.004
START_SECONDS = 30.0


class Server(ThreadingHTTPServer):
    """An HTTP server on a loopback address whose threads end with the process."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore a caller that has closed its connection."""


def serve(address, port, handler):
    """Start a server in a thread and return it."""
    server = Server((address, port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Handler(BaseHTTPRequestHandler):
    """HTTP/1.1 with kept connections and without a log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        """Write no log."""

    def answer(self, status, body=b"", headers=()):
        """Send a response with a length."""
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Store:
    """The platform's store: items with revisions, ranges and watches."""

    def __init__(self, address):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = threading.Condition()
        store = self

        class StoreHandler(Handler):
            def do_GET(self):  # noqa: N802
                url = urlsplit(self.path)
                query = {
                    name: values[0] for name, values in parse_qs(url.query).items()
                }
                status, content = store.handle(url.path, query)
                time.sleep(STORE_ANSWER_SECONDS)
                self.answer(status, json.dumps(content).encode())

        self.server = serve(address, 0, StoreHandler)
        self.address = f"{address}:{self.server.server_address[1]}"

    def handle(self, path, query):
        """Return status and content for a call."""
        prefix = query.get("pathPrefix", "")
        with self.changed:
            if path == "/api/kv-key":
                item = self.items.get(query["key"])
                return (200, item | {"at": self.revision}) if item else (404, {})
            if path == "/api/kv-range":
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(prefix) and key > query.get("after", "")
                )
                page = [self.items[key] for key in keys[:500]]
                content = {"items": page, "hasMore": len(keys) > 500}
                return 200, content | {"at": self.revision}
            if path == "/api/kv-watch":
                after = int(query["after"])
                self.changed.wait_for(
                    lambda: self._since(after, prefix), int(query["waitMs"]) / 1000
                )
                return 200, {"events": self._since(after, prefix), "at": self.revision}
        return 404, {}

    def _since(self, after, prefix):
        return [
            event
            for event in self.events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def put(self, key, value):
        """Write an item; return the time of the acknowledgement."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("createdAt", self.revision)
            self.items[key] = {
                "key": key,
                "value": data,
                "revision": self.revision,
                "createdAt": created,
                "lease": 0,
            }
            self.events.append(self.items[key])
            self.changed.notify_all()
        return time.monotonic()


class Runner:
    """A runner of a service, which registers itself in the store.

    `on_run` may be replaced: it takes the handler, the headers and the body of a
    request that runs, and answers it.
    """

    def __init__(
        self, store, address, record, service, name, zone="north", slots=6, version="v1"
    ):
        self.record, self.version = record, version
        self.service, self.name, self.zone, self.slots = service, name, zone, slots
        self.store = store
        self.sequence = itertools.count(1)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.work_seconds = 0.02
        self.runs = []
        self.on_run = self.answer_plainly
        runner = self

        class RunnerHandler(Handler):
            def handle_any(self):
                runner.handle(self)

            do_GET = do_POST = handle_any  # noqa: N815

        self.server = serve(address, 0, RunnerHandler)
        self.address = f"{address}:{self.server.server_address[1]}"
        self.register()
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def register(self):
        """Write the entry in the store."""
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": next(self.sequence),
                "born": self.born,
            },
        )

    def _heartbeat(self):
        # Runners do not write at the same moment.
        time.sleep(random.uniform(0.0, HEARTBEAT_SECONDS))
        while True:
            time.sleep(HEARTBEAT_SECONDS)
            self.register()

    def handle(self, http):
        """Answer a request; count it as run where it is one."""
        body = http.rfile.read(int(http.headers.get("Content-Length") or 0))
        if http.path == "/health":
            is_ready = self.state == "ready"
            leaving = [] if is_ready else [("Server-Leaving", "1")]
            instance = ("X-Instance-Id", self.name)
            http.answer(200 if is_ready else 503, b"", [instance, *leaving])
            return
        expected = http.headers.get("X-Expect-Instance")
        if expected not in (None, self.name):
            http.answer(421, b"", [("X-Instance-Id", self.name)])
            return
        request_id = http.headers.get("X-Request-Id", "")
        tenant = http.headers.get("X-Tenant-Id", "")
        self.runs.append((time.monotonic(), request_id, tenant, http.path))
        self.record(f"{self.name} runs {request_id} of tenant {tenant}")
        self.on_run(http, request_id, body)

    def answer_plainly(self, http, request_id, body):
        """Answer after some work; a stream has three events."""
        time.sleep(self.work_seconds)
        ids = [("X-Request-Id", request_id), ("X-Response-Seal", f"seal.{self.name}")]
        if http.path.startswith("/stream/"):
            events = b"".join(b"id: %d\ndata: piece\n\n" % n for n in (1, 2, 3))
            ids.append(("Content-Type", "text/event-stream"))
            http.answer(200, events, ids)
        else:
            http.answer(200, b"done", ids)


def make_route(prefix, kind, service, timeout_ms, objective_ms, **terms):
    """Return a route of the operator's document."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": objective_ms,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "publicAccess": False,
    } | terms


def make_configuration(version, routes, services, tenants):
    """Return the operator's document; `tenants` has the keys by tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "maxConnections": 110, "healthPath": "/health"}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 22,
            "headerTimeoutMs": 10000,
            "idleTimeoutMs": 60000,
        },
        "tenants": [
            {"name": name, "apiKeys": keys, "priority": 0, "ratePerS": 0, "burst": 0}
            for name, keys in tenants.items()
        ],
    }


class Record:
    """Writes what happens to a file, with seconds since the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self._file = open(path, "w")  # noqa: SIM115
        self._lock = threading.Lock()

    def __call__(self, text):
        """Write a line."""
        with self._lock:
            seconds = time.monotonic() - self.started_at
            self._file.write(f"{seconds:8.3f} {text}\n")
            self._file.flush()


class Fleet:
    """Gateways as separate processes, each on a loopback address of its own."""

    def __init__(self, store_address, count, record):
        self.record = record
        self.store_address = store_address
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        rng = random.SystemRandom()
        net = f"127.{rng.randrange(64, 250)}.{rng.randrange(1, 250)}"
        # Connections between gateways come from the first loopback address, which has
        # to be that of a gateway so that the peers know it.
        self.addresses = ["127.0.0.1", *(f"{net}.{n}" for n in range(2, count + 1))]
        self.front, self.ready, self.control, self.internal = free_ports(
            self.addresses[0]
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["gateway"]["run"].split()
        self.processes = {}

    def start(self):
        """Start all gateways and wait until they are ready."""
        for number, address in enumerate(self.addresses):
            self.start_one(address, f"edge-north-{number + 1}")
        self.wait_until_ready()

    def start_one(self, address, name, bootstrap=True):
        """Start one gateway."""
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(address, name, bootstrap))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "ALMONDGLADE_CONFIG": str(path),
            # The platform sets this, too (DEPLOY.md).
            "MALLOC_ARENA_MAX": "1",
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes[address] = process
        self.record(f"{name} started at {address}")
        return process

    def _settings(self, address, name, bootstrap):
        seeds = ",".join(f'"{each}:{self.control}"' for each in self.addresses[:3])
        return f"""
nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{address}"
zone = "north"
region = "r1"
internalPorts = [{self.internal},{self.internal + 15}]
seedNodes = [{seeds}]
bootstrap = {str(bootstrap).lower()}
heartbeatMs = 1200
[zones]
north = "r1"
[listen]
front = "{address}:{self.front}"
ready = "{address}:{self.ready}"
control = "{address}:{self.control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
revokeFailClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 58
quotaWindowS = 8
quotaOverage = 0.25
quotaSlack = 110000
coldOverage = 1.5
coldSlack = 5
[platform]
address = "{self.store_address}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
"""

    def is_ready(self, address):
        """Return whether a gateway says that it is ready."""
        try:
            with socket.create_connection((address, self.ready), 1.0) as sock:
                sock.sendall(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_until_ready(self):
        """Wait until all gateways are ready."""
        until = time.monotonic() + START_SECONDS
        while not all(map(self.is_ready, self.addresses)):
            if time.monotonic() > until:
                raise TimeoutError("the gateways did not become ready")
            time.sleep(0.2)

    def signal(self, address, number):
        """Send a signal to a gateway."""
        self.record(f"{signal.Signals(number).name} to {address}")
        self.processes[address].send_signal(number)

    def stop(self):
        """End all gateways."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(address):
    """Return ports for callers, readiness, control and peers on a loopback address."""
    rng = random.SystemRandom()
    while True:
        base = rng.randrange(11000, 30000)
        try:
            for port in (*range(base, base + 3), *range(base + 4, base + 20)):
                with socket.socket() as sock:
                    sock.bind((address, port))
        except OSError:
            continue
        return base, base + 1, base + 2, base + 4


# Exit status of a case whose rule was broken; Python itself exits with 1 on errors.
BROKEN_STATUS = 3


def run_case(main):
    """Return the exit status of a case for `run.sh`; 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return BROKEN_STATUS if main() else 0
    except Exception:
        traceback.print_exc()
        return 2


class Channel:
    """A client's kept connection to a gateway."""

    def __init__(self, fleet, address):
        self.sock = socket.create_connection((address, fleet.front), 2.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, method, path, request_id, key, limit_ms, body=b"", headers=()):
        """Send a request; return the time at which its last byte was sent."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {limit_ms}",
            f"X-Credential: {key}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return time.monotonic()

    def receive(self, seconds):
        """Return status, headers and body of a response.

        The status is 0 without a response in time, and the body None if it is not
        complete.
        """
        self.sock.settimeout(seconds)
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                more = self.sock.recv(65536)
                if not more:
                    return 0, {}, None
                data += more
            head, _, data = data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines[1:])
            }
            return int(lines[0].split()[1]), headers, self._body(headers, data)
        except OSError:
            return 0, {}, None

    def _body(self, headers, data):
        if headers.get("transfer-encoding") == "chunked":
            return self._chunks(data)
        length = int(headers.get("content-length", 0))
        while len(data) < length:
            more = self.sock.recv(65536)
            if not more:
                return None
            data += more
        return data[:length]

    def _chunks(self, data):
        body = b""
        while True:
            while b"\r\n" not in data:
                data = self._more(data)
            line, _, data = data.partition(b"\r\n")
            size = int(line, 16)
            while len(data) < size + 2:
                data = self._more(data)
            if not size:
                return body
            body, data = body + data[:size], data[size + 2 :]

    def _more(self, data):
        more = self.sock.recv(65536)
        if not more:
            raise OSError("the connection ended within the body")
        return data + more

    def close(self):
        """Close the connection."""
        self.sock.close()
