"""Detect callers that disconnect while their requests are queued or running."""

import contextlib
import select
import threading

from .log import get_logger

log = get_logger("entry")

DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class CallerConnection:
    """Connection state of the caller of one request."""

    def __init__(self):
        self.disconnected = False
        self._on_disconnect = None
        self._lock = threading.Lock()

    def on_disconnect(self, callback):
        """Set the callback for a disconnect, replacing an earlier one.

        Parameters
        ----------
        callback : callable or None
            Called once, must not block; called immediately if the caller has
            already disconnected.
        """
        with self._lock:
            self._on_disconnect = callback
            if not self.disconnected:
                return
        if callback is not None:
            callback()

    def mark_disconnected(self):
        """Record that the caller has disconnected and call the callback."""
        with self._lock:
            self.disconnected = True
            callback = self._on_disconnect
        if callback is not None:
            callback()


class CallerWatch:
    """One thread that watches the sockets of all callers for a disconnect.

    A caller that shuts down its sending side counts as disconnected.
    """

    def __init__(self):
        self._epoll = select.epoll()
        self._by_fd = {}
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def watch(self, sock, caller_connection):
        """Start watching a socket."""
        fd = sock.fileno()
        with self._lock:
            self._by_fd[fd] = caller_connection
            self._epoll.register(fd, DISCONNECT_EVENTS | select.EPOLLONESHOT)

    def unwatch(self, sock):
        """Stop watching a socket; must be called before it is closed."""
        with self._lock, contextlib.suppress(OSError, ValueError, KeyError):
            fd = sock.fileno()
            del self._by_fd[fd]
            self._epoll.unregister(fd)

    def _run(self):
        while True:
            for fd, _ in self._epoll.poll():
                caller_connection = self._disconnected_caller(fd)
                if caller_connection is not None:
                    self._mark_disconnected(caller_connection)

    @staticmethod
    def _mark_disconnected(caller_connection):
        try:
            caller_connection.mark_disconnected()
        except Exception:
            log.exception("cannot withdraw the request of a disconnected caller")

    def _disconnected_caller(self, fd):
        with self._lock:
            # By now the descriptor may have been reused for another caller's socket.
            poll = select.poll()
            poll.register(fd, select.POLLRDHUP)
            hung_up = any(event & ~select.POLLNVAL for _, event in poll.poll(0))
            return self._by_fd.get(fd) if hung_up else None
