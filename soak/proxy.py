"""A loopback TCP proxy that delays, resets, silences or refuses connections."""

import contextlib
import os
import socket
import struct
import threading
import time
import weakref

from test.gatewayfleet import free_ports

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 1 << 16
# Value of SO_LINGER (on, 0 s) that makes closing a socket send a reset.
RESET_LINGER = struct.pack("ii", 1, 0)
POLL_SECONDS = 0.01


def bind_free_port(bind):
    """Return what a function returns for a free port, which it binds.

    No outgoing connection takes the port while it is closed for a while.
    """
    while True:
        (port,) = free_ports(1, LOOPBACK)
        with contextlib.suppress(OSError):
            return bind(port)


class Proxy:
    """Forwards TCP connections to a loopback port, with injected faults.

    Parameters
    ----------
    port : int
        Loopback port that connections are forwarded to.

    Attributes
    ----------
    delay : float
        Seconds by which each chunk is delayed.
    silent_directions : frozenset of str
        Directions, "in" and "out", in which the connections that were open when
        `silence` was called forward nothing. Newer connections aren't affected, since
        they begin after the fault.
    is_refusing : bool
        Whether new connections are reset.
    is_mute : bool
        Whether new connections are accepted and then forward nothing.
    """

    def __init__(self, port):
        self.upstream_port = port
        self.delay = 0.0
        self.silent_directions = frozenset()
        self.is_refusing = False
        self.is_mute = False
        self._silenced_sockets = set()
        self._sockets = set()
        self._reset_sockets = weakref.WeakSet()
        self._lock = threading.Lock()
        self._listener = bind_free_port(self._listen)
        self.port = self._listener.getsockname()[1]
        self._start_thread(self._accept_connections, self._listener)

    @staticmethod
    def _listen(port):
        return socket.create_server((LOOPBACK, port), backlog=128)

    def reset(self):
        """Reset all open connections."""
        with self._lock:
            sockets, self._sockets = self._sockets, set()
            self._reset_sockets.update(sockets)
        for sock in sockets:
            reset(sock)

    def silence(self, *directions):
        """Stop forwarding on the connections open now, in the given directions."""
        with self._lock:
            self._silenced_sockets = set(self._sockets)
        self.silent_directions = frozenset(directions)

    def close(self):
        """Stop the proxy and reset its connections."""
        self.is_refusing = True
        self._listener.close()
        self.reset()

    @staticmethod
    def _start_thread(function, *args):
        threading.Thread(target=function, args=args, daemon=True).start()

    def _accept_connections(self, listener):
        with contextlib.suppress(OSError):
            while True:
                client, _ = listener.accept()
                if self.is_refusing:
                    reset(client)
                    continue
                if self.is_mute:
                    with self._lock:
                        self._sockets.add(client)
                    continue
                try:
                    upstream = socket.create_connection((LOOPBACK, self.upstream_port))
                except OSError:
                    reset(client)
                    continue
                with self._lock:
                    self._sockets |= {client, upstream}
                self._start_thread(self._forward, client, upstream, "in")
                self._start_thread(self._forward, upstream, client, "out")

    def _forward(self, source, sink, direction):
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                time.sleep(self.delay)
                while (
                    source in self._silenced_sockets
                    and direction in self.silent_directions
                ):
                    time.sleep(POLL_SECONDS)
                    if source.fileno() < 0:
                        return
                sink.sendall(chunk)
            if source not in self._reset_sockets:
                sink.shutdown(socket.SHUT_WR)
            return
        reset(source)
        reset(sink)


def reset(sock):
    """Close a socket with a TCP reset, and wake the thread that reads it.

    Only the reading side is shut down, as the peer would take the end of the writing
    side for an orderly end. The descriptor is closed although files of the socket are
    in use, which could still write a response.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        sock.shutdown(socket.SHUT_RD)
    with contextlib.suppress(OSError):
        os.close(sock.detach())
