"""Load reports in Prometheus text form, as old as the stand-in is told."""

import threading
import time
from collections import deque

MAX_SAMPLES = 4096


class LaggingGauges:
    """Gauges that are read as they were some time ago.

    Parameters
    ----------
    lag : float
        Age of what is read, seconds.
    """

    def __init__(self, lag):
        self.lag = lag
        self.epoch = time.time()
        self._samples: deque[tuple[float, dict]] = deque(
            [(0.0, {})], maxlen=MAX_SAMPLES
        )
        self._lock = threading.Lock()

    def record(self, **gauges):
        """Note the present values."""
        with self._lock:
            self._samples.append((time.monotonic(), gauges))

    def read(self):
        """Return the values of `lag` seconds ago."""
        until = time.monotonic() - self.lag
        with self._lock:
            return next(
                (g for taken, g in reversed(self._samples) if taken <= until), {}
            )

    def render(self, names):
        """Return the text exposition of gauges under their metric names.

        Parameters
        ----------
        names : dict
            Metric name by gauge name.
        """
        values = self.read()
        lines = [f"process_start_time_seconds {self.epoch}"]
        lines += [f"{metric} {values.get(key, 0)}" for key, metric in names.items()]
        return ("\n".join(lines) + "\n").encode()
