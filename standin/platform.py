"""The platform's configuration service and list of instances."""

import base64
import threading
import time
from collections import Counter
from dataclasses import dataclass, field, replace

import cherrypy
import orjson

MAX_WAIT_SECONDS = 60.0


@dataclass(frozen=True)
class Published:
    """What the platform holds."""

    document: bytes = b""
    document_index: int = 0
    services: list[dict] = field(default_factory=list)
    services_index: int = 1


@dataclass(frozen=True)
class State:
    """How the platform behaves, to all callers or to one.

    Parameters
    ----------
    down : bool
        Whether it answers with errors.
    delay : float
        Seconds by which each answer is late.
    stale : Published or None
        What is served in place of the present.
    """

    down: bool = False
    delay: float = 0.0
    stale: Published | None = None


class PlatformApp:
    """Serves Consul's read interface; a POST under /standin changes it.

    A caller that reads below ``/for/NAME`` can be treated apart.
    """

    def __init__(self):
        self.index = 1
        self.published = Published()
        self.state = State()
        self.state_by_caller: dict[str, State] = {}
        self.calls_by_caller: Counter = Counter()
        self._changed = threading.Condition()

    @cherrypy.expose
    def default(self, *parts, index="0", wait="0s", **query):
        """Answer reads and the controls of the stand-in."""
        if parts[:1] == ("standin",):
            return self._control(parts[1])
        caller = ""
        if parts[:1] == ("for",):
            caller, parts = parts[1], parts[2:]
        self.calls_by_caller[caller] += 1
        time.sleep(self._state(caller).delay)
        known, seconds = int(index), min(float(wait.rstrip("s")), MAX_WAIT_SECONDS)
        name = "document_index" if parts[:2] == ("v1", "kv") else "services_index"
        with self._changed:
            if known and not self._state(caller).down:
                self._changed.wait_for(
                    lambda: getattr(self._seen(caller), name) != known, seconds
                )
            if self._state(caller).down:
                raise cherrypy.HTTPError(503)
            return self._render(name, self._seen(caller))

    def _state(self, caller):
        return self.state_by_caller.get(caller, self.state)

    def _seen(self, caller):
        return self._state(caller).stale or self.published

    @staticmethod
    def _render(name, seen):
        headers = cherrypy.response.headers
        headers["X-Consul-Index"] = str(max(1, getattr(seen, name)))
        headers["Content-Type"] = "application/json"
        if name == "services_index":
            return orjson.dumps([{"Service": service} for service in seen.services])
        if not seen.document_index:
            cherrypy.response.status = 404
            return b""
        value = base64.b64encode(seen.document).decode()
        return orjson.dumps([{"Value": value, "ModifyIndex": seen.document_index}])

    def _control(self, what):
        length = int(cherrypy.request.headers.get("Content-Length") or 0)
        body = cherrypy.request.rfile.read(length) if length else b""
        with self._changed:
            self.index += 1
            match what:
                case "document":
                    self.published = replace(
                        self.published, document=body, document_index=self.index
                    )
                case "instances":
                    self.published = replace(
                        self.published,
                        services=orjson.loads(body),
                        services_index=self.index,
                    )
                case "state":
                    self._set_state(**orjson.loads(body))
                case "calls":
                    return orjson.dumps(self.calls_by_caller)
                case _:
                    raise cherrypy.NotFound()
            self._changed.notify_all()
        return orjson.dumps({"index": self.index})

    def _set_state(self, caller=None, stale=False, instances=None, **changes):
        """Change the behaviour, to one caller if it is named.

        Parameters
        ----------
        stale : bool
            Serve what is published now for good.
        instances : list of dict or None
            List that is served in place of the published one.
        """
        former = self._state(caller) if caller else self.state
        seen = self.published if stale else None
        if instances is not None:
            seen = replace(
                self.published, services=instances, services_index=self.index
            )
        state = replace(former, **{"stale": seen} | changes)
        if caller:
            self.state_by_caller[caller] = state
        else:
            self.state, self.state_by_caller = state, {}
