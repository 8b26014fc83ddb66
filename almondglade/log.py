"""Structured logs: short sentences with a fixed prefix for each part."""

import logging
import sys

import structlog


def configure_logs(level="info", form="console", to_output=False):
    """Set up structlog for the whole process.

    Parameters
    ----------
    level : {"debug", "info", "warning", "error"}
        Lowest level written.
    form : {"console", "json"}
        Form of each line.
    to_output : bool
        Whether lines go to standard output; to standard error otherwise.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
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
        logger_factory=structlog.PrintLoggerFactory(
            sys.stdout if to_output else sys.stderr
        ),
        cache_logger_on_first_use=False,
    )


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
