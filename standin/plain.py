"""A simulated plain service that counts how often each request runs."""

import threading
import time
from collections import Counter

import cherrypy
import orjson

from .journal import Journal
from .report import LaggingGauges

METRIC_BY_GAUGE = {"running": "http_requests_in_progress"}


class PlainApp:
    """Serves any path, as bookings that must run only once or as lookups.

    Counts the runs of each method, path and body.

    Parameters
    ----------
    delay : float
        Duration of each request, seconds.
    lag : float
        Age of the load metrics that are served, seconds.
    """

    def __init__(self, delay=0.005, lag=0.0, journal=None):
        self.journal = journal or Journal()
        self.delay = delay
        self.gauges = LaggingGauges(lag)
        self.running = 0
        self.peak_running = 0
        self.runs_by_request: Counter = Counter()
        self.run_times: list[float] = []
        self._lock = threading.Lock()

    @cherrypy.expose
    def metrics(self):
        """Serve the load metrics."""
        cherrypy.response.headers["Content-Type"] = "text/plain"
        return self.gauges.render(METRIC_BY_GAUGE)

    @cherrypy.expose
    def ledger(self):
        """Serve the number of runs by request and the time of each run."""
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps(
            {
                "runs": dict(self.runs_by_request),
                "peak": self.peak_running,
                "times": self.run_times,
            }
        )

    @cherrypy.expose
    def default(self, *parts, **query):
        """Run a request with any other path."""
        http = cherrypy.request
        length = int(http.headers.get("Content-Length") or 0)
        body = http.rfile.read(length) if length else b""
        self.journal.write(
            request_id=http.headers.get("X-Request-Id", ""),
            path=http.path_info,
            body=body.decode("latin-1"),
        )
        self._record_change(
            1, f"{http.method} {http.path_info} {body.decode('latin-1')}"
        )
        try:
            time.sleep(self.delay)
        finally:
            self._record_change(-1)
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps(
            {"done": True, "path": http.path_info, "body": body.decode("latin-1")}
        )

    def _record_change(self, change, request=None):
        with self._lock:
            self.running += change
            self.peak_running = max(self.peak_running, self.running)
            if request is not None:
                self.runs_by_request[request] += 1
                self.run_times.append(time.time())
            self.gauges.record(running=self.running)
