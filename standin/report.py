"""Load metrics in Prometheus text format, served with a configured delay."""

import threading
import time
from collections import deque

MAX_SAMPLES = 4096


class LaggingGauges:
    """Gauges whose values are served with a delay.

    Parameters
    ----------
    lag : float
        Age of the served values, seconds.
    """

    def __init__(self, lag):
        self.lag = lag
        self.process_started_at = time.time()
        self._samples: deque[tuple[float, dict]] = deque(
            [(0.0, {})], maxlen=MAX_SAMPLES
        )
        self._lock = threading.Lock()

    def record(self, **gauges):
        """Record the current values."""
        with self._lock:
            self._samples.append((time.monotonic(), gauges))

    def read(self):
        """Return the values as of `lag` seconds ago."""
        until = time.monotonic() - self.lag
        with self._lock:
            return next((g for at, g in reversed(self._samples) if at <= until), {})

    def render(self, metric_by_gauge):
        """Return the gauges in Prometheus text format.

        Parameters
        ----------
        metric_by_gauge : dict
            Metric name by gauge name.
        """
        values = self.read()
        lines = [f"process_start_time_seconds {self.process_started_at}"]
        lines += [
            f"{metric} {values.get(key, 0)}" for key, metric in metric_by_gauge.items()
        ]
        return ("\n".join(lines) + "\n").encode()
