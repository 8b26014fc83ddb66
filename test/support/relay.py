"""A TCP relay that can close connections or silently discard their data."""

import contextlib
import socket
import threading

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 1 << 16


class Relay:
    """Forwards connections to a port, or interrupts them, depending on its mode.

    Attributes
    ----------
    mode : {"pass", "drop", "blackhole"}
        "blackhole" accepts connections and reads from them, but forwards
        nothing; "drop" closes open connections and each new one at once.
    """

    def __init__(self, port):
        self.target = port
        self.mode = "pass"
        self._sockets = set()
        self._listener = socket.create_server((LOOPBACK, 0))
        self.port = self._listener.getsockname()[1]
        self._start(self._accept)

    def set(self, mode):
        """Change the mode, which applies to open connections too."""
        self.mode = mode
        if mode == "drop":
            self._close_all()

    def half_close(self):
        """Shut down the sending side of each open socket."""
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)

    def close(self):
        """Stop accepting and close all connections."""
        self.mode = "drop"
        self._listener.close()
        self._close_all()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                if self.mode == "drop":
                    near.close()
                    continue
                try:
                    far = socket.create_connection((LOOPBACK, self.target))
                except OSError:
                    near.close()
                    continue
                self._sockets |= {near, far}
                self._start(self._pump, near, far)
                self._start(self._pump, far, near)

    def _pump(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.mode == "pass":
                    sink.sendall(data)
        for sock in (source, sink):
            sock.close()
            self._sockets.discard(sock)

    def _close_all(self):
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    @staticmethod
    def _start(job, *arguments):
        threading.Thread(target=job, args=arguments, daemon=True).start()
