"""Endpoint that the platform's load balancer polls."""

import cherrypy


class ReadinessEndpoint:
    """Readiness check of the platform's load balancer, at ``/api/ready``.

    Parameters
    ----------
    is_ready : callable
        Returns whether callers may be sent to this instance.
    """

    def __init__(self, is_ready):
        self.is_ready = is_ready
        self.api = self

    @cherrypy.expose
    def ready(self):
        """Respond with 200 if callers may be sent to this instance, else with 503."""
        if not self.is_ready():
            cherrypy.response.status = 503
            return b"not ready\n"
        return b"ready\n"
