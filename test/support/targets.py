"""A target on a raw socket that answers, cuts, stalls or resets as it is told."""

import contextlib
import socket
import struct
import threading
from dataclasses import dataclass, field

RESET = struct.pack("ii", 1, 0)
TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True)
class Cut:
    """Where the target ends the connection of one request.

    Parameters
    ----------
    after_read : int or None
        Bytes of the request read before the cut; None reads all of it.
    after_written : int or None
        Bytes of the answer written before the cut; None writes all of it.
    reset : bool
        Whether the cut is a reset; a plain close otherwise.
    """

    after_read: int | None = None
    after_written: int | None = None
    reset: bool = False


WHOLE = Cut()


@dataclass
class FakeTarget:
    """Answers each request by a function of its bytes.

    Parameters
    ----------
    answer : callable
        Takes the request and returns the answer, both as bytes.
    cut : Cut
        Applies to requests that arrive from now on.
    pause : callable
        Called between the request and the answer.

    Attributes
    ----------
    seen : list of bytes
        What arrived, one entry for each request that began to arrive.
    """

    answer: object
    cut: Cut = WHOLE
    pause: object = lambda: None
    seen: list = field(default_factory=list)
    connections: int = 0

    def __enter__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
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
        # The cut in force when the request arrives, not when it is waited for.
        cut = self.cut
        request = self._read(sock, cut)
        if cut.after_read is not None:
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
        while not is_whole(request):
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
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return False


def is_whole(request):
    """Tell whether a request with a declared length has arrived."""
    head, end, body = bytes(request).partition(b"\r\n\r\n")
    length = [
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    return bool(end) and len(body) >= sum(length)


def answer_with(body, framing="length", content_type="text/plain"):
    """Return the bytes of an answer.

    Parameters
    ----------
    framing : {"length", "chunked", "close"}
        How the end of the body is told.
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
