"""Targets that run requests, keep a ledger of it, and fail as they are told."""

import http.server
import socket
import threading
import time

from almondglade.platform.front import WORKSPACE_HEADER

from .proxy import LOOPBACK, Proxy, reset

EVENTS = 12
EVENT_SECONDS = 0.02
CALL_SECONDS = 0.03
SEAL = "X-Response-Seal"


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, target, port=0):
        self.target = target
        self.sockets = set()
        super().__init__((LOOPBACK, port), _Handler)

    def get_request(self):
        """Accept a connection and remember it for a crash."""
        sock, address = super().get_request()
        self.sockets.add(sock)
        return sock, address

    def handle_error(self, request, client_address):
        """Say nothing: connections are cut on purpose."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = 20.0

    def log_message(self, *args):
        """Write nothing."""

    def do_GET(self):
        """Run a request."""
        target = self.server.target
        length = int(self.headers.get("Content-Length") or 0)
        self.rfile.read(length)
        request = self.headers.get("X-Request-Id", "")
        expected = self.headers.get("X-Expect-Instance")
        if expected != target.name:
            self._answer(421, b"", {"X-Not-Executed": "1"})
            return
        if self.headers.get("X-Credential"):
            target.ledger.breaks(f"{request} came with its key")
        if not target.take_place():
            self._answer(503, b"", {"X-Not-Executed": "1"})
            return
        try:
            self._run(target, request)
        finally:
            target.leave_place()

    do_POST = do_GET  # noqa: N815

    def _run(self, target, request):
        kind = self.path.split("/")[1]
        workspace = self.headers.get(WORKSPACE_HEADER, "")
        target.ledger.ran(request, target.name, workspace, kind != "book")
        fails = target.fails()
        if fails and target.failure == "reset":
            reset(self.connection)
            return
        if fails:
            self._answer(500, b"", {SEAL: request})
        elif kind == "stream":
            self._stream(target, request)
        else:
            time.sleep(CALL_SECONDS * target.slowness)
            self._answer(200, f"{request} done".encode(), {SEAL: request})

    def _stream(self, target, request):
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        self.send_response(200)
        self.send_header("X-Request-Id", request)
        self.send_header(SEAL, request)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(first, EVENTS + 1):
            time.sleep(EVENT_SECONDS * target.slowness)
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
        self.wfile.write(b"0\r\n\r\n")

    def _answer(self, status, body, headers):
        self.send_response(status)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class SoakTarget:
    """One target behind a proxy.

    Attributes
    ----------
    name : str
        Its id; another one after each crash.
    failure : {"", "reset", "500"}
        How each third request fails.
    """

    def __init__(self, name, ledger, slots=4):
        self.base, self.ledger, self.slots = name, ledger, slots
        self.starts = 0
        self.failure = ""
        self.slowness = 1.0
        self._running = 0
        self._count = 0
        self._lock = threading.Lock()
        self._server = None
        self.start()
        self.proxy = Proxy(self._server.server_port)

    @property
    def name(self):
        """Id of this start."""
        return f"{self.base}-{self.starts}"

    @property
    def url(self):
        """Where gateways reach it: through its proxy."""
        return f"http://{LOOPBACK}:{self.proxy.port}"

    def start(self):
        """Start, at the port that it had."""
        self.starts += 1
        port = self.proxy.target if self.starts > 1 else 0
        self._server = _Server(self, port)
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def crash(self):
        """End with a reset of all connections."""
        self._server.shutdown()
        self._server.server_close()
        for sock in self._server.sockets:
            reset(sock)

    def close(self):
        """End for good."""
        self.proxy.close()
        self.crash()

    def take_place(self):
        """Tell whether a request may run or queue."""
        with self._lock:
            self._running += 1
            if self._running <= 3 * self.slots:
                return True
            self._running -= 1
            return False

    def leave_place(self):
        """Return the place of a request."""
        with self._lock:
            self._running -= 1

    def fails(self):
        """Tell whether the next request fails."""
        self._count += 1
        return bool(self.failure) and self._count % 3 == 0


def free_port():
    """Return a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]
