"""The fake target on a raw socket behaves as configured."""

import socket
import time

from .support.targets import WHOLE, Cut, FakeTarget, answer_with


def test_a_removed_cut_does_not_apply_to_the_next_request():
    # A connection waiting for its next request used to keep the previous cut.
    request = b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello"
    with FakeTarget(lambda _: answer_with(b"done")) as target:
        port = int(target.url.rpartition(":")[2])
        target.cut = Cut(after_read=8)
        with socket.create_connection(("127.0.0.1", port), timeout=5.0) as sock:
            time.sleep(0.2)
            target.cut = WHOLE
            sock.sendall(request)
            assert sock.recv(1000).endswith(b"done")
        assert target.seen == [request]
