"""Keys that were revoked while a gateway did not learn of it, and routes alike."""

import signal
import threading
import time
from types import SimpleNamespace

import pytest
import urllib3

from almondglade.catalogue import Catalogue, Route, WorkspaceTerms
from almondglade.feed import Batch, CatalogueUpdate
from almondglade.gateway.app import GatewayApp
from almondglade.gateway.registry import Registry
from almondglade.gateway.relayapp import RelayApp
from almondglade.gateway.relaying import RELAY_HEADER, RelayTerms
from almondglade.outcome import Code, RequestError
from almondglade.placement.freshness import Freshness

from .gatewayfleet import HOST, KEY
from .storefleet import StoreFleet, make_target

KEY_HEADER = "X-Credential"
REVOCATION_BOUND_SECONDS = 5.0


def make_catalogue(version, keys=(), prefixes=("/look/",)):
    routes = {
        prefix: Route(prefix, HOST, prefix, {"plain": 1.0}, True, False, False, 5.0)
        for prefix in prefixes
    }
    workspace = WorkspaceTerms("w1")
    return Catalogue(version, {HOST: routes}, {}, dict.fromkeys(keys, workspace), True)


class LateReading:
    """A gateway that was cut off, and reads the newest configuration in mid-request.

    Parameters
    ----------
    before, newest : Catalogue

    Attributes
    ----------
    reads_before_answer : bool
        Whether it reads just before or just after the request's first question whether
        its configuration is current.
    """

    def __init__(self, before, newest):
        self.freshness = Freshness(REVOCATION_BOUND_SECONDS)
        self.registry = Registry(time.monotonic, self.apply)
        self.newest = newest
        self.reads_before_answer = True
        self.read(before)

    def apply(self):
        self.freshness.set_version(self.registry.catalogue.version)

    def read(self, catalogue):
        update = CatalogueUpdate(catalogue.version, catalogue)
        self.registry.apply_batch(Batch((update,), update.revision, False, 0.0, 1))

    def read_newest(self):
        if self.registry.catalogue is not self.newest:
            self.read(self.newest)
            self.freshness.confirm(self.newest.version, 100.0)

    def trust(self):
        if self.reads_before_answer:
            self.read_newest()
        answer = self.freshness.trust(100.0)
        self.read_newest()
        return answer


class AdmittedError(Exception):
    """A request was routed and authenticated."""


def admit(*args):
    raise AdmittedError


def make_app(app_class, gateway, **options):
    own_load = SimpleNamespace(check=lambda *_: None, record_bytes=lambda _: None)
    suspects = SimpleNamespace(wait_until_informed=lambda: None)
    app = app_class(
        "e1",
        "1",
        SimpleNamespace(suspects=suspects, clock=time.monotonic),
        None,
        8,
        SimpleNamespace(),
        gateway.registry,
        gateway.trust,
        None,
        own_load,
        **options,
    )
    app._bodies = SimpleNamespace(read=lambda *_: b"")
    app._run = admit
    return app


def result_of(app, path, headers=()):
    """Return the code with which an app refuses a request, or None."""
    pairs = [("Host", HOST), ("X-Request-Id", "r1"), (KEY_HEADER, KEY), *headers]
    http = SimpleNamespace(header_pairs=pairs, uri=path.encode(), method=b"GET")
    try:
        app._handle(http, "r1", SimpleNamespace(), SimpleNamespace())
    except RequestError as error:
        return error.code
    except AdmittedError:
        return None


@pytest.fixture(params=[GatewayApp, RelayApp])
def decide(request, monkeypatch):
    """Return a function that sends a request to the port of callers, or of peers.

    It returns what `result_of` does.
    """

    def call(gateway, path):
        if request.param is GatewayApp:
            return result_of(make_app(GatewayApp, gateway), path)
        app = make_app(RelayApp, gateway, is_peer=lambda _: True)
        monkeypatch.setattr(app, "_require_peer", lambda: None)
        terms = RelayTerms(instance="e2", service="plain", time_left=1.0)
        header = (RELAY_HEADER, terms.model_dump_json())
        return result_of(app, path, headers=[header])

    return call


# The key was looked up in the former configuration and trusted by evidence of its
# successor, which had been read in between.
def test_a_key_revoked_by_a_configuration_read_in_mid_request_is_not_accepted(decide):
    gateway = LateReading(make_catalogue(1, [KEY]), make_catalogue(2, ["other"]))
    assert decide(gateway, "/look/1") is Code.UNAUTHENTICATED


# The same with a route: the former configuration denied what its successor allows.
def test_a_route_added_by_a_configuration_read_in_mid_request_is_not_denied(decide):
    newest = make_catalogue(2, [KEY], ["/look/", "/added/"])
    gateway = LateReading(make_catalogue(1, [KEY]), newest)
    assert decide(gateway, "/added/1") is None


def test_a_configuration_read_after_the_question_decides_instead_of_the_former(decide):
    newest = make_catalogue(2, ["other"])
    gateway = LateReading(make_catalogue(1, [KEY]), newest)
    gateway.freshness.confirm(1, 99.0)
    gateway.reads_before_answer = False
    assert decide(gateway, "/look/1") is Code.UNAUTHENTICATED


class KeptConnections:
    """Connections to a gateway that callers opened before it stopped."""

    def __init__(self, fleet, address, count):
        self.pools = [
            urllib3.HTTPConnectionPool(address, fleet.ports[0], timeout=8.0)
            for _ in range(count)
        ]
        self.statuses = []

    def send(self, pool, name):
        headers = {"Host": HOST, "X-Request-Id": name, KEY_HEADER: KEY}
        response = pool.request("GET", "/look/1", headers=headers, retries=False)
        self.statuses.append(response.status)

    def send_all(self, prefix):
        """Send a request on each connection, and return the threads that wait."""
        threads = [
            threading.Thread(target=self.send, args=(pool, f"{prefix}-{number}"))
            for number, pool in enumerate(self.pools)
        ]
        for thread in threads:
            thread.start()
        return threads


# Reports that peers had sent before the revocation lay unread in the socket, and
# counted as new when the gateway went on. Without the store it learns of the newer
# configuration by reports alone.
def test_a_gateway_that_was_stopped_accepts_no_key_that_was_revoked_meanwhile(tmp_path):
    target = make_target()
    revoke_seconds = 2.0
    bounds = {"revokeMs": round(1000 * revoke_seconds)}
    with StoreFleet(tmp_path, count=3, bounds=bounds) as fleet, target:
        fleet.list_target("t1", target)
        fleet.start()
        stopped, process = fleet.addresses[0], fleet.processes[0]
        # Clocks of peers are known after 1.5 s.
        time.sleep(2.5)
        callers = KeptConnections(fleet, stopped, 8)
        for thread in callers.send_all("before"):
            thread.join()
        assert callers.statuses == [200] * 8
        process.send_signal(signal.SIGSTOP)
        fleet.turn_away(stopped)
        # Peers go on to report that the first configuration is the newest.
        time.sleep(1.0)
        fleet.configure(2, keys=["other"])
        time.sleep(revoke_seconds + 0.1)
        threads = callers.send_all("after")
        time.sleep(0.2)
        process.send_signal(signal.SIGCONT)
        for thread in threads:
            thread.join()
    assert len(callers.statuses) == 16
    assert not [seen for seen in target.seen if b"X-Request-Id: after" in seen]
    assert 200 not in callers.statuses[8:]
