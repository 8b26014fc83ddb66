"""The platform's configuration service and list of instances."""

import base64
import threading
import time

import cherrypy
import orjson

MAX_WAIT_SECONDS = 60.0


class PlatformApp:
    """Serves Consul's read interface; a POST under /standin changes it."""

    def __init__(self):
        self.index = 1
        self.document = b""
        self.document_index = 0
        self.services: list[dict] = []
        self.services_index = 1
        self.calls = 0
        self.down = False
        self.delay = 0.0
        self._changed = threading.Condition()

    @cherrypy.expose
    def default(self, *parts, index="0", wait="0s", **query):
        """Answer reads and the controls of the stand-in."""
        if parts[:1] == ("standin",):
            return self._control(parts[1])
        self.calls += 1
        time.sleep(self.delay)
        if self.down:
            raise cherrypy.HTTPError(503)
        known, seconds = int(index), min(float(wait.rstrip("s")), MAX_WAIT_SECONDS)
        if parts[:2] == ("v1", "kv"):
            return self._read("document_index", known, seconds, self._document)
        return self._read("services_index", known, seconds, self._services)

    def _read(self, name, known, seconds, render):
        with self._changed:
            if known:
                self._changed.wait_for(lambda: getattr(self, name) != known, seconds)
            if self.down:
                raise cherrypy.HTTPError(503)
            headers = cherrypy.response.headers
            headers["X-Consul-Index"] = str(max(1, getattr(self, name)))
            headers["Content-Type"] = "application/json"
            return render()

    def _document(self):
        if not self.document_index:
            cherrypy.response.status = 404
            return b""
        value = base64.b64encode(self.document).decode()
        return orjson.dumps([{"Value": value, "ModifyIndex": self.document_index}])

    def _services(self):
        return orjson.dumps([{"Service": service} for service in self.services])

    def _control(self, what):
        length = int(cherrypy.request.headers.get("Content-Length") or 0)
        body = cherrypy.request.rfile.read(length) if length else b""
        with self._changed:
            self.index += 1
            match what:
                case "document":
                    self.document, self.document_index = body, self.index
                case "instances":
                    self.services, self.services_index = orjson.loads(body), self.index
                case "state":
                    state = orjson.loads(body)
                    self.down = state.get("down", self.down)
                    self.delay = state.get("delay", self.delay)
                case _:
                    raise cherrypy.NotFound()
            self._changed.notify_all()
        return orjson.dumps({"index": self.index})
