"""Structured logging; each message is prefixed with the part that logs it."""

import logging
import queue
import sys
import threading
import time
from typing import Any

from .imports import without_module

with without_module("rich"):
    # Only its console renderer would use it.
    import structlog

# Capacity of the output queue in lines; about two seconds of output.
MAX_QUEUED_LINES = 2000
# Lines per second above which info lines are dropped; several times
# what an instance writes at full load.
MAX_LINES_PER_SECOND = 500


class BoundedOutput:
    """A stream that never blocks its writers and limits the output volume.

    Lines go through a bounded queue to one writer thread. Lines that do not fit in the
    queue, and info lines above the rate limit, are dropped; their number is written
    as a separate line.

    Parameters
    ----------
    stream : file object
        Destination of the lines.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the start.
    """

    def __init__(self, stream, clock=time.monotonic):
        self.stream = stream
        self.clock = clock
        self.dropped = 0
        self._reported = 0
        self._current_second = 0
        self._lines_in_second = 0
        self._queue: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line):
        """Queue a line without blocking."""
        second = int(self.clock())
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_LINES_PER_SECOND and '"level": "info"' in line:
            self.dropped += 1
            return
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def flush(self):
        """Do nothing, because the writer thread flushes the stream."""

    def close(self, seconds):
        """Wait until the queue is empty, at most the given number of seconds."""
        end = self.clock() + seconds
        while not self._queue.empty() and self.clock() < end:
            time.sleep(0.01)

    def _run(self):
        while True:
            lines = [self._queue.get()]
            while len(lines) < MAX_QUEUED_LINES and not self._queue.empty():
                lines.append(self._queue.get())
            if self.dropped > self._reported:
                lines.append(self._drop_report())
            try:
                self.stream.write("".join(lines))
                self.stream.flush()
            except (OSError, ValueError):
                # The reader of the output has closed it, so the error cannot be logged.
                self.dropped += len(lines)

    def _drop_report(self):
        count, self._reported = self.dropped - self._reported, self.dropped
        return f'{{"event": "log: lines left out", "count": {count}}}\n'


BOUNDED_OUTPUTS: list[BoundedOutput] = []


def configure_logs(level="info", form="console", to_output=False):
    """Set up structlog for the whole process.

    Parameters
    ----------
    level : {"debug", "info", "warning", "error"}
        Lowest level written.
    form : {"console", "json"}
        Format of each line.
    to_output : bool
        If True, write to standard output through a `BoundedOutput`; otherwise write
        directly to standard error.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    factory: Any = structlog.PrintLoggerFactory(sys.stderr)
    if to_output:
        BOUNDED_OUTPUTS[:] = [BoundedOutput(sys.stdout)]
        stream: Any = BOUNDED_OUTPUTS[0]
        factory = structlog.WriteLoggerFactory(stream)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _prefix_part,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=factory,
        cache_logger_on_first_use=False,
    )


def dropped_lines():
    """Return the number of lines dropped since the start."""
    return sum(output.dropped for output in BOUNDED_OUTPUTS)


def flush_logs(seconds):
    """Wait until the queued lines are written, at most the given seconds."""
    for output in BOUNDED_OUTPUTS:
        output.close(seconds)


def get_logger(part):
    """Return the logger of one part of the system.

    Parameters
    ----------
    part : str
        Prefix of every line that the part writes.
    """
    return structlog.get_logger(part=part)


def _prefix_part(logger, method, event):
    part = event.pop("part", "")
    event["event"] = f"{part}: {event['event']}" if part else event["event"]
    return event
