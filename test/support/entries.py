"""An in-process caller-facing server with a real scheduler, and a raw client."""

import contextlib
import itertools
import socket
from dataclasses import dataclass, field
from types import SimpleNamespace

import orjson

from almondglade import messages as m
from almondglade.configuration import ConfigurationStore
from almondglade.dispatch.connections import TargetPools
from almondglade.entry.app import EntryApp
from almondglade.entry.scheduling import Scheduler
from almondglade.httpserver import HttpServer
from almondglade.permits import Permit
from bench.fleet import sample_declarations

TIMEOUT_SECONDS = 20.0
# A larger response is parsed only after its connection has ended.
MAX_REPARSED_BYTES = 1 << 20


@dataclass
class FakeBroker:
    """Grants each demand at once, on the first target that it does not avoid."""

    store: ConfigurationStore
    acquired: list = field(default_factory=list)
    released: list = field(default_factory=list)
    withdrawn: list = field(default_factory=list)
    on_acquire: object = lambda demand: None

    def acquire(self, demand):
        """Return a permit immediately."""
        self.on_acquire(demand)
        targets = self.store.declarations.targets_of(demand.pool)
        target = next(
            (t for t in targets if t not in demand.avoid), next(iter(targets))
        )
        state = m.TargetState(target, "", 1.0)
        grant = m.Grant(demand.request_id, demand.pool, 1, "", target, 0.0, state)
        permit = Permit(demand, grant, 0.0)
        self.acquired.append(permit)
        return permit

    def withdraw(self, demand):
        """Record a demand whose caller has disconnected."""
        self.withdrawn.append(demand.request_id)

    def release(self, permit, completion):
        """Record the completion of a permit."""
        self.released.append(completion)

    def is_valid(self, permit):
        """Return whether a permit is valid, i.e. has not been preempted."""
        return permit.preempted is None


class Entry:
    """Caller-facing server in front of the given targets.

    Parameters
    ----------
    targets : dict
        URL by target id, or by (target id, service).
    limits : dict
        Time limits of both services.
    max_requests, reserve_threads : int
        Same as the settings of these names.
    """

    def __init__(self, targets, limits=None, max_requests=64, reserve_threads=8):
        self.document = sample_declarations()
        for service in self.document["services"].values():
            service["limits"] = limits or {}
        self.document["targets"] = {
            name: {
                "service": "drafts" if name.startswith("d") else "bookings",
                "data_centre": "muc-a",
                "url": url,
            }
            for name, url in targets.items()
        }
        self.store = ConfigurationStore()
        self.broker = FakeBroker(self.store)
        self.pools = TargetPools()
        self.scheduler = Scheduler(self.broker, self.store, self.pools)
        settings = SimpleNamespace(
            instance="e1", max_requests=max_requests, memory_mb=512
        )
        self.app = EntryApp(settings, "i1", self.scheduler, self.store)
        self.server = HttpServer(
            "127.0.0.1", 0, self.app, max_requests + reserve_threads
        )
        self._versions = itertools.count(1)

    def __enter__(self):
        self.publish()
        self.server.start()
        return self

    def __exit__(self, *exc):
        self.server.stop()

    def publish(self):
        """Apply the document as the next configuration version."""
        self.store.offer(next(self._versions), orjson.dumps(self.document), "test")

    def connect(self):
        """Open a caller's connection to the server."""
        address = ("127.0.0.1", self.server.port)
        return socket.create_connection(address, timeout=TIMEOUT_SECONDS)

    def send(self, method, path, body=b"", workspace="partner-a", headers=()):
        """Send a request on a new connection and return the connection."""
        sock = self.connect()
        sock.sendall(request_bytes(method, path, body, workspace, headers))
        return sock

    def call(self, *request, **more):
        """Send a request and return its `Answer`."""
        with self.send(*request, **more) as sock:
            return read_answer(sock)


@dataclass(frozen=True)
class Answer:
    """A response as its caller received it.

    Parameters
    ----------
    whole : bool
        Whether the response is complete according to its HTTP framing.
    """

    status: int
    headers: dict
    body: bytes
    whole: bool
    raw_head: bytes

    @property
    def error(self):
        """The error object in the JSON body."""
        return orjson.loads(self.body)["error"]

    @property
    def outcome(self):
        """Value of the outcome header, or None."""
        return self.headers.get("x-almondglade-outcome")


def request_bytes(method, path, body=b"", workspace="partner-a", headers=()):
    """Return the bytes of an HTTP request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer key-{workspace}",
        *headers,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def read_all(sock):
    """Read until the response is complete or the connection ends."""
    data = bytearray()
    with contextlib.suppress(ConnectionError):
        while len(data) > MAX_REPARSED_BYTES or not parse_answer(bytes(data)).whole:
            piece = sock.recv(65536)
            if not piece:
                break
            data += piece
    return bytes(data)


def read_answer(sock):
    """Read a response from a connection and return it as an `Answer`."""
    return parse_answer(read_all(sock))


def parse_answer(data):
    """Parse the bytes received so far, possibly incomplete, into an `Answer`."""
    head, end, rest = data.partition(b"\r\n\r\n")
    if not end:
        return Answer(0, {}, b"", False, head)
    status_line, *lines = head.decode("latin-1").split("\r\n")
    pairs = [line.split(": ", 1) for line in lines]
    headers = {name.lower(): value for name, value in pairs}
    status = int(status_line.split()[1])
    if headers.get("transfer-encoding") == "chunked":
        body, whole = join_chunks(rest)
    else:
        length = int(headers.get("content-length", 0))
        body, whole = rest, len(rest) >= length
    return Answer(status, headers, body, whole, head)


def join_chunks(data):
    """Return a decoded chunked body and whether its last chunk has arrived."""
    body = b""
    while True:
        size, end, data = data.partition(b"\r\n")
        if not end:
            return body, False
        if int(size, 16) == 0:
            return body, True
        body += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
