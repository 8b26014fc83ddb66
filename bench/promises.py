"""What callers were told and targets saw, checked against the promises."""

import itertools
from collections import Counter
from dataclasses import dataclass, field

# A data centre that was taken out receives no new work after this long.
NOTICE_SECONDS = 3.0


@dataclass
class Answer:
    """What a caller was told of one send."""

    status: int
    outcome: str
    request_id: str
    body: bytes
    code: str = ""


@dataclass
class Window:
    """A time in which a data centre was out, seconds since the epoch."""

    data_centre: str
    since: float
    until: float = float("inf")


@dataclass
class Record:
    """All that the callers were told."""

    answers: list[Answer] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    windows: list[Window] = field(default_factory=list)
    broken_sends: int = 0


def violations(record, journals, centre_by_target):
    """Return every promise that was seen broken.

    Parameters
    ----------
    record : Record
        What callers were told and when data centres were out.
    journals : dict of str to list of dict
        Journal lines by target.
    centre_by_target : dict of str to str
        Data centre of each target.
    """
    lines = list(itertools.chain.from_iterable(journals.values()))
    return [
        *record.wrong,
        *_run_twice("request", (line["request_id"] for line in lines)),
        *_run_twice("booking", (line["body"] for line in lines if line.get("body"))),
        *_run_though_not_run(record, {line["request_id"] for line in lines}),
        *_dispatched_while_out(record, journals, centre_by_target),
    ]


def _run_twice(what, names):
    for name, count in Counter(names).items():
        if count > 1:
            yield f"{what} {name!r} ran {count} times"


def _run_though_not_run(record, request_ids):
    for answer in record.answers:
        if answer.outcome == "not-run" and answer.request_id in request_ids:
            yield f"not run was said of {answer.request_id}, which ran"


def _dispatched_while_out(record, journals, centre_by_target):
    for window in record.windows:
        for name, lines in journals.items():
            if centre_by_target[name] != window.data_centre:
                continue
            for line in lines:
                late = line["at"] - window.since
                if late > NOTICE_SECONDS and line["at"] < window.until:
                    yield f"{name} got work {late:.1f} s after it was taken out"
