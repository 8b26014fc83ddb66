"""Callers that keep connections open and check each answer."""

import contextlib
import http.client
import random
import threading
import time

from test.gatewayfleet import HOST

from .ledger import Told
from .targets import EVENTS, SEAL

TIME_LIMIT_SECONDS = 3.0
# Callers give up a little later than their time, to hear the last word.
LAST_WORD_SECONDS = 3.0
PAUSE_SECONDS = (0.0, 0.06)
KINDS = ("book", "look", "look", "stream", "stream")


class Caller:
    """One caller: sends requests, one after the other, until it is stopped.

    Parameters
    ----------
    name : str
    fleet : SoakFleet
        Whom it calls.
    ledger : Ledger
        Takes what it is told.
    seed : int
        Of its choices.
    """

    def __init__(self, name, fleet, ledger, seed):
        self.name, self.fleet, self.ledger = name, fleet, ledger
        self.rng = random.Random(seed)
        self.stopped = threading.Event()
        self.connection_by_address = {}
        self.count = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.stopped.is_set():
            self._call(self.rng.choice(KINDS))
            self.stopped.wait(self.rng.uniform(*PAUSE_SECONDS))

    def _call(self, kind):
        self.count += 1
        request = f"{self.name}-{self.count}"
        key = self.fleet.choose_key(self.rng)
        address = self._choose_address()
        connection = self.connection_by_address.pop(address, None)
        if connection is None:
            connection = http.client.HTTPConnection(
                address,
                self.fleet.ports[0],
                timeout=TIME_LIMIT_SECONDS + LAST_WORD_SECONDS,
            )
        self.ledger.sends(request, key)
        sent = time.monotonic()
        status = None
        with contextlib.suppress(OSError, http.client.HTTPException):
            status = self._exchange(connection, request, kind, key)
            if self.rng.random() < 0.9:
                self.connection_by_address[address] = connection
        now = time.monotonic()
        calm = self.fleet.is_calm(sent)
        self.ledger.answer(Told(request, key, status, sent, now, calm))
        if calm and status is None:
            self.ledger.breaks(f"{request} at {address} got no answer")

    def _choose_address(self):
        """Return an open connection's gateway or one that is ready."""
        if self.connection_by_address and self.rng.random() < 0.7:
            return self.rng.choice(list(self.connection_by_address))
        return self.rng.choice(self.fleet.ready or self.fleet.addresses)

    def _exchange(self, connection, request, kind, key):
        headers = {
            "Host": HOST,
            "X-Request-Id": request,
            "X-Deadline-Ms": str(round(1000 * TIME_LIMIT_SECONDS)),
            "X-Credential": key,
        }
        method = "POST" if kind == "book" else "GET"
        connection.request(method, f"/{kind}/{self.count}", headers=headers)
        answer = connection.getresponse()
        body, whole = read(answer)
        if answer.status == 200 and whole:
            self._check(request, kind, answer.headers, body)
        return answer.status if whole else None

    def _check(self, request, kind, headers, body):
        if headers.get(SEAL) != request:
            self.ledger.breaks(f"{request} got the seal {headers.get(SEAL)}")
        if kind != "stream":
            if body != f"{request} done".encode():
                self.ledger.breaks(f"{request} got {body!r}")
            return
        expected = "".join(
            f"id: {number}\ndata: {request} {number}\n\n"
            for number in range(1, EVENTS + 1)
        )
        if body != expected.encode():
            self.ledger.breaks(f"{request} got another stream: {body!r}")


def read(answer):
    """Return the body of an answer and whether it is whole."""
    try:
        return answer.read(), True
    except (http.client.HTTPException, OSError) as error:
        return getattr(error, "partial", b""), False
