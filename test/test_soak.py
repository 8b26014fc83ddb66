"""Short soak runs with fixed seeds, which include every seed that has failed."""

import contextlib
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from types import SimpleNamespace
from typing import ClassVar

import pytest

from soak.callers import Caller
from soak.ledger import CallerOutcome, GuaranteeLimits, Ledger, Run
from soak.links import LinkProxy
from soak.proxy import Proxy, reset
from soak.run import soak
from soak.targets import SoakTarget

from .gatewayfleet import EPHEMERAL_PORTS

SECONDS = 8.0
CALLS = 20
# Seeds, with the failure that each has found.
REGRESSIONS = [
    pytest.param(1, id="first"),
    pytest.param(2, id="second"),
    # A reload signal during the start ended the gateway.
    pytest.param(209, id="reload during the start"),
    pytest.param(218, id="reload during the start, again"),
    # Two fault sequences ended one gateway, and the soak waited for its replacement
    # to end.
    pytest.param(111, id="one gateway ended twice"),
    # Streams went on at targets of another software version.
    pytest.param(754872, id="streams of two versions"),
    # Links of gateways, rates that targets name and brittle targets, at a time.
    pytest.param(5000, id="links and limits"),
    # A run that broke with a link counted as a crash when its target ended later.
    pytest.param(61027, id="barred after a lost link"),
    # A target that is no engine was asked for prompts, and took that for a request.
    pytest.param(880035, id="prompts asked of a plain service"),
]


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_guarantees_hold_under_faults(tmp_path, seed):
    report = soak(tmp_path, seed, SECONDS)
    assert report.runs > 50
    assert report.faults > 0
    assert report.violations == []


def check(*entries, **revoked):
    ledger = Ledger(revoked_at=revoked)
    for entry in entries:
        if isinstance(entry, Run):
            ledger.runs.append(entry)
        else:
            ledger.outcomes.append(entry)
            ledger.sent_at[entry.request_id] = (entry.key, entry.sent_at)
    return ledger.check(GuaranteeLimits())


def make_run(
    request_id="r1", target="t1", repeatable=False, started_at=0.0, workspace="w1"
):
    return Run(request_id, target, workspace, repeatable, started_at)


def make_outcome(
    request_id="r1", status=200, sent_at=0.0, ended_at=0.1, key="k", undisturbed=True
):
    return CallerOutcome(request_id, key, status, sent_at, ended_at, undisturbed)


@pytest.mark.parametrize(
    ("entries", "message"),
    [
        ([make_outcome(), make_run(), make_run(target="t2")], "ran 2 times"),
        ([make_outcome(status=503), make_run()], "was told 503 and ran"),
        ([make_run()], "no caller sent it"),
        (
            [make_outcome(sent_at=6.0, ended_at=6.1), make_run(started_at=6.0)],
            "after its key had to end",
        ),
        ([make_outcome(ended_at=3.6)], "was answered after"),
        (
            [
                entry
                for number in range(300)
                for entry in (
                    make_outcome(f"r{number}"),
                    make_run(
                        f"r{number}", started_at=0.01 * number, workspace="metered"
                    ),
                )
            ],
            "requests of metered",
        ),
    ],
)
def test_each_violation_is_found(entries, message):
    violations = check(*entries, k=0.0)
    assert len(violations) >= 1
    assert any(message in line for line in violations)


@pytest.mark.parametrize(
    ("disturbances", "count"), [([], 1), ([("g1", 6.5, 9.0)], 0), ([("g2", 0, 9)], 1)]
)
@pytest.mark.parametrize(
    ("cause", "crash_times"),
    [("/look/1/crash", (0.0, 1.0, 2.0)), ("dead0", (0.0, 0.5, 1.0, 1.5, 2.0))],
)
def test_late_runs_of_what_crashes_targets_are_found(
    disturbances, count, cause, crash_times
):
    times = (*crash_times, 6.0, 7.0, 8.0, 9.0)
    ledger = Ledger(disturbances=disturbances)
    for number, at in enumerate(times):
        request_id = f"r{number}"
        ledger.runs.append(make_run(request_id, repeatable=True, started_at=at))
        ledger.sent_at[request_id] = ("k", at)
        ledger.crashing_request_by_id[request_id] = (cause, "g1")
    assert len(ledger.check(GuaranteeLimits())) == count


def test_too_many_requests_to_a_target_that_names_a_rate_are_found():
    arrivals = [("t1", 5.0 + 0.2 * number) for number in range(12)]
    for rate, count in ((1.0, 1), (2.0, 0)):
        ledger = Ledger(arrivals=arrivals, named_rates=[("t1", rate, 1.0, 9.0)])
        assert len(ledger.check(GuaranteeLimits())) == count


@pytest.mark.parametrize(("falls", "count"), [(2, 0), (3, 1)])
def test_too_many_falls_of_brittle_targets_are_found(falls, count):
    ledger = Ledger(falls=[5.0] * falls, brittle_times=[(1.0, 9.0, 4)])
    assert len(ledger.check(GuaranteeLimits())) == count


