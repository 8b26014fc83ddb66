"""CherryPy application that serves callers' requests."""

import abc
import itertools
import threading
from typing import Any

import cherrypy

from ..deadlines import Deadlines
from ..httpserver.bodyroom import BodyRoom
from ..httpserver.strict import REQUEST_KEY
from ..kinds import IncomingRequest
from ..log import get_logger
from ..metrics import Metrics
from ..outcome import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Code,
    Outcome,
    RequestError,
)
from ..presence import CallerWatch
from .bodies import BodyReader
from .callers import CallerTable
from .keys import (
    KEY_HEADER,
    KEYS_HEADERS,
    KEYS_PATH,
    MAX_KEYS_BODY_BYTES,
    issue_keys,
    unknown_outcome_if_keyed,
)
from .relaying import (
    HEADERS_WITHHELD_FROM_TARGETS,
    RelayedBody,
    end_to_end,
    response_headers,
)
from .routing import MODELS_PATH, find_route, models_document, service_of_model
from .serving import EntryRequest, EntryResponse, internal_error
from .tally import RequestMetrics

log = get_logger("entry")

BUSY_RETRY_AFTER_SECONDS = 1.0
# One in this many concurrent requests may still be receiving its body.
RECEIVING_BODY_DIVISOR = 4
NO_BODY_STATUSES = frozenset({204, 205, 304})


