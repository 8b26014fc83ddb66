"""Parse requests strictly and write responses with few copies."""

import io
import re
import socket
import threading
import time
from typing import Any

from cheroot import server, wsgi

from ..outcome import Code, Outcome, RequestError
from ..sockets import reset_on_close

MAX_HEAD_BYTES = 32 << 10
MAX_HEADERS = 100
# Limits on discarding an unread body. Closing without reading it could reset the
# connection before the caller has received the response. The semaphore limits the
# connections that do so concurrently, to fewer than the threads beyond those of the
# requests in progress.
DRAIN_BYTES = 4 << 20
DRAIN_SECONDS = 1.0
DRAIN_SLOTS = threading.BoundedSemaphore(32)
MAX_READ_BYTES = 1 << 16
OVERLOADED_RETRY_AFTER_SECONDS = 1.0

VERSIONS = frozenset({b"HTTP/1.0", b"HTTP/1.1"})
URI = re.compile(rb"[\x21-\x7e]+")
HEADER = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*"
    rb"((?:[^\x00-\x08\x0a-\x20\x7f](?:[^\x00-\x08\x0a-\x1f\x7f]*"
    rb"[^\x00-\x08\x0a-\x20\x7f])?)?)[ \t]*\r\n"
)
DIGITS = re.compile(rb"[0-9]{1,18}")
UNREPEATABLE_HEADERS = (
    b"host",
    b"content-length",
    b"transfer-encoding",
    b"authorization",
    b"idempotency-key",
    b"content-type",
)

CODE_BY_STATUS = {
    408: Code.CALLER_TIMEOUT,
    413: Code.HEAD_TOO_LARGE,
    414: Code.HEAD_TOO_LARGE,
    500: Code.INTERNAL,
    503: Code.OVERLOADED,
}


class StrictHeaderReader(server.HeaderReader):
    """Parses headers; rejects any that another parser could interpret differently.

    Attributes
    ----------
    header_pairs : list of (str, str)
        All headers in order, including repeated ones.
    expects_continue : bool
        Whether the caller waits for ``100 Continue`` before it sends the body. The
        header is hidden from cheroot, which would send ``100 Continue`` before the
        API key is checked.
    """

    def __init__(self):
        self.header_pairs = []
        self.expects_continue = False

    def __call__(self, rfile, hdict=None):
        """Return the headers by title-case name; the first value of each.

        Raises
        ------
        ValueError
            If a header is malformed, repeated or ambiguous.
        """
        hdict = {} if hdict is None else hdict
        for name, value in self._read(rfile):
            hdict.setdefault(name.title(), value)
            self.header_pairs.append((name.decode("latin-1"), value.decode("latin-1")))
        self._check(hdict)
        expected = hdict.pop(b"Expect", b"")
        self.expects_continue = expected.lower() == b"100-continue"
        return hdict

    def _read(self, rfile):
        for _ in range(MAX_HEADERS + 1):
            line = rfile.readline()
            if line == b"\r\n":
                return
            match = HEADER.fullmatch(line)
            if match is None:
                raise ValueError("a header line is malformed")
            yield match.groups()
        raise ValueError("there are too many headers")

    def _check(self, hdict):
        names = [name.lower().encode("latin-1") for name, _ in self.header_pairs]
        for name in UNREPEATABLE_HEADERS:
            if names.count(name) > 1:
                raise ValueError(f"the header {name.decode()} is repeated")
        length = hdict.get(b"Content-Length")
        coding = hdict.get(b"Transfer-Encoding")
        if length is not None and not DIGITS.fullmatch(length):
            raise ValueError("the header content-length is malformed")
        if coding is not None and (length is not None or coding.lower() != b"chunked"):
            raise ValueError("the length of the body is not clear")


