"""Callers that reuse connections and check each response."""

import contextlib
import http.client
import random
import re
import threading
import time

from test.gatewayfleet import HOST

from .ledger import CallerOutcome
from .targets import EVENT_COUNT, PROMPT_PARTS_HEADER, SEAL_HEADER, make_event

TIME_LIMIT_SECONDS = 3.0
# Added to a request's time limit on the caller's side, so that the gateway's timeout
# response still arrives.
RESPONSE_GRACE_SECONDS = 3.0
PAUSE_SECONDS = (0.0, 0.06)
# Share of the requests that repeat one that crashes targets, once there is one.
CRASHING_SHARE = 0.05
EVENT_PATTERN = re.compile(rb"id: ([0-9]+)\ndata: [^ ]+ [0-9]+ ([^\n ]+)\n\n")
# A request that crashes targets is refused for longer than any other.
LONGEST_RETRY_AFTER_SECONDS = 60.0
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
                path = self.rng.choice(self.fleet.crashing_paths)
                self._send(path, cause=path)
            elif (
                self.fleet.kind_by_crashing_part and self.rng.random() < CRASHING_SHARE
            ):
                self._send_crashing_part()
            else:
                kind = self.rng.choice(REQUEST_KINDS)
                self._call(f"/{kind}/{self.request_count}")
            self.stopped.wait(self.rng.uniform(*PAUSE_SECONDS))

    def _send_crashing_part(self):
        part, kind = self.rng.choice(list(self.fleet.kind_by_crashing_part.items()))
        self._send(f"/{kind}/{self.name}-{self.request_count}", cause=part)

    def _call(self, path):
        request_id, body, is_complete = self._send(path)
        if path.startswith("/stream/") and not is_complete:
            self._take_up(path, request_id, body)

    def _take_up(self, path, stream_id, body):
        """Let another request continue a stream that broke off after some events."""
        received = b"".join(match[0] for match in EVENT_PATTERN.finditer(body))
        self._check_events(stream_id, received)
        if not received:
            return
        last_event_id = EVENT_PATTERN.findall(received)[-1][0].decode()
        headers = {"Last-Event-Id": last_event_id, "Resumes": stream_id}
        _, rest, is_complete = self._send(path, headers, received)
        if not is_complete:
            rest = b"".join(match[0] for match in EVENT_PATTERN.finditer(rest))
            self._check_events(stream_id, received + rest)

    def _send(self, path, headers=(), received=b"", cause=""):
        """Send a request and check its response.

        Parameters
        ----------
        headers : mapping of str to str
            Further headers of the request.
        received : bytes
            Events of the stream that were received before.
        cause : str
            What of it crashes targets, its path or a part of its prompt; empty if
            nothing does.

        Returns
        -------
        request_id : str
        body : bytes
            What was received of the body of a success.
        is_complete : bool
            Whether the response was complete, or failed.
        """
        self.request_count += 1
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
        if cause:
            self.ledger.record_crashing_request(request_id, cause, address)
        crashing_parts = () if cause in ("", path) else (cause,)
        parts = ("common", *crashing_parts, request_id)
        headers = {
            PROMPT_PARTS_HEADER: ",".join(f"{part}:9" for part in parts),
            **dict(headers),
        }
        sent_at = time.monotonic()
        status, body, is_complete = None, b"", True
        with contextlib.suppress(OSError, http.client.HTTPException):
            status, body, is_complete = self._exchange(
                connection, request_id, path, key, headers, received, cause
            )
            # The connection of a response that broke off takes no other request.
            if self.rng.random() < 0.9 and status is not None:
                self.connection_by_address[address] = connection
        ended_at = time.monotonic()
        undisturbed = self.fleet.is_undisturbed(sent_at)
        self.ledger.record_outcome(
            CallerOutcome(request_id, key, status, sent_at, ended_at, undisturbed)
        )
        if (
            undisturbed
            and status is None
            and not cause
            # A stream cut by its target ends at its caller too, unless it is resumed.
            and request_id not in self.ledger.cut_streams
        ):
            self.ledger.record_violation(f"{request_id} at {address} got no response")
        return request_id, body, is_complete

    def _choose_address(self):
        """Return a gateway with an open connection or one that is ready."""
        if self.connection_by_address and self.rng.random() < 0.7:
            return self.rng.choice(list(self.connection_by_address))
        return self.rng.choice(self.fleet.ready or self.fleet.addresses)

    def _exchange(self, connection, request_id, path, key, headers, received, cause):
        headers |= {
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
        if cause:
            # A stream that its target ended between two events may look complete.
            return (response.status if is_complete else None), b"", True
        retry_after = float(response.headers.get("Retry-After", 0.0))
        if retry_after > LONGEST_RETRY_AFTER_SECONDS:
            self.ledger.record_violation(f"{request_id} was barred and crashes nothing")
        if response.status != 200:
            return (response.status if is_complete else None), b"", True
        if is_complete:
            stream_id = headers.get("Resumes", request_id)
            self._check(request_id, kind, response.headers, stream_id, received + body)
        return (200 if is_complete else None), body, is_complete

    def _check(self, request_id, kind, headers, stream_id, body):
        """Check a complete response; of a stream, with the events received before."""
        if headers.get(SEAL_HEADER) != request_id:
            self.ledger.record_violation(
                f"{request_id} got the seal of {headers.get(SEAL_HEADER)}"
            )
        if kind == "stream":
            self._check_events(stream_id, body, EVENT_COUNT)
        elif body != f"{request_id} done".encode():
            self.ledger.record_violation(f"{request_id} got {body!r}")

    def _check_events(self, stream_id, events, count=None):
        """Check that events are the first ones of a stream, all of one version.

        Parameters
        ----------
        count : int or None
            Expected number of events; any if None.
        """
        versions = [version.decode() for _, version in EVENT_PATTERN.findall(events)]
        if count is None:
            count = len(versions)
        version = versions[0] if versions else ""
        expected = b"".join(
            make_event(stream_id, number, version) for number in range(1, count + 1)
        )
        if events != expected:
            self.ledger.record_violation(f"{stream_id} got a wrong stream: {events!r}")


def read_body(response):
    """Return the body of a response and whether it is complete."""
    try:
        return response.read(), True
    except (http.client.HTTPException, OSError) as error:
        return getattr(error, "partial", b""), False
