"""Callers that reuse connections and check each response."""

import contextlib
import http.client
import random
import threading
import time

from test.gatewayfleet import HOST

from .ledger import CallerOutcome
from .targets import EVENT_COUNT, SEAL_HEADER

TIME_LIMIT_SECONDS = 3.0
# Added to a request's time limit on the caller's side, so that the gateway's timeout
# response still arrives.
RESPONSE_GRACE_SECONDS = 3.0
PAUSE_SECONDS = (0.0, 0.06)
# Share of the requests that repeat one that crashes targets, once there is one.
CRASHING_SHARE = 0.05
REQUEST_KINDS = ("book", "look", "look", "stream", "stream")


class Caller:
    """A caller that sends requests one after the other until it is stopped.

    Parameters
    ----------
    name : str
        Prefix of its request ids.
    fleet : SoakFleet
        Gateways to call.
    ledger : Ledger
        Records the requests and their outcomes.
    seed : float
        Seed of its random choices.
    """

    def __init__(self, name, fleet, ledger, seed):
        self.name, self.fleet, self.ledger = name, fleet, ledger
        self.rng = random.Random(seed)
        self.stopped = threading.Event()
        self.connection_by_address = {}
        self.request_count = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.stopped.is_set():
            if self.fleet.crashing_paths and self.rng.random() < CRASHING_SHARE:
                self._call(self.rng.choice(self.fleet.crashing_paths))
            else:
                kind = self.rng.choice(REQUEST_KINDS)
                self._call(f"/{kind}/{self.request_count}")
            self.stopped.wait(self.rng.uniform(*PAUSE_SECONDS))

    def _call(self, path):
        self.request_count += 1
        is_crashing = path in self.fleet.crashing_paths
        request_id = f"{self.name}-{self.request_count}"
        key = self.fleet.choose_key(self.rng)
        address = self._choose_address()
        connection = self.connection_by_address.pop(address, None)
        if connection is None:
            connection = http.client.HTTPConnection(
                address,
                self.fleet.ports[0],
                timeout=TIME_LIMIT_SECONDS + RESPONSE_GRACE_SECONDS,
            )
        self.ledger.record_request(request_id, key)
        if is_crashing:
            self.ledger.record_crashing_request(request_id, path, address)
        sent_at = time.monotonic()
        status = None
        with contextlib.suppress(OSError, http.client.HTTPException):
            status = self._exchange(connection, request_id, path, key)
            if self.rng.random() < 0.9:
                self.connection_by_address[address] = connection
        ended_at = time.monotonic()
        undisturbed = self.fleet.is_undisturbed(sent_at)
        self.ledger.record_outcome(
            CallerOutcome(request_id, key, status, sent_at, ended_at, undisturbed)
        )
        if undisturbed and status is None and not is_crashing:
            self.ledger.record_violation(f"{request_id} at {address} got no response")

    def _choose_address(self):
        """Return a gateway with an open connection or one that is ready."""
        if self.connection_by_address and self.rng.random() < 0.7:
            return self.rng.choice(list(self.connection_by_address))
        return self.rng.choice(self.fleet.ready or self.fleet.addresses)

    def _exchange(self, connection, request_id, path, key):
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(round(1000 * TIME_LIMIT_SECONDS)),
            "X-Credential": key,
        }
        kind = path.split("/")[1]
        method = "POST" if kind == "book" else "GET"
        connection.request(method, path, headers=headers)
        response = connection.getresponse()
        body, is_complete = read_body(response)
        if response.status == 200 and is_complete:
            self._check(request_id, kind, response.headers, body)
        return response.status if is_complete else None

    def _check(self, request_id, kind, headers, body):
        if headers.get(SEAL_HEADER) != request_id:
            self.ledger.record_violation(
                f"{request_id} got the seal of {headers.get(SEAL_HEADER)}"
            )
        if kind != "stream":
            if body != f"{request_id} done".encode():
                self.ledger.record_violation(f"{request_id} got {body!r}")
            return
        expected = "".join(
            f"id: {number}\ndata: {request_id} {number}\n\n"
            for number in range(1, EVENT_COUNT + 1)
        )
        if body != expected.encode():
            self.ledger.record_violation(f"{request_id} got a wrong stream: {body!r}")


def read_body(response):
    """Return the body of a response and whether it is complete."""
    try:
        return response.read(), True
    except (http.client.HTTPException, OSError) as error:
        return getattr(error, "partial", b""), False
