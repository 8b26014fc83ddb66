"""TCP socket options that detect dead connections within a limited time."""

import socket
import struct

KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 3
KEEPALIVE_PROBES = 3
# Also limits how long sent data may stay unacknowledged; after this time the kernel
# closes the connection.
USER_TIMEOUT_MILLISECONDS = 14_000

TCP_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
]

LINGER_RESET = struct.pack("ii", 1, 0)


def set_options(sock):
    """Set `TCP_OPTIONS` on a connected socket."""
    for option in TCP_OPTIONS:
        sock.setsockopt(*option)


def shut_down(sock, how=socket.SHUT_RDWR):
    """Shut down a socket to wake threads blocked on it; safe from any thread."""
    try:
        sock.shutdown(how)
    except OSError:
        return


def reset_on_close(sock):
    """Make the close of a socket reset its connection (RST).

    A peer that is still sending would otherwise wait for the window to open again.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    except OSError:
        return
