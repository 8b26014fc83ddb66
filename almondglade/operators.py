"""The operators' port: health, metrics and the dump."""

import cherrypy
import orjson

from .metrics import set_gauges
from .state import snapshot_of


class OperatorApp:
    """Answers operators.

    Parameters
    ----------
    node : Node
        The running instance.
    """

    def __init__(self, node):
        self.node = node

    @cherrypy.expose
    def healthz(self):
        """Tell that the process serves."""
        return b"ok\n"

    @cherrypy.expose
    def readyz(self):
        """Tell whether the balancer should send callers here."""
        if not self.node.is_ready():
            cherrypy.response.status = 503
            return b"not ready\n"
        return b"ready\n"

    @cherrypy.expose
    def metrics(self):
        """Serve the metrics in Prometheus' text form."""
        set_gauges(self.node.metrics, self.node)
        accepts = cherrypy.request.headers.get("Accept", "").split(",")
        body, content_type = self.node.metrics.render(accepts)
        cherrypy.response.headers["Content-Type"] = content_type
        return body

    @cherrypy.expose
    def dump(self):
        """Return the state of the whole process as JSON."""
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps(snapshot_of(self.node), option=orjson.OPT_INDENT_2)
