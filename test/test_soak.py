"""A short soak with fixed seeds; each seed that ever failed stays here."""

import socket
import threading
import time

import pytest

from soak.ledger import Ledger, Run, Terms, Told
from soak.proxy import Proxy
from soak.run import soak

SECONDS = 8.0
# Seed and what it found once.
REGRESSIONS = [
    pytest.param(1, id="first"),
    pytest.param(2, id="second"),
    # Gateways were told to reload while they started, and ended.
    pytest.param(209, id="reload during the start"),
    pytest.param(218, id="reload during the start, again"),
    # Two series ended one gateway, and the soak waited for the end of the new one.
    pytest.param(111, id="one gateway ended twice"),
]


@pytest.mark.parametrize("seed", REGRESSIONS)
def test_the_promises_hold_under_faults(tmp_path, seed):
    report = soak(tmp_path, seed, SECONDS)
    assert report.runs > 50
    assert report.faults > 0
    assert report.broken == []


def check(*entries, **revoked):
    ledger = Ledger(revoked_at=revoked)
    for entry in entries:
        if isinstance(entry, Run):
            ledger.runs.append(entry)
        else:
            ledger.told.append(entry)
            ledger.sent_at[entry.request] = (entry.key, entry.sent)
    return ledger.check(Terms())


def ran(request="r1", target="t1", repeatable=False, at=0.0, workspace="w1"):
    return Run(request, target, workspace, repeatable, at)


def told(request="r1", status=200, sent=0.0, at=0.1, key="k", calm=True):
    return Told(request, key, status, sent, at, calm)


@pytest.mark.parametrize(
    ("entries", "words"),
    [
        ([told(), ran(), ran(target="t2")], "ran 2 times"),
        ([told(status=503), ran()], "was told 503 and ran"),
        ([ran()], "no caller sent it"),
        ([told(sent=6.0, at=6.1), ran(at=6.0)], "after its key had to end"),
        ([told(at=3.6)], "was answered after"),
        (
            [
                entry
                for number in range(300)
                for entry in (
                    told(f"r{number}"),
                    ran(f"r{number}", at=0.01 * number, workspace="metered"),
                )
            ],
            "requests of metered",
        ),
    ],
)
def test_each_broken_promise_is_found(entries, words):
    broken = check(*entries, k=0.0)
    assert len(broken) >= 1
    assert any(words in line for line in broken)


def test_what_the_pages_allow_is_not_reported():
    entries = [
        told(),
        ran(repeatable=True),
        ran(target="t2", repeatable=True),
        told("r2", status=503),
        told("r3", at=9.0, calm=False),
    ]
    assert check(*entries) == []


def test_a_proxy_silences_open_connections_and_passes_new_ones():
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
