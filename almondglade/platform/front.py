"""Headers that callers and targets of the platform use."""

import re
from dataclasses import dataclass

from ..entry.relaying import end_to_end

REQUEST_ID = "X-Request-Id"
API_KEY = "x-credential"
WORKSPACE = "X-Tenant-Id"
TIME_LEFT = "X-Deadline-Ms"
EXPECTED_TARGET = "X-Expect-Instance"
LAST_EVENT = "Last-Event-Id"
TOKENS = "x-token-usage"
LENGTH_HINT = "x-length-hint"
NOT_RUN = "x-not-executed"
LOAD = "x-server-load"
SEAL = "x-response-seal"
MISDIRECTED_STATUS = 421
# Set by this system alone, whatever a caller sent.
NOT_FOR_TARGETS = frozenset(
    {
        API_KEY,
        "content-length",
        WORKSPACE.lower(),
        TIME_LEFT.lower(),
        EXPECTED_TARGET.lower(),
        "x-expect-version",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
NOT_FOR_CALLERS = frozenset({LOAD, "x-instance-id", "x-cold-ms"})
TOKEN_COUNTS = re.compile(r"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*")
MILLISECONDS = 1000.0


@dataclass(frozen=True)
class CallerFacts:
    """What a caller's headers say.

    Parameters
    ----------
    request_id : str or None
    host : str
        Host that it asked for, without a port.
    api_key : str or None
    time_limit : float or None
        Seconds for which the caller waits.
    input_tokens, output_tokens : int or None
        Size of the prompt and the most that may be generated.
    last_event : str or None
        Id after which a stream goes on.
    expected_tokens : int or None
        Caller's estimate of the tokens that will be generated.
    """

    request_id: str | None
    host: str
    api_key: str | None
    time_limit: float | None
    input_tokens: int | None
    output_tokens: int | None
    last_event: str | None
    expected_tokens: int | None = None


def read_caller(pairs):
    """Return the `CallerFacts` in a request's headers.

    Parameters
    ----------
    pairs : iterable of (str, str)
    """
    by_name = {name.lower(): value for name, value in pairs}
    tokens = TOKEN_COUNTS.fullmatch(by_name.get(TOKENS, ""))
    return CallerFacts(
        by_name.get(REQUEST_ID.lower()),
        by_name.get("host", "").partition(":")[0].lower(),
        by_name.get(API_KEY),
        _seconds(by_name.get(TIME_LEFT.lower())),
        int(tokens[1]) if tokens else None,
        int(tokens[2]) if tokens else None,
        by_name.get(LAST_EVENT.lower()),
        _count(by_name.get(LENGTH_HINT)),
    )


def target_headers(pairs, workspace, target, time_left, last_event):
    """Return the headers that go to a target.

    Parameters
    ----------
    pairs : iterable of (str, str)
        Headers of the caller.
    workspace : str or None
        Workspace that the request is for.
    target : str
        Id of the target that alone may run it.
    time_left : float
        Seconds until the answer must end.
    last_event : str or None
        Id after which a resumed stream goes on; None keeps the caller's.
    """
    dropped = NOT_FOR_TARGETS | ({LAST_EVENT.lower()} if last_event else set())
    headers = [
        *end_to_end(pairs, dropped),
        (TIME_LEFT, str(max(1, int(time_left * MILLISECONDS)))),
        (EXPECTED_TARGET, target),
    ]
    if workspace is not None:
        headers.append((WORKSPACE, workspace))
    if last_event:
        headers.append((LAST_EVENT, last_event))
    return tuple(headers)


@dataclass(frozen=True)
class TargetFacts:
    """What the head of a target's answer says.

    Parameters
    ----------
    request_id : str or None
        Request that it answers.
    not_run : bool
        Whether the target states that it did not run the request.
    misdirected : bool
        Whether another target than the expected one has the address.
    sealed : bool
        Whether it bears the target's seal, without which no success is whole.
    """

    request_id: str | None
    not_run: bool
    misdirected: bool
    sealed: bool


def read_target(head):
    """Return the `TargetFacts` in an `AnswerHead`."""
    by_name = {name.lower(): value for name, value in head.headers}
    misdirected = head.status == MISDIRECTED_STATUS
    return TargetFacts(
        by_name.get(REQUEST_ID.lower()),
        misdirected or NOT_RUN in by_name,
        misdirected,
        SEAL in by_name,
    )


def _count(text):
    return int(text) if text is not None and text.isdigit() else None


def _seconds(text):
    if text is None or not text.isdigit():
        return None
    return int(text) / MILLISECONDS
