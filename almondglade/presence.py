"""Notice callers that go away while their requests wait or run."""

import contextlib
import select
import threading

from .log import get_logger

log = get_logger("entry")

HANG_UP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class Presence:
    """Whether the caller of one request is still there."""

    def __init__(self):
        self.gone = False
        self._on_gone = None
        self._lock = threading.Lock()

    def on_gone(self, callback):
        """Replace what is called, once, when the caller goes away.

        Parameters
        ----------
        callback : callable or None
            Must not block; called at once if the caller has already gone.
        """
        with self._lock:
            self._on_gone = callback
            if not self.gone:
                return
        if callback is not None:
            callback()

    def leave(self):
        """Note that the caller has gone."""
        with self._lock:
            self.gone = True
            callback = self._on_gone
        if callback is not None:
            callback()


class CallerWatch:
    """One thread that watches the sockets of all callers for a hang-up.

    A caller that shuts down its sending side counts as gone.
    """

    def __init__(self):
        self._epoll = select.epoll()
        self._by_fd = {}
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def watch(self, sock, presence):
        """Begin to watch a socket."""
        fd = sock.fileno()
        with self._lock:
            self._by_fd[fd] = presence
            self._epoll.register(fd, HANG_UP | select.EPOLLONESHOT)

    def forget(self, sock):
        """Cease to watch a socket; call this before it is closed."""
        with self._lock, contextlib.suppress(OSError, ValueError, KeyError):
            fd = sock.fileno()
            del self._by_fd[fd]
            self._epoll.unregister(fd)

    def _run(self):
        while True:
            for fd, _ in self._epoll.poll():
                presence = self._take(fd)
                if presence is not None:
                    self._leave(presence)

    @staticmethod
    def _leave(presence):
        try:
            presence.leave()
        except Exception:
            log.exception("a request could not be withdrawn")

    def _take(self, fd):
        with self._lock:
            # The number may stand for another caller's socket by now.
            poll = select.poll()
            poll.register(fd, select.POLLRDHUP)
            hung_up = any(event & ~select.POLLNVAL for _, event in poll.poll(0))
            return self._by_fd.get(fd) if hung_up else None