class StrictRequest(server.HTTPRequest):
    """One request on a caller's connection."""

    def __init__(self, server, conn, proxy_mode=False, strict_mode=True):
        super().__init__(server, conn, proxy_mode, strict_mode)
        self.header_reader = StrictHeaderReader()
        self.passed_to_app = False
        # Room of the body in memory, until the request has ended.
        self.held_body: Any = None
        self._head = b""

    @property
    def header_pairs(self):
        """Headers in order, as (name, value) strings."""
        return self.header_reader.header_pairs

    @property
    def content_length(self):
        """Declared length of the body in bytes; None if it is chunked."""
        if self.chunked_read:
            return None
        return int(self.inheaders.get(b"Content-Length", 0))

    @property
    def expects_continue(self):
        """Whether the caller waits for ``100 Continue`` before it sends the body."""
        return self.header_reader.expects_continue

    def read_request_line(self):
        """Read the request line; reject anything but plain HTTP/1.0 or HTTP/1.1."""
        try:
            if not super().read_request_line():
                return False
        except ValueError:
            self.simple_response("400 Bad Request", "the request line is malformed")
            return False
        if self.request_protocol not in VERSIONS or not URI.fullmatch(self.uri):
            self.simple_response("400 Bad Request", "the request line is malformed")
            return False
        return True

    def read_request_headers(self):
        """Read the headers; ``100 Continue`` is sent later, with `send_continue`."""
        if not super().read_request_headers():
            return False
        http_1_1 = self.request_protocol == b"HTTP/1.1"
        if http_1_1 and b"Host" not in self.inheaders:
            self.simple_response("400 Bad Request", "the header host is missing")
            return False
        if not http_1_1 and b"Transfer-Encoding" in self.inheaders:
            self.simple_response("400 Bad Request", "HTTP/1.0 has no codings")
            return False
        if b"close" in self.inheaders.get(b"Connection", b"").lower():
            self.close_connection = True
        return True

    def send_continue(self):
        """Send ``100 Continue`` if the caller waits for it."""
        if self.expects_continue:
            self.header_reader.expects_continue = False
            self.conn.socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def respond(self):
        """Respond; reset an HTTP/1.0 connection if the response is incomplete."""
        self.passed_to_app = True
        try:
            super().respond()
        except BaseException:
            if self.response_protocol == "HTTP/1.0":
                self._reset_connection()
            raise
        if self._has_unread_body():
            self._drain()

    def write(self, chunk):
        """Send a chunk of the body immediately, after the head if it is unsent."""
        if self.chunked_write and chunk:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        head, self._head = self._head, b""
        self.conn.socket.sendall(head + chunk if head else chunk)

    def send_headers(self):
        """Prepare the head, which is sent together with the first chunk of the body.

        The connection is closed afterwards if the request's body was not read fully.
        """
        if self._has_unread_body():
            self.close_connection = True
        # No more reads follow, and `SEND_TIMEOUT` limits the writes.
        self.conn.socket.settimeout(None)
        wfile, self.conn.wfile = self.conn.wfile, io.BytesIO()
        try:
            super().send_headers()
            self._head = self.conn.wfile.getvalue()
        finally:
            self.conn.wfile = wfile

    def flush_head(self):
        """Send the head if no chunk of a body was sent with it."""
        if self._head:
            self.write(b"")

    def simple_response(self, status, msg=""):
        """Respond with the documented JSON error and close the connection."""
        code = CODE_BY_STATUS.get(int(str(status)[:3]), Code.BAD_REQUEST)
        error = RequestError(
            code,
            str(msg) or str(status)[4:].lower(),
            Outcome.UNKNOWN if self.passed_to_app else Outcome.NOT_RUN,
            OVERLOADED_RETRY_AFTER_SECONDS if code is Code.OVERLOADED else None,
        )
        body = error.document("")
        lines = [
            f"HTTP/1.1 {code.status} {code.text}",
            *(f"{name}: {value}" for name, value in error.headers()),
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        self.close_connection = True
        try:
            self.conn.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            self._drain()
        except OSError:
            return

    def _reset_connection(self):
        """Reset the connection (RST).

        Without chunked coding, a caller cannot detect a truncated body otherwise.
        """
        sock = self.conn.socket
        reset_on_close(sock)
        sock.close()
        # Prevents cheroot from closing the socket again without a reset.
        self.conn.linger = True

    def _has_unread_body(self):
        if self.chunked_read:
            return not getattr(self.rfile, "closed", False)
        return getattr(self.rfile, "remaining", 0) > 0

    def _drain(self):
        """Discard the unread body, as closing immediately could lose the response."""
        if not DRAIN_SLOTS.acquire(blocking=False):
            return
        try:
            self._discard(self.conn.socket)
        finally:
            DRAIN_SLOTS.release()

    @staticmethod
    def _discard(sock):
        sock.shutdown(socket.SHUT_WR)
        left = DRAIN_BYTES
        end = time.monotonic() + DRAIN_SECONDS
        while left > 0 and (wait := end - time.monotonic()) > 0:
            sock.settimeout(wait)
            data = sock.recv(MAX_READ_BYTES)
            if not data:
                return
            left -= len(data)


class StrictGateway(wsgi.Gateway_10):
    """Gateway that adds the request object to the WSGI environment."""

    def get_environ(self):
        """Return the WSGI environment with the request object."""
        return super().get_environ() | {REQUEST_KEY: self.req}

    def respond(self):
        """Send the application's response."""
        super().respond()
        self.req.flush_head()


REQUEST_KEY = "almondglade.request"
