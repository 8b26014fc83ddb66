"""A plain service: bookings that must happen once, and lookups."""

import threading
import time
from collections import Counter

import cherrypy
import orjson

from .journal import Journal
from .report import LaggingGauges

METRIC_BY_GAUGE = {"running": "http_requests_in_progress"}


class PlainApp:
    """Counts how often each request and each body was run.

    Parameters
    ----------
    delay : float
        Seconds that each request takes.
    lag : float
        Age of the load report, seconds.
    """

    def __init__(self, delay=0.005, lag=0.0, journal=None):
        self.journal = journal or Journal()
        self.delay = delay
        self.gauges = LaggingGauges(lag)
        self.running = 0
        self.peak = 0
        self.runs: Counter = Counter()
        self.times: list[float] = []
        self._lock = threading.Lock()

    @cherrypy.expose
    def metrics(self):
        """Serve the load report."""
        cherrypy.response.headers["Content-Type"] = "text/plain"
        return self.gauges.render(METRIC_BY_GAUGE)

    @cherrypy.expose
    def ledger(self):
        """Serve what was run, and when."""
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps(
            {"runs": dict(self.runs), "peak": self.peak, "times": self.times}
        )

    @cherrypy.expose
    def default(self, *parts, **query):
        """Run any other request."""
        http = cherrypy.request
        length = int(http.headers.get("Content-Length") or 0)
        body = http.rfile.read(length) if length else b""
        self.journal.write(
            request_id=http.headers.get("X-Request-Id", ""),
            path=http.path_info,
            body=body.decode("latin-1"),
        )
        self._count(1, f"{http.method} {http.path_info} {body.decode('latin-1')}")
        try:
            time.sleep(self.delay)
        finally:
            self._count(-1)
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps(
            {"done": True, "path": http.path_info, "body": body.decode("latin-1")}
        )

    def _count(self, change, run=None):
        with self._lock:
            self.running += change
            self.peak = max(self.peak, self.running)
            if run is not None:
                self.runs[run] += 1
                self.times.append(time.time())
            self.gauges.record(running=self.running)
