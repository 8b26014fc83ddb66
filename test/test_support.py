"""The fake target on a raw socket behaves as configured."""

import socket
import threading
import time

import pytest

from .gatewayfleet import GatewayFleet, free_ports
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


# A target that started before the gateways drew one of their ports.
def test_no_port_is_returned_twice():
    ports = [port for _ in range(300) for port in free_ports(5)]
    assert len(set(ports)) == len(ports)


# The threads of the store were left, so that the test process did not exit.
def test_a_fleet_that_cannot_start_leaves_no_threads(tmp_path, monkeypatch):
    monkeypatch.setattr("test.gatewayfleet.START_TIMEOUT_SECONDS", 0.5)
    before = set(threading.enumerate())
    fleet = GatewayFleet(tmp_path).__enter__()
    with socket.create_server((fleet.addresses[0], fleet.ports[0])):
        with pytest.raises(AssertionError):
            fleet.start()

    def left():
        # Only these keep the process alive; those of other tests come and go.
        threads = set(threading.enumerate()) - before
        return [thread for thread in threads if not thread.daemon]

    end = time.monotonic() + 5.0
    while left() and time.monotonic() < end:
        time.sleep(0.05)
    assert not left()
    assert fleet.processes[0].poll() is not None
