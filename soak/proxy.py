"""A loopback proxy that delays, resets, silences or cuts connections."""

import contextlib
import socket
import struct
import threading
import time

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 1 << 16
# Makes the close of a socket a reset.
RESET = struct.pack("ii", 1, 0)
POLL_SECONDS = 0.01


class Proxy:
    """Passes TCP connections on to a port, as well as its faults allow.

    Parameters
    ----------
    port : int
        Where connections go.

    Attributes
    ----------
    delay : float
        Seconds by which each piece is late.
    silent : frozenset of str
        Directions, "in" and "out", in which open connections pass nothing. New
        connections pass, since they begin after the fault.
    refuses : bool
        Whether new connections are reset.
    """

    def __init__(self, port):
        self.target = port
        self.delay = 0.0
        self.silent = frozenset()
        self.refuses = False
        self._silenced = set()
        self._sockets = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server((LOOPBACK, 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self._start(self._accept)

    def reset(self):
        """Reset all open connections."""
        with self._lock:
            sockets, self._sockets = self._sockets, set()
        for sock in sockets:
            reset(sock)

    def silence(self, *directions):
        """Silence the open connections for good, in some directions."""
        with self._lock:
            self._silenced = set(self._sockets)
        self.silent = frozenset(directions)

    def close(self):
        """End the proxy."""
        self.refuses = True
        self._listener.close()
        self.reset()

    @staticmethod
    def _start(target, *args):
        threading.Thread(target=target, args=args, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                if self.refuses:
                    reset(near)
                    continue
                try:
                    far = socket.create_connection((LOOPBACK, self.target))
                except OSError:
                    reset(near)
                    continue
                with self._lock:
                    self._sockets |= {near, far}
                self._start(self._pump, near, far, "in")
                self._start(self._pump, far, near, "out")

    def _pump(self, source, sink, direction):
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                time.sleep(self.delay)
                while source in self._silenced and direction in self.silent:
                    time.sleep(POLL_SECONDS)
                    if source.fileno() < 0:
                        return
                sink.sendall(chunk)
            sink.shutdown(socket.SHUT_WR)
            return
        reset(source)
        reset(sink)


def reset(sock):
    """Close a socket with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        sock.close()
