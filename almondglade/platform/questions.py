"""What the platform asks of an instance."""

import cherrypy


class ReadinessEndpoint:
    """Answers the platform's balancer at ``/api/ready``.

    Parameters
    ----------
    is_ready : callable
        Tells whether callers may be sent here.
    """

    def __init__(self, is_ready):
        self.is_ready = is_ready
        self.api = self

    @cherrypy.expose
    def ready(self):
        """Tell whether the balancer should send callers here."""
        if not self.is_ready():
            cherrypy.response.status = 503
            return b"not ready\n"
        return b"ready\n"
