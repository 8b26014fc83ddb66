"""The callers' port with a real scheduler, in this process, and its callers."""

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
# Beyond this an answer is not parsed until its connection ends.
LARGE_BYTES = 1 << 20


@dataclass
class FakeBroker:
    """Grants every demand a permit for the first target of its pool."""

    store: ConfigurationStore
    acquired: list = field(default_factory=list)
    released: list = field(default_factory=list)
    withdrawn: list = field(default_factory=list)
    on_acquire: object = lambda demand: None

    def acquire(self, demand):
        """Grant at once."""
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
        """Note a demand whose caller has gone."""
        self.withdrawn.append(demand.request_id)

    def release(self, permit, completion):
        """Note the end of a permit."""
        self.released.append(completion)

    def is_valid(self, permit):
        """Tell that a permit is valid unless it is preempted."""
        return permit.preempted is None


class Entry:
    """The callers' port before given targets.

    Parameters
    ----------
    targets : dict
        URL by target id, or by (target id, service).
    limits : dict
        Time limits of both services.
    max_requests, reserve_threads : int
        As the settings of the same names.
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
        settings = SimpleNamespace(instance="e1", max_requests=max_requests)
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
        """Put the document in force."""
        self.store.offer(next(self._versions), orjson.dumps(self.document), "test")

    def connect(self):
        """Return a new connection of a caller."""
        address = ("127.0.0.1", self.server.port)
        return socket.create_connection(address, timeout=TIMEOUT_SECONDS)

    def send(self, method, path, body=b"", workspace="partner-a", headers=()):
        """Return a connection on which a request has been sent."""
        sock = self.connect()
        sock.sendall(request_bytes(method, path, body, workspace, headers))
        return sock

    def call(self, *request, **more):
        """Return the `Answer` to a request."""
        with self.send(*request, **more) as sock:
            return read_answer(sock)


@dataclass(frozen=True)
class Answer:
    """What a caller received.

    Parameters
    ----------
    whole : bool
        Whether the HTTP framing says that nothing is missing.
    """

    status: int
    headers: dict
    body: bytes
    whole: bool
    raw_head: bytes

    @property
    def error(self):
        """The documented error in the body."""
        return orjson.loads(self.body)["error"]

    @property
    def outcome(self):
        """The outcome told in the header."""
        return self.headers.get("x-almondglade-outcome")


def request_bytes(method, path, body=b"", workspace="partner-a", headers=()):
    """Return a request as it is sent."""
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
    """Return what arrives until the connection ends or its answer does."""
    data = bytearray()
    with contextlib.suppress(ConnectionError):
        while len(data) > LARGE_BYTES or not parse_answer(bytes(data)).whole:
            piece = sock.recv(65536)
            if not piece:
                break
            data += piece
    return bytes(data)


def read_answer(sock):
    """Return the `Answer` that arrives on a connection."""
    return parse_answer(read_all(sock))


def parse_answer(data):
    """Return the `Answer` in what has arrived so far."""
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
    """Return a chunked body and whether its last chunk has arrived."""
    body = b""
    while True:
        size, end, data = data.partition(b"\r\n")
        if not end:
            return body, False
        if int(size, 16) == 0:
            return body, True
        body += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
