"""Pass a connection to a worker thread only once a request has arrived on it.

A caller that sends slowly, or not at all, occupies a socket but no thread, so the
threads stay available to other callers.
"""

import logging
import queue
import re
import resource
import socket
import struct
import threading
import time
from collections.abc import Callable

from cheroot import server, wsgi
from cheroot.makefile import MakeFile
from cheroot.workers.threadpool import ThreadPool

from ..deadlines import Deadlines
from ..log import get_logger
from ..sockets import set_options, shut_down
from .strict import MAX_HEAD_BYTES, StrictGateway, StrictRequest

log = get_logger("http")

# A connection without a request is closed after this time.
IDLE_SECONDS = 60
# Time limit for the arrival of a request's head and the gated part of its body.
HEAD_SECONDS = 10.0
# Time limit for a single read from the caller.
READ_SECONDS = 10.0
# Time limit for a single write to a caller that does not read. The kernel enforces it
# (SO_SNDTIMEO), which saves a system call for each write.
WRITE_SECONDS = 10
SEND_TIMEOUT = struct.pack("ll", WRITE_SECONDS, 0)
# A body must have arrived up to this length before a thread serves the request.
GATED_BODY_BYTES = 32 << 10
MAX_CONNECTIONS = 2048
LISTEN_BACKLOG = 512
MAX_QUEUED_CONNECTIONS = 1024

HEAD_TERMINATOR = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length:[ \t]*([0-9]{1,9})[ \t]*(?=\r\n)")
# A request with one of these headers is served as soon as its head has arrived.
UNGATED_HEADERS = re.compile(rb"(?i)\r\n(expect|transfer-encoding)[ \t]*:")


def bytes_required(peeked):
    """Return the number of bytes that must arrive before a request is served.

    Parameters
    ----------
    peeked : bytes
        Bytes that have arrived so far.

    Returns
    -------
    int
        At most ``len(peeked)`` if the request can be served now.
    """
    end = peeked.find(HEAD_TERMINATOR)
    if end < 0:
        return 0 if len(peeked) >= MAX_HEAD_BYTES else len(peeked) + 1
    head = peeked[: end + len(HEAD_TERMINATOR)]
    lengths = CONTENT_LENGTH.findall(head)
    if len(lengths) != 1 or UNGATED_HEADERS.search(head):
        return len(head)
    return len(head) + min(int(lengths[0]), GATED_BODY_BYTES)


class GatedConnection(server.HTTPConnection):
    """A caller's connection that waits in the selector until a request has arrived."""

    RequestHandlerClass = StrictRequest

    def __init__(self, server, sock, makefile=MakeFile):
        set_options(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, SEND_TIMEOUT)
        super().__init__(server, sock, makefile)
        self.timed_out = False
        self._bytes_required = 0
        self._deadline = None
        self._queued_at = 0.0

    def has_request(self):
        """Return whether a thread should serve the connection now."""
        if self.rfile.has_data():
            # A pipelined request: its start has left the socket's buffer, so the
            # rest cannot be awaited here. An incomplete head counts as timed out.
            self.timed_out = HEAD_TERMINATOR not in self.rfile.peek(0)
            return True
        self.socket.setblocking(False)
        try:
            peeked = self.socket.recv(
                MAX_HEAD_BYTES + GATED_BODY_BYTES, socket.MSG_PEEK
            )
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not peeked or self._has_enough(peeked)

    def prepare_for_thread(self):
        """Restore the socket options for the thread that serves the connection."""
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
        if self._bytes_required:
            self._set_bytes_required(0)
        self.socket.settimeout(READ_SECONDS)
        if self.server.on_thread_wait is not None:
            self._queued_at = time.monotonic()

    def communicate(self):
        """Serve one request; if it timed out, respond with 408 and close."""
        if self.server.on_thread_wait is not None:
            self.server.on_thread_wait(time.monotonic() - self._queued_at)
        if self.timed_out:
            request = self.RequestHandlerClass(self.server, self)
            request.simple_response("408 Request Timeout")
            return False
        return super().communicate()

    def _has_enough(self, peeked):
        # The selector reported the socket before enough bytes arrived, so the caller
        # will send no more or the socket was shut down for reading.
        if len(peeked) < self._bytes_required:
            return True
        required = bytes_required(peeked)
        if required <= len(peeked):
            return True
        self._set_bytes_required(required)
        if self._deadline is None:
            when = time.monotonic() + HEAD_SECONDS
            self._deadline = self.server.deadlines.call_at(when, self._expire)
        return False

    def _set_bytes_required(self, count):
        """Make the kernel report the socket as readable from this many bytes on."""
        self._bytes_required = count
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, count or 1)
        except OSError as error:
            log.debug(
                "could not set SO_RCVLOWAT on a caller's socket", cause=str(error)
            )

    def _expire(self):
        self.timed_out = True
        shut_down(self.socket, socket.SHUT_RD)


class GrowingThreadPool(ThreadPool):
    """Starts with a few threads and adds one whenever none is idle."""

    _queue: queue.Queue
    _threads: list
    _spawn_worker: Callable[[], threading.Thread]

    def put(self, obj):
        """Queue a connection for a worker thread."""
        if self.idle <= self._queue.qsize() and len(self._threads) < self.max:
            # `ThreadPool.grow` would wait until the new thread runs.
            self._threads.append(self._spawn_worker())
        super().put(obj)


class GatedServer(wsgi.Server):
    """A server whose threads are not blocked by callers that send slowly.

    Parameters
    ----------
    bind_address : (str, int)
        IP address and TCP port.
    app : callable
        WSGI application.
    threads : int
        Maximum number of concurrent requests.
    initial_threads : int
        Threads that are started immediately; others are started on demand.
    stop_seconds : float
        Time for the threads to finish on shutdown (seconds).
    """

    ConnectionClass = GatedConnection

    def __init__(self, bind_address, app, threads, initial_threads, stop_seconds):
        super().__init__(
            bind_address,
            app,
            numthreads=initial_threads,
            max=threads,
            server_name="almondglade",
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_SECONDS,
            shutdown_timeout=stop_seconds,
        )
        self.requests = GrowingThreadPool(
            self,
            min=initial_threads,
            max=threads,
            accepted_queue_size=MAX_QUEUED_CONNECTIONS,
            accepted_queue_timeout=0,
        )
        self.gateway = StrictGateway
        self.max_request_header_size = MAX_HEAD_BYTES
        max_open_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.keep_alive_conn_limit = min(MAX_CONNECTIONS, max_open_files // 2)
        self.deadlines = Deadlines()
        self.on_thread_wait: Callable[[float], None] | None = None
        self.keep_alive_enabled = True

    @property
    def can_add_keepalive_connection(self):
        """Whether a connection stays open after its response."""
        return self.keep_alive_enabled and super().can_add_keepalive_connection

    def process_conn(self, conn):
        """Serve a connection that has a request; keep watching the others."""
        if conn.has_request():
            conn.prepare_for_thread()
            super().process_conn(conn)
        elif super().can_add_keepalive_connection:
            self.put_conn(conn)
        else:
            conn.close()

    def error_log(self, msg="", level=logging.INFO, traceback=False):
        """Log an error of the server at debug level."""
        log.debug("server reported an error on a connection", cause=msg)
