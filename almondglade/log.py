"""Structured logs: short sentences with a fixed prefix for each part."""

import logging
import queue
import sys
import threading
import time
from typing import Any

import structlog

# Lines that may wait for a reader of the output; about two seconds' worth.
QUEUED_LINES = 2000
# Lines a second over which those below a warning are left out; several times
# what an instance writes at its full load.
LINES_PER_SECOND = 500


class BoundedOutput:
    """A stream that never blocks its writers and bounds its volume.

    Lines go through a bounded queue to one thread. What does not fit, or is
    over the rate and below a warning, is counted and told in a line of its own.

    Parameters
    ----------
    stream : file object
        Where lines are written.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    left_out : int
        Lines that were left out since the start.
    """

    def __init__(self, stream, clock=time.monotonic):
        self.stream = stream
        self.clock = clock
        self.left_out = 0
        self._told = 0
        self._second = 0
        self._lines = 0
        self._queue: queue.Queue[str] = queue.Queue(QUEUED_LINES)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line):
        """Queue a line; never waits."""
        second = int(self.clock())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > LINES_PER_SECOND and '"level": "info"' in line:
            self.left_out += 1
            return
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            self.left_out += 1

    def flush(self):
        """Do nothing: the thread flushes."""

    def close(self, seconds):
        """Wait until what is queued has been written, for a bounded time."""
        end = self.clock() + seconds
        while not self._queue.empty() and self.clock() < end:
            time.sleep(0.01)

    def _run(self):
        while True:
            lines = [self._queue.get()]
            while len(lines) < QUEUED_LINES and not self._queue.empty():
                lines.append(self._queue.get())
            if self.left_out > self._told:
                lines.append(self._tell())
            try:
                self.stream.write("".join(lines))
                self.stream.flush()
            except (OSError, ValueError):
                # The reader has gone; there is nowhere left to say so.
                self.left_out += len(lines)

    def _tell(self):
        count, self._told = self.left_out - self._told, self.left_out
        return f'{{"event": "log: lines left out", "count": {count}}}\n'


OUTPUT: list[BoundedOutput] = []


def configure_logs(level="info", form="console", to_output=False):
    """Set up structlog for the whole process.

    Parameters
    ----------
    level : {"debug", "info", "warning", "error"}
        Lowest level written.
    form : {"console", "json"}
        Form of each line.
    to_output : bool
        Whether lines go to standard output, bounded and without blocking; to
        standard error otherwise.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    factory: Any = structlog.PrintLoggerFactory(sys.stderr)
    if to_output:
        OUTPUT[:] = [BoundedOutput(sys.stdout)]
        stream: Any = OUTPUT[0]
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


def lines_left_out():
    """Return how many lines were left out since the start."""
    return sum(output.left_out for output in OUTPUT)


def flush_logs(seconds):
    """Wait until the queued lines are written, for a bounded time."""
    for output in OUTPUT:
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
