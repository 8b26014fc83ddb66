"""What operators ask of a gateway."""

import cherrypy
import orjson

from ..clocks import awake_clock
from ..metrics import set_gateway_gauges


class GatewayOperatorApp:
    """Answers operators.

    Parameters
    ----------
    node : GatewayNode
    """

    def __init__(self, node):
        self.node = node

    @cherrypy.expose
    def healthz(self):
        """Tell that the process serves."""
        return b"ok\n"

    @cherrypy.expose
    def metrics(self):
        """Serve the metrics in Prometheus' text form."""
        set_gateway_gauges(self.node.metrics, self.node)
        accepts = cherrypy.request.headers.get("Accept", "").split(",")
        body, content_type = self.node.metrics.render(accepts)
        cherrypy.response.headers["Content-Type"] = content_type
        return body

    @cherrypy.expose
    def dump(self):
        """Return the state of the whole process as JSON."""
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps(self._state(), option=orjson.OPT_INDENT_2)

    def _state(self):
        node = self.node
        now = node.clock()
        with node.lock:
            return {
                "instance": node.settings.instance,
                "incarnation": node.incarnation,
                "ready": not node.stopping,
                "revision": node.freshness.revision,
                "evidence_age": node.freshness.age(awake_clock()),
                "active": node.app.active,
                "peers": [peer.instance for peer in node.fleet.live_peers()],
                "targets": {
                    name: {
                        "running_here": state.running_here,
                        "limit": state.limit(now),
                        "paused": state.health.is_paused(now),
                        "failures": state.health.failure_share(now),
                        "slowness": state.health.slowness,
                        "event_seconds": state.health.event_seconds,
                    }
                    for name, state in node.pools.state_by_target.items()
                },
                "drawn": node.allowances.drawn_here(),
            }
