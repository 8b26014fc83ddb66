"""Targets that record the requests they run and fail on demand."""

import http.server
import socket
import threading
import time
from functools import partial

from almondglade.platform.front import WORKSPACE_HEADER

from .proxy import LOOPBACK, Proxy, bind_free_port, reset

EVENT_COUNT = 12
EVENT_SECONDS = 0.02
RESPONSE_SECONDS = 0.03
SEAL_HEADER = "X-Response-Seal"
HEALTH_PATH = "/health"
# End of the path of a request that crashes each target that runs it.
CRASHING_PATH_END = "/crash"
# Start of the ids of parts of prompts that crash each target that runs such a request.
CRASHING_PART = "dead"
PROMPT_PARTS_HEADER = "X-Prompt-Prefix"
# In the path of a stream that only the end of its connection ends.
UNFRAMED_PATH = "/unframed/"
# Event of a stream after which it crashes its target.
CRASHING_EVENT = 2
# Event of a stream after which its target breaks it off, within the next one.
LAST_WHOLE_EVENT = 5
PARTIAL_EVENT = b"id: 6\nda"
# First parts of the paths of streams that may be resumed and that may not.
STREAM_KINDS = ("stream", "once")
# Refusals in a second that a brittle target bears.
REFUSAL_LIMIT = 4
# Every other stream that is cut has neither a length nor chunks. All others have: a
# reset begins with a shutdown here, after which a stream without them would look whole.
UNFRAMED_STREAM_INTERVAL = 2


