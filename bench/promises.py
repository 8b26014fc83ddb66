"""Checks the guarantees to callers against their responses and target journals."""

import itertools
from collections import Counter
from dataclasses import dataclass, field

# An evacuated data centre must receive no new work after this long.
EVACUATION_GRACE_SECONDS = 3.0


@dataclass
class CallerResponse:
    """Response that a caller received to one attempt of a request."""

    status: int
    outcome: str
    request_id: str
    body: bytes
    code: str = ""


@dataclass
class EvacuationWindow:
    """Period during which a data centre was evacuated, seconds since the epoch."""

    data_centre: str
    since: float
    until: float = float("inf")


@dataclass
class Record:
    """Observations of the callers and of the injected evacuations.

    Attributes
    ----------
    wrong : list of str
        Descriptions of responses with wrong content.
    broken_sends : int
        Attempts that received no response.
    """

    responses: list[CallerResponse] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    evacuations: list[EvacuationWindow] = field(default_factory=list)
    broken_sends: int = 0


def violations(record, journals, centre_by_target):
    """Return a description of each violation of a guarantee.

    Parameters
    ----------
    record : Record
        Responses to callers, and when data centres were evacuated.
    journals : dict of str to list of dict
        Journal entries by target.
    centre_by_target : dict of str to str
        Data centre of each target.
    """
    lines = list(itertools.chain.from_iterable(journals.values()))
    return [
        *record.wrong,
        *_repeated_runs("request", (line["request_id"] for line in lines)),
        *_repeated_runs(
            "booking", (line["body"] for line in lines if line.get("body"))
        ),
        *_runs_reported_not_run(record, {line["request_id"] for line in lines}),
        *_dispatches_while_evacuated(record, journals, centre_by_target),
    ]


def _repeated_runs(what, ids):
    for run_id, count in Counter(ids).items():
        if count > 1:
            yield f"{what} {run_id!r} ran {count} times"


def _runs_reported_not_run(record, request_ids):
    for response in record.responses:
        if response.outcome == "not-run" and response.request_id in request_ids:
            yield f"request {response.request_id} was reported as not run, but ran"


def _dispatches_while_evacuated(record, journals, centre_by_target):
    for window in record.evacuations:
        for name, lines in journals.items():
            if centre_by_target[name] != window.data_centre:
                continue
            for line in lines:
                late = line["at"] - window.since
                if late > EVACUATION_GRACE_SECONDS and line["at"] < window.until:
                    yield f"{name} received work {late:.1f} s after its evacuation"
