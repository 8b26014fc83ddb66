"""A raw-socket target with configurable responses, stalls, closes and resets."""

import contextlib
import re
import socket
import struct
import threading
from dataclasses import dataclass, field

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True)
class Cut:
    """Point at which the target closes the connection during one request.

    Parameters
    ----------
    after_read : int or None
        Bytes of the request read before closing; None reads all of it.
    after_written : int or None
        Bytes of the response written before closing; None writes all of it. Without
        it, a target that does not read the whole request writes nothing.
    reset : bool
        Whether to close with a TCP reset instead of an orderly close.
    """

    after_read: int | None = None
    after_written: int | None = None
    reset: bool = False


WHOLE = Cut()


@dataclass
class FakeTarget:
    """Serves each request with a response computed from its bytes.

    Parameters
    ----------
    answer : callable
        Takes the request as bytes; returns the response as bytes or as a
        sequence of bytes sent one after the other.
    cut : Cut
        Applies to requests that arrive from now on.
    pause : callable
        Called between reading the request and sending the response.
    receive_buffer : int or None
        Bytes of a request that the kernel takes beyond those that are read; its
        default if None.

    Attributes
    ----------
    seen : list of bytes
        Bytes received, one entry per request, including partly received ones.
    """

    answer: object
    cut: Cut = WHOLE
    pause: object = lambda: None
    receive_buffer: int | None = None
    seen: list = field(default_factory=list)
    connections: int = 0

    def __enter__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        if self.receive_buffer is not None:
            self.listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.settimeout(TIMEOUT_SECONDS)
        with contextlib.suppress(OSError), sock:
            while self._serve_one(sock):
                continue

    def _serve_one(self, sock):
        if self.cut.after_read == 0:
            return self._end(sock, self.cut)
        if not sock.recv(1, socket.MSG_PEEK):
            return False
        # Use the cut set when the request arrives, not the one set when this
        # thread started to wait for it.
        cut = self.cut
        request = self._read(sock, cut)
        if cut.after_read is not None and cut.after_written is None:
            return self._end(sock, cut)
        self.pause()
        answer = self.answer(request)
        pieces = [answer] if isinstance(answer, bytes) else answer
        for piece in pieces:
            sock.sendall(piece[: cut.after_written])
        if cut.after_written is not None:
            return self._end(sock, cut)
        return b"close" not in pieces[0].lower()

    def _read(self, sock, cut):
        request = bytearray()
        index = None
        while not is_request_complete(request):
            piece = sock.recv(cut.after_read or 65536)
            if not piece:
                break
            request += piece
            if index is None:
                index = len(self.seen)
                self.seen.append(b"")
            self.seen[index] = bytes(request)
            if cut.after_read is not None and len(request) >= cut.after_read:
                break
        return bytes(request)

    @staticmethod
    def _end(sock, cut):
        if cut.reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return False


def is_request_complete(request):
    """Return whether a request has arrived completely, by its Content-Length."""
    head, end, body = bytes(request).partition(b"\r\n\r\n")
    length = [
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    return bool(end) and len(body) >= sum(length)


def with_request_id(answer, request):
    """Return an answer that names its request as the request does, if it does."""
    ids = re.findall(rb"(?i)\r\n(x-request-id:[^\r]*)", request)
    return answer.replace(b"\r\n", b"\r\n" + b"".join(i + b"\r\n" for i in ids), 1)


def answer_with(body, framing="length", content_type="text/plain"):
    """Return the bytes of a response with status 200.

    Parameters
    ----------
    framing : {"length", "chunked", "close"}
        How the end of the body is marked.
    """
    head = f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n"
    match framing:
        case "length":
            return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        case "chunked":
            half = len(body) // 2
            pieces = [piece for piece in (body[:half], body[half:]) if piece]
            coded = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces)
            head += "Transfer-Encoding: chunked\r\n\r\n"
            return head.encode() + coded + b"0\r\n\r\n"
        case _:
            return f"{head}Connection: close\r\n\r\n".encode() + body