class BaseEntryApp(abc.ABC):
    """Base of the callers' applications, independent of their protocols.

    It counts requests, relays responses and refuses requests over capacity.

    Parameters
    ----------
    instance, incarnation : str
        Name and start identifier of the instance; make request ids unique.
    scheduler : object
        Its ``run`` takes an `IncomingRequest` and returns the run of the request.
    metrics : Metrics
        Metrics that count the requests.
    max_requests : int
        Maximum number of concurrent requests.
    body_room : BodyRoom
        Memory for the bodies of requests.
    """

    request_class = EntryRequest
    response_class = EntryResponse
    # Whether an interrupted event stream ends with an ``error`` event.
    sends_error_event = True

    def __init__(
        self, instance, incarnation, scheduler, metrics, max_requests, body_room
    ):
        self.scheduler = scheduler
        self.metrics = metrics
        self.max_requests = max_requests
        self.stopping = False
        self.active = 0
        self._lock = threading.Lock()
        self._ids = (
            f"{instance}-{incarnation}-{number}" for number in itertools.count(1)
        )
        self._watch = CallerWatch()
        self.body_room = body_room
        slots = max(1, max_requests // RECEIVING_BODY_DIVISOR)
        self._bodies = BodyReader(Deadlines(), slots, body_room)

    @abc.abstractmethod
    def is_configured(self):
        """Return whether declarations are in force."""

    @abc.abstractmethod
    def _handle(self, http, request_id, response, request_metrics):
        """Return the body of the response, and set its status and headers."""

    def request_id(self, http):
        """Return a new id for a request, unique in the fleet."""
        return next(self._ids)

    def handle(self):
        """Handle any request."""
        response = cherrypy.serving.response
        http = cherrypy.serving.request.wsgi_environ[REQUEST_KEY]
        with self._lock:
            request_id = self.request_id(http)
            self.active += 1
        request_metrics = RequestMetrics(self.metrics)
        try:
            body = self._handle(http, request_id, response, request_metrics)
            if not response.stream:
                request_metrics.end()
            return body
        except RequestError as error:
            self._refuse(response, error, request_id, request_metrics)
        except Exception:
            log.exception("a request failed", request=request_id)
            self._refuse(response, internal_error(), request_id, request_metrics)
        finally:
            response.header_pairs = [
                *response.header_pairs,
                (REQUEST_ID_HEADER, request_id),
            ]
            if self.stopping:
                # Make the caller send its next request to another instance.
                http.close_connection = True
            if not response.stream:
                self._end_request(http)
        return response.body

    def _refuse(self, response, error, request_id, request_metrics):
        response.refuse(error, request_id)
        request_metrics.end(error)

    def _end_request(self, http):
        if http.held_body is not None:
            http.held_body.release()
        with self._lock:
            self.active -= 1

    def _run(self, http, request, response, request_metrics):
        sock = http.conn.socket
        self._watch.watch(sock, request.caller_connection)
        streaming = False
        try:
            run = self.scheduler.run(request)
            try:
                first = next(run, b"")
            except BaseException:
                run.close()
                raise
            request_metrics.record_first_byte()
            response.status = run.head.status
            response.header_pairs = [
                *response_headers(run.head),
                (OUTCOME_HEADER, Outcome.ANSWERED.value),
            ]
            if not first:
                self._fix_empty_content_length(request, response)
                return b""
            streaming = response.stream = True
        finally:
            if not streaming:
                self._watch.unwatch(sock)
        return RelayedBody(
            run,
            first,
            lambda error: self._finish_stream(http, request_metrics, error),
            self.sends_error_event,
        )

    def _finish_stream(self, http, request_metrics, error):
        request_metrics.end(error)
        self._watch.unwatch(http.conn.socket)
        self._end_request(http)

    @staticmethod
    def _fix_empty_content_length(request, response):
        """Drop the target's Content-Length, unless HTTP omits the body anyway."""
        if request.method == "HEAD" or response.status in NO_BODY_STATUSES:
            return
        response.header_pairs = [
            pair
            for pair in response.header_pairs
            if pair[0].lower() != "content-length"
        ]

    def _check_capacity(self):
        if self.stopping:
            raise RequestError(
                Code.STOPPING, "this instance is stopping", retry_after=0.0
            )
        if not self.is_configured():
            raise RequestError(
                Code.NO_COORDINATOR,
                "no configuration yet",
                retry_after=BUSY_RETRY_AFTER_SECONDS,
            )
        if self.active > self.max_requests:
            raise RequestError(
                Code.OVERLOADED,
                "this instance has too many requests in progress",
                retry_after=BUSY_RETRY_AFTER_SECONDS,
            )


class EntryApp(BaseEntryApp):
    """Serves callers' requests in Almondglade's own protocol.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    incarnation : str
        Identifier of this start of the instance.
    scheduler : Scheduler
        Runs the requests.
    store : ConfigurationStore
        Declarations that are in force.
    metrics : Metrics or None
        Metrics that count the requests; new ones if None.
    """

    def __init__(self, settings, incarnation, scheduler, store, metrics=None):
        metrics = metrics or Metrics()
        super().__init__(
            settings.instance,
            incarnation,
            scheduler,
            metrics,
            settings.max_requests,
            BodyRoom(settings.memory_mb << 20, metrics),
        )
        self.settings = settings
        self.store = store
        self.callers: Any = None
        store.subscribe(self._update_callers)

    def _update_callers(self, update):
        self.callers = CallerTable(self.store.declarations)

    def is_configured(self):
        """Return whether declarations are in force."""
        return self.callers is not None

    def _handle(self, http, request_id, response, request_metrics):
        method = http.method.decode("latin-1")
        with unknown_outcome_if_keyed(method, header_of(http, KEY_HEADER)):
            self._check_capacity()
        path, _, query = http.uri.decode("latin-1").partition("?")
        caller = self.callers.authenticate(header_of(http, "authorization"))
        services = self.store.declarations.services
        if path == MODELS_PATH and method in ("GET", "HEAD"):
            response.header_pairs = [("Content-Type", "application/json")]
            return models_document(services)
        if path == KEYS_PATH:
            response.header_pairs = list(KEYS_HEADERS)
            body = self._bodies.read(http, MAX_KEYS_BODY_BYTES, request_id)
            return issue_keys(self.scheduler, caller.workspace, method, body)
        route = find_route(services, method, path)
        if route.service is not None:
            self._check_plan(caller, route.service)
        with unknown_outcome_if_keyed(method, header_of(http, KEY_HEADER)):
            body = self._bodies.read(http, route.max_body_bytes, request_id)
        service = route.service or service_of_model(services, body)
        self._check_plan(caller, service)
        request_metrics.service, request_metrics.tier = service, caller.tier
        request = IncomingRequest(
            request_id,
            caller.workspace,
            caller.tier,
            service,
            method,
            route.path,
            query,
            (
                *end_to_end(http.header_pairs, HEADERS_WITHHELD_FROM_TARGETS),
                (REQUEST_ID_HEADER, request_id),
            ),
            body,
            header_of(http, KEY_HEADER),
        )
        return self._run(http, request, response, request_metrics)

    def _check_plan(self, caller, service):
        if self.store.declarations.allowance(caller.workspace, service) is None:
            raise RequestError(Code.FORBIDDEN, f"the plan does not include {service}")


def header_of(http, name):
    """Return the value of a header that must not be repeated, or None."""
    return next(
        (value for key, value in http.header_pairs if key.lower() == name), None
    )
