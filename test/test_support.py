"""The stand-ins for targets do what tests tell them."""

import socket
import time

from .support.targets import WHOLE, Cut, FakeTarget, answer_with


def test_a_cut_that_was_taken_back_does_not_meet_the_next_request():
    # A connection that waited for its next request kept the cut of the test before.
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