def make_event(stream_id, number, version):
    """Return an event of a stream, which tells the version that generated it."""
    return f"id: {number}\ndata: {stream_id} {number} {version}\n\n".encode()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, target, port):
        self.target = target
        self.sockets = set()
        super().__init__((LOOPBACK, port), _Handler)

    def get_request(self):
        """Accept a connection and keep its socket to reset it in a crash."""
        sock, address = super().get_request()
        self.sockets.add(sock)
        return sock, address

    def handle_error(self, request, client_address):
        """Ignore errors, since connections are cut on purpose."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = 20.0

    def log_message(self, *args):
        """Log nothing."""

    def do_GET(self):
        """Check and run a request."""
        target = self.server.target
        length = int(self.headers.get("Content-Length") or 0)
        self.rfile.read(length)
        request_id = self.headers.get("X-Request-Id", "")
        if self.path == HEALTH_PATH:
            self._respond(200, b"", {"X-Instance-Id": target.name})
            return
        expected = self.headers.get("X-Expect-Instance")
        if expected != target.name:
            self._respond(421, b"", {"X-Not-Executed": "1"})
            return
        target.ledger.record_arrival(target.name)
        if self.headers.get("X-Credential"):
            target.ledger.record_violation(
                f"{request_id} was forwarded with its API key"
            )
        if not target.acquire_slot():
            self._respond(503, b"", {"X-Not-Executed": "1"})
            if target.must_fall():
                target.on_crash(target)
            return
        try:
            self._run(target, request_id)
        finally:
            target.release_slot()

    do_POST = do_GET  # noqa: N815

    def _run(self, target, request_id):
        kind = self.path.split("/")[1]
        workspace = self.headers.get(WORKSPACE_HEADER, "")
        repeatable = kind in ("look", "stream")
        target.ledger.record_run(request_id, target.name, workspace, repeatable)
        if self._is_crashing():
            if kind in STREAM_KINDS:
                self._stream(target, request_id, CRASHING_EVENT)
            target.on_crash(target)
            return
        must_fail = target.next_request_fails()
        if must_fail and target.failure_mode == "cut" and kind == "stream":
            target.ledger.record_cut_stream(request_id)
            self._stream(target, request_id, LAST_WHOLE_EVENT, PARTIAL_EVENT)
            return
        if must_fail and target.failure_mode != "500":
            reset(self.connection)
            return
        if must_fail:
            self._respond(500, b"", {SEAL_HEADER: request_id})
        elif kind in STREAM_KINDS:
            self._stream(target, request_id)
        else:
            time.sleep(RESPONSE_SECONDS * target.slowdown)
            self._respond(200, f"{request_id} done".encode(), {SEAL_HEADER: request_id})

    def _is_crashing(self):
        entries = self.headers.get(PROMPT_PARTS_HEADER, "").split(",")
        return self.path.endswith(CRASHING_PATH_END) or any(
            entry.startswith(CRASHING_PART) for entry in entries
        )

    def _stream(self, target, request_id, last_event=EVENT_COUNT, partial=b""):
        first_event = int(self.headers.get("Last-Event-Id") or 0) + 1
        stream_id = self.headers.get("Resumes", request_id)
        is_chunked = UNFRAMED_PATH not in self.path and not (
            partial and target.next_cut_is_unframed()
        )
        self.close_connection = not is_chunked or bool(partial)
        self.send_response(200)
        self.send_header("X-Request-Id", request_id)
        self.send_header(SEAL_HEADER, request_id)
        self._send_limits()
        self.send_header("Content-Type", "text/event-stream")
        if is_chunked:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(first_event, last_event + 1):
            time.sleep(EVENT_SECONDS * target.slowdown)
            self._write_part(make_event(stream_id, number, target.version), is_chunked)
        if partial:
            self._write_part(partial, is_chunked)
        if is_chunked and (partial or last_event == EVENT_COUNT):
            self.wfile.write(b"0\r\n\r\n")

    def _write_part(self, data, is_chunked):
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data) if is_chunked else data)

    def _send_limits(self):
        target = self.server.target
        if target.rate_limit is not None:
            self.send_header("Server-Limit", str(target.rate_limit))
        if target.is_brittle:
            self.send_header("Server-Brittle", str(REFUSAL_LIMIT))

    def _respond(self, status, body, headers):
        self.send_response(status)
        self._send_limits()
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class SoakTarget:
    """A target behind a proxy that can fail, slow down and crash.

    Attributes
    ----------
    name : str
        Its id, which changes with each restart.
    failure_mode : {"", "reset", "500", "cut"}
        How every third request fails; empty if none does. Only streams can be cut,
        within an event; other requests are reset.
    on_crash : callable
        Called with the target when a request crashes it.
    rate_limit : float or None
        Requests per second that it names in its responses; None if it names none.
    is_brittle : bool
        Whether it has no queue and ends after more than `REFUSAL_LIMIT` refusals in a
        second, which it says in its responses.
    """

    def __init__(self, name, ledger, slots=4, version="v1"):
        self.base_name, self.ledger, self.slots = name, ledger, slots
        self.version = version
        self.on_crash = lambda target: target.crash()
        self.start_count = 0
        self.failure_mode = ""
        self.slowdown = 1.0
        self.rate_limit = None
        self.is_brittle = False
        self._refused_at = []
        self._in_progress = 0
        self._request_count = 0
        self._cut_count = 0
        self._lock = threading.Lock()
        self._server = None
        self.start()
        self.proxy = Proxy(self._server.server_port)

    @property
    def name(self):
        """Id of the target since its last start."""
        return f"{self.base_name}-{self.start_count}"

    @property
    def url(self):
        """URL for gateways, which leads through the proxy."""
        return f"http://{LOOPBACK}:{self.proxy.port}"

    def start(self):
        """Start the server, after a crash at its former port."""
        self.start_count += 1
        self._server = (
            _Server(self, self.proxy.upstream_port)
            if self.start_count > 1
            else bind_free_port(partial(_Server, self))
        )
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def crash(self):
        """Stop the server and reset all its connections."""
        self._server.shutdown()
        self._server.server_close()
        self.reset_connections()

    def reset_connections(self):
        """Reset all connections of the server, which goes on."""
        sockets, self._server.sockets = self._server.sockets, set()
        for sock in sockets:
            reset(sock)

    def close(self):
        """Close the proxy and stop the server."""
        self.proxy.close()
        self.crash()

    def acquire_slot(self):
        """Return whether a request may run or queue, and count it if so."""
        with self._lock:
            self._in_progress += 1
            room = self.slots if self.is_brittle else 3 * self.slots
            if self._in_progress <= room:
                return True
            self._in_progress -= 1
            return False

    def must_fall(self):
        """Record a refusal and return whether the target ends because of it."""
        now = time.monotonic()
        with self._lock:
            recent = [at for at in self._refused_at if now - at < 1.0]
            self._refused_at = [*recent, now]
            must_fall = self.is_brittle and len(self._refused_at) > REFUSAL_LIMIT
            if must_fall:
                self._refused_at = []
        if must_fall:
            self.ledger.record_fall(self.name)
        return must_fall

    def release_slot(self):
        """Release the slot of a request that ended."""
        with self._lock:
            self._in_progress -= 1

    def next_request_fails(self):
        """Count a request and return whether it is to fail."""
        self._request_count += 1
        return bool(self.failure_mode) and self._request_count % 3 == 0

    def next_cut_is_unframed(self):
        """Count a cut stream and return whether its connection marks its end."""
        self._cut_count += 1
        return self._cut_count % UNFRAMED_STREAM_INTERVAL == 0


def free_port():
    """Return a port that was free when checked."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]
