"""The callers' port: a CherryPy application."""

import itertools
import math
import threading
from typing import Any

import cherrypy
import orjson

from ..kinds import IncomingRequest
from ..log import get_logger
from ..outcome import Code, Outcome, RequestError
from .callers import CallerTable
from .keys import before_lookup, issue_keys

log = get_logger("entry")

COMPLETION_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
REQUEST_ID_HEADER = "X-Request-Id"
OUTCOME_HEADER = "X-Almondglade-Outcome"
BUSY_RETRY_SECONDS = 1.0
# RFC 9110 section 7.6.1, and those that this side sets itself.
HOP_BY_HOP = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class RelayedBody:
    """The body of a run's answer, as the server iterates and closes it.

    Parameters
    ----------
    run : Run
        Iterator over the body.
    on_end : callable
        Called once, when the body ends or is closed.
    """

    def __init__(self, run, on_end):
        self._run = run
        self._on_end = on_end

    def __iter__(self):
        return self

    def __next__(self):
        try:
            return next(self._run)
        except BaseException:
            self.close()
            raise

    def close(self):
        """End the run if it has not ended yet."""
        self._run.close()
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end()


class EntryApp:
    """Answers callers' requests.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    incarnation : str
        Changes with each start.
    scheduler : Scheduler
        Runs the requests.
    store : ConfigurationStore
        Declared document in force.
    """

    def __init__(self, settings, incarnation, scheduler, store):
        self.settings = settings
        self.scheduler = scheduler
        self.store = store
        self.stopping = False
        self.active = 0
        self._lock = threading.Lock()
        self._ids = (
            f"{settings.instance}-{incarnation}-{number}"
            for number in itertools.count(1)
        )
        self.callers: Any = None
        store.subscribe(self._configured)

    def _configured(self, update):
        self.callers = CallerTable(self.store.declarations)

    @cherrypy.expose
    def default(self, *parts, **query):
        """Answer any path."""
        with self._lock:
            request_id = next(self._ids)
            self.active += 1
        streaming = False
        try:
            cherrypy.response.headers[REQUEST_ID_HEADER] = request_id
            answer = self._answer(request_id)
            streaming = cherrypy.response.stream
            return answer
        except RequestError as error:
            return self._refusal(error)
        finally:
            if not streaming:
                self._leave()

    def _leave(self):
        with self._lock:
            self.active -= 1

    def _answer(self, request_id):
        with before_lookup():
            self._check_capacity()
        http = cherrypy.request
        path = http.wsgi_environ.get("REQUEST_URI", http.path_info).partition("?")[0]
        caller = self.callers.authenticate(http.headers.get("Authorization"))
        if path == "/v1/models":
            return self._models()
        if path == "/v1/keys":
            return issue_keys(self.scheduler, caller.workspace)
        request = self._incoming(request_id, caller, path)
        run = self.scheduler.run(request)
        cherrypy.response.status = run.head.status
        for name, value in run.head.headers:
            if name.lower() not in HOP_BY_HOP:
                cherrypy.response.headers[name] = value
        cherrypy.response.headers[REQUEST_ID_HEADER] = request_id
        cherrypy.response.headers[OUTCOME_HEADER] = Outcome.ANSWERED.value
        cherrypy.response.stream = True
        return RelayedBody(run, self._leave)

    def _check_capacity(self):
        if self.stopping:
            raise RequestError(
                Code.STOPPING, "this instance is stopping", retry_after=0.0
            )
        if self.callers is None:
            raise RequestError(
                Code.NO_COORDINATOR,
                "no configuration yet",
                retry_after=BUSY_RETRY_SECONDS,
            )
        if self.active > self.settings.max_requests:
            raise RequestError(
                Code.OVERLOADED,
                "this instance has too many requests in progress",
                retry_after=BUSY_RETRY_SECONDS,
            )

    def _incoming(self, request_id, caller, path):
        service_name, target_path, body = self._route(path)
        http = cherrypy.request
        if self.store.declarations.allowance(caller.workspace, service_name) is None:
            raise RequestError(
                Code.FORBIDDEN, f"the plan does not include {service_name}"
            )
        headers = tuple(
            (name, value)
            for name, value in http.headers.items()
            if name.lower() not in HOP_BY_HOP
        )
        return IncomingRequest(
            request_id,
            caller.workspace,
            caller.tier,
            service_name,
            http.method,
            target_path,
            http.query_string,
            headers,
            body,
            http.headers.get("Idempotency-Key"),
        )

    def _route(self, path):
        services = self.store.declarations.services
        if path in COMPLETION_PATHS:
            body = self._read_body(max(s.max_body_bytes for s in services.values()))
            return self._service_of_model(body), path, body
        name, _, rest = path.lstrip("/").partition("/")
        service = services.get(name)
        if service is None or service.models:
            raise RequestError(Code.NOT_FOUND, f"no service at {path}")
        return name, f"/{rest}", self._read_body(service.max_body_bytes)

    def _service_of_model(self, body):
        try:
            model = orjson.loads(body).get("model")
        except (orjson.JSONDecodeError, AttributeError) as error:
            raise RequestError(Code.BAD_REQUEST, "body is not a JSON object") from error
        for name, service in self.store.declarations.services.items():
            if model in service.models:
                return name
        raise RequestError(Code.NOT_FOUND, f"no model named {model!r}")

    def _read_body(self, limit):
        length = int(cherrypy.request.headers.get("Content-Length") or 0)
        if length > limit:
            raise RequestError(Code.BODY_TOO_LARGE, f"the limit is {limit} bytes")
        body = cherrypy.request.rfile.read(length) if length else b""
        if len(body) < length:
            raise RequestError(Code.BAD_REQUEST, "the body ends too early")
        return body

    def _models(self):
        names = [
            model
            for service in self.store.declarations.services.values()
            for model in service.models
        ]
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps(
            {
                "object": "list",
                "data": [{"id": name, "object": "model"} for name in sorted(names)],
            }
        )

    def _refusal(self, error):
        headers = cherrypy.response.headers
        cherrypy.response.status = error.code.status
        headers["Content-Type"] = "application/json"
        headers[OUTCOME_HEADER] = error.outcome.value
        body = {
            "error": {
                "code": error.code.text,
                "message": error.message,
                "outcome": error.outcome.value,
                "request_id": headers[REQUEST_ID_HEADER],
            }
        }
        if error.retry_after is not None:
            headers["Retry-After"] = str(math.ceil(error.retry_after))
            body["error"]["retry_after"] = error.retry_after
        return orjson.dumps(body)