def test_documented_exceptions_are_not_reported():
    entries = [
        make_outcome(),
        make_run(repeatable=True),
        make_run(target="t2", repeatable=True),
        make_outcome("r2", status=503),
        make_outcome("r3", ended_at=9.0, undisturbed=False),
    ]
    assert check(*entries) == []


def test_a_proxy_silences_open_connections_and_forwards_new_ones():
    server = socket.create_server(("127.0.0.1", 0))

    def echo():
        while True:
            sock, _ = server.accept()
            threading.Thread(target=answer, args=(sock,), daemon=True).start()

    def answer(sock):
        while chunk := sock.recv(100):
            sock.sendall(chunk)

    threading.Thread(target=echo, daemon=True).start()
    proxy = Proxy(server.getsockname()[1])
    first = socket.create_connection(("127.0.0.1", proxy.port), timeout=5.0)
    first.sendall(b"a")
    assert first.recv(1) == b"a"
    proxy.silence("out")
    first.settimeout(0.3)
    first.sendall(b"b")
    with pytest.raises(TimeoutError):
        first.recv(1)
    second = socket.create_connection(("127.0.0.1", proxy.port), timeout=5.0)
    second.sendall(b"c")
    assert second.recv(1) == b"c"
    proxy.reset()
    with pytest.raises(ConnectionError):
        while True:
            second.sendall(b"d")
            time.sleep(0.01)
    proxy.close()


def test_a_reset_socket_writes_nothing_and_ends_in_no_orderly_way():
    # A response was still written to a connection whose target had crashed.
    server = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(server.getsockname(), timeout=5.0)
    sock, _ = server.accept()
    reader, writer = sock.makefile("rb"), sock.makefile("wb")
    waiting = threading.Thread(target=lambda: read_until_closed(reader), daemon=True)
    waiting.start()
    reset(sock)
    waiting.join(5.0)
    assert not waiting.is_alive()
    with pytest.raises(OSError):
        writer.write(b"late")
        writer.flush()
    with pytest.raises(ConnectionResetError):
        client.recv(1)


# A connection of another process took the port of a link while it was cut.
def test_ports_that_are_closed_for_a_while_are_not_ephemeral():
    target = SoakTarget("t0", Ledger())
    link = LinkProxy(target.proxy.upstream_port)
    ports = {target.proxy.upstream_port, target.proxy.port, link.port}
    try:
        assert max(ports) < int(EPHEMERAL_PORTS.read_text().split()[0])
        link.stop_accepting("reset")
        link.heal()
        with socket.create_connection(("127.0.0.1", link.port)):
            pass
    finally:
        link.close()
        target.close()


# The thread of the former listener went on with the one of the cut.
def test_a_link_that_is_cut_while_it_forwards_a_connection_stays_cut(monkeypatch):
    is_forwarding, may_go_on = threading.Event(), threading.Event()
    target = SoakTarget("t0", Ledger())
    link = LinkProxy(target.proxy.upstream_port)
    address = ("127.0.0.1", link.port)
    original = socket.create_connection

    def connect(address, **options):
        if address[1] != target.proxy.upstream_port:
            return original(address, **options)
        is_forwarding.set()
        may_go_on.wait()
        raise ConnectionRefusedError

    monkeypatch.setattr(socket, "create_connection", connect)
    try:
        with socket.create_connection(address):
            is_forwarding.wait()
            link.stop_accepting("hang")
            may_go_on.set()
            time.sleep(0.2)
            with pytest.raises(TimeoutError):
                socket.create_connection(address, timeout=0.5)
    finally:
        link.heal()
        link.close()
        target.close()


# What was never sent counted as a request without a response.
def test_a_caller_reuses_no_connection_whose_response_broke_off():
    class BreakingHandler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        seen: ClassVar[list] = []

        def do_GET(self):
            self.seen.append(self.headers["X-Request-Id"])
            self.close_connection = len(self.seen) % 2 == 1
            self.send_response(503)
            self.send_header("Content-Length", "9")
            self.end_headers()
            self.wfile.write(b"part" if self.close_connection else b"the whole")

        do_POST = do_GET

        def log_message(self, *args):
            pass

    with ThreadingHTTPServer(("127.0.0.1", 0), BreakingHandler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        fleet = SimpleNamespace(
            addresses=["127.0.0.1"],
            ready=[],
            ports=[server.server_port],
            crashing_paths=(),
            kind_by_crashing_part={},
            choose_key=lambda rng: "k",
            is_undisturbed=lambda since: False,
        )
        ledger = Ledger()
        caller = Caller("c", fleet, ledger, 0.5)
        while len(ledger.outcomes) < CALLS:
            time.sleep(0.01)
        caller.stopped.set()
        caller.thread.join()
        server.shutdown()
    assert BreakingHandler.seen == [outcome.request_id for outcome in ledger.outcomes]


def read_until_closed(reader):
    with contextlib.suppress(OSError, ValueError):
        reader.read()
