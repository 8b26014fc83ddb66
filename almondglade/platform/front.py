"""Headers that callers and targets of the platform use."""

import re
from dataclasses import dataclass

from ..entry.relaying import end_to_end

REQUEST_ID_HEADER = "X-Request-Id"
API_KEY_HEADER = "x-credential"
WORKSPACE_HEADER = "X-Tenant-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
EXPECTED_TARGET_HEADER = "X-Expect-Instance"
LAST_EVENT_ID_HEADER = "Last-Event-Id"
TOKEN_USAGE_HEADER = "x-token-usage"
LENGTH_HINT_HEADER = "x-length-hint"
NOT_EXECUTED_HEADER = "x-not-executed"
LOAD_HEADER = "x-server-load"
SEAL_HEADER = "x-response-seal"
MISDIRECTED_STATUS = 421
# Set by this system alone, whatever a caller sent.
NOT_FOR_TARGETS = frozenset(
    {
        API_KEY_HEADER,
        "content-length",
        WORKSPACE_HEADER.lower(),
        DEADLINE_HEADER.lower(),
        EXPECTED_TARGET_HEADER.lower(),
        "x-expect-version",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
NOT_FOR_CALLERS = frozenset({LOAD_HEADER, "x-instance-id", "x-cold-ms"})
TOKEN_COUNTS_PATTERN = re.compile(r"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*")
MILLISECONDS = 1000.0


@dataclass(frozen=True)
class CallerHeaders:
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
    last_event_id : str or None
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
    last_event_id: str | None
    expected_tokens: int | None = None


def parse_caller_headers(pairs):
    """Return the `CallerHeaders` in a request's headers.

    Parameters
    ----------
    pairs : iterable of (str, str)
    """
    by_name = {name.lower(): value for name, value in pairs}
    tokens = TOKEN_COUNTS_PATTERN.fullmatch(by_name.get(TOKEN_USAGE_HEADER, ""))
    return CallerHeaders(
        by_name.get(REQUEST_ID_HEADER.lower()),
        by_name.get("host", "").partition(":")[0].lower(),
        by_name.get(API_KEY_HEADER),
        _seconds(by_name.get(DEADLINE_HEADER.lower())),
        int(tokens[1]) if tokens else None,
        int(tokens[2]) if tokens else None,
        by_name.get(LAST_EVENT_ID_HEADER.lower()),
        _count(by_name.get(LENGTH_HINT_HEADER)),
    )


def target_headers(pairs, workspace, target, time_left, last_event_id):
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
    last_event_id : str or None
        Id after which a resumed stream goes on; None keeps the caller's.
    """
    dropped = NOT_FOR_TARGETS | (
        {LAST_EVENT_ID_HEADER.lower()} if last_event_id else set()
    )
    headers = [
        *end_to_end(pairs, dropped),
        (DEADLINE_HEADER, str(max(1, int(time_left * MILLISECONDS)))),
        (EXPECTED_TARGET_HEADER, target),
    ]
    if workspace is not None:
        headers.append((WORKSPACE_HEADER, workspace))
    if last_event_id:
        headers.append((LAST_EVENT_ID_HEADER, last_event_id))
    return tuple(headers)


@dataclass(frozen=True)
class TargetResponseInfo:
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


def parse_target_response(head):
    """Return the `TargetResponseInfo` in an `AnswerHead`."""
    by_name = {name.lower(): value for name, value in head.headers}
    misdirected = head.status == MISDIRECTED_STATUS
    return TargetResponseInfo(
        by_name.get(REQUEST_ID_HEADER.lower()),
        misdirected or NOT_EXECUTED_HEADER in by_name,
        misdirected,
        SEAL_HEADER in by_name,
    )


def _count(text):
    return int(text) if text is not None and text.isdigit() else None


def _seconds(text):
    if text is None or not text.isdigit():
        return None
    return int(text) / MILLISECONDS
