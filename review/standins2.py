"""Stand-ins for the scripts of this review: store, runners, clients, gateway processes.

All run in one event loop on loopback addresses; only the gateways are processes. The
stand-ins follow PROTOCOL.md; what a script disturbs is a method of its own.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-of-tenant-one"
TENANT = "tenant-one"
# As the configuration states for the engines of a service.
TOKENS_PER_EVENT = 4
BOUNDS = {
    "seedLagS": 3,
    "reuseDelayS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "revokeFailClosed": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 58,
    "quotaWindowS": 8,
    "quotaOverage": 0.25,
    "quotaSlack": 110000,
    "coldOverage": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 6.5,
}
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request"}


def is_troubled():
    """Return whether the script shall bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes to record.txt what was sent, answered and run, and when."""

    def __init__(self, folder):
        self.began_at = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def __call__(self, kind, **fields):
        """Write one line; return its time."""
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:9.3f} {kind} {text}\n")
        self.file.flush()
        return at


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body of a request."""
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def head_bytes(status, headers):
    """Return the bytes of a response head."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Listener:
    """A port on a loopback address whose connections can be closed at any time."""

    def __init__(self, address="127.0.0.1", port=0):
        self.address = address
        self.port = port
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def listen(self):
        """Accept connections; on the port of before, if there was one."""
        self.server = await asyncio.start_server(
            self._accept, self.address, self.port, reuse_address=True, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader, writer):
        """Serve one connection."""
        raise NotImplementedError

    def end(self):
        """Close the port and all connections, like a process that is killed."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Store:
    """The platform's store: items, revisions, watches, and a copy to come back from."""

    def __init__(self, record, era=0):
        self.record = record
        self.era = era
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()
        self.is_silent = False
        self.ports = []
        self.copy = None

    async def open_port(self):
        """Return a new `StorePort` of the store, for one gateway."""
        port = StorePort(self)
        await port.listen()
        self.ports.append(port)
        return port

    async def put(self, key, value, quiet=False):
        """Write an item; return the time of the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.revision += 1
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (data, self.revision, created)
            self.events.append((self.revision, key, data, created))
            self.changed.notify_all()
        if not quiet:
            self.record("store", wrote=key, revision=self.revision)
        return time.monotonic()

    async def remove(self, key):
        """Remove an item; return the time of the acknowledgement."""
        async with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append((self.revision, key, None, 0))
            self.changed.notify_all()
        self.record("store", removed=key, revision=self.revision)
        return time.monotonic()

    def take_copy(self):
        """Keep the present state for `restore`."""
        self.copy = (dict(self.items), list(self.events), self.revision)
        self.record("store", copied_at=self.revision)

    def restore(self):
        """Come back from the copy, in the next era."""
        items, events, self.revision = self.copy
        self.items, self.events = dict(items), list(events)
        self.era += 1
        self.record("store", restored_to=self.revision, era=self.era)

    def cut_watches(self):
        """Close the channels of all waiting watches."""
        count = sum(port.cut_watches() for port in self.ports)
        self.record("store", cut_watches=count)

    async def go_down(self):
        """Answer nothing, on open and on new channels, until `come_up`."""
        self.is_silent = True
        self.record("store", down="silent")

    async def come_up(self):
        """Answer again; channels on which an answer was lost stay silent."""
        self.is_silent = False
        async with self.changed:
            self.changed.notify_all()
        self.record("store", up=True)


class StorePort(Listener):
    """The address at which one gateway reaches the store."""

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.watching = set()
        self.is_refusing = False

    def cut_watches(self):
        """Close the channels whose watch waits; return their number."""
        watching = list(self.watching)
        for writer in watching:
            writer.close()
        return len(watching)

    async def serve(self, reader, writer):
        """Serve the calls of one channel."""
        lost = False
        while (head := await read_head(reader)) is not None:
            if self.is_refusing:
                return
            path = head[0].split(" ")[1]
            parts = urlsplit(path)
            query = {k: v[0] for k, v in parse_qs(parts.query).items()}
            lost = lost or self.store.is_silent
            status, content = await self._answer(parts.path, query, writer)
            lost = lost or self.store.is_silent
            if lost:
                # A channel on which an answer is lost returns nothing further.
                continue
            body = json.dumps(content).encode()
            headers = [("Content-Type", "application/json")]
            headers.append(("Content-Length", len(body)))
            if self.store.era:
                headers.append(("Store-Era", self.store.era))
            writer.write(head_bytes(status, headers) + body)
            await writer.drain()

    async def _answer(self, path, query, writer):
        store = self.store
        if path == "/api/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            items = [
                self._item(key, *store.items[key])
                for key in sorted(store.items)
                if key.startswith(prefix) and key > after
            ]
            return 200, {"items": items, "hasMore": False, "at": store.revision}
        if path == "/api/kv-key":
            key = query["key"]
            if key not in store.items:
                return 404, {"at": store.revision}
            return 200, self._item(key, *store.items[key]) | {"at": store.revision}
        if path == "/api/kv-watch":
            return await self._watch(query, writer)
        return 404, {}

    @staticmethod
    def _item(key, data, revision, created):
        return {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "createdAt": created,
            "lease": 0,
        }

    async def _watch(self, query, writer):
        store, era = self.store, self.store.era
        after, prefix = int(query["after"]), query.get("pathPrefix", "")
        if after > store.revision:
            return 410, {}

        def events():
            return [e for e in store.events if e[0] > after and e[1].startswith(prefix)]

        self.watching.add(writer)
        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                async with store.changed:
                    await store.changed.wait_for(lambda: events() or store.era != era)
        except TimeoutError:
            pass
        finally:
            self.watching.discard(writer)
        if store.era != era and after > store.revision:
            return 410, {}
        found = [
            {"key": key, "revision": revision, "deleted": True}
            if data is None
            else self._item(key, data, revision, created)
            for revision, key, data, created in events()
        ]
        return 200, {"events": found, "at": store.revision}


class Runner(Listener):
    """One runner of a service; `handle` may be replaced by a script.

    Parameters
    ----------
    work_s : float
        Time of a plain request, or from one event of a stream to the next.
    events : int
        Events of a stream.
    """

    def __init__(self, name, service, record, version="v1", work_s=0.02, events=10):
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.version = version
        self.work_s = work_s
        self.event_count = events
        self.slots = 6
        self.zone = "z1"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.arrivals = []
        self.more_headers = []
        self.running = 0
        self.places = None

    async def listen(self):
        """Accept connections; as many requests run at a time as there are slots."""
        self.places = asyncio.Semaphore(self.slots)
        await super().listen()

    def entry(self, state="ready"):
        """Return the runner's entry in the store, with the next sequence number."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence,
            "born": self.born,
        }

    async def start_again(self, version=None):
        """End, and start again under the same id and address as a new boot."""
        self.end()
        await asyncio.sleep(0.3)
        self.version = version or self.version
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        await self.listen()
        self.record("runner", started_again=self.name, version=self.version)

    async def serve(self, reader, writer):
        """Serve the requests of one channel."""
        while (head := await read_head(reader)) is not None:
            method, path, _ = head[0].split(" ")
            headers = head[1]
            body = await read_body(reader, headers)
            if path == "/health":
                # A status check waits for a place like any other request.
                async with self.places:
                    answer = [("X-Instance-Id", self.name), ("Content-Length", 0)]
                    writer.write(head_bytes(200, answer))
            elif path == "/api/report":
                self._write_json(writer, self.report())
            elif path == "/api/kv-list":
                # The epoch changes at a restart.
                content = {"epoch": self.born, "next": 1, "held": self.held()}
                self._write_json(writer, content | {"born": self.born})
            elif headers.get("x-expect-instance", self.name) != self.name:
                answer = [("X-Instance-Id", self.name), ("Content-Length", 0)]
                answer.append(("X-Request-Id", headers.get("x-request-id", "")))
                writer.write(head_bytes(421, answer))
            else:
                async with self.places:
                    self.running += 1
                    try:
                        await self.handle(method, path, headers, body, writer)
                    finally:
                        self.running -= 1
            await writer.drain()

    def held(self):
        """Return the parts of prompts that the runner keeps."""
        return []

    def report(self):
        """Return what the runner tells of its state."""
        return {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "born": self.born,
        }

    @staticmethod
    def _write_json(writer, content):
        body = json.dumps(content).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", len(body))]
        writer.write(head_bytes(200, headers) + body)

    def answer_headers(self, headers):
        """Return the headers that each answer to a request has."""
        return [
            ("X-Request-Id", headers.get("x-request-id", "")),
            ("X-Response-Seal", f"seal-{self.name}-{self.version}"),
            ("X-Weight-Versions", 1),
            *self.more_headers,
        ]

    def note_arrival(self, method, path, headers):
        """Record that a request runs here."""
        request = headers.get("x-request-id", "")
        self.arrivals.append((time.monotonic(), request))
        self.record(
            "runs",
            runner=self.name,
            version=self.version,
            request=request,
            path=path,
            after=headers.get("last-event-id", ""),
            tenant=headers.get("x-tenant-id", ""),
        )

    async def handle(self, method, path, headers, body, writer):
        """Run one request."""
        self.note_arrival(method, path, headers)
        if path.startswith("/stream/"):
            await self.stream(headers, writer)
            return
        await asyncio.sleep(self.work_s)
        await self.answer(headers, writer)

    async def answer(self, headers, writer):
        """Write the answer of a plain request."""
        text = f"{self.name} {headers.get('x-request-id', '')}".encode()
        answer = [*self.answer_headers(headers), ("Content-Length", len(text))]
        writer.write(head_bytes(200, answer) + text)

    async def stream(self, headers, writer):
        """Write the events of a stream, in chunks."""
        answer = [*self.answer_headers(headers), ("Content-Type", "text/event-stream")]
        answer.append(("Transfer-Encoding", "chunked"))
        writer.write(head_bytes(200, answer))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, self.event_count + 1):
            await asyncio.sleep(self.work_s)
            await self.before_event(headers, number, writer)
            event = f"id: {number}\ndata: {self.version} {self.name} {number}\n\n"
            writer.write(b"%x\r\n%b\r\n" % (len(event), event.encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def before_event(self, headers, number, writer):
        """Do nothing; a script may fall silent or break the stream off here."""


class EngineRunner(Runner):
    """A runner that keeps the last parts of prompts, with what it has generated."""

    def __init__(self, *args):
        super().__init__(*args)
        self.kept = {}

    def held(self):
        """Return the parts of prompts that the runner keeps."""
        return [["", part, tokens, "m"] for part, tokens in self.kept.items()]

    async def start_again(self, version=None):
        """End, and start again with nothing kept."""
        await super().start_again(version)
        self.kept = {}

    async def before_event(self, headers, number, writer):
        """Keep what the request has read and generated so far."""
        part, own = headers["x-prompt-prefix"].split(",")[-1].split(":")
        tokens = int(own) + number * TOKENS_PER_EVENT
        self.kept[part] = max(tokens, self.kept.get(part, 0))


def make_route(prefix, kind, service, **terms):
    """Return a route of the configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 600,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "publicAccess": False,
        "sessionAffinity": kind == "streaming",
        "streamResume": kind == "streaming",
        "gapTargetMs": 500,
    } | terms


def make_config(version, routes, keys=(KEY,), engines=(), plain=()):
    """Return a configuration."""
    engine = {
        "slots": 6,
        "kvCapacityTokens": 255296,
        "kvTokenBytes": 163840,
        "linkMbps": 550000.0,
        "moves": True,
        "backups": True,
        "stride": TOKENS_PER_EVENT,
        "most": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handleS": 5.0,
        "models": [{"name": "m"}],
    }
    base = {
        "healthPath": "/health",
        "maxConnections": 370,
        "protocol": "h1",
        "tls": False,
        "coldS": 0.0,
        "coldPerS": 0.0,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            *({"name": name, **base, "engine": engine} for name in engines),
            *({"name": name, **base} for name in plain),
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "apiKeys": list(keys),
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 0,
                "burst": 0,
            }
        ],
    }


def free_ports(addresses, count):
    """Return ports that are free on all addresses, for TCP and UDP."""
    found = []
    for port in random.sample(range(20000, 32000), 4000):
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
        except OSError:
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")


class Gateways:
    """The gateway processes, as the deploy file starts them.

    Parameters
    ----------
    store_ports : list of StorePort
        The store as each gateway reaches it.
    """

    def __init__(self, record, store_ports, bounds=(), first_start=True):
        self.record = record
        self.store_ports = store_ports
        self.bounds = BOUNDS | dict(bounds)
        self.is_first_start = first_start
        base = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.addresses = [f"{base}.{n + 1}" for n in range(len(store_ports))]
        self.front, self.ready, self.control, self.peer = free_ports(self.addresses, 4)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gateways-"))
        self.processes = [None] * len(store_ports)

    def _settings(self, number):
        lines = [
            f'nodeName = "edge-{number + 1}"',
            'role = "gateway"',
            'machineClass = "edge"',
            'serves = ["edge","control_plane"]',
            f'ip = "{self.addresses[number]}"',
            'zone = "z1"',
            'region = "geo"',
            f"internalPorts = [{self.peer},{self.peer}]",
            "seedNodes = ["
            + ",".join(f'"{each}:{self.control}"' for each in self.addresses[:3])
            + "]",
            f"bootstrap = {'true' if self.is_first_start else 'false'}",
            "faultCounted = false",
            'discovery = "platform"',
            'entryMode = "vip"',
            "heartbeatMs = 1200",
            "[zones]",
            'z1 = "geo"',
            "[listen]",
            f'front = "{self.addresses[number]}:{self.front}"',
            f'ready = "{self.addresses[number]}:{self.ready}"',
            f'control = "{self.addresses[number]}:{self.control}"',
            "[limits]",
            "cpuShare = 0.537",
            "cpuCores = 2",
            "memoryMb = 150",
            "maxFds = 4100",
            "linkMbps = 1000.0",
            "diskMb = 0",
            "[faultTolerance]",
            "machines = 2",
            "zones = 1",
            "regions = 0",
            "[bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in self.bounds.items()),
            "[platform]",
            f'address = "127.0.0.1:{self.store_ports[number].port}"',
            'form = "read"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "minTtlMs = 1000",
        ]
        path = self.folder / f"settings-{number + 1}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, number):
        """Start one gateway."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ALMONDGLADE_CONFIG": str(self._settings(number)),
        }
        log = open(self.folder / f"log-{number + 1}.txt", "ab")
        self.processes[number] = subprocess.Popen(
            ["python3", "target/app", "gateway"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.record("gateway", started=number + 1)

    async def start_all(self):
        """Start all gateways and wait until they are ready."""
        for number in range(len(self.addresses)):
            self.start(number)
        for number in range(len(self.addresses)):
            await self.wait_ready(number)
        self.is_first_start = False

    async def is_ready(self, number):
        """Return whether a gateway says that it is ready."""
        answer = await call(
            self.addresses[number], self.ready, "GET", "/api/ready", {}, 1.0
        )
        return answer.status == 200

    async def wait_ready(self, number, seconds=15.0):
        """Wait until a gateway is ready."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready(number):
                self.record("gateway", ready=number + 1)
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"gateway {number + 1} is not ready")

    def signal(self, number, which):
        """Send a signal to one gateway."""
        self.processes[number].send_signal(which)
        self.record("gateway", signal=signal.Signals(which).name, to=number + 1)

    def logs(self, number):
        """Return what a gateway has written so far."""
        return (self.folder / f"log-{number + 1}.txt").read_text(errors="replace")

    def close(self):
        """End all gateways that still run."""
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got: status 0 without an answer, and whether it was complete."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.events = []
        self.sent_at = self.ended_at = time.monotonic()


_ids = itertools.count(1)


def new_id():
    """Return the id of a new client attempt."""
    return f"{random.getrandbits(40):010x}{next(_ids):06x}"


async def call(address, port, method, path, headers, seconds, body=b"", on_chunk=None):
    """Send a request on a new channel and return the `Answer`."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(address, port)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            answer.sent_at = time.monotonic()
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await _read_answer(reader, answer, method, on_chunk)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
        answer.ended_at = time.monotonic()
    return answer


async def _read_answer(reader, answer, method, on_chunk):
    head = await read_head(reader)
    if head is None:
        return
    answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]

    def add(data):
        answer.body += data
        if on_chunk is not None:
            on_chunk(data)

    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).strip() or b"x", 16):
            add(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        answer.is_complete = True
    elif "content-length" in answer.headers:
        add(await reader.readexactly(int(answer.headers["content-length"])))
        answer.is_complete = True
    else:
        while data := await reader.read(1 << 16):
            add(data)
        answer.is_complete = True


class CannotRun(Exception):
    """The case could not be run."""


def run_case(folder, case):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Parameters
    ----------
    case : callable
        Takes the `Record` and an `ExitStack`; returns whether the rule was broken.
    """

    async def run():
        record = Record(folder)
        record("start", trouble=int(is_troubled()))
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.timeout(110):
                is_broken = await case(record, stack)
            record("end", broken=is_broken)
        return 1 if is_broken else 0

    try:
        status = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        print("the case could not run:", repr(error), file=sys.stderr)
        status = 2
    sys.exit(status)
