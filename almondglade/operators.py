"""HTTP pages for operators: health, metrics and the state dump."""

import abc

import cherrypy
import orjson

from .metrics import set_gauges
from .state import snapshot_of


class OperatorPages(abc.ABC):
    """Pages that each kind of instance serves to operators.

    Parameters
    ----------
    node : object
        The running instance, with its ``metrics``.
    """

    def __init__(self, node):
        self.node = node

    @abc.abstractmethod
    def _set_gauges(self):
        """Set the gauges from the current state."""

    @abc.abstractmethod
    def _snapshot(self):
        """Return the state of the process as JSON-serialisable values."""

    @cherrypy.expose
    def healthz(self):
        """Report that the process is serving."""
        return b"ok\n"

    @cherrypy.expose
    def metrics(self):
        """Serve the metrics in the Prometheus text format."""
        self._set_gauges()
        accepts = cherrypy.request.headers.get("Accept", "").split(",")
        body, content_type = self.node.metrics.render(accepts)
        cherrypy.response.headers["Content-Type"] = content_type
        return body

    @cherrypy.expose
    def dump(self):
        """Return the state of the whole process as JSON."""
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps(self._snapshot(), option=orjson.OPT_INDENT_2)


class OperatorApp(OperatorPages):
    """Operator pages of an entry instance."""

    @cherrypy.expose
    def readyz(self):
        """Report whether the load balancer should route callers to this instance."""
        if not self.node.is_ready():
            cherrypy.response.status = 503
            return b"not ready\n"
        return b"ready\n"

    def _set_gauges(self):
        set_gauges(self.node.metrics, self.node)

    def _snapshot(self):
        return snapshot_of(self.node)
